//! The control thread, which owns the state and runs the event loop.

use std::collections::VecDeque;
use std::io;
use std::ops::ControlFlow;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;
use tokio::sync::mpsc;
use tokio::time;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::loop_monitor::LoopMonitor;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::event::ControlEvent;
use mustardpath_core::event::EventInput;
use mustardpath_core::reducer;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;

/// Interval between two tick events.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of queued events. Traffic threads block while the queue is full.
pub const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Maximum number of events that are applied before a [`EventInput::BurstEnd`].
const MAX_BURST_EVENTS: u32 = 64;

/// Sending end of the event channel, held by traffic threads.
pub type EventSender = mpsc::Sender<EventInput>;

/// Receiving end of the event channel, held by the control thread.
pub type EventReceiver = mpsc::Receiver<EventInput>;

/// Creates the event channel, which holds up to [`EVENT_QUEUE_CAPACITY`] events.
#[must_use]
pub fn event_channel() -> (EventSender, EventReceiver) {
    mpsc::channel(EVENT_QUEUE_CAPACITY)
}

/// A clock that never runs backwards: the wall time at its start plus the time that has elapsed on
/// a monotonic clock since then.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    wall: ClockTime,
    source: ClockSource,
}

/// The monotonic clock behind a [`RunClock`].
#[derive(Clone, Copy, Debug)]
enum ClockSource {
    /// Tokio's clock, which tests can pause and advance.
    Runtime(Instant),
    /// Time since boot, in milliseconds. Unlike tokio's clock, it includes the time in which the
    /// machine is suspended, so cached state still expires while a VM is frozen.
    Boot(u64),
}

impl RunClock {
    /// Starts a clock on tokio's monotonic clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            wall: wall_time(),
            source: ClockSource::Runtime(Instant::now()),
        }
    }

    /// Starts a clock on the time since boot, which includes time in suspension.
    #[must_use]
    pub fn start_boot() -> Self {
        Self {
            wall: wall_time(),
            source: ClockSource::Boot(boot_time()),
        }
    }

    /// Returns the current time. Adjustments of the wall clock after the start have no effect.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        let advance = match self.source {
            ClockSource::Runtime(start) => {
                u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
            }
            ClockSource::Boot(start) => boot_time().saturating_sub(start),
        };
        self.wall + TimeSpan(advance)
    }
}

fn wall_time() -> ClockTime {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the milliseconds since boot, including time in suspension.
fn boot_time() -> u64 {
    // The call fails only on a system without this clock.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    time.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Passes an effect to the thread that executes it, without blocking. When that thread's queue is
/// full, returns the event that reports the effect as failed.
pub trait EffectSink: FnMut(ControlEffect) -> Option<EventInput> {}

impl<F: FnMut(ControlEffect) -> Option<EventInput>> EffectSink for F {}

/// Spawns the control thread. It ends on the `Exit` effect or when all event senders are dropped.
///
/// # Errors
///
/// Returns the I/O error when the runtime or the thread cannot be created.
pub fn spawn(
    state: DaemonState,
    clock: RunClock,
    events: EventReceiver,
    sink: impl EffectSink + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    let body = move || runtime.block_on(run(state, clock, events, sink));
    thread::Builder::new().name("control".into()).spawn(body)
}

/// Runs the event loop of the control thread until the `Exit` effect or the end of the channel.
pub async fn run(
    mut state: DaemonState,
    clock: RunClock,
    mut events: EventReceiver,
    mut sink: impl EffectSink,
) {
    let mut ticks = time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut refused = RefusalQueue::default();
    let mut monitor = LoopMonitor::default();
    let mut burst_events = 0;
    loop {
        let Some(input) = next_input(&mut events, &mut ticks, &mut refused).await else {
            return;
        };
        let start = Instant::now();
        let at = clock.now();
        burst_events += 1;
        let is_burst_end = events.is_empty() || burst_events >= MAX_BURST_EVENTS;
        let burst_end = is_burst_end.then_some(EventInput::BurstEnd);
        if is_burst_end {
            burst_events = 0;
        }
        for input in [Some(input), burst_end].into_iter().flatten() {
            let event = ControlEvent { at, input };
            if apply(&mut state, &event, &mut sink, &mut refused).is_break() {
                return;
            }
        }
        monitor.record(start.elapsed(), events.len());
        if let Some(effect) = monitor.roll_over(at) {
            sink(effect);
        }
    }
}

/// Applies one event and dispatches its effects. Breaks on the `Exit` effect.
fn apply(
    state: &mut DaemonState,
    event: &ControlEvent,
    sink: &mut impl EffectSink,
    refused: &mut RefusalQueue,
) -> ControlFlow<()> {
    let mut effects = Vec::new();
    reducer::apply(state, event, &mut effects);
    for effect in effects {
        if matches!(effect, ControlEffect::Exit) {
            return ControlFlow::Break(());
        }
        if let Some(input) = sink(effect) {
            refused.deferred.push_back(input);
        }
    }
    ControlFlow::Continue(())
}

/// Events that report refused effects as failed. They are held back until the next tick: a reducer
/// that retries immediately would otherwise keep the loop busy.
#[derive(Default)]
struct RefusalQueue {
    deferred: VecDeque<EventInput>,
    ready: VecDeque<EventInput>,
}

/// Returns the next input. Ticks take priority, as a burst of events must not delay timers.
async fn next_input(
    events: &mut EventReceiver,
    ticks: &mut time::Interval,
    refused: &mut RefusalQueue,
) -> Option<EventInput> {
    if let Some(input) = refused.ready.pop_front() {
        return Some(input);
    }
    tokio::select! {
        biased;
        _ = ticks.tick() => {
            refused.ready.append(&mut refused.deferred);
            Some(EventInput::Tick)
        }
        input = events.recv() => input,
    }
}
