//! Model of a worker: commands under terms and leases, tasks, and short requests.

use indexmap::IndexMap;

use crate::fact::WorkerFact;
use crate::task::TaskCourse;
use crate::task::TaskEntry;
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

/// Time that a stopped attempt is remembered. Far above any delay of a command on its way.
const STOP_MEMORY: TimeSpan = TimeSpan::from_secs(3_600);

plain_data! {
    /// Faults that can be switched on and off while the model runs.
    #[derive(Copy, Default)]
    #[serde(default)]
    pub struct WorkerFault {
        /// The worker is gone. Switching this off brings it back with nothing in memory.
        pub dead: bool,
        /// The whole worker stands still: nothing is answered and nothing runs.
        pub paused: bool,
        /// Every task and request fails.
        pub fails_everything: bool,
        /// Commands and requests are carried out and their answers are lost; the owner drops them.
        pub loses_answers: bool,
        /// Delay of each answer, which the owner applies.
        pub slow: TimeSpan,
    }
}

/// A worker.
#[derive(Clone, Debug)]
pub struct WorkerModel {
    pub(crate) info: WorkerInfo,
    pub(crate) boot: u64,
    booted_at: ClockTime,
    pub(crate) fault: WorkerFault,
    pub(crate) leaving: bool,
    pub(crate) requests: IndexMap<(String, u32), ClockTime>,
    pub(crate) runs: IndexMap<RequestKey, u32>,
    pub(crate) facts: Vec<WorkerFact>,
    term: TermNumber,
    lease_until: Option<ClockTime>,
    report_to: Option<String>,
    revision: u64,
    tasks: IndexMap<TaskId, TaskEntry>,
    stopped: IndexMap<JobId, (u32, ClockTime)>,
    unpushed: Vec<TaskId>,
    paused_at: Option<ClockTime>,
}

impl WorkerModel {
    /// Creates a worker without tasks and without a lease.
    #[must_use]
    pub fn new(info: WorkerInfo, boot: u64) -> Self {
        Self {
            info,
            boot,
            booted_at: ClockTime(0),
            fault: WorkerFault::default(),
            leaving: false,
            requests: IndexMap::new(),
            runs: IndexMap::new(),
            facts: Vec::new(),
            term: TermNumber(0),
            lease_until: None,
            report_to: None,
            revision: 0,
            tasks: IndexMap::new(),
            stopped: IndexMap::new(),
            unpushed: Vec::new(),
            paused_at: None,
        }
    }

    /// Returns the worker's description.
    #[must_use]
    pub const fn info(&self) -> &WorkerInfo {
        &self.info
    }

    /// Returns the address that takes pushed reports, from the last renewal.
    #[must_use]
    pub fn report_to(&self) -> Option<&str> {
        self.report_to.as_deref()
    }

    /// Returns the faults in force.
    #[must_use]
    pub const fn fault(&self) -> WorkerFault {
        self.fault
    }

    /// Tells whether the worker answers at all.
    #[must_use]
    pub const fn answers(&self) -> bool {
        !self.fault.dead && !self.fault.paused
    }

    /// Tells whether the worker says that it is about to stop.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns all tasks that the worker knows.
    #[must_use]
    pub fn tasks(&self, at: ClockTime) -> Vec<TaskStatus> {
        self.tasks.values().map(|entry| entry.status(at)).collect()
    }

    /// Takes the facts noted since the last call. The owner calls this regularly.
    pub fn take_facts(&mut self) -> Vec<WorkerFact> {
        std::mem::take(&mut self.facts)
    }

    /// Makes the worker say that it is about to stop, or take that back.
    pub const fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// Replaces the faults in force.
    pub fn set_fault(&mut self, at: ClockTime, fault: WorkerFault) {
        self.settle(at);
        if fault.paused && self.paused_at.is_none() {
            self.paused_at = Some(at);
            self.tasks.values_mut().for_each(|entry| entry.account(at));
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

    /// Restarts the worker: it forgets its tasks, its term and its lease.
    pub fn restart(&mut self, at: ClockTime) {
        let running: Vec<_> = self
            .tasks
            .values()
            .filter(|entry| entry.is_running())
            .collect();
        let ended = running.iter().map(|entry| WorkerFact::Ended {
            at,
            task: entry.task,
            finished: false,
        });
        self.facts.extend(ended);
        self.boot += 1;
        self.booted_at = at;
        self.term = TermNumber(0);
        self.lease_until = None;
        self.report_to = None;
        self.revision = 0;
        self.tasks.clear();
        self.stopped.clear();
        self.requests.clear();
        self.unpushed.clear();
    }

    /// Advances to `at` and returns the tasks that have ended since the last call.
    ///
    /// The owner pushes them to [`WorkerModel::report_to`].
    pub fn advance(&mut self, at: ClockTime) -> Vec<TaskStatus> {
        self.settle(at);
        let ended = std::mem::take(&mut self.unpushed);
        let known = ended.iter().filter_map(|task| self.tasks.get(task));
        known.map(|entry| entry.status(at)).collect()
    }

    /// Returns when the worker changes next by itself.
    #[must_use]
    pub fn next_change(&self) -> Option<ClockTime> {
        if !self.answers() {
            return None;
        }
        let has_running = self.tasks.values().any(TaskEntry::is_running);
        let lease = self.lease_until.filter(|_| has_running);
        let tasks = self.tasks.values().filter_map(TaskEntry::changes_at);
        tasks.chain(lease).min()
    }

    /// Carries out a command.
    ///
    /// The owner calls this only while [`WorkerModel::answers`].
    pub fn apply(&mut self, at: ClockTime, command: &WorkerCommand) -> WorkerReply {
        self.settle(at);
        match self.carry_out(at, command) {
            Ok(reply) => reply,
            Err(refusal) => WorkerReply::Refused { refusal },
        }
    }

    fn carry_out(
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
                self.running(*term, *task)?.save(at);
                Ok(self.mark(*task))
            }
            WorkerCommand::Throttle {
                term,
                task,
                percent,
            } => {
                self.running(*term, *task)?.throttle(at, *percent);
                Ok(self.mark(*task))
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
        let raised = term > self.term;
        self.check_term(term)?;
        if raised {
            self.tasks.retain(|_, entry| !entry.is_reserved());
        }
        Ok(WorkerReply::Fenced {
            tasks: self.tasks(at),
            leaving: self.leaving,
            uptime: at.since(self.booted_at),
        })
    }

    fn reserve(
        &mut self,
        term: TermNumber,
        task: TaskId,
        demand: &ResourceDemand,
        until: ClockTime,
    ) -> Result<WorkerReply, WorkerRefusal> {
        self.check_term(term)?;
        self.check_admission(task)?;
        if self.lease_until.is_none() {
            return Err(WorkerRefusal::NoLease);
        }
        if let Some(entry) = self.tasks.get_mut(&task) {
            if let TaskStage::Reserved { until: lapses_at } = &mut entry.stage {
                *lapses_at = until;
            }
            return Ok(WorkerReply::Done);
        }
        if !demand.fits(&self.free()) {
            return Err(WorkerRefusal::NoCapacity);
        }
        let entry = TaskEntry {
            task,
            demand: *demand,
            stage: TaskStage::Reserved { until },
            revision: 0,
            progress: TimeSpan(0),
            checkpoint: TimeSpan(0),
        };
        self.tasks.insert(task, entry);
        Ok(self.mark(task))
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
        let has_lease = self.lease_until.is_some();
        let faulty = self.fault.fails_everything;
        let entry = self.tasks.get_mut(&task);
        let entry = entry.ok_or(WorkerRefusal::NoReservation)?;
        if !entry.is_reserved() {
            // A repeated start of a task that has started already changes nothing.
            return Ok(WorkerReply::Done);
        }
        if !has_lease {
            return Err(WorkerRefusal::NoLease);
        }
        entry.stage = TaskStage::Running(TaskCourse::new(&run.payload, run.checkpoint, at, faulty));
        entry.progress = run.checkpoint;
        entry.checkpoint = run.checkpoint;
        self.facts.push(WorkerFact::Started {
            at,
            task,
            demand: entry.demand,
            members: run.members,
        });
        Ok(self.mark(task))
    }

    /// Refuses work while the worker is leaving, and work of an attempt that was stopped.
    fn check_admission(&self, task: TaskId) -> Result<(), WorkerRefusal> {
        let stopped = self.stopped.get(&task.job);
        if stopped.is_some_and(|(attempt, _)| task.attempt <= *attempt) {
            return Err(WorkerRefusal::NoReservation);
        }
        let has_started = self
            .tasks
            .get(&task)
            .is_some_and(|entry| !entry.is_reserved());
        if self.leaving && !has_started {
            return Err(WorkerRefusal::Leaving);
        }
        Ok(())
    }

    fn running(&mut self, term: TermNumber, task: TaskId) -> Result<&mut TaskEntry, WorkerRefusal> {
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
        let memory = self.stopped.entry(job).or_insert((attempt, at));
        *memory = (memory.0.max(attempt), at);
        let concerns = |task: &TaskId| task.job == job && task.attempt <= attempt;
        self.tasks
            .retain(|task, entry| !(concerns(task) && entry.is_reserved()));
        let started: Vec<_> = self.tasks.keys().copied().filter(concerns).collect();
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
            entry.save(at);
        }
        entry.end(at, TaskOutcome::Stopped);
        self.note_end(at, task, false);
        self.mark(task);
    }

    fn renew(&mut self, at: ClockTime, ttl: TimeSpan, seen: u64, report_to: &str) -> WorkerReply {
        self.lease_until = Some(at + ttl);
        self.report_to = Some(report_to.to_string());
        let all = seen > self.revision;
        let reported = self.tasks.values();
        let reported = reported.filter(|entry| all || entry.revision > seen || entry.has_ended());
        WorkerReply::Renewed {
            revision: self.revision,
            tasks: reported.map(|entry| entry.status(at)).collect(),
            leaving: self.leaving,
            boot: self.boot,
        }
    }

    fn note_end(&mut self, at: ClockTime, task: TaskId, finished: bool) {
        self.facts.push(WorkerFact::Ended { at, task, finished });
        self.unpushed.push(task);
    }

    /// Gives the task a new revision, so that the next renewal reports it.
    fn mark(&mut self, task: TaskId) -> WorkerReply {
        self.revision += 1;
        if let Some(entry) = self.tasks.get_mut(&task) {
            entry.revision = self.revision;
        }
        WorkerReply::Done
    }

    /// Returns the capacity that no task, reservation or request holds.
    pub(crate) fn free(&self) -> ResourceDemand {
        let mut free = self.info.capacity;
        let holders = self.tasks.values().filter(|entry| !entry.has_ended());
        for entry in holders {
            free.subtract(&entry.demand);
        }
        let requests = u32::try_from(self.requests.len()).unwrap_or(u32::MAX);
        free.slots = free.slots.saturating_sub(requests);
        free
    }

    /// Brings runs, reservations, requests and the lease up to `at`.
    pub(crate) fn settle(&mut self, at: ClockTime) {
        if !self.answers() {
            return;
        }
        let lapse = self.lease_until.filter(|until| *until <= at);
        self.finish_until(lapse.unwrap_or(at));
        if let Some(lapsed_at) = lapse {
            self.lapse(lapsed_at);
        }
        self.finish_until(at);
        self.requests.retain(|_, ends_at| *ends_at > at);
        self.stopped
            .retain(|_, (_, stopped_at)| at.since(*stopped_at) < STOP_MEMORY);
    }

    fn finish_until(&mut self, at: ClockTime) {
        let due = |entry: &&TaskEntry| entry.changes_at().is_some_and(|due_at| due_at <= at);
        let due: Vec<_> = self
            .tasks
            .values()
            .filter(due)
            .map(|entry| entry.task)
            .collect();
        for task in due {
            self.finish_task(task);
        }
    }

    fn finish_task(&mut self, task: TaskId) {
        let entry = &mut self.tasks[&task];
        let Some(at) = entry.changes_at() else {
            return;
        };
        if entry.is_reserved() {
            self.tasks.shift_remove(&task);
        } else {
            let finished = entry.finish(at);
            self.note_end(at, task, finished);
        }
        self.mark(task);
    }

    /// Ends the lease: all tasks are checkpointed and stopped.
    fn lapse(&mut self, at: ClockTime) {
        self.lease_until = None;
        let tasks: Vec<_> = self.tasks.keys().copied().collect();
        for task in tasks {
            self.stop_task(at, task, true);
        }
    }

    /// Ends a pause. The lease went on during the pause, and runs did not.
    fn resume(&mut self, paused_at: ClockTime, at: ClockTime) {
        let paused = at.since(paused_at);
        for entry in self.tasks.values_mut() {
            entry.shift(paused);
        }
        self.settle(at);
    }
}
