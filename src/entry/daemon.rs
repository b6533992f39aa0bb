//! The daemon's threads on the users' platform.

use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Sender;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::LocalSet;
use tokio::time;

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
use mustardpath_core::effect::MetricName;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ShutdownLevel;
use mustardpath_core::settings::DaemonSettings;
use mustardpath_core::state::DaemonState;

/// Time for answers on their way when the control thread has ended.
const RESPONSE_FLUSH_TIME: Duration = Duration::from_millis(100);

/// A running daemon.
pub struct EntryDaemon {
    events: EventSender,
    settings_path: PathBuf,
    control: JoinHandle<()>,
    traffic: JoinHandle<()>,
}

/// Ends or reloads a daemon from another thread.
#[derive(Clone)]
pub struct EntryHandle {
    events: EventSender,
    settings_path: PathBuf,
}

impl EntryHandle {
    /// Turns readiness off and lets open calls finish.
    pub fn drain(&self) {
        let level = ShutdownLevel::Drain;
        // The control thread has ended already when the channel is closed.
        let _ = self.events.blocking_send(EventInput::Shutdown { level });
    }

    /// Reads the settings file again. A file with mistakes changes nothing.
    pub fn reload(&self) {
        match settings_file::read_settings(&self.settings_path) {
            Ok(DaemonSettings {
                batch: Some(batch), ..
            }) => {
                let settings = Box::new(batch);
                // The control thread has ended already when the channel is closed.
                let _ = self.events.blocking_send(EventInput::Reload { settings });
            }
            Ok(_) => log::warn!("process: outcome=not_reloaded reason=\"no batch section\""),
            Err(error) => log::warn!("process: outcome=not_reloaded reason={error:?}"),
        }
    }
}

impl EntryDaemon {
    /// Starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a socket or a thread cannot be set up.
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
        let lines = logs::spawn(settings.daemon.to_string())?;
        let traffic = TrafficParts {
            events: events.clone(),
            effects: effect_receiver,
            listeners: vec![callers, readiness],
            diagnostics: diagnostics.transpose()?,
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
            lines,
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

    /// Returns a handle for other threads.
    #[must_use]
    pub fn handle(&self) -> EntryHandle {
        EntryHandle {
            events: self.events.clone(),
            settings_path: self.settings_path.clone(),
        }
    }

    /// Waits until the control thread ends and the last answers are on their way.
    pub fn wait(self) {
        // A panic of either thread ends the process as well.
        let _ = self.control.join();
        let _ = self.traffic.join();
    }
}

/// The ways from the control thread to the others.
struct EntryDispatcher {
    clock: RunClock,
    effects: UnboundedSender<BatchEffect>,
    lines: Sender<LogLine>,
    metrics: MetricRegistry,
    limiter: LogLimiter,
}

impl EntryDispatcher {
    /// Hands an effect to the thread that carries it out.
    fn dispatch(&mut self, effect: ControlEffect) -> Option<EventInput> {
        match effect {
            ControlEffect::Batch(effect) => {
                // The serve_traffic thread ends after the control thread. The channel is bounded by the
                // exchanges of callers and by one read, append or order for each open one.
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
            // The product's own log, workers and peers are unused on the platform.
            _ => {}
        }
        None
    }

    /// A full queue means that nobody reads standard output. No request waits for it.
    fn write(&self, line: LogLine) {
        if self.lines.try_send(line).is_err() {
            self.metrics.count(MetricName::LinesOmitted, 1);
        }
    }
}

/// What the traffic thread takes over.
struct TrafficParts {
    events: EventSender,
    effects: UnboundedReceiver<BatchEffect>,
    listeners: Vec<TcpListener>,
    diagnostics: Option<TcpListener>,
    metrics: MetricRegistry,
    store: String,
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
        open_connections: Cell::new(0),
    });
    for listener in parts.listeners {
        tokio::task::spawn_local(server::serve(Rc::clone(&server), listener));
    }
    if let Some(diagnostics) = parts.diagnostics {
        tokio::task::spawn_local(server::serve_diagnostics(Rc::clone(&server), diagnostics));
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
