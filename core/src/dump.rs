//! Views of a daemon's state for operators. Each view is a consistent snapshot of the control
//! state, has a bounded size and contains no keys.

use serde_json::Value;
use serde_json::json;

use crate::config::TeamFile;
use crate::context::StepContext;
use crate::domain;
use crate::effect::DaemonView;
use crate::effect::MetricName;
use crate::effect::TeamView;
use crate::ids::JobId;
use crate::ledger::JobPhase;
use crate::member;
use crate::progress;
use crate::run::GangRun;
use crate::state::DaemonState;
use crate::term;
use crate::units::ClockTime;

/// Maximum number of entries of each table in a dump, which bounds its size.
const MAX_DUMP_ENTRIES: usize = 200;

/// Returns the status of all daemons, this one first.
#[must_use]
pub fn daemons(state: &DaemonState, at: ClockTime) -> Vec<DaemonView> {
    let own = DaemonView {
        daemon: state.settings.daemon.clone(),
        live: true,
        config: state.ledger.config.version,
        next: state.ledger.next,
        held_domains: domain::cordoned_domains(state),
    };
    let live = member::live_daemons(state, at);
    let others = state.members.daemons.iter().map(|(daemon, entry)| {
        let heartbeat = entry.heartbeat.as_ref();
        DaemonView {
            daemon: daemon.clone(),
            live: live.iter().any(|(name, _)| *name == daemon),
            config: heartbeat
                .map(|heartbeat| heartbeat.config)
                .unwrap_or_default(),
            next: heartbeat
                .map(|heartbeat| heartbeat.next)
                .unwrap_or_default(),
            held_domains: heartbeat
                .map(|heartbeat| heartbeat.held_domains.clone())
                .unwrap_or_default(),
        }
    });
    std::iter::once(own).chain(others).collect()
}

/// Returns the resource usage of all teams against their guarantees.
#[must_use]
pub fn teams(state: &DaemonState) -> Vec<TeamView> {
    let suspended = progress::suspended_shapes(state);
    let mut views: Vec<TeamView> = state
        .ledger
        .config
        .teams
        .values()
        .map(|file| team_view(state, file))
        .collect();
    let borrowed: u32 = views.iter().map(|view| view.borrowed).sum();
    let unused: u32 = views
        .iter()
        .map(|view| view.guaranteed.saturating_sub(view.used))
        .sum();
    for view in &mut views {
        view.suspended_shapes = suspended.get(&view.team).copied().unwrap_or(0);
        // Borrowed accelerators are attributed to teams in proportion to their unused guarantees.
        let own = view.guaranteed.saturating_sub(view.used);
        view.lent = (borrowed.min(unused) * own)
            .checked_div(unused)
            .unwrap_or(0);
    }
    views
}

fn team_view(state: &DaemonState, file: &TeamFile) -> TeamView {
    let guaranteed = file
        .guarantees
        .iter()
        .map(|shape| shape.count * shape.workers * shape.per_worker.accelerators)
        .sum::<u32>();
    let used = state
        .ledger
        .placed()
        .filter_map(|job| state.ledger.jobs.get(&job))
        .filter(|record| record.order.team == file.team)
        .map(|record| record.order.spec.members * record.order.spec.demand.accelerators)
        .sum::<u32>();
    TeamView {
        team: file.team.clone(),
        guaranteed,
        used,
        borrowed: used.saturating_sub(guaranteed),
        lent: 0,
        reclaiming: progress::reclaiming_accelerators(state, &file.team),
        waiting: u32::try_from(state.ledger.queued_count_of(&file.team)).unwrap_or(u32::MAX),
        suspended_shapes: 0,
    }
}

/// Updates the gauges of the ledger and the log. The log's age is absent before the first read.
pub fn report_gauges(state: &DaemonState, context: &mut StepContext<'_>) {
    let waiting = state.ledger.queued_count() as u64;
    let placed = state.ledger.placed_count() as u64;
    context.update_metric(MetricName::JobsWaiting, waiting);
    context.update_metric(MetricName::JobsPlaced, placed);
    if let Some(confirmed) = state.reader.confirmed_at {
        context.update_metric(MetricName::LogAge, context.at.since(confirmed).0);
    }
}

/// Returns a diagnostic dump of the state as JSON text.
#[must_use]
pub fn state_json(state: &DaemonState, at: ClockTime) -> String {
    let value = json!({
        "daemon": state.settings.daemon,
        "at_ms": at,
        "incarnation": state.outbox.writer().incarnation,
        "term": term_json(state, at),
        "log": {
            "next": state.ledger.next,
            "confirmed_age_ms": state.reader.confirmed_at.map(|confirmed| at.since(confirmed)),
            "loaded": state.reader.is_loaded,
            "unknown_records": state.ledger.unknown_records,
            "outbox": state.outbox.len(),
        },
        "config": {
            "version": state.ledger.config.version,
            "operator": state.ledger.config.operator,
            "teams": state.ledger.config.teams.keys().collect::<Vec<_>>(),
        },
        "daemons": daemons(state, at),
        "domains": domain::views(state, at),
        "jobs": {
            "queued": state.ledger.queued_count(),
            "placed": state.ledger.placed_count(),
            "known": state.ledger.jobs.len(),
            "first_queued": state.ledger.queued().take(MAX_DUMP_ENTRIES).collect::<Vec<_>>(),
            "first_placed": placed_json(state),
        },
        "keys": state.ledger.key_count(),
        "workers": {
            "known": state.members.workers.len(),
            "share": state.leases.entries.len(),
            "silent": crate::lease::silent_workers(state),
            "lost": crate::lease::lost_workers(state, at),
        },
        "planner": planner_json(state),
        "requests_open": state.requests.open.len(),
        "callers_waiting": state.callers.len(),
        "calls_open": state.calls.open_count(),
        "draining": state.shutdown.is_some(),
    });
    value.to_string()
}

fn term_json(state: &DaemonState, at: ClockTime) -> Value {
    json!({
        "number": state.ledger.term.number,
        "holder": state.ledger.term.holder.as_ref().map(|writer| &writer.daemon),
        "held_here": term::is_planner(state, at),
    })
}

fn placed_json(state: &DaemonState) -> Vec<Value> {
    let placed = state.ledger.placed().take(MAX_DUMP_ENTRIES);
    placed
        .filter_map(|job| state.ledger.jobs.get(&job).map(|record| (job, record)))
        .map(|(job, record)| {
            let workers = match &record.phase {
                JobPhase::Placed { workers, .. } => workers.len(),
                _ => 0,
            };
            json!({
                "job": job,
                "team": record.order.team,
                "service": record.order.service,
                "attempt": record.attempt,
                "members": workers,
            })
        })
        .collect()
}

fn planner_json(state: &DaemonState) -> Value {
    let runs = state.planner.in_transition.iter().take(MAX_DUMP_ENTRIES);
    let unsettled: Vec<Value> = runs
        .filter_map(|job| state.planner.runs.get(job).map(|run| run_json(*job, run)))
        .collect();
    json!({
        "term": state.planner.term,
        "attempts": state.planner.runs.len(),
        "unsettled": unsettled,
        "fenced": state
            .planner
            .fences
            .values()
            .filter(|fence| fence.confirmed_term.is_some())
            .count(),
    })
}

fn run_json(job: JobId, run: &GangRun) -> Value {
    json!({
        "job": job,
        "attempt": run.attempt,
        "stage": format!("{:?}", run.stage),
        "since_ms": run.stage_entered_at,
        "recorded": run.is_recorded,
        "unconfirmed_stops": run.unconfirmed_stops(),
    })
}
