//! Routes of the HTTP API: maps a parsed request to a command, independent of the HTTP library.

use std::str::FromStr;

use serde::Deserialize;
use serde_with::serde_as;

use crate::digest;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::TeamFile;
use mustardpath_core::effect::WorkerTasks;
use mustardpath_core::event::CallerCommand;
use mustardpath_core::event::CallerCredential;
use mustardpath_core::event::JobRequest;
use mustardpath_core::event::RequestHead;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::ids::DomainName;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::ids::ServiceName;
use mustardpath_core::ids::TeamName;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::kind::FailureReport;
use mustardpath_core::settings::LimitSettings;
use mustardpath_core::units::SpanText;
use mustardpath_core::units::TimeSpan;

/// Maximum wait of `GET /v1/jobs/{id}?wait_ms=`. Longer waits are shortened, as a waiting caller
/// occupies a server thread.
pub const MAX_WAIT: TimeSpan = TimeSpan::from_secs(30);

/// Maximum total size of the header names and values of a request.
const MAX_HEADER_BYTES: usize = 8 << 10;

/// A parsed HTTP request that borrows its parts from the connection's buffers.
#[derive(Clone, Copy, Debug)]
pub struct HttpRequest<'a> {
    /// The method in upper case.
    pub method: &'a str,
    /// The decoded path without the query.
    pub path: &'a str,
    /// The raw query without the question mark.
    pub query: &'a str,
    /// Names and values of the headers, in order.
    pub headers: &'a [(String, String)],
    /// Body as received, not decoded yet.
    pub body: &'a [u8],
}

/// The target of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoutedRequest {
    /// A command for the reducer.
    Command(CallerCommand),
    /// Task reports that a worker pushes.
    Reports(WorkerTasks),
    /// A liveness probe, which the HTTP server answers itself.
    Health,
}

#[serde_as]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmitBody {
    service: String,
    #[serde(default)]
    members: Option<u32>,
    #[serde_as(as = "Option<SpanText>")]
    #[serde(default)]
    run_time: Option<TimeSpan>,
    #[serde_as(as = "Option<SpanText>")]
    #[serde(default)]
    deadline: Option<TimeSpan>,
    #[serde(default)]
    payload: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PublishBody {
    base: ConfigVersion,
    #[serde(default)]
    upsert: Vec<TeamFile>,
    #[serde(default)]
    remove: Vec<TeamName>,
    operator: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct DomainBody {
    domain: String,
    out: bool,
    operator: String,
    #[serde(default)]
    confirmed: bool,
}

/// Returns the digest of the bearer token, which identifies the caller. The token itself is not
/// kept.
#[must_use]
pub fn credential(request: &HttpRequest<'_>) -> CallerCredential {
    let digest = request
        .header("Authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(|key| KeyDigest::of(key.trim()));
    CallerCredential { digest }
}

/// Maps a request to its target.
///
/// # Errors
///
/// Returns the failure to respond with when the request is malformed, too large or has no route.
pub fn route(
    request: &HttpRequest<'_>,
    limits: &LimitSettings,
) -> Result<RoutedRequest, FailureReport> {
    check_headers(request)?;
    let parts: Vec<&str> = request.path.split('/').skip(1).collect();
    let command = match (request.method, parts.as_slice()) {
        ("GET", ["health"]) => return Ok(RoutedRequest::Health),
        ("POST", ["v1", "reports"]) => return read_body(request).map(RoutedRequest::Reports),
        ("GET", ["ready"]) => CallerCommand::Ready,
        ("GET", ["v1", "dump"]) => CallerCommand::Dump,
        ("GET", ["v1", "teams"]) => CallerCommand::TeamStatus,
        ("GET", ["v1", "domains"]) => CallerCommand::DomainStatus,
        ("GET", ["v1", "config"]) => CallerCommand::ConfigGet,
        ("GET", ["v1", "config", "status"]) => CallerCommand::ConfigStatus,
        ("POST", ["v1", "config"]) => publish(request, limits)?,
        ("POST", ["v1", "domains"]) => set_domain(request, limits)?,
        ("POST", ["v1", "jobs"]) => submit(request, limits)?,
        ("GET", ["v1", "jobs", job]) => job_status(request, limits, job)?,
        ("POST", ["v1", "jobs", job, "cancel"]) => CallerCommand::JobCancel {
            team: parse_team(request, limits)?,
            job: parse_job_id(job)?,
        },
        ("GET", ["v1", "jobs", job, "explain"]) => CallerCommand::JobExplain {
            job: parse_job_id(job)?,
        },
        ("GET", ["v1", "keys", key]) => CallerCommand::KeyStatus {
            team: parse_team(request, limits)?,
            key: RequestKey::from(parse_name(key, "key", limits)?),
        },
        ("POST", ["v1", "requests", service]) => send(request, limits, service)?,
        (method, _) => {
            let detail = format!("{method} {} is not a known route", request.path);
            return Err(FailureReport::new(ErrorKind::NotFound, detail));
        }
    };
    Ok(RoutedRequest::Command(command))
}

impl<'a> HttpRequest<'a> {
    /// Returns the value of the first header with this name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&'a str> {
        self.headers
            .iter()
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    fn query_value(&self, name: &str) -> Option<&'a str> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(found, _)| *found == name)
            .map(|(_, value)| value)
    }
}

fn bad_request(detail: impl Into<String>) -> FailureReport {
    FailureReport::new(ErrorKind::BadRequest, detail)
}

fn check_headers(request: &HttpRequest<'_>) -> Result<(), FailureReport> {
    let size: usize = request
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum();
    if size > MAX_HEADER_BYTES {
        let detail = format!("the headers take {size} bytes, and {MAX_HEADER_BYTES} are allowed");
        return Err(FailureReport::new(ErrorKind::TooLarge, detail));
    }
    Ok(())
}

fn read_body<'a, T: Deserialize<'a>>(request: &HttpRequest<'a>) -> Result<T, FailureReport> {
    serde_json::from_slice(request.body)
        .map_err(|error| bad_request(format!("the body is not as expected: {error}")))
}

fn parse_name<'a>(
    text: &'a str,
    field: &str,
    limits: &LimitSettings,
) -> Result<&'a str, FailureReport> {
    let max_bytes = limits.name_bytes as usize;
    if text.len() > max_bytes {
        let detail = format!(
            "{field} takes {} bytes, and {max_bytes} are allowed",
            text.len()
        );
        return Err(FailureReport::new(ErrorKind::TooLarge, detail));
    }
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(bad_request(format!(
            "{field} is empty or has a character outside of printable ASCII"
        )));
    }
    Ok(text)
}

fn parse_team(
    request: &HttpRequest<'_>,
    limits: &LimitSettings,
) -> Result<TeamName, FailureReport> {
    let value = request
        .header("Mustardpath-Team")
        .ok_or_else(|| bad_request("the header Mustardpath-Team is missing"))?;
    parse_name(value, "Mustardpath-Team", limits).map(TeamName::from)
}

fn parse_key(
    request: &HttpRequest<'_>,
    limits: &LimitSettings,
) -> Result<Option<RequestKey>, FailureReport> {
    request
        .header("Idempotency-Key")
        .map(|value| parse_name(value, "Idempotency-Key", limits).map(RequestKey::from))
        .transpose()
}

fn parse_deadline(request: &HttpRequest<'_>) -> Result<Option<TimeSpan>, FailureReport> {
    request
        .header("Mustardpath-Deadline-Ms")
        .map(|value| parse_number(value, "Mustardpath-Deadline-Ms").map(TimeSpan))
        .transpose()
}

fn parse_number<T: FromStr>(text: &str, field: &str) -> Result<T, FailureReport> {
    text.parse()
        .map_err(|_| bad_request(format!("{field} is not a whole number in range: {text:?}")))
}

fn parse_job_id(text: &str) -> Result<JobId, FailureReport> {
    parse_number(text, "the job's id").map(JobId)
}

fn submit(
    request: &HttpRequest<'_>,
    limits: &LimitSettings,
) -> Result<CallerCommand, FailureReport> {
    let body: SubmitBody = read_body(request)?;
    let key = parse_key(request, limits)?
        .ok_or_else(|| bad_request("the header Idempotency-Key is missing"))?;
    let max_bytes = usize::try_from(limits.payload.0).unwrap_or(usize::MAX);
    if body.payload.len() > max_bytes {
        let size = body.payload.len();
        let detail = format!("the payload takes {size} bytes, and {max_bytes} are allowed");
        return Err(FailureReport::new(ErrorKind::TooLarge, detail));
    }
    Ok(CallerCommand::Submit(JobRequest {
        team: parse_team(request, limits)?,
        service: ServiceName::from(parse_name(&body.service, "service", limits)?),
        key,
        members: body.members,
        run_time: body.run_time,
        deadline: body.deadline.or(parse_deadline(request)?),
        payload: body.payload,
    }))
}

fn job_status(
    request: &HttpRequest<'_>,
    limits: &LimitSettings,
    job: &str,
) -> Result<CallerCommand, FailureReport> {
    let team = parse_team(request, limits)?;
    let job = parse_job_id(job)?;
    let Some(text) = request.query_value("wait_ms") else {
        return Ok(CallerCommand::JobStatus { team, job });
    };
    let wait = TimeSpan(parse_number(text, "wait_ms")?).min(MAX_WAIT);
    Ok(CallerCommand::JobWait { team, job, wait })
}

fn send(
    request: &HttpRequest<'_>,
    limits: &LimitSettings,
    service: &str,
) -> Result<CallerCommand, FailureReport> {
    Ok(CallerCommand::Send(RequestHead {
        team: parse_team(request, limits)?,
        service: ServiceName::from(parse_name(service, "service", limits)?),
        key: parse_key(request, limits)?,
        deadline: parse_deadline(request)?,
        digest: digest::body_digest(request.body),
        length: request.body.len() as u64,
    }))
}

fn publish(
    request: &HttpRequest<'_>,
    limits: &LimitSettings,
) -> Result<CallerCommand, FailureReport> {
    let body: PublishBody = read_body(request)?;
    parse_name(&body.operator, "operator", limits)?;
    Ok(CallerCommand::ConfigPublish {
        base: body.base,
        upsert: body.upsert,
        remove: body.remove,
        operator: body.operator,
    })
}

fn set_domain(
    request: &HttpRequest<'_>,
    limits: &LimitSettings,
) -> Result<CallerCommand, FailureReport> {
    let body: DomainBody = read_body(request)?;
    parse_name(&body.operator, "operator", limits)?;
    Ok(CallerCommand::DomainSet {
        domain: DomainName::from(parse_name(&body.domain, "domain", limits)?),
        out: body.out,
        operator: body.operator,
        confirmed: body.confirmed,
    })
}
