//! Short requests through the reducer: events in, effects compared, no socket, thread or clock.

#[path = "../draws/mod.rs"]
mod draws;
mod harness;

mod invariants;
mod keys;
mod limits;
mod retries;
mod routes;
