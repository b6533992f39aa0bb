//! What urgent work may take from other runs.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::JobKey;
use crate::batch::job::TaskDemand;
use crate::batch::planner::PlannerState;
use crate::batch::unit::WaitingUnit;
use crate::ids::ServiceName;

/// The room of all runs that an urgent unit may stop, by service.
///
/// While urgent work is all that runs, this tells at once that no choice of runs makes room.
#[derive(Debug, Default)]
pub struct StoppableRoom<'a> {
    /// Runs of lower priority.
    lower: IndexMap<&'a ServiceName, TaskDemand>,
    /// Urgent runs beyond the guarantees of their teams.
    lent: IndexMap<&'a ServiceName, TaskDemand>,
}

impl<'a> StoppableRoom<'a> {
    /// Adds the runs up.
    #[must_use]
    pub fn new(planner: &'a PlannerState, covered: &IndexSet<JobKey>) -> Self {
        let mut room = Self::default();
        for life in planner.workers.values() {
            let Some(entry) = &life.entry else { continue };
            for (run, slot) in &life.runs {
                let is_covered = covered.contains(&run.task.step.job);
                let sums = match slot.priority {
                    0 if is_covered => continue,
                    0 => &mut room.lent,
                    _ => &mut room.lower,
                };
                sums.entry(&entry.service).or_default().add(&slot.demand);
            }
        }
        room
    }

    /// Returns what a unit may take at most.
    #[must_use]
    pub fn of(&self, unit: &WaitingUnit<'_>) -> TaskDemand {
        let service = &unit.definition.service;
        let mut room = self.lower.get(service).copied().unwrap_or_default();
        if unit.covered {
            room.add(&self.lent.get(service).copied().unwrap_or_default());
        }
        room
    }
}
