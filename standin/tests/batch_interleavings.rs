//! Random interleavings of submissions, cancellations and faults of the platform.
//!
//! CI runs a fixed number of seeds. To run more:
//! `FIRST_SEED=1000 INTERLEAVINGS=5000 cargo test --release -p mustardpath-standin --test
//! batch_interleavings -- --nocapture`

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use fastrand::Rng;

use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::JobSubmission;
use mustardpath_core::batch::job::TaskDemand;
use mustardpath_core::batch::message::StoreStream;
use mustardpath_core::batch::message::StreamChange;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;
use mustardpath_standin::batch::worker::WorkerBehavior;

/// Number of seeds of a run in CI.
const SEED_COUNT: u64 = 400;

/// Number of seeds with the extended faults of a run in CI.
const EXTENDED_SEED_COUNT: u64 = 200;

/// Number of seeds with region cuts of a run in CI.
const REGION_CUT_SEED_COUNT: u64 = 200;

/// Factor on the run times of tasks with region cuts. Without it, most runs would end during a cut.
const REGION_CUT_RUN_TIME_FACTOR: u64 = 3;

/// Seeds that have found a fault:
/// - 23704: a planner that resumed after a pause repeated an unanswered start although it had been
///   replaced, and the worker, which had restarted, accepted it.
/// - 24922: a task waited for a run of one of its older attempts to end, and was never placed again
///   after that end.
/// - 26882: the response to a hold of an earlier term of the same process was applied to another
///   worker, and runs that continued there were started again.
/// - 43009: a hold that acknowledged ends of one incarnation of a worker reached the next one,
///   which then discarded an end that no planner had seen.
/// - 205545: the lease of a worker that had started again was longer than the planner believed, and
///   its runs were given up while they went on.
/// - 1640: a start without an answer was sent again after the task had turned out to be done.
const REGRESSION_SEEDS: [u64; 6] = [1_640, 23_704, 24_922, 26_882, 43_009, 205_545];

/// Seeds with the extended faults that have found a fault:
/// - 101005: a probe acknowledged ends of one incarnation of a worker and reached the next one, which
///   then discarded an end that no planner had seen.
/// - 204335: as 205545 above.
/// - 2619: a planner that resumed after a pause started tasks that it read back in one response with
///   the newer term of its successor.
const EXTENDED_REGRESSION_SEEDS: [u64; 3] = [2_619, 101_005, 204_335];

/// Number of actions per seed.
const ACTION_COUNT: u32 = 40;

/// Maximum number of tasks of a step.
const MAX_STEP_TASKS: u64 = 5;

/// Distinguishes the draws of caps from the others of a seed.
const CAP_SEED: u64 = 0x0c_a9;

const DAEMON_COUNT: usize = 3;

const WORKER_COUNT: u32 = 8;

/// Teams with their guaranteed number of accelerators, of 32 in total.
const TEAMS: [(&str, u64); 2] = [("seals", 8), ("sands", 12)];

/// Delay of orders to workers over a congested link.
const CONGESTED_LINK_DELAY: TimeSpan = TimeSpan(900);

/// Time after the last fault in which all jobs must end.
const SETTLE_TIME: TimeSpan = TimeSpan(90_000);

fn random_job(rng: &mut Rng) -> JobSubmission {
    let mut steps = Vec::new();
    for index in 0..rng.u32(1..=2) {
        let mut step = simulations::step(rng.u32(1..=5), rng.u64(0..=2));
        step.gang = rng.bool();
        step.rack_sensitive = rng.bool();
        if index > 0 && rng.bool() {
            step.after = vec![0];
        }
        steps.push(step);
    }
    simulations::job(steps)
}

fn random_worker(rng: &mut Rng) -> WorkerName {
    WorkerName::from(format!("w{}", rng.u32(0..WORKER_COUNT)).as_str())
}

/// The kinds of faults that a run draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FaultSet {
    /// Faults of processes, of the store and of whole links.
    Basic,
    /// Also cuts that refuse connections or sever single links, a slow store, suspensions around a
    /// change of the planner, and entries that another writer has spoiled.
    Extended,
    /// The basic faults, and orders to a worker that is down reach its next incarnation, as do those
    /// that are executed late.
    Retransmissions,
    /// The basic faults, and orders that are executed late reach the next incarnation of a worker,
    /// while connections to one that is down are refused.
    LateOrders,
    /// The basic faults, and teams with caps that change.
    Caps,
    /// The basic faults, longer tasks, and cuts between regions in which the planner changes twice.
    RegionCuts,
}

/// Returns a cap with room for at least `min_tasks` of the largest tasks.
fn random_cap(rng: &mut Rng, min_tasks: u64) -> TaskDemand {
    TaskDemand {
        cpu: 1_000 * rng.u64(min_tasks..=10),
        memory: 0,
        gpu: 2 * rng.u64(min_tasks..=8),
    }
}

/// Publishes a cap for each team.
fn set_caps(simulation: &mut BatchSimulation, rng: &mut Rng, min_tasks: u64) {
    for (team, _) in TEAMS {
        simulation.set_cap(team, random_cap(rng, min_tasks));
    }
}

/// Writes an entry over that of a worker, as another writer could.
fn spoil_entry(simulation: &mut BatchSimulation, worker: &WorkerName, rng: &mut Rng) {
    let mut entry = simulation.workers[worker].entry.clone();
    match rng.u32(0..5) {
        0 => entry.address = "10.9.0.1:0".into(),
        1 => entry.address = format!("10.9.0.{}:80", rng.u32(0..WORKER_COUNT)),
        2 => entry.capacity.cpu = u64::MAX,
        3 => entry.incarnation = u64::MAX,
        _ => entry.labels = vec!["a".into(); 1_000],
    }
    let change = if rng.bool() {
        StreamChange::Worker {
            worker: worker.clone(),
            entry: Some(Box::new(entry)),
        }
    } else {
        StreamChange::Unreadable {
            key: worker.to_string(),
            reason: "not JSON".into(),
        }
    };
    let stream = StoreStream::Workers;
    simulation
        .store
        .write(stream, worker.as_str(), change, false);
}

fn inject_extended_fault(simulation: &mut BatchSimulation, rng: &mut Rng) {
    let daemon = rng.usize(0..DAEMON_COUNT);
    let worker = random_worker(rng);
    match rng.u32(0..8) {
        0 => {
            simulation.faults.refusing_workers.insert(worker);
        }
        1 => {
            simulation.faults.severed_links.insert((daemon, worker));
        }
        2 => {
            let planner = simulation.planner().unwrap_or(daemon);
            simulation.faults.partitioned_daemons.insert(planner);
            for other in (0..DAEMON_COUNT).filter(|other| *other != planner) {
                let link = (other, random_worker(rng));
                simulation.faults.severed_links.insert(link);
            }
        }
        3 => simulation.faults.append_time = TimeSpan(rng.u64(50..400)),
        4 => simulation.faults.are_appends_dropped = true,
        5 => {
            let planner = simulation.planner().unwrap_or(daemon);
            simulation.set_paused(planner, true);
            simulation.advance(TimeSpan(rng.u64(500..7_000)));
            simulation.set_paused(planner, false);
        }
        6 => spoil_entry(simulation, &worker, rng),
        _ => {
            simulation.faults.append_time = TimeSpan(0);
            simulation.faults.are_appends_dropped = false;
            simulation.faults.refusing_workers.clear();
            simulation.faults.severed_links.clear();
            simulation.faults.partitioned_daemons.clear();
        }
    }
}

/// Cuts the planner off with some of the workers, replaces its successor soon afterwards, and heals
/// the cut at times.
fn inject_region_cut(simulation: &mut BatchSimulation, rng: &mut Rng) {
    let Some(first) = simulation.planner() else {
        return;
    };
    simulation.faults.partitioned_daemons.insert(first);
    for number in 0..WORKER_COUNT {
        let worker = WorkerName::from(format!("w{number}").as_str());
        let is_cut_off = rng.bool();
        let cut_daemons = (0..DAEMON_COUNT).filter(|daemon| (*daemon == first) != is_cut_off);
        let links = cut_daemons.map(|daemon| (daemon, worker.clone()));
        simulation.faults.severed_links.extend(links);
    }
    simulation.advance(TimeSpan(rng.u64(1_500..4_000)));
    let second = simulation.planner().filter(|second| *second != first);
    let others = (0..DAEMON_COUNT).filter(|daemon| *daemon != first);
    match (rng.u32(0..4), second) {
        (0, Some(second)) => simulation.terminate(second),
        (1, Some(second)) => {
            simulation.kill(second);
            simulation.start(second);
        }
        (2, _) => others.for_each(|daemon| {
            simulation.kill(daemon);
            simulation.start(daemon);
        }),
        _ => simulation.store.compact(),
    }
    simulation.advance(TimeSpan(rng.u64(500..10_000)));
    if rng.bool() {
        simulation.faults.partitioned_daemons.clear();
        simulation.faults.severed_links.clear();
    }
}

fn inject_fault(simulation: &mut BatchSimulation, rng: &mut Rng) {
    let daemon = rng.usize(0..DAEMON_COUNT);
    let worker = random_worker(rng);
    match rng.u32(0..21) {
        0 => simulation.kill(daemon),
        1 => (0..DAEMON_COUNT).for_each(|daemon| simulation.kill(daemon)),
        2 => simulation.set_paused(daemon, true),
        3 => simulation.set_paused(daemon, false),
        4 => simulation.terminate(daemon),
        5 => simulation
            .planner()
            .into_iter()
            .for_each(|daemon| simulation.kill(daemon)),
        6 => simulation
            .planner()
            .into_iter()
            .for_each(|daemon| simulation.set_paused(daemon, true)),
        7 => simulation.faults.is_store_down = true,
        8 => {
            simulation.faults.partitioned_daemons.insert(daemon);
        }
        9 => simulation.faults.lost_append_permille = 300,
        10 => simulation.faults.late_order_permille = 200,
        11 => simulation.store.compact(),
        12 => simulation.crash_worker(&worker),
        13 => {
            simulation.crash_worker(&worker);
            simulation.restart_worker(&worker);
        }
        14 => {
            simulation.faults.partitioned_workers.insert(worker);
        }
        15 => simulation.drain_worker(&worker),
        16 => simulation.remove_entry(&worker),
        17 => {
            let behavior = if rng.bool() {
                WorkerBehavior::FailsRuns
            } else {
                WorkerBehavior::RefusesStarts
            };
            let model = simulation.workers.get_mut(&worker);
            if let Some(model) = model.filter(|model| model.behavior != WorkerBehavior::Down) {
                model.behavior = behavior;
            }
        }
        18 => {
            simulation.faults.read_failing_daemons.insert(daemon);
        }
        19 => simulation.faults.order_delay = CONGESTED_LINK_DELAY,
        _ => {
            simulation.faults.is_store_down = false;
            simulation.faults.partitioned_daemons.clear();
            simulation.faults.read_failing_daemons.clear();
            simulation.faults.partitioned_workers.clear();
            simulation.faults.order_delay = TimeSpan(0);
            (0..DAEMON_COUNT).for_each(|daemon| simulation.start(daemon));
        }
    }
}

/// Returns the violations of one seed, and its trace or an empty list.
fn run_seed(seed: u64, set: FaultSet, is_traced: bool) -> (Vec<String>, Vec<String>) {
    let mut rng = Rng::with_seed(seed);
    let mut simulation = simulations::simulation(seed, DAEMON_COUNT, WORKER_COUNT);
    simulation.set_teams(&TEAMS);
    let faults = &mut simulation.faults;
    faults.are_packets_retransmitted = set == FaultSet::Retransmissions;
    faults.are_late_orders_kept = matches!(set, FaultSet::Retransmissions | FaultSet::LateOrders);
    if is_traced {
        simulation.trace = Some(Vec::new());
    }
    // Caps have draws of their own, so the seeds of the other sets keep their meaning.
    let mut cap_rng = Rng::with_seed(seed ^ CAP_SEED);
    let has_caps = set == FaultSet::Caps;
    if has_caps {
        set_caps(&mut simulation, &mut cap_rng, MAX_STEP_TASKS);
    }
    let run_time_factor = match set {
        FaultSet::RegionCuts => REGION_CUT_RUN_TIME_FACTOR,
        _ => 1,
    };
    let mut jobs: Vec<JobKey> = Vec::new();
    for number in 0..ACTION_COUNT {
        simulation.advance(TimeSpan(rng.u64(10..700)));
        if has_caps && cap_rng.u32(0..8) == 0 {
            set_caps(&mut simulation, &mut cap_rng, 1);
        }
        match rng.u32(0..10) {
            0..=4 => {
                let job = simulations::key(u64::from(number));
                let run_time = TimeSpan(rng.u64(200..4_000) * run_time_factor);
                simulation
                    .job_behavior
                    .insert(job, (run_time, rng.u32(0..20) == 0));
                jobs.push(job);
                if rng.bool() {
                    let (team, _) = TEAMS[rng.usize(0..TEAMS.len())];
                    simulation.urgent_jobs.insert(job);
                    simulation.job_teams.insert(job, team.into());
                } else if has_caps {
                    let (team, _) = TEAMS[cap_rng.usize(0..TEAMS.len())];
                    simulation.job_teams.insert(job, team.into());
                }
                let submission = random_job(&mut rng);
                simulation.submit(rng.usize(0..DAEMON_COUNT), job, submission.clone());
                // A retry of the same submission, possibly at another daemon.
                if rng.bool() {
                    simulation.submit(rng.usize(0..DAEMON_COUNT), job, submission);
                }
            }
            5 if !jobs.is_empty() => {
                let job = jobs[rng.usize(0..jobs.len())];
                simulation.cancel(rng.usize(0..DAEMON_COUNT), job);
            }
            _ if set == FaultSet::Extended && rng.bool() => {
                inject_extended_fault(&mut simulation, &mut rng);
            }
            9 if set == FaultSet::RegionCuts => inject_region_cut(&mut simulation, &mut rng),
            _ => inject_fault(&mut simulation, &mut rng),
        }
    }
    if has_caps {
        // Every accepted gang fits below the last caps.
        set_caps(&mut simulation, &mut cap_rng, MAX_STEP_TASKS);
    }
    simulation.recover_and_check(SETTLE_TIME);
    let trace = simulation.trace.take().unwrap_or_default();
    (simulation.checker.violations, trace)
}

fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

fn run_seeds(seeds: impl Iterator<Item = u64>, set: FaultSet) {
    let is_traced = std::env::var("INTERLEAVINGS_TRACE").is_ok();
    let mut failures = Vec::new();
    for seed in seeds {
        let (violations, trace) = run_seed(seed, set, is_traced);
        if !violations.is_empty() {
            failures.push(format!(
                "seed {seed}: {violations:#?}\n{}",
                trace.join("\n")
            ));
        }
    }
    assert!(
        failures.is_empty(),
        "{} seeds failed:\n{}",
        failures.len(),
        failures.join("\n")
    );
}

/// Guards against violations that need several faults together or in a certain order.
#[test]
fn random_interleavings_preserve_invariants() {
    let first = env_number("FIRST_SEED").unwrap_or(0);
    let count = env_number("INTERLEAVINGS").unwrap_or(SEED_COUNT);
    run_seeds(first..first + count, FaultSet::Basic);
}

/// Guards against violations by a planner that acts after its term has ended, by a worker that is
/// only hard to reach, and by entries of other writers.
#[test]
fn extended_interleavings_preserve_invariants() {
    let first = env_number("FIRST_SEED").unwrap_or(0);
    let count = env_number("INTERLEAVINGS").unwrap_or(EXTENDED_SEED_COUNT);
    run_seeds(first..first + count, FaultSet::Extended);
}

/// Guards against leases that outlast their bound, runs that start twice and ends that are lost
/// because a worker that has started again carries out orders to its former process.
#[test]
fn interleavings_with_retransmissions_preserve_invariants() {
    let first = env_number("FIRST_SEED").unwrap_or(0);
    let count = env_number("INTERLEAVINGS").unwrap_or(SEED_COUNT);
    run_seeds(first..first + count, FaultSet::Retransmissions);
}

/// Guards against the same, at workers that start again before they have been reached.
#[test]
fn interleavings_with_late_orders_preserve_invariants() {
    let first = env_number("FIRST_SEED").unwrap_or(0);
    let count = env_number("INTERLEAVINGS").unwrap_or(SEED_COUNT);
    run_seeds(first..first + count, FaultSet::LateOrders);
}

/// Guards against starts beyond the cap of a team, and against work that a cap holds back for ever,
/// while planners change, orders are late and caps rise and fall.
#[test]
fn interleavings_with_caps_preserve_invariants() {
    let first = env_number("FIRST_SEED").unwrap_or(0);
    let count = env_number("INTERLEAVINGS").unwrap_or(SEED_COUNT);
    run_seeds(first..first + count, FaultSet::Caps);
}

/// Guards against a planner that gives up workers while an earlier one, which is cut off with them,
/// extends their leases (review/6).
#[test]
fn interleavings_with_region_cuts_preserve_invariants() {
    let first = env_number("FIRST_SEED").unwrap_or(0);
    let count = env_number("INTERLEAVINGS").unwrap_or(REGION_CUT_SEED_COUNT);
    run_seeds(first..first + count, FaultSet::RegionCuts);
}

/// Guards against the return of faults that random seeds have found.
#[test]
fn regression_seeds_preserve_invariants() {
    run_seeds(REGRESSION_SEEDS.into_iter(), FaultSet::Basic);
    run_seeds(EXTENDED_REGRESSION_SEEDS.into_iter(), FaultSet::Extended);
}
