//! Request and response bodies: buffered if short, else streamed between client and server.

use crate::telemetry::{End, Telemetry};
use crate::timeouts::{STREAM_STALL_TIMEOUT, UPLOAD_STALL_TIMEOUT};
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

/// The longest request body, in bytes: more than a client can send within its timeout.
pub const BODY_MAX: u64 = 1 << 30;
/// The most bytes of a body that are buffered before anything is decided or passed on.
pub const BUFFERED_MAX: usize = 64 * 1024;
/// The bytes that are buffered of a body that is known to be longer than `BUFFERED_MAX`.
const BUFFERED_FIRST_MAX: usize = 16 * 1024;
/// The minimum upload rate of a client, in bytes per second, with a margin.
const UPLOAD_RATE: f64 = 32_000.0;
/// The time after which a response that has begun is streamed, unless it is known to be short.
const STREAM_AFTER: Duration = Duration::from_millis(150);

/// Why a body ended early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The connection ended, or the framing is invalid.
    #[error("the connection ended within the body, or its framing is invalid")]
    Connection,
    /// No data arrived for too long.
    #[error("the body stalled")]
    Stalled,
    /// The body is longer than the limit.
    #[error("the body is too long")]
    TooLong,
}

type FrameResult = Result<Frame<Bytes>, BodyError>;

/// A limit on the bytes buffered for all requests and responses together.
#[derive(Clone)]
pub struct BufferBudget {
    left: Rc<Cell<usize>>,
}

/// Buffered bytes, returned to the budget on drop.
pub struct BufferReservation {
    budget: BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> BufferBudget {
        BufferBudget { left: Rc::new(Cell::new(bytes)) }
    }

    /// An empty reservation.
    pub fn reserve(&self) -> BufferReservation {
        BufferReservation { budget: self.clone(), bytes: 0 }
    }
}

impl BufferReservation {
    /// Adds bytes to the reservation; returns whether they fit the budget. Bytes beyond the budget are
    /// buffered too, but not counted.
    fn grow(&mut self, bytes: usize) -> bool {
        let left = self.budget.left.get();
        let fits = left >= bytes;
        let bytes = bytes.min(left);
        self.budget.left.set(left - bytes);
        self.bytes += bytes;
        fits
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.budget.left.set(self.budget.left.get() + self.bytes);
    }
}

async fn next_frame(body: &mut Incoming) -> Option<FrameResult> {
    let frame = std::future::poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await;
    frame.map(|frame| frame.map_err(|_| BodyError::Connection))
}

/// A request's body: the buffered beginning, and the rest if there is more.
pub struct RequestBody {
    /// The first bytes, or the whole body.
    pub buffered: Bytes,
    /// The part that is still to be received.
    pub rest: Option<Rc<Upload>>,
    /// The budget taken by the buffered bytes.
    _reservation: BufferReservation,
}

impl RequestBody {
    /// An empty body.
    pub fn empty(budget: &BufferBudget) -> RequestBody {
        RequestBody { buffered: Bytes::new(), rest: None, _reservation: budget.reserve() }
    }

    /// Reads the beginning of a body, or all of it if it is short. The client's time for the body counts from
    /// `since`.
    pub async fn begin(
        mut body: Incoming,
        budget: &BufferBudget,
        since: Instant,
    ) -> Result<RequestBody, BodyError> {
        let length = body.size_hint().exact();
        let limit =
            if length.is_some_and(|n| n > BUFFERED_MAX as u64) { BUFFERED_FIRST_MAX } else { BUFFERED_MAX };
        let (mut buffered, mut reservation) = (BytesMut::new(), budget.reserve());
        let mut last_received = Instant::now();
        while buffered.len() <= limit {
            let deadline = (since + UPLOAD_STALL_TIMEOUT + upload_time(buffered.len()))
                .min(last_received + UPLOAD_STALL_TIMEOUT);
            let part = timeout_at(deadline, next_frame(&mut body)).await.map_err(|_| BodyError::Stalled)?;
            let Some(part) = part else {
                return Ok(RequestBody {
                    buffered: buffered.freeze(),
                    rest: None,
                    _reservation: reservation,
                });
            };
            last_received = Instant::now();
            let Ok(data) = part?.into_data() else { continue };
            let fits = reservation.grow(data.len());
            buffered.extend_from_slice(&data);
            if !fits {
                break;
            }
        }
        if body.is_end_stream() {
            return Ok(RequestBody { buffered: buffered.freeze(), rest: None, _reservation: reservation });
        }
        let rest = Upload {
            left: length.map(|n| n.saturating_sub(buffered.len() as u64)),
            body: RefCell::new(Some(body)),
            consumed: Cell::new(false),
            completed_at: Cell::new(None),
            last_progress: Cell::new(Instant::now()),
            on_end: RefCell::default(),
        };
        Ok(RequestBody { buffered: buffered.freeze(), rest: Some(Rc::new(rest)), _reservation: reservation })
    }
}

fn upload_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / UPLOAD_RATE)
}

/// The rest of a request's body, not yet received from the client.
pub struct Upload {
    body: RefCell<Option<Incoming>>,
    /// The length in bytes, if known.
    left: Option<u64>,
    consumed: Cell<bool>,
    completed_at: Cell<Option<Instant>>,
    last_progress: Cell<Instant>,
    on_end: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl Upload {
    /// Whether any of it has been passed on, so that the request can't be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// When the last of it was passed on.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// When some of it was last passed on.
    pub fn last_progress(&self) -> Instant {
        self.last_progress.get()
    }

    /// Sets a callback for when all of it has been passed on.
    pub fn on_end(&self, callback: impl FnOnce() + 'static) {
        *self.on_end.borrow_mut() = Some(Box::new(callback));
    }

    /// Reads and discards the rest, so that the client can read its response.
    pub async fn drain(&self) {
        let Some(mut body) = self.body.borrow_mut().take() else { return };
        while let Ok(Some(Ok(_))) =
            timeout_at(Instant::now() + UPLOAD_STALL_TIMEOUT, next_frame(&mut body)).await
        {}
    }

    fn finish(&self) {
        if self.completed_at.replace(Some(Instant::now())).is_none() {
            self.body.borrow_mut().take();
            // Runs in its own task, not while polling: the callback feeds an event to the decision logic.
            if let Some(on_end) = self.on_end.borrow_mut().take() {
                tokio::task::spawn_local(async move { on_end() });
            }
        }
    }

    fn poll(&self, cx: &mut Context, passed: &mut u64) -> Poll<Option<FrameResult>> {
        let polled = match self.body.borrow_mut().as_mut() {
            Some(body) => Pin::new(body).poll_frame(cx),
            None if self.completed_at.get().is_some() => return Poll::Ready(None),
            None => return Poll::Ready(Some(Err(BodyError::Connection))),
        };
        match std::task::ready!(polled) {
            None => {
                self.consumed.set(true);
                self.finish();
                Poll::Ready(None)
            }
            Some(Err(_)) => Poll::Ready(Some(Err(BodyError::Connection))),
            Some(Ok(frame)) => {
                self.consumed.set(true);
                self.last_progress.set(Instant::now());
                *passed += frame.data_ref().map_or(0, Bytes::len) as u64;
                if frame.is_trailers() || self.left.is_some_and(|left| *passed >= left) {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }
}

/// A request body as it is sent to a server.
pub struct OutgoingBody {
    buffered: Bytes,
    rest: Option<Rc<Upload>>,
    passed: u64,
    stall: Option<Pin<Box<Sleep>>>,
}

impl OutgoingBody {
    /// The body from its first byte.
    pub fn new(request: &RequestBody) -> OutgoingBody {
        let stall = request.rest.as_ref().map(|_| Box::pin(sleep(UPLOAD_STALL_TIMEOUT)));
        OutgoingBody { buffered: request.buffered.clone(), rest: request.rest.clone(), passed: 0, stall }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<FrameResult>> {
        let this = self.get_mut();
        if !this.buffered.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.buffered)))));
        }
        let (Some(rest), Some(stall)) = (&this.rest, &mut this.stall) else { return Poll::Ready(None) };
        let polled = rest.poll(cx, &mut this.passed);
        if polled.is_ready() {
            stall.as_mut().reset(Instant::now() + UPLOAD_STALL_TIMEOUT);
        } else if stall.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(BodyError::Stalled)));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let left =
            |rest: &Rc<Upload>| rest.completed_at().is_none() || rest.left.is_some_and(|n| self.passed < n);
        self.buffered.is_empty() && !self.rest.as_ref().is_some_and(left)
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.len() as u64;
        match &self.rest {
            None => SizeHint::with_exact(buffered),
            Some(rest) => match rest.left {
                Some(left) => SizeHint::with_exact(buffered + left.saturating_sub(self.passed)),
                None => SizeHint::default(),
            },
        }
    }
}

/// A response body, either complete or to be streamed.
pub enum ReceivedBody {
    /// The whole body.
    Complete(Bytes),
    /// The beginning, the source of the rest, and the length if known.
    Streaming(VecDeque<Bytes>, Incoming, Option<u64>),
}

/// Reads a response body: completely if it is short, else only its beginning.
pub async fn read_response_body(
    mut body: Incoming,
    budget: &BufferBudget,
    may_stream: bool,
) -> Result<ReceivedBody, BodyError> {
    let length = body.size_hint().exact();
    let short = length.is_some_and(|n| n <= BUFFERED_MAX as u64);
    let long = length.is_some_and(|n| n > BUFFERED_MAX as u64);
    let (mut parts, mut buffered, mut reservation) = (VecDeque::new(), 0, budget.reserve());
    let since = Instant::now();
    loop {
        let part = if short || !may_stream || buffered == 0 {
            next_frame(&mut body).await
        } else {
            match timeout_at(since + STREAM_AFTER, next_frame(&mut body)).await {
                Ok(part) => part,
                Err(_) => return Ok(ReceivedBody::Streaming(parts, body, length)),
            }
        };
        let Some(part) = part else { break };
        let Ok(data) = part?.into_data() else { continue };
        buffered += data.len();
        let fits = reservation.grow(data.len());
        parts.push_back(data);
        if (long || buffered > BUFFERED_MAX || !fits) && may_stream {
            return Ok(ReceivedBody::Streaming(parts, body, length));
        }
        if buffered > BUFFERED_MAX {
            return Err(BodyError::TooLong);
        }
    }
    match parts.len() {
        1 => Ok(ReceivedBody::Complete(parts.pop_front().unwrap_or_default())),
        _ => {
            let mut all = BytesMut::with_capacity(buffered);
            parts.iter().for_each(|part| all.extend_from_slice(part));
            Ok(ReceivedBody::Complete(all.freeze()))
        }
    }
}

/// Counts in telemetry how a request with a streamed response ended.
pub struct EndRecorder {
    telemetry: Rc<Telemetry>,
    class: usize,
    end: Cell<End>,
}

impl EndRecorder {
    /// Counts the client as disconnected unless another end is set.
    pub fn new(telemetry: Rc<Telemetry>, class: usize) -> EndRecorder {
        EndRecorder { telemetry, class, end: Cell::new(End::ClientDisconnected) }
    }
}

impl Drop for EndRecorder {
    fn drop(&mut self) {
        self.telemetry.ended(self.class, self.end.get());
    }
}

/// A response body that is streamed to the client.
pub struct StreamedBody {
    parts: VecDeque<Bytes>,
    rest: Option<Incoming>,
    length: Option<u64>,
    passed: u64,
    stall: Pin<Box<Sleep>>,
    end_recorder: Option<EndRecorder>,
    /// Callback for when all of it has been received.
    on_complete: Option<Box<dyn FnOnce()>>,
}

impl StreamedBody {
    /// The body from its first byte; `on_complete` is called when the last has been received.
    pub fn new(
        (parts, rest, length): (VecDeque<Bytes>, Incoming, Option<u64>),
        on_complete: impl FnOnce() + 'static,
    ) -> StreamedBody {
        let (stall, on_complete) =
            (Box::pin(sleep(STREAM_STALL_TIMEOUT)), Some(Box::new(on_complete) as Box<dyn FnOnce()>));
        StreamedBody { parts, rest: Some(rest), length, passed: 0, stall, end_recorder: None, on_complete }
    }

    /// Sets what counts the end of the request.
    pub fn count(&mut self, end_recorder: EndRecorder) {
        self.end_recorder = Some(end_recorder);
    }

    fn end(&mut self, end: End) {
        if let Some(end_recorder) = self.end_recorder.take() {
            end_recorder.end.set(end);
        }
        if let (Some(on_complete), End::Served) = (self.on_complete.take(), end) {
            on_complete();
        }
        self.rest = None;
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<FrameResult>> {
        let this = self.get_mut();
        let part = match (this.parts.pop_front(), &mut this.rest) {
            (Some(part), _) => Some(Ok(Frame::data(part))),
            (None, None) => None,
            (None, Some(rest)) => match Pin::new(rest).poll_frame(cx) {
                Poll::Ready(part) => part.map(|part| part.map_err(|_| BodyError::Connection)),
                Poll::Pending if this.stall.as_mut().poll(cx).is_ready() => Some(Err(BodyError::Stalled)),
                Poll::Pending => return Poll::Pending,
            },
        };
        this.stall.as_mut().reset(Instant::now() + STREAM_STALL_TIMEOUT);
        match &part {
            None => this.end(End::Served),
            Some(Err(_)) => this.end(End::Failed),
            Some(Ok(frame)) => {
                this.passed += frame.data_ref().map_or(0, Bytes::len) as u64;
                // The HTTP library doesn't poll past the known length or past trailers.
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

/// The body of a response to a client, complete or streamed, with a callback for when the HTTP library drops
/// it.
pub struct ResponseBody {
    complete: Bytes,
    streamed: Option<StreamedBody>,
    on_drop: Option<Box<dyn FnOnce()>>,
}

impl ResponseBody {
    /// A complete body.
    pub fn complete(body: Bytes) -> ResponseBody {
        ResponseBody { complete: body, streamed: None, on_drop: None }
    }

    /// A streamed body.
    pub fn streamed(streamed: StreamedBody) -> ResponseBody {
        ResponseBody { complete: Bytes::new(), streamed: Some(streamed), on_drop: None }
    }

    /// Sets a callback for when the HTTP library has written or dropped the body.
    pub fn on_drop(&mut self, callback: impl FnOnce() + 'static) {
        self.on_drop = Some(Box::new(callback));
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(on_drop) = self.on_drop.take() {
            on_drop();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(self: Pin<&mut Self>, cx: &mut Context) -> Poll<Option<FrameResult>> {
        let this = self.get_mut();
        match &mut this.streamed {
            Some(streamed) => Pin::new(streamed).poll_frame(cx),
            None if this.complete.is_empty() => Poll::Ready(None),
            None => Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut this.complete))))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.complete.is_empty() && self.streamed.as_ref().is_none_or(StreamedBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.streamed {
            Some(streamed) => streamed.size_hint(),
            None => SizeHint::with_exact(self.complete.len() as u64),
        }
    }
}
