//! Reading of the control stream, and the rebuild at the start.

use crate::ids::LogOffset;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// What the reader waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderPhase {
    /// Nothing is in flight; the next read may start at this time.
    Idle {
        /// When.
        not_before: ClockTime,
        /// Whether to look for a snapshot before reading on.
        needs_snapshot: bool,
    },
    /// A snapshot is being read.
    Snapshot,
    /// The control stream is being read from this offset.
    Control {
        /// The offset.
        from: LogOffset,
    },
}

/// The reader of the control stream.
#[derive(Clone, Debug)]
pub struct ReaderState {
    /// What it waits for.
    pub phase: ReaderPhase,
    /// When the last read that reached the tail was sent. Everything stored before is known.
    pub confirmed_at: Option<ClockTime>,
    /// Whether the ledger has been built, from the log or from a peer.
    pub is_loaded: bool,
    /// When peers are asked again while no ledger could be read.
    pub next_peer_request_at: ClockTime,
    /// Whether the last read failed; so that only changes are logged.
    pub is_failing: bool,
}

impl ReaderState {
    /// Creates the reader of a process that has just started.
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

    /// Tells whether everything that was stored more than `age` ago is known.
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
