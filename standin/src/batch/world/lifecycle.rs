//! Processes and workers that start, end, freeze or leave.

use super::BatchWorld;
use super::WorldEvent;
use crate::batch::worker::BatchWorker;
use crate::batch::worker::WorkerMood;
use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::WorkerCondition;
use mustardpath_core::batch::message::RunEnding;
use mustardpath_core::batch::message::StoreStream;
use mustardpath_core::batch::message::StreamChange;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ShutdownLevel;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::TimeSpan;

impl BatchWorld {
    /// Starts a daemon's process, if it is down.
    pub fn start(&mut self, daemon: usize) {
        let process = &mut self.daemons[daemon];
        if process.state.is_some() {
            return;
        }
        process.incarnation += 1;
        process.frozen = false;
        process.inbox.clear();
        process.waiting.clear();
        process.busy_until = 0;
        let incarnation = process.incarnation;
        let unique = incarnation * 100 + daemon as u64;
        process.state = Some(DaemonState::new(process.settings.clone(), unique));
        self.schedule(TimeSpan(1), WorldEvent::Tick(daemon, incarnation));
    }

    /// Kills a daemon's process.
    pub fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].state = None;
        let broken = self
            .calls
            .iter()
            .filter(|((of, _), (_, is_submission))| *of == daemon && *is_submission);
        let broken: Vec<JobKey> = broken.map(|(_, (job, _))| *job).collect();
        for job in broken {
            if let Some(judged) = self.judge.jobs.get_mut(&job) {
                judged.unclear = true;
                judged.open = judged.open.saturating_sub(1);
            }
        }
        self.calls.retain(|(of, _), _| *of != daemon);
    }

    /// Stops a daemon's process in time, or lets it go on.
    pub fn freeze(&mut self, daemon: usize, frozen: bool) {
        self.daemons[daemon].frozen = frozen;
        if !frozen {
            let inputs = std::mem::take(&mut self.daemons[daemon].inbox);
            let incarnation = self.daemons[daemon].incarnation;
            for input in inputs {
                self.apply(daemon, incarnation, input);
            }
        }
    }

    /// Sends SIGTERM to a daemon's process.
    pub fn terminate(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation;
        let level = ShutdownLevel::Drain;
        self.apply(daemon, incarnation, EventInput::Shutdown { level });
    }

    /// Ends a worker's life without notice.
    pub fn crash_worker(&mut self, worker: &WorkerName) {
        let mut lost = Vec::new();
        if let Some(model) = self.workers.get_mut(worker) {
            model.mood = WorkerMood::Down;
            lost.extend(model.running.drain(..).map(|(run, _)| run));
            model.ended.clear();
        }
        self.holds.retain(|(_, _, of, _)| of != worker);
        for run in lost {
            if self.gang_size(&run.task.step).is_some() {
                self.end_gang(run, RunEnding::Broken);
            }
        }
    }

    /// Begins a new life of a worker under the same name.
    pub fn revive_worker(&mut self, worker: &WorkerName) {
        let at = self.at;
        if let Some(model) = self.workers.get_mut(worker) {
            let mut entry = model.entry.clone();
            entry.incarnation = at.0;
            entry.condition = WorkerCondition::Ready;
            *model = BatchWorker::new(entry, model.slow, model.max_lease, at);
        }
        self.holds.retain(|(_, _, of, _)| of != worker);
        self.write_entry(worker);
    }

    /// Announces that a worker leaves.
    pub fn drain_worker(&mut self, worker: &WorkerName) {
        if let Some(model) = self.workers.get_mut(worker) {
            model.entry.condition = WorkerCondition::Draining;
        }
        self.write_entry(worker);
    }

    /// Removes a worker's entry from the store.
    pub fn remove_entry(&mut self, worker: &WorkerName) {
        let change = StreamChange::Worker {
            worker: worker.clone(),
            entry: None,
        };
        self.store
            .write(StoreStream::Workers, worker.as_str(), change, true);
        self.wake_reads();
    }
}
