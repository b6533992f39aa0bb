//! The reducer of the batch subsystem: one function for each kind of input.

use crate::batch::backlog;
use crate::batch::catalog::QueueCatalog;
use crate::batch::cold_start;
use crate::batch::dump;
use crate::batch::extension;
use crate::batch::intake;
use crate::batch::job::JobKey;
use crate::batch::membership;
use crate::batch::message::BatchEffect;
use crate::batch::message::BatchInput;
use crate::batch::message::StoreStream;
use crate::batch::message::StreamChange;
use crate::batch::message::StreamOutcome;
use crate::batch::message::StreamRecord;
use crate::batch::message::WriteOutcome;
use crate::batch::message::WriterIdentity;
use crate::batch::orders;
use crate::batch::planner;
use crate::batch::reader::PollSchedule;
use crate::batch::reader::ReadPolicy;
use crate::batch::reader::StreamUpdate;
use crate::batch::record::BatchRecord;
use crate::batch::record::RecordKey;
use crate::batch::retention;
use crate::batch::round;
use crate::batch::settings::BatchSettings;
use crate::batch::state::BatchState;
use crate::batch::term;
use crate::batch::view::BatchView;
use crate::batch::view::ViewChange;
use crate::batch::writer::WriteQueue;
use crate::batch::writer::WriteSummary;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::BatchId;
use crate::units::TimeSpan;

/// Long-poll wait of a read of the batch topic. Daemons notice a silent planner in steps of this
/// length.
const BATCH_READ_WAIT: TimeSpan = TimeSpan(300);

/// Long-poll wait of a read of the operators' or the workers' topic.
const LONG_READ_WAIT: TimeSpan = TimeSpan(1_000);

/// Pause between reads of the batch topic at a daemon that is not the planner. It reduces the load
/// on the store at the cost of as much delay before callers see a change.
const FOLLOWER_PAUSE: TimeSpan = TimeSpan(100);

/// Maximum size of the response to a read, in kilobytes.
const PAGE_KB: u32 = 1_024;

/// Maximum size of the response to a read of the operators' topic, in kilobytes. It holds one large
/// record: a reader that is behind by more than one page skips to the newest records.
const OPERATOR_PAGE_KB: u32 = 300;

/// Polling interval of a large configuration, in sixteenths of the time in which a new one must
/// apply. A reader that has fallen behind needs a second read within that time.
const POLL_SIXTEENTHS: u64 = 7;

/// Pause between reads of the workers' topic, which changes with every heartbeat of a worker.
const WORKER_PAUSE: TimeSpan = TimeSpan(300);

/// Share of the grace period, in tenths, after which a stopping daemon exits in any case.
const STOP_GRACE_TENTHS: u64 = 7;

/// Minimum duration of a stored append that is logged.
const SLOW_APPEND: TimeSpan = TimeSpan(200);

/// Time that the load balancer needs to notice that a stopping daemon is not ready.
const BALANCER_DELAY: TimeSpan = TimeSpan(2_500);

/// Applies one input to the state and appends the effects to carry out.
pub fn apply(state: &mut BatchState, input: &BatchInput, context: &mut StepContext<'_>) {
    match input {
        BatchInput::Call { caller, call } => intake::handle_call(state, *caller, call, context),
        BatchInput::Probe { caller } => {
            let is_ready = state.is_ready(context.at);
            context.push(ControlEffect::Batch(BatchEffect::RespondReadiness {
                caller: *caller,
                is_ready,
            }));
        }
        BatchInput::Dump { caller } => {
            let dump = Box::new(dump::dump(state, context.at));
            let caller = *caller;
            context.push(ControlEffect::Batch(BatchEffect::RespondDump {
                caller,
                dump,
            }));
        }
        BatchInput::Read { stream, outcome } => handle_read(state, *stream, outcome, context),
        BatchInput::Written { batch, outcome } => handle_write(state, *batch, *outcome, context),
        BatchInput::Order { call, outcome } => orders::complete(state, *call, outcome, context),
    }
}

/// Runs the work that depends on time only: elections, timeouts, retention and shutdown.
pub fn tick(state: &mut BatchState, context: &mut StepContext<'_>) {
    term::tick(state, context);
    intake::tick(state, context);
    retention::tick(state, context);
    extension::report(state, context);
    if let Some(planner) = &mut state.planner {
        planner.is_dirty = true;
        planner.is_reconcile_due = true;
        planner.is_scan_due = true;
    }
    finish_stop(state, context);
}

/// Begins a graceful shutdown: closes callers' connections and releases the planner's term.
pub fn stop(state: &mut BatchState, context: &mut StepContext<'_>) {
    if state.stopping.is_some() {
        return;
    }
    context.info(LogTarget::Process, "outcome=stopping");
    state.stopping = Some(context.at);
    context.push(ControlEffect::Batch(BatchEffect::CloseConnections));
    term::release(state, context);
}

/// Replaces the settings.
pub fn reload(state: &mut BatchState, settings: &BatchSettings, context: &mut StepContext<'_>) {
    let is_changed = state.settings != *settings;
    context.info(
        LogTarget::Process,
        format!("outcome=reloaded changed={is_changed}"),
    );
    state.settings = settings.clone();
}

/// Runs a planning round if one is due, and sends the orders, appends and reads that are due.
pub fn settle(state: &mut BatchState, context: &mut StepContext<'_>) {
    orders::tick(state, context);
    round::run(state, context);
    let may_write =
        state.planner.is_none() || state.stopping.is_some() || state.is_view_current(context.at);
    if let Some(writer) = term::writer_identity(state).filter(|_| may_write) {
        state.planner_queue.flush(writer, context);
    }
    state.intake_queue.flush(WriterIdentity::Intake, context);
    send_reads(state, context);
}

fn send_reads(state: &mut BatchState, context: &mut StepContext<'_>) {
    let policy = batch_policy(state);
    if cold_start::may_load(state, context) {
        state.batch_reader.send_read(policy, context);
    }
    let policy = operator_policy(state);
    state.operator_reader.send_read(policy, context);
    if state.planner.is_some() {
        state.worker_reader.send_read(worker_policy(), context);
    }
}

fn batch_policy(state: &BatchState) -> ReadPolicy {
    let pause = if state.planner.is_some() || state.election.is_claimed() {
        TimeSpan(0)
    } else {
        FOLLOWER_PAUSE
    };
    ReadPolicy {
        wait: BATCH_READ_WAIT,
        pause,
        page_kb: PAGE_KB,
        polling: None,
    }
}

fn operator_policy(state: &BatchState) -> ReadPolicy {
    let interval = TimeSpan(state.settings.config_apply.0 * POLL_SIXTEENTHS / 16);
    ReadPolicy {
        wait: LONG_READ_WAIT,
        pause: TimeSpan(0),
        page_kb: OPERATOR_PAGE_KB,
        polling: Some(PollSchedule {
            interval,
            phase: term::stagger_offset(&state.daemon, interval),
        }),
    }
}

const fn worker_policy() -> ReadPolicy {
    ReadPolicy {
        wait: LONG_READ_WAIT,
        pause: WORKER_PAUSE,
        page_kb: PAGE_KB,
        polling: None,
    }
}

fn handle_read(
    state: &mut BatchState,
    stream: StoreStream,
    outcome: &StreamOutcome,
    context: &mut StepContext<'_>,
) {
    match stream {
        StoreStream::Batch => {
            let policy = batch_policy(state);
            match state.batch_reader.apply(outcome, policy, context) {
                StreamUpdate::Unchanged => {}
                StreamUpdate::Snapshot(records) => load_view(state, &records, context),
                StreamUpdate::Changes(records) => apply_batch_records(state, records, context),
            }
        }
        StoreStream::Operator => {
            let policy = operator_policy(state);
            match state.operator_reader.apply(outcome, policy, context) {
                StreamUpdate::Unchanged => {}
                StreamUpdate::Snapshot(records) => {
                    state.domains_out.clear();
                    apply_operator_records(state, &records, context);
                }
                StreamUpdate::Changes(records) => apply_operator_records(state, records, context),
            }
        }
        StoreStream::Workers => {
            match state.worker_reader.apply(outcome, worker_policy(), context) {
                StreamUpdate::Unchanged => {}
                StreamUpdate::Snapshot(records) => {
                    membership::load_workers(state, &records, context)
                }
                StreamUpdate::Changes(records) => {
                    membership::apply_worker_changes(state, records, context)
                }
            }
        }
    }
}

/// Replaces the view by a snapshot. A snapshot has no order of changes, so a planner resigns and
/// claims a new term.
fn load_view(state: &mut BatchState, records: &[StreamRecord], context: &mut StepContext<'_>) {
    if state.planner.is_some() {
        term::resign(state, "the batch topic was reloaded", context);
        state.election.allow_reclaim();
    }
    state.election.set_form_unknown(false);
    let mut readable: Vec<(u64, BatchRecord)> = Vec::with_capacity(records.len());
    for record in records {
        match &record.change {
            StreamChange::Batch(batch) => {
                readable.push((record.offset, BatchRecord::clone(batch)));
            }
            StreamChange::Unreadable { key, reason } => log_unreadable(key, reason, context),
            StreamChange::UnknownTermForm { form } => {
                handle_unknown_form(state, *form, context);
            }
            StreamChange::Catalog(_)
            | StreamChange::Domain { .. }
            | StreamChange::Worker { .. } => {}
        }
    }
    state.view = BatchView::load(&readable);
    if let Some(record) = &state.view.term {
        state.election.observe_term(record, context.at);
    }
    let jobs: Vec<JobKey> = state.view.jobs.keys().copied().collect();
    for job in jobs {
        state.view.note_end(job, context.at);
    }
    for job in state.view.jobs.keys() {
        state.intake.remove_confirmed(*job);
    }
    let line = format!("outcome=loaded jobs={}", state.view.jobs.len());
    context.info(LogTarget::Log, line);
}

/// Keeps this daemon from claiming the term, because a newer version plans with records that this
/// one cannot read.
fn handle_unknown_form(state: &mut BatchState, form: u8, context: &mut StepContext<'_>) {
    let line = format!("form={form} outcome=unknown_form claims=stopped");
    context.warn(LogTarget::Term, line);
    term::resign(state, "the term has an unknown form", context);
    state.election.set_form_unknown(true);
}

fn log_unreadable(key: &str, reason: &str, context: &mut StepContext<'_>) {
    let line = format!("key={key:?} outcome=unreadable reason={reason:?}");
    context.warn(LogTarget::Log, line);
}

fn apply_batch_records(
    state: &mut BatchState,
    records: &[StreamRecord],
    context: &mut StepContext<'_>,
) {
    term::resign_if_replaced(state, records, context);
    for record in records {
        match &record.change {
            StreamChange::Batch(batch) => {
                let term = state.view.term.as_ref();
                let is_held = term.is_none_or(|term| term.holder.is_some());
                if is_held && batch.key.is_written_by_planner() {
                    state.election.record_planner_write(context.at);
                }
                let change = state.view.apply(record.offset, batch);
                handle_view_change(state, change, context);
                handle_read_back(state, record.offset, batch, context);
            }
            StreamChange::Unreadable { key, reason } => log_unreadable(key, reason, context),
            StreamChange::UnknownTermForm { form } => {
                handle_unknown_form(state, *form, context);
            }
            StreamChange::Catalog(_)
            | StreamChange::Domain { .. }
            | StreamChange::Worker { .. } => {}
        }
    }
}

fn handle_view_change(state: &mut BatchState, change: ViewChange, context: &mut StepContext<'_>) {
    match change {
        ViewChange::None => {}
        ViewChange::Accepted(job) => {
            state.intake.remove_confirmed(job);
            planner::accept_job(state, job);
        }
        ViewChange::Cancelled(job) => {
            state.view.note_end(job, context.at);
            planner::apply_job(state, job);
        }
        ViewChange::Phase(job) => {
            state.view.note_end(job, context.at);
            backlog::note_phase(state, job, context.at);
            planner::apply_job(state, job);
        }
        ViewChange::Task(task) => planner::apply_task(state, &task, context),
        ViewChange::Term => term::handle_term_record(state, context),
    }
}

/// Completes the append in flight that the record shows to be stored.
fn handle_read_back(
    state: &mut BatchState,
    offset: u64,
    record: &BatchRecord,
    context: &mut StepContext<'_>,
) {
    let at = context.at;
    if let Some(summary) = state.planner_queue.handle_read(offset, record, at) {
        handle_planner_write(state, &summary, context);
    }
    if let Some(summary) = state.intake_queue.handle_read(offset, record, at) {
        handle_intake_write(state, &summary, context);
    }
}

fn apply_operator_records(
    state: &mut BatchState,
    records: &[StreamRecord],
    context: &mut StepContext<'_>,
) {
    for record in records {
        match &record.change {
            // An older version never replaces a newer one, whatever the order in which they are
            // read.
            StreamChange::Catalog(catalog) if catalog.version > state.catalog.version => {
                let line = format!(
                    "version={} queues={} teams={} outcome=in_force",
                    catalog.version,
                    catalog.queues.len(),
                    catalog.teams.len()
                );
                context.info(LogTarget::Config, line);
                let mut catalog = catalog.as_ref().clone();
                catalog.keep_values(&state.catalog);
                log_teams(&catalog, context);
                let is_first_weight = catalog.has_weights() && !state.catalog.has_weights();
                state.catalog = catalog;
                if is_first_weight {
                    planner::rebuild_job_rates(state);
                }
            }
            StreamChange::Domain { domain, is_out } => {
                let line = format!("domain={domain} out={is_out}");
                context.info(LogTarget::Config, line);
                if *is_out {
                    state.domains_out.insert(domain.clone());
                } else {
                    state.domains_out.shift_remove(domain);
                }
            }
            StreamChange::Unreadable { key, reason } => {
                let line = format!("key={key:?} outcome=unreadable reason={reason:?}");
                context.warn(LogTarget::Config, line);
            }
            StreamChange::Catalog(_)
            | StreamChange::Batch(_)
            | StreamChange::Worker { .. }
            | StreamChange::UnknownTermForm { .. } => {}
        }
    }
    if let Some(planner) = &mut state.planner {
        planner.is_dirty = true;
    }
}

/// Logs bad values of teams, and guarantees that exceed the cap of their team.
fn log_teams(catalog: &QueueCatalog, context: &mut StepContext<'_>) {
    for bad in &catalog.bad_values {
        let outcome = if bad.is_rounded { "rounded" } else { "ignored" };
        let line = format!(
            "team={} field={} value={:?} outcome={outcome}",
            bad.team,
            bad.field.name(),
            bad.value
        );
        context.warn(LogTarget::Config, line);
    }
    for team in catalog.teams.values() {
        if team.cap.gpu > 0 && team.guaranteed_gpu > team.cap.gpu {
            let line = format!(
                "team={} guaranteed_gpu={} cap_gpu={} outcome=guarantee_above_cap",
                team.name, team.guaranteed_gpu, team.cap.gpu
            );
            context.warn(LogTarget::Config, line);
        }
    }
}

fn handle_write(
    state: &mut BatchState,
    batch: BatchId,
    outcome: WriteOutcome,
    context: &mut StepContext<'_>,
) {
    let at = context.at;
    match outcome {
        WriteOutcome::Refused => context.update_metric(MetricName::AppendsRefused, 1),
        WriteOutcome::Unknown => context.update_metric(MetricName::AppendsUnknown, 1),
        WriteOutcome::Stored { .. }
        | WriteOutcome::Rejected
        | WriteOutcome::Fenced
        | WriteOutcome::Undelivered => {}
    }
    if let Some(summary) = state.intake_queue.handle(batch, outcome, false, at) {
        handle_intake_write(state, &summary, context);
    } else if let Some(summary) = state.planner_queue.handle(batch, outcome, true, at) {
        handle_planner_write(state, &summary, context);
    }
}

fn handle_intake_write(
    state: &mut BatchState,
    summary: &WriteSummary,
    context: &mut StepContext<'_>,
) {
    state.election.record_append(summary, context.at);
    log_append("intake", summary, &state.intake_queue, context);
    apply_confirmed(state, summary, context);
    intake::handle_write(state, summary, context);
}

fn handle_planner_write(
    state: &mut BatchState,
    summary: &WriteSummary,
    context: &mut StepContext<'_>,
) {
    state.election.handle_write(summary);
    log_append("planner", summary, &state.planner_queue, context);
    apply_confirmed(state, summary, context);
    if summary.is_fenced {
        term::resign(state, "the store has a newer epoch", context);
    }
    let mut rejected = summary.rejected_records.iter();
    if let Some(job) = rejected.find_map(|record| record.key.job()) {
        handle_rejected_job(state, job, summary.rejected_records.len(), context);
    }
}

/// Drops a job whose records the store can never take. The planner's runs and pending records
/// contain the placements that were not recorded, so it starts a new term, in which the job fails.
fn handle_rejected_job(
    state: &mut BatchState,
    job: JobKey,
    records: usize,
    context: &mut StepContext<'_>,
) {
    let line = format!("job={} outcome=rejected records={records}", job.text());
    context.warn(LogTarget::Log, line);
    state.rejected_jobs.insert(job);
    term::resign(state, "the store rejected an append", context);
    state.election.allow_reclaim();
}

/// Logs an append that failed or was slow, with the number of records that wait behind it and the
/// pause before the next append.
fn log_append(
    name: &str,
    summary: &WriteSummary,
    queue: &WriteQueue,
    context: &mut StepContext<'_>,
) {
    context.update_metric(MetricName::RecordsAppended, summary.records.len() as u64);
    if summary.is_stored && summary.elapsed < SLOW_APPEND {
        return;
    }
    let line = format!(
        "lane={name} outcome=append stored={} took_ms={} records={} waiting={} pause_ms={}",
        summary.is_stored,
        summary.elapsed,
        summary.records.len(),
        queue.len(),
        queue.pause()
    );
    context.info(LogTarget::Log, line);
}

/// Applies records to the view as soon as their append is confirmed. A term record is applied only
/// when it is read back, because the store confirms concurrent claims of one term to each claimant.
fn apply_confirmed(state: &mut BatchState, summary: &WriteSummary, context: &mut StepContext<'_>) {
    for (offset, record) in &summary.records {
        if record.key == RecordKey::Term {
            continue;
        }
        let change = state.view.apply_confirmed(*offset, record);
        handle_view_change(state, change, context);
    }
}

/// Exits once nothing is pending and the load balancer has had time to redirect callers, or at the
/// end of the time for a shutdown.
fn finish_stop(state: &BatchState, context: &mut StepContext<'_>) {
    let Some(since) = state.stopping else { return };
    let stopping_time: TimeSpan = context.at.since(since);
    let grace = u64::try_from(state.settings.grace.as_millis()).unwrap_or(u64::MAX);
    let max_time = TimeSpan(grace / 10 * STOP_GRACE_TENTHS);
    let is_idle = state.intake.is_idle() && state.planner_queue.is_empty();
    if stopping_time >= max_time || (is_idle && stopping_time >= BALANCER_DELAY.min(max_time)) {
        context.push(ControlEffect::Exit);
    }
}
