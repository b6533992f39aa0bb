//! Fault-injection proxies for TCP connections to stand-ins and daemons.
//!
//! All proxies of a run share one thread. A proxy forwards bytes and counts those that cross
//! between regions. It can refuse connections, stop forwarding on open ones, or drop traffic
//! between regions.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::outbound;
use mustardpath_core::ids::DaemonName;
use mustardpath_core::ids::RegionName;

/// Size of the read buffer of each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// Maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;

/// Faults that are active on a proxy. The default forwards everything.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyState {
    /// Whether new connections are refused and open ones are closed.
    pub is_down: bool,
    /// Number of times that open connections were silenced. A connection that was accepted in an
    /// earlier epoch stays open and forwards nothing.
    pub epoch: u64,
    /// Whether bytes that cross between regions are dropped.
    pub is_partitioned: bool,
}

/// Region of each daemon. Proxies use it to recognize traffic between regions.
pub type RegionTable = Arc<std::sync::Mutex<HashMap<DaemonName, RegionName>>>;

/// Handle of the thread that serves all proxies.
pub struct ProxyThread {
    runtime: Handle,
    regions: RegionTable,
    cross_region_bytes: Arc<AtomicU64>,
}

/// A proxy for one target address.
#[derive(Clone)]
pub struct FaultProxy {
    /// Address on which the proxy listens.
    pub address: SocketAddr,
    state: watch::Sender<ProxyState>,
}

#[derive(Clone)]
struct ProxyContext {
    target: SocketAddr,
    region: Option<RegionName>,
    regions: RegionTable,
    cross_region_bytes: Arc<AtomicU64>,
    state: watch::Receiver<ProxyState>,
}

impl ProxyThread {
    /// Starts the thread, which runs until the process ends.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the thread or its event loop cannot be created.
    pub fn start() -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let handle = runtime.handle().clone();
        thread::Builder::new()
            .name("links".into())
            .spawn(move || runtime.block_on(std::future::pending::<()>()))?;
        Ok(Self {
            runtime: handle,
            regions: RegionTable::default(),
            cross_region_bytes: Arc::default(),
        })
    }

    /// Opens a proxy to `target`. When `region` is given, requests from daemons of other regions
    /// count as traffic between regions.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the listening socket cannot be created.
    pub fn open(&self, target: SocketAddr, region: Option<RegionName>) -> io::Result<FaultProxy> {
        let _guard = self.runtime.enter();
        let listener = listen("127.0.0.1:0".parse().map_err(io::Error::other)?)?;
        let address = listener.local_addr()?;
        let (state, state_receiver) = watch::channel(ProxyState::default());
        let context = ProxyContext {
            target,
            region,
            regions: Arc::clone(&self.regions),
            cross_region_bytes: Arc::clone(&self.cross_region_bytes),
            state: state_receiver,
        };
        self.runtime.spawn(serve(context, listener, address));
        Ok(FaultProxy { address, state })
    }

    /// Records the region of a daemon, for all proxies.
    pub fn set_daemon_region(&self, daemon: &DaemonName, region: &RegionName) {
        if let Ok(mut regions) = self.regions.lock() {
            regions.insert(daemon.clone(), region.clone());
        }
    }

    /// Returns the number of bytes forwarded between regions, in both directions.
    #[must_use]
    pub fn cross_region_bytes(&self) -> u64 {
        self.cross_region_bytes.load(Ordering::Relaxed)
    }
}

impl FaultProxy {
    /// Changes the active faults.
    pub fn change(&self, change: impl FnOnce(&mut ProxyState)) {
        self.state.send_modify(change);
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // The proxy binds the same port again when it is no longer down.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

async fn serve(mut context: ProxyContext, initial_listener: TcpListener, address: SocketAddr) {
    let mut listener = Some(initial_listener);
    let mut connections = JoinSet::new();
    loop {
        let state = *context.state.borrow_and_update();
        if state.is_down {
            listener = None;
            connections.shutdown().await;
        } else if listener.is_none() {
            listener = listen(address).ok();
        }
        tokio::select! {
            changed = context.state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            accepted = accept(listener.as_ref()) => {
                if let Ok(stream) = accepted {
                    connections.spawn(forward_connection(context.clone(), stream, state.epoch));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn forward_connection(context: ProxyContext, client: TcpStream, epoch: u64) {
    let Ok(server) = TcpStream::connect(context.target).await else {
        return;
    };
    // Each write is a complete message, so batching would only add delay.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let is_cross_region = Arc::new(AtomicBool::new(false));
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let (request_context, response_context) = (context.clone(), context);
    let cross_region_flag = Arc::clone(&is_cross_region);
    let upstream = async move {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count @ 1..) = from_client.read(&mut buffer).await {
            if request_context.starts_cross_region_request(&buffer[..count]) {
                cross_region_flag.store(true, Ordering::Relaxed);
            }
            let is_admitted =
                request_context.admit(epoch, cross_region_flag.load(Ordering::Relaxed), count);
            if is_admitted && to_server.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    };
    let downstream = async move {
        let mut buffer = vec![0; BUFFER_BYTES];
        while let Ok(count @ 1..) = from_server.read(&mut buffer).await {
            let is_admitted =
                response_context.admit(epoch, is_cross_region.load(Ordering::Relaxed), count);
            if is_admitted && to_client.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = upstream => {}
        () = downstream => {}
    }
}

impl ProxyContext {
    /// Returns whether `bytes` contain the head of a request from a daemon in another region. Each
    /// connection belongs to one daemon, whose name is part of the request ID.
    fn starts_cross_region_request(&self, bytes: &[u8]) -> bool {
        let Some(region) = &self.region else {
            return false;
        };
        let text = String::from_utf8_lossy(bytes);
        let header = format!("{}: ", outbound::REQUEST_HEADER.to_ascii_lowercase());
        let lower = text.to_ascii_lowercase();
        let Some(start) = lower.find(&header) else {
            return false;
        };
        let request_id = &text[start + header.len()..];
        let request_id = request_id.lines().next().unwrap_or_default();
        let daemon = request_id.rsplitn(3, '-').nth(2).unwrap_or_default();
        self.regions.lock().is_ok_and(|regions| {
            regions
                .get(&DaemonName::from(daemon))
                .is_some_and(|daemon_region| daemon_region != region)
        })
    }

    /// Returns whether `count` bytes are forwarded, and counts them if they cross between regions.
    fn admit(&self, epoch: u64, is_cross_region: bool, count: usize) -> bool {
        let state = *self.state.borrow();
        if epoch < state.epoch || (is_cross_region && state.is_partitioned) {
            return false;
        }
        if is_cross_region {
            self.cross_region_bytes
                .fetch_add(count as u64, Ordering::Relaxed);
        }
        true
    }
}
