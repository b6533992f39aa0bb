//! Processes of the mustardpath scheduler: threads, sockets and encodings around the reducer.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![warn(clippy::all)]

pub mod access;
pub mod arguments;
pub mod client;
pub mod command;
pub mod domain_command;
pub mod exit;
pub mod job_command;
pub mod publish;
pub mod table;
pub mod tree;
