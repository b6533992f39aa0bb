//! HTTP server for the model of the log.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rouille::Request;
use rouille::Response;

use crate::log_client::StreamExpired;
use crate::log_client::StreamPage;
use crate::log_client::StreamRecord;
use crate::standin_http;
use crate::standin_platform::PlatformCall;
use crate::standin_platform::PlatformSender;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::log::AppendReply;
use mustardpath_standin::log::ReadReply;

/// Maximum number of records in one response.
const MAX_RECORDS: usize = 10_000;

/// Maximum wait of one read.
const MAX_WAIT: TimeSpan = TimeSpan::from_secs(30);

/// Starts the server of the log and returns its address.
///
/// # Errors
///
/// Returns the I/O error if the socket cannot be bound or the thread cannot be started.
pub fn spawn(platform: PlatformSender, address: &str) -> io::Result<SocketAddr> {
    standin_http::serve("log", address, move |request| handle(&platform, request))
}

fn handle(platform: &PlatformSender, request: &Request) -> Response {
    let path = request.url();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match (request.method(), parts.as_slice()) {
        ("POST", ["streams", stream, "records"]) => append_records(platform, request, stream),
        ("GET", ["streams", stream, "records"]) => read_records(platform, request, stream),
        _ => standin_http::empty(404),
    }
}

fn append_records(platform: &PlatformSender, request: &Request, stream: &str) -> Response {
    let texts: Option<Vec<String>> =
        standin_http::read_body(request).and_then(|body| serde_json::from_slice(&body).ok());
    let Some(texts) = texts else {
        return standin_http::empty(400);
    };
    let (reply, receiver) = crossbeam_channel::bounded(1);
    let call = PlatformCall::Append {
        stream: stream.into(),
        records: texts.into_iter().map(String::into_bytes).collect(),
        reply,
    };
    if platform.send(call).is_err() {
        return standin_http::empty(503);
    }
    let Ok(delayed) = receiver.recv() else {
        return standin_http::empty(500);
    };
    thread::sleep(Duration::from_millis(delayed.delay.0));
    match delayed.response {
        AppendReply::Stored { first } => standin_http::json(200, &first),
        AppendReply::Refused => standin_http::empty(503),
        AppendReply::Lost => standin_http::empty(500),
    }
}

fn query_number(request: &Request, name: &str, default: u64) -> u64 {
    request
        .get_param(name)
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

fn read_records(platform: &PlatformSender, request: &Request, stream: &str) -> Response {
    let max = usize::try_from(query_number(request, "max", 1_000)).unwrap_or(MAX_RECORDS);
    let (reply, receiver) = crossbeam_channel::bounded(1);
    let call = PlatformCall::Read {
        stream: stream.into(),
        from: LogOffset(query_number(request, "from", 0)),
        max: max.min(MAX_RECORDS),
        wait: TimeSpan(query_number(request, "wait_ms", 0)).min(MAX_WAIT),
        reply,
    };
    if platform.send(call).is_err() {
        return standin_http::empty(503);
    }
    let Ok(delayed) = receiver.recv() else {
        return standin_http::empty(500);
    };
    thread::sleep(Duration::from_millis(delayed.delay.0));
    match delayed.response {
        ReadReply::Records { records, tail } => {
            let records = records.into_iter().map(encode_record).collect();
            standin_http::json(
                200,
                &StreamPage {
                    records,
                    tail: tail.0,
                },
            )
        }
        ReadReply::Expired { oldest } => {
            standin_http::json(410, &StreamExpired { oldest: oldest.0 })
        }
        ReadReply::Down => standin_http::empty(503),
    }
}

fn encode_record((offset, bytes): (LogOffset, Vec<u8>)) -> StreamRecord {
    StreamRecord {
        offset: offset.0,
        text: String::from_utf8(bytes).unwrap_or_default(),
    }
}
