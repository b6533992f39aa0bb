//! Reader of a topic of the store: long polls, snapshot loads and freshness.

use crate::batch::message::BatchEffect;
use crate::batch::message::StoreStream;
use crate::batch::message::StreamOutcome;
use crate::batch::message::StreamRecord;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time for a response beyond the long-poll wait of the read.
const READ_TIMEOUT_MARGIN: TimeSpan = TimeSpan(600);

/// Time for the first byte of a response to a load. It doubles after a failed load, because a link
/// congested by the loads of other daemons cannot be distinguished from one that is down.
const LOAD_TIMEOUT: TimeSpan = TimeSpan(2_400);

/// Limit on the doublings of [`LOAD_TIMEOUT`].
const MAX_LOAD_DOUBLINGS: u32 = 1;

/// Delay before a failed read is retried.
const RETRY_DELAY: TimeSpan = TimeSpan(150);

/// Minimum size of a response that counts as large, because it delays other traffic on its link.
const LARGE_RESPONSE_BYTES: u64 = 64 * 1_024;

/// How a reader reads its topic.
#[derive(Clone, Copy, Debug)]
pub struct ReadPolicy {
    /// Long-poll wait of a read for a new record.
    pub wait: TimeSpan,
    /// Pause after a read that returned records, so that the next one returns several.
    pub pause: TimeSpan,
    /// Maximum size of a response in kilobytes; a single larger record exceeds it.
    pub page_kb: u32,
    /// Polling of large records, for a topic of which only the newest record of each key matters.
    pub polling: Option<PollSchedule>,
}

/// Polling of large records.
///
/// Long polls return a new record to all daemons of a region at once, and over a shared link the
/// copies delay all other traffic. Daemons that poll at different times spread this load.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    /// Time between polls.
    pub interval: TimeSpan,
    /// Offset of this daemon's polls within the interval, different for each daemon.
    pub phase: TimeSpan,
}

/// State of reading one topic.
#[derive(Clone, Debug)]
pub struct StreamReader {
    stream: StoreStream,
    next_offset: Option<u64>,
    load: Option<SnapshotLoad>,
    /// Whether the last records were large, in which case the topic is polled.
    is_large: bool,
    /// Whether the reader is behind and loads snapshots until one has no newer record.
    is_catching_up: bool,
    /// Number of consecutive failed loads.
    failed_loads: u32,
    pending_read: Option<PendingRead>,
    next_read_at: ClockTime,
    confirmed_at: Option<ClockTime>,
    healthy_since: Option<ClockTime>,
    round_trip: TimeSpan,
    loaded_at: Option<ClockTime>,
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    sent_at: ClockTime,
    wait: TimeSpan,
}

#[derive(Clone, Debug, Default)]
struct SnapshotLoad {
    records: Vec<StreamRecord>,
    after: Option<String>,
    /// End of the topic as of the first page.
    end: Option<u64>,
    /// When the first page was requested.
    requested_at: Option<ClockTime>,
}

/// Records that [`StreamReader::apply`] returns for a read.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamUpdate<'a> {
    /// No records, an incomplete snapshot or a failed read.
    Unchanged,
    /// A complete snapshot: the newest record of each key, which replaces all earlier state.
    Snapshot(Vec<StreamRecord>),
    /// New records in the order of the topic.
    Changes(&'a [StreamRecord]),
}

impl StreamReader {
    /// Creates a reader that has read nothing.
    #[must_use]
    pub const fn new(stream: StoreStream) -> Self {
        Self {
            stream,
            next_offset: None,
            load: None,
            is_large: false,
            is_catching_up: false,
            failed_loads: 0,
            pending_read: None,
            next_read_at: ClockTime(0),
            confirmed_at: None,
            healthy_since: None,
            round_trip: TimeSpan(0),
            loaded_at: None,
        }
    }

    /// Returns the time as of which all records of the topic have been read.
    #[must_use]
    pub const fn confirmed_at(&self) -> Option<ClockTime> {
        self.confirmed_at
    }

    /// Returns the time since which every read was answered, or `None` if the last one failed.
    #[must_use]
    pub const fn healthy_since(&self) -> Option<ClockTime> {
        self.healthy_since
    }

    /// Returns the response time of the last page of a load.
    #[must_use]
    pub const fn round_trip(&self) -> TimeSpan {
        self.round_trip
    }

    /// Returns when the topic was first loaded.
    #[must_use]
    pub const fn loaded_at(&self) -> Option<ClockTime> {
        self.loaded_at
    }

    /// Returns whether the topic was confirmed within the last `span`.
    #[must_use]
    pub fn is_fresh(&self, at: ClockTime, span: TimeSpan) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| at.since(confirmed_at) <= span)
    }

    /// Returns whether a snapshot of the topic was loaded.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.next_offset.is_some()
    }

    /// Sends the next read if none is pending and its time has come.
    pub fn send_read(&mut self, policy: ReadPolicy, context: &mut StepContext<'_>) {
        if self.pending_read.is_some() || context.at < self.next_read_at {
            return;
        }
        if self.is_catching_up {
            self.load.get_or_insert_default();
        }
        let wait = if self.is_loading() || self.is_large {
            TimeSpan(0)
        } else {
            policy.wait
        };
        self.pending_read = Some(PendingRead {
            sent_at: context.at,
            wait,
        });
        let effect = match (self.next_offset, &self.load) {
            (Some(from), None) => BatchEffect::Read {
                stream: self.stream,
                from,
                wait,
                page_kb: policy.page_kb,
                timeout: wait + READ_TIMEOUT_MARGIN,
            },
            (_, load) => BatchEffect::ReadNewest {
                stream: self.stream,
                after: load.as_ref().and_then(|load| load.after.clone()),
                timeout: self.load_timeout(),
            },
        };
        context.push(ControlEffect::Batch(effect));
    }

    /// Applies the outcome of the pending read.
    pub fn apply<'a>(
        &mut self,
        outcome: &'a StreamOutcome,
        policy: ReadPolicy,
        context: &mut StepContext<'_>,
    ) -> StreamUpdate<'a> {
        let Some(read) = self.pending_read.take() else {
            return StreamUpdate::Unchanged;
        };
        self.log_large_response(read, outcome, context);
        match outcome {
            StreamOutcome::Records {
                records,
                next,
                end,
                bytes,
            } => {
                self.record_response(context);
                self.next_offset = Some(*next);
                if end > next {
                    let line = format!(
                        "topic={:?} outcome=cut_off next={next} end={end}",
                        self.stream
                    );
                    context.info(LogTarget::Log, line);
                } else {
                    self.confirm(read, records.is_empty(), context.at);
                }
                if records.is_empty() {
                    self.next_read_at = context.at;
                } else {
                    self.next_read_at = context.at + policy.pause;
                }
                if let Some(polling) = policy.polling {
                    let size = (!records.is_empty()).then_some(*bytes);
                    self.schedule_poll(polling, size, context.at);
                    if end > next {
                        self.is_catching_up = true;
                        self.next_read_at = context.at;
                    }
                }
                StreamUpdate::Changes(records)
            }
            StreamOutcome::Newest {
                records,
                after,
                end,
                bytes,
            } => {
                self.record_response(context);
                self.round_trip = context.at.since(read.sent_at);
                let load = self.load.get_or_insert_default();
                let requested_at = *load.requested_at.get_or_insert(read.sent_at);
                let update = self.handle_page(records, after.as_ref(), *end);
                if matches!(update, StreamUpdate::Snapshot(_)) {
                    self.loaded_at.get_or_insert(context.at);
                }
                if let (Some(polling), StreamUpdate::Snapshot(_)) = (policy.polling, &update) {
                    // Each page is at least as new as the request of the first page.
                    self.confirmed_at = self.confirmed_at.max(Some(requested_at));
                    self.schedule_poll(polling, Some(*bytes), context.at);
                }
                update
            }
            StreamOutcome::Expired => {
                context.warn(
                    LogTarget::Log,
                    format!(
                        "topic={:?} records expired from the log, loading a snapshot",
                        self.stream
                    ),
                );
                self.load = Some(SnapshotLoad::default());
                StreamUpdate::Unchanged
            }
            StreamOutcome::Failed => {
                if self.healthy_since.take().is_some() {
                    context.warn(
                        LogTarget::Log,
                        format!("topic={:?} out of reach", self.stream),
                    );
                }
                if self.is_loading() {
                    self.failed_loads += 1;
                }
                self.next_read_at = context.at + RETRY_DELAY;
                StreamUpdate::Unchanged
            }
        }
    }

    /// Schedules the next read of a topic that may be polled, after a response with records of the
    /// given size in bytes, or `None` for a response without records.
    fn schedule_poll(&mut self, polling: PollSchedule, size: Option<u64>, at: ClockTime) {
        let was_large = self.is_large;
        self.is_large = size.map_or(was_large, |size| size >= LARGE_RESPONSE_BYTES);
        if self.is_large {
            let delay = if was_large {
                polling.interval
            } else {
                polling.phase
            };
            self.next_read_at = at + delay;
        }
    }

    /// Logs a large response.
    fn log_large_response(
        &self,
        read: PendingRead,
        outcome: &StreamOutcome,
        context: &mut StepContext<'_>,
    ) {
        let (records, bytes) = match outcome {
            StreamOutcome::Records { records, bytes, .. }
            | StreamOutcome::Newest { records, bytes, .. } => (records.len(), *bytes),
            StreamOutcome::Expired | StreamOutcome::Failed => return,
        };
        if bytes >= LARGE_RESPONSE_BYTES {
            let line = format!(
                "topic={:?} outcome=large_answer bytes={bytes} records={records} took_ms={}",
                self.stream,
                context.at.since(read.sent_at)
            );
            context.info(LogTarget::Log, line);
        }
    }

    /// Returns whether the next read is part of a load.
    const fn is_loading(&self) -> bool {
        self.next_offset.is_none() || self.load.is_some()
    }

    fn load_timeout(&self) -> TimeSpan {
        TimeSpan(LOAD_TIMEOUT.0 << self.failed_loads.min(MAX_LOAD_DOUBLINGS))
    }

    /// Records that a read was answered.
    fn record_response(&mut self, context: &mut StepContext<'_>) {
        if self.healthy_since.is_none() {
            self.healthy_since = Some(context.at);
            context.info(LogTarget::Log, format!("topic={:?} in reach", self.stream));
        }
    }

    /// Confirms the topic after a response that reaches its end. A response that was cut off leaves
    /// out records that can be older than the request.
    ///
    /// The response reflects the topic as of the request, or of the end of the long-poll wait if it
    /// is empty.
    fn confirm(&mut self, read: PendingRead, is_empty: bool, at: ClockTime) {
        let reflected_at = if is_empty {
            (read.sent_at + read.wait).min(at)
        } else {
            read.sent_at
        };
        self.confirmed_at = self.confirmed_at.max(Some(reflected_at));
    }

    fn handle_page(
        &mut self,
        records: &[StreamRecord],
        after: Option<&String>,
        end: u64,
    ) -> StreamUpdate<'static> {
        self.failed_loads = 0;
        let load = self.load.get_or_insert_default();
        load.records.extend_from_slice(records);
        // Later pages can include records after the first page's end. Reading continues from that
        // end.
        let first_end = *load.end.get_or_insert(end);
        load.after = after.cloned();
        if after.is_some() {
            return StreamUpdate::Unchanged;
        }
        let load = self.load.take().unwrap_or_default();
        self.is_catching_up &= self
            .next_offset
            .is_some_and(|next_offset| first_end > next_offset);
        self.next_offset = Some(first_end);
        StreamUpdate::Snapshot(load.records)
    }
}
