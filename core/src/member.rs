//! Daemons and workers: the VM list, heartbeats and the division of workers into shares.

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

/// Another daemon.
#[derive(Clone, Debug)]
pub struct DaemonEntry {
    /// What the VM list says.
    pub info: DaemonInfo,
    /// Its last heartbeat.
    pub heartbeat: Option<PeerHeartbeat>,
    /// When the last heartbeat arrived, or when the list named the daemon first.
    pub last_heartbeat_at: ClockTime,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// What the VM list says.
    pub info: WorkerInfo,
    /// Whether the worker itself says that it is about to stop.
    pub leaving: bool,
    /// When the VM list first said that the worker is gone.
    pub gone_at: Option<ClockTime>,
}

/// All daemons and workers that this daemon knows.
#[derive(Clone, Debug, Default)]
pub struct MemberTable {
    /// Other daemons.
    pub daemons: IndexMap<DaemonName, DaemonEntry>,
    /// Workers.
    pub workers: IndexMap<WorkerName, WorkerEntry>,
    /// Version of the VM list that has been applied.
    pub vm_version: u64,
    next_vm_poll: ClockTime,
    vm_in_flight: bool,
    next_heartbeat: ClockTime,
    /// Daemons that counted as live at the last look, to log changes only.
    last_live: Vec<DaemonName>,
}

impl MemberTable {
    /// Makes the next tick send heartbeats, so that others learn of a change without delay.
    pub fn send_heartbeat_now(&mut self) {
        self.next_heartbeat = ClockTime::default();
    }
}

impl WorkerEntry {
    /// Tells whether neither the list nor the worker says that it is leaving.
    #[must_use]
    pub fn is_in_service(&self) -> bool {
        self.info.state == VmState::Live && !self.leaving
    }
}

impl DaemonEntry {
    /// Creates the entry of a daemon that sent a heartbeat before the VM list named it.
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
    /// Tells whether the daemon counts as live and takes shares.
    fn is_live(&self, at: ClockTime, state: &DaemonState) -> bool {
        let Some(heartbeat) = &self.heartbeat else {
            return false;
        };
        self.info.state != VmState::Leaving
            && !heartbeat.draining
            && at.since(self.last_heartbeat_at) <= state.settings.timing.daemon_silence
    }
}

/// Returns heartbeats that are recent enough to count.
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

/// Returns live daemons that take shares, this one included unless it drains.
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

/// Returns the position of this daemon among live ones other than the term's holder.
#[must_use]
pub fn claim_rank(state: &DaemonState, at: ClockTime) -> u64 {
    let holder = crate::ledger::term_holder(&state.ledger);
    live_daemons(state, at)
        .iter()
        .filter(|(daemon, _)| Some(*daemon) != holder)
        .position(|(daemon, _)| **daemon == state.settings.daemon)
        .unwrap_or(0) as u64
}

/// Returns the score of a daemon for a worker; the highest score holds the share.
#[must_use]
pub fn share_score(daemon: &DaemonName, worker: &WorkerName) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(daemon.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(worker.as_str().as_bytes());
    hasher.finish()
}

/// Returns the daemon whose share holds a worker: the highest score among live daemons of the
/// worker's region, or among all when the region has none.
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

/// Sends heartbeats, reads the VM list and redraws shares when they are due.
pub fn tick(state: &mut DaemonState, context: &mut StepContext<'_>) {
    if context.at >= state.members.next_vm_poll && !state.members.vm_in_flight {
        state.members.vm_in_flight = true;
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

/// Forgets daemons that the list says are gone and that are silent. Neither alone is enough,
/// because the list lags and heartbeats get lost.
fn remove_gone(state: &mut DaemonState, at: ClockTime) {
    let silence = state.settings.timing.daemon_silence;
    state.members.daemons.retain(|_, entry| {
        entry.info.state != VmState::Gone || at.since(entry.last_heartbeat_at) <= silence
    });
}

/// Sends a heartbeat to each daemon that the VM list names.
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

/// Takes a heartbeat of another daemon.
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
        crate::domain::answer_confirmed(state, context);
    }
}

/// Takes an answer of the VM list.
pub fn handle_vm_list(state: &mut DaemonState, outcome: &VmOutcome, context: &mut StepContext<'_>) {
    state.members.vm_in_flight = false;
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
        state.planner.dirty = true;
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
                entry.leaving = false;
            }
            entry.gone_at = gone_at.and(entry.gone_at.or(gone_at));
            entry.info = info.clone();
        }
        None => {
            let entry = WorkerEntry {
                info: info.clone(),
                leaving: false,
                gone_at,
            };
            state.members.workers.insert(info.worker.clone(), entry);
        }
    }
}

/// Gives leases up and takes them over when the live daemons or the workers have changed.
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
