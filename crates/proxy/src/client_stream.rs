//! The client socket that is handed to hyper.

use crate::connections::ClientConnection;
use crate::pipeline::StartEarly;
use granitelead_base::linger::Linger;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A client's socket. Reports received bytes to its [`ClientConnection`] and closes with a linger, so that
/// the client can read the response first.
pub struct ClientStream {
    stream: TcpStream,
    connection: Rc<ClientConnection>,
    start_early: StartEarly,
    linger: Option<Linger>,
}

impl ClientStream {
    /// Wraps the socket of `connection`.
    pub fn new(stream: TcpStream, connection: Rc<ClientConnection>, start_early: StartEarly) -> ClientStream {
        ClientStream { stream, connection, start_early, linger: None }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context, buf: &mut ReadBuf) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let this = &mut *self;
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let received = &buf.filled()[before..];
        if !received.is_empty() {
            this.connection.on_bytes(received, &this.start_early);
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
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
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        let discards = this.connection.is_body_unread();
        this.linger.get_or_insert_with(|| Linger::new(discards)).poll(cx, &mut this.stream)
    }
}
