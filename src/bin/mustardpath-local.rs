//! A whole deployment in one process, on embedded stand-ins.
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

/// Runs a deployment over loopback under its own mix of work, takes a failure domain out and back
/// and stops a daemon. The last line on standard output is the result as JSON.
#[derive(FromArgs)]
struct LocalOptions {
    /// folder with deployment.json and team files
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
