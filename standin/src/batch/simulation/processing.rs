//! Daemons that need time for their events.

use super::BatchSimulation;
use super::START_TIME;
use super::SimulationEvent;
use mustardpath_core::event::EventInput;
use mustardpath_core::units::TimeSpan;

/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: u64 = 1_000;

/// Events that a daemon takes in at most before it settles.
const MAX_EVENTS_PER_BURST: u32 = 64;

/// Processor time that a daemon takes, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct ProcessingCost {
    /// For taking an event in.
    pub event_us: u64,
    /// For settling, which looks at the whole state.
    pub burst_end_us: u64,
}

impl BatchSimulation {
    /// Puts an event behind those that wait for the daemon.
    pub(super) fn enqueue(&mut self, daemon: usize, incarnation: u64, input: EventInput) {
        let process = &mut self.daemons[daemon];
        process.input_queue.push_back(input);
        if process.input_queue.len() == 1 {
            self.schedule_processing(daemon, incarnation);
        }
    }

    /// Handles the first event that waits.
    pub(super) fn process_input(&mut self, daemon: usize, incarnation: u64, cost: ProcessingCost) {
        let now = self.at.since(START_TIME).0 * MICROS_PER_MILLISECOND;
        let process = &mut self.daemons[daemon];
        if process.incarnation != incarnation {
            return;
        }
        let Some(input) = process.input_queue.front().cloned() else {
            return;
        };
        process.busy_until_us = process.busy_until_us.max(now) + cost.event_us;
        process.burst_inputs += 1;
        self.reduce(daemon, incarnation, input);
        let process = &mut self.daemons[daemon];
        process.input_queue.pop_front();
        let is_last = process.input_queue.is_empty();
        if is_last || process.burst_inputs >= MAX_EVENTS_PER_BURST {
            process.burst_inputs = 0;
            process.busy_until_us += cost.burst_end_us;
            self.reduce(daemon, incarnation, EventInput::BurstEnd);
        }
        if !self.daemons[daemon].input_queue.is_empty() {
            self.schedule_processing(daemon, incarnation);
        }
    }

    fn schedule_processing(&mut self, daemon: usize, incarnation: u64) {
        let idle_at =
            START_TIME + TimeSpan(self.daemons[daemon].busy_until_us / MICROS_PER_MILLISECOND);
        let delay = idle_at.since(self.at);
        self.schedule(delay, SimulationEvent::ProcessInput(daemon, incarnation));
    }
}
