//! Dump of the state for operators: bounded in size, and without API keys.

use indexmap::IndexMap;

use crate::batch::account::AccountTable;
use crate::batch::backlog;
use crate::batch::backlog::TeamBacklog;
use crate::batch::job::JobPhase;
use crate::batch::job::QueueName;
use crate::batch::job::TaskDemand;
use crate::batch::record::TaskState;
use crate::batch::state::BatchState;
use crate::batch::unit;
use crate::batch::unit::WaitingUnit;
use crate::batch::worker_speed;
use crate::ids::DaemonName;
use crate::ids::DomainName;
use crate::ids::TeamName;
use crate::ids::TermNumber;
use crate::ids::WorkerName;
use crate::units::ClockTime;
use crate::units::TimeSpan;

/// Maximum number of jobs in a dump.
const MAX_DUMPED_JOBS: usize = 200;

plain_data! {
    /// Dump of one daemon.
    pub struct BatchDump {
        /// Daemon whose state is dumped.
        pub daemon: DaemonName,
        /// Whether it is ready for callers.
        pub ready: bool,
        /// Newest term, if any.
        pub term: Option<TermNumber>,
        /// The planner; absent after it has released the term.
        pub holder: Option<DaemonName>,
        /// Version of the configuration in use; 0 if none was read.
        pub config: u64,
        /// Age of the last confirmed read of the operators' topic; absent before the first.
        pub config_age: Option<TimeSpan>,
        /// Age of the last confirmed read of the batch topic; absent before the first.
        pub batch_age: Option<TimeSpan>,
        /// Failure domains that are out of service.
        pub domains_out: Vec<DomainName>,
        /// Number of records of callers' commands that are not stored yet.
        pub intake_records: u64,
        /// Pause before the next append for callers, because the store was slow.
        pub append_pause: TimeSpan,
        /// Number of the planner's records that are not stored yet.
        pub planner_records: u64,
        /// Number of jobs by phase.
        pub phases: IndexMap<String, u64>,
        /// Jobs that have not ended, at most 200, the oldest first.
        pub jobs: Vec<JobDump>,
        /// Teams by name; empty at a daemon that is not the planner.
        pub teams: IndexMap<TeamName, TeamDump>,
        /// Admission of the teams that have a weight, as this daemon sees it.
        pub backlogs: IndexMap<TeamName, BacklogDump>,
        /// Capacity reserved for urgent steps; empty at a daemon that is not the planner.
        pub reservations: IndexMap<String, ReservationDump>,
        /// Workers; empty at a daemon that is not the planner.
        pub workers: IndexMap<WorkerName, WorkerDump>,
        /// Learned run times by queue; empty at a daemon that is not the planner.
        pub run_times: IndexMap<QueueName, RunTimeDump>,
    }

    /// How the declared run times of a queue relate to true ones.
    pub struct RunTimeDump {
        /// True run time in thousandths of a declared one of average length.
        pub ratio: u64,
        /// Number of finished steps that the ratio was learned from, in tenths.
        pub evidence: u64,
    }

    /// Jobs of a team that wait, against what it is owed.
    pub struct BacklogDump {
        /// Number of its jobs, of all priorities, that have not begun.
        pub waiting: u64,
        /// Number of waiting jobs from which submissions are refused.
        pub bound: u64,
        /// Number of its jobs that have begun within 10 s.
        pub started: u64,
    }

    /// Capacity reserved for an urgent step while runs end or are stopped for it.
    pub struct ReservationDump {
        /// Time until it expires and the step makes another plan.
        pub remaining: TimeSpan,
        /// Number of tasks that it holds capacity for.
        pub tasks: u64,
        /// Number of runs that are stopped for it; 0 while it waits for ends.
        pub stopped_runs: u64,
        /// Work that the stops lose, in weighted core-seconds.
        pub lost_work: u64,
    }

    /// A job that has not ended.
    pub struct JobDump {
        /// Key of the job in its text form.
        pub job: String,
        /// Queue to which the job was submitted.
        pub queue: QueueName,
        /// Phase as reported to callers.
        pub phase: JobPhase,
        /// Time since the submission.
        pub age: TimeSpan,
        /// Number of tasks over all occurrences.
        pub tasks: u64,
        /// Number of completed tasks.
        pub done: u64,
        /// Number of tasks placed on a worker.
        pub placed: u64,
        /// Number of failed attempts.
        pub failures: u64,
    }

    /// The planner's state of a team.
    pub struct TeamDump {
        /// Configured cap; 0 means no limit.
        pub cap: TaskDemand,
        /// Configured weight in thousandths; 0 for none.
        pub weight: u64,
        /// Declared demand of the runs that count against the cap.
        pub running: TaskDemand,
        /// The part of `running` that is being stopped.
        pub ending: TaskDemand,
        /// Number of jobs with a task to place.
        pub waiting: u64,
        /// Dimension of the cap that the next job exceeds, if any.
        pub short_of: Option<String>,
        /// Why the job that has waited longest waits; absent if none does.
        pub reason: Option<String>,
    }

    /// The planner's state of a worker.
    pub struct WorkerDump {
        /// Whether it can be assigned new tasks.
        pub usable: bool,
        /// Whether its entry is in the store.
        pub listed: bool,
        /// Time since its last response to a hold.
        pub heard: Option<TimeSpan>,
        /// Number of runs that use its capacity.
        pub runs: u64,
        /// Capacity that no run uses; zero while the size of an untracked run is unknown.
        pub free: TaskDemand,
        /// Learned speed in thousandths of the nominal speed.
        pub speed: u32,
        /// Number of runs that the speed was learned from, in tenths; below 10 the speed is taken
        /// as nominal.
        pub speed_evidence: u64,
    }
}

/// Creates the dump of a daemon.
#[must_use]
pub fn dump(state: &BatchState, at: ClockTime) -> BatchDump {
    let term = state.view.term.as_ref();
    let age = |confirmed: Option<ClockTime>| confirmed.map(|time| at.since(time));
    BatchDump {
        daemon: state.daemon.clone(),
        ready: state.is_ready(at),
        term: term.map(|term| term.term),
        holder: term.and_then(|term| term.holder.clone()),
        config: state.catalog.version,
        config_age: age(state.operator_reader.confirmed_at()),
        batch_age: age(state.batch_reader.confirmed_at()),
        domains_out: state.domains_out.iter().cloned().collect(),
        intake_records: state.intake_queue.len() as u64,
        append_pause: state.intake_queue.pause(),
        planner_records: state.planner_queue.len() as u64,
        phases: phases(state),
        jobs: jobs(state, at),
        teams: teams(state, at),
        backlogs: backlogs(state, at),
        reservations: reservations(state, at),
        workers: workers(state, at),
        run_times: run_times(state),
    }
}

fn backlogs(state: &BatchState, at: ClockTime) -> IndexMap<TeamName, BacklogDump> {
    let counts = backlog::count_waiting(&state.view, at);
    let weighted = state.catalog.teams.iter();
    let weighted = weighted.filter(|(_, config)| config.weight > 0);
    let dumps = weighted.map(|(team, config)| {
        let waiting = counts.iter().filter(|((other, _), _)| other == team);
        let backlog = TeamBacklog {
            weight: config.weight,
            waiting: waiting.map(|(_, count)| count).sum(),
            started: state.backlog.started(team, at),
        };
        let dump = BacklogDump {
            waiting: backlog.waiting,
            bound: backlog.bound(),
            started: backlog.started,
        };
        (team.clone(), dump)
    });
    dumps.collect()
}

fn reservations(state: &BatchState, at: ClockTime) -> IndexMap<String, ReservationDump> {
    let planner = state.planner.as_ref();
    let reservations = planner
        .into_iter()
        .flat_map(|planner| &planner.reservations);
    let dumps = reservations.map(|(step, reservation)| {
        let dump = ReservationDump {
            remaining: reservation.expires_at.since(at),
            tasks: reservation.workers.len() as u64,
            stopped_runs: reservation.stopped_runs,
            lost_work: reservation.lost_work,
        };
        (step.to_string(), dump)
    });
    dumps.collect()
}

fn phases(state: &BatchState) -> IndexMap<String, u64> {
    let mut phases = IndexMap::new();
    for entry in state.view.jobs.values() {
        let phase = format!("{:?}", entry.reported_phase()).to_lowercase();
        *phases.entry(phase).or_default() += 1;
    }
    phases
}

fn jobs(state: &BatchState, at: ClockTime) -> Vec<JobDump> {
    let open = state.view.jobs.iter().filter_map(|(job, entry)| {
        let definition = entry.open_definition()?;
        let count = |matches: fn(&TaskState) -> bool| {
            let records = entry.steps.values().flatten();
            records.filter(|record| matches(&record.state)).count() as u64
        };
        let steps = definition.submission.steps.iter();
        let tasks: u64 = steps.map(|step| u64::from(step.count)).sum();
        let records = entry.steps.values().flatten();
        Some(JobDump {
            job: job.text(),
            queue: definition.queue.clone(),
            phase: entry.reported_phase(),
            age: at.since(definition.accepted_at),
            tasks: tasks * u64::from(definition.submission.occurrence_count()),
            done: count(|state| *state == TaskState::Done),
            placed: count(|state| matches!(state, TaskState::Placed(_))),
            failures: records.map(|record| record.failed.len() as u64).sum(),
        })
    });
    open.take(MAX_DUMPED_JOBS).collect()
}

fn teams(state: &BatchState, at: ClockTime) -> IndexMap<TeamName, TeamDump> {
    let Some(planner) = &state.planner else {
        return IndexMap::new();
    };
    let mut waiting: IndexMap<&TeamName, (u64, WaitingUnit<'_>)> = IndexMap::new();
    let mut units = Vec::new();
    for job in &planner.waiting_jobs {
        let Some(entry) = state.view.jobs.get(job) else {
            continue;
        };
        units.clear();
        unit::collect_waiting_units(*job, entry, planner, at, &mut units);
        let Some(unit) = units.first() else { continue };
        let Some(team) = unit.definition.team.as_ref() else {
            continue;
        };
        let (count, oldest) = waiting.entry(team).or_insert_with(|| (0, unit.clone()));
        *count += 1;
        if unit.ready_at < oldest.ready_at {
            *oldest = unit.clone();
        }
    }
    let accounts = AccountTable::new(state, planner);
    let dumps = accounts.iter().map(|(team, account)| {
        let next = waiting.get(team);
        let short_of = next.and_then(|(_, unit)| account.short_of(unit, at));
        let reason = next.map(|(_, unit)| {
            let job = unit.key.job.text();
            match short_of {
                Some(dimension) => format!("{job}: the cap leaves too little {dimension}"),
                None if planner.job_rates.is_excess(unit.key.job) => {
                    format!("{job}: beyond the job rate of the team")
                }
                None => format!("{job}: no room on workers"),
            }
        });
        let config = state.catalog.teams.get(team);
        let dump = TeamDump {
            cap: config.map(|config| config.cap).unwrap_or_default(),
            weight: config.map_or(0, |config| config.weight),
            running: account.used,
            ending: account.ending,
            waiting: next.map_or(0, |(count, _)| *count),
            short_of: short_of.map(str::to_owned),
            reason,
        };
        (team.clone(), dump)
    });
    dumps.collect()
}

fn workers(state: &BatchState, at: ClockTime) -> IndexMap<WorkerName, WorkerDump> {
    let planner = state.planner.as_ref();
    let sessions = planner.into_iter().flat_map(|planner| &planner.workers);
    let views = sessions.map(|(worker, session)| {
        let view = WorkerDump {
            usable: session.is_usable(at),
            listed: session.entry.is_some(),
            heard: session
                .hold
                .answered_at
                .map(|answered_at| at.since(answered_at)),
            runs: session.runs.len() as u64,
            free: session.free_capacity(),
            speed: session.speed.estimate().expected,
            speed_evidence: worker_speed::tenths(session.speed.weight()),
        };
        (worker.clone(), view)
    });
    views.collect()
}

fn run_times(state: &BatchState) -> IndexMap<QueueName, RunTimeDump> {
    let planner = state.planner.as_ref();
    let relations = planner.into_iter();
    let relations = relations.flat_map(|planner| planner.run_times.relations());
    let views = relations.map(|(queue, relation)| {
        let view = RunTimeDump {
            ratio: relation.mean_ratio(),
            evidence: worker_speed::tenths(relation.weight()),
        };
        (queue.clone(), view)
    });
    views.collect()
}
