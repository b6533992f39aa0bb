//! Callers of a local run: they send the deployment's mix and check each answer.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Sender;
use serde_json::json;

use crate::deployment::WorkPlan;
use crate::http_client::CallError;
use crate::http_client::CallResponse;
use crate::local_cluster;
use crate::local_cluster::CallerClient;
use crate::standin_platform::CheckerEvent;
use crate::standin_platform::PlatformCall;
use crate::standin_platform::PlatformSender;
use mustardpath_core::config::ServiceSpec;
use mustardpath_core::config::WorkKind;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::JobEnd;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::RequestKey;
use mustardpath_standin::endpoint;

/// Pause before a refused or unknown command is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time for one command; above the longest wait of a job's status.
const COMMAND_TIME: Duration = Duration::from_secs(10);

/// Wait of one read of a job's status, in milliseconds.
const STATUS_WAIT_MS: u64 = 2_000;

/// Bytes added to a request's body, so that answers take more than one packet.
const BODY_PAD: usize = 4_000;

/// What a caller tells the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadEvent {
    /// A job or a request is accepted.
    Accepted,
    /// An accepted job or request has its final answer.
    Answered,
    /// The final answer is that the outcome is unknown.
    Unknown,
    /// A job or request was refused as "not run" and not sent again.
    Refused {
        /// The daemon's reason.
        reason: String,
    },
    /// A connection failed after a byte was sent.
    BrokenConnection {
        /// The work's key and the error.
        line: String,
    },
    /// A job or request had no final answer at the end of the run.
    Unanswered {
        /// Its key.
        key: String,
    },
    /// The operator has done something.
    Step {
        /// What.
        line: String,
    },
}

/// One caller of a service.
pub struct LoadCaller {
    /// The work that it sends.
    pub plan: WorkPlan,
    /// The service's declaration.
    pub spec: ServiceSpec,
    /// Its number among the callers of the service, from 0.
    pub number: u32,
    /// The team's key.
    pub key: String,
    /// The daemons, asked in turn.
    pub addresses: Vec<String>,
    /// The spread of the work over time.
    pub spread: Duration,
    /// The end of the run.
    pub deadline: Instant,
    /// Takes notes for the checker.
    pub platform: PlatformSender,
    /// Takes events.
    pub events: Sender<LoadEvent>,
}

enum Verdict {
    Done(CallResponse),
    Refused(String),
    Unknown,
    Unanswered,
}

/// Starts a caller. It ends when all its work is answered or the run's deadline passes.
///
/// # Errors
///
/// Returns the system's error when the thread cannot be started.
pub fn spawn(caller: LoadCaller) -> io::Result<()> {
    let name = format!("{}-{}", caller.plan.service, caller.number);
    thread::Builder::new()
        .name(name)
        .spawn(move || caller.run())?;
    Ok(())
}

impl LoadCaller {
    fn run(&self) {
        let address = &self.addresses[0];
        let team = self.plan.team.as_str();
        let mut client = CallerClient::new(address, &self.key).for_team(team);
        let numbers = (self.number..self.plan.count).step_by(self.plan.callers as usize);
        let pause = self.spread / (self.plan.count / self.plan.callers).max(1);
        let mut jobs = Vec::new();
        for number in numbers {
            let key = format!("{}-{number}", self.plan.service);
            match self.spec.work {
                WorkKind::Job => jobs.extend(self.submit(&mut client, key)),
                WorkKind::Request => self.send(&mut client, &key),
            }
            let left = self.deadline.saturating_duration_since(Instant::now());
            thread::sleep(pause.min(left));
        }
        for (job, key) in jobs {
            self.await_end(&mut client, job, &key);
        }
    }

    fn submit(&self, client: &mut CallerClient, key: String) -> Option<(JobId, String)> {
        let payload = json!({ "run_ms": self.plan.run_ms, "result": key }).to_string();
        let body = json!({ "service": self.plan.service, "payload": payload }).to_string();
        match self.insist(client, &key, "/v1/jobs", body.as_bytes()) {
            Verdict::Done(reply) => match local_cluster::decode_answer(Ok(reply)) {
                Ok(CallerAnswer::Job(view)) => {
                    let repeatable = self.spec.repeatable;
                    let job = view.job;
                    self.note(CheckerEvent::Accepted { job, repeatable });
                    self.tell(LoadEvent::Accepted);
                    return Some((job, key));
                }
                _ => self.tell(LoadEvent::Unanswered { key }),
            },
            Verdict::Refused(reason) => self.tell(LoadEvent::Refused { reason }),
            Verdict::Unknown | Verdict::Unanswered => self.tell(LoadEvent::Unanswered { key }),
        }
        None
    }

    fn await_end(&self, client: &mut CallerClient, job: JobId, key: &str) {
        let path = format!("/v1/jobs/{job}?wait_ms={STATUS_WAIT_MS}");
        while Instant::now() < self.deadline {
            match local_cluster::decode_answer(client.get(&path, COMMAND_TIME)) {
                Ok(CallerAnswer::Job(view)) => {
                    if let Some(end) = view.end {
                        self.note_end(job, key, &end);
                        return;
                    }
                }
                _ => self.turn(client),
            }
        }
        self.tell(LoadEvent::Unanswered { key: key.into() });
    }

    fn note_end(&self, job: JobId, key: &str, end: &JobEnd) {
        self.note(CheckerEvent::Ended { job });
        match end {
            JobEnd::Finished { result } => {
                self.note(CheckerEvent::Response {
                    key: RequestKey::from(key),
                    expected: key.into(),
                    received: result.clone().into_bytes(),
                });
                self.tell(LoadEvent::Answered);
            }
            JobEnd::Unknown => self.tell(LoadEvent::Unknown),
            JobEnd::Failed { reason } | JobEnd::Refused { reason } => {
                let reason = format!("{key} ended: {reason}");
                self.tell(LoadEvent::Refused { reason });
            }
            JobEnd::Cancelled => {
                let reason = format!("{key} was cancelled");
                self.tell(LoadEvent::Refused { reason });
            }
        }
    }

    fn send(&self, client: &mut CallerClient, key: &str) {
        let pad = "p".repeat(BODY_PAD);
        let body = json!({ "run_ms": self.plan.run_ms, "result": key, "pad": pad }).to_string();
        let path = format!("/v1/requests/{}", self.plan.service);
        let name = RequestKey::from(key);
        if !self.spec.repeatable {
            self.note(CheckerEvent::AtMostOnce { key: name.clone() });
        }
        match self.insist(client, key, &path, body.as_bytes()) {
            Verdict::Done(reply) => {
                self.tell(LoadEvent::Accepted);
                self.note(CheckerEvent::Response {
                    key: name,
                    expected: endpoint::answer_to(body.as_bytes()),
                    received: reply.body,
                });
                self.tell(LoadEvent::Answered);
            }
            Verdict::Refused(reason) => {
                self.note(CheckerEvent::NotRun { key: name });
                self.tell(LoadEvent::Refused { reason });
            }
            Verdict::Unknown => {
                self.tell(LoadEvent::Accepted);
                self.tell(LoadEvent::Unknown);
            }
            Verdict::Unanswered => self.tell(LoadEvent::Unanswered { key: key.into() }),
        }
    }

    /// Sends a command with the same key until its answer is final, through one daemon after the
    /// other.
    fn insist(&self, client: &mut CallerClient, key: &str, path: &str, body: &[u8]) -> Verdict {
        let headers = [("Idempotency-Key", key.to_string())];
        let mut may_have_run = false;
        let mut refusal = None;
        while Instant::now() < self.deadline {
            match client.post(path, &headers, body, COMMAND_TIME) {
                Ok(reply) if reply.status == 200 => return Verdict::Done(reply),
                Ok(reply) => {
                    let run = local_cluster::problem_field(&reply, "run");
                    may_have_run |= run.as_deref() != Some("not_run");
                    let verdict = final_verdict(&reply, may_have_run);
                    if reply.header("Retry-After").is_none() {
                        return verdict;
                    }
                    refusal = Some(verdict);
                }
                Err(CallError::Undelivered(_)) => (),
                Err(CallError::Unknown(error)) => {
                    may_have_run = true;
                    let line = format!("{key} at {}: {error}", client.address());
                    self.tell(LoadEvent::BrokenConnection { line });
                }
            }
            self.turn(client);
        }
        if may_have_run {
            return Verdict::Unknown;
        }
        refusal.unwrap_or(Verdict::Unanswered)
    }

    fn turn(&self, client: &mut CallerClient) {
        client.turn_to(&self.addresses[fastrand::usize(..self.addresses.len())]);
        thread::sleep(RETRY_PAUSE);
    }

    fn note(&self, note: CheckerEvent) {
        // The stand-ins run until the process ends.
        let _ = self.platform.send(PlatformCall::CheckerEvent(note));
    }

    fn tell(&self, event: LoadEvent) {
        // The run has ended by its deadline when the channel is closed.
        let _ = self.events.send(event);
    }
}

fn final_verdict(reply: &CallResponse, may_have_run: bool) -> Verdict {
    if may_have_run {
        return Verdict::Unknown;
    }
    let detail = local_cluster::problem_field(reply, "detail").unwrap_or_default();
    Verdict::Refused(format!("status {}: {detail}", reply.status))
}
