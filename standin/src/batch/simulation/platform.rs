//! Handling of calls by the store and of orders by the workers.

use super::AppendCall;
use super::BatchSimulation;
use super::GANG_TIMEOUT;
use super::MAX_ATTEMPTS;
use super::OrderCall;
use super::RETRANSMISSION_DELAY;
use super::SimulationEvent;
use crate::batch::worker::SimulatedRun;
use crate::batch::worker::WorkerBehavior;
use mustardpath_core::batch::job::RunKey;
use mustardpath_core::batch::job::StepKey;
use mustardpath_core::batch::message::BatchEffect;
use mustardpath_core::batch::message::BatchInput;
use mustardpath_core::batch::message::OrderOutcome;
use mustardpath_core::batch::message::OrderRefusal;
use mustardpath_core::batch::message::RunEnding;
use mustardpath_core::batch::message::StoreStream;
use mustardpath_core::batch::message::StreamOutcome;
use mustardpath_core::batch::message::WorkerOrder;
use mustardpath_core::batch::message::WriteOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::BatchId;
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::TimeSpan;

/// Longest wait of an append for those before it.
const MAX_APPEND_WAIT: TimeSpan = TimeSpan(2_000);

impl BatchSimulation {
    pub(super) fn handle_store_call(
        &mut self,
        daemon: usize,
        incarnation: u64,
        effect: BatchEffect,
    ) {
        let is_unreachable =
            self.faults.is_store_down || self.faults.partitioned_daemons.contains(&daemon);
        let is_read_failing = is_unreachable || self.faults.read_failing_daemons.contains(&daemon);
        match effect {
            BatchEffect::Read {
                stream, from, wait, ..
            } => {
                if is_read_failing {
                    let outcome = StreamOutcome::Failed;
                    self.schedule_response(
                        daemon,
                        incarnation,
                        BatchInput::Read { stream, outcome },
                    );
                } else if self.store.is_at_end(stream, from) {
                    self.parked_reads.push((daemon, incarnation, stream, from));
                    self.schedule(
                        wait,
                        SimulationEvent::ReadTimeout(daemon, incarnation, stream),
                    );
                } else {
                    let outcome = self.store.read(stream, from);
                    self.schedule_response(
                        daemon,
                        incarnation,
                        BatchInput::Read { stream, outcome },
                    );
                }
            }
            BatchEffect::ReadNewest { stream, .. } => {
                let outcome = if is_read_failing {
                    StreamOutcome::Failed
                } else {
                    self.store.read_newest(stream)
                };
                self.schedule_response(daemon, incarnation, BatchInput::Read { stream, outcome });
            }
            BatchEffect::Write {
                batch,
                writer,
                records,
                timeout,
            } => {
                self.append_count += 1;
                let call = AppendCall {
                    batch,
                    writer,
                    records,
                    timeout,
                    is_answered: true,
                };
                if is_unreachable {
                    self.respond_to_append(daemon, incarnation, batch, WriteOutcome::Refused);
                } else if (1..call.records.len()).contains(&self.faults.max_append_records) {
                    self.respond_to_append(daemon, incarnation, batch, WriteOutcome::Rejected);
                } else if self.faults.are_appends_dropped {
                    self.time_out_append(daemon, incarnation, &call);
                } else {
                    self.enqueue_append(daemon, incarnation, call);
                }
            }
            BatchEffect::Order { .. }
            | BatchEffect::Respond { .. }
            | BatchEffect::RespondReadiness { .. }
            | BatchEffect::RespondDump { .. }
            | BatchEffect::Observe { .. }
            | BatchEffect::CloseConnections => {}
        }
    }

    /// Executes an append after those that the store has received before.
    fn enqueue_append(&mut self, daemon: usize, incarnation: u64, mut call: AppendCall) {
        if self.faults.append_time.0 == 0 {
            return self.execute_append(daemon, incarnation, call);
        }
        let starts_at = self.appends_done_at.max(self.at);
        if starts_at.since(self.at) > MAX_APPEND_WAIT {
            return self.respond_to_append(daemon, incarnation, call.batch, WriteOutcome::Refused);
        }
        self.appends_done_at = starts_at + self.faults.append_time;
        let delay = self.appends_done_at.since(self.at);
        if delay > call.timeout {
            self.time_out_append(daemon, incarnation, &call);
            call.is_answered = false;
        }
        let event = SimulationEvent::ExecuteAppend(daemon, incarnation, Box::new(call));
        self.schedule(delay, event);
    }

    pub(super) fn execute_append(&mut self, daemon: usize, incarnation: u64, call: AppendCall) {
        let outcome = self.store.append(call.writer, &call.records);
        self.complete_reads();
        if !call.is_answered {
            return;
        }
        if self.rng.u32(0..1_000) < self.faults.lost_append_permille {
            self.time_out_append(daemon, incarnation, &call);
        } else {
            self.respond_to_append(daemon, incarnation, call.batch, outcome);
        }
    }

    fn time_out_append(&mut self, daemon: usize, incarnation: u64, call: &AppendCall) {
        let (batch, outcome) = (call.batch, WriteOutcome::Unknown);
        let input = EventInput::Batch(BatchInput::Written { batch, outcome });
        self.schedule(
            call.timeout,
            SimulationEvent::DeliverInput(daemon, incarnation, Box::new(input)),
        );
    }

    fn respond_to_append(
        &mut self,
        daemon: usize,
        incarnation: u64,
        batch: BatchId,
        outcome: WriteOutcome,
    ) {
        self.schedule_response(daemon, incarnation, BatchInput::Written { batch, outcome });
    }

    pub(super) fn complete_reads(&mut self) {
        let reads = std::mem::take(&mut self.parked_reads);
        for (daemon, incarnation, stream, from) in reads {
            if self.store.is_at_end(stream, from) {
                self.parked_reads.push((daemon, incarnation, stream, from));
                continue;
            }
            let outcome = self.store.read(stream, from);
            self.schedule_response(daemon, incarnation, BatchInput::Read { stream, outcome });
        }
    }

    pub(super) fn time_out_read(&mut self, daemon: usize, incarnation: u64, stream: StoreStream) {
        let parked = self
            .parked_reads
            .iter()
            .position(|(other, number, parked, _)| {
                *other == daemon && *number == incarnation && *parked == stream
            });
        let Some(index) = parked else { return };
        let (_, _, _, from) = self.parked_reads.swap_remove(index);
        let outcome = StreamOutcome::Records {
            records: Vec::new(),
            next: from,
            end: from,
            bytes: 0,
        };
        self.schedule_response(daemon, incarnation, BatchInput::Read { stream, outcome });
    }

    pub(super) fn deliver_order(&mut self, daemon: usize, incarnation: u64, call: OrderCall) {
        let at = self.at;
        let Some(model) = self.workers.get_mut(&call.worker) else {
            return;
        };
        let is_kept = if call.is_answered {
            self.faults.are_packets_retransmitted
        } else {
            self.faults.are_late_orders_kept
        };
        if !is_kept && call.worker_incarnation != Some(model.entry.incarnation) {
            return;
        }
        let is_down = model.behavior == WorkerBehavior::Down;
        if is_down && self.faults.are_packets_retransmitted {
            let event = SimulationEvent::DeliverOrder(daemon, incarnation, Box::new(call));
            return self.schedule(RETRANSMISSION_DELAY, event);
        }
        let outcome = if is_down {
            Some(OrderOutcome::Undelivered)
        } else if let Some(refusal) = model.check_token(call.token, at) {
            Some(refusal)
        } else {
            self.execute_order(daemon, incarnation, &call)
        };
        if let (Some(outcome), true) = (outcome, call.is_answered) {
            let call = call.call;
            self.schedule_response(daemon, incarnation, BatchInput::Order { call, outcome });
        }
    }

    /// Executes an order. Returns `None` if the response is parked until a run ends.
    pub(super) fn execute_order(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: &OrderCall,
    ) -> Option<OrderOutcome> {
        let at = self.at;
        let model = self.workers.get_mut(&call.worker)?;
        match &call.order {
            WorkerOrder::Hold {
                lease_end,
                acknowledged_end,
                wait,
            } => {
                let acknowledged: Vec<_> = model
                    .ended
                    .iter()
                    .filter(|row| row.number <= *acknowledged_end)
                    .collect();
                let is_lease_expired = model.is_lease_expired(at);
                for row in acknowledged {
                    if row.ending == RunEnding::Done && !is_lease_expired {
                        self.checker.acknowledged_done.insert(row.run.task);
                        if row.number > model.lapsed_end {
                            self.checker.check_acknowledged_done(&row.run);
                        }
                    }
                    if row.ending == RunEnding::Failed {
                        *self
                            .checker
                            .acknowledged_failures
                            .entry(row.run.task)
                            .or_default() += 1;
                    }
                }
                model.acknowledge(*acknowledged_end);
                if let Some(end) = lease_end {
                    model.extend_lease(*end, at);
                    let time_left = model.time_to_lease_end(at);
                    let worker = call.worker.clone();
                    self.schedule(time_left, SimulationEvent::EndDueRuns(worker));
                }
                let model = self.workers.get_mut(&call.worker)?;
                if wait.0 == 0 || !model.ended.is_empty() || !call.is_answered {
                    return Some(model.done_outcome(true, at));
                }
                let worker = call.worker.clone();
                self.parked_holds
                    .push((daemon, incarnation, worker.clone(), call.call));
                self.schedule(*wait, SimulationEvent::HoldTimeout(worker, call.call));
                None
            }
            WorkerOrder::Start { run, lease_end, .. } => {
                if model.running.contains_key(run) {
                    return Some(model.done_outcome(false, at));
                }
                model.extend_lease(*lease_end, at);
                if model.is_closed(run) {
                    return Some(model.refused_outcome(OrderRefusal::Old, at));
                }
                if model.clock(at) >= *lease_end {
                    return Some(model.refused_outcome(OrderRefusal::Late, at));
                }
                if model.behavior == WorkerBehavior::RefusesStarts {
                    return Some(model.refused_outcome(OrderRefusal::Unhealthy, at));
                }
                self.start_run(&call.worker, *run);
                Some(self.workers.get(&call.worker)?.done_outcome(false, at))
            }
            WorkerOrder::Stop { run } => {
                model.stop_run(run, at);
                let outcome = model.done_outcome(false, at);
                let worker = call.worker.clone();
                self.schedule(TimeSpan(200), SimulationEvent::EndDueRuns(worker));
                Some(outcome)
            }
        }
    }

    pub(super) fn start_run(&mut self, worker: &WorkerName, run: RunKey) {
        let at = self.at;
        self.checker
            .check_start(&run, worker, &self.workers, MAX_ATTEMPTS, at);
        let behavior = self.job_behavior.get(&run.task.step.job).copied();
        let (run_time, will_fail) = behavior.unwrap_or((TimeSpan(1_000), false));
        let is_gang = self.gang_size(&run.task.step).is_some();
        let Some(model) = self.workers.get_mut(worker) else {
            return;
        };
        let run_time = TimeSpan(run_time.0 * 1_000 / model.speed);
        let will_fail = will_fail || model.behavior == WorkerBehavior::FailsRuns;
        model.running.insert(
            run,
            SimulatedRun {
                arrived_at: at,
                started_at: (!is_gang).then_some(at),
                run_time,
                will_fail,
                stops_at: None,
            },
        );
        let time_left = model.time_to_lease_end(at);
        self.schedule(run_time, SimulationEvent::EndDueRuns(worker.clone()));
        self.schedule(time_left, SimulationEvent::EndDueRuns(worker.clone()));
        if is_gang {
            self.schedule(GANG_TIMEOUT, SimulationEvent::EndDueRuns(worker.clone()));
            self.start_gang_if_complete(run);
        }
    }

    pub(super) fn gang_size(&self, step: &StepKey) -> Option<u32> {
        let job = self.checker.jobs.get(&step.job)?;
        let definition = job.submission.steps.get(step.step as usize)?;
        definition.gang.then_some(definition.count)
    }

    /// Starts the work of a gang if the runs of all its members are on workers.
    pub(super) fn start_gang_if_complete(&mut self, run: RunKey) {
        let Some(size) = self.gang_size(&run.task.step) else {
            return;
        };
        let is_member =
            |other: &RunKey| other.task.step == run.task.step && other.attempt == run.attempt;
        let present = self.workers.values().flat_map(|model| model.running.keys());
        if present.filter(|other| is_member(other)).count() < size as usize {
            return;
        }
        let at = self.at;
        let runs = self.workers.values().flat_map(|model| &model.running);
        let members = runs.filter(|(other, _)| is_member(other));
        // The gang ends with its slowest member.
        let run_time = members.map(|(_, member)| member.run_time).max();
        let run_time = run_time.unwrap_or_default();
        let mut workers = Vec::new();
        for (worker, model) in &mut self.workers {
            for (other, member) in &mut model.running {
                if is_member(other) {
                    member.started_at = Some(at);
                    member.run_time = run_time;
                    workers.push(worker.clone());
                }
            }
        }
        for worker in workers {
            self.schedule(run_time, SimulationEvent::EndDueRuns(worker));
        }
    }

    /// Ends the runs of a worker whose work, lease, stop or wait for their gang is over.
    pub(super) fn end_due_runs(&mut self, worker: &WorkerName) {
        let at = self.at;
        let Some(model) = self.workers.get(worker) else {
            return;
        };
        let is_lease_expired = model.is_lease_expired(at);
        let ends = model.running.iter().filter_map(|(run, member)| {
            let is_completed = member
                .started_at
                .is_some_and(|started_at| at >= started_at + member.run_time);
            let is_incomplete =
                member.started_at.is_none() && at >= member.arrived_at + GANG_TIMEOUT;
            let ending = if is_lease_expired {
                RunEnding::Lapsed
            } else if member.stops_at.is_some_and(|stops_at| at >= stops_at) {
                RunEnding::Stopped
            } else if is_completed && member.will_fail {
                RunEnding::Failed
            } else if is_completed {
                RunEnding::Done
            } else if is_incomplete {
                RunEnding::Alone
            } else {
                return None;
            };
            Some((*run, ending))
        });
        let ends: Vec<(RunKey, RunEnding)> = ends.collect();
        for (run, ending) in ends {
            // The end of another member of the same gang may have ended this run already.
            let model = self.workers.get_mut(worker);
            let model = model.filter(|model| model.running.contains_key(&run));
            let Some(model) = model else { continue };
            model.end_run(&run, ending);
            match ending {
                RunEnding::Done => {
                    self.checker.completed.insert(run.task);
                }
                RunEnding::Failed => self.checker.record_failure(&run),
                RunEnding::Alone => self.checker.incomplete_gang_runs += 1,
                RunEnding::Stopped | RunEnding::Lapsed | RunEnding::Broken => {}
            }
            if self.gang_size(&run.task.step).is_some() {
                self.end_gang(run, ending);
            }
            self.complete_holds(worker);
        }
    }

    /// Ends all members of a gang: with the same ending if it is `Done`, otherwise as broken.
    pub(super) fn end_gang(&mut self, run: RunKey, ending: RunEnding) {
        let ending = match ending {
            RunEnding::Done => RunEnding::Done,
            _ => RunEnding::Broken,
        };
        let mut affected = Vec::new();
        for (worker, model) in &mut self.workers {
            let members = model
                .running
                .keys()
                .filter(|other| other.task.step == run.task.step && other.attempt == run.attempt);
            let members: Vec<RunKey> = members.copied().collect();
            for member in members {
                model.end_run(&member, ending);
                if ending == RunEnding::Done {
                    self.checker.completed.insert(member.task);
                }
                affected.push(worker.clone());
            }
        }
        for worker in affected {
            self.complete_holds(&worker);
        }
    }

    pub(super) fn complete_holds(&mut self, worker: &WorkerName) {
        let waiting = self
            .parked_holds
            .iter()
            .filter(|(_, _, other, _)| other == worker);
        let calls: Vec<CallId> = waiting.map(|(_, _, _, call)| *call).collect();
        for call in calls {
            self.complete_hold(worker, call);
        }
    }

    pub(super) fn complete_hold(&mut self, worker: &WorkerName, call: CallId) {
        let parked = self
            .parked_holds
            .iter()
            .position(|(_, _, other, number)| other == worker && *number == call);
        let Some(index) = parked else { return };
        let (daemon, incarnation, _, call) = self.parked_holds.swap_remove(index);
        let link = (daemon, worker.clone());
        let is_partitioned = self.faults.partitioned_workers.contains(worker)
            || self.faults.severed_links.contains(&link);
        if is_partitioned {
            let outcome = OrderOutcome::Unknown;
            self.schedule_response(daemon, incarnation, BatchInput::Order { call, outcome });
            return;
        }
        let Some(model) = self.workers.get(worker) else {
            return;
        };
        let outcome = model.done_outcome(true, self.at);
        self.schedule_response(daemon, incarnation, BatchInput::Order { call, outcome });
    }
}
