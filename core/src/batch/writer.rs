//! Appends to the batch topic: one batch in flight per queue, resent until its outcome is known.

use crate::batch::message::BatchEffect;
use crate::batch::message::WriteOutcome;
use crate::batch::message::WriterIdentity;
use crate::batch::pacing::AppendPacing;
use crate::batch::record::BatchRecord;
use crate::batch::record::RecordKey;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::ids::BatchId;
use crate::ids::CallerId;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Minimum time for the response to an append for callers. An append that is sent again after it
/// can still be answered within the callers' timeout. A shorter time would double the appends of a
/// store that becomes slow.
pub const INTAKE_TIMEOUT: TimeSpan = TimeSpan(600);

/// Minimum time for the response to an append of the planner. It leaves time to send the append
/// again before other daemons miss the planner's records.
pub const PLANNER_TIMEOUT: TimeSpan = TimeSpan(700);

/// Maximum time for the response to an append. The store refuses appends that would wait for more
/// than 2 s.
const MAX_WRITE_TIMEOUT: TimeSpan = TimeSpan(2_800);

/// Time for the response to an append, relative to that of the one before.
const TIMEOUT_FACTOR: u64 = 2;

/// Delay before a refused append is sent again. It doubles with each refusal in a row, because the
/// store also refuses when too many appends wait.
const RESEND_DELAY: TimeSpan = TimeSpan(60);

/// Maximum number of doublings of [`RESEND_DELAY`].
const MAX_DELAY_DOUBLINGS: u32 = 3;

/// Maximum size of the records in a batch, exceeded only to keep atomic records together. It is
/// well below the store's limit of 2 MB for a request, and what has waited for a slow store mostly
/// goes in one append.
const MAX_BATCH_BYTES: usize = 1_000_000;

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
    /// When it was last sent.
    sent_at: ClockTime,
    /// Number of attempts without a response.
    unanswered: u32,
    /// Number of refusals in a row.
    refusals: u32,
    /// Number of its records that were read back, which follow each other in the topic.
    read_count: usize,
}

/// Queue of records of one writer.
#[derive(Clone, Debug)]
pub struct WriteQueue {
    pending: Vec<PendingRecord>,
    sent: Option<InFlightBatch>,
    next_batch: u64,
    /// Minimum time for the response to an append.
    timeout: TimeSpan,
    /// Whether the store rejected the last batch, so the next one has only one atomic group.
    is_split: bool,
    /// Pauses between appends; absent for the planner's.
    pacing: Option<AppendPacing>,
    /// Response time of the last stored append.
    response_time: TimeSpan,
    /// Offset after the last record that was stored.
    stored_end: u64,
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
    /// Records that were dropped because the store can never take them in one append.
    pub rejected_records: Vec<BatchRecord>,
    /// Whether the store fenced the append because a newer epoch has written.
    pub is_fenced: bool,
    /// Time since the batch was first sent.
    pub elapsed: TimeSpan,
}

impl WriteQueue {
    /// Creates an empty queue. The two queues use even and odd batch numbers, so that the numbers
    /// are unique within the daemon.
    #[must_use]
    pub const fn new(first_batch: u64, timeout: TimeSpan) -> Self {
        Self {
            pending: Vec::new(),
            sent: None,
            next_batch: first_batch,
            timeout,
            is_split: false,
            pacing: None,
            response_time: TimeSpan(0),
            stored_end: 0,
        }
    }

    /// Lets the queue pause between appends while the store is slow.
    #[must_use]
    pub fn with_pacing(mut self) -> Self {
        self.pacing = Some(AppendPacing::default());
        self
    }

    /// Returns the pause after the last append.
    #[must_use]
    pub fn pause(&self) -> TimeSpan {
        self.pacing.map_or(TimeSpan(0), |pacing| pacing.pause())
    }

    /// Returns the response time of the last stored append.
    #[must_use]
    pub const fn response_time(&self) -> TimeSpan {
        self.response_time
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

    /// Removes the record that a caller waits for, unless it was sent. Returns whether it was
    /// removed, so that it is certainly not stored.
    pub fn remove_unsent(&mut self, caller: CallerId) -> bool {
        let count = self.pending.len();
        self.pending
            .retain(|pending| pending.caller != Some(caller));
        self.pending.len() < count
    }

    /// Returns whether a record with this key was sent and may be stored or may yet be.
    #[must_use]
    pub fn has_sent(&self, key: RecordKey) -> bool {
        let batch = self.sent.as_ref();
        batch.is_some_and(|batch| {
            batch
                .records
                .iter()
                .any(|pending| pending.record.key == key)
        })
    }

    /// Returns whether a record with this key may be stored: it was sent, and the store has not
    /// refused each attempt so far.
    #[must_use]
    pub fn may_have_stored(&self, key: RecordKey) -> bool {
        let batch = self.sent.as_ref();
        let is_open = batch.is_some_and(|batch| batch.may_be_stored || batch.resend_at.is_none());
        is_open && self.has_sent(key)
    }

    /// Returns whether a record with this key waits, or was sent and may be stored.
    #[must_use]
    pub fn contains(&self, key: RecordKey) -> bool {
        self.has_sent(key) || self.pending.iter().any(|pending| pending.record.key == key)
    }

    /// Discards all records, including the batch in flight, when the planner's term ends.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.sent = None;
    }

    /// Sends the next batch, or resends the one in flight when its delay has passed.
    pub fn flush(&mut self, writer: WriterIdentity, context: &mut StepContext<'_>) {
        let at = context.at;
        let may_send = self.pacing.is_none_or(|pacing| pacing.may_send(at));
        if self.sent.is_none() && !self.pending.is_empty() && may_send {
            let count = if self.is_split {
                group_length(&self.pending, 1)
            } else {
                batch_length(&self.pending)
            };
            let records = self.pending.drain(..count).collect();
            self.next_batch += 2;
            self.sent = Some(InFlightBatch {
                id: BatchId(self.next_batch),
                records,
                may_be_stored: false,
                resend_at: Some(at),
                first_sent_at: at,
                sent_at: at,
                unanswered: 0,
                refusals: 0,
                read_count: 0,
            });
        }
        let Some(batch) = &mut self.sent else { return };
        if batch.resend_at.is_none_or(|resend_at| at < resend_at) {
            return;
        }
        batch.resend_at = None;
        batch.sent_at = at;
        let timeout = TimeSpan(self.response_time.0 * TIMEOUT_FACTOR).max(self.timeout);
        let doublings = batch.unanswered.min(MAX_DELAY_DOUBLINGS);
        let timeout = TimeSpan(timeout.0 << doublings).min(MAX_WRITE_TIMEOUT);
        let records = batch.records.iter().map(|pending| pending.record.clone());
        context.push(ControlEffect::Batch(BatchEffect::Write {
            batch: batch.id,
            writer,
            records: records.collect(),
            timeout,
        }));
    }

    /// Handles a record that was read from the topic. Returns a summary if it is the last record of
    /// the batch in flight, which is then stored although its append may not be answered.
    ///
    /// Only this queue appends these records, so an equal record after the last stored one belongs
    /// to the batch. A job's record can come from another daemon that accepted the same job, which
    /// is as good.
    pub fn handle_read(
        &mut self,
        offset: u64,
        record: &BatchRecord,
        at: ClockTime,
    ) -> Option<WriteSummary> {
        let batch = self.sent.as_mut()?;
        if offset < self.stored_end {
            return None;
        }
        let is_next = |count: usize| {
            let pending = batch.records.get(count);
            pending.is_some_and(|pending| pending.record == *record)
        };
        batch.read_count = if is_next(batch.read_count) {
            batch.read_count + 1
        } else {
            usize::from(is_next(0))
        };
        if batch.read_count < batch.records.len() {
            return None;
        }
        let first = (offset + 1).saturating_sub(batch.records.len() as u64);
        Some(self.finish_stored(first, at))
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
            WriteOutcome::Stored { offset } => return Some(self.finish_stored(offset, at)),
            WriteOutcome::Fenced => {
                summary.is_fenced = true;
                summary.refused_callers = self.finish();
            }
            WriteOutcome::Refused | WriteOutcome::Undelivered => {
                if let (Some(pacing), WriteOutcome::Refused) = (&mut self.pacing, outcome) {
                    pacing.record_refusal(at);
                }
                if batch.may_be_stored || should_retry {
                    let doublings = batch.refusals.min(MAX_DELAY_DOUBLINGS);
                    let delay = TimeSpan(RESEND_DELAY.0 << doublings);
                    let pause = self.pacing.map_or(TimeSpan(0), |pacing| pacing.pause());
                    batch.resend_at = Some(at + delay.max(pause));
                    batch.refusals += 1;
                } else {
                    summary.refused_callers = self.finish();
                }
            }
            WriteOutcome::Rejected => {
                // Attempts with an unknown outcome had the same content, so none was stored.
                let records = std::mem::take(&mut batch.records);
                self.sent = None;
                if group_length(&records, 1) < records.len() {
                    self.is_split = true;
                    self.pending.splice(..0, records);
                } else {
                    let callers = records.iter().filter_map(|pending| pending.caller);
                    summary.refused_callers = callers.collect();
                    let records = records.into_iter().map(|pending| pending.record);
                    summary.rejected_records = records.collect();
                }
            }
            WriteOutcome::Unknown => {
                batch.may_be_stored = true;
                batch.resend_at = Some(at);
                batch.unanswered += 1;
                batch.refusals = 0;
            }
        }
        Some(summary)
    }

    /// Ends the batch in flight, which is stored from the given offset on.
    fn finish_stored(&mut self, offset: u64, at: ClockTime) -> WriteSummary {
        let Some(batch) = &self.sent else {
            return WriteSummary::default();
        };
        self.is_split = false;
        let elapsed = at.since(batch.first_sent_at);
        // After a resend it is unknown which attempt was stored. The next timeout allows for the
        // first one. A single lost response does not count as a slow store.
        let last_time = at.since(batch.sent_at);
        let is_first = batch.unanswered == 0;
        self.response_time = if is_first { last_time } else { elapsed };
        if let Some(pacing) = &mut self.pacing {
            let is_slow = batch.unanswered > 1;
            pacing.record_response(if is_slow { elapsed } else { last_time }, at);
        }
        let records = batch.records.iter().map(|pending| pending.record.clone());
        let records: Vec<(u64, BatchRecord)> = (offset..).zip(records).collect();
        self.stored_end = offset + records.len() as u64;
        WriteSummary {
            is_stored: true,
            elapsed,
            records,
            stored_callers: self.finish(),
            ..WriteSummary::default()
        }
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

/// Returns the number of records of the next batch: those that fit, and the rest of an atomic
/// group that is begun.
fn batch_length(pending: &[PendingRecord]) -> usize {
    let mut bytes = 0;
    let fitting = pending.iter().take_while(|pending| {
        bytes += pending.record.max_bytes();
        bytes <= MAX_BATCH_BYTES
    });
    group_length(pending, fitting.count().max(1))
}

/// Returns the given number of records with the rest of the atomic group that it ends in.
fn group_length(pending: &[PendingRecord], count: usize) -> usize {
    let rest = pending.iter().skip(count);
    count + rest.take_while(|pending| pending.joins_previous).count()
}
