//! Deterministic simulation of the batch subsystem on the users' platform: models of the keyed
//! store and the workers, and a simulation that connects them with daemons under a virtual clock.
//!
//! The models exchange the core's types with the daemons. The platform crate tests the wire format.

pub mod checker;
pub mod simulation;
pub mod store;
pub mod worker;
