//! Clients of a scenario: they send operations and retry them until they get a final answer.

use super::fixture;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::event::CallerCommand;
use mustardpath_core::event::JobRequest;
use mustardpath_core::event::RequestHead;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::kind::FailureReport;
use mustardpath_core::kind::RunStatus;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::driver::SimDriver;

/// Time without an answer after which a client closes the connection and tries another daemon.
const REQUEST_TIMEOUT: TimeSpan = TimeSpan::from_secs(15);

/// Delay before a retry.
const RETRY_DELAY: TimeSpan = TimeSpan::from_secs(1);

/// A job or short request of a client.
#[derive(Clone, Debug)]
pub struct ClientOperation {
    /// Name of the operation, also its idempotency key.
    pub name: String,
    /// Id of the job after its acceptance. `None` for a short request.
    pub job: Option<JobId>,
    /// Whether the client has the final answer.
    pub is_done: bool,
    /// Whether a daemon that had not read the log refused the operation as "not run" although it
    /// had run.
    pub was_falsely_refused: bool,
    /// The latest result, for the report of violations.
    pub last_result: String,
    command: CallerCommand,
    body: Vec<u8>,
    daemon: usize,
    pending_call: Option<(CallerId, ClockTime)>,
    next_attempt_at: ClockTime,
}

impl ClientOperation {
    fn job(name: &str, service: &str, run_ms: u64) -> Self {
        let command = CallerCommand::Submit(JobRequest {
            team: fixture::TEAM.into(),
            service: service.into(),
            key: name.into(),
            members: None,
            run_time: None,
            deadline: None,
            payload: format!("{{\"run_ms\": {run_ms}}}"),
        });
        Self::new(name, command, b"")
    }

    fn request(name: &str, service: &str, body: &[u8]) -> Self {
        let command = CallerCommand::Send(RequestHead {
            team: fixture::TEAM.into(),
            service: service.into(),
            key: Some(name.into()),
            deadline: None,
            digest: body.len() as u64,
            length: body.len() as u64,
        });
        Self::new(name, command, body)
    }

    fn new(name: &str, command: CallerCommand, body: &[u8]) -> Self {
        Self {
            name: name.into(),
            job: None,
            is_done: false,
            was_falsely_refused: false,
            last_result: "not sent".into(),
            command,
            body: body.to_vec(),
            daemon: 0,
            pending_call: None,
            next_attempt_at: ClockTime(0),
        }
    }

    /// Returns the operations of each scenario: a repeatable gang, a non-repeatable job, a
    /// repeatable request and a non-repeatable one.
    pub fn standard_set() -> Vec<Self> {
        let body = br#"{"run_ms": 300, "result": "a"}"#;
        let at_most_once_body = br#"{"run_ms": 300, "result": "b"}"#;
        vec![
            Self::job("gang", "gang", 20_000),
            Self::job("once", "once", 8_000),
            Self::request("ask", "ask", body),
            Self::request("ask-once", "ask-once", at_most_once_body),
        ]
    }

    /// Returns one of the small jobs that arrive at fixed intervals.
    pub fn small_job(number: usize) -> Self {
        let mut operation = Self::job(&format!("small-{number}"), "small", 2_000);
        operation.daemon = number;
        operation
    }

    /// Processes the answer, if any, and sends the operation when an attempt is due.
    pub fn poll(&mut self, driver: &mut SimDriver) {
        if self.is_done {
            return;
        }
        if let Some((caller, sent_at)) = self.pending_call {
            self.poll_answer(driver, caller, sent_at);
        }
        if !self.is_done && self.pending_call.is_none() && driver.now() >= self.next_attempt_at {
            self.send(driver);
        }
    }

    fn send(&mut self, driver: &mut SimDriver) {
        driver.checker.record_retry(&self.name.as_str().into());
        let daemon = fixture::running_daemon(driver, self.daemon);
        let credential = fixture::team_credential();
        let caller = driver.send(daemon, credential, self.command.clone(), &self.body);
        self.pending_call = Some((caller, driver.now()));
    }

    fn poll_answer(&mut self, driver: &mut SimDriver, caller: CallerId, sent_at: ClockTime) {
        let call = driver.call(caller);
        let is_abandoned = call.is_disconnected || driver.now().since(sent_at) > REQUEST_TIMEOUT;
        match call.answer.clone() {
            Some((_, answer)) => self.handle_answer(driver, answer),
            None if is_abandoned => self.retry_elsewhere(driver, "no answer"),
            None => {}
        }
    }

    fn retry_elsewhere(&mut self, driver: &SimDriver, reason: &str) {
        self.last_result = reason.into();
        self.pending_call = None;
        self.daemon += 1;
        self.next_attempt_at = driver.now() + RETRY_DELAY;
    }

    fn handle_answer(&mut self, driver: &mut SimDriver, answer: CallerAnswer) {
        match answer {
            CallerAnswer::Job(view) => {
                self.finish("accepted");
                self.job = Some(view.job);
                if !driver.ledger().jobs.contains_key(&view.job) {
                    self.last_result = "accepted a job that is not committed".into();
                    self.is_done = false;
                }
            }
            CallerAnswer::Endpoint { .. } => self.finish("answered"),
            CallerAnswer::Kept { body, .. } => {
                let expected = mustardpath_standin::endpoint::answer_to(&self.body);
                let checker = &mut driver.checker;
                checker.check_answer(&self.name.as_str().into(), &expected, body.as_bytes());
                self.finish("kept answer");
            }
            CallerAnswer::Failure(report) => self.handle_failure(driver, &report),
            other => self.finish(&format!("{other:?}")),
        }
    }

    fn handle_failure(&mut self, driver: &mut SimDriver, report: &FailureReport) {
        let response = report.kind.response();
        if response.run == RunStatus::NotRun && self.is_at_most_once() {
            self.record_refusal(driver, report.kind);
        }
        self.retry_elsewhere(driver, &format!("{:?}: {}", report.kind, report.detail));
        if response.run != RunStatus::NotRun && self.is_final_failure() {
            self.is_done = true;
        }
    }

    /// Records a "not run" refusal. A daemon that has not read the log cannot know about a run
    /// through another daemon, so its refusals are checked separately.
    fn record_refusal(&mut self, driver: &mut SimDriver, kind: ErrorKind) {
        let key = RequestKey::from(self.name.as_str());
        if kind == ErrorKind::NotReady {
            let mut models = driver.workers().values();
            self.was_falsely_refused |= models.any(|model| model.run_counts().contains_key(&key));
        } else {
            driver.checker.record_refusal(&key);
        }
    }

    fn is_at_most_once(&self) -> bool {
        self.name == "ask-once"
    }

    fn is_final_failure(&self) -> bool {
        // Non-repeatable work that may have run must not be sent again. A key in progress is
        // queried again.
        self.is_at_most_once() && !self.last_result.starts_with("InProgress")
    }

    fn finish(&mut self, last_result: &str) {
        self.is_done = true;
        self.last_result = last_result.into();
        self.pending_call = None;
    }
}
