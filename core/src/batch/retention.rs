//! Retention of ended jobs: the planner deletes their records from the batch topic.

use indexmap::IndexMap;

use crate::batch::job::JobKey;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::record::BatchRecord;
use crate::batch::record::RecordKey;
use crate::batch::state::BatchState;
use crate::batch::view::JobEntry;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time between scans for expired jobs.
const SCAN_INTERVAL: TimeSpan = TimeSpan(10_000);

/// Minimum retention of an ended job. A late retry of its submission must not be accepted as a new
/// job.
const MIN_RETENTION: TimeSpan = TimeSpan(300_000);

/// Maximum number of jobs deleted by one scan. More tombstones would delay the planner's other
/// records.
const MAX_JOBS_PER_SCAN: usize = 50;

/// The planner's state about ended jobs.
#[derive(Clone, Debug, Default)]
pub struct RetentionTracker {
    /// When this planner first found each job ended, or when it last wrote the job's tombstones.
    ended_at: IndexMap<JobKey, ClockTime>,
    /// When the next scan is due.
    next_scan_at: ClockTime,
}

/// Writes tombstones for the records of expired jobs. The retention is twice the time for which
/// callers may read an ended job.
pub fn tick(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let may_write = state.stopping.is_none() && state.is_view_current(at);
    let retention = TimeSpan(state.settings.job_status.0 * 2).max(MIN_RETENTION);
    let Some(planner) = state.planner.as_mut().filter(|_| may_write) else {
        return;
    };
    let tracker = &mut planner.retention;
    if at < tracker.next_scan_at {
        return;
    }
    tracker.next_scan_at = at + SCAN_INTERVAL;
    let jobs = &state.view.jobs;
    tracker.ended_at.retain(|job, _| jobs.contains_key(job));
    let mut removed = 0;
    for (job, entry) in jobs.iter().filter(|(_, entry)| entry.has_ended()) {
        let ended_at = tracker.ended_at.entry(*job).or_insert(at);
        if at.since(*ended_at) < retention || removed == MAX_JOBS_PER_SCAN {
            continue;
        }
        // Tombstones that are lost with the term are written again by the next planner.
        *ended_at = at;
        removed += 1;
        let queue = &mut state.planner_queue;
        queue.push(BatchRecord::tombstone(RecordKey::Phase(*job)), None);
        for key in record_keys(*job, entry) {
            queue.push_atomic(BatchRecord::tombstone(key));
        }
    }
    if removed > 0 {
        let line = format!("jobs={removed} outcome=forgotten");
        context.info(LogTarget::Plan, line);
    }
}

/// Returns the keys of an ended job's records, except for its phase. The definition comes last.
fn record_keys(job: JobKey, entry: &JobEntry) -> impl Iterator<Item = RecordKey> {
    let tasks = entry
        .undeleted_tasks
        .iter()
        .flat_map(move |((occurrence, step), count)| {
            let step = StepKey {
                job,
                occurrence: *occurrence,
                step: *step,
            };
            (0..*count).map(move |index| RecordKey::Task(TaskKey { step, index }))
        });
    tasks.chain([RecordKey::Cancel(job), RecordKey::Job(job)])
}
