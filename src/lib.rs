//! Processes of the mustardpath scheduler: threads, sockets and encodings around the reducer.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![warn(clippy::all)]

pub mod access;
pub mod client;
pub mod exit;
pub mod publish;
pub mod tree;
