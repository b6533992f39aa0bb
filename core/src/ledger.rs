//! The state that every daemon derives from the control stream.

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
    /// Where a job stands in the ledger.
    #[serde(tag = "phase", rename_all = "snake_case")]
    pub enum JobPhase {
        /// Waits for a placement.
        Queued,
        /// Holds capacity on its workers.
        Placed {
            /// The worker of each member.
            workers: Vec<WorkerName>,
            /// The time of the placement record.
            at: ClockTime,
        },
        /// Over.
        Ended {
            /// How it ended.
            end: JobEnd,
            /// The time of the record that ended it.
            at: ClockTime,
        },
    }

    /// What became of an idempotency key.
    #[serde(tag = "state", rename_all = "snake_case")]
    pub enum KeyState {
        /// The key belongs to a job.
        Job {
            /// The job.
            job: JobId,
        },
        /// A request with the key may be running.
        Intent {
            /// The daemon that sends it.
            writer: WriterId,
        },
        /// The request has ended.
        Done {
            /// How.
            end: RequestEnd,
        },
    }
}

plain_data! {
    /// A job in the ledger.
    pub struct JobRecord {
        /// What was submitted.
        pub order: JobOrder,
        /// The time of the acceptance record.
        pub accepted_at: ClockTime,
        /// The last attempt; 0 before the first.
        pub attempt: u32,
        /// Progress that the next attempt starts from.
        pub checkpoint: TimeSpan,
        /// Workers on which attempts failed.
        pub failed_on: Vec<WorkerName>,
        /// Whether the caller has cancelled it.
        pub cancelled: bool,
        /// Where it stands.
        pub phase: JobPhase,
    }

    /// An idempotency key in the ledger.
    pub struct KeyEntry {
        /// The service.
        pub service: ServiceName,
        /// Digest of the request's body; 0 for jobs.
        pub digest: u64,
        /// The time of the first record with the key.
        pub at: ClockTime,
        /// What became of it.
        pub state: KeyState,
    }

    /// The planner's term.
    #[derive(Default)]
    pub struct TermState {
        /// The term; 0 before the first claim.
        pub number: TermNumber,
        /// The writer that holds it, or `None` when it was released or never claimed.
        pub holder: Option<WriterId>,
    }

    /// The configuration in force.
    #[derive(Default)]
    pub struct ConfigState {
        /// Its version; 0 before the first change.
        pub version: ConfigVersion,
        /// Team files by team.
        pub teams: IndexMap<TeamName, TeamFile>,
        /// Who made the last change.
        pub operator: String,
    }

    /// A failure domain in the ledger.
    #[derive(Default)]
    pub struct DomainState {
        /// Whether it is out.
        pub out: bool,
        /// Rises by 1 with each change.
        pub version: u64,
        /// Who made the last change.
        pub operator: String,
    }

    /// The last record of a writer.
    pub struct WriterPosition {
        /// Its sequence.
        pub sequence: u64,
        /// Its time.
        pub at: ClockTime,
    }
}

/// What a record did to the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// The record is in force.
    Applied,
    /// The record repeats an earlier one of its writer.
    Duplicate,
    /// The record is void and changed nothing.
    Rejected(RejectReason),
    /// The record's kind is not known, or its bytes could not be decoded.
    Skipped,
}

/// Why a record is void.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// Its term is not the current one, or its claim came second.
    StaleTerm,
    /// Another change came first.
    VersionConflict {
        /// The operator who made that change.
        operator: String,
        /// The version in force.
        version: u64,
    },
    /// The key was used before.
    DuplicateKey,
    /// The job is not known or not in the phase that the record needs.
    WrongPhase,
}

/// The state derived from the control stream.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct LedgerState {
    /// The offset of the next record.
    pub next: LogOffset,
    /// The highest time of a record.
    pub clock: ClockTime,
    /// Records whose kind was not known.
    pub unknown_records: u64,
    /// The last record of each writer.
    #[serde_as(as = "Vec<(_, _)>")]
    pub writers: IndexMap<WriterId, WriterPosition>,
    /// The planner's term.
    pub term: TermState,
    /// The configuration in force.
    pub config: ConfigState,
    /// Failure domains that were ever changed.
    pub domains: IndexMap<DomainName, DomainState>,
    /// Jobs that have not been forgotten.
    pub jobs: IndexMap<JobId, JobRecord>,
    /// Keys that have not been forgotten.
    pub keys: IndexMap<TeamName, IndexMap<RequestKey, KeyEntry>>,
    /// Ended jobs in the order of their end.
    pub(crate) ended_jobs: VecDeque<(ClockTime, JobId)>,
    /// Keys in the order of their first record.
    #[serde(rename = "aging_keys")]
    pub(crate) keys_by_age: VecDeque<(ClockTime, TeamName, RequestKey)>,
    /// Keys with a kept body in the order of their end.
    pub(crate) kept_bodies: VecDeque<(TeamName, RequestKey)>,
    /// Bytes of kept bodies.
    pub(crate) kept_bytes: usize,
    /// Indexes over `jobs`, rebuilt after decoding.
    #[serde(skip)]
    pub(crate) index: JobIndex,
}

impl LedgerState {
    /// Returns jobs that wait, in order of acceptance.
    pub fn queued(&self) -> impl Iterator<Item = JobId> + '_ {
        self.index.queued.iter().copied()
    }

    /// Returns jobs that hold capacity, in order of acceptance.
    pub fn placed(&self) -> impl Iterator<Item = JobId> + '_ {
        self.index.placed.iter().copied()
    }

    /// Returns the number of jobs that wait.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.index.queued.len()
    }

    /// Returns the number of jobs that hold capacity.
    #[must_use]
    pub fn placed_count(&self) -> usize {
        self.index.placed.len()
    }

    /// Returns the number of a team's jobs that wait.
    #[must_use]
    pub fn queued_count_of(&self, team: &TeamName) -> usize {
        self.index.queued_by_team.get(team).copied().unwrap_or(0)
    }

    /// Returns the tasks that placed jobs have on a worker.
    pub fn tasks_on(&self, worker: &WorkerName) -> impl Iterator<Item = TaskId> + '_ {
        self.index.tasks.get(worker).into_iter().flatten().copied()
    }

    /// Returns what placed jobs take from a worker.
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

    /// Returns the number of keys kept.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys_by_age.len()
    }

    /// Tells whether a failure domain is out by record.
    #[must_use]
    pub fn is_domain_out(&self, domain: &DomainName) -> bool {
        self.domains.get(domain).is_some_and(|state| state.out)
    }

    /// Returns the version of a failure domain; 0 when it never changed.
    #[must_use]
    pub fn domain_version(&self, domain: &DomainName) -> u64 {
        self.domains.get(domain).map_or(0, |state| state.version)
    }

    /// Tells whether a task belongs to an attempt that the ledger knows to be over.
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

    /// Rebuilds what is not encoded.
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

/// Returns the daemon that holds the term.
#[must_use]
pub fn term_holder(ledger: &LedgerState) -> Option<&DaemonName> {
    ledger.term.holder.as_ref().map(|writer| &writer.daemon)
}
