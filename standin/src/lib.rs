//! Stand-ins for the platform: pure models of its log, workers and VM list.
//!
//! A model opens no socket, starts no thread and reads no clock: the time is an argument of each
//! call. The same models serve behind HTTP and in in-memory tests.
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
