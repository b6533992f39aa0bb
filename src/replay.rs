//! The command `mustardpath-replay`: lists, writes and compares traces.

use std::io::Write;
use std::path::PathBuf;

use argh::FromArgs;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

use crate::generator::Disruption;
use crate::generator::TraceRecipe;
use crate::generator::generate;
use crate::simulation::replay;
use crate::trace::TraceFile;
use crate::workload::DeploymentKind;
use mustardpath_core::policy::PolicyKind;

/// Replays traces under the policies of the scheduler.
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

/// Prints the names of the traces, one a line.
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

/// Runs all policies on one trace.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareArgs {
    /// name of the trace
    #[argh(option)]
    trace: String,
    /// print one JSON object on the last line instead of a table
    #[argh(switch)]
    json: bool,
    /// folder with the committed traces; a trace that it lacks is generated
    #[argh(option, default = "PathBuf::from(\"traces\")")]
    dir: PathBuf,
}

/// A trace by its name.
struct NamedTrace {
    name: &'static str,
    recipe: TraceRecipe,
}

const fn named(
    name: &'static str,
    deployment: DeploymentKind,
    disruption: Disruption,
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

/// All traces.
const TRACES: [NamedTrace; 13] = [
    named(
        "thanh-lam-day",
        DeploymentKind::ThanhLam,
        Disruption::None,
        101,
    ),
    named(
        "thanh-lam-small-burst",
        DeploymentKind::ThanhLam,
        Disruption::SmallBurst,
        102,
    ),
    named(
        "thanh-lam-wrong-sizes",
        DeploymentKind::ThanhLam,
        Disruption::WrongDeclarations,
        103,
    ),
    named(
        "thanh-lam-cancellations",
        DeploymentKind::ThanhLam,
        Disruption::Cancellations,
        104,
    ),
    named(
        "thanh-lam-domain-out",
        DeploymentKind::ThanhLam,
        Disruption::DomainOut,
        105,
    ),
    named(
        "thanh-lam-faulty-workers",
        DeploymentKind::ThanhLam,
        Disruption::FaultyWorkers,
        106,
    ),
    named(
        "cordillera-day",
        DeploymentKind::Cordillera,
        Disruption::None,
        201,
    ),
    named(
        "cordillera-large-burst",
        DeploymentKind::Cordillera,
        Disruption::LargeBurst,
        202,
    ),
    named(
        "cordillera-wrong-sizes",
        DeploymentKind::Cordillera,
        Disruption::WrongDeclarations,
        203,
    ),
    named(
        "cordillera-domain-out",
        DeploymentKind::Cordillera,
        Disruption::DomainOut,
        204,
    ),
    named(
        "cordillera-faulty-workers",
        DeploymentKind::Cordillera,
        Disruption::FaultyWorkers,
        205,
    ),
    named("target-day", DeploymentKind::Target, Disruption::None, 301),
    named(
        "target-domain-out",
        DeploymentKind::Target,
        Disruption::DomainOut,
        302,
    ),
];

/// The policies with the names that the output uses.
const POLICIES: [(&str, PolicyKind); 3] = [
    ("first-fit", PolicyKind::FirstFit),
    ("strict-priority", PolicyKind::StrictPriority),
    ("mustardpath", PolicyKind::Mustardpath),
];

fn find(name: &str) -> Result<&'static NamedTrace, String> {
    TRACES
        .iter()
        .find(|trace| trace.name == name)
        .ok_or_else(|| format!("there is no trace {name:?}; the command list prints the names"))
}

/// Returns a trace as its seed gives it, as JSON lines.
///
/// # Errors
///
/// Returns a message when there is no trace of this name.
pub fn written(name: &str) -> Result<String, String> {
    generate(find(name)?.recipe).format()
}

fn load(arguments: &CompareArgs) -> Result<TraceFile, String> {
    let named = find(&arguments.trace)?;
    let path = arguments.dir.join(format!("{}.jsonl", named.name));
    match std::fs::read_to_string(&path) {
        Ok(text) => TraceFile::parse(&text).map_err(|error| format!("{}: {error}", path.display())),
        Err(_) => Ok(generate(named.recipe)),
    }
}

fn compare(arguments: &CompareArgs) -> Result<Value, String> {
    let trace = load(arguments)?;
    eprintln!("{}: {} events", arguments.trace, trace.events.len());
    let mut policies = IndexMap::new();
    for (name, kind) in POLICIES {
        eprintln!("{}: running {name}", arguments.trace);
        policies.insert(name, replay(&trace, kind).to_json());
    }
    Ok(json!({ "trace": arguments.trace, "policies": policies }))
}

/// Formats the measures that one line has room for.
fn table(result: &Value) -> String {
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
/// Returns a message for the user.
pub fn run() -> Result<(), String> {
    let arguments: ReplayArgs = argh::from_env();
    let text = match arguments.command {
        ReplayCommand::List(_) => TRACES
            .iter()
            .map(|trace| format!("{}\n", trace.name))
            .collect(),
        ReplayCommand::Write(arguments) => written(&arguments.trace)?,
        ReplayCommand::Compare(arguments) => {
            let result = compare(&arguments)?;
            if arguments.json {
                format!("{result}\n")
            } else {
                table(&result)
            }
        }
    };
    std::io::stdout()
        .write_all(text.as_bytes())
        .map_err(|error| error.to_string())
}
