//! Team files: teams, their guaranteed shapes and the work that each service sends.

use std::fmt;

use indexmap::IndexMap;
use serde_with::serde_as;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::units::SpanText;
use crate::units::TimeSpan;

/// The SHA-256 of a key, as lower-case hexadecimal text.
///
/// The configuration holds digests only, so a dump or a record never reveals a key.
#[derive(Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(String);

impl KeyDigest {
    /// Describes the form of a digest to someone who gave another one.
    pub const FORM: &'static str = "a SHA-256 digest is 64 hexadecimal digits in lower case";

    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let bytes = Sha256::digest(key.as_bytes());
        Self(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Tells whether the text has the form of a digest.
    #[must_use]
    pub fn is_well_formed(&self) -> bool {
        self.0.len() == 64
            && self
                .0
                .bytes()
                .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

plain_data! {
    /// What one task takes from a worker, or what a worker has.
    #[derive(Copy, Default, Hash)]
    #[serde(deny_unknown_fields)]
    pub struct ResourceDemand {
        /// Task slots.
        #[serde(default = "one")]
        pub slots: u32,
        /// Accelerators.
        #[serde(default)]
        pub accelerators: u32,
        /// Processor cores.
        #[serde(default)]
        pub cores: u32,
        /// Memory in MiB.
        #[serde(default)]
        pub memory_mib: u32,
    }
}

const fn one() -> u32 {
    1
}

impl ResourceDemand {
    /// Returns the demand of work that declares none: one slot. `Default` is the empty demand.
    #[must_use]
    pub const fn one_slot() -> Self {
        Self {
            slots: 1,
            accelerators: 0,
            cores: 0,
            memory_mib: 0,
        }
    }

    /// Tells whether `self` fits in `free`.
    #[must_use]
    pub const fn fits(&self, free: &ResourceDemand) -> bool {
        self.slots <= free.slots
            && self.accelerators <= free.accelerators
            && self.cores <= free.cores
            && self.memory_mib <= free.memory_mib
    }

    /// Adds `other` to `self`.
    pub const fn add(&mut self, other: &ResourceDemand) {
        self.slots += other.slots;
        self.accelerators += other.accelerators;
        self.cores += other.cores;
        self.memory_mib += other.memory_mib;
    }

    /// Takes `other` from `self`, stopping at zero.
    pub const fn subtract(&mut self, other: &ResourceDemand) {
        self.slots = self.slots.saturating_sub(other.slots);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
        self.cores = self.cores.saturating_sub(other.cores);
        self.memory_mib = self.memory_mib.saturating_sub(other.memory_mib);
    }
}

plain_data! {
    /// A shape of capacity that a team can claim at any time.
    #[serde(deny_unknown_fields)]
    pub struct GuaranteedShape {
        /// Number of workers in one shape.
        pub workers: u32,
        /// What the shape takes on each worker.
        pub per_worker: ResourceDemand,
        /// Whether all workers of one shape stand in one rack.
        #[serde(default)]
        pub same_rack: bool,
        /// How many such shapes the team holds.
        #[serde(default = "one")]
        pub count: u32,
    }
}

plain_data! {
    /// How a service's work reaches its workers.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum WorkKind {
        /// A job that is queued, placed and run under leases.
        Job,
        /// A short request that is routed to an endpoint while the caller waits.
        Request,
    }

    /// How close together the members of a gang have to stand.
    #[derive(Copy, Default, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum GangAdjacency {
        /// The fewest racks that hold the gang.
        #[default]
        FewestRacks,
        /// One rack.
        SameRack,
    }
}

/// The work that one service sends.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Job or short request.
    pub work: WorkKind,
    /// Whether the work may run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether someone waits for the work.
    #[serde(default)]
    pub urgent: bool,
    /// Whether the work can be checkpointed or stopped within 2 s.
    #[serde(default)]
    pub preemptible: bool,
    /// Priority within the team; a higher number goes first.
    #[serde(default)]
    pub priority: i32,
    /// Number of members of the gang.
    #[serde(default = "one")]
    pub members: u32,
    /// What one member takes; one slot when left out.
    #[serde(default = "ResourceDemand::one_slot")]
    pub demand: ResourceDemand,
    /// How close together the members have to stand.
    #[serde(default)]
    pub adjacency: GangAdjacency,
    /// Whether members are spread over failure domains of one region.
    #[serde(default)]
    pub spread_domains: bool,
    /// Declared run time.
    #[serde_as(as = "SpanText")]
    pub run_time: TimeSpan,
    /// Time from acceptance by which the work has to end.
    #[serde_as(as = "Option<SpanText>")]
    #[serde(default)]
    pub deadline: Option<TimeSpan>,
}

impl ServiceSpec {
    /// Tells whether running work may be stopped and run again later.
    ///
    /// Work that may run only once is never stopped, even when it reacts to a stop in time.
    #[must_use]
    pub const fn can_be_preempted(&self) -> bool {
        self.preemptible && self.repeatable
    }
}

plain_data! {
    /// Limits of a team's short requests.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct TeamLimits {
        /// Requests open at once over all daemons.
        #[serde(default = "default_concurrency")]
        pub concurrency: u32,
        /// Requests a second over all daemons.
        #[serde(default = "default_rate")]
        pub rate_per_second: u32,
        /// Jobs waiting at once.
        #[serde(default = "default_waiting")]
        pub waiting_jobs: u32,
    }
}

const fn default_concurrency() -> u32 {
    200
}

const fn default_rate() -> u32 {
    1_000
}

const fn default_waiting() -> u32 {
    2_000
}

impl Default for TeamLimits {
    fn default() -> Self {
        Self {
            concurrency: default_concurrency(),
            rate_per_second: default_rate(),
            waiting_jobs: default_waiting(),
        }
    }
}

plain_data! {
    /// One team file.
    #[serde(deny_unknown_fields)]
    pub struct TeamFile {
        /// The team's name, unique over all files.
        pub team: TeamName,
        /// SHA-256 of the key that the team's callers present.
        pub key_sha256: KeyDigest,
        /// Weight in the fair share of capacity beyond guarantees.
        #[serde(default = "one")]
        pub weight: u32,
        /// Shapes that the team can claim at any time.
        #[serde(default)]
        pub guarantees: Vec<GuaranteedShape>,
        /// Limits of short requests and waiting jobs.
        #[serde(default)]
        pub limits: TeamLimits,
        /// The services and the work that each sends.
        pub services: IndexMap<ServiceName, ServiceSpec>,
    }
}
