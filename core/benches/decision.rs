//! Benchmarks one scheduling cycle on fleets of several sizes.

use std::hint::black_box;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use indexmap::IndexMap;

use mustardpath_core::config::GangAdjacency;
use mustardpath_core::config::GuaranteedShape;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::config::ServiceSpec;
use mustardpath_core::config::TeamFile;
use mustardpath_core::config::TeamLimits;
use mustardpath_core::config::WorkKind;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::TeamName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::policy::PolicyKind;
use mustardpath_core::policy::PolicyState;
use mustardpath_core::policy::PolicyView;
use mustardpath_core::policy::RunningJob;
use mustardpath_core::policy::WaitingJob;
use mustardpath_core::policy::WorkerSlot;
use mustardpath_core::policy::decide;
use mustardpath_core::record::JobOrder;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::VmState;
use mustardpath_core::worker::WorkerInfo;

const SIZES: [usize; 4] = [50, 200, 870, 3_480];
/// Tasks on each worker, from the design target of 16,000 tasks on 870 workers.
const TASKS: usize = 18;
const MEMBERS: usize = 12;
const START: ClockTime = ClockTime(1_000_000_000);

fn demand(accelerators: u32) -> ResourceDemand {
    ResourceDemand {
        slots: 1,
        accelerators,
        cores: 2,
        memory_mib: 4_096,
    }
}

fn slot(number: usize) -> WorkerSlot {
    let offered = ResourceDemand {
        slots: 24,
        accelerators: if number.is_multiple_of(6) { 8 } else { 0 },
        cores: 64,
        memory_mib: 256 << 10,
    };
    let used = ResourceDemand {
        slots: TASKS as u32,
        accelerators: 0,
        cores: 2 * TASKS as u32,
        memory_mib: 4_096 * TASKS as u32,
    };
    let mut free = offered;
    free.subtract(&used);
    let info = WorkerInfo {
        worker: format!("worker-{number}").as_str().into(),
        address: String::new(),
        region: format!("region-{}", number % 2).as_str().into(),
        domain: format!("domain-{}", number % 6).as_str().into(),
        rack: format!("rack-{}", number / 48).as_str().into(),
        capacity: offered,
        connections: 64,
        state: VmState::Live,
    };
    WorkerSlot {
        info,
        free,
        offered,
        is_usable: true,
        is_domain_out: false,
    }
}

fn order(team: usize, members: u32, accelerators: u32, preemptible: bool) -> JobOrder {
    JobOrder {
        team: format!("team-{team}").as_str().into(),
        service: "service".into(),
        key: "key".into(),
        payload: String::new(),
        spec: ServiceSpec {
            work: WorkKind::Job,
            repeatable: true,
            urgent: false,
            preemptible,
            priority: 0,
            members,
            demand: demand(accelerators),
            adjacency: GangAdjacency::FewestRacks,
            spread_domains: false,
            run_time: TimeSpan::from_secs(4 * 3_600),
            deadline: None,
        },
    }
}

/// A loaded fleet with waiting jobs.
struct BenchScene {
    workers: IndexMap<WorkerName, WorkerSlot>,
    teams: IndexMap<TeamName, TeamFile>,
    running: Vec<(JobOrder, Vec<WorkerName>)>,
    waiting: Vec<JobOrder>,
}

fn scene(size: usize) -> BenchScene {
    let slots = (0..size).map(slot);
    let workers: IndexMap<_, _> = slots.map(|slot| (slot.info.worker.clone(), slot)).collect();
    let shape = GuaranteedShape {
        workers: 2,
        per_worker: demand(4),
        same_rack: true,
        count: 1,
    };
    let team = |number: usize| TeamFile {
        team: format!("team-{number}").as_str().into(),
        key_sha256: KeyDigest::of("key"),
        weight: 1,
        guarantees: vec![shape.clone(); usize::from(number < size / 12)],
        limits: TeamLimits::default(),
        services: IndexMap::new(),
    };
    let names: Vec<WorkerName> = workers.keys().cloned().collect();
    let gang = |job: usize| {
        let first = job * MEMBERS;
        let member = |member: usize| names[(first + member) % names.len()].clone();
        let workers = (0..MEMBERS).map(member).collect();
        (
            order(job % 61, MEMBERS as u32, 0, !job.is_multiple_of(10)),
            workers,
        )
    };
    BenchScene {
        teams: (0..61)
            .map(|number| (team(number).team.clone(), team(number)))
            .collect(),
        running: (0..size * TASKS / MEMBERS).map(gang).collect(),
        waiting: (0..100)
            .map(|job| {
                order(
                    job % 61,
                    1 + (job as u32 * 7) % 64,
                    (job % 3) as u32 * 4,
                    job % 5 > 0,
                )
            })
            .collect(),
        workers,
    }
}

fn run(scene: &BenchScene, at: ClockTime, state: &mut PolicyState) -> usize {
    let job = |number: usize| JobId(number as u64);
    let running: Vec<_> = (0..)
        .zip(&scene.running)
        .map(|(number, (order, workers))| RunningJob {
            job: job(number),
            order,
            workers,
            placed_at: START,
            checkpoint: TimeSpan(0),
            is_stopping: false,
        })
        .collect();
    let waiting: Vec<_> = (100_000..)
        .zip(&scene.waiting)
        .map(|(number, order)| WaitingJob {
            job: job(number),
            order,
            accepted_at: START,
            checkpoint: TimeSpan(0),
            failed_on: &[],
        })
        .collect();
    let view = PolicyView {
        at,
        kind: PolicyKind::Mustardpath,
        workers: &scene.workers,
        waiting: &waiting,
        running: &running,
        teams: &scene.teams,
        moves_per_hour: 4,
    };
    decide(&view, state).len()
}

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    group.sample_size(20);
    for size in SIZES {
        let scene = scene(size);
        let mut known = PolicyState::default();
        run(&scene, START + TimeSpan(1_000), &mut known);
        let later = START + TimeSpan(60_000);
        let name = BenchmarkId::new("100 waiting jobs", size);
        group.bench_function(name, |bencher| {
            let state = || known.clone();
            let decide = |mut state| black_box(run(&scene, later, &mut state));
            bencher.iter_batched(state, decide, BatchSize::SmallInput);
        });
        let idle = BenchScene {
            waiting: Vec::new(),
            ..scene
        };
        let mut state = PolicyState::default();
        run(&idle, later, &mut state);
        run(&idle, later, &mut state);
        let name = BenchmarkId::new("nothing new", size);
        group.bench_function(name, |bencher| {
            bencher.iter(|| black_box(run(&idle, later, &mut state)));
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
