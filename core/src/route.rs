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
const EJECTION_FAILURES: u32 = 3;

/// First time that an endpoint is left out for.
const MIN_EJECTION: TimeSpan = TimeSpan::from_secs(1);

/// Longest time that an endpoint is left out for.
const MAX_EJECTION: TimeSpan = TimeSpan::from_secs(60);

/// Classes of locality_tier: own failure domain, own region, across the link.
const LOCALITY_TIERS: usize = 3;

/// Whether requests go to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It is new or comes back and gets one request at a time until one succeeds.
    Probing {
        /// The last ejection, which the next one doubles.
        ejection: TimeSpan,
    },
    /// It takes requests up to this daemon's share.
    Serving {
        /// When it began to.
        since: ClockTime,
        /// Failures since the last success.
        failures: u32,
        /// The last ejection, forgotten after twice its length without a failure.
        ejection: TimeSpan,
    },
    /// It gets nothing until this time, and then one probe.
    Ejected {
        /// The time.
        until: ClockTime,
        /// The length of this ejection.
        ejection: TimeSpan,
    },
}

/// What an attempt says about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSignal {
    /// It works.
    Success,
    /// It failed or refused. The cause may be the request, which could take every endpoint out one
    /// after the other; this signal alone never leaves out more than half of them.
    Failure,
    /// It could not be reached, which no request can cause.
    Unreachable,
    /// Nothing.
    Inconclusive,
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
    /// Indexes of endpoints by locality_tier.
    tiers: [Vec<usize>; LOCALITY_TIERS],
    /// Daemons that shares are divided among.
    pub daemons: Vec<DaemonName>,
    vm_version: u64,
    choice_count: u64,
}

/// What an attempt needs of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteCriteria<'a> {
    /// The request.
    pub request: RequestId,
    /// Endpoints of earlier attempts.
    pub tried_endpoints: &'a [WorkerName],
    /// Whether an endpoint that has proven itself is preferred, because an attempt whose outcome
    /// is unknown cannot be repeated.
    pub prefers_proven: bool,
}

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// This endpoint.
    Endpoint(WorkerName),
    /// Endpoints serve, but this daemon's share of each is in use.
    Busy,
    /// No endpoint serves.
    Unavailable,
}

impl EndpointEntry {
    fn new(info: &WorkerInfo) -> Self {
        Self {
            address: info.address.clone(),
            share: 0,
            outstanding: 0,
            phase: EndpointPhase::Probing {
                ejection: TimeSpan::default(),
            },
        }
    }

    /// Tells whether the endpoint gets requests at all.
    fn is_available(&self, at: ClockTime) -> bool {
        self.share > 0
            && match self.phase {
                EndpointPhase::Ejected { until, .. } => at >= until,
                EndpointPhase::Probing { .. } | EndpointPhase::Serving { .. } => true,
            }
    }

    fn has_capacity(&self, at: ClockTime) -> bool {
        let limit = match self.phase {
            EndpointPhase::Serving { .. } => self.share,
            EndpointPhase::Probing { .. } | EndpointPhase::Ejected { .. } => self.share.min(1),
        };
        self.outstanding < limit && self.is_available(at)
    }

    const fn is_proven(&self) -> bool {
        matches!(self.phase, EndpointPhase::Serving { .. })
    }

    /// Returns the phase after a signal.
    fn next_phase(&self, signal: EndpointSignal, at: ClockTime) -> EndpointPhase {
        match (self.phase, signal) {
            (phase, EndpointSignal::Inconclusive) | (phase @ EndpointPhase::Ejected { .. }, _) => {
                phase
            }
            (EndpointPhase::Probing { ejection }, EndpointSignal::Success) => {
                EndpointPhase::Serving {
                    since: at,
                    failures: 0,
                    ejection,
                }
            }
            (EndpointPhase::Probing { ejection }, _) => eject(at, ejection),
            (
                EndpointPhase::Serving {
                    since, ejection, ..
                },
                EndpointSignal::Success,
            ) => {
                let is_proven = at.since(since) > ejection + ejection;
                EndpointPhase::Serving {
                    since,
                    failures: 0,
                    ejection: if is_proven {
                        TimeSpan::default()
                    } else {
                        ejection
                    },
                }
            }
            (
                EndpointPhase::Serving {
                    since,
                    failures,
                    ejection,
                },
                _,
            ) => {
                if failures + 1 >= EJECTION_FAILURES {
                    return eject(at, ejection);
                }
                EndpointPhase::Serving {
                    since,
                    failures: failures + 1,
                    ejection,
                }
            }
        }
    }
}

fn eject(at: ClockTime, last: TimeSpan) -> EndpointPhase {
    let ejection = (last + last).clamp(MIN_EJECTION, MAX_EJECTION);
    EndpointPhase::Ejected {
        until: at + ejection,
        ejection,
    }
}

/// Draws the endpoints and this daemon's share of each again when workers or daemons have changed.
/// Returns whether the daemons have.
pub fn refresh(state: &mut DaemonState, at: ClockTime) -> bool {
    let active = quota::active_daemons(state, at);
    let table = &state.requests.routes;
    let same_daemons = table.daemons.iter().eq(active.iter().copied());
    if same_daemons && table.vm_version == state.members.vm_version {
        return false;
    }
    let daemons: Vec<DaemonName> = active.into_iter().cloned().collect();
    let mut old = std::mem::take(&mut state.requests.routes.endpoints);
    let mut table = RouteTable {
        daemons,
        vm_version: state.members.vm_version,
        choice_count: state.requests.routes.choice_count,
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
        entry.share = daemon_share(state, &table.daemons, info);
        if member.is_in_service() {
            table.tiers[locality_tier(state, info)].push(table.endpoints.len());
        }
        table.endpoints.insert(worker.clone(), entry);
    }
    state.requests.routes = table;
    !same_daemons
}

fn daemon_share(state: &DaemonState, daemons: &[DaemonName], info: &WorkerInfo) -> u32 {
    let own = &state.settings.daemon;
    let slots = state.settings.limits.request_slots.min(info.capacity.slots);
    let share_of = |total| quota::share(total, daemons, own, info.worker.as_str());
    share_of(slots).min(share_of(info.connections))
}

fn locality_tier(state: &DaemonState, info: &WorkerInfo) -> usize {
    if info.region != state.settings.region {
        2
    } else if info.domain != state.settings.domain {
        1
    } else {
        0
    }
}

/// Chooses the endpoint of an attempt: the nearest locality_tier with a free share, and there the one of
/// two candidates with fewer open requests.
pub fn choose(state: &mut DaemonState, criteria: &RouteCriteria<'_>, at: ClockTime) -> RouteChoice {
    state.requests.routes.choice_count += 1;
    let state = &*state;
    let table = &state.requests.routes;
    for tier in &table.tiers {
        let proven = criteria
            .prefers_proven
            .then(|| pick_candidate(state, tier, criteria, true, at));
        let worker = proven
            .flatten()
            .or_else(|| pick_candidate(state, tier, criteria, false, at));
        if let Some(worker) = worker {
            return RouteChoice::Endpoint(worker.clone());
        }
    }
    let is_any_available = table.endpoints.iter().any(|(worker, entry)| {
        entry.is_available(at)
            && accepts_work(state, worker)
            && !criteria.tried_endpoints.contains(worker)
    });
    if is_any_available {
        RouteChoice::Busy
    } else {
        RouteChoice::Unavailable
    }
}

fn pick_candidate<'a>(
    state: &'a DaemonState,
    tier: &[usize],
    criteria: &RouteCriteria<'_>,
    only_proven: bool,
    at: ClockTime,
) -> Option<&'a WorkerName> {
    let table = &state.requests.routes;
    let find = |seed: u64| {
        let start = hash(criteria.request, table.choice_count, seed) as usize % tier.len().max(1);
        let (before, after) = tier.split_at(start);
        let order = after.iter().chain(before);
        order
            .filter_map(|index| table.endpoints.get_index(*index))
            .find(|(worker, entry)| {
                entry.has_capacity(at)
                    && (!only_proven || entry.is_proven())
                    && !criteria.tried_endpoints.contains(worker)
                    && accepts_work(state, worker)
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

fn hash(request: RequestId, choice_count: u64, seed: u64) -> u64 {
    let mut hasher = XxHash64::with_seed(seed);
    hasher.write_u64(request.0);
    hasher.write_u64(choice_count);
    hasher.finish()
}

fn accepts_work(state: &DaemonState, worker: &WorkerName) -> bool {
    state.members.workers.get(worker).is_some_and(|member| {
        member.is_in_service() && !domain::is_cordoned(state, &member.info.domain)
    })
}

/// Takes a place of this daemon's share for an attempt. Returns the endpoint's address.
pub fn acquire(table: &mut RouteTable, worker: &WorkerName) -> Option<String> {
    let entry = table.endpoints.get_mut(worker)?;
    entry.outstanding += 1;
    if let EndpointPhase::Ejected { ejection, .. } = entry.phase {
        entry.phase = EndpointPhase::Probing { ejection };
    }
    Some(entry.address.clone())
}

/// Gives a place back and takes what the attempt says about the endpoint.
pub fn release(
    state: &mut DaemonState,
    worker: &WorkerName,
    signal: EndpointSignal,
    context: &mut StepContext<'_>,
) {
    let table = &mut state.requests.routes;
    let Some(entry) = table.endpoints.get_mut(worker) else {
        return;
    };
    entry.outstanding = entry.outstanding.saturating_sub(1);
    let phase = entry.next_phase(signal, context.at);
    if phase == entry.phase {
        return;
    }
    if let EndpointPhase::Ejected { ejection, .. } = phase {
        if signal == EndpointSignal::Failure && ejected_count(table) >= table.endpoints.len() / 2 {
            return;
        }
        let line = format!("{worker} is left out for {}", format_span(ejection));
        context.warn(LogTarget::Request, line);
    }
    if let Some(entry) = table.endpoints.get_mut(worker) {
        entry.phase = phase;
    }
}

fn ejected_count(table: &RouteTable) -> usize {
    let phases = table.endpoints.values().map(|entry| entry.phase);
    phases
        .filter(|phase| matches!(phase, EndpointPhase::Ejected { .. }))
        .count()
}
