//! The request side of a model worker.

use indexmap::IndexMap;

use crate::event::WorkerEvent;
use crate::task::WorkPayload;
use crate::worker::WorkerModel;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// A short request as it arrives at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRequest<'a> {
    /// Id that is unique over all daemons.
    pub id: &'a str,
    /// The attempt, from 1.
    pub attempt: u32,
    /// The idempotency key.
    pub key: Option<&'a RequestKey>,
    /// The body; JSON text may name `run_ms`, `fail` and `result` as a job's payload does.
    pub body: &'a [u8],
}

plain_data! {
    /// What an endpoint does with a short request.
    #[serde(tag = "reply", rename_all = "snake_case")]
    pub enum EndpointReply {
        /// The request runs and is answered after a while.
        Answered {
            /// The HTTP status.
            status: u16,
            /// The body.
            body: Vec<u8>,
            /// Time from arrival to the answer.
            takes: TimeSpan,
        },
        /// The request is refused and does not run.
        Refused,
    }
}

/// Returns the answer to a body, so that a test can tell whether a caller got its own answer.
#[must_use]
pub fn answer_to(body: &[u8]) -> Vec<u8> {
    let mut answer = b"answer to ".to_vec();
    answer.extend_from_slice(body);
    answer
}

impl WorkerModel {
    /// Returns how often short requests with each key have run.
    #[must_use]
    pub const fn run_counts(&self) -> &IndexMap<RequestKey, u32> {
        &self.run_counts
    }

    /// Runs a short request when a slot is free.
    ///
    /// The owner calls this only while [`WorkerModel::answers`].
    pub fn answer_request(
        &mut self,
        at: ClockTime,
        request: &EndpointRequest<'_>,
    ) -> EndpointReply {
        self.apply_elapsed_time(at);
        if self.leaving || self.free().slots == 0 {
            return EndpointReply::Refused;
        }
        let text = std::str::from_utf8(request.body).unwrap_or_default();
        let payload = WorkPayload::parse(text);
        let takes = TimeSpan(payload.run_ms);
        self.requests
            .insert((request.id.to_string(), request.attempt), at + takes);
        if let Some(key) = request.key {
            *self.run_counts.entry(key.clone()).or_insert(0) += 1;
        }
        self.events.push(WorkerEvent::Answered {
            at,
            key: request.key.cloned(),
        });
        let fails = payload.fail || self.fault.fails_everything;
        EndpointReply::Answered {
            status: if fails { 500 } else { 200 },
            body: answer_to(request.body),
            takes,
        }
    }

    /// Frees the slot of a request whose answer is no longer wanted.
    pub fn cancel_request(&mut self, id: &str, attempt: u32) {
        self.requests.shift_remove(&(id.to_string(), attempt));
    }
}
