//! Ledger rules for idempotency keys, and eviction after the retention time.

use crate::ids::RequestKey;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::ids::WriterId;
use crate::ledger::JobPhase;
use crate::ledger::KeyEntry;
use crate::ledger::KeyState;
use crate::ledger::LedgerState;
use crate::ledger::RecordEffect;
use crate::ledger::RejectReason;
use crate::record::LogRecord;
use crate::record::RequestEnd;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Retention time of ended jobs, idempotency keys and inactive writers, measured by record times.
pub const RETENTION: TimeSpan = TimeSpan::from_secs(86_400);

/// Limit on the total size of kept answer bodies, in bytes. The oldest bodies are evicted first.
pub const KEPT_ANSWER_BYTES: usize = 16 << 20;

/// Table size above which inactive writers are evicted. 512 covers a few days at 110 restarts a
/// day.
const WRITER_TABLE_LIMIT: usize = 512;

impl LedgerState {
    pub(crate) fn insert_key(&mut self, team: &TeamName, key: &RequestKey, entry: KeyEntry) {
        self.keys_by_age
            .push_back((entry.at, team.clone(), key.clone()));
        self.keys
            .entry(team.clone())
            .or_default()
            .insert(key.clone(), entry);
    }

    pub(crate) fn record_intent(
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
            Some(entry) if entry.is_reusable() && entry.digest == digest => {
                entry.state = state;
                RecordEffect::Applied
            }
            Some(_) => RecordEffect::Rejected(RejectReason::DuplicateKey),
        }
    }

    pub(crate) fn finish_request(
        &mut self,
        team: &TeamName,
        key: &RequestKey,
        end: &RequestEnd,
        writer: &WriterId,
    ) -> RecordEffect {
        let entry = self.keys.get_mut(team).and_then(|keys| keys.get_mut(key));
        let Some(entry) = entry else {
            return RecordEffect::Rejected(RejectReason::WrongPhase);
        };
        if entry.state
            != (KeyState::Intent {
                writer: writer.clone(),
            })
        {
            return RecordEffect::Rejected(RejectReason::WrongPhase);
        }
        entry.state = KeyState::Done { end: end.clone() };
        if let RequestEnd::Answered {
            body: Some(body), ..
        } = end
        {
            self.kept_bytes += body.len();
            self.kept_bodies.push_back((team.clone(), key.clone()));
        }
        self.evict_old_bodies();
        RecordEffect::Applied
    }

    pub(crate) fn evict_old_bodies(&mut self) {
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

    pub(crate) fn evict_expired(&mut self) {
        let limit = self.clock - RETENTION;
        while self.ended_jobs.front().is_some_and(|(at, _)| *at < limit) {
            if let Some((_, job)) = self.ended_jobs.pop_front() {
                self.jobs.swap_remove(&job);
            }
        }
        while self
            .keys_by_age
            .front()
            .is_some_and(|(at, _, _)| *at < limit)
        {
            self.evict_oldest_key();
        }
        if self.writers.len() > WRITER_TABLE_LIMIT {
            self.writers.retain(|_, position| position.at >= limit);
        }
    }

    pub(crate) fn evict_oldest_key(&mut self) {
        let Some((at, team, key)) = self.keys_by_age.pop_front() else {
            return;
        };
        if self.is_key_in_use(&team, &key) {
            self.keys_by_age.push_back((self.clock, team, key));
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

    /// Returns whether a key belongs to a job that has not ended. Such a key is not evicted.
    pub(crate) fn is_key_in_use(&self, team: &TeamName, key: &RequestKey) -> bool {
        match self.key(team, key).map(|entry| &entry.state) {
            Some(KeyState::Job { job }) => self
                .jobs
                .get(job)
                .is_some_and(|record| !matches!(record.phase, JobPhase::Ended { .. })),
            _ => false,
        }
    }
}

impl KeyEntry {
    pub(crate) fn new(service: &ServiceName, digest: u64, at: ClockTime, state: KeyState) -> Self {
        Self {
            service: service.clone(),
            digest,
            at,
            state,
        }
    }

    /// Returns whether the key can be used again because its request never ran.
    pub(crate) fn is_reusable(&self) -> bool {
        matches!(
            self.state,
            KeyState::Done {
                end: RequestEnd::NotRun
            }
        )
    }

    pub(crate) fn take_body(&mut self) -> usize {
        match &mut self.state {
            KeyState::Done {
                end: RequestEnd::Answered { body, .. },
            } => body.take().map_or(0, |body| body.len()),
            _ => 0,
        }
    }
}
