//! Run times and worker speeds, learned from finished runs and from progress.
//!
//! Answers declared run times that are wrong and workers of unequal speed. In logarithms, the run
//! time of a task is the work of its step minus the speed of its worker.

use indexmap::IndexMap;

use crate::batch::job::JobDefinition;
use crate::batch::job::QueueName;
use crate::batch::job::RunKey;
use crate::batch::job::StepDefinition;
use crate::batch::job::StepKey;
use crate::batch::message::BatchEffect;
use crate::batch::message::JobStage;
use crate::batch::planner::PlannerState;
use crate::batch::run_time_relation;
use crate::batch::run_time_relation::RunTimeRelation;
use crate::batch::session::RunPhase;
use crate::batch::session::RunSlot;
use crate::batch::session::WorkerSession;
use crate::batch::view::BatchView;
use crate::batch::worker_speed::NOMINAL_SPEED;
use crate::batch::worker_speed::Observation;
use crate::batch::worker_speed::log_ms;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::ids::OrderToken;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Maximum number of steps with evidence. The one that was observed first is dropped.
const MAX_STEPS: usize = 1_024;

/// Maximum number of queues with a relation. The one that was observed first is dropped.
const MAX_QUEUES: usize = 4_096;

/// Maximum number of workers that are compared within a step.
const MAX_STEP_WORKERS: usize = 32;

/// Interval between two computations of the speed of all workers.
const REFRESH_INTERVAL: TimeSpan = TimeSpan(500);

/// Speed in thousandths below which a worker counts as slow.
const SLOW_SPEED: u32 = 800;

/// Share of the known workers, in percent, from which workers without evidence are assumed to be
/// slow.
const SLOW_SHARE_PERCENT: u64 = 15;

/// Work of a step's tasks, as run on the workers observed so far.
#[derive(Clone, Debug, Default)]
struct StepWork {
    /// Work in logarithms by worker, whose session is identified by its token.
    workers: Vec<(OrderToken, f64)>,
    /// Position that is replaced next when there are `MAX_STEP_WORKERS`.
    next: usize,
}

impl StepWork {
    /// Returns the median work by the other workers and their number.
    fn reference(&self, worker: OrderToken) -> Option<(f64, usize)> {
        let mut others = [0.0; MAX_STEP_WORKERS];
        let mut count = 0;
        for (_, work) in self.workers.iter().filter(|(token, _)| *token != worker) {
            if let Some(other) = others.get_mut(count) {
                *other = *work;
                count += 1;
            }
        }
        let others = others.get_mut(..count)?;
        others.sort_unstable_by(f64::total_cmp);
        let upper = others.get(count / 2)?;
        let lower = others.get(count.saturating_sub(1) / 2)?;
        Some((f64::midpoint(*lower, *upper), count))
    }

    /// Records the work of a task by its run on a worker. Tasks that take longer than the shortest
    /// one of the worker count less, because single tasks run many times as long as the others.
    fn record(&mut self, worker: OrderToken, work: f64) {
        if let Some((_, known)) = self.workers.iter_mut().find(|(token, _)| *token == worker) {
            let rate = if work > *known { 0.2 } else { 0.5 };
            *known += (work - *known) * rate;
        } else if self.workers.len() < MAX_STEP_WORKERS {
            self.workers.push((worker, work));
        } else if let Some(entry) = self.workers.get_mut(self.next) {
            *entry = (worker, work);
            self.next = (self.next + 1) % MAX_STEP_WORKERS;
        }
    }
}

/// Model of run times, in the planner's state.
///
/// The evidence about a worker is in [`WorkerSession::speed`], so it ends with the incarnation.
#[derive(Clone, Debug)]
pub struct RunTimeModel {
    steps: IndexMap<StepKey, StepWork>,
    queues: IndexMap<QueueName, RunTimeRelation>,
    /// Speed to count on at a worker without evidence, in thousandths.
    unknown_speed: u32,
    /// Earliest time of the next [`refresh`].
    next_refresh_at: ClockTime,
}

impl Default for RunTimeModel {
    fn default() -> Self {
        Self {
            steps: IndexMap::new(),
            queues: IndexMap::new(),
            unknown_speed: NOMINAL_SPEED,
            next_refresh_at: ClockTime(0),
        }
    }
}

impl RunTimeModel {
    /// Returns the expected run time of a task at nominal speed.
    #[must_use]
    pub fn expected(&self, queue: &QueueName, declared: TimeSpan) -> TimeSpan {
        self.relation(queue).expected(declared)
    }

    /// Returns the relation of declared to true run times in a queue.
    #[must_use]
    pub fn relation(&self, queue: &QueueName) -> RunTimeRelation {
        self.queues.get(queue).copied().unwrap_or_default()
    }

    /// Returns the relations of all queues with evidence.
    pub fn relations(&self) -> impl Iterator<Item = (&QueueName, &RunTimeRelation)> {
        self.queues.iter()
    }

    fn learn_relation(&mut self, queue: &QueueName, declared: TimeSpan, work: f64, share: f64) {
        if !self.queues.contains_key(queue) && self.queues.len() >= MAX_QUEUES {
            self.queues.shift_remove_index(0);
        }
        let relation = self.queues.entry(queue.clone()).or_default();
        relation.learn(declared, work, share);
    }

    /// Learns from an observed run on a worker, and returns the evidence about the worker's speed:
    /// its value in logarithms and its weight. Returns `None` while no other worker has run a task
    /// of the step.
    ///
    /// The declared run time is no substitute for other workers: where declarations are off by nine
    /// tenths, it made workers of equal speed look unequal.
    fn learn(
        &mut self,
        step: StepKey,
        session: (OrderToken, f64),
        observation: Observation,
    ) -> Option<(f64, f64)> {
        let (token, speed) = session;
        if !self.steps.contains_key(&step) && self.steps.len() >= MAX_STEPS {
            self.steps.shift_remove_index(0);
        }
        let work = self.steps.entry(step).or_default();
        let reference = work.reference(token);
        work.record(token, observation.run_time + speed);
        let (reference, count) = reference?;
        let count = f64::from(u32::try_from(count).unwrap_or(u32::MAX));
        let weight = observation.weight * count / (count + 1.0);
        Some((reference - observation.run_time, weight))
    }
}

/// Learns from a list of a worker: from the progress of the run.
pub fn observe_progress(
    planner: &mut PlannerState,
    view: &BatchView,
    worker: &WorkerName,
    run: &RunKey,
    at: ClockTime,
) {
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    let Some(slot) = session.runs.get(run) else {
        return;
    };
    if slot.phase != RunPhase::Running || slot.is_gang_member {
        return;
    }
    let started_at = start_of(run, slot);
    let percent = slot.percent;
    let speed = &mut session.speed;
    let Some(observation) = speed.observe_progress(run, percent, started_at, at) else {
        return;
    };
    learn(&mut planner.run_times, view, session, run, observation, at);
}

/// Learns from the end of a run whose whole time this planner has seen.
pub fn observe_end(
    planner: &mut PlannerState,
    view: &BatchView,
    worker: &WorkerName,
    run: &RunKey,
    is_done: bool,
    context: &mut StepContext<'_>,
) {
    let at = context.at;
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    let Some(slot) = session.runs.get(run) else {
        return;
    };
    if slot.is_gang_member {
        if is_done && run.task.index == 0 {
            learn_gang(planner, view, run, context);
        }
        return;
    }
    let started_at = start_of(run, slot);
    let is_new = is_done && !session.speed.has_evidence(run);
    if let Some(started_at) = started_at.filter(|_| is_done) {
        let run_time = at.since(started_at);
        learn_relation(
            &mut planner.run_times,
            view,
            session,
            run,
            run_time,
            context,
        );
    }
    if let Some(started_at) = started_at.filter(|_| is_new) {
        let observation = Observation {
            run_time: log_ms(at.since(started_at)),
            weight: 1.0,
        };
        learn(&mut planner.run_times, view, session, run, observation, at);
    }
    session.speed.end_run(run);
}

/// Learns how the declared run time of a finished task relates to its true one.
fn learn_relation(
    model: &mut RunTimeModel,
    view: &BatchView,
    session: &WorkerSession,
    run: &RunKey,
    run_time: TimeSpan,
    context: &mut StepContext<'_>,
) {
    let Some((definition, step)) = step_of(view, run) else {
        return;
    };
    if is_at_full_speed(step, session) {
        let work = log_ms(run_time) + session.speed.reliable_log_speed();
        let share = 1.0 / f64::from(step.count.max(1));
        if run.task.index == 0 {
            report_errors(model, &definition.queue, step.estimate, work, context);
        }
        model.learn_relation(&definition.queue, step.estimate, work, share);
    }
}

/// Learns from the end of a gang, which ends with its slowest member. The end of the first member
/// stands for all.
fn learn_gang(
    planner: &mut PlannerState,
    view: &BatchView,
    run: &RunKey,
    context: &mut StepContext<'_>,
) {
    let Some((definition, step)) = step_of(view, run) else {
        return;
    };
    let mut members = planner.workers.values().filter_map(|session| {
        let mut runs = session.runs.iter();
        let (member, slot) = runs.find(|(other, _)| other.task.step == run.task.step)?;
        Some((session, start_of(member, slot)?))
    });
    let Some((first, mut started_at)) = members.next() else {
        return;
    };
    let rack = |session: &WorkerSession| session.entry.as_ref().map(|entry| entry.rack.clone());
    let first_rack = rack(first);
    let preferred = step.affinity.as_ref();
    let mut is_local = preferred.is_none_or(|preferred| first_rack.as_ref() == Some(preferred));
    let mut speed = first.speed.reliable_log_speed();
    for (session, member_started_at) in members {
        is_local &= rack(session) == first_rack;
        speed = speed.min(session.speed.reliable_log_speed());
        started_at = started_at.max(member_started_at);
    }
    if is_local && !step.long_running {
        let work = log_ms(context.at.since(started_at)) + speed;
        let model = &mut planner.run_times;
        report_errors(model, &definition.queue, step.estimate, work, context);
        model.learn_relation(&definition.queue, step.estimate, work, 1.0);
    }
}

/// Adds the errors of the declared and of the learned run time of a task to their histograms.
fn report_errors(
    model: &RunTimeModel,
    queue: &QueueName,
    declared: TimeSpan,
    work: f64,
    context: &mut StepContext<'_>,
) {
    let work = run_time_relation::scale(TimeSpan(1), work);
    let learned = model.expected(queue, declared);
    let errors = [
        (JobStage::DeclaredError, declared),
        (JobStage::LearnedError, learned),
    ];
    for (stage, predicted) in errors {
        context.push(ControlEffect::Batch(BatchEffect::Observe {
            stage,
            queue: queue.clone(),
            span: TimeSpan(predicted.0.abs_diff(work.0)),
        }));
    }
}

/// Returns when a run began its work, if this planner has started it. A later attempt can go on
/// from a checkpoint, and an adopted run began at an unknown time.
fn start_of(run: &RunKey, slot: &RunSlot) -> Option<ClockTime> {
    let is_known =
        slot.start_deadline.is_some() && slot.phase == RunPhase::Running && run.attempt == 1;
    is_known.then_some(slot.since)
}

fn learn(
    model: &mut RunTimeModel,
    view: &BatchView,
    session: &mut WorkerSession,
    run: &RunKey,
    observation: Observation,
    at: ClockTime,
) {
    let Some((_, step)) = step_of(view, run) else {
        return;
    };
    if !is_at_full_speed(step, session) {
        return;
    }
    let identity = (session.token, session.speed.log_speed());
    if let Some((value, weight)) = model.learn(run.task.step, identity, observation) {
        session.speed.set_evidence(run, value, weight, at);
    }
}

/// Returns whether tasks of a step run at full speed on a worker. Tasks away from their data, and
/// tasks that communicate across racks, take a multiple of their time.
fn is_at_full_speed(step: &StepDefinition, session: &WorkerSession) -> bool {
    let rack = session.entry.as_ref().map(|entry| &entry.rack);
    let is_local = step
        .affinity
        .as_ref()
        .is_none_or(|preferred| Some(preferred) == rack);
    is_local && !step.rack_sensitive && !step.gang && !step.fills && !step.long_running
}

fn step_of<'a>(
    view: &'a BatchView,
    run: &RunKey,
) -> Option<(&'a JobDefinition, &'a StepDefinition)> {
    let definition = view
        .jobs
        .get(&run.task.step.job)
        .and_then(|entry| entry.open_definition())?;
    let step = definition
        .submission
        .steps
        .get(run.task.step.step as usize)?;
    Some((definition, step))
}

/// Updates the speed of a worker after its lists were applied, and logs a change of its class.
pub fn update_worker(
    planner: &mut PlannerState,
    worker: &WorkerName,
    context: &mut StepContext<'_>,
) {
    let unknown_speed = planner.run_times.unknown_speed;
    let Some(session) = planner.workers.get_mut(worker) else {
        return;
    };
    let WorkerSession { speed, runs, .. } = session;
    let before = speed.estimate();
    speed.retain_runs(|run| runs.contains_key(run));
    speed.update(unknown_speed, context.at);
    let after = speed.estimate();
    if after.class != before.class {
        let line = format!(
            "worker={worker} outcome=speed_learned speed={} before={} weight={:.1}",
            after.expected,
            before.expected,
            speed.weight()
        );
        context.info(LogTarget::Plan, line);
    }
}

/// Updates the speeds of all workers, if that is due, and the speed that is assumed for those
/// without evidence.
pub fn refresh(planner: &mut PlannerState, at: ClockTime) {
    if at < planner.run_times.next_refresh_at {
        return;
    }
    planner.run_times.next_refresh_at = at + REFRESH_INTERVAL;
    let (mut known, mut slow, mut slow_sum) = (0_u64, 0_u64, 0_u64);
    let speeds = planner.workers.values().map(|session| &session.speed);
    for speed in speeds.filter(|speed| speed.is_known()) {
        known += 1;
        let expected = speed.estimate().expected;
        if expected < SLOW_SPEED {
            slow += 1;
            slow_sum += u64::from(expected);
        }
    }
    let unknown_speed = if slow > 0 && slow * 100 >= known * SLOW_SHARE_PERCENT {
        u32::try_from(slow_sum / slow).unwrap_or(NOMINAL_SPEED)
    } else {
        NOMINAL_SPEED
    };
    planner.run_times.unknown_speed = unknown_speed;
    for session in planner.workers.values_mut() {
        session.speed.update(unknown_speed, at);
    }
}
