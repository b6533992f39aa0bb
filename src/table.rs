//! Formats responses of the daemon as tables.

use std::io::Write;

use tabwriter::TabWriter;

use mustardpath_core::effect::DaemonView;
use mustardpath_core::effect::DomainView;
use mustardpath_core::effect::JobEnd;
use mustardpath_core::effect::JobView;
use mustardpath_core::effect::KeyView;
use mustardpath_core::effect::TeamView;
use mustardpath_core::units::format_span;

/// Formats rows of cells as a table with aligned columns.
#[must_use]
pub fn align(rows: &[Vec<String>]) -> String {
    let mut writer = TabWriter::new(Vec::new()).padding(2);
    for row in rows {
        // Writing to a vector does not fail.
        let _ = writeln!(writer, "{}", row.join("\t"));
    }
    let bytes = writer.into_inner().unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

fn row(cells: &[&dyn ToString]) -> Vec<String> {
    cells.iter().map(|cell| cell.to_string()).collect()
}

fn join_names<T: ToString>(names: &[T]) -> String {
    if names.is_empty() {
        return "-".to_owned();
    }
    let names: Vec<_> = names.iter().map(ToString::to_string).collect();
    names.join(" ")
}

const fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

/// Formats a job as a table with one row.
#[must_use]
pub fn job(view: &JobView) -> String {
    let end = view.end.as_ref().map_or_else(|| "-".to_owned(), job_end);
    align(&[
        row(&[
            &"JOB", &"SERVICE", &"KEY", &"PHASE", &"ATTEMPT", &"WORKERS", &"END",
        ]),
        row(&[
            &view.job,
            &view.service,
            &view.key,
            &view.phase,
            &view.attempt,
            &join_names(&view.workers),
            &end,
        ]),
    ])
}

fn job_end(end: &JobEnd) -> String {
    match end {
        JobEnd::Finished { result } if result.is_empty() => "finished".to_owned(),
        JobEnd::Finished { result } => format!("finished: {result}"),
        JobEnd::Failed { reason } => format!("failed: {reason}"),
        JobEnd::Cancelled => "cancelled".to_owned(),
        JobEnd::Refused { reason } => format!("refused: {reason}"),
        JobEnd::Unknown => "unknown: the job may have run and is not retried".to_owned(),
    }
}

/// Formats an idempotency key as a table with one row.
#[must_use]
pub fn key(view: &KeyView) -> String {
    let or_dash = |text: Option<String>| text.unwrap_or_else(|| "-".to_owned());
    align(&[
        row(&[&"KEY", &"STATE", &"JOB", &"STATUS", &"BODY", &"DETAIL"]),
        row(&[
            &view.key,
            &view.state,
            &or_dash(view.job.map(|job| job.to_string())),
            &or_dash(view.status.map(|status| status.to_string())),
            &or_dash(view.body.clone()),
            &or_dash(view.detail.clone()),
        ]),
    ])
}

/// Formats daemons as a table, in the given order.
#[must_use]
pub fn daemons(views: &[DaemonView]) -> String {
    let mut rows = vec![row(&[
        &"DAEMON",
        &"LIVE",
        &"VERSION",
        &"OFFSET",
        &"HELD OUT",
    ])];
    for view in views {
        rows.push(row(&[
            &view.daemon,
            &yes_or_no(view.live),
            &view.config,
            &view.next,
            &join_names(&view.held_domains),
        ]));
    }
    align(&rows)
}

/// Formats failure domains as a table, in the given order.
#[must_use]
pub fn domains(views: &[DomainView]) -> String {
    let mut rows = vec![row(&[
        &"DOMAIN",
        &"STATE",
        &"RECORDED",
        &"VERSION",
        &"OPERATOR",
        &"WORKERS",
        &"TASKS",
        &"EMPTY IN",
        &"NOT CONFIRMED BY",
    ])];
    for view in views {
        let empty_in = view.empty_in.map_or_else(|| "-".to_owned(), format_span);
        let operator = Some(view.operator.as_str()).filter(|name| !name.is_empty());
        rows.push(row(&[
            &view.domain,
            &(if view.out { "out" } else { "in" }),
            &yes_or_no(view.recorded),
            &view.version,
            &operator.unwrap_or("-"),
            &view.workers,
            &view.tasks,
            &empty_in,
            &join_names(&view.unconfirmed),
        ]));
    }
    align(&rows)
}

/// Formats the usage of teams as a table. Usage and guarantees are in accelerators.
#[must_use]
pub fn teams(views: &[TeamView]) -> String {
    let mut rows = vec![row(&[
        &"TEAM",
        &"GUARANTEED",
        &"USED",
        &"BORROWED",
        &"LENT",
        &"RECLAIMING",
        &"WAITING JOBS",
        &"SUSPENDED SHAPES",
    ])];
    for view in views {
        rows.push(row(&[
            &view.team,
            &view.guaranteed,
            &view.used,
            &view.borrowed,
            &view.lent,
            &view.reclaiming,
            &view.waiting,
            &view.suspended_shapes,
        ]));
    }
    align(&rows)
}
