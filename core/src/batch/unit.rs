//! Scheduling units: the waiting tasks of a step that are placed together, and their order.

use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::planner::PlannerState;
use crate::batch::record::TaskState;
use crate::batch::run_time_relation::RunTimeRelation;
use crate::batch::view::JobEntry;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time after its latest start for which a unit still counts as on time, because declared run times
/// are inexact.
const LATE_GRACE: TimeSpan = TimeSpan(1_000);

/// Time after its latest start from which a late unit is again ranked with the units that are on
/// time.
const LATE_LIMIT: TimeSpan = TimeSpan(12_000);

/// How long a unit waits for its preferred workers before it accepts any worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalityWait {
    /// Until preferred workers become free.
    Unlimited,
    /// While less than half of some resource is free.
    WhileBusy,
    /// Not at all: the unit would miss its objective or, if it is urgent, the bound on its start.
    Expired,
}

/// Sort key of the waiting units; the lowest is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnitRank {
    priority: u32,
    /// Whether the unit would borrow accelerators beyond its team's guarantee.
    is_borrowing: bool,
    is_late: bool,
    /// Ready time of a unit within a guarantee, latest start of any other.
    sort_time: ClockTime,
}

/// Waiting tasks of one step: all members of a gang, or any number of independent tasks.
#[derive(Clone, Debug)]
pub struct WaitingUnit<'a> {
    /// Step that the tasks belong to.
    pub key: StepKey,
    /// Definition of the step's job.
    pub definition: &'a JobDefinition,
    /// Definition of the step, within `definition`.
    pub step: &'a StepDefinition,
    /// The job's entry in the materialized view.
    pub entry: &'a JobEntry,
    /// Indexes of the tasks within the step.
    pub members: Vec<u32>,
    /// When the tasks became ready to run: the due time of the occurrence, or the acceptance of the
    /// job.
    pub ready_at: ClockTime,
    /// When the occurrence has to be complete to meet the objective.
    pub deadline: ClockTime,
    /// Whether the unit is urgent and within its team's guarantee.
    pub is_guaranteed: bool,
    /// How declared run times of the job's queue relate to true ones.
    pub relation: RunTimeRelation,
}

impl WaitingUnit<'_> {
    /// Returns the sort key.
    ///
    /// Urgent queues come first, and among them units within a guarantee in the order of their
    /// arrival. Units that can still meet their objective follow, the one with the earliest latest
    /// start first. Late units return to that order after `LATE_LIMIT`, so that a steady stream
    /// of others cannot starve them.
    #[must_use]
    pub fn rank(&self, at: ClockTime) -> UnitRank {
        let latest_start = self.latest_start();
        let is_late = at > latest_start + LATE_GRACE && at < latest_start + LATE_LIMIT;
        UnitRank {
            priority: self.definition.priority,
            is_borrowing: !self.is_guaranteed,
            is_late: is_late && !self.is_guaranteed,
            sort_time: if self.is_guaranteed {
                self.ready_at
            } else {
                latest_start
            },
        }
    }

    /// Returns the minimum number of tasks that must be placed together.
    #[must_use]
    pub const fn min_tasks(&self) -> u64 {
        if self.step.gang {
            self.step.count as u64
        } else {
            1
        }
    }

    /// Returns the longest chain of steps from this one on, by the expected run times.
    #[must_use]
    pub fn remaining_path(&self) -> TimeSpan {
        let steps = &self.definition.submission.steps;
        let first = self.key.step as usize;
        // Chains from this step to each later one; steps come after earlier ones only.
        let mut chains = vec![None; steps.len()];
        let mut longest = self.relation.expected(self.step.estimate);
        chains[first] = Some(longest);
        for (index, step) in steps.iter().enumerate().skip(first + 1) {
            let before = step
                .after
                .iter()
                .filter_map(|&earlier| chains[earlier as usize]);
            if let Some(before) = before.max() {
                let chain = before + self.relation.expected(step.estimate);
                chains[index] = Some(chain);
                longest = longest.max(chain);
            }
        }
        longest
    }

    /// Returns the latest time at which a start at full speed still meets the objective.
    #[must_use]
    pub fn latest_start(&self) -> ClockTime {
        self.deadline - self.relation.expected(self.step.estimate)
    }
}

/// Appends the waiting units of a job to `units`, in the order of its steps. Returns whether there
/// are any, or will be at the time of a later occurrence.
pub fn collect_waiting_units<'a>(
    job: JobKey,
    entry: &'a JobEntry,
    planner: &PlannerState,
    at: ClockTime,
    units: &mut Vec<WaitingUnit<'a>>,
) -> bool {
    let Some(definition) = entry.open_definition() else {
        return false;
    };
    let count = units.len();
    let submission = &definition.submission;
    let relation = planner.run_times.relation(&definition.queue);
    let path = submission.critical_path_by(|step| relation.expected(step.estimate));
    let allowed_ms = path.0.saturating_mul(definition.stretch) / 1_000;
    for occurrence in 0..submission.occurrence_count() {
        let due_at = submission.scheduled_at(occurrence);
        if due_at.is_some_and(|due_at| due_at > at) {
            return true;
        }
        let ready_at = due_at.unwrap_or(definition.accepted_at);
        let deadline = ready_at + TimeSpan(allowed_ms) + definition.target;
        for (index, step) in (0_u32..).zip(&submission.steps) {
            let key = StepKey {
                job,
                occurrence,
                step: index,
            };
            let is_blocked = step.after.iter().any(|&earlier| {
                let dependency = StepKey {
                    step: earlier,
                    ..key
                };
                let count = submission.steps[earlier as usize].count;
                !entry.is_step_done(&dependency, count)
            });
            if is_blocked {
                continue;
            }
            let members = waiting_members(key, step, definition, entry, planner);
            if !members.is_empty() {
                units.push(WaitingUnit {
                    key,
                    definition,
                    step,
                    entry,
                    members,
                    ready_at,
                    deadline,
                    is_guaranteed: false,
                    relation,
                });
            }
        }
    }
    units.len() > count
}

fn waiting_members(
    key: StepKey,
    step: &StepDefinition,
    definition: &JobDefinition,
    entry: &JobEntry,
    planner: &PlannerState,
) -> Vec<u32> {
    let records = entry.steps.get(&(key.occurrence, key.step));
    let records = records.map_or(&[][..], Vec::as_slice);
    let is_waiting = |index: &u32| {
        let may_run = records.get(*index as usize).is_none_or(|record| {
            record.state == TaskState::Waiting
                && (step.long_running || !record.is_exhausted(definition.max_attempts))
        });
        let task = TaskKey {
            step: key,
            index: *index,
        };
        may_run && planner.is_settled(&task)
    };
    if step.gang {
        let is_complete = (0..step.count).all(|index| is_waiting(&index));
        let count = if is_complete { step.count } else { 0 };
        return (0..count).collect();
    }
    (0..step.count).filter(is_waiting).collect()
}
