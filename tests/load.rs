//! The load generator: its statistics, its fault-injection proxies, and a short run over sockets.

use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Command;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use mustardpath::fault_proxy::ProxyThread;
use mustardpath::load_plan::LoadClass;
use mustardpath::load_stats::LoadStats;
use mustardpath::load_stats::RequestOutcome;
use mustardpath::load_stats::RequestResult;

fn result(number: u64, class: LoadClass, outcome: RequestOutcome) -> RequestResult {
    RequestResult {
        class,
        key: format!("r{number}").as_str().into(),
        scheduled_at: Duration::from_millis(number * 100),
        latency: Duration::from_millis(number),
        outcome,
    }
}

/// Guards against invariant violations that are not counted, and against latencies that include
/// requests without an answer.
#[test]
fn statistics_count_violations() {
    let mut stats = LoadStats::new(Duration::from_secs(5));
    for number in 1..=100 {
        stats.add(result(number, LoadClass::Check, RequestOutcome::Answered));
    }
    stats.add(result(101, LoadClass::Book, RequestOutcome::NotRun));
    stats.add(result(102, LoadClass::Book, RequestOutcome::Unknown));
    stats.add(result(103, LoadClass::Check, RequestOutcome::Answered));
    let runs = ["r101", "r102", "r102", "r103", "r103"];
    let mut counts = HashMap::new();
    for key in runs {
        *counts.entry(key.into()).or_insert(0) += 1;
    }
    assert_eq!(stats.false_refusals(&counts), 1, "r101");
    assert_eq!(stats.run_twice(&counts), 1, "r102; r103 may be repeated");
    let all = stats.latency(|_| true);
    assert_eq!(all.keys().copied().collect::<Vec<_>>(), ["check"]);
    assert!((all["check"].p50 - 51.0).abs() < 1.1, "{all:?}");
    let early = stats.phase_latency(0, Duration::from_secs(4));
    assert_eq!(early["check"].count, 10, "scheduled from 4.0 s to 4.9 s");
}

fn echo_server() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let clone = listener.try_clone().expect("the socket can be shared");
    thread::spawn(move || {
        for stream in clone.incoming().flatten() {
            thread::spawn(move || {
                let mut reader = stream.try_clone().expect("the socket can be shared");
                let mut writer = stream;
                std::io::copy(&mut reader, &mut writer)
            });
        }
    });
    listener
}

/// Sends bytes and returns the echo, or `None` when it does not arrive within `wait`.
fn echo(stream: &mut TcpStream, wait: Duration) -> Option<Vec<u8>> {
    stream.set_read_timeout(Some(wait)).ok()?;
    stream.write_all(b"ping").ok()?;
    let mut buffer = [0; 4];
    stream.read_exact(&mut buffer).ok()?;
    Some(buffer.to_vec())
}

/// Timeout of an echo that must arrive. It is far above any delay on a busy machine.
const ECHO_TIMEOUT: Duration = Duration::from_secs(20);

/// Wait on a connection that must stay silent.
const SILENCE_WAIT: Duration = Duration::from_millis(300);

/// Guards against a proxy that forwards traffic although its fault is active.
#[test]
fn a_proxy_applies_each_fault() {
    let server = echo_server();
    let proxies = ProxyThread::start().expect("the thread starts");
    let target = server.local_addr().expect("the server listens");
    let proxy = proxies.open(target, None).expect("the proxy starts");
    let mut old = TcpStream::connect(proxy.address).expect("the proxy accepts");
    assert!(echo(&mut old, ECHO_TIMEOUT).is_some());
    proxy.change(|state| state.epoch += 1);
    assert_eq!(
        echo(&mut old, SILENCE_WAIT),
        None,
        "open connections are silent"
    );
    let mut new = TcpStream::connect(proxy.address).expect("the proxy accepts");
    assert!(
        echo(&mut new, ECHO_TIMEOUT).is_some(),
        "new connections work"
    );
    proxy.change(|state| state.is_down = true);
    assert_eq!(echo(&mut new, ECHO_TIMEOUT), None, "connections are closed");
    proxy.change(|state| state.is_down = false);
    let again = (0..500).find_map(|_| {
        thread::sleep(Duration::from_millis(20));
        TcpStream::connect(proxy.address).ok()
    });
    assert!(again.is_some_and(|mut stream| echo(&mut stream, ECHO_TIMEOUT).is_some()));
}

/// Guards against requests without an outcome, against invariant violations, and against a last
/// output line that is not JSON.
#[test]
fn a_short_run_accounts_for_each_request() {
    let output = Command::new(env!("CARGO_BIN_EXE_mustardpath-load"))
        .args(["--scenario", "daemon-stopped", "--json"])
        .args(["--rate", "40", "--phase-s", "2", "--seed", "3"])
        .output()
        .expect("the program starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let line = text.lines().last().unwrap_or_default();
    let figures: Value = serde_json::from_str(line).expect("the last line is JSON");
    let count = |field: &str| figures[field].as_u64().expect(field);
    let outcomes = ["answered", "refused_not_run", "unknown", "wrong", "cut"];
    assert_eq!(outcomes.map(count).iter().sum::<u64>(), count("sent"));
    assert!(count("answered") > 0, "{line}");
    for violation in ["refused_but_run", "wrong", "run_twice"] {
        assert_eq!(count(violation), 0, "{line}");
    }
}

/// Guards against scenarios that are not listed or cannot be parsed.
#[test]
fn the_list_names_scenarios_that_run() {
    let program = env!("CARGO_BIN_EXE_mustardpath-load");
    let output = Command::new(program)
        .arg("--list")
        .output()
        .expect("it starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let names: Vec<&str> = text.lines().collect();
    assert_eq!(names.len(), 12);
    for name in names {
        let parsed: Result<mustardpath::load_plan::LoadScenario, _> = name.parse();
        assert_eq!(parsed.map(|scenario| scenario.to_string()), Ok(name.into()));
    }
}
