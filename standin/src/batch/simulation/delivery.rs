//! Dispatch of scheduled events to daemons, and of their effects to the store and the workers.

use super::BatchSimulation;
use super::OrderCall;
use super::START_TIME;
use super::SimulationEvent;
use super::TICK_INTERVAL;
use mustardpath_core::batch::message::BatchEffect;
use mustardpath_core::batch::message::BatchInput;
use mustardpath_core::batch::message::OrderOutcome;
use mustardpath_core::batch::message::OrderRefusal;
use mustardpath_core::batch::message::WorkerOrder;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::event::ControlEvent;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::OrderToken;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::reducer;
use mustardpath_core::units::TimeSpan;

impl BatchSimulation {
    pub(super) fn dispatch_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Tick(daemon, incarnation) => {
                if self.daemons[daemon].incarnation == incarnation {
                    if !self.daemons[daemon].is_paused {
                        self.deliver_input(daemon, incarnation, EventInput::Tick);
                    }
                    self.schedule(TICK_INTERVAL, SimulationEvent::Tick(daemon, incarnation));
                }
            }
            SimulationEvent::DeliverInput(daemon, incarnation, input) => {
                self.deliver_input(daemon, incarnation, *input);
            }
            SimulationEvent::StoreCall(daemon, incarnation, effect) => {
                self.handle_store_call(daemon, incarnation, *effect);
            }
            SimulationEvent::DeliverOrder(daemon, incarnation, call) => {
                self.deliver_order(daemon, incarnation, *call);
            }
            SimulationEvent::ProcessInput(daemon, incarnation) => {
                if let Some(cost) = self.processing_cost {
                    self.process_input(daemon, incarnation, cost);
                }
            }
            SimulationEvent::EndDueRuns(worker) => self.end_due_runs(&worker),
            SimulationEvent::ExecuteAppend(daemon, incarnation, call) => {
                self.execute_append(daemon, incarnation, *call);
            }
            SimulationEvent::ReadTimeout(daemon, incarnation, stream) => {
                self.time_out_read(daemon, incarnation, stream);
            }
            SimulationEvent::HoldTimeout(worker, call) => self.complete_hold(&worker, call),
            SimulationEvent::Heartbeat(worker) => {
                self.write_entry(&worker);
                self.schedule(TimeSpan(1_500), SimulationEvent::Heartbeat(worker));
            }
        }
    }

    pub(super) fn deliver_input(&mut self, daemon: usize, incarnation: u64, input: EventInput) {
        let process = &mut self.daemons[daemon];
        if process.incarnation != incarnation {
            return;
        }
        if process.is_paused {
            process.deferred_inputs.push(input);
            return;
        }
        if self.processing_cost.is_some() {
            self.enqueue(daemon, incarnation, input);
        } else {
            self.reduce(daemon, incarnation, input);
            self.reduce(daemon, incarnation, EventInput::BurstEnd);
        }
    }

    /// Applies an input to a daemon's state and executes the effects.
    pub(super) fn reduce(&mut self, daemon: usize, incarnation: u64, input: EventInput) {
        let Some(state) = &mut self.daemons[daemon].state else {
            return;
        };
        let mut effects = Vec::new();
        let event = ControlEvent { at: self.at, input };
        reducer::apply(state, &event, &mut effects);
        for effect in effects {
            match effect {
                ControlEffect::Batch(effect) => self.execute_effect(daemon, incarnation, effect),
                ControlEffect::Exit => self.kill(daemon),
                ControlEffect::LogLine { line, target, .. } => {
                    if let Some(trace) = &mut self.trace {
                        let at = self.at.since(START_TIME);
                        trace.push(format!("{at} d{daemon} {} {line}", target.prefix()));
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn execute_effect(&mut self, daemon: usize, incarnation: u64, effect: BatchEffect) {
        match effect {
            BatchEffect::Respond { caller, response } => {
                self.record_response(daemon, caller, &response)
            }
            BatchEffect::RespondReadiness { .. }
            | BatchEffect::RespondDump { .. }
            | BatchEffect::Observe { .. }
            | BatchEffect::CloseConnections => {}
            BatchEffect::Order {
                call,
                worker,
                address,
                token,
                order,
                timeout,
            } => {
                if let Some(outcome) = self.misdirected_outcome(&worker, &address) {
                    let input = BatchInput::Order { call, outcome };
                    return self.schedule_response(daemon, incarnation, input);
                }
                self.send_order(daemon, incarnation, call, worker, token, order, timeout);
            }
            effect => {
                let delay = self.draw_delay();
                self.schedule(
                    delay,
                    SimulationEvent::StoreCall(daemon, incarnation, Box::new(effect)),
                );
            }
        }
    }

    /// Returns the outcome of an order to an address that is not the worker's, or `None` for the
    /// worker's own address.
    fn misdirected_outcome(&self, worker: &WorkerName, address: &str) -> Option<OrderOutcome> {
        let mut models = self.workers.iter();
        match models.find(|(_, model)| model.entry.address == address) {
            Some((name, _)) if name == worker => None,
            Some(_) => Some(OrderOutcome::Refused {
                clock: None,
                refusal: OrderRefusal::OtherLife,
            }),
            None => Some(OrderOutcome::Undelivered),
        }
    }

    #[allow(
        clippy::too_many_arguments,
        reason = "the fields of one effect are destructured by the only caller"
    )]
    pub(super) fn send_order(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        worker: WorkerName,
        token: OrderToken,
        order: WorkerOrder,
        timeout: TimeSpan,
    ) {
        let is_lost = self.rng.u32(0..1_000) < self.faults.late_order_permille;
        if self.faults.refusing_workers.contains(&worker) {
            let outcome = OrderOutcome::Undelivered;
            self.schedule_response(daemon, incarnation, BatchInput::Order { call, outcome });
            return;
        }
        let link = (daemon, worker.clone());
        let is_partitioned = self.faults.partitioned_workers.contains(&worker)
            || self.faults.severed_links.contains(&link);
        let worker_incarnation = self
            .workers
            .get(&worker)
            .map(|model| model.entry.incarnation);
        let mut order = OrderCall {
            call,
            worker,
            token,
            order,
            is_answered: true,
            worker_incarnation,
        };
        let mut delay = self.draw_delay() + self.faults.order_delay;
        // The daemon ignores the time-out if the response arrives earlier.
        let input = BatchInput::Order {
            call,
            outcome: OrderOutcome::Unknown,
        };
        let input = Box::new(EventInput::Batch(input));
        self.schedule(
            timeout,
            SimulationEvent::DeliverInput(daemon, incarnation, input),
        );
        if is_lost || is_partitioned {
            order.is_answered = false;
            delay = TimeSpan(self.rng.u64(2_000..12_000));
        }
        if !is_partitioned {
            let event = SimulationEvent::DeliverOrder(daemon, incarnation, Box::new(order));
            self.schedule(delay, event);
        }
    }

    pub(super) fn schedule_response(&mut self, daemon: usize, incarnation: u64, input: BatchInput) {
        let delay = self.draw_delay();
        let input = Box::new(EventInput::Batch(input));
        self.schedule(
            delay,
            SimulationEvent::DeliverInput(daemon, incarnation, input),
        );
    }
}
