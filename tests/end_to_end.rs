//! End-to-end tests over sockets with callers, daemons, log, VM list and workers.

mod bench;

use bench::PATIENCE;
use bench::TestBench;
use bench::until;

use mustardpath::http_client::CallResponse;
use mustardpath::local_cluster;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::JobEnd;
use mustardpath_core::effect::JobView;
use mustardpath_standin::endpoint;

fn submit_job(bench: &TestBench, daemon: usize, key: &str) -> JobView {
    let mut caller = bench.caller(daemon);
    let body = r#"{ "service": "analysis", "payload": "{\"run_ms\": 200, \"result\": \"dune\"}" }"#;
    let headers = [("Idempotency-Key", key.to_string())];
    until("the job is accepted", || {
        let reply = caller.post("/v1/jobs", &headers, body.as_bytes(), PATIENCE);
        match local_cluster::decode_answer(reply) {
            Ok(CallerAnswer::Job(job)) => Some(job),
            _ => None,
        }
    })
}

fn wait_for_job_end(bench: &TestBench, daemon: usize, job: &JobView) -> JobEnd {
    let mut caller = bench.caller(daemon);
    let path = format!("/v1/jobs/{}?wait_ms=5000", job.job);
    until("the job ends", || {
        match local_cluster::decode_answer(caller.get(&path, PATIENCE)) {
            Ok(CallerAnswer::Job(job)) => job.end,
            _ => None,
        }
    })
}

fn send_request(
    bench: &TestBench,
    daemon: usize,
    service: &str,
    key: &str,
    body: &[u8],
) -> CallResponse {
    let mut caller = bench.caller(daemon);
    let headers = [("Idempotency-Key", key.to_string())];
    until("the request is answered", || {
        let reply = caller
            .post(&format!("/v1/requests/{service}"), &headers, body, PATIENCE)
            .expect("an answer");
        (reply.status == 200).then_some(reply)
    })
}

/// Guards against a fault anywhere on the path from a caller to a worker. A gang is submitted at
/// one daemon and runs, its result is read at another daemon, and a submission with the same key at
/// a third daemon returns the same job.
#[test]
fn a_gang_runs_and_every_daemon_reports_its_end() {
    let bench = TestBench::start();
    let job = submit_job(&bench, 0, "analysis-1");
    let result = wait_for_job_end(&bench, 1, &job);
    assert_eq!(
        result,
        JobEnd::Finished {
            result: "dune".into()
        }
    );
    let again = submit_job(&bench, 2, "analysis-1");
    assert_eq!(again.job, job.job);
    assert!(again.duplicate);
    let (report, starts) = bench.outcome();
    assert_eq!(report.lines(), Vec::<String>::new());
    assert_eq!(starts, 2, "both members of the gang started once");
}

/// Guards against responses that are truncated or swapped, and against requests that run twice.
/// Each caller gets the response to its own body, and a repeated booking with the same key gets the
/// first response without a second run.
#[test]
fn each_request_gets_its_own_response() {
    let bench = TestBench::start();
    for number in 0..6 {
        let body = vec![b'a' + number; 3_000 + usize::from(number)];
        let reply = send_request(
            &bench,
            usize::from(number) % 3,
            "check",
            &format!("c{number}"),
            &body,
        );
        assert_eq!(reply.body, endpoint::answer_to(&body));
    }
    let first = send_request(&bench, 0, "booking", "b1", b"one");
    let second = send_request(&bench, 1, "booking", "b1", b"one");
    assert_eq!(first.body, endpoint::answer_to(b"one"));
    assert_eq!(second.body, first.body);
}
