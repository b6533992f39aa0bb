//! Negative cache of a scheduling round: shapes of units that could not be placed.

use crate::batch::job::StepDefinition;
use crate::batch::job::TaskDemand;
use crate::batch::job::WorkerLabel;
use crate::batch::unit::LocalityWait;
use crate::batch::unit::WaitingUnit;
use crate::ids::RackName;
use crate::ids::ServiceName;
use crate::units::ClockTime;

/// The properties that determine whether a unit can be placed.
#[derive(Debug, PartialEq, Eq)]
struct UnitShape<'a> {
    service: &'a ServiceName,
    priority: u32,
    is_guaranteed: bool,
    demand: TaskDemand,
    /// Number of gang members, or 1 for independent tasks.
    count: u32,
    is_rack_sensitive: bool,
    requirement: Option<&'a WorkerLabel>,
    affinity: Option<&'a RackName>,
    locality_wait: LocalityWait,
    /// Whether the unit is late. Late urgent units beyond a guarantee preempt nothing, so that they
    /// show nothing about others.
    is_late: bool,
}

/// Shapes of units that could not be placed in this round.
///
/// Free capacity only shrinks within a round, so another unit of the same shape cannot be placed
/// either. In a long queue of similar jobs, one lookup decides most of them.
#[derive(Debug, Default)]
pub struct InfeasibleShapes<'a> {
    shapes: Vec<UnitShape<'a>>,
}

impl<'a> InfeasibleShapes<'a> {
    /// Returns whether a unit of the same shape could not be placed.
    #[must_use]
    pub fn contains(
        &self,
        unit: &WaitingUnit<'_>,
        locality_wait: LocalityWait,
        at: ClockTime,
    ) -> bool {
        shape(unit, locality_wait, at).is_some_and(|shape| self.shapes.contains(&shape))
    }

    /// Records the shape of a unit that could not be placed.
    pub fn insert(&mut self, unit: &WaitingUnit<'a>, locality_wait: LocalityWait, at: ClockTime) {
        self.shapes.extend(shape(unit, locality_wait, at));
    }
}

/// Returns the shape of a unit, or `None` when its placement depends on other tasks of its step.
fn shape<'a>(
    unit: &WaitingUnit<'a>,
    locality_wait: LocalityWait,
    at: ClockTime,
) -> Option<UnitShape<'a>> {
    let step: &'a StepDefinition = unit.step;
    let has_sibling_rack = step.rack_sensitive && !step.gang;
    if step.spread.is_some() || has_sibling_rack {
        return None;
    }
    Some(UnitShape {
        service: &unit.definition.service,
        priority: unit.definition.priority,
        is_guaranteed: unit.is_guaranteed,
        demand: step.reserved_demand(),
        count: if step.gang { step.count } else { 1 },
        is_rack_sensitive: step.rack_sensitive,
        requirement: step.requirement.as_ref(),
        affinity: step.affinity.as_ref(),
        locality_wait,
        is_late: at >= unit.latest_start(),
    })
}
