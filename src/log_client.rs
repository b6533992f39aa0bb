//! Client of the log service: one thread reads, another one writes.

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

/// Maximum number of queued operations per thread. The reducer has at most one append, one read and
/// one snapshot in flight.
const QUEUE_CAPACITY: usize = 8;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Maximum number of records per read of the control stream.
const MAX_READ_RECORDS: u32 = 2_000;

/// Maximum number of pieces per read of the snapshot stream. They amount to 1 MiB, which all
/// daemons of a region can read concurrently over a link of 30 Mbit/s within [`RESPONSE_TIMEOUT`].
const MAX_READ_PIECES: u32 = 32;

/// Time limit for the response to a read, in addition to the wait that the read requests. The log
/// normally responds within milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Name of the stream with all log records.
pub const CONTROL_STREAM: &str = "control";

/// Name of the stream with snapshot pieces.
pub const SNAPSHOT_STREAM: &str = "snapshots";

/// An operation of the log-read thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogRead {
    /// Reads records of the control stream.
    Records {
        /// Offset of the first record to read.
        from: LogOffset,
        /// How long the log waits for a record before it returns an empty page.
        wait: TimeSpan,
    },
    /// Reads the newest complete snapshot.
    Snapshot,
}

/// An operation of the log-write thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogWrite {
    /// Appends records to the control stream.
    Append {
        /// Identifies the outcome of the append.
        batch: BatchId,
        /// The records, in order.
        records: Vec<LogRecord>,
    },
    /// Writes a snapshot as a series of pieces.
    Snapshot(Box<LedgerState>),
}

/// A record in a response of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// Offset of the record in its stream.
    pub offset: u64,
    /// Encoded log record or snapshot piece, depending on the stream.
    pub text: String,
}

/// Response to a read: a page of records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamPage {
    /// The records, in order of their offsets.
    pub records: Vec<StreamRecord>,
    /// Offset after the last record of the stream.
    pub tail: u64,
}

/// Response with status 410 to a read of an offset that is no longer retained.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamExpired {
    /// The oldest retained offset.
    pub oldest: u64,
}

/// Configuration of the log client.
#[derive(Clone)]
pub struct LogContext {
    /// Sends the outcomes to the control thread.
    pub events: EventSender,
    /// The daemon process, recorded as the writer of snapshot pieces.
    pub writer: WriterId,
    /// IP address and port of the log.
    pub address: String,
    /// Clock of the control thread, for the time at which a read was sent.
    pub clock: RunClock,
    /// Time limit for the response to an append.
    pub append_timeout: TimeSpan,
    /// Maximum size of a snapshot piece.
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
/// Returns the I/O error when the thread cannot be spawned.
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
/// Returns the I/O error when the thread cannot be spawned.
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
            // The send fails only when the control thread has already ended.
            let _ = connection.context.events.blocking_send(input);
        }
    })?;
    Ok(sender)
}

impl LogConnection {
    fn read_records(&mut self, from: LogOffset, wait: TimeSpan) -> EventInput {
        let sent_at = self.context.clock.now();
        let outcome = match self.read(CONTROL_STREAM, from.0, MAX_READ_RECORDS, wait) {
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

    /// Reads the whole snapshot stream. Retention limits it to a few snapshots.
    fn read_snapshot(&mut self) -> EventInput {
        let mut pieces = Vec::new();
        let mut from = 0;
        let is_reachable = loop {
            match self.read(SNAPSHOT_STREAM, from, MAX_READ_PIECES, TimeSpan(0)) {
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
