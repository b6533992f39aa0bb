//! Reasons why a job is waiting, and rejection of jobs that can never be placed.

use std::hash::Hash;
use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::cycle::SchedulingCycle;
use crate::fleet::NO_CAPACITY;
use crate::guarantee::check_feasibility;
use crate::placement::GangShape;
use crate::policy::FeasibilityCheck;
use crate::policy::PolicyDecision;
use crate::queue::gang_demand;
use crate::record::JobOrder;
use crate::units::TimeSpan;

/// Time for which a job must stay infeasible before it is rejected. Workers that are being replaced
/// are absent from the VM list for minutes.
const INFEASIBLE_GRACE_PERIOD: TimeSpan = TimeSpan::from_secs(600);
/// Feasibility checks against the guarantees per scheduling cycle. Each check lays out all
/// guaranteed shapes on the empty fleet.
const MAX_CHECKS_PER_CYCLE: usize = 1;
/// Gang shapes whose feasibility check is cached. The oldest entry is evicted first.
const MAX_CACHED_CHECKS: usize = 4_096;

impl SchedulingCycle<'_, '_> {
    /// Returns whether a job is infeasible, which means that it does not fit on the empty fleet.
    ///
    /// An infeasible job is rejected after the grace period. Until then, the cause is recorded as
    /// its wait reason.
    pub(crate) fn reject_infeasible(&mut self, position: usize) -> bool {
        let job = &self.view.waiting[position];
        let spec = &job.order.spec;
        let mut hasher = XxHash64::with_seed(0);
        GangShape::of(spec).hash(&mut hasher);
        let owner = (!spec.can_be_preempted()).then_some(&job.order.team);
        owner.hash(&mut hasher);
        let key = hasher.finish();
        let known = self.state.feasibility.get(&key);
        if known.is_none_or(|known| known.fleet_digest != self.fleet_digest)
            && self.feasibility_checks < MAX_CHECKS_PER_CYCLE
        {
            self.feasibility_checks += usize::from(!spec.can_be_preempted());
            let since = known.filter(|known| known.infeasibility.is_some());
            let since = since.map_or(self.view.at, |known| known.since);
            let infeasibility =
                check_feasibility(job.order, self.view.workers, self.view.teams).err();
            if self.state.feasibility.len() >= MAX_CACHED_CHECKS {
                self.state.feasibility.shift_remove_index(0);
            }
            let fleet_digest = self.fleet_digest;
            let check = FeasibilityCheck {
                infeasibility,
                since,
                fleet_digest,
            };
            self.state.feasibility.insert(key, check);
        }
        let Some(known) = self.state.feasibility.get(&key) else {
            return false;
        };
        let (Some(infeasibility), since) = (&known.infeasibility, known.since) else {
            return false;
        };
        let reason = infeasibility.clone();
        if self.view.at.since(since.max(job.accepted_at)) < INFEASIBLE_GRACE_PERIOD {
            self.state.reasons.insert(job.job, vec![reason]);
        } else {
            self.decisions.push(PolicyDecision::Refuse {
                job: job.job,
                reason,
            });
        }
        true
    }

    /// Records why a job is waiting: a reservation, a resource shortage or an exhausted guarantee.
    pub(crate) fn record_wait_reasons(&mut self, position: usize) {
        let job = &self.view.waiting[position];
        let mut reasons = Vec::new();
        let reservation = self.state.reservation.as_ref();
        match reservation {
            Some(reservation) if reservation.job == job.job => reasons.push(format!(
                "it holds a reservation of {} workers and is expected to start in {} s",
                reservation.workers.len(),
                reservation.expected_start.since(self.view.at).0 / 1_000
            )),
            Some(reservation) if !self.may_backfill(job) => reasons.push(format!(
                "workers are reserved for job {}, and it might delay that job",
                reservation.job
            )),
            _ => {}
        }
        reasons.push(self.describe_shortage(job.order));
        if !job.order.spec.can_be_preempted() {
            reasons.push(
                "it cannot be stopped, so it may not use what is guaranteed to other teams".into(),
            );
        }
        if !self.accounts.admits(job.order) {
            reasons.push(format!(
                "team {} has no guarantee left for it",
                job.order.team
            ));
        }
        self.state.reasons.insert(job.job, reasons);
    }

    fn describe_shortage(&self, order: &JobOrder) -> String {
        let need = gang_demand(order);
        let free = self.free.iter().fold(NO_CAPACITY, |mut total, free| {
            total.add(free);
            total
        });
        let resources = [
            ("accelerators", need.accelerators, free.accelerators),
            ("cores", need.cores, free.cores),
            ("MiB of memory", need.memory_mib, free.memory_mib),
            ("slots", need.slots, free.slots),
        ];
        match resources.iter().find(|(_, need, free)| need > free) {
            Some((name, need, free)) => format!("it needs {need} {name} and {free} are free"),
            None => format!(
                "no set of free workers in one region holds its {} members",
                order.spec.members
            ),
        }
    }
}
