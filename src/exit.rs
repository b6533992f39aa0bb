//! Exit codes of the command-line tools.

use std::process::ExitCode;

/// How a command-line tool ended. The numbers are part of the interface.
///
/// Wrong arguments end with 1, which the argument parser sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command is done.
    Success = 0,
    /// The input is wrong; nothing was sent.
    BadInput = 2,
    /// The daemon refused the command and did not run it.
    Refused = 3,
    /// No connection to the daemon was made; nothing was sent.
    Unreachable = 4,
    /// The command may have run.
    Unknown = 5,
    /// The command ran, but what was waited for did not happen.
    Unfinished = 6,
    /// The question before the command was not answered with yes; nothing was sent.
    Declined = 7,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
