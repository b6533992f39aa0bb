//! Run lists of a worker with more ends than one list holds.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use mustardpath_core::batch::job::JobPhase;
use mustardpath_core::batch::job::TaskDemand;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;

/// Number of tasks, all on one worker: more than the 500 ends that a list holds.
const TASK_COUNT: u32 = 640;

/// Returns a simulation of 3 daemons with 4 workers, one of which runs all tasks of a job.
fn simulation_with_full_worker(seed: u64) -> BatchSimulation {
    let mut simulation = simulations::simulation(seed, 3, 4);
    simulation.trace = Some(Vec::new());
    let mut step = simulations::step(TASK_COUNT, 0);
    step.demand = TaskDemand {
        cpu: 10,
        memory: 10,
        gpu: 0,
    };
    simulation.submit(0, simulations::key(1), simulations::job(vec![step]));
    simulation.advance(TimeSpan(500));
    let starts = simulation.checker.start_count;
    assert_eq!(starts, u64::from(TASK_COUNT), "seed {seed}");
    simulation
}

/// Asserts that the job completes after one run of each task.
fn assert_each_task_ran_once(simulation: &mut BatchSimulation, rest: TimeSpan, seed: u64) {
    simulation.advance(rest);
    let lines = simulation.trace.as_deref().unwrap_or_default();
    let lists = lines.iter().filter(|line| line.contains("runs_absent"));
    let lists: Vec<&String> = lists.collect();
    let violations = &simulation.checker.violations;
    assert!(
        violations.is_empty(),
        "seed {seed}: {violations:#?}\n{lists:#?}"
    );
    let starts = simulation.checker.start_count;
    assert_eq!(starts, u64::from(TASK_COUNT), "seed {seed}: {lists:#?}");
    let phase = simulation.phase(simulations::key(1));
    assert_eq!(phase, Some(JobPhase::Completed), "seed {seed}");
}

/// Guards against a new planner that starts tasks again whose ends do not fit into the first list
/// (review/1, TWICE).
#[test]
fn a_new_planner_does_not_rerun_tasks_whose_ends_follow_in_the_next_list() {
    for seed in 0..4 {
        let mut simulation = simulation_with_full_worker(seed);
        let planner = simulation.planner().expect("there is a planner");
        simulation.kill(planner);
        assert_each_task_ran_once(&mut simulation, TimeSpan(8_000), seed);
    }
}

/// Guards against the same at a planner that has started the runs itself, and that cannot record
/// and acknowledge their ends while the store is down.
#[test]
fn a_planner_does_not_rerun_tasks_whose_ends_wait_for_the_store() {
    for seed in 0..4 {
        let mut simulation = simulation_with_full_worker(seed);
        simulation.faults.is_store_down = true;
        simulation.advance(TimeSpan(4_000));
        simulation.faults.is_store_down = false;
        assert_each_task_ran_once(&mut simulation, TimeSpan(8_000), seed);
    }
}
