//! The room that is left on each worker while a round is planned.

use indexmap::IndexMap;

use crate::batch::job::StepDefinition;
use crate::batch::job::TaskDemand;
use crate::batch::life::WorkerLife;
use crate::batch::placement;
use crate::batch::placement::WorkerRoom;
use crate::batch::planner::PlannerState;
use crate::batch::state::BatchState;
use crate::batch::unit::WaitingUnit;
use crate::ids::ServiceName;
use crate::ids::WorkerName;
use crate::units::ClockTime;

/// Workers of each rack that are left to urgent work while other work can still wait.
const RESERVED_WORKERS: usize = 2;

/// Room on workers that is kept for a unit while other runs are stopped for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomClaim {
    /// When the claim was made.
    pub since: ClockTime,
    /// The workers, one for each task.
    pub workers: Vec<WorkerName>,
}

/// A worker that can get tasks in this round.
#[derive(Debug)]
struct RoomRow<'a> {
    service: &'a ServiceName,
    life: &'a WorkerLife,
    /// What its runs and this round's placements leave, and what else decides about places.
    room: WorkerRoom<'a>,
    /// What is kept for units with a claim. It can exceed what is left while runs are stopping.
    kept: TaskDemand,
}

/// The workers that can get tasks in this round, rack by rack, with the room that is left.
///
/// It is made once in a round; each unit looks at the part that is open to it.
#[derive(Debug)]
pub struct RoomTable<'a> {
    rows: Vec<RoomRow<'a>>,
    places: IndexMap<&'a WorkerName, usize>,
    /// What the workers of each service have left together.
    free: IndexMap<&'a ServiceName, TaskDemand>,
}

/// The workers that are open to one unit.
#[derive(Clone, Debug)]
pub struct UnitView<'a> {
    /// Their room.
    pub rooms: Vec<WorkerRoom<'a>>,
    /// Their rows in the table.
    rows: Vec<usize>,
}

impl<'a> RoomTable<'a> {
    /// Creates the table from the runs that take room now.
    #[must_use]
    pub fn new(state: &'a BatchState, planner: &'a PlannerState, at: ClockTime) -> Self {
        let usable = planner.workers.iter().filter_map(|(worker, life)| {
            let entry = life.entry.as_ref()?;
            let is_open = !state.domains_out.contains(&entry.domain) && life.is_usable(at);
            is_open.then_some((worker, life, entry))
        });
        let rows = usable.map(|(worker, life, entry)| {
            let room = WorkerRoom {
                worker,
                rack: &entry.rack,
                labels: &entry.labels,
                free: life.free(),
                capacity: entry.capacity,
                same_step: 0,
            };
            RoomRow {
                service: &entry.service,
                life,
                room,
                kept: TaskDemand::default(),
            }
        });
        let mut rows: Vec<RoomRow<'a>> = rows.collect();
        rows.sort_by_key(|row| row.room.rack);
        let places = rows.iter().enumerate();
        let places = places.map(|(place, row)| (row.room.worker, place));
        let mut free: IndexMap<&ServiceName, TaskDemand> = IndexMap::new();
        for row in &rows {
            free.entry(row.service).or_default().add(&row.room.free);
        }
        Self {
            places: places.collect(),
            rows,
            free,
        }
    }

    /// Returns what the workers of a service have left together, kept room included.
    #[must_use]
    pub fn free_of(&self, service: &ServiceName) -> TaskDemand {
        self.free.get(service).copied().unwrap_or_default()
    }

    /// Returns the workers of the unit's service.
    #[must_use]
    pub fn view(&self, unit: &WaitingUnit<'_>) -> UnitView<'a> {
        let rows = self.rows.iter().enumerate();
        let rows = rows.filter(|(_, row)| *row.service == unit.definition.service);
        let rows: Vec<usize> = rows.map(|(place, _)| place).collect();
        let room = |place: &usize| {
            let row = &self.rows[*place];
            let mut room = row.room.clone();
            room.free.subtract(&row.kept);
            if unit.step.spread.is_some() {
                room.same_step = row.life.runs_of(&unit.key);
            }
            room
        };
        UnitView {
            rooms: rows.iter().map(room).collect(),
            rows,
        }
    }

    /// Returns the runs of the workers in a view, with the worker's place in it.
    pub fn lives<'v>(
        &'v self,
        view: &'v UnitView<'a>,
    ) -> impl Iterator<Item = (usize, &'a WorkerLife)> + 'v {
        let rows = view.rows.iter().enumerate();
        rows.map(|(place, row)| (place, self.rows[*row].life))
    }

    /// Takes away what was placed on a worker.
    pub fn place(&mut self, worker: &WorkerName, step: &StepDefinition) {
        let Some(row) = self.row_mut(worker) else {
            return;
        };
        row.room.free.subtract(&step.reserved_demand());
        let service = row.service;
        if let Some(free) = self.free.get_mut(service) {
            free.subtract(&step.reserved_demand());
        }
    }

    /// Keeps room on workers, one place for each name, from other units.
    pub fn withhold(&mut self, workers: &[WorkerName], step: &StepDefinition) {
        for worker in workers {
            if let Some(row) = self.row_mut(worker) {
                row.kept.add(&step.reserved_demand());
            }
        }
    }

    /// Gives the room of a claim to the unit that it is kept for.
    pub fn lend(&mut self, workers: &[WorkerName], step: &StepDefinition) {
        for worker in workers {
            if let Some(row) = self.row_mut(worker) {
                row.kept.subtract(&step.reserved_demand());
            }
        }
    }

    fn row_mut(&mut self, worker: &WorkerName) -> Option<&mut RoomRow<'a>> {
        let place = self.places.get(worker)?;
        self.rows.get_mut(*place)
    }
}

impl<'a> UnitView<'a> {
    /// Leaves out the workers on which runs of the unit's step have failed, as long as the others
    /// could hold it.
    pub fn leave_failures(&mut self, planner: &PlannerState, unit: &WaitingUnit<'_>) {
        let Some(failed) = planner.failed_places.get(&unit.key) else {
            return;
        };
        let others = self.filtered(|_, room| !failed.contains(room.worker));
        if placement::can_hold(&others.rooms, unit.step) {
            *self = others;
        }
    }

    /// Leaves out the emptiest workers of each rack, so that urgent gangs find room in one rack
    /// without stopping other work first, as long as the others could hold the step at full speed.
    pub fn leave_reserve(&mut self, step: &StepDefinition) {
        let mut is_reserved = vec![false; self.rooms.len()];
        for (_, mut places) in placement::by_rack(&self.rooms) {
            places.sort_unstable_by_key(|&place| (self.rooms[place].free.gpu, place));
            for place in places.into_iter().rev().take(RESERVED_WORKERS) {
                is_reserved[place] = true;
            }
        }
        let rest = self.filtered(|place, _| !is_reserved[place]);
        if placement::can_be_near(&rest.rooms, step) {
            *self = rest;
        }
    }

    fn filtered(&self, is_kept: impl Fn(usize, &WorkerRoom<'a>) -> bool) -> Self {
        let pairs = self.rooms.iter().zip(&self.rows).enumerate();
        let kept = pairs.filter(|(place, (room, _))| is_kept(*place, room));
        let (rooms, rows) = kept.map(|(_, (room, row))| (room.clone(), *row)).unzip();
        Self { rooms, rows }
    }
}
