//! Tests of the publishing tool with a stand-in daemon: what it sends and when it sends nothing.

mod common;

use std::os::unix::fs::symlink;
use std::process::Output;

use serde_json::Value;
use serde_json::json;

use crate::common::StandinDaemon;
use crate::common::TestDirectory;
use crate::common::problem;
use crate::common::run;
use crate::common::stderr;
use crate::common::stdout;
use mustardpath_core::config::KeyDigest;

fn run_publish(arguments: &[&str]) -> Output {
    run(env!("CARGO_BIN_EXE_mustardpath-publish"), arguments)
}

fn team(name: &str, weight: u32) -> Value {
    json!({
        "team": name,
        "key_sha256": KeyDigest::of(name),
        "weight": weight,
        "services": { "berth-plan": { "work": "job", "run_time": "2 h" } },
    })
}

fn config_response(version: u64, teams: &[Value]) -> (u16, String) {
    let entry = |team: &Value| {
        (
            team["team"].as_str().unwrap_or_default().to_owned(),
            team.clone(),
        )
    };
    let teams: serde_json::Map<_, _> = teams.iter().map(entry).collect();
    (
        200,
        json!({ "version": version, "teams": teams }).to_string(),
    )
}

fn run_apply(folder: &TestDirectory, daemon: &StandinDaemon, options: &[&str]) -> Output {
    let address = daemon.address.to_string();
    let mut arguments = vec![
        "apply",
        folder.text(),
        "--daemon",
        &address,
        "--operator",
        "linh",
    ];
    arguments.extend(options);
    run_publish(&arguments)
}

/// Guards against a change that is based on another version than the one shown, or that contains
/// unchanged files.
#[test]
fn apply_sends_changed_files_against_the_shown_version() {
    let folder = TestDirectory::new("publish-difference");
    folder.write("a/quay.mustardpath.json", &team("quay", 3).to_string());
    folder.write("b/pier.mustardpath.json", &team("pier", 1).to_string());
    folder.write("b/notes.json", "not a team file");
    let daemon = StandinDaemon::start(vec![
        (
            "GET /v1/config",
            vec![config_response(7, &[team("quay", 2), team("pier", 1)])],
        ),
        (
            "POST /v1/config",
            vec![(200, json!({ "version": 8 }).to_string())],
        ),
    ]);
    let output = run_apply(&folder, &daemon, &[]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let expected = "changes against version 7:\n~ quay: weight 2 -> 3\npublished as version 8\n";
    assert_eq!(stdout(&output), expected);
    let sent = daemon.received("POST /v1/config");
    assert_eq!(sent.len(), 1);
    assert_eq!(
        sent[0].header("authorization"),
        Some("Bearer operator-test-key")
    );
    let body = sent[0].json();
    assert_eq!(body["base"], 7);
    assert_eq!(body["operator"], "linh");
    assert_eq!(body["remove"], json!([]));
    assert_eq!(body["upsert"].as_array().map(Vec::len), Some(1));
    assert_eq!(body["upsert"][0]["weight"], 3);
}

/// Guards against publishing the valid files when another file is invalid, and against an exit code
/// of success with which a script would continue.
#[test]
fn nothing_is_sent_when_a_file_is_invalid() {
    let folder = TestDirectory::new("publish-bad");
    folder.write("quay.mustardpath.json", &team("quay", 3).to_string());
    folder.write("pier.mustardpath.json", &team("pier", 0).to_string());
    let daemon = StandinDaemon::start(vec![("GET /v1/config", vec![config_response(7, &[])])]);
    let output = run_apply(&folder, &daemon, &["--yes"]);
    assert_eq!(output.status.code(), Some(2));
    let message = "pier.mustardpath.json:1:";
    assert!(stderr(&output).starts_with(message), "{}", stderr(&output));
    assert!(daemon.received("").is_empty());
    assert_eq!(
        run_publish(&["check", folder.text()]).status.code(),
        Some(2)
    );
}

/// Guards against accepting a demand that does not fit on any worker of the deployment.
#[test]
fn demands_are_checked_against_the_largest_worker() {
    let folder = TestDirectory::new("publish-worker");
    let mut team = team("quay", 3);
    team["services"]["berth-plan"]["demand"] = json!({ "cores": 48 });
    folder.write("quay.mustardpath.json", &team.to_string());
    assert_eq!(
        run_publish(&["check", folder.text()]).status.code(),
        Some(0)
    );
    let worker = r#"{"slots":6,"accelerators":8,"cores":32,"memory_mib":122070}"#;
    let output = run_publish(&["check", folder.text(), "--largest-worker", worker]);
    assert_eq!(output.status.code(), Some(2));
    let message = "48 is above 32, what jobs get on the largest worker";
    assert!(stderr(&output).contains(message), "{}", stderr(&output));
}

/// Guards against the removal of all teams when the wrong folder is given.
#[test]
fn removal_requires_confirmation_and_an_empty_folder_is_rejected() {
    let folder = TestDirectory::new("publish-removal");
    let daemon = StandinDaemon::start(vec![
        (
            "GET /v1/config",
            vec![config_response(7, &[team("quay", 2), team("pier", 1)])],
        ),
        (
            "POST /v1/config",
            vec![(200, json!({ "version": 8 }).to_string())],
        ),
    ]);
    let output = run_apply(&folder, &daemon, &["--yes"]);
    assert_eq!(output.status.code(), Some(2));
    folder.write("quay.mustardpath.json", &team("quay", 2).to_string());
    let output = run_apply(&folder, &daemon, &[]);
    assert_eq!(output.status.code(), Some(7), "{}", stderr(&output));
    assert!(daemon.received("POST").is_empty());
    let output = run_apply(&folder, &daemon, &["--yes"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    assert_eq!(daemon.received("POST")[0].json()["remove"], json!(["pier"]));
}

/// Guards against exit codes that do not distinguish a refusal, a lost response and an unreachable
/// daemon. After a lost response the tool checks whether the change is in force.
#[test]
fn exit_codes_distinguish_refused_unknown_and_published_changes() {
    let folder = TestDirectory::new("publish-exit");
    folder.write("quay.mustardpath.json", &team("quay", 3).to_string());
    let conflict = problem(
        "another change came first",
        409,
        "not_run",
        "minh published 8",
    );
    let cases = [
        (409, conflict, config_response(7, &[]), 3),
        (
            504,
            problem("outcome unknown", 504, "may_have_run", ""),
            config_response(7, &[]),
            5,
        ),
        (500, "no JSON".to_owned(), config_response(7, &[]), 5),
        (
            500,
            "no JSON".to_owned(),
            config_response(8, &[team("quay", 3)]),
            0,
        ),
    ];
    for (status, body, config_after, expected) in cases {
        let daemon = StandinDaemon::start(vec![
            (
                "GET /v1/config",
                vec![config_response(7, &[]), config_after],
            ),
            ("POST /v1/config", vec![(status, body.clone())]),
        ]);
        let output = run_apply(&folder, &daemon, &[]);
        assert_eq!(
            output.status.code(),
            Some(expected),
            "{body}: {}",
            stderr(&output)
        );
    }
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = unused.local_addr().expect("the port is known").to_string();
    drop(unused);
    let output = run_publish(&["check", folder.text(), "--daemon", &address]);
    assert_eq!(output.status.code(), Some(4), "{}", stderr(&output));
}

/// Guards against team files that are read from outside the tree or read twice through a link.
#[test]
fn links_out_of_the_tree_are_rejected() {
    let outside = TestDirectory::new("publish-outside");
    let target = outside.write("pier.mustardpath.json", &team("pier", 1).to_string());
    let folder = TestDirectory::new("publish-links");
    let inside = folder.write("a/quay.mustardpath.json", &team("quay", 1).to_string());
    symlink(inside, folder.path().join("quay.mustardpath.json")).expect("a link can be made");
    symlink(folder.path().join("a"), folder.path().join("b")).expect("a link can be made");
    let output = run_publish(&["check", folder.text()]);
    assert_eq!(
        stdout(&output),
        "1 teams, no mistakes\n",
        "{}",
        stderr(&output)
    );

    let links = [
        ("pier.mustardpath.json", target.as_path()),
        ("c", outside.path()),
    ];
    for (name, target) in links {
        let link = folder.path().join(name);
        symlink(target, &link).expect("a link can be made");
        let output = run_publish(&["check", folder.text()]);
        assert_eq!(output.status.code(), Some(2), "{name}");
        let message = format!("{name}: a link to {}, outside the tree", target.display());
        assert!(stderr(&output).starts_with(&message), "{}", stderr(&output));
        std::fs::remove_file(&link).expect("the link can be removed");
    }
    let deep = "d/".repeat(33);
    folder.write(&format!("{deep}x.mustardpath.json"), "{}");
    let output = run_publish(&["check", folder.text()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        stderr(&output).contains("more than 32 folders deep"),
        "{}",
        stderr(&output)
    );
}
