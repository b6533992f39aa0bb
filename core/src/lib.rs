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

pub mod attempt;
pub mod baseline;
pub mod batch;
pub mod call;
pub mod caller;
pub mod collection;
pub mod config;
pub mod context;
pub mod cycle;
pub mod difference;
pub mod document;
pub mod domain;
pub mod dump;
pub mod effect;
pub mod estimate;
pub mod event;
pub mod explain;
pub mod fleet;
pub mod gang;
pub mod guarantee;
pub mod health;
pub mod ids;
pub mod intent;
pub mod job_index;
pub mod job_rules;
pub mod key_rules;
pub mod kind;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod member;
pub mod outbox;
pub mod placement;
pub mod plan;
pub mod policy;
pub mod progress;
pub mod publication;
pub mod queue;
pub mod quota;
pub mod reader;
pub mod reclaim;
pub mod record;
pub mod recovery;
pub mod reducer;
pub mod relocate;
pub mod replication;
pub mod report;
pub mod request;
pub mod reservation;
pub mod retry;
pub mod route;
pub mod run;
pub mod settings;
pub mod shutdown;
pub mod snapshot;
pub mod state;
pub mod submission;
pub mod term;
pub mod termination;
pub mod units;
pub mod wait;
pub mod worker;
