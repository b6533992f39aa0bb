//! End-to-end tests over sockets with callers, daemons, log, VM list and workers.

mod deployment;

use deployment::RESPONSE_TIMEOUT;
use deployment::TestDeployment;
use deployment::wait_for;

use mustardpath::http_client::CallResponse;
use mustardpath::local_cluster;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::JobEnd;
use mustardpath_core::effect::JobView;
use mustardpath_standin::endpoint;

fn submit_job(deployment: &TestDeployment, daemon: usize, key: &str) -> JobView {
    let mut caller = deployment.caller(daemon);
    let body = r#"{ "service": "analysis", "payload": "{\"run_ms\": 200, \"result\": \"dune\"}" }"#;
    let headers = [("Idempotency-Key", key.to_string())];
    wait_for("the job is accepted", || {
        let response = caller.post("/v1/jobs", &headers, body.as_bytes(), RESPONSE_TIMEOUT);
        match local_cluster::decode_response(response) {
            Ok(CallerAnswer::Job(job)) => Some(job),
            _ => None,
        }
    })
}

fn wait_for_job_end(deployment: &TestDeployment, daemon: usize, job: &JobView) -> JobEnd {
    let mut caller = deployment.caller(daemon);
    let path = format!("/v1/jobs/{}?wait_ms=5000", job.job);
    wait_for("the job ends", || {
        match local_cluster::decode_response(caller.get(&path, RESPONSE_TIMEOUT)) {
            Ok(CallerAnswer::Job(job)) => job.end,
            _ => None,
        }
    })
}

fn send_request(
    deployment: &TestDeployment,
    daemon: usize,
    service: &str,
    key: &str,
    body: &[u8],
) -> CallResponse {
    let mut caller = deployment.caller(daemon);
    let headers = [("Idempotency-Key", key.to_string())];
    wait_for("the request is answered", || {
        let response = caller
            .post(
                &format!("/v1/requests/{service}"),
                &headers,
                body,
                RESPONSE_TIMEOUT,
            )
            .expect("an answer");
        (response.status == 200).then_some(response)
    })
}

/// Guards against a fault anywhere on the path from a caller to a worker. A gang is submitted at
/// one daemon and runs, its result is read at another daemon, and a submission with the same key at
/// a third daemon returns the same job.
#[test]
fn a_gang_runs_and_every_daemon_reports_its_end() {
    let deployment = TestDeployment::start();
    let job = submit_job(&deployment, 0, "analysis-1");
    let end = wait_for_job_end(&deployment, 1, &job);
    assert_eq!(
        end,
        JobEnd::Finished {
            result: "dune".into()
        }
    );
    let resubmitted = submit_job(&deployment, 2, "analysis-1");
    assert_eq!(resubmitted.job, job.job);
    assert!(resubmitted.duplicate);
    let (report, starts) = deployment.outcome();
    assert_eq!(report.lines(), Vec::<String>::new());
    assert_eq!(starts, 2, "both members of the gang started once");
}

/// Guards against responses that are truncated or swapped, and against requests that run twice.
/// Each caller gets the response to its own body, and a repeated booking with the same key gets the
/// first response without a second run.
#[test]
fn each_request_gets_its_own_response() {
    let deployment = TestDeployment::start();
    for number in 0..6 {
        let body = vec![b'a' + number; 3_000 + usize::from(number)];
        let response = send_request(
            &deployment,
            usize::from(number) % 3,
            "check",
            &format!("c{number}"),
            &body,
        );
        assert_eq!(response.body, endpoint::answer_to(&body));
    }
    let first = send_request(&deployment, 0, "booking", "b1", b"one");
    let second = send_request(&deployment, 1, "booking", "b1", b"one");
    assert_eq!(first.body, endpoint::answer_to(b"one"));
    assert_eq!(second.body, first.body);
}
