//! Replays traces under the scheduling policies.

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
