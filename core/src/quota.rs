//! Division of cluster-wide limits among the live daemons.

use std::hash::Hasher;

use twox_hash::XxHash64;

use crate::ids::DaemonName;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::worker::VmState;

/// Returns the daemons that share the limits, sorted by name.
///
/// A draining daemon counts until its heartbeats stop, because it still finishes requests. A daemon
/// on the VM list counts for one heartbeat timeout before its first heartbeat, so a process that
/// has just started does not claim the whole limit for itself.
#[must_use]
pub fn active_daemons(state: &DaemonState, at: ClockTime) -> Vec<&DaemonName> {
    let heartbeat_timeout = state.settings.timing.daemon_silence;
    let others = state.members.daemons.iter();
    let mut active: Vec<&DaemonName> = others
        .filter(|(_, entry)| at.since(entry.last_heartbeat_at) <= heartbeat_timeout)
        .filter(|(_, entry)| entry.heartbeat.is_some() || entry.info.state == VmState::Live)
        .map(|(daemon, _)| daemon)
        .chain(std::iter::once(&state.settings.daemon))
        .collect();
    active.sort();
    active
}

/// Returns the share of `total` that belongs to `own`: the integer quotient, plus one unit of the
/// remainder when the daemon ranks high enough by rendezvous hash for `label`. The shares of all
/// daemons with the same view add up to `total`.
#[must_use]
pub fn share(total: u32, daemons: &[DaemonName], own: &DaemonName, label: &str) -> u32 {
    let count = u32::try_from(daemons.len()).unwrap_or(u32::MAX).max(1);
    let score = |daemon: &DaemonName| (score(daemon, label), daemon.clone());
    let own_score = score(own);
    let rank = daemons
        .iter()
        .filter(|daemon| score(daemon) > own_score)
        .count();
    let extra = rank < (total % count) as usize;
    total / count + u32::from(extra)
}

fn score(daemon: &DaemonName, label: &str) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(daemon.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(label.as_bytes());
    hasher.finish()
}
