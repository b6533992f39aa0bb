//! Answers to callers as HTTP: JSON bodies and problem details.

use serde_json::Value;
use serde_json::json;

use crate::exchange::CallerReply;
use crate::exchange::EndpointBody;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::kind::FailureReport;

/// An HTTP answer before it is written to a socket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// The media type.
    pub media: String,
    /// Seconds until a retry makes sense.
    pub retry_after: Option<u64>,
    /// The body.
    pub body: Vec<u8>,
}

const JSON_MEDIA: &str = "application/json";
const PROBLEM_MEDIA: &str = "application/problem+json";
const BYTES_MEDIA: &str = "application/octet-stream";
const TEXT_MEDIA: &str = "text/plain; charset=utf-8";

/// Returns the answer to a reply of the control thread.
#[must_use]
pub fn encode_reply(reply: CallerReply) -> HttpAnswer {
    match (reply.answer, reply.body) {
        (CallerAnswer::Failure(report), _) => encode_failure(&report),
        (CallerAnswer::Endpoint { .. }, Some(body)) => encode_endpoint(body),
        (CallerAnswer::Endpoint { .. }, None) => encode_failure(&FailureReport::new(
            ErrorKind::EndpointFailed,
            "the endpoint's answer is no longer held",
        )),
        (CallerAnswer::Kept { status, body }, _) => with_body(status, TEXT_MEDIA, body.into()),
        (CallerAnswer::Dump { json }, _) => with_body(200, JSON_MEDIA, json.into()),
        (answer, _) => encode_json(&answer),
    }
}

/// Returns the problem-details answer to a failure, as the table of kinds says.
#[must_use]
pub fn encode_failure(report: &FailureReport) -> HttpAnswer {
    let row = report.kind.response();
    let kind = serde_json::to_value(report.kind).unwrap_or(Value::Null);
    let name = kind.as_str().unwrap_or_default();
    let problem = json!({
        "type": format!("urn:mustardpath:error:{name}"),
        "kind": kind,
        "title": row.title,
        "status": row.status,
        "detail": report.detail,
        "run": row.run,
        "retry_after_ms": row.retry_after,
    });
    HttpAnswer {
        retry_after: row.retry_after.map(|span| span.0.div_ceil(1_000)),
        ..with_body(row.status, PROBLEM_MEDIA, problem.to_string().into())
    }
}

/// Returns a plain-text answer.
#[must_use]
pub fn encode_text(status: u16, text: &str) -> HttpAnswer {
    with_body(status, TEXT_MEDIA, text.into())
}

fn encode_json(answer: &CallerAnswer) -> HttpAnswer {
    match serde_json::to_vec(answer) {
        Ok(body) => with_body(200, JSON_MEDIA, body),
        Err(error) => encode_failure(&FailureReport::new(
            ErrorKind::OutcomeUnknown,
            format!("the answer cannot be encoded: {error}"),
        )),
    }
}

fn encode_endpoint(body: EndpointBody) -> HttpAnswer {
    let media = body.media.as_deref().unwrap_or(BYTES_MEDIA);
    with_body(body.status, media, body.bytes)
}

fn with_body(status: u16, media: &str, body: Vec<u8>) -> HttpAnswer {
    HttpAnswer {
        status,
        media: media.into(),
        retry_after: None,
        body,
    }
}
