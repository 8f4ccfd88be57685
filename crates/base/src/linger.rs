//! Lingering close of a client's connection.
//!
//! A socket that is closed while received bytes are unread is reset, and a reset may destroy an answer that is still
//! on its way to the client. So the sending side is shut down first, and the socket stays open until the client has
//! closed its side, or until the last answer has surely been delivered.
//!
//! Whole requests that arrive meanwhile are left unread: their clients see the connection end and send them again
//! elsewhere. Only the rest of a body whose request has been answered already is read and dropped, so that a client
//! that writes before it reads gets to its answer.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

/// Longest wait for the client to close its side.
const LINGER_MAX: Duration = Duration::from_secs(2);
/// Time for an answer to be delivered once the client is known to have sent more: some round trips over a busy link.
const DELIVERY: Duration = Duration::from_millis(500);
/// Bytes dropped at a time.
const DISCARD_SIZE: usize = 4 << 10;

/// A connection whose sending side has been shut down.
pub struct Linger {
    timer: Pin<Box<Sleep>>,
    discards: bool,
    has_unread: bool,
}

impl Linger {
    /// Starts to linger. `discards` has what still comes read and dropped.
    pub fn new(discards: bool) -> Linger {
        Linger { timer: Box::pin(sleep(LINGER_MAX)), discards, has_unread: false }
    }

    /// Completes when the socket may be closed.
    pub fn poll(&mut self, cx: &mut Context, stream: &mut TcpStream) -> Poll<io::Result<()>> {
        let is_closed = if self.discards {
            discard(cx, stream).is_ready()
        } else {
            !self.has_unread && self.peek(cx, stream).is_ready()
        };
        if is_closed {
            return Poll::Ready(Ok(()));
        }
        self.timer.as_mut().poll(cx).map(Ok)
    }

    /// Ready when the client has closed its side. Notes when it has sent something instead.
    fn peek(&mut self, cx: &mut Context, stream: &mut TcpStream) -> Poll<()> {
        let mut byte = [0];
        match ready!(stream.poll_peek(cx, &mut ReadBuf::new(&mut byte))) {
            Ok(0) | Err(_) => Poll::Ready(()),
            Ok(_) => {
                self.has_unread = true;
                let delivered = Instant::now() + DELIVERY;
                if delivered < self.timer.deadline() {
                    self.timer.as_mut().reset(delivered);
                }
                Poll::Pending
            }
        }
    }
}

/// Drops what has come. Ready when the client has closed its side.
fn discard(cx: &mut Context, stream: &mut TcpStream) -> Poll<()> {
    let mut bytes = [0; DISCARD_SIZE];
    loop {
        let mut buf = ReadBuf::new(&mut bytes);
        match ready!(Pin::new(&mut *stream).poll_read(cx, &mut buf)) {
            Ok(()) if !buf.filled().is_empty() => {}
            Ok(()) | Err(_) => return Poll::Ready(()),
        }
    }
}
