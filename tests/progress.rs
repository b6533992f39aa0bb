//! Checks that a domain's status estimates the remaining time of a drain, and that a team's status
//! counts guaranteed shapes that do not fit on the workers in service as suspended.

// This test uses only a part of the fixture.
#[allow(dead_code)]
mod scenario;

use crate::scenario::fixture;
use mustardpath_core::config::GuaranteedShape;
use mustardpath_core::config::KeyDigest;
use mustardpath_core::config::ResourceDemand;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::effect::DomainView;
use mustardpath_core::effect::TeamView;
use mustardpath_core::event::CallerCommand;
use mustardpath_core::event::CallerCredential;
use mustardpath_core::event::JobRequest;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::ledger::JobPhase;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::driver::SimDriver;

/// Sends a command of an operator and returns the answer.
fn send_command(driver: &mut SimDriver, command: CallerCommand) -> CallerAnswer {
    let credential = CallerCredential {
        digest: Some(KeyDigest::of("operator key")),
    };
    let caller = driver.send(0, credential, command, b"");
    let is_answered = |driver: &SimDriver| driver.call(caller).answer.is_some();
    assert!(
        driver.run_until(TimeSpan::from_secs(10), is_answered),
        "no answer"
    );
    let answer = driver.call(caller).answer.clone();
    answer.expect("the answer is there").1
}

fn domain_view(driver: &mut SimDriver, name: &str) -> DomainView {
    match send_command(driver, CallerCommand::DomainStatus) {
        CallerAnswer::Domains { domains } => domains
            .into_iter()
            .find(|view| view.domain.as_str() == name)
            .expect("the failure domain is known"),
        answer => panic!("{answer:?}"),
    }
}

fn team_view(driver: &mut SimDriver) -> TeamView {
    match send_command(driver, CallerCommand::TeamStatus) {
        CallerAnswer::Teams { teams } => teams.into_iter().next().expect("there is a team"),
        answer => panic!("{answer:?}"),
    }
}

/// Guards against a drain status without an estimate, or with an estimate that does not follow the
/// running work.
#[test]
fn domain_status_estimates_the_remaining_drain_time() {
    let mut driver = fixture::start(false);
    let submit = CallerCommand::Submit(JobRequest {
        team: fixture::TEAM.into(),
        service: "once".into(),
        key: "once-1".into(),
        members: None,
        run_time: None,
        deadline: None,
        payload: r#"{"run_ms": 8000}"#.into(),
    });
    assert!(matches!(
        send_command(&mut driver, submit),
        CallerAnswer::Job(_)
    ));
    let is_placed = |driver: &SimDriver| driver.ledger().placed_count() == 1;
    assert!(
        driver.run_until(TimeSpan::from_secs(10), is_placed),
        "not placed"
    );
    let job = driver.ledger().placed().next().expect("one job is placed");
    let JobPhase::Placed { workers, .. } = &driver.ledger().jobs[&job].phase else {
        panic!("the job is placed");
    };
    let state = driver.state(0).expect("the daemon is up");
    let name = state.members.workers[&workers[0]].info.domain.to_string();

    assert_eq!(domain_view(&mut driver, &name).empty_in, None);
    fixture::set_domain(&mut driver, &name, true);
    driver.run_for(TimeSpan::from_secs(1));
    let view = domain_view(&mut driver, &name);
    assert_eq!(view.tasks, 1);
    let remaining = view.empty_in.expect("an estimate").0;
    assert!(
        (4_000..8_000).contains(&remaining),
        "{remaining} ms of 8 s are left"
    );
    let is_empty = |driver: &SimDriver| driver.ledger().placed_count() == 0;
    assert!(
        driver.run_until(TimeSpan::from_secs(20), is_empty),
        "not empty"
    );
    assert_eq!(domain_view(&mut driver, &name).empty_in, Some(TimeSpan(0)));
}

/// Guards against a guarantee that is reported as met although it does not fit on the workers in
/// service.
#[test]
fn an_unsatisfiable_guarantee_is_shown_as_suspended() {
    let mut driver = fixture::start(false);
    let mut team_file = fixture::team_file(2);
    team_file.guarantees.push(GuaranteedShape {
        workers: 6,
        per_worker: ResourceDemand {
            accelerators: 8,
            ..ResourceDemand::one_slot()
        },
        same_rack: false,
        count: 1,
    });
    let publish = CallerCommand::ConfigPublish {
        base: ConfigVersion(1),
        upsert: vec![team_file],
        remove: Vec::new(),
        operator: "linh".to_owned(),
    };
    let answer = send_command(&mut driver, publish);
    assert!(
        matches!(answer, CallerAnswer::Published { .. }),
        "{answer:?}"
    );
    assert_eq!(team_view(&mut driver).suspended_shapes, 0);
    fixture::set_domain(&mut driver, "sg-a", true);
    driver.run_for(TimeSpan::from_secs(2));
    assert_eq!(
        team_view(&mut driver).suspended_shapes,
        1,
        "5 of 8 workers are in service"
    );
    fixture::set_domain(&mut driver, "sg-a", false);
    driver.run_for(TimeSpan::from_secs(2));
    assert_eq!(team_view(&mut driver).suspended_shapes, 0);
}
