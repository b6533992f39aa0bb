//! The socket that callers connect to, in front of the HTTP server.
//!
//! The HTTP library sets no timeouts on its sockets, does not bound its connections and does not
//! tell when a caller leaves. The gate, one thread for all connections, does these three things
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

/// Longest time from a request's first to its last byte, for callers of a daemon.
pub const SEND_TIME: Duration = Duration::from_secs(10);

/// Longest time for a caller to take a part of an answer.
const TAKE_TIME: Duration = Duration::from_secs(10);

/// Longest silence in both directions: a wait of 30 s and the time to its answer.
const SILENCE: Duration = Duration::from_secs(60);

/// Silence after an answer at which a connection counts as idle during shutdown.
const ANSWER_GAP: Duration = Duration::from_millis(200);

/// Size of a connection's buffers in bytes.
const BUFFER: usize = 16 << 10;

/// Time between two tries to accept after an error, such as a lack of file handles.
const ACCEPT_RETRY: Duration = Duration::from_millis(200);

/// Longest time until the HTTP server takes a connection.
const ENTRY_TIME: Duration = Duration::from_secs(5);

/// A request whose answer has no body.
const PROBE: &[u8] = b"HEAD /health HTTP/1.1\r\nHost: gate\r\n\r\n";

/// Where the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GatePhase {
    /// Connections are taken.
    Open,
    /// Callers are told to close their connections after each answer.
    Draining,
    /// No connection is taken; the open ones close once they are idle.
    Closing,
}

/// What the gate needs.
pub struct GateContext {
    /// The socket that callers connect to.
    pub listener: TcpListener,
    /// Where the HTTP server listens.
    pub server: SocketAddr,
    /// Connections at once.
    pub connections: usize,
    /// Bytes of one request with its headers at which its connection is cut. It is above the limit
    /// at which the HTTP server answers, so that most callers see that answer.
    pub request_bytes: usize,
    /// Longest time from a request's first to its last byte.
    pub send_time: Duration,
    /// Who is told of callers that have left.
    pub departures: Option<DepartureNews>,
}

/// Who is told of callers that have left.
pub struct DepartureNews {
    /// Open exchanges, closed when their connection is.
    pub exchanges: Arc<ExchangeTable>,
    /// Takes the news.
    pub events: EventSender,
}

impl DepartureNews {
    fn tell(&self, connection: u16) {
        for caller in self.exchanges.close_connection(connection) {
            // Without room the exchange ends by its deadline.
            let _ = self
                .events
                .try_send(EventInput::CallerDisconnected { caller });
        }
    }
}

/// The running gate.
pub struct GateThread {
    phase: GateSwitch,
    thread: JoinHandle<()>,
}

/// Moves the gate to a later phase.
#[derive(Clone)]
pub struct GateSwitch {
    phase: watch::Sender<GatePhase>,
}

impl GateSwitch {
    /// Moves to a phase.
    pub fn enter(&self, phase: GatePhase) {
        self.phase.send_replace(phase);
    }
}

impl GateThread {
    /// Returns a switch of the gate.
    #[must_use]
    pub fn switch(&self) -> GateSwitch {
        self.phase.clone()
    }

    /// Waits until the gate is closing and each connection is closed.
    pub fn join(self) {
        // A panic of the gate has ended its connections already.
        let _ = self.thread.join();
    }
}

/// Starts the gate's thread.
///
/// # Errors
///
/// Returns the system's error when the socket or the thread cannot be set up.
pub fn spawn(context: GateContext) -> io::Result<GateThread> {
    context.listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (phase, phases) = watch::channel(GatePhase::Open);
    let thread = thread::Builder::new().name("gate".into()).spawn(move || {
        match runtime.block_on(serve(context, phases)) {
            Ok(()) => (),
            Err(error) => log::warn!("process: the gate has stopped: {error}"),
        }
    })?;
    let phase = GateSwitch { phase };
    Ok(GateThread { phase, thread })
}

async fn serve(context: GateContext, mut phases: watch::Receiver<GatePhase>) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(context.listener.try_clone()?)?;
    let slots = Arc::new(Semaphore::new(context.connections));
    let context = Arc::new(context);
    let entry = Arc::new(Mutex::new(()));
    let mut relays = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = closing(&mut phases) => break,
            accepted = accept(&listener, &slots) => accepted,
            Some(_) = relays.join_next() => continue,
        };
        match accepted {
            Ok((stream, slot)) => {
                let (context, phases) = (Arc::clone(&context), phases.clone());
                let entry = Arc::clone(&entry);
                relays.spawn(async move {
                    relay(&context, &entry, stream, phases).await;
                    drop(slot);
                });
            }
            Err(error) => {
                log::warn!("process: a connection is not accepted: {error}");
                time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
    drop(listener);
    while relays.join_next().await.is_some() {}
    Ok(())
}

async fn closing(phases: &mut watch::Receiver<GatePhase>) {
    // An error says that the owner has gone, which closes the gate as well.
    let _ = phases.wait_for(|phase| *phase == GatePhase::Closing).await;
}

async fn accept(
    listener: &tokio::net::TcpListener,
    slots: &Arc<Semaphore>,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots)
        .acquire_owned()
        .await
        .map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, slot))
}

/// One caller's connection.
struct RelayState {
    /// When the request that is being sent began; `None` after a byte of an answer.
    sending: Option<Instant>,
    /// Bytes of the request so far.
    sent: usize,
    /// When the last byte moved.
    moved: Instant,
}

/// Opens a connection to the HTTP server and waits until the server has a thread for it.
///
/// The library queues a connection for an idle thread. When two arrive before that thread wakes,
/// the second one stays in the queue until some other connection closes, which may take minutes.
/// So the next connection is opened only after the last one is answered.
async fn connect(context: &GateContext, entry: &Mutex<()>) -> io::Result<TcpStream> {
    let _turn = entry.lock().await;
    let mut server = TcpStream::connect(context.server).await?;
    // Answers are whole messages, so waiting to fill a segment would only delay them.
    server.set_nodelay(true)?;
    time::timeout(ENTRY_TIME, probe(&mut server)).await??;
    Ok(server)
}

async fn probe(server: &mut TcpStream) -> io::Result<()> {
    server.write_all(PROBE).await?;
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        if server.read_buf(&mut answer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

async fn relay(
    context: &GateContext,
    entry: &Mutex<()>,
    mut caller: TcpStream,
    phases: watch::Receiver<GatePhase>,
) {
    let Ok(mut server) = connect(context, entry).await else {
        return;
    };
    let Ok(address) = server.local_addr() else {
        return;
    };
    // Without this option answers only take longer.
    let _ = caller.set_nodelay(true);
    // Each way out of the loop closes both connections; the cause makes no difference.
    let _ = pass_bytes(context, &mut caller, &mut server, phases).await;
    if let Some(news) = &context.departures {
        news.tell(address.port());
    }
}

async fn pass_bytes(
    context: &GateContext,
    caller: &mut TcpStream,
    server: &mut TcpStream,
    mut phases: watch::Receiver<GatePhase>,
) -> io::Result<()> {
    let mut request = vec![0; BUFFER];
    let mut answer = vec![0; BUFFER];
    let mut state = RelayState {
        sending: None,
        sent: 0,
        moved: Instant::now(),
    };
    loop {
        let phase = *phases.borrow_and_update();
        tokio::select! {
            read = caller.read(&mut request) => {
                let count = read?;
                if count == 0 || !state.note_request(count, context) {
                    return Ok(());
                }
                server.write_all(&request[..count]).await?;
            }
            read = server.read(&mut answer) => {
                let count = read?;
                if count == 0 {
                    return Ok(());
                }
                let first = state.note_answer();
                let part = &answer[..count];
                time::timeout(TAKE_TIME, write_answer(caller, part, first, phase)).await??;
            }
            () = time::sleep_until(state.limit(phase)) => return Ok(()),
            changed = phases.changed() => changed.map_err(io::Error::other)?,
        }
    }
}

impl RelayState {
    /// Notes bytes from the caller. Returns whether they are within the limits.
    fn note_request(&mut self, count: usize, context: &GateContext) -> bool {
        let now = Instant::now();
        self.moved = now;
        self.sent += count;
        let began = *self.sending.get_or_insert(now);
        self.sent <= context.request_bytes && now.duration_since(began) <= context.send_time
    }

    /// Notes bytes of an answer. Returns whether they are the first ones after a request.
    fn note_answer(&mut self) -> bool {
        self.moved = Instant::now();
        self.sent = 0;
        self.sending.take().is_some()
    }

    /// Returns when the connection closes if no byte moves.
    fn limit(&self, phase: GatePhase) -> Instant {
        let idle = self.sending.is_none();
        self.moved
            + if idle && phase == GatePhase::Closing {
                ANSWER_GAP
            } else {
                SILENCE
            }
    }
}

/// Passes a part of an answer on. While the process drains, the first part gets a header that
/// tells the caller to close; the HTTP library does not let its user set this header.
async fn write_answer(
    caller: &mut TcpStream,
    part: &[u8],
    first: bool,
    phase: GatePhase,
) -> io::Result<()> {
    let line_end = part.windows(2).position(|pair| pair == b"\r\n");
    match line_end {
        Some(end) if first && phase != GatePhase::Open => {
            let (line, rest) = part.split_at(end + 2);
            let marked = [line, b"Connection: close\r\n", rest].concat();
            caller.write_all(&marked).await
        }
        _ => caller.write_all(part).await,
    }
}
