//! The run of one policy over one trace, under a virtual clock.
//!
//! Workers and the log are modelled in memory: a placed gang starts after a fixed delay, and a
//! stopped one has saved its progress when the planner's time for a checkpoint is over.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;

use crate::measure::ReplayMeasure;
use crate::measure::fragmentation;
use crate::measure::largest_guarantee;
use crate::replay_state::DueKind;
use crate::replay_state::ReplayJob;
use crate::replay_state::ReplayRun;
use crate::replay_state::ReplayState;
use crate::replay_state::START_DELAY_MS;
use crate::replay_state::size_of;
use crate::trace::TraceEvent;
use crate::trace::TraceFile;
use crate::trace::TraceInput;
use crate::trace::TraceJob;
use mustardpath_core::config::ServiceSpec;
use mustardpath_core::config::TeamFile;
use mustardpath_core::guarantee::check_feasibility;
use mustardpath_core::health::JobVerdict;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::TeamName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::policy::PolicyDecision;
use mustardpath_core::policy::PolicyKind;
use mustardpath_core::policy::PolicyState;
use mustardpath_core::policy::decide;
use mustardpath_core::record::JobOrder;
use mustardpath_core::units::TimeSpan;

/// Virtual time at which a replay starts; any point after the epoch.
const START_MS: u64 = 1_700_000_000_000;
/// Time that a victim has for its checkpoint.
const STOP_DELAY_MS: u64 = 2_000;
/// Run time after which a faulty job or a job on a faulty worker fails.
const FAILURE_MS: u64 = 20_000;
/// Time between two decisions while jobs wait and nothing happens.
const WAKE_MS: u64 = 5_000;
/// Attempts that may fail before a job ends, as in the daemon.
const FAILURE_LIMIT: usize = 3;
/// Time after the last event of the trace at which a replay gives up.
const PATIENCE_MS: u64 = 3 * 86_400_000;

/// Replays a trace under one policy.
#[must_use]
pub fn replay(trace: &TraceFile, kind: PolicyKind) -> ReplayMeasure {
    let teams: IndexMap<TeamName, TeamFile> = trace
        .teams
        .iter()
        .map(|file| (file.team.clone(), file.clone()))
        .collect();
    let workers = trace.slots();
    let mut state = ReplayState {
        now_ms: START_MS,
        dark: vec![false; workers.len()],
        faulty: vec![false; workers.len()],
        guaranteed: largest_guarantee(&teams),
        workers,
        teams,
        jobs: IndexMap::new(),
        memory: PolicyState::default(),
        kind,
        due: BinaryHeap::new(),
        attempts: 0,
        measure: ReplayMeasure::default(),
        share: None,
        out_since: None,
    };
    state.run(&trace.events);
    state.measure
}

impl ReplayState {
    fn run(&mut self, events: &[TraceEvent]) {
        let mut next = 0;
        let mut submitted = 0;
        let last = START_MS + events.last().map_or(0, |event| event.at_ms) + PATIENCE_MS;
        while next < events.len() || !self.jobs.is_empty() {
            let event_ms = events.get(next).map(|event| START_MS + event.at_ms);
            let due_ms = self.due.peek().map(|Reverse(due)| due.0);
            let Some(now_ms) = event_ms.into_iter().chain(due_ms).min() else {
                break;
            };
            if now_ms > last {
                break;
            }
            self.advance(now_ms);
            let mut changed = false;
            while let Some(event) = events.get(next).filter(|_| event_ms == Some(now_ms)) {
                if START_MS + event.at_ms != now_ms {
                    break;
                }
                self.take_event(&event.input, &mut submitted);
                next += 1;
                changed = true;
            }
            while let Some(Reverse(due)) = self.due.peek().copied() {
                if due.0 != now_ms {
                    break;
                }
                self.due.pop();
                self.take_due(due.1, due.2, due.3);
                changed |= due.1 != DueKind::Wake;
            }
            if self.plan() || changed {
                let (waiting, _) = self.views();
                self.share = fragmentation(&self.workers, &waiting, self.guaranteed);
            }
        }
        self.close();
    }

    /// Moves the clock and counts what runs meanwhile.
    fn advance(&mut self, now_ms: u64) {
        let span = now_ms - self.now_ms;
        let share = self.share;
        self.measure.add_fragmentation(share, span);
        if self.out_since.is_some() && span > 0 {
            let from = self.now_ms;
            let worked: u64 = self
                .jobs
                .values()
                .filter_map(|job| job.run.as_ref().map(|run| (job, run)))
                .map(|(job, run)| {
                    let begun = from.max(run.placed_ms + START_DELAY_MS);
                    now_ms.saturating_sub(begun) * size_of(&job.order)
                })
                .sum();
            self.measure.useful_out_ms += worked.cast_signed();
        }
        self.now_ms = now_ms;
    }

    fn take_event(&mut self, input: &TraceInput, submitted: &mut u64) {
        match input {
            TraceInput::Submit(job) => {
                self.submit(JobId(*submitted), job);
                *submitted += 1;
            }
            TraceInput::Cancel { job } => self.cancel(JobId(*job as u64)),
            TraceInput::Domain { domain, out } => {
                for (slot, dark) in self.workers.values_mut().zip(&self.dark) {
                    if slot.info.domain == *domain {
                        slot.is_domain_out = *out;
                        slot.is_usable = !out && !dark;
                    }
                }
                self.out_since = out.then_some(self.now_ms);
            }
            TraceInput::Power { domain, up } => self.power(domain.as_str(), *up),
            TraceInput::Faulty { worker, faulty } => {
                if let Some(index) = self.workers.get_index_of(worker) {
                    self.faulty[index] = *faulty;
                }
            }
        }
    }

    fn submit(&mut self, id: JobId, job: &TraceJob) {
        let Some(spec) = self.spec_of(job) else {
            ReplayMeasure::count(&mut self.measure.ends, "unknown_service");
            return;
        };
        let order = JobOrder {
            team: job.team.clone(),
            service: job.service.clone(),
            key: id.to_string().as_str().into(),
            spec,
            payload: String::new(),
        };
        if check_feasibility(&order, &self.workers, &self.teams).is_err() {
            ReplayMeasure::count(&mut self.measure.ends, "refused");
            return;
        }
        let claims = order.spec.urgent && self.is_within_guarantee(&order);
        let entry = ReplayJob {
            order,
            actual_ms: job.actual_ms,
            faulty: job.faulty,
            accepted_ms: self.now_ms,
            checkpoint_ms: 0,
            failed_on: Vec::new(),
            run: None,
            claims,
        };
        self.jobs.insert(id, entry);
    }

    fn spec_of(&self, job: &TraceJob) -> Option<ServiceSpec> {
        let service = self.teams.get(&job.team)?.services.get(&job.service)?;
        let mut spec = service.clone();
        spec.members = job.members;
        spec.run_time = TimeSpan(job.declared_ms);
        Some(spec)
    }

    /// Runs the policy and carries out what it decides. Returns whether it decided anything.
    fn plan(&mut self) -> bool {
        let mut memory = std::mem::take(&mut self.memory);
        let (waiting, running) = self.views();
        let view = self.view(&waiting, &running);
        let decisions = decide(&view, &mut memory);
        let waits = waiting.len() > decisions.len();
        self.memory = memory;
        let decided = !decisions.is_empty();
        for decision in decisions {
            self.carry_out(decision);
        }
        let wake = (self.now_ms / WAKE_MS + 1) * WAKE_MS;
        let planned = self.due.iter().any(|Reverse(due)| due.1 == DueKind::Wake);
        if (waits || decided) && !planned {
            self.due.push(Reverse((wake, DueKind::Wake, JobId(0), 0)));
        }
        decided
    }

    fn carry_out(&mut self, decision: PolicyDecision) {
        match decision {
            PolicyDecision::Place { job, workers } => self.place(job, workers),
            PolicyDecision::Reclaim { victim, .. } => self.stop(victim, "reclaim"),
            PolicyDecision::Move { job } => self.stop(job, "move"),
            PolicyDecision::Refuse { job, .. } => self.end(job, "refused"),
        }
    }

    fn place(&mut self, id: JobId, workers: Vec<WorkerName>) {
        ReplayMeasure::count(&mut self.measure.decisions, "place");
        self.attempts += 1;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let demand = job.order.spec.demand;
        let whole = workers.len() == job.order.spec.members as usize;
        let mut sound = whole;
        for worker in &workers {
            let slot = &mut self.workers[worker];
            sound &= slot.is_usable && demand.fits(&slot.free);
            slot.free.subtract(&demand);
        }
        if !sound {
            ReplayMeasure::count(&mut self.measure.broken, "placement");
        }
        let started = self.now_ms + START_DELAY_MS;
        let left = job.actual_ms.saturating_sub(job.checkpoint_ms).max(1);
        let is_faulty = |worker| {
            let index = self.workers.get_index_of(worker);
            index.is_some_and(|index| self.faulty[index])
        };
        let fails = job.faulty || workers.iter().any(is_faulty);
        let due = if fails {
            (started + FAILURE_MS.min(left), DueKind::Fail)
        } else {
            (started + left, DueKind::Finish)
        };
        self.due.push(Reverse((due.0, due.1, id, self.attempts)));
        if std::mem::take(&mut job.claims) {
            let wait = started - job.accepted_ms;
            self.measure.urgent_started(wait);
        }
        let fixed = !job.order.spec.can_be_preempted();
        job.run = Some(ReplayRun {
            attempt: self.attempts,
            workers,
            placed_ms: self.now_ms,
            stopping: false,
        });
        if fixed {
            self.check_guarantees();
        }
    }

    fn stop(&mut self, id: JobId, kind: &'static str) {
        ReplayMeasure::count(&mut self.measure.decisions, kind);
        let now = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.order.spec.can_be_preempted() {
            ReplayMeasure::count(&mut self.measure.broken, "stopped_fixed_work");
        }
        if let Some(run) = job.run.as_mut().filter(|run| !run.stopping) {
            run.stopping = true;
            let due = (now + STOP_DELAY_MS, DueKind::Stopped, id, run.attempt);
            self.due.push(Reverse(due));
        }
    }

    fn take_due(&mut self, kind: DueKind, id: JobId, attempt: u64) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.run.as_ref().map(|run| run.attempt) != Some(attempt) {
            return;
        }
        match kind {
            DueKind::Finish => {
                self.observe(id, None, false);
                self.release(id);
                let span = self.now_ms - self.jobs[&id].accepted_ms;
                let class = self.jobs[&id].order.service.clone();
                self.measure.completed(&class, span);
                self.end(id, "finished");
            }
            DueKind::Fail => self.fail(id),
            DueKind::Stopped => {
                let job = &self.jobs[&id];
                let progress = self.progress(job);
                self.observe(id, None, true);
                self.release(id);
                self.jobs[&id].checkpoint_ms = progress;
            }
            DueKind::Wake => {}
        }
    }

    fn fail(&mut self, id: JobId) {
        let run = self.jobs[&id].run.as_ref();
        let workers = run.map_or(Vec::new(), |run| run.workers.clone());
        let is_faulty = |worker: &&WorkerName| {
            let index = self.workers.get_index_of(*worker);
            index.is_some_and(|index| self.faulty[index])
        };
        let culprit = workers.iter().find(is_faulty).or(workers.first()).cloned();
        let verdict = self.observe(id, culprit.as_ref(), false);
        self.lose(id);
        let job = &mut self.jobs[&id];
        job.failed_on.extend(culprit);
        let over = job.failed_on.len() >= FAILURE_LIMIT || verdict == JobVerdict::Faulty;
        if over || !job.order.spec.repeatable {
            let name = if job.faulty {
                "failed"
            } else {
                "failed_by_worker"
            };
            self.end(id, name);
        }
    }

    fn cancel(&mut self, id: JobId) {
        if self.jobs.contains_key(&id) {
            self.observe(id, None, true);
            self.release(id);
            self.end(id, "cancelled");
        }
    }

    fn power(&mut self, domain: &str, up: bool) {
        let mut gone = Vec::new();
        for (index, (worker, slot)) in self.workers.iter_mut().enumerate() {
            if slot.info.domain.as_str() == domain {
                self.dark[index] = !up;
                slot.is_usable = up && !slot.is_domain_out;
                gone.push(worker.clone());
            }
        }
        if up {
            return;
        }
        let hit = |job: &ReplayJob| {
            let workers = job.run.iter().flat_map(|run| &run.workers);
            workers.into_iter().any(|worker| gone.contains(worker))
        };
        let jobs: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| hit(job))
            .map(|(id, _)| *id)
            .collect();
        for id in jobs {
            self.observe(id, None, true);
            self.lose(id);
            if !self.jobs[&id].order.spec.repeatable {
                self.end(id, "unknown");
            }
        }
    }
}
