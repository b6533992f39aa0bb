//! Following a topic of the store: reads, loads of the newest records, freshness.

use crate::batch::message::BatchEffect;
use crate::batch::message::StoreStream;
use crate::batch::message::StreamOutcome;
use crate::batch::message::StreamRecord;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Time for an answer of the store beyond the wait that was asked for.
const READ_TIME: TimeSpan = TimeSpan(600);

/// Time until the answer to a load begins. It doubles when a load fails, because a link that is full
/// of other daemons' loads looks like one that is silent.
const LOAD_TIME: TimeSpan = TimeSpan(2_400);

/// Doublings of [`LOAD_TIME`] at most.
const LOAD_DOUBLINGS: u32 = 1;

/// Wait before a failed read is tried again.
const RETRY_WAIT: TimeSpan = TimeSpan(150);

/// Size of an answer that takes a good part of a link.
const LARGE_ANSWER: u64 = 64 * 1_024;

/// How a topic is followed.
#[derive(Clone, Copy, Debug)]
pub struct TailPace {
    /// Longest wait of one read for a record.
    pub wait: TimeSpan,
    /// Pause between two reads that brought records, so that one read brings several.
    pub pause: TimeSpan,
    /// Size of an answer in kilobytes.
    pub page: u32,
    /// How the topic is polled once its records are large, if only the newest one of each key
    /// matters.
    pub polling: Option<TailPolling>,
}

/// Polling of large records.
///
/// A read that waits for a record brings it to all daemons of a region at once, over one link, and
/// whatever else goes over it has to wait. Daemons that poll at times of their own share it.
#[derive(Clone, Copy, Debug)]
pub struct TailPolling {
    /// Time between two polls.
    pub interval: TimeSpan,
    /// Offset of this daemon's polls, which sets them apart from those of others.
    pub phase: TimeSpan,
}

/// The state of following one topic.
#[derive(Clone, Debug)]
pub struct StreamTail {
    stream: StoreStream,
    next: Option<u64>,
    load: Option<StreamLoad>,
    /// Whether the last records were large, so that the topic is polled.
    is_large: bool,
    /// Whether records are left out until a load brings nothing new.
    catches_up: bool,
    /// Loads in a row that have failed.
    failed_loads: u32,
    asked: Option<ReadMark>,
    due: ClockTime,
    confirmed: Option<ClockTime>,
    healthy_since: Option<ClockTime>,
    round_trip: TimeSpan,
}

#[derive(Clone, Copy, Debug)]
struct ReadMark {
    at: ClockTime,
    wait: TimeSpan,
}

#[derive(Clone, Debug, Default)]
struct StreamLoad {
    records: Vec<StreamRecord>,
    after: Option<String>,
    /// The topic's end in the first page.
    end: Option<u64>,
    /// When the first page was asked for.
    asked: Option<ClockTime>,
}

/// What a read brought.
#[derive(Debug, PartialEq, Eq)]
pub enum TailNews<'a> {
    /// Nothing.
    Nothing,
    /// The newest record of each key, which replaces everything known of the topic.
    Loaded(Vec<StreamRecord>),
    /// Changes in the order of the topic.
    Changes(&'a [StreamRecord]),
}

impl StreamTail {
    /// Creates the state of a topic of which nothing was read.
    #[must_use]
    pub const fn new(stream: StoreStream) -> Self {
        Self {
            stream,
            next: None,
            load: None,
            is_large: false,
            catches_up: false,
            failed_loads: 0,
            asked: None,
            due: ClockTime(0),
            confirmed: None,
            healthy_since: None,
            round_trip: TimeSpan(0),
        }
    }

    /// Returns the time at which the topic was known to hold nothing newer.
    #[must_use]
    pub const fn confirmed(&self) -> Option<ClockTime> {
        self.confirmed
    }

    /// Returns since when all reads have been answered, unless the last one was not.
    #[must_use]
    pub const fn healthy_since(&self) -> Option<ClockTime> {
        self.healthy_since
    }

    /// Returns the time that the last load's page took.
    #[must_use]
    pub const fn round_trip(&self) -> TimeSpan {
        self.round_trip
    }

    /// Tells whether the topic was confirmed within `span`.
    #[must_use]
    pub fn is_fresh(&self, at: ClockTime, span: TimeSpan) -> bool {
        self.confirmed
            .is_some_and(|confirmed| at.since(confirmed) <= span)
    }

    /// Tells whether the topic was read as a whole at least once.
    #[must_use]
    pub const fn is_loaded(&self) -> bool {
        self.next.is_some()
    }

    /// Sends the next read when it is due.
    pub fn follow(&mut self, pace: TailPace, context: &mut StepContext<'_>) {
        if self.asked.is_some() || context.at < self.due {
            return;
        }
        if self.catches_up {
            self.load.get_or_insert_default();
        }
        let wait = if self.is_loading() || self.is_large {
            TimeSpan(0)
        } else {
            pace.wait
        };
        self.asked = Some(ReadMark {
            at: context.at,
            wait,
        });
        let effect = match (self.next, &self.load) {
            (Some(from), None) => BatchEffect::Read {
                stream: self.stream,
                from,
                wait,
                page: pace.page,
                timeout: wait + READ_TIME,
            },
            (_, load) => BatchEffect::ReadNewest {
                stream: self.stream,
                after: load.as_ref().and_then(|load| load.after.clone()),
                timeout: self.load_time(),
            },
        };
        context.push(ControlEffect::Batch(effect));
    }

    /// Takes the outcome of a read.
    pub fn take<'a>(
        &mut self,
        outcome: &'a StreamOutcome,
        pace: TailPace,
        context: &mut StepContext<'_>,
    ) -> TailNews<'a> {
        let Some(mark) = self.asked.take() else {
            return TailNews::Nothing;
        };
        self.note_large(mark, outcome, context);
        match outcome {
            StreamOutcome::Records {
                records,
                next,
                end,
                bytes,
            } => {
                self.answered(mark.at, context);
                self.next = Some(*next);
                if records.is_empty() {
                    self.confirm(mark, context.at);
                    self.due = context.at;
                } else {
                    self.due = context.at + pace.pause;
                }
                if let Some(polling) = pace.polling {
                    let size = (!records.is_empty()).then_some(*bytes);
                    self.schedule_poll(polling, size, context.at);
                    if end > next {
                        self.catches_up = true;
                        self.due = context.at;
                    }
                }
                TailNews::Changes(records)
            }
            StreamOutcome::Newest {
                records,
                after,
                end,
                bytes,
            } => {
                self.answered(mark.at, context);
                self.round_trip = context.at.since(mark.at);
                let load = self.load.get_or_insert_default();
                let asked = *load.asked.get_or_insert(mark.at);
                let news = self.take_page(records, after.as_ref(), *end);
                if let (Some(polling), TailNews::Loaded(_)) = (pace.polling, &news) {
                    // Each page shows its keys at least as they were when the first was asked for.
                    self.confirmed = self.confirmed.max(Some(asked));
                    self.schedule_poll(polling, Some(*bytes), context.at);
                }
                news
            }
            StreamOutcome::Expired => {
                context.warn(
                    LogTarget::Log,
                    format!(
                        "topic={:?} history is gone, loading the newest",
                        self.stream
                    ),
                );
                self.load = Some(StreamLoad::default());
                TailNews::Nothing
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
                self.due = context.at + RETRY_WAIT;
                TailNews::Nothing
            }
        }
    }

    /// Sets the time of the next read of a topic that may be polled, after an answer whose
    /// records have the given size, or after one without records.
    fn schedule_poll(&mut self, polling: TailPolling, size: Option<u64>, at: ClockTime) {
        let was_large = self.is_large;
        self.is_large = size.map_or(was_large, |size| size >= LARGE_ANSWER);
        if self.is_large {
            let wait = if was_large {
                polling.interval
            } else {
                polling.phase
            };
            self.due = at + wait;
        }
    }

    /// Logs an answer that takes a good part of a link.
    fn note_large(&self, mark: ReadMark, outcome: &StreamOutcome, context: &mut StepContext<'_>) {
        let (records, bytes) = match outcome {
            StreamOutcome::Records { records, bytes, .. }
            | StreamOutcome::Newest { records, bytes, .. } => (records.len(), *bytes),
            StreamOutcome::Expired | StreamOutcome::Failed => return,
        };
        if bytes >= LARGE_ANSWER {
            let line = format!(
                "topic={:?} outcome=large_answer bytes={bytes} records={records} took_ms={}",
                self.stream,
                context.at.since(mark.at)
            );
            context.info(LogTarget::Log, line);
        }
    }

    /// Tells whether the next read is one of a load.
    const fn is_loading(&self) -> bool {
        self.next.is_none() || self.load.is_some()
    }

    fn load_time(&self) -> TimeSpan {
        TimeSpan(LOAD_TIME.0 << self.failed_loads.min(LOAD_DOUBLINGS))
    }

    /// A read that was answered shows the topic at least as it was when the read was sent.
    fn answered(&mut self, asked: ClockTime, context: &mut StepContext<'_>) {
        if self.healthy_since.is_none() {
            self.healthy_since = Some(context.at);
            context.info(LogTarget::Log, format!("topic={:?} in reach", self.stream));
        }
        if !self.is_loading() {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// An answer without records was made at the end of the wait that was asked for.
    fn confirm(&mut self, mark: ReadMark, at: ClockTime) {
        let answered = (mark.at + mark.wait).min(at);
        self.confirmed = self.confirmed.max(Some(answered));
    }

    fn take_page(
        &mut self,
        records: &[StreamRecord],
        after: Option<&String>,
        end: u64,
    ) -> TailNews<'static> {
        self.failed_loads = 0;
        let load = self.load.get_or_insert_default();
        load.records.extend_from_slice(records);
        // Later pages can show records beyond the first page's end. Reading goes on from there.
        let first_end = *load.end.get_or_insert(end);
        load.after = after.cloned();
        if after.is_some() {
            return TailNews::Nothing;
        }
        let load = self.load.take().unwrap_or_default();
        self.catches_up &= self.next.is_some_and(|known| first_end > known);
        self.next = Some(first_end);
        TailNews::Loaded(load.records)
    }
}
