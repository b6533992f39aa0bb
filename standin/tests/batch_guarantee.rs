//! Urgent work of a team within its guarantee while another team uses more than its own.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;

/// Time within which all tasks of an urgent job within its team's guarantee must start, as in the
/// settings of the test simulations.
const RECLAIM_BOUND: TimeSpan = TimeSpan(2_700);

/// Number of waves in a burst. Each wave requests six times the work that completes before the next
/// wave.
const WAVE_COUNT: u64 = 12;

/// Number of jobs in each wave.
const JOBS_PER_WAVE: u64 = 12;

/// Time between two waves. The waves after the second one span [`RECLAIM_BOUND`] together.
const WAVE_INTERVAL: TimeSpan = TimeSpan(RECLAIM_BOUND.0 / (WAVE_COUNT - 1));

/// Returns a simulation with 16 accelerators, of which two teams are guaranteed 8 each.
fn shared_simulation(seed: u64) -> BatchSimulation {
    let mut simulation = simulations::simulation(seed, 3, 4);
    simulation.set_teams(&[("seals", 8), ("sands", 8)]);
    simulation.advance(TimeSpan(1_500));
    simulation.trace = Some(Vec::new());
    simulation
}

/// Submits an urgent job of a team whose tasks use one accelerator each.
fn submit_urgent(
    simulation: &mut BatchSimulation,
    team: &str,
    number: u64,
    tasks: u32,
    run_time: TimeSpan,
) {
    let key = simulations::key(number);
    simulation.urgent_jobs.insert(key);
    simulation.job_teams.insert(key, team.into());
    simulation.job_behavior.insert(key, (run_time, false));
    let mut step = simulations::step(tasks, 1);
    step.estimate = run_time;
    simulation.submit(0, key, simulations::job(vec![step]));
}

fn count_started(simulation: &BatchSimulation, number: u64) -> usize {
    let run = format!("run={}", simulations::key(number).text());
    let lines = simulation.trace.as_deref().unwrap_or_default();
    let started = lines.iter();
    let started = started.filter(|line| line.contains(&run) && line.contains("outcome=started"));
    started.count()
}

/// Guards against urgent work within its team's guarantee that waits for the end of urgent work of
/// another team beyond that team's guarantee (issue 17, RECLAIM).
#[test]
fn urgent_work_within_its_guarantee_reclaims_accelerators_borrowed_by_another_team() {
    for seed in 0..10 {
        let mut simulation = shared_simulation(seed);
        for number in 1..=4 {
            submit_urgent(&mut simulation, "sands", number, 4, TimeSpan(30_000));
            simulation.advance(TimeSpan(50));
        }
        simulation.advance(TimeSpan(1_000));
        assert_eq!(simulation.checker.start_count, 16, "seed {seed}");
        submit_urgent(&mut simulation, "seals", 5, 8, TimeSpan(1_000));
        simulation.advance(RECLAIM_BOUND);
        assert_eq!(
            count_started(&simulation, 5),
            8,
            "seed {seed}: {:#?}",
            simulation.trace
        );
        // The jobs within the other team's guarantee keep running.
        for number in [1, 2] {
            let stopped = format!("run={}.0.0.0/1", simulations::key(number).text());
            let lines = simulation.trace.iter().flatten();
            let mut stops = lines.filter(|line| line.contains("outcome=stopping"));
            assert!(!stops.any(|line| line.contains(&stopped)), "seed {seed}");
        }
        assert!(
            simulation.checker.violations.is_empty(),
            "{:#?}",
            simulation.checker.violations
        );
    }
}

/// Guards against urgent work within a team's guarantee that queues behind a burst of another
/// team's urgent work (issue 17, RECLAIM).
#[test]
fn urgent_work_within_its_guarantee_is_placed_before_a_burst_of_another_team() {
    for seed in 0..10 {
        let mut simulation = shared_simulation(seed);
        for wave in 0..WAVE_COUNT {
            for number in 0..JOBS_PER_WAVE {
                let number = 100 + wave * JOBS_PER_WAVE + number;
                submit_urgent(&mut simulation, "sands", number, 4, TimeSpan(500));
            }
            if wave == 1 {
                submit_urgent(&mut simulation, "seals", 1, 8, TimeSpan(6_000));
            }
            simulation.advance(WAVE_INTERVAL);
        }
        assert_eq!(
            count_started(&simulation, 1),
            8,
            "seed {seed}: {:#?}",
            simulation.trace
        );
        assert!(
            simulation.checker.violations.is_empty(),
            "{:#?}",
            simulation.checker.violations
        );
    }
}
