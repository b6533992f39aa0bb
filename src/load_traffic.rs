//! Open-loop callers: seeded arrivals, each on time whether or not earlier ones were answered.

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
use crate::load_tally::RequestOutcome;
use crate::load_tally::RequestResult;
use crate::outbound;
use mustardpath_core::ids::RequestKey;
use mustardpath_standin::endpoint;

/// Threads that send. Enough for a burst in which each request waits for its deadline.
const CALLERS: usize = 256;

/// Arrivals that wait for a thread.
const ARRIVALS: usize = 65_536;

/// Deadline that callers name.
const DEADLINE: Duration = Duration::from_secs(3);

/// Time beyond the deadline for the daemon's answer.
const GRACE: Duration = Duration::from_secs(3);

/// Largest answer.
const ANSWER_BYTES: u64 = 1 << 20;

/// One request in 10 may run at most once.
const BOOK_PART: f64 = 0.1;

/// Times the rate of a burst.
const BURST_FACTOR: f64 = 10.0;

/// One arrival.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    number: usize,
    class: LoadClass,
    due: Duration,
}

/// Threads that send requests.
pub struct CallerPool {
    arrivals: Sender<Arrival>,
    threads: Vec<JoinHandle<()>>,
}

impl CallerPool {
    /// Starts the threads. Each result goes to `results`.
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
        let (arrivals, received) = crossbeam_channel::bounded(ARRIVALS);
        // A worker takes 64 connections, fewer than there are threads.
        let direct = HttpClient::new(ANSWER_BYTES);
        let mut threads = Vec::new();
        for number in 0..CALLERS {
            let caller = CallerThread {
                cluster: Arc::clone(cluster),
                client: HttpClient::new(ANSWER_BYTES),
                direct: direct.clone(),
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

    /// Sends requests on time until the run ends, then waits for the last answer. Returns how many
    /// were sent.
    pub fn send_all(self, plan: &LoadPlan, start: Instant) -> usize {
        let mut rng = fastrand::Rng::with_seed(plan.seed);
        let end = plan.phase * 3;
        let mut due = Duration::ZERO;
        let mut number = 0;
        loop {
            due += gap(&mut rng, plan, due);
            if due >= end {
                break;
            }
            let class = class(&mut rng, plan, due);
            thread::sleep((start + due).saturating_duration_since(Instant::now()));
            let arrival = Arrival { number, class, due };
            if self.arrivals.send(arrival).is_err() {
                break;
            }
            number += 1;
        }
        drop(self.arrivals);
        for thread in self.threads {
            // A caller that panicked has no result, which the count of results shows.
            let _ = thread.join();
        }
        number
    }
}

/// Returns the time to the next arrival of a Poisson process.
fn gap(rng: &mut fastrand::Rng, plan: &LoadPlan, due: Duration) -> Duration {
    let during = due >= plan.phase && due < plan.phase * 2;
    let burst = plan.scenario == LoadScenario::Burst && during;
    let rate = plan.rate * if burst { BURST_FACTOR } else { 1.0 };
    Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate)
}

/// Returns the service of an arrival. Windows of 1 s alternate between direct calls and calls
/// through the daemons, so that both see the same machine.
fn class(rng: &mut fastrand::Rng, plan: &LoadPlan, due: Duration) -> LoadClass {
    let book = rng.f64() < BOOK_PART;
    match plan.scenario {
        LoadScenario::Direct if due.as_secs() % 2 == 1 => LoadClass::Direct,
        LoadScenario::Direct => LoadClass::Check,
        _ if book => LoadClass::Book,
        _ => LoadClass::Check,
    }
}

struct CallerThread {
    cluster: Arc<LoadCluster>,
    client: HttpClient,
    direct: HttpClient,
    run_ms: u64,
    start: Instant,
}

impl CallerThread {
    fn run(mut self, arrivals: &Receiver<Arrival>, results: &Sender<RequestResult>) {
        for arrival in arrivals {
            let key = format!("r{}", arrival.number);
            // Each body is different, so an answer to another request does not match.
            let body = format!(r#"{{"run_ms":{},"result":"{key}"}}"#, self.run_ms);
            let outcome = self.send(arrival, &key, body.as_bytes());
            let result = RequestResult {
                class: arrival.class,
                key: RequestKey::from(key.as_str()),
                due: arrival.due,
                latency: self.start.elapsed().saturating_sub(arrival.due),
                outcome,
            };
            if results.send(result).is_err() {
                return;
            }
        }
    }

    /// Sends a request. One that reached nobody goes to the next daemon, as a balancer does it.
    fn send(&mut self, arrival: Arrival, key: &str, body: &[u8]) -> RequestOutcome {
        for turn in 0..3 {
            let reply = match arrival.class {
                LoadClass::Direct => self.call_endpoint(arrival, key, body),
                LoadClass::Check | LoadClass::Book => {
                    let Some(address) = self.cluster.pick(arrival.number + turn) else {
                        return RequestOutcome::NotRun;
                    };
                    self.call_daemon(arrival, key, body, &address)
                }
            };
            match reply {
                Ok(reply) => {
                    let outcome = judge(&reply, body);
                    if outcome == RequestOutcome::Wrong {
                        let (class, status) = (arrival.class.name(), reply.status);
                        let length = reply.body.len();
                        eprintln!("load: {key} ({class}): wrong, status {status}, {length} bytes");
                    }
                    return outcome;
                }
                Err(CallError::Unknown(_)) => return RequestOutcome::Cut,
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
            (outbound::DEADLINE_HEADER, DEADLINE.as_millis().to_string()),
        ];
        self.client.call(&HttpCall {
            address,
            path: &format!("/v1/requests/{}", arrival.class.name()),
            headers: &headers,
            body: Some(body),
            timeout: DEADLINE + GRACE,
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
        self.direct.call(&HttpCall {
            address: &self.cluster.endpoint(arrival.number),
            path: "/requests/check",
            headers: &headers,
            body: Some(body),
            timeout: DEADLINE,
        })
    }
}

/// Returns what an answer means to its caller. An endpoint that is called directly refuses with a
/// header.
fn judge(reply: &CallResponse, body: &[u8]) -> RequestOutcome {
    if reply.header(outbound::RUN_HEADER) == Some(outbound::NOT_RUN) {
        return RequestOutcome::NotRun;
    }
    let is_problem = reply
        .header("Content-Type")
        .is_some_and(|media| media.starts_with("application/problem+json"));
    if !is_problem {
        return if reply.body == endpoint::answer_to(body) {
            RequestOutcome::Answered
        } else {
            RequestOutcome::Wrong
        };
    }
    let problem: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    match problem["run"].as_str() {
        Some("not_run") => RequestOutcome::NotRun,
        _ => RequestOutcome::Unknown,
    }
}
