//! Dispatches effects of the control thread to the threads that execute them, without blocking.

use std::sync::Arc;

use crossbeam_channel::Sender;
use tokio::sync::mpsc;

use crate::exchange::ExchangeTable;
use crate::log_client::LogRead;
use crate::log_client::LogWrite;
use crate::logs::LogLine;
use crate::metrics::MetricSink;
use crate::outbound::EndpointCall;
use crate::outbound::OutboundCall;
use crate::peers::PeerEnvelope;
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

/// Bounded queues from the control thread to the other threads, and the state shared with them.
pub struct EffectDispatcher {
    /// Queue of the log-read thread.
    pub reads: Sender<LogRead>,
    /// Queue of the log-write thread.
    pub writes: Sender<LogWrite>,
    /// Queue of the threads that call workers and the VM list.
    pub calls: Sender<OutboundCall>,
    /// Queue of the threads that send short requests.
    pub requests: Sender<EndpointCall>,
    /// Queue of the peers thread.
    pub peers: mpsc::Sender<PeerEnvelope>,
    /// Queue of the logger thread.
    pub lines: Sender<LogLine>,
    /// Sink for counters and gauges.
    pub metrics: MetricSink,
    /// Pending exchanges with callers.
    pub exchanges: Arc<ExchangeTable>,
}

impl EffectDispatcher {
    /// Queues an effect for its thread.
    ///
    /// When the queue is full, no part of the effect has been executed. The returned event reports
    /// this to the reducer; effects without an outcome are dropped. The control thread's event loop
    /// handles `Exit`.
    pub fn dispatch(&self, effect: ControlEffect) -> Option<EventInput> {
        match effect {
            ControlEffect::Append { batch, records } => {
                self.write(LogWrite::Append { batch, records })
            }
            ControlEffect::WriteSnapshot { ledger } => self.write(LogWrite::Snapshot(ledger)),
            ControlEffect::ReadLog { from, wait } => self.read(LogRead::Records { from, wait }),
            ControlEffect::ReadSnapshot => self.read(LogRead::Snapshot),
            ControlEffect::CallWorker {
                call,
                worker,
                address,
                command,
                timeout,
            } => self.call(OutboundCall::Worker {
                call,
                worker,
                address,
                command,
                timeout,
            }),
            ControlEffect::FetchVms { since } => self.call(OutboundCall::Vms { since }),
            ControlEffect::SendRequest {
                caller,
                request,
                attempt,
                worker: _,
                address,
                service,
                timeout,
            } => self.request(EndpointCall::Send {
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
            } => self.request(EndpointCall::Cancel {
                request,
                attempt,
                address,
            }),
            ControlEffect::SendPeer {
                to,
                address,
                message,
            } => self.send_peer(PeerEnvelope {
                to,
                address,
                message,
            }),
            ControlEffect::LogLine {
                target,
                level,
                line,
            } => self.write_line(LogLine {
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
            // Daemons with a batch subsystem use the dispatcher in `entry::daemon`.
            ControlEffect::Batch(_) | ControlEffect::Exit => None,
        }
    }

    fn write(&self, write: LogWrite) -> Option<EventInput> {
        let write = self.writes.try_send(write).err()?.into_inner();
        self.report_queue_full("log-write");
        Some(match write {
            LogWrite::Append { batch, .. } => EventInput::AppendCompleted {
                batch,
                outcome: AppendOutcome::Refused,
            },
            LogWrite::Snapshot(_) => EventInput::SnapshotWritten { is_stored: false },
        })
    }

    fn read(&self, read: LogRead) -> Option<EventInput> {
        let read = self.reads.try_send(read).err()?.into_inner();
        self.report_queue_full("log-read");
        Some(match read {
            LogRead::Records { from, .. } => EventInput::LogRead {
                from,
                outcome: ReadOutcome::Failed,
            },
            LogRead::Snapshot => EventInput::SnapshotRead {
                ledger: None,
                is_reachable: false,
            },
        })
    }

    fn call(&self, call: OutboundCall) -> Option<EventInput> {
        let call = self.calls.try_send(call).err()?.into_inner();
        self.report_queue_full("call");
        Some(match call {
            OutboundCall::Worker { call, worker, .. } => EventInput::WorkerCallCompleted {
                call,
                worker,
                outcome: CallOutcome::Undelivered,
            },
            OutboundCall::Vms { .. } => EventInput::VmList {
                outcome: VmOutcome::Failed,
            },
        })
    }

    fn request(&self, call: EndpointCall) -> Option<EventInput> {
        let call = self.requests.try_send(call).err()?.into_inner();
        self.report_queue_full("request");
        match call {
            EndpointCall::Send {
                request, attempt, ..
            } => Some(EventInput::EndpointCallCompleted {
                request,
                attempt,
                outcome: EndpointOutcome::Undelivered,
            }),
            EndpointCall::Cancel { .. } => None,
        }
    }

    fn send_peer(&self, envelope: PeerEnvelope) -> Option<EventInput> {
        if self.peers.try_send(envelope).is_err() {
            self.report_queue_full("peers");
        }
        None
    }

    fn write_line(&self, line: LogLine) -> Option<EventInput> {
        if self.lines.try_send(line).is_err() {
            self.metrics.count(MetricName::LimitsReached, 1);
        }
        None
    }

    fn report_queue_full(&self, thread: &str) {
        self.metrics.count(MetricName::LimitsReached, 1);
        self.write_line(LogLine {
            target: LogTarget::Process,
            level: LogLevel::Warn,
            line: format!("effect refused: the {thread} queue is full"),
        });
    }
}
