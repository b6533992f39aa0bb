//! Measures of a replay.

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
/// Largest span that a sample tells apart: 7 days.
const LONGEST_MS: u64 = 7 * 86_400_000;
const MS_PER_SECOND: f64 = 1_000.0;

/// Durations in milliseconds.
#[derive(Clone, Debug)]
struct SpanSample {
    total: u64,
    spread: Histogram<u64>,
}

impl Default for SpanSample {
    fn default() -> Self {
        let spread = Histogram::new_with_max(LONGEST_MS, 3).expect("the bounds are valid");
        Self { total: 0, spread }
    }
}

impl SpanSample {
    fn add(&mut self, span_ms: u64) {
        self.total += span_ms;
        self.spread.saturating_record(span_ms);
    }

    fn mean_s(&self) -> f64 {
        let count = self.spread.len().max(1);
        self.total as f64 / count as f64 / MS_PER_SECOND
    }

    fn quantile_s(&self, quantile: f64) -> f64 {
        self.spread.value_at_quantile(quantile) as f64 / MS_PER_SECOND
    }
}

/// What a replay of one policy gave.
#[derive(Clone, Debug, Default)]
pub struct ReplayMeasure {
    completion: SpanSample,
    by_class: IndexMap<String, SpanSample>,
    urgent: SpanSample,
    fragmented: f64,
    fragmented_ms: f64,
    /// Accelerator-milliseconds of progress made while a failure domain was out.
    pub useful_out_ms: i64,
    /// Accelerator-milliseconds of progress that was lost.
    pub lost_ms: u64,
    /// Accelerator-milliseconds of progress that was made.
    pub worked_ms: u64,
    /// Broken promises with the count of each.
    pub broken: IndexMap<&'static str, u64>,
    /// Jobs by how they ended.
    pub ends: IndexMap<&'static str, u64>,
    /// Decisions by kind.
    pub decisions: IndexMap<&'static str, u64>,
}

impl ReplayMeasure {
    /// Counts a job that took `span_ms` from its submission. Its class is the name of its service
    /// without the size.
    pub fn completed(&mut self, service: &ServiceName, span_ms: u64) {
        let name = service.as_str();
        let class = name.rsplit_once('-').map_or(name, |(class, _)| class);
        self.completion.add(span_ms);
        self.by_class
            .entry(class.to_owned())
            .or_default()
            .add(span_ms);
    }

    /// Counts the wait of urgent work within its guarantee.
    pub fn urgent_started(&mut self, wait_ms: u64) {
        self.urgent.add(wait_ms);
    }

    /// Counts fragmentation over a span of time.
    pub fn add_fragmentation(&mut self, share: Option<f64>, span_ms: u64) {
        if let Some(share) = share {
            self.fragmented += share * span_ms as f64;
            self.fragmented_ms += span_ms as f64;
        }
    }

    /// Counts one more in a table.
    pub fn count(table: &mut IndexMap<&'static str, u64>, name: &'static str) {
        *table.entry(name).or_default() += 1;
    }

    /// Returns the measures as JSON; spans are in seconds and work in accelerator-hours.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let spans = |value: &dyn Fn(&SpanSample) -> f64| {
            let mut spans = IndexMap::from([("overall".to_string(), value(&self.completion))]);
            for (class, sample) in &self.by_class {
                spans.insert(class.clone(), value(sample));
            }
            spans
        };
        json!({
            "mean_completion_s": spans(&SpanSample::mean_s),
            "p95_completion_s": spans(&|sample| sample.quantile_s(0.95)),
            "urgent_p99_start_s": self.urgent.quantile_s(0.99),
            "urgent_jobs": self.urgent.spread.len(),
            "fragmentation": self.fragmented / self.fragmented_ms.max(1.0),
            "useful_hours_domain_out": self.useful_out_ms as f64 / MS_PER_HOUR,
            "lost_hours": self.lost_ms as f64 / MS_PER_HOUR,
            "worked_hours": self.worked_ms as f64 / MS_PER_HOUR,
            "broken": self.broken.values().sum::<u64>(),
            "broken_by_promise": self.broken,
            "ends": self.ends,
            "decisions": self.decisions,
        })
    }
}

/// Returns the guaranteed shape with the most accelerators.
#[must_use]
pub fn largest_guarantee(teams: &IndexMap<TeamName, TeamFile>) -> Option<GangShape> {
    teams
        .values()
        .flat_map(|file| file.guarantees.iter().map(gang_shape))
        .max_by_key(accelerators)
}

const fn accelerators(shape: &GangShape) -> u32 {
    shape.members * shape.demand.accelerators
}

/// Returns the share of free accelerators that cannot serve the largest waiting or guaranteed
/// shape, or `None` when none is free.
#[must_use]
pub fn fragmentation(
    workers: &IndexMap<WorkerName, WorkerSlot>,
    waiting: &[WaitingJob<'_>],
    guaranteed: Option<GangShape>,
) -> Option<f64> {
    let fleet = FleetIndex::new(workers);
    let mut room = fleet.free_capacity();
    let total = |room: &[ResourceDemand]| room.iter().map(|room| room.accelerators).sum::<u32>();
    let free = total(&room);
    let shapes = waiting.iter().map(|job| GangShape::of(&job.order.spec));
    let largest = shapes.chain(guaranteed).max_by_key(accelerators)?;
    if free == 0 || accelerators(&largest) == 0 {
        return None;
    }
    let mut served = 0;
    while let Some(found) = place(&largest, &fleet, &room, PlacementStyle::BestFit) {
        allocate(&mut room, &found, &largest.demand);
        served += accelerators(&largest);
    }
    Some(f64::from(free - served) / f64::from(free))
}
