//! The recipe "From a request to its cause" of `docs/OPERATIONS.md`, applied to logs of the
//! stand-ins.

// Each test program uses some of the shared parts.
#[allow(dead_code)]
mod simulations;

use mustardpath_core::batch::job::JobKey;
use mustardpath_core::batch::job::JobPhase;
use mustardpath_core::units::TimeSpan;
use mustardpath_standin::batch::simulation::BatchSimulation;
use mustardpath_standin::batch::simulation::MAX_ATTEMPTS;

/// Returns the log lines that contain a job's key, as the first command of the recipe prints them.
fn lines_of(simulation: &BatchSimulation, job: JobKey) -> Vec<&str> {
    let lines = simulation.trace.as_deref().unwrap_or_default().iter();
    let id = job.text();
    lines
        .filter(|line| line.contains(&id))
        .map(String::as_str)
        .collect()
}

/// Returns the number after `name=` in a line. Panics if there is none.
fn field(line: &str, name: &str) -> u64 {
    let value = line.split_once(&format!("{name}=")).map(|(_, rest)| rest);
    let value = value.and_then(|rest| rest.split(' ').next()?.parse().ok());
    value.unwrap_or_else(|| panic!("no {name} in {line:?}"))
}

/// Returns the first line that contains the text. Panics if there is none.
fn line_with<'a>(lines: &[&'a str], text: &str) -> &'a str {
    let line = lines.iter().find(|line| line.contains(text));
    line.unwrap_or_else(|| panic!("no {text:?} in {lines:#?}"))
}

/// Guards against a refused submission whose log lines do not lead to the unreachable store.
#[test]
fn a_rejected_submission_leads_to_the_store() {
    let mut simulation = simulations::simulation(1, 3, 4);
    simulation.trace = Some(Vec::new());
    simulation.faults.partitioned_daemons.insert(1);
    // The configuration stays valid for 0.8 of the 5 s in which a revoked key must stop working.
    simulation.advance(TimeSpan(4_500));
    let job = simulations::key(1);
    simulation.submit(1, job, simulations::job(vec![simulations::step(1, 1)]));
    simulation.advance(TimeSpan(100));
    let lines = lines_of(&simulation, job);
    let refused = line_with(&lines, "outcome=refused");
    assert!(refused.contains(" d1 request: "), "{refused}");
    assert!(refused.contains("kind=NotReady"), "{refused}");
    let all = simulation.trace.as_deref().unwrap_or_default();
    let cause = all
        .iter()
        .any(|line| line.contains(" d1 log: ") && line.contains("out of reach"));
    assert!(cause, "{all:#?}");
}

/// Guards against a delayed job whose log lines do not lead to the takeover for which it waited.
#[test]
fn a_late_job_leads_to_a_takeover() {
    let mut simulation = simulations::simulation(2, 3, 4);
    simulation.trace = Some(Vec::new());
    let planner = simulation.planner().expect("a planner");
    simulation.kill(planner);
    let job = simulations::key(1);
    let other = (planner + 1) % simulation.daemon_count();
    simulation.submit(other, job, simulations::job(vec![simulations::step(1, 1)]));
    simulation.advance(TimeSpan(6_000));
    let lines = lines_of(&simulation, job);
    let placed = line_with(&lines, "outcome=placed");
    assert!(field(placed, "waited_ms") > 500, "{placed}");
    line_with(&lines, "outcome=started");
    line_with(&lines, "ending=Done");
    let completed = line_with(&lines, "outcome=Completed");
    assert!(field(completed, "after_ms") > 1_500, "{completed}");
    let all = simulation.trace.as_deref().unwrap_or_default();
    let takeover = all.iter().find(|line| line.contains("outcome=adopting"));
    let takeover = takeover.unwrap_or_else(|| panic!("no takeover in {all:#?}"));
    assert!(field(takeover, "term") > 1, "{takeover}");
}

/// Guards against a failed job whose log lines do not name the failed attempts and their workers.
#[test]
fn a_failed_job_leads_to_its_attempts() {
    let mut simulation = simulations::simulation(3, 3, 4);
    simulation.trace = Some(Vec::new());
    let job = simulations::key(1);
    simulation.job_behavior.insert(job, (TimeSpan(300), true));
    simulation.submit(0, job, simulations::job(vec![simulations::step(1, 1)]));
    simulation.advance(TimeSpan(10_000));
    assert_eq!(simulation.phase(job), Some(JobPhase::Failed));
    let lines = lines_of(&simulation, job);
    let failed = lines.iter().filter(|line| line.contains("ending=Failed"));
    assert_eq!(failed.count(), MAX_ATTEMPTS as usize, "{lines:#?}");
    line_with(&lines, "outcome=Failed");
}
