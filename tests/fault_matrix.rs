//! Fault matrix: injects each fault plan at each step of the work and checks all invariants.
//!
//! `FAULT_CELL="Start:region cut" cargo test --test fault_matrix -- --nocapture` runs one cell and
//! prints its trace.

// This test uses only a part of the module.
#[allow(dead_code)]
mod scenario;

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use self::scenario::ScenarioRun;
use self::scenario::fault::FAULT_PLANS;
use self::scenario::fault::FaultPlan;
use self::scenario::fault::SingleFault;
use self::scenario::run_cell;
use self::scenario::step::STEPS;
use self::scenario::step::ScenarioStep;

/// Threads that run cells. Cells share no state, so the result does not depend on their order.
const THREADS: usize = 4;

/// Minimum number of cells that must run.
const MIN_CELLS: usize = 250;

type CellOutcome = (usize, Vec<String>);

fn cells() -> Vec<(ScenarioStep, &'static FaultPlan)> {
    let pairs = STEPS
        .iter()
        .flat_map(|step| FAULT_PLANS.iter().map(|plan| (*step, plan)));
    pairs.collect()
}

fn run_all(cells: &[(ScenarioStep, &'static FaultPlan)]) -> Vec<CellOutcome> {
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(Vec::new());
    let work = || {
        while let Some((index, (step, plan))) = {
            let index = next.fetch_add(1, Ordering::Relaxed);
            cells.get(index).map(|cell| (index, *cell))
        } {
            if plan.impossible_reason(step).is_none() {
                let (violations, _) = run_cell(step, plan, false);
                outcomes
                    .lock()
                    .expect("no cell panics")
                    .push((index, violations));
            }
        }
    };
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    let mut outcomes = outcomes.into_inner().expect("no cell panics");
    outcomes.sort();
    outcomes
}

fn print_table(cells: &[(ScenarioStep, &'static FaultPlan)], outcomes: &[CellOutcome]) {
    for (number, plan) in FAULT_PLANS.iter().enumerate() {
        println!("{:>3}  {}", number + 1, plan.name);
    }
    let numbers = (1..=FAULT_PLANS.len()).map(|number| format!("{number:>3}"));
    println!("{:<12}{}", "step", numbers.collect::<String>());
    for step in STEPS {
        let row = cells.iter().enumerate().filter(|(_, cell)| cell.0 == step);
        let symbols = row.map(
            |(index, _)| match outcomes.iter().find(|cell| cell.0 == index) {
                None => "  -",
                Some((_, violations)) if violations.is_empty() => "  .",
                Some(_) => "  X",
            },
        );
        println!("{:<12}{}", format!("{step:?}"), symbols.collect::<String>());
    }
    println!(". held, X broken, - cannot occur");
}

fn print_details(cells: &[(ScenarioStep, &'static FaultPlan)], outcomes: &[CellOutcome]) {
    for (step, plan) in cells {
        if let Some(reason) = plan.impossible_reason(*step) {
            println!("cannot occur: {step:?}, {}: {reason}", plan.name);
        }
    }
    for (index, violations) in outcomes {
        let (step, plan) = cells[*index];
        for line in violations {
            println!("broken: {step:?}, {}: {line}", plan.name);
        }
    }
}

fn run_named_cell(name: &str) {
    let found = cells()
        .into_iter()
        .find(|(step, plan)| format!("{step:?}:{}", plan.name) == name);
    let (step, plan) = found.expect("FAULT_CELL names a step and a fault");
    let (violations, trace) = run_cell(step, plan, true);
    trace.iter().for_each(|line| println!("{line}"));
    violations
        .iter()
        .for_each(|line| println!("broken: {line}"));
    assert!(violations.is_empty(), "{name} violates invariants");
}

/// Guards against a fault that violates an invariant when it occurs at one step of the work.
#[test]
fn every_cell_preserves_all_invariants() {
    if let Ok(name) = std::env::var("FAULT_CELL") {
        return run_named_cell(&name);
    }
    let cells = cells();
    let outcomes = run_all(&cells);
    print_table(&cells, &outcomes);
    print_details(&cells, &outcomes);
    let violating = outcomes.iter().filter(|cell| !cell.1.is_empty()).count();
    println!(
        "fault matrix: {} cells, {} held, {violating} broken",
        outcomes.len(),
        outcomes.len() - violating
    );
    assert!(
        outcomes.len() >= MIN_CELLS,
        "fewer than {MIN_CELLS} cells ran"
    );
    assert_eq!(violating, 0, "cells with violations are listed above");
}

/// Guards against a partial gang that keeps running: its planner dies between two commands, and no
/// daemon can take over while the log is down.
#[test]
fn a_partial_gang_ends_while_the_log_is_down() {
    let plan = FaultPlan {
        name: "daemon killed in between + log down 2 h",
        faults: &[SingleFault::DaemonKilledMidway, SingleFault::LogDownHours],
        is_repeated: false,
    };
    for step in [ScenarioStep::Start, ScenarioStep::Stop] {
        let (violations, _) = run_cell(step, &plan, false);
        assert!(violations.is_empty(), "{step:?}: {violations:#?}");
    }
}

/// Guards against a false "not run" refusal: a daemon that has not read the log does not know that
/// a repeated key has run.
#[test]
fn a_starting_daemon_does_not_refuse_a_key_that_ran() {
    let mut run = ScenarioRun::new(false);
    let plan = FAULT_PLANS.iter().find(|plan| plan.name == "worker dead");
    let daemon = ScenarioStep::TakeOver.reach(&mut run);
    plan.expect("the plan is in the matrix")
        .inject_and_heal(&mut run, daemon.expect("the step is reached"));
    run.run_to_completion();
    let false_refusals = run
        .operations
        .iter()
        .filter(|operation| operation.was_falsely_refused);
    assert_eq!(
        false_refusals.count(),
        0,
        "work that ran was refused as not run"
    );
}
