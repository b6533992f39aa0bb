//! Stop signals of the process.

use std::io;
use std::process;
use std::thread;

use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::daemon::StopHandle;
use crate::entry::daemon::EntryHandle;

/// Exit status after a second signal, which interrupts open work.
const INTERRUPTED_EXIT_CODE: i32 = 1;

/// Starts the thread that turns the first signal into a drain and the second into an exit.
///
/// # Errors
///
/// Returns the system's error when the signals or the thread cannot be set up.
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

/// Starts the thread that turns SIGHUP into a reload, the first stop signal into a drain and the
/// second into an exit.
///
/// # Errors
///
/// Returns the system's error when the signals or the thread cannot be set up.
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
