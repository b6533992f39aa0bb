//! Relays in front of stand-ins and daemons that can fail as a network does.
//!
//! All relays of a run share one thread. A relay passes bytes on, counts those between regions, and
//! can refuse connections, let open ones fall silent, or drop what crosses between regions.

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

/// Bytes read at once.
const BUFFER: usize = 16 << 10;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// What a relay does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkState {
    /// Connections are refused and open ones are closed.
    pub down: bool,
    /// Connections of an earlier epoch are silent; new ones work.
    pub epoch: u64,
    /// Bytes between regions are dropped.
    pub cut: bool,
}

/// The region of each daemon, for relays that tell traffic between regions by the sender.
pub type RegionTable = Arc<std::sync::Mutex<HashMap<DaemonName, RegionName>>>;

/// The thread of all relays.
pub struct LinkThread {
    runtime: Handle,
    regions: RegionTable,
    crossed: Arc<AtomicU64>,
}

/// One relay.
#[derive(Clone)]
pub struct FaultLink {
    /// Where it listens.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
}

#[derive(Clone)]
struct RelayContext {
    target: SocketAddr,
    region: Option<RegionName>,
    regions: RegionTable,
    crossed: Arc<AtomicU64>,
    state: watch::Receiver<LinkState>,
}

impl LinkThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns the system's error when it cannot be set up.
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
            crossed: Arc::default(),
        })
    }

    /// Opens a relay to `target`. With a region, requests of daemons elsewhere count as traffic
    /// between regions.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the socket cannot be set up.
    pub fn open(&self, target: SocketAddr, region: Option<RegionName>) -> io::Result<FaultLink> {
        let _guard = self.runtime.enter();
        let listener = listen("127.0.0.1:0".parse().map_err(io::Error::other)?)?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(LinkState::default());
        let context = RelayContext {
            target,
            region,
            regions: Arc::clone(&self.regions),
            crossed: Arc::clone(&self.crossed),
            state: states,
        };
        self.runtime.spawn(serve(context, listener, address));
        Ok(FaultLink { address, state })
    }

    /// Notes where a daemon stands.
    pub fn put_daemon(&self, daemon: &DaemonName, region: &RegionName) {
        if let Ok(mut regions) = self.regions.lock() {
            regions.insert(daemon.clone(), region.clone());
        }
    }

    /// Returns the bytes that crossed between regions, both ways.
    #[must_use]
    pub fn crossed_bytes(&self) -> u64 {
        self.crossed.load(Ordering::Relaxed)
    }
}

impl FaultLink {
    /// Changes what the relay does.
    pub fn change(&self, change: impl FnOnce(&mut LinkState)) {
        self.state.send_modify(change);
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // The port is taken again after the relay was down.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn serve(mut context: RelayContext, first: TcpListener, address: SocketAddr) {
    let mut listener = Some(first);
    let mut relays = JoinSet::new();
    loop {
        let state = *context.state.borrow_and_update();
        if state.down {
            listener = None;
            relays.shutdown().await;
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
                    relays.spawn(relay(context.clone(), stream, state.epoch));
                }
            }
            Some(_) = relays.join_next() => {}
        }
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn relay(context: RelayContext, client: TcpStream, epoch: u64) {
    let Ok(server) = TcpStream::connect(context.target).await else {
        return;
    };
    // Each write is a whole message.
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let crosses = Arc::new(AtomicBool::new(false));
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let (out, back) = (context.clone(), context);
    let flag = Arc::clone(&crosses);
    let there = async move {
        let mut buffer = vec![0; BUFFER];
        while let Ok(count @ 1..) = from_client.read(&mut buffer).await {
            if out.crosses(&buffer[..count]) {
                flag.store(true, Ordering::Relaxed);
            }
            let passes = out.passes(epoch, flag.load(Ordering::Relaxed), count);
            if passes && to_server.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    };
    let here = async move {
        let mut buffer = vec![0; BUFFER];
        while let Ok(count @ 1..) = from_server.read(&mut buffer).await {
            let passes = back.passes(epoch, crosses.load(Ordering::Relaxed), count);
            if passes && to_client.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = there => {}
        () = here => {}
    }
}

impl RelayContext {
    /// Tells whether bytes begin a request of a daemon in another region. A connection belongs to
    /// one daemon, which names itself in the request's id.
    fn crosses(&self, bytes: &[u8]) -> bool {
        let Some(region) = &self.region else {
            return false;
        };
        let text = String::from_utf8_lossy(bytes);
        let header = format!("{}: ", outbound::REQUEST_HEADER.to_ascii_lowercase());
        let lower = text.to_ascii_lowercase();
        let Some(start) = lower.find(&header) else {
            return false;
        };
        let label = &text[start + header.len()..];
        let label = label.lines().next().unwrap_or_default();
        let daemon = label.rsplitn(3, '-').nth(2).unwrap_or_default();
        self.regions.lock().is_ok_and(|regions| {
            regions
                .get(&DaemonName::from(daemon))
                .is_some_and(|home| home != region)
        })
    }

    /// Tells whether bytes go on, and counts them when they cross between regions.
    fn passes(&self, epoch: u64, crosses: bool, count: usize) -> bool {
        let state = *self.state.borrow();
        if epoch < state.epoch || (crosses && state.cut) {
            return false;
        }
        if crosses {
            self.crossed.fetch_add(count as u64, Ordering::Relaxed);
        }
        true
    }
}
