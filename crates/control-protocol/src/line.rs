//! A held connection: words in, words out, closed when its peer falls silent or does not read.

use crate::frames::{self, Cutter};
use crate::words::Word;
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

/// Time for a connection to come up.
const CONNECT: Duration = Duration::from_millis(800);
/// How long sent bytes may go without being acknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);
/// Bytes that may wait for a peer that does not read; with more the connection is closed.
const WAITING_MAX: usize = 32 << 20;
/// Bytes written at once: between two of them a connection can be given up.
const WRITTEN: usize = 64 << 10;
/// Bytes read at once.
const PIECE: usize = 4 << 10;

/// Why a connection ended.
#[derive(Debug, Snafu)]
pub enum Ended {
    /// It did not come up.
    #[snafu(display("no connection: {source}"))]
    Connect {
        /// Why.
        source: std::io::Error,
    },
    /// It did not come up in time.
    #[snafu(display("no connection in time"))]
    Late,
    /// It broke.
    #[snafu(display("broken: {source}"))]
    Broken {
        /// How.
        source: std::io::Error,
    },
    /// The peer closed it.
    #[snafu(display("closed by its peer"))]
    Closed,
    /// Nothing came for too long.
    #[snafu(display("silent"))]
    Silent,
    /// The peer does not read.
    #[snafu(display("not read"))]
    Stuck,
    /// The peer sends what is no word.
    #[snafu(display("{source}"))]
    Garbled {
        /// What.
        source: frames::Fault,
    },
}

#[derive(Default)]
struct Out {
    bytes: RefCell<Vec<u8>>,
    more: Notify,
    closed: Cell<bool>,
    /// Ended without waiting for what is not sent.
    dropped: Notify,
    /// Bytes that were given to be sent and are not.
    unsent: Cell<usize>,
    carried: Cell<(u64, u64)>,
}

/// The sending end of a connection. Words are sent in order; what is not sent when it ends is lost.
#[derive(Clone, Default)]
pub struct Sender(Rc<Out>);

impl Sender {
    /// Sends a word, unless the connection has ended. Gives its size, bytes; 0 where it is not sent.
    pub fn send(&self, word: &Word) -> usize {
        if self.0.closed.get() {
            return 0;
        }
        let mut waiting = self.0.bytes.borrow_mut();
        let frame = frames::write(word);
        let size = frame.len();
        waiting.extend(frame);
        drop(waiting);
        self.0.unsent.set(self.0.unsent.get() + size);
        if self.0.unsent.get() > WAITING_MAX {
            self.give_up();
        }
        self.0.more.notify_one();
        size
    }

    /// What the connection has carried so far, bytes: out, and in.
    pub fn carried(&self) -> (u64, u64) {
        self.0.carried.get()
    }

    /// Bytes that were given to be sent and are not.
    pub fn unsent(&self) -> usize {
        self.0.unsent.get()
    }

    /// Ends the connection, and loses what is not sent: its peer does not read.
    pub fn give_up(&self) {
        self.0.dropped.notify_one();
        self.close();
    }

    /// Ends the connection.
    pub fn close(&self) {
        self.0.closed.set(true);
        self.0.more.notify_one();
    }

    /// Whether two are ends of one connection.
    pub fn is(&self, other: &Sender) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

/// Opens a connection.
///
/// # Errors
///
/// Why there is none.
pub async fn dial(to: SocketAddr) -> Result<TcpStream, Ended> {
    let stream = tokio::time::timeout(CONNECT, TcpStream::connect(to)).await;
    stream.map_err(|_| Ended::Late)?.context(ConnectSnafu)
}

/// Carries words over a connection until it ends: what comes goes to `take`, what `sender` is given goes out.
/// Nothing for `silence` ends it. Dropping it closes the connection and loses what has not been sent.
pub async fn carry(stream: TcpStream, sender: Sender, silence: Duration, take: impl FnMut(Word)) -> Ended {
    let _ = stream.set_nodelay(true);
    set_user_timeout(&stream, UNACKNOWLEDGED, &Cell::new(1));
    let (read, write) = stream.into_split();
    let ended = tokio::select! {
        ended = come(read, silence, &sender, take) => ended,
        Err(ended) = go(write, &sender) => ended,
    };
    sender.close();
    ended
}

async fn come(
    mut from: OwnedReadHalf,
    silence: Duration,
    sender: &Sender,
    mut take: impl FnMut(Word),
) -> Ended {
    let mut cutter = Cutter::default();
    let mut piece = [0; PIECE];
    loop {
        match tokio::time::timeout(silence, from.read(&mut piece)).await {
            Err(_) => return Ended::Silent,
            Ok(Err(source)) => return Ended::Broken { source },
            Ok(Ok(0)) => return Ended::Closed,
            Ok(Ok(size)) => {
                let (out, into) = sender.0.carried.get();
                sender.0.carried.set((out, into + size as u64));
                cutter.feed(&piece[..size]);
            }
        }
        loop {
            match cutter.word() {
                Ok(Some(word)) => take(word),
                Ok(None) => break,
                Err(source) => return Ended::Garbled { source },
            }
        }
    }
}

/// Gives nothing but why it ended.
async fn go(mut to: OwnedWriteHalf, sender: &Sender) -> Result<std::convert::Infallible, Ended> {
    loop {
        let bytes = sender.0.bytes.take();
        if sender.0.closed.get() && bytes.is_empty() {
            return StuckSnafu.fail();
        }
        if bytes.is_empty() {
            sender.0.more.notified().await;
        }
        for piece in bytes.chunks(WRITTEN) {
            tokio::select! {
                written = to.write_all(piece) => written.context(BrokenSnafu)?,
                () = sender.0.dropped.notified() => return StuckSnafu.fail(),
            }
            let (out, into) = sender.0.carried.get();
            sender.0.carried.set((out + piece.len() as u64, into));
            sender.0.unsent.set(sender.0.unsent.get().saturating_sub(piece.len()));
        }
    }
}
