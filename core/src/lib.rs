//! Decisions of the mustardpath scheduler as a library.
//!
//! Everything that happens to a daemon is a [`event::ControlEvent`]. The one reducer,
//! [`reducer::apply`], changes a [`state::DaemonState`] and yields [`effect::ControlEffect`]
//! values, which the caller carries out. The crate opens no socket, starts no thread and reads
//! no clock: the time comes in with each event.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![warn(clippy::all)]

#[macro_use]
mod utils;

pub mod config;
pub mod context;
pub mod effect;
pub mod event;
pub mod ids;
pub mod kind;
pub mod ledger;
pub mod policy;
pub mod record;
pub mod reducer;
pub mod settings;
pub mod state;
pub mod units;
pub mod worker;
