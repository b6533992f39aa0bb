//! Batch jobs: jobs of steps of tasks, which one planner places on workers under leases.
//!
//! Everything that lasts is in one keyed topic of the platform's store. Each daemon follows it
//! and derives the same [`view::BatchView`]; the holder of the newest term plans. The inputs and
//! effects are in [`message`], and [`reducer::apply`](crate::reducer::apply) is the only way in.

pub mod catalog;
mod departure;
pub mod dump;
mod enact;
mod ends;
pub mod evict;
pub mod guarantee;
pub mod intake;
pub mod job;
pub mod life;
pub mod message;
mod miss;
pub mod orders;
mod outcome;
pub mod overdue;
pub mod placement;
pub mod planner;
pub mod reader;
pub mod record;
mod retention;
pub mod room;
pub mod round;
pub mod settings;
mod starts;
pub mod state;
mod step;
mod stoppable;
mod stops;
pub mod term;
pub mod unit;
pub mod view;
pub mod writer;

pub use step::apply;
pub use step::reload;
pub use step::settle;
pub use step::stop;
pub use step::tick;
