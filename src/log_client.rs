//! The two threads that talk to the platform's log: one reads, one writes.

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Sender;
use serde::Deserialize;
use serde::Serialize;

use crate::control::EventSender;
use crate::control::RunClock;
use crate::http_client::CallError;
use crate::http_client::CallResponse;
use crate::http_client::HttpCall;
use crate::http_client::HttpClient;
use mustardpath_core::event::AppendOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ReadOutcome;
use mustardpath_core::ids::BatchId;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::WriterId;
use mustardpath_core::ledger::LedgerState;
use mustardpath_core::record;
use mustardpath_core::record::LogRecord;
use mustardpath_core::record::StoredRecord;
use mustardpath_core::snapshot;
use mustardpath_core::units::TimeSpan;

/// Jobs that wait for one of the threads. The reducer has at most one append, one read and one
/// snapshot under way.
const QUEUE_CAPACITY: usize = 8;

/// Largest answer of the log, in bytes.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Records asked for in one read of the control stream.
const READ_RECORDS: u32 = 2_000;

/// Pieces asked for in one read of the snapshot stream: 1 MiB, which the daemons of a region can read
/// at the same time over a link of 30 Mbit/s before [`RESPONSE_TIMEOUT`] is over.
const READ_PIECES: u32 = 32;

/// Time for the answer beyond the wait that the read asks for. The log is usually answered
/// within milliseconds; a read that takes longer counts as failed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The stream of all records.
pub const CONTROL_STREAM: &str = "control";

/// The stream of snapshot pieces.
pub const SNAPSHOT_STREAM: &str = "snapshots";

/// A operation of the log-read thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogRead {
    /// Reads the control stream.
    Records {
        /// The first offset.
        from: LogOffset,
        /// Longest wait for a record.
        wait: TimeSpan,
    },
    /// Reads the newest whole snapshot.
    Snapshot,
}

/// A operation of the log-write thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogWrite {
    /// Appends records to the control stream.
    Append {
        /// The batch.
        batch: BatchId,
        /// The records.
        records: Vec<LogRecord>,
    },
    /// Writes a snapshot in pieces.
    Snapshot(Box<LedgerState>),
}

/// One record in an answer of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The place.
    pub offset: u64,
    /// The record's text.
    pub text: String,
}

/// The log's answer to a read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPage {
    /// Records in order.
    pub records: Vec<StreamRecord>,
    /// The offset after the last record of the stream.
    pub tail: u64,
}

/// The log's answer to a read of an offset that is no longer kept, with status 410.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamExpired {
    /// The oldest offset kept.
    pub oldest: u64,
}

/// What both threads need.
#[derive(Clone)]
pub struct LogContext {
    /// Takes the outcomes.
    pub events: EventSender,
    /// The process, which signs snapshot pieces.
    pub writer: WriterId,
    /// IP number and port of the log.
    pub address: String,
    /// The control thread's clock.
    pub clock: RunClock,
    /// Longest time to the answer of an append.
    pub append_timeout: TimeSpan,
    /// Size of one snapshot piece in bytes.
    pub piece_bytes: usize,
}

struct LogConnection {
    context: LogContext,
    client: HttpClient,
}

enum StreamRead {
    Page(StreamPage),
    Expired(StreamExpired),
    Failed,
}

/// Starts the log-read thread.
///
/// # Errors
///
/// Returns the system's error when the thread cannot be started.
pub fn spawn_reader(context: LogContext) -> io::Result<Sender<LogRead>> {
    spawn("log-read", context, |connection, read| match read {
        LogRead::Records { from, wait } => connection.read_records(from, wait),
        LogRead::Snapshot => connection.read_snapshot(),
    })
}

/// Starts the log-write thread.
///
/// # Errors
///
/// Returns the system's error when the thread cannot be started.
pub fn spawn_writer(context: LogContext) -> io::Result<Sender<LogWrite>> {
    spawn("log-write", context, |connection, write| match write {
        LogWrite::Append { batch, records } => {
            let texts = records.iter().map(record::encode).collect();
            let outcome = connection.append(CONTROL_STREAM, texts);
            EventInput::AppendCompleted { batch, outcome }
        }
        LogWrite::Snapshot(ledger) => connection.write_snapshot(&ledger),
    })
}

fn spawn<J: Send + 'static>(
    name: &str,
    context: LogContext,
    run: fn(&mut LogConnection, J) -> EventInput,
) -> io::Result<Sender<J>> {
    let (sender, operations) = crossbeam_channel::bounded(QUEUE_CAPACITY);
    thread::Builder::new().name(name.into()).spawn(move || {
        let client = HttpClient::new(MAX_RESPONSE_BYTES);
        let mut connection = LogConnection { context, client };
        for operation in operations {
            let input = run(&mut connection, operation);
            // The control thread has ended when the channel is closed.
            let _ = connection.context.events.blocking_send(input);
        }
    })?;
    Ok(sender)
}

impl LogConnection {
    fn read_records(&mut self, from: LogOffset, wait: TimeSpan) -> EventInput {
        let sent_at = self.context.clock.now();
        let outcome = match self.read(CONTROL_STREAM, from.0, READ_RECORDS, wait) {
            StreamRead::Page(page) => ReadOutcome::Records {
                records: page.records.iter().map(decode_record).collect(),
                tail: LogOffset(page.tail),
                sent_at,
            },
            StreamRead::Expired(expired) => ReadOutcome::Expired {
                oldest: LogOffset(expired.oldest),
            },
            StreamRead::Failed => ReadOutcome::Failed,
        };
        EventInput::LogRead { from, outcome }
    }

    fn read(&mut self, stream: &str, from: u64, max: u32, wait: TimeSpan) -> StreamRead {
        let wait_ms = wait.0;
        let call = HttpCall {
            address: &self.context.address,
            path: &format!("/streams/{stream}/records?from={from}&max={max}&wait_ms={wait_ms}"),
            headers: &[],
            body: None,
            timeout: Duration::from_millis(wait_ms) + RESPONSE_TIMEOUT,
        };
        let Ok(response) = self.client.call(&call) else {
            return StreamRead::Failed;
        };
        decode_read(&response).unwrap_or(StreamRead::Failed)
    }

    fn append(&mut self, stream: &str, texts: Vec<Vec<u8>>) -> AppendOutcome {
        let texts: Vec<String> = texts
            .into_iter()
            .filter_map(|bytes| String::from_utf8(bytes).ok())
            .collect();
        let Ok(body) = serde_json::to_vec(&texts) else {
            return AppendOutcome::Refused;
        };
        let call = HttpCall {
            address: &self.context.address,
            path: &format!("/streams/{stream}/records"),
            headers: &[],
            body: Some(&body),
            timeout: Duration::from_millis(self.context.append_timeout.0),
        };
        match self.client.call(&call) {
            Ok(response) if response.status == 200 => AppendOutcome::Stored,
            Ok(response) if matches!(response.status, 400..=499 | 503) => AppendOutcome::Refused,
            Err(CallError::Undelivered(_)) => AppendOutcome::Refused,
            Ok(_) | Err(CallError::Unknown(_)) => AppendOutcome::Unknown,
        }
    }

    /// Reads the whole snapshot stream; it keeps few snapshots, as old pieces leave it.
    fn read_snapshot(&mut self) -> EventInput {
        let mut pieces = Vec::new();
        let mut from = 0;
        let is_reachable = loop {
            match self.read(SNAPSHOT_STREAM, from, READ_PIECES, TimeSpan(0)) {
                StreamRead::Failed => break false,
                StreamRead::Expired(expired) if expired.oldest > from => from = expired.oldest,
                StreamRead::Expired(_) => break false,
                StreamRead::Page(page) => {
                    let texts = page.records.iter().map(|record| record.text.as_bytes());
                    pieces.extend(texts.filter_map(snapshot::decode_piece));
                    from += page.records.len() as u64;
                    if page.records.is_empty() || from >= page.tail {
                        break true;
                    }
                }
            }
        };
        let newest = if is_reachable {
            snapshot::assemble(pieces)
        } else {
            None
        };
        EventInput::SnapshotRead {
            ledger: newest.map(Box::new),
            is_reachable,
        }
    }

    fn write_snapshot(&mut self, ledger: &LedgerState) -> EventInput {
        let pieces = snapshot::encode(ledger, &self.context.writer, self.context.piece_bytes);
        let is_stored = pieces
            .into_iter()
            .all(|piece| self.append(SNAPSHOT_STREAM, vec![piece]) == AppendOutcome::Stored);
        EventInput::SnapshotWritten { is_stored }
    }
}

fn decode_record(stream: &StreamRecord) -> StoredRecord {
    StoredRecord {
        offset: LogOffset(stream.offset),
        record: record::decode(stream.text.as_bytes()),
    }
}

fn decode_read(response: &CallResponse) -> Option<StreamRead> {
    match response.status {
        200 => serde_json::from_slice(&response.body)
            .ok()
            .map(StreamRead::Page),
        410 => serde_json::from_slice(&response.body)
            .ok()
            .map(StreamRead::Expired),
        _ => None,
    }
}
