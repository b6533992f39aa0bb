//! Command-line tool for callers and operators.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::process::ExitCode;

use mustardpath::command;

fn main() -> ExitCode {
    command::run(&argh::from_env()).into()
}
