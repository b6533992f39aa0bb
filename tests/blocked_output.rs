//! The daemon on the users' platform while its standard output is blocked.

use std::env;
use std::fs;
use std::io::Read;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use mustardpath::entry::log_limiter::LINES_PER_WINDOW;
use mustardpath::entry::log_limiter::WINDOW;

/// Bytes after which a pipe on Linux blocks its writer. The pipe holds 16 pages, the last of which
/// stays partly empty when the next line does not fit.
const PIPE_BYTES: usize = 15 * 4_096;

/// Number of calls, each of which produces a log line of 64 bytes or more: enough to fill the pipe
/// of 64 KiB and the logger's queue of 1,024 lines.
const CALL_COUNT: u32 = 2_500;

/// Number of calls in a window of the log limiter. It is below the limit, so that only a full queue
/// omits lines.
const CALLS_PER_WINDOW: u32 = LINES_PER_WINDOW - 50;

/// Maximum duration of a call.
const MAX_LATENCY: Duration = Duration::from_secs(1);

/// A daemon whose standard output is a pipe without a reader.
struct BlockedDaemon {
    child: Child,
    settings: PathBuf,
    callers: String,
    metrics: String,
}

/// Returns a loopback address whose port was free a moment ago.
fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the port is known");
    address.to_string()
}

impl BlockedDaemon {
    fn start() -> Self {
        let callers = free_address();
        let metrics = free_address();
        let settings = json!({
            "daemon": "d1", "region": "south", "domain": "a",
            "caller_address": callers, "peer_address": free_address(),
            "log_address": free_address(), "vms_address": free_address(),
            "operator_key_sha256": "0".repeat(64),
            "batch": { "ready_address": free_address(), "metrics_address": metrics },
        });
        let name = format!("mustardpath-blocked-{}.json", std::process::id());
        let file = env::temp_dir().join(name);
        fs::write(&file, settings.to_string()).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_mustardpathd"))
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon starts");
        Self {
            child,
            settings: file,
            callers,
            metrics,
        }
    }

    /// Stops the daemon and returns the output that it wrote before the pipe was full.
    fn end(mut self) -> Vec<u8> {
        let mut output = self.child.stdout.take().expect("the output is a pipe");
        drop(self);
        let mut written = Vec::new();
        output.read_to_end(&mut written).expect("the pipe is read");
        written
    }
}

impl Drop for BlockedDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns the status and body of the response and the duration of the call.
fn call(agent: &ureq::Agent, method: &str, url: &str) -> Option<(u16, String, Duration)> {
    let start = Instant::now();
    let answer = match method {
        "GET" => agent.get(url).call(),
        _ => agent
            .post(url)
            .send(r#"{"spec":"s","steps":[{"count":1}]}"#),
    };
    let mut answer = answer.ok()?;
    let status = answer.status().as_u16();
    let body = answer.body_mut().read_to_string().ok()?;
    Some((status, body, start.elapsed()))
}

/// Guards against a daemon that stops responding while standard output is blocked, and against log
/// lines that are omitted without a count.
#[test]
fn blocked_standard_output_delays_no_call() {
    let daemon = BlockedDaemon::start();
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(MAX_LATENCY));
    let agent = ureq::Agent::new_with_config(config.build());
    let metrics = format!("http://{}/metrics", daemon.metrics);
    let is_up = (0..100).any(|_| {
        thread::sleep(Duration::from_millis(50));
        call(&agent, "GET", &metrics).is_some()
    });
    assert!(is_up, "the metrics address never answered");
    let mut slowest = Duration::ZERO;
    for number in 0..CALL_COUNT {
        if number % CALLS_PER_WINDOW == 0 {
            thread::sleep(Duration::from_millis(WINDOW.0));
        }
        let url = format!("http://{}/queue/{number:016x}", daemon.callers);
        let (status, _, wait) = call(&agent, "POST", &url).expect("each call is answered");
        assert_eq!(status, 503, "a daemon without a configuration is not ready");
        slowest = slowest.max(wait);
    }
    let (_, page, wait) = call(&agent, "GET", &metrics).expect("the metrics are served");
    let written = daemon.end();
    let bytes = written.len();
    assert!(
        bytes >= PIPE_BYTES,
        "{CALL_COUNT} calls wrote {bytes} bytes"
    );
    assert!(
        slowest.max(wait) < MAX_LATENCY,
        "slowest {slowest:?}, {wait:?}"
    );
    let omitted = page.lines().find(|line| line.contains("lines_omitted"));
    let omitted = omitted.and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
    assert!(omitted.is_some_and(|count| count > 0), "{page}");
}
