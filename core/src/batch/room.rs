//! The room that is left on each worker while a round is planned.

use indexmap::IndexMap;

use crate::batch::job::StepDefinition;
use crate::batch::job::TaskDemand;
use crate::batch::placement::WorkerRoom;
use crate::batch::planner::PlannerState;
use crate::ids::WorkerName;
use crate::units::ClockTime;

/// Room on workers that is kept for a unit while other runs are stopped for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomClaim {
    /// When the claim was made.
    pub since: ClockTime,
    /// The workers, one for each task.
    pub workers: Vec<WorkerName>,
}

/// The room that is left on each worker.
#[derive(Debug)]
pub struct RoomTable<'a> {
    planner: &'a PlannerState,
    free: IndexMap<&'a WorkerName, TaskDemand>,
}

impl<'a> RoomTable<'a> {
    /// Creates the table from the runs that take room now.
    #[must_use]
    pub fn new(planner: &'a PlannerState) -> Self {
        let workers = planner.workers.iter();
        let free = workers.map(|(worker, life)| (worker, life.free()));
        Self {
            planner,
            free: free.collect(),
        }
    }

    /// Returns what is left of a worker.
    #[must_use]
    pub fn free(&self, worker: &WorkerName) -> TaskDemand {
        self.free.get(worker).copied().unwrap_or_default()
    }

    /// Takes over what a view shows after placements in it.
    pub fn update(&mut self, rooms: &[WorkerRoom<'a>]) {
        for room in rooms {
            self.free.insert(room.worker, room.free);
        }
    }

    /// Keeps the room of a claim from other units.
    pub fn withhold(&mut self, claim: &RoomClaim, step: &StepDefinition) {
        for worker in &claim.workers {
            if let Some(room) = self.free.get_mut(worker) {
                room.take(&step.room());
            }
        }
    }

    /// Gives the room of a claim to the unit that it is kept for.
    pub fn lend(&mut self, claim: &RoomClaim, step: &StepDefinition) {
        for worker in &claim.workers {
            let life = self.planner.workers.get(worker);
            if let (Some(room), Some(life)) = (self.free.get_mut(worker), life) {
                // Runs that are still stopping can take more than the claim has left.
                let whole = life.free();
                room.add(&step.room());
                room.cpu = room.cpu.min(whole.cpu);
                room.memory = room.memory.min(whole.memory);
                room.gpu = room.gpu.min(whole.gpu);
            }
        }
    }
}
