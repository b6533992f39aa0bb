//! Gang placement: searches for a set of workers that fits a gang.

use indexmap::IndexMap;

use crate::config::GangAdjacency;
use crate::config::ResourceDemand;
use crate::config::ServiceSpec;
use crate::fleet::FleetIndex;
use crate::fleet::member_capacity;
use crate::fleet::min_demand;

/// Strategy for choosing among the sets of workers that fit a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementStyle {
    /// The first workers in list order.
    FirstFit,
    /// Workers and racks with the least capacity left over; idle racks are used last.
    BestFit,
}

/// Placement constraints of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GangShape {
    /// Number of members.
    pub members: u32,
    /// Demand of one member.
    pub demand: ResourceDemand,
    /// Whether all members must run in one rack.
    pub same_rack: bool,
    /// Whether members must be spread over failure domains.
    pub spread: bool,
}

impl GangShape {
    /// Returns the shape that a service declares.
    #[must_use]
    pub const fn of(spec: &ServiceSpec) -> Self {
        Self {
            members: spec.members,
            demand: spec.demand,
            same_rack: matches!(spec.adjacency, GangAdjacency::SameRack),
            spread: spec.spread_domains,
        }
    }
}

/// A rack or a worker as a bin of the packing.
#[derive(Clone, Copy, Debug)]
struct MemberBin {
    id: usize,
    count: u32,
    is_idle: bool,
    accelerators: u32,
}

impl MemberBin {
    /// Sort key among bins that fit the remaining members. Idle bins come last; among the others,
    /// the bin with the fewest free accelerators comes first, because it is of least use to large
    /// gangs.
    fn rank(&self, need: u32) -> (bool, u32, u32, usize) {
        (self.is_idle, self.accelerators, self.count - need, self.id)
    }
}

/// Chooses bins for `need` members: the best single bin that fits, otherwise the largest bins
/// first.
fn choose_bins(mut bins: Vec<MemberBin>, mut need: u32) -> Option<Vec<(MemberBin, u32)>> {
    let total: u64 = bins.iter().map(|bin| u64::from(bin.count)).sum();
    if total < u64::from(need) {
        return None;
    }
    let mut chosen = Vec::new();
    while need > 0 {
        let single = (0..bins.len())
            .filter(|index| bins[*index].count >= need)
            .min_by_key(|index| bins[*index].rank(need));
        let index = match single {
            Some(index) => index,
            None => (0..bins.len())
                .max_by_key(|index| (bins[*index].count, std::cmp::Reverse(bins[*index].id)))?,
        };
        let bin = bins.swap_remove(index);
        let taken = bin.count.min(need);
        need -= taken;
        chosen.push((bin, taken));
    }
    Some(chosen)
}

/// State of one placement search.
struct PlacementSearch<'s, 'a> {
    shape: &'s GangShape,
    fleet: &'s FleetIndex<'a>,
    capacity: &'s [ResourceDemand],
    counts: Vec<u32>,
}

/// Workers with their member counts, and the cost by which regions are compared.
struct RegionPlacement {
    cost: (usize, usize, u32),
    workers: Vec<(usize, u32)>,
}

impl PlacementSearch<'_, '_> {
    fn worker_bin(&self, worker: usize) -> MemberBin {
        let offered = &self.fleet.slots[worker].offered;
        MemberBin {
            id: worker,
            count: self.counts[worker],
            is_idle: self.capacity[worker] == *offered,
            accelerators: self.capacity[worker].accelerators,
        }
    }

    fn rack_bin(&self, rack: usize) -> MemberBin {
        let mut bin = MemberBin {
            id: rack,
            count: 0,
            is_idle: true,
            accelerators: 0,
        };
        for worker in &self.fleet.racks[rack].workers {
            let part = self.worker_bin(*worker);
            bin.count = (bin.count + part.count).min(self.shape.members);
            bin.is_idle &= part.is_idle;
            bin.accelerators += part.accelerators;
        }
        bin
    }

    fn pack(&self, racks: impl Iterator<Item = usize>, need: u32) -> Option<RegionPlacement> {
        let mut bins: Vec<MemberBin> = racks
            .map(|rack| self.rack_bin(rack))
            .filter(|bin| bin.count > 0)
            .collect();
        if self.shape.same_rack {
            bins.retain(|bin| bin.count >= need);
        }
        let chosen = choose_bins(bins, need)?;
        let mut workers = Vec::new();
        let mut cost = (chosen.len(), 0, 0);
        for (rack, taken) in chosen {
            cost.1 += usize::from(rack.is_idle);
            cost.2 += rack.accelerators;
            let bins = self.fleet.racks[rack.id]
                .workers
                .iter()
                .map(|worker| self.worker_bin(*worker))
                .filter(|bin| bin.count > 0)
                .collect();
            let chosen_workers = choose_bins(bins, taken)?;
            workers.extend(
                chosen_workers
                    .into_iter()
                    .map(|(bin, taken)| (bin.id, taken)),
            );
        }
        Some(RegionPlacement { cost, workers })
    }

    fn racks_of(&self, region: usize) -> impl Iterator<Item = usize> {
        let racks = &self.fleet.racks;
        (0..racks.len()).filter(move |rack| racks[*rack].region == region)
    }

    /// Distributes the members over the failure domains of a region as evenly as capacity allows.
    fn domain_parts(&self, region: usize) -> Option<Vec<(usize, u32)>> {
        let mut capacity: IndexMap<usize, u32> = IndexMap::new();
        for rack in self.racks_of(region) {
            let count = self.rack_bin(rack).count;
            *capacity.entry(self.fleet.racks[rack].domain).or_default() += count;
        }
        let mut parts: Vec<(usize, u32)> = capacity.keys().map(|domain| (*domain, 0)).collect();
        for _ in 0..self.shape.members {
            let open = parts
                .iter_mut()
                .filter(|(domain, part)| capacity[domain] > *part);
            open.min_by_key(|(_, part)| *part)?.1 += 1;
        }
        parts.retain(|(_, part)| *part > 0);
        let several = self.shape.members > 1 && self.fleet.usable_domains[region].len() > 1;
        (!several || parts.len() > 1).then_some(parts)
    }

    fn pack_spread(&self, region: usize) -> Option<RegionPlacement> {
        let mut placement = RegionPlacement {
            cost: (0, 0, 0),
            workers: Vec::new(),
        };
        for (domain, part) in self.domain_parts(region)? {
            let racks = self
                .racks_of(region)
                .filter(|rack| self.fleet.racks[*rack].domain == domain);
            let part_placement = self.pack(racks, part)?;
            placement.cost.0 += part_placement.cost.0;
            placement.cost.1 += part_placement.cost.1;
            placement.cost.2 += part_placement.cost.2;
            placement.workers.extend(part_placement.workers);
        }
        Some(placement)
    }

    fn best_fit(&self) -> Option<Vec<(usize, u32)>> {
        (0..self.fleet.region_count)
            .filter_map(|region| {
                if self.shape.spread {
                    self.pack_spread(region)
                } else {
                    self.pack(self.racks_of(region), self.shape.members)
                }
            })
            .min_by_key(|placement| placement.cost)
            .map(|placement| placement.workers)
    }

    fn first_fit_in(&self, workers: impl Iterator<Item = usize>) -> Option<Vec<(usize, u32)>> {
        let mut need = self.shape.members;
        let mut chosen_workers = Vec::new();
        for worker in workers {
            let taken = self.counts[worker].min(need);
            if taken > 0 {
                chosen_workers.push((worker, taken));
                need -= taken;
            }
            if need == 0 {
                return Some(chosen_workers);
            }
        }
        None
    }

    fn first_fit(&self) -> Option<Vec<(usize, u32)>> {
        let racks = &self.fleet.racks;
        if self.shape.spread {
            return (0..self.fleet.region_count)
                .find_map(|region| self.pack_spread(region))
                .map(|placement| placement.workers);
        }
        if self.shape.same_rack {
            return racks
                .iter()
                .find_map(|rack| self.first_fit_in(rack.workers.iter().copied()));
        }
        (0..self.fleet.region_count).find_map(|region| {
            let workers = self
                .racks_of(region)
                .flat_map(|rack| racks[rack].workers.iter().copied());
            self.first_fit_in(workers)
        })
    }
}

/// Finds a worker for each member of a gang, or returns `None` when the gang does not fit.
///
/// `capacity` has one entry per worker of the fleet. All members are placed in one region. A gang
/// that requires both one rack and a spread over failure domains never fits.
#[must_use]
pub fn place(
    shape: &GangShape,
    fleet: &FleetIndex<'_>,
    capacity: &[ResourceDemand],
    style: PlacementStyle,
) -> Option<Vec<usize>> {
    let contradicts = shape.same_rack && shape.spread && shape.members > 1;
    if shape.members == 0 || contradicts {
        return None;
    }
    let counts = capacity
        .iter()
        .map(|capacity| member_capacity(&shape.demand, capacity, shape.members))
        .collect();
    let search = PlacementSearch {
        shape,
        fleet,
        capacity,
        counts,
    };
    let chosen_workers = match style {
        PlacementStyle::FirstFit => search.first_fit(),
        PlacementStyle::BestFit => search.best_fit(),
    }?;
    let workers = chosen_workers
        .into_iter()
        .flat_map(|(worker, taken)| std::iter::repeat_n(worker, taken as usize))
        .collect();
    Some(workers)
}

/// Subtracts a placed gang's demand from the capacity.
pub fn allocate(capacity: &mut [ResourceDemand], workers: &[usize], demand: &ResourceDemand) {
    for worker in workers {
        capacity[*worker].subtract(demand);
    }
}

/// Capacity held by a running job that may be released.
#[derive(Clone, Debug)]
pub struct RunningAllocation {
    /// Position of the job among the running jobs of the view.
    pub running: usize,
    /// Worker of each member.
    pub workers: Vec<usize>,
    /// Demand of one member.
    pub demand: ResourceDemand,
}

/// A placement that becomes possible once running jobs have released their capacity.
#[derive(Clone, Debug)]
pub struct DeferredPlacement {
    /// Length of the prefix of the candidates that must release their capacity.
    pub released: usize,
    /// Worker of each member.
    pub workers: Vec<usize>,
}

/// Returns the capacity after the first `count` candidates have been released, limited to `cap`.
#[must_use]
pub fn capacity_after(
    free: &[ResourceDemand],
    candidates: &[RunningAllocation],
    count: usize,
    cap: Option<&[ResourceDemand]>,
) -> Vec<ResourceDemand> {
    let mut capacity = free.to_vec();
    for work in &candidates[..count] {
        for worker in &work.workers {
            capacity[*worker].add(&work.demand);
        }
    }
    if let Some(cap) = cap {
        for (capacity, cap) in capacity.iter_mut().zip(cap) {
            *capacity = min_demand(capacity, cap);
        }
    }
    capacity
}

/// Finds the shortest prefix of the candidates whose release lets the gang fit.
///
/// The prefix is found by binary search, so the number of placement searches grows with the
/// logarithm of the number of candidates. `cap` limits the capacity of each worker.
#[must_use]
pub fn place_after_release(
    shape: &GangShape,
    fleet: &FleetIndex<'_>,
    free: &[ResourceDemand],
    candidates: &[RunningAllocation],
    cap: Option<&[ResourceDemand]>,
) -> Option<DeferredPlacement> {
    let place_with = |count: usize| {
        let capacity = capacity_after(free, candidates, count, cap);
        place(shape, fleet, &capacity, PlacementStyle::BestFit)
    };
    let mut found = DeferredPlacement {
        released: candidates.len(),
        workers: place_with(candidates.len())?,
    };
    let mut low = 0;
    while low < found.released {
        let middle = low.midpoint(found.released);
        match place_with(middle) {
            Some(workers) => {
                found = DeferredPlacement {
                    released: middle,
                    workers,
                };
            }
            None => low = middle + 1,
        }
    }
    Some(found)
}
