//! Deliveries of the simulation: effects go to the models, answers return to the daemons as events.

use crate::driver::SimDriver;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::effect::PeerMessage;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::VmOutcome;
use mustardpath_core::ids::BatchId;
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::RegionName;
use mustardpath_core::ids::RequestId;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::ledger::LedgerState;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::WorkerCommand;

/// The process that made a call, and when. Answers to an ended process are dropped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallOrigin {
    pub(crate) daemon: usize,
    pub(crate) incarnation: u64,
    pub(crate) sent_at: ClockTime,
}

/// A long poll that waits at the log for a record until its deadline.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub(crate) origin: CallOrigin,
    pub(crate) from: LogOffset,
    pub(crate) deadline: ClockTime,
}

/// A short request in transit to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct EndpointCall {
    pub(crate) caller: CallerId,
    pub(crate) request: RequestId,
    pub(crate) attempt: u32,
    pub(crate) worker: WorkerName,
    pub(crate) timeout: TimeSpan,
}

/// A scheduled event of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Delivery {
    Tick {
        daemon: usize,
        incarnation: u64,
    },
    Event {
        daemon: usize,
        incarnation: u64,
        input: Box<EventInput>,
    },
    WorkerCommand {
        origin: CallOrigin,
        call: CallId,
        worker: WorkerName,
        command: WorkerCommand,
        timeout: TimeSpan,
    },
    SendRequest(CallOrigin, EndpointCall),
    CancelRequest {
        worker: WorkerName,
        id: String,
        attempt: u32,
    },
    AppendRecords {
        origin: CallOrigin,
        batch: BatchId,
        records: Vec<Vec<u8>>,
    },
    ReadLog(PendingRead),
    ReadTimeout,
    ReadSnapshot(CallOrigin),
    WriteSnapshot(CallOrigin, Box<LedgerState>),
    Wakeup(WorkerName),
}

impl SimDriver {
    fn origin(&self, daemon: usize) -> CallOrigin {
        CallOrigin {
            daemon,
            incarnation: self.processes[daemon].incarnation,
            sent_at: self.now(),
        }
    }

    pub(crate) fn region(&self, daemon: usize) -> RegionName {
        self.processes[daemon].settings.region.clone()
    }

    /// Schedules an answer to `origin` after a delay.
    pub(crate) fn schedule_answer(
        &mut self,
        origin: CallOrigin,
        delay: TimeSpan,
        input: EventInput,
    ) {
        self.schedule_event_for(origin.daemon, origin.incarnation, delay, input);
    }

    /// Schedules an answer to `origin` at the timeout of its call.
    pub(crate) fn schedule_answer_at_timeout(
        &mut self,
        origin: CallOrigin,
        timeout: TimeSpan,
        input: EventInput,
    ) {
        let delay = (origin.sent_at + timeout).since(self.now());
        self.schedule_answer(origin, delay, input);
    }

    /// Returns whether the link's connection is silent, and clears the fault: the next call opens a
    /// new connection.
    pub(crate) fn take_silent_link(&mut self, daemon: usize, target: &str) -> bool {
        let link = (daemon, target.to_owned());
        self.silent_links.shift_remove(&link)
    }

    /// Executes one effect of a daemon.
    pub(crate) fn execute_effect(&mut self, daemon: usize, effect: ControlEffect) {
        let origin = self.origin(daemon);
        match effect {
            ControlEffect::Append { batch, records } => self.send_append(origin, batch, &records),
            ControlEffect::ReadLog { from, wait } => self.send_read(origin, from, wait),
            ControlEffect::ReadSnapshot => {
                let delay = self.log_delay(daemon);
                self.schedule(delay, Delivery::ReadSnapshot(origin));
            }
            ControlEffect::WriteSnapshot { ledger } => {
                let delay = self.log_delay(daemon);
                self.schedule(delay, Delivery::WriteSnapshot(origin, ledger));
            }
            ControlEffect::CallWorker {
                call,
                worker,
                command,
                timeout,
                ..
            } => self.send_command(origin, call, worker, command, timeout),
            ControlEffect::SendRequest {
                caller,
                request,
                attempt,
                worker,
                timeout,
                ..
            } => {
                let call = EndpointCall {
                    caller,
                    request,
                    attempt,
                    worker,
                    timeout,
                };
                self.send_request(origin, call);
            }
            ControlEffect::CancelRequest {
                request,
                attempt,
                address,
            } => self.send_cancel(origin, request, attempt, &address),
            ControlEffect::SendPeer { to, message, .. } => self.send_peer(daemon, &to, message),
            ControlEffect::FetchVms { since } => self.fetch_vms(origin, since),
            ControlEffect::Reply { caller, reply } => self.record_reply(daemon, caller, reply),
            ControlEffect::LogLine { target, line, .. } => {
                self.record_trace(|| format!("{daemon} {} {line}", target.prefix()));
            }
            // The simulated daemons run without the batch subsystem.
            ControlEffect::UpdateMetric { .. } | ControlEffect::Batch(_) => {}
            ControlEffect::Exit => self.kill(daemon),
        }
    }

    /// Makes one delivery.
    pub(crate) fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick {
                daemon,
                incarnation,
            } => self.deliver_tick(daemon, incarnation),
            Delivery::Event {
                daemon,
                incarnation,
                input,
            } => self.apply_event(daemon, incarnation, *input),
            Delivery::WorkerCommand {
                origin,
                call,
                worker,
                command,
                timeout,
            } => self.deliver_command(origin, call, &worker, command, timeout),
            Delivery::SendRequest(origin, call) => self.deliver_request(origin, &call),
            Delivery::CancelRequest {
                worker,
                id,
                attempt,
            } => self.workers[&worker].cancel_request(&id, attempt),
            Delivery::AppendRecords {
                origin,
                batch,
                records,
            } => self.deliver_append(origin, batch, &records),
            Delivery::ReadLog(read) => self.deliver_read(read),
            Delivery::ReadTimeout => self.serve_pending_reads(),
            Delivery::ReadSnapshot(origin) => self.deliver_snapshot_read(origin),
            Delivery::WriteSnapshot(origin, ledger) => {
                self.deliver_snapshot_write(origin, &ledger);
            }
            Delivery::Wakeup(worker) => {
                self.wakeups.shift_remove(&worker);
                self.advance_worker(&worker);
            }
        }
    }

    fn deliver_tick(&mut self, daemon: usize, incarnation: u64) {
        if self.processes[daemon].incarnation != incarnation || !self.is_up(daemon) {
            return;
        }
        let next = Delivery::Tick {
            daemon,
            incarnation,
        };
        self.schedule(self.tick_interval, next);
        self.apply_event(daemon, incarnation, EventInput::Tick);
    }

    fn send_peer(&mut self, daemon: usize, to: &DaemonName, message: PeerMessage) {
        if let PeerMessage::Heartbeat(heartbeat) = &message {
            let process = &mut self.processes[daemon];
            if heartbeat.config < process.config {
                let line = format!("daemon {daemon}: configuration went back");
                self.daemon_violations.push(line);
            }
            process.config = heartbeat.config;
        }
        let Some(target) = self.daemon_by_name(to) else {
            return;
        };
        let silent_until = |process| self.peers_silent_until.get(&process).copied();
        let silences = [daemon, target].into_iter().filter_map(silent_until);
        if silences.max() > Some(self.now()) {
            return;
        }
        let (daemon_region, target_region) = (self.region(daemon), self.region(target));
        if !self.can_reach(&daemon_region, &target_region)
            || self.rng.u8(0..100) < self.network.peer_loss_percent
        {
            return;
        }
        let copies = if self.rng.u8(0..100) < self.network.peer_duplicate_percent {
            2
        } else {
            1
        };
        let from = self.processes[daemon].settings.daemon.clone();
        for _ in 0..copies {
            let delay = self.random_delay(&daemon_region, &target_region);
            let input = EventInput::Peer {
                from: from.clone(),
                message: message.clone(),
            };
            self.schedule_event(target, delay, input);
        }
    }

    fn fetch_vms(&mut self, origin: CallOrigin, since: u64) {
        let outcome = match self.vms.changes(since, self.now()) {
            None => VmOutcome::Failed,
            Some(changes) => VmOutcome::Changes {
                version: changes.version,
                workers: changes.workers,
                daemons: changes.daemons,
            },
        };
        self.schedule_answer(origin, TimeSpan(4), EventInput::VmList { outcome });
    }
}
