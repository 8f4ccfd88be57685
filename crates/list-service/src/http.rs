//! The service on sockets: calls in, answers and watches out.

use crate::board::Position;
use crate::doors::{Admitted, Doors};
use crate::registry::Refusal;
use crate::service::{count, Denied, Service};
use bytes::Bytes;
use granitelead_base::wire::Place;
use granitelead_base::{note, ACCEPT_PAUSE};
use granitelead_list::forms::{Refused, HOSTS, OVERLOADED, REVISION};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rustix::net::sockopt::set_socket_send_buffer_size;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, Duration, Sleep};

/// Time for a head, and between two.
const HEAD_TIME: Duration = Duration::from_secs(5);
/// Time for a body.
const BODY_TIME: Duration = Duration::from_secs(5);
/// The longest head: what the library's buffer holds.
const HEAD_MAX: usize = 16 * 1024;
/// The longest body.
const BODY_MAX: usize = 4 * 1024;
/// Time in which a peer has to take something of what it is sent.
const TAKE_TIME: Duration = Duration::from_secs(5);
/// What the system holds of what a peer has not taken, bytes; it may double this.
const SEND_BUFFER: usize = 64 * 1024;
/// An empty line is due so often.
const BEAT: Duration = Duration::from_secs(2);
/// Whole lists being written at once.
const LISTS_MAX: usize = 64;
/// Newcomers being told that there is no room, and the time for that.
const TURNED_AWAY_MAX: usize = 64;
/// See `TURNED_AWAY_MAX`.
const TURNED_AWAY_TIME: Duration = Duration::from_secs(1);
/// What they are told.
const NO_ROOM: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// When to come back.
const COME_BACK_S: &str = "1";

/// The listening side.
pub struct Front {
    service: Rc<Service>,
    doors: RefCell<Doors>,
    tasks: RefCell<HashMap<u64, AbortHandle>>,
    watches_max: usize,
    turned_away: Rc<Cell<usize>>,
    odd: Cell<u64>,
}

impl Front {
    /// For so many connections.
    pub fn new(service: Rc<Service>, connections: usize) -> Rc<Front> {
        let (doors, watches_max) = (RefCell::new(Doors::new(connections)), connections * 2 / 3);
        Rc::new(Front {
            service,
            doors,
            tasks: RefCell::default(),
            watches_max,
            turned_away: Rc::default(),
            odd: Cell::new(0),
        })
    }

    /// Takes connections for ever.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(e) => {
                    note(&self.odd, format_args!("no connection taken: {e}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let number = match self.doors.borrow_mut().admit() {
            Admitted::As(number) => number,
            Admitted::InPlaceOf(number, other) => {
                if let Some(task) = self.tasks.borrow_mut().remove(&other) {
                    task.abort();
                }
                number
            }
            Admitted::No => return self.turn_away(stream),
        };
        let _ = stream.set_nodelay(true);
        // What a watcher doesn't take waits in the system, too; refused, the system's own bound holds.
        let _ = set_socket_send_buffer_size(&stream, SEND_BUFFER);
        let front = self.clone();
        let task = tokio::task::spawn_local(async move {
            let _leaves = Leaves(front.clone(), number);
            let calls = service_fn(|request| {
                let front = front.clone();
                async move { Ok::<_, Infallible>(front.answer(number, request).await) }
            });
            // How a peer ends is its own affair.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIME)
                .max_buf_size(HEAD_MAX)
                .serve_connection(TokioIo::new(Taking::new(stream)), calls)
                .await;
        });
        self.tasks.borrow_mut().insert(number, task.abort_handle());
    }

    /// All others are at work: says so at once, without reading what is asked.
    fn turn_away(&self, mut stream: TcpStream) {
        note(&self.odd, "no room for a connection");
        let Some(place) = Place::take(&self.turned_away, TURNED_AWAY_MAX) else { return };
        tokio::task::spawn_local(async move {
            let said = async {
                stream.write_all(NO_ROOM).await?;
                stream.shutdown().await?;
                // Closed with something unread, the connection would be reset, and the answer lost.
                let mut sink = [0; 1024];
                while stream.read(&mut sink).await? > 0 {}
                Ok::<_, io::Error>(())
            };
            let _ = timeout(TURNED_AWAY_TIME, said).await;
            drop(place);
        });
    }

    async fn answer(self: &Rc<Self>, number: u64, request: Request<Incoming>) -> Response<Out> {
        self.doors.borrow_mut().works(number, true);
        let works = Works(self.clone(), number);
        let mut answer = match self.route(request).await {
            Ok(answer) => answer,
            Err(wrong) => wrong.answer(),
        };
        answer.body_mut().works = Some(works);
        answer
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<Out>, Wrong> {
        let service = &self.service;
        let path = request.uri().path();
        let allowed = match path {
            HOSTS | REVISION | "/discovery/figures" => Method::GET,
            "/discovery/register" | "/discovery/renew" | "/discovery/drain" | "/discovery/deregister" => {
                Method::POST
            }
            _ => return Err(Wrong::NoSuchCall),
        };
        if request.method() != allowed {
            return Err(Wrong::Method(allowed));
        }
        match path {
            HOSTS => self.hosts(request.uri().query().unwrap_or_default()),
            REVISION => {
                service.tells()?;
                Ok(json(StatusCode::OK, &service.revision()))
            }
            "/discovery/figures" => {
                let text = service.figures(self.doors.borrow().open());
                Ok(plain(StatusCode::OK, "text/plain", text.into()))
            }
            "/discovery/register" => Ok(json(StatusCode::OK, &service.register(read(request).await?).await?)),
            "/discovery/renew" => Ok(json(StatusCode::OK, &service.renew(&read(request).await?)?)),
            "/discovery/drain" => Ok(json(StatusCode::OK, &service.drain(&read(request).await?).await?)),
            _ => Ok(json(StatusCode::OK, &service.deregister(&read(request).await?).await?)),
        }
    }

    fn hosts(&self, query: &str) -> Result<Response<Out>, Wrong> {
        let asked = Asked::read(query)?;
        let service = &self.service;
        count(&service.counts.list_calls);
        service.tells()?;
        let room = self.doors.borrow().has_room_for_lists();
        let take = |taken: &Rc<Cell<usize>>, most| {
            let place = Place::take(taken, most).filter(|_| room);
            place.ok_or_else(|| {
                count(&service.counts.refused);
                Wrong::Overloaded
            })
        };
        let at = service.at();
        if !asked.stream {
            let place = take(&service.counts.lists, LISTS_MAX)?;
            let mut answer = plain(StatusCode::OK, "application/json", service.whole());
            answer.body_mut().place = Some(place);
            return Ok(answer);
        }
        let epoch = asked.epoch.unwrap_or(at.epoch);
        if !service.knows(Position { epoch, rev: asked.index }) {
            if asked.epoch.is_some() {
                service.was_told(Position { epoch, rev: asked.index });
            }
            return Err(Wrong::IndexAhead);
        }
        let place = take(&service.counts.watches, self.watches_max)?;
        // Nothing is known to whoever asks from 0 on, though nothing may have changed since.
        let told = Position { epoch: if asked.index == 0 { 0 } else { epoch }, rev: asked.index };
        let watch = Watch { service: service.clone(), told, changes: service.changes(), begun: false };
        let body = Out { place: Some(place), ..Out::new(Content::Watch(Box::pin(watch.line()))) };
        Ok(with_type(Response::new(body), "application/json"))
    }
}

/// Tells the doors when a connection has ended.
struct Leaves(Rc<Front>, u64);

impl Drop for Leaves {
    fn drop(&mut self) {
        self.0.doors.borrow_mut().leaves(self.1);
        self.0.tasks.borrow_mut().remove(&self.1);
    }
}

/// Tells the doors when an answer has been written.
struct Works(Rc<Front>, u64);

impl Drop for Works {
    fn drop(&mut self) {
        self.0.doors.borrow_mut().works(self.1, false);
    }
}

/// What a call for the list asks for.
#[derive(Debug, PartialEq, Eq)]
struct Asked {
    stream: bool,
    index: u64,
    epoch: Option<u64>,
}

impl Asked {
    /// Parameters that nobody knows are passed over.
    fn read(query: &str) -> Result<Asked, Wrong> {
        let mut asked = Asked { stream: false, index: 0, epoch: None };
        for part in query.split('&') {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            let number = |wrong| value.parse::<u64>().map_err(|_| Wrong::Query(wrong));
            match name {
                "stream" if value == "1" => asked.stream = true,
                "stream" => return Err(Wrong::Query("stream")),
                "index" => asked.index = number("index")?,
                "epoch" => asked.epoch = Some(number("epoch")?),
                _ => {}
            }
        }
        Ok(asked)
    }
}

/// Why a call fails.
#[derive(Debug, PartialEq, Eq)]
enum Wrong {
    NoSuchCall,
    Method(Method),
    Query(&'static str),
    IndexAhead,
    Overloaded,
    TooLong,
    TooSlow,
    Json(String),
    Denied(Denied),
}

impl From<Denied> for Wrong {
    fn from(denied: Denied) -> Wrong {
        Wrong::Denied(denied)
    }
}

impl Wrong {
    fn answer(&self) -> Response<Out> {
        let (status, error, what) = match self {
            Wrong::NoSuchCall => (StatusCode::NOT_FOUND, "no_such_call", "no such path".to_owned()),
            Wrong::Method(_) => (StatusCode::METHOD_NOT_ALLOWED, "method", "not with this method".to_owned()),
            Wrong::Query(field) => {
                (StatusCode::BAD_REQUEST, "bad_query", format!("`{field}` has no proper value"))
            }
            Wrong::IndexAhead => {
                (StatusCode::CONFLICT, "index_ahead", "this list is not at that version".to_owned())
            }
            Wrong::Overloaded => {
                (StatusCode::SERVICE_UNAVAILABLE, OVERLOADED, "as many are served as can be".to_owned())
            }
            Wrong::TooLong => {
                (StatusCode::PAYLOAD_TOO_LARGE, "too_long", format!("more than {BODY_MAX} bytes"))
            }
            Wrong::TooSlow => (StatusCode::REQUEST_TIMEOUT, "too_slow", "the body did not come".to_owned()),
            Wrong::Json(what) => (StatusCode::BAD_REQUEST, "bad_json", what.clone()),
            Wrong::Denied(Denied::By(refusal)) => {
                let (status, error) = match refusal {
                    Refusal::Bad(_) => (StatusCode::BAD_REQUEST, "bad_field"),
                    Refusal::UnknownLease => (StatusCode::NOT_FOUND, "unknown_lease"),
                    Refusal::Superseded => (StatusCode::CONFLICT, "superseded"),
                    Refusal::Full => (StatusCode::SERVICE_UNAVAILABLE, "full"),
                };
                (status, error, refusal.to_string())
            }
            Wrong::Denied(Denied::ReadOnly) => {
                (StatusCode::FORBIDDEN, "read_only", "this is a mirror".to_owned())
            }
            Wrong::Denied(Denied::Disk) => {
                (StatusCode::SERVICE_UNAVAILABLE, "disk", "the disk takes nothing now".to_owned())
            }
            Wrong::Denied(Denied::Settling) => {
                (StatusCode::SERVICE_UNAVAILABLE, "settling", "servers are registering anew".to_owned())
            }
            Wrong::Denied(Denied::NoList) => {
                (StatusCode::SERVICE_UNAVAILABLE, "no_list", "nothing heard yet".to_owned())
            }
        };
        let mut answer = json(status, &Refused { error: error.to_owned(), what });
        if status == StatusCode::SERVICE_UNAVAILABLE {
            answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(COME_BACK_S));
        }
        if let Wrong::Method(allowed) = self {
            if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
                answer.headers_mut().insert(ALLOW, value);
            }
        }
        answer
    }
}

async fn read<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Wrong> {
    let body = Limited::new(request.into_body(), BODY_MAX).collect();
    let body = timeout(BODY_TIME, body).await.map_err(|_| Wrong::TooSlow)?.map_err(|_| Wrong::TooLong)?;
    serde_json::from_slice(&body.to_bytes()).map_err(|e| Wrong::Json(e.to_string()))
}

fn json(status: StatusCode, what: &impl Serialize) -> Response<Out> {
    // Such values always have a form.
    let mut text = serde_json::to_vec(what).unwrap_or_default();
    text.push(b'\n');
    plain(status, "application/json", text.into())
}

fn plain(status: StatusCode, kind: &'static str, text: Bytes) -> Response<Out> {
    let mut answer = Response::new(Out::new(Content::Once(Some(text))));
    *answer.status_mut() = status;
    with_type(answer, kind)
}

fn with_type(mut answer: Response<Out>, kind: &'static str) -> Response<Out> {
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer
}

/// A watcher: no queue, only how far it has been told.
struct Watch {
    service: Rc<Service>,
    told: Position,
    changes: watch::Receiver<Position>,
    begun: bool,
}

impl Watch {
    /// The next line, when there is one.
    async fn line(mut self) -> (Bytes, Watch) {
        loop {
            self.changes.mark_unchanged();
            if let Some(line) = self.service.next(&mut self.told) {
                self.begun = true;
                return (line, self);
            }
            if !std::mem::replace(&mut self.begun, true) {
                return (self.service.beat(), self);
            }
            if !matches!(timeout(BEAT, self.changes.changed()).await, Ok(Ok(()))) {
                return (self.service.beat(), self);
            }
        }
    }
}

type Line = Pin<Box<dyn Future<Output = (Bytes, Watch)>>>;

enum Content {
    Once(Option<Bytes>),
    Watch(Line),
}

/// The body of an answer, with the places that it holds while it is written.
struct Out {
    content: Content,
    place: Option<Place>,
    works: Option<Works>,
}

impl Out {
    fn new(content: Content) -> Out {
        Out { content, place: None, works: None }
    }
}

impl Body for Out {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut self.content {
            Content::Once(text) => Poll::Ready(text.take().map(|text| Ok(Frame::data(text)))),
            Content::Watch(line) => {
                let (text, watch) = ready!(line.as_mut().poll(cx));
                *line = Box::pin(watch.line());
                Poll::Ready(Some(Ok(Frame::data(text))))
            }
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match &self.content {
            Content::Once(text) => {
                hyper::body::SizeHint::with_exact(text.as_ref().map_or(0, |text| text.len() as u64))
            }
            Content::Watch(_) => hyper::body::SizeHint::new(),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Once(None))
    }
}

/// A connection whose peer has to take something of what it is sent now and then.
struct Taking {
    stream: TcpStream,
    stalls: Option<Pin<Box<Sleep>>>,
}

impl Taking {
    fn new(stream: TcpStream) -> Taking {
        Taking { stream, stalls: None }
    }

    fn watch<T>(&mut self, cx: &mut Context, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.stalls = None;
            return polled;
        }
        let stalls = self.stalls.get_or_insert_with(|| Box::pin(sleep(TAKE_TIME)));
        ready!(stalls.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for Taking {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Taking {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.watch(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.watch(cx, polled)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_asked_is_read_or_refused() {
        let asked = |stream, index, epoch| Ok(Asked { stream, index, epoch });
        for (query, what) in [
            ("", asked(false, 0, None)),
            ("stream=1&index=41", asked(true, 41, None)),
            ("index=41&epoch=7&stream=1&later=x", asked(true, 41, Some(7))),
            ("stream=1&index=-1", Err(Wrong::Query("index"))),
            ("stream=1&index=", Err(Wrong::Query("index"))),
            ("stream=1&index=99999999999999999999", Err(Wrong::Query("index"))),
            ("stream=1&epoch=x", Err(Wrong::Query("epoch"))),
            ("stream=yes", Err(Wrong::Query("stream"))),
        ] {
            assert_eq!(Asked::read(query), what, "{query}");
        }
    }
}
