//! Stand-ins for the users' platform: its keyed store, its workers and a simulation that connects
//! daemons to them under a clock that the test advances.
//!
//! The models speak the core's types. The forms of the wire are tested in the platform crate.

pub mod checker;
pub mod simulation;
pub mod store;
pub mod worker;
