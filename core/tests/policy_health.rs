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

fn end(scene: &mut FleetFixture, team: &str, job: u64, number: usize, failed: bool) -> JobVerdict {
    let order = fixture::order(team, spec(1, 1));
    let worker = worker(number);
    let failed_on = scene
        .jobs
        .get(&JobId(job))
        .map(|entry| entry.failed_on.clone());
    scene.policy_state.observe_end(&EndObservation {
        at: ClockTime(scene.at),
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

fn quarantined(scene: &FleetFixture, number: usize) -> bool {
    scene
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
        let mut scene = FleetFixture::new(2, &[team("a", &[]), team("b", &[])]);
        for (team, job, second, failed) in ends {
            scene.at = START + second * 1_000;
            end(&mut scene, team, *job, 0, *failed);
        }
        assert_eq!(quarantined(&scene, 0), expected, "{name}");
    }
}

/// Guards against placing regular work on a quarantined worker, concurrent probes, a probe delay
/// that does not grow, and a quarantine that never ends.
#[test]
fn probes_one_task_at_a_time_with_a_growing_delay() {
    let mut scene = FleetFixture::new(1, &[team("a", &[]), team("b", &[])]);
    for (job, team) in [(901, "a"), (902, "b"), (903, "a")] {
        end(&mut scene, team, job, 0, true);
    }
    for _ in 0..3 {
        scene.submit("b", spec(1, 1));
    }
    let mut delay = 30_000;
    for round in 0..6 {
        scene.at += delay - 1_000;
        assert_eq!(scene.step(), [], "before the probe of round {round}");
        scene.at += 1_000;
        assert_eq!(scene.step().len(), 1, "one probe in round {round}");
        scene.at += 100;
        assert_eq!(scene.step(), [], "no second probe in round {round}");
        let probe = *scene
            .jobs
            .keys()
            .find(|job| scene.runs(**job))
            .expect("a probe");
        end(&mut scene, "b", probe.0, 0, true);
        scene.stop(probe);
        delay = (delay * 2).min(600_000);
    }
    scene.at += delay;
    scene.step();
    let probe = *scene
        .jobs
        .keys()
        .find(|job| scene.runs(**job))
        .expect("a probe");
    end(&mut scene, "b", probe.0, 0, false);
    scene.end(probe);
    assert!(!quarantined(&scene, 0));
    scene.step();
    assert_eq!(scene.jobs.keys().filter(|job| scene.runs(**job)).count(), 2);
}

/// Guards against a faulty job that fails on every worker and causes the quarantine of healthy
/// workers.
#[test]
fn fails_a_job_that_fails_on_healthy_workers() {
    let mut scene = FleetFixture::new(4, &[team("a", &[]), team("b", &[])]);
    for number in 0..3 {
        end(&mut scene, "a", 900 + number as u64, number, false);
    }
    scene.at += 1_000;
    let job = scene.submit("b", spec(1, 1));
    for number in 0..3 {
        let verdict = end(&mut scene, "b", job.0, number, true);
        let expected = if number == 2 {
            JobVerdict::Faulty
        } else {
            JobVerdict::Retry
        };
        assert_eq!(verdict, expected);
        scene.jobs[&job].failed_on.push(worker(number));
    }
    end(&mut scene, "a", 910, 0, true);
    end(&mut scene, "b", 911, 0, true);
    assert!(!quarantined(&scene, 0), "the faulty job no longer counts");
    end(&mut scene, "a", 912, 0, true);
    assert!(quarantined(&scene, 0));
}

/// Guards against retrying a job on the worker where it has just failed.
#[test]
fn retries_on_another_worker() {
    let mut scene = FleetFixture::new(2, &[team("a", &[])]);
    scene.run("a", spec(1, 4), &[0]);
    let job = scene.submit("a", spec(1, 1));
    scene.jobs[&job].failed_on.push(worker(0));
    scene.step();
    assert_eq!(scene.workers_of(job), [worker(1)]);
}
