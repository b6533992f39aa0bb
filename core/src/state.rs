//! The whole state of one daemon.

use crate::settings::DaemonSettings;

/// The state that the control thread owns.
#[derive(Clone, Debug)]
pub struct DaemonState {
    /// The daemon's settings.
    pub settings: DaemonSettings,
}

impl DaemonState {
    /// Creates the state of a process that has just started.
    ///
    /// `incarnation` is a random number that no earlier process of the daemon used.
    #[must_use]
    pub fn new(settings: DaemonSettings, incarnation: u64) -> Self {
        let _ = incarnation;
        Self { settings }
    }
}
