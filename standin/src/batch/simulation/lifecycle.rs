//! Starts, ends, pauses and drains of daemons and workers.

use super::BatchSimulation;
use super::SimulationEvent;
use crate::batch::worker::BatchWorker;
use crate::batch::worker::WorkerBehavior;
use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::TaskDemand;
use mustardpath_core::batch::job::WorkerCondition;
use mustardpath_core::batch::job::WorkerLabel;
use mustardpath_core::batch::message::RunEnding;
use mustardpath_core::batch::message::StoreStream;
use mustardpath_core::batch::message::StreamChange;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ShutdownLevel;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::TimeSpan;

impl BatchSimulation {
    /// Starts a daemon as a new incarnation, unless it is running.
    pub fn start(&mut self, daemon: usize) {
        let process = &mut self.daemons[daemon];
        if process.state.is_some() {
            return;
        }
        process.incarnation += 1;
        process.is_paused = false;
        process.deferred_inputs.clear();
        process.input_queue.clear();
        process.busy_until_us = 0;
        let incarnation = process.incarnation;
        let process_incarnation = incarnation * 100 + daemon as u64;
        process.state = Some(DaemonState::new(
            process.settings.clone(),
            process_incarnation,
        ));
        self.schedule(TimeSpan(1), SimulationEvent::Tick(daemon, incarnation));
    }

    /// Kills a daemon. Its open submissions end with an unknown outcome.
    pub fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].state = None;
        let interrupted = self
            .open_calls
            .iter()
            .filter(|((other, _), (_, is_submission))| *other == daemon && *is_submission);
        let interrupted: Vec<JobKey> = interrupted.map(|(_, (job, _))| *job).collect();
        for job in interrupted {
            if let Some(checked_job) = self.checker.jobs.get_mut(&job) {
                checked_job.has_unknown_outcome = true;
                checked_job.open_submissions = checked_job.open_submissions.saturating_sub(1);
            }
        }
        self.open_calls.retain(|(other, _), _| *other != daemon);
    }

    /// Pauses a daemon, as SIGSTOP does, or resumes it. Inputs that arrive during the pause are
    /// handled on resumption.
    pub fn set_paused(&mut self, daemon: usize, is_paused: bool) {
        self.daemons[daemon].is_paused = is_paused;
        if !is_paused {
            let inputs = std::mem::take(&mut self.daemons[daemon].deferred_inputs);
            let incarnation = self.daemons[daemon].incarnation;
            for input in inputs {
                self.deliver_input(daemon, incarnation, input);
            }
        }
    }

    /// Sends SIGTERM to a daemon, which starts its drain.
    pub fn terminate(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation;
        let level = ShutdownLevel::Drain;
        self.deliver_input(daemon, incarnation, EventInput::Shutdown { level });
    }

    /// Kills a worker with all its runs, which leave no ends behind. The gangs of these runs end on
    /// the other workers as well.
    pub fn crash_worker(&mut self, worker: &WorkerName) {
        let mut lost = Vec::new();
        if let Some(model) = self.workers.get_mut(worker) {
            model.behavior = WorkerBehavior::Down;
            lost.extend(model.running.drain(..).map(|(run, _)| run));
            model.ended.clear();
        }
        self.parked_holds.retain(|(_, _, other, _)| other != worker);
        for run in lost {
            if self.gang_size(&run.task.step).is_some() {
                self.end_gang(run, RunEnding::Broken);
            }
        }
    }

    /// Starts a new incarnation of a worker under the same name, without runs and ends.
    pub fn restart_worker(&mut self, worker: &WorkerName) {
        let at = self.at;
        if let Some(model) = self.workers.get_mut(worker) {
            let mut entry = model.entry.clone();
            entry.incarnation = at.0;
            entry.condition = WorkerCondition::Ready;
            *model = BatchWorker::new(entry, model.clock_loss_permille, model.max_lease, at);
        }
        self.parked_holds.retain(|(_, _, other, _)| other != worker);
        self.write_entry(worker);
    }

    /// Starts a new incarnation of a worker as one of another kind, with a label and a capacity of
    /// its own.
    pub fn restart_worker_as(
        &mut self,
        worker: &WorkerName,
        label: WorkerLabel,
        capacity: TaskDemand,
    ) {
        if let Some(model) = self.workers.get_mut(worker) {
            model.entry.labels[0] = label;
            model.entry.capacity = capacity;
        }
        self.restart_worker(worker);
    }

    /// Marks a worker's entry as draining.
    pub fn drain_worker(&mut self, worker: &WorkerName) {
        if let Some(model) = self.workers.get_mut(worker) {
            model.entry.condition = WorkerCondition::Draining;
        }
        self.write_entry(worker);
    }

    /// Removes a worker's entry from the store. The next heartbeat of a running worker restores it.
    pub fn remove_entry(&mut self, worker: &WorkerName) {
        let change = StreamChange::Worker {
            worker: worker.clone(),
            entry: None,
        };
        self.store
            .write(StoreStream::Workers, worker.as_str(), change, true);
        self.complete_reads();
    }
}
