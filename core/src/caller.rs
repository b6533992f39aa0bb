//! Commands of callers and operators, and the callers who wait for a record or a job.

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::collection;
use crate::collection::CheckBounds;
use crate::config::ServiceSpec;
use crate::config::TeamFile;
use crate::config::WorkKind;
use crate::context::StepContext;
use crate::document::FileProblem;
use crate::domain;
use crate::domain::DomainCommand;
use crate::dump;
use crate::effect::CallerAnswer;
use crate::effect::JobView;
use crate::effect::KeyView;
use crate::effect::MetricName;
use crate::event::CallerCommand;
use crate::event::CallerCredential;
use crate::event::JobRequest;
use crate::explain;
use crate::fleet;
use crate::guarantee;
use crate::ids::CallerId;
use crate::ids::ConfigVersion;
use crate::ids::JobId;
use crate::ids::RequestKey;
use crate::ids::TeamName;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::ledger::JobPhase;
use crate::ledger::JobRecord;
use crate::ledger::KeyState;
use crate::ledger::RecordEffect;
use crate::ledger::VoidReason;
use crate::outbox::RecordPurpose;
use crate::outbox::SettledRecord;
use crate::record::JobOrder;
use crate::record::RecordBody;
use crate::record::RequestEnd;
use crate::request;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Longest wait for the end of a job in one exchange. A caller asks again after it.
const LONGEST_WAIT: TimeSpan = TimeSpan::from_secs(60);

/// Problems of a published change that its answer names, to keep the answer short.
const PROBLEMS_SHOWN: usize = 10;

/// Callers who wait for a record's read-back or for the end of a job.
#[derive(Clone, Debug, Default)]
pub struct CallerTable {
    /// Callers whose record is on its way.
    records: IndexSet<CallerId>,
    /// Callers who wait for a job's end, with the latest time of the answer.
    jobs: IndexMap<CallerId, (JobId, ClockTime)>,
}

impl CallerTable {
    /// Returns the number of callers who wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len() + self.jobs.len()
    }

    /// Tells whether no caller waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Carries out a command.
pub fn command(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    command: &CallerCommand,
    context: &mut StepContext<'_>,
) {
    match command {
        CallerCommand::Submit(job) => submit(state, caller, credential, job, context),
        CallerCommand::JobStatus { team, job } => {
            let answer = find_job(state, credential, team, *job)
                .map(|record| CallerAnswer::Job(job_view(*job, record, false)));
            respond(caller, answer, context);
        }
        CallerCommand::JobWait { team, job, wait } => {
            wait_for_job(state, caller, credential, (team, *job), *wait, context);
        }
        CallerCommand::JobCancel { team, job } => {
            cancel(state, caller, credential, team, *job, context);
        }
        CallerCommand::JobExplain { job } => {
            let answer = explain::reasons(state, credential, *job, context.at)
                .map(|reasons| CallerAnswer::Reasons { reasons });
            respond(caller, answer, context);
        }
        CallerCommand::KeyStatus { team, key } => {
            let answer = authorize(state, credential, team)
                .and_then(|_| key_view(state, team, key))
                .map(CallerAnswer::Key);
            respond(caller, answer, context);
        }
        CallerCommand::Send(head) => request::start(state, caller, credential, head, context),
        CallerCommand::ConfigGet => {
            let answer = require_operator(state, credential).map(|()| CallerAnswer::Config {
                version: state.ledger.config.version,
                teams: state.ledger.config.teams.clone(),
            });
            respond(caller, answer, context);
        }
        CallerCommand::ConfigPublish {
            base,
            upsert,
            remove,
            operator,
        } => {
            let change = ConfigChange {
                base: *base,
                upsert,
                remove,
                operator,
            };
            publish(state, caller, credential, &change, context);
        }
        CallerCommand::DomainSet {
            domain,
            out,
            operator,
            confirmed,
        } => {
            let (out, confirmed) = (*out, *confirmed);
            let command = DomainCommand {
                domain,
                out,
                operator,
                confirmed,
            };
            domain::set(state, caller, credential, &command, context);
        }
        CallerCommand::ConfigStatus => {
            let answer = require_operator(state, credential).map(|()| CallerAnswer::Daemons {
                daemons: dump::daemons(state, context.at),
            });
            respond(caller, answer, context);
        }
        CallerCommand::DomainStatus => {
            let answer = require_operator(state, credential).map(|()| CallerAnswer::Domains {
                domains: domain::views(state, context.at),
            });
            respond(caller, answer, context);
        }
        CallerCommand::TeamStatus => {
            let answer = require_operator(state, credential).map(|()| CallerAnswer::Teams {
                teams: dump::teams(state),
            });
            respond(caller, answer, context);
        }
        CallerCommand::Dump => {
            let answer = require_operator(state, credential).map(|()| CallerAnswer::Dump {
                json: dump::state_json(state, context.at),
            });
            respond(caller, answer, context);
        }
        CallerCommand::Ready => {
            let answer = check_ready(state).and_then(|()| match state.shutdown {
                Some(_) => Err(FailureReport::new(
                    ErrorKind::NotReady,
                    "the daemon is draining",
                )),
                None => Ok(CallerAnswer::Ready),
            });
            respond(caller, answer, context);
        }
    }
}

fn respond(
    caller: CallerId,
    answer: Result<CallerAnswer, FailureReport>,
    context: &mut StepContext<'_>,
) {
    match answer {
        Ok(reply) => context.reply(caller, reply),
        Err(report) => context.fail(caller, report.kind, report.detail),
    }
}

/// Checks that this daemon takes new work.
///
/// # Errors
///
/// Returns why not.
pub fn check_ready(state: &DaemonState) -> Result<(), FailureReport> {
    if state
        .shutdown
        .as_ref()
        .is_some_and(|shutdown| shutdown.refuses_work)
    {
        return Err(FailureReport::new(
            ErrorKind::NotReady,
            "the daemon is stopping",
        ));
    }
    if !state.reader.loaded {
        return Err(FailureReport::new(
            ErrorKind::NotReady,
            "the daemon is reading the log",
        ));
    }
    Ok(())
}

fn require_operator(
    state: &DaemonState,
    credential: &CallerCredential,
) -> Result<(), FailureReport> {
    if state.is_operator(credential) {
        Ok(())
    } else {
        Err(FailureReport::new(
            ErrorKind::Forbidden,
            "the operators' key is needed",
        ))
    }
}

/// Checks that a caller may act for a team.
///
/// # Errors
///
/// Returns why not. A caller without a valid key is not told which teams exist.
pub fn authorize<'a>(
    state: &'a DaemonState,
    credential: &CallerCredential,
    team: &TeamName,
) -> Result<&'a TeamFile, FailureReport> {
    let file = state.ledger.config.teams.get(team);
    let operator = state.is_operator(credential);
    match file {
        Some(file) if operator || credential.digest.as_ref() == Some(&file.key_sha256) => Ok(file),
        None if operator => Err(FailureReport::new(
            ErrorKind::UnknownTeam,
            format!("team {team} has no file"),
        )),
        _ => Err(FailureReport::new(
            ErrorKind::Forbidden,
            "the key does not belong to the team",
        )),
    }
}

fn find_job<'a>(
    state: &'a DaemonState,
    credential: &CallerCredential,
    team: &TeamName,
    job: JobId,
) -> Result<&'a JobRecord, FailureReport> {
    authorize(state, credential, team)?;
    state
        .ledger
        .jobs
        .get(&job)
        .filter(|record| record.order.team == *team)
        .ok_or_else(|| {
            FailureReport::new(ErrorKind::NotFound, format!("team {team} has no job {job}"))
        })
}

/// Returns a job as its caller sees it.
#[must_use]
pub fn job_view(job: JobId, record: &JobRecord, duplicate: bool) -> JobView {
    let (workers, end) = match &record.phase {
        JobPhase::Queued => (Vec::new(), None),
        JobPhase::Placed { workers, .. } => (workers.clone(), None),
        JobPhase::Ended { end, .. } => (Vec::new(), Some(end.clone())),
    };
    JobView {
        job,
        service: record.order.service.clone(),
        key: record.order.key.clone(),
        phase: record.phase_name().to_owned(),
        attempt: record.attempt,
        workers,
        end,
        duplicate,
    }
}

fn key_view(
    state: &DaemonState,
    team: &TeamName,
    key: &RequestKey,
) -> Result<KeyView, FailureReport> {
    let entry = state.ledger.key(team, key).ok_or_else(|| {
        FailureReport::new(
            ErrorKind::NotFound,
            format!("team {team} has not used this key"),
        )
    })?;
    let mut view = KeyView {
        key: key.clone(),
        state: String::new(),
        job: None,
        status: None,
        body: None,
    };
    let name = match &entry.state {
        KeyState::Job { job } => {
            view.job = Some(*job);
            "job"
        }
        KeyState::Intent { writer } if request::is_open_elsewhere(state, writer) => "in_progress",
        KeyState::Intent { .. }
        | KeyState::Done {
            end: RequestEnd::Unknown,
        } => "unknown",
        KeyState::Done {
            end: RequestEnd::NotRun,
        } => "not_run",
        KeyState::Done {
            end: RequestEnd::Answered { status, body },
        } => {
            view.status = Some(*status);
            view.body.clone_from(body);
            "answered"
        }
    };
    name.clone_into(&mut view.state);
    Ok(view)
}

fn submit(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    job: &JobRequest,
    context: &mut StepContext<'_>,
) {
    let order = match check_submission(state, credential, job, context.at) {
        Ok(Submission::New(order)) => order,
        Ok(Submission::Known(view)) => {
            context.reply(caller, CallerAnswer::Job(view));
            return;
        }
        Err(report) => {
            context.fail(caller, report.kind, report.detail);
            return;
        }
    };
    state.callers.records.insert(caller);
    let body = RecordBody::JobAccepted { order };
    state
        .outbox
        .push(context.at, body, RecordPurpose::Submit { caller });
}

/// What a valid submission asks for.
enum Submission {
    New(JobOrder),
    Known(JobView),
}

fn check_submission(
    state: &DaemonState,
    credential: &CallerCredential,
    job: &JobRequest,
    at: ClockTime,
) -> Result<Submission, FailureReport> {
    check_ready(state)?;
    let file = authorize(state, credential, &job.team)?;
    let spec = file.services.get(&job.service).ok_or_else(|| {
        let detail = format!("team {} declares no service {}", job.team, job.service);
        FailureReport::new(ErrorKind::UnknownService, detail)
    })?;
    let order = make_order(state, spec, job)?;
    if let Some(known) = known_job(state, &order)? {
        return Ok(Submission::Known(known));
    }
    check_admission(state, file, at)?;
    let workers: Vec<_> = state
        .members
        .workers
        .values()
        .map(|entry| &entry.info)
        .collect();
    let slots = fleet::idle_slots(&workers, state.settings.limits.request_slots);
    guarantee::can_ever_run(&order, &slots, &state.ledger.config.teams)
        .map_err(|reason| FailureReport::new(ErrorKind::NeverFits, reason))?;
    Ok(Submission::New(order))
}

fn make_order(
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

fn known_job(state: &DaemonState, order: &JobOrder) -> Result<Option<JobView>, FailureReport> {
    let Some(entry) = state.ledger.key(&order.team, &order.key) else {
        return Ok(None);
    };
    let known = match &entry.state {
        KeyState::Job { job } if entry.service == order.service => state
            .ledger
            .jobs
            .get(job)
            .map(|record| job_view(*job, record, true)),
        _ => None,
    };
    known.map(Some).ok_or_else(|| {
        FailureReport::new(
            ErrorKind::KeyConflict,
            "the key was used for different work",
        )
    })
}

fn check_admission(
    state: &DaemonState,
    file: &TeamFile,
    at: ClockTime,
) -> Result<(), FailureReport> {
    let limits = &state.settings.limits;
    if !state.reader.is_fresh(at, state.settings.timing.freshness) {
        let detail = "the log has not answered; nothing was accepted";
        return Err(FailureReport::new(ErrorKind::LogUnavailable, detail));
    }
    let overloaded = |detail: &str| Err(FailureReport::new(ErrorKind::Overloaded, detail));
    if state.ledger.waiting_of(&file.team) >= file.limits.waiting_jobs as usize {
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

fn wait_for_job(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    (team, job): (&TeamName, JobId),
    wait: TimeSpan,
    context: &mut StepContext<'_>,
) {
    let record = match find_job(state, credential, team, job) {
        Ok(record) => record,
        Err(report) => {
            context.fail(caller, report.kind, report.detail);
            return;
        }
    };
    let over = matches!(record.phase, JobPhase::Ended { .. });
    let full = state.callers.len() >= state.settings.limits.waiting_callers as usize;
    if over || full || state.shutdown.is_some() {
        context.reply(caller, CallerAnswer::Job(job_view(job, record, false)));
        return;
    }
    let until = context.at + wait.min(LONGEST_WAIT);
    state.callers.jobs.insert(caller, (job, until));
}

fn cancel(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    team: &TeamName,
    job: JobId,
    context: &mut StepContext<'_>,
) {
    let fresh = state
        .reader
        .is_fresh(context.at, state.settings.timing.freshness);
    let record = match find_job(state, credential, team, job) {
        Ok(record) => record,
        Err(report) => {
            context.fail(caller, report.kind, report.detail);
            return;
        }
    };
    if record.cancelled || matches!(record.phase, JobPhase::Ended { .. }) {
        context.reply(caller, CallerAnswer::Job(job_view(job, record, false)));
    } else if fresh {
        state.callers.records.insert(caller);
        let body = RecordBody::JobCancelled { job };
        state
            .outbox
            .push(context.at, body, RecordPurpose::Cancel { caller, job });
    } else {
        let detail = "the log has not answered; the job goes on";
        context.fail(caller, ErrorKind::LogUnavailable, detail);
    }
}

/// A change of team files as an operator asks for it.
struct ConfigChange<'a> {
    base: ConfigVersion,
    upsert: &'a [TeamFile],
    remove: &'a [TeamName],
    operator: &'a str,
}

fn publish(
    state: &mut DaemonState,
    caller: CallerId,
    credential: &CallerCredential,
    change: &ConfigChange<'_>,
    context: &mut StepContext<'_>,
) {
    if let Err(report) = check_change(state, credential, change, context.at) {
        context.fail(caller, report.kind, report.detail);
        return;
    }
    state.callers.records.insert(caller);
    let body = RecordBody::ConfigChanged {
        base: change.base,
        upsert: change.upsert.to_vec(),
        remove: change.remove.to_vec(),
        operator: change.operator.to_owned(),
    };
    state
        .outbox
        .push(context.at, body, RecordPurpose::Publish { caller });
}

fn check_change(
    state: &DaemonState,
    credential: &CallerCredential,
    change: &ConfigChange<'_>,
    at: ClockTime,
) -> Result<(), FailureReport> {
    require_operator(state, credential)?;
    check_ready(state)?;
    if !state.reader.is_fresh(at, state.settings.timing.freshness) {
        return Err(FailureReport::new(
            ErrorKind::LogUnavailable,
            "the log has not answered",
        ));
    }
    let in_force = &state.ledger.config;
    if change.base != in_force.version {
        let detail = format!(
            "{} published version {} first; the change was made against version {}",
            in_force.operator, in_force.version, change.base
        );
        return Err(FailureReport::new(ErrorKind::LostRace, detail));
    }
    if !state.outbox.has_room(&state.settings.limits) {
        return Err(FailureReport::new(
            ErrorKind::Overloaded,
            "too many records wait",
        ));
    }
    let mut teams = in_force.teams.clone();
    for team in change.remove {
        teams.shift_remove(team);
    }
    for file in change.upsert {
        teams.shift_remove(&file.team);
    }
    let workers: Vec<_> = state
        .members
        .workers
        .values()
        .map(|entry| &entry.info)
        .collect();
    let limits = &state.settings.limits;
    let slots = fleet::idle_slots(&workers, limits.request_slots);
    let offered = slots.values().map(|slot| &slot.offered);
    let bounds = CheckBounds::of_workers(offered, limits.gang_members);
    collection::check_change(&teams, change.upsert, &bounds)
        .map_err(|problems| FailureReport::new(ErrorKind::BadConfig, describe(&problems)))?;
    for file in change.upsert {
        teams.insert(file.team.clone(), file.clone());
    }
    guarantee::check_config(&teams, &slots)
        .map_err(|reason| FailureReport::new(ErrorKind::BadConfig, reason))
}

/// Returns the first problems of a change as one line.
fn describe(problems: &[FileProblem]) -> String {
    let lines = problems.iter().take(PROBLEMS_SHOWN);
    let lines: Vec<_> = lines
        .map(|problem| format!("{}: {}: {}", problem.file, problem.field, problem.message))
        .collect();
    lines.join("; ")
}

/// Answers the caller of a record that was read back.
pub fn settled(
    state: &mut DaemonState,
    caller: CallerId,
    settled: &SettledRecord,
    effect: &RecordEffect,
    context: &mut StepContext<'_>,
) {
    if !state.callers.records.swap_remove(&caller) {
        return;
    }
    match (&settled.record.body, effect) {
        (RecordBody::JobAccepted { order }, effect) => {
            if *effect == RecordEffect::Applied {
                context.count(MetricName::JobsAccepted, 1);
            }
            let duplicate = *effect != RecordEffect::Applied;
            answer_submission(state, caller, order, duplicate, context);
        }
        (RecordBody::JobCancelled { job }, _) => match state.ledger.jobs.get(job) {
            Some(record) => context.reply(caller, CallerAnswer::Job(job_view(*job, record, false))),
            None => context.fail(caller, ErrorKind::NotFound, format!("no job {job}")),
        },
        (RecordBody::ConfigChanged { .. }, RecordEffect::Applied) => {
            let version = state.ledger.config.version;
            context.reply(caller, CallerAnswer::Published { version });
        }
        (_, RecordEffect::Void(VoidReason::LostRace { winner, version })) => {
            let detail = format!("{winner} published version {version} first");
            context.fail(caller, ErrorKind::LostRace, detail);
        }
        _ => context.fail(caller, ErrorKind::OutcomeUnknown, "ask for the state"),
    }
}

fn answer_submission(
    state: &DaemonState,
    caller: CallerId,
    order: &JobOrder,
    duplicate: bool,
    context: &mut StepContext<'_>,
) {
    match known_job(state, order) {
        Ok(Some(mut view)) => {
            view.duplicate = duplicate;
            context.reply(caller, CallerAnswer::Job(view));
        }
        Ok(None) => context.fail(caller, ErrorKind::OutcomeUnknown, "ask again with the key"),
        Err(report) => context.fail(caller, report.kind, report.detail),
    }
}

/// Tells a caller that its record was never handed to the log.
pub fn withdrawn(state: &mut DaemonState, caller: CallerId, context: &mut StepContext<'_>) {
    if state.callers.records.swap_remove(&caller) {
        context.fail(
            caller,
            ErrorKind::LogUnavailable,
            "the log took no records in time",
        );
    }
}

/// Tells a caller that the outcome of its record is unknown for now.
pub fn overdue(state: &mut DaemonState, caller: CallerId, context: &mut StepContext<'_>) {
    if state.callers.records.swap_remove(&caller) {
        context.fail(
            caller,
            ErrorKind::OutcomeUnknown,
            "ask again with the same key",
        );
    }
}

/// Answers the callers who wait for a job that has ended.
pub fn job_ended(state: &mut DaemonState, job: JobId, context: &mut StepContext<'_>) {
    let waiting = |waiter: &(JobId, ClockTime)| waiter.0 == job;
    answer_waiters(state, waiting, context);
}

/// Answers callers who have waited for their job as long as they asked.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let at = context.at;
    let draining = state.shutdown.is_some();
    answer_waiters(state, |waiter| draining || at >= waiter.1, context);
}

fn answer_waiters(
    state: &mut DaemonState,
    test: impl Fn(&(JobId, ClockTime)) -> bool,
    context: &mut StepContext<'_>,
) {
    let due: Vec<(CallerId, JobId)> = state
        .callers
        .jobs
        .iter()
        .filter(|(_, waiter)| test(waiter))
        .map(|(caller, (job, _))| (*caller, *job))
        .collect();
    for (caller, job) in due {
        state.callers.jobs.swap_remove(&caller);
        match state.ledger.jobs.get(&job) {
            Some(record) => context.reply(caller, CallerAnswer::Job(job_view(job, record, false))),
            None => context.fail(caller, ErrorKind::NotFound, format!("no job {job}")),
        }
    }
}

/// Forgets a caller whose connection closed. A record on its way goes on.
pub fn caller_gone(state: &mut DaemonState, caller: CallerId) {
    state.callers.records.swap_remove(&caller);
    state.callers.jobs.swap_remove(&caller);
    domain::caller_gone(state, caller);
}
