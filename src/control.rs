//! The control thread: one owner of the state, one loop over events.

use std::collections::VecDeque;
use std::io;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::sync::mpsc;
use tokio::time;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::dispatch::EffectPorts;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::event::ControlEvent;
use mustardpath_core::event::EventInput;
use mustardpath_core::reducer;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::ClockTime;

/// Time between two ticks.
pub const TICK: Duration = Duration::from_millis(100);

/// Events that wait for the control thread. Traffic threads wait when it is full.
pub const EVENT_QUEUE: usize = 4_096;

/// Takes events to the control thread.
pub type EventSender = mpsc::Sender<EventInput>;

/// Brings events to the control thread.
pub type EventReceiver = mpsc::Receiver<EventInput>;

/// Creates the bounded channel of events.
#[must_use]
pub fn event_channel() -> (EventSender, EventReceiver) {
    mpsc::channel(EVENT_QUEUE)
}

/// A clock that never runs backwards: wall time at its start plus the runtime clock's advance.
#[derive(Clone, Copy, Debug)]
pub struct RunClock {
    wall: ClockTime,
    start: Instant,
}

impl RunClock {
    /// Starts the clock.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let wall = ClockTime(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX));
        let start = Instant::now();
        Self { wall, start }
    }

    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> ClockTime {
        let advance = self.start.elapsed().as_millis();
        ClockTime(self.wall.0 + u64::try_from(advance).unwrap_or(u64::MAX))
    }
}

/// Starts the control thread. It ends with the `Exit` effect or when all senders are gone.
///
/// # Errors
///
/// Returns the system's error when the thread cannot be started.
pub fn spawn(
    state: DaemonState,
    clock: RunClock,
    events: EventReceiver,
    ports: EffectPorts,
) -> io::Result<JoinHandle<()>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    let body = move || runtime.block_on(run(state, clock, events, ports));
    thread::Builder::new().name("control".into()).spawn(body)
}

/// Runs the loop of the control thread.
pub async fn run(
    mut state: DaemonState,
    clock: RunClock,
    mut events: EventReceiver,
    ports: EffectPorts,
) {
    let mut ticks = time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut refusals = RefusalQueue::default();
    let mut effects = Vec::new();
    loop {
        let Some(input) = next_input(&mut events, &mut ticks, &mut refusals).await else {
            return;
        };
        let at = clock.now();
        reducer::apply(&mut state, &ControlEvent { at, input }, &mut effects);
        for effect in effects.drain(..) {
            if matches!(effect, ControlEffect::Exit) {
                return;
            }
            if let Some(input) = ports.carry_out(effect) {
                refusals.fresh.push_back(input);
            }
        }
    }
}

/// Events that answer refused effects. They wait for the next tick, so that a reducer that tries
/// again at once cannot keep the loop from waiting.
#[derive(Default)]
struct RefusalQueue {
    fresh: VecDeque<EventInput>,
    due: VecDeque<EventInput>,
}

/// Returns the next input. Ticks go first, so that a flood of events cannot hold up timers.
async fn next_input(
    events: &mut EventReceiver,
    ticks: &mut time::Interval,
    refusals: &mut RefusalQueue,
) -> Option<EventInput> {
    if let Some(input) = refusals.due.pop_front() {
        return Some(input);
    }
    tokio::select! {
        biased;
        _ = ticks.tick() => {
            refusals.due.append(&mut refusals.fresh);
            Some(EventInput::Tick)
        }
        input = events.recv() => input,
    }
}
