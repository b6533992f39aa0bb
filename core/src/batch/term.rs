//! The planner's term: watching the holder, claiming, renewing, releasing.

use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::batch::message::WriteLane;
use crate::batch::planner;
use crate::batch::planner::PlannerState;
use crate::batch::record::BatchRecord;
use crate::batch::record::TermRecord;
use crate::batch::state::BatchState;
use crate::batch::writer::WriteNews;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::DaemonName;
use crate::ids::TermNumber;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time without a record of the planner after which its term is claimed.
const SILENCE: TimeSpan = TimeSpan(1_000);

/// Time without a record after which the planner renews its term.
const RENEWAL: TimeSpan = TimeSpan(300);

/// Extra wait of each rank, so that two claims rarely meet.
const RANK_STEP: TimeSpan = TimeSpan(70);

/// Number of ranks.
const RANKS: u64 = 6;

/// Extra wait of a daemon with little processor time. It outlasts the steps in which the silence of
/// a planner shows, so that a daemon with more of it claims first.
const SMALL_WAIT: TimeSpan = TimeSpan(500);

/// Processor time from which a daemon can plan without falling behind, in thousandths of a core. A
/// planner of 350 busy workers takes about 0.11 of a core (docs/CAPACITY.md).
const PLANNER_SHARE: u32 = 200;

/// Extra wait of a daemon that is far from the store.
const FAR_WAIT: TimeSpan = TimeSpan(400);

/// Round trip to the store beyond which a daemon counts as far from it.
const FAR_ROUND_TRIP: TimeSpan = TimeSpan(25);

/// Time after which a claim that nobody heard of is dropped.
const CLAIM_TIME: TimeSpan = TimeSpan(2_500);

/// What a daemon knows of the term beyond the book.
#[derive(Clone, Debug, Default)]
pub struct TermWatch {
    /// When a record of a planner was last read.
    last_sign: ClockTime,
    /// The claim in flight and when it was made.
    claim: Option<(TermNumber, ClockTime)>,
    /// The newest term that this process has held. It takes no term twice.
    last_held: TermNumber,
    /// Whether this daemon held the term until the topic was loaded anew.
    reclaims: bool,
    /// Number of the next append of the term that is claimed or held.
    sequence: u64,
}

impl TermWatch {
    /// Tells whether a claim is in flight.
    #[must_use]
    pub const fn is_claimed(&self) -> bool {
        self.claim.is_some()
    }

    /// Notes that a planner has written.
    pub fn sign_of_life(&mut self, at: ClockTime) {
        self.last_sign = at;
    }

    /// Notes that the next claim need not wait, because this daemon was the planner.
    pub fn reclaim(&mut self) {
        self.reclaims = true;
    }

    /// Takes the outcome of an append of the planner's lane.
    pub fn written(&mut self, news: &WriteNews) {
        if news.is_stored {
            self.sequence += 1;
        }
    }
}

/// Returns the lane of the term that is claimed or held.
#[must_use]
pub fn lane(state: &BatchState) -> Option<WriteLane> {
    let held = state.planner.as_ref().map(|planner| planner.term);
    let claimed = state.term.claim.map(|(term, _)| term);
    held.or(claimed).map(|term| WriteLane::Planner {
        term,
        sequence: state.term.sequence,
    })
}

/// Claims, renews or releases the term when that is due.
pub fn tick(state: &mut BatchState, context: &mut StepContext<'_>) {
    if state.planner.is_some() {
        renew(state, context);
        return;
    }
    if let Some((term, since)) = state.term.claim {
        if context.at.since(since) > CLAIM_TIME {
            context.warn(
                LogTarget::Term,
                format!("term={term} outcome=claim_dropped"),
            );
            abandon(state);
        }
        return;
    }
    if state.stopping.is_none() && is_vacant(state) {
        claim(state, context);
    }
}

/// Takes a term record that was read back.
pub fn read_back(state: &mut BatchState, context: &mut StepContext<'_>) {
    let Some(record) = state.book.term.clone() else {
        return;
    };
    let is_mine =
        record.holder.as_ref() == Some(&state.daemon) && record.incarnation == state.incarnation;
    let held = state.planner.as_ref().map(|planner| planner.term);
    // A claim can be stored long after it was sent, and then it holds all the same.
    let is_new = record.term > state.term.last_held;
    if is_mine && is_new && held.is_none() && state.stopping.is_none() {
        state.term.last_held = record.term;
        state.planner_lane.clear();
        state.term.claim = None;
        state.term.sequence = 1;
        context.info(
            LogTarget::Term,
            format!("term={} outcome=held", record.term),
        );
        context.update_metric(MetricName::TermsClaimed, 1);
        state.planner = Some(Box::new(PlannerState::new(record.term, context.at)));
        planner::adopt(state, context);
        return;
    }
    if !is_mine && held.is_some_and(|term| term < record.term) {
        resign(state, "a newer term was read", context);
    }
    if !is_mine
        && state
            .term
            .claim
            .is_some_and(|(term, _)| term <= record.term)
    {
        abandon(state);
    }
}

/// Gives the term up because another daemon holds a newer one.
pub fn resign(state: &mut BatchState, reason: &str, context: &mut StepContext<'_>) {
    if let Some(planner) = state.planner.take() {
        let line = format!("term={} outcome=lost reason={reason:?}", planner.term);
        context.warn(LogTarget::Term, line);
    }
    abandon(state);
    state.term.last_sign = context.at;
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
    state.planner_lane.push(BatchRecord::term(record), None);
}

fn renew(state: &mut BatchState, context: &mut StepContext<'_>) {
    let is_quiet = context.at.since(state.term.last_sign) >= RENEWAL;
    if !is_quiet
        || !state.is_book_current(context.at)
        || !state.planner_lane.is_empty()
        || state.stopping.is_some()
    {
        return;
    }
    if let Some(planner) = &state.planner {
        let record = term_record(state, planner.term);
        state.planner_lane.push(record, None);
    }
}

fn claim(state: &mut BatchState, context: &mut StepContext<'_>) {
    let last = state.book.term.as_ref().map_or(0, |record| record.term.0);
    let term = TermNumber(last + 1);
    context.info(LogTarget::Term, format!("term={term} outcome=claiming"));
    state.term.reclaims = false;
    state.term.claim = Some((term, context.at));
    state.term.sequence = 0;
    state.planner_lane.clear();
    let record = term_record(state, term);
    state.planner_lane.push(record, None);
}

fn abandon(state: &mut BatchState) {
    state.term.claim = None;
    state.planner_lane.clear();
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
    let tail = &state.batch_tail;
    let (Some(healthy), Some(confirmed)) = (tail.healthy_since(), tail.confirmed()) else {
        return false;
    };
    if !tail.is_loaded() {
        return false;
    }
    if state.term.reclaims {
        return true;
    }
    let silence = confirmed.since(state.term.last_sign.max(healthy));
    let holder = state
        .book
        .term
        .as_ref()
        .and_then(|term| term.holder.as_ref());
    // A term that an earlier process of this daemon held has certainly ended.
    let is_over = holder.is_none_or(|holder| *holder == state.daemon);
    let base = if is_over { TimeSpan(0) } else { SILENCE };
    silence >= base + rank_wait(state)
}

fn rank_wait(state: &BatchState) -> TimeSpan {
    let term = state.book.term.as_ref().map_or(0, |record| record.term.0);
    let rank = rank(&state.daemon, term);
    let is_far = state.batch_tail.round_trip() > FAR_ROUND_TRIP;
    let far = if is_far { FAR_WAIT } else { TimeSpan(0) };
    let is_small = state.settings.cpu_share < PLANNER_SHARE;
    let small = if is_small { SMALL_WAIT } else { TimeSpan(0) };
    TimeSpan(RANK_STEP.0 * rank) + far + small
}

/// Ranks change with the term, so that no daemon is always the first.
fn rank(daemon: &DaemonName, term: u64) -> u64 {
    hash(daemon, term) % RANKS
}

/// Returns the part of a span that is the daemon's own, so that daemons act at different times.
#[must_use]
pub fn share(daemon: &DaemonName, span: TimeSpan) -> TimeSpan {
    TimeSpan(hash(daemon, 0) % span.0.max(1))
}

fn hash(daemon: &DaemonName, seed: u64) -> u64 {
    let mut hasher = XxHash64::with_seed(seed);
    hasher.write(daemon.as_str().as_bytes());
    hasher.finish()
}
