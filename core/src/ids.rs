//! Names and numbers that identify things.

string_id! {
    /// A team that holds guarantees and submits work.
    TeamName;
    /// A service of a team, which declares the work that it sends.
    ServiceName;
    /// A failure domain.
    DomainName;
    /// A region, which holds failure domains.
    RegionName;
    /// A rack within a failure domain.
    RackName;
    /// A worker VM. The same VM is an endpoint when it answers short requests.
    WorkerName;
    /// A daemon on an entry VM.
    DaemonName;
    /// The idempotency key that a caller chooses, unique within its team.
    RequestKey;
}

number_type! {
    /// A job. The number is the log offset of its acceptance record, so every daemon agrees on it.
    JobId;
    /// A term of the planner.
    TermNumber;
    /// A version of the configuration in force.
    ConfigVersion;
    /// A position in a stream of the log.
    LogOffset;
    /// A caller's open exchange with this daemon.
    CallerId;
    /// A call from this daemon to a worker.
    CallId;
    /// A short request that this daemon handles.
    RequestId;
    /// A batch of records that this daemon appends.
    BatchId;
}

plain_data! {
    /// The writer of records: a daemon and a random number chosen when its process started.
    #[derive(Hash)]
    pub struct WriterId {
        /// The daemon's name.
        pub daemon: DaemonName,
        /// Tells two processes of the same daemon apart.
        pub incarnation: u64,
    }
}

plain_data! {
    /// One member of one attempt of a job.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct TaskId {
        /// The job.
        pub job: JobId,
        /// The attempt, which rises with each placement.
        pub attempt: u32,
        /// The member's index within the gang, from 0.
        pub member: u32,
    }
}

/// Length of a name in a file. Names stand in addresses, log lines and metrics.
const MAX_NAME_BYTES: usize = 64;

/// Checks the length and the characters of a name in a file.
///
/// # Errors
///
/// Returns a message when the name does not have the form of a name.
pub fn check_name(name: &str) -> Result<(), String> {
    if name.is_empty() {
        return Err("a name must not be empty".to_owned());
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(format!(
            "a name has at most {MAX_NAME_BYTES} characters, this one {}",
            name.chars().count()
        ));
    }
    let is_allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-');
    if !name.bytes().all(is_allowed) || name.starts_with('-') || name.ends_with('-') {
        return Err(format!(
            "{name:?} is not a name: lower-case letters, digits and '-' between them"
        ));
    }
    Ok(())
}
