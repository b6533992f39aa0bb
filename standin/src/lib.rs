//! Stand-ins for the platform: pure models of its log, workers and VM list.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![warn(clippy::all)]
