//! Runs the commands of `docs/OPERATIONS.md`, in order, against daemon processes and a simulated
//! platform.

mod common;

use std::collections::BTreeMap;
use std::env;
use std::io::BufRead;
use std::io::BufReader;
use std::os::unix::fs::symlink;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::common::TestDirectory;
use crate::common::stderr;
use crate::common::stdout;
use mustardpath_core::config::KeyDigest;

/// Maximum number of polls of a process or a daemon, each of which takes 200 ms or more.
const MAX_POLLS: u32 = 300;

/// A process that is killed at the end of the test.
struct TestProcess(Child);

impl Drop for TestProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A deployment with two daemons. [`prepare`] adds a third one.
struct TestDeployment {
    folder: TestDirectory,
    variables: BTreeMap<String, String>,
    log: String,
    vms: String,
    daemons: Vec<TestProcess>,
    _standin: TestProcess,
}

impl TestDeployment {
    fn start() -> Self {
        let folder = TestDirectory::new("operations");
        let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
        symlink(examples, folder.path().join("examples")).expect("a link can be made");
        let plan = folder.path().join("examples/thanh-lam/deployment.json");
        let mut child = Command::new(env!("CARGO_BIN_EXE_mustardpath-standin"))
            .arg(plan)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the stand-ins start");
        let output = child.stdout.take().expect("the output is a pipe");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("the stand-ins print their addresses");
        let addresses: Value = serde_json::from_str(&line).expect("the addresses are JSON");
        let text = |name: &str| addresses[name].as_str().unwrap_or_default().to_owned();
        let mut deployment = Self {
            folder,
            variables: BTreeMap::new(),
            log: text("log"),
            vms: text("vms"),
            daemons: Vec::new(),
            _standin: TestProcess(child),
        };
        let address = deployment.start_daemon("sg-a-1", "south", "sg-a");
        deployment.start_daemon("hn-a-1", "north", "hn-a");
        deployment.set("MUSTARDPATH_DAEMON", address);
        deployment.set("MUSTARDPATH_KEY", "operator-example-key");
        deployment.wait_for("mustardpath ready", |_| true);
        deployment.wait_for("mustardpath config status", |text| is_live(text, "hn-a-1"));
        deployment.wait_for("mustardpath domain status", |text| is_state(text, "in"));
        deployment
    }

    /// Starts a daemon, adds it to the VM list and returns its caller address.
    fn start_daemon(&mut self, name: &str, region: &str, domain: &str) -> String {
        let settings = json!({
            "daemon": name, "region": region, "domain": domain,
            "caller_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
            "log_address": self.log, "vms_address": self.vms,
            "operator_key_sha256": KeyDigest::of("operator-example-key"),
        });
        let file = self
            .folder
            .write(&format!("{name}.json"), &settings.to_string());
        let mut child = Command::new(env!("CARGO_BIN_EXE_mustardpathd"))
            .arg(file)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the daemon starts");
        let lines = BufReader::new(child.stderr.take().expect("the log is a pipe")).lines();
        self.daemons.push(TestProcess(child));
        let (callers, peers) = read_addresses(lines);
        let info = json!({
            "daemon": name, "address": peers, "region": region, "domain": domain, "state": "live",
        });
        let body = json!({ "switch": "put_daemon", "info": info }).to_string();
        ureq::post(format!("http://{}/admin/switch", self.vms))
            .send(&body)
            .expect("the VM list takes the daemon");
        callers
    }

    fn set(&mut self, name: &str, value: impl Into<String>) {
        self.variables.insert(name.to_owned(), value.into());
    }

    fn run(&self, command: &str) -> Output {
        let tools = Path::new(env!("CARGO_BIN_EXE_mustardpath"));
        let tools = tools.parent().expect("the tools are in a folder");
        let path = env::var("PATH").unwrap_or_default();
        Command::new("sh")
            .args(["-c", command])
            .env("PATH", format!("{}:{path}", tools.display()))
            .envs(&self.variables)
            .current_dir(self.folder.path())
            .stdin(Stdio::null())
            .output()
            .expect("the shell starts")
    }

    /// Repeats a command until its output passes the check.
    fn wait_for(&self, command: &str, check: impl Fn(&str) -> bool) {
        let mut last = String::new();
        for _ in 0..MAX_POLLS {
            let output = self.run(command);
            last = stdout(&output) + &stderr(&output);
            if output.status.success() && check(&last) {
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        panic!("{command} still shows after {MAX_POLLS} polls:\n{last}");
    }
}

/// Reads a daemon's addresses from its log. A thread keeps reading afterwards, as a full pipe would
/// block the daemon.
fn read_addresses(
    mut lines: impl Iterator<Item = std::io::Result<String>> + Send + 'static,
) -> (String, String) {
    let prefix = "callers at ";
    let line = lines
        .by_ref()
        .map_while(Result::ok)
        .find(|line| line.contains(prefix))
        .expect("the daemon logs its addresses");
    thread::spawn(move || {
        lines
            .map_while(Result::ok)
            .for_each(|line| eprintln!("{line}"))
    });
    let addresses = line.split(prefix).nth(1).unwrap_or_default();
    let (callers, peers) = addresses
        .split_once(", peers at ")
        .expect("the line holds two addresses");
    (callers.to_owned(), peers.to_owned())
}

/// Returns the commands of the shell blocks of a Markdown page, in order.
fn commands(page: &str) -> Vec<String> {
    let mut commands = Vec::new();
    let mut in_block = false;
    for line in page.lines().map(str::trim) {
        if line.starts_with("```") {
            in_block = line == "```sh";
        } else if in_block && !line.is_empty() {
            commands.push(line.to_owned());
        }
    }
    commands
}

/// Performs the manual steps that the page requires before a command, such as setting a variable.
fn prepare(deployment: &mut TestDeployment, command: &str) {
    if command.contains("$NEW_DAEMON") && !deployment.variables.contains_key("NEW_DAEMON") {
        let address = deployment.start_daemon("ct-a-1", "south", "ct-a");
        deployment.set("NEW_DAEMON", address);
        deployment.wait_for("mustardpath --daemon \"$NEW_DAEMON\" ready", |_| true);
        deployment.wait_for("mustardpath config status", |text| is_live(text, "ct-a-1"));
    }
    if command.contains("$PID") {
        let pid = deployment.daemons[1].0.id();
        deployment.set("PID", pid.to_string());
    }
}

/// Checks the output of a command and extracts values for later commands.
fn check_output(deployment: &mut TestDeployment, command: &str, text: &str) {
    if command.contains(" apply ") {
        assert!(text.contains("published as version 1\n"), "{text}");
    } else if command.contains(" request ") {
        assert!(text.starts_with("answer to "), "{text}");
    } else if command.contains(" answer oncall-booking") {
        assert!(text.contains("answered"), "{text}");
    } else if command.contains(" answer ") {
        let row = text.lines().nth(1).unwrap_or_default();
        let job = row.split_whitespace().nth(2).unwrap_or_default();
        assert!(job.parse::<u64>().is_ok(), "{text}");
        deployment.set("JOB", job);
    } else if command.contains("domain out") {
        assert!(text.contains("sg-a is out at each live daemon"), "{text}");
        deployment.wait_for("mustardpath domain status", |text| is_state(text, "out"));
    } else if command.contains("domain in") {
        deployment.wait_for("mustardpath domain status", |text| is_state(text, "in"));
    } else if command.contains(" cancel ") {
        let status = "mustardpath --team sand-flow status \"$JOB\"";
        deployment.wait_for(status, |text| text.contains("cancelled"));
    } else if command.starts_with("kill") {
        wait_for_exit(&mut deployment.daemons[1].0);
    } else if command.contains("dump.json") {
        check_dump(&deployment.folder.path().join("dump.json"));
    }
}

/// Returns whether the table of daemons lists `daemon` as live.
fn is_live(text: &str, daemon: &str) -> bool {
    let mut rows = text
        .lines()
        .map(|line| line.split_whitespace().take(2).collect::<Vec<_>>());
    rows.any(|row| row == [daemon, "yes"])
}

/// Returns whether the table of failure domains lists `sg-a` in `state`.
fn is_state(text: &str, state: &str) -> bool {
    let mut rows = text
        .lines()
        .map(|line| line.split_whitespace().take(2).collect::<Vec<_>>());
    rows.any(|row| row == ["sg-a", state])
}

fn wait_for_exit(child: &mut Child) {
    for _ in 0..MAX_POLLS {
        if let Some(status) = child.try_wait().expect("the process can be waited for") {
            assert!(status.success(), "the daemon ended with {status}");
            return;
        }
        thread::sleep(Duration::from_millis(200));
    }
    panic!("the daemon has not ended after SIGTERM");
}

/// Checks that a dump has the fields that the page describes and contains no key.
fn check_dump(path: &Path) {
    let text = std::fs::read_to_string(path).expect("the dump can be read");
    let dump: Value = serde_json::from_str(&text).expect("the dump is JSON");
    for pointer in [
        "/log/confirmed_age_ms",
        "/log/outbox",
        "/term",
        "/config/version",
        "/daemons",
        "/domains",
        "/workers/silent",
        "/workers/lost",
        "/planner/unsettled",
        "/jobs",
    ] {
        assert!(
            dump.pointer(pointer).is_some(),
            "{pointer} is not in the dump"
        );
    }
    for key in ["operator-example-key", "sand-flow-example-key"] {
        let digest = serde_json::to_string(&KeyDigest::of(key)).expect("a digest can be encoded");
        assert!(!text.contains(key), "the dump holds a key");
        assert!(
            !text.contains(digest.trim_matches('"')),
            "the dump holds a digest"
        );
    }
}

/// Guards against an operations page with commands that no longer work.
#[test]
fn commands_of_the_operations_page_work() {
    let page = include_str!("../docs/OPERATIONS.md");
    let commands = commands(page);
    assert!(commands.len() > 20, "{commands:?}");
    let mut deployment = TestDeployment::start();
    let address = deployment.variables["MUSTARDPATH_DAEMON"].clone();
    for command in commands {
        if let Some((name, value)) = command
            .strip_prefix("export ")
            .and_then(|text| text.split_once('='))
        {
            let value = if name == "MUSTARDPATH_DAEMON" {
                &address
            } else {
                value
            };
            deployment.set(name, value);
            continue;
        }
        prepare(&mut deployment, &command);
        let output = deployment.run(&command);
        let text = stdout(&output) + &stderr(&output);
        assert!(
            output.status.success(),
            "{command}: {}\n{text}",
            output.status
        );
        check_output(&mut deployment, &command, &text);
    }
}
