//! Blocking HTTP client with connection pooling and a timeout for each phase of a call.

use std::collections::HashMap;
use std::io;
use std::time::Duration;
use std::time::Instant;

use ureq::Agent;
use ureq::Body;
use ureq::Error;
use ureq::RequestBuilder;
use ureq::Timeout;
use ureq::http::Response;

/// Time limit for establishing a connection. One-way network delays are at most 20 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed. It is longer than the 15 s between two renewals
/// of a lease, which can then reuse a connection, and shorter than the 60 s after which the server
/// closes idle connections.
const MAX_IDLE_AGE: Duration = Duration::from_secs(40);

/// Maximum number of idle connections per thread pool.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Maximum number of idle connections per address. A worker accepts 64 connections from all daemons
/// together.
const MAX_IDLE_PER_ADDRESS: usize = 2;

/// Reason why a call has no response.
#[derive(Debug)]
pub enum CallError {
    /// The connection failed before any byte of the request was sent.
    Undelivered(String),
    /// The request may have reached the server.
    Unknown(String),
}

/// A complete response, which may have an error status.
#[derive(Debug)]
pub struct CallResponse {
    /// The HTTP status code.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// Body, within the size limit of the client.
    pub body: Vec<u8>,
}

/// A request with its destination and time limit.
#[derive(Clone, Copy, Debug)]
pub struct HttpCall<'a> {
    /// IP address and port of the server.
    pub address: &'a str,
    /// The path, with the query if any.
    pub path: &'a str,
    /// Names and values of additional headers.
    pub headers: &'a [(&'a str, String)],
    /// The body. A call with a body is sent as `POST`, one without a body as `GET`.
    pub body: Option<&'a [u8]>,
    /// Time limit for the whole call.
    pub timeout: Duration,
}

/// An HTTP client. Clones share their idle connections, while each clone keeps its own record of
/// addresses with recent failures.
#[derive(Clone)]
pub struct HttpClient {
    pooled: Agent,
    unpooled: Agent,
    body_limit: u64,
    bypass_until: HashMap<String, Instant>,
}

impl CallResponse {
    /// Returns the value of the first header with this name, in any letter case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

impl HttpClient {
    /// Creates a client that accepts response bodies of up to `body_limit` bytes.
    #[must_use]
    pub fn new(body_limit: u64) -> Self {
        Self {
            pooled: agent(MAX_IDLE_CONNECTIONS),
            unpooled: agent(0),
            body_limit,
            bypass_until: HashMap::new(),
        }
    }

    /// Sends a request and reads the whole response.
    ///
    /// After a failure, calls to the address bypass the pool until its idle connections have
    /// expired, as connections to one address often stall together.
    ///
    /// # Errors
    ///
    /// Returns whether the request may have reached the server.
    pub fn call(&mut self, call: &HttpCall<'_>) -> Result<CallResponse, CallError> {
        let result = send(self.agent_for(call.address), call)
            .and_then(|response| read(response, self.body_limit));
        result.map_err(|error| {
            self.bypass_pool(call.address);
            classify(&error)
        })
    }

    fn agent_for(&self, address: &str) -> &Agent {
        match self.bypass_until.get(address) {
            Some(until) if *until > Instant::now() => &self.unpooled,
            _ => &self.pooled,
        }
    }

    fn bypass_pool(&mut self, address: &str) {
        let now = Instant::now();
        self.bypass_until.retain(|_, until| *until > now);
        self.bypass_until.insert(address.into(), now + MAX_IDLE_AGE);
    }
}

fn agent(idle: usize) -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .proxy(None)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle.min(MAX_IDLE_PER_ADDRESS))
        .max_idle_age(MAX_IDLE_AGE)
        .build()
        .new_agent()
}

fn send(agent: &Agent, call: &HttpCall<'_>) -> Result<Response<Body>, Error> {
    let url = format!("http://{}{}", call.address, call.path);
    match call.body {
        Some(body) => with_timeouts(with_headers(agent.post(&url), call), call).send(body),
        None => with_timeouts(with_headers(agent.get(&url), call), call).call(),
    }
}

fn with_headers<B>(mut request: RequestBuilder<B>, call: &HttpCall<'_>) -> RequestBuilder<B> {
    for (name, value) in call.headers {
        request = request.header(*name, value);
    }
    request
}

fn with_timeouts<B>(request: RequestBuilder<B>, call: &HttpCall<'_>) -> RequestBuilder<B> {
    let limit = Some(call.timeout);
    request
        .config()
        .timeout_connect(Some(CONNECT_TIMEOUT.min(call.timeout)))
        .timeout_send_body(limit)
        .timeout_recv_response(limit)
        .timeout_global(limit)
        .build()
}

fn read(mut response: Response<Body>, limit: u64) -> Result<CallResponse, Error> {
    let headers = response
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_string())))
        .collect();
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(limit)
        .read_to_vec()?;
    Ok(CallResponse {
        status,
        headers,
        body,
    })
}

fn classify(error: &Error) -> CallError {
    let text = error.to_string();
    match error {
        Error::Io(cause) if cause.kind() == io::ErrorKind::ConnectionRefused => {
            CallError::Undelivered(text)
        }
        Error::Timeout(Timeout::Connect | Timeout::Resolve)
        | Error::HostNotFound
        | Error::ConnectionFailed
        | Error::BadUri(_)
        | Error::Http(_) => CallError::Undelivered(text),
        _ => CallError::Unknown(text),
    }
}
