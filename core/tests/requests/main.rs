//! Short requests through the reducer: events in, effects compared, no socket, thread or clock.

mod bench;

mod keys;
mod limits;
mod promises;
mod retries;
mod routes;
