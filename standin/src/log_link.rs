//! The links from daemons to the platform's log.

use crate::delivery::Delivery;
use crate::delivery::LogReader;
use crate::delivery::Origin;
use crate::driver::SimDriver;
use crate::log::AppendReply;
use crate::log::ReadReply;
use mustardpath_core::event::AppendOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ReadOutcome;
use mustardpath_core::ids::BatchId;
use mustardpath_core::ids::JobId;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::WriterId;
use mustardpath_core::ledger::JobPhase;
use mustardpath_core::ledger::LedgerState;
use mustardpath_core::ledger::RecordEffect;
use mustardpath_core::record;
use mustardpath_core::record::LogRecord;
use mustardpath_core::record::RecordBody;
use mustardpath_core::record::StoredRecord;
use mustardpath_core::snapshot;
use mustardpath_core::units::TimeSpan;

/// Time after which a daemon's log threads give an answer up.
const LOG_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Records in the answer to one read.
const READ_RECORDS: usize = 512;

impl SimDriver {
    pub(crate) fn log_delay(&mut self, daemon: usize) -> TimeSpan {
        let (own, log) = (self.region(daemon), self.log_region.clone());
        self.delay(&own, &log)
    }

    pub(crate) fn send_append(&mut self, origin: Origin, batch: BatchId, records: &[LogRecord]) {
        let daemon = origin.daemon;
        self.note(|| {
            let bodies: Vec<_> = records.iter().map(|record| &record.body).collect();
            format!("{daemon} append {batch}: {bodies:?}")
        });
        let unknown = EventInput::AppendCompleted {
            batch,
            outcome: AppendOutcome::Unknown,
        };
        if !self.reaches_log(&self.region(daemon)) || self.take_silence(daemon, "log-write") {
            return self.answer(origin, LOG_TIMEOUT, unknown);
        }
        let delay = self.log_delay(daemon) + self.log.fault().slow;
        let delivery = Delivery::Append {
            origin,
            batch,
            records: records.iter().map(record::encode).collect(),
        };
        self.schedule(delay, delivery);
    }

    pub(crate) fn deliver_append(&mut self, origin: Origin, batch: BatchId, records: &[Vec<u8>]) {
        let down = self.log.fault().down;
        let (_, before) = self.log.bounds("control");
        let reply = self.log.append("control", records, self.now());
        self.learn_records(before);
        let answer = |outcome| EventInput::AppendCompleted { batch, outcome };
        let back = self.log_delay(origin.daemon);
        let late = (self.now() + back).since(origin.sent) > LOG_TIMEOUT;
        match reply {
            AppendReply::Stored { .. } if !late => {
                self.answer(origin, back, answer(AppendOutcome::Stored));
            }
            AppendReply::Refused if !down && !late => {
                self.answer(origin, back, answer(AppendOutcome::Refused));
            }
            _ => self.answer_at(origin, LOG_TIMEOUT, answer(AppendOutcome::Unknown)),
        }
    }

    /// Applies new records of the stream to the driver's own ledger and tells the checker.
    fn learn_records(&mut self, from: LogOffset) {
        let reply = self.log.read("control", from, usize::MAX, self.now());
        let ReadReply::Records { records, .. } = reply else {
            return;
        };
        for (offset, bytes) in &records {
            let decoded = record::decode(bytes);
            let effect = self.ledger.apply(*offset, decoded.as_ref());
            let Some(decoded) = decoded else {
                continue;
            };
            self.note(|| format!("log {offset}: {effect:?} {:?}", decoded.body));
            if effect == RecordEffect::Applied {
                self.tell_checker(*offset, &decoded.body);
                self.new_records.push(decoded.body);
            }
        }
        if !records.is_empty() {
            self.wake_readers();
        }
    }

    fn tell_checker(&mut self, offset: LogOffset, body: &RecordBody) {
        let now = self.now();
        match body {
            RecordBody::JobAccepted { order } => {
                let job = JobId(offset.0);
                self.checker.accept_job(job, order.spec.repeatable);
            }
            RecordBody::JobCancelled { job }
            | RecordBody::AttemptEnded { job, .. }
            | RecordBody::JobRefused { job, .. } => {
                let record = self.ledger.jobs.get(job);
                if record.is_some_and(|record| matches!(record.phase, JobPhase::Ended { .. })) {
                    self.checker.end_job(*job);
                }
            }
            RecordBody::JobPlaced {
                job,
                attempt,
                workers,
                ..
            } => self.checker.place(*job, *attempt, workers),
            RecordBody::RequestIntent { key, .. } => self.checker.promise_once(key),
            RecordBody::DomainSet { domain, out, .. } => {
                self.checker.set_domain(now, domain, *out);
            }
            _ => {}
        }
    }

    pub(crate) fn send_read(&mut self, origin: Origin, from: LogOffset, wait: TimeSpan) {
        let failed = EventInput::LogRead {
            from,
            outcome: ReadOutcome::Failed,
        };
        let daemon = origin.daemon;
        if !self.reaches_log(&self.region(daemon)) || self.take_silence(daemon, "log-read") {
            return self.answer(origin, wait + LOG_TIMEOUT, failed);
        }
        let delay = self.log_delay(daemon) + self.log.fault().slow;
        let until = self.now() + delay + wait;
        let reader = LogReader {
            origin,
            from,
            until,
        };
        self.schedule(delay, Delivery::Read(reader));
    }

    pub(crate) fn deliver_read(&mut self, reader: LogReader) {
        let delay = reader.until.since(self.now());
        self.readers.push(reader);
        self.schedule(delay, Delivery::ReadEnd);
        self.wake_readers();
    }

    /// Answers the reads that have records to take or have waited long enough.
    pub(crate) fn wake_readers(&mut self) {
        for reader in std::mem::take(&mut self.readers) {
            let reply = self
                .log
                .read("control", reader.from, READ_RECORDS, self.now());
            let waits = matches!(&reply, ReadReply::Records { records, .. } if records.is_empty());
            if waits && reader.until > self.now() {
                self.readers.push(reader);
                continue;
            }
            self.answer_read(&reader, reply);
        }
    }

    fn answer_read(&mut self, reader: &LogReader, reply: ReadReply) {
        let origin = reader.origin;
        let cut = !self.reaches_log(&self.region(origin.daemon));
        let outcome = match reply {
            ReadReply::Down => ReadOutcome::Failed,
            _ if cut => ReadOutcome::Failed,
            ReadReply::Expired { oldest } => ReadOutcome::Expired { oldest },
            ReadReply::Records { records, tail } => ReadOutcome::Records {
                records: records.iter().map(stored_record).collect(),
                tail,
                sent_at: origin.sent,
            },
        };
        let delay = self.log_delay(origin.daemon);
        let input = EventInput::LogRead {
            from: reader.from,
            outcome,
        };
        self.answer(origin, delay, input);
    }

    pub(crate) fn deliver_snapshot_read(&mut self, origin: Origin) {
        let is_reachable = self.reaches_log(&self.region(origin.daemon)) && !self.log.fault().down;
        let (oldest, _) = self.log.bounds("snapshots");
        let reply = self.log.read("snapshots", oldest, usize::MAX, self.now());
        let ledger = match reply {
            ReadReply::Records { records, .. } if is_reachable => {
                let records = records.iter();
                let pieces = records.filter_map(|(_, bytes)| snapshot::decode_piece(bytes));
                snapshot::assemble(pieces).map(Box::new)
            }
            _ => None,
        };
        let delay = self.log_delay(origin.daemon);
        let input = EventInput::SnapshotRead {
            ledger,
            is_reachable,
        };
        self.answer(origin, delay, input);
    }

    pub(crate) fn deliver_snapshot_write(&mut self, origin: Origin, ledger: &LedgerState) {
        let is_reachable = self.reaches_log(&self.region(origin.daemon));
        let settings = &self.processes[origin.daemon].settings;
        let writer = WriterId {
            daemon: settings.daemon.clone(),
            incarnation: origin.incarnation,
        };
        let size = usize::try_from(settings.limits.snapshot_piece.0).unwrap_or(usize::MAX);
        let pieces = snapshot::encode(ledger, &writer, size);
        let now = self.now();
        let mut store = |piece: Vec<u8>| {
            let reply = self.log.append("snapshots", &[piece], now);
            matches!(reply, AppendReply::Stored { .. })
        };
        let is_stored = is_reachable && pieces.into_iter().all(&mut store);
        let delay = self.log_delay(origin.daemon);
        self.answer(origin, delay, EventInput::SnapshotWritten { is_stored });
    }
}

fn stored_record((offset, bytes): &(LogOffset, Vec<u8>)) -> StoredRecord {
    StoredRecord {
        offset: *offset,
        record: record::decode(bytes),
    }
}
