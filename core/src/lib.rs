//! The decision logic of the mustardpath scheduler.
//!
//! All inputs of a daemon are [`event::ControlEvent`] values. The reducer, [`reducer::apply`],
//! updates a [`state::DaemonState`] and returns [`effect::ControlEffect`] values, which the caller
//! executes. The crate opens no sockets, starts no threads and reads no clock: each event carries
//! its time.
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
