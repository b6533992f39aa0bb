//! Guarantees: they fit on the fleet, can be reclaimed when claimed and are never blocked.

mod fixture;

use crate::fixture::FleetFixture;
use crate::fixture::gpus;
use crate::fixture::order;
use crate::fixture::spec;
use crate::fixture::team;
use crate::fixture::worker;
use mustardpath_core::config::GangAdjacency;
use mustardpath_core::config::ServiceSpec;
use mustardpath_core::guarantee::check_feasibility;
use mustardpath_core::guarantee::check_guarantees;
use mustardpath_core::policy::PolicyDecision;

fn non_preemptible(members: u32, accelerators: u32) -> ServiceSpec {
    ServiceSpec {
        preemptible: false,
        ..spec(members, accelerators)
    }
}

/// Guards against publishing guarantees that exceed the capacity of the fleet or of its racks.
#[test]
fn refuses_guarantees_that_do_not_fit() {
    let fixture = FleetFixture::new(8, &[team("a", &[(4, true, 1)]), team("b", &[(4, true, 1)])]);
    assert_eq!(check_guarantees(&fixture.teams, &fixture.workers), Ok(()));

    let fixture = FleetFixture::new(
        8,
        &[team("a", &[(4, true, 2)]), team("b", &[(1, false, 1)])],
    );
    let reason = check_guarantees(&fixture.teams, &fixture.workers).unwrap_err();
    assert!(
        reason.starts_with("1 of 2") && reason.contains("team a"),
        "{reason}"
    );

    let fixture = FleetFixture::new(8, &[team("a", &[(5, true, 1)])]);
    let reason = check_guarantees(&fixture.teams, &fixture.workers).unwrap_err();
    assert!(reason.contains("in one rack"), "{reason}");
}

/// Guards against taking a failure domain out of service although the remaining workers cannot hold
/// a guarantee. The check must ignore workers that are not usable.
#[test]
fn counts_only_usable_workers() {
    let mut fixture = FleetFixture::new(16, &[team("a", &[(1, false, 9)])]);
    assert_eq!(check_guarantees(&fixture.teams, &fixture.workers), Ok(()));
    for slot in fixture.workers.values_mut().skip(8) {
        slot.is_usable = false;
    }
    let reason = check_guarantees(&fixture.teams, &fixture.workers).unwrap_err();
    assert!(reason.starts_with("1 of 9"), "{reason}");
}

/// Guards against a job within its team's guarantee that waits for borrowed work to end.
#[test]
fn reclaims_lent_capacity_when_claimed() {
    let mut fixture = FleetFixture::new(4, &[team("a", &[(2, true, 1)]), team("b", &[])]);
    for number in 0..4 {
        fixture.run("b", spec(1, 8), &[number]);
        fixture.at += 60_000;
    }
    let claimant = fixture.submit("a", spec(2, 8));
    let decisions = fixture.step();
    let reclaimed = decisions
        .iter()
        .filter(|decision| matches!(decision, PolicyDecision::Reclaim { claimant: for_job, .. } if *for_job == claimant));
    assert_eq!(reclaimed.count(), 2, "{decisions:?}");
    fixture.at += 100;
    fixture.step();
    assert!(fixture.runs(claimant));
    let mut workers = fixture.workers_of(claimant);
    workers.sort();
    assert_eq!(
        workers,
        [worker(2), worker(3)],
        "the work placed last loses least"
    );
}

/// Guards against stopping victims whose capacity does not let the claimant start.
#[test]
fn stops_only_victims_that_the_claimant_needs() {
    let mut fixture = FleetFixture::new(4, &[team("a", &[(1, false, 1)]), team("b", &[])]);
    let large = fixture.run("b", spec(1, 8), &[0]);
    fixture.at += 3_600_000;
    for number in 1..4 {
        fixture.run("b", non_preemptible(1, 1), &[number]);
        fixture.run("b", spec(1, 1), &[number]);
    }
    let claimant = fixture.submit("a", spec(1, 8));
    let expected = PolicyDecision::Reclaim {
        victim: large,
        claimant,
    };
    assert_eq!(fixture.decide(), [expected]);
}

/// Guards against reclaiming capacity for a job beyond its team's guarantee.
#[test]
fn reclaims_nothing_beyond_the_guarantee() {
    let mut fixture = FleetFixture::new(2, &[team("a", &[(1, false, 1)]), team("b", &[])]);
    fixture.run("b", spec(1, 8), &[0]);
    fixture.run("a", spec(1, 8), &[1]);
    fixture.submit("a", spec(1, 8));
    assert_eq!(fixture.decide(), []);
}

/// Guards against assigning the capacity of a stopped victim to a job other than its claimant.
#[test]
fn holds_freed_capacity_for_its_claimant() {
    let mut fixture = FleetFixture::new(2, &[team("a", &[(1, false, 1)]), team("b", &[])]);
    fixture.run("b", spec(1, 8), &[0]);
    fixture.run("b", spec(1, 8), &[1]);
    let claimant = fixture.submit("a", spec(1, 8));
    fixture.step();
    let other = fixture.submit("b", spec(1, 8));
    fixture.at += 100;
    fixture.step();
    assert!(fixture.runs(claimant));
    assert!(!fixture.runs(other));
}

/// Guards against placing work that cannot be stopped on another team's guaranteed shape, where it
/// could not be reclaimed.
#[test]
fn keeps_pinned_work_off_unclaimed_shapes() {
    let mut fixture = FleetFixture::new(4, &[team("a", &[(2, true, 1)]), team("b", &[])]);
    let jobs: Vec<_> = (0..4)
        .map(|_| fixture.submit("b", non_preemptible(1, 8)))
        .collect();
    fixture.step();
    let running = jobs.iter().filter(|job| fixture.runs(**job)).count();
    assert_eq!(running, 2);
    let claimant = fixture.submit("a", non_preemptible(2, 8));
    fixture.step();
    assert!(fixture.runs(claimant));
}

/// Guards against counting a team's own pinned work twice: once by itself and once in the shape
/// that covers it.
#[test]
fn counts_own_pinned_work_within_its_shape() {
    let mut fixture = FleetFixture::new(2, &[team("a", &[(1, false, 2)])]);
    let jobs: Vec<_> = (0..4)
        .map(|_| fixture.submit("a", non_preemptible(1, 4)))
        .collect();
    fixture.step();
    assert!(jobs.iter().all(|job| fixture.runs(*job)));
    assert_eq!(fixture.policy_state.unplaced_shapes, []);
}

/// Guards against suspending the guarantee of a small team when a failure domain is out. The
/// largest team must lose its shapes first.
#[test]
fn keeps_the_smallest_teams_when_not_all_fit() {
    let mut fixture = FleetFixture::new(
        16,
        &[team("a", &[(1, false, 10)]), team("b", &[(1, false, 4)])],
    );
    for slot in fixture.workers.values_mut().skip(8) {
        slot.is_usable = false;
        slot.is_domain_out = true;
    }
    fixture.submit("a", spec(1, 1));
    fixture.step();
    let missing = &fixture.policy_state.unplaced_shapes;
    assert_eq!(missing.len(), 1);
    assert_eq!((missing[0].team.as_str(), missing[0].count), ("a", 6));
}

/// Guards against leaving jobs in a failure domain that is out, and against moving borrowed work
/// before guaranteed work.
#[test]
fn drains_a_domain_with_guaranteed_work_first() {
    let mut fixture = FleetFixture::new(16, &[team("a", &[(1, false, 2)]), team("b", &[])]);
    let lent = fixture.run("b", spec(1, 8), &[8]);
    let own = fixture.run("a", spec(1, 8), &[9]);
    let elsewhere = fixture.run("b", spec(1, 8), &[0]);
    for slot in fixture.workers.values_mut().skip(8) {
        slot.is_usable = false;
        slot.is_domain_out = true;
    }
    let moved = [own, lent].map(|job| PolicyDecision::Move { job });
    assert_eq!(fixture.step(), moved);
    fixture.at += 100;
    fixture.step();
    assert!(fixture.runs(own) && fixture.runs(lent) && fixture.runs(elsewhere));
    assert!(fixture.workers_of(lent) != [worker(8)]);
}

/// Guards against accepting jobs that can never run, and against refusing jobs that fit.
#[test]
fn detects_infeasible_jobs() {
    let fixture = FleetFixture::new(8, &[team("a", &[(4, true, 1)]), team("b", &[])]);
    let check = |spec| check_feasibility(&order("b", spec), &fixture.workers, &fixture.teams);
    assert_eq!(check(spec(8, 8)), Ok(()));
    assert!(check(spec(9, 8)).is_err());
    assert!(check(spec(1, 9)).is_err());
    assert!(check(spec(65, 1)).is_err());
    let contradiction = ServiceSpec {
        adjacency: GangAdjacency::SameRack,
        spread_domains: true,
        ..spec(2, 1)
    };
    assert!(check(contradiction).unwrap_err().contains("one rack"));
    assert_eq!(check(non_preemptible(4, 8)), Ok(()));
    assert!(
        check(non_preemptible(5, 8))
            .unwrap_err()
            .contains("guarantees")
    );
}

/// Guards against refusing a job while workers are being replaced, and against never refusing it.
#[test]
fn refuses_only_after_the_fleet_stayed_too_small() {
    let mut fixture = FleetFixture::new(4, &[team("b", &[])]);
    let job = fixture.submit("b", spec(5, 8));
    assert_eq!(fixture.decide(), []);
    assert!(fixture.policy_state.reasons[&job][0].contains("no region has workers"));
    fixture.at += 599_000;
    assert_eq!(fixture.decide(), []);
    fixture.at += 6_000;
    let decisions = fixture.decide();
    assert!(matches!(&decisions[..], [PolicyDecision::Refuse { job: ended, .. }] if *ended == job));
}

/// Guards against placing a job without accelerators on an idle worker with accelerators when it
/// fits on a partly used one.
#[test]
fn keeps_idle_accelerators_for_other_work() {
    let mut fixture = FleetFixture::new(2, &[team("b", &[])]);
    fixture.run("b", spec(1, 8 - 1), &[1]);
    let mut plain = spec(1, 0);
    plain.demand.cores = 1;
    assert!(gpus(0).fits(&plain.demand));
    let job = fixture.submit("b", plain);
    fixture.step();
    assert_eq!(fixture.workers_of(job), [worker(1)]);
}
