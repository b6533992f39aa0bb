//! Victim selection: which runs to stop so that urgent tasks fit.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::RunKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::StepKey;
use crate::batch::job::TaskDemand;
use crate::batch::placement;
use crate::batch::placement::CandidateWorker;

/// Scale factor of the cost per task, which keeps the precision of comparisons between integers.
const COST_SCALE: u64 = 1_000;

/// A run that may be stopped for urgent work.
#[derive(Clone, Debug)]
pub struct EvictionCandidate {
    /// Index of its worker in the slice of workers.
    pub worker_index: usize,
    /// Key of the run.
    pub run: RunKey,
    /// Capacity that its stop frees.
    pub demand: TaskDemand,
    /// Whether it is a member of a gang, whose members all end together.
    pub is_gang_member: bool,
    /// Cost of its stop in weighted core-seconds; for a gang member, the cost of the whole gang.
    pub cost: u64,
}

/// Workers for tasks, and the runs that have to be stopped before the tasks fit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvictionPlan {
    /// One worker index for each task.
    pub worker_indexes: Vec<usize>,
    /// Runs to stop; those of one gang come together.
    pub runs: Vec<RunKey>,
    /// Total cost of the stops, in weighted core-seconds.
    pub cost: u64,
}

/// Runs that end together: all members of a gang, or one independent run.
struct EvictionVictim<'a> {
    cost: u64,
    members: Vec<&'a EvictionCandidate>,
}

/// Chooses workers for `count` tasks of a step and victims whose stop frees the missing capacity at
/// a low cost.
///
/// A step that prefers one rack is placed in one if any rack could hold all tasks. Returns `None`
/// if the tasks would not fit even with all candidates stopped.
#[must_use]
pub fn choose(
    workers: &[CandidateWorker<'_>],
    candidates: &[EvictionCandidate],
    step: &StepDefinition,
    count: u64,
) -> Option<EvictionPlan> {
    let victims = group_candidates(candidates);
    let by_worker = victims_by_worker(workers.len(), &victims);
    let max_tasks = max_tasks_by_worker(workers, candidates, step);
    let can_hold =
        |indexes: &[usize]| indexes.iter().map(|&index| max_tasks[index]).sum::<u64>() >= count;
    let needs_one_rack = step.affinity.is_some() || (step.gang && step.rack_sensitive);
    let mut best: Option<EvictionPlan> = None;
    if needs_one_rack {
        for (rack, indexes) in placement::group_by_rack(workers) {
            let is_preferred = step
                .affinity
                .as_ref()
                .is_none_or(|preferred| preferred == rack);
            if !is_preferred || !can_hold(&indexes) {
                continue;
            }
            let limit = best.as_ref().map(|best| best.cost);
            let plan = select_victims(workers, &victims, &by_worker, step, &indexes, count, limit);
            best = plan.or(best);
            if best.as_ref().is_some_and(|best| best.runs.is_empty()) {
                break;
            }
        }
    }
    let all: Vec<usize> = (0..workers.len()).collect();
    if best.is_some() || !can_hold(&all) {
        return best;
    }
    select_victims(workers, &victims, &by_worker, step, &all, count, None)
}

/// Returns how many tasks of the step would fit on each worker with all candidates stopped.
fn max_tasks_by_worker(
    workers: &[CandidateWorker<'_>],
    candidates: &[EvictionCandidate],
    step: &StepDefinition,
) -> Vec<u64> {
    let mut workers = workers.to_vec();
    for candidate in candidates {
        workers[candidate.worker_index].free.add(&candidate.demand);
    }
    workers
        .iter()
        .map(|worker| worker.max_tasks(step))
        .collect()
}

fn group_candidates(candidates: &[EvictionCandidate]) -> Vec<EvictionVictim<'_>> {
    let mut victims: IndexMap<(StepKey, Option<u32>), EvictionVictim<'_>> = IndexMap::new();
    for candidate in candidates {
        let task = candidate.run.task;
        let key = (task.step, (!candidate.is_gang_member).then_some(task.index));
        let victim = victims.entry(key).or_insert_with(|| EvictionVictim {
            cost: candidate.cost,
            members: Vec::new(),
        });
        victim.members.push(candidate);
    }
    victims.into_values().collect()
}

/// Capacity of the workers after the stops chosen so far.
#[derive(Clone)]
struct FreedCapacity<'a, 'v> {
    workers: Vec<CandidateWorker<'a>>,
    indexes: &'v [usize],
    step: &'v StepDefinition,
    is_eligible: Vec<bool>,
}

impl<'a, 'v> FreedCapacity<'a, 'v> {
    fn new(
        workers: &[CandidateWorker<'a>],
        indexes: &'v [usize],
        step: &'v StepDefinition,
    ) -> Self {
        let mut is_eligible = vec![false; workers.len()];
        for &index in indexes {
            is_eligible[index] = true;
        }
        Self {
            workers: workers.to_vec(),
            indexes,
            step,
            is_eligible,
        }
    }

    /// Returns how many tasks fit on the eligible workers.
    fn max_tasks(&self) -> u64 {
        let counts = self.indexes.iter();
        counts
            .map(|&index| self.workers[index].max_tasks(self.step))
            .sum()
    }

    fn stop(&mut self, victim: &EvictionVictim<'_>) {
        for member in &victim.members {
            self.workers[member.worker_index].free.add(&member.demand);
        }
    }

    fn restore(&mut self, victim: &EvictionVictim<'_>) {
        for member in &victim.members {
            self.workers[member.worker_index]
                .free
                .subtract(&member.demand);
        }
    }

    /// Returns one worker index for each of the first `count` tasks that fit.
    fn worker_indexes(&self, count: u64) -> Vec<usize> {
        let indexes = self.indexes.iter();
        let tasks = indexes.flat_map(|&index| {
            let fitting = self.workers[index].max_tasks(self.step).min(count);
            std::iter::repeat_n(index, usize::try_from(fitting).unwrap_or(0))
        });
        tasks.take(usize::try_from(count).unwrap_or(0)).collect()
    }
}

/// Greedily chooses victims by the lowest cost per additional task until all tasks fit. Returns
/// `None` if they cannot fit, or if the cost reaches `limit`.
fn select_victims(
    workers: &[CandidateWorker<'_>],
    victims: &[EvictionVictim<'_>],
    by_worker: &[Vec<usize>],
    step: &StepDefinition,
    indexes: &[usize],
    count: u64,
    limit: Option<u64>,
) -> Option<EvictionPlan> {
    let mut freed = FreedCapacity::new(workers, indexes, step);
    let mut is_stopped = vec![false; victims.len()];
    let mut stopped: Vec<usize> = Vec::new();
    let mut options: Vec<Option<EvictionOption>> = (0..workers.len()).map(|_| None).collect();
    let mut changed: IndexSet<usize> = indexes.iter().copied().collect();
    let mut fitting = freed.max_tasks();
    while fitting < count {
        // Options change only on the workers that lost a run.
        for index in changed.drain(..).filter(|&index| freed.is_eligible[index]) {
            let remaining = by_worker[index].iter().copied();
            let remaining = remaining.filter(|&victim| !is_stopped[victim]);
            options[index] = cheapest_option(&freed, victims, remaining, index);
        }
        let missing = count - fitting;
        let available = options.iter().flatten();
        let best =
            available.min_by_key(|option| option.cost * COST_SCALE / option.tasks.min(missing))?;
        for &victim in &best.victims {
            freed.stop(&victims[victim]);
            is_stopped[victim] = true;
            changed.extend(
                victims[victim]
                    .members
                    .iter()
                    .map(|member| member.worker_index),
            );
        }
        stopped.extend(&best.victims);
        fitting = freed.max_tasks();
    }
    prune(&mut freed, victims, &mut stopped, count);
    let cost = stopped.iter().map(|&victim| victims[victim].cost).sum();
    if limit.is_some_and(|limit| cost >= limit) {
        return None;
    }
    let members = stopped.iter().flat_map(|&victim| &victims[victim].members);
    Some(EvictionPlan {
        worker_indexes: freed.worker_indexes(count),
        runs: members.map(|member| member.run).collect(),
        cost,
    })
}

/// Drops victims whose stop is not needed, checking the most expensive first.
fn prune(
    freed: &mut FreedCapacity<'_, '_>,
    victims: &[EvictionVictim<'_>],
    stopped: &mut Vec<usize>,
    count: u64,
) {
    stopped.sort_by_key(|&victim| std::cmp::Reverse(victims[victim].cost));
    stopped.retain(|&victim| {
        freed.restore(&victims[victim]);
        let is_needed = freed.max_tasks() < count;
        if is_needed {
            freed.stop(&victims[victim]);
        }
        is_needed
    });
}

/// Returns the indexes of the victims with a member on each worker, the cheapest first.
fn victims_by_worker(worker_count: usize, victims: &[EvictionVictim<'_>]) -> Vec<Vec<usize>> {
    let mut by_worker: Vec<Vec<usize>> = vec![Vec::new(); worker_count];
    for (index, victim) in victims.iter().enumerate() {
        for member in &victim.members {
            let list = &mut by_worker[member.worker_index];
            if list.last() != Some(&index) {
                list.push(index);
            }
        }
    }
    for list in &mut by_worker {
        list.sort_by_key(|&index| victims[index].cost);
    }
    by_worker
}

/// Victims whose stop makes at least one more task fit.
struct EvictionOption {
    victims: Vec<usize>,
    cost: u64,
    tasks: u64,
}

/// Adds victims on the worker in the order of their cost until one more task fits there. Returns
/// them with the number of additional tasks that then fit on all eligible workers, or `None` if all
/// candidates together do not suffice.
fn cheapest_option(
    freed: &FreedCapacity<'_, '_>,
    victims: &[EvictionVictim<'_>],
    candidates: impl Iterator<Item = usize>,
    index: usize,
) -> Option<EvictionOption> {
    let max_before = freed.workers[index].max_tasks(freed.step);
    let mut worker = freed.workers[index].clone();
    let mut chosen = Vec::new();
    for victim in candidates {
        let members = victims[victim].members.iter();
        for member in members.filter(|member| member.worker_index == index) {
            worker.free.add(&member.demand);
        }
        chosen.push(victim);
        if worker.max_tasks(freed.step) > max_before {
            let cost = chosen.iter().map(|&index| victims[index].cost).sum();
            let tasks = added_tasks(freed, victims, &chosen).max(1);
            return Some(EvictionOption {
                victims: chosen,
                cost,
                tasks,
            });
        }
    }
    None
}

/// Returns how many more tasks fit on the eligible workers after a stop of the chosen victims.
fn added_tasks(
    freed: &FreedCapacity<'_, '_>,
    victims: &[EvictionVictim<'_>],
    chosen: &[usize],
) -> u64 {
    let mut changed: IndexMap<usize, CandidateWorker<'_>> = IndexMap::new();
    for member in chosen.iter().flat_map(|&index| &victims[index].members) {
        let worker = changed
            .entry(member.worker_index)
            .or_insert_with(|| freed.workers[member.worker_index].clone());
        worker.free.add(&member.demand);
    }
    let eligible = changed
        .iter()
        .filter(|(index, _)| freed.is_eligible[**index]);
    eligible
        .map(|(i, worker)| worker.max_tasks(freed.step) - freed.workers[*i].max_tasks(freed.step))
        .sum()
}
