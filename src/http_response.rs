//! HTTP responses to callers: JSON bodies and problem details (RFC 9457).

use serde_json::Value;
use serde_json::json;

use crate::exchange::CallerReply;
use crate::exchange::EndpointResponse;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::kind::FailureReport;

/// An HTTP response, independent of the HTTP library.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The value of `Content-Type`.
    pub content_type: String,
    /// The value of `Retry-After` in seconds, if a retry may succeed.
    pub retry_after: Option<u64>,
    /// Body in the media type of `content_type`.
    pub body: Vec<u8>,
}

const JSON_CONTENT_TYPE: &str = "application/json";
const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";
const BINARY_CONTENT_TYPE: &str = "application/octet-stream";
const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";

/// Encodes a reply of the control thread.
#[must_use]
pub fn encode_reply(reply: CallerReply) -> HttpResponse {
    match (reply.answer, reply.body) {
        (CallerAnswer::Failure(report), _) => encode_failure(&report),
        (CallerAnswer::Endpoint { .. }, Some(body)) => encode_endpoint(body),
        (CallerAnswer::Endpoint { .. }, None) => encode_failure(&FailureReport::new(
            ErrorKind::EndpointFailed,
            "the endpoint's answer is no longer held",
        )),
        (CallerAnswer::Kept { status, body }, _) => {
            with_body(status, TEXT_CONTENT_TYPE, body.into())
        }
        (CallerAnswer::Dump { json }, _) => with_body(200, JSON_CONTENT_TYPE, json.into()),
        (answer, _) => encode_json(&answer),
    }
}

/// Encodes a failure as problem details. Status, title and retry time come from the table of error
/// kinds.
#[must_use]
pub fn encode_failure(report: &FailureReport) -> HttpResponse {
    let response = report.kind.response();
    let kind = serde_json::to_value(report.kind).unwrap_or(Value::Null);
    let name = kind.as_str().unwrap_or_default();
    let problem = json!({
        "type": format!("urn:mustardpath:error:{name}"),
        "kind": kind,
        "title": response.title,
        "status": response.status,
        "detail": report.detail,
        "run": response.run,
        "retry_after_ms": response.retry_after,
    });
    HttpResponse {
        retry_after: response.retry_after.map(|span| span.0.div_ceil(1_000)),
        ..with_body(
            response.status,
            PROBLEM_CONTENT_TYPE,
            problem.to_string().into(),
        )
    }
}

/// Encodes a plain-text response.
#[must_use]
pub fn encode_text(status: u16, text: &str) -> HttpResponse {
    with_body(status, TEXT_CONTENT_TYPE, text.into())
}

fn encode_json(answer: &CallerAnswer) -> HttpResponse {
    match serde_json::to_vec(answer) {
        Ok(body) => with_body(200, JSON_CONTENT_TYPE, body),
        Err(error) => encode_failure(&FailureReport::new(
            ErrorKind::OutcomeUnknown,
            format!("the answer cannot be encoded: {error}"),
        )),
    }
}

fn encode_endpoint(body: EndpointResponse) -> HttpResponse {
    let content_type = body.content_type.as_deref().unwrap_or(BINARY_CONTENT_TYPE);
    with_body(body.status, content_type, body.bytes)
}

fn with_body(status: u16, content_type: &str, body: Vec<u8>) -> HttpResponse {
    HttpResponse {
        status,
        content_type: content_type.into(),
        retry_after: None,
        body,
    }
}
