//! What the store and the workers do with what reaches them.

use super::BatchWorld;
use super::GANG_TIMEOUT;
use super::MAX_ATTEMPTS;
use super::OrderCall;
use super::WorldEvent;
use crate::batch::worker::ModelRun;
use crate::batch::worker::WorkerMood;
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
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::TimeSpan;

impl BatchWorld {
    pub(super) fn at_store(&mut self, daemon: usize, incarnation: u64, effect: BatchEffect) {
        let is_away = self.faults.store_down || self.faults.cut_daemons.contains(&daemon);
        let is_deaf = is_away || self.faults.deaf_daemons.contains(&daemon);
        match effect {
            BatchEffect::Read {
                stream, from, wait, ..
            } => {
                if is_deaf {
                    let outcome = StreamOutcome::Failed;
                    self.reply(daemon, incarnation, BatchInput::Read { stream, outcome });
                } else if self.store.is_at_end(stream, from) {
                    self.reads.push((daemon, incarnation, stream, from));
                    self.schedule(wait, WorldEvent::ParkedRead(daemon, incarnation, stream));
                } else {
                    let outcome = self.store.read(stream, from);
                    self.reply(daemon, incarnation, BatchInput::Read { stream, outcome });
                }
            }
            BatchEffect::ReadNewest { stream, .. } => {
                let outcome = if is_deaf {
                    StreamOutcome::Failed
                } else {
                    self.store.read_newest(stream)
                };
                self.reply(daemon, incarnation, BatchInput::Read { stream, outcome });
            }
            BatchEffect::Write {
                batch,
                writer,
                records,
                timeout,
            } => {
                if is_away {
                    let outcome = WriteOutcome::Refused;
                    self.reply(daemon, incarnation, BatchInput::Written { batch, outcome });
                    return;
                }
                let outcome = self.store.append(writer, &records);
                self.wake_reads();
                if self.rng.u32(0..1_000) < self.faults.lost_writes {
                    let outcome = WriteOutcome::Unknown;
                    let input = BatchInput::Written { batch, outcome };
                    let input = Box::new(EventInput::Batch(input));
                    self.schedule(timeout, WorldEvent::Input(daemon, incarnation, input));
                } else {
                    self.reply(daemon, incarnation, BatchInput::Written { batch, outcome });
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

    pub(super) fn wake_reads(&mut self) {
        let reads = std::mem::take(&mut self.reads);
        for (daemon, incarnation, stream, from) in reads {
            if self.store.is_at_end(stream, from) {
                self.reads.push((daemon, incarnation, stream, from));
                continue;
            }
            let outcome = self.store.read(stream, from);
            self.reply(daemon, incarnation, BatchInput::Read { stream, outcome });
        }
    }

    pub(super) fn end_read(&mut self, daemon: usize, incarnation: u64, stream: StoreStream) {
        let parked = self.reads.iter().position(|(of, number, parked, _)| {
            *of == daemon && *number == incarnation && *parked == stream
        });
        let Some(place) = parked else { return };
        let (_, _, _, from) = self.reads.swap_remove(place);
        let outcome = StreamOutcome::Records {
            records: Vec::new(),
            next: from,
            end: from,
            bytes: 0,
        };
        self.reply(daemon, incarnation, BatchInput::Read { stream, outcome });
    }

    pub(super) fn at_worker(&mut self, daemon: usize, incarnation: u64, call: OrderCall) {
        let at = self.at;
        let Some(model) = self.workers.get_mut(&call.worker) else {
            return;
        };
        if call.worker_incarnation != Some(model.entry.incarnation) {
            return;
        }
        let outcome = if model.mood == WorkerMood::Down {
            Some(OrderOutcome::NoListener)
        } else if let Some(refusal) = model.admit(call.term, at) {
            Some(refusal)
        } else {
            self.obey(daemon, incarnation, &call)
        };
        if let (Some(outcome), true) = (outcome, call.answers) {
            let call = call.call;
            self.reply(daemon, incarnation, BatchInput::Order { call, outcome });
        }
    }

    /// Carries an order out. Returns nothing when the answer waits for an end.
    pub(super) fn obey(
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
                let noted: Vec<_> = model
                    .ended
                    .iter()
                    .filter(|row| row.number <= *acknowledged_end)
                    .collect();
                let is_lapsed = model.is_lapsed(at);
                for row in noted {
                    if row.ending == RunEnding::Done && !is_lapsed {
                        self.judge.done.insert(row.run.task);
                    }
                    if row.ending == RunEnding::Failed {
                        *self.judge.failed.entry(row.run.task).or_default() += 1;
                    }
                }
                model.forget(*acknowledged_end);
                if let Some(end) = lease_end {
                    model.extend(*end, at);
                    let lapse = model.time_to_lapse(at);
                    let worker = call.worker.clone();
                    self.schedule(lapse, WorldEvent::Worker(worker));
                }
                let model = self.workers.get_mut(&call.worker)?;
                if wait.0 == 0 || !model.ended.is_empty() || !call.answers {
                    return Some(model.done(true, at));
                }
                let worker = call.worker.clone();
                self.holds
                    .push((daemon, incarnation, worker.clone(), call.call));
                self.schedule(*wait, WorldEvent::ParkedHold(worker, call.call));
                None
            }
            WorkerOrder::Start { run, lease_end, .. } => {
                if model.running.contains_key(run) {
                    return Some(model.done(false, at));
                }
                model.extend(*lease_end, at);
                if model.is_old(run) {
                    return Some(model.refuse(OrderRefusal::Old, at));
                }
                if model.clock(at) >= *lease_end {
                    return Some(model.refuse(OrderRefusal::Late, at));
                }
                if model.mood == WorkerMood::Unhealthy {
                    return Some(model.refuse(OrderRefusal::Unhealthy, at));
                }
                self.begin(&call.worker, *run);
                Some(self.workers.get(&call.worker)?.done(false, at))
            }
            WorkerOrder::Stop { run } => {
                model.stop(run, at);
                let outcome = model.done(false, at);
                let worker = call.worker.clone();
                self.schedule(TimeSpan(200), WorldEvent::Worker(worker));
                Some(outcome)
            }
        }
    }

    pub(super) fn begin(&mut self, worker: &WorkerName, run: RunKey) {
        let at = self.at;
        self.judge.start(&run, worker, &self.workers, MAX_ATTEMPTS);
        let work = self.work.get(&run.task.step.job).copied();
        let (work, fails) = work.unwrap_or((TimeSpan(1_000), false));
        let is_gang = self.gang_size(&run.task.step).is_some();
        let Some(model) = self.workers.get_mut(worker) else {
            return;
        };
        let fails = fails || model.mood == WorkerMood::FailsAll;
        model.running.insert(
            run,
            ModelRun {
                came: at,
                began: (!is_gang).then_some(at),
                work,
                fails,
                stops: None,
            },
        );
        let lapse = model.time_to_lapse(at);
        self.schedule(work, WorldEvent::Worker(worker.clone()));
        self.schedule(lapse, WorldEvent::Worker(worker.clone()));
        if is_gang {
            self.schedule(GANG_TIMEOUT, WorldEvent::Worker(worker.clone()));
            self.gather(run);
        }
    }

    pub(super) fn gang_size(&self, step: &StepKey) -> Option<u32> {
        let job = self.judge.jobs.get(&step.job)?;
        let definition = job.submission.steps.get(step.step as usize)?;
        definition.gang.then_some(definition.count)
    }

    /// Lets a gang work once all its members are there.
    pub(super) fn gather(&mut self, run: RunKey) {
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
        let mut checks = Vec::new();
        for (worker, model) in &mut self.workers {
            for (other, member) in &mut model.running {
                if is_member(other) {
                    member.began = Some(at);
                    checks.push((member.work, worker.clone()));
                }
            }
        }
        for (work, worker) in checks {
            self.schedule(work, WorldEvent::Worker(worker));
        }
    }

    /// Ends the runs of a worker that are due to end.
    pub(super) fn check_worker(&mut self, worker: &WorkerName) {
        let at = self.at;
        let Some(model) = self.workers.get(worker) else {
            return;
        };
        let is_lapsed = model.is_lapsed(at);
        let ends = model.running.iter().filter_map(|(run, member)| {
            let is_worked = member.began.is_some_and(|began| at >= began + member.work);
            let is_alone = member.began.is_none() && at >= member.came + GANG_TIMEOUT;
            let ending = if is_lapsed {
                RunEnding::Lapsed
            } else if member.stops.is_some_and(|stops| at >= stops) {
                RunEnding::Stopped
            } else if is_worked && member.fails {
                RunEnding::Failed
            } else if is_worked {
                RunEnding::Done
            } else if is_alone {
                RunEnding::Alone
            } else {
                return None;
            };
            Some((*run, ending))
        });
        let ends: Vec<(RunKey, RunEnding)> = ends.collect();
        for (run, ending) in ends {
            // A member of the same gang can have ended this run.
            let model = self.workers.get_mut(worker);
            let model = model.filter(|model| model.running.contains_key(&run));
            let Some(model) = model else { continue };
            model.end(&run, ending);
            match ending {
                RunEnding::Done => {
                    self.judge.worked.insert(run.task);
                }
                RunEnding::Failed => self.judge.run_failed(&run),
                RunEnding::Alone => self.judge.alone += 1,
                RunEnding::Stopped | RunEnding::Lapsed | RunEnding::Broken => {}
            }
            if self.gang_size(&run.task.step).is_some() {
                self.end_gang(run, ending);
            }
            self.wake_hold(worker);
        }
    }

    /// The members of a gang end together.
    pub(super) fn end_gang(&mut self, run: RunKey, ending: RunEnding) {
        let ending = match ending {
            RunEnding::Done => RunEnding::Done,
            _ => RunEnding::Broken,
        };
        let mut woken = Vec::new();
        for (worker, model) in &mut self.workers {
            let members = model
                .running
                .keys()
                .filter(|other| other.task.step == run.task.step && other.attempt == run.attempt);
            let members: Vec<RunKey> = members.copied().collect();
            for member in members {
                model.end(&member, ending);
                if ending == RunEnding::Done {
                    self.judge.worked.insert(member.task);
                }
                woken.push(worker.clone());
            }
        }
        for worker in woken {
            self.wake_hold(&worker);
        }
    }

    pub(super) fn wake_hold(&mut self, worker: &WorkerName) {
        let waiting = self.holds.iter().filter(|(_, _, of, _)| of == worker);
        let calls: Vec<CallId> = waiting.map(|(_, _, _, call)| *call).collect();
        for call in calls {
            self.end_hold(worker, call);
        }
    }

    pub(super) fn end_hold(&mut self, worker: &WorkerName, call: CallId) {
        let parked = self
            .holds
            .iter()
            .position(|(_, _, of, number)| of == worker && *number == call);
        let Some(place) = parked else { return };
        let (daemon, incarnation, _, call) = self.holds.swap_remove(place);
        if self.faults.cut_workers.contains(worker) {
            let outcome = OrderOutcome::Unknown;
            self.reply(daemon, incarnation, BatchInput::Order { call, outcome });
            return;
        }
        let Some(model) = self.workers.get(worker) else {
            return;
        };
        let outcome = model.done(true, self.at);
        self.reply(daemon, incarnation, BatchInput::Order { call, outcome });
    }
}
