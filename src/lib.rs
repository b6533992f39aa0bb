//! Processes of the mustardpath scheduler: threads, sockets and encodings around the reducer.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![warn(clippy::all)]
