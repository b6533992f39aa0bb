//! Callers of a local run. They send the deployment's mix of work and report each response to the
//! checker.

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

/// Delay before a command is sent again after a refusal or an unknown outcome.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Timeout of one command. It is longer than the long-poll wait of a job's status.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Long-poll wait of one read of a job's status.
const STATUS_WAIT_MS: u64 = 2_000;

/// Padding of a request's body, so that its response takes more than one packet.
const BODY_PADDING_BYTES: usize = 4_000;

/// Progress of the callers and the operator, for the summary of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadEvent {
    /// A job or request was accepted.
    Accepted,
    /// An accepted job or request has its final response.
    Answered,
    /// The final response reports an unknown outcome.
    Unknown,
    /// A job or request was refused as "not run" and is not sent again.
    Refused {
        /// Status and detail of the response, or how the job ended.
        reason: String,
    },
    /// A connection failed after the request was sent.
    BrokenConnection {
        /// Key of the work, address of the daemon, and the error.
        message: String,
    },
    /// A job or request had no final response at the end of the run.
    Unanswered {
        /// Idempotency key: the service and the number of the work item, joined by a hyphen.
        key: String,
    },
    /// The operator has completed or failed a step.
    OperatorStep {
        /// Description for the log.
        message: String,
    },
}

/// A caller of one service.
pub struct LoadCaller {
    /// Work of all callers of the service.
    pub plan: WorkPlan,
    /// Declaration of the service in its team file.
    pub spec: ServiceSpec,
    /// Number of this caller among the callers of the service, from 0.
    pub number: u32,
    /// API key of the team.
    pub team_key: String,
    /// Caller addresses of the daemons. The caller starts with the first one.
    pub addresses: Vec<String>,
    /// Time over which the work is sent.
    pub send_window: Duration,
    /// End of the run.
    pub deadline: Instant,
    /// Channel for events to the checker.
    pub platform: PlatformSender,
    /// Channel for progress events.
    pub events: Sender<LoadEvent>,
}

enum CommandOutcome {
    Done(CallResponse),
    Refused(String),
    Unknown,
    Unanswered,
}

/// Starts a caller in its own thread. It ends when all its work has a final response or when the
/// run's deadline has passed.
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
        let mut client = CallerClient::new(address, &self.team_key).for_team(team);
        let numbers = (self.number..self.plan.count).step_by(self.plan.callers as usize);
        let send_interval = self.send_window / (self.plan.count / self.plan.callers).max(1);
        let mut jobs = Vec::new();
        for number in numbers {
            let key = format!("{}-{number}", self.plan.service);
            match self.spec.work {
                WorkKind::Job => jobs.extend(self.submit(&mut client, key)),
                WorkKind::Request => self.send(&mut client, &key),
            }
            let remaining = self.deadline.saturating_duration_since(Instant::now());
            thread::sleep(send_interval.min(remaining));
        }
        for (job, key) in jobs {
            self.await_job_end(&mut client, job, &key);
        }
    }

    fn submit(&self, client: &mut CallerClient, key: String) -> Option<(JobId, String)> {
        let payload = json!({ "run_ms": self.plan.run_ms, "result": key }).to_string();
        let body = json!({ "service": self.plan.service, "payload": payload }).to_string();
        match self.send_until_final(client, &key, "/v1/jobs", body.as_bytes()) {
            CommandOutcome::Done(response) => match local_cluster::decode_response(Ok(response)) {
                Ok(CallerAnswer::Job(view)) => {
                    let repeatable = self.spec.repeatable;
                    let job = view.job;
                    self.record(CheckerEvent::Accepted { job, repeatable });
                    self.emit(LoadEvent::Accepted);
                    return Some((job, key));
                }
                _ => self.emit(LoadEvent::Unanswered { key }),
            },
            CommandOutcome::Refused(reason) => self.emit(LoadEvent::Refused { reason }),
            CommandOutcome::Unknown | CommandOutcome::Unanswered => {
                self.emit(LoadEvent::Unanswered { key })
            }
        }
        None
    }

    fn await_job_end(&self, client: &mut CallerClient, job: JobId, key: &str) {
        let path = format!("/v1/jobs/{job}?wait_ms={STATUS_WAIT_MS}");
        while Instant::now() < self.deadline {
            match local_cluster::decode_response(client.get(&path, COMMAND_TIMEOUT)) {
                Ok(CallerAnswer::Job(view)) => {
                    if let Some(end) = view.end {
                        self.report_end(job, key, &end);
                        return;
                    }
                }
                _ => self.switch_daemon(client),
            }
        }
        self.emit(LoadEvent::Unanswered { key: key.into() });
    }

    fn report_end(&self, job: JobId, key: &str, end: &JobEnd) {
        self.record(CheckerEvent::Ended { job });
        match end {
            JobEnd::Finished { result } => {
                self.record(CheckerEvent::Response {
                    key: RequestKey::from(key),
                    expected: key.into(),
                    received: result.clone().into_bytes(),
                });
                self.emit(LoadEvent::Answered);
            }
            JobEnd::Unknown => self.emit(LoadEvent::Unknown),
            JobEnd::Failed { reason } | JobEnd::Refused { reason } => {
                let reason = format!("{key} ended: {reason}");
                self.emit(LoadEvent::Refused { reason });
            }
            JobEnd::Cancelled => {
                let reason = format!("{key} was cancelled");
                self.emit(LoadEvent::Refused { reason });
            }
        }
    }

    fn send(&self, client: &mut CallerClient, key: &str) {
        let padding = "p".repeat(BODY_PADDING_BYTES);
        let body = json!({ "run_ms": self.plan.run_ms, "result": key, "pad": padding }).to_string();
        let path = format!("/v1/requests/{}", self.plan.service);
        let request_key = RequestKey::from(key);
        if !self.spec.repeatable {
            self.record(CheckerEvent::AtMostOnce {
                key: request_key.clone(),
            });
        }
        match self.send_until_final(client, key, &path, body.as_bytes()) {
            CommandOutcome::Done(response) => {
                self.emit(LoadEvent::Accepted);
                self.record(CheckerEvent::Response {
                    key: request_key,
                    expected: endpoint::answer_to(body.as_bytes()),
                    received: response.body,
                });
                self.emit(LoadEvent::Answered);
            }
            CommandOutcome::Refused(reason) => {
                self.record(CheckerEvent::NotRun { key: request_key });
                self.emit(LoadEvent::Refused { reason });
            }
            CommandOutcome::Unknown => {
                self.emit(LoadEvent::Accepted);
                self.emit(LoadEvent::Unknown);
            }
            CommandOutcome::Unanswered => self.emit(LoadEvent::Unanswered { key: key.into() }),
        }
    }

    /// Sends a command with the same key until its response is final. Each retry goes to a random
    /// daemon.
    fn send_until_final(
        &self,
        client: &mut CallerClient,
        key: &str,
        path: &str,
        body: &[u8],
    ) -> CommandOutcome {
        let headers = [("Idempotency-Key", key.to_string())];
        let mut may_have_run = false;
        let mut refusal = None;
        while Instant::now() < self.deadline {
            match client.post(path, &headers, body, COMMAND_TIMEOUT) {
                Ok(response) if response.status == 200 => return CommandOutcome::Done(response),
                Ok(response) => {
                    let run = local_cluster::problem_field(&response, "run");
                    may_have_run |= run.as_deref() != Some("not_run");
                    let outcome = final_outcome(&response, may_have_run);
                    if response.header("Retry-After").is_none() {
                        return outcome;
                    }
                    refusal = Some(outcome);
                }
                Err(CallError::Undelivered(_)) => (),
                Err(CallError::Unknown(error)) => {
                    may_have_run = true;
                    let message = format!("{key} at {}: {error}", client.address());
                    self.emit(LoadEvent::BrokenConnection { message });
                }
            }
            self.switch_daemon(client);
        }
        if may_have_run {
            return CommandOutcome::Unknown;
        }
        refusal.unwrap_or(CommandOutcome::Unanswered)
    }

    fn switch_daemon(&self, client: &mut CallerClient) {
        client.set_address(&self.addresses[fastrand::usize(..self.addresses.len())]);
        thread::sleep(RETRY_DELAY);
    }

    fn record(&self, event: CheckerEvent) {
        // The stand-ins run until the process ends.
        let _ = self.platform.send(PlatformCall::CheckerEvent(event));
    }

    fn emit(&self, event: LoadEvent) {
        // The channel is closed only after the run has ended at its deadline.
        let _ = self.events.send(event);
    }
}

fn final_outcome(response: &CallResponse, may_have_run: bool) -> CommandOutcome {
    if may_have_run {
        return CommandOutcome::Unknown;
    }
    let detail = local_cluster::problem_field(response, "detail").unwrap_or_default();
    CommandOutcome::Refused(format!("status {}: {detail}", response.status))
}
