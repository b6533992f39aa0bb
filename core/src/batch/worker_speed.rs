//! Speed of a worker, learned from the progress and the ends of its runs.
//!
//! Answers workers of unequal speed that no entry and no label tells apart: the speed follows from
//! comparisons with other workers that run tasks of the same step.

use indexmap::IndexMap;

use crate::batch::job::RunKey;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// The nominal speed, in thousandths.
pub const NOMINAL_SPEED: u32 = 1_000;

/// Minimum progress between two lists that gives evidence. Percentages are whole numbers, so less
/// progress is dominated by rounding.
const MIN_PROGRESS_PERCENT: u32 = 5;

/// Progress between two lists that counts in full and ends the window of an observation.
const FULL_PROGRESS_PERCENT: u32 = 20;

/// Minimum time between two lists that are compared. The latency of an answer varies by up to about
/// a tenth of it.
const MIN_WINDOW: TimeSpan = TimeSpan(400);

/// Time after which a window ends although the run has progressed little.
const MAX_WINDOW: TimeSpan = TimeSpan(3_000);

/// Weight of the assumption of nominal speed, in runs, and least weight of the history.
const PRIOR_WEIGHT: f64 = 0.4;

/// Maximum weight of ended runs, in runs. It bounds the time until new evidence prevails.
const MAX_HISTORY_WEIGHT: f64 = 3.0;

/// Time in which the history loses half of its weight.
const HISTORY_HALF_LIFE_MS: f64 = 60_000.0;

/// Minimum total weight, in runs, from which a speed is known.
const KNOWN_WEIGHT: f64 = 1.0;

/// Deviation in logarithms from which a run is an outlier, about a factor of 3. Workers rarely
/// differ by that much, and some tasks run many times as long as their siblings.
const OUTLIER_DEVIATION: f64 = 1.1;

/// Factor on the weight of a single outlier.
const OUTLIER_WEIGHT: f64 = 0.1;

/// Difference in logarithms between the runs in progress and the history from which the history is
/// taken as outdated.
const CHANGE_DEVIATION: f64 = 0.3;

/// Weight of the runs in progress from which they can show the history to be outdated.
const CHANGE_WEIGHT: f64 = 0.8;

/// Deviation in logarithms up to which a speed is taken as nominal, so that noise changes no
/// decision.
const DEAD_BAND: f64 = 0.2;

/// Width in logarithms of the classes by which workers are ordered.
const CLASS_WIDTH: f64 = 0.35;

/// Class of workers without evidence in a fleet that has slow workers. It is below all others, so
/// that work that can wait measures them.
pub const UNMEASURED_CLASS: i32 = -100;

/// Bounds of a speed in logarithms, about a factor of 20.
const MAX_DEVIATION: f64 = 3.0;

/// What placement knows about the speed of a worker, in thousandths of the nominal speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpeedEstimate {
    /// Expected speed.
    pub expected: u32,
    /// Speed to count on: lower than the expected one for a worker without evidence in a fleet that
    /// has slow workers.
    pub assumed: u32,
    /// Class of the expected speed; 0 is nominal, lower ones are slower. In a fleet with slow
    /// workers, those without evidence are in [`UNMEASURED_CLASS`].
    pub class: i32,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self {
            expected: NOMINAL_SPEED,
            assumed: NOMINAL_SPEED,
            class: 0,
        }
    }
}

/// Evidence that one run gives about its worker.
#[derive(Clone, Copy, Debug)]
struct RunEvidence {
    /// Speed in logarithms.
    value: f64,
    /// Weight from 0 to 1.
    weight: f64,
}

/// Progress of a run on the worker.
#[derive(Clone, Copy, Debug)]
struct RunProgress {
    /// Progress at the begin of the window, in percent, and when it was listed.
    window: (u32, ClockTime),
    /// Evidence from the last windows; absent before the first one has ended.
    evidence: Option<RunEvidence>,
}

/// Run time in logarithms that an observation implies.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Logarithm of the time in ms that the whole run would take at its present rate.
    pub run_time: f64,
    /// Weight from 0 to 1.
    pub weight: f64,
}

/// Evidence about the speed of one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct WorkerSpeed {
    /// Runs in progress.
    runs: IndexMap<RunKey, RunProgress>,
    /// Speed by the ended runs, in logarithms.
    history: f64,
    history_weight: f64,
    /// When the history was last aged.
    aged_at: ClockTime,
    /// Speed by all evidence, in logarithms.
    mean: f64,
    /// Total weight of the evidence, in runs.
    weight: f64,
    /// What placement uses.
    estimate: SpeedEstimate,
}

impl Default for WorkerSpeed {
    fn default() -> Self {
        Self {
            runs: IndexMap::new(),
            history: 0.0,
            history_weight: PRIOR_WEIGHT,
            aged_at: ClockTime(0),
            mean: 0.0,
            weight: PRIOR_WEIGHT,
            estimate: SpeedEstimate::default(),
        }
    }
}

impl WorkerSpeed {
    /// Returns the speed for placement.
    #[must_use]
    pub const fn estimate(&self) -> SpeedEstimate {
        self.estimate
    }

    /// Returns the speed in logarithms, which is 0 at the nominal speed.
    #[must_use]
    pub const fn log_speed(&self) -> f64 {
        self.mean
    }

    /// Returns the total weight of the evidence in runs.
    #[must_use]
    pub const fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns whether there is enough evidence to rely on.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.weight >= KNOWN_WEIGHT
    }

    /// Returns the speed in logarithms that predictions use: 0 without enough evidence or within
    /// the dead band.
    #[must_use]
    pub fn reliable_log_speed(&self) -> f64 {
        if self.is_known() && self.mean.abs() >= DEAD_BAND {
            self.mean
        } else {
            0.0
        }
    }

    /// Observes the progress of a run in a list, and returns the run time that its rate implies, or
    /// `None` while there is too little progress.
    ///
    /// The first list of a run is compared with its start if that is known.
    pub fn observe_progress(
        &mut self,
        run: &RunKey,
        percent: u32,
        started_at: Option<ClockTime>,
        at: ClockTime,
    ) -> Option<Observation> {
        // A start that only the list has confirmed was earlier than its confirmation.
        let started_at = started_at.filter(|started_at| at.since(*started_at) >= MIN_WINDOW);
        let window = started_at.map_or((percent, at), |started_at| (0, started_at));
        let progress = self.runs.entry(*run).or_insert(RunProgress {
            window,
            evidence: None,
        });
        let (first, since) = progress.window;
        if percent < first {
            progress.window = (percent, at);
            return None;
        }
        let gained = percent - first;
        let elapsed = at.since(since);
        if gained < MIN_PROGRESS_PERCENT || elapsed < MIN_WINDOW {
            return None;
        }
        if gained >= FULL_PROGRESS_PERCENT || elapsed >= MAX_WINDOW {
            progress.window = (percent, at);
        }
        let gained = f64::from(gained);
        let weight = (gained / f64::from(FULL_PROGRESS_PERCENT)).min(1.0);
        Some(Observation {
            run_time: log_ms(elapsed) + (100.0 / gained).ln(),
            weight,
        })
    }

    /// Returns whether the progress of a run has given evidence.
    #[must_use]
    pub fn has_evidence(&self, run: &RunKey) -> bool {
        let progress = self.runs.get(run);
        progress.is_some_and(|progress| progress.evidence.is_some())
    }

    /// Replaces the evidence of a run. `value` is a speed in logarithms.
    pub fn set_evidence(&mut self, run: &RunKey, value: f64, weight: f64, at: ClockTime) {
        let progress = self.runs.entry(*run).or_insert(RunProgress {
            window: (0, at),
            evidence: None,
        });
        // A single window that rounding or latency has distorted counts half.
        let value = match progress.evidence {
            Some(last) if (last.value - value).abs() < CHANGE_DEVIATION => {
                f64::midpoint(last.value, value)
            }
            _ => value,
        };
        progress.evidence = Some(RunEvidence { value, weight });
    }

    /// Moves the evidence of a run that has ended to the history.
    pub fn end_run(&mut self, run: &RunKey) {
        if let Some(progress) = self.runs.swap_remove(run) {
            self.add_to_history(progress);
        }
    }

    /// Moves the evidence of runs that no longer occupy the worker to the history.
    pub fn retain_runs(&mut self, is_present: impl Fn(&RunKey) -> bool) {
        while let Some(index) = self.runs.keys().position(|run| !is_present(run)) {
            if let Some((_, progress)) = self.runs.swap_remove_index(index) {
                self.add_to_history(progress);
            }
        }
    }

    fn add_to_history(&mut self, progress: RunProgress) {
        let Some(evidence) = progress.evidence else {
            return;
        };
        let weight = self.robust_weight(evidence, self.has_outlier_majority());
        let total = self.history_weight + weight;
        self.history += (evidence.value - self.history) * weight / total;
        self.history_weight = total.min(MAX_HISTORY_WEIGHT);
    }

    /// Computes the speed from all evidence. `unknown_speed` is the speed to count on, in
    /// thousandths, at a worker without evidence.
    pub fn update(&mut self, unknown_speed: u32, at: ClockTime) {
        self.age_history(at);
        let has_majority = self.has_outlier_majority();
        let mut sum = 0.0;
        let mut weight = 0.0;
        for evidence in self.runs.values().filter_map(|run| run.evidence) {
            let run_weight = self.robust_weight(evidence, has_majority);
            sum += evidence.value * run_weight;
            weight += run_weight;
        }
        let is_changed =
            weight >= CHANGE_WEIGHT && (sum / weight - self.history).abs() > CHANGE_DEVIATION;
        if is_changed {
            self.history_weight = PRIOR_WEIGHT;
        }
        self.weight = weight + self.history_weight;
        let mean = (sum + self.history * self.history_weight) / self.weight;
        self.mean = mean.clamp(-MAX_DEVIATION, MAX_DEVIATION);
        self.estimate = self.to_estimate(unknown_speed);
    }

    fn to_estimate(&self, unknown_speed: u32) -> SpeedEstimate {
        if !self.is_known() {
            let assumed = unknown_speed.min(NOMINAL_SPEED);
            return SpeedEstimate {
                assumed,
                class: if assumed < NOMINAL_SPEED {
                    UNMEASURED_CLASS
                } else {
                    0
                },
                ..SpeedEstimate::default()
            };
        }
        let log_speed = self.reliable_log_speed();
        let speed = to_thousandths(log_speed);
        SpeedEstimate {
            expected: speed,
            assumed: speed,
            class: round(log_speed / CLASS_WIDTH),
        }
    }

    fn age_history(&mut self, at: ClockTime) {
        let elapsed = f64::from(u32::try_from(at.since(self.aged_at).0).unwrap_or(u32::MAX));
        self.aged_at = at;
        let factor = (-elapsed / HISTORY_HALF_LIFE_MS).exp2();
        self.history_weight = (self.history_weight * factor).max(PRIOR_WEIGHT);
    }

    /// Returns whether at least two runs, and most of those with evidence, are outliers. Then it is
    /// the worker that has changed.
    fn has_outlier_majority(&self) -> bool {
        let evidence = self.runs.values().filter_map(|run| run.evidence);
        let (mut count, mut outliers) = (0, 0);
        for evidence in evidence {
            count += 1;
            outliers += u32::from(self.is_outlier(evidence));
        }
        outliers >= 2 && outliers * 2 > count
    }

    fn is_outlier(&self, evidence: RunEvidence) -> bool {
        (evidence.value - self.history).abs() > OUTLIER_DEVIATION
    }

    fn robust_weight(&self, evidence: RunEvidence, has_majority: bool) -> f64 {
        if has_majority || !self.is_outlier(evidence) {
            evidence.weight
        } else {
            evidence.weight * OUTLIER_WEIGHT
        }
    }
}

/// Returns the logarithm of a span in milliseconds.
#[must_use]
pub fn log_ms(span: TimeSpan) -> f64 {
    f64::from(u32::try_from(span.0.max(1)).unwrap_or(u32::MAX)).ln()
}

/// Returns the speed in thousandths for a speed in logarithms.
fn to_thousandths(log_speed: f64) -> u32 {
    u32::try_from(round(log_speed.exp() * f64::from(NOMINAL_SPEED))).unwrap_or(NOMINAL_SPEED)
}

/// Returns a weight of evidence in tenths, for dumps.
#[must_use]
pub fn tenths(weight: f64) -> u64 {
    u64::try_from(round(weight * 10.0)).unwrap_or(0)
}

/// Rounds a number that is known to be small.
#[allow(
    clippy::cast_possible_truncation,
    reason = "speeds, classes and weights are bounded"
)]
fn round(number: f64) -> i32 {
    number.round() as i32
}
