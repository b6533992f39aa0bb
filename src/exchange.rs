//! Pending HTTP exchanges with callers, the only mutable state that threads share.
//!
//! The table holds the bodies of requests and responses, which the control thread does not need.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;

use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::RequestId;
use mustardpath_core::ids::RequestKey;

/// Maximum total size of the bodies in the table: a quarter of the 128 MB that a daemon may use.
const MAX_HELD_BYTES: usize = 32 << 20;

/// Maximum number of endpoint responses per exchange: that of the last attempt and a late one.
const MAX_HELD_RESPONSES: usize = 2;

/// The body of a short request with the metadata that the endpoint receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestBody {
    /// The idempotency key, when the caller sent one.
    pub key: Option<RequestKey>,
    /// When the caller stops waiting for the response.
    pub deadline: Instant,
    /// Digest of the body, see [`crate::digest`].
    pub digest: u64,
    /// Body as received, shared with the threads that send attempts of the request.
    pub bytes: Arc<[u8]>,
}

/// A complete response of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The value of `Content-Type`, when the endpoint sent one.
    pub content_type: Option<String>,
    /// Body, whose size counts towards the limit of the table.
    pub bytes: Vec<u8>,
}

/// The reply to a caller, as its server thread receives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerReply {
    /// The control thread's answer.
    pub answer: CallerAnswer,
    /// The endpoint's response, when the answer refers to one and the table still holds it.
    pub body: Option<EndpointResponse>,
}

/// A newly opened exchange, as its server thread holds it.
#[derive(Debug)]
pub struct PendingExchange {
    /// The id of the exchange.
    pub caller: CallerId,
    /// Receives the reply, or is disconnected when the exchange is closed without one.
    pub replies: Receiver<CallerReply>,
}

struct ExchangeEntry {
    port: Option<u16>,
    body: Option<RequestBody>,
    responses: Vec<(RequestId, u32, EndpointResponse)>,
    replies: Sender<CallerReply>,
}

#[derive(Default)]
struct ExchangeState {
    last_caller: u64,
    held_bytes: usize,
    entries: HashMap<CallerId, ExchangeEntry>,
}

/// Pending exchanges by caller, bounded in count and in bytes.
pub struct ExchangeTable {
    capacity: usize,
    state: Mutex<ExchangeState>,
}

impl ExchangeEntry {
    fn held_bytes(&self) -> usize {
        let request_bytes = self.body.as_ref().map_or(0, |body| body.bytes.len());
        let response_bytes: usize = self
            .responses
            .iter()
            .map(|(_, _, body)| body.bytes.len())
            .sum();
        request_bytes + response_bytes
    }
}

impl ExchangeTable {
    /// Creates a table for up to `capacity` pending exchanges.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        let state = Mutex::new(ExchangeState::default());
        Self { capacity, state }
    }

    fn lock(&self) -> MutexGuard<'_, ExchangeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an exchange. Returns `None` when the table is full in count or in bytes.
    ///
    /// `port` is the local port of the proxy connection that carries the request, by which
    /// [`crate::front_proxy`] closes the exchanges of a caller that disconnects.
    pub fn open(&self, port: Option<u16>, body: Option<RequestBody>) -> Option<PendingExchange> {
        let mut state = self.lock();
        let size = body.as_ref().map_or(0, |body| body.bytes.len());
        if state.entries.len() >= self.capacity || state.held_bytes + size > MAX_HELD_BYTES {
            return None;
        }
        let (sender, replies) = crossbeam_channel::bounded(1);
        state.last_caller += 1;
        state.held_bytes += size;
        let caller = CallerId(state.last_caller);
        let entry = ExchangeEntry {
            port,
            body,
            responses: Vec::new(),
            replies: sender,
        };
        state.entries.insert(caller, entry);
        Some(PendingExchange { caller, replies })
    }

    /// Returns the request body, or `None` when the exchange is closed or has none.
    #[must_use]
    pub fn body(&self, caller: CallerId) -> Option<RequestBody> {
        self.lock().entries.get(&caller)?.body.clone()
    }

    /// Stores the response to one attempt until the reply refers to it. Returns `false` when the
    /// exchange is closed or a limit is reached.
    pub fn hold_response(
        &self,
        caller: CallerId,
        request: RequestId,
        attempt: u32,
        body: EndpointResponse,
    ) -> bool {
        let mut state = self.lock();
        let size = body.bytes.len();
        if state.held_bytes + size > MAX_HELD_BYTES {
            return false;
        }
        let Some(entry) = state.entries.get_mut(&caller) else {
            return false;
        };
        if entry.responses.len() >= MAX_HELD_RESPONSES {
            return false;
        }
        entry.responses.push((request, attempt, body));
        state.held_bytes += size;
        true
    }

    /// Sends the reply and closes the exchange. Does nothing when the exchange is closed.
    pub fn reply(&self, caller: CallerId, answer: CallerAnswer) {
        let Some(entry) = self.remove(caller) else {
            return;
        };
        let body = match &answer {
            CallerAnswer::Endpoint { request, attempt } => entry
                .responses
                .into_iter()
                .find(|(id, number, _)| id == request && number == attempt)
                .map(|(_, _, body)| body),
            _ => None,
        };
        // The channel has capacity for the one reply. The send fails when the server thread has
        // stopped waiting.
        let _ = entry.replies.try_send(CallerReply { answer, body });
    }

    /// Closes an exchange without a reply. Returns whether it was open.
    pub fn close(&self, caller: CallerId) -> bool {
        self.remove(caller).is_some()
    }

    /// Closes all exchanges without a reply, which ends the wait of their server threads.
    pub fn close_all(&self) {
        let mut state = self.lock();
        state.entries.clear();
        state.held_bytes = 0;
    }

    /// Closes the exchanges of a proxy connection and returns their ids.
    pub fn close_connection(&self, port: u16) -> Vec<CallerId> {
        let callers: Vec<CallerId> = self
            .lock()
            .entries
            .iter()
            .filter(|(_, entry)| entry.port == Some(port))
            .map(|(caller, _)| *caller)
            .collect();
        callers
            .into_iter()
            .filter(|caller| self.close(*caller))
            .collect()
    }

    /// Returns the number of pending exchanges.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().entries.len()
    }

    /// Returns whether no exchange is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn remove(&self, caller: CallerId) -> Option<ExchangeEntry> {
        let mut state = self.lock();
        let entry = state.entries.remove(&caller)?;
        state.held_bytes -= entry.held_bytes();
        Some(entry)
    }
}

impl RequestBody {
    /// Returns the time until the deadline, or zero when it has passed.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
