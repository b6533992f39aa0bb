//! Orders that reach a worker after it has started again under its name.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;

/// Run time of a task, longer than a lease and the silence of its worker together.
const RUN_TIME: TimeSpan = TimeSpan(20_000);

/// Number of seeds of each test.
const SEED_COUNT: u64 = 16;

/// Number of tasks, which leave room for some to start again on other workers.
const TASK_COUNT: u32 = 24;

/// Times for which workers are down, about as long as a hold waits for its answer: the next one is
/// sent to the old process and reaches the new one.
const DOWN_TIMES: [TimeSpan; 4] = [
    TimeSpan(2_000),
    TimeSpan(2_200),
    TimeSpan(2_300),
    TimeSpan(2_400),
];

/// Time from a start of workers to the cut of their links. It is shorter than the interval between
/// two renewals of a lease, so that a late hold is the last to reach a worker.
const TIME_TO_CUT: TimeSpan = TimeSpan(900);

/// Time for which workers are down. It ends 50 ms after the others have written their entries: the
/// planner pauses its reads of the topic then, and hears of the new processes by their lists first.
const DOWN_TIME_TO_LIST_FIRST: TimeSpan = TimeSpan(2_550);

/// Latencies of orders after the restart.
const ORDER_DELAYS: [TimeSpan; 2] = [TimeSpan(0), TimeSpan(400)];

/// Returns the workers that start again, which are half of them.
fn restarted_workers() -> [WorkerName; 4] {
    ["w0", "w1", "w2", "w3"].map(WorkerName::from)
}

/// Submits long tasks, some of which run on workers that start again.
fn submit_long_job(simulation: &mut BatchSimulation) {
    simulation.trace = Some(Vec::new());
    let job = simulations::key(1);
    simulation.job_behavior.insert(job, (RUN_TIME, false));
    let step = simulations::step(TASK_COUNT, 0);
    simulation.submit(0, job, simulations::job(vec![step]));
}

/// Returns a simulation in which long tasks have been running for a while.
fn busy_simulation(seed: u64) -> BatchSimulation {
    let mut simulation = simulations::simulation(seed, 3, 8);
    // The clock of a process starts anew, so times of the old one are far ahead of it.
    simulation.advance(TimeSpan(20_000));
    submit_long_job(&mut simulation);
    simulation.advance(TimeSpan(1_000));
    simulation
}

fn restart_workers(simulation: &mut BatchSimulation, down_time: TimeSpan) {
    for worker in restarted_workers() {
        simulation.crash_worker(&worker);
    }
    simulation.advance(down_time);
    for worker in restarted_workers() {
        simulation.restart_worker(&worker);
    }
}

fn assert_no_violations(simulation: &BatchSimulation, seed: u64) {
    let violations = &simulation.checker.violations;
    let lines = simulation.trace.as_deref().unwrap_or_default();
    assert!(
        violations.is_empty(),
        "seed {seed}: {violations:#?}\n{lines:#?}"
    );
}

/// Returns whether any daemon has given up its term because a worker refused its token.
fn has_resigned(simulation: &BatchSimulation) -> bool {
    let mut lines = simulation.trace.iter().flatten();
    lines.any(|line| line.contains("has seen a higher token"))
}

/// Guards against a lease that an order to the former process lengthens at the new one: the planner
/// gave up the runs there while they went on (issue 34, TWICE).
#[test]
fn a_late_hold_does_not_outlast_the_lease_of_the_next_incarnation() {
    let cases = (0..SEED_COUNT).flat_map(|seed| DOWN_TIMES.map(|down_time| (seed, down_time)));
    for (seed, down_time) in cases {
        let mut simulation = busy_simulation(seed);
        simulation.faults.are_packets_retransmitted = true;
        restart_workers(&mut simulation, down_time);
        simulation.advance(TIME_TO_CUT);
        let cut = &mut simulation.faults.partitioned_workers;
        cut.extend(restarted_workers());
        simulation.advance(TimeSpan(9_000));
        simulation.faults.partitioned_workers.clear();
        simulation.advance(TimeSpan(5_000));
        assert_no_violations(&simulation, seed);
        assert!(!has_resigned(&simulation), "seed {seed}");
    }
}

/// Guards against a start that is carried out by the next process, after its task was placed
/// elsewhere because a list of that process did not show it (review/2, TWICE).
#[test]
fn a_late_start_does_not_run_on_the_next_incarnation() {
    let cases = (0..SEED_COUNT).flat_map(|seed| ORDER_DELAYS.map(|delay| (seed, delay)));
    for (seed, order_delay) in cases {
        let mut simulation = simulations::simulation(seed, 3, 8);
        simulation.faults.late_order_permille = 300;
        simulation.faults.are_late_orders_kept = true;
        submit_long_job(&mut simulation);
        simulation.advance(TimeSpan(100));
        simulation.faults.late_order_permille = 0;
        simulation.advance(TimeSpan(1_000));
        simulation.faults.order_delay = order_delay;
        restart_workers(&mut simulation, TimeSpan(100));
        simulation.advance(TimeSpan(15_000));
        assert_no_violations(&simulation, seed);
        assert!(!has_resigned(&simulation), "seed {seed}");
    }
}

/// Guards against runs that are given up by the list that shows the new process: a start that was
/// sent before can still arrive until that process has seen the next token.
#[test]
fn the_first_list_of_the_next_incarnation_gives_up_no_runs() {
    let mut simulation = busy_simulation(1);
    restart_workers(&mut simulation, DOWN_TIME_TO_LIST_FIRST);
    simulation.advance(TimeSpan(1_000));
    let lines = simulation.trace.as_deref().unwrap_or_default();
    let time_of = |worker: &WorkerName, text: &str| {
        let pattern = format!("worker={worker} {text}");
        let line = lines.iter().find(|line| line.contains(&pattern))?;
        line.split(' ').next()?.parse::<u64>().ok()
    };
    let mut is_checked = false;
    for worker in restarted_workers() {
        let found_at = time_of(&worker, "born=");
        let entry_at = time_of(&worker, "condition=");
        if let Some(absent_at) = time_of(&worker, "outcome=runs_absent") {
            assert!(found_at < Some(absent_at), "{worker}: {lines:#?}");
            is_checked |= found_at < entry_at;
        }
    }
    assert!(is_checked, "no list came before the entry: {lines:#?}");
}
