//! A planner whose processor time is scarce for its number of workers and runs.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use mustardpath_core::batch::job::JobKey;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;
use mustardpath_standin::batch::simulation::processing::ProcessingCost;

/// Number of workers in the simulation, each with four accelerators.
const WORKER_COUNT: u32 = 128;

/// Time between two submissions of jobs that are not urgent.
const SUBMIT_INTERVAL: TimeSpan = TimeSpan(100);

/// Number of jobs that are not urgent.
const JOB_COUNT: u64 = 120;

/// Number of these jobs between two urgent gangs.
const JOBS_PER_URGENT_GANG: u64 = 5;

/// Time in milliseconds within which all tasks of an urgent gang must start, as in the settings of
/// the test simulations.
const RECLAIM_BOUND_MS: u64 = 2_700;

/// Returns the time of a submission, in milliseconds from the start of the simulation.
fn submit_time_ms(number: u64) -> u64 {
    2_000 + number * SUBMIT_INTERVAL.0
}

/// Submits short tasks that use about half of the accelerators, and urgent gangs. Returns the gangs
/// with the times of their submission in milliseconds.
fn submit_mixed_load(simulation: &mut BatchSimulation) -> Vec<(JobKey, u64)> {
    let mut urgent = Vec::new();
    for number in 0..JOB_COUNT {
        let key = simulations::key(number);
        simulation
            .job_behavior
            .insert(key, (TimeSpan(1_000), false));
        simulation.submit(0, key, simulations::job(vec![simulations::step(24, 1)]));
        if number % JOBS_PER_URGENT_GANG == 0 {
            let key = simulations::key(1_000 + number);
            let mut step = simulations::step(3, 1);
            step.gang = true;
            simulation.urgent_jobs.insert(key);
            simulation.submit(1, key, simulations::job(vec![step]));
            urgent.push((key, submit_time_ms(number)));
        }
        simulation.advance(SUBMIT_INTERVAL);
    }
    simulation.advance(TimeSpan(3_000));
    urgent
}

/// Returns, for each urgent gang, the time in milliseconds from its submission until all members
/// have started.
fn start_delays(simulation: &BatchSimulation, urgent: &[(JobKey, u64)]) -> Vec<u64> {
    let lines = simulation.trace.as_deref().unwrap_or_default();
    let started_at = |key: &JobKey, index: u32| {
        let run = format!("run={}.0.0.{index}/", key.text());
        let line = lines
            .iter()
            .find(|line| line.contains(&run) && line.contains("outcome=started"));
        let time = line.and_then(|line| line.split(' ').next()?.parse::<u64>().ok());
        time.unwrap_or(u64::MAX)
    };
    let delay = |(key, submitted_at_ms): &(JobKey, u64)| {
        let last_start = (0..3).map(|index| started_at(key, index)).max();
        last_start
            .unwrap_or(u64::MAX)
            .saturating_sub(*submitted_at_ms)
    };
    urgent.iter().map(delay).collect()
}

/// Guards against a planner that iterates over its whole state at each event. It falls behind as
/// the amount of work grows: urgent gangs start late, their members end with `Alone`, and the term
/// is lost (issue 17; bench: cordillera-pista-grown scale-1).
#[test]
fn a_busy_planner_starts_whole_urgent_gangs_in_time() {
    let mut simulation = simulations::simulation(17, 3, WORKER_COUNT);
    simulation.trace = Some(Vec::new());
    simulation.processing_cost = Some(ProcessingCost {
        event_us: 200,
        burst_end_us: 1_600,
    });
    let urgent = submit_mixed_load(&mut simulation);
    let delays = start_delays(&simulation, &urgent);
    let late = delays
        .iter()
        .filter(|delay| **delay > RECLAIM_BOUND_MS)
        .count();
    assert_eq!(late, 0, "late of {}: {delays:?}", delays.len());
    assert_eq!(simulation.checker.incomplete_gang_runs, 0);
    let lines = simulation.trace.clone().unwrap_or_default();
    let claims = lines.iter().filter(|line| line.contains("claiming"));
    assert_eq!(claims.count(), 0);
    assert!(
        simulation.checker.violations.is_empty(),
        "{:#?}",
        simulation.checker.violations
    );
}
