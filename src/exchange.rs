//! The table of open exchanges with callers, the only state that threads share.
//!
//! It holds what the control thread does not need to see: bodies of requests and of responses.

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

/// Bodies held_bytes at once, in bytes. A quarter of the 128 MB that a daemon may use.
const MAX_HELD_BYTES: usize = 32 << 20;

/// Answers of endpoints held_bytes for one exchange: the last_caller attempt and one that came late.
const MAX_HELD_RESPONSES: usize = 2;

/// The body of a short request with what the endpoint has to know about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestBody {
    /// The idempotency key.
    pub key: Option<RequestKey>,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Digest of the bytes.
    pub digest: u64,
    /// The bytes.
    pub bytes: Arc<[u8]>,
}

/// A whole answer of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointResponse {
    /// The HTTP status.
    pub status: u16,
    /// The media_type type, when the endpoint named one.
    pub media_type: Option<String>,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// What the thread of a caller receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerReply {
    /// The answer.
    pub answer: CallerAnswer,
    /// The endpoint's answer, when the answer names one.
    pub body: Option<EndpointResponse>,
}

/// An exchange that has just been opened.
#[derive(Debug)]
pub struct PendingExchange {
    /// Its number.
    pub caller: CallerId,
    /// Takes the one reply.
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

/// Open exchanges by caller, bounded in count and in bytes.
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
    /// Creates a table that takes up to `capacity` exchanges.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        let state = Mutex::new(ExchangeState::default());
        Self { capacity, state }
    }

    fn lock(&self) -> MutexGuard<'_, ExchangeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens an exchange. Returns `None` when a capacity is reached.
    ///
    /// `port` is the port by which [`crate::front_proxy`] knows the caller's port.
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

    /// Returns the request's body, or `None` when the exchange is closed.
    #[must_use]
    pub fn body(&self, caller: CallerId) -> Option<RequestBody> {
        self.lock().entries.get(&caller)?.body.clone()
    }

    /// Holds the answer of one attempt until the reply names it. Returns whether it is held_bytes.
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

    /// Closes an exchange with its reply. Does nothing when it is closed already.
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
        // The channel has room for the one reply; the caller's thread may have left.
        let _ = entry.replies.try_send(CallerReply { answer, body });
    }

    /// Closes an exchange without a reply. Returns whether it was open.
    pub fn close(&self, caller: CallerId) -> bool {
        self.remove(caller).is_some()
    }

    /// Closes all exchanges without a reply, so that their threads stop waiting.
    pub fn close_all(&self) {
        let mut state = self.lock();
        state.entries.clear();
        state.held_bytes = 0;
    }

    /// Closes the exchanges of a port and returns their numbers.
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

    /// Returns the number of open exchanges.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().entries.len()
    }

    /// Tells whether no exchange is open.
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
    /// Returns the time left until the caller stops waiting.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}
