//! One decision of the main policy while it is made.

use std::cell::OnceCell;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::config::ResourceDemand;
use crate::fleet::FleetIndex;
use crate::fleet::NO_ROOM;
use crate::fleet::least;
use crate::guarantee::GuaranteeLayout;
use crate::guarantee::PinnedTask;
use crate::guarantee::refresh;
use crate::ids::JobId;
use crate::ids::TeamName;
use crate::placement::GangShape;
use crate::placement::PlacementStyle;
use crate::placement::ReleasedWork;
use crate::placement::occupy;
use crate::placement::place;
use crate::policy::PendingClaim;
use crate::policy::PolicyDecision;
use crate::policy::PolicyMemory;
use crate::policy::PolicyView;
use crate::policy::fleet_digest;
use crate::queue::AccountTable;
use crate::queue::QueueOrder;
use crate::queue::whole_demand;
use crate::reclaim::ReclaimCandidate;
use crate::reclaim::choose_victims;
use crate::reclaim::work_lost;
use crate::record::JobOrder;
use crate::units::TimeSpan;

/// Time that freed capacity is held for its claimant. Victims have 2 s to checkpoint, and the
/// planner then needs answers of the workers.
const CLAIM_SPAN: TimeSpan = TimeSpan::from_secs(10);
/// What makes two waiting jobs fit on the same workers.
type FitKey<'a> = (GangShape, Option<&'a TeamName>, bool);

/// One decision while it is made.
pub struct DecisionDraft<'a, 'm> {
    pub(crate) view: &'m PolicyView<'a>,
    pub(crate) memory: &'m mut PolicyMemory,
    pub(crate) fleet: FleetIndex<'a>,
    /// Room that is neither used, held for a claimant nor given away by this decision.
    pub(crate) free: Vec<ResourceDemand>,
    pub(crate) accounts: AccountTable<'a>,
    layout: GuaranteeLayout<'a>,
    pub(crate) decisions: Vec<PolicyDecision>,
    /// Waiting jobs that are placed or have capacity held for them.
    pub(crate) served: HashSet<usize>,
    /// Running jobs that this decision stops.
    pub(crate) leaving: HashSet<usize>,
    /// Workers kept for the reservation; empty when there is none.
    pub(crate) reserved: Vec<bool>,
    pub(crate) most_accelerators: u32,
    no_room: HashSet<FitKey<'a>>,
    no_claim: HashSet<(GangShape, &'a TeamName, bool)>,
    pub(crate) no_displacement: HashSet<(GangShape, &'a TeamName, bool)>,
    pub(crate) digest: u64,
    pub(crate) checks: usize,
    /// Shapes for which this decision has looked for longer borrowed work.
    pub(crate) displacements: usize,
    /// What each running job holds, looked up once when it is first needed.
    released: OnceCell<Vec<ReleasedWork>>,
}

/// Decides by guarantees, deadlines, fair shares, reservations and reclaim.
pub fn decide(view: &PolicyView<'_>, memory: &mut PolicyMemory) -> Vec<PolicyDecision> {
    let mut draft = DecisionDraft::new(view, memory);
    draft.hold_claims();
    draft.serve_head();
    draft.serve_queue();
    draft.serve_probes();
    draft.make_room();
    draft.empty_domains();
    draft.finish()
}

fn pinned_tasks<'a>(view: &PolicyView<'a>) -> Vec<PinnedTask<'a>> {
    let fixed = |job: &&crate::policy::RunningJob<'a>| !job.order.spec.can_be_preempted();
    view.running
        .iter()
        .filter(fixed)
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

impl<'a, 'm> DecisionDraft<'a, 'm> {
    fn new(view: &'m PolicyView<'a>, memory: &'m mut PolicyMemory) -> Self {
        let mut fleet = FleetIndex::new(view.workers);
        if memory.health.has_quarantine() {
            for (worker, usable) in view.workers.keys().zip(&mut fleet.usable) {
                *usable &= memory.health.quarantine(worker).is_none();
            }
        }
        let accounts = AccountTable::new(view);
        memory.usage.advance(view.at, &accounts.shares(view.teams));
        let digest = fleet_digest(view);
        let retry = digest != memory.laid_for;
        let layout = refresh(&fleet, view.teams, &pinned_tasks(view), &memory.laid, retry);
        memory.laid_for = digest;
        memory.suspended.clone_from(&layout.missing);
        let offered = view.workers.values().map(|slot| slot.offered.accelerators);
        Self {
            free: fleet.free_room(),
            most_accelerators: offered.max().unwrap_or(0),
            view,
            memory,
            fleet,
            accounts,
            layout,
            decisions: Vec::new(),
            served: HashSet::new(),
            leaving: HashSet::new(),
            reserved: Vec::new(),
            no_room: HashSet::new(),
            no_claim: HashSet::new(),
            no_displacement: HashSet::new(),
            digest,
            checks: 0,
            displacements: 0,
            released: OnceCell::new(),
        }
    }

    fn finish(self) -> Vec<PolicyDecision> {
        self.memory.laid.clone_from(&self.layout.laid);
        self.decisions
    }

    /// Returns the limit that the guarantees set to a job that cannot be stopped.
    pub(crate) fn room_cap(&self, order: &JobOrder) -> Option<Vec<ResourceDemand>> {
        (!order.spec.can_be_preempted()).then(|| self.layout.pinned_room(&order.team))
    }

    /// Places jobs whose capacity has been freed and holds the capacity of the others.
    fn hold_claims(&mut self) {
        for claim in std::mem::take(&mut self.memory.claims) {
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
            if self.holds_gang(position, &workers) {
                self.accept(position, &workers);
            } else if self.view.at.since(claim.since) < CLAIM_SPAN {
                self.hold(position, &workers);
                if let Some(held) = self.memory.claims.last_mut() {
                    held.since = claim.since;
                }
            }
        }
    }

    fn holds_gang(&self, position: usize, workers: &[usize]) -> bool {
        let order = self.view.waiting[position].order;
        let cap = self.room_cap(order);
        let mut room: HashMap<usize, ResourceDemand> = HashMap::new();
        workers.iter().all(|worker| {
            let free = self.free[*worker];
            let limit = cap.as_ref().map_or(free, |cap| least(&free, &cap[*worker]));
            let left = room.entry(*worker).or_insert(limit);
            let fits = order.spec.demand.fits(left);
            left.subtract(&order.spec.demand);
            fits
        })
    }

    fn take_capacity(&mut self, position: usize, workers: &[usize]) {
        let order = self.view.waiting[position].order;
        occupy(&mut self.free, workers, &order.spec.demand);
        if !order.spec.can_be_preempted() {
            self.layout.pin(&order.team, workers, &order.spec.demand);
        }
        self.accounts.add(order);
        self.served.insert(position);
    }

    /// Holds capacity that is being freed.
    pub(crate) fn hold(&mut self, position: usize, workers: &[usize]) {
        self.take_capacity(position, workers);
        let job = self.view.waiting[position].job;
        let reason = "capacity is being freed for it".to_string();
        self.memory.reasons.insert(job, vec![reason]);
        self.memory.claims.push(PendingClaim {
            job,
            workers: self.fleet.names(workers),
            since: self.view.at,
        });
    }

    fn accept(&mut self, position: usize, workers: &[usize]) {
        self.take_capacity(position, workers);
        self.decisions.push(PolicyDecision::Place {
            job: self.view.waiting[position].job,
            workers: self.fleet.names(workers),
        });
    }

    fn room_for(&self, position: usize, passing: bool, spared: bool) -> Vec<ResourceDemand> {
        let job = &self.view.waiting[position];
        let mut room = self.free.clone();
        if let Some(cap) = self.room_cap(job.order) {
            for (room, cap) in room.iter_mut().zip(&cap) {
                *room = least(room, cap);
            }
        }
        if !passing {
            for (room, reserved) in room.iter_mut().zip(&self.reserved) {
                if *reserved {
                    *room = NO_ROOM;
                }
            }
        }
        if spared {
            for worker in job.failed_on {
                if let Some(index) = self.view.workers.get_index_of(worker) {
                    room[index] = NO_ROOM;
                }
            }
        }
        room
    }

    /// Places a job in free room. Reserved workers come after others, and workers on which the job
    /// failed come last.
    pub(crate) fn try_place(&mut self, position: usize) -> bool {
        let job = &self.view.waiting[position];
        let shape = GangShape::of(&job.order.spec);
        let owner = (!job.order.spec.can_be_preempted()).then_some(&job.order.team);
        let passing = self.reserved.is_empty() || self.may_pass(job);
        let key = (shape, owner, passing);
        if self.no_room.contains(&key) {
            return false;
        }
        let search = |passing: bool, spared: bool| {
            let room = self.room_for(position, passing, spared);
            place(&shape, &self.fleet, &room, PlacementStyle::BestFit)
        };
        let kept = !self.reserved.is_empty();
        let failed = !job.failed_on.is_empty();
        let choices = [(!kept, failed), (passing, failed), (passing, false)];
        let mut tried = None;
        let mut found = None;
        for choice in choices {
            if found.is_none() && tried != Some(choice) {
                found = search(choice.0, choice.1);
                tried = Some(choice);
            }
        }
        match found {
            Some(workers) => {
                self.accept(position, &workers);
                true
            }
            None => {
                self.no_room.insert(key);
                false
            }
        }
    }

    /// Returns the room that a running job holds on usable workers.
    pub(crate) fn released_work(&self, running: usize) -> ReleasedWork {
        let all = || (0..self.view.running.len()).map(|running| self.held_by(running));
        self.released.get_or_init(|| all().collect())[running].clone()
    }

    fn held_by(&self, running: usize) -> ReleasedWork {
        let job = &self.view.running[running];
        let workers = job
            .workers
            .iter()
            .filter_map(|worker| self.view.workers.get_index_of(worker))
            .filter(|worker| self.fleet.usable[*worker])
            .collect();
        ReleasedWork {
            running,
            workers,
            demand: job.order.spec.demand,
        }
    }

    /// Returns running work that can be stopped, by rising loss.
    pub(crate) fn stoppable(&self, wanted: impl Fn(&Self, usize) -> bool) -> Vec<ReclaimCandidate> {
        let mut found: Vec<ReclaimCandidate> = (0..self.view.running.len())
            .filter(|running| {
                let job = &self.view.running[*running];
                let stops = job.order.spec.can_be_preempted() && !job.stopping;
                stops && !self.leaving.contains(running) && wanted(self, *running)
            })
            .map(|running| ReclaimCandidate {
                work: self.released_work(running),
                loss: work_lost(&self.view.running[running], self.view.at),
            })
            .collect();
        found.sort_by_key(|one| (one.loss, one.work.running));
        found
    }

    /// Returns work that can be stopped and that its teams run beyond their guarantees.
    pub(crate) fn candidates(
        &self,
        wanted: impl Fn(&Self, usize) -> bool,
    ) -> Vec<ReclaimCandidate> {
        let mut accounts = self.accounts.clone();
        let mut found = self.stoppable(wanted);
        found.retain(|one| {
            let order = self.view.running[one.work.running].order;
            let account = accounts.get(&order.team);
            let borrowed = account.is_none_or(|account| account.borrows());
            if borrowed {
                accounts.take(order);
            }
            borrowed
        });
        found
    }

    /// Stops victims for a job and holds what they free. Returns false when that does not help.
    pub(crate) fn claim_from(
        &mut self,
        position: usize,
        candidates: &[ReclaimCandidate],
        cap: Option<&[ResourceDemand]>,
    ) -> bool {
        let job = &self.view.waiting[position];
        let shape = GangShape::of(&job.order.spec);
        let pinned = self.room_cap(job.order);
        let cap = cap.or(pinned.as_deref());
        let Some(plan) = choose_victims(&shape, &self.fleet, &self.free, candidates, cap) else {
            return false;
        };
        for victim in &plan.victims {
            let running = &self.view.running[*victim];
            self.leaving.insert(*victim);
            self.accounts.take(running.order);
            self.decisions.push(PolicyDecision::Reclaim {
                victim: running.job,
                claimant: job.job,
            });
        }
        if plan.victims.is_empty() {
            self.accept(position, &plan.workers);
        } else {
            self.hold(position, &plan.workers);
        }
        true
    }

    /// Reclaims lent capacity for a job within its team's guarantee.
    ///
    /// Work beyond the guarantees of its teams is stopped first, wherever it runs. When that is
    /// not enough, all work that can be stopped on the workers of the team's own shapes goes.
    fn claim(&mut self, position: usize) -> bool {
        let job = &self.view.waiting[position];
        let order = job.order;
        let key = (
            GangShape::of(&order.spec),
            &order.team,
            order.spec.can_be_preempted(),
        );
        if !self.accounts.admits(order) || self.no_claim.contains(&key) {
            return false;
        }
        let borrowed = self.candidates(|_, _| true);
        if self.claim_from(position, &borrowed, None) {
            return true;
        }
        let own = self.layout.claim_room(&order.team);
        let others =
            self.stoppable(|draft, running| draft.view.running[running].order.team != order.team);
        let all = self.stoppable(|_, _| true);
        if self.claim_from(position, &others, Some(&own))
            || self.claim_from(position, &all, Some(&own))
        {
            return true;
        }
        self.no_claim.insert(key);
        false
    }

    fn serve_queue(&mut self) {
        let (usage, estimates) = (&self.memory.usage, &self.memory.estimates);
        let mut queue = QueueOrder::new(self.view, &self.accounts, usage, estimates);
        while let Some(position) = queue.next_job() {
            if self.served.contains(&position) {
                continue;
            }
            let order = self.view.waiting[position].order;
            if self.try_place(position) || self.claim(position) || self.displace(position) {
                let share = self.accounts.dominant_share(&whole_demand(order));
                queue.charge(&order.team, share);
            } else if !self.refuse(position) {
                self.reserve(position);
                self.explain(position);
            }
        }
    }

    /// Starts one job on each quarantined worker whose probe is due.
    ///
    /// A probe is a job of one member that may run more than once, because the worker will
    /// probably fail it.
    fn serve_probes(&mut self) {
        let view = self.view;
        let active = |job| view.running.iter().any(|running| running.job == job);
        let known = |worker: &_| view.workers.contains_key(worker);
        let held: HashSet<JobId> = view.waiting.iter().map(|job| job.job).collect();
        self.memory
            .health
            .prune(known, |job| active(job) || held.contains(&job));
        let due: Vec<_> = self
            .memory
            .health
            .due_probes(view.at)
            .into_iter()
            .cloned()
            .collect();
        for worker in due {
            let Some((index, _, slot)) = view.workers.get_full(&worker) else {
                continue;
            };
            let probe = (0..view.waiting.len()).find(|position| {
                let job = &view.waiting[*position];
                let spec = &job.order.spec;
                let suits = spec.members == 1 && spec.can_be_preempted();
                suits
                    && spec.demand.fits(&slot.free)
                    && !self.served.contains(position)
                    && !job.failed_on.contains(&worker)
            });
            if let Some(position) = probe.filter(|_| slot.usable) {
                self.free[index] = NO_ROOM;
                self.accept(position, &[index]);
                self.memory
                    .health
                    .start_probe(&worker, view.waiting[position].job);
            }
        }
    }
}
