//! Encoding and decoding of peer messages as capnp-rpc calls.

use std::time::Duration;

use tokio::time;

use crate::peer_capnp::domain_hold;
use crate::peer_capnp::heartbeat;
use crate::peer_capnp::peer;
use crate::peer_capnp::worker_tasks;
use mustardpath_core::effect::DomainHold;
use mustardpath_core::effect::PeerHeartbeat;
use mustardpath_core::effect::PeerMessage;
use mustardpath_core::effect::WorkerTasks;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::DomainName;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::ids::RegionName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::ledger::LedgerState;

/// Maximum size of one piece of a ledger. A link of 30 Mbit/s transfers it within the time limit of
/// a call.
const PIECE_BYTES: usize = 256 << 10;

/// Sends a message. Returns whether the peer acknowledged it within `timeout`, which applies to
/// each piece of a ledger separately.
pub async fn send(
    client: &peer::Client,
    daemon: &DaemonName,
    message: &PeerMessage,
    timeout: Duration,
) -> bool {
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            let mut request = client.heartbeat_request();
            let written = write_heartbeat(request.get().init_heartbeat(), daemon, heartbeat);
            written.is_ok() && is_acknowledged(request.send().promise, timeout).await
        }
        PeerMessage::Reports { reports } => {
            let mut request = client.reports_request();
            request.get().set_daemon(daemon.as_str());
            let count = u32::try_from(reports.len()).unwrap_or(0);
            let mut list = request.get().init_reports(count);
            for (index, tasks) in (0..count).zip(reports) {
                write_tasks(list.reborrow().get(index), tasks);
            }
            is_acknowledged(request.send().promise, timeout).await
        }
        PeerMessage::StateRequest => {
            let mut request = client.state_wanted_request();
            request.get().set_daemon(daemon.as_str());
            is_acknowledged(request.send().promise, timeout).await
        }
        PeerMessage::State { ledger } => send_state(client, daemon, ledger, timeout).await,
    }
}

async fn is_acknowledged<T>(
    call: impl Future<Output = Result<T, capnp::Error>>,
    timeout: Duration,
) -> bool {
    matches!(time::timeout(timeout, call).await, Ok(Ok(_)))
}

/// Sends a ledger in pieces. Each one is acknowledged before the next one is sent, which keeps the
/// link from being saturated.
async fn send_state(
    client: &peer::Client,
    daemon: &DaemonName,
    ledger: &LedgerState,
    timeout: Duration,
) -> bool {
    let Ok(text) = serde_json::to_vec(ledger) else {
        return false;
    };
    let transfer = fastrand::u64(..);
    let pieces: Vec<&[u8]> = text.chunks(PIECE_BYTES).collect();
    let count = u32::try_from(pieces.len()).unwrap_or(u32::MAX);
    for (index, bytes) in (0..count).zip(pieces) {
        let mut request = client.state_request();
        let mut piece = request.get().init_piece();
        piece.set_daemon(daemon.as_str());
        piece.set_transfer(transfer);
        piece.set_index(index);
        piece.set_count(count);
        piece.set_bytes(bytes);
        if !is_acknowledged(request.send().promise, timeout).await {
            return false;
        }
    }
    true
}

fn write_heartbeat(
    mut target: heartbeat::Builder<'_>,
    daemon: &DaemonName,
    heartbeat: &PeerHeartbeat,
) -> Result<(), capnp::Error> {
    target.set_daemon(daemon.as_str());
    target.set_incarnation(heartbeat.incarnation);
    target.set_address(heartbeat.address.as_str());
    target.set_peer_address(heartbeat.peer_address.as_str());
    target.set_region(heartbeat.region.as_str());
    target.set_domain(heartbeat.domain.as_str());
    target.set_next(heartbeat.next.0);
    target.set_config(heartbeat.config.0);
    let domains: Vec<&str> = heartbeat
        .held_domains
        .iter()
        .map(DomainName::as_str)
        .collect();
    target.set_held_domains(domains.as_slice())?;
    let workers: Vec<&str> = heartbeat
        .lost_workers
        .iter()
        .map(WorkerName::as_str)
        .collect();
    target.set_lost_workers(workers.as_slice())?;
    let workers: Vec<&str> = heartbeat
        .silent_workers
        .iter()
        .map(WorkerName::as_str)
        .collect();
    target.set_silent_workers(workers.as_slice())?;
    target.set_draining(heartbeat.draining);
    let count = u32::try_from(heartbeat.holds.len()).unwrap_or(0);
    let mut holds = target.init_holds(count);
    for (index, hold) in (0..count).zip(&heartbeat.holds) {
        let mut target = holds.reborrow().get(index);
        target.set_domain(hold.domain.as_str());
        target.set_base(hold.base);
    }
    Ok(())
}

fn write_tasks(mut target: worker_tasks::Builder<'_>, tasks: &WorkerTasks) {
    target.set_worker(tasks.worker.as_str());
    let text = serde_json::to_string(&tasks.tasks).unwrap_or_else(|_| String::from("[]"));
    target.set_tasks(text.as_str());
}

/// Decodes a heartbeat and the name of its sender.
///
/// # Errors
///
/// Returns an error when a field is missing or its text is not UTF-8.
pub fn read_heartbeat(
    source: heartbeat::Reader<'_>,
) -> Result<(DaemonName, PeerHeartbeat), capnp::Error> {
    let heartbeat = PeerHeartbeat {
        incarnation: source.get_incarnation(),
        address: source.get_address()?.to_string()?,
        peer_address: source.get_peer_address()?.to_string()?,
        region: RegionName::from(source.get_region()?.to_str()?),
        domain: DomainName::from(source.get_domain()?.to_str()?),
        next: LogOffset(source.get_next()),
        config: ConfigVersion(source.get_config()),
        held_domains: read_names(source.get_held_domains()?)?,
        holds: source
            .get_holds()?
            .iter()
            .map(read_hold)
            .collect::<Result<_, _>>()?,
        silent_workers: read_names(source.get_silent_workers()?)?,
        lost_workers: read_names(source.get_lost_workers()?)?,
        draining: source.get_draining(),
    };
    Ok((DaemonName::from(source.get_daemon()?.to_str()?), heartbeat))
}

fn read_hold(source: domain_hold::Reader<'_>) -> Result<DomainHold, capnp::Error> {
    Ok(DomainHold {
        domain: DomainName::from(source.get_domain()?.to_str()?),
        base: source.get_base(),
    })
}

fn read_names<T: for<'a> From<&'a str>>(
    list: capnp::text_list::Reader<'_>,
) -> Result<Vec<T>, capnp::Error> {
    list.iter()
        .map(|name| Ok(T::from(name?.to_str()?)))
        .collect()
}

/// Decodes the tasks of one worker.
///
/// # Errors
///
/// Returns an error when a text is not UTF-8 or the tasks are not valid JSON.
pub fn read_tasks(source: worker_tasks::Reader<'_>) -> Result<WorkerTasks, capnp::Error> {
    let tasks = serde_json::from_str(source.get_tasks()?.to_str()?)
        .map_err(|error| capnp::Error::failed(error.to_string()))?;
    Ok(WorkerTasks {
        worker: WorkerName::from(source.get_worker()?.to_str()?),
        tasks,
    })
}
