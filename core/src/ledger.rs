//! The state machine that every daemon derives from the control stream.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde_with::serde_as;

use crate::config::ResourceDemand;
use crate::config::TeamFile;
use crate::effect::JobEnd;
use crate::ids::ConfigVersion;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::JobId;
use crate::ids::LogOffset;
use crate::ids::RequestKey;
use crate::ids::ServiceName;
use crate::ids::TaskId;
use crate::ids::TeamName;
use crate::ids::TermNumber;
use crate::ids::WorkerName;
use crate::ids::WriterId;
use crate::job_index::JobIndex;
use crate::record::JobOrder;
use crate::record::LogRecord;
use crate::record::RecordBody;
use crate::record::RequestEnd;
use crate::units::ClockTime;
use crate::units::TimeSpan;

plain_data! {
    /// The phase of a job, as recorded in the log.
    #[serde(tag = "phase", rename_all = "snake_case")]
    pub enum JobPhase {
        /// Waiting for a placement.
        Queued,
        /// Allocated on its workers.
        Placed {
            /// The worker of each member, by member index.
            workers: Vec<WorkerName>,
            /// Time of the placement record.
            at: ClockTime,
        },
        /// Finished, failed, cancelled, refused or unknown. The phase is final.
        Ended {
            /// The final outcome, reported to the caller.
            end: JobEnd,
            /// Time of the record that ended the job.
            at: ClockTime,
        },
    }

    /// The state of an idempotency key.
    #[serde(tag = "state", rename_all = "snake_case")]
    pub enum KeyState {
        /// The key belongs to a job.
        Job {
            /// The job that was accepted with the key.
            job: JobId,
        },
        /// A request with the key may be running.
        Intent {
            /// The daemon that recorded the intent and sends the request.
            writer: WriterId,
        },
        /// The request has ended. After [`RequestEnd::NotRun`] the key can be used again.
        Done {
            /// Determines the response to a repeated request with the key.
            end: RequestEnd,
        },
    }
}

plain_data! {
    /// A job and its progress. Evicted [`RETENTION`](crate::key_rules::RETENTION) after its end.
    pub struct JobRecord {
        /// The submission. The payload is dropped when the job ends.
        pub order: JobOrder,
        /// Time of the acceptance record.
        pub accepted_at: ClockTime,
        /// The number of the latest attempt; 0 before the first.
        pub attempt: u32,
        /// Progress that the next attempt resumes from; never decreases.
        pub checkpoint: TimeSpan,
        /// The workers on which attempts failed, one entry per failure.
        pub failed_on: Vec<WorkerName>,
        /// Whether the caller has cancelled the job. A placed job stays placed until its attempt
        /// has ended.
        pub cancelled: bool,
        /// Changes only when a record of the log is applied.
        pub phase: JobPhase,
    }

    /// An entry of the idempotency key table.
    pub struct KeyEntry {
        /// The service that the key was first used for.
        pub service: ServiceName,
        /// Digest of the request body; 0 for jobs.
        pub digest: u64,
        /// Time of the first record with the key.
        pub at: ClockTime,
        /// Changes only when a record of the log is applied.
        pub state: KeyState,
    }

    /// The current term of the planner.
    #[derive(Default)]
    pub struct TermState {
        /// The current term; 0 before the first claim.
        pub number: TermNumber,
        /// The writer that holds the term; `None` when it was released or never claimed.
        pub holder: Option<WriterId>,
    }

    /// The committed team configuration, equal at all daemons that applied the same records.
    #[derive(Default)]
    pub struct ConfigState {
        /// Increases by 1 with each change; 0 before the first.
        pub version: ConfigVersion,
        /// The team files, by team.
        pub teams: IndexMap<TeamName, TeamFile>,
        /// The operator who made the last change.
        pub operator: String,
    }

    /// The recorded state of a failure domain.
    #[derive(Default)]
    pub struct DomainState {
        /// Whether an operator has taken the domain out of service.
        pub out: bool,
        /// Increases by 1 with each change; 0 before the first.
        pub version: u64,
        /// The operator who made the last change.
        pub operator: String,
    }

    /// The position of a writer in its own sequence of records.
    pub struct WriterPosition {
        /// Sequence number of its latest record.
        pub sequence: u64,
        /// Time of its latest record.
        pub at: ClockTime,
    }
}

/// The effect of a record on the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The record was valid and changed the ledger.
    Applied,
    /// The writer's sequence number was already applied, so the record was ignored. Also stands
    /// for a record that a loaded ledger covers, whose own effect is unknown.
    Duplicate,
    /// The record was invalid at its place in the log and changed nothing.
    Rejected(RejectReason),
    /// The record has an unknown kind or could not be decoded.
    Skipped,
}

/// Why a record was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The term is not the current one, the writer does not hold it, or another claim came first.
    StaleTerm,
    /// The record's base version is no longer the current one.
    VersionConflict {
        /// The operator who made the current version.
        operator: String,
        /// The version that a new change must be based on.
        version: u64,
    },
    /// The idempotency key is already in use.
    DuplicateKey,
    /// The job or request does not exist, or its state does not allow the record.
    WrongPhase,
}

/// The state derived from the control stream. It depends on the records alone, so daemons that have
/// applied the same offset hold equal ledgers.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct LedgerState {
    /// The offset of the next record to apply.
    pub next: LogOffset,
    /// The highest time of an applied record.
    pub clock: ClockTime,
    /// Number of records of an unknown kind or that could not be decoded.
    pub unknown_records: u64,
    /// The position of each writer. A record at or below it is a duplicate.
    #[serde_as(as = "Vec<(_, _)>")]
    pub writers: IndexMap<WriterId, WriterPosition>,
    /// The term of the planner.
    pub term: TermState,
    /// The current team configuration.
    pub config: ConfigState,
    /// The failure domains that have a record; all others are in service.
    pub domains: IndexMap<DomainName, DomainState>,
    /// All jobs that have not ended, and ended ones within the retention time.
    pub jobs: IndexMap<JobId, JobRecord>,
    /// The idempotency keys in use or within the retention time.
    pub keys: IndexMap<TeamName, IndexMap<RequestKey, KeyEntry>>,
    /// Ended jobs, ordered by their end.
    pub(crate) ended_jobs: VecDeque<(ClockTime, JobId)>,
    /// Keys, ordered by their first record; a key still in use at eviction moves to the back.
    #[serde(rename = "aging_keys")]
    pub(crate) keys_by_age: VecDeque<(ClockTime, TeamName, RequestKey)>,
    /// Keys with a kept body, ordered by their end.
    pub(crate) kept_bodies: VecDeque<(TeamName, RequestKey)>,
    /// Total size of the kept bodies, in bytes.
    pub(crate) kept_bytes: usize,
    /// Indexes over `jobs`, rebuilt after decoding.
    #[serde(skip)]
    pub(crate) index: JobIndex,
}

impl LedgerState {
    /// Returns the queued jobs, in order of acceptance.
    pub fn queued(&self) -> impl Iterator<Item = JobId> + '_ {
        self.index.queued.iter().copied()
    }

    /// Returns the placed jobs, in order of acceptance.
    pub fn placed(&self) -> impl Iterator<Item = JobId> + '_ {
        self.index.placed.iter().copied()
    }

    /// Returns the number of queued jobs.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.index.queued.len()
    }

    /// Returns the number of placed jobs.
    #[must_use]
    pub fn placed_count(&self) -> usize {
        self.index.placed.len()
    }

    /// Returns the number of queued jobs of a team.
    #[must_use]
    pub fn queued_count_of(&self, team: &TeamName) -> usize {
        self.index.queued_by_team.get(team).copied().unwrap_or(0)
    }

    /// Returns the tasks of placed jobs on a worker.
    pub fn tasks_on(&self, worker: &WorkerName) -> impl Iterator<Item = TaskId> + '_ {
        self.index.tasks.get(worker).into_iter().flatten().copied()
    }

    /// Returns the resources of a worker that placed jobs are allocated.
    #[must_use]
    pub fn allocated_on(&self, worker: &WorkerName) -> ResourceDemand {
        self.index
            .allocated
            .get(worker)
            .copied()
            .unwrap_or(NO_RESOURCES)
    }

    /// Returns an entry of the key table.
    #[must_use]
    pub fn key(&self, team: &TeamName, key: &RequestKey) -> Option<&KeyEntry> {
        self.keys.get(team)?.get(key)
    }

    /// Returns the number of entries in the key table.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys_by_age.len()
    }

    /// Returns whether the ledger has the failure domain out of service.
    #[must_use]
    pub fn is_domain_out(&self, domain: &DomainName) -> bool {
        self.domains.get(domain).is_some_and(|state| state.out)
    }

    /// Returns the version of a failure domain; 0 when it has never changed.
    #[must_use]
    pub fn domain_version(&self, domain: &DomainName) -> u64 {
        self.domains.get(domain).map_or(0, |state| state.version)
    }

    /// Returns whether the attempt of a task has ended. A job that is missing although its offset
    /// was applied has been evicted, so all of its attempts have ended.
    #[must_use]
    pub fn is_attempt_over(&self, task: &TaskId) -> bool {
        match self.jobs.get(&task.job) {
            None => task.job.0 < self.next.0,
            Some(record) if record.attempt > task.attempt => true,
            Some(record) => {
                record.attempt == task.attempt && !matches!(record.phase, JobPhase::Placed { .. })
            }
        }
    }

    /// Rebuilds the indexes, which are not encoded.
    pub fn rebuild_index(&mut self) {
        let mut index = JobIndex::default();
        for (job, record) in &self.jobs {
            index.insert(*job, record);
        }
        self.index = index;
    }

    /// Applies the record at `offset`, or skips it when it could not be decoded.
    pub fn apply(&mut self, offset: LogOffset, record: Option<&LogRecord>) -> RecordEffect {
        self.next = LogOffset(offset.0 + 1);
        let Some(record) = record else {
            self.unknown_records += 1;
            return RecordEffect::Skipped;
        };
        if self.is_duplicate(record) {
            return RecordEffect::Duplicate;
        }
        let position = WriterPosition {
            sequence: record.sequence,
            at: record.at,
        };
        self.writers.insert(record.writer.clone(), position);
        self.clock = self.clock.max(record.at);
        let effect = self.apply_body(offset, record);
        self.evict_expired();
        effect
    }

    fn is_duplicate(&self, record: &LogRecord) -> bool {
        self.writers
            .get(&record.writer)
            .is_some_and(|position| record.sequence <= position.sequence)
    }

    fn apply_body(&mut self, offset: LogOffset, record: &LogRecord) -> RecordEffect {
        match &record.body {
            RecordBody::TermClaimed { term, .. } => self.claim_term(*term, &record.writer),
            RecordBody::TermRenewed { term } => self.check_term(*term, &record.writer),
            RecordBody::TermReleased { term } => self.release_term(*term, &record.writer),
            RecordBody::JobAccepted { order } => self.accept_job(offset, record.at, order),
            RecordBody::JobCancelled { job } => self.cancel_job(*job, record.at),
            RecordBody::JobPlaced {
                term,
                job,
                attempt,
                workers,
            } => self
                .check_term(*term, &record.writer)
                .and_then(|| self.place_job(*job, *attempt, workers, record.at)),
            RecordBody::AttemptEnded {
                term,
                job,
                attempt,
                end,
                checkpoint,
            } => self
                .check_term(*term, &record.writer)
                .and_then(|| self.end_attempt(*job, *attempt, end, *checkpoint, record.at)),
            RecordBody::JobRefused { term, job, reason } => self
                .check_term(*term, &record.writer)
                .and_then(|| self.refuse_job(*job, reason, record.at)),
            RecordBody::RequestIntent {
                team,
                key,
                service,
                digest,
            } => self.record_intent(team, key, service, *digest, record),
            RecordBody::RequestDone { team, key, end } => {
                self.finish_request(team, key, end, &record.writer)
            }
            RecordBody::ConfigChanged {
                base,
                upsert,
                remove,
                operator,
            } => self.change_config(*base, upsert, remove, operator),
            RecordBody::DomainSet {
                domain,
                out,
                base,
                operator,
            } => self.set_domain(domain, *out, *base, operator),
            RecordBody::Unknown => {
                self.unknown_records += 1;
                RecordEffect::Skipped
            }
        }
    }

    fn claim_term(&mut self, term: TermNumber, writer: &WriterId) -> RecordEffect {
        if term.0 != self.term.number.0 + 1 {
            return RecordEffect::Rejected(RejectReason::StaleTerm);
        }
        self.term = TermState {
            number: term,
            holder: Some(writer.clone()),
        };
        RecordEffect::Applied
    }

    fn check_term(&self, term: TermNumber, writer: &WriterId) -> RecordEffect {
        if term == self.term.number && self.term.holder.as_ref() == Some(writer) {
            RecordEffect::Applied
        } else {
            RecordEffect::Rejected(RejectReason::StaleTerm)
        }
    }

    fn release_term(&mut self, term: TermNumber, writer: &WriterId) -> RecordEffect {
        let effect = self.check_term(term, writer);
        if effect == RecordEffect::Applied {
            self.term.holder = None;
        }
        effect
    }

    fn change_config(
        &mut self,
        base: ConfigVersion,
        upsert: &[TeamFile],
        remove: &[TeamName],
        operator: &str,
    ) -> RecordEffect {
        if base != self.config.version {
            return RecordEffect::Rejected(RejectReason::VersionConflict {
                operator: self.config.operator.clone(),
                version: self.config.version.0,
            });
        }
        for team in remove {
            self.config.teams.shift_remove(team);
        }
        for file in upsert {
            self.config.teams.insert(file.team.clone(), file.clone());
        }
        self.config.version = ConfigVersion(base.0 + 1);
        operator.clone_into(&mut self.config.operator);
        RecordEffect::Applied
    }

    fn set_domain(
        &mut self,
        domain: &DomainName,
        out: bool,
        base: u64,
        operator: &str,
    ) -> RecordEffect {
        let state = self.domains.entry(domain.clone()).or_default();
        if base != state.version {
            return RecordEffect::Rejected(RejectReason::VersionConflict {
                operator: state.operator.clone(),
                version: state.version,
            });
        }
        *state = DomainState {
            out,
            version: base + 1,
            operator: operator.to_owned(),
        };
        RecordEffect::Applied
    }
}

const NO_RESOURCES: ResourceDemand = ResourceDemand {
    slots: 0,
    accelerators: 0,
    cores: 0,
    memory_mib: 0,
};

impl RecordEffect {
    fn and_then(self, next: impl FnOnce() -> RecordEffect) -> RecordEffect {
        match self {
            RecordEffect::Applied => next(),
            other => other,
        }
    }
}

/// Returns the daemon that holds the term, if any.
#[must_use]
pub fn term_holder(ledger: &LedgerState) -> Option<&DaemonName> {
    ledger.term.holder.as_ref().map(|writer| &writer.daemon)
}
