//! Records that this daemon appends: group commit, resend and read-back.
//!
//! One batch is in in_flight at a time, in order. A batch whose outcome is unknown or refused is was_sent
//! again with the same sequences, and the ledger voids a second copy. Only the read-back of a
//! record from the control stream confirms it.

use std::collections::VecDeque;

use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::event::AppendOutcome;
use crate::ids::BatchId;
use crate::ids::CallerId;
use crate::ids::JobId;
use crate::ids::RequestId;
use crate::ids::WriterId;
use crate::record::LogRecord;
use crate::record::RECORD_VERSION;
use crate::record::RecordBody;
use crate::settings::LimitSettings;
use crate::settings::TimingSettings;
use crate::units::ClockTime;

/// Who waits for a record's read-back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordPurpose {
    /// The planner's term.
    Term,
    /// A caller's job.
    Submit {
        /// The exchange.
        caller: CallerId,
    },
    /// A caller's cancellation.
    Cancel {
        /// The exchange.
        caller: CallerId,
        /// The job.
        job: JobId,
    },
    /// A placement of the planner.
    Placement {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// The end of an attempt.
    AttemptEnd {
        /// The job.
        job: JobId,
    },
    /// The planner's refusal of a job.
    Refusal,
    /// The intent of a request that may not be repeated.
    Intent {
        /// The request.
        request: RequestId,
    },
    /// The end of a request that may not be repeated.
    RequestDone,
    /// A change of configuration.
    Publish {
        /// The exchange.
        caller: CallerId,
    },
    /// A change of a failure domain.
    Domain {
        /// The exchange.
        caller: CallerId,
    },
}

impl RecordPurpose {
    /// Tells whether the record may be refused when the outbox is long. Records that end work or
    /// keep the planner going are always taken, since refusing them would free nothing.
    const fn is_admission(&self) -> bool {
        matches!(
            self,
            Self::Submit { .. } | Self::Intent { .. } | Self::Publish { .. } | Self::Domain { .. }
        )
    }

    const fn has_waiter(&self) -> bool {
        self.is_admission() || matches!(self, Self::Cancel { .. })
    }
}

/// A record on its way into the log.
#[derive(Clone, Debug)]
struct OutboxEntry {
    record: LogRecord,
    purpose: RecordPurpose,
    /// Whether a batch with it was handed to the log at least once.
    was_sent: bool,
}

/// A batch in in_flight.
#[derive(Clone, Debug)]
struct InFlightBatch {
    batch: BatchId,
    count: usize,
}

/// The records that this daemon has not yet read back.
#[derive(Clone, Debug)]
pub struct OutboxState {
    writer: WriterId,
    next_sequence: u64,
    next_batch: u64,
    entries: VecDeque<OutboxEntry>,
    /// Entries at the front that the log says it has stored_count.
    stored_count: usize,
    in_flight: Option<InFlightBatch>,
    not_before: ClockTime,
}

/// What became of a record that left the outbox.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRecord {
    /// Who waits for it.
    pub purpose: RecordPurpose,
    /// The record.
    pub record: LogRecord,
}

impl OutboxState {
    /// Creates an empty outbox.
    #[must_use]
    pub fn new(writer: WriterId) -> Self {
        Self {
            writer,
            next_sequence: 1,
            next_batch: 1,
            entries: VecDeque::new(),
            stored_count: 0,
            in_flight: None,
            not_before: ClockTime::default(),
        }
    }

    /// Returns the writer's name.
    #[must_use]
    pub fn writer(&self) -> &WriterId {
        &self.writer
    }

    /// Returns the number of records not yet read back.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether everything has been read back.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Tells whether a job may be added. New jobs are refused at half the limit, so that requests
    /// of pending callers still find room.
    #[must_use]
    pub fn has_room_for_job(&self, limits: &LimitSettings) -> bool {
        self.entries.len() < limits.outbox_records as usize / 2
    }

    /// Tells whether any new work may be added.
    #[must_use]
    pub fn has_room(&self, limits: &LimitSettings) -> bool {
        self.entries.len() < limits.outbox_records as usize
    }

    /// Tells whether a record with this purpose is on its way.
    #[must_use]
    pub fn contains(&self, purpose: &RecordPurpose) -> bool {
        self.entries.iter().any(|entry| entry.purpose == *purpose)
    }

    /// Adds a record.
    pub fn push(&mut self, at: ClockTime, body: RecordBody, purpose: RecordPurpose) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let writer = self.writer.clone();
        let record = LogRecord {
            version: RECORD_VERSION,
            writer,
            sequence,
            at,
            body,
        };
        self.entries.push_back(OutboxEntry {
            record,
            purpose,
            was_sent: false,
        });
    }

    /// Sends the next batch when none is in in_flight and the append interval has passed.
    pub fn flush(
        &mut self,
        timing: &TimingSettings,
        limits: &LimitSettings,
        context: &mut StepContext<'_>,
    ) {
        let pending = self.entries.len() - self.stored_count;
        if self.in_flight.is_some() || pending == 0 || context.at < self.not_before {
            return;
        }
        let count = pending.min(limits.batch_records as usize);
        let batch = BatchId(self.next_batch);
        self.next_batch += 1;
        let entries = self.entries.iter_mut().skip(self.stored_count).take(count);
        let records = entries
            .map(|entry| {
                entry.was_sent = true;
                entry.record.clone()
            })
            .collect();
        self.in_flight = Some(InFlightBatch { batch, count });
        self.not_before = context.at + timing.append_interval;
        context.update_metric(MetricName::RecordsAppended, count as u64);
        context.push(ControlEffect::Append { batch, records });
    }

    /// Takes the outcome of a batch.
    pub fn append_done(
        &mut self,
        batch: BatchId,
        outcome: AppendOutcome,
        timing: &TimingSettings,
        context: &mut StepContext<'_>,
    ) {
        let Some(in_flight) = self.in_flight.take_if(|in_flight| in_flight.batch == batch) else {
            return;
        };
        match outcome {
            AppendOutcome::Stored => {
                self.stored_count = (self.stored_count + in_flight.count).min(self.entries.len());
            }
            AppendOutcome::Refused => self.not_before = context.at + timing.log_retry,
            AppendOutcome::Unknown => {
                context.update_metric(MetricName::AppendsUnknown, 1);
                context.info(
                    LogTarget::Log,
                    "append outcome unknown; sending the batch again",
                );
                self.not_before = context.at + timing.log_retry;
            }
        }
    }

    /// Takes the entries up to `sequence`, which has been read back.
    pub fn confirm(&mut self, sequence: u64) -> Vec<ResolvedRecord> {
        let mut resolved = Vec::new();
        while let Some(entry) = self
            .entries
            .pop_front_if(|entry| entry.record.sequence <= sequence)
        {
            if self.stored_count > 0 {
                self.stored_count -= 1;
            } else if let Some(in_flight) = &mut self.in_flight {
                in_flight.count = in_flight.count.saturating_sub(1);
            }
            resolved.push(ResolvedRecord {
                purpose: entry.purpose,
                record: entry.record,
            });
        }
        resolved
    }

    /// Takes back new work that was added before `limit` and never handed to the log. Its refusal
    /// as "not run" is true, because no copy of the record exists elsewhere.
    pub fn discard_unsent(&mut self, limit: ClockTime) -> Vec<ResolvedRecord> {
        let is_expired = |entry: &OutboxEntry| {
            !entry.was_sent && entry.purpose.is_admission() && entry.record.at < limit
        };
        if !self.entries.iter().any(is_expired) {
            return Vec::new();
        }
        let (expired, remaining): (Vec<_>, Vec<_>) = self.entries.drain(..).partition(is_expired);
        self.entries = remaining.into();
        expired
            .into_iter()
            .map(|entry| ResolvedRecord {
                purpose: entry.purpose,
                record: entry.record,
            })
            .collect()
    }

    /// Returns was_sent records that someone waits for, added before `limit` and not read back.
    pub fn timed_out(&self, limit: ClockTime) -> impl Iterator<Item = &RecordPurpose> {
        self.entries
            .iter()
            .take_while(move |entry| entry.record.at < limit)
            .filter(|entry| entry.was_sent && entry.purpose.has_waiter())
            .map(|entry| &entry.purpose)
    }
}
