//! The connection to the counter: calls written one behind another, answers taken in their order.

use bytes::BytesMut;
use granitelead_base::{log_throttled, Backoff};
use granitelead_decisions::{CounterName, CounterOutcome, Event, Micros};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{timeout, Duration, Instant};

/// Time to connect; a machine that is cut off never answers.
const CONNECT: Duration = Duration::from_millis(500);
/// An answer later than so many time-outs of a call, but no less than `SILENT_LEAST`, means that the
/// connection leads nowhere: until it is given up every call goes unanswered.
const SILENT_WAITS: u32 = 4;
/// See `SILENT_WAITS`.
const SILENT_LEAST: Duration = Duration::from_millis(100);
/// Pause after which an idle connection is asked for a sign of life, well before the counter would close it.
const LISTEN: Duration = Duration::from_secs(1);
/// The longest answer, bytes: a number or a line.
const ANSWER_MAX: usize = 4096;
/// Answers owed at most; past that the connection is given up.
const OWED_MAX: usize = 4096;

/// An answer that the counter owes.
struct Owed {
    seq: u64,
    /// Whose it is; none for a ping, or once our own time-out has ended the call.
    name: Option<CounterName>,
    since: Instant,
}

/// Who makes the calls and hears how they end.
pub trait Caller: 'static {
    /// The counter that it calls.
    fn counter(&self) -> &Counter;
    /// A call has ended.
    fn hear(self: &Rc<Self>, event: Event);
}

/// The counter, as one connection to it.
pub struct Counter {
    at: watch::Sender<Option<SocketAddr>>,
    wait: Duration,
    silent: Duration,
    conn: RefCell<Option<OwnedWriteHalf>>,
    owed: RefCell<VecDeque<Owed>>,
    next: Cell<u64>,
    odd: Cell<u64>,
    seed: u64,
}

impl Counter {
    /// Not connected yet; `wait` is how long a call may take, `seed` draws the waits between tries to
    /// connect.
    pub fn new(at: Option<SocketAddr>, wait: Micros, seed: u64) -> Self {
        let (conn, owed) = (RefCell::default(), RefCell::default());
        let wait = Duration::from_micros(wait);
        let silent = (wait * SILENT_WAITS).max(SILENT_LEAST);
        let at = watch::Sender::new(at);
        Counter { at, wait, silent, conn, owed, next: Cell::new(0), odd: Cell::new(0), seed }
    }

    /// Adds to a number. The answer, exactly one, comes as an event.
    pub fn call(&self, caller: &Rc<impl Caller>, name: CounterName, amount: f64, keep: Micros) {
        let keep = keep.div_ceil(1_000).max(1).to_string();
        if !self.write(&["CNT.ADD", &name.0, &amount.to_string(), &keep], Some(name.clone())) {
            return caller.hear(Event::Counter { name, outcome: CounterOutcome::Refused });
        }
        let (caller, seq, wait) = (caller.clone(), self.next.get(), self.wait);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(wait).await;
            caller.counter().expire(&caller, seq);
        });
    }

    /// Ends a call whose answer has not come. The answer is still owed and will be dropped: taking it for the
    /// next call's would shift every total to a wrong name.
    fn expire(&self, caller: &Rc<impl Caller>, seq: u64) {
        let name = self.owed.borrow_mut().iter_mut().find(|owed| owed.seq == seq).and_then(|o| o.name.take());
        if let Some(name) = name {
            caller.hear(Event::Counter { name, outcome: CounterOutcome::Timeout });
        }
    }

    /// Writes a call whole, or not at all as far as the counter can tell. A full or broken connection is
    /// given up: its last call has not come whole, so that nothing was added by it.
    fn write(&self, words: &[&str], name: Option<CounterName>) -> bool {
        let mut call = format!("*{}\r\n", words.len());
        for word in words {
            call.push_str(&format!("${}\r\n{word}\r\n", word.len()));
        }
        let mut conn = self.conn.borrow_mut();
        let Some(half) = conn.as_ref() else { return false };
        let room = self.owed.borrow().len() < OWED_MAX;
        if !room || !matches!(half.try_write(call.as_bytes()), Ok(n) if n == call.len()) {
            *conn = None;
            return false;
        }
        self.next.set(self.next.get() + 1);
        let owed = Owed { seq: self.next.get(), name, since: Instant::now() };
        self.owed.borrow_mut().push_back(owed);
        true
    }

    /// Says where the counter is from now on.
    pub fn move_to(&self, at: Option<SocketAddr>) {
        self.at.send_if_modified(|known| std::mem::replace(known, at) != at);
    }

    /// Keeps a connection to wherever the counter is, for ever.
    pub async fn run(&self, caller: Rc<impl Caller>) {
        let mut place = self.at.subscribe();
        loop {
            let at = *place.borrow_and_update();
            tokio::select! {
                () = self.keep(&caller, at) => {}
                _ = place.changed() => self.hang_up(&caller),
            }
        }
    }

    /// The counter closes a connection that is idle; that is no failure. One that has served is replaced at
    /// once, one that has not after a pause.
    async fn keep(&self, caller: &Rc<impl Caller>, at: Option<SocketAddr>) {
        let Some(at) = at else { return std::future::pending().await };
        let mut backoff = Backoff::new(self.seed);
        loop {
            let mut served = false;
            if let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(at)).await {
                let _ = stream.set_nodelay(true);
                let (reader, writer) = stream.into_split();
                *self.conn.borrow_mut() = Some(writer);
                if let Err(what) = self.read(caller, reader, &mut served).await {
                    log_throttled(&self.odd, format_args!("counter: {what}"));
                }
                self.hang_up(caller);
            }
            if served {
                backoff.reset();
            } else {
                backoff.wait().await;
            }
        }
    }

    /// What was written and not answered may have been added.
    fn hang_up(&self, caller: &Rc<impl Caller>) {
        *self.conn.borrow_mut() = None;
        let owed = std::mem::take(&mut *self.owed.borrow_mut());
        for name in owed.into_iter().filter_map(|owed| owed.name) {
            caller.hear(Event::Counter { name, outcome: CounterOutcome::Timeout });
        }
    }

    /// Reads answers until the connection ends or is of no further use; `served` tells whether a proper one
    /// came.
    async fn read(
        &self,
        caller: &Rc<impl Caller>,
        mut from: OwnedReadHalf,
        served: &mut bool,
    ) -> Result<(), &'static str> {
        let mut buffer = BytesMut::new();
        let mut heard = Instant::now();
        loop {
            let read = timeout(self.silent, from.read_buf(&mut buffer)).await;
            if self.conn.borrow().is_none() {
                return Err("could not be written to");
            }
            match read {
                // A connection that idles is closed by the counter; that and a reset end it alike.
                Ok(Ok(0) | Err(_)) => return Ok(()),
                Ok(Ok(_)) => heard = Instant::now(),
                Err(_) => {}
            }
            while let Some((frame, ..)) = decode_bytes_mut(&mut buffer).map_err(|_| "no proper answer")? {
                let owed = self.owed.borrow_mut().pop_front().ok_or("an answer to no call")?;
                let outcome = outcome(&frame);
                let pong = owed.name.is_none() && matches!(frame, BytesFrame::SimpleString(_));
                let proper = outcome.is_some() || pong;
                if !proper {
                    // Nothing more may be asked on a connection that the counter has lost its place on.
                    *self.conn.borrow_mut() = None;
                }
                if let Some(name) = owed.name {
                    let outcome = outcome.unwrap_or(CounterOutcome::Timeout);
                    caller.hear(Event::Counter { name, outcome });
                }
                if !proper {
                    return Err("an answer that is no total");
                }
                *served = true;
            }
            if buffer.len() > ANSWER_MAX {
                return Err("an answer too long");
            }
            let oldest = self.owed.borrow().front().map(|owed| owed.since);
            match oldest {
                Some(since) if since.elapsed() >= self.silent => return Err("fell silent"),
                None if heard.elapsed() >= LISTEN => drop(self.write(&["PING"], None)),
                _ => {}
            }
        }
    }
}

/// What an answer says of a call; none where it is neither a total nor an error.
fn outcome(frame: &BytesFrame) -> Option<CounterOutcome> {
    match frame {
        BytesFrame::Error(_) => Some(CounterOutcome::Refused),
        BytesFrame::BulkString(text) => {
            let total = std::str::from_utf8(text).ok()?.parse().ok();
            total.filter(|n: &f64| n.is_finite()).map(CounterOutcome::Total)
        }
        _ => None,
    }
}
