//! Index of the workers by rack, failure domain and region, and arithmetic on resources.

use std::collections::HashMap;

use indexmap::IndexMap;

use crate::config::ResourceDemand;
use crate::ids::DomainName;
use crate::ids::RackName;
use crate::ids::RegionName;
use crate::ids::WorkerName;
use crate::policy::WorkerSlot;
use crate::worker::WorkerInfo;

/// One rack with its workers.
#[derive(Clone, Debug)]
pub struct RackIndex {
    /// Index of the region, in order of first appearance.
    pub region: usize,
    /// Index of the failure domain, in order of first appearance.
    pub domain: usize,
    /// Indexes of the rack's workers in the fleet.
    pub workers: Vec<usize>,
}

/// Workers of a view, indexed by rack, failure domain and region.
#[derive(Clone, Debug)]
pub struct FleetIndex<'a> {
    /// Workers by name; their positions are the indexes used by the placement.
    pub slots: &'a IndexMap<WorkerName, WorkerSlot>,
    /// Racks in order of first appearance.
    pub racks: Vec<RackIndex>,
    /// Number of regions.
    pub region_count: usize,
    /// Whether new work may be placed on each worker.
    pub usable: Vec<bool>,
    /// Failure domains with usable workers, by region.
    pub(crate) usable_domains: Vec<Vec<usize>>,
}

impl<'a> FleetIndex<'a> {
    /// Builds the index.
    #[must_use]
    pub fn new(slots: &'a IndexMap<WorkerName, WorkerSlot>) -> Self {
        let mut regions: Vec<&RegionName> = Vec::new();
        let mut domains: Vec<&DomainName> = Vec::new();
        let mut known: HashMap<(usize, usize, &RackName), usize> = HashMap::new();
        let mut racks: Vec<RackIndex> = Vec::new();
        let mut usable_domains: Vec<Vec<usize>> = Vec::new();
        for (index, slot) in slots.values().enumerate() {
            let region = intern(&mut regions, &slot.info.region);
            let domain = intern(&mut domains, &slot.info.domain);
            let rack = *known
                .entry((region, domain, &slot.info.rack))
                .or_insert_with(|| {
                    racks.push(RackIndex {
                        region,
                        domain,
                        workers: Vec::new(),
                    });
                    racks.len() - 1
                });
            racks[rack].workers.push(index);
            usable_domains.resize(regions.len(), Vec::new());
            if slot.is_usable && !usable_domains[region].contains(&domain) {
                usable_domains[region].push(domain);
            }
        }
        Self {
            slots,
            racks,
            region_count: regions.len(),
            usable: slots.values().map(|slot| slot.is_usable).collect(),
            usable_domains,
        }
    }

    /// Returns the free capacity of each worker, and [`NO_CAPACITY`] for workers that are not
    /// usable.
    #[must_use]
    pub fn free_capacity(&self) -> Vec<ResourceDemand> {
        let free =
            |(slot, usable): (&WorkerSlot, &bool)| if *usable { slot.free } else { NO_CAPACITY };
        self.slots.values().zip(&self.usable).map(free).collect()
    }

    /// Returns the total capacity of each worker for jobs.
    #[must_use]
    pub fn offered_capacity(&self) -> Vec<ResourceDemand> {
        self.slots.values().map(|slot| slot.offered).collect()
    }

    /// Returns the name of a worker.
    ///
    /// # Panics
    ///
    /// Panics when the index is out of range.
    #[must_use]
    pub fn name(&self, index: usize) -> &'a WorkerName {
        self.slots.get_index(index).expect("index of the fleet").0
    }

    /// Returns the names of a gang's workers.
    #[must_use]
    pub fn names(&self, workers: &[usize]) -> Vec<WorkerName> {
        workers
            .iter()
            .map(|index| self.name(*index).clone())
            .collect()
    }
}

/// Returns a worker's capacity for jobs, which excludes the slots set aside for requests.
#[must_use]
pub fn job_capacity(info: &WorkerInfo, request_slots: u32) -> ResourceDemand {
    let mut offered = info.capacity;
    offered.slots = offered.slots.saturating_sub(request_slots);
    offered
}

/// Returns the workers as idle and in service.
#[must_use]
pub fn idle_slots(workers: &[&WorkerInfo], request_slots: u32) -> IndexMap<WorkerName, WorkerSlot> {
    let idle = |info: &&WorkerInfo| {
        let offered = job_capacity(info, request_slots);
        let slot = WorkerSlot {
            info: (*info).clone(),
            free: offered,
            offered,
            is_usable: true,
            is_domain_out: false,
        };
        (info.worker.clone(), slot)
    };
    workers.iter().map(idle).collect()
}

/// An amount of 0 for each resource.
pub const NO_CAPACITY: ResourceDemand = ResourceDemand {
    slots: 0,
    accelerators: 0,
    cores: 0,
    memory_mib: 0,
};

fn intern<'n, N: PartialEq>(names: &mut Vec<&'n N>, name: &'n N) -> usize {
    match names.iter().position(|known| *known == name) {
        Some(position) => position,
        None => {
            names.push(name);
            names.len() - 1
        }
    }
}

/// Returns the minimum of each resource.
#[must_use]
pub fn min_demand(one: &ResourceDemand, other: &ResourceDemand) -> ResourceDemand {
    ResourceDemand {
        slots: one.slots.min(other.slots),
        accelerators: one.accelerators.min(other.accelerators),
        cores: one.cores.min(other.cores),
        memory_mib: one.memory_mib.min(other.memory_mib),
    }
}

/// Returns `demand` multiplied by `count`. The result saturates.
#[must_use]
pub fn scale_demand(demand: &ResourceDemand, count: u32) -> ResourceDemand {
    ResourceDemand {
        slots: demand.slots.saturating_mul(count),
        accelerators: demand.accelerators.saturating_mul(count),
        cores: demand.cores.saturating_mul(count),
        memory_mib: demand.memory_mib.saturating_mul(count),
    }
}

/// Returns the number of gang members that fit in the capacity, at most `limit`.
#[must_use]
pub fn member_capacity(demand: &ResourceDemand, capacity: &ResourceDemand, limit: u32) -> u32 {
    if !demand.fits(capacity) {
        return 0;
    }
    let count_for = |need: u32, have: u32| have.checked_div(need).unwrap_or(limit);
    limit
        .min(count_for(demand.slots, capacity.slots))
        .min(count_for(demand.accelerators, capacity.accelerators))
        .min(count_for(demand.cores, capacity.cores))
        .min(count_for(demand.memory_mib, capacity.memory_mib))
}
