//! What happens next: events reach their daemons, effects reach the store and the workers.

use super::BatchWorld;
use super::OrderCall;
use super::START;
use super::TICK;
use super::WorldEvent;
use mustardpath_core::batch::message::BatchEffect;
use mustardpath_core::batch::message::BatchInput;
use mustardpath_core::batch::message::OrderOutcome;
use mustardpath_core::batch::message::WorkerOrder;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::event::ControlEvent;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::TermNumber;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::reducer;
use mustardpath_core::units::TimeSpan;

impl BatchWorld {
    pub(super) fn happen(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Tick(daemon, incarnation) => {
                if self.daemons[daemon].incarnation == incarnation {
                    if !self.daemons[daemon].frozen {
                        self.apply(daemon, incarnation, EventInput::Tick);
                    }
                    self.schedule(TICK, WorldEvent::Tick(daemon, incarnation));
                }
            }
            WorldEvent::Input(daemon, incarnation, input) => {
                self.apply(daemon, incarnation, *input);
            }
            WorldEvent::Store(daemon, incarnation, effect) => {
                self.at_store(daemon, incarnation, *effect);
            }
            WorldEvent::Order(daemon, incarnation, call) => {
                self.at_worker(daemon, incarnation, *call);
            }
            WorldEvent::Work(daemon, incarnation) => {
                if let Some(pace) = self.pace {
                    self.work(daemon, incarnation, pace);
                }
            }
            WorldEvent::Worker(worker) => self.check_worker(&worker),
            WorldEvent::ParkedRead(daemon, incarnation, stream) => {
                self.end_read(daemon, incarnation, stream);
            }
            WorldEvent::ParkedHold(worker, call) => self.end_hold(&worker, call),
            WorldEvent::Heartbeat(worker) => {
                self.write_entry(&worker);
                self.schedule(TimeSpan(1_500), WorldEvent::Heartbeat(worker));
            }
        }
    }

    pub(super) fn apply(&mut self, daemon: usize, incarnation: u64, input: EventInput) {
        let process = &mut self.daemons[daemon];
        if process.incarnation != incarnation {
            return;
        }
        if process.frozen {
            process.inbox.push(input);
            return;
        }
        if self.pace.is_some() {
            self.enqueue(daemon, incarnation, input);
        } else {
            self.handle(daemon, incarnation, input);
            self.handle(daemon, incarnation, EventInput::BurstEnd);
        }
    }

    /// Lets a daemon handle an event.
    pub(super) fn handle(&mut self, daemon: usize, incarnation: u64, input: EventInput) {
        let Some(state) = &mut self.daemons[daemon].state else {
            return;
        };
        let mut effects = Vec::new();
        let event = ControlEvent { at: self.at, input };
        reducer::apply(state, &event, &mut effects);
        for effect in effects {
            match effect {
                ControlEffect::Batch(effect) => self.carry_out(daemon, incarnation, effect),
                ControlEffect::Exit => self.kill(daemon),
                ControlEffect::LogLine { line, target, .. } => {
                    if let Some(trace) = &mut self.trace {
                        let at = self.at.since(START);
                        trace.push(format!("{at} d{daemon} {} {line}", target.prefix()));
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn carry_out(&mut self, daemon: usize, incarnation: u64, effect: BatchEffect) {
        match effect {
            BatchEffect::Respond { caller, response } => self.answered(daemon, caller, &response),
            BatchEffect::RespondReadiness { .. }
            | BatchEffect::RespondDump { .. }
            | BatchEffect::Observe { .. }
            | BatchEffect::CloseConnections => {}
            BatchEffect::Order {
                call,
                worker,
                term,
                order,
                timeout,
                ..
            } => self.send_order(daemon, incarnation, call, worker, term, order, timeout),
            effect => {
                let delay = self.delay();
                self.schedule(
                    delay,
                    WorldEvent::Store(daemon, incarnation, Box::new(effect)),
                );
            }
        }
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "the parts of one effect are taken apart once"
    )]
    pub(super) fn send_order(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        worker: WorkerName,
        term: TermNumber,
        order: WorkerOrder,
        timeout: TimeSpan,
    ) {
        let is_lost = self.rng.u32(0..1_000) < self.faults.late_orders;
        let is_cut = self.faults.cut_workers.contains(&worker);
        let worker_incarnation = self
            .workers
            .get(&worker)
            .map(|model| model.entry.incarnation);
        let mut order = OrderCall {
            call,
            worker,
            term,
            order,
            answers: true,
            worker_incarnation,
        };
        let mut delay = self.delay() + self.faults.order_delay;
        // An answer that comes earlier makes this one meaningless.
        let input = BatchInput::Order {
            call,
            outcome: OrderOutcome::Unknown,
        };
        let input = Box::new(EventInput::Batch(input));
        self.schedule(timeout, WorldEvent::Input(daemon, incarnation, input));
        if is_lost || is_cut {
            order.answers = false;
            delay = TimeSpan(self.rng.u64(2_000..12_000));
        }
        if !is_cut {
            let event = WorldEvent::Order(daemon, incarnation, Box::new(order));
            self.schedule(delay, event);
        }
    }

    pub(super) fn reply(&mut self, daemon: usize, incarnation: u64, input: BatchInput) {
        let delay = self.delay();
        let input = Box::new(EventInput::Batch(input));
        self.schedule(delay, WorldEvent::Input(daemon, incarnation, input));
    }
}
