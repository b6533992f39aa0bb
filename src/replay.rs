//! The command `mustardpath-replay`, which lists, generates and compares traces.

use std::io::Write;
use std::path::PathBuf;

use argh::FromArgs;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

use crate::generator::TraceDisruption;
use crate::generator::TraceRecipe;
use crate::generator::generate;
use crate::simulation::replay;
use crate::trace::TraceFile;
use crate::workload::DeploymentKind;
use mustardpath_core::policy::PolicyKind;

/// Replays traces under the scheduling policies.
#[derive(FromArgs)]
struct ReplayArgs {
    #[argh(subcommand)]
    command: ReplayCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ReplayCommand {
    List(ListArgs),
    Write(WriteArgs),
    Compare(CompareArgs),
}

/// Prints the names of all traces, one per line.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ListArgs {}

/// Prints a generated trace as JSON lines.
#[derive(FromArgs)]
#[argh(subcommand, name = "write")]
struct WriteArgs {
    /// name of the trace
    #[argh(option)]
    trace: String,
}

/// Replays one trace under all policies and prints their metrics.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareArgs {
    /// name of the trace
    #[argh(option)]
    trace: String,
    /// print one JSON object on the last line instead of a table
    #[argh(switch)]
    json: bool,
    /// directory with trace files; a trace without a file is generated
    #[argh(option, default = "PathBuf::from(\"traces\")")]
    dir: PathBuf,
}

struct NamedTrace {
    name: &'static str,
    recipe: TraceRecipe,
}

const fn trace_entry(
    name: &'static str,
    deployment: DeploymentKind,
    disruption: TraceDisruption,
    seed: u64,
) -> NamedTrace {
    let (hours, load_percent) = match deployment {
        DeploymentKind::Target => (12, 75),
        _ => (24, 95),
    };
    NamedTrace {
        name,
        recipe: TraceRecipe {
            deployment,
            disruption,
            hours,
            load_percent,
            seed,
        },
    }
}

/// All traces, each with its own seed.
const TRACES: [NamedTrace; 13] = [
    trace_entry(
        "thanh-lam-day",
        DeploymentKind::ThanhLam,
        TraceDisruption::None,
        101,
    ),
    trace_entry(
        "thanh-lam-small-burst",
        DeploymentKind::ThanhLam,
        TraceDisruption::SmallBurst,
        102,
    ),
    trace_entry(
        "thanh-lam-wrong-sizes",
        DeploymentKind::ThanhLam,
        TraceDisruption::WrongDeclarations,
        103,
    ),
    trace_entry(
        "thanh-lam-cancellations",
        DeploymentKind::ThanhLam,
        TraceDisruption::Cancellations,
        104,
    ),
    trace_entry(
        "thanh-lam-domain-out",
        DeploymentKind::ThanhLam,
        TraceDisruption::DomainOut,
        105,
    ),
    trace_entry(
        "thanh-lam-faulty-workers",
        DeploymentKind::ThanhLam,
        TraceDisruption::FaultyWorkers,
        106,
    ),
    trace_entry(
        "cordillera-day",
        DeploymentKind::Cordillera,
        TraceDisruption::None,
        201,
    ),
    trace_entry(
        "cordillera-large-burst",
        DeploymentKind::Cordillera,
        TraceDisruption::LargeBurst,
        202,
    ),
    trace_entry(
        "cordillera-wrong-sizes",
        DeploymentKind::Cordillera,
        TraceDisruption::WrongDeclarations,
        203,
    ),
    trace_entry(
        "cordillera-domain-out",
        DeploymentKind::Cordillera,
        TraceDisruption::DomainOut,
        204,
    ),
    trace_entry(
        "cordillera-faulty-workers",
        DeploymentKind::Cordillera,
        TraceDisruption::FaultyWorkers,
        205,
    ),
    trace_entry(
        "target-day",
        DeploymentKind::Target,
        TraceDisruption::None,
        301,
    ),
    trace_entry(
        "target-domain-out",
        DeploymentKind::Target,
        TraceDisruption::DomainOut,
        302,
    ),
];

/// The policies with their names in the output.
const POLICIES: [(&str, PolicyKind); 3] = [
    ("first-fit", PolicyKind::FirstFit),
    ("strict-priority", PolicyKind::StrictPriority),
    ("mustardpath", PolicyKind::Mustardpath),
];

fn find_trace(name: &str) -> Result<&'static NamedTrace, String> {
    TRACES
        .iter()
        .find(|trace| trace.name == name)
        .ok_or_else(|| format!("no trace is named {name:?}; the command `list` prints all names"))
}

/// Generates a trace from its seed and formats it as JSON lines.
///
/// # Errors
///
/// Returns a message if there is no trace of this name.
pub fn format_trace(name: &str) -> Result<String, String> {
    generate(find_trace(name)?.recipe).format()
}

fn load_trace(arguments: &CompareArgs) -> Result<TraceFile, String> {
    let trace = find_trace(&arguments.trace)?;
    let path = arguments.dir.join(format!("{}.jsonl", trace.name));
    match std::fs::read_to_string(&path) {
        Ok(text) => TraceFile::parse(&text).map_err(|error| format!("{}: {error}", path.display())),
        Err(_) => Ok(generate(trace.recipe)),
    }
}

fn compare(arguments: &CompareArgs) -> Result<Value, String> {
    let trace = load_trace(arguments)?;
    eprintln!("{}: {} events", arguments.trace, trace.events.len());
    let mut policies = IndexMap::new();
    for (name, kind) in POLICIES {
        eprintln!("{}: replaying under policy {name}", arguments.trace);
        policies.insert(name, replay(&trace, kind).to_json());
    }
    Ok(json!({ "trace": arguments.trace, "policies": policies }))
}

/// Formats a table with the main metrics, one line per policy.
fn format_table(result: &Value) -> String {
    let mut text = String::from(
        "policy            mean s    p95 s  urgent p99 s  fragmentation  useful h  lost h  broken\n",
    );
    for (name, _) in POLICIES {
        let policy = &result["policies"][name];
        let number = |value: &Value| value.as_f64().unwrap_or(f64::NAN);
        text += &format!(
            "{name:<16} {:>7.0} {:>8.0} {:>13.1} {:>14.3} {:>9.1} {:>7.1} {:>7}\n",
            number(&policy["mean_completion_s"]["overall"]),
            number(&policy["p95_completion_s"]["overall"]),
            number(&policy["urgent_p99_start_s"]),
            number(&policy["fragmentation"]),
            number(&policy["useful_hours_domain_out"]),
            number(&policy["lost_hours"]),
            number(&policy["broken"]),
        );
    }
    text
}

/// Runs the command with the arguments of the process.
///
/// # Errors
///
/// Returns a message if the trace is unknown or invalid, or if the output cannot be written.
pub fn run() -> Result<(), String> {
    let arguments: ReplayArgs = argh::from_env();
    let text = match arguments.command {
        ReplayCommand::List(_) => TRACES
            .iter()
            .map(|trace| format!("{}\n", trace.name))
            .collect(),
        ReplayCommand::Write(arguments) => format_trace(&arguments.trace)?,
        ReplayCommand::Compare(arguments) => {
            let result = compare(&arguments)?;
            if arguments.json {
                format!("{result}\n")
            } else {
                format_table(&result)
            }
        }
    };
    std::io::stdout()
        .write_all(text.as_bytes())
        .map_err(|error| error.to_string())
}
