//! Stand-ins for the users' platform: its keyed store, its workers and a world that connects
//! daemons to them under a clock that the test advances.
//!
//! The models speak the core's types. The forms of the wire are tested in the platform crate.

pub mod judge;
pub mod store;
pub mod worker;
pub mod world;
