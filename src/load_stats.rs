//! What became of the requests of a load run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use crate::load_plan::LoadClass;
use mustardpath_core::ids::RequestKey;

/// Phases of a run.
pub const PHASE_NAMES: [&str; 3] = ["before", "during", "after"];

/// Time after a change of phase that the settled latency leaves out.
pub const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Highest latency that is told apart, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The endpoint's own answer came, whole.
    Answered,
    /// An answer came that belongs to something else.
    Wrong,
    /// The daemon said that it has not run.
    NotRun,
    /// The daemon said that it may have run.
    Unknown,
    /// The connection ended without an answer.
    Disconnected,
}

/// One request that ended.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// The service.
    pub class: LoadClass,
    /// The key.
    pub key: RequestKey,
    /// When it should have been sent, from the start of the run.
    pub scheduled_at: Duration,
    /// Time from then to its end.
    pub latency: Duration,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// Latencies and counts of a run.
pub struct LoadStats {
    phase_duration: Duration,
    results: Vec<RequestResult>,
}

/// Percentiles of one class, in milliseconds.
pub type ClassLatency = BTreeMap<&'static str, LatencySummary>;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencySummary {
    /// Number of answers.
    pub count: u64,
    /// Half of the requests are faster.
    pub p50: f64,
    /// 99 of 100 requests are faster.
    pub p99: f64,
    /// 999 of 1,000 requests are faster.
    pub p999: f64,
}

impl LoadStats {
    /// Creates empty statistics of a run with phases of this length.
    #[must_use]
    pub const fn new(phase_duration: Duration) -> Self {
        Self {
            phase_duration,
            results: Vec::new(),
        }
    }

    /// Adds a request.
    pub fn add(&mut self, result: RequestResult) {
        self.results.push(result);
    }

    /// Returns the number of requests with an outcome.
    #[must_use]
    pub fn count(&self, outcome: RequestOutcome) -> usize {
        let results = self.results.iter();
        results.filter(|result| result.outcome == outcome).count()
    }

    /// Returns the number of requests that were refused as not run and have run.
    #[must_use]
    pub fn false_refusals(&self, run_counts: &HashMap<RequestKey, u32>) -> usize {
        let refused = self
            .results
            .iter()
            .filter(|result| result.outcome == RequestOutcome::NotRun);
        refused
            .filter(|result| run_counts.contains_key(&result.key))
            .count()
    }

    /// Returns the number of requests that may run at most once and have run more often.
    #[must_use]
    pub fn run_twice(&self, run_counts: &HashMap<RequestKey, u32>) -> usize {
        let non_repeatable = self
            .results
            .iter()
            .filter(|result| result.class == LoadClass::Book);
        non_repeatable
            .filter(|result| run_counts.get(&result.key).is_some_and(|count| *count > 1))
            .count()
    }

    /// Returns the phase of a point in time.
    fn phase_index(&self, scheduled_at: Duration) -> usize {
        let phase = scheduled_at.as_nanos() / self.phase_duration.as_nanos().max(1);
        usize::try_from(phase)
            .unwrap_or(0)
            .min(PHASE_NAMES.len() - 1)
    }

    /// Returns the latencies of answered requests that were scheduled in a phase, after `skip`.
    #[must_use]
    pub fn phase_latency(&self, phase: usize, skip: Duration) -> ClassLatency {
        let start = self.phase_duration * u32::try_from(phase).unwrap_or(0) + skip;
        self.latency(|result| {
            self.phase_index(result.scheduled_at) == phase && result.scheduled_at >= start
        })
    }

    /// Returns the latencies of answered requests that pass a test.
    #[must_use]
    pub fn latency(&self, filter: impl Fn(&RequestResult) -> bool) -> ClassLatency {
        let mut histograms: BTreeMap<&'static str, Histogram<u64>> = BTreeMap::new();
        let answered = self
            .results
            .iter()
            .filter(|result| result.outcome == RequestOutcome::Answered);
        for result in answered.filter(|result| filter(result)) {
            let micros = u64::try_from(result.latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
            let histogram = histograms
                .entry(result.class.name())
                .or_insert_with(new_histogram);
            histogram.saturating_record(micros.max(1));
        }
        let rows = histograms.iter();
        rows.map(|(class, histogram)| (*class, latency_summary(histogram)))
            .collect()
    }

    /// Returns the 99th percentile of answered requests scheduled in each second of the run, in
    /// milliseconds, by class.
    #[must_use]
    pub fn p99_by_second(&self) -> Vec<(LoadClass, Vec<(f64, f64)>)> {
        let last_second = self
            .results
            .iter()
            .map(|result| result.scheduled_at.as_secs())
            .max();
        let classes = [LoadClass::Check, LoadClass::Book, LoadClass::Direct];
        let series = classes.map(|class| {
            let seconds = 0..=last_second.unwrap_or(0);
            let points = seconds.filter_map(|second| {
                let rows = self.latency(|result| {
                    result.class == class && result.scheduled_at.as_secs() == second
                });
                let row = rows.get(class.name())?;
                Some((second as f64, row.p99))
            });
            (class, points.collect::<Vec<_>>())
        });
        series
            .into_iter()
            .filter(|(_, points)| !points.is_empty())
            .collect()
    }
}

fn new_histogram() -> Histogram<u64> {
    // Three digits, so that a figure is off by at most 0.1%. The bounds are valid.
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("the bounds are valid")
}

fn latency_summary(histogram: &Histogram<u64>) -> LatencySummary {
    let quantile_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    LatencySummary {
        count: histogram.len(),
        p50: quantile_ms(0.5),
        p99: quantile_ms(0.99),
        p999: quantile_ms(0.999),
    }
}

/// Returns latencies as JSON.
#[must_use]
pub fn latency_json(rows: &ClassLatency) -> Value {
    let rows = rows.iter().map(|(class, row)| {
        let value = json!({
            "count": row.count,
            "p50": row.p50,
            "p99": row.p99,
            "p999": row.p999,
        });
        ((*class).to_owned(), value)
    });
    Value::Object(rows.collect())
}
