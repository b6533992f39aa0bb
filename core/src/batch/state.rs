//! The state of the batch subsystem.

use indexmap::IndexSet;

use crate::batch::catalog::QueueCatalog;
use crate::batch::intake::IntakeTable;
use crate::batch::job::JobKey;
use crate::batch::message::StoreStream;
use crate::batch::planner::PlannerState;
use crate::batch::reader::StreamReader;
use crate::batch::session::WorkerSession;
use crate::batch::settings::BatchSettings;
use crate::batch::term::ElectionState;
use crate::batch::view::BatchView;
use crate::batch::writer::WriteQueue;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Share of the revocation bound, in tenths, up to which the configuration may be used without
/// a confirmation.
const REVOCATION_TENTHS: u64 = 8;

/// Greatest age of the last confirmed read of the batch topic at which the planner acts on it. It
/// leaves room for one lost read, and is shorter than the time in which a cancellation must hold.
const MAX_VIEW_AGE: TimeSpan = TimeSpan(2_000);

/// The state of the batch subsystem of one daemon.
#[derive(Clone, Debug)]
pub struct BatchState {
    /// Its settings.
    pub settings: BatchSettings,
    /// The daemon's name.
    pub daemon: DaemonName,
    /// Tells two processes of the daemon apart.
    pub incarnation: u64,
    /// The configuration in force.
    pub catalog: QueueCatalog,
    /// Failure domains that are out of service.
    pub domains_out: IndexSet<DomainName>,
    /// What every daemon derives from the batch topic.
    pub view: BatchView,
    /// Reading of the batch topic.
    pub batch_reader: StreamReader,
    /// Reading of the operators' topic.
    pub operator_reader: StreamReader,
    /// Reading of the workers' topic, while this daemon plans.
    pub worker_reader: StreamReader,
    /// Callers who wait.
    pub intake: IntakeTable,
    /// Appends of callers' commands.
    pub intake_queue: WriteQueue,
    /// Appends of the planner.
    pub planner_queue: WriteQueue,
    /// The planner's term.
    pub election: ElectionState,
    /// The planner, while this daemon holds the term.
    pub planner: Option<Box<PlannerState>>,
    /// Since when the daemon is stopping.
    pub stopping: Option<ClockTime>,
}

impl BatchState {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(settings: BatchSettings, daemon: DaemonName, incarnation: u64) -> Self {
        Self {
            settings,
            daemon,
            incarnation,
            catalog: QueueCatalog::default(),
            domains_out: IndexSet::new(),
            view: BatchView::default(),
            batch_reader: StreamReader::new(StoreStream::Batch),
            operator_reader: StreamReader::new(StoreStream::Operator),
            worker_reader: StreamReader::new(StoreStream::Workers),
            intake: IntakeTable::default(),
            intake_queue: WriteQueue::new(0),
            planner_queue: WriteQueue::new(1),
            election: ElectionState::default(),
            planner: None,
            stopping: None,
        }
    }

    /// Returns a worker's life, while this daemon plans.
    pub fn worker_mut(&mut self, worker: &WorkerName) -> Option<&mut WorkerSession> {
        self.planner.as_mut()?.workers.get_mut(worker)
    }

    /// Tells whether the configuration was confirmed recently enough to admit callers.
    ///
    /// A key that was taken away must stop working at daemons that cannot reach the store, too.
    #[must_use]
    pub fn is_config_fresh(&self, at: ClockTime) -> bool {
        let bound = TimeSpan(self.settings.revocation.0 * REVOCATION_TENTHS / 10);
        self.catalog.version > 0 && self.operator_reader.is_fresh(at, bound)
    }

    /// Tells whether the planner may decide and write: it has read the batch topic recently enough.
    ///
    /// One that has not leaves running work alone and is silent, so that another daemon takes over.
    #[must_use]
    pub fn is_view_current(&self, at: ClockTime) -> bool {
        self.batch_reader.is_fresh(at, MAX_VIEW_AGE)
    }

    /// Tells whether a job was accepted, as far as this daemon knows.
    #[must_use]
    pub fn is_accepted(&self, job: JobKey) -> bool {
        let entry = self.view.jobs.get(&job);
        entry.is_some_and(|entry| entry.definition.is_some()) || self.intake.has_confirmed(job)
    }

    /// Tells whether the daemon should get callers.
    #[must_use]
    pub fn is_ready(&self, at: ClockTime) -> bool {
        self.stopping.is_none()
            && self.is_config_fresh(at)
            && self.batch_reader.is_loaded()
            && self.batch_reader.healthy_since().is_some()
    }
}
