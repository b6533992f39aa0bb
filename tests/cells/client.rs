//! Callers of one cell: they send their work, try again as the answers advise and give up late.

use super::scene;
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

/// Time after which a caller closes the connection and tries another daemon.
const PATIENCE: TimeSpan = TimeSpan::from_secs(15);

/// Time between two tries.
const RETRY: TimeSpan = TimeSpan::from_secs(1);

/// One piece of work of a caller.
#[derive(Clone, Debug)]
pub struct CallerOrder {
    /// The name, which is also the idempotency key.
    pub name: String,
    /// The job, once it is accepted.
    pub job: Option<JobId>,
    /// Whether the caller has its final answer.
    pub done: bool,
    /// Whether a daemon that had not read the log refused work that has run as "not run".
    pub refused_unread: bool,
    /// The final or latest answer, for the report of a broken cell.
    pub last: String,
    command: CallerCommand,
    body: Vec<u8>,
    daemon: usize,
    open: Option<(CallerId, ClockTime)>,
    next_at: ClockTime,
}

impl CallerOrder {
    fn job(name: &str, service: &str, run_ms: u64) -> Self {
        let command = CallerCommand::Submit(JobRequest {
            team: scene::TEAM.into(),
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
            team: scene::TEAM.into(),
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
            done: false,
            refused_unread: false,
            last: "not sent".into(),
            command,
            body: body.to_vec(),
            daemon: 0,
            open: None,
            next_at: ClockTime(0),
        }
    }

    /// Returns the work of a cell: a gang, a job and a request that may not be repeated, and a
    /// request that may.
    pub fn all() -> Vec<Self> {
        let body = br#"{"run_ms": 300, "result": "a"}"#;
        let once_body = br#"{"run_ms": 300, "result": "b"}"#;
        vec![
            Self::job("gang", "gang", 20_000),
            Self::job("once", "once", 8_000),
            Self::request("ask", "ask", body),
            Self::request("ask-once", "ask-once", once_body),
        ]
    }

    /// Returns one of the small jobs that arrive all the time.
    pub fn small(number: usize) -> Self {
        let mut order = Self::job(&format!("small-{number}"), "small", 2_000);
        order.daemon = number;
        order
    }

    /// Looks at the answer and sends the work again when that is due.
    pub fn pump(&mut self, driver: &mut SimDriver) {
        if self.done {
            return;
        }
        if let Some((caller, sent_at)) = self.open {
            self.look(driver, caller, sent_at);
        }
        if !self.done && self.open.is_none() && driver.now() >= self.next_at {
            self.send(driver);
        }
    }

    fn send(&mut self, driver: &mut SimDriver) {
        driver.checker.resend(&self.name.as_str().into());
        let daemon = scene::up_daemon(driver, self.daemon);
        let credential = scene::team_credential();
        let caller = driver.send(daemon, credential, self.command.clone(), &self.body);
        self.open = Some((caller, driver.now()));
    }

    fn look(&mut self, driver: &mut SimDriver, caller: CallerId, sent_at: ClockTime) {
        let call = driver.call(caller);
        let gone = call.broken || driver.now().since(sent_at) > PATIENCE;
        match call.answer.clone() {
            Some((_, answer)) => self.take(driver, answer),
            None if gone => self.retry_elsewhere(driver, "no answer"),
            None => {}
        }
    }

    fn retry_elsewhere(&mut self, driver: &SimDriver, reason: &str) {
        self.last = reason.into();
        self.open = None;
        self.daemon += 1;
        self.next_at = driver.now() + RETRY;
    }

    fn take(&mut self, driver: &mut SimDriver, answer: CallerAnswer) {
        match answer {
            CallerAnswer::Job(view) => {
                self.finish("accepted");
                self.job = Some(view.job);
                if !driver.ledger().jobs.contains_key(&view.job) {
                    self.last = "accepted a job that is not on record".into();
                    self.done = false;
                }
            }
            CallerAnswer::Endpoint { .. } => self.finish("answered"),
            CallerAnswer::Kept { body, .. } => {
                let expected = mustardpath_standin::endpoint::answer_to(&self.body);
                let checker = &mut driver.checker;
                checker.compare_answer(&self.name.as_str().into(), &expected, body.as_bytes());
                self.finish("kept answer");
            }
            CallerAnswer::Failure(report) => self.take_failure(driver, &report),
            other => self.finish(&format!("{other:?}")),
        }
    }

    fn take_failure(&mut self, driver: &mut SimDriver, report: &FailureReport) {
        let row = report.kind.response();
        if row.run == RunStatus::NotRun && self.is_once() {
            self.note_refusal(driver, report.kind);
        }
        self.retry_elsewhere(driver, &format!("{:?}: {}", report.kind, report.detail));
        if row.run != RunStatus::NotRun && self.is_once_request() {
            self.done = true;
        }
    }

    /// Checks a refusal. That of a daemon which has not read the log is kept apart, because it is
    /// known to be untrue for a key that ran through another daemon.
    fn note_refusal(&mut self, driver: &mut SimDriver, kind: ErrorKind) {
        let key = RequestKey::from(self.name.as_str());
        if kind == ErrorKind::NotReady {
            let mut models = driver.workers().values();
            self.refused_unread |= models.any(|model| model.runs().contains_key(&key));
        } else {
            driver.checker.refuse(&key);
        }
    }

    fn is_once(&self) -> bool {
        self.name == "ask-once"
    }

    fn is_once_request(&self) -> bool {
        // Work that may have run and may not be repeated ends with that answer; a key in progress
        // is asked for again.
        self.is_once() && !self.last.starts_with("InProgress")
    }

    fn finish(&mut self, last: &str) {
        self.done = true;
        self.last = last.into();
        self.open = None;
    }
}
