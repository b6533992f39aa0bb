//! Task placement: pure functions over a view of the free capacity.

use crate::batch::job::StepDefinition;
use crate::batch::job::TaskDemand;
use crate::batch::job::WorkerLabel;
use crate::batch::suitability::RequiredSpeed;
use crate::batch::suitability::Suitability;
use crate::batch::worker_speed::SpeedEstimate;
use crate::ids::RackName;
use crate::ids::WorkerName;

/// A worker considered for placement.
#[derive(Clone, Debug)]
pub struct CandidateWorker<'a> {
    /// Name of the worker.
    pub name: &'a WorkerName,
    /// Rack of the worker. Rack-sensitive tasks slow down when they run across racks.
    pub rack: &'a RackName,
    /// Labels that steps can require.
    pub labels: &'a [WorkerLabel],
    /// Capacity that is neither allocated nor reserved.
    pub free: TaskDemand,
    /// Total capacity.
    pub capacity: TaskDemand,
    /// Tasks of the step on the worker, counted only if the step limits them.
    pub step_task_count: u32,
    /// Whether the worker left an order unanswered a short time ago. It is chosen last.
    pub is_suspect: bool,
    /// Speed of the worker.
    pub speed: SpeedEstimate,
}

/// Whether a step's rack preference is a hard constraint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RackRule {
    /// Only workers on which the step runs at full speed.
    Strict,
    /// Any worker.
    Any,
}

impl CandidateWorker<'_> {
    /// Returns how many tasks of the step fit into the free capacity.
    #[must_use]
    pub fn max_tasks(&self, step: &StepDefinition) -> u64 {
        let required = step.requirement.as_ref();
        if required.is_some_and(|label| !self.labels.contains(label)) {
            return 0;
        }
        let fitting = step.reserved_demand().count_fitting(&self.free);
        let spread = step
            .spread
            .map(|limit| u64::from(limit.saturating_sub(self.step_task_count)));
        spread.map_or(fitting, |limit| fitting.min(limit))
    }

    /// Returns the capacity left beside one task, in thousandths summed over the resources; GPUs
    /// count twice.
    ///
    /// The fit is best where the value is low. Choosing the best fit keeps whole workers free for
    /// large tasks.
    #[must_use]
    fn slack(&self, step: &StepDefinition) -> u64 {
        let mut remaining = self.free;
        remaining.subtract(&step.reserved_demand());
        let share = |free: u64, total: u64| (free * 1_000).checked_div(total).unwrap_or(0);
        share(remaining.gpu, self.capacity.gpu) * 2
            + share(remaining.cpu, self.capacity.cpu)
            + share(remaining.memory, self.capacity.memory)
    }
}

/// Returns the index of the best worker for one task, or `None` when the task fits nowhere.
///
/// `sibling_rack` is the rack on which other tasks of a rack-sensitive step run.
#[must_use]
pub fn place_task(
    workers: &[CandidateWorker<'_>],
    step: &StepDefinition,
    sibling_rack: Option<&RackName>,
    rule: RackRule,
    required: RequiredSpeed,
) -> Option<usize> {
    let preferred = step.affinity.as_ref().or(sibling_rack);
    let is_local = |worker: &CandidateWorker<'_>| preferred.is_none_or(|rack| rack == worker.rack);
    let fitting = workers.iter().enumerate();
    let fitting = fitting.filter(|(_, worker)| worker.max_tasks(step) > 0);
    let fitting = fitting.filter(|(_, worker)| rule == RackRule::Any || is_local(worker));
    let best = fitting.min_by_key(|(_, worker)| {
        let rank = required.rank(worker);
        (
            !is_local(worker),
            worker.is_suspect,
            rank,
            worker.slack(step),
        )
    });
    best.map(|(index, _)| index)
}

/// Returns one worker index for each task of a gang, or `None` unless all of them fit.
///
/// A gang ends with its slowest member. So the workers that are fast enough are tried first, then
/// slower ones, on each of which the gang runs without loss by distance. A gang that is spread over
/// racks is slower than one on slow workers.
#[must_use]
pub fn place_gang(
    workers: &[CandidateWorker<'_>],
    step: &StepDefinition,
    rule: RackRule,
    required: RequiredSpeed,
) -> Option<Vec<usize>> {
    let (best, worst) = required.range(workers)?;
    let tiers = [
        Suitability::Sufficient,
        Suitability::Uncertain,
        Suitability::TooSlow,
    ];
    for tier in tiers
        .into_iter()
        .filter(|tier| *tier >= best && *tier < worst)
    {
        let is_included = |index: &usize| required.suitability(&workers[*index]) <= tier;
        let included: Vec<usize> = (0..workers.len()).filter(is_included).collect();
        let chosen = place_gang_on(workers, step, RackRule::Strict, &included);
        if chosen.is_some() {
            return chosen;
        }
    }
    let all: Vec<usize> = (0..workers.len()).collect();
    place_gang_on(workers, step, rule, &all)
}

/// Returns one of the given worker indexes for each task of a gang, or `None` unless all of them
/// fit. The indexes have to be sorted by rack.
fn place_gang_on(
    workers: &[CandidateWorker<'_>],
    step: &StepDefinition,
    rule: RackRule,
    included: &[usize],
) -> Option<Vec<usize>> {
    let count = u64::from(step.count);
    if step.affinity.is_none() && !step.rack_sensitive {
        return fill_tightest(workers, step, included, count);
    }
    let racks = included.chunk_by(|left, right| workers[*left].rack == workers[*right].rack);
    let mut racks: Vec<(bool, u64, &[usize])> = racks
        .map(|indexes| {
            let sum: u64 = indexes
                .iter()
                .map(|&index| workers[index].max_tasks(step))
                .sum();
            let preferred = step.affinity.as_ref();
            let is_remote =
                preferred.is_some_and(|preferred| preferred != workers[indexes[0]].rack);
            (is_remote, sum, indexes)
        })
        .filter(|(is_remote, sum, _)| *sum >= count && !(rule == RackRule::Strict && *is_remote))
        .collect();
    racks.sort_by_key(|(is_remote, sum, _)| (*is_remote, *sum));
    if let Some((_, _, indexes)) = racks.first() {
        return fill_tightest(workers, step, indexes, count);
    }
    if rule == RackRule::Strict {
        return None;
    }
    fill_tightest(workers, step, included, count)
}

/// Returns whether at least half of each resource of the workers is free.
#[must_use]
pub fn is_mostly_free(workers: &[CandidateWorker<'_>]) -> bool {
    let mut free = TaskDemand::default();
    let mut total = TaskDemand::default();
    for worker in workers {
        free.add(&worker.free);
        total.add(&worker.capacity);
    }
    free.cpu * 2 >= total.cpu && free.memory * 2 >= total.memory && free.gpu * 2 >= total.gpu
}

/// Returns whether the workers, if empty, could hold a whole gang, or one task of another step.
#[must_use]
pub fn can_hold(workers: &[CandidateWorker<'_>], step: &StepDefinition) -> bool {
    let needed = if step.gang { u64::from(step.count) } else { 1 };
    let tasks = workers
        .iter()
        .map(|worker| fitting_when_empty(worker, step));
    tasks.fold(0_u64, u64::saturating_add) >= needed
}

/// Returns how many tasks of the step fit on the worker when it is empty.
fn fitting_when_empty(worker: &CandidateWorker<'_>, step: &StepDefinition) -> u64 {
    let empty = CandidateWorker {
        free: worker.capacity,
        step_task_count: 0,
        ..worker.clone()
    };
    empty.max_tasks(step)
}

/// Returns whether the workers, if empty, could run the step at full speed.
#[must_use]
pub fn can_run_local(workers: &[CandidateWorker<'_>], step: &StepDefinition) -> bool {
    if step.affinity.is_none() && !(step.gang && step.rack_sensitive) {
        return true;
    }
    group_by_rack(workers).into_iter().any(|(rack, indexes)| {
        let is_preferred = step
            .affinity
            .as_ref()
            .is_none_or(|preferred| preferred == rack);
        let needed = if step.gang { u64::from(step.count) } else { 1 };
        let tasks = indexes
            .iter()
            .map(|&index| fitting_when_empty(&workers[index], step));
        is_preferred && tasks.fold(0_u64, u64::saturating_add) >= needed
    })
}

/// Returns the worker indexes of each rack. The workers have to be sorted by rack.
#[must_use]
pub fn group_by_rack<'a>(workers: &[CandidateWorker<'a>]) -> Vec<(&'a RackName, Vec<usize>)> {
    let mut racks: Vec<(&RackName, Vec<usize>)> = Vec::new();
    for (index, worker) in workers.iter().enumerate() {
        match racks.last_mut() {
            Some((rack, indexes)) if *rack == worker.rack => indexes.push(index),
            _ => racks.push((worker.rack, vec![index])),
        }
    }
    racks
}

/// Returns one worker index for each of `count` tasks, best fit first.
fn fill_tightest(
    workers: &[CandidateWorker<'_>],
    step: &StepDefinition,
    indexes: &[usize],
    count: u64,
) -> Option<Vec<usize>> {
    let fitting = indexes
        .iter()
        .map(|&index| (workers[index].max_tasks(step), index));
    let mut fitting: Vec<(u64, usize)> = fitting.filter(|(tasks, _)| *tasks > 0).collect();
    fitting.sort_by_key(|&(_, index)| {
        let worker = &workers[index];
        (worker.is_suspect, worker.slack(step), index)
    });
    let mut chosen = Vec::with_capacity(usize::try_from(count).unwrap_or(0));
    for (tasks, index) in fitting {
        let missing = count - chosen.len() as u64;
        for _ in 0..tasks.min(missing) {
            chosen.push(index);
        }
        if chosen.len() as u64 == count {
            return Some(chosen);
        }
    }
    None
}
