//! Outbound HTTP calls to workers, endpoints and the VM list, on fixed-size thread pools.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;

use crate::control::EventSender;
use crate::digest;
use crate::exchange::EndpointResponse;
use crate::exchange::ExchangeTable;
use crate::exchange::RequestBody;
use crate::http_client::CallError;
use crate::http_client::CallResponse;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use mustardpath_core::event::CallOutcome;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::VmOutcome;
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::RequestId;
use mustardpath_core::ids::ServiceName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::ids::WriterId;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::WorkerCommand;

/// Maximum number of queued calls. It holds a fence of all 870 workers together with several gangs
/// of 64.
const CALL_QUEUE_CAPACITY: usize = 4_096;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Time limit for a cancellation, whose outcome is ignored.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Header with the request id. The endpoint echoes it.
pub const REQUEST_HEADER: &str = "Mustardpath-Request";
/// Header with the attempt number. The endpoint echoes it.
pub const ATTEMPT_HEADER: &str = "Mustardpath-Attempt";
/// Header with the body length in bytes, in requests and responses.
pub const LENGTH_HEADER: &str = "Mustardpath-Length";
/// Header with the body digest, in requests and responses.
pub const DIGEST_HEADER: &str = "Mustardpath-Digest";
/// Header with the idempotency key.
pub const KEY_HEADER: &str = "Idempotency-Key";
/// Header with the time until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "Mustardpath-Deadline-Ms";
/// Header of a response that rejects the request without running it.
pub const RUN_HEADER: &str = "Mustardpath-Run";
/// Value of [`RUN_HEADER`] in such a response.
pub const NOT_RUN: &str = "not_run";

/// A call to a worker or to the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OutboundCall {
    /// Sends a command to a worker.
    Worker {
        /// Identifies the outcome of the call.
        call: CallId,
        /// Name in the VM list, returned with the outcome. The command is sent to `address`.
        worker: WorkerName,
        /// IP address and port of the worker.
        address: String,
        /// Sent as JSON. An idempotent command is sent again when its outcome is unknown.
        command: WorkerCommand,
        /// Time limit for the whole call, including a retry.
        timeout: TimeSpan,
    },
    /// Fetches changes of the VM list.
    Vms {
        /// The last known version of the list.
        since: u64,
    },
}

/// A call to an endpoint: an attempt of a short request or its cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointCall {
    /// Sends one attempt of a request.
    Send {
        /// The exchange with the request body.
        caller: CallerId,
        /// The request id, unique within this daemon process.
        request: RequestId,
        /// The attempt number, from 1.
        attempt: u32,
        /// IP address and port of the endpoint.
        address: String,
        /// The service that the request is for.
        service: ServiceName,
        /// Time limit for the response.
        timeout: TimeSpan,
    },
    /// Notifies the endpoint that the response is no longer needed.
    Cancel {
        /// The request id, unique within this daemon process.
        request: RequestId,
        /// The attempt number, from 1.
        attempt: u32,
        /// IP address and port of the endpoint.
        address: String,
    },
}

/// State shared by the threads of both pools.
#[derive(Clone)]
pub struct OutboundContext {
    /// Sends the outcomes to the control thread.
    pub events: EventSender,
    /// Bodies of pending requests and of their responses.
    pub exchanges: Arc<ExchangeTable>,
    /// The daemon process, which makes request ids unique across all daemons.
    pub writer: WriterId,
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
}

/// Starts the threads that call workers and fetch the VM list.
///
/// # Errors
///
/// Returns the I/O error when a thread cannot be spawned.
pub fn spawn_calls(context: &OutboundContext) -> io::Result<Sender<OutboundCall>> {
    spawn_pool("call", CALL_QUEUE_CAPACITY, context, run_call)
}

/// Starts the threads that send short requests.
///
/// # Errors
///
/// Returns the I/O error when a thread cannot be spawned.
pub fn spawn_requests(context: &OutboundContext) -> io::Result<Sender<EndpointCall>> {
    // Each open request has at most one attempt and one cancellation in flight.
    let capacity = 2 * context.settings.limits.open_requests as usize;
    spawn_pool("request", capacity, context, run_endpoint)
}

fn spawn_pool<J: Send + 'static>(
    name: &str,
    capacity: usize,
    context: &OutboundContext,
    run: fn(&OutboundContext, &mut HttpClient, J) -> Option<EventInput>,
) -> io::Result<Sender<J>> {
    let (sender, calls): (Sender<J>, Receiver<J>) = crossbeam_channel::bounded(capacity);
    let connections = HttpClient::new(MAX_RESPONSE_BYTES);
    for number in 0..context.settings.limits.call_threads {
        let context = context.clone();
        let calls = calls.clone();
        let mut client = connections.clone();
        thread::Builder::new()
            .name(format!("{name}-{number}"))
            .spawn(move || {
                for call in calls {
                    if let Some(input) = run(&context, &mut client, call) {
                        // The send fails only when the control thread has already ended.
                        let _ = context.events.blocking_send(input);
                    }
                }
            })?;
    }
    Ok(sender)
}

fn run_call(
    context: &OutboundContext,
    client: &mut HttpClient,
    call: OutboundCall,
) -> Option<EventInput> {
    Some(match call {
        OutboundCall::Worker {
            call,
            worker,
            address,
            command,
            timeout,
        } => EventInput::WorkerCallCompleted {
            call,
            worker,
            outcome: call_worker(client, &address, &command, timeout),
        },
        OutboundCall::Vms { since } => EventInput::VmList {
            outcome: fetch_vms(client, &context.settings, since),
        },
    })
}

/// Sends a command to a worker. An idempotent command is retried once over a new connection, as
/// established connections may stall while new ones work.
fn call_worker(
    client: &mut HttpClient,
    address: &str,
    command: &WorkerCommand,
    timeout: TimeSpan,
) -> CallOutcome {
    let Ok(body) = serde_json::to_vec(command) else {
        return CallOutcome::Undelivered;
    };
    let max_sends: u32 = if is_idempotent(command) { 2 } else { 1 };
    let call = HttpCall {
        address,
        path: "/command",
        headers: &[],
        body: Some(&body),
        timeout: Duration::from_millis(timeout.0) / max_sends,
    };
    let mut outcome = decode_reply(client.call(&call));
    if max_sends > 1 && outcome == CallOutcome::Unknown {
        outcome = decode_reply(client.call(&call));
    }
    outcome
}

const fn is_idempotent(command: &WorkerCommand) -> bool {
    matches!(
        command,
        WorkerCommand::Renew { .. } | WorkerCommand::Fence { .. } | WorkerCommand::Forget { .. }
    )
}

fn decode_reply(result: Result<CallResponse, CallError>) -> CallOutcome {
    match result {
        Ok(response) if response.status == 200 => match serde_json::from_slice(&response.body) {
            Ok(reply) => CallOutcome::Reply { reply },
            Err(_) => CallOutcome::Unknown,
        },
        Ok(_) | Err(CallError::Unknown(_)) => CallOutcome::Unknown,
        Err(CallError::Undelivered(_)) => CallOutcome::Undelivered,
    }
}

fn fetch_vms(client: &mut HttpClient, settings: &DaemonSettings, since: u64) -> VmOutcome {
    let call = HttpCall {
        address: &settings.vms_address,
        path: &format!("/vms?since={since}"),
        headers: &[],
        body: None,
        timeout: Duration::from_millis(settings.timing.call.0),
    };
    match client.call(&call) {
        Ok(response) if response.status == 200 => {
            serde_json::from_slice(&response.body).unwrap_or(VmOutcome::Failed)
        }
        _ => VmOutcome::Failed,
    }
}

fn run_endpoint(
    context: &OutboundContext,
    client: &mut HttpClient,
    call: EndpointCall,
) -> Option<EventInput> {
    match call {
        EndpointCall::Send {
            caller,
            request,
            attempt,
            address,
            service,
            timeout,
        } => {
            let global_id = global_request_id(&context.writer, request);
            let outcome = match context.exchanges.body(caller) {
                Some(body) => {
                    let sent = send_request(
                        client, &body, &global_id, attempt, &address, &service, timeout,
                    );
                    hold_response(context, caller, request, attempt, sent)
                }
                // The exchange was closed before any byte was sent.
                None => EndpointOutcome::Undelivered,
            };
            Some(EventInput::EndpointCallCompleted {
                request,
                attempt,
                outcome,
            })
        }
        EndpointCall::Cancel {
            request,
            attempt,
            address,
        } => {
            let global_id = global_request_id(&context.writer, request);
            cancel_request(client, &global_id, attempt, &address);
            None
        }
    }
}

fn global_request_id(writer: &WriterId, request: RequestId) -> String {
    format!("{}-{:x}-{request}", writer.daemon, writer.incarnation)
}

fn send_request(
    client: &mut HttpClient,
    body: &RequestBody,
    global_id: &str,
    attempt: u32,
    address: &str,
    service: &ServiceName,
    timeout: TimeSpan,
) -> Result<CallResponse, EndpointOutcome> {
    let mut headers = vec![
        (REQUEST_HEADER, global_id.to_string()),
        (ATTEMPT_HEADER, attempt.to_string()),
        (LENGTH_HEADER, body.bytes.len().to_string()),
        (DIGEST_HEADER, digest::format_digest(body.digest)),
        (DEADLINE_HEADER, body.time_left().as_millis().to_string()),
    ];
    if let Some(key) = &body.key {
        headers.push((KEY_HEADER, key.to_string()));
    }
    let call = HttpCall {
        address,
        path: &format!("/requests/{service}"),
        headers: &headers,
        body: Some(&body.bytes),
        timeout: Duration::from_millis(timeout.0),
    };
    match client.call(&call) {
        Ok(response) => verify_response(response, global_id, attempt),
        Err(CallError::Undelivered(_)) => Err(EndpointOutcome::Undelivered),
        Err(CallError::Unknown(_)) => Err(EndpointOutcome::Unknown),
    }
}

/// Returns the response when it is complete and belongs to this attempt of the request.
fn verify_response(
    response: CallResponse,
    global_id: &str,
    attempt: u32,
) -> Result<CallResponse, EndpointOutcome> {
    let length = response
        .header(LENGTH_HEADER)
        .and_then(|text| text.parse().ok());
    let digest = response
        .header(DIGEST_HEADER)
        .and_then(digest::parse_digest);
    let is_echoed = response.header(REQUEST_HEADER) == Some(global_id)
        && response.header(ATTEMPT_HEADER) == Some(attempt.to_string().as_str());
    let is_complete =
        length == Some(response.body.len()) && digest == Some(digest::body_digest(&response.body));
    if !is_echoed || !is_complete {
        return Err(EndpointOutcome::Unknown);
    }
    if response.header(RUN_HEADER) == Some(NOT_RUN) {
        return Err(EndpointOutcome::Refused);
    }
    Ok(response)
}

fn hold_response(
    context: &OutboundContext,
    caller: CallerId,
    request: RequestId,
    attempt: u32,
    sent: Result<CallResponse, EndpointOutcome>,
) -> EndpointOutcome {
    let response = match sent {
        Ok(response) => response,
        Err(outcome) => return outcome,
    };
    let status = response.status;
    let length = response.body.len() as u64;
    let kept_body = kept_text(&response.body, context.settings.limits.kept_answer.0);
    let body = EndpointResponse {
        status,
        content_type: response.header("Content-Type").map(String::from),
        bytes: response.body,
    };
    if !context
        .exchanges
        .hold_response(caller, request, attempt, body)
    {
        return EndpointOutcome::Unknown;
    }
    EndpointOutcome::Answered {
        status,
        length,
        kept_body,
    }
}

fn kept_text(body: &[u8], limit: u64) -> Option<String> {
    if body.len() as u64 > limit {
        return None;
    }
    str::from_utf8(body).ok().map(String::from)
}

fn cancel_request(client: &mut HttpClient, global_id: &str, attempt: u32, address: &str) {
    let call = HttpCall {
        address,
        path: "/requests/cancel",
        headers: &[
            (REQUEST_HEADER, global_id.to_string()),
            (ATTEMPT_HEADER, attempt.to_string()),
        ],
        body: Some(&[]),
        timeout: CANCEL_TIMEOUT,
    };
    // The outcome is irrelevant: the endpoint ends the request at its deadline in any case.
    let _ = client.call(&call);
}
