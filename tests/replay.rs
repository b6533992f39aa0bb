//! Traces and their replay.

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

/// Guards against committed traces that differ from what the seeds give.
#[test]
fn committed_traces_match_their_seeds() {
    for name in ["thanh-lam-day", "cordillera-day"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("traces/{name}.jsonl"));
        let committed = std::fs::read_to_string(path).expect("a committed trace");
        assert_eq!(replay::format_trace(name), Ok(committed), "{name}");
    }
}

/// Guards against a trace that is read in part, or in the wrong order.
#[test]
fn refuses_damaged_traces() {
    let trace = generate(recipe(DeploymentKind::ThanhLam, TraceDisruption::DomainOut));
    let text = trace.format().expect("a valid trace");
    let read = TraceFile::parse(&text).expect("a valid trace");
    assert_eq!(read.format().expect("a valid trace"), text);
    let cut = &text[..text.len() - 5];
    let last = text.lines().count();
    let error = TraceFile::parse(cut).expect_err("the last line is cut");
    assert!(error.starts_with(&format!("line {last}:")), "{error}");
    let mut swapped = trace;
    swapped.events.reverse();
    let text = swapped.format().expect("a valid trace");
    assert!(TraceFile::parse(&text).is_err());
}

/// Guards against broken promises and lost jobs.
#[test]
fn keeps_promises_in_disrupted_traces() {
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
            .filter(|event| event.is_submit())
            .count();
        let ends: u64 = metrics.job_ends.values().sum();
        assert_eq!(ends, jobs as u64, "{disruption:?}");
    }
}

/// Guards against results that change from run to run.
#[test]
fn gives_the_same_result_again() {
    let trace = generate(recipe(DeploymentKind::ThanhLam, TraceDisruption::DomainOut));
    let first = simulation::replay(&trace, PolicyKind::Mustardpath);
    let second = simulation::replay(&trace, PolicyKind::Mustardpath);
    assert_eq!(first.to_json(), second.to_json());
}

/// Guards against a check of promises that cannot fail: first fit breaks guarantees.
#[test]
fn counts_broken_guarantees_of_a_baseline() {
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
