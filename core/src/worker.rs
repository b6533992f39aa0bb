//! Workers as the VM list describes them, and the commands and replies of their interface.

use crate::config::ResourceDemand;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::JobId;
use crate::ids::RackName;
use crate::ids::RegionName;
use crate::ids::ServiceName;
use crate::ids::TaskId;
use crate::ids::TermNumber;
use crate::ids::WorkerName;
use crate::units::TimeSpan;

plain_data! {
    /// State of a VM in the platform's list.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum VmState {
        /// In service.
        Live,
        /// About to be stopped by the platform.
        Leaving,
        /// No longer there.
        Gone,
    }
}

plain_data! {
    /// A worker VM as the platform's list describes it.
    pub struct WorkerInfo {
        /// The worker's name.
        pub worker: WorkerName,
        /// IP number and port of its interface.
        pub address: String,
        /// Its region.
        pub region: RegionName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Its rack.
        pub rack: RackName,
        /// What it has.
        pub capacity: ResourceDemand,
        /// Connections it accepts at once.
        pub connections: u32,
        /// Its state in the list.
        pub state: VmState,
    }

    /// An entry VM as the platform's list describes it.
    pub struct DaemonInfo {
        /// The daemon's name.
        pub daemon: DaemonName,
        /// IP number and port of its peer interface.
        pub address: String,
        /// Its region.
        pub region: RegionName,
        /// Its failure domain.
        pub domain: DomainName,
        /// Its state in the list.
        pub state: VmState,
    }

    /// What a worker needs in order to run one member.
    pub struct TaskRun {
        /// The service that the job belongs to.
        pub service: ServiceName,
        /// The job's payload.
        pub payload: String,
        /// Members of the gang.
        pub members: u32,
        /// Progress saved by the last checkpoint.
        pub checkpoint: TimeSpan,
    }
}

plain_data! {
    /// A command to a worker.
    #[serde(tag = "command", rename_all = "snake_case")]
    pub enum WorkerCommand {
        /// Raises the worker's term and drops reservations of older terms.
        Fence {
            /// The new term.
            term: TermNumber,
        },
        /// Holds capacity for a task until it starts or the reservation lapses.
        Reserve {
            /// The planner's term.
            term: TermNumber,
            /// The task.
            task: TaskId,
            /// What the task takes.
            demand: ResourceDemand,
            /// Time until the reservation lapses.
            lapse: TimeSpan,
        },
        /// Starts a reserved task.
        Start {
            /// The planner's term.
            term: TermNumber,
            /// The task.
            task: TaskId,
            /// What to run.
            run: TaskRun,
        },
        /// Saves the task's progress while it goes on.
        Checkpoint {
            /// The planner's term.
            term: TermNumber,
            /// The task.
            task: TaskId,
        },
        /// Limits the task to a share of its cores.
        Throttle {
            /// The planner's term.
            term: TermNumber,
            /// The task.
            task: TaskId,
            /// Share in percent, from 1 to 100.
            percent: u32,
        },
        /// Stops all members of an attempt on this worker and drops their reservations.
        Stop {
            /// The term known to the sender.
            term: TermNumber,
            /// The job.
            job: JobId,
            /// The attempt; older attempts are stopped as well.
            attempt: u32,
            /// Whether to save progress first.
            checkpoint: bool,
        },
        /// Renews the worker's lease and reads what changed.
        Renew {
            /// Length of the lease.
            ttl: TimeSpan,
            /// Last revision that the sender has seen.
            seen: u64,
            /// IP number and port that takes pushed reports.
            report_to: String,
        },
        /// Drops the memory of ended tasks whose end is on record.
        Forget {
            /// The tasks.
            tasks: Vec<TaskId>,
        },
    }

    /// Why a worker refuses a command.
    #[derive(Copy, Hash)]
    #[serde(tag = "reason", rename_all = "snake_case")]
    pub enum WorkerRefusal {
        /// The command's term is older than one that the worker has seen.
        StaleTerm {
            /// The highest term seen.
            term: TermNumber,
        },
        /// There is no live reservation for the task.
        NoReservation,
        /// There is not enough free capacity.
        NoCapacity,
        /// The worker holds no live lease.
        NoLease,
        /// The worker is about to stop.
        Leaving,
        /// The worker does not know the task.
        UnknownTask,
    }

    /// How a task ended.
    #[serde(tag = "outcome", rename_all = "snake_case")]
    pub enum TaskOutcome {
        /// The work is done.
        Finished {
            /// The work's result.
            result: String,
        },
        /// The work failed.
        Failed {
            /// What the worker says about it.
            reason: String,
        },
        /// A command or a lapsed lease stopped the task.
        Stopped,
    }

    /// Where a task stands on its worker.
    #[serde(tag = "phase", rename_all = "snake_case")]
    pub enum TaskPhase {
        /// Capacity is held.
        Reserved,
        /// The task runs.
        Running,
        /// The task has ended and its end is not yet forgotten.
        Ended {
            /// How it ended.
            end: TaskOutcome,
        },
    }

    /// A worker's reply to a command.
    #[serde(tag = "reply", rename_all = "snake_case")]
    pub enum WorkerReply {
        /// The term is raised.
        Fenced {
            /// All tasks of the worker, ended ones included.
            tasks: Vec<TaskStatus>,
            /// Whether the worker is about to stop.
            leaving: bool,
            /// Time since the worker started. What it does not know may have run before that.
            #[serde(default)]
            uptime: TimeSpan,
        },
        /// The lease is renewed.
        Renewed {
            /// Revision that the tasks are complete up to.
            revision: u64,
            /// Tasks that changed after the revision that the command named, and ended ones.
            tasks: Vec<TaskStatus>,
            /// Whether the worker is about to stop.
            leaving: bool,
            /// Number that changes when the worker restarts.
            boot: u64,
        },
        /// The command is done.
        Done,
        /// The attempt is stopped.
        Stopped {
            /// The attempt's tasks that had started on this worker since it started itself.
            tasks: Vec<TaskStatus>,
            /// Time since the worker started. What it does not know may have run before that.
            #[serde(default)]
            uptime: TimeSpan,
        },
        /// The command is refused and has changed nothing.
        Refused {
            /// Why.
            refusal: WorkerRefusal,
        },
    }
}

plain_data! {
    /// One task as its worker reports it.
    pub struct TaskStatus {
        /// The task.
        pub task: TaskId,
        /// Where it stands.
        pub phase: TaskPhase,
        /// Work done so far, including work before the checkpoint that it started from.
        pub progress: TimeSpan,
        /// Work saved by the last checkpoint.
        pub checkpoint: TimeSpan,
    }
}
