//! The state of the batch subsystem of one daemon.

use indexmap::IndexSet;

use crate::batch::backlog::BacklogTable;
use crate::batch::catalog::QueueCatalog;
use crate::batch::extension::MAX_EXTENSION_AGE;
use crate::batch::intake::IntakeTable;
use crate::batch::job::JobKey;
use crate::batch::message::StoreStream;
use crate::batch::planner::PlannerState;
use crate::batch::reader::StreamReader;
use crate::batch::record::RecordKey;
use crate::batch::session::WorkerSession;
use crate::batch::settings::BatchSettings;
use crate::batch::term::ElectionState;
use crate::batch::view::BatchView;
use crate::batch::writer::INTAKE_TIMEOUT;
use crate::batch::writer::PLANNER_TIMEOUT;
use crate::batch::writer::WriteQueue;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Share of the revocation bound, in tenths, for which the configuration stays valid after its last
/// confirmation.
const REVOCATION_TENTHS: u64 = 8;

/// Maximum age of the last confirmed read of the batch topic for the planner to act on its view. It
/// allows for one lost read, and is shorter than the time in which a cancellation must take effect.
const MAX_VIEW_AGE: TimeSpan = TimeSpan(2_000);

/// State of the batch reducer, kept between inputs.
#[derive(Clone, Debug)]
pub struct BatchState {
    /// Settings; replaced on reload.
    pub settings: BatchSettings,
    /// Name of this daemon, which its term records contain.
    pub daemon: DaemonName,
    /// Distinguishes processes of the same daemon.
    pub incarnation: u64,
    /// The newest configuration; version 0 until one was read.
    pub catalog: QueueCatalog,
    /// Failure domains that are out of service.
    pub domains_out: IndexSet<DomainName>,
    /// Materialized view of the batch topic, the same at every daemon.
    pub view: BatchView,
    /// Reader of the batch topic.
    pub batch_reader: StreamReader,
    /// Reader of the operators' topic.
    pub operator_reader: StreamReader,
    /// Reader of the workers' topic; used only while this daemon is the planner.
    pub worker_reader: StreamReader,
    /// Calls that wait for an append, and confirmed jobs that were not read back yet.
    pub intake: IntakeTable,
    /// Waiting jobs and recent starts of the teams that have a weight.
    pub backlog: BacklogTable,
    /// Queue of records for callers' commands.
    pub intake_queue: WriteQueue,
    /// Queue of records written by the planner.
    pub planner_queue: WriteQueue,
    /// Election of the planner.
    pub election: ElectionState,
    /// Jobs with records that the store can never take, which fail.
    pub rejected_jobs: IndexSet<JobKey>,
    /// Delay of the first load of the batch topic, if it was delayed.
    pub load_delay: Option<TimeSpan>,
    /// State of the planner; present while this daemon holds the term.
    pub planner: Option<Box<PlannerState>>,
    /// When the shutdown began; absent while the daemon runs normally.
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
            backlog: BacklogTable::default(),
            intake_queue: WriteQueue::new(0, INTAKE_TIMEOUT).with_pacing(),
            planner_queue: WriteQueue::new(1, PLANNER_TIMEOUT),
            election: ElectionState::default(),
            rejected_jobs: IndexSet::new(),
            load_delay: None,
            planner: None,
            stopping: None,
        }
    }

    /// Returns the session of a worker, or `None` if it has none or this daemon is not the planner.
    pub fn worker_mut(&mut self, worker: &WorkerName) -> Option<&mut WorkerSession> {
        self.planner.as_mut()?.workers.get_mut(worker)
    }

    /// Returns whether the configuration was confirmed recently enough to authorize callers.
    ///
    /// A revoked key must also stop working at daemons that cannot reach the store.
    #[must_use]
    pub fn is_config_fresh(&self, at: ClockTime) -> bool {
        let max_age = TimeSpan(self.settings.revocation.0 * REVOCATION_TENTHS / 10);
        self.catalog.version > 0 && self.operator_reader.is_fresh(at, max_age)
    }

    /// Returns whether the view is recent enough for the planner to decide and to write.
    ///
    /// A planner with a stale view starts and stops nothing. It also writes nothing, so that
    /// another daemon takes over after the election timeout.
    #[must_use]
    pub fn is_view_current(&self, at: ClockTime) -> bool {
        self.batch_reader.is_fresh(at, MAX_VIEW_AGE)
    }

    /// Returns whether the planner may extend leases of workers.
    ///
    /// A planner whose term has ended must stop this within a known time, because its successor may
    /// be unable to reach, and so to fence, some of the workers. A stopping planner extends leases
    /// until its release may be stored. While a slow store refuses the release, nobody else can.
    #[must_use]
    pub fn can_extend_leases(&self, at: ClockTime) -> bool {
        let is_released =
            self.stopping.is_some() && self.planner_queue.may_have_stored(RecordKey::Term);
        !is_released && self.batch_reader.is_fresh(at, MAX_EXTENSION_AGE)
    }

    /// Returns whether this daemon has read or confirmed the acceptance of a job.
    #[must_use]
    pub fn is_accepted(&self, job: JobKey) -> bool {
        let entry = self.view.jobs.get(&job);
        entry.is_some_and(|entry| entry.definition.is_some()) || self.intake.has_confirmed(job)
    }

    /// Returns whether the daemon is ready for callers: not stopping, with a fresh configuration, a
    /// loaded view and a reachable store.
    #[must_use]
    pub fn is_ready(&self, at: ClockTime) -> bool {
        self.stopping.is_none()
            && self.is_config_fresh(at)
            && self.batch_reader.is_loaded()
            && self.batch_reader.healthy_since().is_some()
    }
}
