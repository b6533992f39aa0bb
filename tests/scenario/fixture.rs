//! Deployment, configuration and operator commands of a scenario.

use indexmap::IndexMap;

use super::ScenarioRun;
use mustardpath_core::config::GangAdjacency;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::config::ServiceSpec;
use mustardpath_core::config::TeamFile;
use mustardpath_core::config::TeamLimits;
use mustardpath_core::config::WorkKind;
use mustardpath_core::event::CallerCommand;
use mustardpath_core::event::CallerCredential;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::policy::PolicyKind;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::settings::LimitSettings;
use mustardpath_core::settings::TimingSettings;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::VmState;
use mustardpath_core::worker::WorkerInfo;
use mustardpath_standin::driver::SimConfig;
use mustardpath_standin::driver::SimDriver;

/// Failure domains with their regions and numbers of workers. Each has one daemon.
const DOMAINS: [(&str, &str, usize); 3] = [
    ("sg-a", "south", 3),
    ("ct-a", "south", 3),
    ("hn-a", "north", 2),
];

/// Team of all operations.
pub const TEAM: &str = "sand-flow";

const TEAM_KEY: &str = "team key";
const OPERATOR_KEY: &str = "operator key";

/// Attempts of the operator to publish the team file. A daemon can refuse with advice to retry.
const PUBLISH_ATTEMPTS: u32 = 5;

/// Attempts of the operator to return failure domains to service, and the interval between them. A
/// restarted daemon refuses until it has read the log.
const RESTORE_ATTEMPTS: u32 = 10;
const RESTORE_INTERVAL: TimeSpan = TimeSpan::from_secs(2);

/// Seed of all scenarios. Each cell of the fault matrix has one fixed run.
const SEED: u64 = 20_261_204;

/// Returns the credential of the team's callers.
pub fn team_credential() -> CallerCredential {
    CallerCredential {
        digest: Some(KeyDigest::of(TEAM_KEY)),
    }
}

fn operator_credential() -> CallerCredential {
    CallerCredential {
        digest: Some(KeyDigest::of(OPERATOR_KEY)),
    }
}

fn daemon(index: usize, (domain, region, _): (&str, &str, usize)) -> DaemonSettings {
    DaemonSettings {
        daemon: format!("d{index}").as_str().into(),
        region: region.into(),
        domain: domain.into(),
        caller_address: format!("127.0.0.1:{}", 7_000 + index),
        peer_address: format!("127.0.0.1:{}", 7_100 + index),
        log_address: "127.0.0.1:7200".into(),
        vms_address: "127.0.0.1:7201".into(),
        statsd_address: None,
        operator_key_sha256: KeyDigest::of(OPERATOR_KEY),
        policy: PolicyKind::default(),
        timing: TimingSettings {
            // Short enough for a snapshot within each scenario.
            snapshot: TimeSpan::from_secs(15),
            ..TimingSettings::default()
        },
        limits: LimitSettings::default(),
        batch: None,
    }
}

fn worker(number: usize, (domain, region, _): (&str, &str, usize)) -> WorkerInfo {
    WorkerInfo {
        worker: format!("w{number}").as_str().into(),
        address: format!("127.0.0.1:{}", 8_000 + number),
        region: region.into(),
        domain: domain.into(),
        rack: format!("{domain}-r1").as_str().into(),
        capacity: ResourceDemand {
            slots: 8,
            accelerators: 8,
            cores: 64,
            memory_mib: 256 << 10,
        },
        connections: 64,
        state: VmState::Live,
    }
}

fn service(work: WorkKind, repeatable: bool, members: u32, run_time: u64) -> ServiceSpec {
    let demand = ResourceDemand {
        slots: 1,
        accelerators: if members > 1 { 8 } else { 1 },
        cores: 8,
        memory_mib: 1_024,
    };
    let is_job = work == WorkKind::Job;
    ServiceSpec {
        work,
        repeatable,
        urgent: false,
        preemptible: repeatable && is_job,
        priority: 0,
        members,
        demand: if is_job {
            demand
        } else {
            ResourceDemand::one_slot()
        },
        adjacency: GangAdjacency::FewestRacks,
        spread_domains: false,
        run_time: TimeSpan(run_time),
        deadline: None,
    }
}

/// Returns the team file. Different weights distinguish its versions.
pub fn team_file(weight: u32) -> TeamFile {
    let services = [
        ("gang", service(WorkKind::Job, true, 3, 20_000)),
        ("small", service(WorkKind::Job, true, 1, 2_000)),
        ("once", service(WorkKind::Job, false, 1, 8_000)),
        ("ask", service(WorkKind::Request, true, 1, 500)),
        ("ask-once", service(WorkKind::Request, false, 1, 500)),
    ];
    TeamFile {
        team: TEAM.into(),
        key_sha256: KeyDigest::of(TEAM_KEY),
        weight,
        guarantees: Vec::new(),
        limits: TeamLimits::default(),
        services: services
            .into_iter()
            .map(|(name, spec)| (name.into(), spec))
            .collect::<IndexMap<_, _>>(),
    }
}

/// Starts a deployment and publishes the team file.
///
/// # Panics
///
/// Panics when no daemon becomes planner or no configuration is committed.
pub fn start(is_tracing: bool) -> SimDriver {
    let numbered = DOMAINS
        .iter()
        .flat_map(|domain| std::iter::repeat_n(*domain, domain.2))
        .enumerate();
    let mut driver = SimDriver::new(SimConfig {
        seed: SEED,
        daemons: DOMAINS
            .iter()
            .enumerate()
            .map(|(index, domain)| daemon(index, *domain))
            .collect(),
        workers: numbered
            .map(|(number, domain)| worker(number, domain))
            .collect(),
        log_region: "south".into(),
    });
    driver.is_tracing = is_tracing;
    let is_up = |driver: &SimDriver| driver.ledger().term.holder.is_some();
    assert!(
        driver.run_until(TimeSpan::from_secs(30), is_up),
        "no planner"
    );
    driver.run_for(TimeSpan::from_secs(6));
    for _ in 0..PUBLISH_ATTEMPTS {
        publish(&mut driver, 0, 1);
        driver.run_for(TimeSpan::from_secs(1));
        if driver.ledger().config.version == ConfigVersion(1) {
            return driver;
        }
    }
    panic!("no configuration after {PUBLISH_ATTEMPTS} tries");
}

/// Publishes the team file against a base version, through the first running daemon.
pub fn publish(driver: &mut SimDriver, base: u64, weight: u32) -> CallerId {
    let command = CallerCommand::ConfigPublish {
        base: ConfigVersion(base),
        upsert: vec![team_file(weight)],
        remove: Vec::new(),
        operator: format!("operator {weight}"),
    };
    let daemon = running_daemon(driver, 0);
    driver.send(daemon, operator_credential(), command, b"")
}

/// Takes a failure domain out of service or returns it.
pub fn set_domain(driver: &mut SimDriver, domain: &str, out: bool) -> CallerId {
    let command = CallerCommand::DomainSet {
        domain: domain.into(),
        out,
        operator: "operator".into(),
        confirmed: true,
    };
    let daemon = running_daemon(driver, 0);
    driver.send(daemon, operator_credential(), command, b"")
}

/// Returns all failure domains to service. With both domains of a region out of service, no worker
/// can hold the gang, and the gang stays queued.
pub fn restore_all_domains(run: &mut ScenarioRun) {
    for _ in 0..RESTORE_ATTEMPTS {
        let domains = run.driver.ledger().domains.clone();
        let out: Vec<_> = domains.iter().filter(|(_, state)| state.out).collect();
        if out.is_empty() {
            return;
        }
        for (domain, _) in out {
            set_domain(&mut run.driver, domain.as_str(), false);
        }
        run.advance(RESTORE_INTERVAL);
    }
}

/// Cancels the gang if its acceptance is committed.
pub fn cancel_gang(driver: &mut SimDriver) {
    let mut jobs = driver.ledger().jobs.iter();
    let gang = jobs.find(|(_, job)| job.order.service.as_str() == "gang");
    let Some(job) = gang.map(|(job, _)| *job) else {
        return;
    };
    let command = CallerCommand::JobCancel {
        team: TEAM.into(),
        job,
    };
    let daemon = running_daemon(driver, 1);
    driver.send(daemon, team_credential(), command, b"");
}

/// Returns the first daemon from `from` on, in cyclic order, whose process is up. Returns `from`
/// itself when none is.
pub fn running_daemon(driver: &SimDriver, from: usize) -> usize {
    let count = driver.daemon_count();
    let candidates = (0..count).map(|step| (from + step) % count);
    let mut running = candidates.filter(|daemon| driver.is_up(*daemon));
    running.next().unwrap_or(from % count)
}
