//! Non-repeatable requests: intents, kept answers and repeated keys.

use crate::harness::TestDaemon;
use crate::harness::answered_outcome;
use crate::harness::request_head;
use crate::routes::deliver_heartbeat;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::kind::RunStatus;
use mustardpath_core::record::RecordBody;
use mustardpath_core::record::RequestEnd;
use mustardpath_core::units::TimeSpan;

fn request_ends(bodies: &[RecordBody]) -> Vec<RequestEnd> {
    let ends = bodies.iter().filter_map(|body| match body {
        RecordBody::RequestDone { end, .. } => Some(end.clone()),
        _ => None,
    });
    ends.collect()
}

/// Guards against a request that runs before other daemons can see its intent. A stored append is
/// not enough, because another daemon's intent may come first in the log.
#[test]
fn nothing_is_sent_before_the_intent_is_read_back() {
    let mut daemon = TestDaemon::new("d0", 3);
    daemon.send(&request_head("tea", "book", Some("k1")));
    let records = daemon.store_appends();
    daemon.advance(500);
    assert_eq!(
        daemon.sent(),
        [],
        "a stored append does not confirm the intent"
    );
    daemon.read(&records);
    assert_eq!(daemon.sent().len(), 1);
}

/// Guards against two daemons that both run a request with the same key.
#[test]
fn only_the_first_intent_with_a_key_is_sent() {
    let mut first = TestDaemon::new("d0", 3);
    let mut second = TestDaemon::new("d1", 3);
    first.send(&request_head("tea", "book", Some("k1")));
    let caller = second.send(&request_head("tea", "book", Some("k1")));
    let mut records = first.store_appends();
    records.extend(second.store_appends());
    first.read(&records);
    second.read(&records);
    assert_eq!(first.sent().len(), 1);
    assert_eq!(second.sent(), []);
    assert_eq!(second.failure(caller), ErrorKind::OutcomeUnknown);
}

/// Guards against a key that stays in progress after the daemon that sent its request has died. A
/// daemon's last heartbeat counts only while it is recent.
#[test]
fn a_key_of_an_unresponsive_daemon_is_unknown() {
    let mut first = TestDaemon::new("d0", 3);
    let mut second = TestDaemon::new("d1", 3);
    deliver_heartbeat(&mut second, "d0", false);
    first.send(&request_head("tea", "book", Some("k1")));
    let records = first.store_appends();
    second.read(&records);
    let caller = second.send(&request_head("tea", "book", Some("k1")));
    assert_eq!(second.failure(caller), ErrorKind::InProgress);
    second.advance(7_000);
    let caller = second.send(&request_head("tea", "book", Some("k1")));
    assert_eq!(second.failure(caller), ErrorKind::OutcomeUnknown);
}

/// Guards against a second intent from the same daemon for a key that is already in use.
#[test]
fn an_open_key_is_in_progress() {
    let mut daemon = TestDaemon::new("d0", 3);
    daemon.send(&request_head("tea", "book", Some("k1")));
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    assert_eq!(daemon.failure(caller), ErrorKind::InProgress);
    assert_eq!(daemon.flush_log().len(), 1, "one intent");
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    assert_eq!(daemon.failure(caller), ErrorKind::InProgress);
    let mut other = request_head("tea", "book", Some("k1"));
    other.digest = 8;
    let caller = daemon.send(&other);
    assert_eq!(daemon.failure(caller), ErrorKind::KeyConflict);
}

/// Guards against a caller that waits for the log after the endpoint has answered, and against a
/// second run when the key is sent again.
#[test]
fn an_answer_is_kept_for_its_key() {
    let mut daemon = TestDaemon::new("d0", 3);
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    daemon.flush_log();
    let sent = daemon.last_sent();
    daemon.report_outcome(&sent, answered_outcome(200));
    assert!(matches!(
        daemon.replies(caller)[..],
        [CallerAnswer::Endpoint { attempt: 1, .. }]
    ));
    let kept = CallerAnswer::Kept {
        status: 200,
        body: "ok".to_owned(),
    };
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    assert_eq!(daemon.replies(caller), [&kept], "before the read-back");
    daemon.flush_log();
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    assert_eq!(daemon.replies(caller), [&kept], "after the read-back");
    let mut other = request_head("tea", "book", Some("k1"));
    other.digest = 8;
    let caller = daemon.send(&other);
    assert_eq!(daemon.failure(caller), ErrorKind::KeyConflict);
    assert_eq!(daemon.sent().len(), 1);
}

/// Guards against a caller who has its response and is told that the request is still in progress,
/// and against another daemon that cannot say who knows the answer.
#[test]
fn an_answer_can_be_read_as_soon_as_it_was_sent() {
    let mut first = TestDaemon::new("d0", 3);
    let mut second = TestDaemon::new("d1", 3);
    deliver_heartbeat(&mut second, "d0", false);
    first.send(&request_head("tea", "book", Some("k1")));
    let records = first.store_appends();
    first.read(&records);
    second.read(&records);
    let sent = first.last_sent();
    first.report_outcome(&sent, answered_outcome(200));
    let view = first.read_key("tea", "k1");
    assert_eq!((view.state.as_str(), view.status), ("answered", Some(200)));
    let view = second.read_key("tea", "k1");
    assert_eq!(view.state, "in_progress");
    let detail = view.detail.unwrap_or_default();
    assert!(detail.contains("d0"), "{detail}");
    first.advance(100);
    let records = first.store_appends();
    second.read(&records);
    let view = second.read_key("tea", "k1");
    assert_eq!((view.state.as_str(), view.detail), ("answered", None));
}

/// Guards against a second run of a request whose first attempt may have run.
#[test]
fn an_unknown_outcome_is_never_sent_again() {
    let mut daemon = TestDaemon::new("d0", 3);
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    daemon.flush_log();
    let sent = daemon.last_sent();
    daemon.report_outcome(&sent, EndpointOutcome::Unknown);
    assert_eq!(daemon.failure(caller), ErrorKind::OutcomeUnknown);
    assert_eq!(request_ends(&daemon.flush_log()), [RequestEnd::Unknown]);
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    assert_eq!(daemon.failure(caller), ErrorKind::OutcomeUnknown);
    daemon.flush_log();
    assert_eq!(daemon.sent().len(), 1);
}

/// Guards against a request that fails with its first connection although no endpoint has received
/// it, and against a second intent for it.
#[test]
fn an_attempt_that_did_not_run_goes_to_another_endpoint() {
    for outcome in [EndpointOutcome::Undelivered, EndpointOutcome::Refused] {
        let mut daemon = TestDaemon::new("d0", 2);
        let caller = daemon.send(&request_head("tea", "book", Some("k1")));
        daemon.flush_log();
        let first = daemon.last_sent();
        daemon.report_outcome(&first, outcome.clone());
        let second = daemon.last_sent();
        assert_eq!(second.attempt, 2);
        assert_ne!(second.worker, first.worker);
        daemon.report_outcome(&second, outcome);
        assert_eq!(daemon.failure(caller), ErrorKind::NoEndpoint);
        assert_eq!(request_ends(&daemon.flush_log()), [RequestEnd::NotRun]);
    }
}

/// Guards against a false "not run". A request must not be sent when its intent is stored after the
/// timeout, and its key must become available again.
#[test]
fn a_request_whose_intent_times_out_is_never_sent() {
    let mut daemon = TestDaemon::new("d0", 3);
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    let records = daemon.store_appends();
    daemon.advance(3_500);
    assert_eq!(daemon.failure(caller), ErrorKind::LogUnavailable);
    let again = daemon.send(&request_head("tea", "book", Some("k1")));
    assert_eq!(daemon.failure(again), ErrorKind::InProgress);
    daemon.read(&records);
    assert_eq!(request_ends(&daemon.flush_log()), [RequestEnd::NotRun]);
    assert_eq!(daemon.sent(), []);
    daemon.send(&request_head("tea", "book", Some("k1")));
    daemon.flush_log();
    assert_eq!(daemon.sent().len(), 1, "the key is available again");
}

/// Guards against a key that stays blocked while the log accepts no batch. Its intent was never
/// sent to the log.
#[test]
fn a_discarded_intent_frees_its_key() {
    let mut daemon = TestDaemon::new("d0", 3);
    daemon.send(&request_head("tea", "book", Some("k1")));
    let caller = daemon.send(&request_head("tea", "book", Some("k2")));
    daemon.advance(3_500);
    assert_eq!(daemon.failure(caller), ErrorKind::LogUnavailable);
    daemon.store_appends();
    let caller = daemon.send(&request_head("tea", "book", Some("k2")));
    assert!(daemon.replies(caller).is_empty(), "the request continues");
}

/// Guards against an intent while the ledger may lack the first use of the key, and against
/// reporting "not run" for a key that may have run through another daemon.
#[test]
fn a_stale_log_refuses_intents() {
    let mut daemon = TestDaemon::new("d0", 3);
    daemon.advance_without_log(2_500);
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    let kind = daemon.failure(caller);
    assert_eq!(kind, ErrorKind::KeyUnverified);
    assert_eq!(kind.response().run, RunStatus::MayHaveRun);
    daemon.send(&request_head("tea", "check", None));
    assert_eq!(daemon.sent().len(), 1, "repeatable requests need no log");
}

/// Guards against work that starts after its caller has received "not run". The deadline passes
/// while the intent is being appended.
#[test]
fn a_deadline_during_the_append_ends_as_not_run() {
    let mut daemon = TestDaemon::new("d0", 3);
    let mut request = request_head("tea", "book", Some("k1"));
    request.deadline = Some(TimeSpan(300));
    let caller = daemon.send(&request);
    let records = daemon.store_appends();
    daemon.advance(400);
    assert_eq!(daemon.failure(caller), ErrorKind::DeadlineBeforeRun);
    daemon.read(&records);
    assert_eq!(daemon.sent(), []);
    assert_eq!(request_ends(&daemon.flush_log()), [RequestEnd::NotRun]);
}

/// Guards against an outcome that is lost because the caller disconnected before the answer
/// arrived.
#[test]
fn a_late_answer_is_kept_after_a_disconnect() {
    let mut daemon = TestDaemon::new("d0", 3);
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    daemon.flush_log();
    let sent = daemon.last_sent();
    daemon.apply(EventInput::CallerDisconnected { caller });
    assert!(matches!(
        daemon.effects.last(),
        Some(ControlEffect::CancelRequest { .. })
    ));
    assert_eq!(daemon.flush_log(), [], "the outcome is not yet reported");
    daemon.report_outcome(&sent, answered_outcome(200));
    assert!(matches!(
        request_ends(&daemon.flush_log())[..],
        [RequestEnd::Answered { .. }]
    ));
    assert!(daemon.replies(caller).is_empty());
}

/// Guards against a key that stays in progress because the outcome of its attempt is never
/// reported.
#[test]
fn an_attempt_without_a_report_ends_as_unknown() {
    let mut daemon = TestDaemon::new("d0", 3);
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    daemon.flush_log();
    daemon.advance(6_500);
    assert_eq!(daemon.failure(caller), ErrorKind::OutcomeUnknown);
    assert_eq!(request_ends(&daemon.flush_log()), [RequestEnd::Unknown]);
    assert!(daemon.state.requests.attempts.is_empty());
}

/// Guards against answers of unlimited size in the log.
#[test]
fn a_large_answer_is_not_kept() {
    let mut daemon = TestDaemon::new("d0", 3);
    daemon.send(&request_head("tea", "book", Some("k1")));
    daemon.flush_log();
    let sent = daemon.last_sent();
    daemon.report_outcome(
        &sent,
        EndpointOutcome::Answered {
            status: 200,
            length: 4_000,
            kept_body: Some("x".repeat(4_000)),
        },
    );
    let end = RequestEnd::Answered {
        status: 200,
        body: None,
    };
    assert_eq!(request_ends(&daemon.flush_log()), [end]);
    let caller = daemon.send(&request_head("tea", "book", Some("k1")));
    assert_eq!(daemon.failure(caller), ErrorKind::OutcomeUnknown);
}
