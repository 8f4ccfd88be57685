//! Runs the decision logic: owns its state machine, its clock and the pending requests, passes events in and
//! performs the actions that come out. Each request is answered exactly once.

use crate::body::{BufferBudget, EndRecorder, ReceivedBody, StreamedBody};
use crate::config::Config;
use crate::counter::{Caller, Counter};
use crate::events::Events;
use crate::servers::pool::{AttemptResult, Parts, Progress, Servers};
use crate::telemetry::{End, Telemetry};
use bytes::Bytes;
use granitelead_decisions::{
    Action, AttemptDone, ClassId, CustomerId, Event, Gatekeeper, Handover, Micros, Outcome, PlanId,
};
use granitelead_decisions::{Request, RequestId, ServerId};
use granitelead_list::follower::ListStatus;
use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Duration, Instant};

/// A margin subtracted from each client's timeout, so that a response at the last moment still reaches the
/// client.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// Unix time, read once at the start and then advanced by a monotonic clock. It has to be Unix time because
/// counter names contain the number of a time slot, on which all gatekeepers must agree.
struct Clock {
    started_unix: Micros,
    started: Instant,
}

impl Clock {
    fn new() -> Self {
        let started_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_unix: started_unix.as_micros() as Micros, started: Instant::now() }
    }

    fn now(&self) -> Micros {
        self.started_unix + self.started.elapsed().as_micros() as Micros
    }
}

/// The body of a server's successful response.
pub enum Body {
    /// The whole body.
    Complete(Bytes),
    /// A body that is streamed.
    Streamed(StreamedBody),
}

/// The final answer to a request.
pub enum Answer {
    /// A server's response: body and content type.
    Served(Body, Option<HeaderValue>),
    /// The request was not executed; it can be retried safely, preferably after this delay.
    Refused(Micros),
    /// The request failed; it may have been executed.
    Failed {
        /// Whether an attempt timed out.
        late: bool,
    },
}

/// A client's validated request.
pub struct ClientRequest {
    /// The customer.
    pub customer: CustomerId,
    /// The request class.
    pub class: ClassId,
    /// The customer's plan.
    pub plan: PlanId,
    /// The estimated cost, in units.
    pub units: f64,
    /// The number of gatekeepers that the customer's requests pass through.
    pub gatekeepers: u32,
    /// The client's deadline.
    pub until: Instant,
    /// The parts that are forwarded to a server.
    pub parts: Parts,
}

struct PendingRequest {
    parts: Rc<Parts>,
    /// The channel for the answer; none once it has been sent or the client has disconnected.
    reply: Option<oneshot::Sender<Answer>>,
    /// Attempts by number; none once they have ended.
    attempts: Vec<Option<RunningAttempt>>,
    class: usize,
    late: bool,
}

struct RunningAttempt {
    server: ServerId,
    progress: Rc<Progress>,
    task: AbortHandle,
    sent: Instant,
}

/// Connects the decision logic to clients, servers and the counter.
pub struct Driver {
    /// Connections to servers.
    pub servers: Rc<Servers>,
    /// The connection to the counter.
    pub counter: Counter,
    /// The version and age of the server list.
    pub listing: Rc<ListStatus>,
    /// Counts of requests by result.
    pub telemetry: Rc<Telemetry>,
    /// The memory budget of buffered bodies.
    pub buffer_budget: BufferBudget,
    /// The log of this gatekeeper's own state changes.
    pub events: Events,
    gatekeeper: RefCell<Gatekeeper>,
    clock: Clock,
    pending: RefCell<HashMap<RequestId, PendingRequest>>,
    last_id: Cell<u64>,
    queue: RefCell<VecDeque<Event>>,
    processing: Cell<bool>,
}

impl Driver {
    /// A driver in its initial state.
    pub fn new(config: &Config) -> Rc<Driver> {
        let clock = Clock::new();
        let settings = config.settings.clone();
        let telemetry = Rc::new(Telemetry::new(&config.names.classes));
        let buffer_budget = BufferBudget::new(config.body_buffer_max);
        Rc::new(Driver {
            servers: Servers::new(config, telemetry.requests_written(), buffer_budget.clone()),
            listing: ListStatus::new(),
            telemetry,
            buffer_budget,
            events: config.events,
            counter: Counter::new(config.counter, settings.counter_timeout, config.seed),
            gatekeeper: RefCell::new(Gatekeeper::new(settings, config.seed, clock.now())),
            clock,
            pending: RefCell::default(),
            last_id: Cell::new(0),
            queue: RefCell::default(),
            processing: Cell::new(false),
        })
    }

    /// Passes an event to the decision logic and performs the resulting actions. Events that arise meanwhile
    /// are queued, so that actions are performed in the order in which they were decided.
    pub fn feed(self: &Rc<Self>, event: Event) {
        self.queue.borrow_mut().push_back(event);
        if self.processing.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.queue.borrow_mut().pop_front() else { break };
            self.gatekeeper.borrow_mut().handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
        }
        self.processing.set(false);
    }

    fn perform(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(request, server, timeout),
            Action::Cancel { request, attempt } => self.cancel(&request, attempt),
            Action::Refuse { request, retry_after } => {
                self.answer(&request, |_| Answer::Refused(retry_after))
            }
            Action::Fail(request) => self.answer(&request, |pending| Answer::Failed { late: pending.late }),
            Action::SetTimer { token, after } => {
                let driver = self.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(after)).await;
                    driver.feed(Event::Timer(token));
                });
            }
            Action::Count { name, amount, keep } => self.counter.call(self, name, amount, keep),
            // The server list is always followed.
            Action::Subscribe => {}
        }
    }

    /// Submits a request. The answer is sent on the channel; dropping the guard before that signals that the
    /// client has disconnected.
    pub fn submit(
        self: &Rc<Self>,
        client_request: ClientRequest,
    ) -> (RequestGuard, oneshot::Receiver<Answer>) {
        self.last_id.set(self.last_id.get() + 1);
        let id = RequestId(self.last_id.get().to_string());
        let (reply, answer) = oneshot::channel();
        let (parts, class) = (Rc::new(client_request.parts), client_request.class.0);
        if let Some(upload) = parts.upload() {
            let (driver, id) = (self.clone(), id.clone());
            upload.on_end(move || {
                let calls = driver.telemetry.requests_written();
                calls.set(calls.get() + 1);
                driver.feed(Event::BodyReceived(id));
            });
        }
        let body_received = parts.upload().is_none();
        let pending = PendingRequest { parts, reply: Some(reply), attempts: Vec::new(), class, late: false };
        self.pending.borrow_mut().insert(id.clone(), pending);
        self.telemetry.request_started();
        let time_left =
            client_request.until.saturating_duration_since(Instant::now()).saturating_sub(ANSWER_MARGIN);
        self.feed(Event::Request(Request {
            id: id.clone(),
            customer: client_request.customer,
            class: Some(client_request.class),
            plan: Some(client_request.plan),
            units: client_request.units,
            gatekeepers: client_request.gatekeepers,
            time_left: time_left.as_micros() as Micros,
            body_received,
        }));
        (RequestGuard { driver: self.clone(), id }, answer)
    }

    fn send(self: &Rc<Self>, id: RequestId, server: ServerId, timeout: Micros) {
        let mut all = self.pending.borrow_mut();
        let Some(pending) = all.get_mut(&id) else { return };
        let (parts, n) = (pending.parts.clone(), pending.attempts.len());
        let progress = Rc::new(Progress::default());
        let sent = Instant::now();
        let (driver, attempt_progress, request) = (self.clone(), progress.clone(), id.clone());
        let task = tokio::task::spawn_local(async move {
            let time = Duration::from_micros(timeout);
            let mut attempted = driver.servers.attempt(server, &parts, time, &attempt_progress).await;
            driver.attempt_done(&request, n, server, &mut attempted);
            driver.servers.give_back(server, attempted).await;
        });
        pending.attempts.push(Some(RunningAttempt { server, progress, task: task.abort_handle(), sent }));
    }

    fn attempt_done(
        self: &Rc<Self>,
        id: &RequestId,
        n: usize,
        server: ServerId,
        attempted: &mut AttemptResult,
    ) {
        let ended = self.pending.borrow_mut().get_mut(id).and_then(|pending| {
            pending.late |= attempted.outcome == Outcome::Timeout;
            pending.attempts.get_mut(n).and_then(Option::take)
        });
        let Some(running) = ended else { return };
        if let Some(served) = attempted.served.take() {
            let body = match served.body {
                ReceivedBody::Complete(body) => Body::Complete(body),
                ReceivedBody::Streaming(parts, rest, length) => {
                    let (driver, back) = (self.clone(), attempted.connection());
                    Body::Streamed(StreamedBody::new((parts, rest, length), move || {
                        tokio::task::spawn_local(async move { driver.servers.give_back(server, back).await });
                    }))
                }
            };
            self.answer(id, |_| Answer::Served(body, served.content_type));
        }
        self.report_attempt_end(id, n, attempted.outcome, running.sent, attempted.true_units);
    }

    /// Cancels an attempt. Its connection is closed before the decision logic is notified, so that no further
    /// attempt can run at the same time.
    fn cancel(self: &Rc<Self>, id: &RequestId, n: usize) {
        let slot = self.pending.borrow_mut().get_mut(id).and_then(|o| o.attempts.get_mut(n)?.take());
        let Some(running) = slot else { return };
        let outcome = if running.progress.abort() { Outcome::Cancelled } else { Outcome::NotSent };
        running.task.abort();
        self.report_attempt_end(id, n, outcome, running.sent, None);
    }

    /// Excludes a server by an operator's call, or includes it again; in effect once this returns.
    pub fn set_excluded(self: &Rc<Self>, server: ServerId, excluded: bool) {
        self.servers.set_excluded(server, excluded);
        self.feed(Event::Exclusion { server, excluded });
        self.cancel_unsent();
    }

    /// Cancels attempts that wait for a connection to a server that takes no more work. Once a drain is known
    /// no new request may be sent, and a connect that hangs would only delay the request.
    pub fn cancel_unsent(self: &Rc<Self>) {
        let mut cancelled = Vec::new();
        for (id, pending) in self.pending.borrow().iter() {
            for (n, running) in pending.attempts.iter().enumerate() {
                if running
                    .as_ref()
                    .is_some_and(|r| r.progress.awaits_connection() && !self.servers.takes_work(r.server))
                {
                    cancelled.push((id.clone(), n));
                }
            }
        }
        cancelled.iter().for_each(|(id, n)| self.cancel(id, *n));
    }

    fn report_attempt_end(
        self: &Rc<Self>,
        id: &RequestId,
        attempt: usize,
        outcome: Outcome,
        sent: Instant,
        true_units: Option<f64>,
    ) {
        let closed = self.pending.borrow().get(id).is_none_or(|pending| pending.reply.is_none());
        if self.pending.borrow().get(id).is_some_and(|pending| pending.parts.is_consumed()) {
            self.feed(Event::BodyReleased(id.clone()));
        }
        self.remove_if_complete(id);
        let latency = sent.elapsed().as_micros() as Micros;
        let request = id.clone();
        self.feed(Event::AttemptDone(AttemptDone { request, attempt, outcome, latency, closed, true_units }));
    }

    /// Sends the answer to the client; nothing else does.
    fn answer(&self, id: &RequestId, answer: impl FnOnce(&PendingRequest) -> Answer) {
        if let Some(pending) = self.pending.borrow_mut().get_mut(id) {
            if let Some(reply) = pending.reply.take() {
                let mut answer = answer(pending);
                let end = match &mut answer {
                    Answer::Served(Body::Streamed(streamed), _) => {
                        // The request ends with the last byte of the body.
                        streamed.count(EndRecorder::new(self.telemetry.clone(), pending.class));
                        None
                    }
                    Answer::Served(Body::Complete(_), _) => Some(End::Served),
                    Answer::Refused(_) => Some(End::Refused),
                    Answer::Failed { late: true } => Some(End::DeadlineExceeded),
                    Answer::Failed { late: false } => Some(End::Failed),
                };
                if let Some(end) = end {
                    self.telemetry.ended(pending.class, end);
                }
                // Fails if the client has just disconnected.
                let _ = reply.send(answer);
            }
        }
        self.remove_if_complete(id);
    }

    fn on_client_disconnect(self: &Rc<Self>, id: &RequestId) {
        let take_waiting = |pending: &mut PendingRequest| pending.reply.take().map(|_| pending.class);
        let was_waiting = self.pending.borrow_mut().get_mut(id).and_then(take_waiting);
        if let Some(class) = was_waiting {
            self.telemetry.ended(class, End::ClientDisconnected);
            self.feed(Event::ClientGone(id.clone()));
            self.remove_if_complete(id);
        }
    }

    /// The telemetry report for operators; `clients` holds the metrics of client connections.
    pub fn report(&self, clients: Vec<(String, u64)>) -> String {
        let servers_down = self.gatekeeper.borrow().servers_avoided(self.clock.now());
        let mut metrics = [
            ("hosts_listed", self.servers.listed() as u64),
            ("hosts_down", servers_down as u64),
            ("list_rev", self.listing.rev.get()),
            ("list_epoch", self.listing.epoch.get()),
            ("list_age_ms", self.listing.age().as_millis() as u64),
            ("list_source", self.listing.source.get() as u64),
        ]
        .map(|(name, value)| (name.to_owned(), value))
        .to_vec();
        metrics.extend(self.servers.metrics());
        metrics.extend(clients);
        self.telemetry.report(&metrics)
    }

    /// Returns the state to hand over to the next process of this gatekeeper, which takes all new requests.
    pub fn hand_over(&self) -> Handover {
        self.gatekeeper.borrow_mut().hand_over(self.clock.now())
    }

    /// Takes over the state of the previous process; `ids` maps its server ids to those of this one.
    pub fn take_over(&self, mut handover: Handover, ids: &HashMap<ServerId, ServerId>) {
        handover.translate(ids);
        self.gatekeeper.borrow_mut().take_over(handover);
    }

    /// Resumes after a handover to a process that has ended.
    pub fn resume(&self) {
        self.gatekeeper.borrow_mut().resume(self.clock.now());
    }

    fn remove_if_complete(&self, id: &RequestId) {
        let mut all = self.pending.borrow_mut();
        if all.get(id).is_some_and(|o| o.reply.is_none() && o.attempts.iter().all(Option::is_none)) {
            all.remove(id);
        }
    }
}

impl Caller for Driver {
    fn counter(&self) -> &Counter {
        &self.counter
    }

    fn on_counter_event(self: &Rc<Self>, event: Event) {
        self.feed(event);
    }
}

/// Represents a client that waits for its answer; dropping it before that signals that the client has
/// disconnected.
pub struct RequestGuard {
    driver: Rc<Driver>,
    id: RequestId,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.driver.on_client_disconnect(&self.id);
    }
}
