//! HTTP client with which the command-line tools call a daemon.

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

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for a response, in addition to [`ClientRequest::wait`]. By default a daemon responds
/// or reports an unknown outcome after 3 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Media type of an error response.
const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Maximum size of a response body. Dumps are the largest.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Body of an error response in the problem-details format.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct ProblemDetails {
    /// URN that ends with the name of the error kind.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// Summary of the error kind.
    #[serde(default)]
    pub title: String,
    /// The HTTP status.
    #[serde(default)]
    pub status: u16,
    /// Explanation of this occurrence.
    #[serde(default)]
    pub detail: String,
    /// Whether the work has run. [`RunStatus::MayHaveRun`] if absent.
    #[serde(default = "may_have_run")]
    pub run: RunStatus,
}

const fn may_have_run() -> RunStatus {
    RunStatus::MayHaveRun
}

quick_error! {
    /// Reason why a request has no result.
    #[derive(Debug)]
    pub enum ClientError {
        /// The connection failed before anything was sent.
        Unreachable(address: SocketAddr, detail: String) {
            display("cannot connect to {address}, nothing was sent: {detail}")
        }
        /// No complete response arrived. The daemon may have received the request.
        NoResponse(address: SocketAddr, detail: String) {
            display("no complete response from {address}, the command may have run: {detail}")
        }
        /// The daemon returned an error.
        Problem(problem: ProblemDetails) {
            display("{}: {} ({})", problem.title, problem.detail, run_status_text(problem.run))
        }
        /// The response cannot be decoded.
        Malformed(detail: String) {
            display("invalid response, the command may have run: {detail}")
        }
        /// The input is invalid. Nothing was sent.
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
    /// Returns the exit status, which indicates whether the command has run.
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
    /// Returns whether the same request may succeed after a short delay, at another daemon or when
    /// this one is ready.
    #[must_use]
    pub const fn is_temporary(&self) -> bool {
        match self {
            Self::Unreachable(..) | Self::NoResponse(..) => true,
            Self::Problem(problem) => matches!(problem.status, 429 | 502..=504),
            Self::Malformed(_) | Self::BadInput(_) => false,
        }
    }
}

/// A response other than problem details.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    /// The HTTP status. It can be an error status if the response comes from an endpoint.
    pub status: u16,
    /// Complete body, not decoded; see [`Self::decode`].
    pub body: Vec<u8>,
}

impl ClientResponse {
    /// Decodes the body from JSON.
    ///
    /// # Errors
    ///
    /// Returns [`ClientError::Malformed`] if the status is an error status or the body does not
    /// match `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        if self.status >= 400 {
            let detail = format!("HTTP status {} without problem details", self.status);
            return Err(ClientError::Malformed(detail));
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| ClientError::Malformed(error.to_string()))
    }
}

/// The configuration in force.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct ConfigResponse {
    /// Version in force, which a change names as its base.
    pub version: ConfigVersion,
    /// Team files of this version, by name of the team.
    pub teams: IndexMap<TeamName, TeamFile>,
}

/// A request to a daemon.
#[derive(Clone, Debug)]
pub struct ClientRequest<'c> {
    /// The HTTP method.
    pub method: &'static str,
    /// Path and query, percent-encoded.
    pub path: String,
    /// Names and values of additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Media type of the body. Empty if there is no body.
    pub content_type: &'static str,
    /// Body to send; empty for a `GET` request.
    pub body: &'c [u8],
    /// Time for which the daemon may delay its response, such as in a long poll.
    pub wait: Duration,
}

impl ClientRequest<'_> {
    /// Creates a `GET` request without a body.
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
    /// Creates a `POST` request with a JSON body.
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

/// Client for one daemon. Each request opens a connection of its own.
#[derive(Debug)]
pub struct DaemonClient {
    address: SocketAddr,
    key: Option<AccessKey>,
}

impl DaemonClient {
    /// Creates a client without connecting. `key` is sent with each request.
    #[must_use]
    pub const fn new(address: SocketAddr, key: Option<AccessKey>) -> Self {
        Self { address, key }
    }

    /// Fetches the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns why there is no result.
    pub fn config(&self) -> Result<ConfigResponse, ClientError> {
        self.send(&ClientRequest::get("/v1/config"))?.decode()
    }

    /// Sends a request and reads the complete response.
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

/// Percent-encodes text as one segment of a path.
#[must_use]
pub fn encode_path_segment(text: &str) -> String {
    utf8_percent_encode(text, NON_ALPHANUMERIC).to_string()
}

/// Creates an agent that does not reuse connections, because an idle connection may have become
/// unresponsive.
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
