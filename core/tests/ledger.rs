//! Rules of the ledger, one kind of record at a time.

use mustardpath_core::config::ServiceSpec;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::TermNumber;
use mustardpath_core::ids::WriterId;
use mustardpath_core::key_rules::RETENTION;
use mustardpath_core::ledger::JobPhase;
use mustardpath_core::ledger::LedgerState;
use mustardpath_core::ledger::RecordEffect;
use mustardpath_core::ledger::RejectReason;
use mustardpath_core::record;
use mustardpath_core::record::AttemptEnd;
use mustardpath_core::record::JobOrder;
use mustardpath_core::record::LogRecord;
use mustardpath_core::record::RECORD_VERSION;
use mustardpath_core::record::RecordBody;
use mustardpath_core::record::RequestEnd;
use mustardpath_core::snapshot;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// A ledger and the daemons that append to it.
struct LedgerHarness {
    ledger: LedgerState,
    sequence: u64,
    at: ClockTime,
}

impl LedgerHarness {
    fn new() -> Self {
        Self {
            ledger: LedgerState::default(),
            sequence: 0,
            at: ClockTime(1_000),
        }
    }

    fn record(&mut self, daemon: &str, body: RecordBody) -> LogRecord {
        self.sequence += 1;
        LogRecord {
            version: RECORD_VERSION,
            writer: writer(daemon),
            sequence: self.sequence,
            at: self.at,
            body,
        }
    }

    fn append(&mut self, daemon: &str, body: RecordBody) -> RecordEffect {
        let record = self.record(daemon, body);
        self.ledger.apply(self.ledger.next, Some(&record))
    }

    fn claim(&mut self, daemon: &str, term: u64) -> RecordEffect {
        let body = RecordBody::TermClaimed {
            term: TermNumber(term),
            daemon: daemon.into(),
        };
        self.append(daemon, body)
    }

    fn accept(&mut self, key: &str, repeatable: bool) -> JobId {
        let job = JobId(self.ledger.next.0);
        let body = RecordBody::JobAccepted {
            order: order(key, repeatable),
        };
        assert_eq!(self.append("d1", body), RecordEffect::Applied);
        job
    }

    fn place(&mut self, daemon: &str, term: u64, job: JobId, attempt: u32) -> RecordEffect {
        let term = TermNumber(term);
        let workers = vec!["w1".into(), "w2".into()];
        self.append(
            daemon,
            RecordBody::JobPlaced {
                term,
                job,
                attempt,
                workers,
            },
        )
    }

    fn end(&mut self, job: JobId, attempt: u32, end: AttemptEnd) -> RecordEffect {
        let term = self.ledger.term.number;
        let checkpoint = TimeSpan(7);
        self.append(
            "d1",
            RecordBody::AttemptEnded {
                term,
                job,
                attempt,
                end,
                checkpoint,
            },
        )
    }

    fn phase(&self, job: JobId) -> &JobPhase {
        &self.ledger.jobs[&job].phase
    }
}

fn writer(daemon: &str) -> WriterId {
    WriterId {
        daemon: DaemonName::from(daemon),
        incarnation: 1,
    }
}

fn spec(repeatable: bool) -> ServiceSpec {
    let text =
        format!(r#"{{"work":"job","run_time":"1 h","members":2,"repeatable":{repeatable}}}"#);
    serde_json::from_str(&text).expect("a valid service")
}

fn order(key: &str, repeatable: bool) -> JobOrder {
    JobOrder {
        team: "bench".into(),
        service: "recert".into(),
        key: key.into(),
        spec: spec(repeatable),
        payload: String::new(),
    }
}

fn is_stale(effect: &RecordEffect) -> bool {
    *effect == RecordEffect::Rejected(RejectReason::StaleTerm)
}

/// Guards against applying a record twice. A daemon sends a batch again when the answer to the
/// append was lost, so the log can hold two copies.
#[test]
fn repeated_sequence_is_ignored() {
    let mut harness = LedgerHarness::new();
    let body = RecordBody::JobAccepted {
        order: order("k", true),
    };
    let record = harness.record("d1", body);
    assert_eq!(
        harness.ledger.apply(LogOffset(0), Some(&record)),
        RecordEffect::Applied
    );
    assert_eq!(
        harness.ledger.apply(LogOffset(1), Some(&record)),
        RecordEffect::Duplicate
    );
    assert_eq!(harness.ledger.jobs.len(), 1);
}

/// Guards against two planners at once. Two daemons can claim the same term; the first claim in the
/// log wins.
#[test]
fn second_claim_of_a_term_is_rejected() {
    let mut harness = LedgerHarness::new();
    assert_eq!(harness.claim("d1", 1), RecordEffect::Applied);
    assert!(is_stale(&harness.claim("d2", 1)));
    assert_eq!(harness.ledger.term.holder, Some(writer("d1")));
}

/// Guards against a placement by a former planner. A process that was paused can append after its
/// successor's claim.
#[test]
fn records_of_an_older_term_are_rejected() {
    let mut harness = LedgerHarness::new();
    let job = harness.accept("k", true);
    harness.claim("d1", 1);
    harness.claim("d2", 2);
    assert!(is_stale(&harness.place("d1", 1, job, 1)));
    assert!(is_stale(&harness.place("d1", 2, job, 1)));
    assert_eq!(*harness.phase(job), JobPhase::Queued);
    assert_eq!(harness.place("d2", 2, job, 1), RecordEffect::Applied);
}

/// Guards against one attempt number for two placements, which would mix up the reports of their
/// tasks.
#[test]
fn attempt_numbers_increase() {
    let mut harness = LedgerHarness::new();
    let job = harness.accept("k", true);
    harness.claim("d1", 1);
    assert_eq!(harness.place("d1", 1, job, 3), RecordEffect::Applied);
    harness.end(job, 3, AttemptEnd::Preempted);
    let wrong = RecordEffect::Rejected(RejectReason::WrongPhase);
    assert_eq!(harness.place("d1", 1, job, 3), wrong);
    assert_eq!(harness.place("d1", 1, job, 4), RecordEffect::Applied);
    assert_eq!(harness.end(job, 3, AttemptEnd::Preempted), wrong);
}

/// Guards against a second run of a non-repeatable job whose worker was lost or whose outcome is
/// unknown.
#[test]
fn lost_attempt_of_a_non_repeatable_job_ends_it() {
    for end in [
        AttemptEnd::Lost {
            worker: "w1".into(),
        },
        AttemptEnd::Unknown,
    ] {
        let mut harness = LedgerHarness::new();
        let job = harness.accept("k", false);
        harness.claim("d1", 1);
        harness.place("d1", 1, job, 1);
        harness.end(job, 1, end);
        assert!(matches!(harness.phase(job), JobPhase::Ended { .. }));
    }
}

/// Guards against a lost job. An attempt whose worker was lost goes back to the queue and keeps its
/// checkpoint.
#[test]
fn lost_attempt_of_a_repeatable_job_is_queued_with_its_checkpoint() {
    let mut harness = LedgerHarness::new();
    let job = harness.accept("k", true);
    harness.claim("d1", 1);
    harness.place("d1", 1, job, 1);
    harness.end(
        job,
        1,
        AttemptEnd::Lost {
            worker: "w1".into(),
        },
    );
    assert_eq!(*harness.phase(job), JobPhase::Queued);
    assert_eq!(harness.ledger.jobs[&job].checkpoint, TimeSpan(7));
    assert_eq!(harness.ledger.queued().collect::<Vec<_>>(), [job]);
    assert_eq!(harness.ledger.tasks_on(&"w1".into()).count(), 0);
}

/// Guards against unlimited retries of a job that fails on every worker.
#[test]
fn third_failure_ends_a_repeatable_job() {
    let mut harness = LedgerHarness::new();
    let job = harness.accept("k", true);
    harness.claim("d1", 1);
    for attempt in 1..=3 {
        assert_eq!(harness.place("d1", 1, job, attempt), RecordEffect::Applied);
        let end = AttemptEnd::Failed {
            worker: "w1".into(),
            reason: "no memory".into(),
        };
        harness.end(job, attempt, end);
    }
    assert!(matches!(harness.phase(job), JobPhase::Ended { .. }));
}

/// Guards against two jobs or runs for one idempotency key. Two daemons can append the key before
/// either reads the other's record.
#[test]
fn key_belongs_to_the_first_record() {
    let mut harness = LedgerHarness::new();
    harness.accept("k", true);
    let taken = RecordEffect::Rejected(RejectReason::DuplicateKey);
    let again = RecordBody::JobAccepted {
        order: order("k", true),
    };
    assert_eq!(harness.append("d2", again), taken);
    assert_eq!(harness.append("d2", intent("k")), taken);
    assert_eq!(harness.append("d1", intent("r")), RecordEffect::Applied);
    assert_eq!(harness.append("d2", intent("r")), taken);
}

fn intent(key: &str) -> RecordBody {
    RecordBody::RequestIntent {
        team: "bench".into(),
        key: key.into(),
        service: "booking".into(),
        digest: 5,
    }
}

/// Guards against a key that stays blocked although its request never ran, and against reuse of a
/// key whose request may have run.
#[test]
fn key_is_reusable_only_after_not_run() {
    for (end, free) in [(RequestEnd::NotRun, true), (RequestEnd::Unknown, false)] {
        let mut harness = LedgerHarness::new();
        harness.append("d1", intent("r"));
        let done = RecordBody::RequestDone {
            team: "bench".into(),
            key: "r".into(),
            end,
        };
        assert_eq!(harness.append("d1", done), RecordEffect::Applied);
        assert_eq!(
            harness.append("d2", intent("r")) == RecordEffect::Applied,
            free
        );
    }
}

/// Guards against a lost configuration change. Two operators can publish on the same version; the
/// second record is rejected with the name of the first operator.
#[test]
fn second_change_of_one_version_is_rejected() {
    let mut harness = LedgerHarness::new();
    let change = |operator: &str| RecordBody::ConfigChanged {
        base: ConfigVersion(0),
        upsert: Vec::new(),
        remove: Vec::new(),
        operator: operator.into(),
    };
    assert_eq!(harness.append("d1", change("ana")), RecordEffect::Applied);
    let lost = RejectReason::VersionConflict {
        operator: "ana".into(),
        version: 1,
    };
    assert_eq!(
        harness.append("d2", change("bao")),
        RecordEffect::Rejected(lost)
    );
    assert_eq!(harness.ledger.config.version, ConfigVersion(1));
}

/// Guards against a reader that stops at a record of a newer daemon version, or that miscounts
/// offsets after one.
#[test]
fn unknown_kinds_and_fields_are_skipped() {
    let mut harness = LedgerHarness::new();
    let text = r#"{"version":9,"writer":{"daemon":"d9","incarnation":1},"sequence":1,"at":5,
        "body":{"kind":"from_the_future","field":1},"more":true}"#;
    let record = record::decode(text.as_bytes()).expect("a readable record");
    assert_eq!(
        harness.ledger.apply(LogOffset(0), Some(&record)),
        RecordEffect::Skipped
    );
    assert_eq!(
        harness.ledger.apply(LogOffset(1), None),
        RecordEffect::Skipped
    );
    assert_eq!(harness.ledger.next, LogOffset(2));
}

/// Guards against unlimited growth of the ledger, and against the eviction of a job that is still
/// open.
#[test]
fn only_ended_jobs_are_evicted() {
    let mut harness = LedgerHarness::new();
    let ended = harness.accept("a", true);
    let open = harness.accept("b", true);
    harness.append("d1", RecordBody::JobCancelled { job: ended });
    harness.at = harness.at + RETENTION + TimeSpan(1);
    harness.claim("d1", 1);
    assert!(!harness.ledger.jobs.contains_key(&ended));
    assert!(harness.ledger.jobs.contains_key(&open));
    assert!(harness.ledger.key(&"bench".into(), &"a".into()).is_none());
    assert!(harness.ledger.key(&"bench".into(), &"b".into()).is_some());
}

fn filled_ledger() -> LedgerState {
    let mut harness = LedgerHarness::new();
    harness.claim("d1", 1);
    for number in 0..50 {
        let job = harness.accept(&format!("käse-{number}"), true);
        harness.place("d1", 1, job, 1);
        if number % 2 == 0 {
            harness.end(
                job,
                1,
                AttemptEnd::Finished {
                    result: "ok".into(),
                },
            );
        }
    }
    harness.ledger
}

/// Guards against a snapshot that restores a different ledger.
#[test]
fn snapshot_restores_the_ledger() {
    let ledger = filled_ledger();
    let pieces = snapshot::encode(&ledger, &writer("d1"), 500);
    assert!(pieces.len() > 3);
    let decoded = pieces
        .iter()
        .rev()
        .filter_map(|piece| snapshot::decode_piece(piece));
    assert_eq!(snapshot::assemble(decoded), Some(ledger));
}

/// Guards against a start from a damaged snapshot. Pieces can be truncated, missing or repeated;
/// the older complete snapshot is used.
#[test]
fn damaged_snapshot_falls_back_to_an_older_one() {
    let old = filled_ledger();
    let mut new = old.clone();
    new.next = LogOffset(old.next.0 + 10);
    let mut pieces = snapshot::encode(&old, &writer("d1"), 500);
    pieces.push(pieces[0].clone());
    let mut damaged = snapshot::encode(&new, &writer("d2"), 500);
    let middle = damaged[1].len() / 2;
    damaged[1].truncate(middle);
    pieces.extend(damaged);
    let decoded = pieces
        .iter()
        .filter_map(|piece| snapshot::decode_piece(piece));
    assert_eq!(snapshot::assemble(decoded), Some(old));
}
