//! Outcomes of calls to endpoints with valid, invalid and missing responses.

mod common;

use std::io::Read;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rouille::Request;
use rouille::Response;
use rouille::Server;

use mustardpath::control;
use mustardpath::digest;
use mustardpath::exchange::ExchangeTable;
use mustardpath::exchange::RequestBody;
use mustardpath::outbound;
use mustardpath::outbound::EndpointCall;
use mustardpath::outbound::OutboundContext;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::RequestId;
use mustardpath_core::ids::ServiceName;
use mustardpath_core::ids::WriterId;
use mustardpath_core::units::TimeSpan;

const BODY: &[u8] = b"the answer";

/// Sends a request to `address`. Returns the outcome that the daemon reports and the body that the
/// caller would receive.
fn send_to(address: String) -> (EndpointOutcome, Option<Vec<u8>>) {
    let exchanges = Arc::new(ExchangeTable::new(4));
    let (events, mut event_receiver) = control::event_channel();
    let calls = outbound::spawn_requests(&OutboundContext {
        events,
        exchanges: Arc::clone(&exchanges),
        writer: WriterId {
            daemon: "d1".into(),
            incarnation: 7,
        },
        settings: Arc::new(common::settings(2)),
    })
    .expect("the threads start");
    let body = RequestBody {
        key: None,
        deadline: Instant::now() + Duration::from_secs(60),
        digest: digest::body_digest(b"question"),
        bytes: (*b"question").into(),
    };
    let exchange = exchanges
        .open(None, Some(body))
        .expect("the table has capacity");
    let request = RequestId(3);
    calls
        .send(EndpointCall::Send {
            caller: exchange.caller,
            request,
            attempt: 2,
            address,
            service: ServiceName::from("check"),
            timeout: TimeSpan::from_secs(30),
        })
        .expect("the queue accepts the call");
    let Some(EventInput::EndpointCallCompleted { outcome, .. }) = event_receiver.blocking_recv()
    else {
        panic!("not the outcome of an endpoint call");
    };
    let attempt = 2;
    exchanges.reply(exchange.caller, CallerAnswer::Endpoint { request, attempt });
    let reply = exchange.replies.recv().expect("reply");
    (outcome, reply.body.map(|body| body.bytes))
}

/// Sends a request to an endpoint whose response has one header replaced.
fn send_with_header(
    header: &'static str,
    value: &'static str,
    body: &'static [u8],
) -> (EndpointOutcome, Option<Vec<u8>>) {
    let server = Server::new("127.0.0.1:0", move |request: &Request| {
        let headers = [
            (outbound::REQUEST_HEADER, "d1-7-3".to_string()),
            (outbound::ATTEMPT_HEADER, "2".to_string()),
            (outbound::LENGTH_HEADER, BODY.len().to_string()),
            (
                outbound::DIGEST_HEADER,
                digest::format_digest(digest::body_digest(BODY)),
            ),
        ];
        assert_eq!(request.header(outbound::REQUEST_HEADER), Some("d1-7-3"));
        let mut response = Response::from_data("text/plain", body);
        for (name, text) in headers {
            let text = if name == header { value.into() } else { text };
            response = response.with_additional_header(name, text);
        }
        if header == outbound::RUN_HEADER {
            response = response.with_additional_header(header, value);
        }
        response
    })
    .expect("server");
    let address = server.server_addr().to_string();
    thread::spawn(move || server.run());
    send_to(address)
}

/// Guards against a valid response that does not reach its caller.
#[test]
fn a_valid_response_is_stored_for_its_caller() {
    let (outcome, body) = send_with_header("", "", BODY);
    assert_eq!(
        outcome,
        EndpointOutcome::Answered {
            status: 200,
            length: BODY.len() as u64,
            kept_body: Some("the answer".into()),
        }
    );
    assert_eq!(body.as_deref(), Some(BODY));
}

/// Guards against delivering a response that belongs to another request or an earlier attempt, or
/// that was truncated or corrupted in transit. Its outcome is unknown and its body is discarded.
#[test]
fn mismatched_and_corrupted_responses_are_discarded() {
    let cases = [
        (outbound::REQUEST_HEADER, "d1-7-4", BODY),
        (outbound::ATTEMPT_HEADER, "1", BODY),
        (outbound::LENGTH_HEADER, "9", BODY),
        (outbound::DIGEST_HEADER, "0", BODY),
        ("", "", b"the answe".as_slice()),
        ("", "", b"the ansWer".as_slice()),
    ];
    for (header, value, body) in cases {
        let (outcome, body) = send_with_header(header, value, body);
        assert_eq!(outcome, EndpointOutcome::Unknown, "{header} {value}");
        assert_eq!(body, None, "{header} {value}");
    }
}

/// Guards against treating an endpoint's rejection of a request as its response.
#[test]
fn a_rejection_is_not_a_response() {
    let (outcome, body) = send_with_header(outbound::RUN_HEADER, outbound::NOT_RUN, BODY);
    assert_eq!(outcome, EndpointOutcome::Refused);
    assert_eq!(body, None);
}

/// Guards against reporting "may have run" for a request whose connection was refused.
#[test]
fn a_refused_connection_is_undelivered() {
    // No other test binds this loopback address, so the port stays free after the drop.
    let listener = TcpListener::bind("127.0.0.77:0").expect("port");
    let address = listener.local_addr().expect("address").to_string();
    drop(listener);
    assert_eq!(send_to(address).0, EndpointOutcome::Undelivered);
}

/// Guards against reporting "undelivered" for a request that arrived, when the connection closes
/// before the response.
#[test]
fn a_connection_closed_early_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("port");
    let address = listener.local_addr().expect("address").to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connection");
            let mut buffer = [0; 64];
            let _ = stream.read(&mut buffer).expect("request");
        }
    });
    assert_eq!(send_to(address).0, EndpointOutcome::Unknown);
}
