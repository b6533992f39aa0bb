//! Model of the platform's VM list, which lags behind the actual state of the VMs.

use indexmap::IndexMap;

use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::DaemonInfo;
use mustardpath_core::worker::VmState;
use mustardpath_core::worker::WorkerInfo;

plain_data! {
    /// Changes of the list since a version.
    pub struct VmChanges {
        /// Version of the list with these changes.
        pub version: u64,
        /// Workers that were added or changed.
        pub workers: Vec<WorkerInfo>,
        /// Daemon VMs that were added or changed.
        pub daemons: Vec<DaemonInfo>,
    }
}

#[derive(Clone, Debug)]
struct VmEntry<T> {
    version: u64,
    at: ClockTime,
    info: T,
}

/// The VM list with the history of each entry, from which it answers with a lag.
#[derive(Clone, Debug, Default)]
pub struct VmModel {
    workers: IndexMap<WorkerName, Vec<VmEntry<WorkerInfo>>>,
    daemons: IndexMap<DaemonName, Vec<VmEntry<DaemonInfo>>>,
    version: u64,
    lag: TimeSpan,
    is_down: bool,
}

impl VmModel {
    /// Creates an empty list. Its answers show the state `lag` ago.
    #[must_use]
    pub fn new(lag: TimeSpan) -> Self {
        Self {
            lag,
            ..Self::default()
        }
    }

    /// Sets the age of the state that the answers show.
    pub const fn set_lag(&mut self, lag: TimeSpan) {
        self.lag = lag;
    }

    /// Sets whether the list is down.
    pub const fn set_down(&mut self, is_down: bool) {
        self.is_down = is_down;
    }

    /// Adds or replaces a worker.
    pub fn put_worker(&mut self, at: ClockTime, info: WorkerInfo) {
        self.version += 1;
        let history = self.workers.entry(info.worker.clone()).or_default();
        history.push(VmEntry {
            version: self.version,
            at,
            info,
        });
    }

    /// Adds or replaces a daemon VM.
    pub fn put_daemon(&mut self, at: ClockTime, info: DaemonInfo) {
        self.version += 1;
        let history = self.daemons.entry(info.daemon.clone()).or_default();
        history.push(VmEntry {
            version: self.version,
            at,
            info,
        });
    }

    /// Changes a worker's state. Returns whether the worker is in the list.
    pub fn set_worker(&mut self, at: ClockTime, worker: &WorkerName, state: VmState) -> bool {
        let Some(info) = latest_info(self.workers.get(worker)).cloned() else {
            return false;
        };
        self.put_worker(at, WorkerInfo { state, ..info });
        true
    }

    /// Changes a daemon VM's state. Returns whether the VM is in the list.
    pub fn set_daemon(&mut self, at: ClockTime, daemon: &DaemonName, state: VmState) -> bool {
        let Some(info) = latest_info(self.daemons.get(daemon)).cloned() else {
            return false;
        };
        self.put_daemon(at, DaemonInfo { state, ..info });
        true
    }

    /// Returns the changes after version `since` that are visible at `at`, or `None` while the list
    /// is down.
    #[must_use]
    pub fn changes(&self, since: u64, at: ClockTime) -> Option<VmChanges> {
        if self.is_down {
            return None;
        }
        let visible_at = at - self.lag;
        let workers: Vec<_> = visible_entries(&self.workers, visible_at).collect();
        let daemons: Vec<_> = visible_entries(&self.daemons, visible_at).collect();
        let versions = workers.iter().map(|entry| entry.version);
        let version = versions
            .chain(daemons.iter().map(|entry| entry.version))
            .max()
            .unwrap_or(0);
        Some(VmChanges {
            version,
            workers: infos_changed_since(&workers, since),
            daemons: infos_changed_since(&daemons, since),
        })
    }
}

fn latest_info<T>(history: Option<&Vec<VmEntry<T>>>) -> Option<&T> {
    history?.last().map(|entry| &entry.info)
}

fn visible_entries<K, T>(
    histories: &IndexMap<K, Vec<VmEntry<T>>>,
    at: ClockTime,
) -> impl Iterator<Item = &VmEntry<T>> {
    histories
        .values()
        .filter_map(move |history| history.iter().rfind(|entry| entry.at <= at))
}

fn infos_changed_since<T: Clone>(entries: &[&VmEntry<T>], since: u64) -> Vec<T> {
    entries
        .iter()
        .filter(|entry| entry.version > since)
        .map(|entry| entry.info.clone())
        .collect()
}
