//! Validation of a set of team files.
//!
//! The daemon that receives a change also checks that the guarantees of all teams fit on the
//! workers. That check is not part of this module because only a daemon has the VM list.

use indexmap::IndexMap;
use serde_json::Value;

use crate::config::GangAdjacency;
use crate::config::GuaranteedShape;
use crate::config::KeyDigest;
use crate::config::ResourceDemand;
use crate::config::ServiceSpec;
use crate::config::TeamFile;
use crate::config::TeamLimits;
use crate::config::WorkKind;
use crate::document::FieldPath;
use crate::document::FileProblem;
use crate::document::JsonDocument;
use crate::document::file_problem;
use crate::ids::TeamName;
use crate::ids::check_name;
use crate::units::format_span;

/// Largest size of one team file in bytes. One log record can hold several files.
pub const MAX_FILE_BYTES: usize = 64 << 10;

/// Largest number of tasks in one guarantee: the number of tasks that the system is designed to run
/// concurrently. It also bounds the cost of laying out the guarantees.
const MAX_GUARANTEED_TASKS: u32 = 16_000;

/// UTF-8 encoding of the byte order mark, which JSON forbids.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// The unparsed content of a team file.
#[derive(Clone, Copy, Debug)]
pub struct SourceFile<'f> {
    /// Name of the file in reported problems.
    pub name: &'f str,
    /// The content, not yet checked for size and encoding.
    pub bytes: &'f [u8],
}

/// Upper bounds that the workers of a deployment set for a team file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckBounds {
    /// The most that jobs can use on one worker, for each resource.
    pub worker: ResourceDemand,
    /// Largest number of members in a gang.
    pub gang_members: u32,
}

impl CheckBounds {
    /// Returns the bounds for workers that offer these resources to jobs, or the default bounds if
    /// there are no workers.
    #[must_use]
    pub fn of_workers<'w>(
        offered: impl IntoIterator<Item = &'w ResourceDemand>,
        gang_members: u32,
    ) -> Self {
        let largest = offered
            .into_iter()
            .copied()
            .reduce(|one, other| ResourceDemand {
                slots: one.slots.max(other.slots),
                accelerators: one.accelerators.max(other.accelerators),
                cores: one.cores.max(other.cores),
                memory_mib: one.memory_mib.max(other.memory_mib),
            });
        Self {
            worker: largest.unwrap_or(Self::default().worker),
            gang_members,
        }
    }
}

impl Default for CheckBounds {
    /// Returns bounds for workers with 8 slots, of which 2 are reserved for short requests, 8
    /// accelerators, 64 cores and 256 GiB of memory.
    fn default() -> Self {
        Self {
            worker: ResourceDemand {
                slots: 6,
                accelerators: 8,
                cores: 64,
                memory_mib: 256 << 10,
            },
            gang_members: 64,
        }
    }
}

/// Parses and validates team files, and returns them by team name in the order of the files.
///
/// # Errors
///
/// Returns all problems of all files, ordered by file and position.
pub fn check(
    files: &[SourceFile<'_>],
    bounds: &CheckBounds,
) -> Result<IndexMap<TeamName, TeamFile>, Vec<FileProblem>> {
    check_with_existing(files, bounds, KnownTeams::new())
}

/// Validates the files of a change, which are already parsed, together with the `unchanged` teams
/// of the configuration. Problems carry the team's name instead of a file name.
///
/// # Errors
///
/// Returns all problems of all changed files.
pub fn check_change(
    unchanged: &IndexMap<TeamName, TeamFile>,
    upsert: &[TeamFile],
    bounds: &CheckBounds,
) -> Result<(), Vec<FileProblem>> {
    let encode = |team: &TeamFile| serde_json::to_vec(team).unwrap_or_default();
    let texts: Vec<_> = upsert.iter().map(encode).collect();
    let files: Vec<_> = upsert
        .iter()
        .zip(&texts)
        .map(|(team, bytes)| SourceFile {
            name: team.team.as_str(),
            bytes,
        })
        .collect();
    let known = unchanged.values().map(|team| {
        (
            team.team.clone(),
            (team.key_sha256.clone(), "the version in force"),
        )
    });
    check_with_existing(&files, bounds, known.collect()).map(|_| ())
}

/// Keys of the teams validated so far, and the files that declare them.
type KnownTeams<'f> = IndexMap<TeamName, (KeyDigest, &'f str)>;

fn check_with_existing<'f>(
    files: &[SourceFile<'f>],
    bounds: &CheckBounds,
    mut known: KnownTeams<'f>,
) -> Result<IndexMap<TeamName, TeamFile>, Vec<FileProblem>> {
    let mut teams = IndexMap::new();
    let mut problems = Vec::new();
    for file in files {
        match check_file(file, bounds, &known) {
            Ok(team) => {
                known.insert(team.team.clone(), (team.key_sha256.clone(), file.name));
                teams.insert(team.team.clone(), team);
            }
            Err(found) => problems.extend(found),
        }
    }
    if problems.is_empty() {
        Ok(teams)
    } else {
        Err(problems)
    }
}

fn check_file(
    file: &SourceFile<'_>,
    bounds: &CheckBounds,
    known: &KnownTeams<'_>,
) -> Result<TeamFile, Vec<FileProblem>> {
    let text = check_encoding(file).map_err(|problem| vec![problem])?;
    let mut document = JsonDocument::parse(file.name, text).map_err(|problem| vec![problem])?;
    let team = document.deserialize::<TeamFile>(&template());
    if let Some(team) = &team {
        check_team(&mut document, team, bounds);
        check_unique(&mut document, team, known);
    }
    let problems = document.into_problems();
    match team {
        Some(team) if problems.is_empty() => Ok(team),
        _ => Err(problems),
    }
}

fn check_encoding<'f>(file: &SourceFile<'f>) -> Result<&'f str, FileProblem> {
    if file.bytes.len() > MAX_FILE_BYTES {
        let message = format!("the file is larger than {MAX_FILE_BYTES} bytes");
        return Err(file_problem(file.name, &message));
    }
    if file.bytes.starts_with(BYTE_ORDER_MARK) {
        let message = "the file starts with a byte order mark, which JSON does not allow";
        return Err(file_problem(file.name, message));
    }
    std::str::from_utf8(file.bytes).map_err(|error| {
        let before = &file.bytes[..error.valid_up_to()];
        let line = before.iter().filter(|&&byte| byte == b'\n').count() + 1;
        FileProblem {
            line: u32::try_from(line).unwrap_or(u32::MAX),
            ..file_problem(file.name, "the line is not UTF-8")
        }
    })
}

/// Returns a valid team file that supplies substitutes for invalid fields.
fn template() -> Value {
    let demand = ResourceDemand::one_slot();
    serde_json::json!({
        "team": "team",
        "key_sha256": KeyDigest::of(""),
        "weight": 1,
        "guarantees": [{ "workers": 1, "per_worker": demand, "same_rack": false, "count": 1 }],
        "limits": TeamLimits::default(),
        "services": {
            "service": {
                "work": WorkKind::Job,
                "repeatable": true,
                "urgent": false,
                "preemptible": false,
                "priority": 0,
                "members": 1,
                "demand": demand,
                "adjacency": GangAdjacency::default(),
                "spread_domains": false,
                "run_time": "1 s",
                "deadline": null,
            },
        },
    })
}

fn check_team(document: &mut JsonDocument<'_>, team: &TeamFile, bounds: &CheckBounds) {
    let root = FieldPath::default();
    if let Err(message) = check_name(team.team.as_str()) {
        document.report(&root.key("team"), message);
    }
    if !team.key_sha256.is_well_formed() {
        document.report(&root.key("key_sha256"), KeyDigest::FORM);
    }
    report_if_zero(document, &root.key("weight"), team.weight);
    check_limits(document, &team.limits);
    for (index, shape) in team.guarantees.iter().enumerate() {
        check_shape(
            document,
            &root.key("guarantees").index(index),
            shape,
            bounds,
        );
    }
    let services = root.key("services");
    if team.services.is_empty() {
        document.report(&services, "a team needs at least one service");
    }
    for (name, service) in &team.services {
        let path = services.key(name.as_str());
        if let Err(message) = check_name(name.as_str()) {
            document.report(&path, message);
        }
        check_service(document, &path, service, bounds);
    }
}

fn check_unique(document: &mut JsonDocument<'_>, team: &TeamFile, known: &KnownTeams<'_>) {
    let root = FieldPath::default();
    if let Some((_, file)) = known.get(&team.team) {
        let message = format!("{} is declared in {file} as well", team.team);
        document.report(&root.key("team"), message);
        return;
    }
    let has_same_key = |(_, (key, _)): &(&TeamName, &(KeyDigest, &str))| *key == team.key_sha256;
    if let Some((other, (_, file))) = known.iter().find(has_same_key) {
        let message = format!("{other} in {file} has the same key");
        document.report(&root.key("key_sha256"), message);
    }
}

fn check_limits(document: &mut JsonDocument<'_>, limits: &TeamLimits) {
    let path = FieldPath::default().key("limits");
    report_if_zero(document, &path.key("concurrency"), limits.concurrency);
    report_if_zero(
        document,
        &path.key("rate_per_second"),
        limits.rate_per_second,
    );
    report_if_zero(document, &path.key("waiting_jobs"), limits.waiting_jobs);
}

fn check_shape(
    document: &mut JsonDocument<'_>,
    path: &FieldPath,
    shape: &GuaranteedShape,
    bounds: &CheckBounds,
) {
    report_if_zero(document, &path.key("workers"), shape.workers);
    report_if_zero(document, &path.key("count"), shape.count);
    if shape.workers > bounds.gang_members {
        let (workers, bound) = (shape.workers, bounds.gang_members);
        let message = format!("{workers} is above {bound}, the largest gang");
        document.report(&path.key("workers"), message);
    }
    if shape.count.saturating_mul(shape.workers) > MAX_GUARANTEED_TASKS {
        let message = format!(
            "{} shapes hold more than {MAX_GUARANTEED_TASKS} tasks",
            shape.count
        );
        document.report(&path.key("count"), message);
    }
    check_demand(document, &path.key("per_worker"), &shape.per_worker, bounds);
}

fn check_demand(
    document: &mut JsonDocument<'_>,
    path: &FieldPath,
    demand: &ResourceDemand,
    bounds: &CheckBounds,
) {
    report_if_zero(document, &path.key("slots"), demand.slots);
    let worker = &bounds.worker;
    let amounts = [
        ("slots", demand.slots, worker.slots),
        ("accelerators", demand.accelerators, worker.accelerators),
        ("cores", demand.cores, worker.cores),
        ("memory_mib", demand.memory_mib, worker.memory_mib),
    ];
    for (field, amount, bound) in amounts {
        if amount > bound {
            let message = format!("{amount} is above {bound}, what jobs get on the largest worker");
            document.report(&path.key(field), message);
        }
    }
}

fn check_service(
    document: &mut JsonDocument<'_>,
    path: &FieldPath,
    service: &ServiceSpec,
    bounds: &CheckBounds,
) {
    report_if_zero(document, &path.key("members"), service.members);
    check_times(document, path, service);
    match service.work {
        WorkKind::Job => check_job(document, path, service, bounds),
        WorkKind::Request => check_request(document, path, service),
    }
}

fn check_times(document: &mut JsonDocument<'_>, path: &FieldPath, service: &ServiceSpec) {
    if service.run_time.0 == 0 {
        document.report(&path.key("run_time"), "must be positive");
    }
    let deadline = path.key("deadline");
    match service.deadline {
        Some(span) if span.0 == 0 => document.report(&deadline, "must be positive"),
        Some(span) if span < service.run_time && !document.is_reported(&path.key("run_time")) => {
            let (span, run_time) = (format_span(span), format_span(service.run_time));
            let message = format!("{span} is below run_time ({run_time}): the work cannot meet it");
            document.report(&deadline, message);
        }
        _ => {}
    }
}

fn check_job(
    document: &mut JsonDocument<'_>,
    path: &FieldPath,
    service: &ServiceSpec,
    bounds: &CheckBounds,
) {
    check_demand(document, &path.key("demand"), &service.demand, bounds);
    if service.members > bounds.gang_members {
        let (members, bound) = (service.members, bounds.gang_members);
        let message = format!("{members} is above {bound}, the largest gang");
        document.report(&path.key("members"), message);
    }
    if service.preemptible && !service.repeatable {
        let message = "work that is not repeatable cannot be preempted, because it would run again";
        document.report(&path.key("preemptible"), message);
    }
    if service.spread_domains && service.adjacency == GangAdjacency::SameRack {
        let message = "a gang in one rack cannot be spread over failure domains";
        document.report(&path.key("spread_domains"), message);
    }
}

/// Reports fields that apply to jobs only.
fn check_request(document: &mut JsonDocument<'_>, path: &FieldPath, service: &ServiceSpec) {
    let job_fields = [
        (
            "members",
            service.members > 1,
            "a short request has no gang",
        ),
        (
            "demand",
            service.demand != ResourceDemand::one_slot(),
            "a short request takes one slot and nothing else",
        ),
        (
            "preemptible",
            service.preemptible,
            "a short request is never preempted",
        ),
        (
            "adjacency",
            service.adjacency != GangAdjacency::default(),
            "a short request has no gang",
        ),
        (
            "spread_domains",
            service.spread_domains,
            "a short request has no gang",
        ),
    ];
    for (field, is_wrong, message) in job_fields {
        if is_wrong {
            document.report(&path.key(field), message);
        }
    }
}

fn report_if_zero(document: &mut JsonDocument<'_>, path: &FieldPath, amount: u32) {
    if amount == 0 {
        document.report(path, "must not be zero");
    }
}
