//! Choosing runs that make room for urgent work.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::job::RunKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::StepKey;
use crate::batch::job::TaskDemand;
use crate::batch::placement;
use crate::batch::placement::WorkerRoom;

/// Keeps the order of costs for each task that fits when they are compared as whole numbers.
const SCALE: u64 = 1_000;

/// A run that may be stopped.
#[derive(Clone, Debug)]
pub struct EvictionCandidate {
    /// The place of its worker in the view.
    pub place: usize,
    /// The run.
    pub run: RunKey,
    /// What it takes.
    pub demand: TaskDemand,
    /// Whether it belongs to a gang, which ends as a whole.
    pub gang: bool,
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

/// Runs that end together: all members of a gang, or one run.
struct EvictionVictim<'a> {
    cost: u64,
    members: Vec<&'a EvictionCandidate>,
}

/// Finds places for `count` tasks of a step at a low cost.
///
/// Tasks that want one rack get one if any rack could hold them all.
#[must_use]
pub fn choose(
    rooms: &[WorkerRoom<'_>],
    candidates: &[EvictionCandidate],
    step: &StepDefinition,
    count: u64,
) -> Option<EvictionPlan> {
    let victims = victims(candidates);
    let by_place = victims_by_place(rooms.len(), &victims);
    let most = most_tasks(rooms, candidates, step);
    let can_hold = |places: &[usize]| places.iter().map(|&place| most[place]).sum::<u64>() >= count;
    let wants_rack = step.affinity.is_some() || (step.gang && step.rack_sensitive);
    let mut best: Option<EvictionPlan> = None;
    if wants_rack {
        for (rack, places) in placement::by_rack(rooms) {
            let is_wished = step.affinity.as_ref().is_none_or(|wished| wished == rack);
            if !is_wished || !can_hold(&places) {
                continue;
            }
            let limit = best.as_ref().map(|best| best.cost);
            let plan = fill(rooms, &victims, &by_place, step, &places, count, limit);
            best = plan.or(best);
        }
    }
    let all: Vec<usize> = (0..rooms.len()).collect();
    if best.is_some() || !can_hold(&all) {
        return best;
    }
    fill(rooms, &victims, &by_place, step, &all, count, None)
}

/// Returns how many tasks of the step would fit on each worker if all candidates were stopped.
fn most_tasks(
    rooms: &[WorkerRoom<'_>],
    candidates: &[EvictionCandidate],
    step: &StepDefinition,
) -> Vec<u64> {
    let mut rooms = rooms.to_vec();
    for candidate in candidates {
        rooms[candidate.place].free.add(&candidate.demand);
    }
    rooms.iter().map(|room| room.count(step)).collect()
}

fn victims(candidates: &[EvictionCandidate]) -> Vec<EvictionVictim<'_>> {
    let mut victims: IndexMap<(StepKey, Option<u32>), EvictionVictim<'_>> = IndexMap::new();
    for candidate in candidates {
        let task = candidate.run.task;
        let key = (task.step, (!candidate.gang).then_some(task.index));
        let victim = victims.entry(key).or_insert_with(|| EvictionVictim {
            cost: candidate.cost,
            members: Vec::new(),
        });
        victim.members.push(candidate);
    }
    victims.into_values().collect()
}

/// The room that stops make.
#[derive(Clone)]
struct FreedRoom<'a, 'v> {
    rooms: Vec<WorkerRoom<'a>>,
    places: &'v [usize],
    step: &'v StepDefinition,
    is_place: Vec<bool>,
}

impl<'a, 'v> FreedRoom<'a, 'v> {
    fn new(rooms: &[WorkerRoom<'a>], places: &'v [usize], step: &'v StepDefinition) -> Self {
        let mut is_place = vec![false; rooms.len()];
        for &place in places {
            is_place[place] = true;
        }
        Self {
            rooms: rooms.to_vec(),
            places,
            step,
            is_place,
        }
    }

    /// Returns how many tasks fit in the room.
    fn count(&self) -> u64 {
        let counts = self.places.iter();
        counts
            .map(|&place| self.rooms[place].count(self.step))
            .sum()
    }

    fn free(&mut self, victim: &EvictionVictim<'_>) {
        for member in &victim.members {
            self.rooms[member.place].free.add(&member.demand);
        }
    }

    fn restore(&mut self, victim: &EvictionVictim<'_>) {
        for member in &victim.members {
            self.rooms[member.place].free.subtract(&member.demand);
        }
    }

    /// Returns the tasks that fit, one place for each of the first `count`.
    fn places(&self, count: u64) -> Vec<usize> {
        let places = self.places.iter();
        let tasks = places.flat_map(|&place| {
            let fitting = self.rooms[place].count(self.step).min(count);
            std::iter::repeat_n(place, usize::try_from(fitting).unwrap_or(0))
        });
        tasks.take(usize::try_from(count).unwrap_or(0)).collect()
    }
}

/// Stops the victims that make the most room for their cost, until all tasks fit. Gives up when
/// that costs `limit` or more.
fn fill(
    rooms: &[WorkerRoom<'_>],
    victims: &[EvictionVictim<'_>],
    by_place: &[Vec<usize>],
    step: &StepDefinition,
    places: &[usize],
    count: u64,
    limit: Option<u64>,
) -> Option<EvictionPlan> {
    let mut room = FreedRoom::new(rooms, places, step);
    let mut is_stopped = vec![false; victims.len()];
    let mut stopped: Vec<usize> = Vec::new();
    let mut options: Vec<Option<EvictionOption>> = (0..rooms.len()).map(|_| None).collect();
    let mut changed: IndexSet<usize> = places.iter().copied().collect();
    let mut fitting = room.count();
    while fitting < count {
        // Only the workers that lost a run have other options than before.
        for place in changed.drain(..).filter(|&place| room.is_place[place]) {
            let left = by_place[place].iter().copied();
            let left = left.filter(|&victim| !is_stopped[victim]);
            options[place] = cheapest_option(&room, victims, left, place);
        }
        let missing = count - fitting;
        let open = options.iter().flatten();
        let best = open.min_by_key(|option| option.cost * SCALE / option.tasks.min(missing))?;
        for &victim in &best.victims {
            room.free(&victims[victim]);
            is_stopped[victim] = true;
            changed.extend(victims[victim].members.iter().map(|member| member.place));
        }
        stopped.extend(&best.victims);
        fitting = room.count();
    }
    prune(&mut room, victims, &mut stopped, count);
    let cost = stopped.iter().map(|&victim| victims[victim].cost).sum();
    if limit.is_some_and(|limit| cost >= limit) {
        return None;
    }
    let members = stopped.iter().flat_map(|&victim| &victims[victim].members);
    Some(EvictionPlan {
        places: room.places(count),
        runs: members.map(|member| member.run).collect(),
        cost,
    })
}

/// Takes back stops that turn out not to be needed, the dearest first.
fn prune(
    room: &mut FreedRoom<'_, '_>,
    victims: &[EvictionVictim<'_>],
    stopped: &mut Vec<usize>,
    count: u64,
) {
    stopped.sort_by_key(|&victim| std::cmp::Reverse(victims[victim].cost));
    stopped.retain(|&victim| {
        room.restore(&victims[victim]);
        let is_needed = room.count() < count;
        if is_needed {
            room.free(&victims[victim]);
        }
        is_needed
    });
}

/// Returns the victims with a member on each worker, the cheapest first.
fn victims_by_place(places: usize, victims: &[EvictionVictim<'_>]) -> Vec<Vec<usize>> {
    let mut by_place: Vec<Vec<usize>> = vec![Vec::new(); places];
    for (index, victim) in victims.iter().enumerate() {
        for member in &victim.members {
            let list = &mut by_place[member.place];
            if list.last() != Some(&index) {
                list.push(index);
            }
        }
    }
    for list in &mut by_place {
        list.sort_by_key(|&index| victims[index].cost);
    }
    by_place
}

/// Victims that make room for at least one more task.
struct EvictionOption {
    victims: Vec<usize>,
    cost: u64,
    tasks: u64,
}

/// Returns what it takes to fit one more task on a worker, and how many more fit by it anywhere.
fn cheapest_option(
    room: &FreedRoom<'_, '_>,
    victims: &[EvictionVictim<'_>],
    candidates: impl Iterator<Item = usize>,
    place: usize,
) -> Option<EvictionOption> {
    let before = room.rooms[place].count(room.step);
    let mut worker = room.rooms[place].clone();
    let mut chosen = Vec::new();
    for index in candidates {
        let members = victims[index].members.iter();
        for member in members.filter(|member| member.place == place) {
            worker.free.add(&member.demand);
        }
        chosen.push(index);
        if worker.count(room.step) > before {
            let cost = chosen.iter().map(|&index| victims[index].cost).sum();
            let tasks = gain(room, victims, &chosen).max(1);
            return Some(EvictionOption {
                victims: chosen,
                cost,
                tasks,
            });
        }
    }
    None
}

/// Returns how many more tasks fit after a stop of the victims.
fn gain(room: &FreedRoom<'_, '_>, victims: &[EvictionVictim<'_>], chosen: &[usize]) -> u64 {
    let mut freed: IndexMap<usize, WorkerRoom<'_>> = IndexMap::new();
    for member in chosen.iter().flat_map(|&index| &victims[index].members) {
        let worker = freed
            .entry(member.place)
            .or_insert_with(|| room.rooms[member.place].clone());
        worker.free.add(&member.demand);
    }
    let here = freed.iter().filter(|(place, _)| room.is_place[**place]);
    here.map(|(place, worker)| worker.count(room.step) - room.rooms[*place].count(room.step))
        .sum()
}
