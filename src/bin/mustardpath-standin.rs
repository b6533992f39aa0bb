//! Runs the stand-ins of a deployment as HTTP servers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io;
use std::path::PathBuf;
use std::thread;

use argh::FromArgs;
use serde_json::json;

use mustardpath::deployment;

/// Starts the log, the VM list and all workers of a deployment on loopback ports.
#[derive(FromArgs)]
struct StandinOptions {
    /// deployment file, in JSON with comments
    #[argh(positional)]
    file: PathBuf,
}

fn main() -> io::Result<()> {
    let options: StandinOptions = argh::from_env();
    let plan = deployment::read(&options.file)?;
    let (_platform, addresses) = deployment::start_standins(&plan)?;
    println!(
        "{}",
        json!({
            "log": addresses.log,
            "vms": addresses.vms,
            "workers": addresses.workers,
        })
    );
    loop {
        thread::park();
    }
}
