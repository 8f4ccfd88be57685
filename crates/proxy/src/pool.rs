//! Connections to servers: one request at a time on each, kept while it may be used again.
//!
//! What comes on a connection is taken for the answer to a request only if it can be no other's. Whatever else
//! comes, and whatever ends early, leaves the request as one that may have run, and ends the connection.

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

/// Time for a connection to come up; within a region it takes some milliseconds.
const CONNECT: Duration = Duration::from_millis(250);
/// How long sent bytes may go without being acknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// For how long an idle connection is kept for what may run more than once where its server promises nothing.
const KEEP: Duration = Duration::from_secs(4);
/// The part that is used of the time that a server promises to keep an idle connection.
const PROMISED: f64 = 0.6;
/// Idle connections kept to one server.
const IDLE_MAX: usize = 4;
/// Largest answer that is held as a whole; a larger one is passed on as it comes.
pub const WHOLE_MAX: usize = 512 << 10;
/// Bytes of a head from a server.
const HEAD_MAX: usize = 32 << 10;

/// The headers of the system's own protocol.
pub mod names {
    use hyper::header::HeaderName;

    /// The id of a client's try.
    pub const ATTEMPT: HeaderName = HeaderName::from_static("x-granitelead-attempt-id");
    /// The time that is left, ms.
    pub const DEADLINE: HeaderName = HeaderName::from_static("x-granitelead-deadline-milliseconds");
    /// The life of a server that alone may run it.
    pub const EXPECTED: HeaderName = HeaderName::from_static("x-granitelead-expected-instance");
    /// The tenant that holds the key.
    pub const TENANT: HeaderName = HeaderName::from_static("x-granitelead-tenant-name");
    /// The server's stamp.
    pub const SEAL: HeaderName = HeaderName::from_static("x-granitelead-server-seal");
    /// The server did not run it.
    pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-granitelead-not-executed");
}

/// The body of an answer.
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// Its beginning, and what is still to come.
    Rest(Bytes, Incoming),
}

/// An answer of a server.
pub struct Answer {
    /// Status and headers.
    pub head: Response<()>,
    /// Its body.
    pub body: Body,
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    wire: Rc<ConnectionHandle>,
    /// Whether it has carried no request yet, so that nothing but the next one's answer can come on it.
    fresh: bool,
    /// When it is closed.
    until: Instant,
    /// Until when its server promises to keep it.
    promised: Instant,
}

/// How long a connection may rest after an answer.
struct Rest {
    /// Until it is closed.
    kept: Duration,
    /// As far as its server promises to keep it.
    promised: Duration,
}

/// All connections to servers.
pub struct ConnectionPool {
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    open: Rc<Cell<usize>>,
    most: usize,
    /// Connections opened, for the figures.
    pub opened: Cell<u64>,
}

/// What an attempt gives: how it ended, and the answer if there is one to pass on.
pub type Attempt = (Outcome, Option<Answer>);

impl ConnectionPool {
    /// At most so many at once.
    pub fn new(most: usize) -> ConnectionPool {
        ConnectionPool { idle: RefCell::default(), open: Rc::default(), most, opened: Cell::new(0) }
    }

    /// Closes what is idle for too long, and all that is idle to an address that is no longer used.
    pub fn sweep(&self, used: impl Fn(SocketAddr) -> bool) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|to, idle| {
            idle.retain(|one| used(*to) && now < one.until && !one.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// A connection that rests and may carry such a request.
    fn take(&self, to: SocketAddr, repeats: RetrySafety) -> Option<Idle> {
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&to)?;
        idle.retain(|one| now < one.until && one.sender.is_ready() && !one.sender.is_closed());
        // The one that was used last: the others may then be closed.
        loop {
            let fits = |one: &Idle| repeats == RetrySafety::Idempotent || now < one.promised;
            let one = idle.remove(idle.iter().rposition(fits)?);
            // The library sees what has come when the socket is next polled; by then the request would be sent.
            if one.wire.is_idle() {
                return Some(one);
            }
            one.wire.close();
        }
    }

    fn give_back(&self, to: SocketAddr, one: Idle) {
        let mut all = self.idle.borrow_mut();
        let idle = all.entry(to).or_default();
        if idle.len() < IDLE_MAX {
            idle.push(one);
        }
    }

    /// Opens a connection.
    async fn open(&self, to: SocketAddr, time: Duration) -> Option<Idle> {
        let place = Slot::acquire(&self.open, self.most)?;
        let stream = tokio::time::timeout(CONNECT.min(time), TcpStream::connect(to)).await.ok()?.ok()?;
        self.opened.set(self.opened.get() + 1);
        let _ = stream.set_nodelay(true);
        set_user_timeout(&stream, UNACKNOWLEDGED, &Cell::new(1));
        let wire = ConnectionHandle::new(stream, place);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_MAX)
            .handshake(TokioIo::new(ConnectionIo(wire.clone())))
            .await
            .ok()?;
        let task = spawn_local(async move {
            // How it ends shows at the request that it carried.
            let _ = connection.await;
        });
        wire.set_driver(task.abort_handle());
        let now = Instant::now();
        Some(Idle { sender, wire, fresh: true, until: now, promised: now })
    }

    /// Sends a request to a server and reads the answer, in this time at most. `id` is that of the client's try;
    /// `repeats` says on which connections it may go. Dropping it closes the connection.
    pub async fn send(
        self: &Rc<Self>,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
        id: &[u8],
        repeats: RetrySafety,
        time: Duration,
    ) -> Attempt {
        let begun = Instant::now();
        let mut request = request;
        // A connection that was closed meanwhile gives the request back unsent.
        for _ in 0..2 {
            let Some(mut one) = (match self.take(to, repeats) {
                Some(one) => Some(one),
                None => self.open(to, time).await,
            }) else {
                return (Outcome::NotSent, None);
            };
            let guard = Guard(Some(one.wire.clone()));
            let fresh = std::mem::replace(&mut one.fresh, false);
            let written = one.wire.bytes_written();
            let left = time.saturating_sub(begun.elapsed());
            let sent = one.sender.try_send_request(request);
            let response = match tokio::time::timeout(left, sent).await {
                Err(_) => return (Outcome::Silent, None),
                Ok(Err(mut e)) => match e.take_message() {
                    // The library gives back only what it has not begun; what counts is what went out.
                    Some(unsent) if one.wire.bytes_written() == written => {
                        request = unsent;
                        continue;
                    }
                    _ => return (Outcome::Broken, None),
                },
                Ok(Ok(response)) => response,
            };
            let left = time.saturating_sub(begun.elapsed());
            let read = tokio::time::timeout(left, read(response, id, fresh)).await;
            let (outcome, answer, whole) = match read {
                Err(_) => return (Outcome::Silent, None),
                Ok(None) => return (Outcome::Broken, None),
                Ok(Some(read)) => read,
            };
            if let (true, Some(rest)) = (whole, answer.as_ref().and_then(|a| keep(a.head.headers()))) {
                // What comes after a whole answer belongs to no request, and ends the connection.
                guard.keep();
                let now = Instant::now();
                (one.until, one.promised) = (now + rest.kept, now + rest.promised);
                let pool = self.clone();
                spawn_local(async move {
                    if one.sender.ready().await.is_ok() {
                        pool.give_back(to, one);
                    }
                });
            } else if !whole {
                // It is read on by whoever passes it on, and closed after.
                guard.keep();
            }
            return (outcome, answer);
        }
        (Outcome::NotSent, None)
    }
}

/// Closes a connection unless it is kept.
struct Guard(Option<Rc<ConnectionHandle>>);

impl Guard {
    fn keep(mut self) {
        self.0 = None;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if let Some(wire) = &self.0 {
            wire.close();
        }
    }
}

/// For how long a connection may be used again after this answer, if it may.
fn keep(headers: &HeaderMap) -> Option<Rest> {
    let closes = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    if closes.flat_map(|value| value.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close")) {
        return None;
    }
    let told = headers.get("keep-alive").and_then(|value| value.to_str().ok());
    let timeout = told.into_iter().flat_map(|value| value.split(',')).find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| value.trim().parse::<u32>().ok())?
    });
    Some(match timeout {
        Some(secs) => {
            let kept = Duration::from_secs(u64::from(secs)).mul_f64(PROMISED);
            Rest { kept, promised: kept }
        }
        // Only whole seconds are told: it may be less than one.
        None => Rest { kept: KEEP, promised: Duration::ZERO },
    })
}

/// Whose answer a head is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Whose {
    /// It carries the id of the request.
    Own,
    /// It carries none.
    Unnamed,
    /// It carries another's, or more than one.
    Other,
}

fn whose(headers: &HeaderMap, id: &[u8]) -> Whose {
    let mut ids = headers.get_all(names::ATTEMPT).iter();
    match (ids.next(), ids.next()) {
        (None, _) => Whose::Unnamed,
        (Some(one), None) if one.as_bytes() == id => Whose::Own,
        _ => Whose::Other,
    }
}

/// Whether the end of a body can be told from its being cut: it has a length, or comes in chunks.
fn is_framed(headers: &HeaderMap, body: &Incoming) -> bool {
    let coding = headers.get_all(TRANSFER_ENCODING).iter().next_back().and_then(|value| value.to_str().ok());
    let last = coding.and_then(|value| value.rsplit(',').next());
    body.size_hint().exact().is_some() || last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

/// Reads an answer and says what it is; whether the connection is done with it. `fresh` says that the request was the
/// first on its connection.
async fn read(
    response: Response<Incoming>,
    id: &[u8],
    fresh: bool,
) -> Option<(Outcome, Option<Answer>, bool)> {
    let (parts, mut body) = response.into_parts();
    let status = parts.status.as_u16();
    let turned_away = parts.headers.contains_key(names::NOT_EXECUTED);
    // A server that turns a request away may name none. That is this one's only where no other can be owed: behind an
    // earlier exchange it may be a surplus of that one's, while this request runs.
    let unnamed = fresh && (turned_away || status == 421);
    match whose(&parts.headers, id) {
        Whose::Own => {}
        Whose::Unnamed if unnamed => {}
        Whose::Unnamed | Whose::Other => return None,
    }
    // These promise that it has not run; without saying so it may have.
    if matches!(status, 408 | 429 | 503) && !turned_away {
        return None;
    }
    let sealed = parts.headers.contains_key(names::SEAL);
    let success = (200..300).contains(&status);
    if (success && !sealed)
        || parts.headers.contains_key(CONTENT_ENCODING)
        || parts.status.is_informational()
        || !is_framed(&parts.headers, &body)
    {
        return None;
    }
    let mut held: Vec<u8> = Vec::new();
    let mut whole = true;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            held.extend_from_slice(&data);
            if held.len() > WHOLE_MAX {
                whole = false;
                break;
            }
        }
    }
    let outcome = match status {
        421 => Outcome::Misdirected,
        _ if turned_away => Outcome::TurnedAway,
        _ => Outcome::Answer(status),
    };
    let head = Response::from_parts(parts, ());
    let held = Bytes::from(held);
    let body = if whole { Body::Whole(held) } else { Body::Rest(held, body) };
    Some((outcome, Some(Answer { head, body }), whole))
}
