//! What each input does to the state.

use crate::batch::book::BookChange;
use crate::batch::book::JobBook;
use crate::batch::dump;
use crate::batch::intake;
use crate::batch::message::BatchEffect;
use crate::batch::message::BatchInput;
use crate::batch::message::StoreStream;
use crate::batch::message::StreamChange;
use crate::batch::message::StreamOutcome;
use crate::batch::message::StreamRecord;
use crate::batch::message::WriteLane;
use crate::batch::message::WriteOutcome;
use crate::batch::orders;
use crate::batch::planner;
use crate::batch::record::BatchRecord;
use crate::batch::record::RecordKey;
use crate::batch::retention;
use crate::batch::round;
use crate::batch::settings::BatchSettings;
use crate::batch::state::BatchState;
use crate::batch::tail::TailNews;
use crate::batch::tail::TailPace;
use crate::batch::tail::TailPolling;
use crate::batch::term;
use crate::batch::writer::WriteNews;
use crate::context::StepContext;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::ids::BatchId;
use crate::units::TimeSpan;

/// Longest wait of a read of the batch topic. The silence of a planner shows in such steps.
const BATCH_WAIT: TimeSpan = TimeSpan(300);

/// Longest wait of a read of the operators' or the workers' topic.
const LONG_WAIT: TimeSpan = TimeSpan(1_000);

/// Pause between reads of the batch topic at a daemon that does not plan. Callers see states
/// this much later, and the store is read less often.
const FOLLOWER_PAUSE: TimeSpan = TimeSpan(100);

/// Size of an answer to a read in kilobytes.
const PAGE: u32 = 1_024;

/// Size of an answer to a read of the operators' topic in kilobytes. Large records come one by one,
/// since a reader that finds more than one page goes on with the newest records.
const OPERATOR_PAGE: u32 = 300;

/// Share of the bound on a new configuration, in sixteenths, after which a daemon reads it again
/// where it is large. A reader that has fallen behind needs one more read within the bound.
const POLL_SIXTEENTHS: u64 = 7;

/// Pause between reads of the workers' topic, which changes with every heartbeat.
const WORKER_PAUSE: TimeSpan = TimeSpan(300);

/// Share of the grace period, in tenths, after which a stopping daemon ends in any case.
const STOP_TENTHS: u64 = 7;

/// Time of an append from which it is logged.
const SLOW_APPEND: TimeSpan = TimeSpan(200);

/// Time that the balancer needs to notice that a stopping daemon is not ready.
const STOP_WAIT: TimeSpan = TimeSpan(2_500);

/// Handles one input.
pub fn apply(state: &mut BatchState, input: &BatchInput, context: &mut StepContext<'_>) {
    match input {
        BatchInput::Call { caller, call } => intake::call(state, *caller, call, context),
        BatchInput::Probe { caller } => {
            let is_ready = state.is_ready(context.at);
            context.push(ControlEffect::Batch(BatchEffect::Readiness {
                caller: *caller,
                is_ready,
            }));
        }
        BatchInput::Dump { caller } => {
            let dump = Box::new(dump::dump(state, context.at));
            let caller = *caller;
            context.push(ControlEffect::Batch(BatchEffect::Dumped { caller, dump }));
        }
        BatchInput::Read { stream, outcome } => read(state, *stream, outcome, context),
        BatchInput::Written { batch, outcome } => written(state, *batch, *outcome, context),
        BatchInput::Order { call, outcome } => orders::complete(state, *call, outcome, context),
    }
}

/// Handles the passing of time.
pub fn tick(state: &mut BatchState, context: &mut StepContext<'_>) {
    term::tick(state, context);
    intake::tick(state, context);
    retention::tick(state, context);
    if let Some(planner) = &mut state.planner {
        planner.is_dirty = true;
        planner.is_reconcile_due = true;
    }
    finish_stop(state, context);
}

/// Begins an orderly end.
pub fn stop(state: &mut BatchState, context: &mut StepContext<'_>) {
    if state.stopping.is_some() {
        return;
    }
    context.info(LogTarget::Process, "outcome=stopping");
    state.stopping = Some(context.at);
    context.push(ControlEffect::Batch(BatchEffect::CloseCallers));
    term::release(state, context);
}

/// Takes changed settings.
pub fn reload(state: &mut BatchState, settings: &BatchSettings, context: &mut StepContext<'_>) {
    let is_changed = state.settings != *settings;
    context.info(
        LogTarget::Process,
        format!("outcome=reloaded changed={is_changed}"),
    );
    state.settings = settings.clone();
}

/// Sends what has become due: orders, placements, appends and reads.
pub fn settle(state: &mut BatchState, context: &mut StepContext<'_>) {
    orders::tick(state, context);
    round::run(state, context);
    let may_write =
        state.planner.is_none() || state.stopping.is_some() || state.is_book_current(context.at);
    if let Some(lane) = term::lane(state).filter(|_| may_write) {
        state.planner_lane.flush(lane, context);
    }
    state.intake_lane.flush(WriteLane::Intake, context);
    follow(state, context);
}

fn follow(state: &mut BatchState, context: &mut StepContext<'_>) {
    let pace = batch_pace(state);
    state.batch_tail.follow(pace, context);
    let pace = operator_pace(state);
    state.operator_tail.follow(pace, context);
    if state.planner.is_some() {
        state.worker_tail.follow(worker_pace(), context);
    }
}

fn batch_pace(state: &BatchState) -> TailPace {
    let pause = if state.planner.is_some() || state.term.is_claimed() {
        TimeSpan(0)
    } else {
        FOLLOWER_PAUSE
    };
    TailPace {
        wait: BATCH_WAIT,
        pause,
        page: PAGE,
        polling: None,
    }
}

fn operator_pace(state: &BatchState) -> TailPace {
    let interval = TimeSpan(state.settings.config_apply.0 * POLL_SIXTEENTHS / 16);
    TailPace {
        wait: LONG_WAIT,
        pause: TimeSpan(0),
        page: OPERATOR_PAGE,
        polling: Some(TailPolling {
            interval,
            phase: term::share(&state.daemon, interval),
        }),
    }
}

const fn worker_pace() -> TailPace {
    TailPace {
        wait: LONG_WAIT,
        pause: WORKER_PAUSE,
        page: PAGE,
        polling: None,
    }
}

fn read(
    state: &mut BatchState,
    stream: StoreStream,
    outcome: &StreamOutcome,
    context: &mut StepContext<'_>,
) {
    match stream {
        StoreStream::Batch => {
            let pace = batch_pace(state);
            match state.batch_tail.take(outcome, pace, context) {
                TailNews::Nothing => {}
                TailNews::Loaded(records) => load_book(state, &records, context),
                TailNews::Changes(records) => batch_changes(state, records, context),
            }
        }
        StoreStream::Operator => {
            let pace = operator_pace(state);
            match state.operator_tail.take(outcome, pace, context) {
                TailNews::Nothing => {}
                TailNews::Loaded(records) => {
                    state.domains_out.clear();
                    operator_changes(state, &records, context);
                }
                TailNews::Changes(records) => operator_changes(state, records, context),
            }
        }
        StoreStream::Workers => match state.worker_tail.take(outcome, worker_pace(), context) {
            TailNews::Nothing => {}
            TailNews::Loaded(records) => planner::load_workers(state, &records, context),
            TailNews::Changes(records) => planner::apply_worker_changes(state, records, context),
        },
    }
}

/// A book that was loaded anew lacks the order of the changes, so a planner begins a new term.
fn load_book(state: &mut BatchState, records: &[StreamRecord], context: &mut StepContext<'_>) {
    if state.planner.is_some() {
        term::resign(state, "the book was loaded anew", context);
        state.term.reclaim();
    }
    let readable = records.iter().filter_map(|record| match &record.change {
        StreamChange::Batch(batch) => Some((record.offset, BatchRecord::clone(batch))),
        _ => None,
    });
    let readable: Vec<(u64, BatchRecord)> = readable.collect();
    state.book = JobBook::load(&readable);
    for job in state.book.jobs.keys() {
        state.intake.read_back(*job);
    }
    let line = format!("outcome=loaded jobs={}", state.book.jobs.len());
    context.info(LogTarget::Log, line);
}

fn batch_changes(state: &mut BatchState, records: &[StreamRecord], context: &mut StepContext<'_>) {
    for record in records {
        match &record.change {
            StreamChange::Batch(batch) => {
                if batch.key.is_planners() {
                    state.term.sign_of_life(context.at);
                }
                let change = state.book.apply(record.offset, batch);
                book_changed(state, change, context);
            }
            StreamChange::Unreadable { key, reason } => {
                let line = format!("key={key:?} outcome=unreadable reason={reason:?}");
                context.warn(LogTarget::Log, line);
            }
            StreamChange::Catalog(_)
            | StreamChange::Domain { .. }
            | StreamChange::Worker { .. } => {}
        }
    }
}

fn book_changed(state: &mut BatchState, change: BookChange, context: &mut StepContext<'_>) {
    match change {
        BookChange::None => {}
        BookChange::Accepted(job) => {
            state.intake.read_back(job);
            planner::apply_job(state, job);
        }
        BookChange::Cancelled(job) | BookChange::Phase(job) => planner::apply_job(state, job),
        BookChange::Task(task) => planner::apply_task(state, &task, context),
        BookChange::Term => term::read_back(state, context),
    }
}

fn operator_changes(
    state: &mut BatchState,
    records: &[StreamRecord],
    context: &mut StepContext<'_>,
) {
    for record in records {
        match &record.change {
            // Versions only rise within one process, whatever order they are read in.
            StreamChange::Catalog(catalog) if catalog.version > state.catalog.version => {
                let line = format!(
                    "version={} queues={} teams={} outcome=in_force",
                    catalog.version,
                    catalog.queues.len(),
                    catalog.teams.len()
                );
                context.info(LogTarget::Config, line);
                state.catalog = catalog.as_ref().clone();
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
            StreamChange::Catalog(_) | StreamChange::Batch(_) | StreamChange::Worker { .. } => {}
        }
    }
    if let Some(planner) = &mut state.planner {
        planner.is_dirty = true;
    }
}

fn written(
    state: &mut BatchState,
    batch: BatchId,
    outcome: WriteOutcome,
    context: &mut StepContext<'_>,
) {
    let at = context.at;
    if let Some(news) = state.intake_lane.take(batch, outcome, false, at) {
        note_append("intake", &news, state.intake_lane.len(), context);
        confirmed(state, &news, context);
        intake::written(state, &news, context);
        return;
    }
    if let Some(news) = state.planner_lane.take(batch, outcome, true, at) {
        state.term.written(&news);
        note_append("planner", &news, state.planner_lane.len(), context);
        confirmed(state, &news, context);
        if news.is_fenced {
            term::resign(state, "the store has seen a newer epoch", context);
        }
    }
}

/// Logs an append that took long, with what it holds up.
fn note_append(lane: &str, news: &WriteNews, waiting: usize, context: &mut StepContext<'_>) {
    if news.is_stored && news.took < SLOW_APPEND {
        return;
    }
    let line = format!(
        "lane={lane} outcome=append stored={} took_ms={} records={} waiting={waiting}",
        news.is_stored,
        news.took,
        news.records.len()
    );
    context.info(LogTarget::Log, line);
}

/// Acts on records as soon as their append is confirmed. A claim of the term is left to be read
/// back, because two claims of one term get the same answer.
fn confirmed(state: &mut BatchState, news: &WriteNews, context: &mut StepContext<'_>) {
    for (offset, record) in &news.records {
        if record.key == RecordKey::Term {
            continue;
        }
        let change = state.book.apply_confirmed(*offset, record);
        book_changed(state, change, context);
    }
}

/// Ends the process once its callers are answered and the balancer had time to turn away.
fn finish_stop(state: &BatchState, context: &mut StepContext<'_>) {
    let Some(since) = state.stopping else { return };
    let waited: TimeSpan = context.at.since(since);
    let grace = u64::try_from(state.settings.grace.as_millis()).unwrap_or(u64::MAX);
    let longest = TimeSpan(grace / 10 * STOP_TENTHS);
    let is_idle = state.intake.is_idle() && state.planner_lane.is_empty();
    if waited >= longest || (is_idle && waited >= STOP_WAIT.min(longest)) {
        context.push(ControlEffect::Exit);
    }
}
