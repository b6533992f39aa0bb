//! Traces: the workers, teams and events that a replay runs, as JSON lines.

use std::fmt::Write as _;

use indexmap::IndexMap;

use mustardpath_core::config::ResourceDemand;
use mustardpath_core::config::TeamFile;
use mustardpath_core::fleet::idle_slots;
use mustardpath_core::ids::DomainName;
use mustardpath_core::ids::RegionName;
use mustardpath_core::ids::ServiceName;
use mustardpath_core::ids::TeamName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::policy::WorkerSlot;
use mustardpath_core::worker::VmState;
use mustardpath_core::worker::WorkerInfo;

/// Slots of each worker that jobs leave to short requests, as in the daemon's default settings.
pub const REQUEST_SLOTS: u32 = 2;

/// Workers of one failure domain that are alike.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct WorkerGroup {
    /// The region.
    pub region: RegionName,
    /// The failure domain.
    pub domain: DomainName,
    /// Text before the number in the names of racks and workers.
    pub prefix: String,
    /// Number of workers.
    pub workers: u32,
    /// Workers in one rack.
    pub per_rack: u32,
    /// What one worker has.
    pub capacity: ResourceDemand,
}

/// A job that a team submits.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct TraceJob {
    /// The team.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// Number of members.
    pub members: u32,
    /// Declared run time in milliseconds.
    pub declared_ms: u64,
    /// Real run time in milliseconds.
    pub actual_ms: u64,
    /// Whether the job fails on every worker.
    #[serde(default, skip_serializing_if = "is_false")]
    pub faulty: bool,
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
fn is_false(value: &bool) -> bool {
    !value
}

/// What happens in a trace.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TraceInput {
    /// A job is submitted. Jobs are numbered from 0 in the order of the trace.
    Submit(TraceJob),
    /// A job is cancelled.
    Cancel {
        /// The job's number.
        job: usize,
    },
    /// Operators take a failure domain out or bring it back.
    Domain {
        /// The failure domain.
        domain: DomainName,
        /// Whether it goes out.
        out: bool,
    },
    /// The workers of a failure domain lose or regain power. Work without power is lost.
    Power {
        /// The failure domain.
        domain: DomainName,
        /// Whether it has power.
        up: bool,
    },
    /// A worker begins or ceases to fail every task.
    Faulty {
        /// The worker.
        worker: WorkerName,
        /// Whether it fails every task.
        faulty: bool,
    },
}

/// One event with its time since the start of the trace.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct TraceEvent {
    /// Milliseconds since the start.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub input: TraceInput,
}

impl TraceEvent {
    /// Tells whether the event submits a job.
    #[must_use]
    pub const fn is_submit(&self) -> bool {
        matches!(self.input, TraceInput::Submit(_))
    }
}

/// A trace.
#[derive(Clone, Debug, Default)]
pub struct TraceFile {
    /// Groups of workers.
    pub groups: Vec<WorkerGroup>,
    /// Teams with guarantees and services.
    pub teams: Vec<TeamFile>,
    /// Events in order of time.
    pub events: Vec<TraceEvent>,
}

/// One line of the file.
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
enum TraceLine {
    Workers(WorkerGroup),
    Team(Box<TeamFile>),
    Event(TraceEvent),
}

impl TraceFile {
    /// Reads a trace from JSON lines.
    ///
    /// # Errors
    ///
    /// Returns the first line that is not valid, with its number.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut trace = Self::default();
        for (number, line) in (1..).zip(text.lines()) {
            let parsed =
                serde_json::from_str(line).map_err(|error| format!("line {number}: {error}"))?;
            match parsed {
                TraceLine::Workers(group) => trace.groups.push(group),
                TraceLine::Team(team) => trace.teams.push(*team),
                TraceLine::Event(event) => trace.events.push(event),
            }
        }
        if trace.events.is_sorted_by_key(|event| event.at_ms) {
            Ok(trace)
        } else {
            Err("events are not in order of time".into())
        }
    }

    /// Writes the trace as JSON lines.
    ///
    /// # Errors
    ///
    /// Returns the message of the serializer.
    pub fn format(&self) -> Result<String, String> {
        let groups = self.groups.iter().cloned().map(TraceLine::Workers);
        let teams = self
            .teams
            .iter()
            .cloned()
            .map(Box::new)
            .map(TraceLine::Team);
        let events = self.events.iter().cloned().map(TraceLine::Event);
        let mut text = String::new();
        for line in groups.chain(teams).chain(events) {
            let line = serde_json::to_string(&line).map_err(|error| error.to_string())?;
            writeln!(text, "{line}").map_err(|error| error.to_string())?;
        }
        Ok(text)
    }

    /// Returns the workers of the trace.
    #[must_use]
    pub fn workers(&self) -> Vec<WorkerInfo> {
        self.groups.iter().flat_map(group_workers).collect()
    }

    /// Returns idle slots of all workers.
    #[must_use]
    pub fn slots(&self) -> IndexMap<WorkerName, WorkerSlot> {
        let workers = self.workers();
        idle_slots(&workers.iter().collect::<Vec<_>>(), REQUEST_SLOTS)
    }
}

fn group_workers(group: &WorkerGroup) -> Vec<WorkerInfo> {
    let prefix = &group.prefix;
    (0..group.workers)
        .map(|number| WorkerInfo {
            worker: format!("{prefix}-{number:03}").as_str().into(),
            address: String::new(),
            region: group.region.clone(),
            domain: group.domain.clone(),
            rack: format!("{prefix}-rack-{:02}", number / group.per_rack)
                .as_str()
                .into(),
            capacity: group.capacity,
            connections: 64,
            state: VmState::Live,
        })
        .collect()
}
