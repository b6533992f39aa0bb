//! A daemon under test, with a log and endpoints that the test controls.

use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::config::TeamFile;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::effect::KeyView;
use mustardpath_core::event::AppendOutcome;
use mustardpath_core::event::CallerCommand;
use mustardpath_core::event::CallerCredential;
use mustardpath_core::event::ControlEvent;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ReadOutcome;
use mustardpath_core::event::RequestHead;
use mustardpath_core::event::VmOutcome;
use mustardpath_core::ids::BatchId;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::RequestId;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::reader::ReaderPhase;
use mustardpath_core::record::LogRecord;
use mustardpath_core::record::RecordBody;
use mustardpath_core::record::StoredRecord;
use mustardpath_core::reducer;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::DaemonInfo;
use mustardpath_core::worker::VmState;
use mustardpath_core::worker::WorkerInfo;

/// Start time of every test, late enough that times before it do not saturate at 0.
pub const START: ClockTime = ClockTime(1_000_000);

/// An attempt that was sent to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    pub caller: CallerId,
    pub request: RequestId,
    pub attempt: u32,
    pub worker: WorkerName,
    pub timeout: TimeSpan,
}

/// A daemon under test and the effects that it has produced.
pub struct TestDaemon {
    pub state: DaemonState,
    pub at: ClockTime,
    pub effects: Vec<ControlEffect>,
    last_caller: u64,
}

/// Returns a team file with the services `check` (repeatable), `book` (not repeatable) and `train`
/// (jobs).
pub fn team_file(team: &str, weight: u32, concurrency: u32, rate: u32) -> TeamFile {
    let text = serde_json::json!({
        "team": team,
        "key_sha256": KeyDigest::of(team),
        "weight": weight,
        "limits": { "concurrency": concurrency, "rate_per_second": rate },
        "services": {
            "check": { "work": "request", "repeatable": true, "run_time": "1 s" },
            "book": { "work": "request", "run_time": "1 s" },
            "train": { "work": "job", "run_time": "1 h" },
        },
    });
    serde_json::from_value(text).expect("a valid team file")
}

/// Returns a worker with 8 slots. Its region is `north` for the domain `hn-a`, otherwise `south`.
pub fn worker_info(name: &str, domain: &str) -> WorkerInfo {
    let region = if domain == "hn-a" { "north" } else { "south" };
    WorkerInfo {
        worker: name.into(),
        address: format!("127.0.0.1:{name}"),
        region: region.into(),
        domain: domain.into(),
        rack: "r1".into(),
        capacity: ResourceDemand {
            slots: 8,
            accelerators: 8,
            cores: 64,
            memory_mib: 1 << 18,
        },
        connections: 64,
        state: VmState::Live,
    }
}

pub fn request_head(team: &str, service: &str, key: Option<&str>) -> RequestHead {
    RequestHead {
        team: team.into(),
        service: service.into(),
        key: key.map(Into::into),
        deadline: None,
        digest: 7,
        length: 100,
    }
}

pub fn answered_outcome(status: u16) -> EndpointOutcome {
    EndpointOutcome::Answered {
        status,
        length: 2,
        kept_body: Some("ok".to_owned()),
    }
}

fn settings(name: &str) -> DaemonSettings {
    let text = serde_json::json!({
        "daemon": name,
        "region": "south",
        "domain": "sg-a",
        "caller_address": "127.0.0.1:1",
        "peer_address": "127.0.0.1:2",
        "log_address": "127.0.0.1:3",
        "vms_address": "127.0.0.1:4",
        "operator_key_sha256": KeyDigest::of("operator"),
    });
    serde_json::from_value(text).expect("valid settings")
}

fn is_request_record(body: &RecordBody) -> bool {
    matches!(
        body,
        RecordBody::RequestIntent { .. } | RecordBody::RequestDone { .. }
    )
}

impl TestDaemon {
    /// Creates a daemon that has read the log, with workers `w0`, `w1`, ... in its own failure
    /// domain.
    pub fn new(name: &str, workers: usize) -> Self {
        let mut state = DaemonState::new(settings(name), 1);
        state.reader.is_loaded = true;
        state.reader.confirmed_at = Some(START);
        state.reader.phase = ReaderPhase::Control { from: LogOffset(0) };
        state.term.last_seen_at = Some(START);
        let mut daemon = Self {
            state,
            at: START,
            effects: Vec::new(),
            last_caller: 0,
        };
        let infos = (0..workers).map(|index| worker_info(&format!("w{index}"), "sg-a"));
        daemon.set_vms(infos.collect(), Vec::new());
        daemon.set_teams(vec![
            team_file("tea", 1, 100, 1_000),
            team_file("salt", 1, 100, 1_000),
        ]);
        daemon
    }

    pub fn set_vms(&mut self, workers: Vec<WorkerInfo>, daemons: Vec<DaemonInfo>) {
        let version = self.state.members.vm_version + 1;
        let outcome = VmOutcome::Changes {
            version,
            workers,
            daemons,
        };
        self.apply(EventInput::VmList { outcome });
    }

    /// Applies team files without a log record.
    pub fn set_teams(&mut self, files: Vec<TeamFile>) {
        let config = &mut self.state.ledger.config;
        config.version.0 += 1;
        for file in files {
            config.teams.insert(file.team.clone(), file);
        }
    }

    pub fn apply(&mut self, input: EventInput) {
        let event = ControlEvent { at: self.at, input };
        reducer::apply(&mut self.state, &event, &mut self.effects);
    }

    /// Advances the time in steps of 100 ms with a tick at each, while the log confirms its tail.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.at = self.at + TimeSpan(100);
            self.state.reader.confirmed_at = Some(self.at);
            self.apply(EventInput::Tick);
        }
    }

    /// Advances the time in steps of 100 ms with a tick at each, while the log does not answer.
    pub fn advance_without_log(&mut self, millis: u64) {
        for _ in 0..millis / 100 {
            self.at = self.at + TimeSpan(100);
            self.apply(EventInput::Tick);
        }
    }

    pub fn send(&mut self, head: &RequestHead) -> CallerId {
        self.last_caller += 1;
        let caller = CallerId(self.last_caller);
        let digest = Some(KeyDigest::of(head.team.as_str()));
        self.apply(EventInput::Caller {
            caller,
            credential: CallerCredential { digest },
            request: CallerCommand::Send(head.clone()),
        });
        caller
    }

    /// Returns the outcome that the daemon reports for a key.
    pub fn read_key(&mut self, team: &str, key: &str) -> KeyView {
        self.last_caller += 1;
        let caller = CallerId(self.last_caller);
        let digest = Some(KeyDigest::of(team));
        self.apply(EventInput::Caller {
            caller,
            credential: CallerCredential { digest },
            request: CallerCommand::KeyStatus {
                team: team.into(),
                key: key.into(),
            },
        });
        match self.replies(caller)[..] {
            [CallerAnswer::Key(view)] => view.clone(),
            ref other => panic!("expected the outcome of a key, got {other:?}"),
        }
    }

    pub fn report_outcome(&mut self, sent: &SentAttempt, outcome: EndpointOutcome) {
        self.apply(EventInput::EndpointCallCompleted {
            request: sent.request,
            attempt: sent.attempt,
            outcome,
        });
    }

    /// Returns all attempts sent to endpoints so far.
    pub fn sent(&self) -> Vec<SentAttempt> {
        let sent = self.effects.iter().filter_map(|effect| match effect {
            ControlEffect::SendRequest {
                caller,
                request,
                attempt,
                worker,
                timeout,
                ..
            } => Some(SentAttempt {
                caller: *caller,
                request: *request,
                attempt: *attempt,
                worker: worker.clone(),
                timeout: *timeout,
            }),
            _ => None,
        });
        sent.collect()
    }

    /// Returns the latest attempt.
    pub fn last_sent(&self) -> SentAttempt {
        self.sent().pop().expect("a request was sent")
    }

    /// Returns all answers to a caller.
    pub fn replies(&self, caller: CallerId) -> Vec<&CallerAnswer> {
        let replies = self.effects.iter().filter_map(|effect| match effect {
            ControlEffect::Reply { caller: to, reply } if *to == caller => Some(reply),
            _ => None,
        });
        replies.collect()
    }

    /// Returns the error kind of a caller's only answer, which must be a failure.
    pub fn failure(&self, caller: CallerId) -> ErrorKind {
        match self.replies(caller)[..] {
            [CallerAnswer::Failure(report)] => report.kind,
            ref other => panic!("expected one failure, got {other:?}"),
        }
    }

    /// Removes the records that were sent to the log and acknowledges them as stored.
    pub fn store_appends(&mut self) -> Vec<LogRecord> {
        let mut appended = Vec::new();
        let mut batches: Vec<BatchId> = Vec::new();
        self.effects.retain(|effect| match effect {
            ControlEffect::Append { batch, records } => {
                batches.push(*batch);
                appended.extend(records.iter().cloned());
                false
            }
            _ => true,
        });
        for batch in batches {
            let outcome = AppendOutcome::Stored;
            self.apply(EventInput::AppendCompleted { batch, outcome });
        }
        appended
    }

    /// Delivers records from the control stream, in the order given.
    pub fn read(&mut self, records: &[LogRecord]) {
        let from = self.state.ledger.next;
        self.state.reader.phase = ReaderPhase::Control { from };
        let stored: Vec<StoredRecord> = (from.0..)
            .zip(records)
            .map(|(offset, record)| StoredRecord {
                offset: LogOffset(offset),
                record: Some(record.clone()),
            })
            .collect();
        let outcome = ReadOutcome::Records {
            tail: LogOffset(from.0 + stored.len() as u64),
            records: stored,
            sent_at: self.at,
        };
        self.apply(EventInput::LogRead { from, outcome });
    }

    /// Stores and reads back records until the outbox is idle. Returns the bodies of request
    /// records.
    pub fn flush_log(&mut self) -> Vec<RecordBody> {
        let mut bodies = Vec::new();
        loop {
            let records = self.store_appends();
            if records.is_empty() {
                return bodies;
            }
            self.read(&records);
            let record_bodies = records.into_iter().map(|record| record.body);
            bodies.extend(record_bodies.filter(is_request_record));
            self.advance(100);
        }
    }
}
