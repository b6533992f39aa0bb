//! Appends to the batch topic: one batch in flight per queue, resent until its outcome is known.

use crate::batch::message::BatchEffect;
use crate::batch::message::WriteOutcome;
use crate::batch::message::WriterIdentity;
use crate::batch::record::BatchRecord;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::ids::BatchId;
use crate::ids::CallerId;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time for the response to an append.
const WRITE_TIMEOUT: TimeSpan = TimeSpan(700);

/// Delay before a refused append is sent again.
const RESEND_DELAY: TimeSpan = TimeSpan(60);

/// Maximum number of records in a batch, exceeded only to keep atomic records together. A batch of
/// the largest jobs stays below the store's limit on the size of a request.
const MAX_BATCH_RECORDS: usize = 400;

/// A record that is not stored yet.
#[derive(Clone, Debug)]
pub struct PendingRecord {
    /// The record to store.
    pub record: BatchRecord,
    /// The caller who waits for it, if any.
    pub caller: Option<CallerId>,
    /// Whether it must be stored in the same append as the record before it.
    pub joins_previous: bool,
}

/// A batch in flight.
#[derive(Clone, Debug)]
struct InFlightBatch {
    id: BatchId,
    records: Vec<PendingRecord>,
    /// Whether an earlier attempt with an unknown outcome may have been or may yet be stored.
    may_be_stored: bool,
    /// When it is sent next; absent while an attempt is in flight.
    resend_at: Option<ClockTime>,
    /// When it was first sent.
    first_sent_at: ClockTime,
}

/// Queue of records of one writer.
#[derive(Clone, Debug)]
pub struct WriteQueue {
    pending: Vec<PendingRecord>,
    sent: Option<InFlightBatch>,
    next_batch: u64,
}

/// The result of one attempt to append a batch.
#[derive(Debug, Default)]
pub struct WriteSummary {
    /// Callers whose record is stored.
    pub stored_callers: Vec<CallerId>,
    /// Callers whose record was refused and is certainly not stored.
    pub refused_callers: Vec<CallerId>,
    /// Whether the batch is stored.
    pub is_stored: bool,
    /// The stored records with their offsets.
    pub records: Vec<(u64, BatchRecord)>,
    /// Whether the store fenced the append because a newer epoch has written.
    pub is_fenced: bool,
    /// Time since the batch was first sent.
    pub elapsed: TimeSpan,
}

impl WriteQueue {
    /// Creates an empty queue. The two queues use even and odd batch numbers, so that the numbers
    /// are unique within the daemon.
    #[must_use]
    pub const fn new(first_batch: u64) -> Self {
        Self {
            pending: Vec::new(),
            sent: None,
            next_batch: first_batch,
        }
    }

    /// Adds a record, with the caller to notify once it is stored.
    pub fn push(&mut self, record: BatchRecord, caller: Option<CallerId>) {
        self.pending.push(PendingRecord {
            record,
            caller,
            joins_previous: false,
        });
    }

    /// Adds a record that is stored atomically with the record added before it.
    ///
    /// An append is stored as a whole or not at all, so a successor never reads a part of such
    /// records.
    pub fn push_atomic(&mut self, record: BatchRecord) {
        self.pending.push(PendingRecord {
            record,
            caller: None,
            joins_previous: true,
        });
    }

    /// Returns the number of records that are not confirmed as stored.
    #[must_use]
    pub fn len(&self) -> usize {
        let in_flight = self.sent.as_ref().map_or(0, |batch| batch.records.len());
        self.pending.len() + in_flight
    }

    /// Returns whether all records are confirmed as stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns when the batch in flight was first sent, or `None` without one.
    #[must_use]
    pub fn in_flight_since(&self) -> Option<ClockTime> {
        self.sent.as_ref().map(|batch| batch.first_sent_at)
    }

    /// Drops the records that were never sent if the batch in flight is older than `timeout`, and
    /// returns their callers.
    pub fn drop_pending(&mut self, at: ClockTime, timeout: TimeSpan) -> Vec<CallerId> {
        let since = self.in_flight_since();
        if since.is_none_or(|since| at.since(since) <= timeout) {
            return Vec::new();
        }
        let dropped = self.pending.drain(..);
        dropped.filter_map(|pending| pending.caller).collect()
    }

    /// Discards all records, including the batch in flight, when the planner's term ends.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.sent = None;
    }

    /// Sends the next batch, or resends the one in flight when its delay has passed.
    pub fn flush(&mut self, writer: WriterIdentity, context: &mut StepContext<'_>) {
        let at = context.at;
        if self.sent.is_none() && !self.pending.is_empty() {
            let rest = self.pending.iter().skip(MAX_BATCH_RECORDS);
            let atomic = rest.take_while(|pending| pending.joins_previous).count();
            let count = self.pending.len().min(MAX_BATCH_RECORDS) + atomic;
            let records = self.pending.drain(..count).collect();
            self.next_batch += 2;
            self.sent = Some(InFlightBatch {
                id: BatchId(self.next_batch),
                records,
                may_be_stored: false,
                resend_at: Some(at),
                first_sent_at: at,
            });
        }
        let Some(batch) = &mut self.sent else { return };
        if batch.resend_at.is_none_or(|resend_at| at < resend_at) {
            return;
        }
        batch.resend_at = None;
        let records = batch.records.iter().map(|pending| pending.record.clone());
        context.push(ControlEffect::Batch(BatchEffect::Write {
            batch: batch.id,
            writer,
            records: records.collect(),
            timeout: WRITE_TIMEOUT,
        }));
    }

    /// Handles the outcome of an append. Returns `None` if the batch is not the one in flight.
    ///
    /// Unless `should_retry` is set, a batch is dropped when all attempts to send it were refused.
    pub fn handle(
        &mut self,
        id: BatchId,
        outcome: WriteOutcome,
        should_retry: bool,
        at: ClockTime,
    ) -> Option<WriteSummary> {
        let batch = self.sent.as_mut().filter(|batch| batch.id == id)?;
        let mut summary = WriteSummary {
            elapsed: at.since(batch.first_sent_at),
            ..WriteSummary::default()
        };
        match outcome {
            WriteOutcome::Stored { offset } => {
                summary.is_stored = true;
                let records = batch.records.iter().map(|pending| pending.record.clone());
                summary.records = (offset..).zip(records).collect();
                summary.stored_callers = self.finish();
            }
            WriteOutcome::Fenced => {
                summary.is_fenced = true;
                summary.refused_callers = self.finish();
            }
            WriteOutcome::Refused | WriteOutcome::Undelivered => {
                if batch.may_be_stored || should_retry {
                    batch.resend_at = Some(at + RESEND_DELAY);
                } else {
                    summary.refused_callers = self.finish();
                }
            }
            WriteOutcome::Unknown => {
                batch.may_be_stored = true;
                batch.resend_at = Some(at);
            }
        }
        Some(summary)
    }

    fn finish(&mut self) -> Vec<CallerId> {
        let batch = self.sent.take();
        let records = batch.map(|batch| batch.records).unwrap_or_default();
        records
            .into_iter()
            .filter_map(|pending| pending.caller)
            .collect()
    }
}
