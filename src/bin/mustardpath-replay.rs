//! Replays traces under the policies of the scheduler.

use std::process::ExitCode;

use mustardpath::replay;

fn main() -> ExitCode {
    match replay::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("mustardpath-replay: {message}");
            ExitCode::FAILURE
        }
    }
}
