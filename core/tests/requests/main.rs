//! Short requests through the reducer: events in, effects compared, no socket, thread or clock.

mod bench;
#[path = "../draws/mod.rs"]
mod draws;

mod keys;
mod limits;
mod promises;
mod retries;
mod routes;
