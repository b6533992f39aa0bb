//! Time until which former holders of the planner's term may extend leases.

use mustardpath_core::batch::extension::ExtensionBound;
use mustardpath_core::batch::extension::MAX_EXTENSION_AGE;
use mustardpath_core::batch::record::RECORD_FORM;
use mustardpath_core::batch::record::TermRecord;
use mustardpath_core::ids::TermNumber;
use mustardpath_core::units::ClockTime;

/// Time at which the process that observes the term has loaded the topic.
const LOADED_AT: ClockTime = ClockTime(10_000);

/// Time at which the second term is claimed, long after the load.
const CLAIMED_AT: ClockTime = ClockTime(60_000);

/// Time of the record that follows, while the holder of the first term may extend leases.
const NEXT_AT: ClockTime = ClockTime(61_000);

fn record(term: u64, holder: Option<&str>) -> TermRecord {
    TermRecord {
        term: TermNumber(term),
        holder: holder.map(Into::into),
        incarnation: 1,
        form: RECORD_FORM,
    }
}

/// Returns a bound that knows term 4 of daemon `a` from a load, and the claim of term 5 by `b`.
fn bound_of_two_terms() -> ExtensionBound {
    let mut bound = ExtensionBound::default();
    bound.observe(&record(4, Some("a")), LOADED_AT);
    bound.observe(&record(5, Some("b")), CLAIMED_AT);
    assert_eq!(bound.ends_at(), CLAIMED_AT + MAX_EXTENSION_AGE);
    bound
}

/// Guards against a process that takes the only term that it has read for the first one.
#[test]
fn terms_before_a_load_count_as_claimed_away_just_now() {
    let mut bound = ExtensionBound::default();
    assert_eq!(bound.ends_at(), ClockTime(0));
    bound.observe(&record(4, Some("a")), LOADED_AT);
    assert_eq!(bound.ends_at(), LOADED_AT + MAX_EXTENSION_AGE);
    bound.observe(&record(4, None), CLAIMED_AT);
    assert_eq!(bound.ends_at(), LOADED_AT + MAX_EXTENSION_AGE);
}

/// Guards against a bound that forgets the holder before the last one (review/6), and against one
/// that adds a wait for a holder that extends no leases any more.
#[test]
fn a_holder_that_has_ended_leaves_the_bound_as_it_is() {
    let expected = CLAIMED_AT + MAX_EXTENSION_AGE;
    let mut bound = bound_of_two_terms();
    bound.observe(&record(5, Some("b")), NEXT_AT);
    assert_eq!(bound.ends_at(), expected, "renewal");
    bound.observe(&record(5, None), NEXT_AT);
    bound.observe(&record(6, Some("c")), NEXT_AT);
    assert_eq!(bound.ends_at(), expected, "claim after a release");

    let mut bound = bound_of_two_terms();
    bound.observe(&record(6, Some("b")), NEXT_AT);
    assert_eq!(bound.ends_at(), expected, "claim by the same daemon");
}

/// Guards against a holder that is taken to have ended although nothing shows it.
#[test]
fn a_holder_that_may_go_on_moves_the_bound() {
    let expected = NEXT_AT + MAX_EXTENSION_AGE;
    let mut bound = bound_of_two_terms();
    bound.observe(&record(6, Some("c")), NEXT_AT);
    assert_eq!(bound.ends_at(), expected, "claim by another daemon");

    let mut bound = bound_of_two_terms();
    bound.observe(&record(6, None), NEXT_AT);
    assert_eq!(bound.ends_at(), expected, "release by an unknown daemon");

    let mut bound = bound_of_two_terms();
    bound.observe(&record(7, Some("b")), NEXT_AT);
    assert_eq!(bound.ends_at(), expected, "claim after an unknown term");
}

/// Guards against a load of pages that are out of date, after which the newest claim looks like one
/// after an unknown term, or its daemon like the holder of the term before.
#[test]
fn an_older_term_changes_nothing() {
    let mut bound = bound_of_two_terms();
    bound.observe(&record(4, Some("a")), NEXT_AT);
    assert_eq!(bound.ends_at(), CLAIMED_AT + MAX_EXTENSION_AGE);
    bound.observe(&record(5, None), NEXT_AT);
    bound.observe(&record(6, Some("a")), NEXT_AT);
    assert_eq!(bound.ends_at(), CLAIMED_AT + MAX_EXTENSION_AGE);
}
