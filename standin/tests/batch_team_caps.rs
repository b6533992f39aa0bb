//! Teams with caps and weights: what starts below a cap, what is stopped for urgent work under it,
//! and whose work goes first.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use mustardpath_core::batch::job::StepDefinition;
use mustardpath_core::batch::job::TaskDemand;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;

/// Time within which all tasks of an urgent job within its team's guarantee must start, as in the
/// settings of the test simulations.
const RECLAIM_BOUND: TimeSpan = TimeSpan(2_700);

const LONG_RUN: TimeSpan = TimeSpan(30_000);

/// Returns a simulation with 32 accelerators and a team that is guaranteed 8 of them, with a cap.
fn capped_simulation(seed: u64, cap_gpu: u64) -> BatchSimulation {
    let mut simulation = simulations::simulation(seed, 3, 8);
    simulation.set_teams(&[("seals", 8), ("sands", 8)]);
    set_cap(&mut simulation, cap_gpu);
    simulation.advance(TimeSpan(1_500));
    simulation.trace = Some(Vec::new());
    simulation
}

fn set_cap(simulation: &mut BatchSimulation, gpu: u64) {
    let cap = TaskDemand {
        gpu,
        ..TaskDemand::default()
    };
    simulation.set_cap("seals", cap);
}

fn submit(
    simulation: &mut BatchSimulation,
    team: &str,
    number: u64,
    step: StepDefinition,
    run_time: TimeSpan,
) {
    let key = simulations::key(number);
    simulation.job_teams.insert(key, team.into());
    simulation.job_behavior.insert(key, (run_time, false));
    simulation.submit(0, key, simulations::job(vec![step]));
}

fn submit_urgent(simulation: &mut BatchSimulation, number: u64, step: StepDefinition) {
    simulation.urgent_jobs.insert(simulations::key(number));
    submit(simulation, "seals", number, step, TimeSpan(1_000));
}

fn gang(count: u32) -> StepDefinition {
    let mut step = simulations::step(count, 1);
    step.gang = true;
    step
}

/// Returns the number of log lines about runs of a job with the given outcome.
fn count_lines(simulation: &BatchSimulation, number: u64, outcome: &str) -> usize {
    let run = format!("run={}", simulations::key(number).text());
    let lines = simulation.trace.iter().flatten();
    let lines = lines.filter(|line| line.contains(&run) && line.contains(outcome));
    lines.count()
}

fn assert_valid(simulation: &BatchSimulation, seed: u64) {
    let violations = &simulation.checker.violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Guards against urgent work within its guarantee that waits for the end of less urgent work of its own
/// team, which has used up the cap while workers are free.
#[test]
fn urgent_work_stops_less_urgent_work_of_its_team_under_the_cap() {
    for seed in 0..10 {
        let mut simulation = capped_simulation(seed, 12);
        submit(
            &mut simulation,
            "seals",
            1,
            simulations::step(12, 1),
            LONG_RUN,
        );
        simulation.advance(TimeSpan(2_000));
        assert_eq!(count_lines(&simulation, 1, "outcome=started"), 12);
        submit_urgent(&mut simulation, 2, gang(5));
        submit_urgent(&mut simulation, 3, simulations::step(3, 1));
        simulation.advance(RECLAIM_BOUND);
        assert_eq!(count_lines(&simulation, 2, "outcome=started"), 5, "{seed}");
        assert_eq!(count_lines(&simulation, 3, "outcome=started"), 3, "{seed}");
        assert_eq!(count_lines(&simulation, 1, "outcome=stopping"), 8, "{seed}");
        assert_valid(&simulation, seed);
    }
}

/// Guards against two stops one after the other, under the cap and then on workers, which together
/// take longer than the bound on the start of urgent work.
#[test]
fn urgent_work_starts_in_time_when_cap_and_workers_are_full() {
    for seed in 0..10 {
        let mut simulation = capped_simulation(seed, 12);
        submit(
            &mut simulation,
            "seals",
            1,
            simulations::step(12, 1),
            LONG_RUN,
        );
        simulation.advance(TimeSpan(1_000));
        submit(
            &mut simulation,
            "sands",
            2,
            simulations::step(20, 1),
            LONG_RUN,
        );
        simulation.advance(TimeSpan(2_000));
        assert_eq!(simulation.checker.start_count, 32, "{seed}");
        submit_urgent(&mut simulation, 3, gang(8));
        simulation.advance(RECLAIM_BOUND);
        assert_eq!(count_lines(&simulation, 3, "outcome=started"), 8, "{seed}");
        assert_valid(&simulation, seed);
    }
}

/// Guards against a gang that never starts because smaller work of its team takes up each part of
/// the cap that becomes free.
#[test]
fn a_gang_is_not_starved_by_smaller_work_of_its_team() {
    let mut simulation = capped_simulation(1, 8);
    for number in 0..400 {
        let step = simulations::step(2, 1);
        submit(
            &mut simulation,
            "seals",
            100 + number,
            step,
            TimeSpan(1_500),
        );
        if number == 8 {
            submit(&mut simulation, "seals", 1, gang(6), TimeSpan(1_000));
        }
        simulation.advance(TimeSpan(100));
    }
    assert_eq!(count_lines(&simulation, 1, "outcome=started"), 6);
    assert_valid(&simulation, 1);
}

/// Guards against work that is stopped because a cap falls, and against starts before the usage is
/// below the new cap.
#[test]
fn a_lower_cap_stops_nothing_and_holds_back_starts() {
    let mut simulation = capped_simulation(1, 12);
    submit(
        &mut simulation,
        "seals",
        1,
        simulations::step(12, 1),
        TimeSpan(8_000),
    );
    simulation.advance(TimeSpan(2_000));
    set_cap(&mut simulation, 4);
    simulation.advance(TimeSpan(2_500));
    submit(
        &mut simulation,
        "seals",
        2,
        simulations::step(2, 1),
        TimeSpan(1_000),
    );
    simulation.advance(TimeSpan(2_500));
    assert_eq!(count_lines(&simulation, 1, "outcome=stopping"), 0);
    assert_eq!(count_lines(&simulation, 2, "outcome=started"), 0);
    simulation.advance(TimeSpan(5_000));
    assert_eq!(count_lines(&simulation, 2, "outcome=started"), 2);
    assert_valid(&simulation, 1);
}

/// Guards against a job that is accepted although its gang can never start below the cap.
#[test]
fn a_gang_above_the_cap_is_refused_as_not_run() {
    let mut simulation = capped_simulation(1, 4);
    submit(&mut simulation, "seals", 1, gang(5), TimeSpan(1_000));
    submit(
        &mut simulation,
        "seals",
        2,
        simulations::step(5, 1),
        TimeSpan(1_000),
    );
    simulation.advance(TimeSpan(4_000));
    let job = |number| &simulation.checker.jobs[&simulations::key(number)];
    assert!(!job(1).is_accepted && !job(1).has_unknown_outcome);
    assert_eq!(job(1).open_submissions, 0);
    assert_eq!(count_lines(&simulation, 2, "outcome=started"), 5);
    let lines = simulation.trace.iter().flatten();
    let mut lines = lines.filter(|line| line.contains("kind=NeverFits"));
    assert!(lines.any(|line| line.contains("5 of gpu") && line.contains("seals is 4")));
}

/// Guards against a team that takes all capacity that becomes free because its work came first.
#[test]
fn free_capacity_is_shared_by_weight() {
    let mut simulation = simulations::simulation(1, 3, 8);
    simulation.set_teams(&[("seals", 0), ("sands", 0)]);
    simulation.set_weight("seals", 10_000);
    simulation.set_weight("sands", 30_000);
    simulation.advance(TimeSpan(1_500));
    let key = simulations::key(1);
    let run_time = TimeSpan(3_000);
    simulation.job_behavior.insert(key, (run_time, false));
    simulation.submit(0, key, simulations::job(vec![simulations::step(32, 1)]));
    simulation.advance(TimeSpan(1_000));
    simulation.trace = Some(Vec::new());
    for (team, first) in [("seals", 10), ("sands", 30)] {
        for number in first..first + 8 {
            let step = simulations::step(4, 1);
            submit(&mut simulation, team, number, step, LONG_RUN);
        }
    }
    simulation.advance(TimeSpan(4_000));
    let started = |first| {
        let numbers = first..first + 8;
        let counts = numbers.map(|number| count_lines(&simulation, number, "outcome=started"));
        counts.sum::<usize>()
    };
    assert_eq!((started(10), started(30)), (8, 24));
}

/// Guards against a flood of jobs that delays the jobs of a team within its rate.
#[test]
fn jobs_beyond_the_rate_of_their_team_come_last() {
    let mut simulation = simulations::simulation(1, 3, 1);
    simulation.set_teams(&[("seals", 0), ("sands", 0)]);
    simulation.set_weight("seals", 1_000);
    simulation.advance(TimeSpan(1_500));
    simulation.trace = Some(Vec::new());
    for number in 10..40 {
        let step = simulations::step(4, 1);
        submit(&mut simulation, "seals", number, step, TimeSpan(1_000));
    }
    simulation.advance(TimeSpan(200));
    for number in 50..53 {
        let step = simulations::step(4, 1);
        submit(&mut simulation, "sands", number, step, TimeSpan(1_000));
    }
    // Seven jobs are within the rates, one of the first team runs already, and each takes the worker
    // for a little over 1 s.
    simulation.advance(TimeSpan(9_500));
    for number in 50..53 {
        assert_eq!(count_lines(&simulation, number, "outcome=started"), 4);
    }
}

/// Guards against runs of a cancelled job that a successor forgets, although they go on at workers
/// that nobody reaches until their leases have lapsed.
#[test]
fn runs_of_a_cancelled_job_count_for_a_successor() {
    for seed in 0..10 {
        let mut simulation = capped_simulation(seed, 8);
        submit(
            &mut simulation,
            "seals",
            1,
            simulations::step(8, 1),
            LONG_RUN,
        );
        simulation.advance(TimeSpan(2_000));
        assert_eq!(simulation.checker.start_count, 8);
        let busy = simulation.workers.iter();
        let busy = busy.filter(|(_, model)| !model.running.is_empty());
        let busy: Vec<_> = busy.map(|(worker, _)| worker.clone()).collect();
        simulation.faults.partitioned_workers.extend(busy);
        let planner = simulation.planner().unwrap_or(0);
        let other = (planner + 1) % 3;
        simulation.cancel(other, simulations::key(1));
        simulation.advance(TimeSpan(100));
        simulation.kill(planner);
        let key = simulations::key(2);
        simulation.job_teams.insert(key, "seals".into());
        simulation.submit(other, key, simulations::job(vec![simulations::step(8, 1)]));
        simulation.advance(TimeSpan(20_000));
        assert_eq!(count_lines(&simulation, 2, "outcome=started"), 8, "{seed}");
        assert_valid(&simulation, seed);
    }
}

/// Guards against runs of a cancelled job that the third planner forgets, although the first one,
/// which is cut off and does not know of the cancellation, keeps them alive.
#[test]
fn runs_of_a_cancelled_job_count_after_a_second_change_of_the_planner() {
    for seed in 0..10 {
        let mut simulation = capped_simulation(seed, 8);
        let step = simulations::step(8, 1);
        submit(&mut simulation, "seals", 1, step, LONG_RUN);
        simulation.advance(TimeSpan(2_000));
        assert_eq!(simulation.checker.start_count, 8);
        let first = simulation.planner().expect("there is a planner");
        let other = (first + 1) % simulation.daemon_count();
        simulation.faults.partitioned_daemons.insert(first);
        simulations::reserve_busy_workers(&mut simulation, first);
        simulation.advance(TimeSpan(100));
        simulation.cancel(other, simulations::key(1));
        simulation.advance(TimeSpan(6_500));
        let second = simulation.planner().expect("there is a second planner");
        assert_ne!(second, first, "seed {seed}");
        simulation.terminate(second);
        simulation.advance(TimeSpan(200));
        let third = simulations::other_daemon(&simulation, &[first, second]);
        let key = simulations::key(2);
        simulation.job_teams.insert(key, "seals".into());
        simulation.submit(third, key, simulations::job(vec![simulations::step(8, 1)]));
        simulation.advance(TimeSpan(20_000));
        assert_eq!(count_lines(&simulation, 2, "outcome=started"), 8, "{seed}");
        assert_valid(&simulation, seed);
    }
}
