//! Tests of the command-line tool with a stand-in daemon: requests, output and exit codes.

mod common;

use std::process::Output;

use serde_json::Value;
use serde_json::json;

use crate::common::StandinDaemon;
use crate::common::problem;
use crate::common::run;
use crate::common::stderr;
use crate::common::stdout;

fn run_command(daemon: &StandinDaemon, arguments: &[&str]) -> Output {
    let address = daemon.address.to_string();
    let mut all_arguments = vec!["--daemon", &address, "--team", "quay"];
    all_arguments.extend(arguments);
    run(env!("CARGO_BIN_EXE_mustardpath"), &all_arguments)
}

fn job_response(phase: &str, end: &Value) -> (u16, String) {
    let view = json!({
        "answer": "job", "job": 4711, "service": "berth-plan", "key": "plan-17", "phase": phase,
        "attempt": 1, "workers": ["w1", "w2"], "end": end, "duplicate": false,
    });
    (200, view.to_string())
}

fn domains_response(out: bool, unconfirmed: &[&str]) -> (u16, String) {
    let view = json!({
        "domain": "sg-a", "out": out, "recorded": out, "version": 3, "operator": "linh",
        "workers": 12, "tasks": 40, "unconfirmed": unconfirmed, "empty_in": 61_000,
    });
    (
        200,
        json!({ "answer": "domains", "domains": [view] }).to_string(),
    )
}

/// Guards against a submission without an idempotency key, which cannot be retried safely.
#[test]
fn submit_sends_the_idempotency_key() {
    let daemon = StandinDaemon::start(vec![(
        "POST /v1/jobs",
        vec![job_response("queued", &Value::Null)],
    )]);
    let arguments = [
        "submit",
        "berth-plan",
        "--key",
        "plan-17",
        "--run-time",
        "90 min",
    ];
    let output = run_command(&daemon, &arguments);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let expected = "JOB   SERVICE     KEY      PHASE   ATTEMPT  WORKERS  END\n\
                    4711  berth-plan  plan-17  queued  1        w1 w2    -\n";
    assert_eq!(stdout(&output), expected);
    let sent = &daemon.received("POST /v1/jobs")[0];
    assert_eq!(
        sent.header("authorization"),
        Some("Bearer operator-test-key")
    );
    assert_eq!(sent.header("mustardpath-team"), Some("quay"));
    assert_eq!(sent.header("idempotency-key"), Some("plan-17"));
    let expected = json!({
        "service": "berth-plan", "members": null, "run_time": "90 min", "deadline": null,
        "payload": "",
    });
    assert_eq!(sent.json(), expected);

    let output = run_command(&daemon, &["submit", "berth-plan"]);
    let sent = &daemon.received("POST /v1/jobs")[1];
    let key = sent.header("idempotency-key").expect("a key is sent");
    assert_eq!(stderr(&output), format!("key {key}\n"));
}

/// Guards against an exit code of success for a job that failed, does not exist or has not ended,
/// with which a script would continue. A daemon that is not ready must not end the wait.
#[test]
fn wait_returns_an_exit_code_for_the_end_of_the_job() {
    let finished = json!({ "end": "finished", "result": "ok" });
    let failed = json!({ "end": "failed", "reason": "no tide" });
    let draining = (503, problem("daemon not ready", 503, "not_run", "draining"));
    let cases = [
        (
            vec![
                draining,
                job_response("placed", &Value::Null),
                job_response("ended", &finished),
            ],
            0,
            3,
        ),
        (vec![job_response("ended", &failed)], 6, 1),
        (
            vec![(404, problem("not found", 404, "not_run", "no job 4711"))],
            3,
            1,
        ),
    ];
    for (responses, code, calls) in cases {
        let daemon = StandinDaemon::start(vec![("GET /v1/jobs/4711?wait_ms=", responses)]);
        let output = run_command(&daemon, &["wait", "4711", "--timeout", "1 h"]);
        assert_eq!(output.status.code(), Some(code), "{}", stderr(&output));
        assert_eq!(daemon.received("").len(), calls);
    }
    let daemon = StandinDaemon::start(vec![("GET", vec![job_response("queued", &Value::Null)])]);
    let output = run_command(&daemon, &["wait", "4711", "--timeout", "0 s"]);
    assert_eq!(output.status.code(), Some(6));
    assert_eq!(stderr(&output), "job 4711 has not ended\n");
}

/// Guards against a failure domain that is taken out without confirmation, and against success
/// while a daemon has not confirmed and still starts work there.
#[test]
fn domain_out_requires_confirmation_and_waits_for_live_daemons() {
    let responses = vec![
        domains_response(false, &[]),
        domains_response(true, &["d2"]),
        domains_response(true, &[]),
    ];
    let daemon = StandinDaemon::start(vec![
        ("GET /v1/domains", responses),
        ("POST /v1/domains", vec![domains_response(true, &["d2"])]),
    ]);
    let output = run_command(&daemon, &["domain", "out", "sg-a", "--operator", "linh"]);
    assert_eq!(output.status.code(), Some(7), "{}", stderr(&output));
    assert!(daemon.received("POST").is_empty());

    let arguments = ["domain", "out", "sg-a", "--operator", "linh", "--yes"];
    let output = run_command(&daemon, &arguments);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(stderr(&output), "sg-a is out at each live daemon\n");
    let expected = json!({
        "domain": "sg-a", "out": true, "operator": "linh", "confirmed": true,
    });
    assert_eq!(daemon.received("POST")[0].json(), expected);

    let daemon = StandinDaemon::start(vec![("", vec![domains_response(true, &["d2", "d5"])])]);
    let arguments = [&arguments[..], &["--timeout", "0 s"]].concat();
    let output = run_command(&daemon, &arguments);
    assert_eq!(output.status.code(), Some(6));
    assert_eq!(stderr(&output), "sg-a is not confirmed out by d2 d5\n");
    let row = "sg-a    out    yes       3        linh      12       40     61 s      d2 d5";
    assert!(stdout(&output).contains(row), "{}", stdout(&output));
}

/// Guards against a daemon error that is taken for a response of the endpoint, and against exit
/// codes that do not tell whether the work has run.
#[test]
fn request_distinguishes_endpoint_responses_from_daemon_errors() {
    let cases = [
        (200, "bytes \u{0}".to_owned(), 0, "bytes \u{0}"),
        (404, "no such seal".to_owned(), 6, "no such seal"),
        (429, problem("limit reached", 429, "not_run", "quay"), 3, ""),
        (
            504,
            problem("outcome unknown", 504, "may_have_run", "ask"),
            5,
            "",
        ),
    ];
    for (status, body, code, printed) in cases {
        let daemon = StandinDaemon::start(vec![("POST /v1/requests/", vec![(status, body)])]);
        let arguments = [
            "request",
            "seal-check",
            "--body",
            "seal 7",
            "--deadline",
            "2 s",
        ];
        let output = run_command(&daemon, &arguments);
        assert_eq!(output.status.code(), Some(code), "{}", stderr(&output));
        assert_eq!(stdout(&output), printed);
        let sent = &daemon.received("POST")[0];
        assert_eq!(sent.route, "POST /v1/requests/seal%2Dcheck");
        assert_eq!(sent.body, b"seal 7");
        assert_eq!(sent.header("mustardpath-deadline-ms"), Some("2000"));
        assert_eq!(sent.header("idempotency-key"), None);
    }
}

/// Guards against success before all live daemons have the version.
#[test]
fn config_status_waits_for_live_daemons() {
    let view = |daemon: &str, live: bool, version: u64| {
        json!({
            "daemon": daemon, "live": live, "config": version, "next": 90, "held_domains": [],
        })
    };
    let response = |version| {
        let daemons = [
            view("d1", true, 8),
            view("d2", true, version),
            view("d3", false, 2),
        ];
        (
            200,
            json!({ "answer": "daemons", "daemons": daemons }).to_string(),
        )
    };
    let daemon = StandinDaemon::start(vec![("GET", vec![response(7), response(8)])]);
    let output = run_command(&daemon, &["config", "status", "--version", "8"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(daemon.received("GET /v1/config/status").len(), 2);
    let arguments = ["config", "status", "--version", "9", "--timeout", "0 s"];
    let output = run_command(&daemon, &arguments);
    assert_eq!(output.status.code(), Some(6));
    let output = run_command(&daemon, &["--json", "config", "status"]);
    assert_eq!(stdout(&output), format!("{}\n", response(8).1));
}

/// Guards against help texts without examples or without the exit codes that scripts rely on.
#[test]
fn help_lists_examples_and_exit_codes() {
    let tools = [
        env!("CARGO_BIN_EXE_mustardpath"),
        env!("CARGO_BIN_EXE_mustardpath-publish"),
    ];
    for tool in tools {
        let output = run(tool, &["--help"]);
        assert_eq!(output.status.code(), Some(0));
        let text = stdout(&output);
        assert!(text.contains("Examples:"), "{text}");
        assert!(text.contains("5 the "), "{text}");
        assert_eq!(run(tool, &["no-such-command"]).status.code(), Some(1));
    }
}
