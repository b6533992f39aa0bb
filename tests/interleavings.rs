//! Random interleavings of the faults of the matrix.
//!
//! CI runs a fixed number of draws, each from a seed of its own. A longer run, of which the first
//! seed can be given so that several go on side by side:
//! `FIRST_SEED=0 INTERLEAVINGS=5000 cargo test --release --test interleavings random -- --nocapture`

// The fault matrix uses further parts of the module.
#[path = "../core/tests/draws/mod.rs"]
mod draws;
#[allow(dead_code)]
mod scenario;

use bolero::TypeGenerator;

use self::scenario::ScenarioRun;
use self::scenario::fault;
use self::scenario::fault::SINGLE_FAULTS;
use self::scenario::fault::SingleFault;
use self::scenario::fixture;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::TimeSpan;

/// Draws of a run in CI.
const SEEDS: u64 = 60;

/// Moves of one draw.
const MAX_INJECTIONS: usize = 8;

/// Daemons and workers of a cell.
const DAEMONS: usize = 3;
const WORKERS: usize = 8;

/// Something that happens to the deployment after a wait.
#[derive(Clone, Debug, TypeGenerator)]
struct FaultInjection {
    #[generator(0..20_000u64)]
    wait_ms: u64,
    #[generator(0..SINGLE_FAULTS.len())]
    fault_index: usize,
    #[generator(0..DAEMONS)]
    daemon: usize,
    #[generator(0..WORKERS)]
    worker: usize,
    #[generator(0..4u8)]
    heal_choice: u8,
}

fn run_interleaving(injections: &[FaultInjection]) -> (Vec<String>, Vec<String>) {
    let tracing = std::env::var("INTERLEAVINGS_TRACE").is_ok();
    let mut run = ScenarioRun::new(tracing);
    let mut requires_success = true;
    for injection in injections {
        run.advance(TimeSpan(injection.wait_ms));
        if injection.heal_choice == 0 {
            fault::heal(&mut run.driver);
        }
        let fault = SINGLE_FAULTS[injection.fault_index];
        requires_success &= !matches!(fault, SingleFault::JobCancelled | SingleFault::WorkerFails);
        let worker = WorkerName::from(format!("w{}", injection.worker).as_str());
        if run.driver.is_up(injection.daemon) {
            fault.inject(&mut run.driver, injection.daemon, &worker);
        }
    }
    run.advance(TimeSpan::from_secs(5));
    fault::heal(&mut run.driver);
    fixture::restore_all_domains(&mut run);
    run.run_to_completion();
    (
        run.violations(requires_success),
        run.driver.trace().to_vec(),
    )
}

fn env_number(variable: &str) -> Option<u64> {
    std::env::var(variable).ok()?.parse().ok()
}

#[test]
fn random_interleavings_preserve_all_invariants() {
    // Guards against faults that break a promise only together or in a certain order.
    let first = env_number("FIRST_SEED").unwrap_or(0);
    let count = env_number("INTERLEAVINGS").unwrap_or(SEEDS);
    let mut failures = Vec::new();
    for (seed, injections) in draws::lists::<FaultInjection>(first..first + count, MAX_INJECTIONS) {
        let (violations, trace) = run_interleaving(&injections);
        trace.iter().for_each(|line| println!("{line}"));
        if !violations.is_empty() {
            println!("seed {seed}: {violations:?} {injections:?}");
            failures.push(seed);
        }
    }
    println!(
        "interleavings: {count} drawn from seed {first}, {} broken",
        failures.len()
    );
    assert!(failures.is_empty(), "broken seeds: {failures:?}");
}

/// Returns a move: the wait before it, its fault, the daemon and the worker that it concerns, and
/// whether all earlier faults are healed first.
fn injection(
    wait_ms: u64,
    fault: SingleFault,
    daemon: usize,
    worker: usize,
    heals_first: bool,
) -> FaultInjection {
    let position = SINGLE_FAULTS.iter().position(|known| *known == fault);
    FaultInjection {
        wait_ms,
        fault_index: position.expect("every fault is listed"),
        daemon,
        worker,
        heal_choice: u8::from(!heals_first),
    }
}

/// Interleavings that broke a promise when they were drawn.
fn regressions() -> Vec<Vec<FaultInjection>> {
    vec![
        vec![
            injection(3_293, SingleFault::VmListStale, 2, 3, true),
            injection(4_811, SingleFault::LogDown, 1, 0, false),
            injection(2_503, SingleFault::PeersLossy, 1, 2, true),
            injection(14_669, SingleFault::RegionCut, 0, 6, false),
            injection(7_334, SingleFault::WorkerDead, 2, 6, true),
            injection(5_259, SingleFault::DaemonPaused, 1, 5, false),
            injection(4_006, SingleFault::DaemonPaused, 0, 0, true),
        ],
        vec![
            injection(14_886, SingleFault::WorkerFails, 2, 1, true),
            injection(13_457, SingleFault::LogDown, 2, 4, false),
            injection(233, SingleFault::WorkerPaused, 0, 6, false),
            injection(13_514, SingleFault::WorkerDead, 0, 6, false),
            injection(10_928, SingleFault::LogCut, 1, 2, true),
            injection(4_179, SingleFault::VmListStale, 0, 0, true),
        ],
        vec![
            injection(1_674, SingleFault::LogCut, 2, 2, true),
            injection(703, SingleFault::WorkerDead, 2, 2, false),
            injection(4_076, SingleFault::AppendSlow, 1, 0, false),
        ],
        vec![injection(694, SingleFault::WorkerDead, 0, 0, true)],
        vec![injection(7_798, SingleFault::WorkerDead, 1, 6, true)],
        vec![
            injection(3_319, SingleFault::WorkerFails, 1, 0, true),
            injection(9_718, SingleFault::VmListStale, 0, 4, false),
            injection(4_615, SingleFault::WorkerAnswerLost, 2, 3, false),
            injection(4_795, SingleFault::WorkerDead, 2, 6, false),
            injection(3_996, SingleFault::LogCut, 2, 5, true),
            injection(6_679, SingleFault::LogCut, 0, 0, true),
        ],
        vec![
            injection(6_886, SingleFault::CommandsDelayed, 1, 4, true),
            injection(13_188, SingleFault::DaemonKilledBefore, 2, 3, true),
            injection(3_883, SingleFault::WorkerDead, 0, 6, false),
        ],
        vec![
            injection(8_207, SingleFault::RegionCut, 1, 3, false),
            injection(292, SingleFault::ConnectionSilent, 0, 7, false),
            injection(6_568, SingleFault::JobCancelled, 2, 5, true),
            injection(58, SingleFault::DaemonKilledBefore, 0, 0, true),
            injection(0, SingleFault::DaemonKilledBefore, 0, 0, true),
            injection(0, SingleFault::DaemonKilledBefore, 0, 0, true),
            injection(0, SingleFault::DaemonKilledBefore, 0, 0, true),
            injection(0, SingleFault::DaemonKilledBefore, 0, 0, true),
        ],
    ]
}

#[test]
fn regression_interleavings_preserve_all_invariants() {
    // Guards against the return of faults that random draws have found.
    for injections in regressions() {
        let (violations, trace) = run_interleaving(&injections);
        trace.iter().for_each(|line| println!("{line}"));
        assert!(violations.is_empty(), "{injections:#?}: {violations:#?}");
    }
}

#[test]
fn a_restarted_worker_does_not_let_a_job_run_twice() {
    // Guards against a successor that takes the empty list of a restarted worker for proof that a
    // job which may not be repeated has never started there.
    let (violations, trace) = run_interleaving(&[
        injection(834, SingleFault::DaemonPaused, 0, 2, false),
        injection(5_805, SingleFault::AppendRefused, 0, 1, true),
        injection(8_639, SingleFault::WorkerDead, 0, 6, true),
        injection(9_469, SingleFault::ConnectionSilent, 2, 5, false),
        injection(13_776, SingleFault::DaemonKilledBefore, 0, 0, true),
    ]);
    trace.iter().for_each(|line| println!("{line}"));
    assert!(violations.is_empty(), "{violations:#?}");
}
