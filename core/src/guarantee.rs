//! Guaranteed shapes: whether all of them fit on the fleet, and which capacity remains for other
//! jobs.

use std::cmp::Reverse;
use std::collections::HashMap;

use indexmap::IndexMap;

use crate::config::GuaranteedShape;
use crate::config::ResourceDemand;
use crate::config::TeamFile;
use crate::fleet::FleetIndex;
use crate::fleet::NO_CAPACITY;
use crate::fleet::min_demand;
use crate::fleet::scale_demand;
use crate::ids::TeamName;
use crate::ids::WorkerName;
use crate::placement::GangShape;
use crate::placement::PlacementStyle;
use crate::placement::place;
use crate::policy::WorkerSlot;
use crate::record::JobOrder;

plain_data! {
    /// A guaranteed shape with the workers that it is placed on.
    pub struct PlacedShape {
        /// Owner of the guarantee.
        pub team: TeamName,
        /// Position of the shape among the team's guarantees.
        pub shape: usize,
        /// Worker of each part.
        pub workers: Vec<WorkerName>,
    }

    /// Guaranteed shapes that do not fit on the usable workers.
    pub struct UnplacedShape {
        /// Owner of the guarantee.
        pub team: TeamName,
        /// Position of the shape among the team's guarantees.
        pub shape: usize,
        /// Number of shapes that do not fit.
        pub count: u32,
    }
}

/// One member of a running non-preemptible job.
#[derive(Clone, Copy, Debug)]
pub struct PinnedTask<'a> {
    /// Team that the job belongs to.
    pub team: &'a TeamName,
    /// Index of the worker in the fleet.
    pub worker: usize,
    /// Demand of the member.
    pub demand: ResourceDemand,
}

/// Placement of all guaranteed shapes and the capacity outside them.
///
/// Pinned tasks of a team count towards the team's own shapes: a shape that covers such a task
/// reserves only the remainder of its demand on the worker.
#[derive(Clone, Debug)]
pub struct GuaranteeLayout<'a> {
    teams: &'a IndexMap<TeamName, TeamFile>,
    /// Shapes that fit, with their workers.
    pub placed: Vec<PlacedShape>,
    /// Shapes that do not fit.
    pub unplaced: Vec<UnplacedShape>,
    /// Capacity of each worker outside pinned tasks and shapes.
    unreserved: Vec<ResourceDemand>,
    /// Demand of a team's pinned tasks on a worker that no shape of the team covers, by team and
    /// worker.
    uncovered: HashMap<(usize, usize), ResourceDemand>,
    /// Part of a team's shapes on a worker that no pinned task uses, by team and worker.
    unused: HashMap<(usize, usize), ResourceDemand>,
}

fn difference_of(mut whole: ResourceDemand, part: &ResourceDemand) -> ResourceDemand {
    whole.subtract(part);
    whole
}

fn sum_of(mut whole: ResourceDemand, part: &ResourceDemand) -> ResourceDemand {
    whole.add(part);
    whole
}

/// Returns a guaranteed shape as the shape of a gang that fills it.
#[must_use]
pub const fn gang_shape(shape: &GuaranteedShape) -> GangShape {
    GangShape {
        members: shape.workers,
        demand: shape.per_worker,
        same_rack: shape.same_rack,
        spread: false,
    }
}

/// Returns the sum of a team's guaranteed shapes.
#[must_use]
pub fn guaranteed_total(file: &TeamFile) -> ResourceDemand {
    file.guarantees.iter().fold(NO_CAPACITY, |total, shape| {
        sum_of(
            total,
            &scale_demand(&shape.per_worker, shape.workers * shape.count),
        )
    })
}

/// A guaranteed shape that is not placed yet.
#[derive(Clone, Copy)]
struct PendingShape<'a> {
    team: usize,
    name: &'a TeamName,
    index: usize,
    shape: &'a GuaranteedShape,
    count: u32,
}

impl PendingShape<'_> {
    /// Sort key by size: accelerators, then workers, then cores.
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
            if *usable { slot.offered } else { NO_CAPACITY }
        };
        let mut layout = Self {
            teams,
            placed: Vec::new(),
            unplaced: Vec::new(),
            unreserved: fleet
                .slots
                .values()
                .zip(&fleet.usable)
                .map(in_service)
                .collect(),
            uncovered: HashMap::new(),
            unused: HashMap::new(),
        };
        for task in pinned {
            layout.unreserved[task.worker].subtract(&task.demand);
            if let Some(team) = teams.get_index_of(task.team) {
                let uncovered = layout.uncovered.entry((team, task.worker)).or_default();
                uncovered.add(&task.demand);
            }
        }
        layout
    }

    fn capacity_of(&self, team: usize) -> Vec<ResourceDemand> {
        let mut capacity = self.unreserved.clone();
        for ((owner, worker), uncovered) in &self.uncovered {
            if *owner == team {
                capacity[*worker].add(uncovered);
            }
        }
        capacity
    }

    /// Reserves one part of a shape on a worker. Returns false when it does not fit.
    fn reserve_part(&mut self, team: usize, worker: usize, part: &ResourceDemand) -> bool {
        let key = (team, worker);
        let uncovered = self.uncovered.get(&key).copied().unwrap_or(NO_CAPACITY);
        let covered = min_demand(&uncovered, part);
        let rest = difference_of(*part, &covered);
        if !rest.fits(&self.unreserved[worker]) {
            return false;
        }
        self.unreserved[worker].subtract(&rest);
        if uncovered != NO_CAPACITY {
            self.uncovered
                .insert(key, difference_of(uncovered, &covered));
        }
        self.unused.entry(key).or_default().add(&rest);
        true
    }

    /// Reverts the latest reservations of parts on the given workers.
    fn release_parts(&mut self, team: usize, parts: &[(usize, ResourceDemand, ResourceDemand)]) {
        for (worker, rest, covered) in parts {
            self.unreserved[*worker].add(rest);
            self.uncovered
                .entry((team, *worker))
                .or_default()
                .add(covered);
            if let Some(unused) = self.unused.get_mut(&(team, *worker)) {
                unused.subtract(rest);
            }
        }
    }

    fn reserve_shape(&mut self, team: usize, workers: &[usize], part: &ResourceDemand) -> bool {
        let mut done = Vec::with_capacity(workers.len());
        for worker in workers {
            let uncovered = self.uncovered.get(&(team, *worker));
            let covered = uncovered.map_or(NO_CAPACITY, |uncovered| min_demand(uncovered, part));
            if !self.reserve_part(team, *worker, part) {
                self.release_parts(team, &done);
                return false;
            }
            done.push((*worker, difference_of(*part, &covered), covered));
        }
        true
    }

    /// Retains the shapes of a previous layout that still fit. Returns the number retained of each.
    fn retain(
        &mut self,
        fleet: &FleetIndex<'_>,
        previous: &[PlacedShape],
    ) -> HashMap<(usize, usize), u32> {
        let teams = self.teams;
        let mut kept: HashMap<(usize, usize), u32> = HashMap::new();
        for placed in previous {
            let Some((team, _, file)) = teams.get_full(&placed.team) else {
                continue;
            };
            let Some(shape) = file.guarantees.get(placed.shape) else {
                continue;
            };
            let count = kept.entry((team, placed.shape)).or_default();
            let workers: Option<Vec<usize>> = placed
                .workers
                .iter()
                .map(|worker| fleet.slots.get_index_of(worker))
                .collect();
            let Some(workers) = workers else { continue };
            let fresh = *count < shape.count && workers.len() == shape.workers as usize;
            if fresh && self.reserve_shape(team, &workers, &shape.per_worker) {
                *count += 1;
                self.placed.push(placed.clone());
            }
        }
        kept
    }

    fn place_pending(&mut self, fleet: &FleetIndex<'_>, pending: &PendingShape<'_>) {
        let gang = gang_shape(pending.shape);
        for done in 0..pending.count {
            let capacity = self.capacity_of(pending.team);
            let found = place(&gang, fleet, &capacity, PlacementStyle::BestFit);
            let placed = found.filter(|workers| {
                self.reserve_shape(pending.team, workers, &pending.shape.per_worker)
            });
            let Some(workers) = placed else {
                self.unplaced.push(UnplacedShape {
                    team: pending.name.clone(),
                    shape: pending.index,
                    count: pending.count - done,
                });
                return;
            };
            self.placed.push(PlacedShape {
                team: pending.name.clone(),
                shape: pending.index,
                workers: fleet.names(&workers),
            });
        }
    }

    /// Returns the number of shapes that do not fit.
    #[must_use]
    pub fn unplaced_count(&self) -> u32 {
        self.unplaced.iter().map(|unplaced| unplaced.count).sum()
    }

    /// Returns the capacity for a team's non-preemptible jobs: everything outside all shapes and
    /// the unused part of the team's own shapes.
    #[must_use]
    pub fn pinned_capacity(&self, team: &TeamName) -> Vec<ResourceDemand> {
        let mut capacity = self.unreserved.clone();
        for (worker, unused) in self.unused_of(team) {
            capacity[worker].add(unused);
        }
        capacity
    }

    /// Returns the unused part of a team's shapes on each worker.
    #[must_use]
    pub fn claimable_capacity(&self, team: &TeamName) -> Vec<ResourceDemand> {
        let mut capacity = vec![NO_CAPACITY; self.unreserved.len()];
        for (worker, unused) in self.unused_of(team) {
            capacity[worker].add(unused);
        }
        capacity
    }

    fn unused_of(&self, team: &TeamName) -> impl Iterator<Item = (usize, &ResourceDemand)> {
        let team = self.teams.get_index_of(team);
        self.unused
            .iter()
            .filter(move |((owner, _), _)| Some(*owner) == team)
            .map(|((_, worker), unused)| (*worker, unused))
    }

    /// Pins a non-preemptible job. Its workers must come from [`Self::pinned_capacity`].
    pub fn pin(&mut self, team: &TeamName, workers: &[usize], demand: &ResourceDemand) {
        let team = self.teams.get_index_of(team);
        for worker in workers {
            let key = team.map(|team| (team, *worker));
            let unused = key.and_then(|key| self.unused.get_mut(&key));
            let covered = unused
                .as_ref()
                .map_or(NO_CAPACITY, |unused| min_demand(unused, demand));
            if let Some(unused) = unused {
                unused.subtract(&covered);
            }
            self.unreserved[*worker].subtract(&difference_of(*demand, &covered));
        }
    }
}

fn pending_shapes<'a>(
    teams: &'a IndexMap<TeamName, TeamFile>,
    kept: &HashMap<(usize, usize), u32>,
) -> Vec<PendingShape<'a>> {
    let mut pending = Vec::new();
    for (team, (name, file)) in teams.iter().enumerate() {
        for (index, shape) in file.guarantees.iter().enumerate() {
            let count = shape.count - kept.get(&(team, index)).copied().unwrap_or(0);
            if count > 0 {
                pending.push(PendingShape {
                    team,
                    name,
                    index,
                    shape,
                    count,
                });
            }
        }
    }
    pending.sort_by_key(|pending| Reverse((pending.shape.same_rack, pending.size())));
    pending
}

/// Places the guaranteed shapes of all teams, largest first, around the given pinned tasks.
///
/// If they do not all fit, the shapes are placed again starting with the team that has the smallest
/// guarantee, so that the largest teams lose theirs.
#[must_use]
pub fn build_layout<'a>(
    fleet: &FleetIndex<'_>,
    teams: &'a IndexMap<TeamName, TeamFile>,
    pinned: &[PinnedTask<'_>],
) -> GuaranteeLayout<'a> {
    let mut pending = pending_shapes(teams, &HashMap::new());
    let fill = |pending: &[PendingShape<'_>]| {
        let mut layout = GuaranteeLayout::empty(fleet, teams, pinned);
        for pending in pending {
            layout.place_pending(fleet, pending);
        }
        layout
    };
    let whole = fill(&pending);
    if whole.unplaced.is_empty() {
        return whole;
    }
    let totals: Vec<ResourceDemand> = teams.values().map(guaranteed_total).collect();
    pending.sort_by_key(|pending| {
        let total = &totals[pending.team];
        (total.accelerators, total.cores, pending.team)
    });
    fill(&pending)
}

/// Retains a previous layout as far as it still fits and places the remaining shapes.
///
/// A retained layout stays valid when jobs end, whereas a new greedy search may miss a shape that
/// the previous layout held. `allows_rebuild` permits a new search when shapes do not fit.
#[must_use]
pub fn refresh_layout<'a>(
    fleet: &FleetIndex<'_>,
    teams: &'a IndexMap<TeamName, TeamFile>,
    pinned: &[PinnedTask<'_>],
    previous: &[PlacedShape],
    allows_rebuild: bool,
) -> GuaranteeLayout<'a> {
    let mut kept = GuaranteeLayout::empty(fleet, teams, pinned);
    let counts = kept.retain(fleet, previous);
    for pending in pending_shapes(teams, &counts) {
        kept.place_pending(fleet, &pending);
    }
    if kept.unplaced.is_empty() || !allows_rebuild {
        return kept;
    }
    let fresh = build_layout(fleet, teams, pinned);
    if fresh.unplaced_count() <= kept.unplaced_count() {
        fresh
    } else {
        kept
    }
}

/// Checks that the usable workers hold the guaranteed shapes of all teams.
///
/// A published configuration is checked with all workers usable. Before a failure domain is taken
/// out of service, the check runs with its workers not usable.
///
/// # Errors
///
/// Returns a description of the first shape that does not fit.
pub fn check_guarantees(
    teams: &IndexMap<TeamName, TeamFile>,
    workers: &IndexMap<WorkerName, WorkerSlot>,
) -> Result<(), String> {
    let fleet = FleetIndex::new(workers);
    let layout = build_layout(&fleet, teams, &[]);
    let Some(unplaced) = layout.unplaced.first() else {
        return Ok(());
    };
    let shape = &teams[&unplaced.team].guarantees[unplaced.shape];
    let each = &shape.per_worker;
    Err(format!(
        "{} of {} guaranteed shapes of team {} with {} workers of {} accelerators and {} cores{} \
         do not fit beside the other guarantees",
        unplaced.count,
        shape.count,
        unplaced.team,
        shape.workers,
        each.accelerators,
        each.cores,
        if shape.same_rack { " in one rack" } else { "" },
    ))
}

/// Checks that a job could run on an otherwise empty fleet.
///
/// Workers that are out of service count with their full capacity, because they may return.
///
/// # Errors
///
/// Returns the reason why the job can never run.
pub fn check_feasibility(
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
    let offered = fleet.offered_capacity();
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
    let capacity = build_layout(&fleet, teams, &[]).pinned_capacity(&order.team);
    if place(&shape, &fleet, &capacity, PlacementStyle::BestFit).is_some() {
        return Ok(());
    }
    Err(format!(
        "the work cannot be stopped, and {} members with {} accelerators each do not fit beside \
         the guarantees of the other teams",
        spec.members, spec.demand.accelerators
    ))
}

/// Maximum number of members of a gang.
pub const MEMBER_LIMIT: u32 = 64;
