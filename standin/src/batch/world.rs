//! Daemons, the store and workers under one clock, with faults between them.

mod delivery;
mod lifecycle;
pub mod pace;
mod service;

use std::collections::BTreeMap;
use std::collections::VecDeque;

use fastrand::Rng;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::judge::BatchJudge;
use crate::batch::judge::JudgedJob;
use crate::batch::store::KeyedStore;
use crate::batch::worker::BatchWorker;
use crate::batch::worker::WorkerMood;
use crate::batch::world::pace::DaemonPace;
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
const START: ClockTime = ClockTime(1_000_000_000);

/// Time between two ticks of a daemon.
const TICK: TimeSpan = TimeSpan(100);

/// Longest delay of a message, in milliseconds.
const DELAY: u64 = 4;

/// Time after which a run of an incomplete gang ends by itself.
const GANG_TIMEOUT: TimeSpan = TimeSpan(3_000);

/// Attempts that may fail.
pub const MAX_ATTEMPTS: u32 = 4;

/// Host of the queues, which are public, and their paths by priority.
const HOST: &str = "jobs.example";
const PREFIXES: [&str; 2] = ["/urgent/", "/q/"];

/// Faults of the calls between daemons, store and workers.
#[derive(Clone, Debug, Default)]
pub struct BatchFaults {
    /// Answers of the store that are lost, in thousandths.
    pub lost_writes: u32,
    /// Orders that get no answer and are carried out seconds later, in thousandths.
    pub late_orders: u32,
    /// Whether the store refuses everybody.
    pub store_down: bool,
    /// Daemons that the store does not answer.
    pub cut_daemons: IndexSet<usize>,
    /// Daemons whose reads of the store fail while their appends do not.
    pub deaf_daemons: IndexSet<usize>,
    /// Workers that no daemon reaches and that do not reach the store.
    pub cut_workers: IndexSet<WorkerName>,
    /// Time that each order takes to its worker, beyond the usual one.
    pub order_delay: TimeSpan,
}

/// A process of a daemon.
#[derive(Debug)]
struct DaemonProcess {
    settings: DaemonSettings,
    state: Option<DaemonState>,
    incarnation: u64,
    frozen: bool,
    /// Events that came while the process was frozen.
    inbox: Vec<EventInput>,
    /// Events that wait because the process is busy.
    waiting: VecDeque<EventInput>,
    /// Events that were handled since the process last settled.
    unsettled: u32,
    /// Microseconds since the start of the run until which the process is busy.
    busy_until: u64,
}

/// What happens at a time.
#[derive(Debug)]
enum WorldEvent {
    Tick(usize, u64),
    Input(usize, u64, Box<EventInput>),
    Store(usize, u64, Box<BatchEffect>),
    Order(usize, u64, Box<OrderCall>),
    Worker(WorkerName),
    ParkedRead(usize, u64, StoreStream),
    ParkedHold(WorkerName, CallId),
    Heartbeat(WorkerName),
    Work(usize, u64),
}

/// An order on its way to a worker.
#[derive(Clone, Debug)]
struct OrderCall {
    call: CallId,
    worker: WorkerName,
    term: TermNumber,
    order: WorkerOrder,
    /// Whether the answer reaches the daemon.
    answers: bool,
    /// The life that it was sent to. Orders on their way end with the worker's process.
    worker_incarnation: Option<u64>,
}

/// Daemons, the store and workers under one clock.
#[derive(Debug)]
pub struct BatchWorld {
    /// Faults that are in force.
    pub faults: BatchFaults,
    /// What the daemons' events cost; none takes any time without it.
    pub pace: Option<DaemonPace>,
    /// The store.
    pub store: KeyedStore,
    /// The judge.
    pub judge: BatchJudge,
    /// The workers.
    pub workers: IndexMap<WorkerName, BatchWorker>,
    /// Jobs that are handed in to the urgent queue.
    pub urgent: IndexSet<JobKey>,
    /// Teams of jobs; the others are handed in without a key.
    pub owners: IndexMap<JobKey, TeamName>,
    /// Run time of each job's tasks and whether they fail.
    pub work: IndexMap<JobKey, (TimeSpan, bool)>,
    at: ClockTime,
    daemons: Vec<DaemonProcess>,
    queue: BTreeMap<(ClockTime, u64), WorldEvent>,
    queued: u64,
    reads: Vec<(usize, u64, StoreStream, u64)>,
    holds: Vec<(usize, u64, WorkerName, CallId)>,
    calls: IndexMap<(usize, CallerId), (JobKey, bool)>,
    last_caller: u64,
    rng: Rng,
    /// Log lines of the daemons, when tracing.
    pub trace: Option<Vec<String>>,
}

impl BatchWorld {
    /// Creates a world whose daemons start at once.
    #[must_use]
    pub fn new(seed: u64, settings: Vec<DaemonSettings>, workers: u32) -> Self {
        let daemons = settings.into_iter().map(|settings| DaemonProcess {
            settings,
            state: None,
            incarnation: 0,
            frozen: false,
            inbox: Vec::new(),
            waiting: VecDeque::new(),
            unsettled: 0,
            busy_until: 0,
        });
        let mut world = Self {
            faults: BatchFaults::default(),
            pace: None,
            store: KeyedStore::default(),
            judge: BatchJudge::default(),
            workers: IndexMap::new(),
            urgent: IndexSet::new(),
            owners: IndexMap::new(),
            work: IndexMap::new(),
            at: START,
            daemons: daemons.collect(),
            queue: BTreeMap::new(),
            queued: 0,
            reads: Vec::new(),
            holds: Vec::new(),
            calls: IndexMap::new(),
            last_caller: 0,
            rng: Rng::with_seed(seed),
            trace: None,
        };
        world.configure(1, IndexMap::new());
        for number in 0..workers {
            world.add_worker(number);
        }
        for daemon in 0..world.daemons.len() {
            world.start(daemon);
        }
        world
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
        let holds = |process: &DaemonProcess| {
            let state = process
                .state
                .as_ref()
                .and_then(|state| state.batch.as_ref());
            state.and_then(|state| Some(state.planner.as_ref()?.term))
        };
        let planners = self.daemons.iter().enumerate();
        let planners = planners.filter_map(|(daemon, process)| Some((holds(process)?, daemon)));
        planners.max().map(|(_, daemon)| daemon)
    }

    /// Hands a job in at a daemon.
    pub fn submit(&mut self, daemon: usize, job: JobKey, submission: JobSubmission) {
        let judged = self.judge.jobs.entry(job).or_insert_with(|| JudgedJob {
            submission: submission.clone(),
            ..JudgedJob::default()
        });
        if self.daemons[daemon].state.is_none() {
            return;
        }
        judged.open += 1;
        self.call(daemon, job, CallAction::Submit(Box::new(submission)), true);
    }

    /// Cancels a job at a daemon.
    pub fn cancel(&mut self, daemon: usize, job: JobKey) {
        if let Some(judged) = self.judge.jobs.get_mut(&job) {
            judged.cancelled = true;
        }
        self.call(daemon, job, CallAction::Cancel, false);
    }

    /// Returns the phase of a job at a daemon that is up.
    #[must_use]
    pub fn phase(&self, job: JobKey) -> Option<JobPhase> {
        let states = self
            .daemons
            .iter()
            .filter_map(|daemon| daemon.state.as_ref());
        let books = states.filter_map(|state| state.batch.as_ref());
        let entries = books.filter_map(|batch| batch.view.jobs.get(&job));
        entries.map(|entry| entry.reported_phase()).next()
    }

    /// Lets time pass.
    pub fn advance(&mut self, span: TimeSpan) {
        let until = self.at + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > until {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.at = at;
            self.happen(event);
        }
        self.at = until;
    }

    /// Ends all faults, brings everything back and waits; then judges.
    pub fn settle(&mut self, span: TimeSpan) {
        self.faults = BatchFaults::default();
        for daemon in 0..self.daemons.len() {
            self.freeze(daemon, false);
            self.start(daemon);
        }
        let names: Vec<WorkerName> = self.workers.keys().cloned().collect();
        for worker in names {
            let model = &mut self.workers[&worker];
            if model.mood == WorkerMood::Down || model.entry.condition == WorkerCondition::Draining
            {
                self.crash_worker(&worker);
                self.revive_worker(&worker);
            } else {
                model.mood = WorkerMood::Well;
                self.write_entry(&worker);
            }
        }
        self.advance(span);
        let jobs: Vec<JobKey> = self.judge.jobs.keys().copied().collect();
        let shown = jobs
            .iter()
            .filter_map(|job| Some((*job, self.phase(*job)?)));
        let shown = shown.collect();
        self.judge.finish(&shown, MAX_ATTEMPTS);
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
        self.configure(2, guarantees.iter().map(team).collect());
        self.wake_reads();
    }

    fn configure(&mut self, version: u64, teams: IndexMap<TeamName, TeamConfig>) {
        let queue = |(priority, prefix): (u32, &&str)| QueueConfig {
            name: (*prefix).into(),
            host: HOST.to_owned(),
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
            queues: (0..).zip(&PREFIXES).map(queue).collect(),
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
        let slow = u64::from(number % 3) * 10;
        let model = BatchWorker::new(entry, slow, TimeSpan(6_000), self.at);
        self.workers.insert(name.clone(), model);
        self.write_entry(&name);
        self.schedule(TimeSpan(1_500), WorldEvent::Heartbeat(name));
    }

    fn write_entry(&mut self, worker: &WorkerName) {
        let Some(model) = self.workers.get(worker) else {
            return;
        };
        if model.mood == WorkerMood::Down || self.faults.cut_workers.contains(worker) {
            return;
        }
        let change = StreamChange::Worker {
            worker: worker.clone(),
            entry: Some(Box::new(model.entry.clone())),
        };
        self.store
            .write(StoreStream::Workers, worker.as_str(), change, false);
        self.wake_reads();
    }

    fn call(&mut self, daemon: usize, job: JobKey, action: CallAction, is_submission: bool) {
        if self.daemons[daemon].state.is_none() {
            return;
        }
        self.last_caller += 1;
        let caller = CallerId(self.last_caller);
        self.calls.insert((daemon, caller), (job, is_submission));
        let prefix = PREFIXES[usize::from(!self.urgent.contains(&job))];
        let owner = self.owners.get(&job);
        let call = QueueCall {
            host: HOST.to_owned(),
            path: format!("{prefix}{}", job.text()),
            credential: owner.map(|team| KeyDigest::of(team.as_str())),
            timeout: Some(TimeSpan(3_000)),
            action,
        };
        let call = Box::new(call);
        let input = EventInput::Batch(BatchInput::Call { caller, call });
        let incarnation = self.daemons[daemon].incarnation;
        self.apply(daemon, incarnation, input);
    }

    fn answered(&mut self, daemon: usize, caller: CallerId, response: &QueueResponse) {
        let Some((job, is_submission)) = self.calls.swap_remove(&(daemon, caller)) else {
            return;
        };
        let Some(judged) = self.judge.jobs.get_mut(&job) else {
            return;
        };
        if !is_submission {
            return;
        }
        judged.open = judged.open.saturating_sub(1);
        match response {
            QueueResponse::Accepted => judged.accepted = true,
            QueueResponse::Failure(report) => {
                judged.unclear |= report.kind.response().run != RunStatus::NotRun;
            }
            QueueResponse::Phase(_) | QueueResponse::Pending(_) | QueueResponse::Cancelled => {}
        }
    }

    fn schedule(&mut self, delay: TimeSpan, event: WorldEvent) {
        self.queued += 1;
        self.queue.insert((self.at + delay, self.queued), event);
    }

    fn delay(&mut self) -> TimeSpan {
        TimeSpan(self.rng.u64(1..=DELAY))
    }
}
