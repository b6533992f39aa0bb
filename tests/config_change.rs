//! Configuration changes that are sent to a daemon without the publishing tool.

// This test uses only a part of the fixture.
#[allow(dead_code)]
mod scenario;

use crate::scenario::fixture;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::ids::ConfigVersion;
use mustardpath_core::kind::ErrorKind;
use mustardpath_core::units::TimeSpan;

/// Guards against a daemon that applies a change which the checks of the publishing tool reject.
#[test]
fn a_daemon_rejects_an_invalid_change() {
    let mut driver = fixture::start(false);
    let caller = fixture::publish(&mut driver, 1, 0);
    driver.run_for(TimeSpan::from_secs(2));
    let Some((_, CallerAnswer::Failure(report))) = &driver.call(caller).answer else {
        panic!("the change is not refused");
    };
    assert_eq!(report.kind, ErrorKind::BadConfig);
    assert!(
        report.detail.ends_with("weight: must not be zero"),
        "{}",
        report.detail
    );
    assert_eq!(driver.ledger().config.version, ConfigVersion(1));
}
