//! A TCP connection that counts the bytes it has written and can be closed immediately from outside the task
//! that drives it.

use crate::set_user_timeout;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// One slot of a bounded number, released when dropped.
pub struct Slot(Rc<Cell<usize>>);

impl Slot {
    /// Takes a slot if fewer than `limit` are in use.
    pub fn acquire(in_use: &Rc<Cell<usize>>, limit: usize) -> Option<Slot> {
        (in_use.get() < limit).then(|| {
            in_use.set(in_use.get() + 1);
            Slot(in_use.clone())
        })
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Handle to a connection while the HTTP library reads and writes it through [`ConnectionIo`].
pub struct ConnectionHandle {
    stream: RefCell<Option<(TcpStream, Slot)>>,
    written: Cell<u64>,
    /// Value of `written` at which the current request is completely written.
    request_end: Cell<Option<u64>>,
    /// Number of requests that have been completely written; may be shared by several connections.
    requests_written: Rc<Cell<u64>>,
    driver: RefCell<Option<AbortHandle>>,
    /// Whether the connection failed because the peer acknowledged no data within the user timeout.
    timed_out: Cell<bool>,
}

impl ConnectionHandle {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, slot: Slot) -> Rc<ConnectionHandle> {
        ConnectionHandle::with_request_counter(stream, slot, Rc::default())
    }

    /// Wraps a connection that increments `requests_written` each time a request has been completely written.
    pub fn with_request_counter(
        stream: TcpStream,
        slot: Slot,
        requests_written: Rc<Cell<u64>>,
    ) -> Rc<ConnectionHandle> {
        let (stream, driver) = (RefCell::new(Some((stream, slot))), RefCell::default());
        let timed_out = Cell::new(false);
        Rc::new(ConnectionHandle {
            stream,
            written: Cell::new(0),
            request_end: Cell::new(None),
            requests_written,
            driver,
            timed_out,
        })
    }

    /// Announces a request that is complete once `written` bytes have been written in total.
    pub fn expect_request_end(&self, written: u64) {
        self.request_end.set(Some(written));
    }

    /// Sets the task that drives the connection; it is aborted when the connection is closed.
    pub fn set_driver(&self, task: AbortHandle) {
        *self.driver.borrow_mut() = Some(task);
    }

    /// Sets TCP_USER_TIMEOUT, see [`set_user_timeout`].
    pub fn set_user_timeout(&self, time: Duration, refused: &Cell<u64>) {
        if let Some((stream, _)) = &*self.stream.borrow() {
            set_user_timeout(stream, time, refused);
        }
    }

    /// Whether the connection failed because the peer acknowledged no data within the user timeout.
    pub fn has_timed_out(&self) -> bool {
        self.timed_out.get()
    }

    /// Number of bytes written to the socket so far.
    pub fn bytes_written(&self) -> u64 {
        self.written.get()
    }

    /// Whether the connection is open and has no unread input. Asks the kernel directly, since the runtime
    /// may learn of input or a close later.
    pub fn is_idle(&self) -> bool {
        use rustix::net::{recv, RecvFlags};
        let mut byte = [0_u8; 1];
        let stream = self.stream.borrow();
        let Some((stream, _)) = &*stream else { return false };
        let peeked = recv(stream, &mut byte[..], RecvFlags::PEEK | RecvFlags::DONTWAIT);
        matches!(peeked, Err(rustix::io::Errno::AGAIN))
    }

    /// Closes the connection before returning. Aborting only the tasks that use it would leave it open until
    /// they next run, and a further attempt could start while this one is still open.
    pub fn close(&self) {
        drop(self.stream.borrow_mut().take());
        if let Some(task) = self.driver.borrow_mut().take() {
            task.abort();
        }
    }

    fn poll<T>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let polled = match self.stream.borrow_mut().as_mut() {
            Some((stream, _)) => poll(Pin::new(stream)),
            None => Poll::Ready(Err(io::ErrorKind::NotConnected.into())),
        };
        if matches!(&polled, Poll::Ready(Err(e)) if e.kind() == io::ErrorKind::TimedOut) {
            self.timed_out.set(true);
        }
        polled
    }

    fn count(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = polled {
            self.written.set(self.written.get() + n as u64);
            if self.request_end.get().is_some_and(|end| self.written.get() >= end) {
                self.request_end.set(None);
                self.requests_written.set(self.requests_written.get() + 1);
            }
        }
        polled
    }
}

/// The reader and writer of a [`ConnectionHandle`] that is given to the HTTP library.
pub struct ConnectionIo(pub Rc<ConnectionHandle>);

impl Drop for ConnectionIo {
    fn drop(&mut self) {
        // The library has finished with the connection: its descriptor must not stay open.
        drop(self.0.stream.borrow_mut().take());
    }
}

impl AsyncRead for ConnectionIo {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        self.0.poll(|stream| stream.poll_read(cx, buf))
    }
}

impl AsyncWrite for ConnectionIo {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.0.count(self.0.poll(|stream| stream.poll_write(cx, buf)))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bufs: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.0.count(self.0.poll(|stream| stream.poll_write_vectored(cx, bufs)))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.0.poll(|stream| stream.poll_flush(cx))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context) -> Poll<io::Result<()>> {
        self.0.poll(|stream| stream.poll_shutdown(cx))
    }
}
