//! HTTP calls to the store and to workers over kept connections.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

use mustardpath_platform::call::HttpCall;

/// Idle connections that are kept for one address.
const IDLE_CONNECTIONS: usize = 4;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No byte of it was sent.
    Undelivered,
    /// No process listens at the address, so no byte of it was sent.
    NoListener,
    /// It may have been carried out, now or later.
    Unknown,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct CallReply {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

type CallSender = SendRequest<Full<Bytes>>;

/// Connections that wait for their next call.
#[derive(Debug, Default)]
pub struct CallPool {
    idle: RefCell<IndexMap<String, Vec<CallSender>>>,
}

impl CallPool {
    /// Makes a call and waits for its answer, at most for `limit`.
    ///
    /// # Errors
    ///
    /// Returns whether the call can have been carried out.
    pub async fn call(
        self: &Rc<Self>,
        address: &str,
        call: HttpCall,
        limit: Duration,
    ) -> Result<CallReply, CallFailure> {
        let sent = RefCell::new(false);
        let ended = time::timeout(limit, self.exchange(address, call, &sent)).await;
        if let Ok(outcome) = ended {
            return outcome;
        }
        // Connections to one address often go silent together.
        self.idle.borrow_mut().swap_remove(address);
        Err(failure(*sent.borrow()))
    }

    async fn exchange(
        &self,
        address: &str,
        call: HttpCall,
        sent: &RefCell<bool>,
    ) -> Result<CallReply, CallFailure> {
        let mut sender = match self.take_idle(address).await {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let request = request(address, call)?;
        *sent.borrow_mut() = true;
        let answer = sender.send_request(request).await.map_err(|error| {
            // A canceled request was never written to the connection.
            failure(!error.is_canceled())
        })?;
        let status = answer.status().as_u16();
        let body = answer.into_body().collect().await;
        let body = body.map_err(|_| CallFailure::Unknown)?.to_bytes();
        self.put_idle(address, sender);
        Ok(CallReply { status, body })
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
        if senders.len() < IDLE_CONNECTIONS && !sender.is_closed() {
            senders.push(sender);
        }
    }
}

const fn failure(is_sent: bool) -> CallFailure {
    if is_sent {
        CallFailure::Unknown
    } else {
        CallFailure::Undelivered
    }
}

async fn connect(address: &str) -> Result<CallSender, CallFailure> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|error| match error.kind() {
        ErrorKind::ConnectionRefused => CallFailure::NoListener,
        _ => CallFailure::Undelivered,
    })?;
    // Without this, small requests wait for the acknowledgement of the one before.
    stream
        .set_nodelay(true)
        .map_err(|_| CallFailure::Undelivered)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| CallFailure::Undelivered)?;
    task::spawn_local(async move {
        // The end of a connection shows at the call that uses it.
        let _ = connection.await;
    });
    Ok(sender)
}

fn request(address: &str, call: HttpCall) -> Result<Request<Full<Bytes>>, CallFailure> {
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header("host", address);
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let body = Full::new(Bytes::from(call.body));
    request.body(body).map_err(|_| CallFailure::Undelivered)
}
