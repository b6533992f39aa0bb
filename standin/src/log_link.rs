//! Simulated connections from the daemons to the log.

use crate::delivery::CallOrigin;
use crate::delivery::Delivery;
use crate::delivery::PendingRead;
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

/// Timeout of a daemon's log calls, beyond the wait time of a read.
const LOG_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// Maximum number of records in the answer to one read.
const READ_RECORDS: usize = 512;

impl SimDriver {
    pub(crate) fn log_delay(&mut self, daemon: usize) -> TimeSpan {
        let (daemon_region, log) = (self.region(daemon), self.log_region.clone());
        self.random_delay(&daemon_region, &log)
    }

    pub(crate) fn send_append(
        &mut self,
        origin: CallOrigin,
        batch: BatchId,
        records: &[LogRecord],
    ) {
        let daemon = origin.daemon;
        self.record_trace(|| {
            let bodies: Vec<_> = records.iter().map(|record| &record.body).collect();
            format!("{daemon} append {batch}: {bodies:?}")
        });
        let unknown = EventInput::AppendCompleted {
            batch,
            outcome: AppendOutcome::Unknown,
        };
        if !self.can_reach_log(&self.region(daemon)) || self.take_silent_link(daemon, "log-write") {
            return self.schedule_answer(origin, LOG_TIMEOUT, unknown);
        }
        let delay = self.log_delay(daemon) + self.log.fault().slow;
        let delivery = Delivery::AppendRecords {
            origin,
            batch,
            records: records.iter().map(record::encode).collect(),
        };
        self.schedule(delay, delivery);
    }

    pub(crate) fn deliver_append(
        &mut self,
        origin: CallOrigin,
        batch: BatchId,
        records: &[Vec<u8>],
    ) {
        let is_down = self.log.fault().down;
        let (_, first_new) = self.log.bounds("control");
        let reply = self.log.append("control", records, self.now());
        self.apply_new_records(first_new);
        let answer = |outcome| EventInput::AppendCompleted { batch, outcome };
        let return_delay = self.log_delay(origin.daemon);
        let is_late = (self.now() + return_delay).since(origin.sent_at) > LOG_TIMEOUT;
        match reply {
            AppendReply::Stored { .. } if !is_late => {
                self.schedule_answer(origin, return_delay, answer(AppendOutcome::Stored));
            }
            AppendReply::Refused if !is_down && !is_late => {
                self.schedule_answer(origin, return_delay, answer(AppendOutcome::Refused));
            }
            _ => {
                self.schedule_answer_at_timeout(origin, LOG_TIMEOUT, answer(AppendOutcome::Unknown))
            }
        }
    }

    /// Applies the records from `from` on to the driver's ledger and notifies the checker.
    fn apply_new_records(&mut self, from: LogOffset) {
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
            self.record_trace(|| format!("log {offset}: {effect:?} {:?}", decoded.body));
            if effect == RecordEffect::Applied {
                self.notify_checker(*offset, &decoded.body);
                self.new_records.push(decoded.body);
            }
        }
        if !records.is_empty() {
            self.serve_pending_reads();
        }
    }

    fn notify_checker(&mut self, offset: LogOffset, body: &RecordBody) {
        let now = self.now();
        match body {
            RecordBody::JobAccepted { order } => {
                let job = JobId(offset.0);
                self.checker.record_job_accepted(job, order.spec.repeatable);
            }
            RecordBody::JobCancelled { job }
            | RecordBody::AttemptEnded { job, .. }
            | RecordBody::JobRefused { job, .. } => {
                let record = self.ledger.jobs.get(job);
                if record.is_some_and(|record| matches!(record.phase, JobPhase::Ended { .. })) {
                    self.checker.record_job_ended(*job);
                }
            }
            RecordBody::JobPlaced {
                job,
                attempt,
                workers,
                ..
            } => self.checker.record_placement(*job, *attempt, workers),
            RecordBody::RequestIntent { key, .. } => self.checker.require_at_most_once(key),
            RecordBody::DomainSet { domain, out, .. } => {
                self.checker.record_domain_change(now, domain, *out);
            }
            _ => {}
        }
    }

    pub(crate) fn send_read(&mut self, origin: CallOrigin, from: LogOffset, wait: TimeSpan) {
        let failed = EventInput::LogRead {
            from,
            outcome: ReadOutcome::Failed,
        };
        let daemon = origin.daemon;
        if !self.can_reach_log(&self.region(daemon)) || self.take_silent_link(daemon, "log-read") {
            return self.schedule_answer(origin, wait + LOG_TIMEOUT, failed);
        }
        let delay = self.log_delay(daemon) + self.log.fault().slow;
        let deadline = self.now() + delay + wait;
        let read = PendingRead {
            origin,
            from,
            deadline,
        };
        self.schedule(delay, Delivery::ReadLog(read));
    }

    pub(crate) fn deliver_read(&mut self, read: PendingRead) {
        let delay = read.deadline.since(self.now());
        self.pending_reads.push(read);
        self.schedule(delay, Delivery::ReadTimeout);
        self.serve_pending_reads();
    }

    /// Answers the pending reads that have records or whose deadline has passed.
    pub(crate) fn serve_pending_reads(&mut self) {
        for read in std::mem::take(&mut self.pending_reads) {
            let reply = self
                .log
                .read("control", read.from, READ_RECORDS, self.now());
            let is_waiting =
                matches!(&reply, ReadReply::Records { records, .. } if records.is_empty());
            if is_waiting && read.deadline > self.now() {
                self.pending_reads.push(read);
                continue;
            }
            self.answer_read(&read, reply);
        }
    }

    fn answer_read(&mut self, read: &PendingRead, reply: ReadReply) {
        let origin = read.origin;
        let is_cut = !self.can_reach_log(&self.region(origin.daemon));
        let outcome = match reply {
            ReadReply::Down => ReadOutcome::Failed,
            _ if is_cut => ReadOutcome::Failed,
            ReadReply::Expired { oldest } => ReadOutcome::Expired { oldest },
            ReadReply::Records { records, tail } => ReadOutcome::Records {
                records: records.iter().map(stored_record).collect(),
                tail,
                sent_at: origin.sent_at,
            },
        };
        let delay = self.log_delay(origin.daemon);
        let input = EventInput::LogRead {
            from: read.from,
            outcome,
        };
        self.schedule_answer(origin, delay, input);
    }

    pub(crate) fn deliver_snapshot_read(&mut self, origin: CallOrigin) {
        let is_reachable =
            self.can_reach_log(&self.region(origin.daemon)) && !self.log.fault().down;
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
        self.schedule_answer(origin, delay, input);
    }

    pub(crate) fn deliver_snapshot_write(&mut self, origin: CallOrigin, ledger: &LedgerState) {
        let is_reachable = self.can_reach_log(&self.region(origin.daemon));
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
        self.schedule_answer(origin, delay, EventInput::SnapshotWritten { is_stored });
    }
}

fn stored_record((offset, bytes): &(LogOffset, Vec<u8>)) -> StoredRecord {
    StoredRecord {
        offset: *offset,
        record: record::decode(bytes),
    }
}
