//! The clients' side: reads requests, takes each its way, writes the one answer.

use crate::dials::{names, Answer, Body, Dials};
use crate::gate::{Gate, Pass, Refusal};
use crate::journey::{Journey, Next, Outcome};
use crate::Millis;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Frame, Incoming};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use plugboard::configuration::Repeats;
use plugboard::kinds::Kind;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time for a body to come.
const BODY_TIME: Duration = Duration::from_secs(10);
/// Part of the time that is left in which a repeatable request's server must have answered, before another is tried.
const PATIENCE: f64 = 0.6;

/// How long a request waits at the most for the first configuration, and which part of its time.
const START: Duration = Duration::from_millis(700);
const START_PART: f64 = 0.3;

/// The body of an answer to a client.
pub type Out = UnsyncBoxBody<Bytes, hyper::Error>;

/// What all requests of a gatekeeper share.
pub struct Front {
    /// What it holds.
    pub gate: RefCell<Gate>,
    /// Its connections to servers.
    pub dials: Rc<Dials>,
    /// Told when a server has room again, or there is another.
    pub room: Notify,
    /// Told when a marker has told something.
    pub news: Notify,
    /// Requests that are not answered yet.
    pub open: Cell<usize>,
    /// Bytes of requests held at once, and how many there may be.
    pub held: Cell<usize>,
    /// See [`Front::held`].
    pub held_max: usize,
    begun: Instant,
}

/// Counts something up, and down when dropped.
struct Counted<'c>(&'c Cell<usize>, usize);

impl<'c> Counted<'c> {
    fn up(cell: &'c Cell<usize>, n: usize) -> Counted<'c> {
        cell.set(cell.get() + n);
        Counted(cell, n)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

/// A request of a tenant, open until this is dropped.
struct TenantOpen<'f>(&'f Front, Option<String>);

impl<'f> TenantOpen<'f> {
    fn begin(front: &'f Front, pass: &Pass) -> TenantOpen<'f> {
        if let Some(tenant) = &pass.tenant {
            front.gate.borrow_mut().tenants.open(tenant, 1.0);
        }
        TenantOpen(front, pass.tenant.clone())
    }
}

impl Drop for TenantOpen<'_> {
    fn drop(&mut self) {
        if let Some(tenant) = &self.1 {
            self.0.gate.borrow_mut().tenants.open(tenant, -1.0);
        }
    }
}

/// A request at a server; ends there when dropped.
struct There<'f> {
    front: &'f Front,
    id: Rc<str>,
    service: &'f str,
    aim: Millis,
    ended: bool,
}

impl There<'_> {
    fn end(&mut self, outcome: Option<&Outcome>, took: Millis) {
        if !std::mem::replace(&mut self.ended, true) {
            let sign = outcome.map_or(crate::servers::Sign::Nothing, |outcome| Journey::sign(outcome, took));
            let part =
                matches!(sign, crate::servers::Sign::Good(_)).then(|| took as f64 / self.aim.max(1) as f64);
            let (gate, now) = (&mut *self.front.gate.borrow_mut(), self.front.now());
            gate.servers.end(now, &self.id, sign, self.aim);
            gate.room.end(now, self.service, part);
            self.front.room.notify_one();
        }
    }
}

impl Drop for There<'_> {
    fn drop(&mut self) {
        self.end(None, 0);
    }
}

impl Front {
    /// With nothing under way; the bytes of requests held at once are bounded.
    pub fn new(gate: Gate, dials: Dials, held_max: usize) -> Front {
        Front {
            gate: RefCell::new(gate),
            dials: Rc::new(dials),
            room: Notify::new(),
            news: Notify::new(),
            open: Cell::new(0),
            held: Cell::new(0),
            held_max,
            begun: Instant::now(),
        }
    }

    /// The time on this process's clock.
    pub fn now(&self) -> Millis {
        self.begun.elapsed().as_millis() as Millis
    }

    /// Whether a request is of a route whose requests may run more than once: only these are begun early.
    pub fn may_repeat(&self, parts: &Parts) -> bool {
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
        let gate = self.gate.borrow();
        let route = gate.configuration.as_ref().and_then(|c| c.route(host, parts.uri.path()));
        route.is_some_and(|route| route.repeats == Repeats::Safe)
    }

    /// Answers one request; without a body where it has none.
    pub async fn answer(&self, parts: &Parts, body: Option<Incoming>) -> Response<Out> {
        let _open = Counted::up(&self.open, 1);
        let mut response = self.handle(parts, body).await;
        if self.gate.borrow().leaving {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn handle(&self, parts: &Parts, body: Option<Incoming>) -> Response<Out> {
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
        let Some(host) = host.or(parts.uri.host()) else { return self.refuse(Kind::Malformed, None) };
        self.wait_for_configuration(&parts.headers).await;
        let admitted = self.gate.borrow_mut().admit(self.now(), host, parts.uri.path(), &parts.headers);
        let pass = match admitted {
            Ok(pass) => pass,
            Err(refusal) => return self.refuse_for(refusal, None),
        };
        let _tenant = TenantOpen::begin(self, &pass);
        let limit = usize::try_from(pass.configuration.limits.body).unwrap_or(usize::MAX);
        let body = match body {
            None => Bytes::new(),
            Some(body) => match self.collect(body, limit.min(self.held_max)).await {
                Ok(body) => body,
                Err(kind) => return self.refuse(kind, Some(&pass)),
            },
        };
        let _held = Counted::up(&self.held, body.len());
        if self.held.get() > self.held_max {
            return self.refuse(Kind::NoRoom, Some(&pass));
        }
        self.travel(parts, body, &pass).await
    }

    /// A gatekeeper that has just started knows soon what to do with a request: better than to send it away.
    async fn wait_for_configuration(&self, headers: &HeaderMap) {
        let told = headers.get(names::DEADLINE).and_then(|value| value.to_str().ok()?.parse().ok());
        let wait = told.map_or(START, Duration::from_millis).mul_f64(START_PART).min(START);
        let known = async {
            while self.gate.borrow().configuration.is_none() {
                self.news.notified().await;
            }
        };
        let _ = tokio::time::timeout(wait, known).await;
    }

    async fn collect(&self, body: Incoming, limit: usize) -> Result<Bytes, Kind> {
        match tokio::time::timeout(BODY_TIME, Limited::new(body, limit).collect()).await {
            Err(_) => Err(Kind::TooSlow),
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Kind::TooLarge),
            Ok(Err(_)) => Err(Kind::Malformed),
        }
    }

    /// Takes a request its way.
    async fn travel<'p>(&'p self, parts: &Parts, body: Bytes, pass: &'p Pass) -> Response<Out> {
        let route = pass.route();
        let begun = self.now();
        let mut journey = Journey {
            repeats: route.repeats,
            begun,
            deadline: pass.deadline,
            aim: route.target.as_millis() as Millis,
            attempts: route.attempts,
            tried: Vec::new(),
            may_have_run: false,
        };
        let id = parts.headers.get(names::ATTEMPT).map(|id| id.as_bytes().to_vec()).unwrap_or_default();
        loop {
            let Some((life, address)) = self.find(pass, &journey).await else {
                return self.refuse(journey.ending(self.now()), Some(pass));
            };
            let now = self.now();
            let left = pass.deadline.saturating_sub(now);
            let request = forwarded(parts, body.clone(), pass, &life, left);
            let mut there = There {
                front: self,
                id: life.clone(),
                service: &pass.service,
                aim: journey.aim,
                ended: false,
            };
            if journey.tried.is_empty() {
                self.gate.borrow_mut().budget.earn(now, &pass.service);
            }
            journey.tried.push(life);
            let more = journey.repeats == Repeats::Safe && (journey.tried.len() as u32) < journey.attempts;
            let time = if more { (left as f64 * PATIENCE) as Millis } else { left };
            let time = Duration::from_millis(time);
            let (outcome, answer) = self.dials.send(address, request, &id, journey.repeats, time).await;
            let ended = self.now();
            there.end(Some(&outcome), ended - now);
            let usual = self.gate.borrow().servers.typical(&pass.service, journey.aim).unwrap_or(50.0);
            let budget = || self.gate.borrow_mut().budget.spend(ended, &pass.service);
            match journey.on_outcome(ended, &outcome, usual, budget) {
                Next::Send => {}
                Next::End(kind) => return self.refuse(kind, Some(pass)),
                Next::Pass => match answer {
                    Some(answer) => return passed_on(answer),
                    None => return self.refuse(Kind::Upstream, Some(pass)),
                },
            }
        }
    }

    /// A server for a request, waited for a little where none has room.
    async fn find(&self, pass: &Pass, journey: &Journey) -> Option<(Rc<str>, SocketAddr)> {
        loop {
            let now = self.now();
            if now >= journey.deadline {
                return None;
            }
            {
                let gate = &mut *self.gate.borrow_mut();
                let room = gate.room.has(&pass.service, pass.priority);
                let picked = if room { gate.servers.pick(now, &pass.service, &journey.tried) } else { None };
                if let Some(id) = picked {
                    let address = gate.servers.get(&id).and_then(|s| s.told.address.parse().ok());
                    gate.servers.begin(&id);
                    match address {
                        Some(address) => {
                            gate.room.begin(&pass.service);
                            return Some((id, address));
                        }
                        None => gate.servers.end(now, &id, crate::servers::Sign::Absent, journey.aim),
                    }
                }
            }
            let until = journey.hold_until();
            if now >= until || !journey.tried.is_empty() {
                return None;
            }
            let wait = Duration::from_millis(until - now);
            // Whoever is told and finds nothing tells the next.
            let _ = tokio::time::timeout(wait, self.room.notified()).await;
        }
    }

    fn refuse(&self, kind: Kind, pass: Option<&Pass>) -> Response<Out> {
        self.refuse_for(kind.into(), pass)
    }

    /// The final answer where no server's is passed on.
    fn refuse_for(&self, refusal: Refusal, pass: Option<&Pass>) -> Response<Out> {
        let row = refusal.kind.row();
        let mut response = Response::new(whole(Bytes::from(format!("{}: {}\n", row.name, row.advice))));
        *response.status_mut() = hyper::StatusCode::from_u16(row.status).unwrap_or_default();
        if row.promises {
            let aim = pass.map_or(200, |pass| pass.route().target.as_millis() as Millis);
            let wait = self.gate.borrow_mut().come_back(aim, refusal.wait);
            let text = format!("{:.3}", wait as f64 / 1e3);
            if let Ok(value) = HeaderValue::from_str(&text) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

fn whole(bytes: Bytes) -> Out {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Headers that concern one connection only.
fn is_for_one_connection(name: &HeaderName, named: &[String]) -> bool {
    const NAMES: [HeaderName; 9] = [
        CONNECTION,
        EXPECT,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
    ];
    NAMES.contains(name)
        || ["keep-alive", "proxy-connection"].contains(&name.as_str())
        || named.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()))
}

fn named(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(|name| name.trim().to_owned()).collect()
}

/// A client's request as a server gets it.
fn forwarded(parts: &Parts, body: Bytes, pass: &Pass, life: &str, left: Millis) -> Request<Full<Bytes>> {
    let has_body = !body.is_empty() || parts.headers.contains_key(CONTENT_LENGTH);
    let length = body.len();
    let mut request = Request::new(Full::new(body));
    request.method_mut().clone_from(&parts.method);
    // The origin form, unchanged: path and query.
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    *request.uri_mut() = target.parse().unwrap_or_default();
    let named = named(&parts.headers);
    let headers = request.headers_mut();
    for (name, value) in &parts.headers {
        let own = [names::DEADLINE, names::EXPECTED, names::TENANT].contains(name);
        let key = *name == AUTHORIZATION && pass.configuration.keyed;
        if !own && !key && !is_for_one_connection(name, &named) {
            headers.append(name, value.clone());
        }
    }
    headers.insert(names::DEADLINE, HeaderValue::from(left));
    if let Ok(value) = HeaderValue::from_str(life) {
        headers.insert(names::EXPECTED, value);
    }
    if let Some(value) = pass.tenant.as_ref().and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(names::TENANT, value);
    }
    if has_body {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    request
}

/// A server's answer as its client gets it.
fn passed_on(answer: Answer) -> Response<Out> {
    let (mut parts, ()) = answer.head.into_parts();
    let named = named(&parts.headers);
    let gone: Vec<HeaderName> =
        parts.headers.keys().filter(|name| is_for_one_connection(name, &named)).cloned().collect();
    for name in gone {
        // A length is right for a body that is passed on as it comes.
        let length = name == CONTENT_LENGTH && matches!(answer.body, Body::Rest(..));
        if !length {
            parts.headers.remove(name);
        }
    }
    parts.version = hyper::Version::HTTP_11;
    let body = match answer.body {
        Body::Whole(bytes) => whole(bytes),
        Body::Rest(begin, rest) => Rest { begin: Some(begin), rest }.boxed_unsync(),
    };
    Response::from_parts(parts, body)
}

/// A body whose beginning has been read.
struct Rest {
    begin: Option<Bytes>,
    rest: Incoming,
}

impl hyper::body::Body for Rest {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.begin.take() {
            Some(begin) => Poll::Ready(Some(Ok(Frame::data(begin)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }
}
