//! Checks of workers' entries. Other writers can spoil the topic, so an entry is believed only if a
//! worker could have written it.

use std::net::SocketAddr;

use crate::batch::job::MAX_DEMAND;
use crate::batch::job::WorkerEntry;
use crate::batch::session::WorkerSession;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Maximum number of labels of a worker.
const MAX_LABELS: usize = 64;

/// Maximum lead of a worker's start over the daemon's clock. Wall clocks differ by seconds, and an
/// entry with a later start would hide all entries of the worker itself.
const MAX_START_LEAD: TimeSpan = TimeSpan::from_secs(600);

/// Checks an entry by itself.
///
/// # Errors
///
/// Returns why no worker can have written it.
pub fn check(entry: &WorkerEntry, at: ClockTime) -> Result<(), String> {
    let address = entry.address.parse::<SocketAddr>();
    let address = address.map_err(|error| format!("address: {error}"))?;
    let ip = address.ip();
    if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(format!("{address} is not the address of a process"));
    }
    if entry.labels.len() > MAX_LABELS {
        return Err(format!("more than {MAX_LABELS} labels"));
    }
    if !entry.capacity.fits(&MAX_DEMAND) {
        return Err("more capacity than any machine has".to_owned());
    }
    if ClockTime(entry.incarnation) > at + MAX_START_LEAD {
        return Err("the process has not started yet".to_owned());
    }
    Ok(())
}

/// Checks an entry against the session of its worker.
///
/// # Errors
///
/// Returns the reason if the entry names another address while a process still answers at the known
/// one. A worker that did start again elsewhere is believed once its old process is silent.
pub fn check_session(entry: &WorkerEntry, session: &WorkerSession) -> Result<(), String> {
    let has_answered = session.hold.answered_at.is_some();
    let is_same_process = session.incarnation == entry.incarnation;
    let is_verified = has_answered && (is_same_process || session.hold.failures == 0);
    match &session.address {
        Some(address) if is_verified && *address != entry.address => {
            Err(format!("the worker answers at {address}"))
        }
        _ => Ok(()),
    }
}
