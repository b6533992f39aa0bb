//! Deployment files: regions, failure domains, racks, workers, daemons and the mix of work.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_with::serde_as;

use crate::settings_file;
use crate::standin_log;
use crate::standin_platform;
use crate::standin_platform::PlatformSender;
use crate::standin_vms;
use crate::standin_worker;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::DomainName;
use mustardpath_core::ids::RackName;
use mustardpath_core::ids::RegionName;
use mustardpath_core::ids::ServiceName;
use mustardpath_core::ids::TeamName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::SpanText;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::VmState;
use mustardpath_core::worker::WorkerInfo;

/// A failure domain of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainPlan {
    /// The failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Number of workers in each rack.
    pub racks: Vec<u32>,
}

/// An entry VM of a deployment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonPlan {
    /// The daemon.
    pub daemon: DaemonName,
    /// Its region.
    pub region: RegionName,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Work of one service in the mix that a local run sends.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkPlan {
    /// The team.
    pub team: TeamName,
    /// The service.
    pub service: ServiceName,
    /// How many jobs or requests.
    pub count: u32,
    /// Real run time of each in milliseconds.
    pub run_ms: u64,
    /// Callers that send at once.
    #[serde(default = "one")]
    pub callers: u32,
}

const fn one() -> u32 {
    1
}

/// A deployment.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// The deployment's name.
    pub deployment: String,
    /// Its failure domains.
    pub domains: Vec<DomainPlan>,
    /// What each worker has.
    pub capacity: ResourceDemand,
    /// Connections that each worker takes.
    pub connections: u32,
    /// Its entry VMs.
    pub daemons: Vec<DaemonPlan>,
    /// How old the VM list's answers are.
    #[serde_as(as = "SpanText")]
    pub list_lag: TimeSpan,
    /// The failure domain that a local run takes out and brings back.
    pub take_out: DomainName,
    /// The daemon that a local run stops.
    pub stop: DaemonName,
    /// The work that a local run sends.
    pub mix: Vec<WorkPlan>,
}

/// The stand-ins of a deployment, running in this process.
#[derive(Clone, Debug)]
pub struct StandinAddresses {
    /// The log.
    pub log: SocketAddr,
    /// The VM list and the admin route.
    pub vms: SocketAddr,
    /// The workers.
    pub workers: Vec<WorkerInfo>,
}

/// Reads a deployment file, JSON with comments.
///
/// # Errors
///
/// Returns a message with the file's name when it cannot be read or does not have the form.
pub fn read(path: &Path) -> io::Result<DeploymentPlan> {
    settings_file::read(path)
}

/// Starts the stand-ins on loopback ports that the system chooses.
///
/// # Errors
///
/// Returns the system's error when a socket or a thread cannot be set up.
pub fn start_standins(plan: &DeploymentPlan) -> io::Result<(PlatformSender, StandinAddresses)> {
    start_standins_behind_relays(plan, |_, address| Ok(address))
}

/// Starts the stand-ins with workers that are reached through another address, which `front`
/// returns for each worker and the address of its stand-in.
///
/// # Errors
///
/// Returns the error of `front`, or the system's error when a socket or a thread cannot be set up.
pub fn start_standins_behind_relays(
    plan: &DeploymentPlan,
    mut relay: impl FnMut(&WorkerInfo, SocketAddr) -> io::Result<SocketAddr>,
) -> io::Result<(PlatformSender, StandinAddresses)> {
    // The workers' addresses have to be known before the models exist, and the servers need the
    // models. The servers start with a sender to a thread that is started right after them.
    let (sender, calls) = standin_platform::channel();
    let mut workers = build_workers(plan);
    for info in &mut workers {
        let address = standin_worker::spawn(sender.clone(), info.worker.clone(), "127.0.0.1:0")?;
        info.address = relay(info, address)?.to_string();
    }
    standin_platform::spawn(calls, &workers, plan.list_lag)?;
    let addresses = StandinAddresses {
        log: standin_log::spawn(sender.clone(), "127.0.0.1:0")?,
        vms: standin_vms::spawn(sender.clone(), "127.0.0.1:0")?,
        workers,
    };
    Ok((sender, addresses))
}

fn build_workers(plan: &DeploymentPlan) -> Vec<WorkerInfo> {
    let mut workers = Vec::new();
    for domain in &plan.domains {
        for (rack, count) in (1..).zip(&domain.racks) {
            let rack = format!("{}-r{rack}", domain.domain);
            for number in 1..=*count {
                workers.push(WorkerInfo {
                    worker: WorkerName::from(format!("{rack}-w{number}").as_str()),
                    address: String::new(),
                    region: domain.region.clone(),
                    domain: domain.domain.clone(),
                    rack: RackName::from(rack.as_str()),
                    capacity: plan.capacity,
                    connections: plan.connections,
                    state: VmState::Live,
                });
            }
        }
    }
    workers
}
