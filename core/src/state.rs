//! The state of one daemon, which the reducer updates.

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

/// State of a daemon, owned by the control thread.
#[derive(Clone, Debug)]
pub struct DaemonState {
    /// Settings, read at startup.
    pub settings: DaemonSettings,
    /// Replicated state, which every daemon derives from the log.
    pub ledger: LedgerState,
    /// Position and health of the log reader.
    pub reader: ReaderState,
    /// Records that are queued for append or in flight.
    pub outbox: OutboxState,
    /// Local state of the planner's term that is not in the ledger.
    pub term: LocalTerm,
    /// Known daemons and workers.
    pub members: MemberTable,
    /// Leases of the workers that are assigned to this daemon.
    pub leases: LeaseTable,
    /// In-flight calls to workers.
    pub calls: CallTable,
    /// State of the planner; empty unless this daemon holds the term.
    pub planner: PlannerState,
    /// Domain holds that are not committed and operators that wait for a domain change.
    pub domains: DomainTable,
    /// Callers that wait for a response.
    pub callers: CallerTable,
    /// Open short requests.
    pub requests: RequestTable,
    /// Progress of the shutdown; absent until it begins.
    pub shutdown: Option<ShutdownState>,
    /// The batch subsystem; absent if it is not configured. With it, the daemon's own log, members
    /// and leases are unused.
    pub batch: Option<Box<BatchState>>,
    /// Replaced when the next write starts.
    pub snapshot: SnapshotStatus,
}

/// Status of the last snapshot that this process started.
#[derive(Clone, Copy, Debug, Default)]
pub struct SnapshotStatus {
    /// When the write started, or when it failed.
    pub started_at: ClockTime,
    /// The offset at which log replay resumes after the snapshot; 0 after a failed write.
    pub next: u64,
    /// Whether the write is in progress.
    pub is_writing: bool,
}

impl DaemonState {
    /// Creates the initial state of a process.
    ///
    /// `incarnation` is a random number that identifies this process of the daemon.
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

    /// Returns whether the credential is the operators' key.
    #[must_use]
    pub fn is_operator(&self, credential: &CallerCredential) -> bool {
        credential.digest.as_ref() == Some(&self.settings.operator_key_sha256)
    }
}
