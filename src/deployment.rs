//! Deployment files, which describe failure domains, racks, workers, daemons and a workload.

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
    /// Name of the failure domain, with which the names of its racks and workers begin.
    pub domain: DomainName,
    /// Region that contains the failure domain.
    pub region: RegionName,
    /// Number of workers in each rack.
    pub racks: Vec<u32>,
}

/// A daemon of a deployment, which runs on an entry VM.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonPlan {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Region of the entry VM.
    pub region: RegionName,
    /// Failure domain of the entry VM.
    pub domain: DomainName,
}

/// Work of one service in the workload of a local run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkPlan {
    /// Team that submits the work.
    pub team: TeamName,
    /// Service of the team.
    pub service: ServiceName,
    /// Number of jobs or requests, over all callers.
    pub count: u32,
    /// Actual run time of each job or request in milliseconds.
    pub run_ms: u64,
    /// Number of concurrent callers. 1 if absent.
    #[serde(default = "one")]
    pub callers: u32,
}

const fn one() -> u32 {
    1
}

/// Description of a deployment.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentPlan {
    /// Name of the deployment, which the summary of a local run repeats.
    pub deployment: String,
    /// Failure domains with their workers.
    pub domains: Vec<DomainPlan>,
    /// Resources of each worker.
    pub capacity: ResourceDemand,
    /// Maximum number of connections to each worker.
    pub connections: u32,
    /// Daemons, one for each entry VM.
    pub daemons: Vec<DaemonPlan>,
    /// Age of the state that the VM list shows.
    #[serde_as(as = "SpanText")]
    pub list_lag: TimeSpan,
    /// The failure domain that a local run takes out and brings back.
    pub take_out: DomainName,
    /// The daemon that a local run stops.
    pub stop: DaemonName,
    /// The workload of a local run.
    pub mix: Vec<WorkPlan>,
}

/// Addresses of the stand-ins of a deployment, which run in this process.
#[derive(Clone, Debug)]
pub struct StandinAddresses {
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the VM list, which also serves the admin routes.
    pub vms: SocketAddr,
    /// The workers with their addresses.
    pub workers: Vec<WorkerInfo>,
}

/// Reads a deployment file, JSON with comments.
///
/// # Errors
///
/// Returns a message with the name of the file if it cannot be read or is invalid.
pub fn read(path: &Path) -> io::Result<DeploymentPlan> {
    settings_file::read(path)
}

/// Starts the stand-ins on loopback ports that the system chooses.
///
/// # Errors
///
/// Returns the I/O error if a socket cannot be bound or a thread cannot be started.
pub fn start_standins(plan: &DeploymentPlan) -> io::Result<(PlatformSender, StandinAddresses)> {
    start_standins_behind_proxies(plan, |_, address| Ok(address))
}

/// Starts the stand-ins with a proxy in front of each worker.
///
/// `open_proxy` gets a worker and the address of its stand-in. It returns the address of the proxy,
/// which becomes the address of the worker.
///
/// # Errors
///
/// Returns the error of `open_proxy`, or the I/O error if a socket cannot be bound or a thread
/// cannot be started.
pub fn start_standins_behind_proxies(
    plan: &DeploymentPlan,
    mut open_proxy: impl FnMut(&WorkerInfo, SocketAddr) -> io::Result<SocketAddr>,
) -> io::Result<(PlatformSender, StandinAddresses)> {
    // The models need the addresses of the workers, and the servers need the models. The servers
    // therefore start first, with a sender to the thread that owns the models.
    let (sender, calls) = standin_platform::channel();
    let mut workers = build_workers(plan);
    for info in &mut workers {
        let address = standin_worker::spawn(sender.clone(), info.worker.clone(), "127.0.0.1:0")?;
        info.address = open_proxy(info, address)?.to_string();
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
