//! Log rate limit and metrics of the daemon on the users' platform.

use mustardpath::entry::log_limiter::LINES_PER_WINDOW;
use mustardpath::entry::log_limiter::LogLimiter;
use mustardpath::entry::log_limiter::WINDOW;
use mustardpath::entry::metrics::MetricRegistry;
use mustardpath_core::batch::message::JobStage;
use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;
use mustardpath_core::effect::MetricName;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Guards against a log volume that grows with the load, and against lines that are omitted without
/// a count.
#[test]
fn lines_over_the_limit_are_counted() {
    let mut limiter = LogLimiter::default();
    assert!(limiter.roll_over(ClockTime(10_000)).is_empty());
    for _ in 0..LINES_PER_WINDOW {
        assert!(limiter.admit(LogTarget::Plan, LogLevel::Info));
    }
    assert!(!limiter.admit(LogTarget::Plan, LogLevel::Info));
    assert!(!limiter.admit(LogTarget::Plan, LogLevel::Info));
    assert!(limiter.admit(LogTarget::Term, LogLevel::Info));
    assert!(limiter.admit(LogTarget::Plan, LogLevel::Warn));
    let omitted = limiter.roll_over(ClockTime(10_000) + WINDOW);
    assert_eq!(omitted.len(), 1);
    assert_eq!(omitted[0].1, 2);
    assert!(omitted[0].0.line.contains("count=2"));
    assert!(limiter.admit(LogTarget::Plan, LogLevel::Info));
}

/// Guards against missing counters and against histograms with the labels of another queue.
#[test]
fn rendered_metrics_have_counters_and_histograms() {
    let registry = MetricRegistry::default();
    registry.count(MetricName::JobsAccepted, 2);
    registry.count(MetricName::JobsAccepted, 1);
    registry.observe(JobStage::FirstStart, &"q1".into(), TimeSpan(150));
    let text = registry.render();
    let counter = "mustardpath_events_total{kind=\"jobs_accepted\"} 3";
    assert!(text.contains(counter), "{text}");
    let count = "mustardpath_job_stage_seconds_count{stage=\"first_start\",queue=\"q1\"} 1";
    assert!(text.contains(count), "{text}");
}
