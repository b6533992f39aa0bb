//! Exit codes of the command-line tools.

use std::process::ExitCode;

/// Exit status of a command-line tool. Scripts rely on the numbers.
///
/// The argument parser exits with 1 if the arguments are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command ran, and any awaited state was reached in time.
    Success = 0,
    /// The input is invalid. Nothing was sent.
    BadInput = 2,
    /// The daemon refused the command and did not run it.
    Refused = 3,
    /// The connection to the daemon failed. Nothing was sent.
    Unreachable = 4,
    /// The outcome is unknown: the command may have run.
    Unknown = 5,
    /// The command ran, but the work failed or the awaited state was not reached in time.
    Unfinished = 6,
    /// The confirmation was declined. Nothing was sent.
    Declined = 7,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
