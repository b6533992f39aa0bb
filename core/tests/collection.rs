//! Validation of team files: accepted files, reported problems and differences.

use indexmap::IndexMap;

use mustardpath_core::collection::CheckBounds;
use mustardpath_core::collection::MAX_FILE_BYTES;
use mustardpath_core::collection::SourceFile;
use mustardpath_core::collection::check;
use mustardpath_core::collection::check_change;
use mustardpath_core::config::TeamFile;
use mustardpath_core::difference::difference;
use mustardpath_core::ids::TeamName;

/// A well-formed digest.
const DIGEST: &str = "09e2a0e6d5b4ff8ef2d66ba05f0a2bfd8e66d8b0df2a2b3f1c1c0d2d67c3a111";

/// Returns a valid team file with one substring replaced.
fn text(replaced: &str, by: &str) -> String {
    let whole = format!(
        r#"{{
  "team": "quay",
  "key_sha256": "{DIGEST}",
  "weight": 2,
  "guarantees": [
    {{ "workers": 2, "per_worker": {{ "slots": 4, "accelerators": 8 }} }}
  ],
  "limits": {{ "concurrency": 50 }},
  "services": {{
    "crane-check": {{ "work": "request", "run_time": "200 ms", "deadline": "3 s" }},
    // A comment.
    "berth-plan": {{
      "work": "job",
      "repeatable": true,
      "members": 4,
      "demand": {{ "accelerators": 2 }},
      "run_time": "2 h"
    }}
  }}
}}
"#
    );
    assert!(whole.contains(replaced), "{replaced} is not in the text");
    whole.replacen(replaced, by, 1)
}

fn messages(files: &[(&str, &[u8])]) -> Vec<String> {
    let files: Vec<_> = files
        .iter()
        .map(|&(name, bytes)| SourceFile { name, bytes })
        .collect();
    let problems = check(&files, &CheckBounds::default()).expect_err("a file is bad");
    problems.iter().map(ToString::to_string).collect()
}

fn teams(text: &str) -> IndexMap<TeamName, TeamFile> {
    let bytes = text.as_bytes();
    let file = SourceFile { name: "t", bytes };
    check(&[file], &CheckBounds::default()).expect("the file is good")
}

/// Guards against problems that pass validation or are reported at the wrong position or with
/// another message.
#[test]
fn each_problem_has_its_message() {
    let above = "what jobs get on the largest worker";
    let cases = [
        ("\"weight\"", "\"wieght\"", "t:4:3: wieght: unknown field `wieght`, expected one of `team`, `key_sha256`, `weight`, `guarantees`, `limits`, `services`".to_owned()),
        ("\"weight\": 2", "\"weight\": 0", "t:4:3: weight: must not be zero".to_owned()),
        ("\"weight\": 2", "\"weight\": -2", "t:4:3: weight: invalid value: integer `-2`, expected u32".to_owned()),
        ("  \"team\": \"quay\",\n", "", "t:1:1: team: missing field `team`".to_owned()),
        ("\"quay\"", "\"quay north\"", "t:2:3: team: \"quay north\" is not a name: lower-case letters, digits and '-' between them".to_owned()),
        ("\"quay\"", "\"0123456789012345678901234567890123456789012345678901234567890123456789\"", "t:2:3: team: a name has at most 64 characters, this one 70".to_owned()),
        ("crane-check", "Crane", "t:10:5: services.Crane: \"Crane\" is not a name: lower-case letters, digits and '-' between them".to_owned()),
        (DIGEST, "quay-key", "t:3:3: key_sha256: a SHA-256 digest is 64 hexadecimal digits in lower case".to_owned()),
        ("\"workers\": 2", "\"workers\": 0", "t:6:7: guarantees[0].workers: must not be zero".to_owned()),
        ("\"workers\": 2", "\"workers\": 65", "t:6:7: guarantees[0].workers: 65 is above 64, the largest gang".to_owned()),
        ("\"workers\": 2", "\"count\": 0, \"workers\": 2", "t:6:7: guarantees[0].count: must not be zero".to_owned()),
        (
            "\"workers\": 2",
            "\"count\": 4000000000, \"workers\": 2",
            "t:6:7: guarantees[0].count: 4000000000 shapes hold more than 16000 tasks".to_owned(),
        ),
        ("\"accelerators\": 8", "\"accelerators\": 9", format!("t:6:49: guarantees[0].per_worker.accelerators: 9 is above 8, {above}")),
        ("\"slots\": 4", "\"slots\": 7", format!("t:6:37: guarantees[0].per_worker.slots: 7 is above 6, {above}")),
        ("\"slots\": 4", "\"slots\": 0", "t:6:37: guarantees[0].per_worker.slots: must not be zero".to_owned()),
        ("\"concurrency\": 50", "\"concurrency\": 0", "t:8:15: limits.concurrency: must not be zero".to_owned()),
        ("\"members\": 4", "\"members\": 65", "t:15:7: services.berth-plan.members: 65 is above 64, the largest gang".to_owned()),
        ("\"members\": 4", "\"members\": 0", "t:15:7: services.berth-plan.members: must not be zero".to_owned()),
        ("\"accelerators\": 2", "\"cores\": 100", format!("t:16:19: services.berth-plan.demand.cores: 100 is above 64, {above}")),
        ("\"2 h\"", "\"0 h\"", "t:17:7: services.berth-plan.run_time: must be positive".to_owned()),
        ("\"2 h\"", "\"-2 h\"", "t:17:7: services.berth-plan.run_time: \"-2 h\" is not a whole number with a unit, such as \"45 s\"".to_owned()),
        ("\"2 h\"", "\"2 hours\"", "t:17:7: services.berth-plan.run_time: unit \"hours\" is not one of d, h, min, s, ms; an example is \"45 s\"".to_owned()),
        ("\"2 h\"", "\"2 h\", \"deadline\": \"1 h\"", "t:17:26: services.berth-plan.deadline: 1 h is below run_time (2 h): the work cannot meet it".to_owned()),
        ("\"repeatable\": true", "\"preemptible\": true", "t:14:7: services.berth-plan.preemptible: work that is not repeatable cannot be preempted, because it would run again".to_owned()),
        ("\"repeatable\": true", "\"spread_domains\": true, \"adjacency\": \"same_rack\"", "t:14:7: services.berth-plan.spread_domains: a gang in one rack cannot be spread over failure domains".to_owned()),
        ("\"job\"", "\"batch\"", "t:13:7: services.berth-plan.work: unknown variant `batch`, expected `job` or `request`".to_owned()),
        ("\"request\"", "\"request\", \"members\": 2", "t:10:41: services.crane-check.members: a short request has no gang".to_owned()),
        ("\"request\"", "\"request\", \"preemptible\": true", "t:10:41: services.crane-check.preemptible: a short request is never preempted".to_owned()),
        ("\"request\"", "\"request\", \"demand\": { \"cores\": 2 }", "t:10:41: services.crane-check.demand: a short request takes one slot and nothing else".to_owned()),
        ("\"crane-check\"", "\"berth-plan\"", "t:12:5: services.berth-plan: the field is given twice".to_owned()),
        ("\"weight\": 2,", "\"weight\": 2 \"x\": 3,", "t:4:14: not valid JSON: Expected comma".to_owned()),
    ];
    for (replaced, by, expected) in cases {
        let text = text(replaced, by);
        assert_eq!(messages(&[("t", text.as_bytes())]), [expected], "{by}");
    }
}

/// Guards against files with invalid encoding, excessive size, excessive nesting or no value.
#[test]
fn encoding_and_size_are_checked() {
    let good = text("", "");
    let mut latin = good.clone().into_bytes();
    let comment = good.find("A comment").expect("the text has a comment");
    latin[comment] = 0xe9;
    assert_eq!(
        messages(&[("t", &latin)]),
        ["t:11:1: the line is not UTF-8"]
    );
    let marked = [b"\xef\xbb\xbf", good.as_bytes()].concat();
    let expected = "t:1:1: the file starts with a byte order mark, which JSON does not allow";
    assert_eq!(messages(&[("t", &marked)]), [expected]);
    let large = [good.as_bytes(), &vec![b' '; MAX_FILE_BYTES]].concat();
    let expected = "t:1:1: the file is larger than 65536 bytes";
    assert_eq!(messages(&[("t", &large)]), [expected]);
    assert_eq!(messages(&[("t", b"")]), ["t:1:1: the file holds no value"]);
    let deep = "[".repeat(MAX_FILE_BYTES);
    assert_eq!(messages(&[("t", deep.as_bytes())]).len(), 1);
}

/// Guards against work without a declared demand that occupies no slot and therefore fits on any
/// worker.
#[test]
fn work_without_a_demand_uses_one_slot() {
    let teams = teams(&text("\"demand\": { \"accelerators\": 2 },", ""));
    for service in teams[0].services.values() {
        assert_eq!(service.demand.slots, 1);
    }
}

/// Guards against two files that declare the same team, and a key that grants access to two teams.
#[test]
fn teams_and_keys_are_unique() {
    let first = text("", "");
    let renamed = text("quay", "pier");
    let found = messages(&[("a", first.as_bytes()), ("b", first.as_bytes())]);
    assert_eq!(found, ["b:2:3: team: quay is declared in a as well"]);
    let found = messages(&[("a", first.as_bytes()), ("b", renamed.as_bytes())]);
    assert_eq!(found, ["b:3:3: key_sha256: quay in a has the same key"]);
}

/// Guards against validation that stops at the first problem or the first file.
#[test]
fn problems_of_all_files_are_reported_at_once() {
    let first = text("\"weight\": 2", "\"weight\": 0").replace("\"2 h\"", "2");
    let second = text("\"members\"", "\"size\"").replace("200 ms", "0 ms");
    let found = messages(&[
        ("a", first.as_bytes()),
        ("b", b"{"),
        ("c", second.as_bytes()),
    ]);
    let starts = [
        "a:4:3: weight: must not be zero",
        "a:17:7: services.berth-plan.run_time: invalid type: integer `2`",
        "b:1:1: not valid JSON",
        "c:10:41: services.crane-check.run_time: must be positive",
        "c:15:7: services.berth-plan.size: unknown field `size`",
    ];
    assert_eq!(found.len(), starts.len(), "{found:?}");
    for (message, start) in found.iter().zip(starts) {
        assert!(
            message.starts_with(start),
            "{message} does not start with {start}"
        );
    }
}

/// Guards against a change that bypasses the checks of the publishing tool: a daemon must validate
/// it against the teams of the active configuration.
#[test]
fn changes_are_validated_against_the_active_teams() {
    let active = teams(&text("", ""));
    let bounds = CheckBounds::default();
    let pier = &teams(&text("quay", "pier").replace(DIGEST, &DIGEST.replace('0', "1")))[0];
    assert_eq!(
        check_change(&active, std::slice::from_ref(pier), &bounds),
        Ok(())
    );

    let mut bad = pier.clone();
    bad.weight = 0;
    bad.key_sha256 = active[0].key_sha256.clone();
    let found = check_change(&active, &[bad, pier.clone(), pier.clone()], &bounds);
    let found = found.expect_err("the change is bad");
    let fields: Vec<_> = found
        .iter()
        .map(|problem| (problem.field.as_str(), problem.message.as_str()))
        .collect();
    let expected = [
        (
            "key_sha256",
            "quay in the version in force has the same key",
        ),
        ("weight", "must not be zero"),
        ("team", "pier is declared in pier as well"),
    ];
    assert_eq!(fields, expected);
}

/// Guards against a publication that includes unchanged teams, omits a removal or hides a change.
#[test]
fn difference_lists_each_change() {
    let active = teams(&text("", ""));
    assert!(difference(&active, &active).is_empty());

    let desired = teams(&text("\"members\": 4", "\"members\": 8"));
    let change = difference(&active, &desired);
    assert_eq!(change.upsert.len(), 1);
    assert!(change.remove.is_empty());
    let expected = ["~ quay: services.berth-plan.members 4 -> 8"];
    assert_eq!(change.summary(&active), expected);

    let desired = teams(&text("quay", "pier"));
    let change = difference(&active, &desired);
    assert_eq!(change.remove, [TeamName::from("quay")]);
    let expected = ["+ pier: new, 2 services, 1 guarantees", "- quay: removed"];
    assert_eq!(change.summary(&active), expected);
}
