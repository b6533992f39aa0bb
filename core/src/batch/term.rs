//! Election of the planner: claiming, renewing and releasing its term.

use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::batch::adoption;
use crate::batch::extension::ExtensionBound;
use crate::batch::fitness::VmResources;
use crate::batch::message::StreamChange;
use crate::batch::message::StreamRecord;
use crate::batch::message::WriterIdentity;
use crate::batch::planner::PlannerState;
use crate::batch::record::BatchRecord;
use crate::batch::record::RECORD_FORM;
use crate::batch::record::RecordValue;
use crate::batch::record::TermRecord;
use crate::batch::state::BatchState;
use crate::batch::writer::WriteSummary;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::DaemonName;
use crate::ids::TermNumber;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time without a record from the planner after which other daemons claim the next term.
const ELECTION_TIMEOUT: TimeSpan = TimeSpan(1_000);

/// Number of response times of the store by which the election timeout is longer. The records of a
/// healthy planner are late when the store is slow, and claims would make it slower.
const RESPONSE_TIME_FACTOR: u64 = 3;

/// Longest extension of the election timeout.
const MAX_ELECTION_EXTENSION: TimeSpan = TimeSpan(3_000);

/// Time for which the response time of an append is taken for that of the store.
const RESPONSE_TIME_AGE: TimeSpan = TimeSpan(5_000);

/// Time without a record of its own after which the planner renews its term.
const RENEWAL_INTERVAL: TimeSpan = TimeSpan(300);

/// Claim delay per rank. Different delays make concurrent claims rare.
const RANK_DELAY: TimeSpan = TimeSpan(70);

const RANK_COUNT: u64 = 6;

/// Claim delay of a daemon with a slow connection to the store.
const HIGH_LATENCY_DELAY: TimeSpan = TimeSpan(400);

/// Round trip to the store above which the connection counts as slow.
const HIGH_ROUND_TRIP: TimeSpan = TimeSpan(25);

/// Time after which a claim that was not read back from the topic is dropped.
const CLAIM_TIMEOUT: TimeSpan = TimeSpan(2_500);

/// Increment of the term at the first claim that is written in the compact form. Daemons of an older
/// version cannot read it and claim the term after the last that they have read, so the store
/// refuses their claims and a planner never works with records that it cannot read.
const FORM_CHANGE_STEP: u64 = 2;

/// A daemon's election state that is not part of the materialized view.
#[derive(Clone, Debug, Default)]
pub struct ElectionState {
    /// When a record written by a planner was last read.
    last_write_at: ClockTime,
    /// The pending claim and when it was made.
    claim: Option<(TermNumber, ClockTime)>,
    /// The newest term that this process has held. A process never holds the same term twice.
    last_held_term: TermNumber,
    /// Time until which former holders of the term may extend leases.
    extension_bound: ExtensionBound,
    /// Whether this daemon was the planner until it reloaded the topic.
    can_reclaim: bool,
    /// Sequence number of the next append in the claimed or held term.
    next_sequence: u64,
    /// Whether the newest term record has a form that this daemon cannot read.
    is_form_unknown: bool,
    /// Response time of this daemon's last append for callers, and when it ended.
    last_append: (TimeSpan, ClockTime),
}

impl ElectionState {
    /// Returns whether a claim is pending.
    #[must_use]
    pub const fn is_claimed(&self) -> bool {
        self.claim.is_some()
    }

    /// Records that the holder of a term has written to the topic.
    ///
    /// Records that follow the release of a term do not count: they would delay the next claim until
    /// the process of the former holder has ended.
    pub fn record_planner_write(&mut self, at: ClockTime) {
        self.last_write_at = at;
    }

    /// Records whether the newest term record has a form that this daemon cannot read.
    pub fn set_form_unknown(&mut self, is_unknown: bool) {
        self.is_form_unknown = is_unknown;
    }

    /// Records that a term record was read or loaded.
    pub fn observe_term(&mut self, record: &TermRecord, at: ClockTime) {
        self.extension_bound.observe(record, at);
    }

    /// Returns the time until which former holders of the term may extend leases.
    #[must_use]
    pub const fn extensions_end_at(&self) -> ClockTime {
        self.extension_bound.ends_at()
    }

    /// Lets the next claim skip the election timeout, because this daemon was the planner.
    pub fn allow_reclaim(&mut self) {
        self.can_reclaim = true;
    }

    /// Records the response time of an append.
    pub fn record_append(&mut self, summary: &WriteSummary, at: ClockTime) {
        self.last_append = (summary.elapsed, at);
    }

    /// Advances the sequence number after a stored append of the planner.
    pub fn handle_write(&mut self, summary: &WriteSummary) {
        if summary.is_stored {
            self.next_sequence += 1;
        }
    }
}

/// Returns the writer identity of the claimed or held term, or `None` without one.
#[must_use]
pub fn writer_identity(state: &BatchState) -> Option<WriterIdentity> {
    let held_term = state.planner.as_ref().map(|planner| planner.term);
    let claimed_term = state.election.claim.map(|(term, _)| term);
    held_term
        .or(claimed_term)
        .map(|term| WriterIdentity::Planner {
            term,
            sequence: state.election.next_sequence,
        })
}

/// Renews the held term, drops an expired claim, or claims a vacant term.
pub fn tick(state: &mut BatchState, context: &mut StepContext<'_>) {
    if state.planner.is_some() {
        renew(state, context);
        return;
    }
    if let Some((term, since)) = state.election.claim {
        if context.at.since(since) > CLAIM_TIMEOUT {
            context.warn(
                LogTarget::Term,
                format!("term={term} outcome=claim_dropped"),
            );
            abandon_claim(state);
        }
        return;
    }
    if state.stopping.is_none() && can_claim(state, context.at) {
        claim(state, context);
    }
}

/// Handles a term record that was read from the topic.
pub fn handle_term_record(state: &mut BatchState, context: &mut StepContext<'_>) {
    let Some(record) = state.view.term.clone() else {
        return;
    };
    state.election.set_form_unknown(false);
    state.election.observe_term(&record, context.at);
    let is_own = record.incarnation == state.incarnation
        && record
            .holder
            .as_ref()
            .is_none_or(|holder| *holder == state.daemon);
    let held_term = state.planner.as_ref().map(|planner| planner.term);
    // A claim that is stored long after it was sent is still valid.
    let is_new = record.term > state.election.last_held_term && record.holder.is_some();
    if is_own && is_new && held_term.is_none() && state.stopping.is_none() {
        state.election.last_held_term = record.term;
        state.planner_queue.clear();
        state.election.claim = None;
        state.election.next_sequence = 1;
        context.info(
            LogTarget::Term,
            format!("term={} outcome=held", record.term),
        );
        context.update_metric(MetricName::TermsClaimed, 1);
        report_shortages(state, record.term, context);
        state.planner = Some(Box::new(PlannerState::new(record.term, context.at)));
        adoption::adopt(state, context);
        return;
    }
    if is_own && record.holder.is_none() && held_term == Some(record.term) {
        return end_released_term(state);
    }
    if !is_own
        && state
            .election
            .claim
            .is_some_and(|(term, _)| term <= record.term)
    {
        abandon_claim(state);
    }
}

/// Reports the resources of which the VM of a new planner has less than a planner needs.
fn report_shortages(state: &BatchState, term: TermNumber, context: &mut StepContext<'_>) {
    for shortage in VmResources::of(&state.settings).shortages() {
        let line = format!(
            "term={term} outcome=short_of_resource resource={} missing_permille={}",
            shortage.resource, shortage.missing_permille
        );
        context.warn(LogTarget::Term, line);
        context.update_metric(MetricName::PlannerShortages, 1);
    }
}

/// Stops planning, because the daemon no longer holds the newest term or has reloaded the topic.
pub fn resign(state: &mut BatchState, reason: &str, context: &mut StepContext<'_>) {
    if let Some(planner) = state.planner.take() {
        let line = format!("term={} outcome=lost reason={reason:?}", planner.term);
        context.warn(LogTarget::Term, line);
    }
    abandon_claim(state);
    state.election.last_write_at = context.at;
}

/// Stops planning if a response of the topic contains a newer term.
///
/// The response can also contain placements of this planner, which its successor has read before it
/// claimed the term. They must not be started when they are read back, so this comes first.
pub fn resign_if_replaced(
    state: &mut BatchState,
    records: &[StreamRecord],
    context: &mut StepContext<'_>,
) {
    let Some(term) = state.planner.as_ref().map(|planner| planner.term) else {
        return;
    };
    let is_newer_term = |record: &StreamRecord| match &record.change {
        StreamChange::Batch(batch) => {
            matches!(&batch.value, Some(RecordValue::Term(newer)) if newer.term > term)
        }
        StreamChange::UnknownTermForm { .. } => true,
        StreamChange::Unreadable { .. }
        | StreamChange::Catalog(_)
        | StreamChange::Domain { .. }
        | StreamChange::Worker { .. } => false,
    };
    if records.iter().any(is_newer_term) {
        resign(state, "the topic has a newer term", context);
    }
}

/// Releases the term before the process ends, so that a successor can claim without a timeout.
pub fn release(state: &mut BatchState, context: &mut StepContext<'_>) {
    let Some(planner) = &state.planner else {
        return;
    };
    context.info(
        LogTarget::Term,
        format!("term={} outcome=released", planner.term),
    );
    let record = TermRecord {
        term: planner.term,
        holder: None,
        incarnation: state.incarnation,
        form: RECORD_FORM,
    };
    state.planner_queue.push(BatchRecord::term(record), None);
}

/// Stops planning once the release is stored. The successor takes up everything that is not
/// recorded by then from the lists of the workers.
fn end_released_term(state: &mut BatchState) {
    state.planner = None;
    state.planner_queue.clear();
}

fn renew(state: &mut BatchState, context: &mut StepContext<'_>) {
    let is_renewal_due = context.at.since(state.election.last_write_at) >= RENEWAL_INTERVAL;
    if !is_renewal_due
        || !state.is_view_current(context.at)
        || !state.planner_queue.is_empty()
        || state.stopping.is_some()
    {
        return;
    }
    if let Some(planner) = &state.planner {
        let record = term_record(state, planner.term);
        state.planner_queue.push(record, None);
    }
}

fn claim(state: &mut BatchState, context: &mut StepContext<'_>) {
    let record = state.view.term.as_ref();
    let last = record.map_or(0, |record| record.term.0);
    let step = if record.is_some_and(|record| record.form >= RECORD_FORM) {
        1
    } else {
        FORM_CHANGE_STEP
    };
    let term = TermNumber(last.saturating_add(step));
    context.info(LogTarget::Term, format!("term={term} outcome=claiming"));
    state.election.can_reclaim = false;
    state.election.claim = Some((term, context.at));
    state.election.next_sequence = 0;
    state.planner_queue.clear();
    let record = term_record(state, term);
    state.planner_queue.push(record, None);
}

fn abandon_claim(state: &mut BatchState) {
    state.election.claim = None;
    state.planner_queue.clear();
}

fn term_record(state: &BatchState, term: TermNumber) -> BatchRecord {
    BatchRecord::term(TermRecord {
        term,
        holder: Some(state.daemon.clone()),
        incarnation: state.incarnation,
        form: RECORD_FORM,
    })
}

/// Returns whether this daemon may claim the term now.
///
/// Only confirmed reads count as silence of the planner; a read without a response does not.
fn can_claim(state: &BatchState, at: ClockTime) -> bool {
    let reader = &state.batch_reader;
    let (Some(healthy_since), Some(confirmed_at)) = (reader.healthy_since(), reader.confirmed_at())
    else {
        return false;
    };
    if !reader.is_loaded() || state.election.is_form_unknown {
        return false;
    }
    if state.election.can_reclaim {
        return true;
    }
    let silent_time = confirmed_at.since(state.election.last_write_at.max(healthy_since));
    let holder = state
        .view
        .term
        .as_ref()
        .and_then(|term| term.holder.as_ref());
    // An earlier process of this daemon can no longer act on a term that it held.
    let has_ended = holder.is_none_or(|holder| *holder == state.daemon);
    let timeout = if has_ended {
        TimeSpan(0)
    } else {
        ELECTION_TIMEOUT + election_extension(state, at)
    };
    silent_time >= timeout + claim_delay(state)
}

/// Returns by how much the election timeout is longer, from the response time of this daemon's own
/// appends.
fn election_extension(state: &BatchState, at: ClockTime) -> TimeSpan {
    let (response_time, ended_at) = state.election.last_append;
    let is_recent = at.since(ended_at) <= RESPONSE_TIME_AGE;
    let last = if is_recent {
        response_time
    } else {
        TimeSpan(0)
    };
    let waiting_since = state.intake_queue.in_flight_since();
    let waiting = waiting_since.map_or(TimeSpan(0), |since| at.since(since));
    let extension = last.max(waiting).0.saturating_mul(RESPONSE_TIME_FACTOR);
    TimeSpan(extension).min(MAX_ELECTION_EXTENSION)
}

fn claim_delay(state: &BatchState) -> TimeSpan {
    let term = state.view.term.as_ref().map_or(0, |record| record.term.0);
    let rank = rank(&state.daemon, term);
    let has_high_latency = state.batch_reader.round_trip() > HIGH_ROUND_TRIP;
    let latency_delay = if has_high_latency {
        HIGH_LATENCY_DELAY
    } else {
        TimeSpan(0)
    };
    TimeSpan(RANK_DELAY.0 * rank) + latency_delay + VmResources::of(&state.settings).claim_delay()
}

/// Ranks depend on the term, so that no daemon always claims first.
fn rank(daemon: &DaemonName, term: u64) -> u64 {
    hash(daemon, term) % RANK_COUNT
}

/// Returns an offset within a span, derived from the daemon's name, so that daemons act at
/// different times.
#[must_use]
pub fn stagger_offset(daemon: &DaemonName, span: TimeSpan) -> TimeSpan {
    TimeSpan(hash(daemon, 0) % span.0.max(1))
}

fn hash(daemon: &DaemonName, seed: u64) -> u64 {
    let mut hasher = XxHash64::with_seed(seed);
    hasher.write(daemon.as_str().as_bytes());
    hasher.finish()
}
