//! Signal handling of the daemon processes.

use std::io;
use std::process;
use std::thread;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::daemon::StopHandle;
use crate::entry::daemon::EntryHandle;

/// Exit code after a second stop signal, which aborts open work.
const INTERRUPTED_EXIT_CODE: i32 = 1;

/// Starts the signal thread of a standalone daemon. The first SIGTERM or SIGINT starts a graceful
/// shutdown, the second one exits the process.
///
/// # Errors
///
/// Returns the I/O error when the signal handlers or the thread cannot be set up.
pub fn spawn(stop: StopHandle) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            let mut received = signals.forever();
            if received.next().is_some() {
                stop.drain();
            }
            if received.next().is_some() {
                process::exit(INTERRUPTED_EXIT_CODE);
            }
        })?;
    Ok(())
}

/// Starts the signal thread of a daemon on the users' platform. SIGHUP reloads the settings, the
/// first SIGTERM or SIGINT starts a graceful shutdown, the second one exits the process.
///
/// # Errors
///
/// Returns the I/O error when the signal handlers or the thread cannot be set up.
pub fn spawn_entry(handle: EntryHandle) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            let mut is_stopping = false;
            for signal in signals.forever() {
                match signal {
                    SIGHUP => handle.reload(),
                    _ if is_stopping => process::exit(INTERRUPTED_EXIT_CODE),
                    _ => {
                        is_stopping = true;
                        handle.drain();
                    }
                }
            }
        })?;
    Ok(())
}
