//! HTTP for callers, operators and pushed reports of workers.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Sender;
use rouille::Request;
use rouille::Response;
use rouille::Server;

use crate::control::EventSender;
use crate::exchange::ExchangeTable;
use crate::exchange::RequestBody;
use crate::http_response;
use crate::http_response::HttpResponse;
use crate::logs::LogLine;
use crate::metrics::MetricSink;
use crate::route_table;
use crate::route_table::HttpRequest;
use crate::route_table::RoutedRequest;
use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;
use mustardpath_core::effect::MetricName;
use mustardpath_core::effect::WorkerTasks;
use mustardpath_core::event::CallerCommand;
use mustardpath_core::event::CallerCredential;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::RequestHead;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::kind::FailureReport;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::units::TimeSpan;

/// Time for the reducer's response beyond the wait or the deadline that the command names. The
/// reducer answers at the deadline; this covers its queue and the next tick.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// Time for the response to a command without a wait: an append, its resend and its read-back.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two looks at the stop flag while no request comes.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// What the threads of callers need.
pub struct HandlerContext {
    /// Takes the commands.
    pub events: EventSender,
    /// Open exchanges.
    pub exchanges: Arc<ExchangeTable>,
    /// The daemon's settings.
    pub settings: Arc<DaemonSettings>,
    /// Counts limits that are reached.
    pub metrics: MetricSink,
    /// To the logger.
    pub lines: Sender<LogLine>,
}

impl HandlerContext {
    /// Counts and logs a limit that is reached and returns its response.
    fn reject_over_limit(&self, report: &FailureReport) -> HttpResponse {
        self.metrics.count(MetricName::LimitsReached, 1);
        // A full logger has no room for this line either.
        let _ = self.lines.try_send(LogLine {
            target: LogTarget::Request,
            level: LogLevel::Warn,
            line: format!("a caller is refused: {}", report.detail),
        });
        http_response::encode_failure(report)
    }
}

/// The running HTTP server.
pub struct HttpServer {
    /// Where it listens, for the gate.
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl HttpServer {
    /// Waits until each request that was taken is answered, then stops the server.
    pub fn shut_down(self) {
        self.stop.store(true, Ordering::Relaxed);
        // A panic of the server's thread leaves nothing to wait for.
        let _ = self.thread.join();
    }
}

/// Starts the HTTP server on a loopback port.
///
/// # Errors
///
/// Returns the system's error when the socket or the thread cannot be set up.
pub fn spawn(context: HandlerContext) -> io::Result<HttpServer> {
    let threads = context.settings.limits.caller_threads.max(1) as usize;
    let server = Server::new("127.0.0.1:0", move |request| respond(&context, request))
        .map_err(io::Error::other)?
        .pool_size(threads);
    let address = server.server_addr();
    let stop = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&stop);
    let thread = thread::Builder::new()
        .name("http-in".into())
        .spawn(move || {
            while !flag.load(Ordering::Relaxed) {
                server.poll_timeout(STOP_POLL_INTERVAL);
            }
            server.join();
        })?;
    Ok(HttpServer {
        address,
        stop,
        thread,
    })
}

fn respond(context: &HandlerContext, request: &Request) -> Response {
    let response = match read_body(request, context.settings.limits.body.0) {
        Ok(body) => handle(context, request, &body),
        Err(report) => http_response::encode_failure(&report),
    };
    encode_response(response)
}

fn encode_response(response: HttpResponse) -> Response {
    let mut encoded = Response::from_data(response.media_type, response.body);
    encoded.status_code = response.status;
    match response.retry_after {
        Some(seconds) => encoded.with_additional_header("Retry-After", seconds.to_string()),
        None => encoded,
    }
}

fn read_body(request: &Request, limit: u64) -> Result<Vec<u8>, FailureReport> {
    let mut bytes = Vec::new();
    if let Some(body) = request.data() {
        body.take(limit + 1)
            .read_to_end(&mut bytes)
            .map_err(|error| {
                let detail = format!("the body cannot be read: {error}");
                FailureReport::new(ErrorKind::BadRequest, detail)
            })?;
    }
    if bytes.len() as u64 > limit {
        let detail = format!("the body takes more than {limit} bytes");
        return Err(FailureReport::new(ErrorKind::TooLarge, detail));
    }
    Ok(bytes)
}

fn handle(context: &HandlerContext, request: &Request, body: &[u8]) -> HttpResponse {
    let headers: Vec<(String, String)> = request
        .headers()
        .map(|(name, value)| (name.to_string(), value.to_string()))
        .collect();
    let path = request.url();
    let parsed = HttpRequest {
        method: request.method(),
        path: &path,
        query: request.raw_query_string(),
        headers: &headers,
        body,
    };
    let port = request.remote_addr().port();
    match route_table::route(&parsed, &context.settings.limits) {
        Ok(RoutedRequest::Health) => http_response::encode_text(200, "alive\n"),
        Ok(RoutedRequest::Reports(reports)) => forward_reports(context, reports),
        Ok(RoutedRequest::Command(command)) => {
            let credential = route_table::credential(&parsed);
            run_command(context, port, credential, command, body)
        }
        Err(report) => http_response::encode_failure(&report),
    }
}

fn forward_reports(context: &HandlerContext, reports: WorkerTasks) -> HttpResponse {
    let input = EventInput::WorkerReport {
        worker: reports.worker,
        tasks: reports.tasks,
    };
    match context.events.blocking_send(input) {
        Ok(()) => http_response::encode_text(200, "taken\n"),
        Err(_) => http_response::encode_failure(&stopped_report()),
    }
}

/// Returns the command to carry out while `exchange` of `threads` threads wait for answers.
///
/// A quarter of the threads is left to short commands: reports of workers, readiness and operators
/// must get through while callers wait. A wait for a job becomes a read of its state.
///
/// # Errors
///
/// Returns a refusal for a short request beyond the rest of the threads.
pub fn admit(
    open: usize,
    threads: usize,
    command: CallerCommand,
) -> Result<CallerCommand, FailureReport> {
    if open < threads - threads / 4 {
        return Ok(command);
    }
    match command {
        CallerCommand::JobWait { team, job, .. } => Ok(CallerCommand::JobStatus { team, job }),
        CallerCommand::Send(_) => Err(FailureReport::new(
            ErrorKind::Overloaded,
            "too many callers wait at this daemon",
        )),
        other => Ok(other),
    }
}

/// Sends a command to the control thread and waits for its response.
fn run_command(
    context: &HandlerContext,
    port: u16,
    credential: CallerCredential,
    command: CallerCommand,
    body: &[u8],
) -> HttpResponse {
    let threads = context.settings.limits.caller_threads as usize;
    let command = match admit(context.exchanges.len(), threads, command) {
        Ok(command) => command,
        Err(report) => return context.reject_over_limit(&report),
    };
    let response_timeout = response_timeout(context, &command);
    let body = match &command {
        CallerCommand::Send(head) => Some(request_body(context, head, body)),
        _ => None,
    };
    let Some(exchange) = context.exchanges.open(Some(port), body) else {
        return context.reject_over_limit(&FailureReport::new(
            ErrorKind::Overloaded,
            "the daemon holds as many open exchanges as it may",
        ));
    };
    let input = EventInput::Caller {
        caller: exchange.caller,
        credential,
        request: command,
    };
    if context.events.blocking_send(input).is_err() {
        context.exchanges.close(exchange.caller);
        return http_response::encode_failure(&stopped_report());
    }
    match exchange.replies.recv_timeout(response_timeout) {
        Ok(reply) => http_response::encode_reply(reply),
        Err(_) => {
            if context.exchanges.close(exchange.caller) {
                let caller = exchange.caller;
                // When the control thread has ended there is nothing left to cancel.
                let _ = context
                    .events
                    .blocking_send(EventInput::CallerDisconnected { caller });
            }
            http_response::encode_failure(&FailureReport::new(
                ErrorKind::OutcomeUnknown,
                "the daemon has not answered in time; ask again with the same key",
            ))
        }
    }
}

fn stopped_report() -> FailureReport {
    FailureReport::new(ErrorKind::NotReady, "the daemon has stopped")
}

/// Returns the longest time to the reducer's response.
fn response_timeout(context: &HandlerContext, command: &CallerCommand) -> Duration {
    match command {
        CallerCommand::JobWait { wait, .. } => Duration::from_millis(wait.0) + RESPONSE_MARGIN,
        CallerCommand::Send(head) => time_to_deadline(context, head) + RESPONSE_MARGIN,
        _ => COMMAND_TIMEOUT,
    }
}

fn time_to_deadline(context: &HandlerContext, head: &RequestHead) -> Duration {
    let default = context.settings.timing.request_deadline;
    let span: TimeSpan = head.deadline.unwrap_or(default);
    // The wait bounds how long one caller takes a thread.
    Duration::from_millis(span.min(route_table::MAX_WAIT).0)
}

fn request_body(context: &HandlerContext, head: &RequestHead, body: &[u8]) -> RequestBody {
    RequestBody {
        key: head.key.clone(),
        deadline: Instant::now() + time_to_deadline(context, head),
        digest: head.digest,
        bytes: body.into(),
    }
}
