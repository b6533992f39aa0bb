//! Open-loop callers: arrivals follow a seeded schedule and do not wait for earlier responses.

use std::io;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use serde_json::Value;

use crate::digest;
use crate::http_client::CallError;
use crate::http_client::CallResponse;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use crate::load_cluster::LoadCluster;
use crate::load_plan::LoadClass;
use crate::load_plan::LoadPlan;
use crate::load_plan::LoadScenario;
use crate::load_plan::TEAM;
use crate::load_stats::RequestOutcome;
use crate::load_stats::RequestResult;
use crate::outbound;
use mustardpath_core::ids::RequestKey;
use mustardpath_standin::endpoint;

/// Number of sending threads. It is enough for a burst in which each request waits for its
/// deadline.
const CALLER_THREADS: usize = 256;

/// Maximum number of arrivals that wait for a sending thread.
const ARRIVAL_QUEUE_CAPACITY: usize = 65_536;

/// Deadline that callers set for their requests.
const REQUEST_DEADLINE: Duration = Duration::from_secs(3);

/// Time beyond the deadline that callers wait for the daemon's response.
const RESPONSE_GRACE: Duration = Duration::from_secs(3);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

/// Fraction of requests that run at most once.
const BOOK_FRACTION: f64 = 0.1;

/// Rate of a burst as a multiple of the normal rate.
const BURST_FACTOR: f64 = 10.0;

/// One scheduled request.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    number: usize,
    class: LoadClass,
    scheduled_at: Duration,
}

/// Pool of threads that send requests.
pub struct CallerPool {
    arrivals: Sender<Arrival>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerPool {
    /// Starts the threads. They send the result of each request to `results`.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a thread cannot be started.
    pub fn start(
        cluster: &Arc<LoadCluster>,
        plan: LoadPlan,
        start: Instant,
        results: &Sender<RequestResult>,
    ) -> io::Result<Self> {
        let (arrivals, received) = crossbeam_channel::bounded(ARRIVAL_QUEUE_CAPACITY);
        // The threads share one pool of connections for direct calls, because a worker accepts only
        // 64 connections.
        let endpoint_client = HttpClient::new(MAX_RESPONSE_BYTES);
        let mut threads = Vec::new();
        for number in 0..CALLER_THREADS {
            let caller = CallerThread {
                cluster: Arc::clone(cluster),
                client: HttpClient::new(MAX_RESPONSE_BYTES),
                endpoint_client: endpoint_client.clone(),
                run_ms: plan.run_ms,
                start,
            };
            let received: Receiver<Arrival> = received.clone();
            let results = results.clone();
            let thread = thread::Builder::new()
                .name(format!("caller-{number}"))
                .spawn(move || caller.run(&received, &results))?;
            threads.push(thread);
        }
        Ok(Self { arrivals, threads })
    }

    /// Schedules requests until the end of the run, waits for their results, and returns the number
    /// of requests.
    pub fn send_all(self, plan: &LoadPlan, start: Instant) -> usize {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let end = plan.phase_duration * 3;
        let mut scheduled_at = Duration::ZERO;
        let mut number = 0;
        loop {
            scheduled_at += interarrival_time(&mut rng, plan, scheduled_at);
            if scheduled_at >= end {
                break;
            }
            let class = choose_class(&mut rng, plan, scheduled_at);
            thread::sleep((start + scheduled_at).saturating_duration_since(Instant::now()));
            let arrival = Arrival {
                number,
                class,
                scheduled_at,
            };
            if self.arrivals.send(arrival).is_err() {
                break;
            }
            number += 1;
        }
        drop(self.arrivals);
        for thread in self.threads {
            // The result of a thread that panicked is missing from the counts.
            let _ = thread.join();
        }
        number
    }
}

/// Returns the time to the next arrival of a Poisson process.
fn interarrival_time(rng: &mut fastrand::Rng, plan: &LoadPlan, scheduled_at: Duration) -> Duration {
    let is_fault_phase =
        scheduled_at >= plan.phase_duration && scheduled_at < plan.phase_duration * 2;
    let is_burst = plan.scenario == LoadScenario::Burst && is_fault_phase;
    let rate = plan.rate * if is_burst { BURST_FACTOR } else { 1.0 };
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate)
}

/// Returns the class of an arrival. In the scenario `direct`, direct calls and calls through the
/// daemons alternate every second, so both are measured under the same conditions of the machine.
fn choose_class(rng: &mut fastrand::Rng, plan: &LoadPlan, scheduled_at: Duration) -> LoadClass {
    let is_book = rng.f64() < BOOK_FRACTION;
    match plan.scenario {
        LoadScenario::Direct if scheduled_at.as_secs() % 2 == 1 => LoadClass::Direct,
        LoadScenario::Direct => LoadClass::Check,
        _ if is_book => LoadClass::Book,
        _ => LoadClass::Check,
    }
}

struct CallerThread {
    cluster: Arc<LoadCluster>,
    client: HttpClient,
    endpoint_client: HttpClient,
    run_ms: u64,
    start: Instant,
}

impl CallerThread {
    fn run(mut self, arrivals: &Receiver<Arrival>, results: &Sender<RequestResult>) {
        for arrival in arrivals {
            let key = format!("r{}", arrival.number);
            // Each body is unique, so the response to another request does not match.
            let body = format!(r#"{{"run_ms":{},"result":"{key}"}}"#, self.run_ms);
            let outcome = self.send(arrival, &key, body.as_bytes());
            let result = RequestResult {
                class: arrival.class,
                key: RequestKey::from(key.as_str()),
                scheduled_at: arrival.scheduled_at,
                latency: self.start.elapsed().saturating_sub(arrival.scheduled_at),
                outcome,
            };
            if results.send(result).is_err() {
                return;
            }
        }
    }

    /// Sends a request. If it cannot be delivered, sends it to the next daemon, as a load balancer
    /// does.
    fn send(&mut self, arrival: Arrival, key: &str, body: &[u8]) -> RequestOutcome {
        for attempt in 0..3 {
            let response = match arrival.class {
                LoadClass::Direct => self.call_endpoint(arrival, key, body),
                LoadClass::Check | LoadClass::Book => {
                    let Some(address) = self.cluster.daemon_address(arrival.number + attempt)
                    else {
                        return RequestOutcome::NotRun;
                    };
                    self.call_daemon(arrival, key, body, &address)
                }
            };
            match response {
                Ok(response) => {
                    let outcome = classify_response(&response, body);
                    if outcome == RequestOutcome::Wrong {
                        let (class, status) = (arrival.class.name(), response.status);
                        let length = response.body.len();
                        eprintln!(
                            "load: {key} ({class}): wrong response, status {status}, {length} bytes"
                        );
                    }
                    return outcome;
                }
                Err(CallError::Unknown(_)) => return RequestOutcome::Disconnected,
                Err(CallError::Undelivered(_)) => {}
            }
        }
        RequestOutcome::NotRun
    }

    fn call_daemon(
        &mut self,
        arrival: Arrival,
        key: &str,
        body: &[u8],
        address: &str,
    ) -> Result<CallResponse, CallError> {
        let headers = [
            ("Authorization", format!("Bearer {}", self.cluster.team_key)),
            ("Mustardpath-Team", TEAM.to_owned()),
            (outbound::KEY_HEADER, key.to_owned()),
            (
                outbound::DEADLINE_HEADER,
                REQUEST_DEADLINE.as_millis().to_string(),
            ),
        ];
        self.client.call(&HttpCall {
            address,
            path: &format!("/v1/requests/{}", arrival.class.name()),
            headers: &headers,
            body: Some(body),
            timeout: REQUEST_DEADLINE + RESPONSE_GRACE,
        })
    }

    fn call_endpoint(
        &mut self,
        arrival: Arrival,
        key: &str,
        body: &[u8],
    ) -> Result<CallResponse, CallError> {
        let headers = [
            (outbound::REQUEST_HEADER, format!("direct-0-{key}")),
            (outbound::ATTEMPT_HEADER, "1".to_owned()),
            (outbound::LENGTH_HEADER, body.len().to_string()),
            (
                outbound::DIGEST_HEADER,
                digest::format_digest(digest::body_digest(body)),
            ),
            (outbound::KEY_HEADER, key.to_owned()),
        ];
        self.endpoint_client.call(&HttpCall {
            address: &self.cluster.endpoint_address(arrival.number),
            path: "/requests/check",
            headers: &headers,
            body: Some(body),
            timeout: REQUEST_DEADLINE,
        })
    }
}

/// Returns the outcome that a response reports. An endpoint that is called directly refuses a
/// request with a header, a daemon with a problem-details body.
fn classify_response(response: &CallResponse, body: &[u8]) -> RequestOutcome {
    if response.header(outbound::RUN_HEADER) == Some(outbound::NOT_RUN) {
        return RequestOutcome::NotRun;
    }
    let is_problem = response
        .header("Content-Type")
        .is_some_and(|media| media.starts_with("application/problem+json"));
    if !is_problem {
        return if response.body == endpoint::answer_to(body) {
            RequestOutcome::Answered
        } else {
            RequestOutcome::Wrong
        };
    }
    let problem: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    match problem["run"].as_str() {
        Some("not_run") => RequestOutcome::NotRun,
        _ => RequestOutcome::Unknown,
    }
}
