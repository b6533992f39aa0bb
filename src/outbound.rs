//! Calls to workers, endpoints and the VM list, from bounded pools of threads.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;

use crate::control::EventSender;
use crate::digest;
use crate::exchange::EndpointBody;
use crate::exchange::ExchangeTable;
use crate::exchange::RequestBody;
use crate::http_client::CallError;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::http_client::HttpReply;
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

/// Calls that wait for a thread: a fence of all 870 workers and gangs of 64 at once.
const CALL_QUEUE: usize = 4_096;

/// Largest reply of a worker or of the VM list, in bytes.
const REPLY_BYTES: u64 = 16 << 20;

/// Time for a cancellation, which nobody waits for.
const CANCEL_TIME: Duration = Duration::from_secs(1);

/// Header with the request's id, sent and echoed.
pub const REQUEST_HEADER: &str = "Mustardpath-Request";
/// Header with the attempt, sent and echoed.
pub const ATTEMPT_HEADER: &str = "Mustardpath-Attempt";
/// Header with the body's length in bytes, both ways.
pub const LENGTH_HEADER: &str = "Mustardpath-Length";
/// Header with the body's digest, both ways.
pub const DIGEST_HEADER: &str = "Mustardpath-Digest";
/// Header with the idempotency key.
pub const KEY_HEADER: &str = "Idempotency-Key";
/// Header with the time left until the caller's deadline, in ms.
pub const DEADLINE_HEADER: &str = "Mustardpath-Deadline-Ms";
/// Header by which an endpoint says that it refused the request without running it.
pub const RUN_HEADER: &str = "Mustardpath-Run";
/// Value of [`RUN_HEADER`] of a refusal.
pub const NOT_RUN: &str = "not_run";

/// A call to a worker or to the VM list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallJob {
    /// Sends a command to a worker.
    Worker {
        /// The call.
        call: CallId,
        /// The worker.
        worker: WorkerName,
        /// IP number and port.
        address: String,
        /// The command.
        command: WorkerCommand,
        /// Longest time to the reply.
        timeout: TimeSpan,
    },
    /// Reads changes of the VM list.
    Vms {
        /// The last version seen.
        since: u64,
    },
}

/// A short request or its cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointJob {
    /// Sends one attempt.
    Send {
        /// The exchange that holds the body.
        caller: CallerId,
        /// The request.
        request: RequestId,
        /// The attempt, from 1.
        attempt: u32,
        /// IP number and port.
        address: String,
        /// The service.
        service: ServiceName,
        /// Longest time to the answer.
        timeout: TimeSpan,
    },
    /// Tells the endpoint that nobody waits any more.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
        /// IP number and port.
        address: String,
    },
}

/// What the threads of both pools share.
#[derive(Clone)]
pub struct OutboundContext {
    /// Takes the outcomes.
    pub events: EventSender,
    /// Holds bodies of requests and answers.
    pub exchanges: Arc<ExchangeTable>,
    /// The process, which makes request ids unique over all daemons.
    pub writer: WriterId,
    /// The daemon's settings.
    pub settings: Arc<DaemonSettings>,
}

/// Starts the threads that call workers and the VM list.
///
/// # Errors
///
/// Returns the system's error when a thread cannot be started.
pub fn spawn_calls(context: &OutboundContext) -> io::Result<Sender<CallJob>> {
    spawn_pool("call", CALL_QUEUE, context, run_call)
}

/// Starts the threads that send short requests.
///
/// # Errors
///
/// Returns the system's error when a thread cannot be started.
pub fn spawn_requests(context: &OutboundContext) -> io::Result<Sender<EndpointJob>> {
    // Each open request has at most one attempt and one cancellation under way.
    let queue = 2 * context.settings.limits.open_requests as usize;
    spawn_pool("request", queue, context, run_endpoint)
}

fn spawn_pool<J: Send + 'static>(
    name: &str,
    queue: usize,
    context: &OutboundContext,
    run: fn(&OutboundContext, &mut HttpClient, J) -> Option<EventInput>,
) -> io::Result<Sender<J>> {
    let (sender, jobs): (Sender<J>, Receiver<J>) = crossbeam_channel::bounded(queue);
    let connections = HttpClient::new(REPLY_BYTES);
    for number in 0..context.settings.limits.call_threads {
        let context = context.clone();
        let jobs = jobs.clone();
        let mut client = connections.clone();
        thread::Builder::new()
            .name(format!("{name}-{number}"))
            .spawn(move || {
                for job in jobs {
                    if let Some(input) = run(&context, &mut client, job) {
                        // The control thread has ended when the channel is closed.
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
    job: CallJob,
) -> Option<EventInput> {
    Some(match job {
        CallJob::Worker {
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
        CallJob::Vms { since } => EventInput::VmList {
            outcome: fetch_vms(client, &context.settings, since),
        },
    })
}

/// Calls a worker. A command that may be carried out twice is tried again over a new connection
/// when the first try fails, because open connections can fall silent while new ones work.
fn call_worker(
    client: &mut HttpClient,
    address: &str,
    command: &WorkerCommand,
    timeout: TimeSpan,
) -> CallOutcome {
    let Ok(body) = serde_json::to_vec(command) else {
        return CallOutcome::Undelivered;
    };
    let tries: u32 = if is_repeatable(command) { 2 } else { 1 };
    let call = HttpCall {
        address,
        path: "/command",
        headers: &[],
        body: Some(&body),
        timeout: Duration::from_millis(timeout.0) / tries,
    };
    let mut outcome = decode_reply(client.call(&call));
    if tries > 1 && outcome == CallOutcome::Unknown {
        outcome = decode_reply(client.call(&call));
    }
    outcome
}

const fn is_repeatable(command: &WorkerCommand) -> bool {
    matches!(
        command,
        WorkerCommand::Renew { .. } | WorkerCommand::Fence { .. } | WorkerCommand::Forget { .. }
    )
}

fn decode_reply(result: Result<HttpReply, CallError>) -> CallOutcome {
    match result {
        Ok(reply) if reply.status == 200 => match serde_json::from_slice(&reply.body) {
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
        Ok(reply) if reply.status == 200 => {
            serde_json::from_slice(&reply.body).unwrap_or(VmOutcome::Failed)
        }
        _ => VmOutcome::Failed,
    }
}

fn run_endpoint(
    context: &OutboundContext,
    client: &mut HttpClient,
    job: EndpointJob,
) -> Option<EventInput> {
    match job {
        EndpointJob::Send {
            caller,
            request,
            attempt,
            address,
            service,
            timeout,
        } => {
            let label = request_label(&context.writer, request);
            let outcome = match context.exchanges.body(caller) {
                Some(body) => {
                    let sent =
                        send_request(client, &body, &label, attempt, &address, &service, timeout);
                    hold_answer(context, caller, request, attempt, sent)
                }
                // The caller has left before the first byte was sent.
                None => EndpointOutcome::Undelivered,
            };
            Some(EventInput::EndpointCallCompleted {
                request,
                attempt,
                outcome,
            })
        }
        EndpointJob::Cancel {
            request,
            attempt,
            address,
        } => {
            let label = request_label(&context.writer, request);
            cancel_request(client, &label, attempt, &address);
            None
        }
    }
}

fn request_label(writer: &WriterId, request: RequestId) -> String {
    format!("{}-{:x}-{request}", writer.daemon, writer.incarnation)
}

fn send_request(
    client: &mut HttpClient,
    body: &RequestBody,
    label: &str,
    attempt: u32,
    address: &str,
    service: &ServiceName,
    timeout: TimeSpan,
) -> Result<HttpReply, EndpointOutcome> {
    let mut headers = vec![
        (REQUEST_HEADER, label.to_string()),
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
        Ok(reply) => verify_answer(reply, label, attempt),
        Err(CallError::Undelivered(_)) => Err(EndpointOutcome::Undelivered),
        Err(CallError::Unknown(_)) => Err(EndpointOutcome::Unknown),
    }
}

/// Returns the answer when it is whole and belongs to the request and the attempt.
fn verify_answer(
    reply: HttpReply,
    label: &str,
    attempt: u32,
) -> Result<HttpReply, EndpointOutcome> {
    let length = reply
        .header(LENGTH_HEADER)
        .and_then(|text| text.parse().ok());
    let digest = reply.header(DIGEST_HEADER).and_then(digest::parse_digest);
    let echoed = reply.header(REQUEST_HEADER) == Some(label)
        && reply.header(ATTEMPT_HEADER) == Some(attempt.to_string().as_str());
    let whole =
        length == Some(reply.body.len()) && digest == Some(digest::body_digest(&reply.body));
    if !echoed || !whole {
        return Err(EndpointOutcome::Unknown);
    }
    if reply.header(RUN_HEADER) == Some(NOT_RUN) {
        return Err(EndpointOutcome::Refused);
    }
    Ok(reply)
}

fn hold_answer(
    context: &OutboundContext,
    caller: CallerId,
    request: RequestId,
    attempt: u32,
    sent: Result<HttpReply, EndpointOutcome>,
) -> EndpointOutcome {
    let reply = match sent {
        Ok(reply) => reply,
        Err(outcome) => return outcome,
    };
    let status = reply.status;
    let length = reply.body.len() as u64;
    let kept_body = kept_text(&reply.body, context.settings.limits.kept_answer.0);
    let body = EndpointBody {
        status,
        media: reply.header("Content-Type").map(String::from),
        bytes: reply.body,
    };
    if !context.exchanges.hold(caller, request, attempt, body) {
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

fn cancel_request(client: &mut HttpClient, label: &str, attempt: u32, address: &str) {
    let call = HttpCall {
        address,
        path: "/requests/cancel",
        headers: &[
            (REQUEST_HEADER, label.to_string()),
            (ATTEMPT_HEADER, attempt.to_string()),
        ],
        body: Some(&[]),
        timeout: CANCEL_TIME,
    };
    // Nobody waits for the answer, and the endpoint ends the request by its deadline anyway.
    let _ = client.call(&call);
}
