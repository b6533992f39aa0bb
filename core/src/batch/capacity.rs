//! Free and reserved capacity of each worker during a scheduling round.

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

/// Number of workers in each rack that are kept free of work that can wait, as headroom for urgent
/// gangs.
const HEADROOM_WORKERS: usize = 2;

/// Capacity on workers that is reserved for a unit while other runs end or are stopped for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityReservation {
    /// When the reservation expires, so that its unit makes another plan.
    pub expires_at: ClockTime,
    /// The workers, one for each task. A worker occurs once for each task that it is to run.
    pub workers: Vec<WorkerName>,
    /// Number of runs that are stopped for the unit.
    pub stopped_runs: u64,
    /// Work that the stops lose, in weighted core-seconds.
    pub lost_work: u64,
}

/// A worker that can receive tasks in this round.
#[derive(Debug)]
struct CapacityRow<'a> {
    service: &'a ServiceName,
    session: &'a WorkerSession,
    /// The worker with the capacity that its runs and this round's placements leave free.
    worker: CandidateWorker<'a>,
    /// Capacity reserved for units. It can exceed the free capacity while runs are stopping.
    reserved: TaskDemand,
}

/// The workers that can receive tasks in this round, sorted by rack, with their free capacity.
///
/// The table is built once per round; each unit works on a [`UnitView`] of it.
#[derive(Debug)]
pub struct CapacityTable<'a> {
    rows: Vec<CapacityRow<'a>>,
    rows_by_worker: IndexMap<&'a WorkerName, usize>,
    /// Free capacity of the workers of each service together, reserved capacity included.
    free: IndexMap<&'a ServiceName, TaskDemand>,
}

/// The workers on which one unit can be placed.
#[derive(Clone, Debug)]
pub struct UnitView<'a> {
    /// The workers, sorted by rack, with the capacity that is open to the unit.
    pub workers: Vec<CandidateWorker<'a>>,
    /// Rows of the workers in the table.
    rows: Vec<usize>,
}

impl<'a> CapacityTable<'a> {
    /// Creates the table from the runs that currently occupy capacity.
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
                step_task_count: 0,
                is_suspect: session.is_suspect(at),
                speed: session.speed.estimate(),
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

    /// Returns the free capacity of all workers of a service together, reserved capacity included.
    #[must_use]
    pub fn free_in_service(&self, service: &ServiceName) -> TaskDemand {
        self.free.get(service).copied().unwrap_or_default()
    }

    /// Returns the workers of the unit's service with their unreserved capacity.
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
                worker.step_task_count = row.session.run_count(&unit.key);
            }
            worker
        };
        UnitView {
            workers: rows.iter().map(worker).collect(),
            rows,
        }
    }

    /// Returns the unreserved capacity of a worker in a view once `freed` has become free there.
    ///
    /// Returns `None` if the reservations still exceed the capacity. They then wait for further ends
    /// on the worker, whose capacity is not available to other units.
    #[must_use]
    pub fn unreserved(
        &self,
        view: &UnitView<'_>,
        index: usize,
        freed: &TaskDemand,
    ) -> Option<TaskDemand> {
        let row = self.rows.get(*view.rows.get(index)?)?;
        let mut capacity = row.worker.free;
        capacity.add(freed);
        if !row.reserved.fits(&capacity) {
            return None;
        }
        capacity.subtract(&row.reserved);
        Some(capacity)
    }

    /// Allocates capacity on the worker for one task of the step.
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

    /// Reserves capacity for one task of the step on each named worker.
    pub fn reserve(&mut self, workers: &[WorkerName], step: &StepDefinition) {
        for worker in workers {
            if let Some(row) = self.row_mut(worker) {
                row.reserved.add(&step.reserved_demand());
            }
        }
    }

    /// Releases a reservation, so that its unit can use the capacity.
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
    /// Excludes the workers on which runs of the unit's step failed, if the others could hold it.
    pub fn exclude_failed_workers(&mut self, planner: &PlannerState, unit: &WaitingUnit<'_>) {
        let Some(failed) = planner.failed_workers.get(&unit.key) else {
            return;
        };
        let others = self.filtered(|_, worker| !failed.contains(worker.name));
        if placement::can_hold(&others.workers, unit.step) {
            *self = others;
        }
    }

    /// Excludes the emptiest workers of each rack, slow ones last, if the others could run the step
    /// at full speed.
    ///
    /// Urgent gangs then find capacity within one rack without stopping other work first.
    pub fn exclude_headroom(&mut self, step: &StepDefinition) {
        let mut is_headroom = vec![false; self.workers.len()];
        for (_, mut indexes) in placement::group_by_rack(&self.workers) {
            indexes.sort_unstable_by_key(|&index| {
                let worker = &self.workers[index];
                (worker.speed.class >= 0, worker.free.gpu, index)
            });
            for index in indexes.into_iter().rev().take(HEADROOM_WORKERS) {
                is_headroom[index] = true;
            }
        }
        let others = self.filtered(|index, _| !is_headroom[index]);
        if placement::can_run_local(&others.workers, step) {
            *self = others;
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
