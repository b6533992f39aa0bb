//! The book of jobs, as it follows the batch topic.

use mustardpath_core::batch::book::BookChange;
use mustardpath_core::batch::book::JobBook;
use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::StepKey;
use mustardpath_core::batch::job::TaskKey;
use mustardpath_core::batch::record::BatchRecord;
use mustardpath_core::batch::record::TaskNote;

/// Returns the record of a task's attempt.
fn record(attempt: u32) -> BatchRecord {
    let step = StepKey {
        job: JobKey(1),
        occurrence: 0,
        step: 0,
    };
    let note = TaskNote {
        attempt,
        ..TaskNote::default()
    };
    BatchRecord::task(TaskKey { step, index: 0 }, note)
}

/// Guards against a record that counts twice when it is read before its append is confirmed. The
/// planner then took a placement whose record was still on its way for one that was withdrawn.
#[test]
fn a_record_that_is_read_before_its_confirmation_counts_once() {
    let mut book = JobBook::default();
    assert!(matches!(book.apply(7, &record(1)), BookChange::Task(_)));
    assert_eq!(book.apply_confirmed(7, &record(1)), BookChange::None);
}

/// Guards against a record that counts twice when its append is confirmed before it is read.
#[test]
fn a_record_that_is_confirmed_before_it_is_read_counts_once() {
    let mut book = JobBook::default();
    let change = book.apply_confirmed(7, &record(1));
    assert!(matches!(change, BookChange::Task(_)));
    assert_eq!(book.apply(7, &record(1)), BookChange::None);
    assert!(matches!(book.apply(8, &record(2)), BookChange::Task(_)));
}
