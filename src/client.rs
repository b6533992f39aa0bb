//! Calls of the command-line tools to a daemon over HTTP.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use quick_error::quick_error;
use serde::de::DeserializeOwned;
use ureq::Agent;
use ureq::Timeout;
use ureq::http::Request;
use ureq::http::Response;

use crate::access::AccessKey;
use crate::exit::ExitStatus;
use mustardpath_core::config::TeamFile;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::ids::TeamName;
use mustardpath_core::kind::RunStatus;

/// Longest time to a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time to an answer beyond the wait that the command itself asks for. A daemon answers
/// or reports an unknown outcome after 3 s by default.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Media type of an error answer.
const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Largest answer that is read; a dump is the largest.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// An error answer in the problem-details format.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct ProblemDetails {
    /// Names the kind of error.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// Short text for the kind.
    #[serde(default)]
    pub title: String,
    /// The HTTP status.
    #[serde(default)]
    pub status: u16,
    /// What went wrong in this case.
    #[serde(default)]
    pub detail: String,
    /// Whether the work has run.
    #[serde(default = "may_have_run")]
    pub run: RunStatus,
}

const fn may_have_run() -> RunStatus {
    RunStatus::MayHaveRun
}

quick_error! {
    /// Why a command has no result.
    #[derive(Debug)]
    pub enum ClientError {
        /// No connection was made.
        Unreachable(address: SocketAddr, detail: String) {
            display("{address}: no connection, nothing was sent: {detail}")
        }
        /// The command may have arrived, but its answer did not.
        NoResponse(address: SocketAddr, detail: String) {
            display("{address}: no complete answer, the command may have run: {detail}")
        }
        /// The daemon answered with an error.
        Problem(problem: ProblemDetails) {
            display("{}: {} ({})", problem.title, problem.detail, run_status_text(problem.run))
        }
        /// The answer does not have the form of this interface.
        Malformed(detail: String) {
            display("the answer is not understood, the command may have run: {detail}")
        }
        /// The command cannot be sent as given.
        BadInput(detail: String) {
            display("{detail}")
        }
    }
}

const fn run_status_text(run: RunStatus) -> &'static str {
    match run {
        RunStatus::NotRun => "not run",
        RunStatus::MayHaveRun => "may have run",
        RunStatus::HasRun => "has run",
    }
}

impl ClientError {
    /// Returns the exit status that says whether the command has run.
    #[must_use]
    pub const fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Unreachable(..) => ExitStatus::Unreachable,
            Self::NoResponse(..) | Self::Malformed(_) => ExitStatus::Unknown,
            Self::BadInput(_) => ExitStatus::BadInput,
            Self::Problem(problem) => match problem.run {
                RunStatus::NotRun => ExitStatus::Refused,
                RunStatus::MayHaveRun => ExitStatus::Unknown,
                RunStatus::HasRun => ExitStatus::Unfinished,
            },
        }
    }
}

impl ClientError {
    /// Tells whether the same command may have an answer a moment later, when another daemon takes
    /// it or this one is ready.
    #[must_use]
    pub const fn is_temporary(&self) -> bool {
        match self {
            Self::Unreachable(..) | Self::NoResponse(..) => true,
            Self::Problem(problem) => matches!(problem.status, 429 | 502..=504),
            Self::Malformed(_) | Self::BadInput(_) => false,
        }
    }
}

/// An answer that is no problem report.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The HTTP status. An endpoint's answer may have any.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl ClientResponse {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Malformed`] when the body is something else.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        if self.status >= 400 {
            let detail = format!("status {} without problem details", self.status);
            return Err(ClientError::Malformed(detail));
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| ClientError::Malformed(error.to_string()))
    }
}

/// The team files in force.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct ConfigResponse {
    /// The version.
    pub version: ConfigVersion,
    /// The files by team.
    pub teams: IndexMap<TeamName, TeamFile>,
}

/// One command to a daemon.
#[derive(Clone, Debug)]
pub struct ClientRequest<'c> {
    /// The HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: &'c [u8],
    /// How long the daemon may wait before it answers.
    pub wait: Duration,
}

impl ClientRequest<'_> {
    /// Creates a command without a body.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            headers: Vec::new(),
            content_type: "",
            body: &[],
            wait: Duration::ZERO,
        }
    }
}

impl<'c> ClientRequest<'c> {
    /// Creates a command with a body in JSON.
    #[must_use]
    pub fn post(path: impl Into<String>, body: &'c [u8]) -> Self {
        Self {
            method: "POST",
            content_type: "application/json",
            body,
            ..ClientRequest::get(path)
        }
    }
}

/// A connection to one daemon.
#[derive(Debug)]
pub struct DaemonClient {
    address: SocketAddr,
    key: Option<AccessKey>,
}

impl DaemonClient {
    /// Creates a client; it connects with the first command.
    #[must_use]
    pub const fn new(address: SocketAddr, key: Option<AccessKey>) -> Self {
        Self { address, key }
    }

    /// Reads the team files in force.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub fn config(&self) -> Result<ConfigResponse, ClientError> {
        self.send(&ClientRequest::get("/v1/config"))?.decode()
    }

    /// Sends one command and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns why there is no result, and whether the command may have run.
    pub fn send(&self, request: &ClientRequest<'_>) -> Result<ClientResponse, ClientError> {
        let http_request = self.encode(request)?;
        let response = new_agent(request.wait)
            .run(http_request)
            .map_err(|error| self.transport_error(&error))?;
        self.read_response(response)
    }

    fn encode<'c>(&self, request: &ClientRequest<'c>) -> Result<Request<&'c [u8]>, ClientError> {
        let uri = format!("http://{}{}", self.address, request.path);
        let mut builder = Request::builder().method(request.method).uri(uri);
        if let Some(key) = &self.key {
            builder = builder.header("Authorization", key.authorization());
        }
        if !request.content_type.is_empty() {
            builder = builder.header("Content-Type", request.content_type);
        }
        for (name, value) in &request.headers {
            builder = builder.header(*name, value);
        }
        builder
            .body(request.body)
            .map_err(|error| ClientError::BadInput(error.to_string()))
    }

    fn read_response(
        &self,
        mut response: Response<ureq::Body>,
    ) -> Result<ClientResponse, ClientError> {
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_vec()
            .map_err(|error| ClientError::NoResponse(self.address, error.to_string()))?;
        let media_type = response.headers().get("Content-Type");
        if media_type
            .is_none_or(|media_type| media_type.as_bytes() != PROBLEM_MEDIA_TYPE.as_bytes())
        {
            return Ok(ClientResponse { status, body });
        }
        match serde_json::from_slice(&body) {
            Ok(problem) => Err(ClientError::Problem(problem)),
            Err(error) => Err(ClientError::Malformed(error.to_string())),
        }
    }

    fn transport_error(&self, error: &ureq::Error) -> ClientError {
        let detail = error.to_string();
        let is_unsent = match error {
            ureq::Error::ConnectionFailed
            | ureq::Error::HostNotFound
            | ureq::Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
            ureq::Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
            _ => false,
        };
        if is_unsent {
            ClientError::Unreachable(self.address, detail)
        } else {
            ClientError::NoResponse(self.address, detail)
        }
    }
}

/// Encodes text as one segment of a path.
#[must_use]
pub fn encode_path_segment(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

/// Returns an agent without connection reuse: a reused connection may have gone silent.
fn new_agent(wait: Duration) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .proxy(None)
        .max_redirects(0)
        .max_idle_connections(0)
        .allow_non_standard_methods(true)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(CONNECT_TIMEOUT + RESPONSE_TIMEOUT + wait))
        .build()
        .new_agent()
}
