//! Baseline policies, against which the main policy is measured.

use std::cmp::Reverse;
use std::collections::HashSet;

use crate::fleet::FleetIndex;
use crate::placement::GangShape;
use crate::placement::PlacementStyle;
use crate::placement::allocate;
use crate::placement::place;
use crate::policy::PolicyDecision;
use crate::policy::PolicyKind;
use crate::policy::PolicyState;
use crate::policy::PolicyView;

/// Returns the waiting jobs, as positions in the view, in the order of the baseline.
fn order_of(view: &PolicyView<'_>) -> Vec<usize> {
    let mut order: Vec<usize> = (0..view.waiting.len()).collect();
    if view.kind == PolicyKind::StrictPriority {
        order.sort_by_key(|position| {
            let spec = &view.waiting[*position].order.spec;
            (Reverse(spec.urgent), Reverse(spec.priority))
        });
    }
    order
}

/// Places each job that fits, in order, on the first workers with enough capacity.
///
/// The baselines never reserve, reclaim, move or refuse. Infeasible jobs are refused at submission
/// under every policy.
pub fn decide(view: &PolicyView<'_>, state: &mut PolicyState) -> Vec<PolicyDecision> {
    let fleet = FleetIndex::new(view.workers);
    let mut room = fleet.free_capacity();
    let mut too_large: HashSet<GangShape> = HashSet::new();
    let mut decisions = Vec::new();
    for position in order_of(view) {
        let job = &view.waiting[position];
        let shape = GangShape::of(&job.order.spec);
        let found = (!too_large.contains(&shape))
            .then(|| place(&shape, &fleet, &room, PlacementStyle::FirstFit))
            .flatten();
        if let Some(workers) = found {
            allocate(&mut room, &workers, &shape.demand);
            decisions.push(PolicyDecision::Place {
                job: job.job,
                workers: fleet.names(&workers),
            });
            continue;
        }
        too_large.insert(shape);
        let reason = "no free workers hold the gang".to_string();
        state.reasons.insert(job.job, vec![reason]);
    }
    decisions
}
