//! Following the topics of the store.

use mustardpath_core::batch;
use mustardpath_core::batch::message::BatchEffect;
use mustardpath_core::batch::message::BatchInput;
use mustardpath_core::batch::message::StoreStream;
use mustardpath_core::batch::message::StreamChange;
use mustardpath_core::batch::message::StreamOutcome;
use mustardpath_core::batch::message::StreamRecord;
use mustardpath_core::batch::settings::BatchSettings;
use mustardpath_core::batch::state::BatchState;
use mustardpath_core::context::StepContext;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Time after which a failed read has been sent again.
const RETRY_INTERVAL: TimeSpan = TimeSpan(1_000);

/// Size of a configuration of 1,400 queues.
const LARGE_RESPONSE_BYTES: u64 = 322_000;

/// Time between two reads of a large configuration, of 2.5 s in which it must be in force.
const POLL_INTERVAL: TimeSpan = TimeSpan(1_093);

/// Returns a daemon that has read nothing.
fn daemon() -> BatchState {
    let settings = r#"{"ready_address": "127.0.0.1:1"}"#;
    let settings: BatchSettings = serde_json::from_str(settings).expect("settings");
    BatchState::new(settings, "daemon-1".into(), 1)
}

/// Lets the daemon send what is due and returns the time timeouts of its load_timeouts of the batch topic.
fn load_timeouts(state: &mut BatchState, at: ClockTime) -> Vec<TimeSpan> {
    let mut effects = Vec::new();
    batch::settle(state, &mut StepContext::new(at, &mut effects));
    let load_timeouts = effects.iter().filter_map(|effect| match effect {
        ControlEffect::Batch(BatchEffect::ReadNewest {
            stream: StoreStream::Batch,
            timeout,
            ..
        }) => Some(*timeout),
        _ => None,
    });
    load_timeouts.collect()
}

/// Lets the daemon send what is due and returns its reads of the operators' topic: the offset from
/// which it reads on, or none if it asks for the snapshot records.
fn operator_reads(state: &mut BatchState, at: ClockTime) -> Vec<Option<u64>> {
    let mut effects = Vec::new();
    batch::settle(state, &mut StepContext::new(at, &mut effects));
    let reads = effects.iter().filter_map(|effect| match effect {
        ControlEffect::Batch(BatchEffect::Read {
            stream: StoreStream::Operator,
            from,
            ..
        }) => Some(Some(*from)),
        ControlEffect::Batch(BatchEffect::ReadNewest {
            stream: StoreStream::Operator,
            ..
        }) => Some(None),
        _ => None,
    });
    reads.collect()
}

fn complete_batch_read(state: &mut BatchState, at: ClockTime, outcome: StreamOutcome) {
    complete_read_of(StoreStream::Batch, state, at, outcome);
}

fn complete_read_of(
    stream: StoreStream,
    state: &mut BatchState,
    at: ClockTime,
    outcome: StreamOutcome,
) {
    let input = BatchInput::Read { stream, outcome };
    let mut effects = Vec::new();
    batch::apply(state, &input, &mut StepContext::new(at, &mut effects));
}

/// Guards against daemons that never load their jobs, because each gives its load up in the time
/// that the load_timeouts of all of them need to begin (issue 17; bench: tlr-bench-grown trouble-3).
#[test]
fn a_load_that_failed_gets_more_time() {
    let mut state = daemon();
    let mut at = ClockTime(1_000_000);
    let mut timeouts = Vec::new();
    for _ in 0..6 {
        timeouts.extend(load_timeouts(&mut state, at));
        complete_batch_read(&mut state, at, StreamOutcome::Failed);
        at = at + RETRY_INTERVAL;
    }
    let timeouts: Vec<u64> = timeouts.iter().map(|timeout| timeout.0).collect();
    assert_eq!(timeouts, [2_400, 4_800, 4_800, 4_800, 4_800, 4_800]);
}

/// Guards against a load that is given up late because an earlier one had failed.
#[test]
fn a_loaded_page_resets_the_load_timeout() {
    let mut state = daemon();
    let mut at = ClockTime(1_000_000);
    load_timeouts(&mut state, at);
    complete_batch_read(&mut state, at, StreamOutcome::Failed);
    at = at + RETRY_INTERVAL;
    load_timeouts(&mut state, at);
    let page = StreamOutcome::Newest {
        records: Vec::new(),
        after: Some("j1".into()),
        end: 10,
        bytes: 0,
    };
    complete_batch_read(&mut state, at, page);
    assert_eq!(
        load_timeouts(&mut state, at + RETRY_INTERVAL),
        [TimeSpan(2_400)]
    );
}

/// Returns an complete_batch_read with configuration_records of versions up to `next`, from a topic that ends at `end`.
fn configuration_records(next: u64, end: u64) -> StreamOutcome {
    let change = StreamChange::Unreadable {
        key: "config".into(),
        reason: "not of interest here".into(),
    };
    StreamOutcome::Records {
        records: vec![StreamRecord {
            offset: next - 1,
            change,
        }],
        next,
        end,
        bytes: LARGE_RESPONSE_BYTES,
    }
}

fn snapshot(end: u64, bytes: u64) -> StreamOutcome {
    StreamOutcome::Newest {
        records: Vec::new(),
        after: None,
        end,
        bytes,
    }
}

/// Guards against daemons that read every version of a large configuration while it changes in
/// quick succession: the link to their region stays full for long after the last change, and what
/// workers there list comes late (issue 17; bench: growing-configuration on tlr-bench-grown).
#[test]
fn a_reader_of_a_large_configuration_skips_versions() {
    let operator = StoreStream::Operator;
    let mut state = daemon();
    let mut at = ClockTime(1_000_000);
    assert_eq!(operator_reads(&mut state, at), [None]);
    complete_read_of(operator, &mut state, at, snapshot(10, 8_000));
    assert_eq!(operator_reads(&mut state, at), [Some(10)]);
    // All daemons get the first large version at once. Each reads on at a time of its own.
    complete_read_of(operator, &mut state, at, configuration_records(11, 11));
    at = at + POLL_INTERVAL;
    assert_eq!(operator_reads(&mut state, at), [Some(11)]);
    // Three more versions have come, so only the snapshot one is read.
    complete_read_of(operator, &mut state, at, configuration_records(12, 15));
    assert_eq!(operator_reads(&mut state, at), [None]);
    complete_read_of(operator, &mut state, at, snapshot(16, LARGE_RESPONSE_BYTES));
    assert!(operator_reads(&mut state, at + POLL_INTERVAL - TimeSpan(1)).is_empty());
    at = at + POLL_INTERVAL;
    assert_eq!(operator_reads(&mut state, at), [None]);
    // Nothing has changed since, so reading goes on from there.
    complete_read_of(operator, &mut state, at, snapshot(16, LARGE_RESPONSE_BYTES));
    at = at + POLL_INTERVAL;
    assert_eq!(operator_reads(&mut state, at), [Some(16)]);
}
