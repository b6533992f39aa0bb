//! Outcomes and latencies of the requests of a load run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use crate::load_plan::LoadClass;
use mustardpath_core::ids::RequestKey;

/// Names of the phases of a run, relative to the fault.
pub const PHASE_NAMES: [&str; 3] = ["before", "during", "after"];

/// Time at the start of a phase that the settled latency excludes.
pub const SETTLING_TIME: Duration = Duration::from_secs(5);

/// Upper bound of the latency histograms. Longer latencies are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller received the endpoint's complete response.
    Answered,
    /// The caller received a response that does not match its request.
    Wrong,
    /// The response reported that the request has not run, or no daemon could be reached.
    NotRun,
    /// The response reported that the request may have run.
    Unknown,
    /// The connection failed without a response after the request was sent.
    Disconnected,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Kind of request.
    pub class: LoadClass,
    /// Idempotency key: `r` and the number of the arrival. Run counts are looked up by it.
    pub key: RequestKey,
    /// Scheduled send time, from the start of the run.
    pub scheduled_at: Duration,
    /// Time from the scheduled send time to the outcome, which includes any delay before sending.
    pub latency: Duration,
    /// Outcome for the caller.
    pub outcome: RequestOutcome,
}

/// Results of all requests of a run.
pub struct LoadStats {
    phase_duration: Duration,
    results: Vec<RequestResult>,
}

/// Latencies by the name of the request class.
pub type ClassLatency = BTreeMap<&'static str, LatencySummary>;

/// Latency percentiles in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencySummary {
    /// Number of answered requests.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
}

impl LoadStats {
    /// Creates empty statistics for a run whose phases each last `phase_duration`.
    #[must_use]
    pub const fn new(phase_duration: Duration) -> Self {
        Self {
            phase_duration,
            results: Vec::new(),
        }
    }

    /// Adds the result of a request.
    pub fn add(&mut self, result: RequestResult) {
        self.results.push(result);
    }

    /// Returns the number of requests with this outcome.
    #[must_use]
    pub fn count(&self, outcome: RequestOutcome) -> usize {
        let results = self.results.iter();
        results.filter(|result| result.outcome == outcome).count()
    }

    /// Returns the number of requests that were reported as not run although they have run.
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

    /// Returns the number of non-repeatable requests that have run more than once.
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

    fn phase_index(&self, scheduled_at: Duration) -> usize {
        let phase = scheduled_at.as_nanos() / self.phase_duration.as_nanos().max(1);
        usize::try_from(phase)
            .unwrap_or(0)
            .min(PHASE_NAMES.len() - 1)
    }

    /// Returns the latencies of answered requests that were scheduled in a phase, without those
    /// scheduled in its first `skip`.
    #[must_use]
    pub fn phase_latency(&self, phase: usize, skip: Duration) -> ClassLatency {
        let start = self.phase_duration * u32::try_from(phase).unwrap_or(0) + skip;
        self.latency(|result| {
            self.phase_index(result.scheduled_at) == phase && result.scheduled_at >= start
        })
    }

    /// Returns the latencies of answered requests that match a filter.
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

    /// Returns, for each class, the 99th percentile in milliseconds of the answered requests that
    /// were scheduled in each second of the run.
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
    // Three significant digits limit the error of a percentile to 0.1%.
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

/// Returns latencies as a JSON object with one member per class.
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
