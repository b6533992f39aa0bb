//! A planner whose processor is small for the number of its workers and runs.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod worlds;

use mustardpath_core::batch::job::JobKey;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::world::BatchWorld;
use mustardpath_standin::batch::world::pace::DaemonPace;

/// Workers of the world, each with four accelerators.
const WORKERS: u32 = 128;

/// Time between two submissions of plain work.
const PLAIN_GAP: TimeSpan = TimeSpan(100);

/// Submissions of plain work.
const PLAIN_JOBS: u64 = 120;

/// Submissions of plain work between two urgent gangs.
const URGENT_EVERY: u64 = 5;

/// Time in which all tasks of an urgent gang must have begun, as the settings of the worlds say.
const RECLAIM: u64 = 2_700;

/// Time from the start of the run until a submission.
fn submitted_at(number: u64) -> u64 {
    2_000 + number * PLAIN_GAP.0
}

/// Keeps about half of the accelerators busy with short tasks and hands in urgent gangs.
fn play_busy_day(world: &mut BatchWorld) -> Vec<(JobKey, u64)> {
    let mut urgent = Vec::new();
    for number in 0..PLAIN_JOBS {
        let key = worlds::key(number);
        world.work.insert(key, (TimeSpan(1_000), false));
        world.submit(0, key, worlds::job(vec![worlds::step(24, 1)]));
        if number % URGENT_EVERY == 0 {
            let key = worlds::key(1_000 + number);
            let mut step = worlds::step(3, 1);
            step.gang = true;
            world.urgent.insert(key);
            world.submit(1, key, worlds::job(vec![step]));
            urgent.push((key, submitted_at(number)));
        }
        world.advance(PLAIN_GAP);
    }
    world.advance(TimeSpan(3_000));
    urgent
}

/// Returns the time from the submission of each urgent gang until all its members have begun.
fn waits(world: &BatchWorld, urgent: &[(JobKey, u64)]) -> Vec<u64> {
    let lines = world.trace.as_deref().unwrap_or_default();
    let begun = |key: &JobKey, index: u32| {
        let run = format!("run={}.0.0.{index}/", key.text());
        let line = lines
            .iter()
            .find(|line| line.contains(&run) && line.contains("outcome=started"));
        let time = line.and_then(|line| line.split(' ').next()?.parse::<u64>().ok());
        time.unwrap_or(u64::MAX)
    };
    let wait = |(key, at): &(JobKey, u64)| {
        let last = (0..3).map(|index| begun(key, index)).max();
        last.unwrap_or(u64::MAX).saturating_sub(*at)
    };
    urgent.iter().map(wait).collect()
}

/// Guards against a planner that passes over its whole state at each event: it falls behind as work
/// grows, urgent gangs do not begin in time, their members end alone, and the term is lost
/// (issue 17; bench: cordillera-pista-grown scale-1).
#[test]
fn a_busy_planner_begins_urgent_gangs_in_time_and_whole() {
    let mut world = worlds::world(17, 3, WORKERS);
    world.trace = Some(Vec::new());
    world.pace = Some(DaemonPace {
        event: 200,
        pass: 1_600,
    });
    let urgent = play_busy_day(&mut world);
    let waits = waits(&world, &urgent);
    let late = waits.iter().filter(|wait| **wait > RECLAIM).count();
    assert_eq!(late, 0, "late of {}: {waits:?}", waits.len());
    assert_eq!(world.judge.alone, 0);
    let lines = world.trace.clone().unwrap_or_default();
    let claims = lines.iter().filter(|line| line.contains("claiming"));
    assert_eq!(claims.count(), 0);
    assert!(world.judge.broken.is_empty(), "{:#?}", world.judge.broken);
}
