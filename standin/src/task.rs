//! A task on a model worker: reservation, execution, progress and end.

use mustardpath_core::config::ResourceDemand;
use mustardpath_core::ids::TaskId;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::TaskOutcome;
use mustardpath_core::worker::TaskPhase;
use mustardpath_core::worker::TaskStatus;

/// Actual run time of a task or request whose payload sets none.
pub const DEFAULT_RUN_TIME: TimeSpan = TimeSpan(1_000);

/// Payload that determines how the work actually runs, whatever the scheduler expects.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize)]
#[serde(default)]
pub struct WorkPayload {
    /// Actual run time in milliseconds.
    pub run_ms: u64,
    /// Whether the work fails at the end of its run time.
    pub fail: bool,
    /// Result of the work when it succeeds.
    pub result: String,
    /// Whether the work supports checkpoints.
    pub checkpoints: bool,
}

impl Default for WorkPayload {
    fn default() -> Self {
        Self {
            run_ms: DEFAULT_RUN_TIME.0,
            fail: false,
            result: "done".into(),
            checkpoints: true,
        }
    }
}

impl WorkPayload {
    /// Parses a payload. Text that is not a JSON object of this form yields the defaults.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_default()
    }
}

/// Execution of a started task. `completed` is the work done until `running_since`.
#[derive(Clone, Debug)]
pub(crate) struct TaskExecution {
    payload: WorkPayload,
    completed: TimeSpan,
    running_since: ClockTime,
    speed_percent: u64,
    fails_immediately: bool,
}

impl TaskExecution {
    pub(crate) fn new(payload: &str, checkpoint: TimeSpan, at: ClockTime, is_faulty: bool) -> Self {
        Self {
            payload: WorkPayload::parse(payload),
            completed: checkpoint,
            running_since: at,
            speed_percent: 100,
            fails_immediately: is_faulty,
        }
    }

    fn progress(&self, at: ClockTime) -> TimeSpan {
        let ran = at.since(self.running_since).0 * self.speed_percent / 100;
        TimeSpan((self.completed.0 + ran).min(self.payload.run_ms.max(self.completed.0)))
    }

    fn accumulate_progress(&mut self, at: ClockTime) {
        self.completed = self.progress(at);
        self.running_since = at;
    }

    fn ends_at(&self) -> ClockTime {
        if self.fails_immediately {
            return self.running_since;
        }
        let remaining = self.payload.run_ms.saturating_sub(self.completed.0);
        self.running_since + TimeSpan((remaining * 100).div_ceil(self.speed_percent))
    }

    fn outcome(&self) -> TaskOutcome {
        if self.fails_immediately {
            return TaskOutcome::Failed {
                reason: "the worker fails every task".into(),
            };
        }
        if self.payload.fail {
            return TaskOutcome::Failed {
                reason: "the work failed".into(),
            };
        }
        TaskOutcome::Finished {
            result: self.payload.result.clone(),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) enum TaskStage {
    Reserved { expires_at: ClockTime },
    Running(TaskExecution),
    Ended { outcome: TaskOutcome },
}

/// A task of a worker. `revision` is the worker's revision at the task's last change.
#[derive(Clone, Debug)]
pub(crate) struct TaskEntry {
    pub(crate) task: TaskId,
    pub(crate) demand: ResourceDemand,
    pub(crate) stage: TaskStage,
    pub(crate) revision: u64,
    pub(crate) progress: TimeSpan,
    pub(crate) checkpoint: TimeSpan,
}

impl TaskEntry {
    pub(crate) const fn is_reserved(&self) -> bool {
        matches!(self.stage, TaskStage::Reserved { .. })
    }

    pub(crate) const fn is_running(&self) -> bool {
        matches!(self.stage, TaskStage::Running(_))
    }

    pub(crate) const fn has_ended(&self) -> bool {
        matches!(self.stage, TaskStage::Ended { .. })
    }

    /// Returns when the reservation expires or the execution ends, or `None` after the end.
    pub(crate) fn next_change_at(&self) -> Option<ClockTime> {
        match &self.stage {
            TaskStage::Reserved { expires_at } => Some(*expires_at),
            TaskStage::Running(execution) => Some(execution.ends_at()),
            TaskStage::Ended { .. } => None,
        }
    }

    pub(crate) fn save_checkpoint(&mut self, at: ClockTime) {
        if let TaskStage::Running(execution) = &self.stage
            && execution.payload.checkpoints
        {
            self.checkpoint = execution.progress(at);
        }
    }

    /// Adds the progress until `at` to the completed work. Required before a change of speed.
    pub(crate) fn accumulate_progress(&mut self, at: ClockTime) {
        if let TaskStage::Running(execution) = &mut self.stage {
            execution.accumulate_progress(at);
        }
    }

    pub(crate) fn throttle(&mut self, at: ClockTime, percent: u32) {
        if let TaskStage::Running(execution) = &mut self.stage {
            execution.accumulate_progress(at);
            execution.speed_percent = u64::from(percent.clamp(1, 100));
        }
    }

    /// Excludes the time for which the worker was paused from the execution.
    pub(crate) fn exclude_pause(&mut self, paused: TimeSpan) {
        if let TaskStage::Running(execution) = &mut self.stage {
            execution.running_since = execution.running_since + paused;
        }
    }

    /// Ends an execution that has reached its end. Returns whether the work succeeded.
    pub(crate) fn finish(&mut self, at: ClockTime) -> bool {
        let TaskStage::Running(execution) = &self.stage else {
            return false;
        };
        let outcome = execution.outcome();
        let finished = matches!(outcome, TaskOutcome::Finished { .. });
        self.end(at, outcome);
        finished
    }

    pub(crate) fn end(&mut self, at: ClockTime, outcome: TaskOutcome) {
        self.progress = self.progress_at(at);
        self.stage = TaskStage::Ended { outcome };
    }

    fn progress_at(&self, at: ClockTime) -> TimeSpan {
        match &self.stage {
            TaskStage::Running(execution) => execution.progress(at),
            TaskStage::Reserved { .. } | TaskStage::Ended { .. } => self.progress,
        }
    }

    pub(crate) fn status(&self, at: ClockTime) -> TaskStatus {
        let phase = match &self.stage {
            TaskStage::Reserved { .. } => TaskPhase::Reserved,
            TaskStage::Running(_) => TaskPhase::Running,
            TaskStage::Ended { outcome } => TaskPhase::Ended {
                end: outcome.clone(),
            },
        };
        TaskStatus {
            task: self.task,
            phase,
            progress: self.progress_at(at),
            checkpoint: self.checkpoint,
        }
    }
}
