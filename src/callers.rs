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
use crate::logs::LogLine;
use crate::metrics::MetricSink;
use crate::problem;
use crate::problem::HttpAnswer;
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

/// Time for the reducer's answer beyond the wait or the deadline that the command names. The
/// reducer answers at the deadline; this covers its queue and the next tick.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// Time for the answer to a command without a wait: an append, its resend and its read-back.
const COMMAND_TIME: Duration = Duration::from_secs(30);

/// Time between two looks at the stop flag while no request comes.
const STOP_CHECK: Duration = Duration::from_millis(500);

/// What the threads of callers need.
pub struct CallerContext {
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

impl CallerContext {
    /// Counts and logs a limit that is reached and returns its answer.
    fn refuse_for_limit(&self, report: &FailureReport) -> HttpAnswer {
        self.metrics.count(MetricName::LimitsReached, 1);
        // A full logger has no room for this line either.
        let _ = self.lines.try_send(LogLine {
            target: LogTarget::Request,
            level: LogLevel::Warn,
            line: format!("a caller is refused: {}", report.detail),
        });
        problem::encode_failure(report)
    }
}

/// The running HTTP server.
pub struct CallerServer {
    /// Where it listens, for the gate.
    pub address: SocketAddr,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl CallerServer {
    /// Waits until each request that was taken is answered, then stops the server.
    pub fn finish(self) {
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
pub fn spawn(context: CallerContext) -> io::Result<CallerServer> {
    let threads = context.settings.limits.caller_threads.max(1) as usize;
    let server = Server::new("127.0.0.1:0", move |request| answer(&context, request))
        .map_err(io::Error::other)?
        .pool_size(threads);
    let address = server.server_addr();
    let stop = Arc::new(AtomicBool::new(false));
    let flag = Arc::clone(&stop);
    let thread = thread::Builder::new()
        .name("http-in".into())
        .spawn(move || {
            while !flag.load(Ordering::Relaxed) {
                server.poll_timeout(STOP_CHECK);
            }
            server.join();
        })?;
    Ok(CallerServer {
        address,
        stop,
        thread,
    })
}

fn answer(context: &CallerContext, request: &Request) -> Response {
    let answer = match read_body(request, context.settings.limits.body.0) {
        Ok(body) => handle(context, request, &body),
        Err(report) => problem::encode_failure(&report),
    };
    encode_response(answer)
}

fn encode_response(answer: HttpAnswer) -> Response {
    let mut response = Response::from_data(answer.media, answer.body);
    response.status_code = answer.status;
    match answer.retry_after {
        Some(seconds) => response.with_additional_header("Retry-After", seconds.to_string()),
        None => response,
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

fn handle(context: &CallerContext, request: &Request, body: &[u8]) -> HttpAnswer {
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
    let connection = request.remote_addr().port();
    match route_table::route(&parsed, &context.settings.limits) {
        Ok(RoutedRequest::Health) => problem::encode_text(200, "alive\n"),
        Ok(RoutedRequest::Reports(reports)) => pass_reports(context, reports),
        Ok(RoutedRequest::Command(command)) => {
            let credential = route_table::credential(&parsed);
            exchange(context, connection, credential, command, body)
        }
        Err(report) => problem::encode_failure(&report),
    }
}

fn pass_reports(context: &CallerContext, reports: WorkerTasks) -> HttpAnswer {
    let input = EventInput::WorkerReport {
        worker: reports.worker,
        tasks: reports.tasks,
    };
    match context.events.blocking_send(input) {
        Ok(()) => problem::encode_text(200, "taken\n"),
        Err(_) => problem::encode_failure(&stopped()),
    }
}

/// Returns the command to carry out while `open` of `threads` threads wait for answers.
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

/// Sends a command to the control thread and waits for its answer.
fn exchange(
    context: &CallerContext,
    connection: u16,
    credential: CallerCredential,
    command: CallerCommand,
    body: &[u8],
) -> HttpAnswer {
    let threads = context.settings.limits.caller_threads as usize;
    let command = match admit(context.exchanges.len(), threads, command) {
        Ok(command) => command,
        Err(report) => return context.refuse_for_limit(&report),
    };
    let patience = patience(context, &command);
    let held = match &command {
        CallerCommand::Send(head) => Some(request_body(context, head, body)),
        _ => None,
    };
    let Some(open) = context.exchanges.open(Some(connection), held) else {
        return context.refuse_for_limit(&FailureReport::new(
            ErrorKind::Overloaded,
            "the daemon holds as many open exchanges as it may",
        ));
    };
    let input = EventInput::Caller {
        caller: open.caller,
        credential,
        request: command,
    };
    if context.events.blocking_send(input).is_err() {
        context.exchanges.close(open.caller);
        return problem::encode_failure(&stopped());
    }
    match open.replies.recv_timeout(patience) {
        Ok(reply) => problem::encode_reply(reply),
        Err(_) => {
            if context.exchanges.close(open.caller) {
                let caller = open.caller;
                // When the control thread has ended there is nothing left to cancel.
                let _ = context
                    .events
                    .blocking_send(EventInput::CallerDisconnected { caller });
            }
            problem::encode_failure(&FailureReport::new(
                ErrorKind::OutcomeUnknown,
                "the daemon has not answered in time; ask again with the same key",
            ))
        }
    }
}

fn stopped() -> FailureReport {
    FailureReport::new(ErrorKind::NotReady, "the daemon has stopped")
}

/// Returns the longest time to the reducer's answer.
fn patience(context: &CallerContext, command: &CallerCommand) -> Duration {
    match command {
        CallerCommand::JobWait { wait, .. } => Duration::from_millis(wait.0) + ANSWER_TIME,
        CallerCommand::Send(head) => deadline_of(context, head) + ANSWER_TIME,
        _ => COMMAND_TIME,
    }
}

fn deadline_of(context: &CallerContext, head: &RequestHead) -> Duration {
    let default = context.settings.timing.request_deadline;
    let span: TimeSpan = head.deadline.unwrap_or(default);
    // The wait bounds how long one caller takes a thread.
    Duration::from_millis(span.min(route_table::LONGEST_WAIT).0)
}

fn request_body(context: &CallerContext, head: &RequestHead, body: &[u8]) -> RequestBody {
    RequestBody {
        key: head.key.clone(),
        deadline: Instant::now() + deadline_of(context, head),
        digest: head.digest,
        bytes: body.into(),
    }
}
