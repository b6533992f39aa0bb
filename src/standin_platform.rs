//! The thread that owns all models of the platform: log, VM list, workers and their checker.

use std::collections::HashMap;
use std::io;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::RecvTimeoutError;
use crossbeam_channel::Sender;
use serde::Deserialize;
use serde::Serialize;

use crate::control::RunClock;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use mustardpath_core::effect::WorkerTasks;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::DomainName;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::DaemonInfo;
use mustardpath_core::worker::TaskStatus;
use mustardpath_core::worker::VmState;
use mustardpath_core::worker::WorkerCommand;
use mustardpath_core::worker::WorkerInfo;
use mustardpath_core::worker::WorkerReply;
use mustardpath_standin::checker::InvariantChecker;
use mustardpath_standin::checker::ViolationReport;
use mustardpath_standin::endpoint::EndpointReply;
use mustardpath_standin::endpoint::EndpointRequest;
use mustardpath_standin::log::AppendReply;
use mustardpath_standin::log::LogFault;
use mustardpath_standin::log::LogLimits;
use mustardpath_standin::log::LogModel;
use mustardpath_standin::log::ReadReply;
use mustardpath_standin::vms::VmChanges;
use mustardpath_standin::vms::VmModel;
use mustardpath_standin::worker::WorkerFault;
use mustardpath_standin::worker::WorkerModel;

/// Calls that wait for the thread.
const CALL_QUEUE_CAPACITY: usize = 4_096;

/// Pushed reports that wait. A report that finds no room is repeated by the next renewal.
const PUSH_QUEUE_CAPACITY: usize = 1_024;

/// Threads that push reports.
const PUSH_THREADS: usize = 4;

/// Time for one pushed report.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest sleep of the thread when nothing is due.
const MAX_SLEEP: TimeSpan = TimeSpan::from_secs(60);

/// An answer that its HTTP thread gives after a while.
#[derive(Clone, Debug)]
pub struct DelayedResponse<T> {
    /// The answer.
    pub response: T,
    /// Time until it is given.
    pub delay: TimeSpan,
}

/// A short request as it arrives.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Its id, unique over all daemons.
    pub id: String,
    /// The attempt, from 1.
    pub attempt: u32,
    /// The idempotency key.
    pub key: Option<RequestKey>,
    /// The body.
    pub body: Vec<u8>,
}

/// Switches of the models, as the admin route takes them.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "switch", rename_all = "snake_case")]
pub enum PlatformSwitch {
    /// Replaces the faults of the log.
    Log {
        /// The faults.
        fault: LogFault,
    },
    /// Replaces the faults of a worker.
    Worker {
        /// The worker.
        worker: WorkerName,
        /// The faults.
        fault: WorkerFault,
    },
    /// Makes a worker say that it is about to stop.
    Leaving {
        /// The worker.
        worker: WorkerName,
        /// Whether it does.
        leaving: bool,
    },
    /// Changes a worker's state in the VM list.
    ListWorker {
        /// The worker.
        worker: WorkerName,
        /// The state.
        state: VmState,
    },
    /// Adds or replaces an entry VM in the VM list.
    PutDaemon {
        /// The entry VM.
        info: DaemonInfo,
    },
    /// Changes an entry VM's state in the VM list.
    ListDaemon {
        /// The daemon.
        daemon: DaemonName,
        /// The state.
        state: VmState,
    },
    /// Changes how old the VM list's answers are.
    ListLag {
        /// The age.
        lag: TimeSpan,
    },
    /// Switches the VM list off or on.
    ListDown {
        /// Whether it is off.
        down: bool,
    },
}

/// What callers and operators know, for the checker.
#[derive(Clone, Debug)]
pub enum CheckerEvent {
    /// A job is accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// Whether it may run more than once.
        repeatable: bool,
    },
    /// A job has ended.
    Ended {
        /// The job.
        job: JobId,
    },
    /// Requests with this key may run at most once.
    AtMostOnce {
        /// The key.
        key: RequestKey,
    },
    /// The only caller with this key was told that the work has not run.
    NotRun {
        /// The key.
        key: RequestKey,
    },
    /// A failure domain is out or back, on record.
    Domain {
        /// The failure domain.
        domain: DomainName,
        /// Whether it is out.
        out: bool,
    },
    /// A caller got an answer.
    Response {
        /// The request's key.
        key: RequestKey,
        /// What belongs to the request.
        expected: Vec<u8>,
        /// What came.
        received: Vec<u8>,
    },
}

/// A message to the thread.
pub enum PlatformCall {
    /// Appends records to a stream.
    Append {
        /// The stream.
        stream: String,
        /// The records.
        records: Vec<Vec<u8>>,
        /// Takes the answer.
        reply: Sender<DelayedResponse<AppendReply>>,
    },
    /// Reads a stream.
    Read {
        /// The stream.
        stream: String,
        /// The first offset.
        from: LogOffset,
        /// Longest answer.
        max: usize,
        /// Longest wait for a record.
        wait: TimeSpan,
        /// Takes the answer.
        reply: Sender<DelayedResponse<ReadReply>>,
    },
    /// Reads the VM list.
    Vms {
        /// The last version seen.
        since: u64,
        /// Takes the answer; `None` while the list is off.
        reply: Sender<Option<VmChanges>>,
    },
    /// Gives a command to a worker. A worker that does not answer drops `reply`.
    Command {
        /// The worker.
        worker: WorkerName,
        /// The command.
        command: WorkerCommand,
        /// Takes the reply.
        reply: Sender<DelayedResponse<WorkerReply>>,
    },
    /// Gives a short request to a worker. A worker that does not answer drops `reply`.
    Request {
        /// The worker.
        worker: WorkerName,
        /// The request.
        request: ReceivedRequest,
        /// Takes the reply.
        reply: Sender<DelayedResponse<EndpointReply>>,
    },
    /// Tells a worker that an answer is no longer wanted.
    Cancel {
        /// The worker.
        worker: WorkerName,
        /// The request's id.
        id: String,
        /// The attempt.
        attempt: u32,
    },
    /// Changes a switch.
    Switch(PlatformSwitch),
    /// Tells the checker something.
    CheckerEvent(CheckerEvent),
    /// Asks how often short requests with each key have run.
    RunCounts {
        /// Takes the counts.
        reply: Sender<HashMap<RequestKey, u32>>,
    },
    /// Asks for the broken promises so far.
    Outcome {
        /// Takes the report and the number of started tasks.
        reply: Sender<(ViolationReport, usize)>,
    },
}

/// Takes calls to the thread.
pub type PlatformSender = Sender<PlatformCall>;

struct PendingRead {
    stream: String,
    from: LogOffset,
    max: usize,
    deadline: ClockTime,
    reply: Sender<DelayedResponse<ReadReply>>,
}

struct PlatformState {
    clock: RunClock,
    log: LogModel,
    log_delay: TimeSpan,
    vms: VmModel,
    workers: HashMap<WorkerName, WorkerModel>,
    checker: InvariantChecker,
    reads: Vec<PendingRead>,
    push_queue: Sender<(String, WorkerTasks)>,
}

/// Creates the bounded channel of calls.
#[must_use]
pub fn channel() -> (PlatformSender, Receiver<PlatformCall>) {
    crossbeam_channel::bounded(CALL_QUEUE_CAPACITY)
}

/// Starts the thread and the threads that push reports.
///
/// # Errors
///
/// Returns the system's error when a thread cannot be started.
pub fn spawn(
    calls: Receiver<PlatformCall>,
    infos: &[WorkerInfo],
    list_lag: TimeSpan,
) -> io::Result<()> {
    let clock = RunClock::start();
    let mut vms = VmModel::new(list_lag);
    let mut workers = HashMap::new();
    for info in infos {
        // The list is older than its readers, so that its first answer is complete.
        vms.put_worker(ClockTime(0), info.clone());
        let model = WorkerModel::new(info.clone(), fastrand::u64(..));
        workers.insert(info.worker.clone(), model);
    }
    let mut state = PlatformState {
        clock,
        log: LogModel::new(LogLimits::default()),
        log_delay: TimeSpan(0),
        vms,
        workers,
        checker: InvariantChecker::new(infos),
        reads: Vec::new(),
        push_queue: spawn_push_threads()?,
    };
    thread::Builder::new()
        .name("platform".into())
        .spawn(move || state.run(&calls))?;
    Ok(())
}

fn spawn_push_threads() -> io::Result<Sender<(String, WorkerTasks)>> {
    let (sender, push_queue) =
        crossbeam_channel::bounded::<(String, WorkerTasks)>(PUSH_QUEUE_CAPACITY);
    let connections = HttpClient::new(1 << 16);
    for number in 0..PUSH_THREADS {
        let push_queue = push_queue.clone();
        let mut client = connections.clone();
        thread::Builder::new()
            .name(format!("push-{number}"))
            .spawn(move || {
                for (address, tasks) in push_queue {
                    push_report(&mut client, &address, &tasks);
                }
            })?;
    }
    Ok(sender)
}

fn push_report(client: &mut HttpClient, address: &str, tasks: &WorkerTasks) {
    let body = serde_json::to_vec(tasks).unwrap_or_default();
    let call = HttpCall {
        address,
        path: "/v1/reports",
        headers: &[],
        body: Some(&body),
        timeout: PUSH_TIMEOUT,
    };
    // The next renewal repeats a report that was lost.
    let _ = client.call(&call);
}

impl PlatformState {
    fn run(&mut self, calls: &Receiver<PlatformCall>) {
        loop {
            let sleep = Duration::from_millis(self.next_deadline().since(self.clock.now()).0);
            match calls.recv_timeout(sleep) {
                Ok(call) => self.handle_call(call),
                Err(RecvTimeoutError::Timeout) => (),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.advance();
        }
    }

    fn next_deadline(&self) -> ClockTime {
        let workers = self.workers.values().filter_map(WorkerModel::next_change);
        let reads = self.reads.iter().map(|read| read.deadline);
        let latest = self.clock.now() + MAX_SLEEP;
        workers.chain(reads).min().unwrap_or(latest).min(latest)
    }

    /// Brings all models to the present and hands out what is due.
    fn advance(&mut self) {
        let at = self.clock.now();
        for (worker, model) in &mut self.workers {
            if model.next_change().is_some_and(|change| change <= at) {
                let tasks = model.advance(at);
                push_ended_tasks(&self.push_queue, worker, model, tasks);
            }
            let events = model.take_events();
            if !events.is_empty() {
                self.checker.record_events(worker, events);
            }
        }
        self.complete_reads(at);
    }

    fn complete_reads(&mut self, at: ClockTime) {
        let delay = self.log_delay;
        let log = &mut self.log;
        self.reads.retain(|read| {
            let response = log.read(&read.stream, read.from, read.max, at);
            let is_pending =
                matches!(&response, ReadReply::Records { records, .. } if records.is_empty());
            if is_pending && read.deadline > at {
                return true;
            }
            // The reader has given up when its channel is closed.
            let _ = read.reply.try_send(DelayedResponse { response, delay });
            false
        });
    }

    fn handle_call(&mut self, call: PlatformCall) {
        let at = self.clock.now();
        match call {
            PlatformCall::Append {
                stream,
                records,
                reply,
            } => {
                let response = self.log.append(&stream, &records, at);
                let delay = self.log_delay;
                let _ = reply.try_send(DelayedResponse { response, delay });
            }
            PlatformCall::Read {
                stream,
                from,
                max,
                wait,
                reply,
            } => self.reads.push(PendingRead {
                stream,
                from,
                max,
                deadline: at + wait,
                reply,
            }),
            PlatformCall::Vms { since, reply } => {
                let _ = reply.try_send(self.vms.changes(since, at));
            }
            PlatformCall::Command {
                worker,
                command,
                reply,
            } => self.handle_command(at, &worker, &command, &reply),
            PlatformCall::Request {
                worker,
                request,
                reply,
            } => self.handle_request(at, &worker, &request, &reply),
            PlatformCall::Cancel {
                worker,
                id,
                attempt,
            } => {
                if let Some(model) = self.workers.get_mut(&worker) {
                    model.cancel_request(&id, attempt);
                }
            }
            PlatformCall::Switch(switch) => self.apply_switch(at, switch),
            PlatformCall::CheckerEvent(event) => self.handle_checker_event(at, event),
            PlatformCall::RunCounts { reply } => {
                let runs = self.checker.run_counts().iter();
                let _ = reply.try_send(runs.map(|(key, count)| (key.clone(), *count)).collect());
            }
            PlatformCall::Outcome { reply } => {
                let report = self.checker.report(at);
                let _ = reply.try_send((report, self.checker.start_count()));
            }
        }
    }

    fn handle_command(
        &mut self,
        at: ClockTime,
        worker: &WorkerName,
        command: &WorkerCommand,
        reply: &Sender<DelayedResponse<WorkerReply>>,
    ) {
        let Some(model) = self
            .workers
            .get_mut(worker)
            .filter(|model| model.is_responsive())
        else {
            return;
        };
        let response = model.apply(at, command);
        let tasks = model.advance(at);
        push_ended_tasks(&self.push_queue, worker, model, tasks);
        if !model.fault().loses_answers {
            let delay = model.fault().slow;
            let _ = reply.try_send(DelayedResponse { response, delay });
        }
    }

    fn handle_request(
        &mut self,
        at: ClockTime,
        worker: &WorkerName,
        request: &ReceivedRequest,
        reply: &Sender<DelayedResponse<EndpointReply>>,
    ) {
        let Some(model) = self
            .workers
            .get_mut(worker)
            .filter(|model| model.is_responsive())
        else {
            return;
        };
        let response = model.answer_request(
            at,
            &EndpointRequest {
                id: &request.id,
                attempt: request.attempt,
                key: request.key.as_ref(),
                body: &request.body,
            },
        );
        if !model.fault().loses_answers {
            let takes = match &response {
                EndpointReply::Answered { takes, .. } => *takes,
                EndpointReply::Refused => TimeSpan(0),
            };
            let delay = takes + model.fault().slow;
            let _ = reply.try_send(DelayedResponse { response, delay });
        }
    }

    fn apply_switch(&mut self, at: ClockTime, switch: PlatformSwitch) {
        match switch {
            PlatformSwitch::Log { fault } => {
                self.log_delay = fault.slow;
                self.log.set_fault(fault);
            }
            PlatformSwitch::Worker { worker, fault } => {
                let is_silent = fault.dead || fault.paused || fault.loses_answers;
                self.checker.record_worker_silence(at, &worker, is_silent);
                if let Some(model) = self.workers.get_mut(&worker) {
                    model.set_fault(at, fault);
                }
            }
            PlatformSwitch::Leaving { worker, leaving } => {
                if let Some(model) = self.workers.get_mut(&worker) {
                    model.set_leaving(leaving);
                }
            }
            PlatformSwitch::ListWorker { worker, state } => {
                self.vms.set_worker(at, &worker, state);
            }
            PlatformSwitch::PutDaemon { info } => self.vms.put_daemon(at, info),
            PlatformSwitch::ListDaemon { daemon, state } => {
                self.vms.set_daemon(at, &daemon, state);
            }
            PlatformSwitch::ListLag { lag } => self.vms.set_lag(lag),
            PlatformSwitch::ListDown { down } => self.vms.set_down(down),
        }
    }

    fn handle_checker_event(&mut self, at: ClockTime, event: CheckerEvent) {
        match event {
            CheckerEvent::Accepted { job, repeatable } => {
                self.checker.record_job_accepted(job, repeatable)
            }
            CheckerEvent::Ended { job } => self.checker.record_job_ended(job),
            CheckerEvent::AtMostOnce { key } => self.checker.require_at_most_once(&key),
            CheckerEvent::NotRun { key } => self.checker.record_refusal(&key),
            CheckerEvent::Domain { domain, out } => {
                self.checker.record_domain_change(at, &domain, out)
            }
            CheckerEvent::Response {
                key,
                expected,
                received,
            } => {
                self.checker.check_answer(&key, &expected, &received);
            }
        }
    }
}

fn push_ended_tasks(
    push_queue: &Sender<(String, WorkerTasks)>,
    worker: &WorkerName,
    model: &WorkerModel,
    tasks: Vec<TaskStatus>,
) {
    let Some(address) = model.report_to().filter(|_| !tasks.is_empty()) else {
        return;
    };
    let worker = worker.clone();
    // Without room the next renewal repeats the report.
    let _ = push_queue.try_send((address.to_string(), WorkerTasks { worker, tasks }));
}
