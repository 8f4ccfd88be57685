//! Bodies that pass through: a client's to a server and an answer's back, a buffer at a time.

use crate::telemetry::{End, Telemetry};
use crate::times::{FLOW_STALL, UPLOAD_STALL};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use thiserror::Error;
use tokio::time::{sleep, timeout_at, Duration, Instant, Sleep};

/// The longest body of a request, in bytes: longer than anything that is sent in a client's time.
pub const BODY_MAX: u64 = 1 << 30;
/// What is read of a body at most before anything is decided or passed on, and how much of a longer one.
pub const HOLD_MAX: usize = 64 * 1024;
const HOLD_FIRST: usize = 16 * 1024;
/// The least rate at which a client sends a body, bytes a second, with some room.
const UPLOAD_RATE: f64 = 32_000.0;
/// After this an answer that has begun is passed on as it comes, if it may be a long one.
const FLOW_AFTER: Duration = Duration::from_millis(150);

/// Why a body ends before its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Broken {
    /// Its connection ended, or its framing is bad.
    #[error("the body broke off")]
    Connection,
    /// Nothing came for too long.
    #[error("the body stalled")]
    Stalled,
    /// It is longer than anything that is taken.
    #[error("the body is too long")]
    TooLong,
}

type Part = Result<Frame<Bytes>, Broken>;

/// Bytes that may be held for all requests and answers together.
#[derive(Clone)]
pub struct Room {
    left: Rc<Cell<usize>>,
}

/// Bytes held; free again when dropped.
pub struct Held {
    room: Room,
    bytes: usize,
}

impl Room {
    /// Room for so many bytes.
    pub fn new(bytes: usize) -> Room {
        Room { left: Rc::new(Cell::new(bytes)) }
    }

    /// Nothing held yet.
    pub fn hold(&self) -> Held {
        Held { room: self.clone(), bytes: 0 }
    }
}

impl Held {
    /// Holds more; false where there is no room for it. What has been read is held all the same.
    fn add(&mut self, bytes: usize) -> bool {
        let left = self.room.left.get();
        let fits = left >= bytes;
        let bytes = bytes.min(left);
        self.room.left.set(left - bytes);
        self.bytes += bytes;
        fits
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.room.left.set(self.room.left.get() + self.bytes);
    }
}

async fn next(body: &mut Incoming) -> Option<Part> {
    let frame = std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await;
    frame.map(|frame| frame.map_err(|_| Broken::Connection))
}

/// A request's body: what is held of it, and the rest where that has not come.
pub struct Request {
    /// Its first bytes, or all of them.
    pub held: Bytes,
    /// What else comes.
    pub rest: Option<Rc<Upload>>,
    /// Room taken by what is held.
    _room: Held,
}

impl Request {
    /// A body of nothing.
    pub fn empty(room: &Room) -> Request {
        Request { held: Bytes::new(), rest: None, _room: room.hold() }
    }

    /// Reads the beginning of a body, all of it if it is short. `since` is when its client had to begin.
    pub async fn begin(mut body: Incoming, room: &Room, since: Instant) -> Result<Request, Broken> {
        let length = body.size_hint().exact();
        let most = if length.is_some_and(|n| n > HOLD_MAX as u64) { HOLD_FIRST } else { HOLD_MAX };
        let (mut held, mut hold) = (BytesMut::new(), room.hold());
        let mut last = Instant::now();
        while held.len() <= most {
            let due = (since + UPLOAD_STALL + at_rate(held.len())).min(last + UPLOAD_STALL);
            let part = timeout_at(due, next(&mut body)).await.map_err(|_| Broken::Stalled)?;
            let Some(part) = part else {
                return Ok(Request { held: held.freeze(), rest: None, _room: hold });
            };
            last = Instant::now();
            let Ok(data) = part?.into_data() else { continue };
            let fits = hold.add(data.len());
            held.extend_from_slice(&data);
            if !fits {
                break;
            }
        }
        if body.is_end_stream() {
            return Ok(Request { held: held.freeze(), rest: None, _room: hold });
        }
        let rest = Upload {
            left: length.map(|n| n.saturating_sub(held.len() as u64)),
            body: RefCell::new(Some(body)),
            spent: Cell::new(false),
            ended: Cell::new(None),
            moved: Cell::new(Instant::now()),
            on_end: RefCell::default(),
        };
        Ok(Request { held: held.freeze(), rest: Some(Rc::new(rest)), _room: hold })
    }
}

fn at_rate(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / UPLOAD_RATE)
}

/// The rest of a request's body, still at its client.
pub struct Upload {
    body: RefCell<Option<Incoming>>,
    /// How long it is, where that is known.
    left: Option<u64>,
    spent: Cell<bool>,
    ended: Cell<Option<Instant>>,
    moved: Cell<Instant>,
    on_end: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl Upload {
    /// Whether any of it has been passed on, so that it can't be sent again.
    pub fn is_spent(&self) -> bool {
        self.spent.get()
    }

    /// When all of it had been passed on.
    pub fn ended(&self) -> Option<Instant> {
        self.ended.get()
    }

    /// When some of it was last passed on.
    pub fn moved(&self) -> Instant {
        self.moved.get()
    }

    /// What to do when all of it has been passed on.
    pub fn on_end(&self, what: impl FnOnce() + 'static) {
        *self.on_end.borrow_mut() = Some(Box::new(what));
    }

    /// Reads what is left and drops it, so that the client can read its answer.
    pub async fn drain(&self) {
        let Some(mut body) = self.body.borrow_mut().take() else { return };
        while let Ok(Some(Ok(_))) = timeout_at(Instant::now() + UPLOAD_STALL, next(&mut body)).await {}
    }

    fn finish(&self) {
        if self.ended.replace(Some(Instant::now())).is_none() {
            self.body.borrow_mut().take();
            // Outside the call that polled this: it may end in the decisions.
            if let Some(on_end) = self.on_end.borrow_mut().take() {
                tokio::task::spawn_local(async move { on_end() });
            }
        }
    }

    fn poll(&self, cx: &mut Context, passed: &mut u64) -> Poll<Option<Part>> {
        let polled = match self.body.borrow_mut().as_mut() {
            Some(body) => Pin::new(body).poll_frame(cx),
            None if self.ended.get().is_some() => return Poll::Ready(None),
            None => return Poll::Ready(Some(Err(Broken::Connection))),
        };
        match std::task::ready!(polled) {
            None => {
                self.spent.set(true);
                self.finish();
                Poll::Ready(None)
            }
            Some(Err(_)) => Poll::Ready(Some(Err(Broken::Connection))),
            Some(Ok(frame)) => {
                self.spent.set(true);
                self.moved.set(Instant::now());
                *passed += frame.data_ref().map_or(0, Bytes::len) as u64;
                if frame.is_trailers() || self.left.is_some_and(|left| *passed >= left) {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }
}

/// A request's body on its way to a server.
pub struct Outgoing {
    held: Bytes,
    rest: Option<Rc<Upload>>,
    passed: u64,
    stall: Option<Pin<Box<Sleep>>>,
}

impl Outgoing {
    /// From its first byte on.
    pub fn new(request: &Request) -> Outgoing {
        let stall = request.rest.as_ref().map(|_| Box::pin(sleep(UPLOAD_STALL)));
        Outgoing { held: request.held.clone(), rest: request.rest.clone(), passed: 0, stall }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Part>> {
        let this = self.get_mut();
        if !this.held.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.held)))));
        }
        let (Some(rest), Some(stall)) = (&this.rest, &mut this.stall) else { return Poll::Ready(None) };
        let polled = rest.poll(cx, &mut this.passed);
        if polled.is_ready() {
            stall.as_mut().reset(Instant::now() + UPLOAD_STALL);
        } else if stall.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(Broken::Stalled)));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let left = |rest: &Rc<Upload>| rest.ended().is_none() || rest.left.is_some_and(|n| self.passed < n);
        self.held.is_empty() && !self.rest.as_ref().is_some_and(left)
    }

    fn size_hint(&self) -> SizeHint {
        let held = self.held.len() as u64;
        match &self.rest {
            None => SizeHint::with_exact(held),
            Some(rest) => match rest.left {
                Some(left) => SizeHint::with_exact(held + left.saturating_sub(self.passed)),
                None => SizeHint::default(),
            },
        }
    }
}

/// An answer's body as far as it was waited for.
pub enum Gathered {
    /// All of it.
    Whole(Bytes),
    /// Its beginning, and where the rest comes from.
    Begun(VecDeque<Bytes>, Incoming, Option<u64>),
}

/// Reads an answer's body: whole if it is short, else only until it has begun.
pub async fn gather(mut body: Incoming, room: &Room, may_flow: bool) -> Result<Gathered, Broken> {
    let length = body.size_hint().exact();
    let short = length.is_some_and(|n| n <= HOLD_MAX as u64);
    let long = length.is_some_and(|n| n > HOLD_MAX as u64);
    let (mut parts, mut held, mut hold) = (VecDeque::new(), 0, room.hold());
    let since = Instant::now();
    loop {
        let part = if short || !may_flow || held == 0 {
            next(&mut body).await
        } else {
            match timeout_at(since + FLOW_AFTER, next(&mut body)).await {
                Ok(part) => part,
                Err(_) => return Ok(Gathered::Begun(parts, body, length)),
            }
        };
        let Some(part) = part else { break };
        let Ok(data) = part?.into_data() else { continue };
        held += data.len();
        let fits = hold.add(data.len());
        parts.push_back(data);
        if (long || held > HOLD_MAX || !fits) && may_flow {
            return Ok(Gathered::Begun(parts, body, length));
        }
        if held > HOLD_MAX {
            return Err(Broken::TooLong);
        }
    }
    match parts.len() {
        1 => Ok(Gathered::Whole(parts.pop_front().unwrap_or_default())),
        _ => {
            let mut all = BytesMut::with_capacity(held);
            parts.iter().for_each(|part| all.extend_from_slice(part));
            Ok(Gathered::Whole(all.freeze()))
        }
    }
}

/// Counts the end of a request whose answer is on its way.
pub struct Counted {
    telemetry: Rc<Telemetry>,
    class: usize,
    end: Cell<End>,
}

impl Counted {
    /// Of a request whose client has left unless something else is said.
    pub fn new(telemetry: Rc<Telemetry>, class: usize) -> Counted {
        Counted { telemetry, class, end: Cell::new(End::ClientDisconnected) }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.telemetry.ended(self.class, self.end.get());
    }
}

/// An answer's body on its way to the client.
pub struct Flow {
    parts: VecDeque<Bytes>,
    rest: Option<Incoming>,
    length: Option<u64>,
    passed: u64,
    stall: Pin<Box<Sleep>>,
    counted: Option<Counted>,
    /// What to do when all of it has come.
    whole: Option<Box<dyn FnOnce()>>,
}

impl Flow {
    /// From its first byte on; `whole` is called when the last has come.
    pub fn new(
        (parts, rest, length): (VecDeque<Bytes>, Incoming, Option<u64>),
        whole: impl FnOnce() + 'static,
    ) -> Flow {
        let (stall, whole) = (Box::pin(sleep(FLOW_STALL)), Some(Box::new(whole) as Box<dyn FnOnce()>));
        Flow { parts, rest: Some(rest), length, passed: 0, stall, counted: None, whole }
    }

    /// Counts its end.
    pub fn count(&mut self, counted: Counted) {
        self.counted = Some(counted);
    }

    fn end(&mut self, end: End) {
        if let Some(counted) = self.counted.take() {
            counted.end.set(end);
        }
        if let (Some(whole), End::Served) = (self.whole.take(), end) {
            whole();
        }
        self.rest = None;
    }
}

impl Body for Flow {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Part>> {
        let this = self.get_mut();
        let part = match (this.parts.pop_front(), &mut this.rest) {
            (Some(part), _) => Some(Ok(Frame::data(part))),
            (None, None) => None,
            (None, Some(rest)) => match Pin::new(rest).poll_frame(cx) {
                Poll::Ready(part) => part.map(|part| part.map_err(|_| Broken::Connection)),
                Poll::Pending if this.stall.as_mut().poll(cx).is_ready() => Some(Err(Broken::Stalled)),
                Poll::Pending => return Poll::Pending,
            },
        };
        this.stall.as_mut().reset(Instant::now() + FLOW_STALL);
        match &part {
            None => this.end(End::Served),
            Some(Err(_)) => this.end(End::Failed),
            Some(Ok(frame)) => {
                this.passed += frame.data_ref().map_or(0, Bytes::len) as u64;
                // With a length the library asks for nothing past it, and nothing past the trailers.
                if frame.is_trailers() || this.length.is_some_and(|length| this.passed >= length) {
                    this.end(End::Served);
                }
            }
        }
        Poll::Ready(part)
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match self.length {
            Some(length) => SizeHint::with_exact(length.saturating_sub(self.passed)),
            None => SizeHint::default(),
        }
    }
}

/// An answer to a client: whole, or on its way. Tells when the last of it is out of hand.
pub struct Reply {
    whole: Bytes,
    flow: Option<Flow>,
    done: Option<Box<dyn FnOnce()>>,
}

impl Reply {
    /// One that is there whole.
    pub fn whole(body: Bytes) -> Reply {
        Reply { whole: body, flow: None, done: None }
    }

    /// One that is on its way.
    pub fn flow(flow: Flow) -> Reply {
        Reply { whole: Bytes::new(), flow: Some(flow), done: None }
    }

    /// What to do when the library is done with it.
    pub fn on_done(&mut self, what: impl FnOnce() + 'static) {
        self.done = Some(Box::new(what));
    }
}

impl Drop for Reply {
    fn drop(&mut self) {
        if let Some(done) = self.done.take() {
            done();
        }
    }
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<Part>> {
        let this = self.get_mut();
        match &mut this.flow {
            Some(flow) => Pin::new(flow).poll_frame(cx),
            None if this.whole.is_empty() => Poll::Ready(None),
            None => Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.whole))))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.whole.is_empty() && self.flow.as_ref().is_none_or(Flow::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.flow {
            Some(flow) => flow.size_hint(),
            None => SizeHint::with_exact(self.whole.len() as u64),
        }
    }
}
