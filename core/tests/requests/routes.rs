//! Endpoint selection: shares, locality, health and exclusion.

use crate::draws;
use crate::harness::SentAttempt;
use crate::harness::TestDaemon;
use crate::harness::answered_outcome;
use crate::harness::request_head;
use crate::harness::worker_info;
use mustardpath_core::effect::PeerHeartbeat;
use mustardpath_core::effect::PeerMessage;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::quota;
use mustardpath_core::route::EndpointPhase;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::DaemonInfo;
use mustardpath_core::worker::VmState;

/// Sends requests one after the other until each endpoint has passed its probe.
fn warm_up(daemon: &mut TestDaemon) {
    for _ in 0..100 {
        daemon.send(&request_head("tea", "check", None));
        let sent = daemon.last_sent();
        daemon.report_outcome(&sent, answered_outcome(200));
    }
}

/// Opens `count` requests and returns the attempts that were sent.
fn send_requests(daemon: &mut TestDaemon, count: usize) -> Vec<SentAttempt> {
    let before = daemon.sent().len();
    for _ in 0..count {
        daemon.send(&request_head("tea", "check", None));
    }
    daemon.sent().split_off(before)
}

fn daemon_info(name: &str) -> DaemonInfo {
    DaemonInfo {
        daemon: name.into(),
        address: "127.0.0.1:9".to_owned(),
        region: "south".into(),
        domain: "sg-a".into(),
        state: VmState::Live,
    }
}

fn heartbeat(daemon: &TestDaemon, draining: bool) -> PeerHeartbeat {
    PeerHeartbeat {
        incarnation: 1,
        address: String::new(),
        peer_address: String::new(),
        region: "south".into(),
        domain: "sg-a".into(),
        next: daemon.state.ledger.next,
        config: daemon.state.ledger.config.version,
        held_domains: Vec::new(),
        holds: Vec::new(),
        silent_workers: Vec::new(),
        lost_workers: Vec::new(),
        draining,
    }
}

/// Delivers a heartbeat of another daemon.
pub fn deliver_heartbeat(daemon: &mut TestDaemon, from: &str, draining: bool) {
    let heartbeat = heartbeat(daemon, draining);
    daemon.apply(EventInput::Peer {
        from: from.into(),
        message: PeerMessage::Heartbeat(heartbeat),
    });
}

/// Guards against shares that add up to more than the limit, or that leave some of it unused.
#[test]
fn shares_of_all_daemons_add_up_to_the_limit() {
    for (seed, values) in draws::lists::<(u16, u8, u32)>(0..500, 1) {
        for (total, count, label) in &values {
            let names = 0..u32::from(*count % 9) + 1;
            let daemons: Vec<DaemonName> = names.map(|n| format!("d{n}").as_str().into()).collect();
            let label = format!("w{label}");
            let shares = daemons
                .iter()
                .map(|own| quota::share(u32::from(*total), &daemons, own, &label));
            assert_eq!(shares.sum::<u32>(), u32::from(*total), "seed {seed}");
        }
    }
}

/// Guards against an endpoint that gets more requests from all daemons together than its request
/// slots allow.
#[test]
fn all_daemons_together_stay_within_the_request_slots() {
    let names = ["d0", "d1", "d2"];
    let mut total = std::collections::BTreeMap::<WorkerName, usize>::new();
    for name in names {
        let mut daemon = TestDaemon::new(name, 12);
        let others = names.iter().filter(|other| **other != name);
        daemon.set_vms(
            Vec::new(),
            others.clone().map(|other| daemon_info(other)).collect(),
        );
        for other in others {
            deliver_heartbeat(&mut daemon, other, false);
        }
        warm_up(&mut daemon);
        for sent in send_requests(&mut daemon, 60) {
            *total.entry(sent.worker).or_default() += 1;
        }
    }
    assert_eq!(total.values().sum::<usize>(), 24, "all slots are used");
    assert!(total.values().all(|count| *count <= 2), "{total:?}");
}

/// Guards against a daemon that claims the whole limit at its start, before it has received the
/// others' heartbeats, and against one that takes over a draining daemon's share while that daemon
/// still finishes requests.
#[test]
fn daemons_that_may_still_send_keep_their_share() {
    let mut daemon = TestDaemon::new("d0", 12);
    daemon.set_vms(Vec::new(), vec![daemon_info("d1")]);
    assert_eq!(
        send_requests(&mut daemon, 60).len(),
        12,
        "one of two slots of each endpoint"
    );
    let mut daemon = TestDaemon::new("d0", 12);
    daemon.set_vms(Vec::new(), vec![daemon_info("d1")]);
    deliver_heartbeat(&mut daemon, "d1", true);
    daemon.advance(6_000);
    assert_eq!(send_requests(&mut daemon, 12).len(), 12);
    answer_open_attempts(&mut daemon);
    assert_eq!(send_requests(&mut daemon, 60).len(), 12, "draining");
    daemon.advance(200);
    let all = daemon.state.requests.attempts.len();
    assert_eq!(all, 24, "no heartbeat for over 6 s");
}

/// Answers all open attempts, so their endpoints pass their probes.
fn answer_open_attempts(daemon: &mut TestDaemon) {
    for sent in daemon.sent() {
        daemon.report_outcome(&sent, answered_outcome(200));
    }
}

/// Guards against traffic over the inter-region link, which is billed, while nearer endpoints have
/// capacity.
#[test]
fn nearby_endpoints_are_preferred() {
    let mut daemon = TestDaemon::new("d0", 1);
    let workers = vec![worker_info("far", "hn-a"), worker_info("near", "ct-a")];
    daemon.set_vms(workers, Vec::new());
    let sent = send_requests(&mut daemon, 3);
    let workers: Vec<&str> = sent.iter().map(|sent| sent.worker.as_str()).collect();
    assert_eq!(
        workers,
        ["w0", "near", "far"],
        "one probe per endpoint, in order of locality"
    );
}

/// Guards against load that concentrates on a few endpoints while others are idle.
#[test]
fn load_spreads_over_endpoints() {
    let mut daemon = TestDaemon::new("d0", 10);
    warm_up(&mut daemon);
    let sent = send_requests(&mut daemon, 10);
    let mut workers: Vec<_> = sent.iter().map(|sent| &sent.worker).collect();
    workers.sort();
    workers.dedup();
    assert!(workers.len() >= 7, "{workers:?}");
}

/// Guards against new work on an endpoint that is leaving, by the VM list or by its own report, and
/// on one in a failure domain that is out of service.
#[test]
fn leaving_endpoints_get_no_requests() {
    let mut daemon = TestDaemon::new("d0", 1);
    let caller = daemon.send(&request_head("tea", "check", None));
    assert_eq!(daemon.sent().len(), 1, "{caller:?}");
    let sent = daemon.last_sent();
    daemon.report_outcome(&sent, answered_outcome(200));
    let mut info = worker_info("w0", "sg-a");
    info.state = VmState::Leaving;
    daemon.set_vms(vec![info], Vec::new());
    let caller = daemon.send(&request_head("tea", "check", None));
    assert_eq!(daemon.failure(caller), ErrorKind::NoEndpoint);
    daemon.set_vms(vec![worker_info("w0", "sg-a")], Vec::new());
    daemon.state.members.workers[0].is_leaving = true;
    let caller = daemon.send(&request_head("tea", "check", None));
    assert_eq!(daemon.failure(caller), ErrorKind::NoEndpoint);
    daemon.state.members.workers[0].is_leaving = false;
    let domain = daemon.state.ledger.domains.entry("sg-a".into());
    domain.or_default().out = true;
    let caller = daemon.send(&request_head("tea", "check", None));
    assert_eq!(daemon.failure(caller), ErrorKind::NoEndpoint);
    assert_eq!(daemon.sent().len(), 1);
}

/// Guards against full load on an endpoint that has just started.
#[test]
fn a_new_endpoint_is_probed_first() {
    let mut daemon = TestDaemon::new("d0", 1);
    let sent = send_requests(&mut daemon, 2);
    assert_eq!(sent.len(), 1, "one probe");
    daemon.report_outcome(&sent[0], answered_outcome(200));
    assert_eq!(
        send_requests(&mut daemon, 2).len(),
        1,
        "the queued request occupies the other slot"
    );
    assert_eq!(daemon.state.requests.attempts.len(), 2);
}

/// Guards against an endpoint that is ejected after one failure, that never returns, or that
/// returns as quickly after repeated failures as after one.
#[test]
fn a_failing_endpoint_is_ejected_and_probed() {
    let mut daemon = TestDaemon::new("d0", 4);
    warm_up(&mut daemon);
    let failing: WorkerName = "w1".into();
    let mut ejections = Vec::new();
    for _ in 0..4_000 {
        daemon.send(&request_head("tea", "check", None));
        let sent = daemon.last_sent();
        let fails = sent.worker == failing && ejections.len() < 4;
        let outcome = if fails {
            EndpointOutcome::Undelivered
        } else {
            answered_outcome(200)
        };
        daemon.report_outcome(&sent, outcome);
        let again = daemon.last_sent();
        if again != sent {
            daemon.report_outcome(&again, answered_outcome(200));
        }
        let phase = daemon.state.requests.routes.endpoints[&failing].phase;
        if let EndpointPhase::Ejected { ejection, .. } = phase
            && ejections.last() != Some(&ejection.0)
        {
            ejections.push(ejection.0);
        }
        daemon.at = daemon.at + TimeSpan(10);
    }
    assert_eq!(
        ejections,
        [1_000, 2_000, 4_000, 8_000],
        "the duration doubles with each ejection"
    );
    let phase = daemon.state.requests.routes.endpoints[&failing].phase;
    assert!(matches!(phase, EndpointPhase::Serving { .. }), "{phase:?}");
    let is_drained = daemon.state.requests.open.is_empty();
    assert!(is_drained, "no request was lost");
}

/// Guards against the ejection of every endpoint by requests that fail wherever they run.
#[test]
fn failing_requests_eject_at_most_half_of_the_endpoints() {
    let mut daemon = TestDaemon::new("d0", 6);
    warm_up(&mut daemon);
    for _ in 0..300 {
        daemon.send(&request_head("tea", "check", None));
        while !daemon.state.requests.open.is_empty() {
            let sent = daemon.last_sent();
            daemon.report_outcome(&sent, answered_outcome(500));
        }
    }
    let phases = daemon.state.requests.routes.endpoints.values();
    let out = phases.filter(|entry| matches!(entry.phase, EndpointPhase::Ejected { .. }));
    assert_eq!(out.count(), 3);
}

/// Guards against an endpoint that is ejected because a caller's deadline was short.
#[test]
fn a_short_deadline_does_not_count_against_the_endpoint() {
    let mut daemon = TestDaemon::new("d0", 1);
    warm_up(&mut daemon);
    let before = daemon.state.requests.routes.endpoints[0].phase;
    for _ in 0..10 {
        daemon.send(&request_head("tea", "check", None));
        let sent = daemon.last_sent();
        daemon.at = daemon.at + TimeSpan(200);
        daemon.report_outcome(&sent, EndpointOutcome::Unknown);
    }
    assert_eq!(daemon.state.requests.routes.endpoints[0].phase, before);
}
