//! The planner: what the holder of the term knows of workers and runs beyond the book.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::book::JobEntry;
use crate::batch::job::JobDefinition;
use crate::batch::job::JobKey;
use crate::batch::job::RunKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::StepKey;
use crate::batch::job::TaskKey;
use crate::batch::job::WorkerCondition;
use crate::batch::job::WorkerEntry;
use crate::batch::life::RunPhase;
use crate::batch::life::RunSlot;
use crate::batch::life::WorkerLife;
use crate::batch::message::StoreStream;
use crate::batch::message::StreamChange;
use crate::batch::message::StreamRecord;
use crate::batch::message::WorkerOrder;
use crate::batch::outcome;
use crate::batch::record::BatchRecord;
use crate::batch::record::TaskNote;
use crate::batch::record::TaskState;
use crate::batch::record::WorkerLifeKey;
use crate::batch::retention::RetentionWatch;
use crate::batch::room::RoomClaim;
use crate::batch::starts;
use crate::batch::state::BatchState;
use crate::batch::tail::StreamTail;
use crate::batch::writer::WriteQueue;
use crate::context::StepContext;
use crate::effect::LogTarget;
use crate::ids::CallId;
use crate::ids::TermNumber;
use crate::ids::WorkerName;
use crate::units::ClockTime;

/// Bits of an order's number that count within a term. The term is above them: an answer to an order
/// of an earlier term of the same process must not be taken for one of this term.
const ORDER_BITS: u32 = 32;

/// An order in flight.
#[derive(Clone, Debug)]
pub struct OpenOrder {
    /// The worker.
    pub worker: WorkerName,
    /// The life that it was meant for.
    pub born: u64,
    /// When it was sent.
    pub sent: ClockTime,
    /// The number up to which it lets the worker forget its ends.
    pub seen: u64,
    /// What it asks for.
    pub kind: OrderKind,
}

/// What an order in flight asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// A hold.
    Hold,
    /// The lists, beside a hold that waits.
    Look,
    /// The start of a run.
    Start(RunKey),
    /// The stop of a run.
    Stop(RunKey),
}

/// A task whose record is on its way into the log.
#[derive(Clone, Debug, Default)]
pub struct RecordMark {
    /// Records on their way.
    pub records: u32,
    /// The last of them.
    pub note: TaskNote,
    /// Ends that may be acknowledged once the last of them was read back.
    pub ends: Vec<(WorkerLifeKey, u64)>,
}

/// What the planner knows beyond the book.
#[derive(Clone, Debug)]
pub struct PlannerState {
    /// The term, which is the fencing token.
    pub term: TermNumber,
    /// When the term began here.
    pub since: ClockTime,
    /// The workers.
    pub workers: IndexMap<WorkerName, WorkerLife>,
    /// Orders in flight.
    pub orders: IndexMap<CallId, OpenOrder>,
    /// Number of the last order.
    pub last_order: u64,
    /// Tasks whose records are on the way into the log.
    pub marks: IndexMap<TaskKey, RecordMark>,
    /// Runs that take room anywhere, by task.
    pub live: IndexMap<TaskKey, u32>,
    /// Jobs whose phase is on the way into the log.
    pub phases: IndexSet<JobKey>,
    /// Jobs whose first placement is recorded or on the way into the log.
    pub begun: IndexSet<JobKey>,
    /// Room that is being made for urgent units.
    pub claims: IndexMap<StepKey, RoomClaim>,
    /// Workers where runs of a step have failed.
    pub failed_places: IndexMap<StepKey, IndexSet<WorkerName>>,
    /// What is known of ended jobs.
    pub retention: RetentionWatch,
    /// Urgent units that were logged because they have waited for long.
    pub overdue: IndexSet<StepKey>,
    /// Jobs that have work left.
    pub open_jobs: IndexSet<JobKey>,
    /// Whether something has changed since the last round.
    pub dirty: bool,
    /// Before which time there is no further round.
    pub next_round: ClockTime,
    /// Whether a run may have become one that must not go on.
    pub sweep_due: bool,
}

impl PlannerState {
    /// Creates the state of a planner whose term has just begun.
    #[must_use]
    pub fn new(term: TermNumber, at: ClockTime) -> Self {
        Self {
            term,
            since: at,
            workers: IndexMap::new(),
            orders: IndexMap::new(),
            last_order: term.0 << ORDER_BITS,
            marks: IndexMap::new(),
            live: IndexMap::new(),
            phases: IndexSet::new(),
            begun: IndexSet::new(),
            claims: IndexMap::new(),
            failed_places: IndexMap::new(),
            retention: RetentionWatch::default(),
            overdue: IndexSet::new(),
            open_jobs: IndexSet::new(),
            dirty: true,
            next_round: at,
            sweep_due: true,
        }
    }

    /// Adds a run that takes room on a worker.
    pub fn add_slot(&mut self, worker: &WorkerName, run: RunKey, slot: RunSlot) {
        let life = self.workers.get_mut(worker);
        if life.is_some_and(|life| life.runs.insert(run, slot).is_none()) {
            *self.live.entry(run.task).or_default() += 1;
        }
    }

    /// Returns the slot of a run on a worker.
    pub fn slot_mut(&mut self, worker: &WorkerName, run: &RunKey) -> Option<&mut RunSlot> {
        self.workers.get_mut(worker)?.runs.get_mut(run)
    }

    /// Removes a run that takes no room any more.
    pub fn remove_slot(&mut self, worker: &WorkerName, run: &RunKey) -> Option<RunSlot> {
        let slot = self.workers.get_mut(worker)?.runs.swap_remove(run)?;
        if let Some(count) = self.live.get_mut(&run.task) {
            *count -= 1;
            if *count == 0 {
                self.live.swap_remove(&run.task);
            }
        }
        self.dirty = true;
        Some(slot)
    }

    /// Tells whether a task has neither a run nor a record on its way.
    #[must_use]
    pub fn is_settled(&self, task: &TaskKey) -> bool {
        !self.live.contains_key(task) && !self.marks.contains_key(task)
    }

    /// Returns the newest note of a task: the last one on its way, or else the one in the book.
    #[must_use]
    pub fn newest_note(&self, entry: &JobEntry, task: &TaskKey) -> TaskNote {
        self.newest(entry, task).cloned().unwrap_or_default()
    }

    /// Returns the newest note of a task that was ever placed.
    #[must_use]
    pub fn newest<'a>(&'a self, entry: &'a JobEntry, task: &TaskKey) -> Option<&'a TaskNote> {
        let planned = self.marks.get(task).map(|mark| &mark.note);
        planned.or_else(|| entry.note(task))
    }

    /// Sends the records of tasks on their way, all of them in one append.
    ///
    /// The members of a gang are placed, and leave, in the log as one: a part of it would be left
    /// to run alone by a successor.
    pub fn record(&mut self, notes: Vec<(TaskKey, TaskNote)>, lane: &mut WriteQueue) {
        let mut is_first = true;
        for (task, note) in notes {
            let mark = self.marks.entry(task).or_default();
            mark.records += 1;
            mark.note = note.clone();
            let record = BatchRecord::task(task, note);
            if std::mem::take(&mut is_first) {
                lane.push(record, None);
            } else {
                lane.push_joined(record);
            }
        }
    }

    /// Marks runs that have to make room, with the other members of their gangs.
    pub fn evict(&mut self, runs: &IndexSet<RunKey>) {
        self.sweep_due = true;
        let gangs: IndexSet<StepKey> = runs.iter().map(|run| run.task.step).collect();
        for life in self.workers.values_mut() {
            for (run, slot) in &mut life.runs {
                let is_member = slot.gang && gangs.contains(&run.task.step);
                if is_member || runs.contains(run) {
                    slot.evicted = true;
                }
            }
        }
    }

    /// Removes an order in flight and returns it.
    pub fn take_order(&mut self, call: CallId) -> Option<OpenOrder> {
        self.orders.swap_remove(&call)
    }
}

/// Takes over everything that earlier planners have recorded.
pub fn adopt(state: &mut BatchState, context: &mut StepContext<'_>) {
    state.worker_tail = StreamTail::new(StoreStream::Workers);
    let Some(planner) = &mut state.planner else {
        return;
    };
    let lapses = context.at + WorkerLife::longest_lease(state.settings.max_lease);
    for (job, entry) in &state.book.jobs {
        let Some(definition) = entry.open_definition() else {
            continue;
        };
        planner.open_jobs.insert(*job);
        for (task, note, step) in placed_tasks(*job, definition, &entry.steps) {
            let (TaskState::Placed(life) | TaskState::Leaving(life)) = &note.state else {
                continue;
            };
            let born = life.born;
            let known = planner
                .workers
                .entry(life.worker.clone())
                .or_insert_with(|| WorkerLife::new(born, context.at));
            known.lapses = lapses;
            let run = RunKey {
                task,
                attempt: note.attempt,
            };
            let slot = new_slot(definition, step, RunPhase::Inherited, context.at);
            planner.add_slot(&life.worker, run, slot);
        }
    }
    let jobs: Vec<JobKey> = planner.open_jobs.iter().copied().collect();
    let line = format!(
        "term={} outcome=adopting open_jobs={} runs={}",
        planner.term,
        jobs.len(),
        planner.live.len()
    );
    context.info(LogTarget::Plan, line);
    for job in jobs {
        outcome::settle_job(state, job, context);
    }
}

/// Takes a task's record that was read back.
pub fn task_read_back(state: &mut BatchState, task: &TaskKey, context: &mut StepContext<'_>) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    planner.dirty = true;
    if let Some(mark) = planner.marks.get_mut(task) {
        mark.records -= 1;
        if mark.records == 0 {
            let mark = planner.marks.swap_remove(task).unwrap_or_default();
            acknowledge(planner, &mark.ends, context.at);
        }
    }
    let note = state
        .book
        .jobs
        .get(&task.step.job)
        .and_then(|entry| entry.note(task));
    match note.map(|note| (&note.state, note.attempt)) {
        Some((TaskState::Placed(life), attempt)) => {
            let run = RunKey {
                task: *task,
                attempt,
            };
            let worker = life.worker.clone();
            starts::begin(state, &worker, run, context);
        }
        Some(_) => outcome::settle_job(state, task.step.job, context),
        None => {}
    }
}

/// Takes changes of the workers' topic.
pub fn worker_changes(
    state: &mut BatchState,
    records: &[StreamRecord],
    context: &mut StepContext<'_>,
) {
    for record in records {
        if let StreamChange::Worker { worker, entry } = &record.change {
            worker_entry(state, worker, entry.as_deref(), context);
        }
    }
}

/// Takes the newest entry of each worker. Workers without one are gone.
pub fn workers_loaded(
    state: &mut BatchState,
    records: &[StreamRecord],
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &state.planner else {
        return;
    };
    let is_named = |worker: &WorkerName| {
        records.iter().any(|record| {
            matches!(&record.change, StreamChange::Worker { worker: named, .. } if named == worker)
        })
    };
    let known = planner.workers.keys();
    let gone: Vec<WorkerName> = known.filter(|worker| !is_named(worker)).cloned().collect();
    for worker in gone {
        worker_entry(state, &worker, None, context);
    }
    worker_changes(state, records, context);
}

fn worker_entry(
    state: &mut BatchState,
    worker: &WorkerName,
    entry: Option<&WorkerEntry>,
    context: &mut StepContext<'_>,
) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    let Some(entry) = entry else {
        let life = planner.workers.get_mut(worker);
        if life.is_some_and(|life| life.entry.take().is_some()) {
            planner.dirty = true;
            context.info(
                LogTarget::Lease,
                format!("worker={worker} outcome=entry_gone"),
            );
        }
        return;
    };
    let known = planner.workers.get(worker).map(|life| life.born);
    if known.is_some_and(|born| born > entry.born) {
        return;
    }
    let life = planner
        .workers
        .entry(worker.clone())
        .or_insert_with(|| WorkerLife::new(entry.born, context.at));
    if life.born != entry.born {
        let line = format!("worker={worker} born={} outcome=new_life", entry.born);
        context.warn(LogTarget::Lease, line);
        life.begin_again(entry.born, context.at);
    }
    let was = life.entry.as_ref().map(|entry| entry.condition);
    if was != Some(entry.condition) {
        planner.dirty = true;
        let condition = entry.condition;
        context.info(
            LogTarget::Lease,
            format!("worker={worker} condition={condition:?}"),
        );
    }
    if was.is_none() {
        life.hold.due = context.at;
    }
    let is_draining = entry.condition == WorkerCondition::Draining;
    let remaining = entry.remaining.filter(|_| is_draining);
    life.leaves = remaining.map(|remaining| context.at + remaining);
    life.address = Some(entry.address.clone());
    life.entry = Some(entry.clone());
}

/// Takes a job's phase, acceptance or cancellation that was read back.
pub fn job_read_back(state: &mut BatchState, job: JobKey) {
    let Some(planner) = &mut state.planner else {
        return;
    };
    planner.dirty = true;
    planner.sweep_due = true;
    let entry = state.book.jobs.get(&job);
    if entry.is_some_and(|entry| entry.open_definition().is_some()) {
        planner.open_jobs.insert(job);
    } else {
        planner.open_jobs.swap_remove(&job);
        planner.phases.swap_remove(&job);
        planner.begun.swap_remove(&job);
        planner.failed_places.retain(|step, _| step.job != job);
        planner.overdue.retain(|step| step.job != job);
    }
}

/// Lets workers forget ends whose records were read back.
fn acknowledge(planner: &mut PlannerState, ends: &[(WorkerLifeKey, u64)], at: ClockTime) {
    for (key, number) in ends {
        let life = planner.workers.get_mut(&key.worker);
        if let Some(life) = life.filter(|life| life.born == key.born) {
            life.pending.swap_remove(number);
            if life.pending.is_empty() {
                life.hold.due = at;
            }
        }
    }
}

/// Returns the slot of a run.
#[must_use]
pub fn new_slot(
    definition: &JobDefinition,
    step: &StepDefinition,
    phase: RunPhase,
    at: ClockTime,
) -> RunSlot {
    RunSlot {
        demand: step.room(),
        priority: definition.priority,
        team: definition.team.clone(),
        gang: step.gang,
        phase,
        since: at,
        placed: at,
        expected: step.estimate,
        percent: 0,
        listed: at,
        sendings: 0,
        unclear: false,
        evicted: false,
        stop: None,
        checkpoint: String::new(),
    }
}

/// Returns the tasks of a job that were placed at least once.
fn placed_tasks<'a>(
    job: JobKey,
    definition: &'a JobDefinition,
    steps: &'a IndexMap<(u32, u32), Vec<TaskNote>>,
) -> impl Iterator<Item = (TaskKey, &'a TaskNote, &'a StepDefinition)> {
    steps.iter().flat_map(move |((occurrence, place), notes)| {
        let step = StepKey {
            job,
            occurrence: *occurrence,
            step: *place,
        };
        let known = definition.draft.steps.get(*place as usize);
        let notes = (0_u32..).zip(notes);
        notes.filter_map(move |(index, note)| Some((TaskKey { step, index }, note, known?)))
    })
}

/// Returns the spec and checkpoint with which a run starts.
#[must_use]
pub fn start_order(state: &BatchState, run: RunKey, lease_end: u64) -> Option<WorkerOrder> {
    let entry = state.book.jobs.get(&run.task.step.job)?;
    let definition = entry.open_definition()?;
    let note = entry.note(&run.task)?;
    Some(WorkerOrder::Start {
        run,
        spec: definition.draft.spec.clone(),
        checkpoint: note.checkpoint.clone(),
        lease_end,
    })
}
