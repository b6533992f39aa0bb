//! Workers and daemons in the VM list, and the commands and replies of the worker interface.

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
        /// No longer running.
        Gone,
    }
}

plain_data! {
    /// A worker VM in the platform's list.
    pub struct WorkerInfo {
        /// Name of the worker, unique in the deployment.
        pub worker: WorkerName,
        /// IP address and port of the worker interface.
        pub address: String,
        /// Region of the VM.
        pub region: RegionName,
        /// Failure domain of the VM.
        pub domain: DomainName,
        /// Rack of the VM.
        pub rack: RackName,
        /// Total resources of the worker.
        pub capacity: ResourceDemand,
        /// Maximum number of concurrent connections.
        pub connections: u32,
        /// State of the VM.
        pub state: VmState,
    }

    /// An entry VM in the platform's list.
    pub struct DaemonInfo {
        /// Name of the daemon on the VM.
        pub daemon: DaemonName,
        /// IP address and port of the peer interface.
        pub address: String,
        /// Region of the VM.
        pub region: RegionName,
        /// Failure domain of the VM.
        pub domain: DomainName,
        /// State of the VM.
        pub state: VmState,
    }

    /// Parameters of one member's run.
    pub struct TaskRun {
        /// Service that the job belongs to.
        pub service: ServiceName,
        /// Payload of the job, as submitted.
        pub payload: String,
        /// Number of members of the gang.
        pub members: u32,
        /// Progress saved by the last checkpoint.
        pub checkpoint: TimeSpan,
    }
}

plain_data! {
    /// Command to a worker.
    #[serde(tag = "command", rename_all = "snake_case")]
    pub enum WorkerCommand {
        /// Raises the worker's term and cancels reservations of older terms.
        Fence {
            /// New term.
            term: TermNumber,
        },
        /// Reserves capacity for a task until it starts or the reservation expires.
        Reserve {
            /// Term of the planner.
            term: TermNumber,
            /// Task to reserve capacity for.
            task: TaskId,
            /// Resources of one member of the gang.
            demand: ResourceDemand,
            /// Time until the reservation expires.
            lapse: TimeSpan,
        },
        /// Starts a task that has a reservation.
        Start {
            /// Term of the planner.
            term: TermNumber,
            /// Task to start.
            task: TaskId,
            /// Parameters of the run.
            run: TaskRun,
        },
        /// Saves the progress of a running task.
        Checkpoint {
            /// Term of the planner.
            term: TermNumber,
            /// Task to checkpoint.
            task: TaskId,
        },
        /// Limits a task to a percentage of its cores.
        Throttle {
            /// Term of the planner.
            term: TermNumber,
            /// Task to limit.
            task: TaskId,
            /// Percentage of the task's cores, from 1 to 100.
            percent: u32,
        },
        /// Stops all members of an attempt on the worker and cancels their reservations.
        Stop {
            /// Term known to the sender.
            term: TermNumber,
            /// Job to stop.
            job: JobId,
            /// Attempt to stop; older attempts of the job are stopped as well.
            attempt: u32,
            /// Whether to save progress before stopping.
            checkpoint: bool,
        },
        /// Renews the worker's lease and requests tasks that have changed.
        Renew {
            /// Duration of the lease.
            ttl: TimeSpan,
            /// Last task revision that the sender has received.
            seen: u64,
            /// IP address and port to which the worker pushes reports.
            report_to: String,
        },
        /// Forgets ended tasks whose end is recorded.
        Forget {
            /// Tasks to forget.
            tasks: Vec<TaskId>,
        },
    }

    /// Reason for which a worker refuses a command.
    #[derive(Copy, Hash)]
    #[serde(tag = "reason", rename_all = "snake_case")]
    pub enum WorkerRefusal {
        /// The command's term is older than the worker's.
        StaleTerm {
            /// Highest term that the worker has received.
            term: TermNumber,
        },
        /// The task has no reservation, or the reservation has expired.
        NoReservation,
        /// The free capacity is insufficient.
        NoCapacity,
        /// The worker's lease has expired.
        NoLease,
        /// The worker is about to stop.
        Leaving,
        /// The worker has no such task.
        UnknownTask,
    }

    /// Outcome of a task.
    #[serde(tag = "outcome", rename_all = "snake_case")]
    pub enum TaskOutcome {
        /// The task completed successfully.
        Finished {
            /// Text that the work returned. The result of a job is that of member 0.
            result: String,
        },
        /// The task ended with an error; it was not stopped.
        Failed {
            /// Description of the failure, as reported by the worker.
            reason: String,
        },
        /// The task was stopped by a command or an expired lease.
        Stopped,
    }

    /// Phase of a task on its worker.
    #[serde(tag = "phase", rename_all = "snake_case")]
    pub enum TaskPhase {
        /// Capacity is reserved for the task.
        Reserved,
        /// The task is running.
        Running,
        /// The task has ended. The worker keeps it until a [`WorkerCommand::Forget`].
        Ended {
            /// Outcome of the task.
            end: TaskOutcome,
        },
    }

    /// Reply of a worker to a command.
    #[serde(tag = "reply", rename_all = "snake_case")]
    pub enum WorkerReply {
        /// The term was raised.
        Fenced {
            /// All tasks of the worker, including ended ones.
            tasks: Vec<TaskStatus>,
            /// Whether the worker is about to stop.
            leaving: bool,
            /// Time since the worker started. The worker has no record of tasks from before its
            /// start.
            #[serde(default)]
            uptime: TimeSpan,
        },
        /// The lease was renewed.
        Renewed {
            /// Revision of the task list.
            revision: u64,
            /// Tasks that have changed since the requested revision, and all ended tasks.
            tasks: Vec<TaskStatus>,
            /// Whether the worker is about to stop.
            leaving: bool,
            /// Boot number, which changes when the worker restarts.
            boot: u64,
        },
        /// The command was executed.
        Done,
        /// The attempt was stopped.
        Stopped {
            /// Tasks of the attempt that have started on this worker since the worker's own start.
            tasks: Vec<TaskStatus>,
            /// Time since the worker started. The worker has no record of tasks from before its
            /// start.
            #[serde(default)]
            uptime: TimeSpan,
        },
        /// The command was refused without effect.
        Refused {
            /// Reason for the refusal.
            refusal: WorkerRefusal,
        },
    }
}

plain_data! {
    /// State of a task as reported by its worker.
    pub struct TaskStatus {
        /// Job, attempt and member that the task belongs to.
        pub task: TaskId,
        /// Phase at the time of the report.
        pub phase: TaskPhase,
        /// Total work done, including work before the checkpoint from which the task resumed.
        pub progress: TimeSpan,
        /// Work saved by the last checkpoint.
        pub checkpoint: TimeSpan,
    }
}
