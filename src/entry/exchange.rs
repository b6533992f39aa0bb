//! Open calls of callers, which wait for the control thread's response.

use std::cell::Cell;
use std::cell::RefCell;

use indexmap::IndexMap;
use tokio::sync::oneshot;

use mustardpath_core::batch::dump::BatchDump;
use mustardpath_core::batch::message::QueueResponse;
use mustardpath_core::ids::CallerId;

/// What an open call is answered with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeResponse {
    /// An response to a caller.
    Queue(QueueResponse),
    /// Whether the daemon takes callers.
    Readiness(bool),
    /// The state of the daemon.
    Dump(Box<BatchDump>),
}

/// Open calls of callers.
#[derive(Debug, Default)]
pub struct PendingExchanges {
    last_caller: Cell<u64>,
    senders: RefCell<IndexMap<CallerId, oneshot::Sender<ExchangeResponse>>>,
}

impl PendingExchanges {
    /// Opens an exchange.
    pub fn open(&self) -> (CallerId, oneshot::Receiver<ExchangeResponse>) {
        let caller = CallerId(self.last_caller.get() + 1);
        self.last_caller.set(caller.0);
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(caller, sender);
        (caller, receiver)
    }

    /// Answers an exchange. One whose caller has left is gone already.
    pub fn respond(&self, caller: CallerId, response: ExchangeResponse) {
        if let Some(sender) = self.senders.borrow_mut().swap_remove(&caller) {
            // The caller left between its departure and this response.
            let _ = sender.send(response);
        }
    }

    /// Forgets an exchange whose caller has left.
    pub fn close(&self, caller: CallerId) {
        self.senders.borrow_mut().swap_remove(&caller);
    }

    /// Returns the number of open exchanges.
    pub fn len(&self) -> usize {
        self.senders.borrow().len()
    }

    /// Tells whether no exchange is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
