//! HTTP calls from one thread, with a timeout for each phase.

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

/// Longest time to set up a connection. One-way delays are at most 20 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Age at which an idle connection is closed. It is above the 15 s between two renewals of a lease,
/// so that a renewal needs no new connection, and below the 60 s after which the other side closes.
const MAX_IDLE_AGE: Duration = Duration::from_secs(40);

/// Idle connections of one pool of threads.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Idle connections to one address. A worker takes 64 connections from all daemons together.
const MAX_IDLE_PER_ADDRESS: usize = 2;

/// Why there is no response.
#[derive(Debug)]
pub enum CallError {
    /// No connection was made, so no byte was sent.
    Undelivered(String),
    /// The request may have arrived.
    Unknown(String),
}

/// A whole response.
#[derive(Debug)]
pub struct CallResponse {
    /// The status code.
    pub status: u16,
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// One request.
#[derive(Clone, Copy, Debug)]
pub struct HttpCall<'a> {
    /// IP number and port.
    pub address: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// Names and values of further headers.
    pub headers: &'a [(&'a str, String)],
    /// The body of a POST; a request without one is a GET.
    pub body: Option<&'a [u8]>,
    /// Longest time to the whole response.
    pub timeout: Duration,
}

/// The connections of a pool of threads. Clones share idle connections, and each thread learns by
/// itself which addresses fail.
#[derive(Clone)]
pub struct HttpClient {
    pooled: Agent,
    unpooled: Agent,
    body_limit: u64,
    bypass_until: HashMap<String, Instant>,
}

impl CallResponse {
    /// Returns the value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

impl HttpClient {
    /// Creates a client that takes bodies of up to `body_limit` bytes.
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
    /// After a failure the address is called over new connections only, until the idle ones have
    /// reached their age: connections to one address tend to fall silent together.
    ///
    /// # Errors
    ///
    /// Returns whether the request can have arrived.
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
