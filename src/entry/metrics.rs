//! Counters and histograms in the Prometheus text format.

use std::sync::Arc;

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use serde::Serialize;

use mustardpath_core::batch::job::QueueName;
use mustardpath_core::batch::message::JobStage;
use mustardpath_core::effect::MetricName;
use mustardpath_core::units::TimeSpan;

/// Upper bounds of the histogram buckets for the duration of a job stage.
const STAGE_BUCKETS_SECONDS: [f64; 12] = [
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 25.0, 60.0,
];

type MetricLabels = Vec<(&'static str, String)>;

/// Counters and histograms of one daemon. Clones share their values.
#[derive(Clone, Debug)]
pub struct MetricRegistry {
    registry: Arc<Registry>,
    events: Family<MetricLabels, Counter>,
    stages: Family<MetricLabels, Histogram, fn() -> Histogram>,
}

impl Default for MetricRegistry {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("mustardpath");
        let events = Family::<MetricLabels, Counter>::default();
        let stage = || Histogram::new(STAGE_BUCKETS_SECONDS);
        let stages = Family::new_with_constructor(stage as fn() -> Histogram);
        registry.register("events", "Events by kind", events.clone());
        registry.register(
            "job_stage_seconds",
            "Length of a part of a job's way by queue",
            stages.clone(),
        );
        Self {
            registry: Arc::new(registry),
            events,
            stages,
        }
    }
}

impl MetricRegistry {
    /// Adds `amount` to the counter of a metric.
    pub fn count(&self, metric: MetricName, amount: u64) {
        let labels = vec![("kind", variant_name(metric))];
        self.events.get_or_create(&labels).inc_by(amount);
    }

    /// Adds an observation to the histogram of a job stage and a queue.
    pub fn observe(&self, stage: JobStage, queue: &QueueName, span: TimeSpan) {
        let labels = vec![("stage", variant_name(stage)), ("queue", queue.to_string())];
        let seconds = std::time::Duration::from_millis(span.0).as_secs_f64();
        self.stages.get_or_create(&labels).observe(seconds);
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut page = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut page, &self.registry);
        page
    }
}

/// Returns the serialized name of a unit variant.
fn variant_name(variant: impl Serialize) -> String {
    match serde_json::to_value(variant) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::from("unnamed"),
    }
}
