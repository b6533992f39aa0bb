//! Relation of declared to true run times in one queue.
//!
//! Answers queues whose declared run times are off, by a constant factor or by chance.

use crate::batch::worker_speed::log_ms;
use crate::units::TimeSpan;

/// Weight of the assumption that declared run times are right, in steps.
const PRIOR_WEIGHT: f64 = 3.0;

/// Weight of the assumption that a longer declared run time means a proportionally longer true one,
/// as a sum of squares in logarithms.
const PRIOR_SPREAD: f64 = 0.75;

/// Maximum weight of the evidence, in steps. Older evidence counts less beyond it.
const MAX_WEIGHT: f64 = 200.0;

/// Largest deviation in logarithms of one observation from its prediction, because single tasks run
/// many times as long as others.
const MAX_RESIDUAL: f64 = 1.0;

/// Correction in logarithms up to which the declared run time is used, so that noise changes no
/// decision.
const DEAD_BAND: f64 = 0.1;

/// Bound of a correction in logarithms, about a factor of 12.
const MAX_CORRECTION: f64 = 2.5;

/// Sums over the finished steps of a queue, in logarithms of milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimeRelation {
    /// Number of steps.
    weight: f64,
    /// Declared run times.
    declared: f64,
    /// True run times at nominal speed, less the declared ones.
    excess: f64,
    /// Squares of the declared run times.
    declared_squares: f64,
    /// Products of declared run time and excess.
    products: f64,
}

impl RunTimeRelation {
    /// Learns from a task. `weight` is the task's share of its step.
    pub fn learn(&mut self, declared: TimeSpan, work: f64, weight: f64) {
        let declared = log_ms(declared);
        let predicted = self.correction(declared);
        let excess = (work - declared).clamp(predicted - MAX_RESIDUAL, predicted + MAX_RESIDUAL);
        let keep = (MAX_WEIGHT / (self.weight + weight)).min(1.0);
        self.weight = (self.weight + weight) * keep;
        self.declared = weight.mul_add(declared, self.declared) * keep;
        self.excess = weight.mul_add(excess, self.excess) * keep;
        let square = weight * declared * declared;
        self.declared_squares = (self.declared_squares + square) * keep;
        self.products = (self.products + weight * declared * excess) * keep;
    }

    /// Returns the expected run time at nominal speed.
    #[must_use]
    pub fn expected(&self, declared: TimeSpan) -> TimeSpan {
        let correction = self.correction(log_ms(declared));
        if correction.abs() < DEAD_BAND {
            return declared;
        }
        scale(declared, correction)
    }

    /// Returns the expected true run time relative to a declared one of average length, in
    /// thousandths.
    #[must_use]
    pub fn mean_ratio(&self) -> u64 {
        scale(TimeSpan(1_000), self.mean_correction()).0
    }

    /// Returns the number of steps that the relation was learned from.
    #[must_use]
    pub const fn weight(&self) -> f64 {
        self.weight
    }

    fn mean_correction(&self) -> f64 {
        self.excess / (self.weight + PRIOR_WEIGHT)
    }

    /// Returns the expected excess for the logarithm of a declared run time: a regression whose
    /// offset and slope are shrunken to zero.
    fn correction(&self, declared: f64) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        let mean = self.declared / self.weight;
        let spread = (self.declared_squares - mean * self.declared).max(0.0);
        let covariance = self.products - mean * self.excess;
        let slope = (covariance / (spread + PRIOR_SPREAD)).clamp(-1.0, 0.5);
        let correction = slope.mul_add(declared - mean, self.mean_correction());
        correction.clamp(-MAX_CORRECTION, MAX_CORRECTION)
    }
}

/// Multiplies a span by the exponential of a correction.
#[must_use]
pub fn scale(span: TimeSpan, correction: f64) -> TimeSpan {
    let ms = u32::try_from(span.0).unwrap_or(u32::MAX);
    let scaled = std::time::Duration::from_millis(u64::from(ms)).mul_f64(correction.exp());
    TimeSpan(u64::try_from(scaled.as_millis()).unwrap_or(u64::MAX))
}
