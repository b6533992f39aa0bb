//! Thread that owns all models of the platform: the log, the VM list, the workers and the checker
//! of their invariants.

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

/// Maximum number of queued calls to the thread.
const CALL_QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of queued reports. The response to the next renewal repeats a report that is
/// dropped because the queue is full.
const PUSH_QUEUE_CAPACITY: usize = 1_024;

/// Number of threads that push reports to daemons.
const PUSH_THREADS: usize = 4;

/// Time limit for pushing one report.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum sleep of the thread when no model changes earlier.
const MAX_SLEEP: TimeSpan = TimeSpan::from_secs(60);

/// A response that the HTTP thread sends after a delay.
#[derive(Clone, Debug)]
pub struct DelayedResponse<T> {
    /// Response of the model.
    pub response: T,
    /// Time until the response is sent.
    pub delay: TimeSpan,
}

/// A short request as received by a worker.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request id, unique across all daemons.
    pub id: String,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// Idempotency key, absent for a request without one.
    pub key: Option<RequestKey>,
    /// Body as received from the daemon or caller.
    pub body: Vec<u8>,
}

/// Changes of the models, such as injected faults. The admin route accepts them as JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "switch", rename_all = "snake_case")]
pub enum PlatformSwitch {
    /// Replaces the faults of the log.
    Log {
        /// All faults of the log from now on.
        fault: LogFault,
    },
    /// Replaces the faults of a worker.
    Worker {
        /// Worker to which the faults apply.
        worker: WorkerName,
        /// All faults of the worker from now on.
        fault: WorkerFault,
    },
    /// Makes a worker report that it is about to stop, or withdraws that.
    Leaving {
        /// Worker that is about to stop, or no longer is.
        worker: WorkerName,
        /// Whether the worker is about to stop.
        leaving: bool,
    },
    /// Changes the state of a worker in the VM list.
    ListWorker {
        /// Worker whose state changes; ignored if it is not in the list.
        worker: WorkerName,
        /// State that the list shows after its lag.
        state: VmState,
    },
    /// Adds or replaces the entry VM of a daemon in the VM list.
    PutDaemon {
        /// The entry VM.
        info: DaemonInfo,
    },
    /// Changes the state of an entry VM in the VM list.
    ListDaemon {
        /// Daemon on the entry VM; ignored if the VM is not in the list.
        daemon: DaemonName,
        /// State that the list shows after its lag.
        state: VmState,
    },
    /// Changes the staleness of the VM list.
    ListLag {
        /// Age of the state that responses show.
        lag: TimeSpan,
    },
    /// Makes the VM list unavailable or available.
    ListDown {
        /// Whether the list is unavailable.
        down: bool,
    },
}

/// An event that callers and operators observe, reported to the checker.
#[derive(Clone, Debug)]
pub enum CheckerEvent {
    /// A job was accepted.
    Accepted {
        /// Job that counts as lost if it does not end.
        job: JobId,
        /// Whether the job may run more than once.
        repeatable: bool,
    },
    /// A job has ended.
    Ended {
        /// Job whose end was reported to a caller.
        job: JobId,
    },
    /// Requests with this key may run at most once.
    AtMostOnce {
        /// Idempotency key of the requests.
        key: RequestKey,
    },
    /// The daemon reported to the only caller with this key that the work has not run.
    NotRun {
        /// Idempotency key of the work.
        key: RequestKey,
    },
    /// A failure domain was taken out or brought back, and the change is committed.
    Domain {
        /// Failure domain in which no task may start while it is out.
        domain: DomainName,
        /// Whether the failure domain is out.
        out: bool,
    },
    /// A caller received a response.
    Response {
        /// The key of the request.
        key: RequestKey,
        /// The correct response body for the request.
        expected: Vec<u8>,
        /// The received response body.
        received: Vec<u8>,
    },
}

/// A call to the thread that owns the models.
pub enum PlatformCall {
    /// Appends records to a stream.
    Append {
        /// Name of the stream, which the first append creates.
        stream: String,
        /// Encoded records, in the order in which they are stored.
        records: Vec<Vec<u8>>,
        /// Receives the response.
        reply: Sender<DelayedResponse<AppendReply>>,
    },
    /// Reads a stream.
    Read {
        /// Name of the stream to read.
        stream: String,
        /// Offset of the first record.
        from: LogOffset,
        /// Maximum number of records.
        max: usize,
        /// Maximum wait for a record if there is none yet.
        wait: TimeSpan,
        /// Receives the response.
        reply: Sender<DelayedResponse<ReadReply>>,
    },
    /// Reads the VM list.
    Vms {
        /// Version of the list that the caller already has.
        since: u64,
        /// Receives the changes, or `None` while the list is unavailable.
        reply: Sender<Option<VmChanges>>,
    },
    /// Sends a command to a worker. `reply` is dropped if the worker does not respond.
    Command {
        /// Worker that receives the command.
        worker: WorkerName,
        /// Command, decoded from the request of a daemon.
        command: WorkerCommand,
        /// Receives the response.
        reply: Sender<DelayedResponse<WorkerReply>>,
    },
    /// Sends a short request to a worker. `reply` is dropped if the worker does not respond.
    Request {
        /// Worker that receives the request.
        worker: WorkerName,
        /// Attempt of the request, with its body.
        request: ReceivedRequest,
        /// Receives the response.
        reply: Sender<DelayedResponse<EndpointReply>>,
    },
    /// Cancels a short request at a worker.
    Cancel {
        /// Worker that received the request.
        worker: WorkerName,
        /// Id of the request.
        id: String,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Changes a model.
    Switch(PlatformSwitch),
    /// Reports an event to the checker.
    CheckerEvent(CheckerEvent),
    /// Counts the runs of short requests for each key.
    RunCounts {
        /// Receives the counts.
        reply: Sender<HashMap<RequestKey, u32>>,
    },
    /// Returns the violations that the checker has found so far.
    Outcome {
        /// Receives the report and the number of started tasks.
        reply: Sender<(ViolationReport, usize)>,
    },
}

/// Sends calls to the thread.
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
/// Returns the I/O error if a thread cannot be started.
pub fn spawn(
    calls: Receiver<PlatformCall>,
    infos: &[WorkerInfo],
    list_lag: TimeSpan,
) -> io::Result<()> {
    let clock = RunClock::start();
    let mut vms = VmModel::new(list_lag);
    let mut workers = HashMap::new();
    for info in infos {
        // Workers are listed since time 0, so that the first response is complete despite the lag.
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
    // The response to the next renewal repeats a report that was lost.
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

    /// Advances all models to the current time and completes reads that are ready or expired.
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
            // Sending fails if the reader has disconnected.
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
    // If the queue is full, the response to the next renewal repeats the report.
    let _ = push_queue.try_send((address.to_string(), WorkerTasks { worker, tasks }));
}
