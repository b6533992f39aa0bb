//! Retries, the retry budget, and the answers after failed retries.

use crate::harness::TestDaemon;
use crate::harness::answered_outcome;
use crate::harness::request_head;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::effect::MetricName;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::units::TimeSpan;

/// Sends 100 first attempts, which add ten retries to the team's budget at the default of 10%.
fn fill_retry_budget(daemon: &mut TestDaemon) {
    for _ in 0..100 {
        daemon.send(&request_head("tea", "check", None));
        let sent = daemon.last_sent();
        daemon.report_outcome(&sent, answered_outcome(200));
    }
}

/// Guards against retries that multiply the load on endpoints that are already failing.
#[test]
fn retries_stay_within_the_budget() {
    let mut daemon = TestDaemon::new("d0", 20);
    daemon.set_teams(vec![crate::harness::team_file("tea", 1, 100, 100_000)]);
    let mut first = 0;
    for _ in 0..2_000 {
        let before = daemon.sent().len();
        daemon.send(&request_head("tea", "check", None));
        first += daemon.sent().len() - before;
        while let Some(sent) = daemon.sent().last().cloned() {
            let count = daemon.sent().len();
            daemon.report_outcome(&sent, answered_outcome(500));
            if daemon.sent().len() == count {
                break;
            }
        }
        daemon.effects.retain(|effect| {
            matches!(
                effect,
                ControlEffect::UpdateMetric {
                    metric: MetricName::Retries,
                    ..
                }
            )
        });
    }
    let retries = daemon.effects.len();
    assert!(first == 2_000, "{first} first attempts");
    assert!(retries > 100, "the budget is used: {retries}");
    assert!(retries * 10 <= first, "{retries} retries of {first}");
}

/// Guards against a retry at the endpoint that has just failed.
#[test]
fn a_retry_prefers_another_endpoint() {
    let mut daemon = TestDaemon::new("d0", 2);
    fill_retry_budget(&mut daemon);
    let caller = daemon.send(&request_head("tea", "check", None));
    let first = daemon.last_sent();
    daemon.report_outcome(&first, answered_outcome(503));
    let second = daemon.last_sent();
    assert_ne!(second.worker, first.worker);
    assert!(daemon.replies(caller).is_empty());
    daemon.report_outcome(&second, answered_outcome(200));
    assert!(matches!(
        daemon.replies(caller)[..],
        [CallerAnswer::Endpoint { attempt: 2, .. }]
    ));
}

/// Guards against a retry that cannot finish before the deadline.
#[test]
fn a_retry_needs_time_before_the_deadline() {
    let mut daemon = TestDaemon::new("d0", 3);
    fill_retry_budget(&mut daemon);
    for _ in 0..30 {
        daemon.send(&request_head("tea", "check", None));
        let sent = daemon.last_sent();
        daemon.at = daemon.at + TimeSpan(100);
        daemon.report_outcome(&sent, answered_outcome(200));
    }
    let mut request = request_head("tea", "check", None);
    request.deadline = Some(TimeSpan(190));
    let caller = daemon.send(&request);
    let sent = daemon.last_sent();
    daemon.at = daemon.at + TimeSpan(150);
    daemon.report_outcome(&sent, EndpointOutcome::Unknown);
    assert_eq!(
        daemon.last_sent(),
        sent,
        "40 ms remain and an attempt takes 100 ms"
    );
    assert_eq!(daemon.failure(caller), ErrorKind::EndpointFailed);
}

/// Guards against a false "not run" when an attempt's answer was lost and its retry reaches no
/// endpoint.
#[test]
fn a_refused_retry_does_not_hide_an_attempt_that_may_have_run() {
    let mut daemon = TestDaemon::new("d0", 2);
    fill_retry_budget(&mut daemon);
    let caller = daemon.send(&request_head("tea", "check", None));
    let sent = daemon.last_sent();
    daemon.report_outcome(&sent, EndpointOutcome::Unknown);
    for _ in 0..3 {
        let sent = daemon.last_sent();
        daemon.report_outcome(&sent, EndpointOutcome::Undelivered);
    }
    assert_eq!(daemon.last_sent().attempt, 4, "attempts are bounded");
    assert_eq!(daemon.failure(caller), ErrorKind::EndpointFailed);
}

/// Guards against the late answer of an earlier attempt being taken for the current attempt's.
#[test]
fn a_late_answer_of_an_earlier_attempt_changes_nothing() {
    let mut daemon = TestDaemon::new("d0", 2);
    fill_retry_budget(&mut daemon);
    let caller = daemon.send(&request_head("tea", "check", None));
    let first = daemon.last_sent();
    daemon.report_outcome(&first, EndpointOutcome::Unknown);
    daemon.report_outcome(&first, answered_outcome(200));
    assert!(daemon.replies(caller).is_empty());
}
