//! Indexes over the jobs of the ledger, so that no event needs to scan all jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config::ResourceDemand;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::ids::TeamName;
use crate::ids::WorkerName;
use crate::ledger::JobPhase;
use crate::ledger::JobRecord;

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobIndex {
    pub(crate) queued: BTreeSet<JobId>,
    pub(crate) placed: BTreeSet<JobId>,
    pub(crate) queued_by_team: BTreeMap<TeamName, usize>,
    pub(crate) tasks: BTreeMap<WorkerName, BTreeSet<TaskId>>,
    pub(crate) allocated: BTreeMap<WorkerName, ResourceDemand>,
}

impl JobIndex {
    pub(crate) fn insert(&mut self, job: JobId, record: &JobRecord) {
        match &record.phase {
            JobPhase::Queued => {
                self.queued.insert(job);
                *self
                    .queued_by_team
                    .entry(record.order.team.clone())
                    .or_default() += 1;
            }
            JobPhase::Placed { workers, .. } => {
                self.placed.insert(job);
                self.insert_tasks(job, record, workers);
            }
            JobPhase::Ended { .. } => {}
        }
    }

    fn insert_tasks(&mut self, job: JobId, record: &JobRecord, workers: &[WorkerName]) {
        for (member, worker) in (0..).zip(workers) {
            let task = TaskId {
                job,
                attempt: record.attempt,
                member,
            };
            self.tasks.entry(worker.clone()).or_default().insert(task);
            self.allocated
                .entry(worker.clone())
                .or_default()
                .add(&record.order.spec.demand);
        }
    }

    pub(crate) fn remove(&mut self, job: JobId, record: &JobRecord) {
        match &record.phase {
            JobPhase::Queued => {
                self.queued.remove(&job);
                self.remove_queued(&record.order.team);
            }
            JobPhase::Placed { workers, .. } => {
                self.placed.remove(&job);
                self.remove_tasks(job, record, workers);
            }
            JobPhase::Ended { .. } => {}
        }
    }

    fn remove_queued(&mut self, team: &TeamName) {
        let Some(count) = self.queued_by_team.get_mut(team) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.queued_by_team.remove(team);
        }
    }

    fn remove_tasks(&mut self, job: JobId, record: &JobRecord, workers: &[WorkerName]) {
        for (member, worker) in (0..).zip(workers) {
            let task = TaskId {
                job,
                attempt: record.attempt,
                member,
            };
            let Some(tasks) = self.tasks.get_mut(worker) else {
                continue;
            };
            tasks.remove(&task);
            if tasks.is_empty() {
                self.tasks.remove(worker);
                self.allocated.remove(worker);
            } else if let Some(allocated) = self.allocated.get_mut(worker) {
                allocated.subtract(&record.order.spec.demand);
            }
        }
    }
}
