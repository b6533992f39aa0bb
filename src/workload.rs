//! Deployments of the generated traces: workers, teams and classes of work.

use indexmap::IndexMap;

use crate::trace::WorkerGroup;
use mustardpath_core::config::GangAdjacency;
use mustardpath_core::config::GuaranteedShape;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::config::ServiceSpec;
use mustardpath_core::config::TeamFile;
use mustardpath_core::config::TeamLimits;
use mustardpath_core::config::WorkKind;
use mustardpath_core::ids::ServiceName;
use mustardpath_core::units::TimeSpan;

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Deployments for which traces are generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeploymentKind {
    /// Thanh Lam: 48 workers, bookings, recertifications, analyses and seal checks.
    ThanhLam,
    /// Cordillera: 48 workers, mastering, previews and claim matches.
    Cordillera,
    /// Target size of the scheduler: 870 workers, 61 teams.
    Target,
}

/// Name, weight and guaranteed shapes of a team. A shape has the number of workers, whether they
/// are in one rack, and the count.
pub type TeamRow = (String, u32, Vec<(u32, bool, u32)>);

/// A class of work: jobs of the same kind and similar sizes.
pub struct WorkClass {
    /// Name of the service without the suffix of its size.
    pub service: &'static str,
    /// Share of the offered accelerator-hours, in hundred-thousandths.
    pub load_share: u64,
    /// Minimum and maximum number of members.
    pub members: (u32, u32),
    /// Minimum and maximum number of accelerators of a member.
    pub accelerators: (u32, u32),
    /// Minimum and maximum run time in minutes.
    pub run_minutes: (u64, u64),
    /// Whether jobs are urgent, which also gives them priority 1 instead of 0.
    pub is_urgent: bool,
    /// Whether jobs can be preempted and run again after a failure.
    pub is_preemptible: bool,
    /// Deadline in hours after the submission. `None` for work without one.
    pub deadline_hours: Option<u64>,
    /// Whether all members must be in one rack.
    pub requires_same_rack: bool,
    /// Hours of the day in which jobs arrive, the end excluded.
    pub arrival_hours: (u64, u64),
}

impl WorkClass {
    /// Returns the possible numbers of accelerators of a member: 0 and powers of two, because jobs
    /// split their data evenly.
    #[must_use]
    pub fn sizes(&self) -> Vec<u32> {
        let (low, high) = self.accelerators;
        let sizes = [0, 1, 2, 4, 8].into_iter();
        sizes.filter(|size| (low..=high).contains(size)).collect()
    }

    /// Returns the name of the service whose members have `size` accelerators.
    #[must_use]
    pub fn service_name(&self, size: u32) -> ServiceName {
        format!("{}-{size}", self.service).as_str().into()
    }
}

const DEFAULT_CLASS: WorkClass = WorkClass {
    service: "",
    load_share: 0,
    members: (1, 1),
    accelerators: (1, 1),
    run_minutes: (1, 1),
    is_urgent: false,
    is_preemptible: true,
    deadline_hours: None,
    requires_same_rack: false,
    arrival_hours: (0, 24),
};

const THANH_LAM: [WorkClass; 4] = [
    WorkClass {
        service: "recertification",
        load_share: 45_000,
        members: (1, 16),
        accelerators: (8, 8),
        run_minutes: (60, 360),
        ..DEFAULT_CLASS
    },
    WorkClass {
        service: "sand-flow",
        load_share: 53_000,
        members: (1, 4),
        accelerators: (2, 8),
        run_minutes: (15, 90),
        deadline_hours: Some(6),
        ..DEFAULT_CLASS
    },
    WorkClass {
        service: "seal-check",
        load_share: 200,
        run_minutes: (1, 5),
        is_urgent: true,
        ..DEFAULT_CLASS
    },
    WorkClass {
        service: "calibration",
        load_share: 1_800,
        accelerators: (1, 4),
        run_minutes: (5, 20),
        is_preemptible: false,
        ..DEFAULT_CLASS
    },
];

const CORDILLERA: [WorkClass; 3] = [
    WorkClass {
        service: "mastering",
        load_share: 94_000,
        members: (1, 16),
        accelerators: (8, 8),
        run_minutes: (30, 360),
        ..DEFAULT_CLASS
    },
    WorkClass {
        service: "preview",
        load_share: 200,
        run_minutes: (1, 4),
        is_urgent: true,
        ..DEFAULT_CLASS
    },
    WorkClass {
        service: "claim-match",
        load_share: 5_800,
        members: (1, 2),
        accelerators: (1, 4),
        run_minutes: (10, 30),
        is_preemptible: false,
        arrival_hours: (1, 6),
        ..DEFAULT_CLASS
    },
];

const TARGET: [WorkClass; 4] = [
    WorkClass {
        service: "training",
        load_share: 93_967,
        members: (8, 64),
        accelerators: (0, 0),
        run_minutes: (180, 720),
        ..DEFAULT_CLASS
    },
    WorkClass {
        service: "analysis",
        load_share: 6_000,
        members: (1, 16),
        accelerators: (0, 1),
        run_minutes: (60, 240),
        deadline_hours: Some(12),
        ..DEFAULT_CLASS
    },
    WorkClass {
        service: "check",
        load_share: 3,
        run_minutes: (1, 5),
        is_urgent: true,
        ..DEFAULT_CLASS
    },
    WorkClass {
        service: "booking",
        load_share: 30,
        run_minutes: (10, 30),
        is_preemptible: false,
        ..DEFAULT_CLASS
    },
];

impl DeploymentKind {
    /// Returns the classes of work, the one with the largest gangs first.
    #[must_use]
    pub const fn classes(self) -> &'static [WorkClass] {
        match self {
            Self::ThanhLam => &THANH_LAM,
            Self::Cordillera => &CORDILLERA,
            Self::Target => &TARGET,
        }
    }

    /// Returns all failure domains as pairs of region and domain.
    #[must_use]
    pub const fn domains(self) -> &'static [(&'static str, &'static str)] {
        match self {
            Self::ThanhLam => &[("south", "sg-a"), ("south", "ct-a"), ("north", "hn-a")],
            Self::Cordillera => &[
                ("bogota", "bogota-a"),
                ("bogota", "bogota-b"),
                ("medellin", "medellin-a"),
            ],
            Self::Target => &[
                ("east", "east-a"),
                ("east", "east-b"),
                ("east", "east-c"),
                ("west", "west-a"),
                ("west", "west-b"),
                ("west", "west-c"),
            ],
        }
    }

    fn capacity(self) -> ResourceDemand {
        let (slots, accelerators, cores, gib) = match self {
            Self::ThanhLam => (8, 8, 64, 256),
            Self::Cordillera => (8, 8, 32, 128),
            Self::Target => (26, 8, 64, 256),
        };
        ResourceDemand {
            slots,
            accelerators,
            cores,
            memory_mib: gib << 10,
        }
    }

    /// Returns the groups of workers, at least one per failure domain.
    #[must_use]
    pub fn groups(self) -> Vec<WorkerGroup> {
        let group =
            |&(region, domain): &(&str, &str), prefix: &str, workers, capacity| WorkerGroup {
                region: region.into(),
                domain: domain.into(),
                prefix: prefix.into(),
                workers,
                per_rack: 8,
                capacity,
            };
        let capacity = self.capacity();
        let mut groups = Vec::new();
        for domain in self.domains() {
            if self == Self::Target {
                // Each of the 6 domains has 145 workers, 23 of them with 8 accelerators: 1,104 in
                // total.
                let plain = ResourceDemand {
                    accelerators: 0,
                    ..capacity
                };
                groups.push(group(domain, domain.1, 23, capacity));
                groups.push(group(domain, &format!("{}-plain", domain.1), 122, plain));
            } else {
                groups.push(group(domain, domain.1, 16, capacity));
            }
        }
        groups
    }

    /// Returns all teams. Weights and guarantees differ between them.
    #[must_use]
    pub fn teams(self) -> Vec<TeamRow> {
        let row = |name: &str, weight, shapes: &[_]| (name.to_string(), weight, shapes.to_vec());
        match self {
            Self::ThanhLam => vec![
                row("orchid", 3, &[(8, true, 1), (1, false, 4)]),
                row("lotus", 2, &[(4, true, 1), (1, false, 2)]),
                row("jasmine", 1, &[(1, false, 4)]),
                row("bamboo", 1, &[(1, false, 2)]),
            ],
            Self::Cordillera => vec![
                row("condor", 3, &[(8, true, 1), (1, false, 2)]),
                row("puma", 2, &[(4, true, 2)]),
                row("tapir", 1, &[(1, false, 4)]),
                row("quetzal", 1, &[(1, false, 2)]),
            ],
            Self::Target => (0..61)
                .map(|number| {
                    let shapes = if number < 6 {
                        vec![(4, true, 1), (1, false, 2)]
                    } else {
                        vec![(1, false, 1)]
                    };
                    (format!("team-{number:02}"), 1 + number % 3, shapes)
                })
                .collect(),
        }
    }
}

/// Returns the demand of a member. Cores and memory are proportional to the accelerators, and a
/// member without any gets the share of one.
fn member_demand(kind: DeploymentKind, accelerators: u32) -> ResourceDemand {
    let capacity = kind.capacity();
    // At the target size 16,000 tasks run on 870 workers, so tasks without accelerators are small.
    let divisor = if kind == DeploymentKind::Target { 4 } else { 2 };
    ResourceDemand {
        slots: 1,
        accelerators,
        cores: (capacity.cores / 8 * accelerators.max(1)).min(capacity.cores) / divisor,
        memory_mib: (capacity.memory_mib / 8 * accelerators.max(1)).min(capacity.memory_mib)
            / divisor,
    }
}

fn service_spec(kind: DeploymentKind, class: &WorkClass, accelerators: u32) -> ServiceSpec {
    ServiceSpec {
        work: WorkKind::Job,
        repeatable: class.is_preemptible,
        urgent: class.is_urgent,
        preemptible: class.is_preemptible,
        priority: i32::from(class.is_urgent),
        members: class.members.0,
        demand: member_demand(kind, accelerators),
        adjacency: if class.requires_same_rack {
            GangAdjacency::SameRack
        } else {
            GangAdjacency::FewestRacks
        },
        spread_domains: false,
        run_time: TimeSpan(class.run_minutes.0.midpoint(class.run_minutes.1) * MINUTE_MS),
        deadline: class.deadline_hours.map(|hours| TimeSpan(hours * HOUR_MS)),
    }
}

/// Returns the team files of a deployment. Each team declares all services, and its API key is its
/// name.
#[must_use]
pub fn team_files(kind: DeploymentKind) -> Vec<TeamFile> {
    let services: IndexMap<ServiceName, ServiceSpec> = kind
        .classes()
        .iter()
        .flat_map(|class| {
            class.sizes().into_iter().map(move |size| {
                let spec = service_spec(kind, class, size);
                (class.service_name(size), spec)
            })
        })
        .collect();
    let mut offered = kind.capacity();
    offered.slots -= crate::trace::REQUEST_SLOTS;
    let shape = |&(workers, same_rack, count): &(u32, bool, u32)| GuaranteedShape {
        workers,
        per_worker: offered,
        same_rack,
        count,
    };
    kind.teams()
        .iter()
        .map(|(name, weight, shapes)| TeamFile {
            team: name.as_str().into(),
            key_sha256: KeyDigest::of(name),
            weight: *weight,
            guarantees: shapes.iter().map(shape).collect(),
            limits: TeamLimits::default(),
            services: services.clone(),
        })
        .collect()
}
