//! Executes effects: reads and appends at the store, orders to workers, responses to callers.

use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task;

use crate::control::EventSender;
use crate::entry::client::CallError;
use crate::entry::client::CallPool;
use crate::entry::exchange::ExchangeResponse;
use crate::entry::server::ServerContext;
use mustardpath_core::batch::message::BatchEffect;
use mustardpath_core::batch::message::BatchInput;
use mustardpath_core::batch::message::OrderOutcome;
use mustardpath_core::batch::message::StreamOutcome;
use mustardpath_core::batch::message::WriteOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::units::TimeSpan;
use mustardpath_platform::store;
use mustardpath_platform::worker;

/// State shared by the tasks that execute effects.
#[derive(Clone)]
pub struct EffectContext {
    /// Sends events to the control thread.
    pub events: EventSender,
    /// Pending exchanges with callers, metrics and the state of the connections.
    pub server: Rc<ServerContext>,
    /// Pooled connections to the store and to workers.
    pub pool: Rc<CallPool>,
    /// IP address and port of the store.
    pub store: Rc<str>,
}

/// Executes effects until the control thread has ended.
///
/// Calls to the store and to workers each run in a task of their own.
pub async fn run(context: EffectContext, mut effects: UnboundedReceiver<BatchEffect>) {
    while let Some(effect) = effects.recv().await {
        match effect {
            BatchEffect::Respond { caller, response } => {
                let response = ExchangeResponse::Queue(response);
                context.server.exchanges.respond(caller, response);
            }
            BatchEffect::RespondReadiness { caller, is_ready } => {
                let response = ExchangeResponse::Readiness(is_ready);
                context.server.exchanges.respond(caller, response);
            }
            BatchEffect::RespondDump { caller, dump } => {
                let response = ExchangeResponse::Dump(dump);
                context.server.exchanges.respond(caller, response);
            }
            BatchEffect::Observe { stage, queue, span } => {
                context.server.metrics.observe(stage, &queue, span);
            }
            BatchEffect::CloseConnections => context.server.is_closing.set(true),
            effect => {
                task::spawn_local(execute(context.clone(), effect));
            }
        }
    }
}

/// Executes a call and reports its outcome.
///
/// The reducer waits for the outcome of each call, so a panic, for example in a decoder, counts as a
/// call without a response.
async fn execute(context: EffectContext, effect: BatchEffect) {
    let Some(failure) = failed_input(&effect) else {
        return;
    };
    let call = AssertUnwindSafe(call(&context, effect)).catch_unwind();
    let input = call.await.ok().flatten().unwrap_or_else(|| {
        log::error!("process: outcome=call_panicked");
        failure
    });
    // The send fails only when the control thread has already ended.
    let _ = context.events.send(EventInput::Batch(input)).await;
}

/// Returns the input that reports a call as failed with an unknown outcome, or `None` for an effect
/// that is not a call.
const fn failed_input(effect: &BatchEffect) -> Option<BatchInput> {
    match effect {
        BatchEffect::Read { stream, .. } | BatchEffect::ReadNewest { stream, .. } => {
            Some(BatchInput::Read {
                stream: *stream,
                outcome: StreamOutcome::Failed,
            })
        }
        BatchEffect::Write { batch, .. } => Some(BatchInput::Written {
            batch: *batch,
            outcome: WriteOutcome::Unknown,
        }),
        BatchEffect::Order { call, .. } => Some(BatchInput::Order {
            call: *call,
            outcome: OrderOutcome::Unknown,
        }),
        BatchEffect::Respond { .. }
        | BatchEffect::RespondReadiness { .. }
        | BatchEffect::RespondDump { .. }
        | BatchEffect::Observe { .. }
        | BatchEffect::CloseConnections => None,
    }
}

async fn call(context: &EffectContext, effect: BatchEffect) -> Option<BatchInput> {
    let input = match effect {
        BatchEffect::Read {
            stream,
            from,
            wait,
            page_kb,
            timeout,
        } => {
            let request = store::encode_read(stream, from, wait, page_kb);
            let response = context
                .pool
                .call(&context.store, request, to_duration(timeout))
                .await;
            let outcome = response.map_or(StreamOutcome::Failed, |response| {
                store::decode_read(stream, from, response.status, &response.body)
            });
            BatchInput::Read { stream, outcome }
        }
        BatchEffect::ReadNewest {
            stream,
            after,
            timeout,
        } => {
            let request = store::encode_read_newest(stream, after.as_deref());
            let response = context
                .pool
                .call(&context.store, request, to_duration(timeout))
                .await;
            let outcome = response.map_or(StreamOutcome::Failed, |response| {
                store::decode_read_newest(stream, response.status, &response.body)
            });
            BatchInput::Read { stream, outcome }
        }
        BatchEffect::Write {
            batch,
            writer,
            records,
            timeout,
        } => {
            let request = store::encode_append(writer, &records);
            if !store::fits(&request) {
                let outcome = WriteOutcome::Rejected;
                return Some(BatchInput::Written { batch, outcome });
            }
            let response = context
                .pool
                .call(&context.store, request, to_duration(timeout))
                .await;
            let outcome = match response {
                Ok(response) => store::decode_append(response.status, &response.body),
                Err(CallError::Undelivered) => WriteOutcome::Undelivered,
                Err(CallError::Unknown) => WriteOutcome::Unknown,
            };
            BatchInput::Written { batch, outcome }
        }
        BatchEffect::Order {
            call,
            worker,
            address,
            token,
            order,
            timeout,
        } => {
            let request = worker::encode_order(worker.as_str(), token, &order);
            let response = context
                .pool
                .call(&address, request, to_duration(timeout))
                .await;
            let outcome = match response {
                Ok(response) => worker::decode_outcome(response.status, &response.body),
                Err(CallError::Undelivered) => OrderOutcome::Undelivered,
                Err(CallError::Unknown) => OrderOutcome::Unknown,
            };
            BatchInput::Order { call, outcome }
        }
        // `run` executes these itself.
        BatchEffect::Respond { .. }
        | BatchEffect::RespondReadiness { .. }
        | BatchEffect::RespondDump { .. }
        | BatchEffect::Observe { .. }
        | BatchEffect::CloseConnections => return None,
    };
    Some(input)
}

const fn to_duration(span: TimeSpan) -> Duration {
    Duration::from_millis(span.0)
}
