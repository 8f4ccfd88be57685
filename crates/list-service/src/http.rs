//! HTTP API of the service: connections, request routing, responses and watches.

use crate::change_feed::Position;
use crate::connection_table::{Admission, ConnectionTable};
use crate::registry::RegistryError;
use crate::service::{increment, Service, ServiceError};
use bytes::Bytes;
use granitelead_base::connection::Slot;
use granitelead_base::{log_throttled, ACCEPT_PAUSE};
use granitelead_list::messages::{ErrorResponse, HOSTS_PATH, OVERLOADED, REVISION_PATH};
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

/// Timeout for a request head, also while the connection is idle between two requests.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a request head, in bytes: the size of the HTTP library's buffer.
const HEAD_MAX: usize = 16 * 1024;
/// Maximum size of a request body, in bytes.
const BODY_MAX: usize = 4 * 1024;
/// Time in which a blocked write has to make progress.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the socket's send buffer, in bytes; the kernel may double it.
const SEND_BUFFER: usize = 64 * 1024;
/// Interval of heartbeats on an idle watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of full lists that are written at the same time.
const CONCURRENT_LISTS_MAX: usize = 64;
/// Maximum number of refused connections that are sent a response at the same time.
const REJECTIONS_MAX: usize = 64;
/// Time for sending that response.
const REJECTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Response to a refused connection.
const REJECTION_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER_S: &str = "1";

/// The HTTP server.
pub struct HttpServer {
    service: Rc<Service>,
    connections: RefCell<ConnectionTable>,
    tasks: RefCell<HashMap<u64, AbortHandle>>,
    watches_max: usize,
    rejections: Rc<Cell<usize>>,
    /// Number of failures logged, see [`log_throttled`].
    event_count: Cell<u64>,
}

impl HttpServer {
    /// A server for at most `connections_max` connections.
    pub fn new(service: Rc<Service>, connections_max: usize) -> Rc<HttpServer> {
        let (connections, watches_max) =
            (RefCell::new(ConnectionTable::new(connections_max)), connections_max * 2 / 3);
        Rc::new(HttpServer {
            service,
            connections,
            tasks: RefCell::default(),
            watches_max,
            rejections: Rc::default(),
            event_count: Cell::new(0),
        })
    }

    /// Accepts connections forever.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(e) => {
                    log_throttled(&self.event_count, format_args!("can't accept a connection: {e}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let number = match self.connections.borrow_mut().admit() {
            Admission::Accepted(number) => number,
            Admission::Replaced(number, other) => {
                if let Some(task) = self.tasks.borrow_mut().remove(&other) {
                    task.abort();
                }
                number
            }
            Admission::Refused => return self.reject(stream),
        };
        let _ = stream.set_nodelay(true);
        // Bounds the data that the kernel buffers for a slow watcher; if this fails, the kernel's default
        // applies.
        let _ = set_socket_send_buffer_size(&stream, SEND_BUFFER);
        let server = self.clone();
        let task = tokio::task::spawn_local(async move {
            let _guard = ConnectionGuard(server.clone(), number);
            let calls = service_fn(|request| {
                let server = server.clone();
                async move { Ok::<_, Infallible>(server.answer(number, request).await) }
            });
            // Errors of a connection only concern its peer and are not logged.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .max_buf_size(HEAD_MAX)
                .serve_connection(TokioIo::new(WriteTimeoutStream::new(stream)), calls)
                .await;
        });
        self.tasks.borrow_mut().insert(number, task.abort_handle());
    }

    /// Refuses a connection because all others are busy: responds at once, without reading the request.
    fn reject(&self, mut stream: TcpStream) {
        log_throttled(&self.event_count, "refused a connection: all connections are busy");
        let Some(slot) = Slot::acquire(&self.rejections, REJECTIONS_MAX) else { return };
        tokio::task::spawn_local(async move {
            let response = async {
                stream.write_all(REJECTION_RESPONSE).await?;
                stream.shutdown().await?;
                // Closing the connection with unread input would reset it, and the response could be lost.
                let mut sink = [0; 1024];
                while stream.read(&mut sink).await? > 0 {}
                Ok::<_, io::Error>(())
            };
            let _ = timeout(REJECTION_TIMEOUT, response).await;
            drop(slot);
        });
    }

    async fn answer(self: &Rc<Self>, number: u64, request: Request<Incoming>) -> Response<ResponseBody> {
        self.connections.borrow_mut().set_busy(number, true);
        let busy_guard = BusyGuard(self.clone(), number);
        let mut response = match self.route(request).await {
            Ok(response) => response,
            Err(error) => error.response(),
        };
        response.body_mut().busy_guard = Some(busy_guard);
        response
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, ApiError> {
        let service = &self.service;
        let path = request.uri().path();
        let allowed = match path {
            HOSTS_PATH | REVISION_PATH | "/discovery/figures" => Method::GET,
            "/discovery/register" | "/discovery/renew" | "/discovery/drain" | "/discovery/deregister" => {
                Method::POST
            }
            _ => return Err(ApiError::UnknownPath),
        };
        if request.method() != allowed {
            return Err(ApiError::MethodNotAllowed(allowed));
        }
        match path {
            HOSTS_PATH => self.hosts(request.uri().query().unwrap_or_default()),
            REVISION_PATH => {
                service.check_serving()?;
                Ok(json_response(StatusCode::OK, &service.revision()))
            }
            "/discovery/figures" => {
                let text = service.figures(self.connections.borrow().len());
                Ok(text_response(StatusCode::OK, "text/plain", text.into()))
            }
            "/discovery/register" => {
                Ok(json_response(StatusCode::OK, &service.register(read_json(request).await?).await?))
            }
            "/discovery/renew" => {
                Ok(json_response(StatusCode::OK, &service.renew(&read_json(request).await?)?))
            }
            "/discovery/drain" => {
                Ok(json_response(StatusCode::OK, &service.drain(&read_json(request).await?).await?))
            }
            _ => Ok(json_response(StatusCode::OK, &service.deregister(&read_json(request).await?).await?)),
        }
    }

    fn hosts(&self, query: &str) -> Result<Response<ResponseBody>, ApiError> {
        let query = ListQuery::parse(query)?;
        let service = &self.service;
        increment(&service.counts.list_calls);
        service.check_serving()?;
        let accepts_lists = self.connections.borrow().accepts_list_requests();
        let take_slot = |in_use: &Rc<Cell<usize>>, limit| {
            let slot = Slot::acquire(in_use, limit).filter(|_| accepts_lists);
            slot.ok_or_else(|| {
                increment(&service.counts.lists_refused);
                ApiError::Overloaded
            })
        };
        let current = service.position();
        if !query.stream {
            let slot = take_slot(&service.counts.lists, CONCURRENT_LISTS_MAX)?;
            let mut response = text_response(StatusCode::OK, "application/json", service.full_list());
            response.body_mut().slot = Some(slot);
            return Ok(response);
        }
        let epoch = query.epoch.unwrap_or(current.epoch);
        if !service.can_continue_from(Position { epoch, rev: query.index }) {
            if query.epoch.is_some() {
                service.on_unknown_version(Position { epoch, rev: query.index });
            }
            return Err(ApiError::VersionAhead);
        }
        let slot = take_slot(&service.counts.watches, self.watches_max)?;
        // A watcher that starts from version 0 has no list yet and gets the full one, even if there are no
        // changes.
        let position = Position { epoch: if query.index == 0 { 0 } else { epoch }, rev: query.index };
        let watch =
            Watch { service: service.clone(), position, changes: service.changes(), is_started: false };
        let body = ResponseBody {
            slot: Some(slot),
            ..ResponseBody::new(BodyContent::Watch(Box::pin(watch.next_line())))
        };
        Ok(with_type(Response::new(body), "application/json"))
    }
}

/// Removes a connection from the table when dropped.
struct ConnectionGuard(Rc<HttpServer>, u64);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.borrow_mut().remove(self.1);
        self.0.tasks.borrow_mut().remove(&self.1);
    }
}

/// Marks a connection as idle when dropped, which is when its response has been written.
struct BusyGuard(Rc<HttpServer>, u64);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.connections.borrow_mut().set_busy(self.1, false);
    }
}

/// Query parameters of a request for the list.
#[derive(Debug, PartialEq, Eq)]
struct ListQuery {
    stream: bool,
    index: u64,
    epoch: Option<u64>,
}

impl ListQuery {
    /// Parses the query; unknown parameters are ignored.
    fn parse(query: &str) -> Result<ListQuery, ApiError> {
        let mut parsed = ListQuery { stream: false, index: 0, epoch: None };
        for part in query.split('&') {
            let (name, value) = part.split_once('=').unwrap_or((part, ""));
            let number = |name| value.parse::<u64>().map_err(|_| ApiError::InvalidQuery(name));
            match name {
                "stream" if value == "1" => parsed.stream = true,
                "stream" => return Err(ApiError::InvalidQuery("stream")),
                "index" => parsed.index = number("index")?,
                "epoch" => parsed.epoch = Some(number("epoch")?),
                _ => {}
            }
        }
        Ok(parsed)
    }
}

/// Why a request fails.
#[derive(Debug, PartialEq, Eq)]
enum ApiError {
    UnknownPath,
    /// The method that the path allows.
    MethodNotAllowed(Method),
    /// The parameter with an invalid value.
    InvalidQuery(&'static str),
    VersionAhead,
    Overloaded,
    BodyTooLong,
    BodyTimeout,
    InvalidJson(String),
    Service(ServiceError),
}

impl From<ServiceError> for ApiError {
    fn from(error: ServiceError) -> ApiError {
        ApiError::Service(error)
    }
}

impl ApiError {
    fn response(&self) -> Response<ResponseBody> {
        let (status, error, what) = match self {
            ApiError::UnknownPath => (StatusCode::NOT_FOUND, "no_such_call", "unknown path".to_owned()),
            ApiError::MethodNotAllowed(_) => {
                (StatusCode::METHOD_NOT_ALLOWED, "method", "method not allowed".to_owned())
            }
            ApiError::InvalidQuery(field) => {
                (StatusCode::BAD_REQUEST, "bad_query", format!("invalid value of `{field}`"))
            }
            ApiError::VersionAhead => {
                (StatusCode::CONFLICT, "index_ahead", "the list has not reached this version".to_owned())
            }
            ApiError::Overloaded => {
                (StatusCode::SERVICE_UNAVAILABLE, OVERLOADED, "too many concurrent requests".to_owned())
            }
            ApiError::BodyTooLong => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "too_long",
                format!("the body is longer than {BODY_MAX} bytes"),
            ),
            ApiError::BodyTimeout => {
                (StatusCode::REQUEST_TIMEOUT, "too_slow", "timeout while reading the body".to_owned())
            }
            ApiError::InvalidJson(error) => (StatusCode::BAD_REQUEST, "bad_json", error.clone()),
            ApiError::Service(ServiceError::Registry(reason)) => {
                let (status, error) = match reason {
                    RegistryError::InvalidField(_) => (StatusCode::BAD_REQUEST, "bad_field"),
                    RegistryError::UnknownLease => (StatusCode::NOT_FOUND, "unknown_lease"),
                    RegistryError::Superseded => (StatusCode::CONFLICT, "superseded"),
                    RegistryError::TooManyLeases => (StatusCode::SERVICE_UNAVAILABLE, "full"),
                };
                (status, error, reason.to_string())
            }
            ApiError::Service(ServiceError::ReadOnly) => {
                (StatusCode::FORBIDDEN, "read_only", "a mirror accepts no changes".to_owned())
            }
            ApiError::Service(ServiceError::DiskUnavailable) => {
                (StatusCode::SERVICE_UNAVAILABLE, "disk", "the change can't be written to disk".to_owned())
            }
            ApiError::Service(ServiceError::Settling) => (
                StatusCode::SERVICE_UNAVAILABLE,
                "settling",
                "waiting for servers to register again".to_owned(),
            ),
            ApiError::Service(ServiceError::NoList) => {
                (StatusCode::SERVICE_UNAVAILABLE, "no_list", "no list received yet".to_owned())
            }
        };
        let mut response = json_response(status, &ErrorResponse { error: error.to_owned(), what });
        if status == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
        }
        if let ApiError::MethodNotAllowed(allowed) = self {
            if let Ok(value) = HeaderValue::from_str(allowed.as_str()) {
                response.headers_mut().insert(ALLOW, value);
            }
        }
        response
    }
}

async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, ApiError> {
    let body = Limited::new(request.into_body(), BODY_MAX).collect();
    let body = timeout(BODY_TIMEOUT, body)
        .await
        .map_err(|_| ApiError::BodyTimeout)?
        .map_err(|_| ApiError::BodyTooLong)?;
    serde_json::from_slice(&body.to_bytes()).map_err(|e| ApiError::InvalidJson(e.to_string()))
}

fn json_response(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    // Serializing the types used here can't fail.
    let mut text = serde_json::to_vec(value).unwrap_or_default();
    text.push(b'\n');
    text_response(status, "application/json", text.into())
}

fn text_response(status: StatusCode, content_type: &'static str, text: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::new(BodyContent::Once(Some(text))));
    *response.status_mut() = status;
    with_type(response, content_type)
}

fn with_type(mut response: Response<ResponseBody>, content_type: &'static str) -> Response<ResponseBody> {
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// State of one watch: it has no queue, only the position up to which the watcher has received the list.
struct Watch {
    service: Rc<Service>,
    position: Position,
    changes: watch::Receiver<Position>,
    /// Whether a first line has been sent.
    is_started: bool,
}

impl Watch {
    /// Waits for the next line: the changes since the last one, or a heartbeat.
    async fn next_line(mut self) -> (Bytes, Watch) {
        loop {
            self.changes.mark_unchanged();
            if let Some(line) = self.service.next_line(&mut self.position) {
                self.is_started = true;
                return (line, self);
            }
            if !std::mem::replace(&mut self.is_started, true) {
                return (self.service.heartbeat(), self);
            }
            if !matches!(timeout(HEARTBEAT_INTERVAL, self.changes.changed()).await, Ok(Ok(()))) {
                return (self.service.heartbeat(), self);
            }
        }
    }
}

type NextLine = Pin<Box<dyn Future<Output = (Bytes, Watch)>>>;

enum BodyContent {
    Once(Option<Bytes>),
    Watch(NextLine),
}

/// Body of a response, with the guards that are released when it has been written.
struct ResponseBody {
    content: BodyContent,
    slot: Option<Slot>,
    busy_guard: Option<BusyGuard>,
}

impl ResponseBody {
    fn new(content: BodyContent) -> ResponseBody {
        ResponseBody { content, slot: None, busy_guard: None }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut self.content {
            BodyContent::Once(text) => Poll::Ready(text.take().map(|text| Ok(Frame::data(text)))),
            BodyContent::Watch(next_line) => {
                let (text, watch) = ready!(next_line.as_mut().poll(cx));
                *next_line = Box::pin(watch.next_line());
                Poll::Ready(Some(Ok(Frame::data(text))))
            }
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match &self.content {
            BodyContent::Once(text) => {
                hyper::body::SizeHint::with_exact(text.as_ref().map_or(0, |text| text.len() as u64))
            }
            BodyContent::Watch(_) => hyper::body::SizeHint::new(),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, BodyContent::Once(None))
    }
}

/// A connection that fails if a write makes no progress within `WRITE_TIMEOUT`.
struct WriteTimeoutStream {
    stream: TcpStream,
    write_deadline: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeoutStream {
    fn new(stream: TcpStream) -> WriteTimeoutStream {
        WriteTimeoutStream { stream, write_deadline: None }
    }

    fn check_timeout<T>(&mut self, cx: &mut Context, polled: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.write_deadline = None;
            return polled;
        }
        let write_deadline = self.write_deadline.get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        ready!(write_deadline.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_timeout(cx, polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_timeout(cx, polled)
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
    fn queries_are_parsed_or_rejected() {
        let parsed = |stream, index, epoch| Ok(ListQuery { stream, index, epoch });
        for (query, expected) in [
            ("", parsed(false, 0, None)),
            ("stream=1&index=41", parsed(true, 41, None)),
            ("index=41&epoch=7&stream=1&later=x", parsed(true, 41, Some(7))),
            ("stream=1&index=-1", Err(ApiError::InvalidQuery("index"))),
            ("stream=1&index=", Err(ApiError::InvalidQuery("index"))),
            ("stream=1&index=99999999999999999999", Err(ApiError::InvalidQuery("index"))),
            ("stream=1&epoch=x", Err(ApiError::InvalidQuery("epoch"))),
            ("stream=yes", Err(ApiError::InvalidQuery("stream"))),
        ] {
            assert_eq!(ListQuery::parse(query), expected, "{query}");
        }
    }
}
