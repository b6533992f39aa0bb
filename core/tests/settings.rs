//! Validation of settings files.

use mustardpath_core::settings;
use mustardpath_core::units::ByteCount;
use mustardpath_core::units::TimeSpan;

const DIGEST: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

/// Returns valid settings with one substring replaced.
fn text(replaced: &str, by: &str) -> String {
    let whole = format!(
        r#"{{
  // A comment.
  "daemon": "sg-a-1",
  "region": "south",
  "domain": "sg-a",
  "caller_address": "10.0.0.7:4100",
  "peer_address": "10.0.0.7:4101",
  "log_address": "10.0.0.8:4200",
  "vms_address": "10.0.0.8:4300",
  "operator_key_sha256": "{DIGEST}",
  "timing": {{ "lease": "60 s" }},
  "limits": {{ "body": "2 MiB" }},
}}
"#
    );
    assert!(whole.contains(replaced), "{replaced} is not in the text");
    whole.replace(replaced, by)
}

fn problems(replaced: &str, by: &str) -> Vec<String> {
    let text = text(replaced, by);
    let problems = settings::parse("d.json", &text).expect_err("the file is bad");
    problems.iter().map(ToString::to_string).collect()
}

/// Guards against defaults that are lost when a file sets one field of a section.
#[test]
fn omitted_fields_have_default_values() {
    let settings = settings::parse("d.json", &text("", "")).expect("the file is good");
    assert_eq!(settings.timing.lease, TimeSpan::from_secs(60));
    assert_eq!(settings.timing.term, TimeSpan::from_secs(6));
    assert_eq!(settings.limits.body, ByteCount(2 << 20));
    assert_eq!(settings.limits.gang_members, 64);
}

/// Guards against problems that pass validation or are reported at the wrong position.
#[test]
fn each_problem_names_file_line_and_field() {
    let spans = "not one of d, h, min, s, ms; an example is \"45 s\"";
    let cases = [
        ("\"2 MiB\"", "\"2 MB\"", "d.json:12:15: limits.body: unit \"MB\" is not one of GiB, MiB, KiB, B; an example is \"128 MiB\"".to_owned()),
        ("\"60 s\"", "\"60 sec\"", format!("d.json:11:15: timing.lease: unit \"sec\" is {spans}")),
        ("\"60 s\"", "60", "d.json:11:15: timing.lease: invalid type: integer `60`, expected a string".to_owned()),
        ("\"60 s\" }", "\"60 s\", \"log_wait\": \"1 s\" }", "d.json:11:32: timing.log_wait: 1 s is above a third of freshness (2 s): an idle log would count as unreachable".to_owned()),
        ("10.0.0.7:4101", "10.0.0.7:4100", "d.json:7:3: peer_address: 10.0.0.7:4100 is the address of caller_address as well".to_owned()),
        ("10.0.0.8:4300", "vms:4300", "d.json:9:3: vms_address: \"vms:4300\" is not an IP address and port such as \"10.0.0.7:4100\"".to_owned()),
        ("10.0.0.8:4300", "10.0.0.8:0", "d.json:9:3: vms_address: port 0 cannot be connected to".to_owned()),
        (DIGEST, "abc", "d.json:10:3: operator_key_sha256: a SHA-256 digest is 64 hexadecimal digits in lower case".to_owned()),
        ("\"sg-a-1\"", "\"SG a\"", "d.json:3:3: daemon: \"SG a\" is not a name: lower-case letters, digits and '-' between them".to_owned()),
        ("\"sg-a-1\"", "\"\"", "d.json:3:3: daemon: a name must not be empty".to_owned()),
        ("  \"region\": \"south\",\n", "", "d.json:1:1: region: missing field `region`".to_owned()),
        ("\"lease\": \"60 s\"", "\"lease_renewal\": \"45 s\"", "d.json:11:15: timing.lease_renewal: 45 s is not below lease (45 s): leases would end between renewals".to_owned()),
        ("\"lease\": \"60 s\"", "\"term_renewal\": \"7 s\"", "d.json:11:15: timing.term_renewal: 7 s is not below term (6 s): the term would end between renewals".to_owned()),
        ("\"lease\": \"60 s\"", "\"freshness\": \"0 s\"", "d.json:11:15: timing.freshness: must not be zero".to_owned()),
        ("\"lease\": \"60 s\"", "\"log_retry\": \"0 ms\"", "d.json:11:15: timing.log_retry: must not be zero".to_owned()),
        ("\"body\": \"2 MiB\"", "\"open_requests\": 0", "d.json:12:15: limits.open_requests: must not be zero".to_owned()),
        ("\"body\": \"2 MiB\"", "\"kept_answer\": \"0 KiB\"", "d.json:12:15: limits.kept_answer: must not be zero".to_owned()),
        ("\"body\": \"2 MiB\"", "\"gang_members\": 65", "d.json:12:15: limits.gang_members: 65 is above 64".to_owned()),
        ("\"body\": \"2 MiB\"", "\"retry_percent\": 101", "d.json:12:15: limits.retry_percent: 101 is above 100".to_owned()),
        ("\"body\": \"2 MiB\"", "\"batch_records\": 5000", "d.json:12:15: limits.batch_records: 5000 is above outbox_records (4096): a batch could never fill".to_owned()),
        ("\"body\": \"2 MiB\"", "\"body\": \"2 MiB\", \"body\": \"3 MiB\"", "d.json:12:32: limits.body: the field is given twice".to_owned()),
        ("\"timing\":", "\"timing\"", "d.json:11:12: not valid JSON: Expected colon after the string or word in object property".to_owned()),
    ];
    for (replaced, by, expected) in cases {
        assert_eq!(problems(replaced, by), [expected], "{by}");
    }
}

/// Guards against a misspelt field that is silently ignored in favour of the default.
#[test]
fn unknown_fields_are_refused() {
    let found = problems("\"body\": \"2 MiB\"", "\"bodies\": \"2 MiB\"");
    assert_eq!(found.len(), 1);
    let expected = "d.json:12:15: limits.bodies: unknown field `bodies`, expected one of";
    assert!(found[0].starts_with(expected), "{found:?}");
}

/// Guards against validation that stops at the first problem of a file.
#[test]
fn all_problems_are_reported_at_once() {
    let text = r#"{
  "deamon": "sg-a-1",
  "region": 7,
  "domain": "sg-a",
  "caller_address": "10.0.0.7",
  "log_address": "10.0.0.8:4200",
  "vms_address": "10.0.0.8:4200",
  "policy": "newest_first",
  "timing": { "lease": "1 week", "lease_renewal": "2 h", "term": "1 s" },
  "limits": { "waiting_jobs": -1, "call_threads": 0 }
}"#;
    let problems = settings::parse("d.json", text).expect_err("the file is bad");
    let found: Vec<_> = problems
        .iter()
        .map(|problem| (problem.line, problem.field.as_str()))
        .collect();
    let expected = [
        (1, "daemon"),
        (1, "operator_key_sha256"),
        (1, "peer_address"),
        (2, "deamon"),
        (3, "region"),
        (5, "caller_address"),
        (7, "vms_address"),
        (8, "policy"),
        (9, "timing.term_renewal"),
        (9, "timing.lease"),
        (10, "limits.waiting_jobs"),
        (10, "limits.call_threads"),
    ];
    for entry in expected {
        assert!(found.contains(&entry), "{entry:?} is not in {found:?}");
    }
    assert_eq!(found.len(), expected.len(), "{found:?}");
}
