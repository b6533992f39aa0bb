//! Choosing runs that make room for urgent work.

use indexmap::IndexMap;

use crate::batch::job::RunKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::TaskDemand;
use crate::batch::placement::WorkerRoom;
use crate::ids::RackName;

/// A run that may be stopped.
#[derive(Clone, Debug)]
pub struct EvictionCandidate {
    /// The place of its worker in the view.
    pub place: usize,
    /// The run.
    pub run: RunKey,
    /// What it takes.
    pub demand: TaskDemand,
    /// What its stop costs, in core-seconds that are lost.
    pub cost: u64,
}

/// Where tasks would go, and which runs have to be stopped for it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvictionPlan {
    /// One worker for each task.
    pub places: Vec<usize>,
    /// Runs to stop.
    pub runs: Vec<RunKey>,
    /// What the stops cost.
    pub cost: u64,
}

/// Finds places for `count` tasks of a step at the lowest cost.
///
/// Tasks that want one rack get one if any rack could hold them all.
#[must_use]
pub fn choose(
    rooms: &[WorkerRoom<'_>],
    candidates: &[EvictionCandidate],
    step: &StepDefinition,
    count: u64,
) -> Option<EvictionPlan> {
    let mut by_place: Vec<Vec<&EvictionCandidate>> = vec![Vec::new(); rooms.len()];
    for candidate in candidates {
        by_place[candidate.place].push(candidate);
    }
    for list in &mut by_place {
        list.sort_by_key(|candidate| candidate.cost);
    }
    let all: Vec<usize> = (0..rooms.len()).collect();
    let wants_rack = step.affinity.is_some() || (step.gang && step.rack_sensitive);
    let mut best: Option<EvictionPlan> = None;
    if wants_rack {
        for (rack, places) in racks(rooms) {
            if step.affinity.as_ref().is_some_and(|wished| wished != rack) {
                continue;
            }
            let plan = fill(rooms, &by_place, step, &places, count);
            best = match (best, plan) {
                (Some(best), Some(plan)) if plan.cost >= best.cost => Some(best),
                (best, plan) => plan.or(best),
            };
        }
    }
    best.or_else(|| fill(rooms, &by_place, step, &all, count))
}

fn racks<'a>(rooms: &[WorkerRoom<'a>]) -> IndexMap<&'a RackName, Vec<usize>> {
    let mut racks: IndexMap<&RackName, Vec<usize>> = IndexMap::new();
    for (place, room) in rooms.iter().enumerate() {
        racks.entry(room.rack).or_default().push(place);
    }
    racks
}

/// What one more task on a worker costs.
struct NextTask {
    place: usize,
    cost: u64,
    runs: Vec<RunKey>,
    tasks: u64,
}

fn fill(
    rooms: &[WorkerRoom<'_>],
    by_place: &[Vec<&EvictionCandidate>],
    step: &StepDefinition,
    places: &[usize],
    count: u64,
) -> Option<EvictionPlan> {
    let mut options: Vec<NextTask> = Vec::new();
    for &place in places {
        let mut room = rooms[place].clone();
        let mut tasks = room.count(step);
        if tasks > 0 {
            options.push(NextTask {
                place,
                cost: 0,
                runs: Vec::new(),
                tasks,
            });
        }
        let mut cost = 0;
        let mut runs = Vec::new();
        for candidate in &by_place[place] {
            room.free.add(&candidate.demand);
            cost += candidate.cost;
            runs.push(candidate.run);
            let fitting = room.count(step);
            if fitting > tasks {
                options.push(NextTask {
                    place,
                    cost,
                    runs: std::mem::take(&mut runs),
                    tasks: fitting - tasks,
                });
                tasks = fitting;
                cost = 0;
            }
        }
    }
    // Options of one worker build on each other, so their order is kept by a stable sort on a
    // cost that never falls along a worker's list.
    let mut floor: IndexMap<usize, u64> = IndexMap::new();
    let mut keyed: Vec<(u64, NextTask)> = Vec::with_capacity(options.len());
    for option in options {
        let least = floor.entry(option.place).or_default();
        *least = (*least).max(option.cost / option.tasks.max(1));
        keyed.push((*least, option));
    }
    keyed.sort_by_key(|(key, _)| *key);
    let mut plan = EvictionPlan::default();
    for (_, option) in keyed {
        let missing = count - plan.places.len() as u64;
        if missing == 0 {
            break;
        }
        for _ in 0..option.tasks.min(missing) {
            plan.places.push(option.place);
        }
        plan.runs.extend(option.runs);
        plan.cost += option.cost;
    }
    (plan.places.len() as u64 == count).then_some(plan)
}
