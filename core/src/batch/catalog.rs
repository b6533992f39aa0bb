//! The configuration of queues, services and teams, and the lookup of a queue.

use indexmap::IndexMap;

use crate::batch::job::QueueName;
use crate::config::KeyDigest;
use crate::ids::ServiceName;
use crate::ids::TeamName;
use crate::units::TimeSpan;

plain_data! {
    /// A queue.
    pub struct QueueConfig {
        /// Its name.
        pub name: QueueName,
        /// The host that its callers name.
        pub host: String,
        /// What its paths begin with.
        pub prefix: String,
        /// The service whose workers run its jobs.
        pub service: ServiceName,
        /// Priority; 0 comes first.
        pub priority: u32,
        /// Attempts of a task or gang that may fail.
        pub max_attempts: u32,
        /// The objective's factor on the longest chain of work, in thousandths.
        pub stretch: u64,
        /// The objective's fixed part.
        pub target: TimeSpan,
        /// Whether callers need no key.
        pub public: bool,
    }

    /// A team.
    pub struct TeamConfig {
        /// Its name.
        pub name: TeamName,
        /// Digests of its keys.
        pub keys: Vec<KeyDigest>,
        /// Accelerators that belong to its jobs of priority 0 at all times.
        pub guaranteed_gpu: u64,
    }

    /// One version of the configuration.
    #[derive(Default)]
    pub struct QueueCatalog {
        /// The version. Versions rise in uneven steps.
        pub version: u64,
        /// The queues.
        pub queues: Vec<QueueConfig>,
        /// The teams.
        pub teams: IndexMap<TeamName, TeamConfig>,
    }
}

impl QueueCatalog {
    /// Returns the queue with the longest matching prefix, and the rest of the path.
    #[must_use]
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<(&'a QueueConfig, &'a str)> {
        let matching = self.queues.iter().filter(|queue| queue.host == host);
        let matching = matching.filter(|queue| path.starts_with(&queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        Some((queue, &path[queue.prefix.len()..]))
    }

    /// Returns the team that a key belongs to.
    #[must_use]
    pub fn find_team(&self, key: &KeyDigest) -> Option<&TeamConfig> {
        self.teams.values().find(|team| team.keys.contains(key))
    }
}
