//! The control thread: one owner of the state, one loop over events.

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

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Events that wait for the control thread. Traffic threads wait when it is full.
pub const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Events that are taken in at most before the state is settled.
const MAX_BURST_EVENTS: u32 = 64;

/// Takes events to the control thread.
pub type EventSender = mpsc::Sender<EventInput>;

/// Brings events to the control thread.
pub type EventReceiver = mpsc::Receiver<EventInput>;

/// Creates the bounded channel of events.
#[must_use]
pub fn event_channel() -> (EventSender, EventReceiver) {
    mpsc::channel(EVENT_QUEUE_CAPACITY)
}

/// A clock that never runs backwards: wall time at its start plus a steady clock's advance.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    wall: ClockTime,
    source: ClockSource,
}

/// The steady clock behind a [`RunClock`].
#[derive(Clone, Copy, Debug)]
enum ClockSource {
    /// The runtime's clock, which tests pause and advance.
    Runtime(Instant),
    /// Time since the machine's start, in milliseconds. Unlike the runtime's clock, it counts the
    /// time in which the machine is suspended, so beliefs age while a VM is frozen.
    Boot(u64),
}

impl RunClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            wall: wall_time(),
            source: ClockSource::Runtime(Instant::now()),
        }
    }

    /// Starts a clock that counts the time in which the machine is suspended.
    #[must_use]
    pub fn start_boot() -> Self {
        Self {
            wall: wall_time(),
            source: ClockSource::Boot(boot_time()),
        }
    }

    /// Returns the time.
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

/// Returns the milliseconds since the machine's start, suspended time included.
fn boot_time() -> u64 {
    // The call fails only for a clock that the system does not have.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    time.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Hands each effect to the thread that carries it out, without waiting. Returns the event that
/// answers the effect when it was refused.
pub trait EffectSink: FnMut(ControlEffect) -> Option<EventInput> {}

impl<F: FnMut(ControlEffect) -> Option<EventInput>> EffectSink for F {}

/// Starts the control thread. It ends with the `Exit` effect or when all senders are gone.
///
/// # Errors
///
/// Returns the system's error when the thread cannot be started.
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

/// Runs the loop of the control thread.
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

/// Applies one event and hands its effects on. Breaks when the process is to end.
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

/// Events that answer refused effects. They wait for the next tick, so that a reducer that tries
/// again at once cannot keep the loop from waiting.
#[derive(Default)]
struct RefusalQueue {
    deferred: VecDeque<EventInput>,
    ready: VecDeque<EventInput>,
}

/// Returns the next input. Ticks go first, so that a flood of events cannot hold up timers.
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
