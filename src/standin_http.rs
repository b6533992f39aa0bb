//! HTTP server for the stand-ins. A server runs until the process ends.

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

use crate::client_limits::ClientGate;
use crate::front_proxy;
use crate::front_proxy::ProxyContext;

/// Maximum size of a request body.
const MAX_REQUEST_BYTES: u64 = 16 << 20;

/// Maximum number of open connections, the same as for a worker of the deployments.
const MAX_CONNECTIONS: u32 = 64;

/// Memory of a stand-in's machine, which no request of a daemon uses up.
const MEMORY_BYTES: u64 = 1 << 30;

/// Time for which a request to an unresponsive VM hangs. It exceeds the timeouts of the daemons.
const HANG_TIME: Duration = Duration::from_secs(6);

/// Starts a server with a thread for each open request and returns its address. `name` is the name
/// of the listener thread.
///
/// # Errors
///
/// Returns the I/O error if the socket cannot be bound or the thread cannot be started.
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
        // Half of the descriptors go to clients, and a proxied connection takes three.
        gate: ClientGate::new(MEMORY_BYTES, 6 * MAX_CONNECTIONS, Box::new(|_, _| {})),
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

/// Reads the whole body of a request. Returns `None` if it is too large or truncated.
#[must_use]
pub fn read_body(request: &Request) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let body = request.data()?;
    body.take(MAX_REQUEST_BYTES + 1)
        .read_to_end(&mut bytes)
        .ok()?;
    (bytes.len() as u64 <= MAX_REQUEST_BYTES).then_some(bytes)
}

/// Creates a response with a JSON body.
#[must_use]
pub fn json(status: u16, value: &impl Serialize) -> Response {
    Response::json(value).with_status_code(status)
}

/// Creates a response without a body.
#[must_use]
pub fn empty(status: u16) -> Response {
    Response::text("").with_status_code(status)
}

/// Simulates an unresponsive VM: blocks the request until the timeout of the caller has expired,
/// then returns status 500.
#[must_use]
pub fn hang() -> Response {
    thread::sleep(HANG_TIME);
    empty(500)
}
