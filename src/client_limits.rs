//! Budget and limits of the connections that clients open.
//!
//! One gate for each process accounts for all connections at all ports. When memory or connections
//! run short, connections without a complete request are closed, the least advanced one first.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use indexmap::IndexMap;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time;
use tokio::time::Instant;

use mustardpath_core::effect::MetricName;

/// Maximum size of a head. The specification allows 16,384 bytes.
pub const MAX_HEAD_BYTES: usize = 17 << 10;

/// Time limit for a head. The specification allows 3 s.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit between two requests. The specification allows 15 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time limit between two parts of a body.
const BODY_PROGRESS_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for a whole request. Callers wait about 3 s for their answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for progress of an answer that the client does not take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without traffic after which a peer's connection is closed. Peers send heartbeats every 2 s.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(70);

/// Interval between two checks of the time limits.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// How long a buffer or a connection waits until closed connections have returned their memory.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections of each port for probes and diagnostics.
const PROBE_CONNECTIONS: usize = 32;

/// Maximum number of connections from peers. A deployment has 8 to 9 daemons.
const PEER_CONNECTIONS: usize = 64;

/// Size of the largest message of a peer. Ledgers are sent in pieces of 32 KiB.
pub const MAX_PEER_MESSAGE_BYTES: usize = 512 << 10;

/// Receive buffer of a connection without a granted body. The kernel doubles the value.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Receive buffer once memory is granted for a body, so that long links are used.
const BODY_RECEIVE_BUFFER_BYTES: usize = 64 << 10;

/// Send buffer of a connection, which bounds answers that a client does not take.
const SEND_BUFFER: usize = 32 << 10;

/// Bytes credited to each connection in the measure of its progress.
const BYTE_CREDIT: u64 = 16 << 10;

/// Milliseconds added to the age in the measure of progress, so that the rate of a new connection
/// stays finite.
const AGE_OFFSET_MS: u64 = 50;

/// A kind of port that clients can reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPort {
    /// Callers of a daemon on the users' platform.
    Callers,
    /// The readiness probe.
    Readiness,
    /// Metrics and dumps.
    Diagnostics,
    /// Callers of a standalone daemon, behind the front proxy.
    Proxy,
    /// Other daemons.
    Peers,
}

impl ClientPort {
    /// Returns the memory that a connection holds without a body.
    const fn connection_bytes(self) -> u64 {
        match self {
            Self::Callers | Self::Readiness | Self::Diagnostics => 24 << 10,
            // Two relay buffers, and a thread of the HTTP library with its buffers and stack.
            Self::Proxy => 96 << 10,
            Self::Peers => MAX_PEER_MESSAGE_BYTES as u64,
        }
    }

    /// Returns the number of descriptors of a connection.
    const fn descriptors(self) -> usize {
        match self {
            // The caller's connection and both ends of the connection to the HTTP server.
            Self::Proxy => 3,
            _ => 1,
        }
    }
}

/// Why a connection is closed or a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitKind {
    /// A connection was closed to make room for others.
    Shed,
    /// A connection was refused because all others are busy with complete requests.
    Connections,
    /// A request was refused for lack of memory.
    Memory,
    /// A head was too large.
    Head,
    /// A body was too large.
    Body,
    /// A request, an answer or a pause took too long.
    Time,
}

impl LimitKind {
    const fn metric(self) -> MetricName {
        match self {
            Self::Shed => MetricName::ClientsShed,
            Self::Connections => MetricName::ClientsRefused,
            Self::Memory => MetricName::ClientMemoryRefused,
            Self::Head => MetricName::ClientHeadsRefused,
            Self::Body => MetricName::ClientBodiesRefused,
            Self::Time => MetricName::ClientsTimedOut,
        }
    }
}

/// Receives a metric to count, and a line to log when the kind has not been logged recently.
pub type LimitReporter = Box<dyn Fn(MetricName, Option<String>) + Send + Sync>;

/// Stage of the current request of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestStage {
    Idle,
    Head,
    Body,
    Complete,
}

struct ClientEntry {
    port: ClientPort,
    stage: RequestStage,
    request_start: Instant,
    last_progress: Instant,
    blocked_since: Option<Instant>,
    received_bytes: u64,
    body_bytes: u64,
    is_closing: bool,
    close: Arc<Notify>,
}

impl ClientEntry {
    /// Returns the average receive rate in bytes per second. [`BYTE_CREDIT`] is added to the bytes, so
    /// that new connections rank above stalled ones.
    fn progress(&self, now: Instant) -> u64 {
        let (start, bytes) = match self.port {
            ClientPort::Peers => (self.last_progress, 0),
            _ => (self.request_start, self.received_bytes),
        };
        let age = u64::try_from(now.duration_since(start).as_millis()).unwrap_or(u64::MAX / 2);
        (bytes + BYTE_CREDIT) * 1_000 / (age + AGE_OFFSET_MS)
    }

    fn is_expired(&self, now: Instant) -> bool {
        let is_over = |since: Instant, limit| now.duration_since(since) > limit;
        if self
            .blocked_since
            .is_some_and(|since| is_over(since, WRITE_TIMEOUT))
        {
            return true;
        }
        match (self.port, self.stage) {
            (ClientPort::Peers, _) => is_over(self.last_progress, PEER_IDLE_TIMEOUT),
            (_, RequestStage::Idle) => is_over(self.last_progress, IDLE_TIMEOUT),
            (_, RequestStage::Head) => is_over(self.request_start, HEAD_TIMEOUT),
            (_, RequestStage::Body) => {
                is_over(self.last_progress, BODY_PROGRESS_TIMEOUT)
                    || is_over(self.request_start, REQUEST_TIMEOUT)
            }
            (_, RequestStage::Complete) => false,
        }
    }
}

#[derive(Default)]
struct GateState {
    last_id: u64,
    connection_bytes: u64,
    body_bytes: u64,
    entries: IndexMap<u64, ClientEntry>,
    logged: IndexMap<LimitKind, (Instant, u64)>,
}

impl GateState {
    /// Returns the bodies' bytes and the connections of the port that are about to be released.
    fn closing(&self, port: ClientPort) -> (u64, usize) {
        let closing = self.entries.values().filter(|entry| entry.is_closing);
        closing.fold((0, 0), |(bytes, count), entry| {
            let is_same = usize::from(entry.port == port);
            (bytes + entry.body_bytes, count + is_same)
        })
    }

    /// Returns the least advanced of the connections that hold no complete request, and that meet
    /// the condition.
    fn least_advanced(
        &self,
        now: Instant,
        is_candidate: impl Fn(u64, &ClientEntry) -> bool,
    ) -> Option<u64> {
        let entries = self.entries.iter().filter(|(id, entry)| {
            let is_complete = entry.stage == RequestStage::Complete;
            !entry.is_closing && !is_complete && is_candidate(**id, entry)
        });
        let least = entries.min_by_key(|(_, entry)| entry.progress(now));
        least.map(|(id, _)| *id)
    }

    fn close(&mut self, id: u64) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_closing = true;
            entry.close.notify_one();
        }
    }
}

/// The budget and the connections of all ports of a process.
pub struct ClientGate {
    budget: u64,
    descriptors: usize,
    state: Mutex<GateState>,
    released: Notify,
    reporter: LimitReporter,
}

impl fmt::Debug for ClientGate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ClientGate")
            .field("budget", &self.budget)
            .finish_non_exhaustive()
    }
}

impl ClientGate {
    /// Creates the gate of a machine with `memory` bytes and `descriptors` descriptors.
    #[must_use]
    pub fn new(memory: u64, descriptors: u32, reporter: LimitReporter) -> Arc<Self> {
        Arc::new(Self {
            budget: memory / 4,
            descriptors: descriptors as usize / 2,
            state: Mutex::default(),
            released: Notify::new(),
            reporter,
        })
    }

    fn lock(&self) -> MutexGuard<'_, GateState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the part of the budget for bodies. It is apart from that for connections, so that
    /// callers can connect, and be refused with a response, while bodies use up their part.
    const fn body_budget(&self, port: ClientPort) -> u64 {
        match port {
            ClientPort::Callers | ClientPort::Readiness | ClientPort::Diagnostics => {
                self.budget / 2
            }
            // A standalone daemon needs the other quarter for its peers.
            ClientPort::Proxy | ClientPort::Peers => self.budget / 4,
        }
    }

    /// Returns the maximum number of connections of a port.
    #[must_use]
    pub fn max_connections(&self, port: ClientPort) -> usize {
        let part = match port {
            ClientPort::Peers => self.budget / 4,
            _ => self.budget / 2,
        };
        let bytes = part / port.connection_bytes();
        let by_memory = usize::try_from(bytes).unwrap_or(usize::MAX);
        let limit = match port {
            ClientPort::Readiness | ClientPort::Diagnostics => return PROBE_CONNECTIONS,
            ClientPort::Peers => PEER_CONNECTIONS.min(self.descriptors / 4),
            _ => self.descriptors / port.descriptors(),
        };
        by_memory.min(limit).max(1)
    }

    /// Returns the memory that is charged to all connections.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        let state = self.lock();
        state.connection_bytes + state.body_bytes
    }

    /// Admits an accepted connection, if need be in place of the least advanced one of its port.
    /// Returns `None` when all connections are busy with complete requests.
    pub async fn admit(self: &Arc<Self>, port: ClientPort) -> Option<ClientGuard> {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        loop {
            let released = self.released.notified();
            if let Some(guard) = self.try_admit(port) {
                return Some(guard);
            }
            if time::timeout_at(deadline, released).await.is_err() {
                self.report(LimitKind::Connections, port);
                return None;
            }
        }
    }

    fn try_admit(self: &Arc<Self>, port: ClientPort) -> Option<ClientGuard> {
        let now = Instant::now();
        let mut state = self.lock();
        let entries = state.entries.values();
        let count = entries.filter(|entry| entry.port == port).count();
        if count >= self.max_connections(port) {
            if state.closing(port).1 == 0 {
                let victim = state.least_advanced(now, |_, entry| entry.port == port)?;
                state.close(victim);
                drop(state);
                self.report(LimitKind::Shed, port);
            }
            return None;
        }
        state.last_id += 1;
        let id = state.last_id;
        let close = Arc::new(Notify::new());
        let entry = ClientEntry {
            port,
            stage: RequestStage::Idle,
            request_start: now,
            last_progress: now,
            blocked_since: None,
            received_bytes: 0,
            body_bytes: 0,
            is_closing: false,
            close: Arc::clone(&close),
        };
        state.connection_bytes += port.connection_bytes();
        state.entries.insert(id, entry);
        Some(ClientGuard {
            gate: Arc::clone(self),
            id,
            port,
            close,
        })
    }

    /// Closes connections that have exceeded a time limit, until the task is dropped.
    pub async fn sweep(self: Arc<Self>) {
        loop {
            time::sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            let mut state = self.lock();
            let entries = state.entries.iter();
            let expired: Vec<(u64, ClientPort)> = entries
                .filter(|(_, entry)| !entry.is_closing && entry.is_expired(now))
                .map(|(id, entry)| (*id, entry.port))
                .collect();
            for (id, _) in &expired {
                state.close(*id);
            }
            drop(state);
            for (_, port) in expired {
                self.report(LimitKind::Time, port);
            }
        }
    }

    /// Counts a reached limit, and logs it once a second for each kind.
    pub fn report(&self, kind: LimitKind, port: ClientPort) {
        let now = Instant::now();
        let mut state = self.lock();
        let connections = state.entries.len();
        let used = state.connection_bytes + state.body_bytes;
        let logged = state.logged.entry(kind);
        let (last, count) = logged.or_insert((now, 0));
        *count += 1;
        let is_due = *count == 1 || now.duration_since(*last) >= Duration::from_secs(1);
        let line = is_due.then(|| {
            let line = format!(
                "outcome=client_limit kind={kind:?} port={port:?} count={count} \
                 connections={connections} bytes={used} budget={}",
                self.budget
            );
            *last = now;
            line
        });
        drop(state);
        (self.reporter)(kind.metric(), line);
    }
}

/// An admitted connection. Dropping it returns its memory.
pub struct ClientGuard {
    gate: Arc<ClientGate>,
    id: u64,
    port: ClientPort,
    close: Arc<Notify>,
}

impl ClientGuard {
    fn update<T>(&self, change: impl FnOnce(&mut ClientEntry) -> T) -> Option<T> {
        self.gate.lock().entries.get_mut(&self.id).map(change)
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    /// Counts a reached limit of the connection.
    pub fn report(&self, kind: LimitKind) {
        self.gate.report(kind, self.port);
    }

    /// Records bytes that the client sent. They start a request if none is in progress.
    pub fn record_read(&self, count: usize) {
        let now = Instant::now();
        self.update(|entry| {
            entry.last_progress = now;
            if entry.stage == RequestStage::Idle && count > 0 {
                entry.stage = RequestStage::Head;
                entry.request_start = now;
                entry.received_bytes = 0;
            }
            entry.received_bytes += count as u64;
        });
    }

    /// Records that the client takes an answer, or that it does not.
    pub fn record_write(&self, is_blocked: bool) {
        let now = Instant::now();
        self.update(|entry| {
            if is_blocked {
                entry.blocked_since.get_or_insert(now);
            } else {
                entry.blocked_since = None;
                entry.last_progress = now;
            }
        });
    }

    /// Records that the head of a request is complete.
    pub fn start_body(&self) {
        let now = Instant::now();
        self.update(|entry| {
            // A pipelined request may have been read together with the one before.
            if entry.stage == RequestStage::Idle {
                entry.request_start = now;
                entry.last_progress = now;
                entry.received_bytes = 0;
            }
            entry.stage = RequestStage::Body;
        });
    }

    /// Records that a request is complete, which protects the connection from being closed. Returns
    /// false if it is being closed already: the request must not be passed on then.
    pub fn complete_request(&self) -> bool {
        let mut state = self.gate.lock();
        let Some(entry) = state.entries.get_mut(&self.id) else {
            return false;
        };
        if entry.is_closing {
            return false;
        }
        entry.stage = RequestStage::Complete;
        true
    }

    /// Records that the answer is ready, and returns the memory of the request.
    pub fn finish_request(&self) {
        let mut state = self.gate.lock();
        let mut released = 0;
        if let Some(entry) = state.entries.get_mut(&self.id) {
            let now = Instant::now();
            entry.stage = RequestStage::Idle;
            entry.last_progress = now;
            // The rate of the next request must not include the time of this one.
            entry.request_start = now;
            entry.received_bytes = 0;
            released = std::mem::take(&mut entry.body_bytes);
        }
        state.body_bytes -= released;
        drop(state);
        self.gate.released.notify_waiters();
    }

    /// Charges memory before it is allocated, if need be by closing less advanced connections.
    /// Returns whether the memory is granted.
    pub async fn reserve(&self, bytes: u64) -> bool {
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        loop {
            let released = self.gate.released.notified();
            match self.try_reserve_or_shed(bytes) {
                Some(true) => return true,
                Some(false) => break,
                None => {
                    if time::timeout_at(deadline, released).await.is_err() {
                        break;
                    }
                }
            }
        }
        self.report(LimitKind::Memory);
        false
    }

    /// Charges memory if it is available now.
    #[must_use]
    pub fn try_reserve(&self, bytes: u64) -> bool {
        let mut state = self.gate.lock();
        let is_granted = state.body_bytes + bytes <= self.gate.body_budget(self.port);
        if is_granted && let Some(entry) = state.entries.get_mut(&self.id) {
            entry.body_bytes += bytes;
            state.body_bytes += bytes;
        }
        is_granted
    }

    /// Returns `None` while closed connections are about to return their memory.
    fn try_reserve_or_shed(&self, bytes: u64) -> Option<bool> {
        if self.try_reserve(bytes) {
            return Some(true);
        }
        let now = Instant::now();
        let mut state = self.gate.lock();
        let budget = self.gate.body_budget(self.port);
        let missing = (state.body_bytes + bytes).saturating_sub(budget);
        let mut shed = 0;
        while state.closing(self.port).0 < missing {
            // Only connections that hold a part of a body have memory to return.
            let least =
                state.least_advanced(now, |id, entry| entry.body_bytes > 0 || id == self.id);
            match least {
                Some(victim) if victim != self.id => state.close(victim),
                _ => return Some(false),
            }
            shed += 1;
        }
        drop(state);
        for _ in 0..shed {
            self.report(LimitKind::Shed);
        }
        None
    }

    /// Returns whether memory beyond that of the connection is granted.
    fn has_body(&self) -> bool {
        self.update(|entry| entry.body_bytes > 0) == Some(true)
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        let mut state = self.gate.lock();
        if let Some(entry) = state.entries.swap_remove(&self.id) {
            state.connection_bytes -= self.port.connection_bytes();
            state.body_bytes -= entry.body_bytes;
        }
        drop(state);
        self.gate.released.notify_waiters();
    }
}

/// A buffer for a body, whose growth is charged before it is allocated.
#[derive(Default)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
}

/// Why a body was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the limit.
    TooLarge,
    /// The budget has no memory for the body.
    NoMemory,
}

impl BodyBuffer {
    /// Copies a part of a body into the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error when the body exceeds `limit` or the budget.
    pub async fn extend(
        &mut self,
        guard: &ClientGuard,
        part: &[u8],
        limit: usize,
    ) -> Result<(), BodyError> {
        let length = self.bytes.len() + part.len();
        if length > limit {
            guard.report(LimitKind::Body);
            return Err(BodyError::TooLarge);
        }
        let capacity = self.bytes.capacity();
        if length > capacity {
            let grown = length.max(2 * capacity).max(1 << 10).min(limit);
            if !guard.reserve((grown - capacity) as u64).await {
                return Err(BodyError::NoMemory);
            }
            self.bytes.reserve_exact(grown - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the body.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

/// A client's stream whose traffic is recorded at its guard.
pub struct ClientStream {
    stream: TcpStream,
    guard: Arc<ClientGuard>,
    has_large_window: bool,
}

impl ClientStream {
    /// Bounds the kernel's buffers of a stream and records its traffic.
    #[must_use]
    pub fn new(stream: TcpStream, guard: Arc<ClientGuard>) -> Self {
        bound_buffers(&stream);
        Self {
            stream,
            guard,
            has_large_window: false,
        }
    }
}

/// Bounds the bytes that the kernel holds for a stream. They count as memory of the process.
pub fn bound_buffers(stream: &TcpStream) {
    // Without Nagle's algorithm an answer does not wait for an acknowledgement. A failure to set an
    // option leaves the system's default in force.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let _ = SockRef::from(stream).set_send_buffer_size(SEND_BUFFER);
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.has_large_window && self.guard.has_body() {
            self.has_large_window = true;
            let _ = SockRef::from(&self.stream).set_recv_buffer_size(BODY_RECEIVE_BUFFER_BYTES);
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.guard.record_read(count);
        }
        result
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.guard.record_write(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
