//! The whole state of one daemon.

use crate::batch::state::BatchState;
use crate::call::CallTable;
use crate::caller::CallerTable;
use crate::domain::DomainTable;
use crate::event::CallerCredential;
use crate::ids::WriterId;
use crate::lease::LeaseTable;
use crate::ledger::LedgerState;
use crate::member::MemberTable;
use crate::outbox::OutboxState;
use crate::plan::PlannerState;
use crate::reader::ReaderState;
use crate::request::RequestTable;
use crate::settings::DaemonSettings;
use crate::shutdown::ShutdownState;
use crate::term::LocalTerm;
use crate::units::ClockTime;

/// The state that the control thread owns.
#[derive(Clone, Debug)]
pub struct DaemonState {
    /// The daemon's settings.
    pub settings: DaemonSettings,
    /// What every daemon derives from the log.
    pub ledger: LedgerState,
    /// The reader of the log.
    pub reader: ReaderState,
    /// Records on their way into the log.
    pub outbox: OutboxState,
    /// The term beyond the ledger.
    pub term: LocalTerm,
    /// Daemons and workers.
    pub members: MemberTable,
    /// Leases of this daemon's share.
    pub leases: LeaseTable,
    /// Calls to workers in flight.
    pub calls: CallTable,
    /// The planner, empty unless this process holds the term.
    pub planner: PlannerState,
    /// Take-outs that are not on record.
    pub domains: DomainTable,
    /// Callers who wait.
    pub callers: CallerTable,
    /// Short requests that are open.
    pub requests: RequestTable,
    /// The shutdown, once it has begun.
    pub shutdown: Option<ShutdownState>,
    /// The batch subsystem, when the daemon runs on the users' platform. The daemon's own log,
    /// members and leases are unused then.
    pub batch: Option<Box<BatchState>>,
    /// When the last snapshot was begun by this process, and the offset it continues from.
    pub snapshot: SnapshotStatus,
}

/// The last snapshot that this process has begun.
#[derive(Clone, Copy, Debug, Default)]
pub struct SnapshotStatus {
    /// When.
    pub started_at: ClockTime,
    /// The offset that reading continues from.
    pub next: u64,
    /// Whether it is being written.
    pub is_writing: bool,
}

impl DaemonState {
    /// Creates the state of a process that has just started.
    ///
    /// `incarnation` is a random number that no earlier process of the daemon used.
    #[must_use]
    pub fn new(settings: DaemonSettings, incarnation: u64) -> Self {
        let writer = WriterId {
            daemon: settings.daemon.clone(),
            incarnation,
        };
        let batch = settings
            .batch
            .clone()
            .map(|batch| Box::new(BatchState::new(batch, settings.daemon.clone(), incarnation)));
        Self {
            batch,
            ledger: LedgerState::default(),
            reader: ReaderState::new(),
            outbox: OutboxState::new(writer),
            term: LocalTerm::default(),
            members: MemberTable::default(),
            leases: LeaseTable::default(),
            calls: CallTable::default(),
            planner: PlannerState::default(),
            domains: DomainTable::default(),
            callers: CallerTable::default(),
            requests: RequestTable::default(),
            shutdown: None,
            snapshot: SnapshotStatus::default(),
            settings,
        }
    }

    /// Tells whether a caller presented the operators' key.
    #[must_use]
    pub fn is_operator(&self, credential: &CallerCredential) -> bool {
        credential.digest.as_ref() == Some(&self.settings.operator_key_sha256)
    }
}
