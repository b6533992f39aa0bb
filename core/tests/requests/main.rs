//! Short requests through the reducer. The tests pass events in and compare the effects; there is
//! no socket, thread or clock.

#[path = "../draws/mod.rs"]
mod draws;
mod harness;

mod invariants;
mod keys;
mod limits;
mod retries;
mod routes;
