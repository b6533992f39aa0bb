//! Shapes of units that found no room in a round.

use crate::batch::job::StepDefinition;
use crate::batch::job::TaskDemand;
use crate::batch::job::WorkerLabel;
use crate::batch::unit::UnitPatience;
use crate::batch::unit::WaitingUnit;
use crate::ids::RackName;
use crate::ids::ServiceName;

/// What decides whether a unit finds room.
#[derive(Debug, PartialEq, Eq)]
struct UnitShape<'a> {
    service: &'a ServiceName,
    priority: u32,
    covered: bool,
    demand: TaskDemand,
    /// Members of a gang, or 1 for single tasks.
    count: u32,
    wants_rack: bool,
    requirement: Option<&'a WorkerLabel>,
    affinity: Option<&'a RackName>,
    patience: UnitPatience,
}

/// Shapes of units that found no room in this round.
///
/// Room only shrinks within a round, so another unit of the same shape finds none either. In a long
/// queue of like jobs this answers for most of them.
#[derive(Debug, Default)]
pub struct MissTable<'a> {
    shapes: Vec<UnitShape<'a>>,
}

impl<'a> MissTable<'a> {
    /// Tells whether a unit of the same shape has found no room.
    #[must_use]
    pub fn is_hopeless(&self, unit: &WaitingUnit<'_>, patience: UnitPatience) -> bool {
        shape(unit, patience).is_some_and(|shape| self.shapes.contains(&shape))
    }

    /// Notes a unit that has found no room.
    pub fn note(&mut self, unit: &WaitingUnit<'a>, patience: UnitPatience) {
        self.shapes.extend(shape(unit, patience));
    }
}

/// Returns the shape of a unit, unless its place depends on the other tasks of its step.
fn shape<'a>(unit: &WaitingUnit<'a>, patience: UnitPatience) -> Option<UnitShape<'a>> {
    let step: &'a StepDefinition = unit.step;
    let has_home = step.rack_sensitive && !step.gang;
    if step.spread.is_some() || has_home {
        return None;
    }
    Some(UnitShape {
        service: &unit.definition.service,
        priority: unit.definition.priority,
        covered: unit.covered,
        demand: step.reserved_demand(),
        count: if step.gang { step.count } else { 1 },
        wants_rack: step.rack_sensitive,
        requirement: step.requirement.as_ref(),
        affinity: step.affinity.as_ref(),
        patience,
    })
}
