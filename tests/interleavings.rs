//! Random interleavings of the faults of the fault matrix.
//!
//! CI runs a fixed number of seeds, one interleaving each. `FIRST_SEED` and `INTERLEAVINGS` select
//! another range of seeds, so longer runs can be split over several processes:
//!
//! ```text
//! FIRST_SEED=0 INTERLEAVINGS=5000 cargo test --release --test interleavings random -- --nocapture
//! ```

#[path = "../core/tests/draws/mod.rs"]
mod draws;
// This test uses only a part of the module.
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

/// Number of seeds in CI.
const SEEDS: u64 = 60;

/// Maximum number of fault injections in an interleaving.
const MAX_INJECTIONS: usize = 8;

/// Numbers of daemons and workers in the fixture.
const DAEMONS: usize = 3;
const WORKERS: usize = 8;

/// A fault that is injected after a wait. All earlier faults are healed first when `heal_choice` is
/// 0, for a quarter of the random injections.
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
    let is_tracing = std::env::var("INTERLEAVINGS_TRACE").is_ok();
    let mut run = ScenarioRun::new(is_tracing);
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

/// Guards against faults that violate an invariant only in combination or in a certain order.
#[test]
fn random_interleavings_preserve_all_invariants() {
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
        "interleavings: {count} from seed {first}, {} with violations",
        failures.len()
    );
    assert!(failures.is_empty(), "seeds with violations: {failures:?}");
}

/// Returns an injection. `wait_ms` is the wait before it, in milliseconds; `heals_first` says
/// whether all earlier faults are healed before it.
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

/// Interleavings that violated an invariant when they were found.
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

/// Guards against regressions of the violations that random interleavings have found.
#[test]
fn regression_interleavings_preserve_all_invariants() {
    for injections in regressions() {
        let (violations, trace) = run_interleaving(&injections);
        trace.iter().for_each(|line| println!("{line}"));
        assert!(violations.is_empty(), "{injections:#?}: {violations:#?}");
    }
}

/// Guards against running a non-repeatable job twice: the task list of a restarted worker is empty,
/// and a new planner must not conclude from it that the job never started there.
#[test]
fn a_restarted_worker_does_not_let_a_job_run_twice() {
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
