//! Retention of ended jobs in the batch topic.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use mustardpath_core::batch::job::JobPhase;
use mustardpath_core::batch::job::JobSubmission;
use mustardpath_core::batch::message::StoreStream;
use mustardpath_core::batch::message::StreamChange;
use mustardpath_core::batch::message::StreamOutcome;
use mustardpath_core::batch::record::BatchRecord;
use mustardpath_core::batch::record::RecordKey;
use mustardpath_core::batch::record::RecordValue;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;

/// Time after which the records of an ended job are deleted.
const RETENTION: TimeSpan = TimeSpan(300_000);

/// Returns a simulation with two completed jobs and one that was cancelled while it was running.
fn simulation_with_ended_jobs(seed: u64) -> BatchSimulation {
    let mut simulation = simulations::simulation(seed, 3, 8);
    let mut gang = simulations::step(4, 1);
    gang.gang = true;
    for (number, step) in (0..).zip([gang, simulations::step(3, 1), simulations::step(5, 0)]) {
        simulation.submit(0, simulations::key(number), simulations::job(vec![step]));
    }
    simulation
        .job_behavior
        .insert(simulations::key(2), (TimeSpan(60_000), false));
    simulation.advance(TimeSpan(2_000));
    simulation.cancel(1, simulations::key(2));
    simulation.advance(TimeSpan(6_000));
    simulation
}

/// Returns the newest record of each key, which a daemon loads when it starts.
fn snapshot(simulation: &BatchSimulation) -> Vec<BatchRecord> {
    let StreamOutcome::Newest { records, .. } = simulation.store.read_newest(StoreStream::Batch)
    else {
        panic!("the store answers");
    };
    let records = records
        .into_iter()
        .filter_map(|record| match record.change {
            StreamChange::Batch(batch) => Some(*batch),
            _ => None,
        });
    records.collect()
}

fn phases(simulation: &BatchSimulation) -> [Option<JobPhase>; 3] {
    [0, 1, 2].map(|number| simulation.phase(simulations::key(number)))
}

/// Guards against a topic that grows without bound: daemons take longer and longer to load it,
/// until none is ready in time after a restart.
#[test]
fn records_of_expired_jobs_are_deleted() {
    for seed in 0..5 {
        let mut simulation = simulation_with_ended_jobs(seed);
        let ended = [
            Some(JobPhase::Completed),
            Some(JobPhase::Completed),
            Some(JobPhase::Cancelled),
        ];
        assert_eq!(phases(&simulation), ended, "seed {seed}");
        // The next planner must delete the records of jobs that ended under its predecessor.
        for daemon in 0..simulation.daemon_count() {
            simulation.kill(daemon);
            simulation.start(daemon);
        }
        simulation.advance(TimeSpan(RETENTION.0 - 10_000));
        assert_eq!(phases(&simulation), ended, "seed {seed}");
        simulation.advance(TimeSpan(30_000));
        assert_eq!(phases(&simulation), [None; 3], "seed {seed}");
        let remaining: Vec<RecordKey> = snapshot(&simulation)
            .iter()
            .map(|record| record.key)
            .collect();
        assert_eq!(remaining, [RecordKey::Term], "seed {seed}");
        assert!(
            simulation.checker.violations.is_empty(),
            "{:#?}",
            simulation.checker.violations
        );
    }
}

/// Guards against loads that include the submissions of ended jobs: after a power failure, all
/// daemons of a region load over one link (issue 17).
#[test]
fn a_completed_job_is_loaded_without_its_submission() {
    let simulation = simulation_with_ended_jobs(0);
    let submissions: Vec<JobSubmission> = snapshot(&simulation)
        .into_iter()
        .filter(|record| record.key != RecordKey::Job(simulations::key(2)))
        .filter_map(|record| match record.value {
            Some(RecordValue::Job(definition)) => Some(definition.submission),
            _ => None,
        })
        .collect();
    assert_eq!(
        submissions,
        [JobSubmission::default(), JobSubmission::default()]
    );
}
