//! HTTP server for callers, operators and the reports that workers push.

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

/// Extra time for the reducer's reply after the wait or the deadline of a command. The reducer
/// replies at the deadline; the margin covers its event queue and the next tick.
const RESPONSE_MARGIN: Duration = Duration::from_secs(2);

/// Time limit for a command without a wait. It covers an append, its retry and the read that
/// confirms it.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between two checks of the stop flag while no request arrives.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// State shared by the request handlers.
pub struct HandlerContext {
    /// Sends commands to the control thread.
    pub events: EventSender,
    /// Pending exchanges with callers.
    pub exchanges: Arc<ExchangeTable>,
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Sink for the counter of reached limits.
    pub metrics: MetricSink,
    /// Queue of the logger thread.
    pub lines: Sender<LogLine>,
}

impl HandlerContext {
    /// Counts and logs a reached limit and returns the response for it.
    fn reject_over_limit(&self, report: &FailureReport) -> HttpResponse {
        self.metrics.count(MetricName::LimitsReached, 1);
        // The line is dropped when the queue of the logger is full.
        let _ = self.lines.try_send(LogLine {
            target: LogTarget::Request,
            level: LogLevel::Warn,
            line: format!("request rejected: {}", report.detail),
        });
        http_response::encode_failure(report)
    }
}

/// A running HTTP server.
pub struct HttpServer {
    /// The loopback address that [`crate::front_proxy`] connects to.
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl HttpServer {
    /// Stops the server after it has answered all accepted requests.
    pub fn shut_down(self) {
        self.stop.store(true, Ordering::Relaxed);
        // A panic of the server thread needs no handling during shutdown.
        let _ = self.thread.join();
    }
}

/// Starts the HTTP server on a loopback port that the system assigns.
///
/// # Errors
///
/// Returns the I/O error when the socket or the thread cannot be created.
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
    let mut encoded = Response::from_data(response.content_type, response.body);
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

/// Applies admission control and returns the command to execute, given `open` exchanges and
/// `threads` server threads.
///
/// A quarter of the threads is reserved for short commands, as reports of workers, readiness probes
/// and operators must not be blocked by waiting callers. Above that limit, a wait for a job is
/// replaced by a read of its state.
///
/// # Errors
///
/// Returns [`ErrorKind::Overloaded`] for a short request above the limit.
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

/// Sends a command to the control thread and waits for its reply.
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
                // The send fails only when the control thread has ended, which leaves nothing to
                // cancel.
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

/// Returns the time limit for the reducer's reply.
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
    // A caller must not occupy a thread for longer than the maximum wait.
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
