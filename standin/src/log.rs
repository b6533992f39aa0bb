//! Model of the platform's log: named append-only streams with offsets and retention.

use std::collections::VecDeque;

use indexmap::IndexMap;

use mustardpath_core::ids::LogOffset;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

plain_data! {
    /// Faults that can be switched on and off while the model runs.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct LogFault {
        /// The log is down: reads and appends fail.
        pub down: bool,
        /// Appends are refused and store nothing.
        pub refuse_appends: bool,
        /// Appends are stored, but their answers are lost.
        pub lose_answers: bool,
        /// Each append is stored twice.
        pub store_twice: bool,
        /// Delay of each answer. The code that runs the model applies it.
        pub slow: TimeSpan,
    }

    /// Limits of the log.
    #[derive(Copy)]
    #[serde(default)]
    pub struct LogLimits {
        /// Appends per second over all streams. Further appends are refused.
        pub appends_per_second: u32,
        /// Age at which records are dropped.
        pub retention: TimeSpan,
    }
}

plain_data! {
    /// Result of an append.
    #[serde(tag = "append", rename_all = "snake_case")]
    pub enum AppendReply {
        /// The records are stored.
        Stored {
            /// Offset of the first record.
            first: LogOffset,
        },
        /// Nothing is stored.
        Refused,
        /// The records are stored, but the answer is lost.
        Lost,
    }

    /// Result of a read.
    #[serde(tag = "read", rename_all = "snake_case")]
    pub enum ReadReply {
        /// Consecutive records, or none when the offset is the tail.
        Records {
            /// Offset and content of each record.
            records: Vec<(LogOffset, Vec<u8>)>,
            /// Offset after the last record of the stream.
            tail: LogOffset,
        },
        /// The record at the offset has been dropped.
        Expired {
            /// Oldest retained offset.
            oldest: LogOffset,
        },
        /// The log is down.
        Down,
    }
}

impl Default for LogLimits {
    fn default() -> Self {
        Self {
            appends_per_second: 400,
            retention: TimeSpan::from_secs(3 * 86_400),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct LogStream {
    oldest: u64,
    records: VecDeque<(ClockTime, Vec<u8>)>,
}

impl LogStream {
    fn tail(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    fn drop_before(&mut self, cutoff: ClockTime) {
        while self.records.front().is_some_and(|(at, _)| *at < cutoff) {
            self.records.pop_front();
            self.oldest += 1;
        }
    }
}

/// The streams of the log with their limits and faults.
#[derive(Clone, Debug, Default)]
pub struct LogModel {
    streams: IndexMap<String, LogStream>,
    limits: LogLimits,
    fault: LogFault,
    quota_second: u64,
    appends_in_second: u32,
}

impl LogModel {
    /// Creates an empty log.
    #[must_use]
    pub fn new(limits: LogLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the faults in force.
    #[must_use]
    pub const fn fault(&self) -> LogFault {
        self.fault
    }

    /// Replaces the faults in force.
    pub const fn set_fault(&mut self, fault: LogFault) {
        self.fault = fault;
    }

    /// Appends records to a stream atomically. Creates the stream when it does not exist.
    pub fn append(&mut self, stream: &str, records: &[Vec<u8>], at: ClockTime) -> AppendReply {
        if self.fault.down || self.fault.refuse_appends || !self.consume_append_quota(at) {
            return AppendReply::Refused;
        }
        self.expire_records(at);
        let target = self.streams.entry(stream.to_string()).or_default();
        let first = LogOffset(target.tail());
        let copies = if self.fault.store_twice { 2 } else { 1 };
        for record in (0..copies).flat_map(|_| records) {
            target.records.push_back((at, record.clone()));
        }
        if self.fault.lose_answers {
            return AppendReply::Lost;
        }
        AppendReply::Stored { first }
    }

    /// Reads at most `max_records` records of a stream, starting at `from`.
    pub fn read(
        &mut self,
        stream: &str,
        from: LogOffset,
        max_records: usize,
        at: ClockTime,
    ) -> ReadReply {
        if self.fault.down {
            return ReadReply::Down;
        }
        self.expire_records(at);
        let Some(source) = self.streams.get(stream) else {
            return ReadReply::Records {
                records: Vec::new(),
                tail: LogOffset(0),
            };
        };
        if from.0 < source.oldest {
            return ReadReply::Expired {
                oldest: LogOffset(source.oldest),
            };
        }
        let skip = usize::try_from(from.0 - source.oldest).unwrap_or(usize::MAX);
        let records = source.records.iter().enumerate().skip(skip);
        ReadReply::Records {
            records: records
                .take(max_records)
                .map(|(index, (_, bytes))| (LogOffset(source.oldest + index as u64), bytes.clone()))
                .collect(),
            tail: LogOffset(source.tail()),
        }
    }

    /// Returns the oldest offset and the tail of a stream. Faults do not affect this call.
    #[must_use]
    pub fn bounds(&self, stream: &str) -> (LogOffset, LogOffset) {
        self.streams
            .get(stream)
            .map_or((LogOffset(0), LogOffset(0)), |source| {
                (LogOffset(source.oldest), LogOffset(source.tail()))
            })
    }

    fn consume_append_quota(&mut self, at: ClockTime) -> bool {
        let second = at.0 / 1_000;
        if second != self.quota_second {
            self.quota_second = second;
            self.appends_in_second = 0;
        }
        self.appends_in_second += 1;
        self.appends_in_second <= self.limits.appends_per_second
    }

    fn expire_records(&mut self, at: ClockTime) {
        let cutoff = at - self.limits.retention;
        for stream in self.streams.values_mut() {
            stream.drop_before(cutoff);
        }
    }
}
