//! Workers that are hard to reach, and entries of workers that another writer has spoiled.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use mustardpath_core::batch::job::JobPhase;
use mustardpath_core::batch::job::RunKey;
use mustardpath_core::batch::job::TaskKey;
use mustardpath_core::batch::job::WorkerEntry;
use mustardpath_core::batch::message::RunEnding;
use mustardpath_core::batch::message::StoreStream;
use mustardpath_core::batch::message::StreamChange;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;
use mustardpath_standin::batch::simulation::START_TIME;

/// Number of tasks of the job, each of which takes a whole worker.
const TASK_COUNT: u32 = 4;

/// Returns a simulation of 3 daemons and 8 workers, half of which run a task.
fn busy_simulation(seed: u64, run_time: TimeSpan) -> BatchSimulation {
    let mut simulation = simulations::simulation(seed, 3, 8);
    simulation.trace = Some(Vec::new());
    simulation
        .job_behavior
        .insert(simulations::key(1), (run_time, false));
    simulation.urgent_jobs.insert(simulations::key(1));
    let mut step = simulations::step(TASK_COUNT, 4);
    step.estimate = run_time;
    simulation.submit(0, simulations::key(1), simulations::job(vec![step]));
    simulation.advance(TimeSpan(1_000));
    assert_eq!(simulation.checker.start_count, u64::from(TASK_COUNT));
    simulation
}

fn assert_invariants(simulation: &BatchSimulation) {
    assert!(
        simulation.checker.violations.is_empty(),
        "{:#?}\n{}",
        simulation.checker.violations,
        simulation.trace.clone().unwrap_or_default().join("\n")
    );
}

/// Asserts that the tasks of the job ran once each and that it completes.
fn assert_undisturbed(simulation: &mut BatchSimulation, rest: TimeSpan) {
    simulation.advance(rest);
    assert_invariants(simulation);
    let starts = simulation.checker.start_count;
    assert_eq!(starts, u64::from(TASK_COUNT), "{:#?}", simulation.trace);
    assert_eq!(
        simulation.phase(simulations::key(1)),
        Some(JobPhase::Completed)
    );
}

/// Writes an entry that differs from the worker's own, or from any worker's, by a change.
fn write_entry(
    simulation: &mut BatchSimulation,
    worker: &str,
    change: impl FnOnce(&mut WorkerEntry),
) {
    let own = simulation.workers.get(&WorkerName::from(worker));
    let mut entry = own.unwrap_or(&simulation.workers[0]).entry.clone();
    change(&mut entry);
    let change = StreamChange::Worker {
        worker: worker.into(),
        entry: Some(Box::new(entry)),
    };
    simulation
        .store
        .write(StoreStream::Workers, worker, change, false);
}

/// Guards against a cut that refuses connections and is taken for the end of the worker's process:
/// its tasks were started elsewhere while they still ran (bench: duschwerk-hq, tlr-bench-grown and
/// tlr-bench-large with `node_cut`, `servers refuse`: TWICE).
#[test]
fn runs_on_a_worker_that_refuses_connections_go_on() {
    let mut simulation = busy_simulation(1, TimeSpan(8_000));
    let workers = simulations::busy_workers(&simulation);
    simulation.faults.refusing_workers.extend(workers);
    simulation.advance(TimeSpan(3_500));
    simulation.faults.refusing_workers.clear();
    assert_undisturbed(&mut simulation, TimeSpan(6_000));
}

/// Guards against a planner that is cut off from the store and keeps work alive on workers that its
/// successor cannot reach, and believes to have ended.
#[test]
fn a_replaced_planner_stops_extending_leases_before_its_successor_gives_up() {
    for seed in 0..8 {
        let mut simulation = busy_simulation(seed, TimeSpan(40_000));
        let planner = simulation.planner().expect("there is a planner");
        simulation.faults.partitioned_daemons.insert(planner);
        simulations::reserve_busy_workers(&mut simulation, planner);
        simulation.advance(TimeSpan(30_000));
        assert_ne!(simulation.planner(), Some(planner), "seed {seed}");
        assert_invariants(&simulation);
    }
}

/// Guards against an incident in which nothing shows until when a planner that was cut off from the
/// store kept runs alive (review/6).
#[test]
fn a_planner_logs_for_how_long_it_extends_leases_without_the_store() {
    let mut simulation = busy_simulation(4, TimeSpan(40_000));
    simulation.faults.is_store_down = true;
    let cut_at = simulation.now().since(START_TIME).0;
    simulation.advance(TimeSpan(8_000));
    simulation.faults.is_store_down = false;
    simulation.advance(TimeSpan(2_000));
    let stopped_at = simulations::time_of_line(&simulation, "outcome=extensions_stopped");
    let resumed_at = simulations::time_of_line(&simulation, "outcome=extensions_resumed");
    assert!(stopped_at > cut_at + 4_000, "{stopped_at} after {cut_at}");
    assert!(stopped_at < cut_at + 6_000, "{stopped_at} after {cut_at}");
    assert!(resumed_at > cut_at + 8_000, "{resumed_at} after {cut_at}");
}

/// Guards against a planner that was suspended and extends leases when it resumes, after another
/// daemon has become the planner.
#[test]
fn a_resumed_planner_extends_no_leases() {
    for seed in 0..8 {
        let mut simulation = busy_simulation(seed, TimeSpan(40_000));
        let planner = simulation.planner().expect("there is a planner");
        simulations::reserve_busy_workers(&mut simulation, planner);
        simulation.set_paused(planner, true);
        simulation.advance(TimeSpan(3_000));
        simulation.faults.partitioned_daemons.insert(planner);
        simulation.set_paused(planner, false);
        simulation.advance(TimeSpan(15_000));
        assert_invariants(&simulation);
    }
}

/// Guards against a planner that resumes after a pause and gives up workers whose leases seem to
/// have expired meanwhile, before it knows whether it is still the planner.
#[test]
fn a_resumed_planner_gives_up_no_worker_before_it_has_read_the_topic() {
    let mut simulation = busy_simulation(3, TimeSpan(20_000));
    let planner = simulation.planner().expect("there is a planner");
    let workers = simulations::busy_workers(&simulation);
    simulation.faults.refusing_workers.extend(workers);
    simulation.advance(TimeSpan(1_800));
    simulation.set_paused(planner, true);
    simulation.faults.refusing_workers.clear();
    simulation.advance(TimeSpan(8_000));
    simulation.set_paused(planner, false);
    simulation.advance(TimeSpan(200));
    let trace = simulation.trace.as_deref().unwrap_or_default();
    let given_up = format!("d{planner} lease: ");
    let given_up = trace
        .iter()
        .filter(|line| line.contains(&given_up) && line.contains("runs_gone"));
    assert_eq!(given_up.count(), 0, "{trace:#?}");
}

/// Guards against an entry of another writer that ends a process, stops a reader of the list, or
/// costs work on other workers.
#[test]
fn impossible_entries_are_ignored() {
    let mut simulation = busy_simulation(2, TimeSpan(6_000));
    let now = simulation.now();
    write_entry(&mut simulation, "odd-port", |entry| {
        entry.address = "10.9.0.1:0".into();
    });
    write_entry(&mut simulation, "odd-address", |entry| {
        entry.address = "10.9.0.1:70000".into();
    });
    write_entry(&mut simulation, "odd-capacity", |entry| {
        entry.capacity.cpu = u64::MAX;
        entry.capacity.memory = u64::MAX;
        entry.capacity.gpu = u64::MAX;
    });
    write_entry(&mut simulation, "odd-labels", |entry| {
        entry.labels = vec!["a".into(); 10_000];
    });
    write_entry(&mut simulation, "odd-start", |entry| {
        entry.incarnation = u64::MAX;
        entry.remaining = Some(TimeSpan(u64::MAX));
    });
    let unreadable = StreamChange::Unreadable {
        key: "odd-\"bytes".into(),
        reason: "x".repeat(10_000),
    };
    for _ in 0..3 {
        let stream = StoreStream::Workers;
        simulation
            .store
            .write(stream, "odd-bytes", unreadable.clone(), false);
    }
    assert_undisturbed(&mut simulation, TimeSpan(8_000));
    assert!(simulation.now() > now);
    let trace = simulation.trace.as_deref().unwrap_or_default();
    let ignored: Vec<&String> = trace
        .iter()
        .filter(|line| line.contains("entry_ignored"))
        .collect();
    assert_eq!(ignored.len(), 6, "{ignored:#?}");
    assert!(ignored.iter().all(|line| line.len() < 400), "{ignored:#?}");
}

/// Guards against work that is given up because another writer has replaced the entry of the worker
/// that runs it: by bytes that cannot be read, by another address or by a later start.
#[test]
fn a_spoiled_entry_of_a_busy_worker_costs_no_work() {
    let mut simulation = busy_simulation(4, TimeSpan(9_000));
    let workers = simulations::busy_workers(&simulation);
    let idle = simulation
        .workers
        .keys()
        .find(|worker| !workers.contains(worker));
    let idle = idle.expect("a worker is idle").clone();
    let other_address = simulation.workers[&idle].entry.address.clone();
    let unreadable = StreamChange::Unreadable {
        key: workers[0].to_string(),
        reason: "not JSON".into(),
    };
    simulation
        .store
        .write(StoreStream::Workers, workers[0].as_str(), unreadable, false);
    write_entry(&mut simulation, workers[1].as_str(), |entry| {
        entry.address.clone_from(&other_address);
    });
    write_entry(&mut simulation, workers[2].as_str(), |entry| {
        entry.address.clone_from(&other_address);
        entry.incarnation += 60_000;
    });
    write_entry(&mut simulation, workers[3].as_str(), |entry| {
        entry.incarnation = u64::MAX;
    });
    assert_undisturbed(&mut simulation, TimeSpan(11_000));
}

/// Guards against a list that names a task beyond those of its job: the record of such a task made
/// every daemon that read it allocate memory for all tasks up to its index.
#[test]
fn ends_of_tasks_that_no_job_has_are_not_recorded() {
    let mut simulation = busy_simulation(5, TimeSpan(3_000));
    let job = simulations::key(1).text();
    let rows = [
        (format!("{job}.0.0.15000"), RunEnding::Done),
        (format!("{job}.0.0.{}", u32::MAX), RunEnding::Failed),
        (format!("{job}.9.0.0"), RunEnding::Done),
    ];
    for (text, ending) in rows {
        let run = RunKey {
            task: TaskKey::parse(&text).expect("the text is a task"),
            attempt: 1,
        };
        let model = simulation.workers.values_mut().next();
        model.expect("there is a worker").end_run(&run, ending);
    }
    assert_undisturbed(&mut simulation, TimeSpan(5_000));
}
