//! Daemons, the store and workers under one clock, with faults between them.

mod delivery;
mod lifecycle;
mod platform;
pub mod processing;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use fastrand::Rng;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::checker::CheckedJob;
use crate::batch::checker::InvariantChecker;
use crate::batch::simulation::processing::ProcessingCost;
use crate::batch::store::KeyedStore;
use crate::batch::worker::BatchWorker;
use crate::batch::worker::WorkerBehavior;
use mustardpath_core::batch::catalog::QueueCatalog;
use mustardpath_core::batch::catalog::QueueConfig;
use mustardpath_core::batch::catalog::TeamConfig;
use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::JobPhase;
use mustardpath_core::batch::job::JobSubmission;
use mustardpath_core::batch::job::TaskDemand;
use mustardpath_core::batch::job::WorkerCondition;
use mustardpath_core::batch::job::WorkerEntry;
use mustardpath_core::batch::message::BatchEffect;
use mustardpath_core::batch::message::BatchInput;
use mustardpath_core::batch::message::CallAction;
use mustardpath_core::batch::message::QueueCall;
use mustardpath_core::batch::message::QueueResponse;
use mustardpath_core::batch::message::StoreStream;
use mustardpath_core::batch::message::StreamChange;
use mustardpath_core::batch::message::WorkerOrder;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::TeamName;
use mustardpath_core::ids::TermNumber;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::kind::RunStatus;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Time at which each run begins.
const START_TIME: ClockTime = ClockTime(1_000_000_000);

/// Time between two ticks of a daemon.
const TICK_INTERVAL: TimeSpan = TimeSpan(100);

/// Longest delay of a message, in milliseconds.
const MAX_MESSAGE_DELAY_MS: u64 = 4;

/// Time after which a run of an incomplete gang ends by itself.
const GANG_TIMEOUT: TimeSpan = TimeSpan(3_000);

/// Attempts that may fail.
pub const MAX_ATTEMPTS: u32 = 4;

/// Host of the queues, which are public, and their paths by priority.
const QUEUE_HOST: &str = "jobs.example";
const QUEUE_PREFIXES: [&str; 2] = ["/urgent/", "/q/"];

/// Faults of the calls between daemons, store and workers.
#[derive(Clone, Debug, Default)]
pub struct BatchFaults {
    /// Answers of the store that are lost, in thousandths.
    pub lost_append_permille: u32,
    /// Orders that get no answer and are carried out seconds later, in thousandths.
    pub late_order_permille: u32,
    /// Whether the store refuses everybody.
    pub is_store_down: bool,
    /// Daemons that the store does not answer.
    pub partitioned_daemons: IndexSet<usize>,
    /// Daemons whose reads of the store fail while their appends do not.
    pub read_failing_daemons: IndexSet<usize>,
    /// Workers that no daemon reaches and that do not reach the store.
    pub partitioned_workers: IndexSet<WorkerName>,
    /// Time that each order takes to its worker, beyond the usual one.
    pub order_delay: TimeSpan,
}

/// A process of a daemon.
#[derive(Debug)]
struct DaemonProcess {
    settings: DaemonSettings,
    state: Option<DaemonState>,
    incarnation: u64,
    is_paused: bool,
    /// Events that arrived_at while the process was is_paused.
    deferred_inputs: Vec<EventInput>,
    /// Events that wait because the process is busy.
    input_queue: VecDeque<EventInput>,
    /// Events that were handled since the process last settled.
    burst_inputs: u32,
    /// Microseconds since the start of the run until which the process is busy.
    busy_until_us: u64,
}

/// What happens at a time.
#[derive(Debug)]
enum SimulationEvent {
    Tick(usize, u64),
    DeliverInput(usize, u64, Box<EventInput>),
    StoreCall(usize, u64, Box<BatchEffect>),
    DeliverOrder(usize, u64, Box<OrderCall>),
    EndDueRuns(WorkerName),
    ReadTimeout(usize, u64, StoreStream),
    HoldTimeout(WorkerName, CallId),
    Heartbeat(WorkerName),
    ProcessInput(usize, u64),
}

/// An order on its way to a worker.
#[derive(Clone, Debug)]
struct OrderCall {
    call: CallId,
    worker: WorkerName,
    term: TermNumber,
    order: WorkerOrder,
    /// Whether the answer reaches the daemon.
    is_answered: bool,
    /// The life that it was sent to. Orders on their way end with the worker's process.
    worker_incarnation: Option<u64>,
}

/// Daemons, the store and workers under one clock.
#[derive(Debug)]
pub struct BatchSimulation {
    /// Faults that are in force.
    pub faults: BatchFaults,
    /// What the daemons' events cost; none takes any time without it.
    pub processing_cost: Option<ProcessingCost>,
    /// The store.
    pub store: KeyedStore,
    /// The checker.
    pub checker: InvariantChecker,
    /// The workers.
    pub workers: IndexMap<WorkerName, BatchWorker>,
    /// Jobs that are handed in to the urgent queue.
    pub urgent_jobs: IndexSet<JobKey>,
    /// Teams of jobs; the others are handed in without a key.
    pub job_teams: IndexMap<JobKey, TeamName>,
    /// Run time of each job's tasks and whether they fail.
    pub job_behavior: IndexMap<JobKey, (TimeSpan, bool)>,
    at: ClockTime,
    daemons: Vec<DaemonProcess>,
    events: BTreeMap<(ClockTime, u64), SimulationEvent>,
    last_event: u64,
    parked_reads: Vec<(usize, u64, StoreStream, u64)>,
    parked_holds: Vec<(usize, u64, WorkerName, CallId)>,
    open_calls: IndexMap<(usize, CallerId), (JobKey, bool)>,
    last_caller: u64,
    rng: Rng,
    /// Log lines of the daemons, when tracing.
    pub trace: Option<Vec<String>>,
}

impl BatchSimulation {
    /// Creates a simulation whose daemons start at once.
    #[must_use]
    pub fn new(seed: u64, settings: Vec<DaemonSettings>, workers: u32) -> Self {
        let daemons = settings.into_iter().map(|settings| DaemonProcess {
            settings,
            state: None,
            incarnation: 0,
            is_paused: false,
            deferred_inputs: Vec::new(),
            input_queue: VecDeque::new(),
            burst_inputs: 0,
            busy_until_us: 0,
        });
        let mut simulation = Self {
            faults: BatchFaults::default(),
            processing_cost: None,
            store: KeyedStore::default(),
            checker: InvariantChecker::default(),
            workers: IndexMap::new(),
            urgent_jobs: IndexSet::new(),
            job_teams: IndexMap::new(),
            job_behavior: IndexMap::new(),
            at: START_TIME,
            daemons: daemons.collect(),
            events: BTreeMap::new(),
            last_event: 0,
            parked_reads: Vec::new(),
            parked_holds: Vec::new(),
            open_calls: IndexMap::new(),
            last_caller: 0,
            rng: Rng::with_seed(seed),
            trace: None,
        };
        simulation.publish_catalog(1, IndexMap::new());
        for number in 0..workers {
            simulation.add_worker(number);
        }
        for daemon in 0..simulation.daemons.len() {
            simulation.start(daemon);
        }
        simulation
    }

    /// Returns the time.
    #[must_use]
    pub const fn now(&self) -> ClockTime {
        self.at
    }

    /// Returns the number of daemons.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the daemon that plans, by its own account.
    #[must_use]
    pub fn planner(&self) -> Option<usize> {
        let held_term = |process: &DaemonProcess| {
            let state = process
                .state
                .as_ref()
                .and_then(|state| state.batch.as_ref());
            state.and_then(|state| Some(state.planner.as_ref()?.term))
        };
        let planners = self.daemons.iter().enumerate();
        let planners = planners.filter_map(|(daemon, process)| Some((held_term(process)?, daemon)));
        planners.max().map(|(_, daemon)| daemon)
    }

    /// Hands a job in at a daemon.
    pub fn submit(&mut self, daemon: usize, job: JobKey, submission: JobSubmission) {
        let checked_job = self.checker.jobs.entry(job).or_insert_with(|| CheckedJob {
            submission: submission.clone(),
            ..CheckedJob::default()
        });
        if self.daemons[daemon].state.is_none() {
            return;
        }
        checked_job.open_submissions += 1;
        self.send_call(daemon, job, CallAction::Submit(Box::new(submission)), true);
    }

    /// Cancels a job at a daemon.
    pub fn cancel(&mut self, daemon: usize, job: JobKey) {
        if let Some(checked_job) = self.checker.jobs.get_mut(&job) {
            checked_job.is_cancelled = true;
        }
        self.send_call(daemon, job, CallAction::Cancel, false);
    }

    /// Returns the phase of a job at a daemon that is up.
    #[must_use]
    pub fn phase(&self, job: JobKey) -> Option<JobPhase> {
        let states = self
            .daemons
            .iter()
            .filter_map(|daemon| daemon.state.as_ref());
        let batches = states.filter_map(|state| state.batch.as_ref());
        let entries = batches.filter_map(|batch| batch.view.jobs.get(&job));
        entries.map(|entry| entry.reported_phase()).next()
    }

    /// Lets time pass.
    pub fn advance(&mut self, span: TimeSpan) {
        let until = self.at + span;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.at = at;
            self.dispatch_event(event);
        }
        self.at = until;
    }

    /// Ends all faults, brings everything back and waits; then judges.
    pub fn recover_and_check(&mut self, span: TimeSpan) {
        self.faults = BatchFaults::default();
        for daemon in 0..self.daemons.len() {
            self.set_paused(daemon, false);
            self.start(daemon);
        }
        let names: Vec<WorkerName> = self.workers.keys().cloned().collect();
        for worker in names {
            let model = &mut self.workers[&worker];
            if model.behavior == WorkerBehavior::Down
                || model.entry.condition == WorkerCondition::Draining
            {
                self.crash_worker(&worker);
                self.restart_worker(&worker);
            } else {
                model.behavior = WorkerBehavior::Healthy;
                self.write_entry(&worker);
            }
        }
        self.advance(span);
        let jobs: Vec<JobKey> = self.checker.jobs.keys().copied().collect();
        let phases = jobs
            .iter()
            .filter_map(|job| Some((*job, self.phase(*job)?)));
        let phases = phases.collect();
        self.checker.check_phases(&phases, MAX_ATTEMPTS);
    }

    /// Publishes teams with the accelerators that are guaranteed to them. A team's key is its name.
    pub fn set_teams(&mut self, guarantees: &[(&str, u64)]) {
        let team = |(name, guaranteed_gpu): &(&str, u64)| {
            let config = TeamConfig {
                name: (*name).into(),
                keys: vec![KeyDigest::of(name)],
                guaranteed_gpu: *guaranteed_gpu,
            };
            (config.name.clone(), config)
        };
        self.publish_catalog(2, guarantees.iter().map(team).collect());
        self.complete_reads();
    }

    fn publish_catalog(&mut self, version: u64, teams: IndexMap<TeamName, TeamConfig>) {
        let queue = |(priority, prefix): (u32, &&str)| QueueConfig {
            name: (*prefix).into(),
            host: QUEUE_HOST.to_owned(),
            prefix: (*prefix).to_owned(),
            service: "s".into(),
            priority,
            max_attempts: MAX_ATTEMPTS,
            stretch: 3_000,
            target: TimeSpan(1_000),
            public: true,
        };
        let catalog = QueueCatalog {
            version,
            queues: (0..).zip(&QUEUE_PREFIXES).map(queue).collect(),
            teams,
        };
        let change = StreamChange::Catalog(Box::new(catalog));
        self.store
            .write(StoreStream::Operator, "config", change, false);
    }

    fn add_worker(&mut self, number: u32) {
        let entry = WorkerEntry {
            service: "s".into(),
            address: format!("10.9.0.{number}:80"),
            domain: format!("d{}", number % 2).as_str().into(),
            condition: WorkerCondition::Ready,
            capacity: TaskDemand {
                cpu: 8_000,
                memory: 8_000,
                gpu: 4,
            },
            labels: vec!["a".into(), format!("r{}", number / 4).as_str().into()],
            rack: format!("r{}", number / 4).as_str().into(),
            incarnation: self.at.0,
            remaining: None,
        };
        let name = WorkerName::from(format!("w{number}").as_str());
        let clock_loss_permille = u64::from(number % 3) * 10;
        let model = BatchWorker::new(entry, clock_loss_permille, TimeSpan(6_000), self.at);
        self.workers.insert(name.clone(), model);
        self.write_entry(&name);
        self.schedule(TimeSpan(1_500), SimulationEvent::Heartbeat(name));
    }

    fn write_entry(&mut self, worker: &WorkerName) {
        let Some(model) = self.workers.get(worker) else {
            return;
        };
        if model.behavior == WorkerBehavior::Down
            || self.faults.partitioned_workers.contains(worker)
        {
            return;
        }
        let change = StreamChange::Worker {
            worker: worker.clone(),
            entry: Some(Box::new(model.entry.clone())),
        };
        self.store
            .write(StoreStream::Workers, worker.as_str(), change, false);
        self.complete_reads();
    }

    fn send_call(&mut self, daemon: usize, job: JobKey, action: CallAction, is_submission: bool) {
        if self.daemons[daemon].state.is_none() {
            return;
        }
        self.last_caller += 1;
        let caller = CallerId(self.last_caller);
        self.open_calls
            .insert((daemon, caller), (job, is_submission));
        let prefix = QUEUE_PREFIXES[usize::from(!self.urgent_jobs.contains(&job))];
        let team = self.job_teams.get(&job);
        let call = QueueCall {
            host: QUEUE_HOST.to_owned(),
            path: format!("{prefix}{}", job.text()),
            credential: team.map(|team| KeyDigest::of(team.as_str())),
            timeout: Some(TimeSpan(3_000)),
            action,
        };
        let call = Box::new(call);
        let input = EventInput::Batch(BatchInput::Call { caller, call });
        let incarnation = self.daemons[daemon].incarnation;
        self.deliver_input(daemon, incarnation, input);
    }

    fn record_response(&mut self, daemon: usize, caller: CallerId, response: &QueueResponse) {
        let Some((job, is_submission)) = self.open_calls.swap_remove(&(daemon, caller)) else {
            return;
        };
        let Some(checked_job) = self.checker.jobs.get_mut(&job) else {
            return;
        };
        if !is_submission {
            return;
        }
        checked_job.open_submissions = checked_job.open_submissions.saturating_sub(1);
        match response {
            QueueResponse::Accepted => checked_job.is_accepted = true,
            QueueResponse::Failure(report) => {
                checked_job.has_unknown_outcome |= report.kind.response().run != RunStatus::NotRun;
            }
            QueueResponse::Phase(_) | QueueResponse::Pending(_) | QueueResponse::Cancelled => {}
        }
    }

    fn schedule(&mut self, delay: TimeSpan, event: SimulationEvent) {
        self.last_event += 1;
        self.events
            .insert((self.at + delay, self.last_event), event);
    }

    fn draw_delay(&mut self) -> TimeSpan {
        TimeSpan(self.rng.u64(1..=MAX_MESSAGE_DELAY_MS))
    }
}
