//! Pool of connections to servers. Each connection carries one request at a time and is reused while that is
//! safe.
//!
//! A response is attributed to a request only if it can't belong to another one. Anything else that arrives,
//! and any connection that ends early, closes the connection and leaves the request as one that may have been
//! executed.

use crate::request_state::Outcome;
use bytes::Bytes;
use granitelead_base::connection::{ConnectionHandle, ConnectionIo, Slot};
use granitelead_base::set_user_timeout;
use granitelead_common::configuration::RetrySafety;
use http_body_util::{BodyExt, Full};
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, CONNECTION, CONTENT_ENCODING, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Timeout for establishing a connection; within a region it takes some milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_MAX: Duration = Duration::from_millis(1_500);
/// How long an idle connection is kept for idempotent requests if its server sends no `Keep-Alive` timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Fraction used of the time for which a server promises to keep an idle connection open.
const PROMISED_FRACTION: f64 = 0.6;
/// Idle connections kept per server.
const IDLE_PER_SERVER_MAX: usize = 4;
/// Largest response body that is buffered, bytes; a larger one is streamed.
pub const BUFFERED_BODY_MAX: usize = 512 << 10;
/// Largest response head accepted from a server, bytes.
const HEAD_MAX: usize = 32 << 10;

/// Names of the headers of granitelead's own protocol.
pub mod header_names {
    use hyper::header::HeaderName;

    /// Id of the client's attempt.
    pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-granitelead-attempt-id");
    /// Time left for the request, ms.
    pub const DEADLINE: HeaderName = HeaderName::from_static("x-granitelead-deadline-milliseconds");
    /// The only server instance that may execute the request.
    pub const EXPECTED_INSTANCE: HeaderName = HeaderName::from_static("x-granitelead-expected-instance");
    /// The tenant that the API key belongs to.
    pub const TENANT: HeaderName = HeaderName::from_static("x-granitelead-tenant-name");
    /// Set by the server on its own responses.
    pub const SEAL: HeaderName = HeaderName::from_static("x-granitelead-server-seal");
    /// The server did not execute the request.
    pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-granitelead-not-executed");
}

/// The body of a server's response.
pub enum Body {
    /// The complete body.
    Complete(Bytes),
    /// The beginning that has been read, and the rest still to be received.
    Partial(Bytes, Incoming),
}

/// A server's response.
pub struct ServerResponse {
    /// Status and headers.
    pub head: Response<()>,
    /// The body.
    pub body: Body,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    wire: Rc<ConnectionHandle>,
    /// Whether it has carried no request yet, so that only the response to the first one can arrive on it.
    unused: bool,
    /// When the pool closes it.
    expires_at: Instant,
    /// Until when its server has promised to keep it open.
    promised_until: Instant,
}

/// How long a connection may stay idle after a response.
struct KeepAlive {
    /// Until the pool closes it.
    idle_timeout: Duration,
    /// For how long its server promises to keep it open.
    promised: Duration,
}

/// The connections to all servers.
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
    open: Rc<Cell<usize>>,
    connections_max: usize,
    /// Connections opened since the start.
    pub opened: Cell<u64>,
}

/// The result of an attempt: its outcome, and the response if there is one to pass on.
pub type AttemptResult = (Outcome, Option<ServerResponse>);

impl ConnectionPool {
    /// Creates a pool with at most this many open connections.
    pub fn new(connections_max: usize) -> ConnectionPool {
        ConnectionPool {
            idle: RefCell::default(),
            open: Rc::default(),
            connections_max,
            opened: Cell::new(0),
        }
    }

    /// Closes idle connections that have expired or whose address is no longer in use.
    pub fn sweep(&self, used: impl Fn(SocketAddr) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|to, idle| {
            idle.retain(|connection| {
                used(*to) && now < connection.expires_at && !connection.sender.is_closed()
            });
            !idle.is_empty()
        });
    }

    /// Takes an idle connection that may carry a request of this kind.
    fn take(&self, to: SocketAddr, retry_safety: RetrySafety) -> Option<IdleConnection> {
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&to)?;
        idle.retain(|connection| {
            now < connection.expires_at && connection.sender.is_ready() && !connection.sender.is_closed()
        });
        // The most recently used one first, so that the others can expire.
        loop {
            let fits = |connection: &IdleConnection| {
                retry_safety == RetrySafety::Idempotent || now < connection.promised_until
            };
            let connection = idle.remove(idle.iter().rposition(fits)?);
            // hyper notices received bytes or a close only at its next poll, when the request would already
            // be sent.
            if connection.wire.is_idle() {
                return Some(connection);
            }
            connection.wire.close();
        }
    }

    fn put_back(&self, to: SocketAddr, connection: IdleConnection) {
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(to).or_default();
        if idle.len() < IDLE_PER_SERVER_MAX {
            idle.push(connection);
        }
    }

    /// Opens a connection.
    async fn open(&self, to: SocketAddr, time: Duration) -> Option<IdleConnection> {
        let slot = Slot::acquire(&self.open, self.connections_max)?;
        let stream =
            tokio::time::timeout(CONNECT_TIMEOUT.min(time), TcpStream::connect(to)).await.ok()?.ok()?;
        self.opened.set(self.opened.get() + 1);
        let _ = stream.set_nodelay(true);
        set_user_timeout(&stream, UNACKNOWLEDGED_MAX, &Cell::new(1));
        let wire = ConnectionHandle::new(stream, slot);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_MAX)
            .handshake(TokioIo::new(ConnectionIo(wire.clone())))
            .await
            .ok()?;
        let task = spawn_local(async move {
            // An error is reported to the request that the connection carries.
            let _ = connection.await;
        });
        wire.set_driver(task.abort_handle());
        let now = Instant::now();
        Some(IdleConnection { sender, wire, unused: true, expires_at: now, promised_until: now })
    }

    /// Sends a request to a server and reads the response, within `time`. `id` is the client's attempt id;
    /// `retry_safety` determines which idle connections may be used. Dropping the future closes the connection.
    pub async fn send(
        self: &Rc<Self>,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        id: &[u8],
        retry_safety: RetrySafety,
        time: Duration,
    ) -> AttemptResult {
        let started_at = Instant::now();
        let mut request = request;
        // Retried once: a connection that was closed in the meantime returns the request unsent.
        for _ in 0..2 {
            let Some(mut connection) = (match self.take(to, retry_safety) {
                Some(connection) => Some(connection),
                None => self.open(to, time).await,
            }) else {
                return (Outcome::NotSent, None);
            };
            let guard = CloseGuard(Some(connection.wire.clone()));
            let first_on_connection = std::mem::replace(&mut connection.unused, false);
            let written = connection.wire.bytes_written();
            let left = time.saturating_sub(started_at.elapsed());
            let sent = connection.sender.try_send_request(request);
            let response = match tokio::time::timeout(left, sent).await {
                Err(_) => return (Outcome::TimedOut, None),
                Ok(Err(mut e)) => match e.take_message() {
                    // hyper returns a request that it has not started; it is unsent only if no bytes were
                    // written.
                    Some(unsent) if connection.wire.bytes_written() == written => {
                        request = unsent;
                        continue;
                    }
                    _ => return (Outcome::Broken, None),
                },
                Ok(Ok(response)) => response,
            };
            let left = time.saturating_sub(started_at.elapsed());
            let read = tokio::time::timeout(left, read_response(response, id, first_on_connection)).await;
            let (outcome, response, complete) = match read {
                Err(_) => return (Outcome::TimedOut, None),
                Ok(None) => return (Outcome::Broken, None),
                Ok(Some(read)) => read,
            };
            if let (true, Some(keep_alive)) =
                (complete, response.as_ref().and_then(|response| parse_keep_alive(response.head.headers())))
            {
                // Bytes that follow a complete response belong to no request and close the connection.
                guard.disarm();
                let now = Instant::now();
                (connection.expires_at, connection.promised_until) =
                    (now + keep_alive.idle_timeout, now + keep_alive.promised);
                let pool = self.clone();
                spawn_local(async move {
                    if connection.sender.ready().await.is_ok() {
                        pool.put_back(to, connection);
                    }
                });
            } else if !complete {
                // The consumer of the response reads the rest of the body; then the connection closes.
                guard.disarm();
            }
            return (outcome, response);
        }
        (Outcome::NotSent, None)
    }
}

/// Closes a connection when dropped, unless disarmed.
struct CloseGuard(Option<Rc<ConnectionHandle>>);

impl CloseGuard {
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for CloseGuard {
    fn drop(&mut self) {
        if let Some(wire) = &self.0 {
            wire.close();
        }
    }
}

/// How long a connection may be reused after a response with these headers; `None` if it may not be.
fn parse_keep_alive(headers: &HeaderMap) -> Option<KeepAlive> {
    let options = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    if options.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close")) {
        return None;
    }
    let header = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = header.into_iter().flat_map(|value| value.split(',')).find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| value.trim().parse::<u32>().ok())?
    });
    Some(match timeout {
        Some(secs) => {
            let idle_timeout = Duration::from_secs(u64::from(secs)).mul_f64(PROMISED_FRACTION);
            KeepAlive { idle_timeout, promised: idle_timeout }
        }
        // The timeout is in whole seconds, so one below a second can't be stated.
        None => KeepAlive { idle_timeout: IDLE_TIMEOUT, promised: Duration::ZERO },
    })
}

/// Which request a response head identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseId {
    /// It carries the attempt id of the request.
    Own,
    /// It carries no attempt id.
    Missing,
    /// It carries another attempt id, or more than one.
    Other,
}

fn identify(headers: &HeaderMap, id: &[u8]) -> ResponseId {
    let mut ids = headers.get_all(header_names::ATTEMPT_ID).iter();
    match (ids.next(), ids.next()) {
        (None, _) => ResponseId::Missing,
        (Some(value), None) if value.as_bytes() == id => ResponseId::Own,
        _ => ResponseId::Other,
    }
}

/// Whether a truncated body can be detected: it has a length or is chunked.
fn is_framed(headers: &HeaderMap, body: &Incoming) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING).iter().next_back().and_then(|value| value.to_str().ok());
    let last = codings.and_then(|value| value.rsplit(',').next());
    body.size_hint().exact().is_some()
        || last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Reads a response: its outcome, the response, and whether its body has been read completely. `None` if it
/// can't be attributed to the request. `first_on_connection` says that the request was the first on its
/// connection.
async fn read_response(
    response: Response<Incoming>,
    id: &[u8],
    first_on_connection: bool,
) -> Option<(Outcome, Option<ServerResponse>, bool)> {
    let (parts, mut body) = response.into_parts();
    let status = parts.status.as_u16();
    let not_executed = parts.headers.contains_key(header_names::NOT_EXECUTED);
    // A server that rejects a request may omit the attempt id. Such a response is attributed to this request
    // only on a new connection: after an earlier exchange it may be a surplus response to that one, while
    // this request runs.
    let may_lack_id = first_on_connection && (not_executed || status == 421);
    match identify(&parts.headers, id) {
        ResponseId::Own => {}
        ResponseId::Missing if may_lack_id => {}
        ResponseId::Missing | ResponseId::Other => return None,
    }
    // Clients take these statuses to mean that the request was not executed; without the header it may have
    // been.
    if matches!(status, 408 | 429 | 503) && !not_executed {
        return None;
    }
    let sealed = parts.headers.contains_key(header_names::SEAL);
    let success = (200..300).contains(&status);
    if (success && !sealed)
        || parts.headers.contains_key(CONTENT_ENCODING)
        || parts.status.is_informational()
        || !is_framed(&parts.headers, &body)
    {
        return None;
    }
    let mut buffered: Vec<u8> = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            buffered.extend_from_slice(&data);
            if buffered.len() > BUFFERED_BODY_MAX {
                complete = false;
                break;
            }
        }
    }
    let outcome = match status {
        421 => Outcome::Misdirected,
        _ if not_executed => Outcome::Rejected,
        _ => Outcome::Answer(status),
    };
    let head = Response::from_parts(parts, ());
    let buffered = Bytes::from(buffered);
    let body = if complete { Body::Complete(buffered) } else { Body::Partial(buffered, body) };
    Some((outcome, Some(ServerResponse { head, body }), complete))
}
