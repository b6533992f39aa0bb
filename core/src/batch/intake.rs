//! Calls of callers: access, submissions, reads and cancellations.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::batch::catalog::QueueCatalog;
use crate::batch::catalog::QueueConfig;
use crate::batch::job::JobDefinition;
use crate::batch::job::JobDraft;
use crate::batch::job::JobKey;
use crate::batch::job::JobPhase;
use crate::batch::message::BatchEffect;
use crate::batch::message::CallAction;
use crate::batch::message::QueueAnswer;
use crate::batch::message::QueueCall;
use crate::batch::record::BatchRecord;
use crate::batch::state::BatchState;
use crate::batch::writer::WriteNews;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::CallerId;
use crate::ids::TeamName;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Longest wait of a caller who names none.
const DEFAULT_TIMEOUT: TimeSpan = TimeSpan(3_000);

/// Time before the caller's timeout at which an open call is answered.
const ANSWER_MARGIN: TimeSpan = TimeSpan(150);

/// Longest time that a call waits for its append. Another daemon may well reach the store, and
/// the caller has time to try it.
const APPEND_PATIENCE: TimeSpan = TimeSpan(1_200);

/// Longest time that an append may take before new submissions are refused.
const STORE_PATIENCE: TimeSpan = TimeSpan(500);

/// Greatest age of the batch topic at which an unknown job counts as not existing.
const BOOK_AGE: TimeSpan = TimeSpan(2_500);

/// A caller who waits for an append.
#[derive(Clone, Debug)]
struct OpenCall {
    job: JobKey,
    answer: QueueAnswer,
    deadline: ClockTime,
}

/// Callers who wait, and jobs that were accepted a moment ago.
#[derive(Clone, Debug, Default)]
pub struct IntakeTable {
    open: IndexMap<CallerId, OpenCall>,
    /// Jobs that this daemon has confirmed and not yet read back.
    confirmed: IndexSet<JobKey>,
}

impl IntakeTable {
    /// Tells whether no caller waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// Tells whether a job was confirmed and not yet read back.
    #[must_use]
    pub fn is_confirmed(&self, job: JobKey) -> bool {
        self.confirmed.contains(&job)
    }

    /// Forgets a job that now stands in the book.
    pub fn read_back(&mut self, job: JobKey) {
        self.confirmed.swap_remove(&job);
    }
}

/// Who calls and which queue is meant.
struct CallTarget<'a> {
    queue: &'a QueueConfig,
    rest: &'a str,
    team: Option<&'a TeamName>,
}

/// Handles one call.
pub fn call(
    state: &mut BatchState,
    caller: CallerId,
    call: &QueueCall,
    context: &mut StepContext<'_>,
) {
    let is_fresh = state.is_config_fresh(context.at);
    let target = match target(&state.catalog, is_fresh, call) {
        Ok(target) => target,
        Err(report) => return refuse(caller, &call.path, report, context),
    };
    if target.rest.is_empty() && call.action == CallAction::Read {
        let pending = state.book.pending(&target.queue.name);
        return answer(caller, QueueAnswer::Pending(pending), context);
    }
    let Some(job) = JobKey::parse(target.rest) else {
        let report = FailureReport::new(ErrorKind::BadRequest, "not an id of a job");
        return refuse(caller, &call.path, report, context);
    };
    match &call.action {
        CallAction::Submit(draft) => {
            let definition = define(&target, draft, context.at);
            submit(state, caller, job, definition, call.timeout, context);
        }
        CallAction::Read => read(state, caller, job, context),
        CallAction::Cancel => cancel(state, caller, job, call.timeout, context),
    }
}

/// Answers callers whose append has ended.
pub fn written(state: &mut BatchState, news: &WriteNews, context: &mut StepContext<'_>) {
    for caller in &news.stored {
        if let Some(open) = state.intake.open.swap_remove(caller) {
            if open.answer == QueueAnswer::Accepted {
                context.update_metric(MetricName::JobsAccepted, 1);
                state.intake.confirmed.insert(open.job);
            }
            note(open.job, "stored", context);
            answer(*caller, open.answer, context);
        }
    }
    for caller in &news.refused {
        if let Some(open) = state.intake.open.swap_remove(caller) {
            let report = FailureReport::new(ErrorKind::LogUnavailable, "the store refused it");
            refuse(*caller, &open.job.text(), report, context);
        }
    }
}

/// Answers callers whose timeout is near.
pub fn tick(state: &mut BatchState, context: &mut StepContext<'_>) {
    let at = context.at;
    let waiting = state.intake_lane.drop_waiting(at, STORE_PATIENCE);
    for caller in waiting {
        if let Some(open) = state.intake.open.swap_remove(&caller) {
            let report = FailureReport::new(ErrorKind::LogUnavailable, "the store does not answer");
            refuse(caller, &open.job.text(), report, context);
        }
    }
    state.intake.open.retain(|caller, open| {
        if at < open.deadline {
            return true;
        }
        let report = FailureReport::new(ErrorKind::OutcomeUnknown, "the store has not answered");
        refuse(*caller, &open.job.text(), report, context);
        false
    });
}

fn target<'a>(
    catalog: &'a QueueCatalog,
    is_fresh: bool,
    call: &'a QueueCall,
) -> Result<CallTarget<'a>, FailureReport> {
    if !is_fresh {
        let detail = "the configuration is not confirmed";
        return Err(FailureReport::new(ErrorKind::NotReady, detail));
    }
    let Some((queue, rest)) = catalog.find(&call.host, &call.path) else {
        return Err(FailureReport::new(ErrorKind::UnknownQueue, "no such queue"));
    };
    let team = call
        .credential
        .as_ref()
        .and_then(|key| catalog.team_of(key));
    if team.is_none() && !queue.public {
        return Err(FailureReport::new(
            ErrorKind::UnknownKey,
            "no team has this key",
        ));
    }
    Ok(CallTarget {
        queue,
        rest,
        team: team.map(|team| &team.name),
    })
}

fn define(target: &CallTarget<'_>, draft: &JobDraft, at: ClockTime) -> JobDefinition {
    JobDefinition {
        queue: target.queue.name.clone(),
        service: target.queue.service.clone(),
        team: target.team.cloned(),
        priority: target.queue.priority,
        max_attempts: target.queue.max_attempts,
        stretch: target.queue.stretch,
        target: target.queue.target,
        accepted_at: at,
        draft: draft.clone(),
    }
}

fn submit(
    state: &mut BatchState,
    caller: CallerId,
    job: JobKey,
    definition: JobDefinition,
    timeout: Option<TimeSpan>,
    context: &mut StepContext<'_>,
) {
    if state.is_known(job) {
        return answer(caller, QueueAnswer::Accepted, context);
    }
    if let Err(mistake) = definition.draft.check() {
        let report = FailureReport::new(ErrorKind::BadRequest, mistake);
        return refuse(caller, &job.text(), report, context);
    }
    let record = BatchRecord::job(job, definition);
    append(
        state,
        caller,
        job,
        record,
        QueueAnswer::Accepted,
        timeout,
        context,
    );
}

fn read(state: &BatchState, caller: CallerId, job: JobKey, context: &mut StepContext<'_>) {
    let entry = state.book.jobs.get(&job);
    match entry.filter(|entry| entry.definition.is_some()) {
        Some(entry) => answer(caller, QueueAnswer::Phase(entry.shown_phase()), context),
        None if state.intake.is_confirmed(job) => {
            answer(caller, QueueAnswer::Phase(JobPhase::Queued), context);
        }
        None => unknown_job(state, caller, job, context),
    }
}

fn cancel(
    state: &mut BatchState,
    caller: CallerId,
    job: JobKey,
    timeout: Option<TimeSpan>,
    context: &mut StepContext<'_>,
) {
    if !state.is_known(job) {
        return unknown_job(state, caller, job, context);
    }
    let entry = state.book.jobs.get(&job);
    if entry.is_some_and(|entry| entry.shown_phase().is_final()) {
        return answer(caller, QueueAnswer::Cancelled, context);
    }
    let record = BatchRecord::cancel(job);
    append(
        state,
        caller,
        job,
        record,
        QueueAnswer::Cancelled,
        timeout,
        context,
    );
}

/// A job that is not in the book does not exist if the book is as new as the callers may expect.
fn unknown_job(state: &BatchState, caller: CallerId, job: JobKey, context: &mut StepContext<'_>) {
    let report = if state.batch_tail.is_fresh(context.at, BOOK_AGE) {
        FailureReport::new(ErrorKind::NotFound, "no such job")
    } else {
        FailureReport::new(ErrorKind::NotReady, "the jobs are not confirmed")
    };
    refuse(caller, &job.text(), report, context);
}

fn append(
    state: &mut BatchState,
    caller: CallerId,
    job: JobKey,
    record: BatchRecord,
    success: QueueAnswer,
    timeout: Option<TimeSpan>,
    context: &mut StepContext<'_>,
) {
    if is_store_away(state, context.at) {
        let report = FailureReport::new(ErrorKind::LogUnavailable, "the store is out of reach");
        return refuse(caller, &job.text(), report, context);
    }
    let timeout = timeout.unwrap_or(DEFAULT_TIMEOUT);
    let open = OpenCall {
        job,
        answer: success,
        deadline: context.at + APPEND_PATIENCE.min(timeout) - ANSWER_MARGIN,
    };
    state.intake.open.insert(caller, open);
    state.intake_lane.push(record, Some(caller));
}

/// The store is away when it has stopped answering reads, or an append is stuck.
fn is_store_away(state: &BatchState, at: ClockTime) -> bool {
    let open = state.intake_lane.open_since();
    let is_stuck = open.is_some_and(|since| at.since(since) > STORE_PATIENCE);
    is_stuck || state.batch_tail.healthy_since().is_none()
}

fn note(job: JobKey, outcome: &str, context: &mut StepContext<'_>) {
    context.info(
        LogTarget::Request,
        format!("job={} outcome={outcome}", job.text()),
    );
}

fn answer(caller: CallerId, answer: QueueAnswer, context: &mut StepContext<'_>) {
    context.push(ControlEffect::Batch(BatchEffect::Answer { caller, answer }));
}

fn refuse(caller: CallerId, what: &str, report: FailureReport, context: &mut StepContext<'_>) {
    if report.kind != ErrorKind::NotFound {
        let FailureReport { kind, detail } = &report;
        let line = format!("target={what} outcome=refused kind={kind:?} detail={detail:?}");
        context.info(LogTarget::Request, line);
    }
    context.update_metric(MetricName::Refused, 1);
    answer(caller, QueueAnswer::Failure(report), context);
}
