//! Discrete-event simulation: connects daemon reducers to the models under a simulated clock.
//!
//! Each step executes the pending effects and makes one delivery. The effects of the delivered
//! event stay pending until the next step, so a test can kill a process before, during or after
//! their execution.

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

/// Simulated time at the start of a run.
const START_TIME: ClockTime = ClockTime(1_000_000_000);

/// One-way network delay from a caller to its daemon.
const CALL_DELAY: TimeSpan = TimeSpan(1);

/// Configuration of a simulation run.
#[derive(Clone, Debug)]
pub struct SimConfig {
    /// Seed of the random delays, message losses and incarnations.
    pub seed: u64,
    /// Settings of the daemons. The index in this list identifies a daemon in the driver's calls.
    pub daemons: Vec<DaemonSettings>,
    /// The workers, all listed and running from the start.
    pub workers: Vec<WorkerInfo>,
    /// Region of the log, which determines the delay and reachability from each daemon.
    pub log_region: RegionName,
}

/// A daemon and its current process. `state` is `None` while no process runs.
#[derive(Debug)]
pub(crate) struct DaemonProcess {
    pub(crate) settings: DaemonSettings,
    pub(crate) state: Option<DaemonState>,
    pub(crate) incarnation: u64,
    pub(crate) config: ConfigVersion,
    pub(crate) is_paused: bool,
    pub(crate) inbox: VecDeque<EventInput>,
}

/// A caller's command and its answer.
#[derive(Clone, Debug)]
pub struct SimCall {
    /// Index of the daemon that received the command.
    pub daemon: usize,
    /// The command as sent.
    pub command: CallerCommand,
    /// Body of a short request. Empty for other commands.
    pub body: Vec<u8>,
    /// The first answer and its time, or `None` while the call is open.
    pub answer: Option<(ClockTime, CallerAnswer)>,
    /// Whether the daemon's process was down when the command was sent or ended before answering.
    pub is_disconnected: bool,
}

/// A simulation run: daemons, models, pending deliveries and the clock.
#[derive(Debug)]
pub struct SimDriver {
    /// Network faults in force.
    pub network: NetworkFault,
    /// Model of the platform's log.
    pub log: LogModel,
    /// Model of the platform's VM list.
    pub vms: VmModel,
    /// Checker of the run's invariants.
    pub checker: InvariantChecker,
    /// Interval between two ticks of a daemon. A longer interval makes idle hours cheap to
    /// simulate.
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
    trace: Vec<String>,
    /// Whether the run records a trace. Off by default.
    pub is_tracing: bool,
}

impl SimDriver {
    /// Creates the models and starts one process for each daemon.
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

    /// Returns the simulated time.
    #[must_use]
    pub const fn now(&self) -> ClockTime {
        self.now
    }

    /// Returns the number of daemons.
    #[must_use]
    pub const fn daemon_count(&self) -> usize {
        self.processes.len()
    }

    /// Returns whether a daemon has a process, running or paused.
    #[must_use]
    pub fn is_up(&self, daemon: usize) -> bool {
        self.processes[daemon].state.is_some()
    }

    /// Returns a daemon's settings.
    #[must_use]
    pub fn settings(&self, daemon: usize) -> &DaemonSettings {
        &self.processes[daemon].settings
    }

    /// Returns the state of a daemon's process, or `None` when it has no process.
    #[must_use]
    pub fn state(&self, daemon: usize) -> Option<&DaemonState> {
        self.processes[daemon].state.as_ref()
    }

    /// Returns the worker models by name.
    #[must_use]
    pub const fn workers(&self) -> &IndexMap<WorkerName, WorkerModel> {
        &self.workers
    }

    /// Returns the ledger that results from all records of the control stream.
    #[must_use]
    pub const fn ledger(&self) -> &LedgerState {
        &self.ledger
    }

    /// Returns the effects of the last event that have not been executed, with their daemons.
    #[must_use]
    pub const fn pending_effects(&self) -> &VecDeque<(usize, ControlEffect)> {
        &self.pending_effects
    }

    /// Returns the records that the last delivery stored and the ledger applied.
    #[must_use]
    pub fn new_records(&self) -> &[RecordBody] {
        &self.new_records
    }

    /// Returns the call that [`SimDriver::send`] created.
    ///
    /// # Panics
    ///
    /// Panics when `caller` did not come from this driver.
    #[must_use]
    pub fn call(&self, caller: CallerId) -> &SimCall {
        &self.calls[&caller]
    }

    /// Returns the body of an endpoint's answer. In a real daemon the traffic thread holds it.
    #[must_use]
    pub fn answer_body(&self, daemon: usize, request: u64, attempt: u32) -> Option<&[u8]> {
        let body = self.answer_bodies.get(&(daemon, request, attempt));
        body.map(Vec::as_slice)
    }

    /// Returns violations by daemons that no model can detect, such as a configuration version that
    /// decreases.
    #[must_use]
    pub fn daemon_violations(&self) -> &[String] {
        &self.daemon_violations
    }

    /// Returns the trace: effects, answers, records and faults with their times in milliseconds
    /// since the start. Empty unless [`SimDriver::is_tracing`] is set.
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

    /// Sends a caller's or an operator's command to a daemon.
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

    /// Executes the pending effects.
    pub fn execute_effects(&mut self) {
        while let Some((daemon, effect)) = self.pending_effects.pop_front() {
            self.execute_effect(daemon, effect);
        }
    }

    /// Executes the first half of the pending effects, rounded up.
    pub fn execute_half_of_effects(&mut self) {
        for _ in 0..self.pending_effects.len().div_ceil(2) {
            if let Some((daemon, effect)) = self.pending_effects.pop_front() {
                self.execute_effect(daemon, effect);
            }
        }
    }

    /// Executes the pending effects, then makes the next delivery.
    pub fn step(&mut self) {
        self.execute_effects();
        self.new_records.clear();
        let Some(((at, _), delivery)) = self.deliveries.pop_first() else {
            return;
        };
        self.now = self.now.max(at);
        self.deliver(delivery);
    }

    /// Steps until the condition holds or the span has passed. Returns whether the condition held.
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

    /// Steps until the span has passed.
    pub fn run_for(&mut self, span: TimeSpan) {
        self.run_until(span, |_| false);
    }

    /// Returns all violations up to now, one line each.
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

    /// Schedules an event for the daemon's current process.
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

    /// Applies an event to a daemon's reducer. A paused process queues the event; events for an
    /// earlier process are dropped.
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

    /// Returns the idempotency key of a caller's short request.
    pub(crate) fn request_key(&self, caller: CallerId) -> Option<RequestKey> {
        match &self.calls.get(&caller)?.command {
            CallerCommand::Send(head) => head.key.clone(),
            _ => None,
        }
    }

    /// Returns the oldest offset and the tail of the control stream.
    #[must_use]
    pub fn log_bounds(&self) -> (LogOffset, LogOffset) {
        self.log.bounds("control")
    }
}
