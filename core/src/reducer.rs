//! The one reducer over all events.

use crate::effect::ControlEffect;
use crate::event::ControlEvent;
use crate::state::DaemonState;

/// Applies one event to the state and appends the effects to carry out, in order.
///
/// The same state and event always give the same state and effects.
pub fn apply(state: &mut DaemonState, event: &ControlEvent, effects: &mut Vec<ControlEffect>) {
    let _ = (state, event, effects);
}
