//! Suitability of workers for a unit, by the speed that the unit needs to meet its objective.
//!
//! Answers workers of unequal speed of which only some are busy: urgent work goes where it ends in
//! time, and work that can wait leaves the fast workers free.

use crate::batch::placement::CandidateWorker;
use crate::batch::unit::WaitingUnit;
use crate::batch::worker_speed::NOMINAL_SPEED;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time from the end of a run until callers see its job as completed, and from placement to start:
/// two appends, the answer of the worker and the pause between two reads of a daemon.
const OVERHEAD: TimeSpan = TimeSpan(200);

/// Margin on the run time, in percent. Declared run times and learned speeds are inexact.
const MARGIN_PERCENT: u64 = 120;

/// Suitability of a worker. The best comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suitability {
    /// The unit ends in time.
    Sufficient,
    /// The unit ends in time if the worker has the nominal speed, of which there is no evidence.
    Uncertain,
    /// The unit does not end in time.
    TooSlow,
}

/// Speed that a unit needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequiredSpeed {
    /// Lowest speed at which the unit meets its objective, in thousandths.
    pub speed: u32,
    /// Whether the unit is urgent. Other units leave the fast workers free.
    pub is_urgent: bool,
}

/// Sort key of a worker for one task; the lowest is the best.
pub type SpeedRank = (Suitability, i32);

impl RequiredSpeed {
    /// Returns the speed that a unit needs when it is placed at `at`.
    #[must_use]
    pub fn new(unit: &WaitingUnit<'_>, at: ClockTime) -> Self {
        let allowed = unit.deadline.since(at + OVERHEAD).0.max(1);
        let needed = unit.remaining_path().0.saturating_mul(MARGIN_PERCENT) / 100;
        let speed = needed.saturating_mul(u64::from(NOMINAL_SPEED)) / allowed;
        Self {
            speed: u32::try_from(speed).unwrap_or(u32::MAX),
            is_urgent: unit.definition.priority == 0,
        }
    }

    /// Returns the suitability of a worker.
    #[must_use]
    pub const fn suitability(&self, worker: &CandidateWorker<'_>) -> Suitability {
        if worker.speed.assumed >= self.speed {
            Suitability::Sufficient
        } else if worker.speed.expected >= self.speed {
            Suitability::Uncertain
        } else {
            Suitability::TooSlow
        }
    }

    /// Returns the sort key of a worker: among sufficient workers the slowest first for work that
    /// is not urgent, among the others the fastest first.
    #[must_use]
    pub const fn rank(&self, worker: &CandidateWorker<'_>) -> SpeedRank {
        let suitability = self.suitability(worker);
        let class = match suitability {
            Suitability::Sufficient if self.is_urgent => 0,
            Suitability::Sufficient => worker.speed.class,
            Suitability::Uncertain | Suitability::TooSlow => -worker.speed.class,
        };
        (suitability, class)
    }

    /// Returns the suitability of the best and of the worst worker, or `None` without workers.
    #[must_use]
    pub fn range(&self, workers: &[CandidateWorker<'_>]) -> Option<(Suitability, Suitability)> {
        let best = workers
            .iter()
            .map(|worker| self.suitability(worker))
            .min()?;
        let worst = workers
            .iter()
            .map(|worker| self.suitability(worker))
            .max()?;
        Some((best, worst))
    }
}
