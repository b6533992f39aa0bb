//! Command-line tool that checks and publishes team files.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::process::ExitCode;

use mustardpath::publish;

fn main() -> ExitCode {
    publish::run(&argh::from_env()).into()
}
