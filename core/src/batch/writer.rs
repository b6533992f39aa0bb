//! Appends to the batch topic: one batch in flight for each lane, resent until its fate is known.

use crate::batch::message::BatchEffect;
use crate::batch::message::WriteLane;
use crate::batch::message::WriteOutcome;
use crate::batch::record::BatchRecord;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::ids::BatchId;
use crate::ids::CallerId;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time for the answer of an append.
const WRITE_TIME: TimeSpan = TimeSpan(700);

/// Wait before an append is sent again.
const RESEND_WAIT: TimeSpan = TimeSpan(60);

/// Records after which a batch ends, as soon as the next one does not belong to the one before it. A
/// batch of the largest jobs stays below the store's limit of a call.
const BATCH_RECORDS: usize = 400;

/// One record that waits, with the caller who waits for it.
#[derive(Clone, Debug)]
pub struct WaitingRecord {
    /// The record.
    pub record: BatchRecord,
    /// The caller.
    pub caller: Option<CallerId>,
    /// Whether it is stored only together with the record before it.
    pub joined: bool,
}

/// A batch in flight.
#[derive(Clone, Debug)]
struct OpenBatch {
    batch: BatchId,
    records: Vec<WaitingRecord>,
    /// Whether an earlier sending may still be carried out.
    unclear: bool,
    /// When it is sent again, while no sending is in flight.
    resend: Option<ClockTime>,
    /// When it was first sent.
    since: ClockTime,
}

/// A lane of appends.
#[derive(Clone, Debug)]
pub struct WriteQueue {
    waiting: Vec<WaitingRecord>,
    open: Option<OpenBatch>,
    next_batch: u64,
}

/// What an ended append means.
#[derive(Debug, Default)]
pub struct WriteNews {
    /// Callers whose record is stored.
    pub stored: Vec<CallerId>,
    /// Callers whose record was refused and never sent otherwise.
    pub refused: Vec<CallerId>,
    /// Whether the batch is stored.
    pub is_stored: bool,
    /// Its records with their offsets.
    pub records: Vec<(u64, BatchRecord)>,
    /// Whether a newer epoch has written.
    pub is_fenced: bool,
    /// Time from the first sending of the batch until now.
    pub took: TimeSpan,
}

impl WriteQueue {
    /// Creates an empty lane. Lanes use disjoint batch numbers: even and odd ones.
    #[must_use]
    pub const fn new(first_batch: u64) -> Self {
        Self {
            waiting: Vec::new(),
            open: None,
            next_batch: first_batch,
        }
    }

    /// Adds a record.
    pub fn push(&mut self, record: BatchRecord, caller: Option<CallerId>) {
        self.waiting.push(WaitingRecord {
            record,
            caller,
            joined: false,
        });
    }

    /// Adds a record that is stored in the same append as the one that was added before it.
    ///
    /// Appends are all or nothing, so a successor never finds a part of such records.
    pub fn push_joined(&mut self, record: BatchRecord) {
        self.waiting.push(WaitingRecord {
            record,
            caller: None,
            joined: true,
        });
    }

    /// Returns the number of records that are not stored.
    #[must_use]
    pub fn len(&self) -> usize {
        let open = self.open.as_ref().map_or(0, |open| open.records.len());
        self.waiting.len() + open
    }

    /// Tells whether all records are stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns when the batch in flight was first sent.
    #[must_use]
    pub fn open_since(&self) -> Option<ClockTime> {
        self.open.as_ref().map(|open| open.since)
    }

    /// Drops records that were never sent while the batch in flight has been open for longer than
    /// `patience`, and returns their callers.
    pub fn drop_waiting(&mut self, at: ClockTime, patience: TimeSpan) -> Vec<CallerId> {
        let since = self.open_since();
        if since.is_none_or(|since| at.since(since) <= patience) {
            return Vec::new();
        }
        let dropped = self.waiting.drain(..);
        dropped.filter_map(|waiting| waiting.caller).collect()
    }

    /// Forgets everything, when the planner's term has ended.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.open = None;
    }

    /// Sends the next batch, or the same one again when that is due.
    pub fn flush(&mut self, lane: WriteLane, context: &mut StepContext<'_>) {
        let at = context.at;
        if self.open.is_none() && !self.waiting.is_empty() {
            let rest = self.waiting.iter().skip(BATCH_RECORDS);
            let joined = rest.take_while(|waiting| waiting.joined).count();
            let count = self.waiting.len().min(BATCH_RECORDS) + joined;
            let records = self.waiting.drain(..count).collect();
            self.next_batch += 2;
            self.open = Some(OpenBatch {
                batch: BatchId(self.next_batch),
                records,
                unclear: false,
                resend: Some(at),
                since: at,
            });
        }
        let Some(open) = &mut self.open else { return };
        if open.resend.is_none_or(|resend| at < resend) {
            return;
        }
        open.resend = None;
        let records = open.records.iter().map(|waiting| waiting.record.clone());
        context.push(ControlEffect::Batch(BatchEffect::Write {
            batch: open.batch,
            lane,
            records: records.collect(),
            timeout: WRITE_TIME,
        }));
    }

    /// Takes the outcome of an append, or returns `None` when it belongs to no batch in flight.
    ///
    /// Without `keeps_trying`, a batch whose every sending was refused is given up.
    pub fn take(
        &mut self,
        batch: BatchId,
        outcome: WriteOutcome,
        keeps_trying: bool,
        at: ClockTime,
    ) -> Option<WriteNews> {
        let open = self.open.as_mut().filter(|open| open.batch == batch)?;
        let mut news = WriteNews {
            took: at.since(open.since),
            ..WriteNews::default()
        };
        match outcome {
            WriteOutcome::Stored { offset } => {
                news.is_stored = true;
                let records = open.records.iter().map(|waiting| waiting.record.clone());
                news.records = (offset..).zip(records).collect();
                news.stored = self.close();
            }
            WriteOutcome::Fenced => {
                news.is_fenced = true;
                news.refused = self.close();
            }
            WriteOutcome::Refused | WriteOutcome::Undelivered => {
                if open.unclear || keeps_trying {
                    open.resend = Some(at + RESEND_WAIT);
                } else {
                    news.refused = self.close();
                }
            }
            WriteOutcome::Unknown => {
                open.unclear = true;
                open.resend = Some(at);
            }
        }
        Some(news)
    }

    fn close(&mut self) -> Vec<CallerId> {
        let open = self.open.take();
        let records = open.map(|open| open.records).unwrap_or_default();
        records
            .into_iter()
            .filter_map(|waiting| waiting.caller)
            .collect()
    }
}
