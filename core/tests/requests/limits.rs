//! Team limits, queueing, deadlines and draining.

use crate::harness::TestDaemon;
use crate::harness::answered_outcome;
use crate::harness::request_head;
use crate::harness::team_file;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ShutdownLevel;
use mustardpath_core::ids::CallerId;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::kind::RunStatus;
use mustardpath_core::units::ByteCount;
use mustardpath_core::units::TimeSpan;

fn send_burst(daemon: &mut TestDaemon, team: &str, count: usize) -> Vec<CallerId> {
    (0..count)
        .map(|_| daemon.send(&request_head(team, "check", None)))
        .collect()
}

/// Guards against a team that exceeds its concurrency limit.
#[test]
fn concurrency_stays_within_the_team_limit() {
    let mut daemon = TestDaemon::new("d0", 20);
    daemon.set_teams(vec![team_file("tea", 1, 5, 1_000)]);
    send_burst(&mut daemon, "tea", 30);
    assert_eq!(daemon.sent().len(), 5);
    let sent = daemon.last_sent();
    daemon.report_outcome(&sent, answered_outcome(200));
    assert_eq!(
        daemon.sent().len(),
        6,
        "the next request is sent when one has ended"
    );
}

/// Guards against a team that exceeds its rate limit.
#[test]
fn rate_stays_within_the_team_limit() {
    let mut daemon = TestDaemon::new("d0", 60);
    daemon.set_teams(vec![team_file("tea", 1, 100, 20)]);
    for _ in 0..50 {
        send_burst(&mut daemon, "tea", 5);
        for sent in daemon.sent() {
            daemon.report_outcome(&sent, answered_outcome(200));
        }
        daemon.advance(100);
    }
    let sent = daemon.sent().len();
    assert!((100..=121).contains(&sent), "{sent} in 5 s at 20 a second");
}

/// Guards against a limit that every daemon grants in full instead of its share.
#[test]
fn a_team_limit_is_divided_among_daemons() {
    let mut daemon = TestDaemon::new("d0", 60);
    daemon.set_teams(vec![team_file("tea", 1, 30, 1_000)]);
    let text = serde_json::json!([
        { "daemon": "d1", "address": "a", "region": "south", "domain": "sg-a", "state": "live" },
        { "daemon": "d2", "address": "b", "region": "south", "domain": "sg-a", "state": "live" },
    ]);
    let others = serde_json::from_value(text).expect("daemons");
    daemon.set_vms(Vec::new(), others);
    send_burst(&mut daemon, "tea", 50);
    assert_eq!(daemon.sent().len(), 10);
}

/// Guards against a burst of one team that starves another, in the request table, in the queue, or
/// in the order of service.
#[test]
fn a_burst_of_one_team_does_not_starve_another() {
    let mut daemon = TestDaemon::new("d0", 4);
    daemon.state.settings.limits.open_requests = 100;
    daemon.state.settings.limits.queued_requests = 60;
    let refused = send_burst(&mut daemon, "tea", 300);
    let refused = refused
        .iter()
        .filter(|caller| !daemon.replies(**caller).is_empty())
        .count();
    assert!(refused >= 200, "the table is bounded: {refused}");
    let salt_callers = send_burst(&mut daemon, "salt", 10);
    assert!(
        salt_callers
            .iter()
            .all(|caller| daemon.replies(*caller).is_empty())
    );
    let mut served = 0;
    let before = daemon.sent().len();
    while daemon
        .sent()
        .iter()
        .filter(|sent| salt_callers.contains(&sent.caller))
        .count()
        < 10
    {
        let open = daemon.sent()[served].clone();
        daemon.report_outcome(&open, answered_outcome(200));
        served += 1;
    }
    let needed = daemon.sent().len() - before;
    assert!(
        needed <= 21,
        "{needed} requests were sent until all 10 were"
    );
}

/// Guards against service that is not proportional to the teams' weights.
#[test]
fn service_follows_the_weight() {
    let mut daemon = TestDaemon::new("d0", 4);
    daemon.set_teams(vec![team_file("tea", 3, 100, 1_000)]);
    send_burst(&mut daemon, "tea", 60);
    let salt_callers = send_burst(&mut daemon, "salt", 60);
    for index in 0..60 {
        let sent = daemon.sent()[index].clone();
        daemon.report_outcome(&sent, answered_outcome(200));
    }
    let sent = daemon.sent();
    let salt_count = sent
        .iter()
        .filter(|sent| salt_callers.contains(&sent.caller))
        .count();
    assert!(
        (13..=17).contains(&salt_count),
        "{salt_count} of {}",
        sent.len()
    );
}

/// Guards against a wait beyond the deadline, and against a request that is sent after its caller
/// has received "not run".
#[test]
fn a_deadline_in_the_queue_is_reported_as_not_run() {
    let mut daemon = TestDaemon::new("d0", 1);
    send_burst(&mut daemon, "tea", 1);
    let mut request = request_head("tea", "check", None);
    request.deadline = Some(TimeSpan(500));
    let caller = daemon.send(&request);
    daemon.advance(600);
    assert_eq!(daemon.failure(caller), ErrorKind::DeadlineBeforeRun);
    let sent = daemon.last_sent();
    daemon.report_outcome(&sent, answered_outcome(200));
    assert_eq!(daemon.sent().len(), 1, "the expired request is not sent");
}

/// Guards against a request that is sent after its deadline because no tick has run since.
#[test]
fn a_late_request_is_not_sent_between_ticks() {
    let mut daemon = TestDaemon::new("d0", 1);
    send_burst(&mut daemon, "tea", 1);
    let mut request = request_head("tea", "check", None);
    request.deadline = Some(TimeSpan(50));
    let caller = daemon.send(&request);
    daemon.at = daemon.at + TimeSpan(60);
    let sent = daemon.last_sent();
    daemon.report_outcome(&sent, answered_outcome(200));
    assert_eq!(daemon.sent().len(), 1);
    assert_eq!(daemon.failure(caller), ErrorKind::DeadlineBeforeRun);
}

/// Guards against queueing a request that cannot be sent before its deadline.
#[test]
fn a_request_that_would_miss_its_deadline_in_the_queue_is_refused() {
    let mut daemon = TestDaemon::new("d0", 1);
    daemon.set_teams(vec![team_file("tea", 1, 100, 10)]);
    send_burst(&mut daemon, "tea", 40);
    let mut request = request_head("tea", "check", None);
    request.deadline = Some(TimeSpan(1_000));
    let caller = daemon.send(&request);
    let kind = daemon.failure(caller);
    assert_eq!(kind, ErrorKind::Overloaded);
    assert_eq!(kind.response().run, RunStatus::NotRun);
}

/// Guards against an endpoint that continues to work on a request after its deadline has passed.
#[test]
fn a_deadline_while_running_cancels_the_attempt() {
    let mut daemon = TestDaemon::new("d0", 1);
    let mut request = request_head("tea", "check", None);
    request.deadline = Some(TimeSpan(500));
    let caller = daemon.send(&request);
    let sent = daemon.last_sent();
    assert_eq!(
        sent.timeout,
        TimeSpan(500),
        "the attempt ends at the deadline"
    );
    daemon.advance(500);
    assert_eq!(daemon.failure(caller), ErrorKind::DeadlineWhileRunning);
    let cancelled = |effect: &ControlEffect| matches!(effect, ControlEffect::CancelRequest { .. });
    assert!(daemon.effects.iter().any(cancelled));
    let attempts = daemon.state.requests.attempts.len();
    assert_eq!(
        attempts, 1,
        "the slot stays occupied until the attempt ends"
    );
    daemon.report_outcome(&sent, EndpointOutcome::Unknown);
    assert!(daemon.state.requests.attempts.is_empty());
}

/// Guards against work for a caller that has disconnected.
#[test]
fn a_disconnect_frees_the_queue_and_the_endpoint() {
    let mut daemon = TestDaemon::new("d0", 1);
    let callers = send_burst(&mut daemon, "tea", 2);
    daemon.apply(EventInput::CallerDisconnected { caller: callers[1] });
    daemon.apply(EventInput::CallerDisconnected { caller: callers[0] });
    assert!(daemon.state.requests.open.is_empty());
    let sent = daemon.last_sent();
    daemon.report_outcome(&sent, answered_outcome(200));
    assert_eq!(daemon.sent().len(), 1);
    let team = &daemon.state.requests.limits.teams[0];
    assert_eq!((team.open_count, team.admitted_count), (0, 0));
}

/// Guards against requests that are malformed, too large or unauthorized.
#[test]
fn bad_requests_are_refused_with_their_kind() {
    let mut daemon = TestDaemon::new("d0", 1);
    let mut large = request_head("tea", "check", None);
    large.length = daemon.state.settings.limits.body.0 + 1;
    let mut late = request_head("tea", "check", None);
    late.deadline = Some(TimeSpan(0));
    let long = "k".repeat(129);
    let cases = [
        (large, ErrorKind::TooLarge),
        (late, ErrorKind::DeadlineBeforeRun),
        (request_head("tea", "train", None), ErrorKind::BadRequest),
        (request_head("tea", "book", None), ErrorKind::BadRequest),
        (
            request_head("tea", "book", Some(&long)),
            ErrorKind::BadRequest,
        ),
        (request_head("tea", "none", None), ErrorKind::UnknownService),
        (request_head("nobody", "check", None), ErrorKind::Forbidden),
    ];
    for (request, kind) in cases {
        let caller = daemon.send(&request);
        assert_eq!(daemon.failure(caller), kind, "{request:?}");
    }
    daemon.state.settings.limits.body = ByteCount(100);
    let caller = daemon.send(&request_head("tea", "check", None));
    assert!(
        daemon.replies(caller).is_empty(),
        "a body of exactly the limit is accepted"
    );
}

/// Guards against a shutdown that interrupts an open request, and against new work after the
/// balancer delay.
#[test]
fn a_drain_waits_for_open_requests() {
    let mut daemon = TestDaemon::new("d0", 2);
    let caller = send_burst(&mut daemon, "tea", 1)[0];
    daemon.apply(EventInput::Shutdown {
        level: ShutdownLevel::Drain,
    });
    let during = send_burst(&mut daemon, "tea", 1)[0];
    assert!(
        daemon.replies(during).is_empty(),
        "requests are accepted during the balancer delay"
    );
    daemon.advance(2_000);
    let late = send_burst(&mut daemon, "tea", 1)[0];
    assert_eq!(daemon.failure(late), ErrorKind::NotReady);
    assert!(!daemon.effects.contains(&ControlEffect::Exit));
    for sent in daemon.sent() {
        daemon.report_outcome(&sent, answered_outcome(200));
    }
    assert_eq!(
        daemon.replies(caller).len() + daemon.replies(during).len(),
        2
    );
    daemon.flush_log();
    daemon.advance(200);
    assert!(daemon.effects.contains(&ControlEffect::Exit));
}
