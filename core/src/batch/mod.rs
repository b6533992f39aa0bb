//! Batch jobs: jobs of steps of tasks, which an elected planner places on workers under leases.
//!
//! All durable state is in one compacted topic of the platform's store. Each daemon reads the topic
//! and maintains the same materialized view, [`view::BatchView`]. The daemon that holds the newest
//! term is the planner. [`message`] defines the inputs and effects; all inputs arrive through
//! [`reducer::apply`](crate::reducer::apply).

pub mod account;
mod adoption;
mod apply_plan;
pub mod backlog;
mod cap_preemption;
pub mod capacity;
pub mod catalog;
pub mod cold_start;
mod completion;
mod drain;
pub mod dump;
pub mod entry;
pub mod evict;
pub mod extension;
pub mod fitness;
pub mod forecast;
pub mod guarantee;
mod infeasible;
pub mod intake;
pub mod job;
mod lists;
mod membership;
pub mod message;
pub mod orders;
pub mod overdue;
mod pacing;
pub mod placement;
pub mod planner;
mod preemptible;
pub mod preemption;
pub mod reader;
pub mod record;
mod retention;
pub mod round;
pub mod run_time;
pub mod run_time_relation;
pub mod session;
pub mod settings;
pub mod share;
mod starts;
pub mod state;
mod step;
mod stops;
pub mod suitability;
pub mod term;
pub mod unit;
pub mod view;
pub mod worker_speed;
pub mod writer;

pub use step::apply;
pub use step::reload;
pub use step::settle;
pub use step::stop;
pub use step::tick;
