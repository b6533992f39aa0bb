//! Checks that the files under `examples` are valid and complete, because users copy them.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;

use indexmap::IndexMap;
use serde_json::Value;

use mustardpath::deployment;
use mustardpath::deployment::DeploymentPlan;
use mustardpath::deployment::DomainPlan;
use mustardpath::tree;
use mustardpath_core::collection::CheckBounds;
use mustardpath_core::collection::SourceFile;
use mustardpath_core::collection::check;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::config::TeamFile;
use mustardpath_core::guarantee::check_guarantees;
use mustardpath_core::ids::TeamName;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::policy::WorkerSlot;
use mustardpath_core::settings;
use mustardpath_core::settings::LimitSettings;
use mustardpath_core::settings::TimingSettings;
use mustardpath_core::worker::VmState;
use mustardpath_core::worker::WorkerInfo;

const DEPLOYMENTS: [&str; 2] = ["thanh-lam", "cordillera"];

fn example_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name)
}

fn read_plan(deployment: &str) -> DeploymentPlan {
    deployment::read(&example_path(deployment).join("deployment.json"))
        .expect("the file can be read")
}

/// Returns the resources available to jobs on a worker of the deployment.
fn offered_resources(plan: &DeploymentPlan) -> ResourceDemand {
    let mut offered = plan.capacity;
    offered.slots -= LimitSettings::default().request_slots;
    offered
}

fn read_teams(deployment: &str) -> IndexMap<TeamName, TeamFile> {
    let files = tree::collect(&example_path(deployment)).expect("the files can be read");
    let sources: Vec<_> = files
        .iter()
        .map(|(name, bytes)| SourceFile { name, bytes })
        .collect();
    let offered = offered_resources(&read_plan(deployment));
    let bounds = CheckBounds::of_workers([&offered], CheckBounds::default().gang_members);
    check(&sources, &bounds).expect("the files have no mistake")
}

/// Guards against team files that fail the checks or whose keys differ from the documented ones.
#[test]
fn team_files_are_valid() {
    for deployment in DEPLOYMENTS {
        let teams = read_teams(deployment);
        assert_eq!(teams.len(), 4, "{deployment}");
        for (name, team) in &teams {
            let key = KeyDigest::of(&format!("{name}-example-key"));
            assert!(team.key_sha256 == key, "{name} has another key");
        }
    }
}

/// Returns the workers of a deployment, all idle.
fn idle_workers(plan: &DeploymentPlan) -> IndexMap<WorkerName, WorkerSlot> {
    let mut workers = IndexMap::new();
    for domain in &plan.domains {
        for (rack, count) in domain.racks.iter().enumerate() {
            for number in 0..*count {
                let slot = idle_worker(plan, domain, rack, number);
                workers.insert(slot.info.worker.clone(), slot);
            }
        }
    }
    workers
}

fn idle_worker(plan: &DeploymentPlan, domain: &DomainPlan, rack: usize, number: u32) -> WorkerSlot {
    let rack = format!("{}-r{rack}", domain.domain);
    WorkerSlot {
        info: WorkerInfo {
            worker: format!("{rack}-w{number}").as_str().into(),
            address: String::new(),
            region: domain.region.clone(),
            domain: domain.domain.clone(),
            rack: rack.as_str().into(),
            capacity: plan.capacity,
            connections: plan.connections,
            state: VmState::Live,
        },
        free: offered_resources(plan),
        offered: offered_resources(plan),
        is_usable: true,
        is_domain_out: false,
    }
}

/// Guards against guarantees that a daemon rejects, or that cannot be met after the loss of one
/// failure domain.
#[test]
fn guarantees_fit_without_any_single_failure_domain() {
    for deployment in DEPLOYMENTS {
        let teams = read_teams(deployment);
        let workers = idle_workers(&read_plan(deployment));
        assert!(workers.len() >= 48, "{deployment} has about 50 workers");
        assert_eq!(check_guarantees(&teams, &workers), Ok(()), "{deployment}");
        let domains: BTreeSet<_> = workers.values().map(|slot| &slot.info.domain).collect();
        assert_eq!(domains.len(), 3);
        for domain in domains {
            let mut remaining = workers.clone();
            remaining.retain(|_, slot| slot.info.domain != *domain);
            assert_eq!(
                check_guarantees(&teams, &remaining),
                Ok(()),
                "{deployment} without {domain}"
            );
        }
        let mut seven_workers = workers.clone();
        seven_workers.truncate(7);
        assert!(
            check_guarantees(&teams, &seven_workers).is_err(),
            "7 workers hold no rack of 8"
        );
    }
}

fn field_names(value: &Value) -> Vec<String> {
    let object = value.as_object().expect("the value is an object");
    object.keys().cloned().collect()
}

/// Guards against example settings that omit a field or show a value other than its default.
#[test]
fn example_settings_show_every_field_and_its_default() {
    let text = fs::read_to_string(example_path("mustardpathd.json")).expect("the file can be read");
    let settings = settings::parse("mustardpathd.json", &text).expect("the file has no mistake");
    assert_eq!(settings.timing, TimingSettings::default());
    assert_eq!(settings.limits, LimitSettings::default());
    let whole = serde_json::to_value(&settings).expect("settings can be encoded");
    let sections = [&whole, &whole["timing"], &whole["limits"]];
    for field in sections.into_iter().flat_map(field_names) {
        assert!(
            text.contains(&format!("\"{field}\": ")),
            "{field} is not shown"
        );
    }
}

/// Guards against a field of team files that has no comment in the example.
#[test]
fn an_example_team_file_documents_every_field() {
    let path = example_path("thanh-lam/services/sand-flow/team.mustardpath.json");
    let text = fs::read_to_string(&path).expect("the file can be read");
    let source = SourceFile {
        name: "sand-flow",
        bytes: text.as_bytes(),
    };
    let teams = check(&[source], &CheckBounds::default()).expect("the file has no mistake");
    let team = serde_json::to_value(&teams[0]).expect("a team file can be encoded");
    let shape = &team["guarantees"][0];
    let service = &team["services"]["dune-analysis"];
    let parts = [&team, shape, &shape["per_worker"], &team["limits"], service];
    let lines: Vec<_> = text.lines().map(str::trim).collect();
    for field in parts.into_iter().flat_map(field_names) {
        let start = format!("\"{field}\": ");
        let is_documented = lines
            .windows(2)
            .any(|pair| pair[0].starts_with("//") && pair[1].starts_with(&start));
        assert!(is_documented, "{field} is not explained");
    }
}
