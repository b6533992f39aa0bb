//! The daemon as it runs on the users' platform.
//!
//! One traffic thread serves all sockets: connections of callers, calls to the store and calls to
//! workers. It turns requests and responses into events and executes effects. The crate
//! `mustardpath-platform` encodes and decodes the platform's messages; the core makes all
//! decisions.

pub mod client;
pub mod daemon;
pub mod effects;
pub mod exchange;
pub mod log_limiter;
pub mod metrics;
pub mod server;
