//! In-memory driver: connects reducers to the models under a clock that the test advances.
//!
//! One delivery is carried out per step. The effects of an event stay pending until the next
//! step, so a test can end a process before or after it acts on them.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use fastrand::Rng;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::checker::InvariantChecker;
use crate::delivery::Delivery;
use crate::delivery::PendingRead;
use crate::faults::NetworkFault;
use crate::log::LogLimits;
use crate::log::LogModel;
use crate::vms::VmModel;
use crate::worker::WorkerModel;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::event::CallerCommand;
use mustardpath_core::event::CallerCredential;
use mustardpath_core::event::ControlEvent;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::RegionName;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::ledger::LedgerState;
use mustardpath_core::record::RecordBody;
use mustardpath_core::reducer;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::DaemonInfo;
use mustardpath_core::worker::VmState;
use mustardpath_core::worker::WorkerCommand;
use mustardpath_core::worker::WorkerInfo;

/// Time at which each run begins.
const START_TIME: ClockTime = ClockTime(1_000_000_000);

/// Delay from a caller to its daemon (deployments of the design).
const CALL_DELAY: TimeSpan = TimeSpan(1);

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct SimConfig {
    /// Seed of all delays and incarnations.
    pub seed: u64,
    /// The daemons.
    pub daemons: Vec<DaemonSettings>,
    /// The workers.
    pub workers: Vec<WorkerInfo>,
    /// The region of the platform's log.
    pub log_region: RegionName,
}

/// One process of a daemon.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) settings: DaemonSettings,
    pub(crate) state: Option<DaemonState>,
    pub(crate) incarnation: u64,
    pub(crate) config: ConfigVersion,
    pub(crate) is_paused: bool,
    pub(crate) inbox: VecDeque<EventInput>,
}

/// What a caller sent and what it got.
#[derive(Clone, Debug)]
pub struct SimCall {
    /// The daemon that took it.
    pub daemon: usize,
    /// The command.
    pub command: CallerCommand,
    /// The body of a short request.
    pub body: Vec<u8>,
    /// The answer with its time.
    pub answer: Option<(ClockTime, CallerAnswer)>,
    /// Whether the daemon's process ended before it answered.
    pub is_disconnected: bool,
}

/// A run of daemons, models and a clock.
#[derive(Debug)]
pub struct SimDriver {
    /// Faults of the network.
    pub network: NetworkFault,
    /// The platform's log.
    pub log: LogModel,
    /// The platform's VM list.
    pub vms: VmModel,
    /// The judge of the run.
    pub checker: InvariantChecker,
    /// Time between two ticks of a daemon. A longer one makes hours of quiet cheap.
    pub tick_interval: TimeSpan,
    pub(crate) log_region: RegionName,
    pub(crate) processes: Vec<DaemonProcess>,
    pub(crate) workers: IndexMap<WorkerName, WorkerModel>,
    pub(crate) calls: IndexMap<CallerId, SimCall>,
    pub(crate) answer_bodies: IndexMap<(usize, u64, u32), Vec<u8>>,
    pub(crate) pending_reads: Vec<PendingRead>,
    pub(crate) buffered_commands: Vec<(WorkerName, WorkerCommand)>,
    pub(crate) silent_links: IndexSet<(usize, String)>,
    pub(crate) peers_silent_until: IndexMap<usize, ClockTime>,
    pub(crate) wakeups: IndexMap<WorkerName, ClockTime>,
    pub(crate) ledger: LedgerState,
    pub(crate) new_records: Vec<RecordBody>,
    pub(crate) daemon_violations: Vec<String>,
    pub(crate) rng: Rng,
    pub(crate) pending_effects: VecDeque<(usize, ControlEffect)>,
    deliveries: BTreeMap<(ClockTime, u64), Delivery>,
    last_sequence: u64,
    now: ClockTime,
    /// Trace of notes and calls, kept only when `tracing` is set.
    trace: Vec<String>,
    /// Whether the run keeps a trace.
    pub is_tracing: bool,
}

impl SimDriver {
    /// Creates the models and starts all daemons.
    #[must_use]
    pub fn new(config: SimConfig) -> Self {
        let mut driver = Self {
            network: NetworkFault::default(),
            log: LogModel::new(LogLimits::default()),
            vms: VmModel::new(TimeSpan(0)),
            checker: InvariantChecker::new(&config.workers),
            tick_interval: TimeSpan(100),
            log_region: config.log_region,
            processes: Vec::new(),
            workers: IndexMap::new(),
            calls: IndexMap::new(),
            answer_bodies: IndexMap::new(),
            pending_reads: Vec::new(),
            buffered_commands: Vec::new(),
            silent_links: IndexSet::new(),
            peers_silent_until: IndexMap::new(),
            wakeups: IndexMap::new(),
            ledger: LedgerState::default(),
            new_records: Vec::new(),
            daemon_violations: Vec::new(),
            rng: Rng::with_seed(config.seed),
            pending_effects: VecDeque::new(),
            deliveries: BTreeMap::new(),
            last_sequence: 0,
            now: START_TIME,
            trace: Vec::new(),
            is_tracing: false,
        };
        for info in config.workers {
            driver.vms.put_worker(START_TIME, info.clone());
            let model = WorkerModel::new(info.clone(), 1);
            driver.workers.insert(info.worker, model);
        }
        for settings in config.daemons {
            driver.add_daemon(settings);
        }
        driver
    }

    fn add_daemon(&mut self, settings: DaemonSettings) {
        let info = DaemonInfo {
            daemon: settings.daemon.clone(),
            address: settings.peer_address.clone(),
            region: settings.region.clone(),
            domain: settings.domain.clone(),
            state: VmState::Live,
        };
        self.vms.put_daemon(self.now, info);
        self.processes.push(DaemonProcess {
            settings,
            state: None,
            incarnation: 0,
            config: ConfigVersion(0),
            is_paused: false,
            inbox: VecDeque::new(),
        });
        self.restart(self.processes.len() - 1);
    }

    /// Returns the time.
    #[must_use]
    pub const fn now(&self) -> ClockTime {
        self.now
    }

    /// Returns the number of daemons.
    #[must_use]
    pub const fn daemon_count(&self) -> usize {
        self.processes.len()
    }

    /// Tells whether a daemon's process runs, paused or not.
    #[must_use]
    pub fn is_up(&self, daemon: usize) -> bool {
        self.processes[daemon].state.is_some()
    }

    /// Returns a daemon's settings.
    #[must_use]
    pub fn settings(&self, daemon: usize) -> &DaemonSettings {
        &self.processes[daemon].settings
    }

    /// Returns a daemon's state, or `None` when its process does not run.
    #[must_use]
    pub fn state(&self, daemon: usize) -> Option<&DaemonState> {
        self.processes[daemon].state.as_ref()
    }

    /// Returns the workers.
    #[must_use]
    pub const fn workers(&self) -> &IndexMap<WorkerName, WorkerModel> {
        &self.workers
    }

    /// Returns the ledger that the whole control stream yields.
    #[must_use]
    pub const fn ledger(&self) -> &LedgerState {
        &self.ledger
    }

    /// Returns the effects of the last event that are not yet carried out.
    #[must_use]
    pub const fn pending_effects(&self) -> &VecDeque<(usize, ControlEffect)> {
        &self.pending_effects
    }

    /// Returns the records in force that the last delivery stored.
    #[must_use]
    pub fn new_records(&self) -> &[RecordBody] {
        &self.new_records
    }

    /// Returns a caller's exchange.
    #[must_use]
    pub fn call(&self, caller: CallerId) -> &SimCall {
        &self.calls[&caller]
    }

    /// Returns an answer's body as the traffic thread of the daemon holds it.
    #[must_use]
    pub fn answer_body(&self, daemon: usize, request: u64, attempt: u32) -> Option<&[u8]> {
        let body = self.answer_bodies.get(&(daemon, request, attempt));
        body.map(Vec::as_slice)
    }

    /// Returns faults of the daemons that no model can see, such as a version that goes back.
    #[must_use]
    pub fn daemon_violations(&self) -> &[String] {
        &self.daemon_violations
    }

    /// Returns the trace.
    #[must_use]
    pub fn trace(&self) -> &[String] {
        &self.trace
    }

    pub(crate) fn record_trace(&mut self, line: impl FnOnce() -> String) {
        if self.is_tracing {
            self.trace
                .push(format!("{} {}", self.now.since(START_TIME), line()));
        }
    }

    /// Sends a command of a caller or operator with the given key digest.
    pub fn send(
        &mut self,
        daemon: usize,
        credential: CallerCredential,
        command: CallerCommand,
        body: &[u8],
    ) -> CallerId {
        let caller = CallerId(self.calls.len() as u64 + 1);
        let call = SimCall {
            daemon,
            command: command.clone(),
            body: body.to_vec(),
            answer: None,
            is_disconnected: !self.is_up(daemon),
        };
        self.record_trace(|| format!("caller {caller} to {daemon}: {command:?}"));
        self.calls.insert(caller, call);
        let input = EventInput::Caller {
            caller,
            credential,
            request: command,
        };
        self.schedule_event(daemon, CALL_DELAY, input);
        caller
    }

    /// Carries out the pending effects.
    pub fn execute_effects(&mut self) {
        while let Some((daemon, effect)) = self.pending_effects.pop_front() {
            self.execute_effect(daemon, effect);
        }
    }

    /// Carries out the first half of the pending effects.
    pub fn execute_half_of_effects(&mut self) {
        for _ in 0..self.pending_effects.len().div_ceil(2) {
            if let Some((daemon, effect)) = self.pending_effects.pop_front() {
                self.execute_effect(daemon, effect);
            }
        }
    }

    /// Carries out the pending effects and the next delivery.
    pub fn step(&mut self) {
        self.execute_effects();
        self.new_records.clear();
        let Some(((at, _), delivery)) = self.deliveries.pop_first() else {
            return;
        };
        self.now = self.now.max(at);
        self.deliver(delivery);
    }

    /// Steps until the condition holds. Returns whether it did within the span.
    pub fn run_until(&mut self, span: TimeSpan, condition: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + span;
        while self.next_event_at().is_some_and(|at| at <= end) {
            self.step();
            if condition(self) {
                return true;
            }
        }
        self.execute_effects();
        self.now = self.now.max(end);
        false
    }

    /// Steps for a span.
    pub fn run_for(&mut self, span: TimeSpan) {
        self.run_until(span, |_| false);
    }

    /// Returns the broken promises so far, as lines.
    pub fn violations(&mut self) -> Vec<String> {
        let names: Vec<_> = self.workers.keys().cloned().collect();
        for worker in &names {
            self.advance_worker(worker);
        }
        let mut lines = self.checker.report(self.now).lines();
        lines.extend(self.daemon_violations.iter().cloned());
        lines
    }

    fn next_event_at(&self) -> Option<ClockTime> {
        if !self.pending_effects.is_empty() {
            return Some(self.now);
        }
        self.deliveries.first_key_value().map(|((at, _), _)| *at)
    }

    pub(crate) fn schedule(&mut self, delay: TimeSpan, delivery: Delivery) {
        self.last_sequence += 1;
        self.deliveries
            .insert((self.now + delay, self.last_sequence), delivery);
    }

    /// Schedules an event for the daemon's present process.
    pub(crate) fn schedule_event(&mut self, daemon: usize, delay: TimeSpan, input: EventInput) {
        let incarnation = self.processes[daemon].incarnation;
        self.schedule_event_for(daemon, incarnation, delay, input);
    }

    pub(crate) fn schedule_event_for(
        &mut self,
        daemon: usize,
        incarnation: u64,
        delay: TimeSpan,
        input: EventInput,
    ) {
        let delivery = Delivery::Event {
            daemon,
            incarnation,
            input: Box::new(input),
        };
        self.schedule(delay, delivery);
    }

    /// Hands an event to a daemon's reducer, or keeps it while the process stands still.
    pub(crate) fn apply_event(&mut self, daemon: usize, incarnation: u64, input: EventInput) {
        let process = &mut self.processes[daemon];
        if process.incarnation != incarnation {
            return;
        }
        if process.is_paused {
            if input != EventInput::Tick {
                process.inbox.push_back(input);
            }
            return;
        }
        let Some(state) = &mut process.state else {
            return;
        };
        let event = ControlEvent {
            at: self.now,
            input,
        };
        let mut effects = Vec::new();
        reducer::apply(state, &event, &mut effects);
        self.pending_effects
            .extend(effects.into_iter().map(|effect| (daemon, effect)));
    }

    pub(crate) fn daemon_by_name(&self, name: &DaemonName) -> Option<usize> {
        let mut processes = self.processes.iter();
        processes.position(|process| process.settings.daemon == *name)
    }

    /// Returns the idempotency key of a short request.
    pub(crate) fn request_key(&self, caller: CallerId) -> Option<RequestKey> {
        match &self.calls.get(&caller)?.command {
            CallerCommand::Send(head) => head.key.clone(),
            _ => None,
        }
    }

    /// Returns the bounds of the control stream.
    #[must_use]
    pub fn log_bounds(&self) -> (LogOffset, LogOffset) {
        self.log.bounds("control")
    }
}
