//! Dispatch of effects to threads whose queues are full.

use std::sync::Arc;

use tokio::sync::mpsc;

use mustardpath::dispatch::EffectDispatcher;
use mustardpath::exchange::ExchangeTable;
use mustardpath::metrics::MetricSink;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::effect::PeerMessage;
use mustardpath_core::event::AppendOutcome;
use mustardpath_core::event::CallOutcome;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ReadOutcome;
use mustardpath_core::event::VmOutcome;
use mustardpath_core::ids::BatchId;
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::RequestId;
use mustardpath_core::ids::TermNumber;
use mustardpath_core::ledger::LedgerState;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::WorkerCommand;

/// Guards against a control thread that blocks on a full queue, or drops an effect without an
/// event. Each refused effect must return the event that reports it as not executed.
#[test]
fn refused_effects_return_their_failure_event() {
    // A channel without a buffer is full while no receiver waits on it.
    let (reads, _reads) = crossbeam_channel::bounded(0);
    let (writes, _writes) = crossbeam_channel::bounded(0);
    let (calls, _calls) = crossbeam_channel::bounded(0);
    let (requests, _requests) = crossbeam_channel::bounded(0);
    let (lines, _lines) = crossbeam_channel::bounded(0);
    let (peers, _peers) = mpsc::channel(1);
    let dispatcher = EffectDispatcher {
        reads,
        writes,
        calls,
        requests,
        peers,
        lines,
        metrics: MetricSink::open(None).expect("sink"),
        exchanges: Arc::new(ExchangeTable::new(1)),
    };
    let (batch, call, request) = (BatchId(1), CallId(2), RequestId(3));
    let from = LogOffset(4);
    let cases = [
        (
            ControlEffect::Append {
                batch,
                records: Vec::new(),
            },
            EventInput::AppendCompleted {
                batch,
                outcome: AppendOutcome::Refused,
            },
        ),
        (
            ControlEffect::WriteSnapshot {
                ledger: Box::new(LedgerState::default()),
            },
            EventInput::SnapshotWritten { is_stored: false },
        ),
        (
            ControlEffect::ReadLog {
                from,
                wait: TimeSpan(1),
            },
            EventInput::LogRead {
                from,
                outcome: ReadOutcome::Failed,
            },
        ),
        (
            ControlEffect::ReadSnapshot,
            EventInput::SnapshotRead {
                ledger: None,
                is_reachable: false,
            },
        ),
        (
            ControlEffect::CallWorker {
                call,
                worker: "w1".into(),
                address: "127.0.0.1:1".into(),
                command: WorkerCommand::Fence {
                    term: TermNumber(1),
                },
                timeout: TimeSpan(1),
            },
            EventInput::WorkerCallCompleted {
                call,
                worker: "w1".into(),
                outcome: CallOutcome::Undelivered,
            },
        ),
        (
            ControlEffect::SendRequest {
                caller: CallerId(1),
                request,
                attempt: 2,
                worker: "w1".into(),
                address: "127.0.0.1:1".into(),
                service: "check".into(),
                timeout: TimeSpan(1),
            },
            EventInput::EndpointCallCompleted {
                request,
                attempt: 2,
                outcome: EndpointOutcome::Undelivered,
            },
        ),
        (
            ControlEffect::FetchVms { since: 0 },
            EventInput::VmList {
                outcome: VmOutcome::Failed,
            },
        ),
    ];
    for (effect, event) in cases {
        assert_eq!(dispatcher.dispatch(effect), Some(event));
    }
    // Messages between daemons are best effort, so a dropped one returns no event.
    for _ in 0..2 {
        let effect = ControlEffect::SendPeer {
            to: "d2".into(),
            address: "127.0.0.1:1".into(),
            message: PeerMessage::StateRequest,
        };
        assert_eq!(dispatcher.dispatch(effect), None);
    }
}
