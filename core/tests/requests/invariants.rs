//! Invariants for any order of events: at most one run, no false "not run", exactly one answer.

use std::collections::BTreeMap;

use bolero::TypeGenerator;

use crate::draws;
use crate::harness::SentAttempt;
use crate::harness::TestDaemon;
use crate::harness::answered_outcome;
use crate::harness::request_head;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::RequestKey;
use mustardpath_core::kind::RunStatus;
use mustardpath_core::record::LogRecord;
use mustardpath_core::units::TimeSpan;

/// Maximum number of steps of one generated run.
const MAX_STEP_COUNT: usize = 120;

/// One step of a random run. Numbers are reduced to a valid index where they are used.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum RandomStep {
    Send {
        daemon: bool,
        key: u8,
        deadline: u8,
    },
    Finish {
        daemon: bool,
        choice: u8,
        outcome: u8,
    },
    Store {
        daemon: bool,
        twice: bool,
    },
    Read {
        daemon: bool,
    },
    Disconnect {
        daemon: bool,
        caller: u8,
    },
    Wait {
        daemon: bool,
        steps: u8,
    },
}

/// Two daemons, their log, and the requests that endpoints have run.
struct RandomRun {
    daemons: [TestDaemon; 2],
    log: Vec<LogRecord>,
    in_flight: [Vec<SentAttempt>; 2],
    seen_counts: [usize; 2],
    keys: BTreeMap<(usize, CallerId), RequestKey>,
    disconnected: Vec<(usize, CallerId)>,
    runs: BTreeMap<(usize, CallerId), u32>,
}

impl RandomRun {
    fn new() -> Self {
        Self {
            daemons: [TestDaemon::new("d0", 3), TestDaemon::new("d1", 3)],
            log: Vec::new(),
            in_flight: Default::default(),
            seen_counts: [0, 0],
            keys: BTreeMap::new(),
            disconnected: Vec::new(),
            runs: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: RandomStep) {
        match step {
            RandomStep::Send {
                daemon,
                key,
                deadline,
            } => self.send(usize::from(daemon), key, deadline),
            RandomStep::Finish {
                daemon,
                choice,
                outcome,
            } => self.finish(usize::from(daemon), choice, outcome),
            RandomStep::Store { daemon, twice } => self.store(usize::from(daemon), twice),
            RandomStep::Read { daemon } => self.read(usize::from(daemon)),
            RandomStep::Disconnect { daemon, caller } => {
                self.disconnect(usize::from(daemon), caller)
            }
            RandomStep::Wait { daemon, steps } => {
                let daemon = &mut self.daemons[usize::from(daemon)];
                daemon.advance(u64::from(steps % 40) * 100);
            }
        }
        for index in 0..2 {
            let sent = self.daemons[index].sent();
            self.in_flight[index].extend_from_slice(&sent[self.seen_counts[index]..]);
            self.seen_counts[index] = sent.len();
        }
    }

    fn send(&mut self, index: usize, key: u8, deadline: u8) {
        let key = format!("k{}", key % 4);
        let mut request = request_head("tea", "book", Some(&key));
        request.deadline = Some(TimeSpan(u64::from(deadline) * 50));
        let caller = self.daemons[index].send(&request);
        self.keys.insert((index, caller), key.as_str().into());
    }

    fn finish(&mut self, index: usize, choice: u8, outcome: u8) {
        if self.in_flight[index].is_empty() {
            return;
        }
        let choice = usize::from(choice) % self.in_flight[index].len();
        let sent = self.in_flight[index].swap_remove(choice);
        let (ran, outcome) = match outcome % 5 {
            0 => (true, answered_outcome(200)),
            1 => (true, answered_outcome(500)),
            2 => (true, EndpointOutcome::Unknown),
            3 => (false, EndpointOutcome::Refused),
            _ => (false, EndpointOutcome::Undelivered),
        };
        if ran {
            *self.runs.entry((index, sent.caller)).or_default() += 1;
        }
        self.daemons[index].report_outcome(&sent, outcome);
    }

    fn store(&mut self, index: usize, twice: bool) {
        let records = self.daemons[index].store_appends();
        if twice {
            self.log.extend(records.iter().cloned());
        }
        self.log.extend(records);
    }

    fn read(&mut self, index: usize) {
        let next = self.daemons[index].state.ledger.next.0;
        let records = self.log[usize::try_from(next).expect("offset")..].to_vec();
        self.daemons[index].read(&records);
    }

    fn disconnect(&mut self, index: usize, caller: u8) {
        let caller = CallerId(u64::from(caller) % 8);
        self.disconnected.push((index, caller));
        self.daemons[index].apply(EventInput::CallerDisconnected { caller });
    }

    /// Ends all open requests.
    fn drain(&mut self) {
        for index in [0, 1, 0, 1] {
            self.store(index, false);
            self.read(0);
            self.read(1);
            self.step(RandomStep::Wait {
                daemon: index == 1,
                steps: 39,
            });
            while !self.in_flight[index].is_empty() {
                self.finish(index, 0, 2);
            }
            self.daemons[index].advance(20_000);
        }
    }

    fn check(&self) {
        let mut by_key = BTreeMap::<&RequestKey, u32>::new();
        for (caller, key) in &self.keys {
            *by_key.entry(key).or_default() += self.runs.get(caller).copied().unwrap_or(0);
        }
        assert!(by_key.values().all(|runs| *runs <= 1), "{by_key:?}");
        for (index, caller) in self.keys.keys() {
            let replies = self.daemons[*index].replies(*caller);
            let disconnected = self.disconnected.contains(&(*index, *caller));
            assert!(replies.len() == 1 || disconnected, "{replies:?}");
            let ran = self.runs.contains_key(&(*index, *caller));
            if let [CallerAnswer::Failure(report)] = replies[..] {
                let not_run = report.kind.response().run == RunStatus::NotRun;
                assert!(!(not_run && ran), "{report:?}");
            }
        }
    }
}

/// Guards against a second run for one key, a false "not run", and a caller with no answer or with
/// two. Lost connections, duplicate records, late reads and disconnects can cause them.
#[test]
fn any_order_of_events_keeps_the_invariants() {
    for (_, steps) in draws::lists::<RandomStep>(0..500, MAX_STEP_COUNT) {
        let mut run = RandomRun::new();
        for step in steps {
            run.step(step);
        }
        run.drain();
        run.check();
    }
}
