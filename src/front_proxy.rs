//! A TCP proxy between callers and the HTTP server.
//!
//! The HTTP library sets no socket timeouts, does not limit heads or the number of connections and
//! does not detect that a caller has disconnected. The proxy adds these functions and relays the
//! bytes over loopback. It serves all connections on one thread, and connects to the HTTP server
//! only once a request is complete.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use crate::client_limits;
use crate::client_limits::ClientGate;
use crate::client_limits::ClientGuard;
use crate::client_limits::ClientPort;
use crate::client_limits::LimitKind;
use crate::control::EventSender;
use crate::exchange::ExchangeTable;
use crate::request_scan::RequestScan;
use crate::request_scan::ScanStatus;
use mustardpath_core::event::EventInput;

/// Time limit from the first to the last byte of a request to a daemon.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit for writing one chunk of a response to the caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without traffic in either direction after which a connection is closed. It exceeds the
/// maximum wait of 30 s together with the time limit for the reply.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time without traffic after a response before a connection is closed in the `Closing` phase.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// Size of the buffer for one direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// Memory for each byte of a body: the proxy's buffer, which grows by doubling, and in the HTTP
/// server another such buffer, one copy, and what the allocator keeps for the thread.
const BODY_COPIES: u64 = 6;

/// Time limit for sending the response to a refused request.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Response to a head over the limit.
const REFUSED_HEAD: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    Content-Length: 0\r\nConnection: close\r\n\r\n";

/// Response to a request over the limit of its size.
const REFUSED_BODY: &[u8] = b"HTTP/1.1 413 Content Too Large\r\n\
    Content-Length: 0\r\nConnection: close\r\n\r\n";

/// Response to a request over the limit of its time.
const REFUSED_FOR_TIME: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    Content-Length: 0\r\nConnection: close\r\n\r\n";

/// Response to a request with ambiguous or malformed framing.
const INVALID_REQUEST: &[u8] = b"HTTP/1.1 400 Bad Request\r\n\
    Content-Length: 0\r\nConnection: close\r\n\r\n";

/// Interim response to a head that asks for one before its body is sent.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Response to a request for which no memory is left. The HTTP server has not received all of it.
const REFUSED_FOR_MEMORY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Content-Type: application/problem+json\r\nContent-Length: 71\r\nConnection: close\r\n\r\n\
    {\"type\":\"about:blank\",\"title\":\"not ready\",\"status\":503,\"run\":\"not_run\"}";

/// Pause after a failed accept, for example while no file descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(200);

/// Time limit for the HTTP server to answer the probe on a new connection.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Probe request. A response to `HEAD` has no body, so it ends with its headers.
const PROBE_REQUEST: &[u8] = b"HEAD /health HTTP/1.1\r\nHost: gate\r\n\r\n";

/// Phase of the proxy during a graceful shutdown. Phases are entered in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProxyPhase {
    /// Connections are accepted.
    Open,
    /// Connections are accepted, and responses carry `Connection: close`.
    Draining,
    /// The listener is closed, and open connections are closed once they are idle.
    Closing,
}

/// Configuration of a proxy.
pub struct ProxyContext {
    /// The listener for connections of callers.
    pub listener: TcpListener,
    /// Address of the HTTP server.
    pub server: SocketAddr,
    /// Budget and limits of the connections of callers.
    pub gate: Arc<ClientGate>,
    /// Size of a request, headers included, above which its connection is closed. It is larger than
    /// the limit of the HTTP server, so most callers receive the server's error response instead.
    pub max_request_bytes: usize,
    /// Time limit from the first to the last byte of a request.
    pub request_timeout: Duration,
    /// Reports callers that disconnect, if set.
    pub notifier: Option<DisconnectNotifier>,
}

/// Reports callers that disconnect to the control thread.
pub struct DisconnectNotifier {
    /// Pending exchanges, which are closed together with their connection.
    pub exchanges: Arc<ExchangeTable>,
    /// Sends events to the control thread.
    pub events: EventSender,
}

impl DisconnectNotifier {
    fn notify(&self, port: u16) {
        for caller in self.exchanges.close_connection(port) {
            // When the event queue is full, the request ends at its deadline instead.
            let _ = self
                .events
                .try_send(EventInput::CallerDisconnected { caller });
        }
    }
}

/// A running proxy with the thread that serves its connections.
pub struct ProxyThread {
    handle: ProxyHandle,
    thread: JoinHandle<()>,
}

/// Moves a proxy to a later phase. Clones control the same proxy.
#[derive(Clone)]
pub struct ProxyHandle {
    phase: watch::Sender<ProxyPhase>,
}

impl ProxyHandle {
    /// Enters a phase, which takes effect on open connections immediately.
    pub fn enter(&self, phase: ProxyPhase) {
        self.phase.send_replace(phase);
    }
}

impl ProxyThread {
    /// Returns a handle that changes the phase of the proxy.
    #[must_use]
    pub fn handle(&self) -> ProxyHandle {
        self.handle.clone()
    }

    /// Waits until the proxy has entered the `Closing` phase and closed all connections.
    pub fn join(self) {
        // A panic of the proxy thread has closed its connections.
        let _ = self.thread.join();
    }
}

/// Starts a proxy on a thread of its own.
///
/// # Errors
///
/// Returns the I/O error when the socket, the runtime or the thread cannot be set up.
pub fn spawn(context: ProxyContext) -> io::Result<ProxyThread> {
    context.listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (phase, phases) = watch::channel(ProxyPhase::Open);
    let thread = thread::Builder::new().name("gate".into()).spawn(move || {
        match runtime.block_on(serve(context, phases)) {
            Ok(()) => (),
            Err(error) => log::warn!("process: front proxy stopped: {error}"),
        }
    })?;
    let handle = ProxyHandle { phase };
    Ok(ProxyThread { handle, thread })
}

async fn serve(context: ProxyContext, mut phases: watch::Receiver<ProxyPhase>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(context.listener.try_clone()?)?;
    let sweep = tokio::spawn(Arc::clone(&context.gate).sweep());
    let context = Arc::new(context);
    let connect_lock = Arc::new(Mutex::new(()));
    let mut relays = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = wait_for_closing(&mut phases) => break,
            accepted = listener.accept() => accepted,
            Some(_) = relays.join_next() => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(guard) = context.gate.admit(ClientPort::Proxy).await else {
                    continue;
                };
                let (context, phases) = (Arc::clone(&context), phases.clone());
                let connect_lock = Arc::clone(&connect_lock);
                relays.spawn(async move {
                    relay(&context, &connect_lock, stream, phases, &guard).await;
                });
            }
            Err(error) => {
                log::warn!("process: accept failed: {error}");
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    while relays.join_next().await.is_some() {}
    sweep.abort();
    Ok(())
}

async fn wait_for_closing(phases: &mut watch::Receiver<ProxyPhase>) {
    // An error means that all handles have been dropped, which closes the proxy as well.
    let _ = phases.wait_for(|phase| *phase == ProxyPhase::Closing).await;
}

/// State of one relayed connection.
struct RelayState {
    /// Time of the first byte of the current request, or `None` once its response has started.
    request_start: Option<Instant>,
    /// Bytes of the current request that have arrived.
    received_bytes: usize,
    /// Time of the last byte in either direction.
    last_activity: Instant,
}

/// Opens a connection to the HTTP server and waits until a server thread has picked it up.
///
/// The HTTP library queues a new connection for an idle thread. When two connections arrive before
/// that thread wakes up, the second one stays queued until another connection closes, which may
/// take minutes. The proxy therefore opens one connection at a time and waits for the response to a
/// probe on it.
async fn connect(context: &ProxyContext, connect_lock: &Mutex<()>) -> io::Result<TcpStream> {
    let _guard = connect_lock.lock().await;
    let mut server = TcpStream::connect(context.server).await?;
    // Nagle's algorithm would only delay the relayed messages, which are written as a whole.
    server.set_nodelay(true)?;
    time::timeout(PROBE_TIMEOUT, probe(&mut server)).await??;
    Ok(server)
}

async fn probe(server: &mut TcpStream) -> io::Result<()> {
    server.write_all(PROBE_REQUEST).await?;
    let mut response = Vec::new();
    while !response.ends_with(b"\r\n\r\n") {
        if server.read_buf(&mut response).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

async fn relay(
    context: &ProxyContext,
    connect_lock: &Mutex<()>,
    mut caller: TcpStream,
    phases: watch::Receiver<ProxyPhase>,
    guard: &ClientGuard,
) {
    client_limits::bound_buffers(&caller);
    let mut server = None;
    // Both connections are closed when the relay ends, whatever the result.
    tokio::select! {
        _ = relay_bytes(context, connect_lock, &mut caller, &mut server, phases, guard) => {}
        () = guard.closed() => {}
    }
    let address = server.and_then(|server| server.local_addr().ok());
    if let (Some(notifier), Some(address)) = (&context.notifier, address) {
        notifier.notify(address.port());
    }
}

/// Sends the response to a refused request, as far as the caller takes it at once.
async fn refuse(caller: &mut TcpStream, guard: &ClientGuard, kind: LimitKind) {
    let response = match kind {
        LimitKind::Head => REFUSED_HEAD,
        LimitKind::Body => REFUSED_BODY,
        LimitKind::Time => REFUSED_FOR_TIME,
        _ => REFUSED_FOR_MEMORY,
    };
    if kind != LimitKind::Memory {
        guard.report(kind);
    }
    // A caller that does not read the response sees its connection closed.
    let _ = time::timeout(REFUSAL_TIMEOUT, caller.write_all(response)).await;
}

/// Relays requests and responses. A request is written to the HTTP server once it is complete, as
/// an incomplete body would occupy one of the threads of the HTTP library.
async fn relay_bytes(
    context: &ProxyContext,
    connect_lock: &Mutex<()>,
    caller: &mut TcpStream,
    server: &mut Option<TcpStream>,
    mut phases: watch::Receiver<ProxyPhase>,
    guard: &ClientGuard,
) -> io::Result<()> {
    let mut request = vec![0; BUFFER_BYTES];
    let mut response = Vec::new();
    let mut held = Vec::new();
    let mut pending = Vec::new();
    let mut state = RelayState {
        request_start: None,
        received_bytes: 0,
        last_activity: Instant::now(),
    };
    let mut scan = RequestScan::default();
    loop {
        // Bytes that follow a complete request are held until its response starts.
        if !held.is_empty() && scan.status() != ScanStatus::Complete {
            let was_head = scan.status() == ScanStatus::Head;
            let count = scan.push(&held);
            let part: Vec<u8> = held.drain(..count).collect();
            if let Some(kind) = check_part(context, &mut state, guard, &scan, part.len()).await {
                refuse(caller, guard, kind).await;
                return Ok(());
            }
            if scan.status() == ScanStatus::Invalid {
                // A caller that does not read the response sees its connection closed.
                let answer = caller.write_all(INVALID_REQUEST);
                let _ = time::timeout(REFUSAL_TIMEOUT, answer).await;
                return Ok(());
            }
            pending.extend_from_slice(&part);
            if was_head && scan.status() == ScanStatus::Body && scan.expects_continue() {
                if pending.len() as u64 + scan.missing_bytes() > context.max_request_bytes as u64 {
                    refuse(caller, guard, LimitKind::Body).await;
                    return Ok(());
                }
                time::timeout(WRITE_TIMEOUT, caller.write_all(CONTINUE)).await??;
            }
            if scan.status() == ScanStatus::Complete {
                let complete = scan.without_expect(std::mem::take(&mut pending));
                if server.is_none() {
                    *server = Some(connect(context, connect_lock).await?);
                    response = vec![0; BUFFER_BYTES];
                }
                if let Some(server) = server {
                    server.write_all(&complete).await?;
                }
            }
        }
        let phase = *phases.borrow_and_update();
        tokio::select! {
            read = caller.read(&mut request), if held.len() < BUFFER_BYTES => {
                let count = read?;
                if count == 0 {
                    return Ok(());
                }
                guard.record_read(count);
                held.extend_from_slice(&request[..count]);
            }
            read = read_response(server, &mut response) => {
                let count = read?;
                if count == 0 {
                    return Ok(());
                }
                let is_first = state.record_response();
                let chunk = &response[..count];
                guard.record_write(true);
                time::timeout(WRITE_TIMEOUT, write_response(caller, chunk, is_first, phase))
                    .await??;
                guard.record_write(false);
                if is_first {
                    guard.finish_request();
                    scan = RequestScan::default();
                    guard.record_read(held.len());
                }
            }
            () = time::sleep_until(state.close_time(phase)) => return Ok(()),
            changed = phases.changed() => changed.map_err(io::Error::other)?,
        }
    }
}

/// Reads from the HTTP server, or waits if no connection to it is open.
async fn read_response(server: &mut Option<TcpStream>, buffer: &mut [u8]) -> io::Result<usize> {
    match server {
        Some(server) => server.read(buffer).await,
        None => std::future::pending().await,
    }
}

/// Records and charges scanned bytes of a request. Returns the limit that they exceed.
async fn check_part(
    context: &ProxyContext,
    state: &mut RelayState,
    guard: &ClientGuard,
    scan: &RequestScan,
    count: usize,
) -> Option<LimitKind> {
    let exceeded = state.record_request(count, context);
    if exceeded.is_some() {
        return exceeded;
    }
    match scan.status() {
        ScanStatus::HeadTooLarge => return Some(LimitKind::Head),
        // Answered by the caller of this function.
        ScanStatus::Invalid => return None,
        ScanStatus::Head => {}
        ScanStatus::Body => guard.start_body(),
        ScanStatus::Complete => {
            if !guard.complete_request() {
                return Some(LimitKind::Memory);
            }
        }
    }
    let is_granted = !scan.has_body() || guard.reserve(BODY_COPIES * count as u64).await;
    (!is_granted).then_some(LimitKind::Memory)
}

impl RelayState {
    /// Records request bytes. Returns the limit of size or time that the request exceeds.
    fn record_request(&mut self, count: usize, context: &ProxyContext) -> Option<LimitKind> {
        let now = Instant::now();
        self.last_activity = now;
        self.received_bytes += count;
        let start = *self.request_start.get_or_insert(now);
        if self.received_bytes > context.max_request_bytes {
            Some(LimitKind::Body)
        } else if now.duration_since(start) > context.request_timeout {
            Some(LimitKind::Time)
        } else {
            None
        }
    }

    /// Records response bytes. Returns whether they are the first ones after a request.
    fn record_response(&mut self) -> bool {
        self.last_activity = Instant::now();
        self.received_bytes = 0;
        self.request_start.take().is_some()
    }

    /// Returns when the connection is closed unless further bytes arrive.
    fn close_time(&self, phase: ProxyPhase) -> Instant {
        let is_idle = self.request_start.is_none();
        self.last_activity
            + if is_idle && phase == ProxyPhase::Closing {
                CLOSING_IDLE_TIMEOUT
            } else {
                IDLE_TIMEOUT
            }
    }
}

/// Writes a chunk of a response to the caller. While the process drains, `Connection: close` is
/// inserted into the first chunk, as the HTTP library does not allow setting this header.
async fn write_response(
    caller: &mut TcpStream,
    chunk: &[u8],
    is_first: bool,
    phase: ProxyPhase,
) -> io::Result<()> {
    let line_end = chunk.windows(2).position(|pair| pair == b"\r\n");
    match line_end {
        Some(end) if is_first && phase != ProxyPhase::Open => {
            let (line, rest) = chunk.split_at(end + 2);
            let with_close = [line, b"Connection: close\r\n", rest].concat();
            caller.write_all(&with_close).await
        }
        _ => caller.write_all(chunk).await,
    }
}
