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
        snapshot: bool,
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
    pub loaded: bool,
    /// When peers are asked again while no ledger could be read.
    pub ask_peers_at: ClockTime,
    /// Whether the last read failed; so that only changes are logged.
    pub failing: bool,
}

impl ReaderState {
    /// Creates the reader of a process that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: ReaderPhase::Idle {
                not_before: ClockTime::default(),
                snapshot: true,
            },
            confirmed_at: None,
            loaded: false,
            ask_peers_at: ClockTime::default(),
            failing: false,
        }
    }

    /// Tells whether everything that was stored more than `age` ago is known.
    #[must_use]
    pub fn is_fresh(&self, at: ClockTime, age: TimeSpan) -> bool {
        self.confirmed_at
            .is_some_and(|confirmed| at.since(confirmed) <= age)
    }
}

impl Default for ReaderState {
    fn default() -> Self {
        Self::new()
    }
}
