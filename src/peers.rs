//! Calls between daemons over capnp-rpc, on one thread of their own.

use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::task;
use tokio::task::LocalSet;
use tokio::time;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::control::EventSender;
use crate::peer_capnp::peer;
use crate::peer_message;
use crate::peer_service::PeerService;
use mustardpath_core::effect::PeerMessage;
use mustardpath_core::ids::DaemonName;

/// Longest time of a call or of setting up a connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Messages that wait for the thread.
const MESSAGE_QUEUE_CAPACITY: usize = 256;

/// Messages that wait for one peer. Heartbeats come every 2 s, so more would be out of date.
const PEER_QUEUE_CAPACITY: usize = 16;

/// Peers with a connection. A deployment has 8 to 9 daemons, some of them being replaced.
const MAX_PEERS: usize = 64;

/// Connections taken from peers at once.
const MAX_INCOMING_CONNECTIONS: usize = 64;

/// A message to another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEnvelope {
    /// The daemon.
    pub to: DaemonName,
    /// IP number and port of its peer interface.
    pub address: String,
    /// The message.
    pub message: PeerMessage,
}

struct PeerLink {
    address: String,
    messages: mpsc::Sender<PeerMessage>,
}

/// Starts the thread. It ends when all senders are gone.
///
/// # Errors
///
/// Returns the system's error when the socket or the thread cannot be set up.
pub fn spawn(
    daemon: DaemonName,
    listener: TcpListener,
    events: EventSender,
) -> io::Result<mpsc::Sender<PeerEnvelope>> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (sender, envelopes) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
    thread::Builder::new().name("peers".into()).spawn(move || {
        let tasks = LocalSet::new();
        tasks.spawn_local(async move {
            if let Err(error) = serve(listener, events).await {
                log::warn!("member: the peer interface has stopped: {error}");
            }
        });
        tasks.block_on(&runtime, deliver(daemon, envelopes));
    })?;
    Ok(sender)
}

async fn serve(listener: TcpListener, events: EventSender) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let permits = Arc::new(Semaphore::new(MAX_INCOMING_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return Ok(());
        };
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // Out of file handles, for example; accepting at once again would spin.
                log::warn!("member: a peer's connection is not accepted: {error}");
                time::sleep(CALL_TIMEOUT).await;
                continue;
            }
        };
        let service = PeerService::new(events.clone());
        let client: peer::Client = capnp_rpc::new_client(service);
        let system = RpcSystem::new(network(stream, Side::Server), Some(client.client));
        task::spawn_local(async move {
            // The error says that the peer has closed its connection, which is no fault here.
            let _ = system.await;
            drop(permit);
        });
    }
}

fn network(stream: TcpStream, side: Side) -> Box<VatNetwork<impl futures::AsyncRead + Unpin>> {
    // Small messages, of which the next may depend on the last one.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = TokioAsyncReadCompatExt::compat(stream).split();
    Box::new(VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        Default::default(),
    ))
}

/// Hands each message to the task of its peer.
async fn deliver(daemon: DaemonName, mut envelopes: mpsc::Receiver<PeerEnvelope>) {
    let mut links: HashMap<DaemonName, PeerLink> = HashMap::new();
    while let Some(envelope) = envelopes.recv().await {
        let is_current = links
            .get(&envelope.to)
            .is_some_and(|link| link.address == envelope.address && !link.messages.is_closed());
        if !is_current {
            links.retain(|_, link| !link.messages.is_closed());
            if links.len() >= MAX_PEERS {
                log::warn!("member: no connection to {}: limit reached", envelope.to);
                continue;
            }
            links.insert(envelope.to.clone(), open_link(&daemon, &envelope.address));
        }
        if let Some(link) = links.get(&envelope.to) {
            // Messages may be lost; a peer that does not keep up gets the later ones.
            let _ = link.messages.try_send(envelope.message);
        }
    }
}

fn open_link(daemon: &DaemonName, address: &str) -> PeerLink {
    let (messages, queue) = mpsc::channel(PEER_QUEUE_CAPACITY);
    task::spawn_local(run_link(daemon.clone(), address.to_string(), queue));
    PeerLink {
        address: address.to_string(),
        messages,
    }
}

/// Sends the messages of one peer in order. A failed call costs its message and the connection,
/// and the next message opens a new one.
async fn run_link(daemon: DaemonName, address: String, mut queue: mpsc::Receiver<PeerMessage>) {
    let mut connection: Option<peer::Client> = None;
    while let Ok(Some(message)) = time::timeout(LINK_IDLE_TIMEOUT, queue.recv()).await {
        if connection.is_none() {
            connection = connect(&address).await;
        }
        let Some(client) = &connection else {
            continue;
        };
        if let PeerMessage::State { .. } = &message {
            // A ledger takes seconds on a slow link, and heartbeats must not wait for it.
            let (client, daemon) = (client.clone(), daemon.clone());
            task::spawn_local(async move {
                peer_message::send(&client, &daemon, &message, CALL_TIMEOUT).await;
            });
        } else if !peer_message::send(client, &daemon, &message, CALL_TIMEOUT).await {
            connection = None;
        }
    }
}

/// Silence after which the connection to a peer is closed. A live peer gets heartbeats each 2 s.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

async fn connect(address: &str) -> Option<peer::Client> {
    let stream = time::timeout(CALL_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client = system.bootstrap(Side::Server);
    task::spawn_local(async move {
        // The calls over this connection report its failure.
        let _ = system.await;
    });
    Some(client)
}
