//! State of the reader of the control stream.

use crate::ids::LogOffset;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// The operation that the reader has in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderPhase {
    /// No read is in flight.
    Idle {
        /// Earliest time of the next read.
        not_before: ClockTime,
        /// Whether the next read is for a snapshot, before the control stream.
        needs_snapshot: bool,
    },
    /// A snapshot is being read.
    Snapshot,
    /// The control stream is being read.
    Control {
        /// The offset of the first record to read.
        from: LogOffset,
    },
}

/// The reader of the control stream.
#[derive(Clone, Debug)]
pub struct ReaderState {
    /// The operation in flight.
    pub phase: ReaderPhase,
    /// When the last read that reached the tail was sent. All records stored before that time have
    /// been applied.
    pub confirmed_at: Option<ClockTime>,
    /// Whether the ledger is complete, read from the log or loaded from a peer.
    pub is_loaded: bool,
    /// Earliest time of the next request for the ledgers of peers, while the log cannot be read.
    pub next_peer_request_at: ClockTime,
    /// Whether the last read failed. Only a change is logged.
    pub is_failing: bool,
}

impl ReaderState {
    /// Creates the reader of a process that has just started. It reads a snapshot first.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: ReaderPhase::Idle {
                not_before: ClockTime::default(),
                needs_snapshot: true,
            },
            confirmed_at: None,
            is_loaded: false,
            next_peer_request_at: ClockTime::default(),
            is_failing: false,
        }
    }

    /// Returns whether all records stored more than `age` before `at` have been applied.
    #[must_use]
    pub fn is_fresh(&self, at: ClockTime, age: TimeSpan) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed_at| at.since(confirmed_at) <= age)
    }
}

impl Default for ReaderState {
    fn default() -> Self {
        Self::new()
    }
}
