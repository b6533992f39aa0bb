//! The policy against its stated targets, relative to the better baseline of the same run.

use std::process::Command;

use serde_json::Value;

/// Mean completion time on Thanh Lam's traces, as a share of the better baseline's.
const COMPLETION_TARGET: f64 = 0.8;

/// Fragmentation on Cordillera's traces, as a share of the better baseline's.
const FRAGMENTATION_TARGET: f64 = 0.6;

/// Work while a failure domain is out on Cordillera's traces, as a share of the better baseline's.
const DOMAIN_WORK_TARGET: f64 = 1.1;

/// Longest start delay of urgent work within its guarantee, in seconds.
const URGENT_TARGET_S: f64 = 3.3;

fn compare(trace: &str) -> Value {
    let output = Command::new(env!("CARGO_BIN_EXE_mustardpath-replay"))
        .args(["compare", "--trace", trace, "--json"])
        .output()
        .expect("the replay runs");
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

/// Returns the policy's figure and those of the baselines.
fn figures(policies: &Value, path: &str) -> (f64, f64, f64) {
    let of = |policy| figure(policies, policy, path);
    (of("mustardpath"), of("first-fit"), of("strict-priority"))
}

/// Guards against work that waits longer than under the usual policies.
#[test]
fn thanh_lam_completes_within_its_target() {
    let policies = compare("thanh-lam-day");
    let (own, first, strict) = figures(&policies, "/mean_completion_s/overall");
    let ratio = own / first.min(strict);
    assert!(ratio <= COMPLETION_TARGET, "ratio {ratio:.3}");
}

/// Guards against free accelerators that no large job can use.
#[test]
fn cordillera_stays_within_its_fragmentation_target() {
    let policies = compare("cordillera-day");
    let (own, first, strict) = figures(&policies, "/fragmentation");
    let ratio = own / first.min(strict);
    assert!(ratio <= FRAGMENTATION_TARGET, "ratio {ratio:.3}");
}

/// Guards against work that is lost when a failure domain leaves, against broken promises and
/// against urgent work that waits.
#[test]
fn cordillera_works_through_a_domain_change() {
    let policies = compare("cordillera-domain-out");
    let (own, first, strict) = figures(&policies, "/useful_hours_domain_out");
    let better = first.max(strict);
    assert!(own >= DOMAIN_WORK_TARGET * better, "{own} against {better}");
    assert!(own > 0.0, "no useful work");
    assert!(figure(&policies, "mustardpath", "/broken").abs() < f64::EPSILON);
    let urgent = figure(&policies, "mustardpath", "/urgent_p99_start_s");
    assert!(urgent <= URGENT_TARGET_S, "{urgent} s");
}
