//! Fitness of a VM for the planner's role.
//!
//! Load pattern: a fleet of unlike VMs in which the planner sends holds and orders to all workers.
//! The best VM that is up claims a vacant term first; a fleet of small VMs still elects one.

use crate::batch::settings::BatchSettings;
use crate::units::TimeSpan;

/// Resources that a planner for the target size needs (docs/CAPACITY.md).
pub const PLANNER_NEEDS: VmResources = VmResources {
    millicores: 200,
    memory_kb: 256_000,
    link_kbit: 50_000,
};

/// Claim delay of a VM that is short of any resource. It is longer than one read of the batch topic
/// (300 ms), by which daemons can differ in noticing a silent planner, so a VM that is short of
/// nothing claims first.
const SHORTAGE_DELAY: TimeSpan = TimeSpan(500);

/// Additional claim delay for a resource that is missing altogether.
const GRADED_DELAY: TimeSpan = TimeSpan(50);

/// Longest claim delay for short resources. It bounds the time that a fleet of small VMs is without
/// a planner.
const MAX_SHORTAGE_DELAY: TimeSpan = TimeSpan(600);

/// Resources of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmResources {
    /// Processor time, in thousandths of a core.
    pub millicores: u32,
    /// Memory in kB.
    pub memory_kb: u32,
    /// Bandwidth of the VM's own link in kbit/s.
    pub link_kbit: u32,
}

/// A resource of which a VM has less than a planner needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceShortage {
    /// Name of the resource in log lines.
    pub resource: &'static str,
    /// Missing share of the need, in thousandths.
    pub missing_permille: u64,
}

impl VmResources {
    /// Returns the resources that the settings name.
    #[must_use]
    pub const fn of(settings: &BatchSettings) -> Self {
        Self {
            millicores: settings.cpu_share,
            memory_kb: settings.memory,
            link_kbit: settings.link,
        }
    }

    /// Returns the resources of which the VM has less than a planner needs.
    pub fn shortages(&self) -> impl Iterator<Item = ResourceShortage> {
        let needs = &PLANNER_NEEDS;
        let rows = [
            ("cpu", self.millicores, needs.millicores),
            ("memory", self.memory_kb, needs.memory_kb),
            ("link", self.link_kbit, needs.link_kbit),
        ];
        let short = rows.into_iter().filter(|(_, has, need)| has < need);
        short.map(|(resource, has, need)| ResourceShortage {
            resource,
            missing_permille: u64::from(need - has) * 1_000 / u64::from(need),
        })
    }

    /// Returns the delay of the VM's claims, which is zero for a VM that is short of nothing.
    #[must_use]
    pub fn claim_delay(&self) -> TimeSpan {
        let shortages = self.shortages();
        let missing: u64 = shortages.map(|shortage| shortage.missing_permille).sum();
        if missing == 0 {
            return TimeSpan(0);
        }
        let graded = TimeSpan(GRADED_DELAY.0 * missing / 1_000);
        (SHORTAGE_DELAY + graded).min(MAX_SHORTAGE_DELAY)
    }
}
