//! Model of an endpoint: short requests on a model worker.

use indexmap::IndexMap;

use crate::event::WorkerEvent;
use crate::task::WorkPayload;
use crate::worker::WorkerModel;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// A short request as received by an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointRequest<'a> {
    /// Request id, unique across all daemons.
    pub id: &'a str,
    /// Attempt number, from 1.
    pub attempt: u32,
    /// The idempotency key, or `None` when the caller sent none.
    pub key: Option<&'a RequestKey>,
    /// The body. A JSON body can set `run_ms` and `fail` as in [`WorkPayload`].
    pub body: &'a [u8],
}

plain_data! {
    /// An endpoint's reply to a short request.
    #[serde(tag = "reply", rename_all = "snake_case")]
    pub enum EndpointReply {
        /// The request runs and is answered after `takes`.
        Answered {
            /// HTTP status: 200, or 500 when the work fails.
            status: u16,
            /// The result of [`answer_to`] for the request's body.
            body: Vec<u8>,
            /// Time from the request's arrival to its answer.
            takes: TimeSpan,
        },
        /// The request does not run: the worker has no free slot or is leaving.
        Refused,
    }
}

/// Returns the answer to a request body. The answer contains the body, so a test can check that
/// each caller gets its own answer.
#[must_use]
pub fn answer_to(body: &[u8]) -> Vec<u8> {
    let mut answer = b"answer to ".to_vec();
    answer.extend_from_slice(body);
    answer
}

impl WorkerModel {
    /// Returns how often the short requests of each key have run. Restarts keep the counts.
    #[must_use]
    pub const fn run_counts(&self) -> &IndexMap<RequestKey, u32> {
        &self.run_counts
    }

    /// Runs a short request, or refuses it when the worker has no free slot or is leaving.
    ///
    /// Call this only while [`WorkerModel::is_responsive`] is true.
    pub fn answer_request(
        &mut self,
        at: ClockTime,
        request: &EndpointRequest<'_>,
    ) -> EndpointReply {
        self.apply_elapsed_time(at);
        if self.is_leaving || self.free().slots == 0 {
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

    /// Frees the slot of a cancelled request.
    pub fn cancel_request(&mut self, id: &str, attempt: u32) {
        self.requests.shift_remove(&(id.to_string(), attempt));
    }
}
