//! HTTP server for the model of one worker: control commands and short requests.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rouille::Request;
use rouille::Response;

use crate::digest;
use crate::outbound;
use crate::standin_http;
use crate::standin_platform::PlatformCall;
use crate::standin_platform::PlatformSender;
use crate::standin_platform::ReceivedRequest;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::worker::WorkerCommand;
use mustardpath_standin::endpoint::EndpointReply;

/// Starts the server of one worker and returns its address.
///
/// # Errors
///
/// Returns the I/O error if the socket cannot be bound or the thread cannot be started.
pub fn spawn(
    platform: PlatformSender,
    worker: WorkerName,
    address: &str,
) -> io::Result<SocketAddr> {
    standin_http::serve("worker", address, move |request| {
        handle(&platform, &worker, request)
    })
}

fn handle(platform: &PlatformSender, worker: &WorkerName, request: &Request) -> Response {
    let path = request.url();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match (request.method(), parts.as_slice()) {
        ("POST", ["command"]) => handle_command(platform, worker, request),
        ("POST", ["requests", "cancel"]) => cancel_request(platform, worker, request),
        ("POST", ["requests", _]) => run_request(platform, worker, request),
        _ => standin_http::empty(404),
    }
}

fn handle_command(platform: &PlatformSender, worker: &WorkerName, request: &Request) -> Response {
    let command: Option<WorkerCommand> =
        standin_http::read_body(request).and_then(|body| serde_json::from_slice(&body).ok());
    let Some(command) = command else {
        return standin_http::empty(400);
    };
    let (reply, receiver) = crossbeam_channel::bounded(1);
    let call = PlatformCall::Command {
        worker: worker.clone(),
        command,
        reply,
    };
    if platform.send(call).is_err() {
        return standin_http::hang();
    }
    match receiver.recv() {
        Ok(delayed) => {
            thread::sleep(Duration::from_millis(delayed.delay.0));
            standin_http::json(200, &delayed.response)
        }
        Err(_) => standin_http::hang(),
    }
}

fn parse_request(request: &Request) -> Option<ReceivedRequest> {
    let body = standin_http::read_body(request)?;
    let digest = request
        .header(outbound::DIGEST_HEADER)
        .and_then(digest::parse_digest)?;
    let length: usize = request
        .header(outbound::LENGTH_HEADER)
        .and_then(|text| text.parse().ok())?;
    if body.len() != length || digest::body_digest(&body) != digest {
        return None;
    }
    Some(ReceivedRequest {
        id: request.header(outbound::REQUEST_HEADER)?.into(),
        attempt: request
            .header(outbound::ATTEMPT_HEADER)
            .and_then(|text| text.parse().ok())?,
        key: request.header(outbound::KEY_HEADER).map(RequestKey::from),
        body,
    })
}

fn run_request(platform: &PlatformSender, worker: &WorkerName, request: &Request) -> Response {
    let Some(received) = parse_request(request) else {
        return standin_http::empty(400);
    };
    let (id, attempt) = (received.id.clone(), received.attempt);
    let (reply, receiver) = crossbeam_channel::bounded(1);
    let call = PlatformCall::Request {
        worker: worker.clone(),
        request: received,
        reply,
    };
    if platform.send(call).is_err() {
        return standin_http::hang();
    }
    let Ok(delayed) = receiver.recv() else {
        return standin_http::hang();
    };
    thread::sleep(Duration::from_millis(delayed.delay.0));
    match delayed.response {
        EndpointReply::Answered { status, body, .. } => tagged_response(status, body, id, attempt),
        EndpointReply::Refused => tagged_response(503, Vec::new(), id, attempt)
            .with_additional_header(outbound::RUN_HEADER, outbound::NOT_RUN),
    }
}

/// Creates a response with headers that identify the attempt and verify the body.
fn tagged_response(status: u16, body: Vec<u8>, id: String, attempt: u32) -> Response {
    let length = body.len().to_string();
    let digest = digest::format_digest(digest::body_digest(&body));
    Response::from_data("application/octet-stream", body)
        .with_status_code(status)
        .with_additional_header(outbound::REQUEST_HEADER, id)
        .with_additional_header(outbound::ATTEMPT_HEADER, attempt.to_string())
        .with_additional_header(outbound::LENGTH_HEADER, length)
        .with_additional_header(outbound::DIGEST_HEADER, digest)
}

fn cancel_request(platform: &PlatformSender, worker: &WorkerName, request: &Request) -> Response {
    let id = request.header(outbound::REQUEST_HEADER);
    let attempt = request
        .header(outbound::ATTEMPT_HEADER)
        .and_then(|text| text.parse().ok());
    let (Some(id), Some(attempt)) = (id, attempt) else {
        return standin_http::empty(400);
    };
    let call = PlatformCall::Cancel {
        worker: worker.clone(),
        id: id.into(),
        attempt,
    };
    match platform.send(call) {
        Ok(()) => standin_http::empty(200),
        Err(_) => standin_http::empty(503),
    }
}
