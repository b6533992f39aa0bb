//! A matrix of steps by faults. Each cell holds all promises or names the broken ones.
//!
//! `FAULT_CELL="Start:region cut" cargo test --test fault_matrix -- --nocapture` runs one cell and
//! prints its trace.

// The other test of the cells uses further parts of the module.
#[allow(dead_code)]
mod cells;

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use self::cells::CellRun;
use self::cells::fault::CellFault;
use self::cells::fault::FAULTS;
use self::cells::fault::SingleFault;
use self::cells::run_cell;
use self::cells::step::CellStep;
use self::cells::step::STEPS;

/// Threads that run cells. The cells share nothing, so the table does not depend on their order.
const THREADS: usize = 4;

/// Least number of cells that the matrix has to hold.
const LEAST_CELLS: usize = 250;

type CellOutcome = (usize, Vec<String>);

fn cells() -> Vec<(CellStep, &'static CellFault)> {
    let pairs = STEPS
        .iter()
        .flat_map(|step| FAULTS.iter().map(|fault| (*step, fault)));
    pairs.collect()
}

fn run_all(cells: &[(CellStep, &'static CellFault)]) -> Vec<CellOutcome> {
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(Vec::new());
    let work = || {
        while let Some((index, (step, fault))) = {
            let index = next.fetch_add(1, Ordering::Relaxed);
            cells.get(index).map(|cell| (index, *cell))
        } {
            if fault.impossible_at(step).is_none() {
                let (broken, _) = run_cell(step, fault, false);
                outcomes
                    .lock()
                    .expect("no cell panics")
                    .push((index, broken));
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

fn print_table(cells: &[(CellStep, &'static CellFault)], outcomes: &[CellOutcome]) {
    for (number, fault) in FAULTS.iter().enumerate() {
        println!("{:>3}  {}", number + 1, fault.name);
    }
    let numbers = (1..=FAULTS.len()).map(|number| format!("{number:>3}"));
    println!("{:<12}{}", "step", numbers.collect::<String>());
    for step in STEPS {
        let row = cells.iter().enumerate().filter(|(_, cell)| cell.0 == step);
        let marks = row.map(
            |(index, _)| match outcomes.iter().find(|cell| cell.0 == index) {
                None => "  -",
                Some((_, broken)) if broken.is_empty() => "  .",
                Some(_) => "  X",
            },
        );
        println!("{:<12}{}", format!("{step:?}"), marks.collect::<String>());
    }
    println!(". held, X broken, - cannot occur");
}

fn print_reasons(cells: &[(CellStep, &'static CellFault)], outcomes: &[CellOutcome]) {
    for (step, fault) in cells {
        if let Some(reason) = fault.impossible_at(*step) {
            println!("cannot occur: {step:?}, {}: {reason}", fault.name);
        }
    }
    for (index, broken) in outcomes {
        let (step, fault) = cells[*index];
        for line in broken {
            println!("broken: {step:?}, {}: {line}", fault.name);
        }
    }
}

fn run_named(name: &str) {
    let found = cells()
        .into_iter()
        .find(|(step, fault)| format!("{step:?}:{}", fault.name) == name);
    let (step, fault) = found.expect("FAULT_CELL names a step and a fault");
    let (broken, trace) = run_cell(step, fault, true);
    trace.iter().for_each(|line| println!("{line}"));
    broken.iter().for_each(|line| println!("broken: {line}"));
    assert!(broken.is_empty(), "{name} is broken");
}

#[test]
fn every_cell_holds_all_promises() {
    // Guards against a fault at one step of the work that breaks a promise.
    if let Ok(name) = std::env::var("FAULT_CELL") {
        return run_named(&name);
    }
    let cells = cells();
    let outcomes = run_all(&cells);
    print_table(&cells, &outcomes);
    print_reasons(&cells, &outcomes);
    let broken = outcomes.iter().filter(|cell| !cell.1.is_empty()).count();
    println!(
        "fault matrix: {} cells, {} held, {broken} broken",
        outcomes.len(),
        outcomes.len() - broken
    );
    assert!(outcomes.len() >= LEAST_CELLS, "too few cells");
    assert_eq!(broken, 0, "broken cells are listed above");
}

#[test]
fn a_partial_gang_ends_while_the_log_is_down() {
    // Guards against half a gang that runs on alone because its planner died between two commands
    // and nobody can take over without the log.
    let fault = CellFault {
        name: "daemon killed in between + log down 2 h",
        parts: &[SingleFault::KilledBetween, SingleFault::LogDownHours],
        twice: false,
    };
    for step in [CellStep::Start, CellStep::Stop] {
        let (broken, _) = run_cell(step, &fault, false);
        assert!(broken.is_empty(), "{step:?}: {broken:#?}");
    }
}

#[test]
fn a_starting_daemon_does_not_refuse_a_key_that_ran() {
    // Guards against "not run" for a repeated key from a daemon that has not read the log.
    let mut run = CellRun::new(false);
    let fault = FAULTS.iter().find(|fault| fault.name == "worker dead");
    let actor = CellStep::TakeOver.reach(&mut run);
    fault
        .expect("the column exists")
        .run(&mut run, actor.expect("the step comes"));
    run.settle();
    let untrue = run.orders.iter().filter(|order| order.refused_unread);
    assert_eq!(untrue.count(), 0, "work that ran was refused as not run");
}
