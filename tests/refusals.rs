//! Rejected commands, at the route table and over real sockets.

mod deployment;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

use deployment::RESPONSE_TIMEOUT;
use deployment::TestDeployment;

use mustardpath::http_client::CallResponse;
use mustardpath::http_server;
use mustardpath::local_cluster;
use mustardpath::local_cluster::CallerClient;
use mustardpath::route_table;
use mustardpath::route_table::HttpRequest;
use mustardpath::route_table::RoutedRequest;
use mustardpath_core::event::CallerCommand;
use mustardpath_core::event::RequestHead;
use mustardpath_core::ids::JobId;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::settings::LimitSettings;
use mustardpath_core::units::TimeSpan;

fn route(
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<RoutedRequest, ErrorKind> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers: Vec<(String, String)> = headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    let request = HttpRequest {
        method,
        path,
        query,
        headers: &headers,
        body,
    };
    route_table::route(&request, &LimitSettings::default()).map_err(|report| report.kind)
}

/// Method, target, headers, body and the expected error kind.
type RefusedCase<'a> = (
    &'a str,
    &'a str,
    &'a [(&'a str, &'a str)],
    &'a [u8],
    ErrorKind,
);

/// Guards against malformed and oversized commands that reach the reducer.
#[test]
fn malformed_commands_are_rejected_by_the_route_table() {
    const TEAM: (&str, &str) = ("Mustardpath-Team", "sand");
    const KEY: (&str, &str) = ("Idempotency-Key", "k1");
    let job = br#"{ "service": "analysis" }"#;
    let large = format!(
        r#"{{ "service": "s", "payload": "{}" }}"#,
        "x".repeat(20_000)
    );
    let long = "x".repeat(200);
    let huge = "x".repeat(9_000);
    let cases: [RefusedCase<'_>; 13] = [
        ("GET", "/v2/jobs", &[], b"", ErrorKind::NotFound),
        ("DELETE", "/v1/jobs/1", &[TEAM], b"", ErrorKind::NotFound),
        ("POST", "/v1/jobs", &[KEY], job, ErrorKind::BadRequest),
        ("POST", "/v1/jobs", &[TEAM], job, ErrorKind::BadRequest),
        (
            "POST",
            "/v1/jobs",
            &[TEAM, KEY],
            b"{",
            ErrorKind::BadRequest,
        ),
        (
            "POST",
            "/v1/jobs",
            &[TEAM, KEY],
            br#"{ "servce": "a" }"#,
            ErrorKind::BadRequest,
        ),
        (
            "POST",
            "/v1/jobs",
            &[TEAM, KEY],
            large.as_bytes(),
            ErrorKind::TooLarge,
        ),
        (
            "POST",
            "/v1/jobs",
            &[TEAM, ("Idempotency-Key", &long)],
            job,
            ErrorKind::TooLarge,
        ),
        ("GET", "/v1/jobs/-1", &[TEAM], b"", ErrorKind::BadRequest),
        (
            "GET",
            "/v1/jobs/1?wait_ms=soon",
            &[TEAM],
            b"",
            ErrorKind::BadRequest,
        ),
        ("GET", "/v1/keys/", &[TEAM], b"", ErrorKind::BadRequest),
        (
            "POST",
            "/v1/requests/a b",
            &[TEAM],
            b"",
            ErrorKind::BadRequest,
        ),
        (
            "GET",
            "/ready",
            &[("Filler", &huge)],
            b"",
            ErrorKind::TooLarge,
        ),
    ];
    for (method, target, headers, body, kind) in cases {
        assert_eq!(
            route(method, target, headers, body),
            Err(kind),
            "{method} {target}"
        );
    }
}

/// Guards against a caller that occupies a server thread for longer than the maximum wait.
#[test]
fn a_long_wait_is_shortened() {
    let routed = route(
        "GET",
        "/v1/jobs/7?wait_ms=86400000",
        &[("mustardpath-team", "sand")],
        b"",
    );
    let Ok(RoutedRequest::Command(CallerCommand::JobWait { wait, .. })) = routed else {
        panic!("not a wait: {routed:?}");
    };
    assert_eq!(wait, TimeSpan::from_secs(30));
}

/// Guards against waiting callers that occupy all server threads, which would block reports of
/// workers, readiness probes and operators.
#[test]
fn waiting_callers_leave_threads_to_short_commands() {
    let send = RequestHead {
        team: "sand".into(),
        service: "check".into(),
        key: None,
        deadline: None,
        digest: 0,
        length: 0,
    };
    let send = CallerCommand::Send(send);
    let (team, job) = ("sand".into(), JobId(1));
    let wait = TimeSpan::from_secs(30);
    let waiting = CallerCommand::JobWait { team, job, wait };
    assert_eq!(http_server::admit(47, 64, send.clone()), Ok(send.clone()));
    assert_eq!(
        http_server::admit(47, 64, waiting.clone()),
        Ok(waiting.clone())
    );
    let refused = http_server::admit(48, 64, send).map_err(|report| report.kind);
    assert_eq!(refused, Err(ErrorKind::Overloaded));
    let team = "sand".into();
    let status = CallerCommand::JobStatus { team, job };
    assert_eq!(http_server::admit(48, 64, waiting), Ok(status));
    for command in [CallerCommand::Ready, CallerCommand::DomainStatus] {
        assert_eq!(http_server::admit(64, 64, command.clone()), Ok(command));
    }
}

fn check_problem(reply: &CallResponse, status: u16, kind: &str) {
    assert_eq!(
        reply.status,
        status,
        "{}",
        String::from_utf8_lossy(&reply.body)
    );
    assert_eq!(
        reply.header("Content-Type"),
        Some("application/problem+json")
    );
    let field = |name| local_cluster::problem_field(reply, name);
    assert_eq!(field("kind").as_deref(), Some(kind));
    assert_eq!(field("run").as_deref(), Some("not_run"));
    assert_eq!(field("type"), Some(format!("urn:mustardpath:error:{kind}")));
    assert!(field("title").is_some() && field("detail").is_some());
}

/// Guards against rejections without details, and against rejected commands that run. Each response
/// must be problem details with `not_run`, and no worker may have started a task.
#[test]
fn rejected_commands_report_not_run() {
    let deployment = TestDeployment::start();
    let key = |text: &str| vec![("Idempotency-Key", text.to_string())];
    let job = br#"{ "service": "analysis" }"#;
    let mut caller = deployment.caller(0);
    let address = caller.address().to_string();

    let mut operator = deployment.cluster.operator(&address).for_team("dunes");
    let reply = operator.post("/v1/jobs", &key("a"), job, RESPONSE_TIMEOUT);
    check_problem(&reply.expect("reply"), 404, "unknown_team");

    // Only operators may learn which teams exist.
    let mut stranger = CallerClient::new(&address, &deployment.key).for_team("dunes");
    let reply = stranger.post("/v1/jobs", &key("a"), job, RESPONSE_TIMEOUT);
    check_problem(&reply.expect("reply"), 403, "forbidden");

    let mut impostor = CallerClient::new(&address, "another key").for_team("sand");
    let reply = impostor.post("/v1/jobs", &key("a"), job, RESPONSE_TIMEOUT);
    check_problem(&reply.expect("reply"), 403, "forbidden");

    let reply = caller.post(
        "/v1/jobs",
        &key("a"),
        br#"{ "service": "none" }"#,
        RESPONSE_TIMEOUT,
    );
    check_problem(&reply.expect("reply"), 404, "unknown_service");

    let reply = caller.post("/v1/jobs", &key("a"), b"no json", RESPONSE_TIMEOUT);
    check_problem(&reply.expect("reply"), 400, "bad_request");

    let gang = br#"{ "service": "analysis", "members": 64 }"#;
    let reply = caller.post("/v1/jobs", &key("b"), gang, RESPONSE_TIMEOUT);
    check_problem(&reply.expect("reply"), 422, "never_fits");

    let body = vec![b'x'; (1 << 20) + 1];
    let reply = caller.post("/v1/requests/check", &key("a"), &body, RESPONSE_TIMEOUT);
    check_problem(&reply.expect("reply"), 413, "too_large");

    let (_, starts) = deployment.outcome();
    assert_eq!(starts, 0, "a refused command has started a task");
}

/// Guards against a daemon that crashes or hangs on input that is not HTTP.
#[test]
fn invalid_http_closes_only_its_connection() {
    let deployment = TestDeployment::start();
    let address = deployment.cluster.caller_addresses()[0].clone();
    for bytes in [
        b"\0\xff\xfe\r\n\r\n".as_slice(),
        b"GET\r\n\r\n",
        b"\x16\x03\x01\x02\r\n\r\n",
    ] {
        let mut stream = TcpStream::connect(&address).expect("connection");
        stream.write_all(bytes).expect("bytes");
        let mut rest = Vec::new();
        // The server may close or reset the connection.
        let _ = stream.read_to_end(&mut rest);
    }
    assert!(deployment.cluster.operator(&address).is_ready());
}
