//! Load patterns of the users' platform, each with the scheduling decision that it requires.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod worlds;

use mustardpath_core::batch::job::JobPhase;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::worker::WorkerMood;
use mustardpath_standin::batch::world::BatchWorld;
use mustardpath_standin::batch::world::pace::DaemonPace;

/// Number of workers in each rack of the test worlds.
const WORKERS_PER_RACK: u32 = 4;

/// Submits an urgent gang whose members each use a whole worker.
fn submit_urgent_gang(world: &mut BatchWorld, members: u32) {
    let mut step = worlds::step(members, 4);
    step.gang = true;
    step.rack_sensitive = true;
    world.urgent.insert(worlds::key(9));
    world.submit(0, worlds::key(9), worlds::job(vec![step]));
}

fn submit_filler(world: &mut BatchWorld, tasks: u32) {
    world.trace = Some(Vec::new());
    world.work.insert(worlds::key(1), (TimeSpan(30_000), false));
    let mut step = worlds::step(tasks, 1);
    step.estimate = TimeSpan(30_000);
    world.submit(0, worlds::key(1), worlds::job(vec![step]));
    world.advance(TimeSpan(300));
}

fn count_lines(world: &BatchWorld, text: &str) -> usize {
    let trace = world.trace.as_deref().unwrap_or_default();
    trace.iter().filter(|line| line.contains(text)).count()
}

/// Guards against spreading deferrable work over every worker of each rack. An urgent gang then
/// finds no free rack, and running work is stopped for it although other workers had capacity.
#[test]
fn deferrable_work_leaves_capacity_for_an_urgent_gang_in_one_rack() {
    let mut world = worlds::world(1, 3, 4 * WORKERS_PER_RACK);
    submit_filler(&mut world, 60);
    submit_urgent_gang(&mut world, 2);
    world.advance(TimeSpan(300));
    assert_eq!(
        count_lines(&world, "reason=evicted"),
        0,
        "{:#?}",
        world.trace
    );
    assert_eq!(
        count_lines(&world, "abc00009.0.0.1/1"),
        2,
        "{:#?}",
        world.trace
    );
    assert!(world.judge.broken.is_empty(), "{:#?}", world.judge.broken);
}

/// Guards against urgent work that waits until other work ends, and against a gang that is spread
/// over racks although stopping a few runs frees capacity in one rack.
#[test]
fn an_urgent_gang_preempts_deferrable_work() {
    let mut world = worlds::world(2, 3, 2 * WORKERS_PER_RACK);
    submit_filler(&mut world, 32);
    submit_urgent_gang(&mut world, WORKERS_PER_RACK);
    world.advance(TimeSpan(600));
    let started = count_lines(&world, "abc00009.0.0");
    assert_eq!(started, 2 * WORKERS_PER_RACK as usize, "{:#?}", world.trace);
    assert!(
        count_lines(&world, "reason=evicted") >= 8,
        "{:#?}",
        world.trace
    );
    assert!(world.judge.broken.is_empty(), "{:#?}", world.judge.broken);
}

/// Guards against work that waits for its preferred rack while most workers are idle, because its
/// declared run time leaves it much time until its latest start.
#[test]
fn work_is_placed_in_another_rack_while_most_workers_are_idle() {
    let mut world = worlds::world(5, 3, 4 * WORKERS_PER_RACK);
    world.trace = Some(Vec::new());
    for number in [1, 2] {
        world
            .work
            .insert(worlds::key(number), (TimeSpan(60_000), false));
        let mut step = worlds::step(8, 2);
        step.estimate = TimeSpan(60_000);
        step.affinity = Some("r0".into());
        world.submit(0, worlds::key(number), worlds::job(vec![step]));
    }
    world.advance(TimeSpan(3_000));
    let placed = count_lines(&world, "abc00002.0.0");
    assert!(placed > 0, "{:#?}", world.trace);
    assert!(world.judge.broken.is_empty(), "{:#?}", world.judge.broken);
}

/// Guards against a job that exhausts its attempts on one worker that fails its runs. The worker
/// looks healthy when the job's other tasks succeed on it.
#[test]
fn a_task_that_failed_on_a_worker_is_retried_on_another_worker() {
    let mut world = worlds::world(6, 3, WORKERS_PER_RACK);
    world.trace = Some(Vec::new());
    world.work.insert(worlds::key(1), (TimeSpan(400), false));
    let faulty = world.workers.keys().next().cloned().expect("a worker");
    world.workers[&faulty].mood = WorkerMood::FailsAll;
    world.submit(0, worlds::key(1), worlds::job(vec![worlds::step(4, 3)]));
    world.advance(TimeSpan(6_000));
    let phase = world.phase(worlds::key(1));
    assert_eq!(phase, Some(JobPhase::Completed), "{:#?}", world.trace);
    let failed = count_lines(&world, "ending=Failed");
    assert_eq!(failed, 1, "{:#?}", world.trace);
}

/// Guards against a job that has missed its objective and delays one that can still meet its own.
#[test]
fn a_late_job_queues_behind_one_that_is_on_time() {
    let mut world = worlds::world(7, 3, 1);
    world.trace = Some(Vec::new());
    world.work.insert(worlds::key(1), (TimeSpan(6_000), false));
    world.submit(0, worlds::key(1), worlds::job(vec![worlds::step(1, 4)]));
    world.advance(TimeSpan(50));
    world.submit(0, worlds::key(2), worlds::job(vec![worlds::step(1, 4)]));
    world.advance(TimeSpan(5_500));
    world.submit(0, worlds::key(3), worlds::job(vec![worlds::step(1, 4)]));
    world.advance(TimeSpan(3_000));
    let on_time = worlds::time_of_line(&world, "abc00003.0.0.0/1");
    let late = worlds::time_of_line(&world, "abc00002.0.0.0/1");
    assert!(on_time < late, "{:#?}", world.trace);
    assert!(world.judge.broken.is_empty(), "{:#?}", world.judge.broken);
}

/// Guards against reserving the same capacity of a worker for two urgent units, so that more runs
/// start there than it can hold (bench: cordillera-pista-grown fresh-c904, LIMIT).
#[test]
fn reservations_of_two_units_on_one_worker_stay_within_its_capacity() {
    let mut world = worlds::world(8, 3, 2);
    world.trace = Some(Vec::new());
    for number in 1..=4 {
        world
            .work
            .insert(worlds::key(number), (TimeSpan(30_000), false));
    }
    world.work.insert(worlds::key(3), (TimeSpan(500), false));
    // An urgent task of two accelerators that keeps running, and a deferrable task on each worker.
    world.urgent.insert(worlds::key(1));
    world.submit(0, worlds::key(1), worlds::job(vec![worlds::step(1, 2)]));
    world.submit(0, worlds::key(2), worlds::job(vec![worlds::step(2, 2)]));
    world.advance(TimeSpan(2_500));
    assert_eq!(world.judge.starts, 3, "{:#?}", world.trace);
    // Both ends arrive before the planner runs its next round.
    world.pace = Some(DaemonPace {
        event: 100,
        pass: 12_000,
    });
    // The append of the first submission delays the other two, so that they are read together.
    world.submit(0, worlds::key(5), worlds::job(vec![worlds::step(1, 0)]));
    world.urgent.extend([worlds::key(3), worlds::key(4)]);
    world.submit(0, worlds::key(3), worlds::job(vec![worlds::step(1, 4)]));
    let mut gang = worlds::step(2, 2);
    gang.gang = true;
    world.submit(0, worlds::key(4), worlds::job(vec![gang]));
    world.advance(TimeSpan(2_000));
    assert!(
        count_lines(&world, "reason=evicted") >= 1,
        "{:#?}",
        world.trace
    );
    assert!(world.judge.broken.is_empty(), "{:#?}", world.judge.broken);
    let first = worlds::time_of_line(&world, "run=00000000abc00003.0.0.0/1");
    let second = worlds::time_of_line(&world, "run=00000000abc00004.0.0.0/1");
    assert!(first < second, "{:#?}", world.trace);
}
