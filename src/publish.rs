//! Command-line tool that checks and publishes team files.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use indexmap::IndexMap;

use crate::access::AccessKey;
use crate::access::confirm;
use crate::client::ClientError;
use crate::client::ClientRequest;
use crate::client::ConfigResponse;
use crate::client::DaemonClient;
use crate::exit::ExitStatus;
use crate::tree;
use mustardpath_core::collection::CheckBounds;
use mustardpath_core::collection::SourceFile;
use mustardpath_core::collection::check;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::config::TeamFile;
use mustardpath_core::difference::ConfigDifference;
use mustardpath_core::difference::difference;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::ids::TeamName;

/// Collects the team files (*.mustardpath.json) of a folder, checks them together and publishes
/// them. Nothing is published if any file is invalid.
#[derive(FromArgs, Debug)]
#[argh(
    example = "{command_name} check services\n\
        {command_name} check services --daemon 10.0.0.7:4100 --key-file operator.key\n\
        {command_name} apply services --daemon 10.0.0.7:4100 --operator linh",
    note = "The operator key is read from MUSTARDPATH_KEY or from the file given with --key-file.",
    error_code(1, "the arguments are invalid; nothing was sent"),
    error_code(2, "a file is invalid; nothing was sent"),
    error_code(3, "the daemon refused the change; nothing has changed"),
    error_code(4, "the daemon is unreachable; nothing was sent"),
    error_code(5, "the outcome is unknown; the change may be in force now or later"),
    error_code(7, "the removal of teams was declined; nothing was sent")
)]
pub struct PublishArgs {
    #[argh(subcommand)]
    command: PublishCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum PublishCommand {
    Check(CheckArgs),
    Apply(ApplyArgs),
}

/// Checks the team files. With --daemon, also shows the changes against the version in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
struct CheckArgs {
    /// folder with the team files, which may be nested
    #[argh(positional)]
    dir: PathBuf,
    /// IP address and port of a daemon or of the load balancer
    #[argh(option)]
    daemon: Option<SocketAddr>,
    /// file with the operator key
    #[argh(option)]
    key_file: Option<PathBuf>,
    /// resources available to jobs on the largest worker, as JSON such as
    /// '{"slots":6,"accelerators":8,"cores":32,"memory_mib":122070}'; by default 6 slots, 8
    /// accelerators, 64 cores and 256 GiB
    #[argh(option, from_str_fn(parse_worker))]
    largest_worker: Option<ResourceDemand>,
}

/// Publishes the changes of the team files against the version in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
struct ApplyArgs {
    /// folder with the team files, which may be nested
    #[argh(positional)]
    dir: PathBuf,
    /// IP address and port of a daemon or of the load balancer
    #[argh(option)]
    daemon: SocketAddr,
    /// name of the operator; shown to operators whose change conflicts with this one
    #[argh(option)]
    operator: String,
    /// file with the operator key
    #[argh(option)]
    key_file: Option<PathBuf>,
    /// resources available to jobs on the largest worker, as JSON such as
    /// '{"slots":6,"accelerators":8,"cores":32,"memory_mib":122070}'; by default 6 slots, 8
    /// accelerators, 64 cores and 256 GiB
    #[argh(option, from_str_fn(parse_worker))]
    largest_worker: Option<ResourceDemand>,
    /// remove teams that have no file, without confirmation
    #[argh(switch)]
    yes: bool,
}

fn parse_worker(text: &str) -> Result<ResourceDemand, String> {
    serde_json::from_str(text).map_err(|error| error.to_string())
}

#[derive(serde::Serialize)]
struct PublishBody<'c> {
    base: ConfigVersion,
    upsert: &'c [TeamFile],
    remove: &'c [TeamName],
    operator: &'c str,
}

#[derive(serde::Deserialize)]
struct PublishResponse {
    version: ConfigVersion,
}

type TeamFiles = IndexMap<TeamName, TeamFile>;

/// Runs a subcommand. Prints its error, if any, and returns the exit status.
#[must_use]
pub fn run(args: &PublishArgs) -> ExitStatus {
    let result = match &args.command {
        PublishCommand::Check(args) => run_check(args),
        PublishCommand::Apply(args) => run_apply(args),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        error.exit_status()
    })
}

fn run_check(args: &CheckArgs) -> Result<ExitStatus, ClientError> {
    let desired = read_files(&args.dir, args.largest_worker)?;
    println!("{} teams, no mistakes", desired.len());
    if let Some(address) = args.daemon {
        let client = new_client(address, args.key_file.as_deref())?;
        let current = client.config()?;
        print_changes(&current, &difference(&current.teams, &desired));
    }
    Ok(ExitStatus::Success)
}

fn run_apply(args: &ApplyArgs) -> Result<ExitStatus, ClientError> {
    let desired = read_files(&args.dir, args.largest_worker)?;
    let client = new_client(args.daemon, args.key_file.as_deref())?;
    let current = client.config()?;
    let change = difference(&current.teams, &desired);
    print_changes(&current, &change);
    if change.is_empty() {
        return Ok(ExitStatus::Success);
    }
    if !change.remove.is_empty() && !args.yes && !confirm("Remove the teams marked with -?") {
        eprintln!("not published: removing teams requires confirmation or --yes");
        return Ok(ExitStatus::Declined);
    }
    let version = publish(&client, &current, &change, &args.operator)
        .or_else(|error| confirm_published(&client, &current, &desired, error))?;
    println!("published as version {version}");
    Ok(ExitStatus::Success)
}

fn read_files(dir: &Path, worker: Option<ResourceDemand>) -> Result<TeamFiles, ClientError> {
    let mut bounds = CheckBounds::default();
    bounds.worker = worker.unwrap_or(bounds.worker);
    let files = tree::collect(dir).map_err(|lines| bad_input(&lines))?;
    let sources: Vec<_> = files
        .iter()
        .map(|(name, bytes)| SourceFile { name, bytes })
        .collect();
    check(&sources, &bounds).map_err(|problems| {
        let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
        bad_input(&lines)
    })
}

fn bad_input(lines: &[String]) -> ClientError {
    let count = lines.len();
    ClientError::BadInput(format!("{}\n{count} mistakes", lines.join("\n")))
}

fn new_client(address: SocketAddr, file: Option<&Path>) -> Result<DaemonClient, ClientError> {
    let key = AccessKey::read(file).map_err(ClientError::BadInput)?;
    Ok(DaemonClient::new(address, Some(key)))
}

fn print_changes(current: &ConfigResponse, change: &ConfigDifference) {
    if change.is_empty() {
        println!("nothing to change: version {} is the same", current.version);
        return;
    }
    println!("changes against version {}:", current.version);
    for line in change.summary(&current.teams) {
        println!("{line}");
    }
}

fn publish(
    client: &DaemonClient,
    current: &ConfigResponse,
    change: &ConfigDifference,
    operator: &str,
) -> Result<ConfigVersion, ClientError> {
    let body = PublishBody {
        base: current.version,
        upsert: &change.upsert,
        remove: &change.remove,
        operator,
    };
    let body =
        serde_json::to_vec(&body).map_err(|error| ClientError::BadInput(error.to_string()))?;
    let response: PublishResponse = client
        .send(&ClientRequest::post("/v1/config", &body))?
        .decode()?;
    Ok(response.version)
}

/// Returns the version of a change whose outcome is unknown, if it is in force by now. Otherwise
/// returns `error`.
fn confirm_published(
    client: &DaemonClient,
    base: &ConfigResponse,
    desired: &TeamFiles,
    error: ClientError,
) -> Result<ConfigVersion, ClientError> {
    if error.exit_status() != ExitStatus::Unknown {
        return Err(error);
    }
    match client.config() {
        Ok(new) if new.version > base.version && new.teams == *desired => Ok(new.version),
        _ => Err(error),
    }
}
