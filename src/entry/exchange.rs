//! Open calls of callers, which wait for the control thread's answer.

use std::cell::Cell;
use std::cell::RefCell;

use indexmap::IndexMap;
use tokio::sync::oneshot;

use mustardpath_core::batch::dump::BatchDump;
use mustardpath_core::batch::message::QueueResponse;
use mustardpath_core::ids::CallerId;

/// What an open call is answered with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeAnswer {
    /// An answer to a caller.
    Queue(QueueResponse),
    /// Whether the daemon takes callers.
    Readiness(bool),
    /// The state of the daemon.
    Dump(Box<BatchDump>),
}

/// Open calls of callers.
#[derive(Debug, Default)]
pub struct OpenExchanges {
    last: Cell<u64>,
    waiting: RefCell<IndexMap<CallerId, oneshot::Sender<ExchangeAnswer>>>,
}

impl OpenExchanges {
    /// Opens an exchange.
    pub fn open(&self) -> (CallerId, oneshot::Receiver<ExchangeAnswer>) {
        let caller = CallerId(self.last.get() + 1);
        self.last.set(caller.0);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(caller, sender);
        (caller, receiver)
    }

    /// Answers an exchange. One whose caller has left is gone already.
    pub fn answer(&self, caller: CallerId, answer: ExchangeAnswer) {
        if let Some(sender) = self.waiting.borrow_mut().swap_remove(&caller) {
            // The caller left between its departure and this answer.
            let _ = sender.send(answer);
        }
    }

    /// Forgets an exchange whose caller has left.
    pub fn close(&self, caller: CallerId) {
        self.waiting.borrow_mut().swap_remove(&caller);
    }

    /// Returns the number of open exchanges.
    pub fn len(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Tells whether no exchange is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
