//! One scheduling cycle of the main policy.

use std::cell::OnceCell;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::config::ResourceDemand;
use crate::fleet::FleetIndex;
use crate::fleet::NO_CAPACITY;
use crate::fleet::min_demand;
use crate::guarantee::GuaranteeLayout;
use crate::guarantee::PinnedTask;
use crate::guarantee::refresh_layout;
use crate::ids::JobId;
use crate::ids::TeamName;
use crate::placement::GangShape;
use crate::placement::PlacementStyle;
use crate::placement::RunningAllocation;
use crate::placement::allocate;
use crate::placement::place;
use crate::policy::PendingClaim;
use crate::policy::PolicyDecision;
use crate::policy::PolicyState;
use crate::policy::PolicyView;
use crate::policy::fleet_digest;
use crate::queue::AccountTable;
use crate::queue::QueueOrder;
use crate::queue::gang_demand;
use crate::reclaim::ReclaimCandidate;
use crate::reclaim::choose_victims;
use crate::reclaim::lost_work;
use crate::record::JobOrder;
use crate::units::TimeSpan;

/// Time for which capacity is held for its claimant. Victims have 2 s to checkpoint, and the
/// planner then waits for replies of their workers.
const CLAIM_SPAN: TimeSpan = TimeSpan::from_secs(10);
/// Search key: two waiting jobs with the same key fit on the same workers.
type PlacementKey<'a> = (GangShape, Option<&'a TeamName>, bool);

/// State of one scheduling cycle.
pub struct SchedulingCycle<'a, 'm> {
    pub(crate) view: &'m PolicyView<'a>,
    pub(crate) state: &'m mut PolicyState,
    pub(crate) fleet: FleetIndex<'a>,
    /// Capacity that is not allocated, not held for a claimant and not assigned in this cycle.
    pub(crate) free: Vec<ResourceDemand>,
    pub(crate) accounts: AccountTable<'a>,
    layout: GuaranteeLayout<'a>,
    pub(crate) decisions: Vec<PolicyDecision>,
    /// Waiting jobs that have been placed or have capacity held for them.
    pub(crate) assigned: HashSet<usize>,
    /// Running jobs that are stopped in this cycle.
    pub(crate) victims: HashSet<usize>,
    /// Whether each worker is reserved; empty when there is no reservation.
    pub(crate) reserved: Vec<bool>,
    pub(crate) max_accelerators: u32,
    failed_placements: HashSet<PlacementKey<'a>>,
    failed_claims: HashSet<(GangShape, &'a TeamName, bool)>,
    pub(crate) failed_displacements: HashSet<(GangShape, &'a TeamName, bool)>,
    pub(crate) fleet_digest: u64,
    pub(crate) feasibility_checks: usize,
    /// Number of searches for longer borrowed work in this cycle.
    pub(crate) displacements: usize,
    /// Allocations of the running jobs, computed on first use.
    allocations: OnceCell<Vec<RunningAllocation>>,
}

/// Runs one scheduling cycle with guarantees, deadlines, fair shares, reservations and reclaim.
pub fn decide(view: &PolicyView<'_>, state: &mut PolicyState) -> Vec<PolicyDecision> {
    let mut cycle = SchedulingCycle::new(view, state);
    cycle.resume_claims();
    cycle.schedule_reserved();
    cycle.schedule_queue();
    cycle.schedule_probes();
    cycle.defragment();
    cycle.drain_domains();
    cycle.finish()
}

fn pinned_tasks<'a>(view: &PolicyView<'a>) -> Vec<PinnedTask<'a>> {
    let is_pinned = |job: &&crate::policy::RunningJob<'a>| !job.order.spec.can_be_preempted();
    view.running
        .iter()
        .filter(is_pinned)
        .flat_map(|job| job.workers.iter().map(move |worker| (job.order, worker)))
        .filter_map(|(order, worker)| {
            Some(PinnedTask {
                team: &order.team,
                worker: view.workers.get_index_of(worker)?,
                demand: order.spec.demand,
            })
        })
        .collect()
}

impl<'a, 'm> SchedulingCycle<'a, 'm> {
    fn new(view: &'m PolicyView<'a>, state: &'m mut PolicyState) -> Self {
        let mut fleet = FleetIndex::new(view.workers);
        if state.health.has_quarantine() {
            for (worker, usable) in view.workers.keys().zip(&mut fleet.usable) {
                *usable &= state.health.quarantine(worker).is_none();
            }
        }
        let accounts = AccountTable::new(view);
        state.usage.advance(view.at, &accounts.shares(view.teams));
        let fleet_digest = fleet_digest(view);
        let allows_rebuild = fleet_digest != state.layout_digest;
        let layout = refresh_layout(
            &fleet,
            view.teams,
            &pinned_tasks(view),
            &state.placed_shapes,
            allows_rebuild,
        );
        state.layout_digest = fleet_digest;
        state.unplaced_shapes.clone_from(&layout.unplaced);
        let offered = view.workers.values().map(|slot| slot.offered.accelerators);
        Self {
            free: fleet.free_capacity(),
            max_accelerators: offered.max().unwrap_or(0),
            view,
            state,
            fleet,
            accounts,
            layout,
            decisions: Vec::new(),
            assigned: HashSet::new(),
            victims: HashSet::new(),
            reserved: Vec::new(),
            failed_placements: HashSet::new(),
            failed_claims: HashSet::new(),
            failed_displacements: HashSet::new(),
            fleet_digest,
            feasibility_checks: 0,
            displacements: 0,
            allocations: OnceCell::new(),
        }
    }

    fn finish(self) -> Vec<PolicyDecision> {
        self.state.placed_shapes.clone_from(&self.layout.placed);
        self.decisions
    }

    /// Returns the capacity that the guarantees leave to a non-preemptible job, or `None` for a
    /// preemptible one.
    pub(crate) fn capacity_limit(&self, order: &JobOrder) -> Option<Vec<ResourceDemand>> {
        (!order.spec.can_be_preempted()).then(|| self.layout.pinned_capacity(&order.team))
    }

    /// Places jobs whose claimed capacity is free and keeps holding capacity for the others until
    /// [`CLAIM_SPAN`] has passed.
    fn resume_claims(&mut self) {
        for claim in std::mem::take(&mut self.state.claims) {
            let found = self
                .view
                .waiting
                .iter()
                .position(|job| job.job == claim.job);
            let indexes: Option<Vec<usize>> = claim
                .workers
                .iter()
                .map(|worker| self.view.workers.get_index_of(worker))
                .collect();
            let (Some(position), Some(workers)) = (found, indexes) else {
                continue;
            };
            if workers.iter().any(|worker| !self.fleet.usable[*worker]) {
                continue;
            }
            if self.fits_gang(position, &workers) {
                self.place_gang(position, &workers);
            } else if self.view.at.since(claim.since) < CLAIM_SPAN {
                self.hold_capacity(position, &workers);
                if let Some(held_claim) = self.state.claims.last_mut() {
                    held_claim.since = claim.since;
                }
            }
        }
    }

    fn fits_gang(&self, position: usize, workers: &[usize]) -> bool {
        let order = self.view.waiting[position].order;
        let cap = self.capacity_limit(order);
        let mut capacity: HashMap<usize, ResourceDemand> = HashMap::new();
        workers.iter().all(|worker| {
            let free = self.free[*worker];
            let limit = cap
                .as_ref()
                .map_or(free, |cap| min_demand(&free, &cap[*worker]));
            let left = capacity.entry(*worker).or_insert(limit);
            let fits = order.spec.demand.fits(left);
            left.subtract(&order.spec.demand);
            fits
        })
    }

    fn allocate_capacity(&mut self, position: usize, workers: &[usize]) {
        let order = self.view.waiting[position].order;
        allocate(&mut self.free, workers, &order.spec.demand);
        if !order.spec.can_be_preempted() {
            self.layout.pin(&order.team, workers, &order.spec.demand);
        }
        self.accounts.add(order);
        self.assigned.insert(position);
    }

    /// Holds capacity for a job while its victims stop.
    pub(crate) fn hold_capacity(&mut self, position: usize, workers: &[usize]) {
        self.allocate_capacity(position, workers);
        let job = self.view.waiting[position].job;
        let reason = "capacity is being freed for it".to_string();
        self.state.reasons.insert(job, vec![reason]);
        self.state.claims.push(PendingClaim {
            job,
            workers: self.fleet.names(workers),
            since: self.view.at,
        });
    }

    fn place_gang(&mut self, position: usize, workers: &[usize]) {
        self.allocate_capacity(position, workers);
        self.decisions.push(PolicyDecision::Place {
            job: self.view.waiting[position].job,
            workers: self.fleet.names(workers),
        });
    }

    fn available_capacity(
        &self,
        position: usize,
        backfill: bool,
        avoid_failed: bool,
    ) -> Vec<ResourceDemand> {
        let job = &self.view.waiting[position];
        let mut capacity = self.free.clone();
        if let Some(cap) = self.capacity_limit(job.order) {
            for (capacity, cap) in capacity.iter_mut().zip(&cap) {
                *capacity = min_demand(capacity, cap);
            }
        }
        if !backfill {
            for (capacity, reserved) in capacity.iter_mut().zip(&self.reserved) {
                if *reserved {
                    *capacity = NO_CAPACITY;
                }
            }
        }
        if avoid_failed {
            for worker in job.failed_on {
                if let Some(index) = self.view.workers.get_index_of(worker) {
                    capacity[index] = NO_CAPACITY;
                }
            }
        }
        capacity
    }

    /// Places a job in free capacity. Unreserved workers are tried first; workers on which the job
    /// has failed are tried last.
    pub(crate) fn try_place(&mut self, position: usize) -> bool {
        let job = &self.view.waiting[position];
        let shape = GangShape::of(&job.order.spec);
        let owner = (!job.order.spec.can_be_preempted()).then_some(&job.order.team);
        let backfill = self.reserved.is_empty() || self.may_backfill(job);
        let key = (shape, owner, backfill);
        if self.failed_placements.contains(&key) {
            return false;
        }
        let search = |backfill: bool, avoid_failed: bool| {
            let capacity = self.available_capacity(position, backfill, avoid_failed);
            place(&shape, &self.fleet, &capacity, PlacementStyle::BestFit)
        };
        let has_reservation = !self.reserved.is_empty();
        let has_failed = !job.failed_on.is_empty();
        let choices = [
            (!has_reservation, has_failed),
            (backfill, has_failed),
            (backfill, false),
        ];
        let mut last_choice = None;
        let mut found = None;
        for choice in choices {
            if found.is_none() && last_choice != Some(choice) {
                found = search(choice.0, choice.1);
                last_choice = Some(choice);
            }
        }
        match found {
            Some(workers) => {
                self.place_gang(position, &workers);
                true
            }
            None => {
                self.failed_placements.insert(key);
                false
            }
        }
    }

    /// Returns the capacity that a running job holds on usable workers.
    pub(crate) fn running_allocation(&self, running: usize) -> RunningAllocation {
        let all = || (0..self.view.running.len()).map(|running| self.build_allocation(running));
        self.allocations.get_or_init(|| all().collect())[running].clone()
    }

    fn build_allocation(&self, running: usize) -> RunningAllocation {
        let job = &self.view.running[running];
        let workers = job
            .workers
            .iter()
            .filter_map(|worker| self.view.workers.get_index_of(worker))
            .filter(|worker| self.fleet.usable[*worker])
            .collect();
        RunningAllocation {
            running,
            workers,
            demand: job.order.spec.demand,
        }
    }

    /// Returns preemptible jobs that pass the filter, by ascending loss.
    pub(crate) fn preemptible_work(
        &self,
        filter: impl Fn(&Self, usize) -> bool,
    ) -> Vec<ReclaimCandidate> {
        let mut found: Vec<ReclaimCandidate> = (0..self.view.running.len())
            .filter(|running| {
                let job = &self.view.running[*running];
                let is_preemptible = job.order.spec.can_be_preempted() && !job.is_stopping;
                is_preemptible && !self.victims.contains(running) && filter(self, *running)
            })
            .map(|running| ReclaimCandidate {
                allocation: self.running_allocation(running),
                loss: lost_work(&self.view.running[running], self.view.at),
            })
            .collect();
        found.sort_by_key(|candidate| (candidate.loss, candidate.allocation.running));
        found
    }

    /// Returns preemptible jobs that pass the filter and that their teams run beyond their
    /// guarantees.
    pub(crate) fn borrowed_work(
        &self,
        filter: impl Fn(&Self, usize) -> bool,
    ) -> Vec<ReclaimCandidate> {
        let mut accounts = self.accounts.clone();
        let mut found = self.preemptible_work(filter);
        found.retain(|candidate| {
            let order = self.view.running[candidate.allocation.running].order;
            let account = accounts.get(&order.team);
            let borrowed = account.is_none_or(|account| account.is_borrowing());
            if borrowed {
                accounts.remove(order);
            }
            borrowed
        });
        found
    }

    /// Stops victims for a job and holds the released capacity for it. Returns false when no set of
    /// victims makes the job fit.
    pub(crate) fn reclaim_from(
        &mut self,
        position: usize,
        candidates: &[ReclaimCandidate],
        cap: Option<&[ResourceDemand]>,
    ) -> bool {
        let job = &self.view.waiting[position];
        let shape = GangShape::of(&job.order.spec);
        let pinned = self.capacity_limit(job.order);
        let cap = cap.or(pinned.as_deref());
        let Some(plan) = choose_victims(&shape, &self.fleet, &self.free, candidates, cap) else {
            return false;
        };
        for victim in &plan.victims {
            let running = &self.view.running[*victim];
            self.victims.insert(*victim);
            self.accounts.remove(running.order);
            self.decisions.push(PolicyDecision::Reclaim {
                victim: running.job,
                claimant: job.job,
            });
        }
        if plan.victims.is_empty() {
            self.place_gang(position, &plan.workers);
        } else {
            self.hold_capacity(position, &plan.workers);
        }
        true
    }

    /// Reclaims borrowed capacity for a job within its team's guarantee.
    ///
    /// Jobs beyond the guarantees of their teams are stopped first, on any worker. If that is not
    /// enough, any preemptible job on the workers of the team's own guaranteed shapes may be
    /// stopped, other teams' jobs first.
    fn reclaim(&mut self, position: usize) -> bool {
        let job = &self.view.waiting[position];
        let order = job.order;
        let key = (
            GangShape::of(&order.spec),
            &order.team,
            order.spec.can_be_preempted(),
        );
        if !self.accounts.admits(order) || self.failed_claims.contains(&key) {
            return false;
        }
        let borrowed = self.borrowed_work(|_, _| true);
        if self.reclaim_from(position, &borrowed, None) {
            return true;
        }
        let own_shapes = self.layout.claimable_capacity(&order.team);
        let others = self.preemptible_work(|cycle, running| {
            cycle.view.running[running].order.team != order.team
        });
        let all = self.preemptible_work(|_, _| true);
        if self.reclaim_from(position, &others, Some(&own_shapes))
            || self.reclaim_from(position, &all, Some(&own_shapes))
        {
            return true;
        }
        self.failed_claims.insert(key);
        false
    }

    fn schedule_queue(&mut self) {
        let (usage, estimates) = (&self.state.usage, &self.state.estimates);
        let mut queue = QueueOrder::new(self.view, &self.accounts, usage, estimates);
        while let Some(position) = queue.next_job() {
            if self.assigned.contains(&position) {
                continue;
            }
            let order = self.view.waiting[position].order;
            if self.try_place(position) || self.reclaim(position) || self.displace(position) {
                let share = self.accounts.dominant_share(&gang_demand(order));
                queue.charge(&order.team, share);
            } else if !self.reject_infeasible(position) {
                self.grant_reservation(position);
                self.record_wait_reasons(position);
            }
        }
    }

    /// Places one job as a probe on each quarantined worker whose probe is due.
    ///
    /// A probe is a job with one member that may run more than once, because the worker will
    /// probably fail it.
    fn schedule_probes(&mut self) {
        let view = self.view;
        let active = |job| view.running.iter().any(|running| running.job == job);
        let known = |worker: &_| view.workers.contains_key(worker);
        let waiting: HashSet<JobId> = view.waiting.iter().map(|job| job.job).collect();
        self.state
            .health
            .prune(known, |job| active(job) || waiting.contains(&job));
        let due_workers: Vec<_> = self
            .state
            .health
            .due_probes(view.at)
            .into_iter()
            .cloned()
            .collect();
        for worker in due_workers {
            let Some((index, _, slot)) = view.workers.get_full(&worker) else {
                continue;
            };
            let probe = (0..view.waiting.len()).find(|position| {
                let job = &view.waiting[*position];
                let spec = &job.order.spec;
                let is_eligible = spec.members == 1 && spec.can_be_preempted();
                is_eligible
                    && spec.demand.fits(&slot.free)
                    && !self.assigned.contains(position)
                    && !job.failed_on.contains(&worker)
            });
            if let Some(position) = probe.filter(|_| slot.is_usable) {
                self.free[index] = NO_CAPACITY;
                self.place_gang(position, &[index]);
                self.state
                    .health
                    .start_probe(&worker, view.waiting[position].job);
            }
        }
    }
}
