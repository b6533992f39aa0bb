//! Models of the platform's log, workers and VM list, for tests without the platform.
//!
//! A model opens no socket, starts no thread and reads no clock: each call takes the current time
//! as an argument. The same models run behind HTTP servers and in the in-memory [`driver`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![warn(clippy::all)]

#[macro_use]
mod utils;

pub mod batch;
pub mod checker;
mod delivery;
pub mod driver;
pub mod endpoint;
pub mod event;
pub mod faults;
pub mod log;
mod log_link;
pub mod task;
pub mod vms;
pub mod worker;
mod worker_link;
