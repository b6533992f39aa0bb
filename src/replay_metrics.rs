//! Completion times, fragmentation and progress of a replay.

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

use mustardpath_core::config::ResourceDemand;
use mustardpath_core::config::TeamFile;
use mustardpath_core::fleet::FleetIndex;
use mustardpath_core::guarantee::gang_shape;
use mustardpath_core::ids::ServiceName;
use mustardpath_core::ids::TeamName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::placement::GangShape;
use mustardpath_core::placement::PlacementStyle;
use mustardpath_core::placement::allocate;
use mustardpath_core::placement::place;
use mustardpath_core::policy::WaitingJob;
use mustardpath_core::policy::WorkerSlot;

const MS_PER_HOUR: f64 = 3_600_000.0;
/// Largest recorded duration, 7 days. Longer durations are clamped to it in the histogram.
const MAX_DURATION_MS: u64 = 7 * 86_400_000;
const MS_PER_SECOND: f64 = 1_000.0;

/// Sample of durations in milliseconds.
#[derive(Clone, Debug)]
struct DurationSample {
    total_ms: u64,
    histogram: Histogram<u64>,
}

impl Default for DurationSample {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_DURATION_MS, 3).expect("the bounds are valid");
        Self {
            total_ms: 0,
            histogram,
        }
    }
}

impl DurationSample {
    fn add(&mut self, span_ms: u64) {
        self.total_ms += span_ms;
        self.histogram.saturating_record(span_ms);
    }

    fn mean_s(&self) -> f64 {
        let count = self.histogram.len().max(1);
        self.total_ms as f64 / count as f64 / MS_PER_SECOND
    }

    fn quantile_s(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / MS_PER_SECOND
    }
}

/// Metrics of the replay of one policy.
#[derive(Clone, Debug, Default)]
pub struct ReplayMetrics {
    completions: DurationSample,
    completions_by_class: IndexMap<String, DurationSample>,
    /// Start delays of urgent jobs within their team's guarantee.
    urgent_starts: DurationSample,
    /// Integral of the fragmentation over time, in milliseconds.
    fragmentation_ms: f64,
    /// Time over which the fragmentation is averaged, in milliseconds. It excludes the time in
    /// which [`fragmentation`] returns `None`.
    observed_ms: f64,
    /// Progress made while a failure domain was out of service, minus the progress lost in that
    /// time, in accelerator-milliseconds. Negative if more was lost than made.
    pub outage_progress_ms: i64,
    /// Accelerator-milliseconds of progress that was lost because attempts failed or lost power.
    pub lost_progress_ms: u64,
    /// Accelerator-milliseconds of all progress, including what was lost.
    pub total_progress_ms: u64,
    /// Number of violations of each invariant.
    pub violations: IndexMap<&'static str, u64>,
    /// Number of ended jobs by outcome.
    pub job_ends: IndexMap<&'static str, u64>,
    /// Number of decisions by kind.
    pub decisions: IndexMap<&'static str, u64>,
}

impl ReplayMetrics {
    /// Records a job that completed `span_ms` after its submission. Its class is the name of the
    /// service without the suffix of the size.
    pub fn record_completion(&mut self, service: &ServiceName, span_ms: u64) {
        let name = service.as_str();
        let class = name.rsplit_once('-').map_or(name, |(class, _)| class);
        self.completions.add(span_ms);
        self.completions_by_class
            .entry(class.to_owned())
            .or_default()
            .add(span_ms);
    }

    /// Records the time from the submission to the start of an urgent job within its team's
    /// guarantee.
    pub fn record_urgent_start(&mut self, wait_ms: u64) {
        self.urgent_starts.add(wait_ms);
    }

    /// Records the fragmentation over a span of time. Ignores a span for which [`fragmentation`]
    /// returned `None`.
    pub fn record_fragmentation(&mut self, share: Option<f64>, span_ms: u64) {
        if let Some(share) = share {
            self.fragmentation_ms += share * span_ms as f64;
            self.observed_ms += span_ms as f64;
        }
    }

    /// Increments the counter `name` of a table.
    pub fn increment(table: &mut IndexMap<&'static str, u64>, name: &'static str) {
        *table.entry(name).or_default() += 1;
    }

    /// Returns the metrics as JSON, with durations in seconds and progress in accelerator-hours.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let spans = |value: &dyn Fn(&DurationSample) -> f64| {
            let mut spans = IndexMap::from([("overall".to_string(), value(&self.completions))]);
            for (class, sample) in &self.completions_by_class {
                spans.insert(class.clone(), value(sample));
            }
            spans
        };
        json!({
            "mean_completion_s": spans(&DurationSample::mean_s),
            "p95_completion_s": spans(&|sample| sample.quantile_s(0.95)),
            "urgent_p99_start_s": self.urgent_starts.quantile_s(0.99),
            "urgent_jobs": self.urgent_starts.histogram.len(),
            "fragmentation": self.fragmentation_ms / self.observed_ms.max(1.0),
            "useful_hours_domain_out": self.outage_progress_ms as f64 / MS_PER_HOUR,
            "lost_hours": self.lost_progress_ms as f64 / MS_PER_HOUR,
            "worked_hours": self.total_progress_ms as f64 / MS_PER_HOUR,
            "broken": self.violations.values().sum::<u64>(),
            "broken_by_promise": self.violations,
            "ends": self.job_ends,
            "decisions": self.decisions,
        })
    }
}

/// Returns the guaranteed shape with the most accelerators, or `None` without any guarantee.
#[must_use]
pub fn largest_guarantee(teams: &IndexMap<TeamName, TeamFile>) -> Option<GangShape> {
    teams
        .values()
        .flat_map(|file| file.guarantees.iter().map(gang_shape))
        .max_by_key(accelerator_count)
}

const fn accelerator_count(shape: &GangShape) -> u32 {
    shape.members * shape.demand.accelerators
}

/// Returns the share of free accelerators that cannot be used for the largest waiting or guaranteed
/// shape. Returns `None` if no accelerator is free or no shape uses any.
#[must_use]
pub fn fragmentation(
    workers: &IndexMap<WorkerName, WorkerSlot>,
    waiting: &[WaitingJob<'_>],
    guaranteed: Option<GangShape>,
) -> Option<f64> {
    let fleet = FleetIndex::new(workers);
    let mut capacity = fleet.free_capacity();
    let total = |capacity: &[ResourceDemand]| {
        capacity
            .iter()
            .map(|capacity| capacity.accelerators)
            .sum::<u32>()
    };
    let free = total(&capacity);
    let shapes = waiting.iter().map(|job| GangShape::of(&job.order.spec));
    let largest = shapes.chain(guaranteed).max_by_key(accelerator_count)?;
    if free == 0 || accelerator_count(&largest) == 0 {
        return None;
    }
    let mut served = 0;
    while let Some(found) = place(&largest, &fleet, &capacity, PlacementStyle::BestFit) {
        allocate(&mut capacity, &found, &largest.demand);
        served += accelerator_count(&largest);
    }
    Some(f64::from(free - served) / f64::from(free))
}
