//! Configuration of queues and teams, and lookup of a request's queue and team.

use indexmap::IndexMap;

use crate::batch::job::QueueName;
use crate::config::KeyDigest;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::units::TimeSpan;

plain_data! {
    /// A queue that callers submit jobs to, as configured by operators.
    pub struct QueueConfig {
        /// Name that is recorded with each job of the queue.
        pub name: QueueName,
        /// Host name in requests to the queue.
        pub host: String,
        /// Path prefix of requests to the queue.
        pub prefix: String,
        /// Service whose workers run its jobs.
        pub service: ServiceName,
        /// Priority; 0 is the highest.
        pub priority: u32,
        /// Number of failed attempts of a task or gang after which a job fails.
        pub max_attempts: u32,
        /// Factor on a job's critical path in its target completion time, in thousandths.
        pub stretch: u64,
        /// Fixed part of the target completion time.
        pub target: TimeSpan,
        /// Whether requests need no key.
        pub public: bool,
    }

    /// A team as configured by operators. Its keys authorize calls to queues that are not public.
    pub struct TeamConfig {
        /// Name, which is also the team's key in [`QueueCatalog::teams`].
        pub name: TeamName,
        /// Digests of its API keys.
        pub keys: Vec<KeyDigest>,
        /// Number of accelerators guaranteed to its jobs of priority 0.
        pub guaranteed_gpu: u64,
        /// Share of the team when all capacity is in use, and number of jobs per second that it is
        /// owed, in thousandths; absent if it has none.
        pub weight: Option<u64>,
    }

    /// One version of the configuration.
    #[derive(Default)]
    pub struct QueueCatalog {
        /// Version number, which increases with each change, by more than 1 at times.
        pub version: u64,
        /// All queues, in the order of the configuration.
        pub queues: Vec<QueueConfig>,
        /// All teams by name.
        pub teams: IndexMap<TeamName, TeamConfig>,
    }
}

impl QueueCatalog {
    /// Returns the queue with the longest matching prefix, and the part of the path after the
    /// prefix.
    #[must_use]
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<(&'a QueueConfig, &'a str)> {
        let matching = self.queues.iter().filter(|queue| queue.host == host);
        let matching = matching.filter(|queue| path.starts_with(&queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }

    /// Returns the team that owns a key, or `None` for an unknown key.
    #[must_use]
    pub fn find_team(&self, key: &KeyDigest) -> Option<&TeamConfig> {
        self.teams.values().find(|team| team.keys.contains(key))
    }
}
