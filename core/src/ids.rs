//! Identifier types.

string_id! {
    /// A team, which has guarantees and submits work.
    TeamName;
    /// A service of a team, which declares the work that it submits.
    ServiceName;
    /// A failure domain within a region. Operators take it out of service as a whole.
    DomainName;
    /// A region, which contains failure domains.
    RegionName;
    /// A rack within a failure domain.
    RackName;
    /// A worker VM. The same VM is an endpoint when it answers short requests.
    WorkerName;
    /// A daemon on an entry VM.
    DaemonName;
    /// An idempotency key, chosen by the caller and unique within its team.
    RequestKey;
}

number_type! {
    /// A job. The number is the log offset of its acceptance record and is therefore the same at
    /// every daemon.
    JobId;
    /// A term of the planner. Each valid claim raises it by 1.
    TermNumber;
    /// The fencing token of a worker's orders. A worker refuses each token that is lower than the
    /// highest it has seen.
    OrderToken;
    /// A version of the configuration, which rises with each committed change.
    ConfigVersion;
    /// The offset of a record in a stream of the log.
    LogOffset;
    /// An open exchange of a caller with this daemon.
    CallerId;
    /// A call from this daemon to a worker.
    CallId;
    /// An open short request at this daemon.
    RequestId;
    /// A batch of records that this daemon appends in one write.
    BatchId;
}

plain_data! {
    /// A writer of log records: one process of a daemon.
    #[derive(Hash)]
    pub struct WriterId {
        /// The daemon's name.
        pub daemon: DaemonName,
        /// Random number, chosen at startup, that distinguishes processes of the same daemon.
        pub incarnation: u64,
    }
}

plain_data! {
    /// One member of one attempt of a job.
    #[derive(Copy, Hash, PartialOrd, Ord)]
    pub struct TaskId {
        /// The job that the attempt belongs to.
        pub job: JobId,
        /// The attempt number, which rises with each placement.
        pub attempt: u32,
        /// Index of the member within the gang, starting at 0.
        pub member: u32,
    }
}

/// Maximum length of a name in a settings or team file. Names appear in addresses, log lines and
/// metrics.
const MAX_NAME_BYTES: usize = 64;

/// Validates the length and the characters of a name in a settings or team file.
///
/// # Errors
///
/// Returns a message that describes the violated rule.
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
