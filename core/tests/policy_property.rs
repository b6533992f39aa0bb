//! Properties that hold for arbitrary sequences of jobs, ends and worker failures.

mod fixture;

mod draws;

use std::collections::HashMap;

use bolero::TypeGenerator;

use crate::fixture::FleetFixture;
use crate::fixture::spec;
use crate::fixture::team;
use crate::fixture::worker;
use mustardpath_core::config::GangAdjacency;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::config::ServiceSpec;
use mustardpath_core::guarantee::check_guarantees;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::policy::PolicyDecision;
use mustardpath_core::policy::PolicyKind;
use mustardpath_core::units::TimeSpan;

/// Number of steps in a generated run.
const STEPS: usize = 60;

const WORKERS: usize = 24;
const TEAMS: [&str; 3] = ["a", "b", "c"];

#[derive(Clone, Debug, TypeGenerator)]
struct DrawnJob {
    #[generator(0..3usize)]
    team: usize,
    #[generator(1..12u32)]
    members: u32,
    #[generator(0..9u32)]
    accelerators: u32,
    flags: u8,
    #[generator(1..600u64)]
    minutes: u64,
}

#[derive(Clone, Debug, TypeGenerator)]
enum DrawnStep {
    Submit(DrawnJob),
    End(u8),
    Cancel(u8),
    Wait(u8),
    Fail(#[generator(0..24usize)] usize),
    Return(#[generator(0..24usize)] usize),
    Domain(#[generator(0..3usize)] usize, bool),
}

fn drawn_spec(job: &DrawnJob) -> ServiceSpec {
    let flag = |bit: u8| job.flags >> bit & 1 == 1;
    ServiceSpec {
        preemptible: flag(0),
        urgent: flag(1),
        spread_domains: flag(2) && flag(3),
        adjacency: if flag(4) && flag(5) {
            GangAdjacency::SameRack
        } else {
            GangAdjacency::FewestRacks
        },
        deadline: flag(6).then_some(TimeSpan(job.minutes * 90_000)),
        run_time: TimeSpan(job.minutes * 60_000),
        ..spec(job.members, job.accelerators)
    }
}

/// Selects a job by a generated number.
fn pick(jobs: Vec<JobId>, number: u8) -> Option<JobId> {
    let count = jobs.len();
    (count > 0).then(|| jobs[usize::from(number) % count])
}

fn apply(fixture: &mut FleetFixture, step: &DrawnStep) {
    let running = fixture
        .jobs
        .keys()
        .copied()
        .filter(|job| fixture.runs(*job));
    match step {
        DrawnStep::Submit(job) => {
            fixture.submit(TEAMS[job.team], drawn_spec(job));
        }
        DrawnStep::End(number) => {
            if let Some(job) = pick(running.collect(), *number) {
                fixture.end(job);
            }
        }
        DrawnStep::Cancel(number) => {
            if let Some(job) = pick(fixture.jobs.keys().copied().collect(), *number) {
                fixture.end(job);
            }
        }
        DrawnStep::Wait(minutes) => fixture.at += u64::from(*minutes) * 60_000,
        DrawnStep::Fail(number) => fixture.workers[&worker(*number)].is_usable = false,
        DrawnStep::Return(number) => {
            let slot = &mut fixture.workers[&worker(*number)];
            slot.is_usable = !slot.is_domain_out;
        }
        DrawnStep::Domain(domain, out) => {
            for number in domain * 8..domain * 8 + 8 {
                let slot = &mut fixture.workers[&worker(number)];
                slot.is_usable = !out;
                slot.is_domain_out = *out;
            }
        }
    }
    fixture.at += 1_000;
}

fn drawn_fixture(kind: PolicyKind) -> FleetFixture {
    let shapes = [
        team("a", &[(4, true, 1), (1, false, 2)]),
        team("b", &[(2, false, 2)]),
        team("c", &[]),
    ];
    let mut fixture = FleetFixture::new(WORKERS, &shapes);
    fixture.kind = kind;
    fixture
}

fn region_of(fixture: &FleetFixture, name: &WorkerName) -> String {
    fixture.workers[name].info.region.as_str().to_owned()
}

/// Checks each decision against the state on which it was based. [`FleetFixture::place`] panics
/// when a slot or an accelerator is allocated twice.
fn check_decisions(fixture: &FleetFixture, decisions: &[PolicyDecision]) {
    let mut taken: HashMap<&WorkerName, ResourceDemand> = HashMap::new();
    for decision in decisions {
        match decision {
            PolicyDecision::Place { job, workers } => {
                let entry = &fixture.jobs[job];
                let spec = &entry.order.spec;
                assert!(entry.placed.is_none(), "{job} is placed twice");
                assert_eq!(workers.len(), spec.members as usize, "a part of gang {job}");
                let region = region_of(fixture, &workers[0]);
                for worker in workers {
                    let slot = &fixture.workers[worker];
                    assert!(slot.is_usable, "{worker} is not usable");
                    assert_eq!(
                        region_of(fixture, worker),
                        region,
                        "gang {job} spans regions"
                    );
                    let used = taken.entry(worker).or_default();
                    used.add(&spec.demand);
                    assert!(used.fits(&slot.free), "{worker} is used twice");
                }
                if spec.adjacency == GangAdjacency::SameRack {
                    let rack = |name: &WorkerName| fixture.workers[name].info.rack.clone();
                    assert!(workers.iter().all(|name| rack(name) == rack(&workers[0])));
                }
            }
            PolicyDecision::Reclaim { victim, .. } | PolicyDecision::Move { job: victim } => {
                let entry = &fixture.jobs[victim];
                assert!(entry.placed.is_some(), "{victim} does not run");
                assert!(
                    entry.order.spec.can_be_preempted(),
                    "{victim} cannot be stopped"
                );
            }
            PolicyDecision::Refuse { job, .. } => assert!(!fixture.runs(*job)),
        }
    }
}

/// Checks that pinned work has not made a guaranteed shape impossible to place.
fn check_reclaimable(fixture: &FleetFixture) {
    let before = fixture
        .policy_state
        .unplaced_shapes
        .iter()
        .map(|unplaced| unplaced.count)
        .sum::<u32>();
    let mut probe = FleetFixture::new(0, &[]);
    probe.at = fixture.at;
    probe.workers.clone_from(&fixture.workers);
    probe.teams.clone_from(&fixture.teams);
    probe.policy_state.clone_from(&fixture.policy_state);
    probe.policy_state.idle_view = None;
    for (job, entry) in &fixture.jobs {
        if let Some(placed) = &entry.placed
            && !entry.order.spec.can_be_preempted()
        {
            let id = probe.submit(entry.order.team.as_str(), entry.order.spec.clone());
            probe.jobs[&id].placed = Some(placed.clone());
            assert!(job.0 > 0);
        }
    }
    probe.decide();
    let after = probe
        .policy_state
        .unplaced_shapes
        .iter()
        .map(|unplaced| unplaced.count)
        .sum::<u32>();
    assert!(
        after <= before,
        "{before} shapes were missing, {after} are now"
    );
}

fn run(kind: PolicyKind, steps: &[DrawnStep]) -> Vec<Vec<PolicyDecision>> {
    let mut fixture = drawn_fixture(kind);
    assert_eq!(check_guarantees(&fixture.teams, &fixture.workers), Ok(()));
    let mut all = Vec::new();
    for step in steps {
        apply(&mut fixture, step);
        let decisions = fixture.decide();
        check_decisions(&fixture, &decisions);
        for decision in &decisions {
            match decision {
                PolicyDecision::Place { job, workers } => fixture.place(*job, workers.clone()),
                PolicyDecision::Reclaim { victim: job, .. } | PolicyDecision::Move { job } => {
                    fixture.stop(*job);
                }
                PolicyDecision::Refuse { job, .. } => fixture.end(*job),
            }
        }
        if kind == PolicyKind::Mustardpath {
            check_reclaimable(&fixture);
        }
        all.push(decisions);
    }
    all
}

/// Guards against partial gangs, double allocation, placement on unusable workers, pinned work that
/// blocks guarantees, and decisions that depend on anything but the view and the policy state.
#[test]
fn decisions_keep_all_invariants() {
    for (seed, steps) in draws::lists::<DrawnStep>(0..600, STEPS) {
        let first = run(PolicyKind::Mustardpath, &steps);
        assert_eq!(run(PolicyKind::Mustardpath, &steps), first, "seed {seed}");
    }
}

/// Guards against the same faults in the baselines, except for guarantees, which they ignore.
#[test]
fn baselines_place_complete_gangs() {
    for (_, steps) in draws::lists::<DrawnStep>(0..300, STEPS) {
        run(PolicyKind::FirstFit, &steps);
        run(PolicyKind::StrictPriority, &steps);
    }
}
