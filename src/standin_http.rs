//! HTTP servers of the stand-ins. They run until the process ends.

use std::io;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde::Serialize;

use crate::front_proxy;
use crate::front_proxy::ProxyContext;

/// Largest request that a stand-in takes, in bytes.
const MAX_REQUEST_BYTES: u64 = 16 << 20;

/// Connections that a stand-in takes at once: as many as a worker of the deployments.
const MAX_CONNECTIONS: usize = 64;

/// Time for which a request to a silent VM is held. It is above the timeouts of the daemons.
const HANG_TIME: Duration = Duration::from_secs(6);

/// Starts a server with a thread for each open request and returns its address.
///
/// # Errors
///
/// Returns the system's error when the socket or the thread cannot be set up.
pub fn serve<F>(name: &str, address: &str, handler: F) -> io::Result<SocketAddr>
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let server = Server::new("127.0.0.1:0", handler).map_err(io::Error::other)?;
    let proxy = front_proxy::spawn(ProxyContext {
        listener,
        server: server.server_addr(),
        max_connections: MAX_CONNECTIONS,
        max_request_bytes: usize::MAX,
        request_timeout: front_proxy::REQUEST_TIMEOUT,
        notifier: None,
    })?;
    thread::Builder::new().name(name.into()).spawn(move || {
        server.run();
        drop(proxy);
    })?;
    Ok(address)
}

/// Returns the whole body of a request, or `None` when it is too large or cut off.
#[must_use]
pub fn read_body(request: &Request) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let body = request.data()?;
    body.take(MAX_REQUEST_BYTES + 1)
        .read_to_end(&mut bytes)
        .ok()?;
    (bytes.len() as u64 <= MAX_REQUEST_BYTES).then_some(bytes)
}

/// Returns a JSON answer.
#[must_use]
pub fn json(status: u16, value: &impl Serialize) -> Response {
    Response::json(value).with_status_code(status)
}

/// Returns an answer without a body.
#[must_use]
pub fn empty(status: u16) -> Response {
    Response::text("").with_status_code(status)
}

/// Stands for a VM that does not answer: the caller's timeout ends first.
#[must_use]
pub fn hang() -> Response {
    thread::sleep(HANG_TIME);
    empty(500)
}
