//! Clients' connections: how many, and for how long each may be idle or take for a head.

use crate::ahead::{is_same, Ahead};
use crate::front::Out;
use hyper::http::request::Parts;
use hyper::Response;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// Requests of a connection whose work may begin before they are due.
const EARLY_MAX: usize = 8;

/// Connections past which a newcomer sends away whichever has been idle for longest, if that is so long: each takes
/// memory, and clients that are refused come back on new ones.
const ENOUGH: usize = 160;
const SETTLED: Duration = Duration::from_millis(1_500);

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing, since then.
    Idle(Instant),
    /// A head comes, since then.
    Head(Instant),
    /// A request is being answered.
    Busy,
}

/// The work on a request that the client sent before the one before it was answered.
struct Early {
    number: u64,
    parts: Parts,
    work: JoinHandle<Response<Out>>,
}

impl Drop for Early {
    fn drop(&mut self) {
        self.work.abort();
    }
}

/// One client's connection from outside.
pub struct Watch {
    phase: Cell<Phase>,
    /// Requests that the HTTP library has come to.
    served: Cell<u64>,
    early: RefCell<VecDeque<Early>>,
    /// Told to close once nothing is under way.
    pub ends: Notify,
    ending: Cell<bool>,
}

impl Watch {
    /// A request is read; it is answered when what this gives is dropped.
    pub fn begin(self: &Rc<Self>) -> Busy {
        self.phase.set(Phase::Busy);
        self.served.set(self.served.get() + 1);
        Busy(self.clone())
    }

    /// The work on the request that has just begun, if it was seen before.
    pub fn early(&self, parts: &Parts) -> Option<impl Future<Output = Option<Response<Out>>>> {
        let number = self.served.get().checked_sub(1)?;
        let mut all = self.early.borrow_mut();
        while all.front().is_some_and(|early| early.number < number) {
            all.pop_front();
        }
        let same = all.front().is_some_and(|early| early.number == number && is_same(&early.parts, parts));
        let early = if same { all.pop_front() } else { None }?;
        Some(async move {
            let mut early = early;
            (&mut early.work).await.ok()
        })
    }

    /// Bytes have come; what is behind a request under way is begun.
    fn look(&self, ahead: &mut Ahead, bytes: &[u8], begin: &Begin) {
        for (number, parts) in ahead.feed(bytes) {
            let next = number == self.served.get() && self.phase.get() != Phase::Busy;
            let mut early = self.early.borrow_mut();
            if !next && number >= self.served.get() && early.len() < EARLY_MAX {
                if let Some(work) = begin(&parts) {
                    early.push_back(Early { number, parts, work });
                }
            }
        }
    }

    fn end(&self) {
        if !self.ending.replace(true) {
            self.ends.notify_one();
        }
    }
}

/// A request under way.
pub struct Busy(Rc<Watch>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.phase.set(Phase::Idle(Instant::now()));
    }
}

/// All clients' connections.
#[derive(Default)]
pub struct Clients {
    all: RefCell<BTreeMap<u64, Rc<Watch>>>,
    next: Cell<u64>,
}

/// A place among them, free again when dropped.
pub struct Seat {
    clients: Rc<Clients>,
    number: u64,
    /// The connection.
    pub watch: Rc<Watch>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.clients.all.borrow_mut().remove(&self.number);
    }
}

impl Clients {
    /// A client connects. Where all places are taken the one that has been idle for longest is told to go.
    pub fn seat(self: &Rc<Self>, most: usize) -> Option<Seat> {
        let mut all = self.all.borrow_mut();
        if all.len() >= most.min(ENOUGH) {
            let now = Instant::now();
            let settled = if all.len() >= most { Duration::ZERO } else { SETTLED };
            let idle = all.values().filter_map(|watch| match watch.phase.get() {
                Phase::Idle(since) if !watch.ending.get() && now >= since + settled => Some((since, watch)),
                _ => None,
            });
            if let Some((_, watch)) = idle.min_by_key(|(since, _)| *since) {
                watch.end();
            }
            if all.len() >= most + most / 16 {
                return None;
            }
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let phase = Cell::new(Phase::Idle(Instant::now()));
        let (served, early) = (Cell::new(0), RefCell::default());
        let watch = Rc::new(Watch { phase, served, early, ends: Notify::new(), ending: Cell::new(false) });
        all.insert(number, watch.clone());
        Some(Seat { clients: self.clone(), number, watch })
    }

    /// Ends those that are idle, or whose head comes, for too long.
    pub fn sweep(&self, head: Duration, idle: Duration) {
        for watch in self.all.borrow().values() {
            match watch.phase.get() {
                Phase::Idle(since) if since.elapsed() > idle => watch.end(),
                Phase::Head(since) if since.elapsed() > head => watch.end(),
                _ => {}
            }
        }
    }

    /// Tells all to close once nothing is under way.
    pub fn end_all(&self) {
        for watch in self.all.borrow().values() {
            watch.end();
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.all.borrow().len()
    }
}

/// Begins the work on a request, if that may be done early.
pub type Begin = Box<dyn Fn(&Parts) -> Option<JoinHandle<Response<Out>>>>;

/// A client's socket, which tells when something comes.
pub struct Watched {
    /// The socket.
    pub stream: TcpStream,
    /// Who is told.
    pub watch: Rc<Watch>,
    /// What is seen of requests to come.
    pub ahead: Ahead,
    /// Begins the work on one.
    pub begin: Begin,
}

impl AsyncRead for Watched {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let this = &mut *self;
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let news = &buf.filled()[before..];
        if !news.is_empty() {
            if matches!(this.watch.phase.get(), Phase::Idle(_)) {
                this.watch.phase.set(Phase::Head(Instant::now()));
            }
            this.watch.look(&mut this.ahead, news, &this.begin);
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
