//! Following the topics of the store.

use mustardpath_core::batch;
use mustardpath_core::batch::message::BatchEffect;
use mustardpath_core::batch::message::BatchInput;
use mustardpath_core::batch::message::StoreStream;
use mustardpath_core::batch::message::StreamOutcome;
use mustardpath_core::batch::settings::BatchSettings;
use mustardpath_core::batch::state::BatchState;
use mustardpath_core::context::StepContext;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Time after which a failed read has been sent again.
const RETRY: TimeSpan = TimeSpan(1_000);

/// Returns a daemon that has read nothing.
fn daemon() -> BatchState {
    let settings = r#"{"ready_address": "127.0.0.1:1"}"#;
    let settings: BatchSettings = serde_json::from_str(settings).expect("settings");
    BatchState::new(settings, "daemon-1".into(), 1)
}

/// Lets the daemon send what is due and returns the time limits of its loads of the batch topic.
fn loads(state: &mut BatchState, at: ClockTime) -> Vec<TimeSpan> {
    let mut effects = Vec::new();
    batch::settle(state, &mut StepContext::new(at, &mut effects));
    let loads = effects.iter().filter_map(|effect| match effect {
        ControlEffect::Batch(BatchEffect::ReadNewest {
            stream: StoreStream::Batch,
            timeout,
            ..
        }) => Some(*timeout),
        _ => None,
    });
    loads.collect()
}

fn answer(state: &mut BatchState, at: ClockTime, outcome: StreamOutcome) {
    let stream = StoreStream::Batch;
    let input = BatchInput::Read { stream, outcome };
    let mut effects = Vec::new();
    batch::apply(state, &input, &mut StepContext::new(at, &mut effects));
}

/// Guards against daemons that never load their jobs, because each gives its load up in the time
/// that the loads of all of them need to begin (issue 17; bench: tlr-bench-grown trouble-3).
#[test]
fn a_load_that_failed_gets_more_time() {
    let mut state = daemon();
    let mut at = ClockTime(1_000_000);
    let mut limits = Vec::new();
    for _ in 0..6 {
        limits.extend(loads(&mut state, at));
        answer(&mut state, at, StreamOutcome::Failed);
        at = at + RETRY;
    }
    let limits: Vec<u64> = limits.iter().map(|limit| limit.0).collect();
    assert_eq!(limits, [600, 1_200, 2_400, 4_800, 4_800, 4_800]);
}

/// Guards against a load that is given up late because an earlier one had failed.
#[test]
fn a_page_that_was_loaded_ends_the_longer_times() {
    let mut state = daemon();
    let mut at = ClockTime(1_000_000);
    loads(&mut state, at);
    answer(&mut state, at, StreamOutcome::Failed);
    at = at + RETRY;
    loads(&mut state, at);
    let page = StreamOutcome::Newest {
        records: Vec::new(),
        after: Some("j1".into()),
        end: 10,
    };
    answer(&mut state, at, page);
    assert_eq!(loads(&mut state, at + RETRY), [TimeSpan(600)]);
}
