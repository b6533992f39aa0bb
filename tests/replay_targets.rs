//! Targets of the scheduling policy, relative to the better baseline on the same trace.

use std::process::Command;

use serde_json::Value;

/// Maximum mean completion time on Thanh Lam's trace, relative to the better baseline.
const MAX_COMPLETION_RATIO: f64 = 0.8;

/// Maximum fragmentation on Cordillera's trace, relative to the better baseline.
const MAX_FRAGMENTATION_RATIO: f64 = 0.6;

/// Minimum progress while a failure domain is out of service on Cordillera's trace, relative to the
/// better baseline.
const MIN_OUTAGE_PROGRESS_RATIO: f64 = 1.1;

/// Maximum 99th percentile of the start delay of urgent jobs within their team's guarantee, in
/// seconds.
const MAX_URGENT_START_S: f64 = 3.3;

fn compare(trace: &str) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_mustardpath-replay"))
        .args(["compare", "--trace", trace, "--json"])
        .output()
        .expect("the command starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let line = text.lines().last().expect("a result");
    serde_json::from_str::<Value>(line).expect("JSON")["policies"].take()
}

fn figure(policies: &Value, policy: &str, path: &str) -> f64 {
    let value = policies[policy].pointer(path);
    value
        .and_then(Value::as_f64)
        .unwrap_or_else(|| panic!("{policy} has no {path}"))
}

/// Returns the figures of the policy, of first fit and of strict priority.
fn figures(policies: &Value, path: &str) -> (f64, f64, f64) {
    let of = |policy| figure(policies, policy, path);
    (of("mustardpath"), of("first-fit"), of("strict-priority"))
}

/// Guards against a policy under which jobs complete later than under common policies.
#[test]
fn thanh_lam_completes_within_its_target() {
    let policies = compare("thanh-lam-day");
    let (own, first, strict) = figures(&policies, "/mean_completion_s/overall");
    let ratio = own / first.min(strict);
    assert!(ratio <= MAX_COMPLETION_RATIO, "ratio {ratio:.3}");
}

/// Guards against placements that leave free accelerators scattered, so that large gangs do not
/// fit.
#[test]
fn cordillera_stays_within_its_fragmentation_target() {
    let policies = compare("cordillera-day");
    let (own, first, strict) = figures(&policies, "/fragmentation");
    let ratio = own / first.min(strict);
    assert!(ratio <= MAX_FRAGMENTATION_RATIO, "ratio {ratio:.3}");
}

/// Guards against progress that is lost when a failure domain is taken out of service, against
/// violations and against late starts of urgent jobs.
#[test]
fn cordillera_progresses_while_a_failure_domain_is_out() {
    let policies = compare("cordillera-domain-out");
    let (own, first, strict) = figures(&policies, "/useful_hours_domain_out");
    let better = first.max(strict);
    assert!(
        own >= MIN_OUTAGE_PROGRESS_RATIO * better,
        "{own} against {better}"
    );
    assert!(own > 0.0, "no useful work");
    assert!(figure(&policies, "mustardpath", "/broken").abs() < f64::EPSILON);
    let urgent = figure(&policies, "mustardpath", "/urgent_p99_start_s");
    assert!(urgent <= MAX_URGENT_START_S, "{urgent} s");
}
