//! The parts of the daemon on the users' platform that need no platform.

use mustardpath::entry::gauges::MetricPage;
use mustardpath::entry::line_budget::LINES_PER_PERIOD;
use mustardpath::entry::line_budget::LineBudget;
use mustardpath::entry::line_budget::PERIOD;
use mustardpath_core::batch::message::JobStage;
use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;
use mustardpath_core::effect::MetricName;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Guards against a log whose volume follows the load, and against lines that vanish silently.
#[test]
fn lines_beyond_the_budget_are_counted() {
    let mut budget = LineBudget::default();
    assert!(budget.turn(ClockTime(10_000)).is_empty());
    for _ in 0..LINES_PER_PERIOD {
        assert!(budget.admit(LogTarget::Plan, LogLevel::Info));
    }
    assert!(!budget.admit(LogTarget::Plan, LogLevel::Info));
    assert!(!budget.admit(LogTarget::Plan, LogLevel::Info));
    assert!(budget.admit(LogTarget::Term, LogLevel::Info));
    assert!(budget.admit(LogTarget::Plan, LogLevel::Warn));
    let omitted = budget.turn(ClockTime(10_000) + PERIOD);
    assert_eq!(omitted.len(), 1);
    assert_eq!(omitted[0].1, 2);
    assert!(omitted[0].0.line.contains("count=2"));
    assert!(budget.admit(LogTarget::Plan, LogLevel::Info));
}

/// Guards against a page that leaves out a counter or mixes up the queues of a histogram.
#[test]
fn the_metrics_page_has_counters_and_histograms() {
    let page = MetricPage::default();
    page.count(MetricName::JobsAccepted, 2);
    page.count(MetricName::JobsAccepted, 1);
    page.observe(JobStage::FirstStart, &"q1".into(), TimeSpan(150));
    let text = page.text();
    let counter = "mustardpath_events_total{kind=\"jobs_accepted\"} 3";
    assert!(text.contains(counter), "{text}");
    let count = "mustardpath_job_stage_seconds_count{stage=\"first_start\",queue=\"q1\"} 1";
    assert!(text.contains(count), "{text}");
}
