//! Workers that are hard to reach, and entries of workers that another writer has spoiled.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use mustardpath_core::batch::job::JobPhase;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;

/// Number of tasks of the job, each of which takes a whole worker.
const TASK_COUNT: u32 = 4;

/// Returns a simulation of 3 daemons and 8 workers, half of which run a task.
fn busy_simulation(seed: u64, run_time: TimeSpan) -> BatchSimulation {
    let mut simulation = simulations::simulation(seed, 3, 8);
    simulation.trace = Some(Vec::new());
    simulation
        .job_behavior
        .insert(simulations::key(1), (run_time, false));
    simulation.urgent_jobs.insert(simulations::key(1));
    let mut step = simulations::step(TASK_COUNT, 4);
    step.estimate = run_time;
    simulation.submit(0, simulations::key(1), simulations::job(vec![step]));
    simulation.advance(TimeSpan(1_000));
    assert_eq!(simulation.checker.start_count, u64::from(TASK_COUNT));
    simulation
}

/// Returns the workers that run a task.
fn busy_workers(simulation: &BatchSimulation) -> Vec<WorkerName> {
    let workers = simulation.workers.iter();
    let busy = workers.filter(|(_, model)| !model.running.is_empty());
    busy.map(|(worker, _)| worker.clone()).collect()
}

fn assert_invariants(simulation: &BatchSimulation) {
    assert!(
        simulation.checker.violations.is_empty(),
        "{:#?}\n{}",
        simulation.checker.violations,
        simulation.trace.clone().unwrap_or_default().join("\n")
    );
}

/// Asserts that the tasks of the job ran once each and that it completes.
fn assert_undisturbed(simulation: &mut BatchSimulation, rest: TimeSpan) {
    simulation.advance(rest);
    assert_invariants(simulation);
    let starts = simulation.checker.start_count;
    assert_eq!(starts, u64::from(TASK_COUNT), "{:#?}", simulation.trace);
    assert_eq!(
        simulation.phase(simulations::key(1)),
        Some(JobPhase::Completed)
    );
}

/// Guards against a cut that refuses connections and is taken for the end of the worker's process:
/// its tasks were started elsewhere while they still ran (bench: duschwerk-hq, tlr-bench-grown and
/// tlr-bench-large with `node_cut`, `servers refuse`: TWICE).
#[test]
fn runs_on_a_worker_that_refuses_connections_go_on() {
    let mut simulation = busy_simulation(1, TimeSpan(8_000));
    let workers = busy_workers(&simulation);
    simulation.faults.refusing_workers.extend(workers);
    simulation.advance(TimeSpan(3_500));
    simulation.faults.refusing_workers.clear();
    assert_undisturbed(&mut simulation, TimeSpan(6_000));
}
