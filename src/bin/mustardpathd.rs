//! The mustardpath daemon.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use std::path::PathBuf;

use argh::FromArgs;
use simplelog::LevelFilter;
use simplelog::TerminalMode;

use mustardpath::daemon::RunningDaemon;
use mustardpath::entry::daemon::EntryDaemon;
use mustardpath::logs;
use mustardpath::settings_file;
use mustardpath::signals;
use mustardpath_core::batch::settings::BatchSettings;
use mustardpath_core::settings::DaemonSettings;

/// Schedules multi-accelerator jobs and short requests for teams that hold capacity guarantees.
#[derive(FromArgs)]
struct DaemonOptions {
    /// settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,

    /// check the settings, report all mistakes and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> io::Result<()> {
    let options: DaemonOptions = argh::from_env();
    let settings = settings_file::read_settings(&options.settings)?;
    // The users' platform collects logs from standard output.
    let stream = match settings.batch {
        Some(_) => TerminalMode::Stdout,
        None => TerminalMode::Stderr,
    };
    logs::init(LevelFilter::Info, stream);
    if options.check {
        println!("{} is valid", options.settings.display());
        return Ok(());
    }
    match settings.batch.clone() {
        Some(batch) => run_entry(settings, &batch, options.settings),
        None => run_standalone(settings),
    }
}

/// Runs the daemon on the users' platform.
fn run_entry(settings: DaemonSettings, batch: &BatchSettings, path: PathBuf) -> io::Result<()> {
    let line = format!(
        "process: outcome=started callers={} store={}",
        settings.caller_address, settings.log_address
    );
    let daemon = EntryDaemon::start(settings, batch, path)?;
    log::info!("{line}");
    signals::spawn_entry(daemon.handle())?;
    daemon.wait().inspect_err(|error| {
        log::error!("process: outcome=failed reason={error:?}");
    })?;
    log::info!("process: outcome=ended");
    Ok(())
}

/// Runs a standalone daemon on the product's own log and workers.
fn run_standalone(settings: DaemonSettings) -> io::Result<()> {
    let daemon = RunningDaemon::start(settings)?;
    let settings = &daemon.settings;
    log::info!(
        "process: callers at {}, peers at {}",
        settings.caller_address,
        settings.peer_address
    );
    signals::spawn(daemon.stop_handle())?;
    daemon.wait();
    Ok(())
}
