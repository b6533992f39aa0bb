//! Helpers shared by the tests: settings, a fake daemon with canned responses, tools and
//! directories.

// Each test binary uses its own part of this module.
#![allow(dead_code)]

use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

use rouille::Request;
use rouille::Response;
use rouille::Server;

use mustardpath_core::config::KeyDigest;
use mustardpath_core::settings::DaemonSettings;

/// Returns the settings of a daemon whose log and VM list are unreachable.
pub fn settings(call_threads: u32) -> DaemonSettings {
    serde_json::from_value(serde_json::json!({
        "daemon": "d1",
        "region": "north",
        "domain": "one",
        "caller_address": "127.0.0.1:0",
        "peer_address": "127.0.0.1:0",
        "log_address": "127.0.0.1:1",
        "vms_address": "127.0.0.1:1",
        "operator_key_sha256": KeyDigest::of("key"),
        "limits": { "call_threads": call_threads },
    }))
    .expect("settings")
}

/// A request as the fake daemon received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub route: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}

/// Responses by route, such as `GET /v1/config`. They are sent in order, and the last one is
/// repeated.
type ResponseTable = Vec<(&'static str, Vec<(u16, String)>)>;

/// A fake daemon on a loopback port. It sends canned responses and records the requests.
pub struct StandinDaemon {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl StandinDaemon {
    pub fn start(responses: ResponseTable) -> Self {
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&received);
        let table = Mutex::new(responses);
        let server = Server::new("127.0.0.1:0", move |request| respond(request, &table, &log))
            .expect("a loopback port is free");
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
        Self {
            address,
            received,
            stop,
            thread: Some(thread),
        }
    }

    /// Returns the received requests whose route starts with `route`.
    pub fn received(&self, route: &str) -> Vec<ReceivedRequest> {
        let received = self.received.lock().expect("no thread panicked");
        let matching = received
            .iter()
            .filter(|request| request.route.starts_with(route));
        matching.cloned().collect()
    }
}

impl Drop for StandinDaemon {
    fn drop(&mut self) {
        let _ = self.stop.send(());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn respond(
    request: &Request,
    table: &Mutex<ResponseTable>,
    log: &Mutex<Vec<ReceivedRequest>>,
) -> Response {
    let route = format!("{} {}", request.method(), request.raw_url());
    let mut body = Vec::new();
    let mut data = request.data().expect("the body is read once");
    data.read_to_end(&mut body).expect("the body is complete");
    let headers = request
        .headers()
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let mut table = table.lock().expect("no thread panicked");
    let entry = table
        .iter_mut()
        .find(|(prefix, _)| route.starts_with(prefix));
    let (status, text) = match entry {
        Some((_, responses)) if responses.len() > 1 => responses.remove(0),
        Some((_, responses)) => responses[0].clone(),
        None => (404, problem("not_found", 404, "not_run", &route)),
    };
    log.lock()
        .expect("no thread panicked")
        .push(ReceivedRequest {
            route,
            headers,
            body,
        });
    let is_problem = text.starts_with('{') && status >= 400;
    let media = if is_problem {
        "application/problem+json"
    } else {
        "application/json"
    };
    Response::from_data(media, text).with_status_code(status)
}

/// Returns an error response in the problem-details format.
pub fn problem(title: &str, status: u16, run: &str, detail: &str) -> String {
    serde_json::json!({
        "type": "about:blank", "title": title, "status": status, "detail": detail, "run": run,
    })
    .to_string()
}

/// Runs a tool with an operator key and without a terminal.
pub fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program)
        .args(arguments)
        .env("MUSTARDPATH_KEY", "operator-test-key")
        .env_remove("MUSTARDPATH_DAEMON")
        .env_remove("MUSTARDPATH_TEAM")
        .stdin(std::process::Stdio::null())
        .output()
        .expect("the tool starts")
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// A directory that is removed at the end of the test.
pub struct TestDirectory(PathBuf);

impl TestDirectory {
    pub fn new(name: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("the directory can be created");
        Self(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        let parent = path.parent().expect("the file has a parent directory");
        std::fs::create_dir_all(parent).expect("the directory can be created");
        std::fs::write(&path, text).expect("the file can be written");
        path
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn text(&self) -> &str {
        self.0.to_str().expect("the path is UTF-8")
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
