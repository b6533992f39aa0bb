//! Gauges of the ledger and the log.

use mustardpath_core::config::KeyDigest;
use mustardpath_core::effect::ControlEffect;
use mustardpath_core::effect::MetricName;
use mustardpath_core::event::ControlEvent;
use mustardpath_core::event::EventInput;
use mustardpath_core::event::ReadOutcome;
use mustardpath_core::ids::LogOffset;
use mustardpath_core::reducer;
use mustardpath_core::settings;
use mustardpath_core::state::DaemonState;
use mustardpath_core::units::ClockTime;

fn start() -> DaemonState {
    let text = serde_json::json!({
        "daemon": "d1", "region": "south", "domain": "sg-a",
        "caller_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2",
        "log_address": "127.0.0.1:3", "vms_address": "127.0.0.1:4",
        "operator_key_sha256": KeyDigest::of("operator"),
    });
    let settings = settings::parse("d1.json", &text.to_string()).expect("the settings are good");
    DaemonState::new(settings, 7)
}

/// Applies an event and returns the gauges that it updates.
fn gauges(state: &mut DaemonState, at: u64, input: EventInput) -> Vec<(MetricName, u64)> {
    let at = ClockTime(at);
    let mut effects = Vec::new();
    reducer::apply(state, &ControlEvent { at, input }, &mut effects);
    let counts = effects.into_iter().filter_map(|effect| match effect {
        ControlEffect::UpdateMetric { metric, amount } => Some((metric, amount)),
        _ => None,
    });
    counts
        .filter(|(metric, _)| {
            matches!(
                metric,
                MetricName::JobsWaiting | MetricName::JobsPlaced | MetricName::LogAge
            )
        })
        .collect()
}

/// Guards against documented gauges that no daemon sends.
#[test]
fn gauges_are_updated_with_the_heartbeat() {
    let mut state = start();
    let jobs = [(MetricName::JobsWaiting, 0), (MetricName::JobsPlaced, 0)];
    assert_eq!(gauges(&mut state, 100_000, EventInput::Tick), jobs);
    let empty = EventInput::SnapshotRead {
        ledger: None,
        is_reachable: true,
    };
    assert_eq!(gauges(&mut state, 100_050, empty), []);
    let outcome = ReadOutcome::Records {
        records: Vec::new(),
        tail: LogOffset(0),
        sent_at: ClockTime(100_050),
    };
    let from = LogOffset(0);
    assert_eq!(
        gauges(&mut state, 100_100, EventInput::LogRead { from, outcome }),
        []
    );
    let expected = [jobs[0], jobs[1], (MetricName::LogAge, 2_050)];
    assert_eq!(gauges(&mut state, 102_100, EventInput::Tick), expected);
}
