//! Hands each effect to the thread that carries it out, without ever waiting for it.

use std::sync::Arc;

use crossbeam_channel::Sender;
use tokio::sync::mpsc;

use crate::exchange::ExchangeTable;
use crate::log_client::ReadJob;
use crate::log_client::WriteJob;
use crate::logs::LogLine;
use crate::metrics::MetricSink;
use crate::outbound::CallJob;
use crate::outbound::EndpointJob;
use crate::peers::PeerJob;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;
use mustardpath_core::effect::MetricName;
use mustardpath_core::event::AppendOutcome;
use mustardpath_core::event::CallOutcome;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ReadOutcome;
use mustardpath_core::event::VmOutcome;

/// The bounded channels from the control thread to the others.
pub struct EffectPorts {
    /// To the log-read thread.
    pub reads: Sender<ReadJob>,
    /// To the log-write thread.
    pub writes: Sender<WriteJob>,
    /// To the threads that call workers and the VM list.
    pub calls: Sender<CallJob>,
    /// To the threads that send short requests.
    pub requests: Sender<EndpointJob>,
    /// To the peers thread.
    pub peers: mpsc::Sender<PeerJob>,
    /// To the logger.
    pub lines: Sender<LogLine>,
    /// Counters and gauges.
    pub metrics: MetricSink,
    /// Callers that wait.
    pub exchanges: Arc<ExchangeTable>,
}

impl EffectPorts {
    /// Hands the effect on. Returns the event that answers it when its thread has no room.
    ///
    /// Nothing of a refused effect has been carried out, so the event says so. `Exit` is left to
    /// the loop of the control thread.
    pub fn carry_out(&self, effect: ControlEffect) -> Option<EventInput> {
        match effect {
            ControlEffect::Append { batch, records } => {
                self.write(WriteJob::Append { batch, records })
            }
            ControlEffect::WriteSnapshot { ledger } => self.write(WriteJob::Snapshot(ledger)),
            ControlEffect::ReadLog { from, wait } => self.read(ReadJob::Records { from, wait }),
            ControlEffect::ReadSnapshot => self.read(ReadJob::Snapshot),
            ControlEffect::CallWorker {
                call,
                worker,
                address,
                command,
                timeout,
            } => self.call(CallJob::Worker {
                call,
                worker,
                address,
                command,
                timeout,
            }),
            ControlEffect::FetchVms { since } => self.call(CallJob::Vms { since }),
            ControlEffect::SendRequest {
                caller,
                request,
                attempt,
                worker: _,
                address,
                service,
                timeout,
            } => self.request(EndpointJob::Send {
                caller,
                request,
                attempt,
                address,
                service,
                timeout,
            }),
            ControlEffect::CancelRequest {
                request,
                attempt,
                address,
            } => self.request(EndpointJob::Cancel {
                request,
                attempt,
                address,
            }),
            ControlEffect::SendPeer {
                to,
                address,
                message,
            } => self.send_peer(PeerJob {
                to,
                address,
                message,
            }),
            ControlEffect::LogLine {
                target,
                level,
                line,
            } => self.note(LogLine {
                target,
                level,
                line,
            }),
            ControlEffect::Reply { caller, reply } => {
                self.exchanges.reply(caller, reply);
                None
            }
            ControlEffect::UpdateMetric { metric, amount } => {
                self.metrics.count(metric, amount);
                None
            }
            // Only a daemon with a batch subsystem has these, and it has other ports.
            ControlEffect::Batch(_) | ControlEffect::Exit => None,
        }
    }

    fn write(&self, job: WriteJob) -> Option<EventInput> {
        let job = self.writes.try_send(job).err()?.into_inner();
        self.refuse("log-write");
        Some(match job {
            WriteJob::Append { batch, .. } => EventInput::AppendCompleted {
                batch,
                outcome: AppendOutcome::Refused,
            },
            WriteJob::Snapshot(_) => EventInput::SnapshotWritten { is_stored: false },
        })
    }

    fn read(&self, job: ReadJob) -> Option<EventInput> {
        let job = self.reads.try_send(job).err()?.into_inner();
        self.refuse("log-read");
        Some(match job {
            ReadJob::Records { from, .. } => EventInput::LogRead {
                from,
                outcome: ReadOutcome::Failed,
            },
            ReadJob::Snapshot => EventInput::SnapshotRead {
                ledger: None,
                is_reachable: false,
            },
        })
    }

    fn call(&self, job: CallJob) -> Option<EventInput> {
        let job = self.calls.try_send(job).err()?.into_inner();
        self.refuse("call");
        Some(match job {
            CallJob::Worker { call, worker, .. } => EventInput::WorkerCallCompleted {
                call,
                worker,
                outcome: CallOutcome::Undelivered,
            },
            CallJob::Vms { .. } => EventInput::VmList {
                outcome: VmOutcome::Failed,
            },
        })
    }

    fn request(&self, job: EndpointJob) -> Option<EventInput> {
        let job = self.requests.try_send(job).err()?.into_inner();
        self.refuse("request");
        match job {
            EndpointJob::Send {
                request, attempt, ..
            } => Some(EventInput::EndpointCallCompleted {
                request,
                attempt,
                outcome: EndpointOutcome::Undelivered,
            }),
            EndpointJob::Cancel { .. } => None,
        }
    }

    fn send_peer(&self, job: PeerJob) -> Option<EventInput> {
        if self.peers.try_send(job).is_err() {
            self.refuse("peers");
        }
        None
    }

    fn note(&self, line: LogLine) -> Option<EventInput> {
        if self.lines.try_send(line).is_err() {
            self.metrics.count(MetricName::LimitsReached, 1);
        }
        None
    }

    fn refuse(&self, thread: &str) {
        self.metrics.count(MetricName::LimitsReached, 1);
        self.note(LogLine {
            target: LogTarget::Process,
            level: LogLevel::Warn,
            line: format!("an effect is refused because the {thread} queue is full"),
        });
    }
}
