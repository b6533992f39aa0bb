//! The outbox of records that this daemon appends: batching, retries and confirmation.
//!
//! One batch is in flight at a time, in order. A batch whose outcome is unknown or refused is sent
//! again with the same sequence numbers, and the ledger ignores duplicates. Only reading a record
//! back from the control stream confirms it.

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
use crate::ids::RequestKey;
use crate::ids::TeamName;
use crate::ids::WriterId;
use crate::record::LogRecord;
use crate::record::RECORD_VERSION;
use crate::record::RecordBody;
use crate::record::RequestEnd;
use crate::settings::LimitSettings;
use crate::settings::TimingSettings;
use crate::units::ClockTime;

/// Why a record was appended, and what waits for its confirmation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordPurpose {
    /// A claim, renewal or release of the planner's term.
    Term,
    /// A job submission. The offset of its record becomes the job's id.
    Submit {
        /// Gets an answer when the record is read back, or an error on an append timeout.
        caller: CallerId,
    },
    /// A cancellation of a job.
    Cancel {
        /// Gets an answer when the record is read back, or an error if a sent record is not
        /// confirmed within the append timeout.
        caller: CallerId,
        /// A job that this daemon's ledger held when the cancellation was requested.
        job: JobId,
    },
    /// A placement by the planner.
    Placement {
        /// The job whose members are all reserved.
        job: JobId,
        /// The attempt that the placement starts.
        attempt: u32,
    },
    /// The end of an attempt.
    AttemptEnd {
        /// The job of the attempt.
        job: JobId,
    },
    /// The planner's refusal of a job.
    Refusal,
    /// The intent of a non-repeatable request.
    Intent {
        /// The request that waits.
        request: RequestId,
    },
    /// The end of a non-repeatable request.
    RequestDone,
    /// A change of the configuration.
    Publish {
        /// The operator's exchange. It gets an error on an append timeout.
        caller: CallerId,
    },
    /// A change of a failure domain.
    Domain {
        /// The operator's exchange. Its time limit is separate from the append timeout.
        caller: CallerId,
    },
}

impl RecordPurpose {
    /// Returns whether the record can be refused when the outbox is full. Records that end work or
    /// keep the planner running are always accepted, because refusing them would free nothing.
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

#[derive(Clone, Debug)]
struct OutboxEntry {
    record: LogRecord,
    purpose: RecordPurpose,
    /// Whether a batch with the record was sent to the log at least once.
    was_sent: bool,
}

#[derive(Clone, Debug)]
struct InFlightBatch {
    batch: BatchId,
    count: usize,
}

/// The records of this daemon that it has not yet read back from the log.
#[derive(Clone, Debug)]
pub struct OutboxState {
    writer: WriterId,
    next_sequence: u64,
    next_batch: u64,
    entries: VecDeque<OutboxEntry>,
    /// Number of entries at the front that the log has acknowledged as stored.
    stored_count: usize,
    in_flight: Option<InFlightBatch>,
    not_before: ClockTime,
}

/// A record that left the outbox, confirmed or discarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedRecord {
    /// Why the record was appended.
    pub purpose: RecordPurpose,
    /// The record as it was appended.
    pub record: LogRecord,
}

impl OutboxState {
    /// Creates an empty outbox. Sequence numbers start at 1 for each incarnation of the writer.
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

    /// Returns the daemon and incarnation that sign the records.
    #[must_use]
    pub fn writer(&self) -> &WriterId {
        &self.writer
    }

    /// Returns the number of unconfirmed records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether all records are confirmed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a job submission can be added. The limit for jobs is half of the outbox,
    /// which leaves room for requests whose callers are waiting.
    #[must_use]
    pub fn has_room_for_job(&self, limits: &LimitSettings) -> bool {
        self.entries.len() < limits.outbox_records as usize / 2
    }

    /// Returns whether the outbox is below its limit.
    #[must_use]
    pub fn has_room(&self, limits: &LimitSettings) -> bool {
        self.entries.len() < limits.outbox_records as usize
    }

    /// Returns whether a record with this purpose is unconfirmed.
    #[must_use]
    pub fn contains(&self, purpose: &RecordPurpose) -> bool {
        self.entries.iter().any(|entry| entry.purpose == *purpose)
    }

    /// Returns the newest end of a request among the unconfirmed records.
    #[must_use]
    pub fn request_end(&self, team: &TeamName, key: &RequestKey) -> Option<&RequestEnd> {
        self.entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.record.body {
                RecordBody::RequestDone {
                    team: owner,
                    key: done,
                    end,
                } if owner == team && done == key => Some(end),
                _ => None,
            })
    }

    /// Adds a record with the next sequence number.
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

    /// Sends the next batch when none is in flight and the append interval has passed.
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

    /// Handles the outcome of a batch.
    pub fn handle_append_outcome(
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
                context.info(LogTarget::Log, "append outcome unknown; retrying the batch");
                self.not_before = context.at + timing.log_retry;
            }
        }
    }

    /// Removes and returns the entries up to `sequence`, which was read back from the log.
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

    /// Removes and returns new work that was added before `limit` and never sent to the log. No
    /// copy of these records exists elsewhere, so reporting them as "not run" is correct.
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

    /// Returns the purposes of sent records that were added before `limit` and that a caller or a
    /// request waits for.
    pub fn timed_out(&self, limit: ClockTime) -> impl Iterator<Item = &RecordPurpose> {
        self.entries
            .iter()
            .take_while(move |entry| entry.record.at < limit)
            .filter(|entry| entry.was_sent && entry.purpose.has_waiter())
            .map(|entry| &entry.purpose)
    }
}
