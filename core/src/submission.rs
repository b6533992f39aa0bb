//! Job submission: validation, admission and the answer once the record is confirmed.

use crate::caller;
use crate::config::ServiceSpec;
use crate::config::TeamFile;
use crate::config::WorkKind;
use crate::context::StepContext;
use crate::effect::CallerAnswer;
use crate::effect::JobView;
use crate::event::CallerCredential;
use crate::event::JobRequest;
use crate::fleet;
use crate::guarantee;
use crate::ids::CallerId;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::ledger::KeyState;
use crate::outbox::RecordPurpose;
use crate::record::JobOrder;
use crate::record::RecordBody;
use crate::state::DaemonState;
use crate::units::ClockTime;

pub(crate) fn submit(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    job: &JobRequest,
    context: &mut StepContext<'_>,
) {
    let order = match check_submission(state, credential, job, context.at) {
        Ok(Submission::New(order)) => order,
        Ok(Submission::Duplicate(view)) => {
            context.reply(caller, CallerAnswer::Job(view));
            return;
        }
        Err(report) => {
            context.fail(caller, report.kind, report.detail);
            return;
        }
    };
    state.callers.await_record(caller);
    let body = RecordBody::JobAccepted { order };
    state
        .outbox
        .push(context.at, body, RecordPurpose::Submit { caller });
}

/// A submission that passed validation.
pub(crate) enum Submission {
    New(JobOrder),
    Duplicate(JobView),
}

pub(crate) fn check_submission(
    state: &DaemonState,
    credential: &CallerCredential,
    job: &JobRequest,
    at: ClockTime,
) -> Result<Submission, FailureReport> {
    caller::check_key_table(state)?;
    let file = caller::authorize(state, credential, &job.team)?;
    let spec = file.services.get(&job.service).ok_or_else(|| {
        let detail = format!("team {} declares no service {}", job.team, job.service);
        FailureReport::new(ErrorKind::UnknownService, detail)
    })?;
    let order = build_order(state, spec, job)?;
    if let Some(view) = find_job_by_key(state, &order)? {
        return Ok(Submission::Duplicate(view));
    }
    caller::check_key_unused(state, at)?;
    caller::check_ready(state)?;
    check_admission(state, file)?;
    let workers: Vec<_> = state
        .members
        .workers
        .values()
        .map(|entry| &entry.info)
        .collect();
    let slots = fleet::idle_slots(&workers, state.settings.limits.request_slots);
    guarantee::check_feasibility(&order, &slots, &state.ledger.config.teams)
        .map_err(|reason| FailureReport::new(ErrorKind::NeverFits, reason))?;
    Ok(Submission::New(order))
}

pub(crate) fn build_order(
    state: &DaemonState,
    spec: &ServiceSpec,
    job: &JobRequest,
) -> Result<JobOrder, FailureReport> {
    let limits = &state.settings.limits;
    if spec.work != WorkKind::Job {
        let detail = format!("service {} takes short requests, not jobs", job.service);
        return Err(FailureReport::new(ErrorKind::BadRequest, detail));
    }
    if job.key.as_str().is_empty() || job.key.as_str().len() > limits.name_bytes as usize {
        let detail = format!("the key must have 1 to {} bytes", limits.name_bytes);
        return Err(FailureReport::new(ErrorKind::BadRequest, detail));
    }
    if job.payload.len() as u64 > limits.payload.0 {
        let detail = format!("the payload is over {} bytes", limits.payload);
        return Err(FailureReport::new(ErrorKind::TooLarge, detail));
    }
    let mut spec = spec.clone();
    spec.members = job.members.unwrap_or(spec.members);
    spec.run_time = job.run_time.unwrap_or(spec.run_time);
    spec.deadline = job.deadline.or(spec.deadline);
    if spec.members == 0 || spec.members > limits.gang_members {
        let detail = format!("a gang has 1 to {} members", limits.gang_members);
        return Err(FailureReport::new(ErrorKind::BadRequest, detail));
    }
    Ok(JobOrder {
        team: job.team.clone(),
        service: job.service.clone(),
        key: job.key.clone(),
        spec,
        payload: job.payload.clone(),
    })
}

pub(crate) fn find_job_by_key(
    state: &DaemonState,
    order: &JobOrder,
) -> Result<Option<JobView>, FailureReport> {
    let Some(entry) = state.ledger.key(&order.team, &order.key) else {
        return Ok(None);
    };
    let view = match &entry.state {
        KeyState::Job { job } if entry.service == order.service => state
            .ledger
            .jobs
            .get(job)
            .map(|record| caller::job_view(*job, record, true)),
        _ => None,
    };
    view.map(Some).ok_or_else(|| {
        FailureReport::new(
            ErrorKind::KeyConflict,
            "the key was used for different work",
        )
    })
}

pub(crate) fn check_admission(state: &DaemonState, file: &TeamFile) -> Result<(), FailureReport> {
    let limits = &state.settings.limits;
    let overloaded = |detail: &str| Err(FailureReport::new(ErrorKind::Overloaded, detail));
    if state.ledger.queued_count_of(&file.team) >= file.limits.waiting_jobs as usize {
        return overloaded("the team has too many waiting jobs");
    }
    if state.ledger.queued_count() >= limits.waiting_jobs as usize {
        return overloaded("too many jobs wait");
    }
    if !state.outbox.has_room_for_job(limits)
        || state.callers.len() >= limits.waiting_callers as usize
    {
        return overloaded("the log is slow; too many records wait");
    }
    Ok(())
}

pub(crate) fn answer_submission(
    state: &DaemonState,
    caller: CallerId,
    order: &JobOrder,
    duplicate: bool,
    context: &mut StepContext<'_>,
) {
    match find_job_by_key(state, order) {
        Ok(Some(mut view)) => {
            view.duplicate = duplicate;
            context.reply(caller, CallerAnswer::Job(view));
        }
        Ok(None) => context.fail(caller, ErrorKind::OutcomeUnknown, "ask again with the key"),
        Err(report) => context.fail(caller, report.kind, report.detail),
    }
}
