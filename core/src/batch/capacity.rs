//! The room that is left on each worker while a round is planned.

use indexmap::IndexMap;

use crate::batch::job::StepDefinition;
use crate::batch::job::TaskDemand;
use crate::batch::placement;
use crate::batch::placement::CandidateWorker;
use crate::batch::planner::PlannerState;
use crate::batch::session::WorkerSession;
use crate::batch::state::BatchState;
use crate::batch::unit::WaitingUnit;
use crate::ids::ServiceName;
use crate::ids::WorkerName;
use crate::units::ClockTime;

/// Workers of each rack that are left to urgent work while other work can still wait.
const HEADROOM_WORKERS: usize = 2;

/// Room on workers that is kept for a unit while other runs are stopped for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityReservation {
    /// When the claim was made.
    pub reserved_at: ClockTime,
    /// The workers, one for each task.
    pub workers: Vec<WorkerName>,
}

/// A worker that can get tasks in this round.
#[derive(Debug)]
struct CapacityRow<'a> {
    service: &'a ServiceName,
    session: &'a WorkerSession,
    /// What its runs and this round's placements leave, and what else decides about places.
    worker: CandidateWorker<'a>,
    /// What is kept for units with a claim. It can exceed what is left while runs are stopping.
    reserved: TaskDemand,
}

/// The workers that can get tasks in this round, rack by rack, with the room that is left.
///
/// It is made once in a round; each unit looks at the part that is open to it.
#[derive(Debug)]
pub struct CapacityTable<'a> {
    rows: Vec<CapacityRow<'a>>,
    rows_by_worker: IndexMap<&'a WorkerName, usize>,
    /// What the workers of each service have left together.
    free: IndexMap<&'a ServiceName, TaskDemand>,
}

/// The workers that are open to one unit.
#[derive(Clone, Debug)]
pub struct UnitView<'a> {
    /// Their room.
    pub workers: Vec<CandidateWorker<'a>>,
    /// Their rows in the table.
    rows: Vec<usize>,
}

impl<'a> CapacityTable<'a> {
    /// Creates the table from the runs that take room now.
    #[must_use]
    pub fn new(state: &'a BatchState, planner: &'a PlannerState, at: ClockTime) -> Self {
        let usable = planner.workers.iter().filter_map(|(name, session)| {
            let entry = session.entry.as_ref()?;
            let is_open = !state.domains_out.contains(&entry.domain) && session.is_usable(at);
            is_open.then_some((name, session, entry))
        });
        let rows = usable.map(|(name, session, entry)| {
            let worker = CandidateWorker {
                name,
                rack: &entry.rack,
                labels: &entry.labels,
                free: session.free_capacity(),
                capacity: entry.capacity,
                same_step: 0,
            };
            CapacityRow {
                service: &entry.service,
                session,
                worker,
                reserved: TaskDemand::default(),
            }
        });
        let mut rows: Vec<CapacityRow<'a>> = rows.collect();
        rows.sort_by_key(|row| row.worker.rack);
        let indexes = rows.iter().enumerate();
        let indexes = indexes.map(|(index, row)| (row.worker.name, index));
        let mut free: IndexMap<&ServiceName, TaskDemand> = IndexMap::new();
        for row in &rows {
            free.entry(row.service).or_default().add(&row.worker.free);
        }
        Self {
            rows_by_worker: indexes.collect(),
            rows,
            free,
        }
    }

    /// Returns what the workers of a service have left together, kept room included.
    #[must_use]
    pub fn free_in_service(&self, service: &ServiceName) -> TaskDemand {
        self.free.get(service).copied().unwrap_or_default()
    }

    /// Returns the workers of the unit's service.
    #[must_use]
    pub fn view(&self, unit: &WaitingUnit<'_>) -> UnitView<'a> {
        let rows = self.rows.iter().enumerate();
        let rows = rows.filter(|(_, row)| *row.service == unit.definition.service);
        let rows: Vec<usize> = rows.map(|(index, _)| index).collect();
        let worker = |index: &usize| {
            let row = &self.rows[*index];
            let mut worker = row.worker.clone();
            worker.free.subtract(&row.reserved);
            if unit.step.spread.is_some() {
                worker.same_step = row.session.run_count(&unit.key);
            }
            worker
        };
        UnitView {
            workers: rows.iter().map(worker).collect(),
            rows,
        }
    }

    /// Returns the runs of the workers in a view, with the worker's place in it.
    pub fn sessions<'v>(
        &'v self,
        view: &'v UnitView<'a>,
    ) -> impl Iterator<Item = (usize, &'a WorkerSession)> + 'v {
        let rows = view.rows.iter().enumerate();
        rows.map(|(index, row)| (index, self.rows[*row].session))
    }

    /// Takes away what was placed on a worker.
    pub fn allocate(&mut self, worker: &WorkerName, step: &StepDefinition) {
        let Some(row) = self.row_mut(worker) else {
            return;
        };
        row.worker.free.subtract(&step.reserved_demand());
        let service = row.service;
        if let Some(free) = self.free.get_mut(service) {
            free.subtract(&step.reserved_demand());
        }
    }

    /// Keeps room on workers, one place for each name, from other units.
    pub fn reserve(&mut self, workers: &[WorkerName], step: &StepDefinition) {
        for worker in workers {
            if let Some(row) = self.row_mut(worker) {
                row.reserved.add(&step.reserved_demand());
            }
        }
    }

    /// Gives the room of a claim to the unit that it is kept for.
    pub fn release(&mut self, workers: &[WorkerName], step: &StepDefinition) {
        for worker in workers {
            if let Some(row) = self.row_mut(worker) {
                row.reserved.subtract(&step.reserved_demand());
            }
        }
    }

    fn row_mut(&mut self, worker: &WorkerName) -> Option<&mut CapacityRow<'a>> {
        let index = self.rows_by_worker.get(worker)?;
        self.rows.get_mut(*index)
    }
}

impl<'a> UnitView<'a> {
    /// Leaves out the workers on which runs of the unit's step have failed, as long as the others
    /// could hold it.
    pub fn exclude_failed_workers(&mut self, planner: &PlannerState, unit: &WaitingUnit<'_>) {
        let Some(failed) = planner.failed_workers.get(&unit.key) else {
            return;
        };
        let others = self.filtered(|_, worker| !failed.contains(worker.name));
        if placement::can_hold(&others.workers, unit.step) {
            *self = others;
        }
    }

    /// Leaves out the emptiest workers of each rack, so that urgent gangs find room in one rack
    /// without stopping other work first, as long as the others could hold the step at full speed.
    pub fn exclude_headroom(&mut self, step: &StepDefinition) {
        let mut is_headroom = vec![false; self.workers.len()];
        for (_, mut indexes) in placement::group_by_rack(&self.workers) {
            indexes.sort_unstable_by_key(|&index| (self.workers[index].free.gpu, index));
            for index in indexes.into_iter().rev().take(HEADROOM_WORKERS) {
                is_headroom[index] = true;
            }
        }
        let rest = self.filtered(|index, _| !is_headroom[index]);
        if placement::can_run_local(&rest.workers, step) {
            *self = rest;
        }
    }

    fn filtered(&self, is_included: impl Fn(usize, &CandidateWorker<'a>) -> bool) -> Self {
        let pairs = self.workers.iter().zip(&self.rows).enumerate();
        let included = pairs.filter(|(index, (worker, _))| is_included(*index, worker));
        let (workers, rows) = included
            .map(|(_, (worker, row))| (worker.clone(), *row))
            .unzip();
        Self { workers, rows }
    }
}
