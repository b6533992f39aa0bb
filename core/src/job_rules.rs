//! Ledger rules for job records.

use crate::effect::JobEnd;
use crate::ids::JobId;
use crate::ids::LogOffset;
use crate::ids::WorkerName;
use crate::ledger::JobPhase;
use crate::ledger::JobRecord;
use crate::ledger::KeyEntry;
use crate::ledger::KeyState;
use crate::ledger::LedgerState;
use crate::ledger::RecordEffect;
use crate::ledger::RejectReason;
use crate::record::AttemptEnd;
use crate::record::JobOrder;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Number of failed attempts after which a repeatable job ends as failed. It is a constant and not
/// a setting because all daemons must apply the same rule.
pub const JOB_FAILURE_LIMIT: usize = 3;

impl LedgerState {
    pub(crate) fn accept_job(
        &mut self,
        offset: LogOffset,
        at: ClockTime,
        order: &JobOrder,
    ) -> RecordEffect {
        if self.key(&order.team, &order.key).is_some() {
            return RecordEffect::Rejected(RejectReason::DuplicateKey);
        }
        let job = JobId(offset.0);
        let record = JobRecord {
            order: order.clone(),
            accepted_at: at,
            attempt: 0,
            checkpoint: TimeSpan::default(),
            failed_on: Vec::new(),
            cancelled: false,
            phase: JobPhase::Queued,
        };
        let state = KeyState::Job { job };
        self.insert_key(
            &order.team,
            &order.key,
            KeyEntry::new(&order.service, 0, at, state),
        );
        self.index.insert(job, &record);
        self.jobs.insert(job, record);
        RecordEffect::Applied
    }

    pub(crate) fn set_phase(&mut self, job: JobId, phase: JobPhase) {
        let Some(record) = self.jobs.get_mut(&job) else {
            return;
        };
        self.index.remove(job, record);
        if let JobPhase::Ended { at, .. } = &phase {
            self.ended_jobs.push_back((*at, job));
            record.order.payload = String::new();
        }
        record.phase = phase;
        self.index.insert(job, record);
    }

    pub(crate) fn cancel_job(&mut self, job: JobId, at: ClockTime) -> RecordEffect {
        let Some(record) = self.jobs.get_mut(&job) else {
            return RecordEffect::Rejected(RejectReason::WrongPhase);
        };
        match record.phase {
            JobPhase::Queued => {
                self.set_phase(
                    job,
                    JobPhase::Ended {
                        end: JobEnd::Cancelled,
                        at,
                    },
                );
                RecordEffect::Applied
            }
            JobPhase::Placed { .. } => {
                record.cancelled = true;
                RecordEffect::Applied
            }
            JobPhase::Ended { .. } => RecordEffect::Rejected(RejectReason::WrongPhase),
        }
    }

    pub(crate) fn place_job(
        &mut self,
        job: JobId,
        attempt: u32,
        workers: &[WorkerName],
        at: ClockTime,
    ) -> RecordEffect {
        let Some(record) = self.jobs.get_mut(&job) else {
            return RecordEffect::Rejected(RejectReason::WrongPhase);
        };
        if record.phase != JobPhase::Queued || attempt <= record.attempt {
            return RecordEffect::Rejected(RejectReason::WrongPhase);
        }
        self.index.remove(job, record);
        record.attempt = attempt;
        record.phase = JobPhase::Placed {
            workers: workers.to_vec(),
            at,
        };
        self.index.insert(job, record);
        RecordEffect::Applied
    }

    pub(crate) fn end_attempt(
        &mut self,
        job: JobId,
        attempt: u32,
        end: &AttemptEnd,
        checkpoint: TimeSpan,
        at: ClockTime,
    ) -> RecordEffect {
        let Some(record) = self.jobs.get_mut(&job) else {
            return RecordEffect::Rejected(RejectReason::WrongPhase);
        };
        if !matches!(record.phase, JobPhase::Placed { .. }) || record.attempt != attempt {
            return RecordEffect::Rejected(RejectReason::WrongPhase);
        }
        record.checkpoint = record.checkpoint.max(checkpoint);
        if let AttemptEnd::Failed { worker, .. } = end {
            record.failed_on.push(worker.clone());
        }
        let phase = match record.end_after(end) {
            Some(end) => JobPhase::Ended { end, at },
            None => JobPhase::Queued,
        };
        self.set_phase(job, phase);
        RecordEffect::Applied
    }

    pub(crate) fn refuse_job(&mut self, job: JobId, reason: &str, at: ClockTime) -> RecordEffect {
        let is_queued = self
            .jobs
            .get(&job)
            .is_some_and(|record| record.phase == JobPhase::Queued);
        if !is_queued {
            return RecordEffect::Rejected(RejectReason::WrongPhase);
        }
        let end = JobEnd::Refused {
            reason: reason.to_owned(),
        };
        self.set_phase(job, JobPhase::Ended { end, at });
        RecordEffect::Applied
    }
}

impl JobRecord {
    /// Returns the final outcome of the job after an attempt, or `None` when the job is queued
    /// again.
    fn end_after(&self, end: &AttemptEnd) -> Option<JobEnd> {
        let is_repeatable = self.order.spec.repeatable;
        match end {
            AttemptEnd::Finished { result } => Some(JobEnd::Finished {
                result: result.clone(),
            }),
            AttemptEnd::Cancelled => Some(JobEnd::Cancelled),
            AttemptEnd::Unknown => Some(JobEnd::Unknown),
            AttemptEnd::NotStarted if self.cancelled => Some(JobEnd::Cancelled),
            AttemptEnd::NotStarted => None,
            AttemptEnd::Failed { reason, .. } => {
                let has_failed = !is_repeatable || self.failed_on.len() >= JOB_FAILURE_LIMIT;
                if has_failed {
                    Some(JobEnd::Failed {
                        reason: reason.clone(),
                    })
                } else {
                    self.cancelled.then_some(JobEnd::Cancelled)
                }
            }
            AttemptEnd::Lost { .. } | AttemptEnd::Preempted => {
                if self.cancelled {
                    Some(JobEnd::Cancelled)
                } else {
                    (!is_repeatable).then_some(JobEnd::Unknown)
                }
            }
        }
    }

    /// Returns the name of the phase, as callers see it.
    #[must_use]
    pub fn phase_name(&self) -> &'static str {
        match self.phase {
            JobPhase::Queued => "queued",
            JobPhase::Placed { .. } => "placed",
            JobPhase::Ended { .. } => "ended",
        }
    }
}
