//! Events of a model worker.

use mustardpath_core::config::ResourceDemand;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::ids::TaskId;
use mustardpath_core::units::ClockTime;

plain_data! {
    /// An event on a worker, for the [`InvariantChecker`](crate::checker::InvariantChecker).
    pub enum WorkerEvent {
        /// A task has started.
        Started {
            /// Time of the start.
            at: ClockTime,
            /// The member that started.
            task: TaskId,
            /// Resources that the task occupies until its end.
            demand: ResourceDemand,
            /// Number of members of the gang.
            members: u32,
        },
        /// A running task has ended.
        Ended {
            /// Time of the end.
            at: ClockTime,
            /// The member that ended.
            task: TaskId,
            /// Whether the work is finished. False when it failed, was stopped or was lost.
            finished: bool,
        },
        /// A short request was accepted by the endpoint and runs.
        Answered {
            /// Time of the start.
            at: ClockTime,
            /// The idempotency key, or `None` when the caller sent none.
            key: Option<RequestKey>,
        },
    }
}
