//! Discrete-event simulation of one policy on one trace, under a virtual clock.
//!
//! Workers and the log are modelled in memory. A placed gang starts after a fixed delay, and a
//! stopped gang has saved its progress at the end of the planner's checkpoint time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use indexmap::IndexMap;

use crate::replay_metrics::ReplayMetrics;
use crate::replay_metrics::fragmentation;
use crate::replay_metrics::largest_guarantee;
use crate::replay_state::ReplayJob;
use crate::replay_state::ReplayRun;
use crate::replay_state::ReplayState;
use crate::replay_state::START_DELAY_MS;
use crate::replay_state::TimerKind;
use crate::replay_state::accelerator_count;
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

/// Virtual time at which each replay starts, in Unix milliseconds.
const START_TIME_MS: u64 = 1_700_000_000_000;
/// Time between the stop of an attempt and its end, for a checkpoint.
const STOP_DELAY_MS: u64 = 2_000;
/// Run time after which a faulty job, or a job on a faulty worker, fails.
const FAILURE_DELAY_MS: u64 = 20_000;
/// Interval of decisions while jobs wait and no other event occurs.
const REPLAN_INTERVAL_MS: u64 = 5_000;
/// Number of failed attempts after which a job ends, as in the daemon's default settings.
const MAX_FAILURES: usize = 3;
/// Time after the last event of the trace at which a replay ends even if jobs are unfinished.
const DRAIN_TIMEOUT_MS: u64 = 3 * 86_400_000;

/// Replays a trace under one policy until all jobs have ended, or until 3 days after the last
/// event.
#[must_use]
pub fn replay(trace: &TraceFile, policy_kind: PolicyKind) -> ReplayMetrics {
    let teams: IndexMap<TeamName, TeamFile> = trace
        .teams
        .iter()
        .map(|file| (file.team.clone(), file.clone()))
        .collect();
    let workers = trace.slots();
    let mut state = ReplayState {
        now_ms: START_TIME_MS,
        unpowered_workers: vec![false; workers.len()],
        faulty_workers: vec![false; workers.len()],
        largest_guarantee: largest_guarantee(&teams),
        workers,
        teams,
        jobs: IndexMap::new(),
        policy: PolicyState::default(),
        policy_kind,
        timers: BinaryHeap::new(),
        last_attempt: 0,
        metrics: ReplayMetrics::default(),
        fragmentation: None,
        outage_start_ms: None,
    };
    state.run(&trace.events);
    state.metrics
}

impl ReplayState {
    fn run(&mut self, events: &[TraceEvent]) {
        let mut next = 0;
        let mut submitted = 0;
        let deadline_ms =
            START_TIME_MS + events.last().map_or(0, |event| event.at_ms) + DRAIN_TIMEOUT_MS;
        while next < events.len() || !self.jobs.is_empty() {
            let event_ms = events.get(next).map(|event| START_TIME_MS + event.at_ms);
            let timer_ms = self.timers.peek().map(|Reverse(timer)| timer.0);
            let Some(now_ms) = event_ms.into_iter().chain(timer_ms).min() else {
                break;
            };
            if now_ms > deadline_ms {
                break;
            }
            self.advance(now_ms);
            let mut has_changed = false;
            while let Some(event) = events.get(next).filter(|_| event_ms == Some(now_ms)) {
                if START_TIME_MS + event.at_ms != now_ms {
                    break;
                }
                self.apply_event(&event.input, &mut submitted);
                next += 1;
                has_changed = true;
            }
            while let Some(Reverse(timer)) = self.timers.peek().copied() {
                if timer.0 != now_ms {
                    break;
                }
                self.timers.pop();
                self.fire_timer(timer.1, timer.2, timer.3);
                has_changed |= timer.1 != TimerKind::Replan;
            }
            if self.plan() || has_changed {
                let (waiting, _) = self.views();
                self.fragmentation = fragmentation(&self.workers, &waiting, self.largest_guarantee);
            }
        }
        self.end_unfinished_jobs();
    }

    /// Advances the clock and records the fragmentation and the progress of the elapsed span.
    fn advance(&mut self, now_ms: u64) {
        let span_ms = now_ms - self.now_ms;
        let fragmentation = self.fragmentation;
        self.metrics.record_fragmentation(fragmentation, span_ms);
        if self.outage_start_ms.is_some() && span_ms > 0 {
            let from_ms = self.now_ms;
            let progress_ms: u64 = self
                .jobs
                .values()
                .filter_map(|job| job.run.as_ref().map(|run| (job, run)))
                .map(|(job, run)| {
                    let begun_ms = from_ms.max(run.placed_ms + START_DELAY_MS);
                    now_ms.saturating_sub(begun_ms) * accelerator_count(&job.order)
                })
                .sum();
            self.metrics.outage_progress_ms += progress_ms.cast_signed();
        }
        self.now_ms = now_ms;
    }

    fn apply_event(&mut self, input: &TraceInput, submitted: &mut u64) {
        match input {
            TraceInput::Submit(job) => {
                self.submit_job(JobId(*submitted), job);
                *submitted += 1;
            }
            TraceInput::Cancel { job } => self.cancel_job(JobId(*job as u64)),
            TraceInput::Domain { domain, out } => {
                for (slot, is_unpowered) in self.workers.values_mut().zip(&self.unpowered_workers) {
                    if slot.info.domain == *domain {
                        slot.is_domain_out = *out;
                        slot.is_usable = !out && !is_unpowered;
                    }
                }
                self.outage_start_ms = out.then_some(self.now_ms);
            }
            TraceInput::Power { domain, up } => self.set_power(domain.as_str(), *up),
            TraceInput::Faulty { worker, faulty } => {
                if let Some(index) = self.workers.get_index_of(worker) {
                    self.faulty_workers[index] = *faulty;
                }
            }
        }
    }

    fn submit_job(&mut self, id: JobId, job: &TraceJob) {
        let Some(spec) = self.declared_spec(job) else {
            ReplayMetrics::increment(&mut self.metrics.job_ends, "unknown_service");
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
            ReplayMetrics::increment(&mut self.metrics.job_ends, "refused");
            return;
        }
        let awaits_guaranteed_start = order.spec.urgent && self.is_within_guarantee(&order);
        let entry = ReplayJob {
            order,
            actual_ms: job.actual_ms,
            is_faulty: job.faulty,
            accepted_ms: self.now_ms,
            checkpoint_ms: 0,
            failed_on: Vec::new(),
            run: None,
            awaits_guaranteed_start,
        };
        self.jobs.insert(id, entry);
    }

    fn declared_spec(&self, job: &TraceJob) -> Option<ServiceSpec> {
        let service = self.teams.get(&job.team)?.services.get(&job.service)?;
        let mut spec = service.clone();
        spec.members = job.members;
        spec.run_time = TimeSpan(job.declared_ms);
        Some(spec)
    }

    /// Runs the policy and applies its decisions. Returns whether there were any.
    fn plan(&mut self) -> bool {
        let mut policy = std::mem::take(&mut self.policy);
        let (waiting, running) = self.views();
        let view = self.view(&waiting, &running);
        let decisions = decide(&view, &mut policy);
        let has_unplaced_jobs = waiting.len() > decisions.len();
        self.policy = policy;
        let has_decided = !decisions.is_empty();
        for decision in decisions {
            self.apply_decision(decision);
        }
        let replan_ms = (self.now_ms / REPLAN_INTERVAL_MS + 1) * REPLAN_INTERVAL_MS;
        let is_replan_scheduled = self
            .timers
            .iter()
            .any(|Reverse(timer)| timer.1 == TimerKind::Replan);
        if (has_unplaced_jobs || has_decided) && !is_replan_scheduled {
            self.timers
                .push(Reverse((replan_ms, TimerKind::Replan, JobId(0), 0)));
        }
        has_decided
    }

    fn apply_decision(&mut self, decision: PolicyDecision) {
        match decision {
            PolicyDecision::Place { job, workers } => self.place_job(job, workers),
            PolicyDecision::Reclaim { victim, .. } => self.stop_job(victim, "reclaim"),
            PolicyDecision::Move { job } => self.stop_job(job, "move"),
            PolicyDecision::Refuse { job, .. } => self.end_job(job, "refused"),
        }
    }

    fn place_job(&mut self, id: JobId, workers: Vec<WorkerName>) {
        ReplayMetrics::increment(&mut self.metrics.decisions, "place");
        self.last_attempt += 1;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let demand = job.order.spec.demand;
        let is_complete = workers.len() == job.order.spec.members as usize;
        let mut is_valid = is_complete;
        for worker in &workers {
            let slot = &mut self.workers[worker];
            is_valid &= slot.is_usable && demand.fits(&slot.free);
            slot.free.subtract(&demand);
        }
        if !is_valid {
            ReplayMetrics::increment(&mut self.metrics.violations, "placement");
        }
        let started_ms = self.now_ms + START_DELAY_MS;
        let remaining_ms = job.actual_ms.saturating_sub(job.checkpoint_ms).max(1);
        let is_faulty = |worker| {
            let index = self.workers.get_index_of(worker);
            index.is_some_and(|index| self.faulty_workers[index])
        };
        let will_fail = job.is_faulty || workers.iter().any(is_faulty);
        let timer = if will_fail {
            (
                started_ms + FAILURE_DELAY_MS.min(remaining_ms),
                TimerKind::Fail,
            )
        } else {
            (started_ms + remaining_ms, TimerKind::Finish)
        };
        self.timers
            .push(Reverse((timer.0, timer.1, id, self.last_attempt)));
        if std::mem::take(&mut job.awaits_guaranteed_start) {
            let wait_ms = started_ms - job.accepted_ms;
            self.metrics.record_urgent_start(wait_ms);
        }
        let is_pinned = !job.order.spec.can_be_preempted();
        job.run = Some(ReplayRun {
            attempt: self.last_attempt,
            workers,
            placed_ms: self.now_ms,
            is_stopping: false,
        });
        if is_pinned {
            self.check_guarantees();
        }
    }

    fn stop_job(&mut self, id: JobId, kind: &'static str) {
        ReplayMetrics::increment(&mut self.metrics.decisions, kind);
        let now_ms = self.now_ms;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if !job.order.spec.can_be_preempted() {
            ReplayMetrics::increment(&mut self.metrics.violations, "stopped_fixed_work");
        }
        if let Some(run) = job.run.as_mut().filter(|run| !run.is_stopping) {
            run.is_stopping = true;
            let timer = (
                now_ms + STOP_DELAY_MS,
                TimerKind::CompleteStop,
                id,
                run.attempt,
            );
            self.timers.push(Reverse(timer));
        }
    }

    fn fire_timer(&mut self, kind: TimerKind, id: JobId, attempt: u64) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        if job.run.as_ref().map(|run| run.attempt) != Some(attempt) {
            return;
        }
        match kind {
            TimerKind::Finish => {
                self.observe_end(id, None, false);
                self.release_workers(id);
                let span_ms = self.now_ms - self.jobs[&id].accepted_ms;
                let service = self.jobs[&id].order.service.clone();
                self.metrics.record_completion(&service, span_ms);
                self.end_job(id, "finished");
            }
            TimerKind::Fail => self.fail_attempt(id),
            TimerKind::CompleteStop => {
                let job = &self.jobs[&id];
                let progress_ms = self.progress_ms(job);
                self.observe_end(id, None, true);
                self.release_workers(id);
                self.jobs[&id].checkpoint_ms = progress_ms;
            }
            TimerKind::Replan => {}
        }
    }

    fn fail_attempt(&mut self, id: JobId) {
        let run = self.jobs[&id].run.as_ref();
        let workers = run.map_or(Vec::new(), |run| run.workers.clone());
        let is_faulty = |worker: &&WorkerName| {
            let index = self.workers.get_index_of(*worker);
            index.is_some_and(|index| self.faulty_workers[index])
        };
        let failed_worker = workers.iter().find(is_faulty).or(workers.first()).cloned();
        let verdict = self.observe_end(id, failed_worker.as_ref(), false);
        self.discard_attempt(id);
        let job = &mut self.jobs[&id];
        job.failed_on.extend(failed_worker);
        let is_over_limit = job.failed_on.len() >= MAX_FAILURES || verdict == JobVerdict::Faulty;
        if is_over_limit || !job.order.spec.repeatable {
            let name = if job.is_faulty {
                "failed"
            } else {
                "failed_by_worker"
            };
            self.end_job(id, name);
        }
    }

    fn cancel_job(&mut self, id: JobId) {
        if self.jobs.contains_key(&id) {
            self.observe_end(id, None, true);
            self.release_workers(id);
            self.end_job(id, "cancelled");
        }
    }

    fn set_power(&mut self, domain: &str, up: bool) {
        let mut affected = Vec::new();
        for (index, (worker, slot)) in self.workers.iter_mut().enumerate() {
            if slot.info.domain.as_str() == domain {
                self.unpowered_workers[index] = !up;
                slot.is_usable = up && !slot.is_domain_out;
                affected.push(worker.clone());
            }
        }
        if up {
            return;
        }
        let is_affected = |job: &ReplayJob| {
            let workers = job.run.iter().flat_map(|run| &run.workers);
            workers.into_iter().any(|worker| affected.contains(worker))
        };
        let jobs: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, job)| is_affected(job))
            .map(|(id, _)| *id)
            .collect();
        for id in jobs {
            self.observe_end(id, None, true);
            self.discard_attempt(id);
            if !self.jobs[&id].order.spec.repeatable {
                self.end_job(id, "unknown");
            }
        }
    }
}
