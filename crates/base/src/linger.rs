//! Lingering close of a client connection.
//!
//! Closing a socket that has unread received bytes resets the connection, and a reset can discard a response
//! that is still in transit to the client. So the write side is shut down first, and the socket stays open
//! until the client closes its side or enough time has passed for the last response to be delivered.
//!
//! Complete requests that arrive meanwhile are left unread: their clients see the connection close and retry
//! them elsewhere. Only the rest of a body whose request has already been answered is read and discarded, so
//! that a client that writes its whole body before it reads still receives the response.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant, Sleep};

/// Maximum wait for the client to close its side.
const LINGER_MAX: Duration = Duration::from_secs(2);
/// Time allowed for a response to be delivered once the client has sent more data: some round trips over a
/// busy link.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer for discarded data, in bytes.
const DISCARD_BUFFER_SIZE: usize = 4 << 10;

/// Lingering close of one connection whose write side has been shut down.
pub struct Linger {
    timer: Pin<Box<Sleep>>,
    discards_input: bool,
    has_unread_input: bool,
}

impl Linger {
    /// Starts the linger timer. With `discards_input`, data that still arrives is read and discarded.
    pub fn new(discards_input: bool) -> Linger {
        Linger { timer: Box::pin(sleep(LINGER_MAX)), discards_input, has_unread_input: false }
    }

    /// Completes when the socket may be closed.
    pub fn poll(&mut self, cx: &mut Context, stream: &mut TcpStream) -> Poll<io::Result<()>> {
        let is_closed = if self.discards_input {
            discard(cx, stream).is_ready()
        } else {
            !self.has_unread_input && self.peek(cx, stream).is_ready()
        };
        if is_closed {
            return Poll::Ready(Ok(()));
        }
        self.timer.as_mut().poll(cx).map(Ok)
    }

    /// Ready when the client has closed its side. If it has sent data instead, shortens the timer so that
    /// only the last response has time to be delivered.
    fn peek(&mut self, cx: &mut Context, stream: &mut TcpStream) -> Poll<()> {
        let mut byte = [0];
        match ready!(stream.poll_peek(cx, &mut ReadBuf::new(&mut byte))) {
            Ok(0) | Err(_) => Poll::Ready(()),
            Ok(_) => {
                self.has_unread_input = true;
                let deadline = Instant::now() + DELIVERY_TIMEOUT;
                if deadline < self.timer.deadline() {
                    self.timer.as_mut().reset(deadline);
                }
                Poll::Pending
            }
        }
    }
}

/// Reads and discards available input. Ready when the client has closed its side.
fn discard(cx: &mut Context, stream: &mut TcpStream) -> Poll<()> {
    let mut bytes = [0; DISCARD_BUFFER_SIZE];
    loop {
        let mut buf = ReadBuf::new(&mut bytes);
        match ready!(Pin::new(&mut *stream).poll_read(cx, &mut buf)) {
            Ok(()) if !buf.filled().is_empty() => {}
            Ok(()) | Err(_) => return Poll::Ready(()),
        }
    }
}
