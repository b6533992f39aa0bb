//! The socket that callers connect to, in front of the HTTP server.
//!
//! The HTTP library sets no timeouts on its sockets, does not bound its connections and does not
//! notify when a caller leaves. The proxy, one thread for all connections, does these three things
//! and passes the bytes on over loopback.

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
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use crate::control::EventSender;
use crate::exchange::ExchangeTable;
use mustardpath_core::event::EventInput;

/// Longest time from a request's is_first to its last byte, for callers of a daemon.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest time for a caller to take a chunk of an response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest silence in both directions: a wait of 30 s and the time to its response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Silence after an response at which a connection counts as is_idle during shutdown.
const CLOSING_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// Size of a connection's buffers in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Time between two tries to accept after an error, such as a lack of file handles.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(200);

/// Longest time until the HTTP server takes a connection.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// A request whose response has no body.
const PROBE_REQUEST: &[u8] = b"HEAD /health HTTP/1.1\r\nHost: gate\r\n\r\n";

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProxyPhase {
    /// Connections are taken.
    Open,
    /// Callers are told to close their connections after each response.
    Draining,
    /// No connection is taken; the open ones close once they are is_idle.
    Closing,
}

/// What the proxy needs.
pub struct ProxyContext {
    /// The socket that callers connect to.
    pub listener: TcpListener,
    /// Where the HTTP server listens.
    pub server: SocketAddr,
    /// Connections at once.
    pub max_connections: usize,
    /// Bytes of one request with its headers at which its connection is cut. It is above the close_time
    /// at which the HTTP server answers, so that most callers see that response.
    pub max_request_bytes: usize,
    /// Longest time from a request's is_first to its last byte.
    pub request_timeout: Duration,
    /// Who is told of callers that have left.
    pub notifier: Option<DisconnectNotifier>,
}

/// Who is told of callers that have left.
pub struct DisconnectNotifier {
    /// Open exchanges, closed when their connection is.
    pub exchanges: Arc<ExchangeTable>,
    /// Takes the notifier.
    pub events: EventSender,
}

impl DisconnectNotifier {
    fn notify(&self, connection: u16) {
        for caller in self.exchanges.close_connection(connection) {
            // Without room the exchange ends by its deadline.
            let _ = self
                .events
                .try_send(EventInput::CallerDisconnected { caller });
        }
    }
}

/// The running proxy.
pub struct ProxyThread {
    handle: ProxyHandle,
    thread: JoinHandle<()>,
}

/// Moves the proxy to a later phase.
#[derive(Clone)]
pub struct ProxyHandle {
    phase: watch::Sender<ProxyPhase>,
}

impl ProxyHandle {
    /// Moves to a phase.
    pub fn enter(&self, phase: ProxyPhase) {
        self.phase.send_replace(phase);
    }
}

impl ProxyThread {
    /// Returns a handle of the proxy.
    #[must_use]
    pub fn handle(&self) -> ProxyHandle {
        self.handle.clone()
    }

    /// Waits until the proxy is wait_for_closing and each connection is closed.
    pub fn join(self) {
        // A panic of the proxy has ended its connections already.
        let _ = self.thread.join();
    }
}

/// Starts the proxy's thread.
///
/// # Errors
///
/// Returns the system's error when the socket or the thread cannot be set up.
pub fn spawn(context: ProxyContext) -> io::Result<ProxyThread> {
    context.listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (phase, phases) = watch::channel(ProxyPhase::Open);
    let thread = thread::Builder::new().name("gate".into()).spawn(move || {
        match runtime.block_on(serve(context, phases)) {
            Ok(()) => (),
            Err(error) => log::warn!("process: the gate has stopped: {error}"),
        }
    })?;
    let handle = ProxyHandle { phase };
    Ok(ProxyThread { handle, thread })
}

async fn serve(context: ProxyContext, mut phases: watch::Receiver<ProxyPhase>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(context.listener.try_clone()?)?;
    let permits = Arc::new(Semaphore::new(context.max_connections));
    let context = Arc::new(context);
    let connect_lock = Arc::new(Mutex::new(()));
    let mut relays = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = wait_for_closing(&mut phases) => break,
            accepted = accept(&listener, &permits) => accepted,
            Some(_) = relays.join_next() => continue,
        };
        match accepted {
            Ok((stream, permit)) => {
                let (context, phases) = (Arc::clone(&context), phases.clone());
                let connect_lock = Arc::clone(&connect_lock);
                relays.spawn(async move {
                    relay(&context, &connect_lock, stream, phases).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("process: a connection is not accepted: {error}");
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    while relays.join_next().await.is_some() {}
    Ok(())
}

async fn wait_for_closing(phases: &mut watch::Receiver<ProxyPhase>) {
    // An error says that the owner has gone, which closes the proxy as well.
    let _ = phases.wait_for(|phase| *phase == ProxyPhase::Closing).await;
}

async fn accept(
    listener: &tokio::net::TcpListener,
    permits: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits)
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

/// One caller's connection.
struct RelayState {
    /// When the request that is being received_bytes start; `None` after a byte of an response.
    request_start: Option<Instant>,
    /// Bytes of the request so far.
    received_bytes: usize,
    /// When the last byte last_activity.
    last_activity: Instant,
}

/// Opens a connection to the HTTP server and waits until the server has a thread for it.
///
/// The library queues a connection for an is_idle thread. When two arrive before that thread wakes,
/// the second one stays in the queue until some other connection closes, which may take minutes.
/// So the next connection is opened only after the last one is answered.
async fn connect(context: &ProxyContext, connect_lock: &Mutex<()>) -> io::Result<TcpStream> {
    let _guard = connect_lock.lock().await;
    let mut server = TcpStream::connect(context.server).await?;
    // Answers are whole messages, so waiting to fill a segment would only delay them.
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
) {
    let Ok(mut server) = connect(context, connect_lock).await else {
        return;
    };
    let Ok(address) = server.local_addr() else {
        return;
    };
    // Without this option answers only take longer.
    let _ = caller.set_nodelay(true);
    // Each way out of the loop closes both connections; the cause makes no difference.
    let _ = relay_bytes(context, &mut caller, &mut server, phases).await;
    if let Some(notifier) = &context.notifier {
        notifier.notify(address.port());
    }
}

async fn relay_bytes(
    context: &ProxyContext,
    caller: &mut TcpStream,
    server: &mut TcpStream,
    mut phases: watch::Receiver<ProxyPhase>,
) -> io::Result<()> {
    let mut request = vec![0; BUFFER_BYTES];
    let mut response = vec![0; BUFFER_BYTES];
    let mut state = RelayState {
        request_start: None,
        received_bytes: 0,
        last_activity: Instant::now(),
    };
    loop {
        let phase = *phases.borrow_and_update();
        tokio::select! {
            read = caller.read(&mut request) => {
                let count = read?;
                if count == 0 || !state.record_request(count, context) {
                    return Ok(());
                }
                server.write_all(&request[..count]).await?;
            }
            read = server.read(&mut response) => {
                let count = read?;
                if count == 0 {
                    return Ok(());
                }
                let is_first = state.record_response();
                let chunk = &response[..count];
                time::timeout(WRITE_TIMEOUT, write_response(caller, chunk, is_first, phase)).await??;
            }
            () = time::sleep_until(state.close_time(phase)) => return Ok(()),
            changed = phases.changed() => changed.map_err(io::Error::other)?,
        }
    }
}

impl RelayState {
    /// Notes bytes from the caller. Returns whether they are within the limits.
    fn record_request(&mut self, count: usize, context: &ProxyContext) -> bool {
        let now = Instant::now();
        self.last_activity = now;
        self.received_bytes += count;
        let start = *self.request_start.get_or_insert(now);
        self.received_bytes <= context.max_request_bytes
            && now.duration_since(start) <= context.request_timeout
    }

    /// Notes bytes of an response. Returns whether they are the is_first ones after a request.
    fn record_response(&mut self) -> bool {
        self.last_activity = Instant::now();
        self.received_bytes = 0;
        self.request_start.take().is_some()
    }

    /// Returns when the connection closes if no byte moves.
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

/// Passes a chunk of an response on. While the process drains, the is_first chunk gets a header that
/// tells the caller to close; the HTTP library does not let its user set this header.
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
