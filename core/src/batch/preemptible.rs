//! Upper bound on the capacity that urgent work can preempt.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::JobKey;
use crate::batch::job::TaskDemand;
use crate::batch::planner::PlannerState;
use crate::batch::unit::WaitingUnit;
use crate::ids::ServiceName;

/// Total capacity, by service, of the runs that an urgent unit may stop.
///
/// While only urgent work runs, the totals show at once that preemption cannot free enough.
#[derive(Debug, Default)]
pub struct PreemptibleCapacity<'a> {
    /// Capacity of runs of lower priority.
    lower_priority: IndexMap<&'a ServiceName, TaskDemand>,
    /// Capacity of urgent runs beyond the guarantees of their teams.
    borrowed: IndexMap<&'a ServiceName, TaskDemand>,
}

impl<'a> PreemptibleCapacity<'a> {
    /// Computes the totals over all runs.
    #[must_use]
    pub fn new(planner: &'a PlannerState, guaranteed_jobs: &IndexSet<JobKey>) -> Self {
        let mut capacity = Self::default();
        for worker in planner.workers.values() {
            let Some(entry) = &worker.entry else { continue };
            for (run, slot) in &worker.runs {
                let is_guaranteed = guaranteed_jobs.contains(&run.task.step.job);
                let totals = match slot.priority {
                    0 if is_guaranteed => continue,
                    0 => &mut capacity.borrowed,
                    _ => &mut capacity.lower_priority,
                };
                totals.entry(&entry.service).or_default().add(&slot.demand);
            }
        }
        capacity
    }

    /// Returns the upper bound on the capacity that a unit can preempt.
    #[must_use]
    pub fn available_to(&self, unit: &WaitingUnit<'_>) -> TaskDemand {
        let service = &unit.definition.service;
        let mut capacity = self
            .lower_priority
            .get(service)
            .copied()
            .unwrap_or_default();
        if unit.is_guaranteed {
            capacity.add(&self.borrowed.get(service).copied().unwrap_or_default());
        }
        capacity
    }
}
