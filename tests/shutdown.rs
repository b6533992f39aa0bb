//! Graceful shutdown of a daemon under load.

mod deployment;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use deployment::RESPONSE_TIMEOUT;
use deployment::TestDeployment;
use deployment::wait_for;

use mustardpath::http_client::CallError;
use mustardpath::local_cluster;
use mustardpath::local_cluster::CallerClient;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::JobEnd;
use mustardpath_standin::endpoint;

/// Number of requests that complete before the shutdown starts.
const REQUESTS_BEFORE_STOP: usize = 5;

/// Sends requests until the daemon rejects them as `not_run` during its shutdown or refuses the
/// connection. Returns the number of successful responses.
fn call_until_refused(caller: &mut CallerClient, name: &str, stopping: &AtomicBool) -> usize {
    let mut answered = 0;
    loop {
        let body = format!(r#"{{ "run_ms": 30, "name": "{name}-{answered}" }}"#);
        let headers = [("Idempotency-Key", format!("{name}-{answered}"))];
        match caller.post(
            "/v1/requests/check",
            &headers,
            body.as_bytes(),
            RESPONSE_TIMEOUT,
        ) {
            Ok(reply) if reply.status == 200 => {
                assert_eq!(reply.body, endpoint::answer_to(body.as_bytes()));
                answered += 1;
            }
            Ok(reply) => {
                let run = local_cluster::problem_field(&reply, "run");
                assert_eq!(run.as_deref(), Some("not_run"), "{name}-{answered}");
                if stopping.load(Ordering::SeqCst) {
                    return answered;
                }
            }
            Err(CallError::Undelivered(_)) => return answered,
            Err(CallError::Unknown(error)) => panic!("{name}-{answered} was cut: {error}"),
        }
    }
}

/// Guards against a graceful shutdown that aborts requests. Callers send without a pause while the
/// daemon shuts down, and must receive complete responses followed by rejections with `not_run`.
#[test]
fn a_graceful_shutdown_aborts_no_request() {
    let mut deployment = TestDeployment::start();
    let callers: Vec<CallerClient> = (0..4).map(|_| deployment.caller(1)).collect();
    let mut probe = deployment.caller(1);
    let headers = [("Idempotency-Key", "probe".to_string())];
    wait_for("requests are served", || {
        let reply = probe.post("/v1/requests/check", &headers, b"{}", RESPONSE_TIMEOUT);
        reply.is_ok_and(|reply| reply.status == 200).then_some(())
    });
    let daemon = deployment
        .cluster
        .remove_daemon(&"d2".into())
        .expect("daemon");
    let stopping = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..)
        .zip(callers)
        .map(|(number, mut caller)| {
            let stopping = Arc::clone(&stopping);
            thread::spawn(move || call_until_refused(&mut caller, &format!("c{number}"), &stopping))
        })
        .collect();
    let mut status = deployment.caller(1);
    for number in 0..REQUESTS_BEFORE_STOP {
        let headers = [("Idempotency-Key", format!("before-{number}"))];
        let reply = status.post(
            "/v1/requests/check",
            &headers,
            b"{\"run_ms\": 30}",
            RESPONSE_TIMEOUT,
        );
        assert!(reply.is_ok());
    }
    stopping.store(true, Ordering::SeqCst);
    daemon.stop_handle().drain();
    daemon.wait();
    let answered: usize = threads
        .into_iter()
        .map(|thread| thread.join().expect("no request was cut"))
        .sum();
    assert!(answered > 0, "no request was answered before the stop");
}

/// Guards against a job that is lost when the daemon that accepted it, which is also the planner,
/// shuts down.
#[test]
fn a_job_survives_the_shutdown_of_its_daemon() {
    let mut deployment = TestDeployment::start();
    let body = br#"{ "service": "analysis", "payload": "{\"run_ms\": 1500, \"result\": \"r\"}" }"#;
    let headers = [("Idempotency-Key", "survivor".to_string())];
    let mut caller = deployment.caller(0);
    let job = wait_for("the job is accepted", || {
        let reply = caller.post("/v1/jobs", &headers, body, RESPONSE_TIMEOUT);
        match local_cluster::decode_response(reply) {
            Ok(CallerAnswer::Job(view)) => Some(view.job),
            _ => None,
        }
    });
    let daemon = deployment
        .cluster
        .remove_daemon(&"d1".into())
        .expect("daemon");
    daemon.stop_handle().drain();
    daemon.wait();
    let mut other = deployment.caller(0);
    let path = format!("/v1/jobs/{job}?wait_ms=5000");
    let end = wait_for("the job ends", || {
        match local_cluster::decode_response(other.get(&path, RESPONSE_TIMEOUT)) {
            Ok(CallerAnswer::Job(view)) => view.end,
            _ => None,
        }
    });
    assert_eq!(end, JobEnd::Finished { result: "r".into() });
    let (report, _) = deployment.outcome();
    assert_eq!(report.lines(), Vec::<String>::new());
}
