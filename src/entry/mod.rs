//! The daemon on the users' platform: sockets of callers, the store and the workers.
//!
//! One traffic thread runs all sockets. It turns what comes in into events and carries out
//! effects; the crate `mustardpath-platform` knows the forms, the core decides.

pub mod client;
pub mod daemon;
pub mod effects;
pub mod exchange;
pub mod log_limiter;
pub mod metrics;
pub mod server;
