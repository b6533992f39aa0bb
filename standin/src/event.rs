//! What happened on a worker, for checks of the outcome.

use mustardpath_core::config::ResourceDemand;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::ids::TaskId;
use mustardpath_core::units::ClockTime;

plain_data! {
    /// What happened on a worker, for checks of the outcome.
    pub enum WorkerEvent {
        /// A task has started.
        Started {
            /// When.
            at: ClockTime,
            /// The task.
            task: TaskId,
            /// What it takes.
            demand: ResourceDemand,
            /// Members of its gang.
            members: u32,
        },
        /// A started task has ended.
        Ended {
            /// When.
            at: ClockTime,
            /// The task.
            task: TaskId,
            /// Whether the work is done, as opposed to failed, stopped or lost.
            finished: bool,
        },
        /// A short request has run.
        Answered {
            /// When it began.
            at: ClockTime,
            /// Its idempotency key.
            key: Option<RequestKey>,
        },
    }
}
