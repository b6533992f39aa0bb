//! HTTP server for the model of the VM list, with the admin routes of all stand-ins.

use std::io;
use std::net::SocketAddr;

use rouille::Request;
use rouille::Response;
use serde_json::json;

use crate::standin_http;
use crate::standin_platform::PlatformCall;
use crate::standin_platform::PlatformSender;
use crate::standin_platform::PlatformSwitch;
use mustardpath_core::event::VmOutcome;

/// Starts the server of the VM list and returns its address.
///
/// # Errors
///
/// Returns the I/O error if the socket cannot be bound or the thread cannot be started.
pub fn spawn(platform: PlatformSender, address: &str) -> io::Result<SocketAddr> {
    standin_http::serve("vms", address, move |request| handle(&platform, request))
}

fn handle(platform: &PlatformSender, request: &Request) -> Response {
    let path = request.url();
    match (request.method(), path.as_str()) {
        ("GET", "/vms") => list_changes(platform, request),
        ("POST", "/admin/switch") => apply_switch(platform, request),
        ("GET", "/admin/outcome") => report_outcome(platform),
        _ => standin_http::empty(404),
    }
}

fn list_changes(platform: &PlatformSender, request: &Request) -> Response {
    let since = request
        .get_param("since")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let (reply, receiver) = crossbeam_channel::bounded(1);
    if platform.send(PlatformCall::Vms { since, reply }).is_err() {
        return standin_http::empty(503);
    }
    match receiver.recv() {
        Ok(Some(changes)) => standin_http::json(
            200,
            &VmOutcome::Changes {
                version: changes.version,
                workers: changes.workers,
                daemons: changes.daemons,
            },
        ),
        _ => standin_http::empty(503),
    }
}

fn apply_switch(platform: &PlatformSender, request: &Request) -> Response {
    let switch: Option<PlatformSwitch> =
        standin_http::read_body(request).and_then(|body| serde_json::from_slice(&body).ok());
    match switch.map(|switch| platform.send(PlatformCall::Switch(switch))) {
        Some(Ok(())) => standin_http::empty(200),
        Some(Err(_)) => standin_http::empty(503),
        None => standin_http::empty(400),
    }
}

fn report_outcome(platform: &PlatformSender) -> Response {
    let (reply, receiver) = crossbeam_channel::bounded(1);
    if platform.send(PlatformCall::Outcome { reply }).is_err() {
        return standin_http::empty(503);
    }
    match receiver.recv() {
        Ok((report, starts)) => {
            standin_http::json(200, &json!({ "report": report, "starts": starts }))
        }
        Err(_) => standin_http::empty(503),
    }
}
