//! The API and operations pages list every error kind and every metric.

use mustardpath_core::effect::MetricName;
use mustardpath_core::kind::KIND_TABLE;
use mustardpath_core::units::format_span;

/// Guards against an error kind that is missing from the page or listed with another status, run
/// status or retry time.
#[test]
fn api_page_lists_every_error_kind() {
    let page = include_str!("../docs/API.md");
    for row in &KIND_TABLE {
        let kind = serde_json::to_value(row.kind).expect("a kind can be encoded");
        let run = serde_json::to_value(row.run).expect("a run status can be encoded");
        let retry = row.retry_after.map_or_else(|| "no".to_owned(), format_span);
        let (kind, run) = (kind.as_str(), run.as_str());
        let line = format!(
            "| `{}` | {} | `{}` | {retry} | ",
            kind.unwrap_or_default(),
            row.status,
            run.unwrap_or_default()
        );
        assert!(page.contains(&line), "{line} is not on the page");
    }
}

/// Guards against a metric that the page does not explain.
#[test]
fn operations_page_lists_every_metric() {
    let page = include_str!("../docs/OPERATIONS.md");
    // Serde's error for an unknown variant lists all variants.
    let error = serde_json::from_str::<MetricName>("\"none\"").expect_err("not a metric");
    let message = error.to_string();
    let names: Vec<_> = message.split('`').skip(3).step_by(2).collect();
    assert!(names.contains(&"jobs_accepted"), "{message}");
    assert!(names.contains(&"log_age"), "{message}");
    for name in names {
        let row = format!("| `{name}` | ");
        assert!(page.contains(&row), "{name} is not on the page");
    }
}
