//! Connections of callers and of the platform's balancer.

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
use crate::entry::exchange::ExchangeAnswer;
use crate::entry::exchange::OpenExchanges;
use crate::entry::gauges::MetricPage;
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

/// Connections that are served at once. Beyond it, new ones wait in the system's queue.
const CONNECTIONS: usize = 2_000;

/// Path of the page with counters and histograms.
const METRICS_PATH: &str = "/metrics";

/// Path of the page with the daemon's state.
const DUMP_PATH: &str = "/dump";

/// Type of the metrics page.
const TEXT_TYPE: &str = "text/plain; version=0.0.4";

/// Wait after a failed accept, such as one without a free descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What the connections of callers share.
#[derive(Debug)]
pub struct ServeContext {
    /// Takes events to the control thread.
    pub events: EventSender,
    /// Open calls.
    pub exchanges: OpenExchanges,
    /// Counters and histograms.
    pub metrics: MetricPage,
    /// Whether callers are told to close their connections.
    pub closing: Cell<bool>,
    /// Connections that are served.
    pub connections: Cell<usize>,
}

/// Serves a listener until its task is dropped.
///
/// # Errors
///
/// Returns the system's error when the listener cannot be used.
pub async fn serve(context: Rc<ServeContext>, listener: TcpListener) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        if context.connections.get() >= CONNECTIONS {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let context = Rc::clone(&context);
                task::spawn_local(connection(context, stream));
            }
            Err(error) => {
                log::warn!("process: outcome=accept_failed reason={error:?}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(context: Rc<ServeContext>, stream: TcpStream) {
    context.connections.set(context.connections.get() + 1);
    // Without this, answers wait for the caller's acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handle(&context, request));
    // Errors of a connection are the caller's; it sees them itself.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    context.connections.set(context.connections.get() - 1);
}

async fn handle(
    context: &Rc<ServeContext>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let answer = if request.uri().path() == queue_api::READY_PATH {
        ready(context).await
    } else {
        let answer = answer(context, request).await;
        queue_api::encode(&answer)
    };
    Ok(response(context, answer, JSON_CONTENT_TYPE))
}

/// Serves the pages of the person on call until its task is dropped.
///
/// # Errors
///
/// Returns the system's error when the listener cannot be used.
pub async fn serve_pages(context: Rc<ServeContext>, listener: TcpListener) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let context = Rc::clone(&context);
        task::spawn_local(async move {
            let service = service_fn(|request| page(&context, request));
            // Errors of a connection are the reader's; it sees them itself.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn page(
    context: &Rc<ServeContext>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (status, content, body) = match request.uri().path() {
        METRICS_PATH => (200, TEXT_TYPE, context.metrics.text()),
        DUMP_PATH => (200, JSON_CONTENT_TYPE, dump(context).await),
        _ => (404, TEXT_TYPE, format!("{METRICS_PATH} or {DUMP_PATH}\n")),
    };
    let answer = HttpResponse {
        status,
        retry_after: None,
        body: body.into_bytes(),
    };
    Ok(response(context, answer, content))
}

async fn dump(context: &Rc<ServeContext>) -> String {
    let open = OpenCall::new(context);
    let input = BatchInput::Dump {
        caller: open.caller,
    };
    match open.ask(input).await {
        Some(ExchangeAnswer::Dump(dump)) => {
            // The dump is plain data with text keys, which can always be encoded.
            serde_json::to_string_pretty(&dump).unwrap_or_default()
        }
        _ => String::from("{}"),
    }
}

async fn ready(context: &Rc<ServeContext>) -> HttpResponse {
    let open = OpenCall::new(context);
    let input = BatchInput::Probe {
        caller: open.caller,
    };
    let is_ready = matches!(open.ask(input).await, Some(ExchangeAnswer::Readiness(true)));
    HttpResponse {
        status: if is_ready { 200 } else { 503 },
        retry_after: None,
        body: Vec::new(),
    }
}

async fn answer(context: &Rc<ServeContext>, request: Request<Incoming>) -> QueueResponse {
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
    let open = OpenCall::new(context);
    let input = BatchInput::Call {
        caller: open.caller,
        call,
    };
    match open.ask(input).await {
        Some(ExchangeAnswer::Queue(answer)) => answer,
        _ => QueueResponse::Failure(FailureReport::new(
            ErrorKind::OutcomeUnknown,
            "the daemon is ending",
        )),
    }
}

fn response(context: &ServeContext, answer: HttpResponse, content: &str) -> Response<Full<Bytes>> {
    let mut response = Response::builder()
        .status(answer.status)
        .header(header::CONTENT_TYPE, content);
    if let Some(seconds) = answer.retry_after {
        response = response.header(header::RETRY_AFTER, seconds);
    }
    if context.closing.get() {
        response = response.header(header::CONNECTION, "close");
    }
    // Status and headers come from closed lists, so the response can always be built.
    response
        .body(Full::new(Bytes::from(answer.body)))
        .unwrap_or_default()
}

/// An exchange that is closed when its caller leaves.
struct OpenCall<'a> {
    context: &'a ServeContext,
    caller: CallerId,
    receiver: Option<tokio::sync::oneshot::Receiver<ExchangeAnswer>>,
}

impl<'a> OpenCall<'a> {
    fn new(context: &'a ServeContext) -> Self {
        let (caller, receiver) = context.exchanges.open();
        Self {
            context,
            caller,
            receiver: Some(receiver),
        }
    }

    async fn ask(mut self, input: BatchInput) -> Option<ExchangeAnswer> {
        let receiver = self.receiver.take()?;
        self.context
            .events
            .send(EventInput::Batch(input))
            .await
            .ok()?;
        receiver.await.ok()
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.context.exchanges.close(self.caller);
    }
}
