//! Runs a complete deployment in one process with embedded stand-ins.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use simplelog::LevelFilter;
use simplelog::TerminalMode;

use mustardpath::local_run;
use mustardpath::logs;

/// Runs a deployment over loopback with its mix of work, takes a failure domain out of service and
/// back, and stops a daemon. Prints a summary as one line of JSON to standard output.
#[derive(FromArgs)]
struct LocalOptions {
    /// folder with deployment.json and the team files
    #[argh(positional)]
    folder: PathBuf,
}

fn main() -> io::Result<ExitCode> {
    let options: LocalOptions = argh::from_env();
    logs::init(LevelFilter::Info, TerminalMode::Stderr);
    let summary = local_run::run(&options.folder)?;
    println!("{}", serde_json::to_string(&summary)?);
    Ok(if summary.has_no_violations() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
