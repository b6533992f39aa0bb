//! Daemons that need time for their events.

use super::BatchWorld;
use super::START;
use super::WorldEvent;
use mustardpath_core::event::EventInput;
use mustardpath_core::units::TimeSpan;

/// Microseconds in a millisecond.
const MICROS: u64 = 1_000;

/// Events that a daemon takes in at most before it settles.
const SETTLE_EVENTS: u32 = 64;

/// Processor time that a daemon takes, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct DaemonPace {
    /// For taking an event in.
    pub event: u64,
    /// For settling, which looks at the whole state.
    pub pass: u64,
}

impl BatchWorld {
    /// Puts an event behind those that wait for the daemon.
    pub(super) fn enqueue(&mut self, daemon: usize, incarnation: u64, input: EventInput) {
        let process = &mut self.daemons[daemon];
        process.waiting.push_back(input);
        if process.waiting.len() == 1 {
            self.schedule_work(daemon, incarnation);
        }
    }

    /// Handles the first event that waits.
    pub(super) fn work(&mut self, daemon: usize, incarnation: u64, pace: DaemonPace) {
        let now = self.at.since(START).0 * MICROS;
        let process = &mut self.daemons[daemon];
        if process.incarnation != incarnation {
            return;
        }
        let Some(input) = process.waiting.front().cloned() else {
            return;
        };
        process.busy_until = process.busy_until.max(now) + pace.event;
        process.unsettled += 1;
        self.handle(daemon, incarnation, input);
        let process = &mut self.daemons[daemon];
        process.waiting.pop_front();
        let is_last = process.waiting.is_empty();
        if is_last || process.unsettled >= SETTLE_EVENTS {
            process.unsettled = 0;
            process.busy_until += pace.pass;
            self.handle(daemon, incarnation, EventInput::BurstEnd);
        }
        if !self.daemons[daemon].waiting.is_empty() {
            self.schedule_work(daemon, incarnation);
        }
    }

    fn schedule_work(&mut self, daemon: usize, incarnation: u64) {
        let free_at = START + TimeSpan(self.daemons[daemon].busy_until / MICROS);
        let delay = free_at.since(self.at);
        self.schedule(delay, WorldEvent::Work(daemon, incarnation));
    }
}
