//! Traces in JSON lines: the workers, teams and events of a replay.

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

/// Slots of each worker that are reserved for short requests, as in the daemon's default settings.
pub const REQUEST_SLOTS: u32 = 2;

/// Identical workers of one failure domain.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct WorkerGroup {
    /// Region of the failure domain.
    pub region: RegionName,
    /// Failure domain of the workers.
    pub domain: DomainName,
    /// Prefix of the names of racks and workers, which are numbered from 0.
    pub prefix: String,
    /// Number of workers.
    pub workers: u32,
    /// Number of workers in one rack.
    pub per_rack: u32,
    /// Capacity of one worker.
    pub capacity: ResourceDemand,
}

/// A job that a team submits.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct TraceJob {
    /// Team that submits the job.
    pub team: TeamName,
    /// Service of the team, with the number of accelerators per member as suffix.
    pub service: ServiceName,
    /// Number of members.
    pub members: u32,
    /// Declared run time in milliseconds.
    pub declared_ms: u64,
    /// Actual run time in milliseconds, without interruptions.
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

/// Kinds of events.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum TraceInput {
    /// A team submits a job. Jobs are numbered from 0 in the order of the trace.
    Submit(TraceJob),
    /// A caller cancels a job.
    Cancel {
        /// Number of the job.
        job: usize,
    },
    /// Operators take a failure domain out of service or return it.
    Domain {
        /// Failure domain that is taken out of service or returned.
        domain: DomainName,
        /// Whether the failure domain is out of service from now on.
        out: bool,
    },
    /// The workers of a failure domain lose or regain power. Progress since the last checkpoint is
    /// lost with the power.
    Power {
        /// Failure domain whose workers are affected.
        domain: DomainName,
        /// Whether the workers have power from now on.
        up: bool,
    },
    /// A worker starts or stops failing all tasks.
    Faulty {
        /// Worker concerned.
        worker: WorkerName,
        /// Whether all tasks on the worker fail from now on.
        faulty: bool,
    },
}

/// An event with its time.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct TraceEvent {
    /// Milliseconds since the start of the trace.
    pub at_ms: u64,
    /// Kind and details of the event.
    #[serde(flatten)]
    pub input: TraceInput,
}

impl TraceEvent {
    /// Returns whether the event is the submission of a job.
    #[must_use]
    pub const fn is_submission(&self) -> bool {
        matches!(self.input, TraceInput::Submit(_))
    }
}

/// Contents of a trace file.
#[derive(Clone, Debug, Default)]
pub struct TraceFile {
    /// All workers, in groups.
    pub groups: Vec<WorkerGroup>,
    /// All teams with their guarantees and services.
    pub teams: Vec<TeamFile>,
    /// Events in ascending order of time.
    pub events: Vec<TraceEvent>,
}

/// One line of a trace file.
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(tag = "line", rename_all = "snake_case")]
enum TraceLine {
    Workers(WorkerGroup),
    Team(Box<TeamFile>),
    Event(TraceEvent),
}

impl TraceFile {
    /// Parses a trace from JSON lines.
    ///
    /// # Errors
    ///
    /// Returns the number and the problem of the first invalid line, or a message if the events are
    /// not in ascending order of time.
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

    /// Formats the trace as JSON lines: workers, teams, events.
    ///
    /// # Errors
    ///
    /// Returns the serializer's message.
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

    /// Returns all workers, in the order of their groups.
    #[must_use]
    pub fn workers(&self) -> Vec<WorkerInfo> {
        self.groups.iter().flat_map(group_workers).collect()
    }

    /// Returns all workers as idle slots, without the capacity that is reserved for short requests.
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
