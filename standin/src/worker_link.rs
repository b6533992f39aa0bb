//! The links from daemons to workers and endpoints.

use crate::delivery::Delivery;
use crate::delivery::Origin;
use crate::delivery::RequestCall;
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
        origin: Origin,
        call: CallId,
        worker: WorkerName,
        command: WorkerCommand,
        timeout: TimeSpan,
    ) {
        let daemon = origin.daemon;
        self.note(|| format!("{daemon} call {call} to {worker}: {command:?}"));
        let region = self.workers[&worker].info().region.clone();
        let own = self.region(daemon);
        let lost = |outcome| EventInput::WorkerCallCompleted {
            call,
            worker: worker.clone(),
            outcome,
        };
        if !self.reaches(&own, &region) {
            return self.answer(origin, timeout, lost(CallOutcome::Undelivered));
        }
        if self.take_silence(daemon, worker.as_str()) {
            return self.answer(origin, timeout, lost(CallOutcome::Unknown));
        }
        let delay = self.delay(&own, &region) + self.network.command_delay;
        if delay > timeout {
            // The caller gives up at its timeout; the command still arrives and is carried out.
            self.answer(origin, timeout, lost(CallOutcome::Unknown));
        }
        let delivery = Delivery::Command {
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
        origin: Origin,
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
        let given_up = self.now().since(origin.sent) > timeout;
        if fault.dead {
            if !given_up {
                self.answer_at(origin, timeout, answer(CallOutcome::Undelivered));
            }
            return;
        }
        if fault.paused {
            self.late_commands.push((worker.clone(), command));
            if given_up {
                return;
            }
            return self.answer_at(origin, timeout, answer(CallOutcome::Unknown));
        }
        let now = self.now();
        let reply = self.workers[worker].apply(now, &command);
        self.note(|| format!("{worker} reply to call {call}: {reply:?}"));
        self.touch_worker(worker);
        if given_up {
            return;
        }
        let region = self.workers[worker].info().region.clone();
        let back = self.delay(&region, &self.region(origin.daemon)) + fault.slow;
        let late = (self.now() + back).since(origin.sent) > timeout;
        if fault.loses_answers || late {
            return self.answer_at(origin, timeout, answer(CallOutcome::Unknown));
        }
        self.answer(origin, back, answer(CallOutcome::Reply { reply }));
    }

    /// Carries out commands that a paused worker had taken in.
    pub(crate) fn deliver_late_commands(&mut self, worker: &WorkerName) {
        let now = self.now();
        let (own, others) = std::mem::take(&mut self.late_commands)
            .into_iter()
            .partition::<Vec<_>, _>(|(name, _)| name == worker);
        self.late_commands = others;
        for (_, command) in own {
            self.workers[worker].apply(now, &command);
        }
    }

    /// Advances a worker, pushes its ended tasks and notes when it changes next.
    pub(crate) fn touch_worker(&mut self, worker: &WorkerName) {
        let now = self.now();
        let model = &mut self.workers[worker];
        let ended = model.advance(now);
        let facts = model.take_facts();
        let next = model.next_change();
        let target = model.report_to().map(str::to_owned);
        let region = model.info().region.clone();
        let loses = model.fault().loses_answers;
        self.checker.observe(worker, facts);
        self.plan_wake(worker, next);
        let daemon = self.processes.iter().position(|process| {
            Some(process.settings.caller_address.as_str()) == target.as_deref()
        });
        let Some(daemon) = daemon.filter(|_| !ended.is_empty() && !loses) else {
            return;
        };
        let own = self.region(daemon);
        if self.reaches(&region, &own) {
            let delay = self.delay(&region, &own);
            let report = EventInput::WorkerReport {
                worker: worker.clone(),
                tasks: ended,
            };
            self.post(daemon, delay, report);
        }
    }

    /// Schedules a visit at the worker's next change, unless one comes before it.
    fn plan_wake(&mut self, worker: &WorkerName, next: Option<ClockTime>) {
        let Some(at) = next else {
            return;
        };
        if self.wakes.get(worker).is_none_or(|planned| *planned > at) {
            self.wakes.insert(worker.clone(), at);
            let delay = at.since(self.now());
            self.schedule(delay, Delivery::Wake(worker.clone()));
        }
    }

    fn wire_id(&self, origin: Origin, request: RequestId) -> String {
        let name = &self.processes[origin.daemon].settings.daemon;
        format!("{name}-{}-{request}", origin.incarnation)
    }

    pub(crate) fn send_request(&mut self, origin: Origin, call: RequestCall) {
        let daemon = origin.daemon;
        self.note(|| format!("{daemon} request {call:?}"));
        let region = self.workers[&call.worker].info().region.clone();
        let own = self.region(daemon);
        let lost = |outcome| EventInput::EndpointCallCompleted {
            request: call.request,
            attempt: call.attempt,
            outcome,
        };
        if !self.reaches(&own, &region) {
            return self.answer(origin, call.timeout, lost(EndpointOutcome::Undelivered));
        }
        if self.take_silence(daemon, call.worker.as_str()) {
            return self.answer(origin, call.timeout, lost(EndpointOutcome::Unknown));
        }
        let delay = self.delay(&own, &region);
        self.schedule(delay, Delivery::Request(origin, call));
    }

    pub(crate) fn deliver_request(&mut self, origin: Origin, call: &RequestCall) {
        let fault = self.workers[&call.worker].fault();
        let answer = |outcome| EventInput::EndpointCallCompleted {
            request: call.request,
            attempt: call.attempt,
            outcome,
        };
        if fault.dead {
            return self.answer_at(origin, call.timeout, answer(EndpointOutcome::Undelivered));
        }
        if fault.paused {
            return self.answer_at(origin, call.timeout, answer(EndpointOutcome::Unknown));
        }
        let now = self.now();
        let id = self.wire_id(origin, call.request);
        let key = self.key_of(call.caller);
        let body = self.calls.get(&call.caller).map(|sent| sent.body.clone());
        let body = body.unwrap_or_default();
        let request = EndpointRequest {
            id: &id,
            attempt: call.attempt,
            key: key.as_ref(),
            body: &body,
        };
        let reply = self.workers[&call.worker].answer_request(now, &request);
        self.touch_worker(&call.worker);
        self.answer_request(origin, call, reply);
    }

    fn answer_request(&mut self, origin: Origin, call: &RequestCall, reply: EndpointReply) {
        let fault = self.workers[&call.worker].fault();
        let region = self.workers[&call.worker].info().region.clone();
        let back = self.delay(&region, &self.region(origin.daemon)) + fault.slow;
        let (outcome, delay) = match reply {
            EndpointReply::Refused => (EndpointOutcome::Refused, back),
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
                self.answers.insert(key, body);
                (outcome, back + takes)
            }
        };
        let late = (self.now() + delay).since(origin.sent) > call.timeout;
        let answer = |outcome| EventInput::EndpointCallCompleted {
            request: call.request,
            attempt: call.attempt,
            outcome,
        };
        if fault.loses_answers || late {
            return self.answer_at(origin, call.timeout, answer(EndpointOutcome::Unknown));
        }
        self.answer(origin, delay, answer(outcome));
    }

    pub(crate) fn send_cancel(
        &mut self,
        origin: Origin,
        request: RequestId,
        attempt: u32,
        address: &str,
    ) {
        let mut models = self.workers.values();
        let Some(model) = models.find(|model| model.info().address == address) else {
            return;
        };
        let info = model.info().clone();
        let own = self.region(origin.daemon);
        if self.reaches(&own, &info.region) {
            let id = self.wire_id(origin, request);
            let delay = self.delay(&own, &info.region);
            let cancel = Delivery::Cancel {
                worker: info.worker,
                id,
                attempt,
            };
            self.schedule(delay, cancel);
        }
    }

    pub(crate) fn take_reply(&mut self, daemon: usize, caller: CallerId, reply: CallerAnswer) {
        self.note(|| format!("{daemon} reply to {caller}: {reply:?}"));
        let now = self.now();
        if let CallerAnswer::Endpoint { request, attempt } = &reply {
            let got = self.answer_body(daemon, request.0, *attempt);
            let got = got.unwrap_or_default().to_vec();
            let expected = answer_to(&self.calls[&caller].body);
            let key = self.key_of(caller).unwrap_or_else(|| "none".into());
            self.checker.compare_answer(&key, &expected, &got);
        }
        if let Some(call) = self.calls.get_mut(&caller) {
            call.answer.get_or_insert((now, reply));
        }
    }
}
