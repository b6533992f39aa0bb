//! The load generator: options, one run of a scenario, and its summary.

use std::io;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;
use serde_json::Value;
use serde_json::json;

use crate::load_cluster::LoadCluster;
use crate::load_plan::LoadPlan;
use crate::load_plan::LoadScenario;
use crate::load_plan::SCENARIOS;
use crate::load_report;
use crate::load_stats;
use crate::load_stats::LoadStats;
use crate::load_stats::PHASE_NAMES;
use crate::load_stats::RequestOutcome;
use crate::load_stats::SETTLING_TIME;
use crate::load_traffic::CallerPool;

/// Prefix of the statsd lines in which daemons report retries.
const RETRIES_METRIC: &str = "mustardpath.retries:";

/// Maximum number of results that wait for the collector.
const RESULT_QUEUE_CAPACITY: usize = 4_096;

/// Minimum time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Sends short requests at a fixed rate through three daemons and reports outcomes and latencies.
#[derive(FromArgs)]
pub struct LoadOptions {
    /// print the scenarios, one per line
    #[argh(switch)]
    list: bool,
    /// scenario to run, see --list
    #[argh(option)]
    scenario: Option<LoadScenario>,
    /// print the summary as one line of JSON
    #[argh(switch)]
    json: bool,
    /// seed of the arrival times
    #[argh(option, default = "1")]
    seed: u64,
    /// requests per second
    #[argh(option, default = "300.0")]
    rate: f64,
    /// length of each phase (before, during and after the fault) in seconds
    #[argh(option, default = "15")]
    phase_s: u64,
    /// processing time of a request at its endpoint, in ms
    #[argh(option, default = "5")]
    run_ms: u64,
    /// file for a report in Markdown; the plot is written next to it as SVG
    #[argh(option)]
    report: Option<PathBuf>,
}

/// Lists the scenarios, or runs one and prints its summary.
///
/// # Errors
///
/// Returns an error when the options are invalid, when the deployment cannot be started, or when
/// the report cannot be written.
pub fn run(options: &LoadOptions) -> io::Result<()> {
    if options.list {
        for (name, _) in SCENARIOS {
            println!("{name}");
        }
        return Ok(());
    }
    let scenario = options
        .scenario
        .ok_or_else(|| io::Error::other("one of --scenario and --list is required"))?;
    if options.rate <= 0.0 || options.phase_s == 0 {
        return Err(io::Error::other(
            "--rate and --phase-s must be greater than zero",
        ));
    }
    let plan = LoadPlan {
        scenario,
        seed: options.seed,
        rate: options.rate,
        phase_duration: Duration::from_secs(options.phase_s),
        run_ms: options.run_ms,
    };
    let (stats, summary) = run_scenario(&plan)?;
    if let Some(path) = &options.report {
        load_report::write(path, &plan, &stats, &summary.to_string())?;
    }
    if options.json {
        println!("{summary}");
    } else {
        println!("{summary:#}");
    }
    Ok(())
}

/// Runs a scenario and returns its statistics and their summary as JSON.
///
/// # Errors
///
/// Returns an error when the deployment cannot be started, when the fault cannot be injected or
/// cleared, or when a thread of the run has panicked.
pub fn run_scenario(plan: &LoadPlan) -> io::Result<(LoadStats, Value)> {
    let (statsd_address, retries) = spawn_retry_counter()?;
    let cluster = LoadCluster::start(statsd_address)?;
    cluster.spawn_readiness_poller()?;
    eprintln!(
        "load: deployment is ready; scenario {}, seed {}",
        plan.scenario, plan.seed
    );
    let (results, received) = crossbeam_channel::bounded(RESULT_QUEUE_CAPACITY);
    let start = Instant::now();
    let pool = CallerPool::start(&cluster, *plan, start, &results)?;
    drop(results);
    let collector = thread::spawn({
        let mut stats = LoadStats::new(plan.phase_duration);
        let mut last_progress_at = Instant::now();
        move || {
            for result in received {
                stats.add(result);
                if last_progress_at.elapsed() >= PROGRESS_INTERVAL {
                    last_progress_at = Instant::now();
                    eprintln!(
                        "load: {} answered, {} refused, {} unknown, {} disconnected",
                        stats.count(RequestOutcome::Answered),
                        stats.count(RequestOutcome::NotRun),
                        stats.count(RequestOutcome::Unknown),
                        stats.count(RequestOutcome::Disconnected)
                    );
                }
            }
            stats
        }
    });
    let fault_injector = spawn_fault_injector(&cluster, *plan, start)?;
    let sent = pool.send_all(plan, start);
    let thread_panicked = |_| io::Error::other("a thread of the load run has panicked");
    fault_injector.join().map_err(thread_panicked)??;
    let stats = collector.join().map_err(thread_panicked)?;
    let summary = summarize(
        plan,
        &stats,
        &cluster,
        sent,
        retries.load(Ordering::Relaxed),
    )?;
    Ok((stats, summary))
}

fn spawn_fault_injector(
    cluster: &Arc<LoadCluster>,
    plan: LoadPlan,
    start: Instant,
) -> io::Result<thread::JoinHandle<io::Result<()>>> {
    let cluster = Arc::clone(cluster);
    thread::Builder::new().name("faults".into()).spawn(move || {
        thread::sleep((start + plan.phase_duration).saturating_duration_since(Instant::now()));
        eprintln!("load: fault phase of {} starts", plan.scenario);
        cluster.inject_fault(&plan)?;
        thread::sleep((start + plan.phase_duration * 2).saturating_duration_since(Instant::now()));
        eprintln!("load: fault phase of {} ends", plan.scenario);
        cluster.clear_fault(&plan)
    })
}

/// Starts a statsd listener that sums the retries of all daemons. Returns its address and the sum.
fn spawn_retry_counter() -> io::Result<(String, Arc<AtomicU64>)> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    let address = socket.local_addr()?.to_string();
    let retries = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&retries);
    thread::Builder::new()
        .name("metrics".into())
        .spawn(move || {
            let mut buffer = [0; 2_048];
            while let Ok(count) = socket.recv(&mut buffer) {
                let text = String::from_utf8_lossy(&buffer[..count]);
                for line in text.lines() {
                    let value = line.strip_prefix(RETRIES_METRIC);
                    let value = value.and_then(|rest| rest.split('|').next());
                    let amount: u64 = value.and_then(|text| text.parse().ok()).unwrap_or(0);
                    counter.fetch_add(amount, Ordering::Relaxed);
                }
            }
        })?;
    Ok((address, retries))
}

fn summarize(
    plan: &LoadPlan,
    stats: &LoadStats,
    cluster: &LoadCluster,
    sent: usize,
    retries: u64,
) -> io::Result<Value> {
    let run_counts = cluster.run_counts()?;
    let phases = PHASE_NAMES.iter().enumerate().map(|(index, name)| {
        let overall = load_stats::latency_json(&stats.phase_latency(index, Duration::ZERO));
        let settled = load_stats::latency_json(&stats.phase_latency(index, SETTLING_TIME));
        let value = json!({ "latency_ms": overall, "settled_latency_ms": settled });
        ((*name).to_owned(), value)
    });
    Ok(json!({
        "scenario": plan.scenario.to_string(),
        "seed": plan.seed,
        "rate": plan.rate,
        "sent": sent,
        "answered": stats.count(RequestOutcome::Answered),
        "refused_not_run": stats.count(RequestOutcome::NotRun),
        "refused_but_run": stats.false_refusals(&run_counts),
        "unknown": stats.count(RequestOutcome::Unknown),
        "wrong": stats.count(RequestOutcome::Wrong),
        "run_twice": stats.run_twice(&run_counts),
        "cut": stats.count(RequestOutcome::Disconnected),
        "latency_ms": load_stats::latency_json(&stats.latency(|_| true)),
        "retries": retries,
        "region_bytes": cluster.cross_region_bytes(),
        "phases": Value::Object(phases.collect()),
    }))
}
