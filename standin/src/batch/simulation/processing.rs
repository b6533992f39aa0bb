//! Processing time of the daemons.

use super::BatchSimulation;
use super::START_TIME;
use super::SimulationEvent;
use mustardpath_core::event::EventInput;
use mustardpath_core::units::TimeSpan;

const MICROS_PER_MILLISECOND: u64 = 1_000;

/// Maximum number of inputs that a daemon handles before [`EventInput::BurstEnd`], as in its event
/// loop.
const MAX_BURST_EVENTS: u32 = 64;

/// Processing time of a daemon's inputs.
#[derive(Clone, Copy, Debug)]
pub struct ProcessingCost {
    /// Microseconds per input.
    pub event_us: u64,
    /// Microseconds per [`EventInput::BurstEnd`], which iterates over the whole state.
    pub burst_end_us: u64,
}

impl BatchSimulation {
    /// Appends an input to the daemon's queue.
    pub(super) fn enqueue(&mut self, daemon: usize, incarnation: u64, input: EventInput) {
        let process = &mut self.daemons[daemon];
        process.input_queue.push_back(input);
        if process.input_queue.len() == 1 {
            self.schedule_processing(daemon, incarnation);
        }
    }

    /// Handles the first input of the daemon's queue, and the end of the burst if the queue is
    /// empty or the burst has [`MAX_BURST_EVENTS`] inputs.
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
        if is_last || process.burst_inputs >= MAX_BURST_EVENTS {
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
