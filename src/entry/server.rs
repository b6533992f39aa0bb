//! HTTP server for callers, for the platform's load balancer and for diagnostics.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
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

/// Maximum number of open connections. Further ones wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 2_000;

/// Path of the counters and histograms.
const METRICS_PATH: &str = "/metrics";

/// Path of the dump of the daemon's state.
const DUMP_PATH: &str = "/dump";

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

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
    /// Number of open connections of callers.
    pub open_connections: Cell<usize>,
}

/// Accepts and serves connections of callers until the task is dropped.
///
/// # Errors
///
/// Returns the I/O error when the listener cannot be registered with the runtime.
pub async fn serve(context: Rc<ServerContext>, listener: TcpListener) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        if context.open_connections.get() >= MAX_CONNECTIONS {
            time::sleep(ACCEPT_BACKOFF).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = Rc::clone(&context);
                task::spawn_local(serve_connection(context, stream));
            }
            Err(error) => {
                log::warn!("process: outcome=accept_failed reason={error:?}");
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(context: Rc<ServerContext>, stream: TcpStream) {
    let _open = OpenConnection::new(&context);
    // With Nagle's algorithm a response would wait for the caller's previous acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handle_request(&context, request));
    // A connection error is visible to the caller and needs no handling here.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Counts an open connection until it is dropped, also by a panic of the task that serves it.
struct OpenConnection<'a> {
    context: &'a ServerContext,
}

impl<'a> OpenConnection<'a> {
    fn new(context: &'a ServerContext) -> Self {
        let count = &context.open_connections;
        count.set(count.get() + 1);
        Self { context }
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        let count = &self.context.open_connections;
        count.set(count.get().saturating_sub(1));
    }
}

async fn handle_request(
    context: &Rc<ServerContext>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let response = if request.uri().path() == queue_api::READY_PATH {
        handle_ready(context).await
    } else {
        let response = respond(context, request).await;
        queue_api::encode(&response)
    };
    Ok(build_response(context, response, JSON_CONTENT_TYPE))
}

/// Serves metrics and state dumps for on-call engineers until the task is dropped.
///
/// # Errors
///
/// Returns the I/O error when the listener cannot be registered with the runtime.
pub async fn serve_diagnostics(
    context: Rc<ServerContext>,
    listener: TcpListener,
) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let context = Rc::clone(&context);
        task::spawn_local(async move {
            let service = service_fn(|request| handle_diagnostics(&context, request));
            // A connection error is visible to the client and needs no handling here.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
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

async fn respond(context: &Rc<ServerContext>, request: Request<Incoming>) -> QueueResponse {
    let (parts, body) = request.into_parts();
    let Ok(body) = Limited::new(body, queue_api::MAX_BODY_BYTES)
        .collect()
        .await
    else {
        let detail = format!(
            "the body has more than {} bytes or is broken",
            queue_api::MAX_BODY_BYTES
        );
        return QueueResponse::Failure(FailureReport::new(ErrorKind::TooLarge, detail));
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
    let call = match queue_api::decode(&head, &body.to_bytes()) {
        Ok(call) => Box::new(call),
        Err(report) => return QueueResponse::Failure(report),
    };
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
