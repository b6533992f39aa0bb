//! Context of one step of the reducer: the time of the event and the collected effects.

use crate::effect::CallerAnswer;
use crate::effect::ControlEffect;
use crate::effect::LogLevel;
use crate::effect::LogTarget;
use crate::effect::MetricName;
use crate::ids::CallerId;
use crate::kind::ErrorKind;
use crate::kind::FailureReport;
use crate::kind::RunStatus;
use crate::units::ClockTime;

/// The time of the event and the effects that it has produced so far.
#[derive(Debug)]
pub struct StepContext<'a> {
    /// When the control thread received the event, by its own clock.
    pub at: ClockTime,
    effects: &'a mut Vec<ControlEffect>,
}

impl<'a> StepContext<'a> {
    /// Creates the context of one event.
    pub fn new(at: ClockTime, effects: &'a mut Vec<ControlEffect>) -> Self {
        Self { at, effects }
    }

    /// Appends an effect. Effects are executed in the order of the calls.
    pub fn push(&mut self, effect: ControlEffect) {
        self.effects.push(effect);
    }

    /// Sends a response to a caller.
    pub fn reply(&mut self, caller: CallerId, reply: CallerAnswer) {
        self.push(ControlEffect::Reply { caller, reply });
    }

    /// Sends an error to a caller and counts it by its run status.
    pub fn fail(&mut self, caller: CallerId, kind: ErrorKind, detail: impl Into<String>) {
        match kind.response().run {
            RunStatus::NotRun => self.update_metric(MetricName::Refused, 1),
            RunStatus::MayHaveRun => self.update_metric(MetricName::OutcomesUnknown, 1),
            RunStatus::HasRun => {}
        }
        self.reply(
            caller,
            CallerAnswer::Failure(FailureReport::new(kind, detail)),
        );
    }

    /// Adds to a counter or sets a gauge.
    pub fn update_metric(&mut self, metric: MetricName, amount: u64) {
        self.push(ControlEffect::UpdateMetric { metric, amount });
    }

    /// Writes a log line at level info.
    pub fn info(&mut self, target: LogTarget, line: impl Into<String>) {
        self.push(ControlEffect::LogLine {
            target,
            level: LogLevel::Info,
            line: line.into(),
        });
    }

    /// Writes a log line at level warn, for conditions that may need an operator's attention.
    pub fn warn(&mut self, target: LogTarget, line: impl Into<String>) {
        self.push(ControlEffect::LogLine {
            target,
            level: LogLevel::Warn,
            line: line.into(),
        });
    }
}
