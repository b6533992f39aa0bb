//! The capnp-rpc interface that a daemon serves to its peers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::sync::Arc;

use capnp::Error;
use capnp::capability::Rc;

use crate::client_limits::ClientGuard;
use crate::client_limits::LimitKind;
use crate::control::EventSender;
use crate::peer_capnp::peer;
use crate::peer_capnp::state_piece;
use crate::peer_message;
use mustardpath_core::effect::PeerMessage;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::snapshot;

/// Maximum size of a ledger that is being received: half of the 128 MB that a daemon may use.
const MAX_LEDGER_BYTES: usize = 64 << 20;

/// A partially received ledger.
struct StateTransfer {
    id: u64,
    next_index: u32,
    bytes: Vec<u8>,
}

/// Serves one connection from a peer.
pub struct PeerService {
    events: EventSender,
    transfers: RefCell<HashMap<DaemonName, StateTransfer>>,
    guard: Arc<ClientGuard>,
}

impl PeerService {
    /// Creates a service that forwards messages of its connection to the control thread.
    #[must_use]
    pub fn new(events: EventSender, guard: Arc<ClientGuard>) -> Self {
        let transfers = RefCell::default();
        Self {
            events,
            transfers,
            guard,
        }
    }

    async fn forward(&self, from: DaemonName, message: PeerMessage) -> Result<(), Error> {
        self.events
            .send(EventInput::Peer { from, message })
            .await
            .map_err(|_| Error::disconnected("the daemon has stopped".into()))
    }

    /// Adds a piece and returns the ledger when all its pieces have arrived.
    fn add_piece(
        &self,
        piece: state_piece::Reader<'_>,
    ) -> Result<Option<(DaemonName, PeerMessage)>, Error> {
        let from = DaemonName::from(piece.get_daemon()?.to_str()?);
        let bytes = piece.get_bytes()?;
        let mut transfers = self.transfers.borrow_mut();
        if piece.get_index() == 0 {
            // A connection carries the ledger of one peer. The first piece of a new transfer
            // discards an unfinished one.
            transfers.clear();
            self.guard.finish_request();
            let transfer = StateTransfer {
                id: piece.get_transfer(),
                next_index: 0,
                bytes: Vec::new(),
            };
            transfers.insert(from.clone(), transfer);
        }
        let transfer = transfers
            .get_mut(&from)
            .filter(|transfer| transfer.id == piece.get_transfer())
            .filter(|transfer| transfer.next_index == piece.get_index())
            .ok_or_else(|| Error::failed("the piece does not follow the last one".into()))?;
        if transfer.bytes.len() + bytes.len() > MAX_LEDGER_BYTES {
            transfers.clear();
            return Err(Error::overloaded("the ledger is too large".into()));
        }
        // The buffer grows by doubling.
        if !self.guard.try_reserve(2 * bytes.len() as u64) {
            transfers.clear();
            self.guard.finish_request();
            self.guard.report(LimitKind::Memory);
            return Err(Error::overloaded("no memory for the ledger".into()));
        }
        transfer.bytes.extend_from_slice(bytes);
        transfer.next_index += 1;
        if transfer.next_index < piece.get_count() {
            return Ok(None);
        }
        let complete = transfers.remove(&from);
        self.guard.finish_request();
        let ledger = complete
            .and_then(|transfer| String::from_utf8(transfer.bytes).ok())
            .and_then(|text| snapshot::decode(&text))
            .ok_or_else(|| Error::failed("the pieces are no ledger".into()))?;
        let ledger = Box::new(ledger);
        Ok(Some((from, PeerMessage::State { ledger })))
    }
}

impl peer::Server for PeerService {
    async fn heartbeat(
        self: Rc<Self>,
        params: peer::HeartbeatParams,
        _: peer::HeartbeatResults,
    ) -> Result<(), Error> {
        let (from, heartbeat) = peer_message::read_heartbeat(params.get()?.get_heartbeat()?)?;
        self.forward(from, PeerMessage::Heartbeat(heartbeat)).await
    }

    async fn reports(
        self: Rc<Self>,
        params: peer::ReportsParams,
        _: peer::ReportsResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let from = DaemonName::from(params.get_daemon()?.to_str()?);
        let reports: Result<Vec<_>, Error> = params
            .get_reports()?
            .iter()
            .map(peer_message::read_tasks)
            .collect();
        let reports = reports?;
        self.forward(from, PeerMessage::Reports { reports }).await
    }

    async fn state_wanted(
        self: Rc<Self>,
        params: peer::StateWantedParams,
        _: peer::StateWantedResults,
    ) -> Result<(), Error> {
        let from = DaemonName::from(params.get()?.get_daemon()?.to_str()?);
        self.forward(from, PeerMessage::StateRequest).await
    }

    async fn state(
        self: Rc<Self>,
        params: peer::StateParams,
        _: peer::StateResults,
    ) -> Result<(), Error> {
        let complete = self.add_piece(params.get()?.get_piece()?)?;
        match complete {
            Some((from, message)) => self.forward(from, message).await,
            None => Ok(()),
        }
    }
}
