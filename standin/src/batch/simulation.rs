//! Seeded simulation of daemons, the store and workers under one virtual clock, with injected
//! faults.

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
use mustardpath_core::batch::message::WriterIdentity;
use mustardpath_core::batch::planner::PlannerState;
use mustardpath_core::batch::record::BatchRecord;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::BatchId;
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::OrderToken;
use mustardpath_core::ids::TeamName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::kind::RunStatus;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Virtual time at which each simulation starts.
pub const START_TIME: ClockTime = ClockTime(1_000_000_000);

/// Interval of a daemon's ticks.
const TICK_INTERVAL: TimeSpan = TimeSpan(100);

/// Maximum latency of a message in milliseconds. Each message draws its own.
const MAX_MESSAGE_DELAY_MS: u64 = 4;

/// Time after which a lost packet is sent again.
const RETRANSMISSION_DELAY: TimeSpan = TimeSpan(1_000);

/// Time after which a member of a gang ends with `RunEnding::Alone` if other members are missing.
const GANG_TIMEOUT: TimeSpan = TimeSpan(3_000);

/// Number of failed attempts after which a job fails, in all queues.
pub const MAX_ATTEMPTS: u32 = 4;

const QUEUE_HOST: &str = "jobs.example";

/// Path prefixes of the queues by priority, the most urgent one first. All queues are public.
const QUEUE_PREFIXES: [&str; 2] = ["/urgent/", "/q/"];

/// Injected faults of the calls between daemons, store and workers.
#[derive(Clone, Debug, Default)]
pub struct BatchFaults {
    /// Share of appends, in thousandths, that are stored while their responses are lost.
    pub lost_append_permille: u32,
    /// Share of orders, in thousandths, that are executed 2 to 12 s late and never answered.
    pub late_order_permille: u32,
    /// Whether appends are neither executed nor answered.
    pub are_appends_dropped: bool,
    /// Time that the store takes for each append, one after the other. Appends that would wait for
    /// more than 2 s are rejected.
    pub append_time: TimeSpan,
    /// Number of records above which the store rejects an append; 0 for no limit.
    pub max_append_records: usize,
    /// Whether the store rejects all calls.
    pub is_store_down: bool,
    /// Daemons that cannot reach the store.
    pub partitioned_daemons: IndexSet<usize>,
    /// Daemons whose reads of the store fail while their appends succeed.
    pub read_failing_daemons: IndexSet<usize>,
    /// Workers that are unreachable for all daemons and cannot reach the store.
    pub partitioned_workers: IndexSet<WorkerName>,
    /// Daemons with workers that they cannot reach, while others can.
    pub severed_links: IndexSet<(usize, WorkerName)>,
    /// Workers that run on while connections to them are refused.
    pub refusing_workers: IndexSet<WorkerName>,
    /// Latency that is added to each order.
    pub order_delay: TimeSpan,
    /// Whether packets to a worker that is down are lost and sent again, so that orders reach its
    /// next incarnation. Otherwise connections to it are refused.
    pub are_packets_retransmitted: bool,
    /// Whether late orders reach the incarnation of the worker that runs by then. Otherwise they end
    /// with the incarnation that they were sent to.
    pub are_late_orders_kept: bool,
}

#[derive(Debug)]
struct DaemonProcess {
    settings: DaemonSettings,
    /// `None` while the process is down.
    state: Option<DaemonState>,
    incarnation: u64,
    is_paused: bool,
    /// Inputs that arrived while the process was paused.
    deferred_inputs: Vec<EventInput>,
    /// Inputs that wait until the process is idle.
    input_queue: VecDeque<EventInput>,
    /// Number of inputs handled since the last [`EventInput::BurstEnd`].
    burst_inputs: u32,
    /// End of the current processing, in microseconds since [`START_TIME`].
    busy_until_us: u64,
}

/// A scheduled event. Numbers are a daemon and its incarnation, which drops events of an earlier
/// process.
#[derive(Debug)]
enum SimulationEvent {
    Tick(usize, u64),
    DeliverInput(usize, u64, Box<EventInput>),
    StoreCall(usize, u64, Box<BatchEffect>),
    DeliverOrder(usize, u64, Box<OrderCall>),
    EndDueRuns(WorkerName),
    ExecuteAppend(usize, u64, Box<AppendCall>),
    ReadTimeout(usize, u64, StoreStream),
    HoldTimeout(WorkerName, CallId),
    Heartbeat(WorkerName),
    ProcessInput(usize, u64),
}

/// An append in flight to the store.
#[derive(Debug)]
struct AppendCall {
    batch: BatchId,
    writer: WriterIdentity,
    records: Vec<BatchRecord>,
    timeout: TimeSpan,
    /// Whether the daemon receives the response.
    is_answered: bool,
}

/// An order in flight to a worker.
#[derive(Clone, Debug)]
struct OrderCall {
    call: CallId,
    worker: WorkerName,
    token: OrderToken,
    order: WorkerOrder,
    /// Whether the daemon receives the response.
    is_answered: bool,
    /// Incarnation of the worker at the time of sending.
    worker_incarnation: Option<u64>,
}

/// Daemons, the store and workers under one virtual clock.
#[derive(Debug)]
pub struct BatchSimulation {
    /// Faults that are currently injected.
    pub faults: BatchFaults,
    /// Processing time of the daemons. With `None`, daemons handle each input at once.
    pub processing_cost: Option<ProcessingCost>,
    /// Model of the platform's store.
    pub store: KeyedStore,
    /// Checker that observes all starts, ends and responses.
    pub checker: InvariantChecker,
    /// Models of the workers, including those that are down.
    pub workers: IndexMap<WorkerName, BatchWorker>,
    /// Jobs that are submitted to the urgent queue. To be set before the submission.
    pub urgent_jobs: IndexSet<JobKey>,
    /// Teams of jobs. All other jobs are submitted without a key.
    pub job_teams: IndexMap<JobKey, TeamName>,
    /// Run time of each job's tasks and whether they fail. The default is 1 s without failure.
    pub job_behavior: IndexMap<JobKey, (TimeSpan, bool)>,
    /// Objective of each queue: the factor on the run time in thousandths, and the fixed part.
    /// Applies from the next [`BatchSimulation::set_teams`] on.
    pub objectives: [(u64, TimeSpan); 2],
    at: ClockTime,
    daemons: Vec<DaemonProcess>,
    /// Scheduled events by time, and by order of scheduling within a millisecond.
    events: BTreeMap<(ClockTime, u64), SimulationEvent>,
    last_event: u64,
    /// Long polls at the end of a topic: daemon, incarnation, topic and offset.
    parked_reads: Vec<(usize, u64, StoreStream, u64)>,
    /// Long polls of holds that wait for an ended run: daemon, incarnation, worker and call.
    parked_holds: Vec<(usize, u64, WorkerName, CallId)>,
    /// Calls of callers without a response: the job, and whether the call is a submission.
    open_calls: IndexMap<(usize, CallerId), (JobKey, bool)>,
    last_caller: u64,
    rng: Rng,
    /// When the store has executed the appends that it has received.
    appends_done_at: ClockTime,
    /// Teams of the configuration that was published last.
    teams: IndexMap<TeamName, TeamConfig>,
    /// Version of the configuration that was published last.
    last_config: u64,
    /// Number of appends that the store has received.
    pub append_count: u64,
    /// Log lines of the daemons with their times in milliseconds. `None` turns tracing off.
    pub trace: Option<Vec<String>>,
}

impl BatchSimulation {
    /// Creates a simulation and starts all daemons. The same seed and calls produce the same
    /// run.
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
            appends_done_at: START_TIME,
            teams: IndexMap::new(),
            last_config: 1,
            append_count: 0,
            trace: None,
            objectives: [(3_000, TimeSpan(1_000)); 2],
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

    /// Returns the virtual time.
    #[must_use]
    pub const fn now(&self) -> ClockTime {
        self.at
    }

    /// Returns the number of daemons, including those that are down.
    #[must_use]
    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Returns the daemon that considers itself the planner, the one with the newest term if there
    /// are several.
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

    /// Returns the state of the planner with the newest term.
    #[must_use]
    pub fn planner_state(&self) -> Option<&PlannerState> {
        let state = self.daemons[self.planner()?].state.as_ref()?;
        state.batch.as_ref()?.planner.as_deref()
    }

    /// Submits a job to a daemon. A daemon that is down drops the submission.
    pub fn submit(&mut self, daemon: usize, job: JobKey, submission: JobSubmission) {
        let checked_job = self.checker.jobs.entry(job).or_insert_with(|| CheckedJob {
            submission: submission.clone(),
            team: self.job_teams.get(&job).cloned(),
            ..CheckedJob::default()
        });
        if self.daemons[daemon].state.is_none() {
            return;
        }
        checked_job.open_submissions += 1;
        self.send_call(daemon, job, CallAction::Submit(Box::new(submission)), true);
    }

    /// Sends the cancellation of a job to a daemon.
    pub fn cancel(&mut self, daemon: usize, job: JobKey) {
        if let Some(checked_job) = self.checker.jobs.get_mut(&job) {
            checked_job.is_cancelled = true;
        }
        self.send_call(daemon, job, CallAction::Cancel, false);
    }

    /// Returns the phase of a job at the first running daemon that has it.
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

    /// Advances the clock and dispatches all events that are scheduled meanwhile.
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

    /// Removes all faults, restarts all daemons and workers, waits for `span` and checks the phases
    /// of all jobs.
    pub fn recover_and_check(&mut self, span: TimeSpan) {
        self.faults = BatchFaults::default();
        for daemon in 0..self.daemons.len() {
            self.set_paused(daemon, false);
            // A daemon that is stopping would exit later and not be started again.
            if self.is_stopping(daemon) {
                self.kill(daemon);
            }
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

    fn is_stopping(&self, daemon: usize) -> bool {
        let state = self.daemons[daemon].state.as_ref();
        let batch = state.and_then(|state| state.batch.as_ref());
        batch.is_some_and(|batch| batch.stopping.is_some())
    }

    /// Publishes teams with their guaranteed number of accelerators. The API key of a team is its
    /// name.
    pub fn set_teams(&mut self, guarantees: &[(&str, u64)]) {
        let team = |(name, guaranteed_gpu): &(&str, u64)| {
            let config = TeamConfig {
                name: (*name).into(),
                keys: vec![KeyDigest::of(name)],
                guaranteed_gpu: *guaranteed_gpu,
                weight: 0,
                cap: TaskDemand::default(),
            };
            (config.name.clone(), config)
        };
        self.teams = guarantees.iter().map(team).collect();
        self.publish_teams();
    }

    /// Publishes a new cap of a team. A dimension with 0 has no limit.
    pub fn set_cap(&mut self, team: &str, cap: TaskDemand) {
        if let Some(config) = self.teams.get_mut(&TeamName::from(team)) {
            config.cap = cap;
        }
        self.checker.record_cap(team.into(), cap, self.at);
        self.publish_teams();
    }

    /// Publishes a new weight of a team, in thousandths.
    pub fn set_weight(&mut self, team: &str, weight: u64) {
        if let Some(config) = self.teams.get_mut(&TeamName::from(team)) {
            config.weight = weight;
        }
        self.publish_teams();
    }

    fn publish_teams(&mut self) {
        self.last_config += 1;
        self.publish_catalog(self.last_config, self.teams.clone());
        self.complete_reads();
    }

    /// Publishes teams with their weights in thousandths, and no guarantees. The API key of a team is
    /// its name.
    pub fn set_weights(&mut self, weights: &[(&str, Option<u64>)]) {
        let team = |(name, weight): &(&str, Option<u64>)| {
            let config = TeamConfig {
                name: (*name).into(),
                keys: vec![KeyDigest::of(name)],
                guaranteed_gpu: 0,
                weight: weight.unwrap_or(0),
                cap: TaskDemand::default(),
            };
            (config.name.clone(), config)
        };
        self.publish_catalog(2, weights.iter().map(team).collect());
        self.complete_reads();
    }

    fn publish_catalog(&mut self, version: u64, teams: IndexMap<TeamName, TeamConfig>) {
        let objectives = self.objectives;
        let queue = |(priority, prefix): (u32, &&str)| QueueConfig {
            name: (*prefix).into(),
            host: QUEUE_HOST.to_owned(),
            prefix: (*prefix).to_owned(),
            service: "s".into(),
            priority,
            max_attempts: MAX_ATTEMPTS,
            stretch: objectives[priority as usize].0,
            target: objectives[priority as usize].1,
            public: true,
        };
        let catalog = QueueCatalog {
            version,
            queues: (0..).zip(&QUEUE_PREFIXES).map(queue).collect(),
            teams,
            bad_values: Vec::new(),
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
