//! Forwards one request to servers, with retries and hedging, until it has its one response.
//!
//! An attempt in progress is not abandoned while its response may still come. If it is overdue, a hedged
//! attempt goes to another server, and the first response is passed on. [`crate::aborts`] lists what may
//! abort an attempt.

use crate::aborts::AbortCause;
use crate::drain::Drain;
use crate::gate::AdmittedRequest;
use crate::messages::{build_client_response, build_server_request, ResponseBody};
use crate::pool::{header_names, AttemptResult, ServerResponse};
use crate::request_state::{Next, Outcome, RequestState};
use crate::servers::Observation;
use crate::shared_state::SharedState;
use crate::Millis;
use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::Response;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// A server chosen for a request. The request already counts as in flight there.
struct ChosenServer {
    id: Rc<str>,
    address: SocketAddr,
}

/// Counts a request as in flight at a server and at its service until dropped.
struct InFlightGuard<'f> {
    shared: &'f SharedState,
    server: Rc<str>,
    service: &'f str,
    target_latency: Millis,
    has_ended: bool,
    /// Counted if the attempt is aborted.
    cause: AbortCause,
}

impl InFlightGuard<'_> {
    /// Records the outcome of an attempt that was not aborted.
    fn end(&mut self, outcome: &Outcome, took: Millis) {
        if *outcome == Outcome::TimedOut {
            self.shared.aborts.count(AbortCause::Deadline);
        }
        let observation = RequestState::observation(outcome, took);
        let fraction_of_target = matches!(observation, Observation::Success(_))
            .then(|| took as f64 / self.target_latency.max(1) as f64);
        self.release(observation, fraction_of_target);
    }

    /// Reports to the server statistics that the response is overdue.
    fn observe_overdue(&self) {
        let now = self.shared.now();
        self.shared.gate.borrow_mut().servers.observe(
            now,
            &self.server,
            Observation::Failed,
            self.target_latency,
        );
    }

    fn release(&mut self, observation: Observation, fraction_of_target: Option<f64>) {
        self.has_ended = true;
        let (gate, now) = (&mut *self.shared.gate.borrow_mut(), self.shared.now());
        gate.servers.end(now, &self.server, observation, self.target_latency);
        gate.concurrency_limits.end(now, self.service, fraction_of_target);
        self.shared.capacity_freed.notify_one();
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.shared.aborts.count(self.cause);
            self.release(Observation::Neutral, None);
        }
    }
}

/// One attempt: the request sent to one server. Dropping it closes the connection to the server.
struct Attempt<'f> {
    exchange: Pin<Box<dyn Future<Output = AttemptResult> + 'f>>,
    guard: InFlightGuard<'f>,
    started_at: Millis,
    is_overdue: bool,
}

/// What a request with attempts in progress waits for.
enum Event {
    /// The attempt at this index has ended.
    AttemptEnded(usize, Outcome, Option<ServerResponse>),
    /// The newest attempt is overdue.
    Overdue,
    /// The process has begun to shut down.
    DrainStarted,
    /// The deadline has passed.
    DeadlineReached,
}

/// A request that is being forwarded.
struct Forwarding<'f> {
    shared: &'f SharedState,
    parts: &'f Parts,
    body: Bytes,
    pass: &'f AdmittedRequest,
    attempt_id: Rc<[u8]>,
    state: RequestState,
    attempts: Vec<Attempt<'f>>,
    overdue_at: Option<Millis>,
    /// A server's error response, passed on if no attempt succeeds.
    failure: Option<ServerResponse>,
}

/// Forwards an admitted request and returns its one response.
pub async fn forward(
    shared: &SharedState,
    parts: &Parts,
    body: Bytes,
    pass: &AdmittedRequest,
) -> Response<ResponseBody> {
    let route = pass.route();
    let state = RequestState {
        repeats: route.retry_safety,
        received_at: shared.now(),
        deadline: pass.deadline,
        target_latency: route.target.as_millis() as Millis,
        attempts: route.attempts,
        tried: Vec::new(),
        may_have_executed: false,
    };
    let attempt_id = parts.headers.get(header_names::ATTEMPT_ID).map_or(&[][..], |id| id.as_bytes()).into();
    let forwarding = Forwarding {
        shared,
        parts,
        body,
        pass,
        attempt_id,
        state,
        attempts: Vec::new(),
        overdue_at: None,
        failure: None,
    };
    forwarding.run().await
}

impl<'f> Forwarding<'f> {
    async fn run(mut self) -> Response<ResponseBody> {
        let Some(server) = self.wait_for_server().await else { return self.final_failure_response() };
        self.shared.gate.borrow_mut().budget.earn(self.shared.now(), &self.pass.service);
        self.start_attempt(server);
        loop {
            match self.next_event().await {
                Event::AttemptEnded(index, outcome, response) => {
                    if let Some(response) = self.on_attempt_ended(index, outcome, response) {
                        return response;
                    }
                }
                Event::Overdue => self.on_overdue(),
                Event::DrainStarted => {}
                Event::DeadlineReached => {
                    self.abort_attempts(self.deadline_cause());
                    return self.final_failure_response();
                }
            }
        }
    }

    /// Chooses the first server; waits a limited time if none has capacity.
    async fn wait_for_server(&mut self) -> Option<ChosenServer> {
        loop {
            if self.shared.now() >= self.state.deadline {
                return None;
            }
            if let Some(chosen) = self.choose_server() {
                return Some(chosen);
            }
            let (now, until) = (self.shared.now(), self.state.queue_until());
            if now >= until {
                return None;
            }
            // A waiter that is woken and still finds no server waits again; the wake-up is not passed on.
            let wait = Duration::from_millis(until - now);
            let _ = tokio::time::timeout(wait, self.shared.capacity_freed.notified()).await;
        }
    }

    /// Chooses a server that has capacity now and has not been tried for this request.
    fn choose_server(&self) -> Option<ChosenServer> {
        let (gate, now) = (&mut *self.shared.gate.borrow_mut(), self.shared.now());
        let service = &self.pass.service;
        if !gate.concurrency_limits.has_capacity(service, self.pass.priority) {
            return None;
        }
        let id = gate.servers.pick(now, service, &self.state.tried)?;
        let address = gate.servers.get(&id).and_then(|server| server.instance.address.parse().ok());
        gate.servers.begin(&id);
        let Some(address) = address else {
            gate.servers.end(now, &id, Observation::Unreachable, self.state.target_latency);
            return None;
        };
        gate.concurrency_limits.begin(service);
        Some(ChosenServer { id, address })
    }

    fn start_attempt(&mut self, server: ChosenServer) {
        let now = self.shared.now();
        let left = self.pass.deadline.saturating_sub(now);
        let request = build_server_request(self.parts, self.body.clone(), self.pass, &server.id, left);
        let (shared, attempt_id, retry_safety) = (self.shared, self.attempt_id.clone(), self.state.repeats);
        let exchange = async move {
            let time = Duration::from_millis(left);
            shared.pool.send(server.address, request, &attempt_id, retry_safety, time).await
        };
        let guard = InFlightGuard {
            shared,
            server: server.id.clone(),
            service: &self.pass.service,
            target_latency: self.state.target_latency,
            has_ended: false,
            cause: AbortCause::ClientGone,
        };
        self.state.tried.push(server.id);
        self.overdue_at = self.state.overdue_at(now);
        let exchange = Box::pin(exchange);
        self.attempts.push(Attempt { exchange, guard, started_at: now, is_overdue: false });
    }

    async fn next_event(&mut self) -> Event {
        let shared = self.shared;
        let drain = shared.drain();
        if let Some(drain) = drain {
            self.limit_deadline(drain);
        }
        let wake_at = self.overdue_at.unwrap_or(self.state.deadline).min(self.state.deadline);
        let is_overdue = wake_at < self.state.deadline;
        let attempts = &mut self.attempts;
        tokio::select! {
            biased;
            (index, (outcome, response)) = poll_fn(|cx| poll_any(attempts, cx)) => {
                Event::AttemptEnded(index, outcome, response)
            }
            () = shared.drain_started(), if drain.is_none() => Event::DrainStarted,
            () = shared.sleep_until(wake_at) => {
                if is_overdue { Event::Overdue } else { Event::DeadlineReached }
            }
        }
    }

    /// Limits the deadline to the end of the drain, and moves the hedged attempt forward accordingly.
    fn limit_deadline(&mut self, drain: Drain) {
        let limit = drain.gives_up_at();
        if limit < self.state.deadline {
            self.state.deadline = limit;
            let overdue_at = self.state.overdue_at(self.shared.now());
            self.overdue_at = self.overdue_at.min(overdue_at);
        }
    }

    /// Whether the request's own deadline or the grace period of the shutdown ends it.
    fn deadline_cause(&self) -> AbortCause {
        let is_set_by_drain = |drain: Drain| self.state.deadline == drain.gives_up_at();
        if self.shared.drain().is_some_and(is_set_by_drain) {
            AbortCause::GracePeriod
        } else {
            AbortCause::Deadline
        }
    }

    /// Handles the end of an attempt; returns the response if the request is finished.
    fn on_attempt_ended(
        &mut self,
        index: usize,
        outcome: Outcome,
        response: Option<ServerResponse>,
    ) -> Option<Response<ResponseBody>> {
        let now = self.shared.now();
        let mut attempt = self.attempts.remove(index);
        attempt.guard.end(&outcome, now - attempt.started_at);
        let (typical, has_budget) = self.typical_time_and_budget(now);
        match self.state.on_outcome(now, &outcome, typical, || has_budget) {
            Next::Send => {
                self.keep_failure(&outcome, response);
                self.start_another_attempt(now);
            }
            Next::Forward if response.is_some() && (self.attempts.is_empty() || !is_failure(&outcome)) => {
                self.abort_attempts(AbortCause::Superseded);
                return response.map(build_client_response);
            }
            Next::Forward | Next::End(_) => self.keep_failure(&outcome, response),
        }
        if self.attempts.is_empty() {
            return Some(self.final_failure_response());
        }
        None
    }

    /// The newest attempt is overdue: starts a hedged attempt if one is allowed and a server has capacity.
    fn on_overdue(&mut self) {
        let now = self.shared.now();
        self.overdue_at = self.state.overdue_at(now);
        if let Some(newest) = self.attempts.last_mut().filter(|attempt| !attempt.is_overdue) {
            newest.is_overdue = true;
            newest.guard.observe_overdue();
        }
        let (typical, has_budget) = self.typical_time_and_budget(now);
        if self.state.should_hedge(now, typical, || has_budget) {
            self.start_another_attempt(now);
        }
    }

    /// Starts another attempt if a server has capacity.
    fn start_another_attempt(&mut self, now: Millis) {
        if let Some(server) = self.choose_server() {
            self.shared.gate.borrow_mut().budget.spend(now, &self.pass.service);
            self.start_attempt(server);
        }
    }

    fn typical_time_and_budget(&self, now: Millis) -> (f64, bool) {
        /// Assumed while no response time of the service is known.
        const DEFAULT_RESPONSE_MS: f64 = 50.0;
        let (gate, service) = (&mut *self.shared.gate.borrow_mut(), &self.pass.service);
        let typical =
            gate.servers.typical_latency(service, self.state.target_latency).unwrap_or(DEFAULT_RESPONSE_MS);
        (typical, gate.budget.has(now, service))
    }

    fn keep_failure(&mut self, outcome: &Outcome, response: Option<ServerResponse>) {
        if matches!(outcome, Outcome::Answer(_)) {
            self.failure = response.or(self.failure.take());
        }
    }

    /// Aborts all attempts in progress.
    fn abort_attempts(&mut self, cause: AbortCause) {
        for mut attempt in self.attempts.drain(..) {
            // The server may have started to execute the request.
            self.state.may_have_executed = true;
            if cause == AbortCause::Deadline && !attempt.is_overdue {
                attempt.guard.observe_overdue();
            }
            attempt.guard.cause = cause;
        }
    }

    /// The final response if no attempt has succeeded.
    fn final_failure_response(&mut self) -> Response<ResponseBody> {
        match self.failure.take() {
            Some(failure) => build_client_response(failure),
            None => {
                let kind = self.state.final_error(self.shared.now());
                self.shared.refuse(kind, Some(self.pass))
            }
        }
    }
}

fn is_failure(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answer(500..))
}

/// Returns the first attempt that has ended, with its index.
fn poll_any(attempts: &mut [Attempt], cx: &mut Context) -> Poll<(usize, AttemptResult)> {
    for (index, attempt) in attempts.iter_mut().enumerate() {
        if let Poll::Ready(sent) = attempt.exchange.as_mut().poll(cx) {
            return Poll::Ready((index, sent));
        }
    }
    Poll::Pending
}
