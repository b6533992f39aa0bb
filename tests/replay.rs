//! Generation, parsing and replay of traces.

use std::path::Path;

use mustardpath::generator::TraceDisruption;
use mustardpath::generator::TraceRecipe;
use mustardpath::generator::generate;
use mustardpath::replay;
use mustardpath::simulation;
use mustardpath::trace::TraceFile;
use mustardpath::workload::DeploymentKind;
use mustardpath_core::policy::PolicyKind;

fn recipe(deployment: DeploymentKind, disruption: TraceDisruption) -> TraceRecipe {
    TraceRecipe {
        deployment,
        disruption,
        hours: 2,
        load_percent: 95,
        seed: 7,
    }
}

/// Guards against a change of the generator after which the committed traces cannot be reproduced.
#[test]
fn committed_traces_match_their_seeds() {
    for name in ["thanh-lam-day", "cordillera-day"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("traces/{name}.jsonl"));
        let committed = std::fs::read_to_string(path).expect("a committed trace");
        assert_eq!(replay::format_trace(name), Ok(committed), "{name}");
    }
}

/// Guards against a truncated or unordered trace that is accepted and replayed in part.
#[test]
fn refuses_damaged_traces() {
    let trace = generate(recipe(DeploymentKind::ThanhLam, TraceDisruption::DomainOut));
    let text = trace.format().expect("a valid trace");
    let parsed = TraceFile::parse(&text).expect("a valid trace");
    assert_eq!(parsed.format().expect("a valid trace"), text);
    let truncated = &text[..text.len() - 5];
    let last = text.lines().count();
    let error = TraceFile::parse(truncated).expect_err("the last line is truncated");
    assert!(error.starts_with(&format!("line {last}:")), "{error}");
    let mut reversed = trace;
    reversed.events.reverse();
    let text = reversed.format().expect("a valid trace");
    assert!(TraceFile::parse(&text).is_err());
}

/// Guards against violated guarantees, invalid placements and lost jobs under each disruption.
#[test]
fn disrupted_traces_preserve_invariants() {
    let disruptions = [
        TraceDisruption::SmallBurst,
        TraceDisruption::LargeBurst,
        TraceDisruption::WrongDeclarations,
        TraceDisruption::Cancellations,
        TraceDisruption::DomainOut,
        TraceDisruption::FaultyWorkers,
    ];
    for disruption in disruptions {
        let trace = generate(recipe(DeploymentKind::Cordillera, disruption));
        let metrics = simulation::replay(&trace, PolicyKind::Mustardpath);
        assert_eq!(
            metrics.violations.len(),
            0,
            "{disruption:?}: {:?}",
            metrics.violations
        );
        assert_eq!(metrics.job_ends.get("unfinished"), None, "{disruption:?}");
        let jobs = trace
            .events
            .iter()
            .filter(|event| event.is_submission())
            .count();
        let ends: u64 = metrics.job_ends.values().sum();
        assert_eq!(ends, jobs as u64, "{disruption:?}");
    }
}

/// Guards against a replay whose result is not determined by its trace.
#[test]
fn replays_are_deterministic() {
    let trace = generate(recipe(DeploymentKind::ThanhLam, TraceDisruption::DomainOut));
    let first = simulation::replay(&trace, PolicyKind::Mustardpath);
    let second = simulation::replay(&trace, PolicyKind::Mustardpath);
    assert_eq!(first.to_json(), second.to_json());
}

/// Guards against a check of guarantees that never fails: first fit without preemption violates
/// them.
#[test]
fn counts_violated_guarantees_of_a_baseline() {
    let mut trace = generate(recipe(DeploymentKind::Cordillera, TraceDisruption::None));
    for team in &mut trace.teams {
        for spec in team.services.values_mut() {
            spec.preemptible = false;
        }
    }
    let metrics = simulation::replay(&trace, PolicyKind::FirstFit);
    assert!(
        metrics
            .violations
            .get("guarantee")
            .is_some_and(|count| *count > 0)
    );
}
