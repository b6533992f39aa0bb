//! Endpoint selection for attempts, with outlier ejection.

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

/// Consecutive failures after which an endpoint is ejected. A single failure often has a harmless
/// cause.
const EJECTION_FAILURES: u32 = 3;

/// Duration of the first ejection.
const MIN_EJECTION: TimeSpan = TimeSpan::from_secs(1);

/// Upper limit of an ejection's duration.
const MAX_EJECTION: TimeSpan = TimeSpan::from_secs(60);

/// Number of locality tiers: own failure domain, own region, other regions.
const LOCALITY_TIERS: usize = 3;

/// The health phase of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// New or returning: one request at a time until one succeeds.
    Probing {
        /// Duration of the last ejection, which the next one doubles.
        ejection: TimeSpan,
    },
    /// Healthy: takes requests up to this daemon's share.
    Serving {
        /// When the phase began.
        since: ClockTime,
        /// Failures since the last success.
        failures: u32,
        /// Duration of the last ejection; reset to 0 by a success after twice that time.
        ejection: TimeSpan,
    },
    /// Gets no requests until `until`, then one probe.
    Ejected {
        /// When the endpoint can be probed.
        until: ClockTime,
        /// Duration of this ejection.
        ejection: TimeSpan,
    },
}

/// The health signal of an attempt's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSignal {
    /// The endpoint answered without a server error.
    Success,
    /// The endpoint failed or refused. The request itself can be the cause and could then eject
    /// every endpoint in turn, so this signal never ejects more than half of them.
    Failure,
    /// The endpoint could not be reached. No request can cause this.
    Unreachable,
    /// The outcome says nothing about the endpoint.
    Inconclusive,
}

/// An endpoint and this daemon's use of it.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// IP address and port.
    pub address: String,
    /// Maximum number of requests that this daemon may have open at the endpoint.
    pub share: u32,
    /// Number of requests that this daemon has open at the endpoint.
    pub outstanding: u32,
    /// The current health phase.
    pub phase: EndpointPhase,
}

/// The endpoints and the inputs that their shares were computed from.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// All endpoints on the VM list, by name.
    pub endpoints: IndexMap<WorkerName, EndpointEntry>,
    /// Indexes of endpoints in service, by locality tier.
    tiers: [Vec<usize>; LOCALITY_TIERS],
    /// The daemons that divide the endpoints' capacity among them, sorted by name.
    pub daemons: Vec<DaemonName>,
    vm_version: u64,
    choice_count: u64,
}

/// The criteria for choosing an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RouteCriteria<'a> {
    /// The request, which seeds the choice of candidates.
    pub request: RequestId,
    /// Endpoints to exclude, because earlier attempts were sent there.
    pub tried_endpoints: &'a [WorkerName],
    /// Whether a healthy endpoint is preferred over one that is being probed. Set for
    /// non-repeatable requests, which cannot be retried when an outcome is unknown.
    pub prefers_proven: bool,
}

/// The result of choosing an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteChoice {
    /// The endpoint to send the attempt to.
    Endpoint(WorkerName),
    /// Endpoints are available, but this daemon's share of each is in use.
    Busy,
    /// No endpoint is available.
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

    /// Returns whether the endpoint may get requests now, up to its limit.
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

    /// Returns the phase that follows a signal.
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
                let is_recovered = at.since(since) > ejection + ejection;
                EndpointPhase::Serving {
                    since,
                    failures: 0,
                    ejection: if is_recovered {
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

fn eject(at: ClockTime, last_ejection: TimeSpan) -> EndpointPhase {
    let ejection = (last_ejection + last_ejection).clamp(MIN_EJECTION, MAX_EJECTION);
    EndpointPhase::Ejected {
        until: at + ejection,
        ejection,
    }
}

/// Recomputes the endpoints and this daemon's share of each when the workers or the daemons have
/// changed. Returns whether the daemons have changed.
pub fn refresh(state: &mut DaemonState, at: ClockTime) -> bool {
    let active = quota::active_daemons(state, at);
    let table = &state.requests.routes;
    let has_same_daemons = table.daemons.iter().eq(active.iter().copied());
    if has_same_daemons && table.vm_version == state.members.vm_version {
        return false;
    }
    let daemons: Vec<DaemonName> = active.into_iter().cloned().collect();
    let mut previous = std::mem::take(&mut state.requests.routes.endpoints);
    let mut table = RouteTable {
        daemons,
        vm_version: state.members.vm_version,
        choice_count: state.requests.routes.choice_count,
        ..RouteTable::default()
    };
    for (worker, member) in &state.members.workers {
        let info = &member.info;
        let mut entry = previous
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
    !has_same_daemons
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

/// Chooses the endpoint of an attempt: the nearest locality tier with free capacity, and within it
/// the one with fewer open requests of two candidates.
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

/// Acquires a slot at an endpoint for an attempt. Returns the endpoint's address, or `None` when
/// the endpoint is not on the list.
pub fn acquire(table: &mut RouteTable, worker: &WorkerName) -> Option<String> {
    let entry = table.endpoints.get_mut(worker)?;
    entry.outstanding += 1;
    if let EndpointPhase::Ejected { ejection, .. } = entry.phase {
        entry.phase = EndpointPhase::Probing { ejection };
    }
    Some(entry.address.clone())
}

/// Releases a slot and applies the attempt's health signal.
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
        let line = format!("endpoint {worker} is ejected for {}", format_span(ejection));
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
