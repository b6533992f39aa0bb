//! Startup and shutdown of the daemon's threads on the users' platform.

use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Sender;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::LocalSet;
use tokio::time;

use crate::client_limits::ClientGate;
use crate::client_limits::ClientPort;
use crate::client_limits::LimitReporter;
use crate::control;
use crate::control::EventSender;
use crate::control::RunClock;
use crate::entry::client::CallPool;
use crate::entry::effects;
use crate::entry::effects::EffectContext;
use crate::entry::exchange::PendingExchanges;
use crate::entry::log_limiter::LogLimiter;
use crate::entry::metrics::MetricRegistry;
use crate::entry::server;
use crate::entry::server::ServerContext;
use crate::logs;
use crate::logs::LogLine;
use crate::settings_file;
use mustardpath_core::batch::message::BatchEffect;
use mustardpath_core::batch::settings::BatchSettings;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::effect::LogLevel;
use mustardpath_core::effect::LogTarget;
use mustardpath_core::effect::MetricName;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ShutdownLevel;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::state::DaemonState;

/// Time to flush pending responses after the control thread has ended.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(100);

/// A running daemon with its control and traffic threads.
pub struct EntryDaemon {
    events: EventSender,
    settings_path: PathBuf,
    control: JoinHandle<()>,
    traffic: JoinHandle<()>,
}

/// Drains or reloads a running daemon from another thread.
#[derive(Clone)]
pub struct EntryHandle {
    events: EventSender,
    settings_path: PathBuf,
}

impl EntryHandle {
    /// Starts a graceful shutdown: reports the daemon as not ready and lets open calls finish.
    pub fn drain(&self) {
        let level = ShutdownLevel::Drain;
        // The send fails only when the control thread has already ended.
        let _ = self.events.blocking_send(EventInput::Shutdown { level });
    }

    /// Reloads the settings file. An invalid file leaves the current settings in force.
    pub fn reload(&self) {
        match settings_file::read_settings(&self.settings_path) {
            Ok(DaemonSettings {
                batch: Some(batch), ..
            }) => {
                let settings = Box::new(batch);
                // The send fails only when the control thread has already ended.
                let _ = self.events.blocking_send(EventInput::Reload { settings });
            }
            Ok(_) => log::warn!("process: outcome=not_reloaded reason=\"no batch section\""),
            Err(error) => log::warn!("process: outcome=not_reloaded reason={error:?}"),
        }
    }
}

impl EntryDaemon {
    /// Binds the sockets and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when a socket or a thread cannot be created.
    pub fn start(
        settings: DaemonSettings,
        batch: &BatchSettings,
        settings_path: PathBuf,
    ) -> io::Result<Self> {
        let callers = TcpListener::bind(settings.caller_address.as_str())?;
        let readiness = TcpListener::bind(batch.ready_address.as_str())?;
        let diagnostics = batch.metrics_address.as_deref().map(TcpListener::bind);
        let metrics = MetricRegistry::default();
        let (events, event_receiver) = control::event_channel();
        let (effects, effect_receiver) = mpsc::unbounded_channel();
        let line_sender = logs::spawn(settings.daemon.to_string())?;
        let mut listeners = vec![
            (callers, ClientPort::Callers),
            (readiness, ClientPort::Readiness),
        ];
        if let Some(diagnostics) = diagnostics.transpose()? {
            listeners.push((diagnostics, ClientPort::Diagnostics));
        }
        let reporter = limit_reporter(metrics.clone(), line_sender.clone());
        let memory = u64::from(batch.memory) * 1_000;
        let traffic = TrafficParts {
            events: events.clone(),
            effects: effect_receiver,
            listeners,
            gate: ClientGate::new(memory, batch.descriptors, reporter),
            metrics: metrics.clone(),
            store: settings.log_address.clone(),
        };
        let traffic = thread::Builder::new()
            .name("traffic".into())
            .spawn(move || run_traffic(traffic))?;
        let state = DaemonState::new(settings, fastrand::u64(..));
        let clock = RunClock::start_boot();
        let mut dispatcher = EntryDispatcher {
            clock,
            effects,
            line_sender,
            metrics,
            limiter: LogLimiter::default(),
        };
        let dispatcher = move |effect| dispatcher.dispatch(effect);
        let control = control::spawn(state, clock, event_receiver, dispatcher)?;
        Ok(Self {
            events,
            settings_path,
            control,
            traffic,
        })
    }

    /// Returns a handle that drains or reloads the daemon from another thread.
    #[must_use]
    pub fn handle(&self) -> EntryHandle {
        EntryHandle {
            events: self.events.clone(),
            settings_path: self.settings_path.clone(),
        }
    }

    /// Waits until the control thread has ended and the traffic thread has sent its responses.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread panicked. Its state may be inconsistent then, and a new process
    /// rebuilds it from the store.
    pub fn wait(self) -> io::Result<()> {
        let control = self.control.join();
        let traffic = self.traffic.join();
        let panicked = |name: &str| io::Error::other(format!("the {name} thread panicked"));
        control.map_err(|_| panicked("control"))?;
        traffic.map_err(|_| panicked("traffic"))
    }
}

/// Dispatches effects of the control thread to the traffic and logger threads.
struct EntryDispatcher {
    clock: RunClock,
    effects: UnboundedSender<BatchEffect>,
    line_sender: Sender<LogLine>,
    metrics: MetricRegistry,
    limiter: LogLimiter,
}

impl EntryDispatcher {
    /// Queues an effect for the thread that executes it, without waiting.
    fn dispatch(&mut self, effect: ControlEffect) -> Option<EventInput> {
        match effect {
            ControlEffect::Batch(effect) => {
                // The traffic thread outlives the control thread. The queue is bounded by the open
                // exchanges of callers and by one effect per pending read, append or order.
                let _ = self.effects.send(effect);
            }
            ControlEffect::LogLine {
                target,
                level,
                line,
            } => {
                for (line, count) in self.limiter.roll_over(self.clock.now()) {
                    self.metrics.count(MetricName::LinesOmitted, count);
                    self.write(line);
                }
                if self.limiter.admit(target, level) {
                    self.write(LogLine {
                        target,
                        level,
                        line,
                    });
                }
            }
            ControlEffect::UpdateMetric { metric, amount } => self.metrics.count(metric, amount),
            // The other effects concern the log, workers and peers of a standalone deployment.
            _ => {}
        }
        None
    }

    /// Queues a line for the logger, or counts it as omitted when the queue is full. The queue
    /// fills up when nothing reads standard output, which must not delay requests.
    fn write(&self, line: LogLine) {
        if self.line_sender.try_send(line).is_err() {
            self.metrics.count(MetricName::LinesOmitted, 1);
        }
    }
}

/// Channels, sockets and addresses that the traffic thread takes ownership of.
struct TrafficParts {
    events: EventSender,
    effects: UnboundedReceiver<BatchEffect>,
    listeners: Vec<(TcpListener, ClientPort)>,
    gate: Arc<ClientGate>,
    metrics: MetricRegistry,
    store: String,
}

/// Returns a reporter that counts reached limits and queues their lines for the logger.
fn limit_reporter(metrics: MetricRegistry, lines: Sender<LogLine>) -> LimitReporter {
    Box::new(move |metric, line| {
        metrics.count(metric, 1);
        let Some(line) = line else {
            return;
        };
        let line = LogLine {
            target: LogTarget::Request,
            level: LogLevel::Warn,
            line,
        };
        if lines.try_send(line).is_err() {
            metrics.count(MetricName::LinesOmitted, 1);
        }
    })
}

fn run_traffic(parts: TrafficParts) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("process: outcome=traffic_failed reason={error:?}");
            return;
        }
    };
    LocalSet::new().block_on(&runtime, serve_traffic(parts));
}

async fn serve_traffic(parts: TrafficParts) {
    let server = Rc::new(ServerContext {
        events: parts.events.clone(),
        exchanges: PendingExchanges::default(),
        metrics: parts.metrics,
        is_closing: Cell::new(false),
        gate: Arc::clone(&parts.gate),
    });
    tokio::task::spawn_local(parts.gate.sweep());
    for (listener, port) in parts.listeners {
        tokio::task::spawn_local(server::serve(Rc::clone(&server), listener, port));
    }
    let context = EffectContext {
        events: parts.events,
        server,
        pool: Rc::new(CallPool::default()),
        store: parts.store.into(),
    };
    effects::run(context, parts.effects).await;
    time::sleep(RESPONSE_FLUSH_TIME).await;
}
