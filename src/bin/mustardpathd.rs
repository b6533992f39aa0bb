//! The daemon.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use std::path::PathBuf;

use argh::FromArgs;
use simplelog::LevelFilter;

use mustardpath::daemon::RunningDaemon;
use mustardpath::logs;
use mustardpath::settings_file;
use mustardpath::signals;

/// Schedules multi-accelerator jobs and short requests for teams that hold capacity guarantees.
#[derive(FromArgs)]
struct DaemonOptions {
    /// settings file, JSON with comments
    #[argh(positional)]
    settings: PathBuf,
}

fn main() -> io::Result<()> {
    let options: DaemonOptions = argh::from_env();
    logs::init(LevelFilter::Info);
    let settings = settings_file::read_settings(&options.settings)?;
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
