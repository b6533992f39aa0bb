//! The log client against the simulated log and its faults.

use std::thread;

use mustardpath::control;
use mustardpath::control::EventReceiver;
use mustardpath::control::RunClock;
use mustardpath::log_client;
use mustardpath::log_client::LogContext;
use mustardpath::log_client::LogRead;
use mustardpath::log_client::LogWrite;
use mustardpath::standin_log;
use mustardpath::standin_platform;
use mustardpath::standin_platform::PlatformCall;
use mustardpath::standin_platform::PlatformSender;
use mustardpath::standin_platform::PlatformSwitch;
use mustardpath_core::event::AppendOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ReadOutcome;
use mustardpath_core::ids::BatchId;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::TermNumber;
use mustardpath_core::ids::WriterId;
use mustardpath_core::ledger::LedgerState;
use mustardpath_core::record::LogRecord;
use mustardpath_core::record::RECORD_VERSION;
use mustardpath_core::record::RecordBody;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::log::LogFault;

/// The log threads of a daemon and the log that they call.
struct TestLog {
    reads: crossbeam_channel::Sender<LogRead>,
    writes: crossbeam_channel::Sender<LogWrite>,
    events: EventReceiver,
    platform: PlatformSender,
}

fn writer() -> WriterId {
    WriterId {
        daemon: "d1".into(),
        incarnation: 5,
    }
}

fn record(sequence: u64) -> LogRecord {
    LogRecord {
        version: RECORD_VERSION,
        writer: writer(),
        sequence,
        at: ClockTime(1),
        body: RecordBody::TermRenewed {
            term: TermNumber(sequence),
        },
    }
}

impl TestLog {
    fn start() -> Self {
        let (platform, calls) = standin_platform::channel();
        standin_platform::spawn(calls, &[], TimeSpan(0)).expect("the simulated platform runs");
        let address = standin_log::spawn(platform.clone(), "127.0.0.1:0").expect("log");
        let (sender, events) = control::event_channel();
        let context = LogContext {
            events: sender,
            writer: writer(),
            address: address.to_string(),
            clock: RunClock::start(),
            append_timeout: TimeSpan::from_secs(30),
            piece_bytes: 64,
        };
        Self {
            reads: log_client::spawn_reader(context.clone()).expect("the thread runs"),
            writes: log_client::spawn_writer(context).expect("the thread runs"),
            events,
            platform,
        }
    }

    fn set_fault(&self, fault: LogFault) {
        let switch = PlatformCall::Switch(PlatformSwitch::Log { fault });
        self.platform
            .send(switch)
            .expect("the simulated platform runs");
    }

    fn next(&mut self) -> EventInput {
        self.events.blocking_recv().expect("event")
    }

    fn append(&mut self, sequence: u64) -> AppendOutcome {
        let batch = BatchId(sequence);
        let records = vec![record(sequence)];
        let write = LogWrite::Append { batch, records };
        self.writes.send(write).expect("the thread runs");
        match self.next() {
            EventInput::AppendCompleted { outcome, .. } => outcome,
            other => panic!("unexpected event: {other:?}"),
        }
    }

    fn read(&mut self, from: u64, wait: TimeSpan) -> ReadOutcome {
        let from = LogOffset(from);
        self.reads
            .send(LogRead::Records { from, wait })
            .expect("the thread runs");
        match self.next() {
            EventInput::LogRead { outcome, .. } => outcome,
            other => panic!("unexpected event: {other:?}"),
        }
    }

    fn read_snapshot(&mut self) -> (Option<Box<LedgerState>>, bool) {
        self.reads.send(LogRead::Snapshot).expect("the thread runs");
        match self.next() {
            EventInput::SnapshotRead {
                ledger,
                is_reachable,
            } => (ledger, is_reachable),
            other => panic!("unexpected event: {other:?}"),
        }
    }
}

fn sequences(outcome: &ReadOutcome) -> Vec<u64> {
    let ReadOutcome::Records { records, .. } = outcome else {
        panic!("no records: {outcome:?}");
    };
    records
        .iter()
        .map(|stored| stored.record.as_ref().expect("decodes").sequence)
        .collect()
}

/// Guards against records that are lost, reordered or changed in transit.
#[test]
fn records_are_read_back_unchanged() {
    let mut log = TestLog::start();
    for sequence in 1..=3 {
        assert_eq!(log.append(sequence), AppendOutcome::Stored);
    }
    let outcome = log.read(1, TimeSpan(0));
    assert_eq!(sequences(&outcome), [2, 3]);
    assert!(matches!(outcome, ReadOutcome::Records { tail, .. } if tail == LogOffset(3)));
}

/// Guards against a long poll that returns immediately, which would make the daemon poll in a tight
/// loop.
#[test]
fn a_read_waits_for_the_next_record() {
    let mut log = TestLog::start();
    let from = LogOffset(0);
    let wait = TimeSpan::from_secs(25);
    log.reads
        .send(LogRead::Records { from, wait })
        .expect("the thread runs");
    // The read may arrive before or after the append; one that did not wait would be empty.
    thread::yield_now();
    let batch = BatchId(1);
    let records = vec![record(1)];
    log.writes
        .send(LogWrite::Append { batch, records })
        .expect("the thread runs");
    let outcomes = [log.next(), log.next()];
    let read = outcomes.iter().find_map(|event| match event {
        EventInput::LogRead { outcome, .. } => Some(sequences(outcome)),
        _ => None,
    });
    assert_eq!(read, Some(vec![1]));
}

/// Guards against appends with a wrong outcome: a lost response is `Unknown` although the record is
/// stored, and a rejected append is `Refused`.
#[test]
fn append_outcomes_are_distinguished() {
    let mut log = TestLog::start();
    log.set_fault(LogFault {
        lose_answers: true,
        ..LogFault::default()
    });
    assert_eq!(log.append(1), AppendOutcome::Unknown);
    log.set_fault(LogFault {
        refuse_appends: true,
        ..LogFault::default()
    });
    assert_eq!(log.append(2), AppendOutcome::Refused);
    log.set_fault(LogFault {
        down: true,
        ..LogFault::default()
    });
    assert_eq!(log.read(0, TimeSpan(0)), ReadOutcome::Failed);
    assert_eq!(log.read_snapshot(), (None, false));
    log.set_fault(LogFault::default());
    assert_eq!(sequences(&log.read(0, TimeSpan(0))), [1]);
}

/// Guards against snapshots that cannot be read back, and against reading an older one.
#[test]
fn the_newest_snapshot_is_read_back() {
    let mut log = TestLog::start();
    assert_eq!(log.read_snapshot(), (None, true));
    for next in [3, 8] {
        let mut ledger = Box::new(LedgerState::default());
        ledger.next = LogOffset(next);
        log.writes
            .send(LogWrite::Snapshot(ledger))
            .expect("the thread runs");
        assert_eq!(log.next(), EventInput::SnapshotWritten { is_stored: true });
    }
    let (ledger, is_reachable) = log.read_snapshot();
    assert!(is_reachable);
    assert_eq!(ledger.map(|ledger| ledger.next), Some(LogOffset(8)));
}
