//! Workers that start again under their name as workers of another kind.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use mustardpath_core::batch::job::JobPhase;
use mustardpath_core::batch::job::TaskDemand;
use mustardpath_core::batch::planner::OrderKind;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;

/// Capacity of a worker after it has started again as one of another kind.
const SMALL_CAPACITY: TaskDemand = TaskDemand {
    cpu: 2_000,
    memory: 8_000,
    gpu: 4,
};

/// Time for which the crashed workers are down, after which the planner knows that they are silent.
/// It ends 50 ms after the others have written their entries: the planner pauses its reads of the
/// topic then, and hears of the new processes by their lists first.
const DOWN_TIME: TimeSpan = TimeSpan(2_250);

/// Returns the workers that start again as another kind, from both racks.
fn changing_workers() -> [WorkerName; 3] {
    ["w0", "w1", "w4"].map(WorkerName::from)
}

/// Submits a job with more tasks than the workers have room for, all of which require the label of
/// the old kind.
fn submit_job_for_the_old_kind(simulation: &mut BatchSimulation) {
    simulation.trace = Some(Vec::new());
    let mut step = simulations::step(150, 0);
    step.requirement = Some("a".into());
    simulation.submit(0, simulations::key(1), simulations::job(vec![step]));
}

/// Advances to the first placement, whose start has not been sent yet.
fn advance_to_placement(simulation: &mut BatchSimulation) {
    let is_placed = |simulation: &BatchSimulation| {
        let mut lines = simulation.trace.iter().flatten();
        lines.any(|line| line.contains("outcome=placed"))
    };
    while !is_placed(simulation) {
        simulation.advance(TimeSpan(1));
    }
}

fn restart_as_another_kind(simulation: &mut BatchSimulation) {
    for worker in changing_workers() {
        simulation.restart_worker_as(&worker, "b".into(), SMALL_CAPACITY);
    }
}

fn assert_job_completes_without_violations(simulation: &mut BatchSimulation, seed: u64) {
    simulation.advance(TimeSpan(15_000));
    let violations = &simulation.checker.violations;
    let lines = simulation.trace.as_deref().unwrap_or_default();
    assert!(
        violations.is_empty(),
        "seed {seed}: {violations:#?}\n{lines:#?}"
    );
    let phase = simulation.phase(simulations::key(1));
    assert_eq!(phase, Some(JobPhase::Completed), "seed {seed}");
}

/// Guards against starts by the entry of the process before: the planner knew of the new one from
/// its run lists and went on with the old label and capacity (review/4, LIMIT and ROUTE).
#[test]
fn a_new_incarnation_gets_no_tasks_by_the_entry_of_the_old_one() {
    for seed in 0..8 {
        let mut simulation = simulations::simulation(seed, 3, 8);
        submit_job_for_the_old_kind(&mut simulation);
        simulation.advance(TimeSpan(300));
        for worker in changing_workers() {
            simulation.crash_worker(&worker);
        }
        simulation.advance(DOWN_TIME);
        restart_as_another_kind(&mut simulation);
        assert_job_completes_without_violations(&mut simulation, seed);
    }
}

/// Guards against the start of a placement that was recorded for the process before, while its
/// append took long.
#[test]
fn a_placement_for_an_old_incarnation_is_withdrawn() {
    for seed in 0..8 {
        let mut simulation = simulations::simulation(seed, 3, 8);
        simulation.faults.append_time = TimeSpan(600);
        submit_job_for_the_old_kind(&mut simulation);
        advance_to_placement(&mut simulation);
        for worker in changing_workers() {
            simulation.crash_worker(&worker);
        }
        restart_as_another_kind(&mut simulation);
        simulation.advance(TimeSpan(900));
        simulation.faults.append_time = TimeSpan(0);
        assert_job_completes_without_violations(&mut simulation, seed);
    }
}

/// Guards against a second hold beside the one in flight, if the worker is forgotten between its
/// first lists and its entry: each answer sends the next hold, so both would go on for good.
#[test]
fn a_new_incarnation_has_one_hold_in_flight() {
    let mut simulation = simulations::simulation(1, 3, 8);
    simulation.advance(TimeSpan(300));
    let worker = WorkerName::from("w0");
    simulation.crash_worker(&worker);
    simulation.advance(DOWN_TIME);
    simulation.restart_worker(&worker);
    for _ in 0..400 {
        simulation.advance(TimeSpan(10));
        let planner = simulation.planner_state().expect("there is a planner");
        let orders = planner.orders.values();
        let holds = orders.filter(|order| order.kind == OrderKind::Hold && order.worker == worker);
        assert!(holds.count() <= 1, "at {}", simulation.now());
    }
    let planner = simulation.planner_state().expect("there is a planner");
    assert!(planner.workers[&worker].is_usable(simulation.now()));
}

/// Guards against a start that is sent again while connections to its worker are refused, and so
/// reaches the next process before the planner has heard of it (seen in the records of review/4,
/// ROUTE).
#[test]
fn a_start_that_is_sent_again_does_not_reach_another_kind() {
    for seed in 0..8 {
        let mut simulation = simulations::simulation(seed, 3, 8);
        submit_job_for_the_old_kind(&mut simulation);
        advance_to_placement(&mut simulation);
        for worker in changing_workers() {
            simulation.crash_worker(&worker);
        }
        simulation.advance(TimeSpan(400));
        restart_as_another_kind(&mut simulation);
        assert_job_completes_without_violations(&mut simulation, seed);
    }
}
