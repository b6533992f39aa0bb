//! Run-time estimates from the ratio of observed to declared run times.

use indexmap::IndexMap;

use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::policy::RunningJob;
use crate::record::JobOrder;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Fixed-point unit of ratios: 1,000 means that the observed run time equals the declared one.
const PER_MILLE: u64 = 1_000;
/// Observed ratios are clamped to a factor of 20 in both directions, so that one stuck task does
/// not distort a service's estimate.
const RATIO_LIMIT: u64 = 20;
/// Weight of the previous average relative to one observation.
const HISTORY_WEIGHT: u64 = 7;
/// Maximum number of services kept. The oldest entry is evicted when the table is full.
const SERVICE_LIMIT: usize = 4_096;

plain_data! {
    /// Ratio of observed to declared run time of one service, in per mille.
    #[derive(Copy)]
    pub struct ServiceRatio {
        /// Moving average of the ratio.
        pub ratio: u64,
        /// Moving average of the absolute deviation from `ratio`.
        pub deviation: u64,
    }

    /// Observed ratios of all services.
    #[derive(Default)]
    pub struct EstimateTable {
        /// Ratios by `team/service`.
        ratios: IndexMap<String, ServiceRatio>,
    }
}

fn table_key(team: &TeamName, service: &ServiceName) -> String {
    format!("{team}/{service}")
}

impl EstimateTable {
    /// Adds the run time of a finished job.
    pub fn observe(
        &mut self,
        team: &TeamName,
        service: &ServiceName,
        declared: TimeSpan,
        ran: TimeSpan,
    ) {
        let observed = (ran.0.saturating_mul(PER_MILLE) / declared.0.max(1))
            .clamp(PER_MILLE / RATIO_LIMIT, PER_MILLE * RATIO_LIMIT);
        if self.ratios.len() >= SERVICE_LIMIT {
            self.ratios.shift_remove_index(0);
        }
        let first = ServiceRatio {
            ratio: observed,
            deviation: observed / 2,
        };
        let entry = self.ratios.entry(table_key(team, service));
        entry
            .and_modify(|ratio| {
                let distance = ratio.ratio.abs_diff(observed);
                ratio.ratio = (ratio.ratio * HISTORY_WEIGHT + observed) / (HISTORY_WEIGHT + 1);
                ratio.deviation =
                    (ratio.deviation * HISTORY_WEIGHT + distance) / (HISTORY_WEIGHT + 1);
            })
            .or_insert(first);
    }

    fn ratio(&self, order: &JobOrder) -> ServiceRatio {
        let key = table_key(&order.team, &order.service);
        self.ratios.get(&key).copied().unwrap_or(ServiceRatio {
            ratio: PER_MILLE,
            deviation: 0,
        })
    }

    /// Returns the expected run time of a job from its start, without regard to checkpoints.
    #[must_use]
    pub fn expected(&self, order: &JobOrder) -> TimeSpan {
        TimeSpan(
            order
                .spec
                .run_time
                .0
                .saturating_mul(self.ratio(order).ratio)
                / PER_MILLE,
        )
    }

    /// Returns a conservative run time, which jobs rarely exceed: the expected one plus the average
    /// deviation.
    #[must_use]
    pub fn conservative(&self, order: &JobOrder) -> TimeSpan {
        let ratio = self.ratio(order);
        let upper = ratio.ratio + ratio.deviation;
        TimeSpan(order.spec.run_time.0.saturating_mul(upper) / PER_MILLE)
    }

    /// Returns the expected end of a running job.
    ///
    /// A job that has exceeded its estimate is expected to run for another quarter of its run time
    /// so far, because the estimate gives no further information.
    #[must_use]
    pub fn expected_end(&self, job: &RunningJob<'_>, at: ClockTime) -> ClockTime {
        let ran = at.since(job.placed_at) + job.checkpoint;
        let whole = self.expected(job.order);
        if whole.0 > ran.0 {
            at + TimeSpan(whole.0 - ran.0)
        } else {
            at + TimeSpan((ran.0 / 4).max(1_000))
        }
    }
}
