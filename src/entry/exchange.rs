//! Pending HTTP exchanges: requests of callers that await the control thread's response.

use std::cell::Cell;
use std::cell::RefCell;

use indexmap::IndexMap;
use tokio::sync::oneshot;

use mustardpath_core::batch::dump::BatchDump;
use mustardpath_core::batch::message::QueueResponse;
use mustardpath_core::ids::CallerId;

/// The control thread's response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeResponse {
    /// Response to a call to a queue.
    Queue(QueueResponse),
    /// Response to a readiness probe: whether the daemon accepts calls.
    Readiness(bool),
    /// Response to a request for the daemon's state.
    Dump(Box<BatchDump>),
}

/// Pending exchanges by caller.
#[derive(Debug, Default)]
pub struct PendingExchanges {
    last_caller: Cell<u64>,
    senders: RefCell<IndexMap<CallerId, oneshot::Sender<ExchangeResponse>>>,
}

impl PendingExchanges {
    /// Opens an exchange under a new caller id. The response arrives on the returned receiver.
    pub fn open(&self) -> (CallerId, oneshot::Receiver<ExchangeResponse>) {
        let caller = CallerId(self.last_caller.get() + 1);
        self.last_caller.set(caller.0);
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(caller, sender);
        (caller, receiver)
    }

    /// Sends the response and closes the exchange. Does nothing when the exchange is closed.
    pub fn respond(&self, caller: CallerId, response: ExchangeResponse) {
        if let Some(sender) = self.senders.borrow_mut().swap_remove(&caller) {
            // The send fails when the caller has just disconnected.
            let _ = sender.send(response);
        }
    }

    /// Closes an exchange without a response, as its caller has disconnected.
    pub fn close(&self, caller: CallerId) {
        self.senders.borrow_mut().swap_remove(&caller);
    }

    /// Returns the number of pending exchanges.
    pub fn len(&self) -> usize {
        self.senders.borrow().len()
    }

    /// Returns whether no exchange is pending.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
