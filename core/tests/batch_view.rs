//! The materialized view of the batch topic.

use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::StepKey;
use mustardpath_core::batch::job::TaskKey;
use mustardpath_core::batch::record::BatchRecord;
use mustardpath_core::batch::record::TaskRecord;
use mustardpath_core::batch::view::BatchView;
use mustardpath_core::batch::view::ViewChange;

/// Returns a task record with the given attempt.
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

/// Guards against a record that is applied twice if it is read before its append is confirmed. The
/// planner then treated a placement whose record was still pending as withdrawn.
#[test]
fn a_record_read_before_its_confirmation_is_applied_once() {
    let mut view = BatchView::default();
    assert!(matches!(view.apply(7, &record(1)), ViewChange::Task(_)));
    assert_eq!(view.apply_confirmed(7, &record(1)), ViewChange::None);
}

/// Guards against a record that is applied twice if its append is confirmed before it is read.
#[test]
fn a_record_confirmed_before_it_is_read_is_applied_once() {
    let mut view = BatchView::default();
    let change = view.apply_confirmed(7, &record(1));
    assert!(matches!(change, ViewChange::Task(_)));
    assert_eq!(view.apply(7, &record(1)), ViewChange::None);
    assert!(matches!(view.apply(8, &record(2)), ViewChange::Task(_)));
}
