//! The planner's term: watching the holder, claiming, renewing, releasing.

use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::batch::message::WriterIdentity;
use crate::batch::planner;
use crate::batch::planner::PlannerState;
use crate::batch::record::BatchRecord;
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

/// Time without a record of the planner after which its term is claimed.
const ELECTION_TIMEOUT: TimeSpan = TimeSpan(1_000);

/// Time without a record after which the planner renews its term.
const RENEWAL_INTERVAL: TimeSpan = TimeSpan(300);

/// Extra wait of each rank, so that two claims rarely meet.
const RANK_DELAY: TimeSpan = TimeSpan(70);

/// Number of ranks.
const RANK_COUNT: u64 = 6;

/// Extra wait of a daemon with little processor time. It outlasts the steps in which the silence of
/// a planner shows, so that a daemon with more of it claims first.
const LOW_CPU_DELAY: TimeSpan = TimeSpan(500);

/// Processor time from which a daemon can plan without falling behind, in thousandths of a core. A
/// planner of 350 busy workers takes about 0.11 of a core (docs/CAPACITY.md).
const PLANNER_MILLICORES: u32 = 200;

/// Extra wait of a daemon that is far from the store.
const HIGH_LATENCY_DELAY: TimeSpan = TimeSpan(400);

/// Round trip to the store beyond which a daemon counts as far from it.
const HIGH_ROUND_TRIP: TimeSpan = TimeSpan(25);

/// Time after which a claim that nobody heard of is dropped.
const CLAIM_TIMEOUT: TimeSpan = TimeSpan(2_500);

/// What a daemon knows of the term beyond the book.
#[derive(Clone, Debug, Default)]
pub struct ElectionState {
    /// When a record of a planner was last read.
    last_write_at: ClockTime,
    /// The claim in flight and when it was made.
    claim: Option<(TermNumber, ClockTime)>,
    /// The newest term that this process has held. It takes no term twice.
    last_held_term: TermNumber,
    /// Whether this daemon held the term until the topic was loaded anew.
    can_reclaim: bool,
    /// Number of the next append of the term that is claimed or held.
    next_sequence: u64,
}

impl ElectionState {
    /// Tells whether a claim is in flight.
    #[must_use]
    pub const fn is_claimed(&self) -> bool {
        self.claim.is_some()
    }

    /// Notes that a planner has written.
    pub fn record_planner_write(&mut self, at: ClockTime) {
        self.last_write_at = at;
    }

    /// Notes that the next claim need not wait, because this daemon was the planner.
    pub fn allow_reclaim(&mut self) {
        self.can_reclaim = true;
    }

    /// Takes the outcome of an append of the planner's lane.
    pub fn handle_write(&mut self, summary: &WriteSummary) {
        if summary.is_stored {
            self.next_sequence += 1;
        }
    }
}

/// Returns the lane of the term that is claimed or held.
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

/// Claims, renews or releases the term when that is due.
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
    if state.stopping.is_none() && is_vacant(state) {
        claim(state, context);
    }
}

/// Takes a term record that was read back.
pub fn handle_term_record(state: &mut BatchState, context: &mut StepContext<'_>) {
    let Some(record) = state.view.term.clone() else {
        return;
    };
    let is_mine =
        record.holder.as_ref() == Some(&state.daemon) && record.incarnation == state.incarnation;
    let held_term = state.planner.as_ref().map(|planner| planner.term);
    // A claim can be stored long after it was sent, and then it holds all the same.
    let is_new = record.term > state.election.last_held_term;
    if is_mine && is_new && held_term.is_none() && state.stopping.is_none() {
        state.election.last_held_term = record.term;
        state.planner_queue.clear();
        state.election.claim = None;
        state.election.next_sequence = 1;
        context.info(
            LogTarget::Term,
            format!("term={} outcome=held", record.term),
        );
        context.update_metric(MetricName::TermsClaimed, 1);
        state.planner = Some(Box::new(PlannerState::new(record.term, context.at)));
        planner::adopt(state, context);
        return;
    }
    if !is_mine && held_term.is_some_and(|term| term < record.term) {
        resign(state, "a newer term was read", context);
    }
    if !is_mine
        && state
            .election
            .claim
            .is_some_and(|(term, _)| term <= record.term)
    {
        abandon_claim(state);
    }
}

/// Gives the term up because another daemon holds a newer one.
pub fn resign(state: &mut BatchState, reason: &str, context: &mut StepContext<'_>) {
    if let Some(planner) = state.planner.take() {
        let line = format!("term={} outcome=lost reason={reason:?}", planner.term);
        context.warn(LogTarget::Term, line);
    }
    abandon_claim(state);
    state.election.last_write_at = context.at;
}

/// Releases the term before the process ends, so that a successor need not wait.
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
    };
    state.planner_queue.push(BatchRecord::term(record), None);
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
    let last = state.view.term.as_ref().map_or(0, |record| record.term.0);
    let term = TermNumber(last + 1);
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
    })
}

/// Silence counts only as far as the store has confirmed it: a read that hangs is no silence.
fn is_vacant(state: &BatchState) -> bool {
    let reader = &state.batch_reader;
    let (Some(healthy_since), Some(confirmed_at)) = (reader.healthy_since(), reader.confirmed_at())
    else {
        return false;
    };
    if !reader.is_loaded() {
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
    // A term that an earlier process of this daemon held has certainly ended.
    let has_ended = holder.is_none_or(|holder| *holder == state.daemon);
    let timeout = if has_ended {
        TimeSpan(0)
    } else {
        ELECTION_TIMEOUT
    };
    silent_time >= timeout + claim_delay(state)
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
    let has_low_cpu = state.settings.cpu_share < PLANNER_MILLICORES;
    let cpu_delay = if has_low_cpu {
        LOW_CPU_DELAY
    } else {
        TimeSpan(0)
    };
    TimeSpan(RANK_DELAY.0 * rank) + latency_delay + cpu_delay
}

/// Ranks change with the term, so that no daemon is always the first.
fn rank(daemon: &DaemonName, term: u64) -> u64 {
    hash(daemon, term) % RANK_COUNT
}

/// Returns the part of a span that is the daemon's own, so that daemons act at different times.
#[must_use]
pub fn stagger_offset(daemon: &DaemonName, span: TimeSpan) -> TimeSpan {
    TimeSpan(hash(daemon, 0) % span.0.max(1))
}

fn hash(daemon: &DaemonName, seed: u64) -> u64 {
    let mut hasher = XxHash64::with_seed(seed);
    hasher.write(daemon.as_str().as_bytes());
    hasher.finish()
}
