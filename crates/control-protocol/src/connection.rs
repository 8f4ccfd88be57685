//! A long-lived connection that carries messages in both directions. It is closed when the peer sends nothing
//! for too long or doesn't read.

use crate::frames::{self, FrameDecoder};
use crate::messages::Message;
use granitelead_base::set_user_timeout;
use snafu::{ResultExt, Snafu};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(2);
/// Bytes that may be queued for a peer that doesn't read; above this the connection is closed.
const QUEUED_MAX: usize = 32 << 20;
/// Bytes written at once; a connection can be aborted between two writes.
const WRITE_CHUNK: usize = 64 << 10;
/// Bytes read at once.
const READ_BUFFER: usize = 4 << 10;

/// Why a connection ended.
#[derive(Debug, Snafu)]
pub enum Disconnect {
    /// It could not be established.
    #[snafu(display("connecting failed: {source}"))]
    Connect {
        /// The error of the socket.
        source: std::io::Error,
    },
    /// It was not established in time.
    #[snafu(display("connecting timed out"))]
    ConnectTimeout,
    /// Reading or writing failed.
    #[snafu(display("connection broken: {source}"))]
    Broken {
        /// The error of the socket.
        source: std::io::Error,
    },
    /// The peer closed it.
    #[snafu(display("closed by the peer"))]
    Closed,
    /// The peer sent nothing for too long.
    #[snafu(display("the peer sent nothing for too long"))]
    Silent,
    /// The peer doesn't read, or this end closed the connection.
    #[snafu(display("closed here, or the peer does not read"))]
    Stuck,
    /// The peer sent an invalid frame.
    #[snafu(display("{source}"))]
    InvalidFrame {
        /// The decoding error.
        source: frames::FrameError,
    },
}

/// The send queue of a connection and its state, shared by [`Sender`] and the connection's task.
#[derive(Default)]
struct SendQueue {
    bytes: RefCell<Vec<u8>>,
    /// Signals new bytes, or that the connection is closed.
    changed: Notify,
    closed: Cell<bool>,
    /// Signals the end of the connection without waiting for unsent bytes.
    aborted: Notify,
    /// Bytes that were queued and have not been written yet.
    unsent: Cell<usize>,
    /// Bytes written and read so far.
    transferred: Cell<(u64, u64)>,
}

/// The sending end of a connection. Messages are sent in order; those not sent when the connection ends are
/// lost.
#[derive(Clone, Default)]
pub struct Sender(Rc<SendQueue>);

impl Sender {
    /// Queues a message unless the connection has ended. Returns its size in bytes, or 0 if it won't be sent.
    pub fn send(&self, message: &Message) -> usize {
        if self.0.closed.get() {
            return 0;
        }
        let mut queued = self.0.bytes.borrow_mut();
        let frame = frames::encode(message);
        let size = frame.len();
        queued.extend(frame);
        drop(queued);
        self.0.unsent.set(self.0.unsent.get() + size);
        if self.0.unsent.get() > QUEUED_MAX {
            self.abort();
        }
        self.0.changed.notify_one();
        size
    }

    /// Bytes that the connection has transferred so far: sent, and received.
    pub fn transferred(&self) -> (u64, u64) {
        self.0.transferred.get()
    }

    /// Bytes that were queued and have not been written yet.
    pub fn unsent(&self) -> usize {
        self.0.unsent.get()
    }

    /// Ends the connection at once and discards unsent bytes. Used for a peer that doesn't read.
    pub fn abort(&self) {
        self.0.aborted.notify_one();
        self.close();
    }

    /// Ends the connection once the queued bytes are written.
    pub fn close(&self) {
        self.0.closed.set(true);
        self.0.changed.notify_one();
    }

    /// Whether both senders belong to the same connection.
    pub fn is_same(&self, other: &Sender) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

/// Opens a connection.
///
/// # Errors
///
/// The connection failed or timed out.
pub async fn connect(to: SocketAddr) -> Result<TcpStream, Disconnect> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to)).await;
    stream.map_err(|_| Disconnect::ConnectTimeout)?.context(ConnectSnafu)
}

/// Runs a connection until it ends: received messages are passed to `receive`, and those queued at `sender`
/// are sent. It ends if nothing is received for `silence`. Dropping the future closes the connection and
/// discards unsent messages.
pub async fn run(
    stream: TcpStream,
    sender: Sender,
    silence: Duration,
    receive: impl FnMut(Message),
) -> Disconnect {
    let _ = stream.set_nodelay(true);
    set_user_timeout(&stream, UNACKNOWLEDGED_MAX, &Cell::new(1));
    let (read, write) = stream.into_split();
    let ended = tokio::select! {
        ended = read_messages(read, silence, &sender, receive) => ended,
        Err(ended) = write_messages(write, &sender) => ended,
    };
    sender.close();
    ended
}

async fn read_messages(
    mut from: OwnedReadHalf,
    silence: Duration,
    sender: &Sender,
    mut receive: impl FnMut(Message),
) -> Disconnect {
    let mut decoder = FrameDecoder::default();
    let mut buffer = [0; READ_BUFFER];
    loop {
        match tokio::time::timeout(silence, from.read(&mut buffer)).await {
            Err(_) => return Disconnect::Silent,
            Ok(Err(source)) => return Disconnect::Broken { source },
            Ok(Ok(0)) => return Disconnect::Closed,
            Ok(Ok(size)) => {
                let (sent, received) = sender.0.transferred.get();
                sender.0.transferred.set((sent, received + size as u64));
                decoder.feed(&buffer[..size]);
            }
        }
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => receive(message),
                Ok(None) => break,
                Err(source) => return Disconnect::InvalidFrame { source },
            }
        }
    }
}

/// Writes queued messages until the connection ends; returns only the reason for its end.
async fn write_messages(
    mut to: OwnedWriteHalf,
    sender: &Sender,
) -> Result<std::convert::Infallible, Disconnect> {
    loop {
        let bytes = sender.0.bytes.take();
        if sender.0.closed.get() && bytes.is_empty() {
            return StuckSnafu.fail();
        }
        if bytes.is_empty() {
            sender.0.changed.notified().await;
        }
        for chunk in bytes.chunks(WRITE_CHUNK) {
            tokio::select! {
                written = to.write_all(chunk) => written.context(BrokenSnafu)?,
                () = sender.0.aborted.notified() => return StuckSnafu.fail(),
            }
            let (sent, received) = sender.0.transferred.get();
            sender.0.transferred.set((sent + chunk.len() as u64, received));
            sender.0.unsent.set(sender.0.unsent.get().saturating_sub(chunk.len()));
        }
    }
}
