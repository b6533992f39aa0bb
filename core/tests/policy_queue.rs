//! Queue order, reservations, moves and run-time estimates.

mod fixture;

use crate::fixture::FleetFixture;
use crate::fixture::order;
use crate::fixture::spec;
use crate::fixture::team;
use crate::fixture::worker;
use mustardpath_core::config::GangAdjacency;
use mustardpath_core::config::ServiceSpec;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::policy::EndObservation;
use mustardpath_core::policy::ObservedEnd;
use mustardpath_core::policy::PolicyDecision;
use mustardpath_core::policy::PolicyKind;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

const MINUTE: u64 = 60_000;

fn minutes(spec: ServiceSpec, minutes: u64) -> ServiceSpec {
    ServiceSpec {
        run_time: TimeSpan(minutes * MINUTE),
        ..spec
    }
}

fn non_preemptible(spec: ServiceSpec) -> ServiceSpec {
    ServiceSpec {
        preemptible: false,
        ..spec
    }
}

fn placed(decisions: &[PolicyDecision]) -> Vec<JobId> {
    let place = |decision: &PolicyDecision| match decision {
        PolicyDecision::Place { job, .. } => Some(*job),
        _ => None,
    };
    decisions.iter().filter_map(place).collect()
}

/// Guards against placing jobs with deadlines before urgent jobs, and jobs without deadlines before
/// those with one.
#[test]
fn serves_urgent_then_deadlines_then_shares() {
    let mut fixture = FleetFixture::new(4, &[team("a", &[(1, false, 1)]), team("b", &[])]);
    let shared = fixture.submit("b", spec(1, 8));
    let timed = |deadline| ServiceSpec {
        deadline: Some(TimeSpan(deadline * MINUTE)),
        ..spec(1, 8)
    };
    let late = fixture.submit("b", timed(300));
    let soon = fixture.submit("b", timed(90));
    let urgent = fixture.submit(
        "a",
        ServiceSpec {
            urgent: true,
            ..spec(1, 8)
        },
    );
    assert_eq!(placed(&fixture.decide()), [urgent, soon, late, shared]);
}

/// Guards against giving all capacity to the team that submitted first.
#[test]
fn shares_capacity_between_teams() {
    let mut fixture = FleetFixture::new(4, &[team("a", &[]), team("b", &[])]);
    let first: Vec<_> = (0..4).map(|_| fixture.submit("a", spec(1, 8))).collect();
    let second: Vec<_> = (0..4).map(|_| fixture.submit("b", spec(1, 8))).collect();
    fixture.step();
    let count = |jobs: &[JobId]| jobs.iter().filter(|job| fixture.runs(**job)).count();
    assert_eq!((count(&first), count(&second)), (2, 2));
}

/// Guards against a fair share that ignores past usage once the work has ended.
#[test]
fn accounts_for_past_usage() {
    let mut fixture = FleetFixture::new(1, &[team("a", &[]), team("b", &[])]);
    let earlier = fixture.run("a", spec(1, 8), &[0]);
    for _ in 0..60 {
        fixture.at += MINUTE;
        fixture.step();
    }
    fixture.end(earlier);
    fixture.submit("a", spec(1, 8));
    let other = fixture.submit("b", spec(1, 8));
    assert_eq!(placed(&fixture.decide()), [other]);
}

/// Guards against ignoring priorities within a team.
#[test]
fn orders_a_team_by_priority_then_age() {
    let mut fixture = FleetFixture::new(1, &[team("a", &[])]);
    let old = fixture.submit("a", spec(1, 8));
    fixture.at += MINUTE;
    fixture.submit("a", spec(1, 8));
    let high = fixture.submit(
        "a",
        ServiceSpec {
            priority: 1,
            ..spec(1, 8)
        },
    );
    assert_eq!(placed(&fixture.step()), [high]);
    fixture.end(high);
    assert_eq!(placed(&fixture.step()), [old]);
}

/// Guards against starving a large gang by placing small jobs first, and against backfilling jobs
/// that would delay the gang's start.
#[test]
fn keeps_workers_for_the_first_large_gang() {
    let mut fixture = FleetFixture::new(2, &[team("a", &[]), team("b", &[])]);
    fixture.run("a", non_preemptible(minutes(spec(1, 8), 60)), &[0]);
    let gang = fixture.submit("a", spec(2, 8));
    fixture.step();
    let short = fixture.submit("b", non_preemptible(minutes(spec(1, 4), 60)));
    let long = fixture.submit("b", non_preemptible(minutes(spec(1, 4), 90)));
    assert_eq!(placed(&fixture.step()), [short]);
    let reason = &fixture.policy_state.reasons[&long][0];
    assert_eq!(
        *reason,
        format!("workers are reserved for job {gang}, and it might delay that job")
    );
}

/// Guards against a backfilled job with a wrong estimate that delays the reserved gang
/// indefinitely.
#[test]
fn stops_backfilled_work_when_the_gang_can_start() {
    let mut fixture = FleetFixture::new(2, &[team("a", &[]), team("b", &[])]);
    let blocker = fixture.run("a", spec(1, 8), &[0]);
    let gang = fixture.submit("a", spec(2, 8));
    fixture.step();
    fixture.at += MINUTE;
    let passing = fixture.submit("b", minutes(spec(1, 4), 900));
    assert_eq!(placed(&fixture.step()), [passing]);
    fixture.at += 90 * MINUTE;
    fixture.end(blocker);
    let decisions = fixture.step();
    let expected = PolicyDecision::Reclaim {
        victim: passing,
        claimant: gang,
    };
    assert_eq!(decisions, [expected]);
    fixture.at += 100;
    fixture.step();
    assert!(fixture.runs(gang));
}

/// Guards against estimates that keep using a declared run time although observations show a factor
/// of 20.
#[test]
fn corrects_estimates_by_what_was_observed() {
    let mut fixture = FleetFixture::new(2, &[team("a", &[]), team("b", &[])]);
    let declared = order("b", non_preemptible(minutes(spec(1, 4), 6)));
    for number in 0..20 {
        fixture.policy_state.observe_end(&EndObservation {
            at: ClockTime(fixture.at),
            job: JobId(1_000 + number),
            order: &declared,
            workers: &[worker(1)],
            failed_on: &[],
            progress: TimeSpan(120 * MINUTE),
            end: ObservedEnd::Finished,
        });
    }
    let expected = fixture.policy_state.estimates.expected(&declared);
    assert_eq!(expected, TimeSpan(120 * MINUTE));
    fixture.run("a", non_preemptible(minutes(spec(1, 8), 60)), &[0]);
    fixture.submit("a", spec(2, 8));
    fixture.step();
    fixture.submit("b", declared.spec);
    assert_eq!(
        placed(&fixture.step()),
        [],
        "it would pass by its declaration"
    );
}

/// Guards against exceeding the limit on moves, and against a gang that waits although moving one
/// small job would let it start.
#[test]
fn moves_small_work_within_the_budget() {
    let mut fixture = FleetFixture::new(8, &[team("a", &[]), team("b", &[])]);
    fixture.run("b", minutes(spec(1, 1), 600), &[0]);
    fixture.run("b", minutes(spec(1, 1), 600), &[4]);
    fixture.run("b", non_preemptible(minutes(spec(1, 1), 600)), &[5]);
    let rack = |spec| ServiceSpec {
        adjacency: GangAdjacency::SameRack,
        ..spec
    };
    let gang = fixture.submit("a", rack(spec(4, 8)));
    let decisions = fixture.step();
    assert!(
        matches!(&decisions[..], [PolicyDecision::Move { .. }]),
        "{decisions:?}"
    );
    fixture.at += 100;
    fixture.step();
    assert!(fixture.runs(gang));
    assert_eq!(fixture.policy_state.moves.len(), 1);
}

/// Guards against placing a small job on an idle rack while a partly used rack has capacity.
#[test]
fn keeps_idle_racks_idle() {
    let mut fixture = FleetFixture::new(8, &[team("b", &[])]);
    fixture.run("b", spec(1, 4), &[6]);
    let job = fixture.submit("b", spec(1, 8));
    let small = fixture.submit("b", spec(1, 4));
    fixture.step();
    assert_eq!(fixture.workers_of(small), [worker(6)]);
    let rack = |name: &WorkerName| fixture.workers[name].info.rack.as_str().to_owned();
    assert_eq!(rack(&fixture.workers_of(job)[0]), "rack-1");
}

/// Guards against placing all members in one failure domain when the service requires a spread.
#[test]
fn spreads_over_domains_where_asked() {
    let mut fixture = FleetFixture::new(16, &[team("b", &[])]);
    let spread = ServiceSpec {
        spread_domains: true,
        ..spec(4, 8)
    };
    let job = fixture.submit("b", spread.clone());
    fixture.step();
    let workers = fixture.workers_of(job);
    let first = workers
        .iter()
        .filter(|name| fixture.workers[*name].info.domain.as_str() == "domain-0");
    assert_eq!(first.count(), 2);
}

/// Guards against evaluating an unchanged view on every tick, and against never evaluating it
/// again.
#[test]
fn skips_a_view_without_change() {
    let mut fixture = FleetFixture::new(1, &[team("b", &[])]);
    fixture.run("b", spec(1, 8), &[0]);
    let job = fixture.submit("b", spec(1, 8));
    fixture.step();
    fixture.policy_state.reasons.clear();
    fixture.at += 1_000;
    fixture.step();
    assert!(
        fixture.policy_state.reasons.is_empty(),
        "the second look is skipped"
    );
    fixture.at += 5_000;
    fixture.step();
    assert!(fixture.policy_state.reasons.contains_key(&job));
}

/// Guards against baselines that use the same order.
#[test]
fn baselines_keep_their_order() {
    let mut fixture = FleetFixture::new(1, &[team("a", &[]), team("b", &[])]);
    let first = fixture.submit("a", spec(1, 8));
    let high = fixture.submit(
        "b",
        ServiceSpec {
            priority: 5,
            ..spec(1, 8)
        },
    );
    fixture.kind = PolicyKind::FirstFit;
    assert_eq!(placed(&fixture.decide()), [first]);
    fixture.kind = PolicyKind::StrictPriority;
    assert_eq!(placed(&fixture.decide()), [high]);
}

/// Guards against a short job that waits for hours behind borrowed work, against stopping work that
/// has only just started, and against stopping work within a guarantee.
#[test]
fn short_work_displaces_long_borrowed_work() {
    let mut fixture = FleetFixture::new(2, &[team("a", &[(1, false, 1)]), team("b", &[])]);
    fixture.run("a", minutes(spec(1, 8), 300), &[0]);
    let long = fixture.run("b", minutes(spec(1, 8), 300), &[1]);
    let longer = fixture.submit("b", minutes(spec(1, 8), 200));
    fixture.at += 9 * MINUTE;
    let short = fixture.submit("b", minutes(spec(1, 8), 20));
    assert_eq!(fixture.step(), [], "the work has just begun");
    fixture.at += 2 * MINUTE;
    let expected = PolicyDecision::Reclaim {
        victim: long,
        claimant: short,
    };
    assert_eq!(fixture.step(), [expected]);
    fixture.at += 100;
    fixture.step();
    assert!(fixture.runs(short));
    assert!(!fixture.runs(longer));
}

/// Guards against fragmentation that leaves enough free capacity for the largest guaranteed shape,
/// but no rack on which it fits.
#[test]
fn moves_work_for_the_largest_guaranteed_shape() {
    let mut fixture = FleetFixture::new(8, &[team("a", &[(4, true, 1)]), team("b", &[])]);
    fixture.run("b", spec(1, 1), &[0]);
    fixture.run("b", spec(1, 1), &[1]);
    fixture.run("b", non_preemptible(spec(1, 1)), &[4]);
    let decisions = fixture.step();
    let moves = decisions
        .iter()
        .filter(|decision| matches!(decision, PolicyDecision::Move { .. }));
    assert_eq!(moves.count(), 2, "{decisions:?}");
    fixture.at += 100;
    fixture.step();
    let rack = |number: usize| &fixture.workers[&fixture::worker(number)];
    assert!((0..4).all(|number| rack(number).free == rack(number).offered));
}
