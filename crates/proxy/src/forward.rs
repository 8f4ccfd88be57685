//! Sends one request to servers until it has its one answer.
//!
//! A server that is at work is not given up while its answer may still come: where it is overdue, another one is asked
//! beside it, and the first answer is passed on. See [`crate::break_offs`] for what may end an attempt early.

use crate::break_offs::BreakOff;
use crate::drain::Drain;
use crate::front::Front;
use crate::gate::Pass;
use crate::messages::{forwarded, passed_on, ResponseBody};
use crate::pool::{names, Answer, Attempt as Sent};
use crate::request_state::{Next, Outcome, RequestState};
use crate::servers::Sign;
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

/// A server that was chosen for a request, and counts it as under way.
struct Chosen {
    id: Rc<str>,
    address: SocketAddr,
}

/// A request's place at a server, given back when dropped.
struct Placement<'f> {
    front: &'f Front,
    server: Rc<str>,
    service: &'f str,
    aim: Millis,
    has_ended: bool,
    /// Counted if the request is broken off here.
    cause: BreakOff,
}

impl Placement<'_> {
    /// The attempt has ended by itself.
    fn end(&mut self, outcome: &Outcome, took: Millis) {
        if *outcome == Outcome::Silent {
            self.front.break_offs.count(BreakOff::Deadline);
        }
        let sign = RequestState::sign(outcome, took);
        let part_of_aim = matches!(sign, Sign::Good(_)).then(|| took as f64 / self.aim.max(1) as f64);
        self.release(sign, part_of_aim);
    }

    /// The server has been at work for suspiciously long.
    fn observe_overdue(&self) {
        let now = self.front.now();
        self.front.gate.borrow_mut().servers.observe(now, &self.server, Sign::Failed, self.aim);
    }

    fn release(&mut self, sign: Sign, part_of_aim: Option<f64>) {
        self.has_ended = true;
        let (gate, now) = (&mut *self.front.gate.borrow_mut(), self.front.now());
        gate.servers.end(now, &self.server, sign, self.aim);
        gate.room.end(now, self.service, part_of_aim);
        self.front.room.notify_one();
    }
}

impl Drop for Placement<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.front.break_offs.count(self.cause);
            self.release(Sign::Nothing, None);
        }
    }
}

/// One sending of the request to a server. Dropping it closes the connection to the server.
struct Attempt<'f> {
    exchange: Pin<Box<dyn Future<Output = Sent> + 'f>>,
    placement: Placement<'f>,
    begun: Millis,
    is_overdue: bool,
}

/// What happens next to a request that is at servers.
enum Event {
    /// The attempt at this place of the list has ended.
    Ended(usize, Outcome, Option<Answer>),
    /// The newest attempt has taken suspiciously long.
    Overdue,
    /// The process has been told to end.
    DrainBegun,
    /// There is no time left.
    TimeOver,
}

/// A request on its way.
struct Forwarding<'f> {
    front: &'f Front,
    parts: &'f Parts,
    body: Bytes,
    pass: &'f Pass,
    attempt_id: Rc<[u8]>,
    state: RequestState,
    attempts: Vec<Attempt<'f>>,
    overdue_at: Option<Millis>,
    /// A server's own failure, passed on where nothing better comes.
    failure: Option<Answer>,
}

/// Sends a request that has been let in to servers, and gives its one answer.
pub async fn forward(front: &Front, parts: &Parts, body: Bytes, pass: &Pass) -> Response<ResponseBody> {
    let route = pass.route();
    let state = RequestState {
        repeats: route.retry_safety,
        begun: front.now(),
        deadline: pass.deadline,
        aim: route.target.as_millis() as Millis,
        attempts: route.attempts,
        tried: Vec::new(),
        may_have_run: false,
    };
    let attempt_id = parts.headers.get(names::ATTEMPT).map_or(&[][..], |id| id.as_bytes()).into();
    let forwarding = Forwarding {
        front,
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
        let Some(server) = self.wait_for_server().await else { return self.end_without_answer() };
        self.front.gate.borrow_mut().budget.earn(self.front.now(), &self.pass.service);
        self.start_attempt(server);
        loop {
            match self.next_event().await {
                Event::Ended(place, outcome, answer) => {
                    if let Some(response) = self.on_ended(place, outcome, answer) {
                        return response;
                    }
                }
                Event::Overdue => self.on_overdue(),
                Event::DrainBegun => {}
                Event::TimeOver => {
                    self.break_off(self.time_limit());
                    return self.end_without_answer();
                }
            }
        }
    }

    /// The first server, waited for a little where none has room.
    async fn wait_for_server(&mut self) -> Option<Chosen> {
        loop {
            if self.front.now() >= self.state.deadline {
                return None;
            }
            if let Some(chosen) = self.choose() {
                return Some(chosen);
            }
            let (now, until) = (self.front.now(), self.state.hold_until());
            if now >= until {
                return None;
            }
            // Whoever is notified and finds nothing notifies the next.
            let wait = Duration::from_millis(until - now);
            let _ = tokio::time::timeout(wait, self.front.room.notified()).await;
        }
    }

    /// A server for the request that has room now and has not had it yet.
    fn choose(&self) -> Option<Chosen> {
        let (gate, now) = (&mut *self.front.gate.borrow_mut(), self.front.now());
        let service = &self.pass.service;
        if !gate.room.has(service, self.pass.priority) {
            return None;
        }
        let id = gate.servers.pick(now, service, &self.state.tried)?;
        let address = gate.servers.get(&id).and_then(|server| server.told.address.parse().ok());
        gate.servers.begin(&id);
        let Some(address) = address else {
            gate.servers.end(now, &id, Sign::Absent, self.state.aim);
            return None;
        };
        gate.room.begin(service);
        Some(Chosen { id, address })
    }

    fn start_attempt(&mut self, server: Chosen) {
        let now = self.front.now();
        let left = self.pass.deadline.saturating_sub(now);
        let request = forwarded(self.parts, self.body.clone(), self.pass, &server.id, left);
        let (front, attempt_id, repeats) = (self.front, self.attempt_id.clone(), self.state.repeats);
        let exchange = async move {
            let time = Duration::from_millis(left);
            front.pool.send(server.address, request, &attempt_id, repeats, time).await
        };
        let placement = Placement {
            front,
            server: server.id.clone(),
            service: &self.pass.service,
            aim: self.state.aim,
            has_ended: false,
            cause: BreakOff::ClientGone,
        };
        self.state.tried.push(server.id);
        self.overdue_at = self.state.overdue_at(now);
        let exchange = Box::pin(exchange);
        self.attempts.push(Attempt { exchange, placement, begun: now, is_overdue: false });
    }

    async fn next_event(&mut self) -> Event {
        let front = self.front;
        let drain = front.drain();
        if let Some(drain) = drain {
            self.shorten(drain);
        }
        let wake_at = self.overdue_at.unwrap_or(self.state.deadline).min(self.state.deadline);
        let is_overdue = wake_at < self.state.deadline;
        let attempts = &mut self.attempts;
        tokio::select! {
            biased;
            (place, (outcome, answer)) = poll_fn(|cx| poll_any(attempts, cx)) => {
                Event::Ended(place, outcome, answer)
            }
            () = front.draining(), if drain.is_none() => Event::DrainBegun,
            () = front.sleep_until(wake_at) => if is_overdue { Event::Overdue } else { Event::TimeOver },
        }
    }

    /// Has the request end before the process does, and another server asked in time for that.
    fn shorten(&mut self, drain: Drain) {
        let limit = drain.gives_up_at();
        if limit < self.state.deadline {
            self.state.deadline = limit;
            let overdue_at = self.state.overdue_at(self.front.now());
            self.overdue_at = self.overdue_at.min(overdue_at);
        }
    }

    /// What sets the time in which the request must be answered.
    fn time_limit(&self) -> BreakOff {
        let is_by_drain = |drain: Drain| self.state.deadline == drain.gives_up_at();
        if self.front.drain().is_some_and(is_by_drain) {
            BreakOff::GracePeriod
        } else {
            BreakOff::Deadline
        }
    }

    /// An attempt has ended; the final answer, if that is it.
    fn on_ended(
        &mut self,
        place: usize,
        outcome: Outcome,
        answer: Option<Answer>,
    ) -> Option<Response<ResponseBody>> {
        let now = self.front.now();
        let mut attempt = self.attempts.remove(place);
        attempt.placement.end(&outcome, now - attempt.begun);
        let (usual, has_budget) = self.usual_time_and_budget(now);
        match self.state.on_outcome(now, &outcome, usual, || has_budget) {
            Next::Send => {
                self.keep_failure(&outcome, answer);
                self.try_another(now);
            }
            Next::Pass if answer.is_some() && (self.attempts.is_empty() || !is_failure(&outcome)) => {
                self.break_off(BreakOff::Superseded);
                return answer.map(passed_on);
            }
            Next::Pass | Next::End(_) => self.keep_failure(&outcome, answer),
        }
        if self.attempts.is_empty() {
            return Some(self.end_without_answer());
        }
        None
    }

    /// The newest attempt takes long: another server is asked beside it, if that is allowed and one has room.
    fn on_overdue(&mut self) {
        let now = self.front.now();
        self.overdue_at = self.state.overdue_at(now);
        if let Some(newest) = self.attempts.last_mut().filter(|attempt| !attempt.is_overdue) {
            newest.is_overdue = true;
            newest.placement.observe_overdue();
        }
        let (usual, has_budget) = self.usual_time_and_budget(now);
        if self.state.hedges(now, usual, || has_budget) {
            self.try_another(now);
        }
    }

    /// Sends the request to one more server, if one has room.
    fn try_another(&mut self, now: Millis) {
        if let Some(server) = self.choose() {
            self.front.gate.borrow_mut().budget.spend(now, &self.pass.service);
            self.start_attempt(server);
        }
    }

    fn usual_time_and_budget(&self, now: Millis) -> (f64, bool) {
        /// Taken for usual where nothing is known yet, ms.
        const UNKNOWN: f64 = 50.0;
        let (gate, service) = (&mut *self.front.gate.borrow_mut(), &self.pass.service);
        let usual = gate.servers.typical(service, self.state.aim).unwrap_or(UNKNOWN);
        (usual, gate.budget.has(now, service))
    }

    fn keep_failure(&mut self, outcome: &Outcome, answer: Option<Answer>) {
        if matches!(outcome, Outcome::Answer(_)) {
            self.failure = answer.or(self.failure.take());
        }
    }

    /// Leaves all servers that are at work.
    fn break_off(&mut self, cause: BreakOff) {
        for mut attempt in self.attempts.drain(..) {
            // It may have begun to work.
            self.state.may_have_run = true;
            if cause == BreakOff::Deadline && !attempt.is_overdue {
                attempt.placement.observe_overdue();
            }
            attempt.placement.cause = cause;
        }
    }

    /// The final answer where no server has given a good one.
    fn end_without_answer(&mut self) -> Response<ResponseBody> {
        match self.failure.take() {
            Some(failure) => passed_on(failure),
            None => {
                let kind = self.state.ending(self.front.now());
                self.front.refuse(kind, Some(self.pass))
            }
        }
    }
}

fn is_failure(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answer(500..))
}

/// The first attempt that has ended.
fn poll_any(attempts: &mut [Attempt], cx: &mut Context) -> Poll<(usize, Sent)> {
    for (place, attempt) in attempts.iter_mut().enumerate() {
        if let Poll::Ready(sent) = attempt.exchange.as_mut().poll(cx) {
            return Poll::Ready((place, sent));
        }
    }
    Poll::Pending
}
