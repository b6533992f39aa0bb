//! Startup and graceful shutdown of a standalone daemon and its threads.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;

use crossbeam_channel::Sender;

use crate::client_limits::ClientGate;
use crate::client_limits::LimitReporter;
use crate::control;
use crate::control::EventSender;
use crate::control::RunClock;
use crate::dispatch::EffectDispatcher;
use crate::exchange::ExchangeTable;
use crate::front_proxy;
use crate::front_proxy::DisconnectNotifier;
use crate::front_proxy::ProxyContext;
use crate::front_proxy::ProxyHandle;
use crate::front_proxy::ProxyPhase;
use crate::front_proxy::ProxyThread;
use crate::http_server;
use crate::http_server::HandlerContext;
use crate::http_server::HttpServer;
use crate::log_client;
use crate::log_client::LogContext;
use crate::logs;
use crate::logs::LogLine;
use crate::metrics::MetricSink;
use crate::outbound;
use crate::outbound::OutboundContext;
use crate::peers;
use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ShutdownLevel;
use mustardpath_core::ids::WriterId;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::TimeSpan;

/// Allowance for the request line and the headers of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Time limit for the response to an append, after which its outcome is unknown.
const APPEND_TIMEOUT: TimeSpan = TimeSpan::from_secs(2);

/// A running daemon with its threads.
pub struct RunningDaemon {
    /// The settings, with the addresses that the daemon has bound.
    pub settings: Arc<DaemonSettings>,
    events: EventSender,
    exchanges: Arc<ExchangeTable>,
    control: JoinHandle<()>,
    server: HttpServer,
    proxy: ProxyThread,
}

/// Stops a running daemon from another thread.
#[derive(Clone)]
pub struct StopHandle {
    events: EventSender,
    proxy: ProxyHandle,
}

impl StopHandle {
    /// Starts a graceful shutdown: reports the daemon as not ready and lets open work finish.
    /// Responses carry `Connection: close` from now on.
    pub fn drain(&self) {
        self.proxy.enter(ProxyPhase::Draining);
        let level = ShutdownLevel::Drain;
        // The send fails only when the control thread has already ended.
        let _ = self.events.blocking_send(EventInput::Shutdown { level });
    }

    /// Stops the control thread without waiting for open work.
    pub fn stop_now(&self) {
        let level = ShutdownLevel::Now;
        // The send fails only when the control thread has already ended.
        let _ = self.events.blocking_send(EventInput::Shutdown { level });
    }
}

impl RunningDaemon {
    /// Binds the sockets and starts the threads. Port 0 in an address lets the system choose a port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when a socket or a thread cannot be created.
    pub fn start(mut settings: DaemonSettings) -> io::Result<Self> {
        let callers = bind(&mut settings.caller_address)?;
        let peers = bind(&mut settings.peer_address)?;
        let incarnation = fastrand::u64(..);
        let settings = Arc::new(settings);
        let (events, event_receiver) = control::event_channel();
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
        let lines = logs::spawn(settings.daemon.to_string())?;
        let metrics = MetricSink::open(settings.statsd_address.as_deref())?;
        let gate = ClientGate::new(
            settings.limits.memory.0,
            settings.limits.descriptors,
            limit_reporter(metrics.clone(), lines.clone()),
        );
        let listener = (peers, Arc::clone(&gate));
        let dispatcher = start_dispatcher(&context, clock, listener, (metrics, lines))?;
        let server = http_server::spawn(HandlerContext {
            events: events.clone(),
            exchanges: Arc::clone(&exchanges),
            settings: Arc::clone(&settings),
            metrics: dispatcher.metrics.clone(),
            lines: dispatcher.lines.clone(),
        })?;
        let proxy = front_proxy::spawn(ProxyContext {
            listener: callers,
            server: server.address,
            gate,
            max_request_bytes: 4 * body_limit(&settings) + MAX_HEAD_BYTES,
            request_timeout: front_proxy::REQUEST_TIMEOUT,
            notifier: Some(DisconnectNotifier {
                exchanges: Arc::clone(&exchanges),
                events: events.clone(),
            }),
        })?;
        let state = DaemonState::new(DaemonSettings::clone(&settings), incarnation);
        let dispatch = move |effect| dispatcher.dispatch(effect);
        let control = control::spawn(state, clock, event_receiver, dispatch)?;
        Ok(Self {
            settings,
            events,
            exchanges,
            control,
            server,
            proxy,
        })
    }

    /// Returns a handle that stops the daemon from another thread.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle {
            events: self.events.clone(),
            proxy: self.proxy.handle(),
        }
    }

    /// Waits until the control thread has ended and all responses have been sent.
    pub fn wait(self) {
        // A panic of the control thread is not passed on: the daemon shuts down in any case.
        let _ = self.control.join();
        // No thread is left to reply to the exchanges that are still pending.
        self.exchanges.close_all();
        // The proxy stops accepting connections before the server completes the open requests.
        self.proxy.handle().enter(ProxyPhase::Closing);
        self.server.shut_down();
        self.proxy.join();
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

/// Returns a reporter that counts reached limits and queues their lines for the logger.
fn limit_reporter(metrics: MetricSink, lines: Sender<LogLine>) -> LimitReporter {
    Box::new(move |metric, line| {
        metrics.count(metric, 1);
        if let Some(line) = line {
            // The line is dropped when the queue of the logger is full.
            let _ = lines.try_send(LogLine {
                target: LogTarget::Request,
                level: LogLevel::Warn,
                line,
            });
        }
    })
}

fn start_dispatcher(
    context: &OutboundContext,
    clock: RunClock,
    (peers, gate): (TcpListener, Arc<ClientGate>),
    (metrics, lines): (MetricSink, Sender<LogLine>),
) -> io::Result<EffectDispatcher> {
    let settings = &context.settings;
    let piece_bytes = settings.limits.snapshot_piece.0;
    let log = LogContext {
        events: context.events.clone(),
        writer: context.writer.clone(),
        address: settings.log_address.clone(),
        clock,
        append_timeout: APPEND_TIMEOUT,
        piece_bytes: usize::try_from(piece_bytes).unwrap_or(usize::MAX),
    };
    Ok(EffectDispatcher {
        reads: log_client::spawn_reader(log.clone())?,
        writes: log_client::spawn_writer(log)?,
        calls: outbound::spawn_calls(context)?,
        requests: outbound::spawn_requests(context)?,
        peers: peers::spawn(settings.daemon.clone(), peers, context.events.clone(), gate)?,
        lines,
        metrics,
        exchanges: Arc::clone(&context.exchanges),
    })
}
