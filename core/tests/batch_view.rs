//! The view of jobs, as it follows the batch topic.

use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::StepKey;
use mustardpath_core::batch::job::TaskKey;
use mustardpath_core::batch::record::BatchRecord;
use mustardpath_core::batch::record::TaskRecord;
use mustardpath_core::batch::view::BatchView;
use mustardpath_core::batch::view::ViewChange;

/// Returns the record of a task's attempt.
fn record(attempt: u32) -> BatchRecord {
    let step = StepKey {
        job: JobKey(1),
        occurrence: 0,
        step: 0,
    };
    let record = TaskRecord {
        attempt,
        ..TaskRecord::default()
    };
    BatchRecord::task(TaskKey { step, index: 0 }, record)
}

/// Guards against a record that counts twice when it is read before its append is confirmed. The
/// planner then took a placement whose record was still on its way for one that was withdrawn.
#[test]
fn a_record_read_before_its_confirmation_is_applied_once() {
    let mut view = BatchView::default();
    assert!(matches!(view.apply(7, &record(1)), ViewChange::Task(_)));
    assert_eq!(view.apply_confirmed(7, &record(1)), ViewChange::None);
}

/// Guards against a record that counts twice when its append is confirmed before it is read.
#[test]
fn a_record_confirmed_before_it_is_read_is_applied_once() {
    let mut view = BatchView::default();
    let change = view.apply_confirmed(7, &record(1));
    assert!(matches!(change, ViewChange::Task(_)));
    assert_eq!(view.apply(7, &record(1)), ViewChange::None);
    assert!(matches!(view.apply(8, &record(2)), ViewChange::Task(_)));
}
