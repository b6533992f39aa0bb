//! The state that every daemon derives from the control stream.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use crate::record::AttemptEnd;
use crate::record::JobOrder;
use crate::record::LogRecord;
use crate::record::RecordBody;
use crate::record::RequestEnd;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Failed attempts after which a repeatable job ends as failed. Part of the ledger's rules, so it
/// is the same at every daemon and no setting.
pub const JOB_FAILURE_LIMIT: usize = 3;

/// Time that ended jobs, ended keys and silent writers are kept, by the times in the records.
pub const RETENTION: TimeSpan = TimeSpan::from_secs(86_400);

/// Bytes of answers kept for keys. The oldest bodies are dropped first.
pub const KEPT_ANSWER_BYTES: usize = 16 << 20;

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
    pub struct WriterMark {
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
    Repeated,
    /// The record is void and changed nothing.
    Void(VoidReason),
    /// The record's kind is not known, or its bytes could not be decoded.
    Skipped,
}

/// Why a record is void.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoidReason {
    /// Its term is not the current one, or its claim came second.
    StaleTerm,
    /// Another change came first.
    LostRace {
        /// The operator who made that change.
        winner: String,
        /// The version in force.
        version: u64,
    },
    /// The key was used before.
    KeyTaken,
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
    pub writers: IndexMap<WriterId, WriterMark>,
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
    ended_jobs: VecDeque<(ClockTime, JobId)>,
    /// Keys in the order of their first record.
    aging_keys: VecDeque<(ClockTime, TeamName, RequestKey)>,
    /// Keys with a kept body in the order of their end.
    kept_bodies: VecDeque<(TeamName, RequestKey)>,
    /// Bytes of kept bodies.
    kept_bytes: usize,
    /// Indexes over `jobs`, rebuilt after decoding.
    #[serde(skip)]
    index: JobIndex,
}

/// Indexes over the jobs, so that no event has to look at all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct JobIndex {
    queued: BTreeSet<JobId>,
    placed: BTreeSet<JobId>,
    waiting_by_team: BTreeMap<TeamName, usize>,
    tasks: BTreeMap<WorkerName, BTreeSet<TaskId>>,
    used: BTreeMap<WorkerName, ResourceDemand>,
}

impl JobIndex {
    fn insert(&mut self, job: JobId, record: &JobRecord) {
        match &record.phase {
            JobPhase::Queued => {
                self.queued.insert(job);
                *self
                    .waiting_by_team
                    .entry(record.order.team.clone())
                    .or_default() += 1;
            }
            JobPhase::Placed { workers, .. } => {
                self.placed.insert(job);
                self.insert_tasks(job, record, workers);
            }
            JobPhase::Ended { .. } => {}
        }
    }

    fn insert_tasks(&mut self, job: JobId, record: &JobRecord, workers: &[WorkerName]) {
        for (member, worker) in (0..).zip(workers) {
            let task = TaskId {
                job,
                attempt: record.attempt,
                member,
            };
            self.tasks.entry(worker.clone()).or_default().insert(task);
            self.used
                .entry(worker.clone())
                .or_default()
                .add(&record.order.spec.demand);
        }
    }

    fn remove(&mut self, job: JobId, record: &JobRecord) {
        match &record.phase {
            JobPhase::Queued => {
                self.queued.remove(&job);
                self.remove_waiting(&record.order.team);
            }
            JobPhase::Placed { workers, .. } => {
                self.placed.remove(&job);
                self.remove_tasks(job, record, workers);
            }
            JobPhase::Ended { .. } => {}
        }
    }

    fn remove_waiting(&mut self, team: &TeamName) {
        let Some(count) = self.waiting_by_team.get_mut(team) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.waiting_by_team.remove(team);
        }
    }

    fn remove_tasks(&mut self, job: JobId, record: &JobRecord, workers: &[WorkerName]) {
        for (member, worker) in (0..).zip(workers) {
            let task = TaskId {
                job,
                attempt: record.attempt,
                member,
            };
            let Some(tasks) = self.tasks.get_mut(worker) else {
                continue;
            };
            tasks.remove(&task);
            if tasks.is_empty() {
                self.tasks.remove(worker);
                self.used.remove(worker);
            } else if let Some(used) = self.used.get_mut(worker) {
                used.take(&record.order.spec.demand);
            }
        }
    }
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
    pub fn waiting_of(&self, team: &TeamName) -> usize {
        self.index.waiting_by_team.get(team).copied().unwrap_or(0)
    }

    /// Returns the tasks that placed jobs have on a worker.
    pub fn tasks_on(&self, worker: &WorkerName) -> impl Iterator<Item = TaskId> + '_ {
        self.index.tasks.get(worker).into_iter().flatten().copied()
    }

    /// Returns what placed jobs take from a worker.
    #[must_use]
    pub fn used_on(&self, worker: &WorkerName) -> ResourceDemand {
        self.index.used.get(worker).copied().unwrap_or(NOTHING)
    }

    /// Returns an entry of the key table.
    #[must_use]
    pub fn key(&self, team: &TeamName, key: &RequestKey) -> Option<&KeyEntry> {
        self.keys.get(team)?.get(key)
    }

    /// Returns the number of keys kept.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.aging_keys.len()
    }

    /// Tells whether a failure domain is out by record.
    #[must_use]
    pub fn is_out(&self, domain: &DomainName) -> bool {
        self.domains.get(domain).is_some_and(|state| state.out)
    }

    /// Returns the version of a failure domain; 0 when it never changed.
    #[must_use]
    pub fn domain_version(&self, domain: &DomainName) -> u64 {
        self.domains.get(domain).map_or(0, |state| state.version)
    }

    /// Tells whether a task belongs to an attempt that the ledger knows to be over.
    #[must_use]
    pub fn is_over(&self, task: &TaskId) -> bool {
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
        if self.is_repeated(record) {
            return RecordEffect::Repeated;
        }
        let mark = WriterMark {
            sequence: record.sequence,
            at: record.at,
        };
        self.writers.insert(record.writer.clone(), mark);
        self.clock = self.clock.max(record.at);
        let effect = self.apply_body(offset, record);
        self.forget_old();
        effect
    }

    fn is_repeated(&self, record: &LogRecord) -> bool {
        self.writers
            .get(&record.writer)
            .is_some_and(|mark| record.sequence <= mark.sequence)
    }

    fn apply_body(&mut self, offset: LogOffset, record: &LogRecord) -> RecordEffect {
        match &record.body {
            RecordBody::TermClaimed { term, .. } => self.claim(*term, &record.writer),
            RecordBody::TermRenewed { term } => self.check_term(*term, &record.writer),
            RecordBody::TermReleased { term } => self.release(*term, &record.writer),
            RecordBody::JobAccepted { order } => self.accept(offset, record.at, order),
            RecordBody::JobCancelled { job } => self.cancel(*job, record.at),
            RecordBody::JobPlaced {
                term,
                job,
                attempt,
                workers,
            } => self
                .check_term(*term, &record.writer)
                .and_then(|| self.place(*job, *attempt, workers, record.at)),
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
                .and_then(|| self.refuse(*job, reason, record.at)),
            RecordBody::RequestIntent {
                team,
                key,
                service,
                digest,
            } => self.intend(team, key, service, *digest, record),
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

    fn claim(&mut self, term: TermNumber, writer: &WriterId) -> RecordEffect {
        if term.0 != self.term.number.0 + 1 {
            return RecordEffect::Void(VoidReason::StaleTerm);
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
            RecordEffect::Void(VoidReason::StaleTerm)
        }
    }

    fn release(&mut self, term: TermNumber, writer: &WriterId) -> RecordEffect {
        let effect = self.check_term(term, writer);
        if effect == RecordEffect::Applied {
            self.term.holder = None;
        }
        effect
    }

    fn accept(&mut self, offset: LogOffset, at: ClockTime, order: &JobOrder) -> RecordEffect {
        if self.key(&order.team, &order.key).is_some() {
            return RecordEffect::Void(VoidReason::KeyTaken);
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

    fn insert_key(&mut self, team: &TeamName, key: &RequestKey, entry: KeyEntry) {
        self.aging_keys
            .push_back((entry.at, team.clone(), key.clone()));
        self.keys
            .entry(team.clone())
            .or_default()
            .insert(key.clone(), entry);
    }

    fn set_phase(&mut self, job: JobId, phase: JobPhase) {
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

    fn cancel(&mut self, job: JobId, at: ClockTime) -> RecordEffect {
        let Some(record) = self.jobs.get_mut(&job) else {
            return RecordEffect::Void(VoidReason::WrongPhase);
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
            JobPhase::Ended { .. } => RecordEffect::Void(VoidReason::WrongPhase),
        }
    }

    fn place(
        &mut self,
        job: JobId,
        attempt: u32,
        workers: &[WorkerName],
        at: ClockTime,
    ) -> RecordEffect {
        let Some(record) = self.jobs.get_mut(&job) else {
            return RecordEffect::Void(VoidReason::WrongPhase);
        };
        if record.phase != JobPhase::Queued || attempt <= record.attempt {
            return RecordEffect::Void(VoidReason::WrongPhase);
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

    fn end_attempt(
        &mut self,
        job: JobId,
        attempt: u32,
        end: &AttemptEnd,
        checkpoint: TimeSpan,
        at: ClockTime,
    ) -> RecordEffect {
        let Some(record) = self.jobs.get_mut(&job) else {
            return RecordEffect::Void(VoidReason::WrongPhase);
        };
        if !matches!(record.phase, JobPhase::Placed { .. }) || record.attempt != attempt {
            return RecordEffect::Void(VoidReason::WrongPhase);
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

    fn refuse(&mut self, job: JobId, reason: &str, at: ClockTime) -> RecordEffect {
        let queued = self
            .jobs
            .get(&job)
            .is_some_and(|record| record.phase == JobPhase::Queued);
        if !queued {
            return RecordEffect::Void(VoidReason::WrongPhase);
        }
        let end = JobEnd::Refused {
            reason: reason.to_owned(),
        };
        self.set_phase(job, JobPhase::Ended { end, at });
        RecordEffect::Applied
    }

    fn intend(
        &mut self,
        team: &TeamName,
        key: &RequestKey,
        service: &ServiceName,
        digest: u64,
        record: &LogRecord,
    ) -> RecordEffect {
        let state = KeyState::Intent {
            writer: record.writer.clone(),
        };
        match self.keys.get_mut(team).and_then(|keys| keys.get_mut(key)) {
            None => {
                let entry = KeyEntry::new(service, digest, record.at, state);
                self.insert_key(team, key, entry);
                RecordEffect::Applied
            }
            Some(entry) if entry.is_free_again() && entry.digest == digest => {
                entry.state = state;
                RecordEffect::Applied
            }
            Some(_) => RecordEffect::Void(VoidReason::KeyTaken),
        }
    }

    fn finish_request(
        &mut self,
        team: &TeamName,
        key: &RequestKey,
        end: &RequestEnd,
        writer: &WriterId,
    ) -> RecordEffect {
        let entry = self.keys.get_mut(team).and_then(|keys| keys.get_mut(key));
        let Some(entry) = entry else {
            return RecordEffect::Void(VoidReason::WrongPhase);
        };
        if entry.state
            != (KeyState::Intent {
                writer: writer.clone(),
            })
        {
            return RecordEffect::Void(VoidReason::WrongPhase);
        }
        entry.state = KeyState::Done { end: end.clone() };
        if let RequestEnd::Answered {
            body: Some(body), ..
        } = end
        {
            self.kept_bytes += body.len();
            self.kept_bodies.push_back((team.clone(), key.clone()));
        }
        self.drop_old_bodies();
        RecordEffect::Applied
    }

    fn drop_old_bodies(&mut self) {
        while self.kept_bytes > KEPT_ANSWER_BYTES {
            let Some((team, key)) = self.kept_bodies.pop_front() else {
                return;
            };
            let entry = self.keys.get_mut(&team).and_then(|keys| keys.get_mut(&key));
            if let Some(entry) = entry {
                self.kept_bytes -= entry.take_body();
            }
        }
    }

    fn change_config(
        &mut self,
        base: ConfigVersion,
        upsert: &[TeamFile],
        remove: &[TeamName],
        operator: &str,
    ) -> RecordEffect {
        if base != self.config.version {
            return RecordEffect::Void(VoidReason::LostRace {
                winner: self.config.operator.clone(),
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
            return RecordEffect::Void(VoidReason::LostRace {
                winner: state.operator.clone(),
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

    fn forget_old(&mut self) {
        let limit = self.clock - RETENTION;
        while self.ended_jobs.front().is_some_and(|(at, _)| *at < limit) {
            if let Some((_, job)) = self.ended_jobs.pop_front() {
                self.jobs.swap_remove(&job);
            }
        }
        while self
            .aging_keys
            .front()
            .is_some_and(|(at, _, _)| *at < limit)
        {
            self.forget_oldest_key();
        }
        if self.writers.len() > WRITERS_KEPT {
            self.writers.retain(|_, mark| mark.at >= limit);
        }
    }

    fn forget_oldest_key(&mut self) {
        let Some((at, team, key)) = self.aging_keys.pop_front() else {
            return;
        };
        if self.is_key_in_use(&team, &key) {
            self.aging_keys.push_back((self.clock, team, key));
            return;
        }
        let Some(keys) = self.keys.get_mut(&team) else {
            return;
        };
        if keys.get(&key).is_some_and(|entry| entry.at <= at)
            && let Some(mut entry) = keys.swap_remove(&key)
        {
            self.kept_bytes = self.kept_bytes.saturating_sub(entry.take_body());
        }
        if keys.is_empty() {
            self.keys.swap_remove(&team);
        }
    }

    /// A job keeps its key as long as it has not ended.
    fn is_key_in_use(&self, team: &TeamName, key: &RequestKey) -> bool {
        match self.key(team, key).map(|entry| &entry.state) {
            Some(KeyState::Job { job }) => self
                .jobs
                .get(job)
                .is_some_and(|record| !matches!(record.phase, JobPhase::Ended { .. })),
            _ => false,
        }
    }
}

/// Writers beyond which silent ones are forgotten: at 110 restarts a day, a few days' worth.
const WRITERS_KEPT: usize = 512;

const NOTHING: ResourceDemand = ResourceDemand {
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

impl KeyEntry {
    fn new(service: &ServiceName, digest: u64, at: ClockTime, state: KeyState) -> Self {
        Self {
            service: service.clone(),
            digest,
            at,
            state,
        }
    }

    /// Tells whether the key may be used once more because its request never ran.
    fn is_free_again(&self) -> bool {
        matches!(
            self.state,
            KeyState::Done {
                end: RequestEnd::NotRun
            }
        )
    }

    fn take_body(&mut self) -> usize {
        match &mut self.state {
            KeyState::Done {
                end: RequestEnd::Answered { body, .. },
            } => body.take().map_or(0, |body| body.len()),
            _ => 0,
        }
    }
}

impl JobRecord {
    /// Returns how the job ends after an attempt, or `None` when it goes back in the queue.
    fn end_after(&self, end: &AttemptEnd) -> Option<JobEnd> {
        let repeatable = self.order.spec.repeatable;
        match end {
            AttemptEnd::Finished { result } => Some(JobEnd::Finished {
                result: result.clone(),
            }),
            AttemptEnd::Cancelled => Some(JobEnd::Cancelled),
            AttemptEnd::Unknown => Some(JobEnd::Unknown),
            AttemptEnd::NotStarted if self.cancelled => Some(JobEnd::Cancelled),
            AttemptEnd::NotStarted => None,
            AttemptEnd::Failed { reason, .. } => {
                let over = !repeatable || self.failed_on.len() >= JOB_FAILURE_LIMIT;
                if over {
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
                    (!repeatable).then_some(JobEnd::Unknown)
                }
            }
        }
    }

    /// Returns the daemon-independent name of the phase.
    #[must_use]
    pub fn phase_name(&self) -> &'static str {
        match self.phase {
            JobPhase::Queued => "queued",
            JobPhase::Placed { .. } => "placed",
            JobPhase::Ended { .. } => "ended",
        }
    }
}

/// Returns the daemon that holds the term.
#[must_use]
pub fn holder(ledger: &LedgerState) -> Option<&DaemonName> {
    ledger.term.holder.as_ref().map(|writer| &writer.daemon)
}
