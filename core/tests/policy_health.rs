//! Quarantine of workers that fail all jobs, and detection of jobs that fail on all workers.

mod fixture;

use crate::fixture::FleetFixture;
use crate::fixture::START;
use crate::fixture::spec;
use crate::fixture::team;
use crate::fixture::worker;
use mustardpath_core::health::JobVerdict;
use mustardpath_core::ids::JobId;
use mustardpath_core::policy::EndObservation;
use mustardpath_core::policy::ObservedEnd;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

fn end(
    fixture: &mut FleetFixture,
    team: &str,
    job: u64,
    number: usize,
    failed: bool,
) -> JobVerdict {
    let order = fixture::order(team, spec(1, 1));
    let worker = worker(number);
    let failed_on = fixture
        .jobs
        .get(&JobId(job))
        .map(|entry| entry.failed_on.clone());
    fixture.policy_state.observe_end(&EndObservation {
        at: ClockTime(fixture.at),
        job: JobId(job),
        order: &order,
        workers: std::slice::from_ref(&worker),
        failed_on: &failed_on.unwrap_or_default(),
        progress: TimeSpan(1_000),
        end: if failed {
            ObservedEnd::Failed { worker: &worker }
        } else {
            ObservedEnd::Finished
        },
    })
}

/// Team, job, time in seconds and whether the job failed.
type DrawnEnd = (&'static str, u64, u64, bool);

fn is_quarantined(fixture: &FleetFixture, number: usize) -> bool {
    fixture
        .policy_state
        .health
        .quarantine(&worker(number))
        .is_some()
}

/// Guards against a faulty worker that fails jobs at once and so attracts the whole queue. Also
/// guards against quarantining a worker for the failures of one team or one job, for old failures,
/// or although it succeeds with other jobs.
#[test]
fn needs_three_jobs_of_two_teams_without_success() {
    let cases: [(&str, &[DrawnEnd], bool); 6] = [
        (
            "3 jobs, 2 teams",
            &[("a", 1, 0, true), ("b", 2, 1, true), ("a", 3, 2, true)],
            true,
        ),
        (
            "1 team",
            &[("a", 1, 0, true), ("a", 2, 1, true), ("a", 3, 2, true)],
            false,
        ),
        (
            "2 jobs",
            &[("a", 1, 0, true), ("b", 2, 1, true), ("a", 1, 2, true)],
            false,
        ),
        (
            "a success",
            &[
                ("a", 1, 0, true),
                ("b", 2, 1, true),
                ("a", 4, 1, false),
                ("a", 3, 2, true),
            ],
            false,
        ),
        (
            "too old",
            &[("a", 1, 0, true), ("b", 2, 1, true), ("a", 3, 601, true)],
            false,
        ),
        (
            "in time",
            &[("a", 1, 0, true), ("b", 2, 1, true), ("a", 3, 600, true)],
            true,
        ),
    ];
    for (name, ends, expected) in cases {
        let mut fixture = FleetFixture::new(2, &[team("a", &[]), team("b", &[])]);
        for (team, job, second, failed) in ends {
            fixture.at = START + second * 1_000;
            end(&mut fixture, team, *job, 0, *failed);
        }
        assert_eq!(is_quarantined(&fixture, 0), expected, "{name}");
    }
}

/// Guards against placing regular work on a quarantined worker, concurrent probes, a probe delay
/// that does not grow, and a quarantine that never ends.
#[test]
fn probes_one_task_at_a_time_with_a_growing_delay() {
    let mut fixture = FleetFixture::new(1, &[team("a", &[]), team("b", &[])]);
    for (job, team) in [(901, "a"), (902, "b"), (903, "a")] {
        end(&mut fixture, team, job, 0, true);
    }
    for _ in 0..3 {
        fixture.submit("b", spec(1, 1));
    }
    let mut delay = 30_000;
    for round in 0..6 {
        fixture.at += delay - 1_000;
        assert_eq!(fixture.step(), [], "before the probe of round {round}");
        fixture.at += 1_000;
        assert_eq!(fixture.step().len(), 1, "one probe in round {round}");
        fixture.at += 100;
        assert_eq!(fixture.step(), [], "no second probe in round {round}");
        let probe = *fixture
            .jobs
            .keys()
            .find(|job| fixture.runs(**job))
            .expect("a probe");
        end(&mut fixture, "b", probe.0, 0, true);
        fixture.stop(probe);
        delay = (delay * 2).min(600_000);
    }
    fixture.at += delay;
    fixture.step();
    let probe = *fixture
        .jobs
        .keys()
        .find(|job| fixture.runs(**job))
        .expect("a probe");
    end(&mut fixture, "b", probe.0, 0, false);
    fixture.end(probe);
    assert!(!is_quarantined(&fixture, 0));
    fixture.step();
    assert_eq!(
        fixture
            .jobs
            .keys()
            .filter(|job| fixture.runs(**job))
            .count(),
        2
    );
}

/// Guards against a faulty job that fails on every worker and causes the quarantine of healthy
/// workers.
#[test]
fn fails_a_job_that_fails_on_healthy_workers() {
    let mut fixture = FleetFixture::new(4, &[team("a", &[]), team("b", &[])]);
    for number in 0..3 {
        end(&mut fixture, "a", 900 + number as u64, number, false);
    }
    fixture.at += 1_000;
    let job = fixture.submit("b", spec(1, 1));
    for number in 0..3 {
        let verdict = end(&mut fixture, "b", job.0, number, true);
        let expected = if number == 2 {
            JobVerdict::Faulty
        } else {
            JobVerdict::Retry
        };
        assert_eq!(verdict, expected);
        fixture.jobs[&job].failed_on.push(worker(number));
    }
    end(&mut fixture, "a", 910, 0, true);
    end(&mut fixture, "b", 911, 0, true);
    assert!(
        !is_quarantined(&fixture, 0),
        "the faulty job no longer counts"
    );
    end(&mut fixture, "a", 912, 0, true);
    assert!(is_quarantined(&fixture, 0));
}

/// Guards against retrying a job on the worker where it has just failed.
#[test]
fn retries_on_another_worker() {
    let mut fixture = FleetFixture::new(2, &[team("a", &[])]);
    fixture.run("a", spec(1, 4), &[0]);
    let job = fixture.submit("a", spec(1, 1));
    fixture.jobs[&job].failed_on.push(worker(0));
    fixture.step();
    assert_eq!(fixture.workers_of(job), [worker(1)]);
}
