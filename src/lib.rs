//! Processes of the mustardpath scheduler: threads, sockets and encodings around the reducer of
//! `mustardpath-core`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#![warn(clippy::all)]

pub mod access;
pub mod arguments;
pub mod client;
pub mod client_limits;
pub mod command;
pub mod control;
pub mod daemon;
pub mod deployment;
pub mod digest;
pub mod dispatch;
pub mod domain_command;
pub mod entry;
pub mod exchange;
pub mod exit;
pub mod fault_proxy;
pub mod front_proxy;
pub mod generator;
pub mod http_client;
pub mod http_response;
pub mod http_server;
pub mod job_command;
pub mod load;
pub mod load_cluster;
pub mod load_plan;
pub mod load_report;
pub mod load_stats;
pub mod load_traffic;
pub mod local_cluster;
pub mod local_load;
pub mod local_run;
pub mod log_client;
pub mod logs;
pub mod loop_monitor;
pub mod metrics;
pub mod outbound;
pub mod peer_message;
pub mod peer_service;
pub mod peers;
pub mod publish;
pub mod replay;
pub mod replay_metrics;
mod replay_state;
pub mod request_scan;
pub mod route_table;
pub mod settings_file;
pub mod signals;
pub mod simulation;
pub mod standin_http;
pub mod standin_log;
pub mod standin_platform;
pub mod standin_vms;
pub mod standin_worker;
pub mod table;
pub mod trace;
pub mod tree;
pub mod workload;

// Generated from `schema/peer.capnp`. The generated code refers to itself by this path.
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
#[rustfmt::skip]
pub mod peer_capnp;
