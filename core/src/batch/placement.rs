//! Placing tasks: pure functions over a view of the room that is left.

use crate::batch::job::StepDefinition;
use crate::batch::job::TaskDemand;
use crate::batch::job::WorkerLabel;
use crate::ids::RackName;
use crate::ids::WorkerName;

/// The room of one worker.
#[derive(Clone, Debug)]
pub struct WorkerRoom<'a> {
    /// The worker.
    pub worker: &'a WorkerName,
    /// Its rack.
    pub rack: &'a RackName,
    /// Its labels.
    pub labels: &'a [WorkerLabel],
    /// What is left of it.
    pub free: TaskDemand,
    /// What it has in all.
    pub capacity: TaskDemand,
    /// Tasks of the step in question that are already there.
    pub same_step: u32,
}

/// How strictly a step's wish for a rack is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RackRule {
    /// Only places at full speed.
    Strict,
    /// Any place.
    Any,
}

impl WorkerRoom<'_> {
    /// Returns how many tasks of the step fit here.
    #[must_use]
    pub fn count(&self, step: &StepDefinition) -> u64 {
        let required = step.requirement.as_ref();
        if required.is_some_and(|label| !self.labels.contains(label)) {
            return 0;
        }
        let fitting = step.reserved_demand().count_fitting(&self.free);
        let spread = step
            .spread
            .map(|most| u64::from(most.saturating_sub(self.same_step)));
        spread.map_or(fitting, |most| fitting.min(most))
    }

    /// Returns what is left beside a task, in thousandths of the scarcest resource, so that a
    /// tight fit has a low value and whole workers stay free for large tasks.
    #[must_use]
    fn slack(&self, step: &StepDefinition) -> u64 {
        let mut rest = self.free;
        rest.subtract(&step.reserved_demand());
        let share = |left: u64, all: u64| (left * 1_000).checked_div(all).unwrap_or(0);
        share(rest.gpu, self.capacity.gpu) * 2
            + share(rest.cpu, self.capacity.cpu)
            + share(rest.memory, self.capacity.memory)
    }
}

/// Places one task. `home` is the rack where other tasks of a rack-sensitive step run.
#[must_use]
pub fn place_single(
    rooms: &[WorkerRoom<'_>],
    step: &StepDefinition,
    home: Option<&RackName>,
    rule: RackRule,
) -> Option<usize> {
    let wished = step.affinity.as_ref().or(home);
    let is_near = |room: &WorkerRoom<'_>| wished.is_none_or(|rack| rack == room.rack);
    let fitting = rooms.iter().enumerate();
    let fitting = fitting.filter(|(_, room)| room.count(step) > 0);
    let fitting = fitting.filter(|(_, room)| rule == RackRule::Any || is_near(room));
    let best = fitting.min_by_key(|(_, room)| (!is_near(room), room.slack(step)));
    best.map(|(place, _)| place)
}

/// Places all tasks of a gang. The result has one worker for each task.
#[must_use]
pub fn place_gang(
    rooms: &[WorkerRoom<'_>],
    step: &StepDefinition,
    rule: RackRule,
) -> Option<Vec<usize>> {
    let count = u64::from(step.count);
    let all: Vec<usize> = (0..rooms.len()).collect();
    if step.affinity.is_none() && !step.rack_sensitive {
        return fill(rooms, step, &all, count);
    }
    let mut racks: Vec<(bool, u64, Vec<usize>)> = by_rack(rooms)
        .into_iter()
        .map(|(rack, places)| {
            let room: u64 = places.iter().map(|&place| rooms[place].count(step)).sum();
            let is_away = step.affinity.as_ref().is_some_and(|wished| wished != rack);
            (is_away, room, places)
        })
        .filter(|(is_away, room, _)| *room >= count && !(rule == RackRule::Strict && *is_away))
        .collect();
    racks.sort_by_key(|(is_away, room, _)| (*is_away, *room));
    if let Some((_, _, places)) = racks.first() {
        return fill(rooms, step, places, count);
    }
    if rule == RackRule::Strict {
        return None;
    }
    fill(rooms, step, &all, count)
}

/// Tells whether at least half of every resource of the workers is free.
#[must_use]
pub fn is_mostly_free(rooms: &[WorkerRoom<'_>]) -> bool {
    let mut free = TaskDemand::default();
    let mut whole = TaskDemand::default();
    for room in rooms {
        free.add(&room.free);
        whole.add(&room.capacity);
    }
    free.cpu * 2 >= whole.cpu && free.memory * 2 >= whole.memory && free.gpu * 2 >= whole.gpu
}

/// Tells whether workers of these capacities could hold a gang, or one task of another step.
#[must_use]
pub fn can_hold(rooms: &[WorkerRoom<'_>], step: &StepDefinition) -> bool {
    let needed = if step.gang { u64::from(step.count) } else { 1 };
    let whole = rooms.iter().map(|room| whole_count(room, step));
    whole.fold(0_u64, u64::saturating_add) >= needed
}

/// Returns how many tasks of the step fit on an empty worker.
fn whole_count(room: &WorkerRoom<'_>, step: &StepDefinition) -> u64 {
    let empty = WorkerRoom {
        free: room.capacity,
        same_step: 0,
        ..room.clone()
    };
    empty.count(step)
}

/// Tells whether a step could run at full speed on workers of these capacities.
#[must_use]
pub fn can_be_near(rooms: &[WorkerRoom<'_>], step: &StepDefinition) -> bool {
    if step.affinity.is_none() && !(step.gang && step.rack_sensitive) {
        return true;
    }
    by_rack(rooms).into_iter().any(|(rack, places)| {
        let is_wished = step.affinity.as_ref().is_none_or(|wished| wished == rack);
        let needed = if step.gang { u64::from(step.count) } else { 1 };
        let whole = places.iter().map(|&place| whole_count(&rooms[place], step));
        is_wished && whole.fold(0_u64, u64::saturating_add) >= needed
    })
}

/// Returns the places of each rack. The rooms have to come rack by rack.
#[must_use]
pub fn by_rack<'a>(rooms: &[WorkerRoom<'a>]) -> Vec<(&'a RackName, Vec<usize>)> {
    let mut racks: Vec<(&RackName, Vec<usize>)> = Vec::new();
    for (place, room) in rooms.iter().enumerate() {
        match racks.last_mut() {
            Some((rack, places)) if *rack == room.rack => places.push(place),
            _ => racks.push((room.rack, vec![place])),
        }
    }
    racks
}

/// Fills the tightest workers first.
fn fill(
    rooms: &[WorkerRoom<'_>],
    step: &StepDefinition,
    places: &[usize],
    count: u64,
) -> Option<Vec<usize>> {
    let mut fitting: Vec<(u64, u64, usize)> = places
        .iter()
        .map(|&place| (rooms[place].count(step), rooms[place].slack(step), place))
        .filter(|(times, _, _)| *times > 0)
        .collect();
    fitting.sort_by_key(|(_, slack, place)| (*slack, *place));
    let mut chosen = Vec::with_capacity(usize::try_from(count).unwrap_or(0));
    for (times, _, place) in fitting {
        let missing = count - chosen.len() as u64;
        for _ in 0..times.min(missing) {
            chosen.push(place);
        }
        if chosen.len() as u64 == count {
            return Some(chosen);
        }
    }
    None
}
