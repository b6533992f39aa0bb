//! Simulated deployments and jobs shared by the tests of the batch subsystem.

use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::JobSubmission;
use mustardpath_core::batch::job::StepDefinition;
use mustardpath_core::batch::job::TaskDemand;
use mustardpath_core::batch::settings::BatchSettings;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;

/// Returns the settings of the daemon with the given number.
pub fn settings(number: usize) -> DaemonSettings {
    DaemonSettings {
        daemon: format!("daemon-{number}").as_str().into(),
        region: "south".into(),
        domain: format!("d{}", number % 2).as_str().into(),
        caller_address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        log_address: "127.0.0.1:3".into(),
        vms_address: "127.0.0.1:4".into(),
        statsd_address: None,
        operator_key_sha256: KeyDigest::of(""),
        policy: Default::default(),
        timing: Default::default(),
        limits: Default::default(),
        batch: Some(BatchSettings {
            ready_address: "127.0.0.1:5".into(),
            metrics_address: None,
            max_lease: TimeSpan(6_000),
            revocation: TimeSpan(5_000),
            config_apply: TimeSpan(2_500),
            reclaim: TimeSpan(2_700),
            job_status: TimeSpan(120_000),
            grace: std::time::Duration::from_secs(6),
            cpu_share: 250,
            memory: 512_000,
            descriptors: 10_240,
            link: 1_000_000,
        }),
    }
}

/// Returns a simulation that has run for 2 s, which is enough for a daemon to become the planner.
pub fn simulation(seed: u64, daemons: usize, workers: u32) -> BatchSimulation {
    let settings = (0..daemons).map(settings).collect();
    let mut simulation = BatchSimulation::new(seed, settings, workers);
    simulation.advance(TimeSpan(2_000));
    simulation
}

/// Returns a step of `count` independent tasks with `gpu` accelerators each.
pub fn step(count: u32, gpu: u64) -> StepDefinition {
    StepDefinition {
        count,
        demand: TaskDemand {
            cpu: 1_000,
            memory: 500,
            gpu,
        },
        estimate: TimeSpan(1_000),
        ..StepDefinition::default()
    }
}

/// Returns a submission with the given steps.
pub fn job(steps: Vec<StepDefinition>) -> JobSubmission {
    JobSubmission {
        spec: "text".into(),
        steps,
        ..JobSubmission::default()
    }
}

/// Returns the key of the job with the given number.
pub fn key(number: u64) -> JobKey {
    JobKey(0xabc0_0000 + number)
}

/// Returns the first daemon that is none of the given ones.
///
/// # Panics
///
/// Panics if there is no other daemon.
pub fn other_daemon(simulation: &BatchSimulation, known: &[usize]) -> usize {
    let mut daemons = 0..simulation.daemon_count();
    let other = daemons.find(|daemon| !known.contains(daemon));
    other.expect("there is another daemon")
}

/// Returns the workers that run a task.
pub fn busy_workers(simulation: &BatchSimulation) -> Vec<WorkerName> {
    let workers = simulation.workers.iter();
    let busy = workers.filter(|(_, model)| !model.running.is_empty());
    busy.map(|(worker, _)| worker.clone()).collect()
}

/// Makes the busy workers reachable for one daemon only, and the others for all but that one.
pub fn reserve_busy_workers(simulation: &mut BatchSimulation, daemon: usize) {
    let busy = busy_workers(simulation);
    reserve_workers(simulation, &busy, daemon);
}

/// Makes some workers reachable for one daemon only, and the others for all but that one.
pub fn reserve_workers(simulation: &mut BatchSimulation, reserved: &[WorkerName], daemon: usize) {
    for worker in simulation.workers.keys() {
        let is_reserved = reserved.contains(worker);
        let daemons = 0..simulation.daemon_count();
        let cut_off = daemons.filter(|other| (*other == daemon) != is_reserved);
        let links = cut_off.map(|other| (other, worker.clone()));
        simulation.faults.severed_links.extend(links);
    }
}

/// Returns the time in milliseconds of the first trace line that contains the given text.
///
/// # Panics
///
/// Panics if no line contains it.
pub fn time_of_line(simulation: &BatchSimulation, text: &str) -> u64 {
    let lines = simulation.trace.as_deref().unwrap_or_default();
    let line = lines.iter().find(|line| line.contains(text));
    let time = line.and_then(|line| line.split(' ').next()?.parse().ok());
    time.unwrap_or_else(|| panic!("no line with {text:?} in {lines:#?}"))
}
