//! Model of a worker: commands under terms and leases, tasks and short requests.

use indexmap::IndexMap;

use crate::event::WorkerEvent;
use crate::task::TaskEntry;
use crate::task::TaskExecution;
use crate::task::TaskStage;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::ids::TaskId;
use mustardpath_core::ids::TermNumber;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::TaskOutcome;
use mustardpath_core::worker::TaskRun;
use mustardpath_core::worker::TaskStatus;
use mustardpath_core::worker::WorkerCommand;
use mustardpath_core::worker::WorkerInfo;
use mustardpath_core::worker::WorkerRefusal;
use mustardpath_core::worker::WorkerReply;

/// Time for which a stopped attempt is remembered, so that a delayed command cannot start it. Far
/// longer than any command is in transit.
const STOPPED_ATTEMPT_RETENTION: TimeSpan = TimeSpan::from_secs(3_600);

plain_data! {
    /// Faults that can be switched on and off while the model runs.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct WorkerFault {
        /// The worker is down. Clearing the fault restarts it with empty state.
        pub dead: bool,
        /// The worker is frozen: it answers nothing and its tasks make no progress.
        pub paused: bool,
        /// All tasks and requests fail.
        pub fails_everything: bool,
        /// Commands and requests are executed, but their answers are lost. The code that runs the
        /// model drops the answers.
        pub loses_answers: bool,
        /// Delay of each answer. The code that runs the model applies it.
        pub slow: TimeSpan,
    }
}

/// A worker's tasks, requests, term, lease and faults.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    pub(crate) info: WorkerInfo,
    pub(crate) boot: u64,
    booted_at: ClockTime,
    pub(crate) fault: WorkerFault,
    pub(crate) is_leaving: bool,
    pub(crate) requests: IndexMap<(String, u32), ClockTime>,
    pub(crate) run_counts: IndexMap<RequestKey, u32>,
    pub(crate) events: Vec<WorkerEvent>,
    term: TermNumber,
    lease_expires_at: Option<ClockTime>,
    report_to: Option<String>,
    revision: u64,
    tasks: IndexMap<TaskId, TaskEntry>,
    stopped_attempts: IndexMap<JobId, (u32, ClockTime)>,
    unreported: Vec<TaskId>,
    paused_at: Option<ClockTime>,
}

impl WorkerModel {
    /// Creates a worker with no tasks and no lease. `boot` identifies its process and changes with
    /// each restart.
    #[must_use]
    pub fn new(info: WorkerInfo, boot: u64) -> Self {
        Self {
            info,
            boot,
            booted_at: ClockTime(0),
            fault: WorkerFault::default(),
            is_leaving: false,
            requests: IndexMap::new(),
            run_counts: IndexMap::new(),
            events: Vec::new(),
            term: TermNumber(0),
            lease_expires_at: None,
            report_to: None,
            revision: 0,
            tasks: IndexMap::new(),
            stopped_attempts: IndexMap::new(),
            unreported: Vec::new(),
            paused_at: None,
        }
    }

    /// Returns the worker's entry in the VM list, as given at creation.
    #[must_use]
    pub const fn info(&self) -> &WorkerInfo {
        &self.info
    }

    /// Returns the address for pushed reports from the last lease renewal, or `None` before the
    /// first one.
    #[must_use]
    pub fn report_to(&self) -> Option<&str> {
        self.report_to.as_deref()
    }

    /// Returns the faults in force.
    #[must_use]
    pub const fn fault(&self) -> WorkerFault {
        self.fault
    }

    /// Returns whether the worker is neither dead nor paused.
    #[must_use]
    pub const fn is_responsive(&self) -> bool {
        !self.fault.dead && !self.fault.paused
    }

    /// Returns whether the worker announces that it is about to shut down.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the status of all tasks: reserved, running, and ended ones until they are forgotten.
    #[must_use]
    pub fn tasks(&self, at: ClockTime) -> Vec<TaskStatus> {
        self.tasks.values().map(|entry| entry.status(at)).collect()
    }

    /// Removes and returns the events since the last call. They accumulate until then.
    pub fn take_events(&mut self) -> Vec<WorkerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Sets whether the worker announces that it is about to shut down.
    pub const fn set_leaving(&mut self, is_leaving: bool) {
        self.is_leaving = is_leaving;
    }

    /// Replaces the faults in force. A change of `dead` restarts the worker.
    pub fn set_fault(&mut self, at: ClockTime, fault: WorkerFault) {
        self.apply_elapsed_time(at);
        if fault.paused && self.paused_at.is_none() {
            self.paused_at = Some(at);
            self.tasks
                .values_mut()
                .for_each(|entry| entry.accumulate_progress(at));
        }
        if fault.dead != self.fault.dead {
            self.restart(at);
        }
        self.fault = fault;
        if !fault.paused
            && let Some(paused_at) = self.paused_at.take()
        {
            self.resume(paused_at, at);
        }
    }

    /// Restarts the worker, which loses its tasks, requests, term and lease.
    pub fn restart(&mut self, at: ClockTime) {
        let running: Vec<_> = self
            .tasks
            .values()
            .filter(|entry| entry.is_running())
            .collect();
        let ended = running.iter().map(|entry| WorkerEvent::Ended {
            at,
            task: entry.task,
            finished: false,
        });
        self.events.extend(ended);
        self.boot += 1;
        self.booted_at = at;
        self.term = TermNumber(0);
        self.lease_expires_at = None;
        self.report_to = None;
        self.revision = 0;
        self.tasks.clear();
        self.stopped_attempts.clear();
        self.requests.clear();
        self.unreported.clear();
    }

    /// Advances to `at` and returns the tasks that have ended since the last call, to be pushed to
    /// [`WorkerModel::report_to`].
    pub fn advance(&mut self, at: ClockTime) -> Vec<TaskStatus> {
        self.apply_elapsed_time(at);
        let ended = std::mem::take(&mut self.unreported);
        let known = ended.iter().filter_map(|task| self.tasks.get(task));
        known.map(|entry| entry.status(at)).collect()
    }

    /// Returns the time of the worker's next change without a command: the end of a task or the
    /// expiry of a reservation or the lease. `None` when nothing is scheduled or the worker is
    /// unresponsive.
    #[must_use]
    pub fn next_change(&self) -> Option<ClockTime> {
        if !self.is_responsive() {
            return None;
        }
        let has_running = self.tasks.values().any(TaskEntry::is_running);
        let lease = self.lease_expires_at.filter(|_| has_running);
        let tasks = self.tasks.values().filter_map(TaskEntry::next_change_at);
        tasks.chain(lease).min()
    }

    /// Executes a command.
    ///
    /// Call this only while [`WorkerModel::is_responsive`] is true.
    pub fn apply(&mut self, at: ClockTime, command: &WorkerCommand) -> WorkerReply {
        self.apply_elapsed_time(at);
        match self.execute(at, command) {
            Ok(reply) => reply,
            Err(refusal) => WorkerReply::Refused { refusal },
        }
    }

    fn execute(
        &mut self,
        at: ClockTime,
        command: &WorkerCommand,
    ) -> Result<WorkerReply, WorkerRefusal> {
        match command {
            WorkerCommand::Fence { term } => self.fence(at, *term),
            WorkerCommand::Reserve {
                term,
                task,
                demand,
                lapse,
            } => self.reserve(*term, *task, demand, at + *lapse),
            WorkerCommand::Start { term, task, run } => self.start(at, *term, *task, run),
            WorkerCommand::Checkpoint { term, task } => {
                self.running_task(*term, *task)?.save_checkpoint(at);
                Ok(self.bump_revision(*task))
            }
            WorkerCommand::Throttle {
                term,
                task,
                percent,
            } => {
                self.running_task(*term, *task)?.throttle(at, *percent);
                Ok(self.bump_revision(*task))
            }
            WorkerCommand::Stop {
                term,
                job,
                attempt,
                checkpoint,
            } => self.stop(at, *term, (*job, *attempt), *checkpoint),
            WorkerCommand::Renew {
                ttl,
                seen,
                report_to,
            } => Ok(self.renew(at, *ttl, *seen, report_to)),
            WorkerCommand::Forget { tasks } => {
                self.tasks
                    .retain(|task, entry| !(entry.has_ended() && tasks.contains(task)));
                Ok(WorkerReply::Done)
            }
        }
    }

    fn check_term(&mut self, term: TermNumber) -> Result<(), WorkerRefusal> {
        if term < self.term {
            return Err(WorkerRefusal::StaleTerm { term: self.term });
        }
        self.term = term;
        Ok(())
    }

    fn fence(&mut self, at: ClockTime, term: TermNumber) -> Result<WorkerReply, WorkerRefusal> {
        let is_newer = term > self.term;
        self.check_term(term)?;
        if is_newer {
            self.tasks.retain(|_, entry| !entry.is_reserved());
        }
        Ok(WorkerReply::Fenced {
            tasks: self.tasks(at),
            leaving: self.is_leaving,
            uptime: at.since(self.booted_at),
        })
    }

    fn reserve(
        &mut self,
        term: TermNumber,
        task: TaskId,
        demand: &ResourceDemand,
        expires_at: ClockTime,
    ) -> Result<WorkerReply, WorkerRefusal> {
        self.check_term(term)?;
        self.check_admission(task)?;
        if self.lease_expires_at.is_none() {
            return Err(WorkerRefusal::NoLease);
        }
        if let Some(entry) = self.tasks.get_mut(&task) {
            if let TaskStage::Reserved {
                expires_at: current,
            } = &mut entry.stage
            {
                *current = expires_at;
            }
            return Ok(WorkerReply::Done);
        }
        if !demand.fits(&self.free()) {
            return Err(WorkerRefusal::NoCapacity);
        }
        let entry = TaskEntry {
            task,
            demand: *demand,
            stage: TaskStage::Reserved { expires_at },
            revision: 0,
            progress: TimeSpan(0),
            checkpoint: TimeSpan(0),
        };
        self.tasks.insert(task, entry);
        Ok(self.bump_revision(task))
    }

    fn start(
        &mut self,
        at: ClockTime,
        term: TermNumber,
        task: TaskId,
        run: &TaskRun,
    ) -> Result<WorkerReply, WorkerRefusal> {
        self.check_term(term)?;
        self.check_admission(task)?;
        let has_lease = self.lease_expires_at.is_some();
        let is_faulty = self.fault.fails_everything;
        let entry = self.tasks.get_mut(&task);
        let entry = entry.ok_or(WorkerRefusal::NoReservation)?;
        if !entry.is_reserved() {
            // A repeated start command is idempotent.
            return Ok(WorkerReply::Done);
        }
        if !has_lease {
            return Err(WorkerRefusal::NoLease);
        }
        entry.stage = TaskStage::Running(TaskExecution::new(
            &run.payload,
            run.checkpoint,
            at,
            is_faulty,
        ));
        entry.progress = run.checkpoint;
        entry.checkpoint = run.checkpoint;
        self.events.push(WorkerEvent::Started {
            at,
            task,
            demand: entry.demand,
            members: run.members,
        });
        Ok(self.bump_revision(task))
    }

    /// Refuses new work while the worker is leaving, and any work of a stopped attempt.
    fn check_admission(&self, task: TaskId) -> Result<(), WorkerRefusal> {
        let stopped = self.stopped_attempts.get(&task.job);
        if stopped.is_some_and(|(attempt, _)| task.attempt <= *attempt) {
            return Err(WorkerRefusal::NoReservation);
        }
        let has_started = self
            .tasks
            .get(&task)
            .is_some_and(|entry| !entry.is_reserved());
        if self.is_leaving && !has_started {
            return Err(WorkerRefusal::Leaving);
        }
        Ok(())
    }

    fn running_task(
        &mut self,
        term: TermNumber,
        task: TaskId,
    ) -> Result<&mut TaskEntry, WorkerRefusal> {
        self.check_term(term)?;
        self.tasks
            .get_mut(&task)
            .filter(|entry| entry.is_running())
            .ok_or(WorkerRefusal::UnknownTask)
    }

    fn stop(
        &mut self,
        at: ClockTime,
        term: TermNumber,
        (job, attempt): (JobId, u32),
        checkpoint: bool,
    ) -> Result<WorkerReply, WorkerRefusal> {
        self.check_term(term)?;
        let last_stopped = self.stopped_attempts.entry(job).or_insert((attempt, at));
        *last_stopped = (last_stopped.0.max(attempt), at);
        let is_covered = |task: &TaskId| task.job == job && task.attempt <= attempt;
        self.tasks
            .retain(|task, entry| !(is_covered(task) && entry.is_reserved()));
        let started: Vec<_> = self.tasks.keys().copied().filter(is_covered).collect();
        for task in &started {
            self.stop_task(at, *task, checkpoint);
        }
        let of_attempt = started.iter().filter(|task| task.attempt == attempt);
        Ok(WorkerReply::Stopped {
            tasks: of_attempt.map(|task| self.tasks[task].status(at)).collect(),
            uptime: at.since(self.booted_at),
        })
    }

    fn stop_task(&mut self, at: ClockTime, task: TaskId, checkpoint: bool) {
        let entry = &mut self.tasks[&task];
        if !entry.is_running() {
            return;
        }
        if checkpoint {
            entry.save_checkpoint(at);
        }
        entry.end(at, TaskOutcome::Stopped);
        self.record_end(at, task, false);
        self.bump_revision(task);
    }

    fn renew(&mut self, at: ClockTime, ttl: TimeSpan, seen: u64, report_to: &str) -> WorkerReply {
        self.lease_expires_at = Some(at + ttl);
        self.report_to = Some(report_to.to_string());
        let reports_all = seen > self.revision;
        let reported = self.tasks.values();
        let reported =
            reported.filter(|entry| reports_all || entry.revision > seen || entry.has_ended());
        WorkerReply::Renewed {
            revision: self.revision,
            tasks: reported.map(|entry| entry.status(at)).collect(),
            leaving: self.is_leaving,
            boot: self.boot,
        }
    }

    fn record_end(&mut self, at: ClockTime, task: TaskId, finished: bool) {
        self.events.push(WorkerEvent::Ended { at, task, finished });
        self.unreported.push(task);
    }

    /// Assigns a new revision to the task, so the next lease renewal reports it.
    fn bump_revision(&mut self, task: TaskId) -> WorkerReply {
        self.revision += 1;
        if let Some(entry) = self.tasks.get_mut(&task) {
            entry.revision = self.revision;
        }
        WorkerReply::Done
    }

    /// Returns the capacity that is not used by a task, reservation or request.
    pub(crate) fn free(&self) -> ResourceDemand {
        let mut free = self.info.capacity;
        let active_tasks = self.tasks.values().filter(|entry| !entry.has_ended());
        for entry in active_tasks {
            free.subtract(&entry.demand);
        }
        let requests = u32::try_from(self.requests.len()).unwrap_or(u32::MAX);
        free.slots = free.slots.saturating_sub(requests);
        free
    }

    /// Applies everything that happened until `at`: ended tasks and requests, expired reservations
    /// and the expiry of the lease.
    pub(crate) fn apply_elapsed_time(&mut self, at: ClockTime) {
        if !self.is_responsive() {
            return;
        }
        let expiry = self.lease_expires_at.filter(|expires_at| *expires_at <= at);
        self.finish_tasks_due_by(expiry.unwrap_or(at));
        if let Some(expired_at) = expiry {
            self.expire_lease(expired_at);
        }
        self.finish_tasks_due_by(at);
        self.requests.retain(|_, ends_at| *ends_at > at);
        self.stopped_attempts
            .retain(|_, (_, stopped_at)| at.since(*stopped_at) < STOPPED_ATTEMPT_RETENTION);
    }

    fn finish_tasks_due_by(&mut self, at: ClockTime) {
        let is_due = |entry: &&TaskEntry| {
            entry
                .next_change_at()
                .is_some_and(|change_at| change_at <= at)
        };
        let due: Vec<_> = self
            .tasks
            .values()
            .filter(is_due)
            .map(|entry| entry.task)
            .collect();
        for task in due {
            self.finish_task(task);
        }
    }

    fn finish_task(&mut self, task: TaskId) {
        let entry = &mut self.tasks[&task];
        let Some(at) = entry.next_change_at() else {
            return;
        };
        if entry.is_reserved() {
            self.tasks.shift_remove(&task);
        } else {
            let finished = entry.finish(at);
            self.record_end(at, task, finished);
        }
        self.bump_revision(task);
    }

    /// Expires the lease: checkpoints and stops all tasks.
    fn expire_lease(&mut self, at: ClockTime) {
        self.lease_expires_at = None;
        let tasks: Vec<_> = self.tasks.keys().copied().collect();
        for task in tasks {
            self.stop_task(at, task, true);
        }
    }

    /// Ends a pause. The lease ran on during the pause; the tasks made no progress.
    fn resume(&mut self, paused_at: ClockTime, at: ClockTime) {
        let paused = at.since(paused_at);
        for entry in self.tasks.values_mut() {
            entry.exclude_pause(paused);
        }
        self.apply_elapsed_time(at);
    }
}
