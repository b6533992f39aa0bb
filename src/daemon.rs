//! One daemon: its threads, wired together, and its orderly end.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;

use crate::callers;
use crate::callers::CallerContext;
use crate::callers::CallerServer;
use crate::control;
use crate::control::EventSender;
use crate::control::RunClock;
use crate::dispatch::EffectPorts;
use crate::exchange::ExchangeTable;
use crate::gate;
use crate::gate::DepartureNews;
use crate::gate::GateContext;
use crate::gate::GatePhase;
use crate::gate::GateSwitch;
use crate::gate::GateThread;
use crate::log_client;
use crate::log_client::LogContext;
use crate::logs;
use crate::metrics::MetricSink;
use crate::outbound;
use crate::outbound::OutboundContext;
use crate::peers;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ShutdownLevel;
use mustardpath_core::ids::WriterId;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::TimeSpan;

/// Bytes of a request beyond its body: its line and its headers.
const HEAD_BYTES: usize = 16 << 10;

/// Time for the answer of an append. The append's outcome is unknown after it.
const APPEND_TIME: TimeSpan = TimeSpan::from_secs(2);

/// A running daemon.
pub struct RunningDaemon {
    /// The settings with the addresses that the system chose.
    pub settings: Arc<DaemonSettings>,
    events: EventSender,
    exchanges: Arc<ExchangeTable>,
    control: JoinHandle<()>,
    server: CallerServer,
    gate: GateThread,
}

/// Starts the graceful shutdown of a daemon.
#[derive(Clone)]
pub struct StopHandle {
    events: EventSender,
    gate: GateSwitch,
}

impl StopHandle {
    /// Turns readiness off and lets open work finish. Answers tell callers to close from now on.
    pub fn drain(&self) {
        self.gate.enter(GatePhase::Draining);
        let level = ShutdownLevel::Drain;
        // The control thread has ended already when the channel is closed.
        let _ = self.events.blocking_send(EventInput::Shutdown { level });
    }

    /// Ends the control thread at once, as a second signal does.
    pub fn end_now(&self) {
        let level = ShutdownLevel::Now;
        // The control thread has ended already when the channel is closed.
        let _ = self.events.blocking_send(EventInput::Shutdown { level });
    }
}

impl RunningDaemon {
    /// Starts a daemon. Port 0 in an address of the settings leaves the choice to the system.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a socket or a thread cannot be set up.
    pub fn start(mut settings: DaemonSettings) -> io::Result<Self> {
        let callers = bind(&mut settings.caller_address)?;
        let peers = bind(&mut settings.peer_address)?;
        let incarnation = fastrand::u64(..);
        let settings = Arc::new(settings);
        let (events, received) = control::event_channel();
        let limit = settings.limits.waiting_callers as usize;
        let exchanges = Arc::new(ExchangeTable::new(limit));
        let clock = RunClock::start();
        let context = OutboundContext {
            events: events.clone(),
            exchanges: Arc::clone(&exchanges),
            writer: WriterId {
                daemon: settings.daemon.clone(),
                incarnation,
            },
            settings: Arc::clone(&settings),
        };
        let ports = open_ports(&context, clock, peers)?;
        let server = callers::spawn(CallerContext {
            events: events.clone(),
            exchanges: Arc::clone(&exchanges),
            settings: Arc::clone(&settings),
            metrics: ports.metrics.clone(),
            lines: ports.lines.clone(),
        })?;
        let gate = gate::spawn(GateContext {
            listener: callers,
            server: server.address,
            connections: limit,
            request_bytes: 4 * body_limit(&settings) + HEAD_BYTES,
            send_time: gate::SEND_TIME,
            departures: Some(DepartureNews {
                exchanges: Arc::clone(&exchanges),
                events: events.clone(),
            }),
        })?;
        let state = DaemonState::new(DaemonSettings::clone(&settings), incarnation);
        let carry_out = move |effect| ports.carry_out(effect);
        let control = control::spawn(state, clock, received, carry_out)?;
        Ok(Self {
            settings,
            events,
            exchanges,
            control,
            server,
            gate,
        })
    }

    /// Returns a handle that starts the graceful shutdown from another thread.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle {
            events: self.events.clone(),
            gate: self.gate.switch(),
        }
    }

    /// Waits until the control thread ends, then until each answer is with its caller.
    pub fn wait(self) {
        // A panic of the control thread ends the process as well, after the answers.
        let _ = self.control.join();
        // Nobody answers the exchanges that are still open.
        self.exchanges.close_all();
        // New connections are refused first, so that the server runs out of requests.
        self.gate.switch().enter(GatePhase::Closing);
        self.server.finish();
        self.gate.join();
    }
}

fn bind(address: &mut String) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address.as_str())
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
    *address = listener.local_addr()?.to_string();
    Ok(listener)
}

fn body_limit(settings: &DaemonSettings) -> usize {
    usize::try_from(settings.limits.body.0).unwrap_or(usize::MAX / 8)
}

fn open_ports(
    context: &OutboundContext,
    clock: RunClock,
    peers: TcpListener,
) -> io::Result<EffectPorts> {
    let settings = &context.settings;
    let piece = settings.limits.snapshot_piece.0;
    let log = LogContext {
        events: context.events.clone(),
        writer: context.writer.clone(),
        address: settings.log_address.clone(),
        clock,
        append_time: APPEND_TIME,
        piece_bytes: usize::try_from(piece).unwrap_or(usize::MAX),
    };
    Ok(EffectPorts {
        reads: log_client::spawn_reader(log.clone())?,
        writes: log_client::spawn_writer(log)?,
        calls: outbound::spawn_calls(context)?,
        requests: outbound::spawn_requests(context)?,
        peers: peers::spawn(settings.daemon.clone(), peers, context.events.clone())?,
        lines: logs::spawn(settings.daemon.to_string())?,
        metrics: MetricSink::open(settings.statsd_address.as_deref())?,
        exchanges: Arc::clone(&context.exchanges),
    })
}
