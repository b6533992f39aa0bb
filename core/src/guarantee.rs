//! Guaranteed shapes: whether all of them can be laid out, and what that leaves to other work.

use std::cmp::Reverse;
use std::collections::HashMap;

use indexmap::IndexMap;

use crate::config::GuaranteedShape;
use crate::config::ResourceDemand;
use crate::config::TeamFile;
use crate::fleet::FleetIndex;
use crate::fleet::NO_ROOM;
use crate::fleet::least;
use crate::fleet::times;
use crate::ids::TeamName;
use crate::ids::WorkerName;
use crate::placement::GangShape;
use crate::placement::PlacementStyle;
use crate::placement::place;
use crate::policy::WorkerSlot;
use crate::record::JobOrder;

plain_data! {
    /// One guaranteed shape at the workers that hold it.
    pub struct LaidShape {
        /// The team.
        pub team: TeamName,
        /// Position of the shape among the team's guarantees.
        pub shape: usize,
        /// The worker of each part.
        pub workers: Vec<WorkerName>,
    }

    /// Guaranteed shapes that the usable workers do not hold.
    pub struct MissingShape {
        /// The team.
        pub team: TeamName,
        /// Position of the shape among the team's guarantees.
        pub shape: usize,
        /// How many of them.
        pub count: u32,
    }
}

/// Running work that cannot be stopped, at its worker.
#[derive(Clone, Copy, Debug)]
pub struct PinnedTask<'a> {
    /// The team that it belongs to.
    pub team: &'a TeamName,
    /// Index of the worker in the fleet.
    pub worker: usize,
    /// What it takes.
    pub demand: ResourceDemand,
}

/// All guaranteed shapes at their workers, and the room beside them.
///
/// Pinned work of a team counts as part of the team's own shapes: a shape that is laid out over
/// such work takes only the rest from the worker.
#[derive(Clone, Debug)]
pub struct GuaranteeLayout<'a> {
    teams: &'a IndexMap<TeamName, TeamFile>,
    /// The shapes that are laid out.
    pub laid: Vec<LaidShape>,
    /// The shapes that are not.
    pub missing: Vec<MissingShape>,
    /// What each worker has beside pinned work and shapes.
    spare: Vec<ResourceDemand>,
    /// Pinned work of a team on a worker that no shape of the team covers yet.
    credit: HashMap<(usize, usize), ResourceDemand>,
    /// Part of a team's shapes on a worker that none of its pinned work uses.
    unused: HashMap<(usize, usize), ResourceDemand>,
}

fn less(mut whole: ResourceDemand, part: &ResourceDemand) -> ResourceDemand {
    whole.subtract(part);
    whole
}

fn sum(mut whole: ResourceDemand, part: &ResourceDemand) -> ResourceDemand {
    whole.add(part);
    whole
}

/// Returns a guaranteed shape as a gang that could run on it.
#[must_use]
pub const fn gang_shape(shape: &GuaranteedShape) -> GangShape {
    GangShape {
        members: shape.workers,
        demand: shape.per_worker,
        same_rack: shape.same_rack,
        spread: false,
    }
}

/// Returns the whole of a team's guaranteed shapes.
#[must_use]
pub fn guaranteed_total(file: &TeamFile) -> ResourceDemand {
    file.guarantees.iter().fold(NO_ROOM, |total, shape| {
        sum(
            total,
            &times(&shape.per_worker, shape.workers * shape.count),
        )
    })
}

/// One guaranteed shape that has to be laid out.
#[derive(Clone, Copy)]
struct WantedShape<'a> {
    team: usize,
    name: &'a TeamName,
    index: usize,
    shape: &'a GuaranteedShape,
    count: u32,
}

impl WantedShape<'_> {
    /// The size that ranks shapes: accelerators, then workers, then cores.
    fn size(&self) -> (u32, u32, u32) {
        let each = &self.shape.per_worker;
        let workers = self.shape.workers;
        (each.accelerators * workers, workers, each.cores * workers)
    }
}

impl<'a> GuaranteeLayout<'a> {
    fn empty(
        fleet: &FleetIndex<'_>,
        teams: &'a IndexMap<TeamName, TeamFile>,
        pinned: &[PinnedTask<'_>],
    ) -> Self {
        let in_service = |(slot, usable): (&WorkerSlot, &bool)| {
            if *usable { slot.offered } else { NO_ROOM }
        };
        let mut layout = Self {
            teams,
            laid: Vec::new(),
            missing: Vec::new(),
            spare: fleet
                .slots
                .values()
                .zip(&fleet.usable)
                .map(in_service)
                .collect(),
            credit: HashMap::new(),
            unused: HashMap::new(),
        };
        for task in pinned {
            layout.spare[task.worker].subtract(&task.demand);
            if let Some(team) = teams.get_index_of(task.team) {
                let credit = layout.credit.entry((team, task.worker)).or_default();
                credit.add(&task.demand);
            }
        }
        layout
    }

    fn room_of(&self, team: usize) -> Vec<ResourceDemand> {
        let mut room = self.spare.clone();
        for ((owner, worker), credit) in &self.credit {
            if *owner == team {
                room[*worker].add(credit);
            }
        }
        room
    }

    /// Lays one part of a shape on a worker. Returns false when it does not fit.
    fn lay_part(&mut self, team: usize, worker: usize, part: &ResourceDemand) -> bool {
        let key = (team, worker);
        let credit = self.credit.get(&key).copied().unwrap_or(NO_ROOM);
        let covered = least(&credit, part);
        let rest = less(*part, &covered);
        if !rest.fits(&self.spare[worker]) {
            return false;
        }
        self.spare[worker].subtract(&rest);
        if credit != NO_ROOM {
            self.credit.insert(key, less(credit, &covered));
        }
        self.unused.entry(key).or_default().add(&rest);
        true
    }

    /// Takes back parts that were laid last on the given workers.
    fn lift_parts(&mut self, team: usize, parts: &[(usize, ResourceDemand, ResourceDemand)]) {
        for (worker, rest, covered) in parts {
            self.spare[*worker].add(rest);
            self.credit.entry((team, *worker)).or_default().add(covered);
            if let Some(unused) = self.unused.get_mut(&(team, *worker)) {
                unused.subtract(rest);
            }
        }
    }

    fn lay(&mut self, team: usize, workers: &[usize], part: &ResourceDemand) -> bool {
        let mut done = Vec::with_capacity(workers.len());
        for worker in workers {
            let credit = self.credit.get(&(team, *worker));
            let covered = credit.map_or(NO_ROOM, |credit| least(credit, part));
            if !self.lay_part(team, *worker, part) {
                self.lift_parts(team, &done);
                return false;
            }
            done.push((*worker, less(*part, &covered), covered));
        }
        true
    }

    /// Keeps the shapes of an earlier layout that still hold. Returns how many of each are kept.
    fn keep(
        &mut self,
        fleet: &FleetIndex<'_>,
        earlier: &[LaidShape],
    ) -> HashMap<(usize, usize), u32> {
        let teams = self.teams;
        let mut kept: HashMap<(usize, usize), u32> = HashMap::new();
        for laid in earlier {
            let Some((team, _, file)) = teams.get_full(&laid.team) else {
                continue;
            };
            let Some(shape) = file.guarantees.get(laid.shape) else {
                continue;
            };
            let count = kept.entry((team, laid.shape)).or_default();
            let workers: Option<Vec<usize>> = laid
                .workers
                .iter()
                .map(|worker| fleet.slots.get_index_of(worker))
                .collect();
            let Some(workers) = workers else { continue };
            let fresh = *count < shape.count && workers.len() == shape.workers as usize;
            if fresh && self.lay(team, &workers, &shape.per_worker) {
                *count += 1;
                self.laid.push(laid.clone());
            }
        }
        kept
    }

    fn lay_wanted(&mut self, fleet: &FleetIndex<'_>, wanted: &WantedShape<'_>) {
        let gang = gang_shape(wanted.shape);
        for done in 0..wanted.count {
            let room = self.room_of(wanted.team);
            let found = place(&gang, fleet, &room, PlacementStyle::BestFit);
            let laid =
                found.filter(|workers| self.lay(wanted.team, workers, &wanted.shape.per_worker));
            let Some(workers) = laid else {
                self.missing.push(MissingShape {
                    team: wanted.name.clone(),
                    shape: wanted.index,
                    count: wanted.count - done,
                });
                return;
            };
            self.laid.push(LaidShape {
                team: wanted.name.clone(),
                shape: wanted.index,
                workers: fleet.names(&workers),
            });
        }
    }

    /// Returns how many shapes are not laid out.
    #[must_use]
    pub fn missing_count(&self) -> u32 {
        self.missing.iter().map(|missing| missing.count).sum()
    }

    /// Returns the room for work of a team that cannot be stopped: beside all shapes, and within
    /// the unused part of the team's own.
    #[must_use]
    pub fn pinned_room(&self, team: &TeamName) -> Vec<ResourceDemand> {
        let mut room = self.spare.clone();
        for (worker, unused) in self.unused_of(team) {
            room[worker].add(unused);
        }
        room
    }

    /// Returns the unused part of a team's shapes on each worker.
    #[must_use]
    pub fn claim_room(&self, team: &TeamName) -> Vec<ResourceDemand> {
        let mut room = vec![NO_ROOM; self.spare.len()];
        for (worker, unused) in self.unused_of(team) {
            room[worker].add(unused);
        }
        room
    }

    fn unused_of(&self, team: &TeamName) -> impl Iterator<Item = (usize, &ResourceDemand)> {
        let team = self.teams.get_index_of(team);
        self.unused
            .iter()
            .filter(move |((owner, _), _)| Some(*owner) == team)
            .map(|((_, worker), unused)| (*worker, unused))
    }

    /// Adds work that cannot be stopped. The caller took its workers from [`Self::pinned_room`].
    pub fn pin(&mut self, team: &TeamName, workers: &[usize], demand: &ResourceDemand) {
        let team = self.teams.get_index_of(team);
        for worker in workers {
            let key = team.map(|team| (team, *worker));
            let unused = key.and_then(|key| self.unused.get_mut(&key));
            let covered = unused
                .as_ref()
                .map_or(NO_ROOM, |unused| least(unused, demand));
            if let Some(unused) = unused {
                unused.subtract(&covered);
            }
            self.spare[*worker].subtract(&less(*demand, &covered));
        }
    }
}

fn wanted_shapes<'a>(
    teams: &'a IndexMap<TeamName, TeamFile>,
    kept: &HashMap<(usize, usize), u32>,
) -> Vec<WantedShape<'a>> {
    let mut wanted = Vec::new();
    for (team, (name, file)) in teams.iter().enumerate() {
        for (index, shape) in file.guarantees.iter().enumerate() {
            let count = shape.count - kept.get(&(team, index)).copied().unwrap_or(0);
            if count > 0 {
                wanted.push(WantedShape {
                    team,
                    name,
                    index,
                    shape,
                    count,
                });
            }
        }
    }
    wanted.sort_by_key(|wanted| Reverse((wanted.shape.same_rack, wanted.size())));
    wanted
}

/// Lays out all guaranteed shapes of all teams, the largest first, with the given work pinned.
///
/// When they do not all fit, the shapes of the smallest teams are laid out first, so that those
/// of the largest teams are missing.
#[must_use]
pub fn layout<'a>(
    fleet: &FleetIndex<'_>,
    teams: &'a IndexMap<TeamName, TeamFile>,
    pinned: &[PinnedTask<'_>],
) -> GuaranteeLayout<'a> {
    let mut wanted = wanted_shapes(teams, &HashMap::new());
    let fill = |wanted: &[WantedShape<'_>]| {
        let mut layout = GuaranteeLayout::empty(fleet, teams, pinned);
        for wanted in wanted {
            layout.lay_wanted(fleet, wanted);
        }
        layout
    };
    let whole = fill(&wanted);
    if whole.missing.is_empty() {
        return whole;
    }
    let totals: Vec<ResourceDemand> = teams.values().map(guaranteed_total).collect();
    wanted.sort_by_key(|wanted| {
        let total = &totals[wanted.team];
        (total.accelerators, total.cores, wanted.team)
    });
    fill(&wanted)
}

/// Keeps an earlier layout as far as it holds and lays out the rest.
///
/// A layout that is kept stays valid when work ends, while one made afresh by a greedy search may
/// miss a shape that the earlier one held. `retry` allows a fresh search when shapes are missing.
#[must_use]
pub fn refresh<'a>(
    fleet: &FleetIndex<'_>,
    teams: &'a IndexMap<TeamName, TeamFile>,
    pinned: &[PinnedTask<'_>],
    earlier: &[LaidShape],
    retry: bool,
) -> GuaranteeLayout<'a> {
    let mut kept = GuaranteeLayout::empty(fleet, teams, pinned);
    let counts = kept.keep(fleet, earlier);
    for wanted in wanted_shapes(teams, &counts) {
        kept.lay_wanted(fleet, &wanted);
    }
    if kept.missing.is_empty() || !retry {
        return kept;
    }
    let fresh = layout(fleet, teams, pinned);
    if fresh.missing_count() <= kept.missing_count() {
        fresh
    } else {
        kept
    }
}

/// Checks that the usable workers hold all guaranteed shapes of all teams.
///
/// The check of a published configuration passes all workers as usable; the check of a failure
/// domain that goes out passes its workers as not usable.
///
/// # Errors
///
/// Returns which shape of which team does not fit.
pub fn check_config(
    teams: &IndexMap<TeamName, TeamFile>,
    workers: &IndexMap<WorkerName, WorkerSlot>,
) -> Result<(), String> {
    let fleet = FleetIndex::new(workers);
    let layout = layout(&fleet, teams, &[]);
    let Some(missing) = layout.missing.first() else {
        return Ok(());
    };
    let shape = &teams[&missing.team].guarantees[missing.shape];
    let each = &shape.per_worker;
    Err(format!(
        "{} of {} guaranteed shapes of team {} with {} workers of {} accelerators and {} cores{} \
         do not fit beside the other guarantees",
        missing.count,
        shape.count,
        missing.team,
        shape.workers,
        each.accelerators,
        each.cores,
        if shape.same_rack { " in one rack" } else { "" },
    ))
}

/// Checks that a job could run if nothing else ran.
///
/// All workers count with all that they offer, in service or not, because they may return.
///
/// # Errors
///
/// Returns why the job can never run.
pub fn can_ever_run(
    order: &JobOrder,
    workers: &IndexMap<WorkerName, WorkerSlot>,
    teams: &IndexMap<TeamName, TeamFile>,
) -> Result<(), String> {
    let spec = &order.spec;
    let shape = GangShape::of(spec);
    if spec.members == 0 || spec.members > MEMBER_LIMIT {
        return Err(format!(
            "a gang has 1 to {MEMBER_LIMIT} members, and the job asks for {}",
            spec.members
        ));
    }
    if shape.same_rack && shape.spread && shape.members > 1 {
        return Err("a gang in one rack cannot be spread over failure domains".into());
    }
    let fleet = FleetIndex::new(workers);
    let offered = fleet.offered_room();
    if place(&shape, &fleet, &offered, PlacementStyle::BestFit).is_none() {
        return Err(format!(
            "no region has workers for {} members with {} slots, {} accelerators, {} cores and \
             {} MiB each{}",
            spec.members,
            spec.demand.slots,
            spec.demand.accelerators,
            spec.demand.cores,
            spec.demand.memory_mib,
            if shape.same_rack { " in one rack" } else { "" },
        ));
    }
    if spec.can_be_preempted() {
        return Ok(());
    }
    let mut fleet = fleet;
    fleet.usable.fill(true);
    let room = layout(&fleet, teams, &[]).pinned_room(&order.team);
    if place(&shape, &fleet, &room, PlacementStyle::BestFit).is_some() {
        return Ok(());
    }
    Err(format!(
        "the work cannot be stopped, and {} members with {} accelerators each do not fit beside \
         the guarantees of the other teams",
        spec.members, spec.demand.accelerators
    ))
}

/// Members of the largest gang.
pub const MEMBER_LIMIT: u32 = 64;
