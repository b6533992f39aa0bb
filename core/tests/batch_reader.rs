//! Readers of the store's topics: load timeouts, and polling of a large configuration.

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

/// Time after which a failed read has been retried.
const RETRY_INTERVAL: TimeSpan = TimeSpan(1_000);

/// Size of a configuration with 1,400 queues.
const LARGE_RESPONSE_BYTES: u64 = 322_000;

/// Polling interval of a large configuration, which must apply within 2.5 s.
const POLL_INTERVAL: TimeSpan = TimeSpan(1_093);

/// Returns a daemon that has not read any topic.
fn daemon() -> BatchState {
    let settings = r#"{"ready_address": "127.0.0.1:1"}"#;
    let settings: BatchSettings = serde_json::from_str(settings).expect("settings");
    BatchState::new(settings, "daemon-1".into(), 1)
}

/// Lets the daemon send its reads, and returns the timeouts of its loads of the batch topic.
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

/// Lets the daemon send its reads, and returns those of the operators' topic: the first offset, or
/// `None` for a load of the newest records.
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

/// Guards against daemons that never load their jobs because each load times out before its first
/// byte, while the loads of all daemons share one link (issue 17; bench: tlr-bench-grown
/// trouble-3).
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

/// Guards against a load that keeps a longer timeout after an earlier failure was overcome.
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

/// Returns a response with a large configuration record before offset `next`, from a topic that
/// ends at `end`.
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

/// Guards against daemons that read every version of a large configuration during a series of quick
/// changes. The link to their region then stays congested long after the last change and delays the
/// lists of the workers there (issue 17; bench: growing-configuration on tlr-bench-grown).
#[test]
fn a_reader_of_a_large_configuration_skips_versions() {
    let operator = StoreStream::Operator;
    let mut state = daemon();
    let mut at = ClockTime(1_000_000);
    assert_eq!(operator_reads(&mut state, at), [None]);
    complete_read_of(operator, &mut state, at, snapshot(10, 8_000));
    assert_eq!(operator_reads(&mut state, at), [Some(10)]);
    // All daemons receive the first large version at once. Afterwards they poll at different times.
    complete_read_of(operator, &mut state, at, configuration_records(11, 11));
    at = at + POLL_INTERVAL;
    assert_eq!(operator_reads(&mut state, at), [Some(11)]);
    // The reader is three versions behind, so it loads only the newest one.
    complete_read_of(operator, &mut state, at, configuration_records(12, 15));
    assert_eq!(operator_reads(&mut state, at), [None]);
    complete_read_of(operator, &mut state, at, snapshot(16, LARGE_RESPONSE_BYTES));
    assert!(operator_reads(&mut state, at + POLL_INTERVAL - TimeSpan(1)).is_empty());
    at = at + POLL_INTERVAL;
    assert_eq!(operator_reads(&mut state, at), [None]);
    // The snapshot has nothing newer, so reads continue from its end.
    complete_read_of(operator, &mut state, at, snapshot(16, LARGE_RESPONSE_BYTES));
    at = at + POLL_INTERVAL;
    assert_eq!(operator_reads(&mut state, at), [Some(16)]);
}
