//! HTTP client with connection pooling for calls to the store and to workers.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use mustardpath_platform::http::HttpRequest;

/// Maximum number of idle connections that the pool keeps per address.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Maximum time between two frames of a response body.
///
/// The body as a whole has no time limit. A full page of records takes long on a link that many
/// daemons read over at once, and retrying an aborted read would only keep the link saturated.
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Reason why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection failed before any byte of the request was sent.
    Undelivered,
    /// The request was sent, but no complete response arrived. It may still be executed.
    Unknown,
}

/// A complete response of the store or of a worker.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// HTTP status code, which may report an error.
    pub status: u16,
    /// Body, whose size is not limited.
    pub body: Bytes,
}

type CallSender = SendRequest<Full<Bytes>>;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct CallPool {
    idle: RefCell<IndexMap<String, Vec<CallSender>>>,
}

impl CallPool {
    /// Sends a request and reads the whole response.
    ///
    /// `timeout` covers the time until the response headers arrive. The body is then read for as
    /// long as its frames keep arriving in time.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have been executed.
    pub async fn call(
        &self,
        address: &str,
        request: HttpRequest,
        timeout: Duration,
    ) -> Result<CallResponse, CallError> {
        let is_sent = Cell::new(false);
        let result = time::timeout(timeout, self.send_request(address, request, &is_sent)).await;
        let (response, sender) = result.unwrap_or_else(|_| {
            self.remove_idle(address);
            Err(call_error(is_sent.get()))
        })?;
        let status = response.status().as_u16();
        let body = collect_body(response.into_body()).await.inspect_err(|_| {
            self.remove_idle(address);
        })?;
        self.put_idle(address, sender);
        Ok(CallResponse { status, body })
    }

    async fn send_request(
        &self,
        address: &str,
        request: HttpRequest,
        is_sent: &Cell<bool>,
    ) -> Result<(Response<Incoming>, CallSender), CallError> {
        let mut sender = match self.take_idle(address).await {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let request = build_request(address, request)?;
        is_sent.set(true);
        let response = sender.send_request(request).await.map_err(|error| {
            // A canceled request has not been written to the connection.
            call_error(!error.is_canceled())
        })?;
        Ok((response, sender))
    }

    /// Closes the idle connections to an address. Connections to one address often stall together.
    fn remove_idle(&self, address: &str) {
        self.idle.borrow_mut().swap_remove(address);
    }

    async fn take_idle(&self, address: &str) -> Option<CallSender> {
        loop {
            let mut sender = self.idle.borrow_mut().get_mut(address)?.pop()?;
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    fn put_idle(&self, address: &str, sender: CallSender) {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.entry(address.to_owned()).or_default();
        if senders.len() < MAX_IDLE_CONNECTIONS && !sender.is_closed() {
            senders.push(sender);
        }
    }
}

async fn collect_body(mut body: Incoming) -> Result<Bytes, CallError> {
    let mut bytes = Vec::new();
    loop {
        let frame = time::timeout(BODY_STALL_TIMEOUT, body.frame()).await;
        let frame = frame.map_err(|_| CallError::Unknown)?;
        let Some(frame) = frame else {
            return Ok(Bytes::from(bytes));
        };
        let frame = frame.map_err(|_| CallError::Unknown)?;
        if let Some(data) = frame.data_ref() {
            bytes.extend_from_slice(data);
        }
    }
}

const fn call_error(is_sent: bool) -> CallError {
    if is_sent {
        CallError::Unknown
    } else {
        CallError::Undelivered
    }
}

async fn connect(address: &str) -> Result<CallSender, CallError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| CallError::Undelivered)?;
    // With Nagle's algorithm a small request would wait for the previous acknowledgement.
    stream
        .set_nodelay(true)
        .map_err(|_| CallError::Undelivered)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallError::Undelivered)?;
    task::spawn_local(async move {
        // The call that uses the connection reports its failure.
        let _ = connection.await;
    });
    Ok(sender)
}

fn build_request(address: &str, request: HttpRequest) -> Result<Request<Full<Bytes>>, CallError> {
    let mut builder = Request::builder()
        .method(request.method)
        .uri(request.path)
        .header("host", address);
    for (name, value) in request.headers {
        builder = builder.header(name, value);
    }
    let body = Full::new(Bytes::from(request.body));
    builder.body(body).map_err(|_| CallError::Undelivered)
}
