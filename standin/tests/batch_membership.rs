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

/// Makes the busy workers reachable for one daemon only.
fn reserve_busy_workers(simulation: &mut BatchSimulation, daemon: usize) {
    let busy = busy_workers(simulation);
    for other in (0..simulation.daemon_count()).filter(|other| *other != daemon) {
        let links = busy.iter().map(|worker| (other, worker.clone()));
        simulation.faults.severed_links.extend(links);
    }
    let idle = simulation
        .workers
        .keys()
        .filter(|worker| !busy.contains(worker));
    let links = idle.map(|worker| (daemon, worker.clone()));
    simulation.faults.severed_links.extend(links);
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

/// Guards against a planner that is cut off from the store and keeps work alive on workers that its
/// successor cannot reach, and believes to have ended.
#[test]
fn a_replaced_planner_stops_extending_leases_before_its_successor_gives_up() {
    for seed in 0..8 {
        let mut simulation = busy_simulation(seed, TimeSpan(40_000));
        let planner = simulation.planner().expect("there is a planner");
        simulation.faults.partitioned_daemons.insert(planner);
        reserve_busy_workers(&mut simulation, planner);
        simulation.advance(TimeSpan(30_000));
        assert_ne!(simulation.planner(), Some(planner), "seed {seed}");
        assert_invariants(&simulation);
    }
}

/// Guards against a planner that was suspended and extends leases when it resumes, after another
/// daemon has become the planner.
#[test]
fn a_resumed_planner_extends_no_leases() {
    for seed in 0..8 {
        let mut simulation = busy_simulation(seed, TimeSpan(40_000));
        let planner = simulation.planner().expect("there is a planner");
        reserve_busy_workers(&mut simulation, planner);
        simulation.set_paused(planner, true);
        simulation.advance(TimeSpan(3_000));
        simulation.faults.partitioned_daemons.insert(planner);
        simulation.set_paused(planner, false);
        simulation.advance(TimeSpan(15_000));
        assert_invariants(&simulation);
    }
}

/// Guards against a planner that resumes after a pause and gives up workers whose leases seem to
/// have expired meanwhile, before it knows whether it is still the planner.
#[test]
fn a_resumed_planner_gives_up_no_worker_before_it_has_read_the_topic() {
    let mut simulation = busy_simulation(3, TimeSpan(20_000));
    let planner = simulation.planner().expect("there is a planner");
    let workers = busy_workers(&simulation);
    simulation.faults.refusing_workers.extend(workers);
    simulation.advance(TimeSpan(1_800));
    simulation.set_paused(planner, true);
    simulation.faults.refusing_workers.clear();
    simulation.advance(TimeSpan(8_000));
    simulation.set_paused(planner, false);
    simulation.advance(TimeSpan(200));
    let trace = simulation.trace.as_deref().unwrap_or_default();
    let given_up = format!("d{planner} lease: ");
    let given_up = trace
        .iter()
        .filter(|line| line.contains(&given_up) && line.contains("runs_gone"));
    assert_eq!(given_up.count(), 0, "{trace:#?}");
}
