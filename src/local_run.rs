//! A run of a complete deployment in one process: load, operator changes, and a summary of
//! invariant violations.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Receiver;
use crossbeam_channel::RecvTimeoutError;
use crossbeam_channel::Sender;
use indexmap::IndexMap;
use serde::Serialize;

use crate::daemon::RunningDaemon;
use crate::deployment;
use crate::deployment::DeploymentPlan;
use crate::local_cluster::CallerClient;
use crate::local_cluster::ClusterTuning;
use crate::local_cluster::LocalCluster;
use crate::local_load;
use crate::local_load::LoadCaller;
use crate::local_load::LoadEvent;
use crate::standin_platform::CheckerEvent;
use crate::standin_platform::PlatformCall;
use crate::standin_platform::PlatformSender;
use crate::tree;
use mustardpath_core::collection;
use mustardpath_core::collection::CheckBounds;
use mustardpath_core::collection::SourceFile;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::TeamFile;
use mustardpath_core::ids::TeamName;
use mustardpath_standin::checker::ViolationReport;

/// Time over which the mix of work is sent.
const SEND_WINDOW: Duration = Duration::from_secs(22);

/// Time after which work without a final response counts as lost, so that a run ends within a
/// minute.
const LOAD_TIMEOUT: Duration = Duration::from_secs(45);

/// Maximum time until all daemons are ready and the configuration is published.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time from the start of the load until the failure domain is taken out of service.
const TAKE_OUT_DELAY: Duration = Duration::from_secs(5);

/// Time for which the failure domain stays out of service.
const OUTAGE_DURATION: Duration = Duration::from_secs(6);

/// Time from the return of the failure domain until a daemon is stopped.
const STOP_DELAY: Duration = Duration::from_secs(3);

/// Time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum number of events that wait to be counted.
const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Interval of readiness checks and publish attempts while the daemons start.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Result of a run. The stand-in workers and the callers count invariant violations.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RunSummary {
    /// Name of the deployment.
    pub deployment: String,
    /// Jobs and requests that were accepted.
    pub accepted: u64,
    /// Accepted jobs and requests with a final response.
    pub answered: u64,
    /// Accepted jobs and requests whose final response reports an unknown outcome.
    pub unknown: u64,
    /// Jobs and requests that were refused as "not run".
    pub refused: u64,
    /// Connections that failed after a request was sent.
    pub broken_connections: u64,
    /// Tasks that started on workers.
    pub tasks: usize,
    /// Duration of the run in seconds.
    pub seconds: u64,
    /// Tasks that started in a failure domain that was out of service.
    pub late_starts: usize,
    /// Workers whose tasks used more than their capacity.
    pub over_capacity: usize,
    /// Work that ran although it was reported to its caller as not run.
    pub false_refusals: usize,
    /// Work without a final response.
    pub lost: usize,
    /// Non-repeatable work that ran more than once.
    pub run_twice: usize,
    /// Gangs that ran with only part of their members for longer than the bound.
    pub partial_gangs: usize,
    /// Responses that do not match their request or job.
    pub wrong_answers: usize,
}

impl RunSummary {
    /// Returns whether no invariant was violated.
    #[must_use]
    pub const fn has_no_violations(&self) -> bool {
        self.late_starts == 0
            && self.over_capacity == 0
            && self.false_refusals == 0
            && self.lost == 0
            && self.run_twice == 0
            && self.partial_gangs == 0
            && self.wrong_answers == 0
    }

    fn record(&mut self, event: LoadEvent) {
        match event {
            LoadEvent::Accepted => self.accepted += 1,
            LoadEvent::Answered => self.answered += 1,
            LoadEvent::Unknown => self.unknown += 1,
            LoadEvent::BrokenConnection { message } => {
                self.broken_connections += 1;
                log::warn!("broken connection: {message}");
            }
            LoadEvent::Refused { reason } => {
                self.refused += 1;
                log::warn!("refused: {reason}");
            }
            LoadEvent::Unanswered { key } => {
                self.lost += 1;
                log::warn!("no final response: {key}");
            }
            LoadEvent::OperatorStep { message } => log::info!("{message}"),
        }
    }

    fn add_report(&mut self, report: &ViolationReport) {
        for message in report.lines() {
            log::warn!("{message}");
        }
        // Callers and checker report the same lost jobs, so the larger count is used.
        self.lost = self.lost.max(report.lost.len());
        self.late_starts = report.late_starts.len();
        self.over_capacity = report.over_capacity.len();
        self.false_refusals = report.false_refusals.len();
        self.run_twice = report.run_twice.len();
        self.partial_gangs = report.partial_gangs.len();
        self.wrong_answers = report.wrong_answers.len();
    }
}

/// Runs the deployment that is described by the files of a folder.
///
/// # Errors
///
/// Returns an error when a file of the folder is invalid or the deployment does not start.
pub fn run(folder: &Path) -> io::Result<RunSummary> {
    let start = Instant::now();
    let plan = deployment::read(&folder.join("deployment.json"))?;
    let teams = read_teams(folder)?;
    let mut cluster = LocalCluster::start(&plan, &ClusterTuning::default())?;
    log::info!(
        "{}: started {} workers and {} daemons",
        plan.deployment,
        cluster.addresses.workers.len(),
        cluster.daemons.len()
    );
    publish(&cluster, &teams)?;
    let (events, received) = crossbeam_channel::bounded(EVENT_QUEUE_CAPACITY);
    start_callers(&plan, &teams, &cluster, &events)?;
    start_operator(&plan, &mut cluster, events)?;
    let mut summary = RunSummary {
        deployment: plan.deployment.clone(),
        ..RunSummary::default()
    };
    collect_events(&mut summary, &received);
    let (report, tasks) = fetch_outcome(&cluster.platform)?;
    summary.add_report(&report);
    summary.tasks = tasks;
    summary.seconds = start.elapsed().as_secs();
    Ok(summary)
}

fn read_teams(folder: &Path) -> io::Result<IndexMap<TeamName, TeamFile>> {
    let invalid = |lines: Vec<String>| io::Error::new(io::ErrorKind::InvalidData, lines.join("\n"));
    let files = tree::collect(folder).map_err(invalid)?;
    let sources: Vec<SourceFile<'_>> = files
        .iter()
        .map(|(name, bytes)| SourceFile { name, bytes })
        .collect();
    let teams = collection::check(&sources, &CheckBounds::default())
        .map_err(|problems| invalid(problems.iter().map(ToString::to_string).collect()))?;
    for (name, team) in &teams {
        if team.key_sha256 != KeyDigest::of(&example_key(name)) {
            return Err(invalid(vec![format!(
                "{name}: key_sha256 is not the digest of the example key {name}-example-key"
            )]));
        }
    }
    Ok(teams)
}

/// Returns the API key of an example team. The example's team file holds its digest.
fn example_key(team: &TeamName) -> String {
    format!("{team}-example-key")
}

fn publish(cluster: &LocalCluster, teams: &IndexMap<TeamName, TeamFile>) -> io::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    let addresses = cluster.caller_addresses();
    for address in &addresses {
        let mut operator = cluster.operator(address);
        while !operator.is_ready() {
            if Instant::now() > deadline {
                return Err(io::Error::other(format!(
                    "{address} did not become ready before the startup timeout"
                )));
            }
            thread::sleep(STARTUP_POLL_INTERVAL);
        }
    }
    let teams: Vec<TeamFile> = teams.values().cloned().collect();
    let mut operator = cluster.operator(&addresses[0]);
    loop {
        match operator.publish(&teams) {
            Ok(version) => {
                log::info!("published configuration {version}");
                return Ok(());
            }
            // A publication is refused until the workers have acknowledged their fence, because the
            // guarantees do not fit without their capacity.
            Err(error) if Instant::now() > deadline => return Err(error),
            Err(_) => thread::sleep(STARTUP_POLL_INTERVAL),
        }
    }
}

fn start_callers(
    plan: &DeploymentPlan,
    teams: &IndexMap<TeamName, TeamFile>,
    cluster: &LocalCluster,
    events: &Sender<LoadEvent>,
) -> io::Result<()> {
    for work in &plan.mix {
        let spec = teams
            .get(&work.team)
            .and_then(|team| team.services.get(&work.service))
            .ok_or_else(|| {
                io::Error::other(format!(
                    "{}: the team file declares no service {}",
                    work.team, work.service
                ))
            })?;
        for number in 0..work.callers {
            let mut addresses = cluster.caller_addresses();
            let first_index = number as usize % addresses.len();
            addresses.rotate_left(first_index);
            local_load::spawn(LoadCaller {
                plan: work.clone(),
                spec: spec.clone(),
                number,
                team_key: example_key(&work.team),
                addresses,
                send_window: SEND_WINDOW,
                deadline: Instant::now() + LOAD_TIMEOUT,
                platform: cluster.platform.clone(),
                events: events.clone(),
            })?;
        }
    }
    Ok(())
}

/// The operator of a run. It takes a failure domain out of service and back, and stops a daemon
/// under load.
struct RunOperator {
    client: CallerClient,
    domain: String,
    daemon: RunningDaemon,
    platform: PlatformSender,
    events: Sender<LoadEvent>,
}

fn start_operator(
    plan: &DeploymentPlan,
    cluster: &mut LocalCluster,
    events: Sender<LoadEvent>,
) -> io::Result<()> {
    let daemon = cluster.remove_daemon(&plan.stop).ok_or_else(|| {
        io::Error::other(format!(
            "{}: the daemon to stop is not in the plan",
            plan.stop
        ))
    })?;
    let operator = RunOperator {
        client: cluster.operator(&cluster.caller_addresses()[0]),
        domain: plan.take_out.to_string(),
        daemon,
        platform: cluster.platform.clone(),
        events,
    };
    thread::Builder::new()
        .name("operator".into())
        .spawn(move || operator.run())?;
    Ok(())
}

impl RunOperator {
    fn run(mut self) {
        thread::sleep(TAKE_OUT_DELAY);
        self.set_domain(true);
        thread::sleep(OUTAGE_DURATION);
        self.set_domain(false);
        thread::sleep(STOP_DELAY);
        let name = self.daemon.settings.daemon.clone();
        self.emit(format!("stopping {name}"));
        self.daemon.stop_handle().drain();
        self.daemon.wait();
        let message = format!("{name} has stopped");
        // The channel is closed only after the run has ended at its deadline.
        let _ = self.events.send(LoadEvent::OperatorStep { message });
    }

    fn set_domain(&mut self, out: bool) {
        let state = if out { "out" } else { "back" };
        // Tasks may start in the domain before the response to the command that brings it back.
        // After the response to a take-out, they may start only within the bound.
        if !out {
            self.record_domain(false);
        }
        match self.client.set_domain(&self.domain, out) {
            Ok(_) => self.emit(format!("{} is {state}", self.domain)),
            Err(error) => self.emit(format!("{} is not {state}: {error}", self.domain)),
        }
        if out {
            self.record_domain(true);
        }
    }

    fn record_domain(&self, out: bool) {
        let domain = self.domain.as_str().into();
        let event = CheckerEvent::Domain { domain, out };
        // The stand-ins run until the process ends.
        let _ = self.platform.send(PlatformCall::CheckerEvent(event));
    }

    fn emit(&self, message: String) {
        // The channel is closed only after the run has ended at its deadline.
        let _ = self.events.send(LoadEvent::OperatorStep { message });
    }
}

/// Counts events until all callers and the operator have ended.
fn collect_events(summary: &mut RunSummary, events: &Receiver<LoadEvent>) {
    let mut next_progress_at = Instant::now() + PROGRESS_INTERVAL;
    loop {
        match events.recv_deadline(next_progress_at) {
            Ok(event) => summary.record(event),
            Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {
                log::info!(
                    "accepted {}, answered {}, unknown {}, refused {}",
                    summary.accepted,
                    summary.answered,
                    summary.unknown,
                    summary.refused
                );
                next_progress_at = Instant::now() + PROGRESS_INTERVAL;
            }
        }
    }
}

fn fetch_outcome(platform: &PlatformSender) -> io::Result<(ViolationReport, usize)> {
    let (reply, replies) = crossbeam_channel::bounded(1);
    platform
        .send(PlatformCall::Outcome { reply })
        .map_err(|_| io::Error::other("the stand-ins have stopped"))?;
    replies.recv().map_err(io::Error::other)
}
