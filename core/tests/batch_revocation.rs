//! Revocation of keys at a daemon that can no longer read the configuration.

use mustardpath_core::batch;
use mustardpath_core::batch::catalog::QueueCatalog;
use mustardpath_core::batch::catalog::QueueConfig;
use mustardpath_core::batch::catalog::TeamConfig;
use mustardpath_core::batch::message::BatchEffect;
use mustardpath_core::batch::message::BatchInput;
use mustardpath_core::batch::message::CallAction;
use mustardpath_core::batch::message::QueueCall;
use mustardpath_core::batch::message::QueueResponse;
use mustardpath_core::batch::message::StoreStream;
use mustardpath_core::batch::message::StreamChange;
use mustardpath_core::batch::message::StreamOutcome;
use mustardpath_core::batch::message::StreamRecord;
use mustardpath_core::batch::settings::BatchSettings;
use mustardpath_core::batch::state::BatchState;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::context::StepContext;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::ids::CallerId;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Time of the daemon's last request for the configuration.
const REQUESTED_AT: ClockTime = ClockTime(1_000_000);

/// Time within which a revoked key must stop working, minus 500 ms for the response to a request
/// that was already sent.
const REVOCATION_BOUND: TimeSpan = TimeSpan(5_000 - 500);

/// Longest silence of the store during which callers are still served. Reads of a large
/// configuration are up to 2 s apart, and each takes up to 0.7 s over a congested link.
const LONGEST_SILENCE: TimeSpan = TimeSpan(3_400);

fn catalog() -> QueueCatalog {
    let team = TeamConfig {
        name: "seals".into(),
        keys: vec![KeyDigest::of("seals")],
        guaranteed_gpu: 0,
    };
    QueueCatalog {
        version: 1,
        queues: vec![QueueConfig {
            name: "/q/".into(),
            host: "jobs.example".into(),
            prefix: "/q/".into(),
            service: "s".into(),
            priority: 0,
            max_attempts: 4,
            stretch: 3_000,
            target: TimeSpan(1_000),
            public: false,
        }],
        teams: [(team.name.clone(), team)].into_iter().collect(),
    }
}

/// Returns a daemon that has read the configuration once.
fn daemon() -> BatchState {
    let settings = r#"{"ready_address": "127.0.0.1:1", "revocation": "5 s"}"#;
    let settings: BatchSettings = serde_json::from_str(settings).expect("settings");
    let mut state = BatchState::new(settings, "daemon-1".into(), 1);
    let mut effects = Vec::new();
    let context = &mut StepContext::new(REQUESTED_AT, &mut effects);
    batch::settle(&mut state, context);
    let record = StreamRecord {
        offset: 0,
        change: StreamChange::Catalog(Box::new(catalog())),
    };
    let outcome = StreamOutcome::Newest {
        records: vec![record],
        after: None,
        end: 1,
        bytes: 500,
    };
    let stream = StoreStream::Operator;
    batch::apply(&mut state, &BatchInput::Read { stream, outcome }, context);
    state
}

/// Returns the response to a call with a configured key.
fn call(state: &mut BatchState, at: ClockTime) -> QueueResponse {
    let call = QueueCall {
        host: "jobs.example".into(),
        path: "/q/".into(),
        credential: Some(KeyDigest::of("seals")),
        timeout: None,
        action: CallAction::Read,
    };
    let caller = CallerId(1);
    let call = Box::new(call);
    let mut effects = Vec::new();
    let context = &mut StepContext::new(at, &mut effects);
    batch::apply(state, &BatchInput::Call { caller, call }, context);
    let answer = effects.into_iter().find_map(|effect| match effect {
        ControlEffect::Batch(BatchEffect::Respond { response, .. }) => Some(response),
        _ => None,
    });
    answer.expect("the call is answered at once")
}

/// Guards against a daemon that accepts a key which may have been revoked in the meantime.
#[test]
fn a_key_is_refused_once_the_revocation_bound_has_passed() {
    let mut state = daemon();
    let QueueResponse::Failure(report) = call(&mut state, REQUESTED_AT + REVOCATION_BOUND) else {
        panic!("the call is refused");
    };
    // The daemon cannot determine whether the key is valid, so it does not report it as unknown.
    assert_eq!(report.kind, ErrorKind::NotReady);
}

/// Guards against callers who are refused although the configuration is recent enough.
#[test]
fn a_key_is_accepted_between_two_reads_of_a_large_configuration() {
    let mut state = daemon();
    assert_eq!(
        call(&mut state, REQUESTED_AT + LONGEST_SILENCE),
        QueueResponse::Pending(0)
    );
}
