//! Cluster membership: the VM list, heartbeats between daemons and the assignment of workers to
//! shares.

use std::hash::Hasher;

use indexmap::IndexMap;
use twox_hash::XxHash64;

use crate::context::StepContext;
use crate::dump;
use crate::effect::ControlEffect;
use crate::effect::LogTarget;
use crate::effect::PeerHeartbeat;
use crate::effect::PeerMessage;
use crate::event::VmOutcome;
use crate::ids::DaemonName;
use crate::ids::RegionName;
use crate::ids::WorkerName;
use crate::lease;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::worker::DaemonInfo;
use crate::worker::VmState;
use crate::worker::WorkerInfo;

/// Another daemon, known from the VM list or from its heartbeats.
#[derive(Clone, Debug)]
pub struct DaemonEntry {
    /// The daemon's entry in the VM list, or its heartbeat's data until the list contains it.
    pub info: DaemonInfo,
    /// Last heartbeat received.
    pub heartbeat: Option<PeerHeartbeat>,
    /// Time of the last heartbeat, or of the daemon's first appearance in the VM list.
    pub last_heartbeat_at: ClockTime,
}

/// A worker known from the VM list.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// The worker's entry in the VM list.
    pub info: WorkerInfo,
    /// Whether the worker itself has reported that it is about to stop.
    pub is_leaving: bool,
    /// Time at which the VM list first reported the worker as gone.
    pub gone_at: Option<ClockTime>,
}

/// Daemons and workers known to this daemon.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    /// Other daemons by name.
    pub daemons: IndexMap<DaemonName, DaemonEntry>,
    /// Workers by name, including those that are gone.
    pub workers: IndexMap<WorkerName, WorkerEntry>,
    /// Version of the VM list that has been applied.
    pub vm_version: u64,
    next_vm_poll: ClockTime,
    is_vm_poll_in_flight: bool,
    next_heartbeat: ClockTime,
    /// Live daemons as of the last tick, used to log changes only.
    last_live: Vec<DaemonName>,
}

impl MemberTable {
    /// Sends heartbeats at the next tick instead of the next interval, so that other daemons
    /// receive a change without delay.
    pub fn send_heartbeat_now(&mut self) {
        self.next_heartbeat = ClockTime::default();
    }
}

impl WorkerEntry {
    /// Returns whether the worker is live and neither the VM list nor the worker reports that it is
    /// leaving.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        self.info.state == VmState::Live && !self.is_leaving
    }
}

impl DaemonEntry {
    /// Creates the entry of a daemon whose heartbeat arrived before the VM list contained it.
    fn from_heartbeat(daemon: &DaemonName, heartbeat: &PeerHeartbeat) -> Self {
        let info = DaemonInfo {
            daemon: daemon.clone(),
            address: heartbeat.peer_address.clone(),
            region: heartbeat.region.clone(),
            domain: heartbeat.domain.clone(),
            state: VmState::Live,
        };
        Self {
            info,
            heartbeat: None,
            last_heartbeat_at: ClockTime::default(),
        }
    }
    /// Returns whether the daemon is live and may own shares.
    fn is_live(&self, at: ClockTime, state: &DaemonState) -> bool {
        let Some(heartbeat) = &self.heartbeat else {
            return false;
        };
        self.info.state != VmState::Leaving
            && !heartbeat.draining
            && at.since(self.last_heartbeat_at) <= state.settings.timing.daemon_silence
    }
}

/// Returns the last heartbeats of daemons that have not exceeded the silence limit.
pub fn current_heartbeats(
    state: &DaemonState,
    at: ClockTime,
) -> impl Iterator<Item = &PeerHeartbeat> {
    let silence = state.settings.timing.daemon_silence;
    state
        .members
        .daemons
        .values()
        .filter(move |entry| at.since(entry.last_heartbeat_at) <= silence)
        .filter_map(|entry| entry.heartbeat.as_ref())
}

/// Returns the live daemons that may own shares, including this one unless it is draining.
#[must_use]
pub fn live_daemons(state: &DaemonState, at: ClockTime) -> Vec<(&DaemonName, &RegionName)> {
    let mut live: Vec<_> = state
        .members
        .daemons
        .iter()
        .filter(|(_, entry)| entry.is_live(at, state))
        .map(|(daemon, entry)| (daemon, &entry.info.region))
        .collect();
    if state.shutdown.is_none() {
        live.push((&state.settings.daemon, &state.settings.region));
    }
    live.sort();
    live
}

/// Returns this daemon's rank among the live daemons, not counting the holder of the term.
#[must_use]
pub fn claim_rank(state: &DaemonState, at: ClockTime) -> u64 {
    let holder = crate::ledger::term_holder(&state.ledger);
    live_daemons(state, at)
        .iter()
        .filter(|(daemon, _)| Some(*daemon) != holder)
        .position(|(daemon, _)| **daemon == state.settings.daemon)
        .unwrap_or(0) as u64
}

/// Returns the rendezvous-hashing score of a daemon for a worker.
#[must_use]
pub fn share_score(daemon: &DaemonName, worker: &WorkerName) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(daemon.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(worker.as_str().as_bytes());
    hasher.finish()
}

/// Returns the daemon whose share contains a worker: the one with the highest score among the live
/// daemons of the worker's region, or among all live daemons when that region has none.
#[must_use]
pub fn share_owner<'a>(
    live: &[(&'a DaemonName, &'a RegionName)],
    info: &WorkerInfo,
) -> Option<&'a DaemonName> {
    let local = live.iter().filter(|(_, region)| **region == info.region);
    let best = local.max_by_key(|(daemon, _)| share_score(daemon, &info.worker));
    best.or_else(|| {
        live.iter()
            .max_by_key(|(daemon, _)| share_score(daemon, &info.worker))
    })
    .map(|(daemon, _)| *daemon)
}

/// Sends heartbeats, polls the VM list and reassigns shares when they are due.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    if context.at >= state.members.next_vm_poll && !state.members.is_vm_poll_in_flight {
        state.members.is_vm_poll_in_flight = true;
        state.members.next_vm_poll = context.at + state.settings.timing.vm_poll;
        context.push(ControlEffect::FetchVms {
            since: state.members.vm_version,
        });
    }
    if context.at >= state.members.next_heartbeat {
        state.members.next_heartbeat = context.at + state.settings.timing.heartbeat;
        send_heartbeats(state, context);
        dump::report_gauges(state, context);
    }
    remove_gone(state, context.at);
    reassign_shares(state, context);
}

/// Removes daemons that the VM list reports as gone and that are silent. Both are required, because
/// the list lags and heartbeats may be lost.
fn remove_gone(state: &mut DaemonState, at: ClockTime) {
    let silence = state.settings.timing.daemon_silence;
    state.members.daemons.retain(|_, entry| {
        entry.info.state != VmState::Gone || at.since(entry.last_heartbeat_at) <= silence
    });
}

/// Sends a heartbeat to each daemon that the VM list does not report as gone.
pub fn send_heartbeats(state: &DaemonState, context: &mut StepContext<'_>) {
    let heartbeat = own_heartbeat(state, context.at);
    for (daemon, entry) in &state.members.daemons {
        if entry.info.state != VmState::Gone {
            context.push(ControlEffect::SendPeer {
                to: daemon.clone(),
                address: entry.info.address.clone(),
                message: PeerMessage::Heartbeat(heartbeat.clone()),
            });
        }
    }
}

fn own_heartbeat(state: &DaemonState, at: ClockTime) -> PeerHeartbeat {
    PeerHeartbeat {
        incarnation: state.outbox.writer().incarnation,
        address: state.settings.caller_address.clone(),
        peer_address: state.settings.peer_address.clone(),
        region: state.settings.region.clone(),
        domain: state.settings.domain.clone(),
        next: state.ledger.next,
        config: state.ledger.config.version,
        held_domains: crate::domain::cordoned_domains(state),
        holds: crate::domain::holds(state),
        silent_workers: lease::silent_workers(state),
        lost_workers: lease::lost_workers(state, at),
        draining: state.shutdown.is_some(),
    }
}

/// Handles a heartbeat from a daemon.
pub fn handle_heartbeat(
    state: &mut DaemonState,
    from: &DaemonName,
    heartbeat: &PeerHeartbeat,
    context: &mut StepContext<'_>,
) {
    crate::domain::adopt_peer_holds(state, &heartbeat.holds, context);
    if *from == state.settings.daemon {
        return;
    }
    let entry = state
        .members
        .daemons
        .entry(from.clone())
        .or_insert_with(|| DaemonEntry::from_heartbeat(from, heartbeat));
    let has_changed_holds =
        entry.heartbeat.as_ref().map(|old| &old.held_domains) != Some(&heartbeat.held_domains);
    entry.heartbeat = Some(heartbeat.clone());
    entry.last_heartbeat_at = context.at;
    if has_changed_holds {
        crate::domain::respond_to_confirmed(state, context);
    }
}

/// Handles the result of polling the VM list.
pub fn handle_vm_list(state: &mut DaemonState, outcome: &VmOutcome, context: &mut StepContext<'_>) {
    state.members.is_vm_poll_in_flight = false;
    let VmOutcome::Changes {
        version,
        workers,
        daemons,
    } = outcome
    else {
        return;
    };
    state.members.vm_version = *version;
    for info in daemons {
        if info.daemon != state.settings.daemon {
            update_daemon(state, info, context.at);
        }
    }
    for info in workers {
        update_worker(state, info, context.at);
    }
    if !workers.is_empty() || !daemons.is_empty() {
        state.planner.is_dirty = true;
        send_heartbeats(state, context);
    }
}

fn update_daemon(state: &mut DaemonState, info: &DaemonInfo, at: ClockTime) {
    match state.members.daemons.get_mut(&info.daemon) {
        Some(entry) => entry.info = info.clone(),
        None => {
            let entry = DaemonEntry {
                info: info.clone(),
                heartbeat: None,
                last_heartbeat_at: at,
            };
            state.members.daemons.insert(info.daemon.clone(), entry);
        }
    }
}

fn update_worker(state: &mut DaemonState, info: &WorkerInfo, at: ClockTime) {
    let gone_at = (info.state == VmState::Gone).then_some(at);
    match state.members.workers.get_mut(&info.worker) {
        Some(entry) => {
            if entry.info.address != info.address {
                entry.is_leaving = false;
            }
            entry.gone_at = gone_at.and(entry.gone_at.or(gone_at));
            entry.info = info.clone();
        }
        None => {
            let entry = WorkerEntry {
                info: info.clone(),
                is_leaving: false,
                gone_at,
            };
            state.members.workers.insert(info.worker.clone(), entry);
        }
    }
}

/// Reassigns shares when the set of live daemons or the VM list has changed.
fn reassign_shares(state: &mut DaemonState, context: &mut StepContext<'_>) {
    let live: Vec<DaemonName> = live_daemons(state, context.at)
        .into_iter()
        .map(|(daemon, _)| daemon.clone())
        .collect();
    let has_changed = live != state.members.last_live;
    if has_changed {
        let names: Vec<&str> = live.iter().map(DaemonName::as_str).collect();
        context.info(
            LogTarget::Member,
            format!("live daemons: {}", names.join(", ")),
        );
        state.members.last_live = live;
    }
    if has_changed || state.leases.assigned_version != state.members.vm_version {
        state.leases.assigned_version = state.members.vm_version;
        lease::reassign(state, context.at);
    }
}
