//! Traces and their replay.

use std::path::Path;

use mustardpath::generator::Disruption;
use mustardpath::generator::TraceRecipe;
use mustardpath::generator::generate;
use mustardpath::replay;
use mustardpath::simulation;
use mustardpath::trace::TraceFile;
use mustardpath::workload::DeploymentKind;
use mustardpath_core::policy::PolicyKind;

fn recipe(deployment: DeploymentKind, disruption: Disruption) -> TraceRecipe {
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
        assert_eq!(replay::written(name), Ok(committed), "{name}");
    }
}

/// Guards against a trace that is read in part, or in the wrong order.
#[test]
fn refuses_damaged_traces() {
    let trace = generate(recipe(DeploymentKind::ThanhLam, Disruption::DomainOut));
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
        Disruption::SmallBurst,
        Disruption::LargeBurst,
        Disruption::WrongDeclarations,
        Disruption::Cancellations,
        Disruption::DomainOut,
        Disruption::FaultyWorkers,
    ];
    for disruption in disruptions {
        let trace = generate(recipe(DeploymentKind::Cordillera, disruption));
        let measure = simulation::replay(&trace, PolicyKind::Mustardpath);
        assert_eq!(
            measure.broken.len(),
            0,
            "{disruption:?}: {:?}",
            measure.broken
        );
        assert_eq!(measure.ends.get("unfinished"), None, "{disruption:?}");
        let jobs = trace
            .events
            .iter()
            .filter(|event| event.is_submit())
            .count();
        let ends: u64 = measure.ends.values().sum();
        assert_eq!(ends, jobs as u64, "{disruption:?}");
    }
}

/// Guards against results that change from run to run.
#[test]
fn gives_the_same_result_again() {
    let trace = generate(recipe(DeploymentKind::ThanhLam, Disruption::DomainOut));
    let first = simulation::replay(&trace, PolicyKind::Mustardpath);
    let second = simulation::replay(&trace, PolicyKind::Mustardpath);
    assert_eq!(first.to_json(), second.to_json());
}

/// Guards against a check of promises that cannot fail: first fit breaks guarantees.
#[test]
fn counts_broken_guarantees_of_a_baseline() {
    let mut trace = generate(recipe(DeploymentKind::Cordillera, Disruption::None));
    for team in &mut trace.teams {
        for spec in team.services.values_mut() {
            spec.preemptible = false;
        }
    }
    let measure = simulation::replay(&trace, PolicyKind::FirstFit);
    assert!(
        measure
            .broken
            .get("guarantee")
            .is_some_and(|count| *count > 0)
    );
}
