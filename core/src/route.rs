//! Choice of the endpoint for an attempt, and which endpoints are left out.

use std::hash::Hasher;

use indexmap::IndexMap;
use twox_hash::XxHash64;

use crate::context::StepContext;
use crate::domain;
use crate::effect::LogTarget;
use crate::ids::DaemonName;
use crate::ids::RequestId;
use crate::ids::WorkerName;
use crate::quota;
use crate::state::DaemonState;
use crate::units::ClockTime;
use crate::units::TimeSpan;
use crate::units::format_span;
use crate::worker::WorkerInfo;

/// Failures in a row that take an endpoint out. One failure has many harmless reasons.
const FAILURES_TO_LEAVE: u32 = 3;

/// First time that an endpoint is left out for.
const SHORTEST_ABSENCE: TimeSpan = TimeSpan::from_secs(1);

/// Longest time that an endpoint is left out for.
const LONGEST_ABSENCE: TimeSpan = TimeSpan::from_secs(60);

/// Classes of distance: own failure domain, own region, across the link.
const DISTANCES: usize = 3;

/// Whether requests go to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It is new or comes back and gets one request at a time until one succeeds.
    Probing {
        /// The last absence, which the next one doubles.
        absence: TimeSpan,
    },
    /// It takes requests up to this daemon's share.
    Serving {
        /// When it began to.
        since: ClockTime,
        /// Failures since the last success.
        failures: u32,
        /// The last absence, forgotten after twice its length without a failure.
        absence: TimeSpan,
    },
    /// It gets nothing until this time, and then one probe.
    Out {
        /// The time.
        until: ClockTime,
        /// The length of this absence.
        absence: TimeSpan,
    },
}

/// What an attempt says about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSign {
    /// It works.
    Success,
    /// It failed or refused. The cause may be the request, which could take every endpoint out one
    /// after the other; this sign alone never leaves out more than half of them.
    Failure,
    /// It could not be reached, which no request can cause.
    Unreachable,
    /// Nothing.
    None,
}

/// An endpoint as this daemon sees it.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// IP number and port.
    pub address: String,
    /// Requests that this daemon may have open there.
    pub share: u32,
    /// Requests that this daemon has open there.
    pub outstanding: u32,
    /// Whether requests go there.
    pub phase: EndpointPhase,
}

/// Endpoints and what they were drawn from.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Endpoints by name.
    pub endpoints: IndexMap<WorkerName, EndpointEntry>,
    /// Indexes of endpoints by distance.
    tiers: [Vec<usize>; DISTANCES],
    /// Daemons that shares are divided among.
    pub daemons: Vec<DaemonName>,
    version: u64,
    picks: u64,
}

/// What an attempt needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteWish<'a> {
    /// The request.
    pub request: RequestId,
    /// Endpoints of earlier attempts.
    pub tried: &'a [WorkerName],
    /// Whether an endpoint that has proved itself is preferred, because an attempt whose outcome
    /// is unknown cannot be repeated.
    pub cautious: bool,
}

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// This endpoint.
    Endpoint(WorkerName),
    /// Endpoints serve, but this daemon's share of each is in use.
    Busy,
    /// No endpoint serves.
    Nothing,
}

impl EndpointEntry {
    fn new(info: &WorkerInfo) -> Self {
        Self {
            address: info.address.clone(),
            share: 0,
            outstanding: 0,
            phase: EndpointPhase::Probing {
                absence: TimeSpan::default(),
            },
        }
    }

    /// Tells whether the endpoint gets requests at all.
    fn is_serving(&self, at: ClockTime) -> bool {
        self.share > 0
            && match self.phase {
                EndpointPhase::Out { until, .. } => at >= until,
                EndpointPhase::Probing { .. } | EndpointPhase::Serving { .. } => true,
            }
    }

    fn is_free(&self, at: ClockTime) -> bool {
        let most = match self.phase {
            EndpointPhase::Serving { .. } => self.share,
            EndpointPhase::Probing { .. } | EndpointPhase::Out { .. } => self.share.min(1),
        };
        self.outstanding < most && self.is_serving(at)
    }

    const fn is_proved(&self) -> bool {
        matches!(self.phase, EndpointPhase::Serving { .. })
    }

    /// Returns the phase after a sign.
    fn after(&self, sign: EndpointSign, at: ClockTime) -> EndpointPhase {
        match (self.phase, sign) {
            (phase, EndpointSign::None) | (phase @ EndpointPhase::Out { .. }, _) => phase,
            (EndpointPhase::Probing { absence }, EndpointSign::Success) => EndpointPhase::Serving {
                since: at,
                failures: 0,
                absence,
            },
            (EndpointPhase::Probing { absence }, _) => absent(at, absence),
            (EndpointPhase::Serving { since, absence, .. }, EndpointSign::Success) => {
                let proved = at.since(since) > absence + absence;
                EndpointPhase::Serving {
                    since,
                    failures: 0,
                    absence: if proved { TimeSpan::default() } else { absence },
                }
            }
            (
                EndpointPhase::Serving {
                    since,
                    failures,
                    absence,
                },
                _,
            ) => {
                if failures + 1 >= FAILURES_TO_LEAVE {
                    return absent(at, absence);
                }
                EndpointPhase::Serving {
                    since,
                    failures: failures + 1,
                    absence,
                }
            }
        }
    }
}

fn absent(at: ClockTime, last: TimeSpan) -> EndpointPhase {
    let absence = (last + last).clamp(SHORTEST_ABSENCE, LONGEST_ABSENCE);
    EndpointPhase::Out {
        until: at + absence,
        absence,
    }
}

/// Draws the endpoints and this daemon's share of each again when workers or daemons have changed.
/// Returns whether the daemons have.
pub fn refresh(state: &mut DaemonState, at: ClockTime) -> bool {
    let sharing = quota::sharing_daemons(state, at);
    let table = &state.requests.routes;
    let same_daemons = table.daemons.iter().eq(sharing.iter().copied());
    if same_daemons && table.version == state.members.vm_version {
        return false;
    }
    let daemons: Vec<DaemonName> = sharing.into_iter().cloned().collect();
    let mut old = std::mem::take(&mut state.requests.routes.endpoints);
    let mut table = RouteTable {
        daemons,
        version: state.members.vm_version,
        picks: state.requests.routes.picks,
        ..RouteTable::default()
    };
    for (worker, member) in &state.members.workers {
        let info = &member.info;
        let mut entry = old
            .swap_remove(worker)
            .unwrap_or_else(|| EndpointEntry::new(info));
        if entry.address != info.address || !member.is_in_service() {
            let outstanding = entry.outstanding;
            entry = EndpointEntry::new(info);
            entry.outstanding = outstanding;
        }
        entry.share = share(state, &table.daemons, info);
        if member.is_in_service() {
            table.tiers[distance(state, info)].push(table.endpoints.len());
        }
        table.endpoints.insert(worker.clone(), entry);
    }
    state.requests.routes = table;
    !same_daemons
}

fn share(state: &DaemonState, daemons: &[DaemonName], info: &WorkerInfo) -> u32 {
    let own = &state.settings.daemon;
    let slots = state.settings.limits.request_slots.min(info.capacity.slots);
    let part = |total| quota::part(total, daemons, own, info.worker.as_str());
    part(slots).min(part(info.connections))
}

fn distance(state: &DaemonState, info: &WorkerInfo) -> usize {
    if info.region != state.settings.region {
        2
    } else if info.domain != state.settings.domain {
        1
    } else {
        0
    }
}

/// Chooses the endpoint of an attempt: the nearest distance with a free share, and there the one of
/// two candidates with fewer open requests.
pub fn choose(state: &mut DaemonState, wish: &RouteWish<'_>, at: ClockTime) -> RouteChoice {
    state.requests.routes.picks += 1;
    let state = &*state;
    let table = &state.requests.routes;
    for tier in &table.tiers {
        let proved = wish.cautious.then(|| pick(state, tier, wish, true, at));
        let worker = proved
            .flatten()
            .or_else(|| pick(state, tier, wish, false, at));
        if let Some(worker) = worker {
            return RouteChoice::Endpoint(worker.clone());
        }
    }
    let serving = table.endpoints.iter().any(|(worker, entry)| {
        entry.is_serving(at) && takes_work(state, worker) && !wish.tried.contains(worker)
    });
    if serving {
        RouteChoice::Busy
    } else {
        RouteChoice::Nothing
    }
}

fn pick<'a>(
    state: &'a DaemonState,
    tier: &[usize],
    wish: &RouteWish<'_>,
    proved: bool,
    at: ClockTime,
) -> Option<&'a WorkerName> {
    let table = &state.requests.routes;
    let find = |side: u64| {
        let start = hash(wish.request, table.picks, side) as usize % tier.len().max(1);
        let (before, after) = tier.split_at(start);
        let order = after.iter().chain(before);
        order
            .filter_map(|index| table.endpoints.get_index(*index))
            .find(|(worker, entry)| {
                entry.is_free(at)
                    && (!proved || entry.is_proved())
                    && !wish.tried.contains(worker)
                    && takes_work(state, worker)
            })
    };
    let first = find(0)?;
    let second = find(1)?;
    let best = if second.1.outstanding < first.1.outstanding {
        second
    } else {
        first
    };
    Some(best.0)
}

fn hash(request: RequestId, picks: u64, side: u64) -> u64 {
    let mut hasher = XxHash64::with_seed(side);
    hasher.write_u64(request.0);
    hasher.write_u64(picks);
    hasher.finish()
}

fn takes_work(state: &DaemonState, worker: &WorkerName) -> bool {
    state.members.workers.get(worker).is_some_and(|member| {
        member.is_in_service() && !domain::is_cordoned(state, &member.info.domain)
    })
}

/// Takes a place of this daemon's share for an attempt. Returns the endpoint's address.
pub fn occupy(table: &mut RouteTable, worker: &WorkerName) -> Option<String> {
    let entry = table.endpoints.get_mut(worker)?;
    entry.outstanding += 1;
    if let EndpointPhase::Out { absence, .. } = entry.phase {
        entry.phase = EndpointPhase::Probing { absence };
    }
    Some(entry.address.clone())
}

/// Gives a place back and takes what the attempt says about the endpoint.
pub fn release(
    state: &mut DaemonState,
    worker: &WorkerName,
    sign: EndpointSign,
    context: &mut StepContext<'_>,
) {
    let table = &mut state.requests.routes;
    let Some(entry) = table.endpoints.get_mut(worker) else {
        return;
    };
    entry.outstanding = entry.outstanding.saturating_sub(1);
    let phase = entry.after(sign, context.at);
    if phase == entry.phase {
        return;
    }
    if let EndpointPhase::Out { absence, .. } = phase {
        if sign == EndpointSign::Failure && count_out(table) >= table.endpoints.len() / 2 {
            return;
        }
        let line = format!("{worker} is left out for {}", format_span(absence));
        context.warn(LogTarget::Request, line);
    }
    if let Some(entry) = table.endpoints.get_mut(worker) {
        entry.phase = phase;
    }
}

fn count_out(table: &RouteTable) -> usize {
    let phases = table.endpoints.values().map(|entry| entry.phase);
    phases
        .filter(|phase| matches!(phase, EndpointPhase::Out { .. }))
        .count()
}
