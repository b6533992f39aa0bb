//! HTTP server for callers, for the platform's load balancer and for diagnostics.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use crate::client_limits::BodyBuffer;
use crate::client_limits::BodyError;
use crate::client_limits::ClientGate;
use crate::client_limits::ClientGuard;
use crate::client_limits::ClientPort;
use crate::client_limits::ClientStream;
use crate::client_limits::LimitKind;
use crate::client_limits::MAX_HEAD_BYTES;
use crate::control::EventSender;
use crate::entry::exchange::ExchangeResponse;
use crate::entry::exchange::PendingExchanges;
use crate::entry::metrics::MetricRegistry;
use mustardpath_core::batch::message::BatchInput;
use mustardpath_core::batch::message::QueueResponse;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::CallerId;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::kind::FailureReport;
use mustardpath_platform::http::HttpResponse;
use mustardpath_platform::http::JSON_CONTENT_TYPE;
use mustardpath_platform::queue_api;
use mustardpath_platform::queue_api::QueueCallHead;

/// Path of the counters and histograms.
const METRICS_PATH: &str = "/metrics";

/// Path of the dump of the daemon's state.
const DUMP_PATH: &str = "/dump";

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Maximum number of fields in a head. A head within the limit on its size can have several hundred.
const MAX_HEADER_FIELDS: usize = 1_024;

/// Pause after a failed accept, for example while no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// State shared by all connections.
#[derive(Debug)]
pub struct ServerContext {
    /// Sends events to the control thread.
    pub events: EventSender,
    /// Requests that await the control thread's response.
    pub exchanges: PendingExchanges,
    /// Counters and histograms of the daemon.
    pub metrics: MetricRegistry,
    /// Whether responses carry `Connection: close`, which is set while the daemon drains.
    pub is_closing: Cell<bool>,
    /// Budget and limits of the connections of clients.
    pub gate: Arc<ClientGate>,
}

/// Accepts and serves connections at one port until the task is dropped.
///
/// # Errors
///
/// Returns the I/O error when the listener cannot be registered with the runtime.
pub async fn serve(
    context: Rc<ServerContext>,
    listener: TcpListener,
    port: ClientPort,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(guard) = context.gate.admit(port).await else {
                    continue;
                };
                let context = Rc::clone(&context);
                task::spawn_local(serve_connection(context, stream, guard, port));
            }
            Err(error) => {
                log::warn!("process: outcome=accept_failed reason={error:?}");
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(
    context: Rc<ServerContext>,
    stream: TcpStream,
    guard: ClientGuard,
    port: ClientPort,
) {
    let guard = Arc::new(guard);
    let stream = ClientStream::new(stream, Arc::clone(&guard));
    let service = service_fn(|request: Request<Incoming>| async {
        guard.start_body();
        let response = match port {
            ClientPort::Diagnostics => {
                let _ = guard.complete_request();
                handle_diagnostics(&context, request).await
            }
            _ => handle_request(&context, &guard, request, port).await,
        };
        guard.finish_request();
        response
    });
    let connection = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADER_FIELDS)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        result = connection => {
            // A connection error is visible to the caller, except for its count.
            if result.is_err_and(|error| error.is_parse_too_large()) {
                guard.report(LimitKind::Head);
            }
        }
        () = guard.closed() => {}
    }
}

async fn handle_request(
    context: &Rc<ServerContext>,
    guard: &ClientGuard,
    request: Request<Incoming>,
    port: ClientPort,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let response = if request.uri().path() == queue_api::READY_PATH {
        let _ = guard.complete_request();
        handle_ready(context).await
    } else if port == ClientPort::Readiness {
        // Calls that wait for a slow store would take all connections of the probe.
        HttpResponse {
            status: 404,
            retry_after: None,
            body: Vec::new(),
        }
    } else {
        let response = respond(context, guard, request).await;
        queue_api::encode(&response)
    };
    Ok(build_response(context, response, JSON_CONTENT_TYPE))
}

async fn handle_diagnostics(
    context: &Rc<ServerContext>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, content_type, body) = match request.uri().path() {
        METRICS_PATH => (200, METRICS_CONTENT_TYPE, context.metrics.render()),
        DUMP_PATH => (200, JSON_CONTENT_TYPE, handle_dump(context).await),
        _ => (
            404,
            METRICS_CONTENT_TYPE,
            format!("{METRICS_PATH} or {DUMP_PATH}\n"),
        ),
    };
    let response = HttpResponse {
        status,
        retry_after: None,
        body: body.into_bytes(),
    };
    Ok(build_response(context, response, content_type))
}

async fn handle_dump(context: &Rc<ServerContext>) -> String {
    let exchange = PendingExchange::new(context);
    let input = BatchInput::Dump {
        caller: exchange.caller,
    };
    match exchange.send(input).await {
        Some(ExchangeResponse::Dump(dump)) => {
            // Plain data with string keys can always be encoded as JSON.
            serde_json::to_string_pretty(&dump).unwrap_or_default()
        }
        _ => String::from("{}"),
    }
}

async fn handle_ready(context: &Rc<ServerContext>) -> HttpResponse {
    let exchange = PendingExchange::new(context);
    let input = BatchInput::Probe {
        caller: exchange.caller,
    };
    let is_ready = matches!(
        exchange.send(input).await,
        Some(ExchangeResponse::Readiness(true))
    );
    HttpResponse {
        status: if is_ready { 200 } else { 503 },
        retry_after: None,
        body: Vec::new(),
    }
}

/// Reads a body frame by frame. Each frame is copied, as it refers to the whole read buffer.
async fn read_body(guard: &ClientGuard, mut body: Incoming) -> Result<BodyBuffer, FailureReport> {
    let mut buffer = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| FailureReport::new(ErrorKind::BadRequest, "broken body"))?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        let result = buffer.extend(guard, &part, queue_api::MAX_BODY_BYTES).await;
        result.map_err(body_failure)?;
    }
    if !guard.complete_request() {
        return Err(body_failure(BodyError::NoMemory));
    }
    // The decoded job takes about twice the memory of its text.
    if !guard.reserve(2 * buffer.bytes().len() as u64).await {
        return Err(body_failure(BodyError::NoMemory));
    }
    Ok(buffer)
}

fn body_failure(error: BodyError) -> FailureReport {
    match error {
        BodyError::TooLarge => FailureReport::new(
            ErrorKind::TooLarge,
            format!("the body has more than {} bytes", queue_api::MAX_BODY_BYTES),
        ),
        BodyError::NoMemory => FailureReport::new(
            ErrorKind::NotReady,
            "the memory for requests of clients is used up",
        ),
    }
}

async fn respond(
    context: &Rc<ServerContext>,
    guard: &ClientGuard,
    request: Request<Incoming>,
) -> QueueResponse {
    let (parts, body) = request.into_parts();
    let body = match read_body(guard, body).await {
        Ok(body) => body,
        Err(report) => return QueueResponse::Failure(report),
    };
    let text = |name: &str| parts.headers.get(name)?.to_str().ok();
    let host = text("host")
        .or_else(|| parts.uri.host())
        .unwrap_or_default();
    let head = QueueCallHead {
        method: parts.method.as_str(),
        path: parts.uri.path(),
        host: host.split(':').next().unwrap_or_default(),
        authorization: text("authorization"),
        deadline: text(queue_api::DEADLINE_HEADER),
    };
    let call = match queue_api::decode(&head, body.bytes()) {
        Ok(call) => Box::new(call),
        Err(report) => return QueueResponse::Failure(report),
    };
    drop(body);
    let exchange = PendingExchange::new(context);
    let input = BatchInput::Call {
        caller: exchange.caller,
        call,
    };
    match exchange.send(input).await {
        Some(ExchangeResponse::Queue(response)) => response,
        _ => QueueResponse::Failure(FailureReport::new(
            ErrorKind::OutcomeUnknown,
            "the daemon is ending",
        )),
    }
}

fn build_response(
    context: &ServerContext,
    response: HttpResponse,
    content_type: &str,
) -> Response<Full<Bytes>> {
    let mut builder = Response::builder()
        .status(response.status)
        .header(header::CONTENT_TYPE, content_type);
    if let Some(seconds) = response.retry_after {
        builder = builder.header(header::RETRY_AFTER, seconds);
    }
    if context.is_closing.get() {
        builder = builder.header(header::CONNECTION, "close");
    }
    // Status and headers come from fixed sets, so building the response cannot fail.
    builder
        .body(Full::new(Bytes::from(response.body)))
        .unwrap_or_default()
}

/// An open exchange. Dropping it, as hyper does when the caller disconnects, closes the exchange.
struct PendingExchange<'a> {
    context: &'a ServerContext,
    caller: CallerId,
    receiver: Option<tokio::sync::oneshot::Receiver<ExchangeResponse>>,
}

impl<'a> PendingExchange<'a> {
    fn new(context: &'a ServerContext) -> Self {
        let (caller, receiver) = context.exchanges.open();
        Self {
            context,
            caller,
            receiver: Some(receiver),
        }
    }

    async fn send(mut self, input: BatchInput) -> Option<ExchangeResponse> {
        let receiver = self.receiver.take()?;
        self.context
            .events
            .send(EventInput::Batch(input))
            .await
            .ok()?;
        receiver.await.ok()
    }
}

impl Drop for PendingExchange<'_> {
    fn drop(&mut self) {
        self.context.exchanges.close(self.caller);
    }
}
