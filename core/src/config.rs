//! Team files: a team's key, guarantees, limits and services.

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
    /// Error message for a malformed digest.
    pub const FORM: &'static str = "a SHA-256 digest is 64 hexadecimal digits in lower case";

    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let bytes = Sha256::digest(key.as_bytes());
        Self(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
    }

    /// Returns whether the text is a well-formed digest.
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
    /// Resources that a task requires on a worker, or that a worker provides.
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
    /// Returns the demand of work that declares none, which is one slot. `Default` is the empty
    /// demand.
    #[must_use]
    pub const fn one_slot() -> Self {
        Self {
            slots: 1,
            accelerators: 0,
            cores: 0,
            memory_mib: 0,
        }
    }

    /// Returns whether no resource of `self` exceeds that of `free`.
    #[must_use]
    pub const fn fits(&self, free: &ResourceDemand) -> bool {
        self.slots <= free.slots
            && self.accelerators <= free.accelerators
            && self.cores <= free.cores
            && self.memory_mib <= free.memory_mib
    }

    /// Adds each resource of `other` to `self`.
    pub const fn add(&mut self, other: &ResourceDemand) {
        self.slots += other.slots;
        self.accelerators += other.accelerators;
        self.cores += other.cores;
        self.memory_mib += other.memory_mib;
    }

    /// Subtracts each resource of `other` from `self`, saturating at zero.
    pub const fn subtract(&mut self, other: &ResourceDemand) {
        self.slots = self.slots.saturating_sub(other.slots);
        self.accelerators = self.accelerators.saturating_sub(other.accelerators);
        self.cores = self.cores.saturating_sub(other.cores);
        self.memory_mib = self.memory_mib.saturating_sub(other.memory_mib);
    }
}

plain_data! {
    /// A shape of capacity that is guaranteed to a team.
    #[serde(deny_unknown_fields)]
    pub struct GuaranteedShape {
        /// Number of workers in one shape.
        pub workers: u32,
        /// Resources on each worker of the shape.
        pub per_worker: ResourceDemand,
        /// Whether all workers of one shape must be in the same rack.
        #[serde(default)]
        pub same_rack: bool,
        /// Number of such shapes that are guaranteed at the same time.
        #[serde(default = "one")]
        pub count: u32,
    }
}

plain_data! {
    /// How the work of a service is dispatched to workers.
    #[derive(Copy, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum WorkKind {
        /// A job, which is queued, placed and run under worker leases.
        Job,
        /// A short request, which is routed to an endpoint while the caller waits.
        Request,
    }

    /// Rack constraint on the members of a gang.
    #[derive(Copy, Default, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum GangAdjacency {
        /// As few racks as possible.
        #[default]
        FewestRacks,
        /// All members must be in one rack.
        SameRack,
    }
}

/// Declaration of a service and of its work.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Whether the service submits jobs or short requests.
    pub work: WorkKind,
    /// Whether the work may safely run more than once.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether the work is latency-sensitive because a person waits for it.
    #[serde(default)]
    pub urgent: bool,
    /// Whether the work can write a checkpoint or stop within 2 s.
    #[serde(default)]
    pub preemptible: bool,
    /// Priority within the team; higher numbers are scheduled first.
    #[serde(default)]
    pub priority: i32,
    /// Number of members of the gang.
    #[serde(default = "one")]
    pub members: u32,
    /// Resources of one member; one slot by default.
    #[serde(default = "ResourceDemand::one_slot")]
    pub demand: ResourceDemand,
    /// Rack constraint on the members.
    #[serde(default)]
    pub adjacency: GangAdjacency,
    /// Whether members are spread over the failure domains of one region.
    #[serde(default)]
    pub spread_domains: bool,
    /// Expected run time.
    #[serde_as(as = "SpanText")]
    pub run_time: TimeSpan,
    /// Time from acceptance until the work must end; absent for no deadline.
    #[serde_as(as = "Option<SpanText>")]
    #[serde(default)]
    pub deadline: Option<TimeSpan>,
}

impl ServiceSpec {
    /// Returns whether running work can be preempted and rerun later.
    ///
    /// Work that is not repeatable is never preempted, even if it declares `preemptible`.
    #[must_use]
    pub const fn can_be_preempted(&self) -> bool {
        self.preemptible && self.repeatable
    }
}

plain_data! {
    /// Limits of a team's short requests and waiting jobs.
    #[derive(Copy)]
    #[serde(deny_unknown_fields)]
    pub struct TeamLimits {
        /// Maximum concurrent short requests, summed over all daemons.
        #[serde(default = "default_concurrency")]
        pub concurrency: u32,
        /// Maximum short requests per second, summed over all daemons.
        #[serde(default = "default_rate")]
        pub rate_per_second: u32,
        /// Maximum number of waiting jobs.
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
    /// The configuration of one team.
    #[serde(deny_unknown_fields)]
    pub struct TeamFile {
        /// The team's name, unique among all files.
        pub team: TeamName,
        /// SHA-256 of the key that the team's callers present.
        pub key_sha256: KeyDigest,
        /// Weight in the fair sharing of capacity beyond guarantees.
        #[serde(default = "one")]
        pub weight: u32,
        /// Shapes of capacity that are guaranteed to the team.
        #[serde(default)]
        pub guarantees: Vec<GuaranteedShape>,
        /// Limits on short requests and waiting jobs.
        #[serde(default)]
        pub limits: TeamLimits,
        /// Declared services by name; at least one.
        pub services: IndexMap<ServiceName, ServiceSpec>,
    }
}
