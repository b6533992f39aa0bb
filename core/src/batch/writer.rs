//! Appends to the batch topic: one batch in flight for each lane, resent until its fate is known.

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

/// Time for the answer of an append.
const WRITE_TIMEOUT: TimeSpan = TimeSpan(700);

/// Wait before an append is sent again.
const RESEND_DELAY: TimeSpan = TimeSpan(60);

/// Records after which a batch ends, as soon as the next one does not belong to the one before it. A
/// batch of the largest jobs stays below the store's limit of a call.
const MAX_BATCH_RECORDS: usize = 400;

/// One record that waits, with the caller who waits for it.
#[derive(Clone, Debug)]
pub struct PendingRecord {
    /// The record.
    pub record: BatchRecord,
    /// The caller.
    pub caller: Option<CallerId>,
    /// Whether it is stored only together with the record before it.
    pub joins_previous: bool,
}

/// A batch in flight.
#[derive(Clone, Debug)]
struct InFlightBatch {
    id: BatchId,
    records: Vec<PendingRecord>,
    /// Whether an earlier sending may still be carried out.
    may_be_stored: bool,
    /// When it is sent again, while no sending is in flight.
    resend_at: Option<ClockTime>,
    /// When it was first sent.
    first_sent_at: ClockTime,
}

/// A lane of appends.
#[derive(Clone, Debug)]
pub struct WriteQueue {
    pending: Vec<PendingRecord>,
    sent: Option<InFlightBatch>,
    next_batch: u64,
}

/// What an ended append means.
#[derive(Debug, Default)]
pub struct WriteSummary {
    /// Callers whose record is stored.
    pub stored_callers: Vec<CallerId>,
    /// Callers whose record was refused and never sent otherwise.
    pub refused_callers: Vec<CallerId>,
    /// Whether the batch is stored.
    pub is_stored: bool,
    /// Its records with their offsets.
    pub records: Vec<(u64, BatchRecord)>,
    /// Whether a newer epoch has written.
    pub is_fenced: bool,
    /// Time from the first sending of the batch until now.
    pub elapsed: TimeSpan,
}

impl WriteQueue {
    /// Creates an empty lane. Lanes use disjoint batch numbers: even and odd ones.
    #[must_use]
    pub const fn new(first_batch: u64) -> Self {
        Self {
            pending: Vec::new(),
            sent: None,
            next_batch: first_batch,
        }
    }

    /// Adds a record.
    pub fn push(&mut self, record: BatchRecord, caller: Option<CallerId>) {
        self.pending.push(PendingRecord {
            record,
            caller,
            joins_previous: false,
        });
    }

    /// Adds a record that is stored in the same append as the one that was added before it.
    ///
    /// Appends are all or nothing, so a successor never finds a part of such records.
    pub fn push_atomic(&mut self, record: BatchRecord) {
        self.pending.push(PendingRecord {
            record,
            caller: None,
            joins_previous: true,
        });
    }

    /// Returns the number of records that are not stored.
    #[must_use]
    pub fn len(&self) -> usize {
        let in_flight = self.sent.as_ref().map_or(0, |batch| batch.records.len());
        self.pending.len() + in_flight
    }

    /// Tells whether all records are stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns when the batch in flight was first sent.
    #[must_use]
    pub fn in_flight_since(&self) -> Option<ClockTime> {
        self.sent.as_ref().map(|batch| batch.first_sent_at)
    }

    /// Drops records that were never sent while the batch in flight has been open for longer than
    /// `patience`, and returns their callers.
    pub fn drop_pending(&mut self, at: ClockTime, timeout: TimeSpan) -> Vec<CallerId> {
        let since = self.in_flight_since();
        if since.is_none_or(|since| at.since(since) <= timeout) {
            return Vec::new();
        }
        let dropped = self.pending.drain(..);
        dropped.filter_map(|pending| pending.caller).collect()
    }

    /// Forgets everything, when the planner's term has ended.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.sent = None;
    }

    /// Sends the next batch, or the same one again when that is due.
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

    /// Takes the outcome of an append, or returns `None` when it belongs to no batch in flight.
    ///
    /// Without `should_retry`, a batch whose every sending was refused is given up.
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
