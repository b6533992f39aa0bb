//! Simulated connections from the daemons to workers and endpoints.

use crate::delivery::CallOrigin;
use crate::delivery::Delivery;
use crate::delivery::EndpointCall;
use crate::driver::SimDriver;
use crate::endpoint::EndpointReply;
use crate::endpoint::EndpointRequest;
use crate::endpoint::answer_to;
use mustardpath_core::effect::CallerAnswer;
use mustardpath_core::event::CallOutcome;
use mustardpath_core::event::EndpointOutcome;
use mustardpath_core::event::EventInput;
use mustardpath_core::ids::CallId;
use mustardpath_core::ids::CallerId;
use mustardpath_core::ids::RequestId;
use mustardpath_core::ids::WorkerName;
use mustardpath_core::units::ClockTime;
use mustardpath_core::units::TimeSpan;
use mustardpath_core::worker::WorkerCommand;

impl SimDriver {
    pub(crate) fn send_command(
        &mut self,
        origin: CallOrigin,
        call: CallId,
        worker: WorkerName,
        command: WorkerCommand,
        timeout: TimeSpan,
    ) {
        let daemon = origin.daemon;
        self.record_trace(|| format!("{daemon} call {call} to {worker}: {command:?}"));
        let region = self.workers[&worker].info().region.clone();
        let daemon_region = self.region(daemon);
        let failed = |outcome| EventInput::WorkerCallCompleted {
            call,
            worker: worker.clone(),
            outcome,
        };
        if !self.can_reach(&daemon_region, &region) {
            return self.schedule_answer(origin, timeout, failed(CallOutcome::Undelivered));
        }
        if self.take_silent_link(daemon, worker.as_str()) {
            return self.schedule_answer(origin, timeout, failed(CallOutcome::Unknown));
        }
        let delay = self.random_delay(&daemon_region, &region) + self.network.command_delay;
        if delay > timeout {
            // The call times out first; the command still arrives and is executed.
            self.schedule_answer(origin, timeout, failed(CallOutcome::Unknown));
        }
        let delivery = Delivery::WorkerCommand {
            origin,
            call,
            worker,
            command,
            timeout,
        };
        self.schedule(delay, delivery);
    }

    pub(crate) fn deliver_command(
        &mut self,
        origin: CallOrigin,
        call: CallId,
        worker: &WorkerName,
        command: WorkerCommand,
        timeout: TimeSpan,
    ) {
        let fault = self.workers[worker].fault();
        let answer = |outcome| EventInput::WorkerCallCompleted {
            call,
            worker: worker.clone(),
            outcome,
        };
        let has_timed_out = self.now().since(origin.sent_at) > timeout;
        if fault.dead {
            if !has_timed_out {
                self.schedule_answer_at_timeout(origin, timeout, answer(CallOutcome::Undelivered));
            }
            return;
        }
        if fault.paused {
            self.buffered_commands.push((worker.clone(), command));
            if has_timed_out {
                return;
            }
            return self.schedule_answer_at_timeout(origin, timeout, answer(CallOutcome::Unknown));
        }
        let now = self.now();
        let reply = self.workers[worker].apply(now, &command);
        self.record_trace(|| format!("{worker} reply to call {call}: {reply:?}"));
        self.advance_worker(worker);
        if has_timed_out {
            return;
        }
        let region = self.workers[worker].info().region.clone();
        let return_delay = self.random_delay(&region, &self.region(origin.daemon)) + fault.slow;
        let is_late = (self.now() + return_delay).since(origin.sent_at) > timeout;
        if fault.loses_answers || is_late {
            return self.schedule_answer_at_timeout(origin, timeout, answer(CallOutcome::Unknown));
        }
        self.schedule_answer(origin, return_delay, answer(CallOutcome::Reply { reply }));
    }

    /// Executes the commands that a worker received while it was paused.
    pub(crate) fn apply_buffered_commands(&mut self, worker: &WorkerName) {
        let now = self.now();
        let (daemon_region, others) = std::mem::take(&mut self.buffered_commands)
            .into_iter()
            .partition::<Vec<_>, _>(|(name, _)| name == worker);
        self.buffered_commands = others;
        for (_, command) in daemon_region {
            self.workers[worker].apply(now, &command);
        }
    }

    /// Advances a worker to the current time, pushes its ended tasks to a daemon and schedules the
    /// next wakeup.
    pub(crate) fn advance_worker(&mut self, worker: &WorkerName) {
        let now = self.now();
        let model = &mut self.workers[worker];
        let ended = model.advance(now);
        let events = model.take_events();
        let next = model.next_change();
        let report_to = model.report_to().map(str::to_owned);
        let region = model.info().region.clone();
        let loses_answers = model.fault().loses_answers;
        self.checker.record_events(worker, events);
        self.schedule_wakeup(worker, next);
        let daemon = self.processes.iter().position(|process| {
            Some(process.settings.caller_address.as_str()) == report_to.as_deref()
        });
        let Some(daemon) = daemon.filter(|_| !ended.is_empty() && !loses_answers) else {
            return;
        };
        let daemon_region = self.region(daemon);
        if self.can_reach(&region, &daemon_region) {
            let delay = self.random_delay(&region, &daemon_region);
            let report = EventInput::WorkerReport {
                worker: worker.clone(),
                tasks: ended,
            };
            self.schedule_event(daemon, delay, report);
        }
    }

    /// Schedules a wakeup at the worker's next change, unless an earlier one is scheduled.
    fn schedule_wakeup(&mut self, worker: &WorkerName, next: Option<ClockTime>) {
        let Some(at) = next else {
            return;
        };
        if self.wakeups.get(worker).is_none_or(|planned| *planned > at) {
            self.wakeups.insert(worker.clone(), at);
            let delay = at.since(self.now());
            self.schedule(delay, Delivery::Wakeup(worker.clone()));
        }
    }

    fn endpoint_request_id(&self, origin: CallOrigin, request: RequestId) -> String {
        let name = &self.processes[origin.daemon].settings.daemon;
        format!("{name}-{}-{request}", origin.incarnation)
    }

    pub(crate) fn send_request(&mut self, origin: CallOrigin, call: EndpointCall) {
        let daemon = origin.daemon;
        self.record_trace(|| format!("{daemon} request {call:?}"));
        let region = self.workers[&call.worker].info().region.clone();
        let daemon_region = self.region(daemon);
        let failed = |outcome| EventInput::EndpointCallCompleted {
            request: call.request,
            attempt: call.attempt,
            outcome,
        };
        if !self.can_reach(&daemon_region, &region) {
            return self.schedule_answer(
                origin,
                call.timeout,
                failed(EndpointOutcome::Undelivered),
            );
        }
        if self.take_silent_link(daemon, call.worker.as_str()) {
            return self.schedule_answer(origin, call.timeout, failed(EndpointOutcome::Unknown));
        }
        let delay = self.random_delay(&daemon_region, &region);
        self.schedule(delay, Delivery::SendRequest(origin, call));
    }

    pub(crate) fn deliver_request(&mut self, origin: CallOrigin, call: &EndpointCall) {
        let fault = self.workers[&call.worker].fault();
        let answer = |outcome| EventInput::EndpointCallCompleted {
            request: call.request,
            attempt: call.attempt,
            outcome,
        };
        if fault.dead {
            return self.schedule_answer_at_timeout(
                origin,
                call.timeout,
                answer(EndpointOutcome::Undelivered),
            );
        }
        if fault.paused {
            return self.schedule_answer_at_timeout(
                origin,
                call.timeout,
                answer(EndpointOutcome::Unknown),
            );
        }
        let now = self.now();
        let id = self.endpoint_request_id(origin, call.request);
        let key = self.request_key(call.caller);
        let body = self.calls.get(&call.caller).map(|sent| sent.body.clone());
        let body = body.unwrap_or_default();
        let request = EndpointRequest {
            id: &id,
            attempt: call.attempt,
            key: key.as_ref(),
            body: &body,
        };
        let reply = self.workers[&call.worker].answer_request(now, &request);
        self.advance_worker(&call.worker);
        self.answer_request(origin, call, reply);
    }

    fn answer_request(&mut self, origin: CallOrigin, call: &EndpointCall, reply: EndpointReply) {
        let fault = self.workers[&call.worker].fault();
        let region = self.workers[&call.worker].info().region.clone();
        let return_delay = self.random_delay(&region, &self.region(origin.daemon)) + fault.slow;
        let (outcome, delay) = match reply {
            EndpointReply::Refused => (EndpointOutcome::Refused, return_delay),
            EndpointReply::Answered {
                status,
                body,
                takes,
            } => {
                let outcome = EndpointOutcome::Answered {
                    status,
                    length: body.len() as u64,
                    kept_body: String::from_utf8(body.clone()).ok(),
                };
                let key = (origin.daemon, call.request.0, call.attempt);
                self.answer_bodies.insert(key, body);
                (outcome, return_delay + takes)
            }
        };
        let is_late = (self.now() + delay).since(origin.sent_at) > call.timeout;
        let answer = |outcome| EventInput::EndpointCallCompleted {
            request: call.request,
            attempt: call.attempt,
            outcome,
        };
        if fault.loses_answers || is_late {
            return self.schedule_answer_at_timeout(
                origin,
                call.timeout,
                answer(EndpointOutcome::Unknown),
            );
        }
        self.schedule_answer(origin, delay, answer(outcome));
    }

    pub(crate) fn send_cancel(
        &mut self,
        origin: CallOrigin,
        request: RequestId,
        attempt: u32,
        address: &str,
    ) {
        let mut models = self.workers.values();
        let Some(model) = models.find(|model| model.info().address == address) else {
            return;
        };
        let info = model.info().clone();
        let daemon_region = self.region(origin.daemon);
        if self.can_reach(&daemon_region, &info.region) {
            let id = self.endpoint_request_id(origin, request);
            let delay = self.random_delay(&daemon_region, &info.region);
            let cancel = Delivery::CancelRequest {
                worker: info.worker,
                id,
                attempt,
            };
            self.schedule(delay, cancel);
        }
    }

    pub(crate) fn record_reply(&mut self, daemon: usize, caller: CallerId, reply: CallerAnswer) {
        self.record_trace(|| format!("{daemon} reply to {caller}: {reply:?}"));
        let now = self.now();
        if let CallerAnswer::Endpoint { request, attempt } = &reply {
            let got = self.answer_body(daemon, request.0, *attempt);
            let got = got.unwrap_or_default().to_vec();
            let expected = answer_to(&self.calls[&caller].body);
            let key = self.request_key(caller).unwrap_or_else(|| "none".into());
            self.checker.check_answer(&key, &expected, &got);
        }
        if let Some(call) = self.calls.get_mut(&caller) {
            call.answer.get_or_insert((now, reply));
        }
    }
}
