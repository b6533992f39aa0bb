//! Messages between daemons over capnp-rpc. One thread runs all connections.

use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task;
use tokio::task::LocalSet;
use tokio::time;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::client_limits::ClientGate;
use crate::client_limits::ClientGuard;
use crate::client_limits::ClientPort;
use crate::client_limits::ClientStream;
use crate::client_limits::MAX_PEER_MESSAGE_BYTES;
use crate::control::EventSender;
use crate::peer_capnp::peer;
use crate::peer_message;
use crate::peer_service::PeerService;
use mustardpath_core::effect::PeerMessage;
use mustardpath_core::ids::DaemonName;

/// Time limit for a call and for establishing a connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of messages queued for the thread.
const MESSAGE_QUEUE_CAPACITY: usize = 256;

/// Maximum number of messages queued for one peer. Heartbeats are sent every 2 s, so a longer queue
/// would hold stale ones.
const PEER_QUEUE_CAPACITY: usize = 16;

/// Maximum number of peers with an outgoing connection. A deployment has 8 to 9 daemons, some of
/// which may be in the course of being replaced.
const MAX_PEERS: usize = 64;

/// A message with the daemon it is addressed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEnvelope {
    /// Daemon that receives the message. Messages to one daemon are sent in order.
    pub to: DaemonName,
    /// IP address and port of its peer interface.
    pub address: String,
    /// Dropped when the queue of its peer is full or the call fails.
    pub message: PeerMessage,
}

struct PeerLink {
    address: String,
    messages: mpsc::Sender<PeerMessage>,
}

/// Starts the peers thread. It ends when all senders of the returned channel are dropped.
///
/// # Errors
///
/// Returns the I/O error when the socket, the runtime or the thread cannot be set up.
pub fn spawn(
    daemon: DaemonName,
    listener: TcpListener,
    events: EventSender,
    gate: Arc<ClientGate>,
) -> io::Result<mpsc::Sender<PeerEnvelope>> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let (sender, envelopes) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
    thread::Builder::new().name("peers".into()).spawn(move || {
        let tasks = LocalSet::new();
        tasks.spawn_local(async move {
            if let Err(error) = serve(listener, events, gate).await {
                log::warn!("member: peer interface stopped: {error}");
            }
        });
        tasks.block_on(&runtime, deliver(daemon, envelopes));
    })?;
    Ok(sender)
}

async fn serve(
    listener: TcpListener,
    events: EventSender,
    gate: Arc<ClientGate>,
) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    task::spawn_local(Arc::clone(&gate).sweep());
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                // An immediate retry would spin, for example while no file descriptor is free.
                log::warn!("member: accept of a peer connection failed: {error}");
                time::sleep(CALL_TIMEOUT).await;
                continue;
            }
        };
        let Some(guard) = gate.admit(ClientPort::Peers).await else {
            continue;
        };
        task::spawn_local(serve_peer(stream, Arc::new(guard), events.clone()));
    }
}

async fn serve_peer(stream: TcpStream, guard: Arc<ClientGuard>, events: EventSender) {
    let service = PeerService::new(events, Arc::clone(&guard));
    let client: peer::Client = capnp_rpc::new_client(service);
    let stream = ClientStream::new(stream, Arc::clone(&guard));
    let system = RpcSystem::new(network(stream, Side::Server), Some(client.client));
    tokio::select! {
        // An error means that the peer has closed its connection, which is expected.
        _ = system => {}
        () = guard.closed() => {}
    }
}

fn network<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    stream: S,
    side: Side,
) -> Box<VatNetwork<impl futures::AsyncRead + Unpin>> {
    let mut options = ReaderOptions::new();
    // The announced size of a message is allocated before the message arrives.
    options.traversal_limit_in_words(Some(MAX_PEER_MESSAGE_BYTES / 8));
    let (reader, writer) = TokioAsyncReadCompatExt::compat(stream).split();
    Box::new(VatNetwork::new(
        futures::io::BufReader::new(reader),
        futures::io::BufWriter::new(writer),
        side,
        options,
    ))
}

/// Passes each message to the task that runs the connection to its peer.
async fn deliver(daemon: DaemonName, mut envelopes: mpsc::Receiver<PeerEnvelope>) {
    let mut links: HashMap<DaemonName, PeerLink> = HashMap::new();
    while let Some(envelope) = envelopes.recv().await {
        let is_current = links
            .get(&envelope.to)
            .is_some_and(|link| link.address == envelope.address && !link.messages.is_closed());
        if !is_current {
            links.retain(|_, link| !link.messages.is_closed());
            if links.len() >= MAX_PEERS {
                log::warn!(
                    "member: no connection to {}: limit of {MAX_PEERS} peers reached",
                    envelope.to
                );
                continue;
            }
            links.insert(envelope.to.clone(), open_link(&daemon, &envelope.address));
        }
        if let Some(link) = links.get(&envelope.to) {
            // Delivery is best effort: a message is dropped while the queue of its peer is full.
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

/// Sends the messages to one peer in order. A failed call drops its message and the connection; the
/// next message opens a new connection.
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
            // Sending a ledger over a slow link takes seconds, which must not delay heartbeats.
            let (client, daemon) = (client.clone(), daemon.clone());
            task::spawn_local(async move {
                peer_message::send(&client, &daemon, &message, CALL_TIMEOUT).await;
            });
        } else if !peer_message::send(client, &daemon, &message, CALL_TIMEOUT).await {
            connection = None;
        }
    }
}

/// Time without messages after which the connection to a peer is closed. A live peer is sent
/// heartbeats every 2 s.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

async fn connect(address: &str) -> Option<peer::Client> {
    let stream = time::timeout(CALL_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    // Nagle's algorithm would delay these small messages.
    let _ = stream.set_nodelay(true);
    let mut system = RpcSystem::new(network(stream, Side::Client), None);
    let client = system.bootstrap(Side::Server);
    task::spawn_local(async move {
        // Calls over this connection report its failure.
        let _ = system.await;
    });
    Some(client)
}
