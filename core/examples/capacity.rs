//! Measures how state size, message size and processor time grow with the size of the fleet.
//! `docs/CAPACITY.md` uses the figures.
//!
//! Run with `cargo run --release --locked -p mustardpath-core --example capacity`.

use std::collections::VecDeque;
use std::fs;
use std::time::Instant;

use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::config::ServiceSpec;
use mustardpath_core::config::TeamFile;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::effect::PeerMessage;
use mustardpath_core::event::AppendOutcome;
use mustardpath_core::event::CallOutcome;
use mustardpath_core::event::ControlEvent;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ReadOutcome;
use mustardpath_core::event::VmOutcome;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::WriterId;
use mustardpath_core::record;
use mustardpath_core::record::JobOrder;
use mustardpath_core::record::LogRecord;
use mustardpath_core::record::RECORD_VERSION;
use mustardpath_core::record::RecordBody;
use mustardpath_core::record::StoredRecord;
use mustardpath_core::reducer;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::settings::LimitSettings;
use mustardpath_core::settings::TimingSettings;
use mustardpath_core::snapshot;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::DaemonInfo;
use mustardpath_core::worker::VmState;
use mustardpath_core::worker::WorkerCommand;
use mustardpath_core::worker::WorkerInfo;
use mustardpath_core::worker::WorkerReply;

/// Number of workers in each measurement; tasks and jobs scale with it.
const SIZES: [u64; 4] = [50, 200, 870, 3_480];

/// Design target: workers, running tasks, teams, jobs per day and configuration changes per day.
const TARGET: [u64; 5] = [870, 16_000, 61, 2_900, 450];

/// Average number of members per job at the target: 16,000 tasks in jobs that run for one day on
/// average.
const MEMBERS: u64 = 5;

/// Number of daemons in the deployment.
const DAEMONS: u64 = 8;

/// Platform stand-in that executes effects immediately and without faults.
struct EchoPlatform {
    state: DaemonState,
    log: Vec<LogRecord>,
    at: ClockTime,
    events: VecDeque<EventInput>,
    renewal_sizes: Vec<(usize, usize)>,
    heartbeat_sizes: Vec<usize>,
}

impl EchoPlatform {
    fn new(workers: u64) -> Self {
        let mut platform = Self {
            state: DaemonState::new(settings(), 1),
            log: Vec::new(),
            at: ClockTime(1_000_000),
            events: VecDeque::new(),
            renewal_sizes: Vec::new(),
            heartbeat_sizes: Vec::new(),
        };
        let workers = (0..workers).map(worker_info).collect();
        let daemons = (1..DAEMONS).map(daemon_info).collect();
        platform.event(EventInput::VmList {
            outcome: VmOutcome::Changes {
                version: 1,
                workers,
                daemons,
            },
        });
        platform
    }

    fn event(&mut self, input: EventInput) {
        self.events.push_back(input);
        while let Some(input) = self.events.pop_front() {
            let mut effects = Vec::new();
            let event = ControlEvent { at: self.at, input };
            reducer::apply(&mut self.state, &event, &mut effects);
            for effect in effects {
                self.apply_effect(effect);
            }
        }
    }

    fn apply_effect(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::Append { batch, records } => {
                self.log.extend(records);
                let outcome = AppendOutcome::Stored;
                self.events
                    .push_back(EventInput::AppendCompleted { batch, outcome });
            }
            ControlEffect::ReadSnapshot => {
                self.events.push_back(EventInput::SnapshotRead {
                    ledger: None,
                    is_reachable: true,
                });
            }
            ControlEffect::CallWorker {
                call,
                worker,
                command,
                ..
            } => {
                let reply = reply_to(&command);
                let sizes = (json_len(&command), json_len(&reply));
                if matches!(command, WorkerCommand::Renew { .. }) {
                    self.renewal_sizes.push(sizes);
                }
                let outcome = CallOutcome::Reply { reply };
                self.events.push_back(EventInput::WorkerCallCompleted {
                    call,
                    worker,
                    outcome,
                });
            }
            ControlEffect::SendPeer {
                message: PeerMessage::Heartbeat(heartbeat),
                ..
            } => {
                self.heartbeat_sizes.push(json_len(&heartbeat));
            }
            _ => {}
        }
    }

    /// Advances the clock, ticks the daemon and delivers the log.
    fn step(&mut self) {
        self.at = self.at + TimeSpan(100);
        self.event(EventInput::Tick);
        self.read_log();
    }

    fn read_log(&mut self) {
        let from = self.state.ledger.next;
        let records = (from.0..).zip(&self.log[from.0 as usize..]);
        let records = records
            .map(|(offset, record)| StoredRecord {
                offset: LogOffset(offset),
                record: Some(record.clone()),
            })
            .collect();
        let tail = LogOffset(self.log.len() as u64);
        let outcome = ReadOutcome::Records {
            records,
            tail,
            sent_at: self.at,
        };
        self.event(EventInput::LogRead { from, outcome });
    }

    fn append(&mut self, body: RecordBody) {
        let writer = WriterId {
            daemon: "other".into(),
            incarnation: 1,
        };
        let sequence = self.log.len() as u64 + 1;
        let at = self.at;
        self.log.push(LogRecord {
            version: RECORD_VERSION,
            writer,
            sequence,
            at,
            body,
        });
    }
}

fn reply_to(command: &WorkerCommand) -> WorkerReply {
    match command {
        WorkerCommand::Fence { .. } => WorkerReply::Fenced {
            tasks: Vec::new(),
            leaving: false,
            uptime: TimeSpan::from_secs(86_400),
        },
        WorkerCommand::Renew { seen, .. } => WorkerReply::Renewed {
            revision: *seen,
            tasks: Vec::new(),
            leaving: false,
            boot: 1,
        },
        WorkerCommand::Stop { .. } => WorkerReply::Stopped {
            tasks: Vec::new(),
            uptime: TimeSpan::from_secs(86_400),
        },
        _ => WorkerReply::Done,
    }
}

fn json_len(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

fn settings() -> DaemonSettings {
    DaemonSettings {
        daemon: "daemon-0".into(),
        region: "south".into(),
        domain: "domain-0".into(),
        caller_address: "127.0.0.1:7000".into(),
        peer_address: "127.0.0.1:7001".into(),
        log_address: "127.0.0.1:7002".into(),
        vms_address: "127.0.0.1:7003".into(),
        statsd_address: None,
        operator_key_sha256: KeyDigest::of("operator"),
        policy: mustardpath_core::policy::PolicyKind::Mustardpath,
        timing: TimingSettings::default(),
        limits: LimitSettings::default(),
        batch: None,
    }
}

fn daemon_info(index: u64) -> DaemonInfo {
    DaemonInfo {
        daemon: DaemonName::from(format!("daemon-{index}").as_str()),
        address: format!("127.0.0.1:{}", 8_000 + index),
        region: "south".into(),
        domain: "domain-0".into(),
        state: VmState::Live,
    }
}

fn worker_info(index: u64) -> WorkerInfo {
    let domain = index % 6;
    WorkerInfo {
        worker: format!("worker-{index}").as_str().into(),
        address: format!("127.0.{}.{}:9000", index / 250, index % 250),
        region: if domain < 3 {
            "south".into()
        } else {
            "north".into()
        },
        domain: format!("domain-{domain}").as_str().into(),
        rack: format!("rack-{}", index / 48).as_str().into(),
        capacity: ResourceDemand {
            slots: 40,
            accelerators: 2,
            cores: 64,
            memory_mib: 262_144,
        },
        connections: 64,
        state: VmState::Live,
    }
}

fn spec() -> ServiceSpec {
    let text = r#"{"work":"job","run_time":"24 h","repeatable":true,"preemptible":true,
        "members":5,"demand":{"slots":1,"cores":1,"memory_mib":1024}}"#;
    serde_json::from_str(text).expect("the example service is valid")
}

fn team_file(index: u64) -> TeamFile {
    let text = format!(
        r#"{{"team":"team-{index}","key_sha256":"{}",
        "services":{{"train":{}}}}}"#,
        "a".repeat(64),
        serde_json::to_string(&spec()).unwrap_or_default()
    );
    serde_json::from_str(&text).expect("the example team file is valid")
}

fn order(job: u64) -> JobOrder {
    JobOrder {
        team: format!("team-{}", job % 61).as_str().into(),
        service: "train".into(),
        key: format!("order-{job:08}").as_str().into(),
        spec: spec(),
        payload: r#"{"dataset":"run","epochs":12}"#.into(),
    }
}

/// Returns the resident memory of this process in KiB, read from `/proc/self/status`.
fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    line.split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok())
        .unwrap_or(0)
}

fn mean_micros(count: u64, mut work: impl FnMut()) -> f64 {
    let start = Instant::now();
    for _ in 0..count {
        work();
    }
    start.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn mean(sizes: impl ExactSizeIterator<Item = usize>) -> usize {
    let count = sizes.len().max(1);
    sizes.sum::<usize>() / count
}

/// Runs the measurement for one fleet size and prints the results.
fn measure(workers: u64) {
    let [target_workers, target_tasks, teams, ..] = TARGET;
    let jobs = workers * target_tasks / target_workers / MEMBERS;
    let before = resident_kib();
    let mut platform = EchoPlatform::new(workers);
    let upsert = (0..teams).map(team_file).collect();
    let operator = "ana".to_owned();
    let remove = Vec::new();
    platform.append(RecordBody::ConfigChanged {
        base: ConfigVersion(0),
        upsert,
        remove,
        operator,
    });
    for _ in 0..20 {
        platform.step();
    }
    for job in 0..jobs {
        platform.append(RecordBody::JobAccepted { order: order(job) });
    }
    let mut steps = 0;
    while platform.state.ledger.placed_count() < jobs as usize && steps < 600 {
        platform.step();
        steps += 1;
    }
    let placed = platform.state.ledger.placed_count();
    let memory = resident_kib().saturating_sub(before);
    let tick = mean_micros(1_000, || {
        platform.at = platform.at + TimeSpan(1);
        platform.event(EventInput::Tick);
    });
    let idle_read = mean_micros(1_000, || platform.read_log());
    let next = jobs;
    let accept = mean_micros(50, || {
        platform.append(RecordBody::JobAccepted {
            order: order(next + platform.log.len() as u64),
        });
        platform.step();
        platform.step();
    });
    report_snapshot(&platform, workers, jobs, placed, memory);
    println!(
        "  tick {tick:.1} us, empty read {idle_read:.1} us, one job from acceptance to start \
         {accept:.0} us"
    );
    let renewals = platform.renewal_sizes.iter();
    println!(
        "  renewal {} + {} bytes of JSON, heartbeat {} bytes of JSON",
        mean(renewals.clone().map(|sizes| sizes.0)),
        mean(renewals.map(|sizes| sizes.1)),
        mean(platform.heartbeat_sizes.iter().copied()),
    );
}

fn report_snapshot(platform: &EchoPlatform, workers: u64, jobs: u64, placed: usize, memory: u64) {
    let ledger = &platform.state.ledger;
    let writer = platform.state.outbox.writer();
    let start = Instant::now();
    let copy = ledger.clone();
    let copied = start.elapsed();
    let start = Instant::now();
    let pieces = snapshot::encode(&copy, writer, 32 << 10);
    let encoded = start.elapsed();
    let bytes: usize = pieces.iter().map(Vec::len).sum();
    let start = Instant::now();
    let decoded = pieces
        .iter()
        .filter_map(|piece| snapshot::decode_piece(piece));
    let is_equal = snapshot::assemble(decoded).as_ref() == Some(ledger);
    let restored = start.elapsed();
    let records = platform
        .log
        .iter()
        .map(|record| record::encode(record).len());
    println!(
        "{workers} workers, {jobs} jobs, {placed} placed, {} tasks: {memory} KiB resident",
        placed as u64 * MEMBERS
    );
    println!(
        "  snapshot {bytes} bytes in {} pieces, copied in {copied:.1?}, encoded in {encoded:.1?}, \
         restored in {restored:.1?}, equal: {is_equal}; record {} bytes on average",
        pieces.len(),
        mean(records),
    );
}

fn main() {
    for workers in SIZES {
        measure(workers);
    }
}
