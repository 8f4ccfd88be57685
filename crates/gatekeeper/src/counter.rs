//! Client of the counter service: pipelined calls over one connection; replies are matched to calls in order.

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

/// Connect timeout; an unreachable host may never answer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A connection is dropped when a reply is overdue by this many call timeouts, but at least
/// `STALL_TIMEOUT_MIN`: until a dead connection is dropped, every call on it times out.
const STALL_CALL_TIMEOUTS: u32 = 4;
/// See `STALL_CALL_TIMEOUTS`.
const STALL_TIMEOUT_MIN: Duration = Duration::from_millis(100);
/// Idle time after which a ping is sent, well before the counter would close the connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of a reply (a number or an error line), in bytes.
const REPLY_MAX: usize = 4096;
/// Maximum number of outstanding replies; the connection is dropped when it is exceeded.
const PENDING_MAX: usize = 4096;

/// A call whose reply is outstanding.
struct PendingCall {
    seq: u64,
    /// The counter name of the call; `None` for a ping, and after the call has timed out.
    name: Option<CounterName>,
    since: Instant,
}

/// Makes calls and receives their outcomes.
pub trait Caller: 'static {
    /// Returns the counter client.
    fn counter(&self) -> &Counter;
    /// Handles the outcome of a call.
    fn on_counter_event(self: &Rc<Self>, event: Event);
}

/// Client of the counter service with a single connection.
pub struct Counter {
    address: watch::Sender<Option<SocketAddr>>,
    call_timeout: Duration,
    stall_timeout: Duration,
    conn: RefCell<Option<OwnedWriteHalf>>,
    pending: RefCell<VecDeque<PendingCall>>,
    last_seq: Cell<u64>,
    event_count: Cell<u64>,
    seed: u64,
}

impl Counter {
    /// Creates a client that is not connected yet. `wait` is the timeout of a call; `seed` seeds the backoff
    /// between connection attempts.
    pub fn new(at: Option<SocketAddr>, wait: Micros, seed: u64) -> Self {
        let (conn, pending) = (RefCell::default(), RefCell::default());
        let call_timeout = Duration::from_micros(wait);
        let stall_timeout = (call_timeout * STALL_CALL_TIMEOUTS).max(STALL_TIMEOUT_MIN);
        let address = watch::Sender::new(at);
        Counter {
            address,
            call_timeout,
            stall_timeout,
            conn,
            pending,
            last_seq: Cell::new(0),
            event_count: Cell::new(0),
            seed,
        }
    }

    /// Adds `amount` to a counter that expires after `keep`. Exactly one event reports the outcome.
    pub fn call(&self, caller: &Rc<impl Caller>, name: CounterName, amount: f64, keep: Micros) {
        let keep = keep.div_ceil(1_000).max(1).to_string();
        if !self.write(&["CNT.ADD", &name.0, &amount.to_string(), &keep], Some(name.clone())) {
            return caller.on_counter_event(Event::Counter { name, outcome: CounterOutcome::Refused });
        }
        let (caller, seq, call_timeout) = (caller.clone(), self.last_seq.get(), self.call_timeout);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(call_timeout).await;
            caller.counter().expire(&caller, seq);
        });
    }

    /// Times out a call without a reply. The call stays in the queue so that its late reply is discarded:
    /// matching that reply to the next call would assign every later total to a wrong name.
    fn expire(&self, caller: &Rc<impl Caller>, seq: u64) {
        let name = self
            .pending
            .borrow_mut()
            .iter_mut()
            .find(|call| call.seq == seq)
            .and_then(|call| call.name.take());
        if let Some(name) = name {
            caller.on_counter_event(Event::Counter { name, outcome: CounterOutcome::Timeout });
        }
    }

    /// Writes a call completely, or drops the connection if it is full or broken. A truncated call is not
    /// executed by the counter, so nothing has been added in that case.
    fn write(&self, arguments: &[&str], name: Option<CounterName>) -> bool {
        let mut call = format!("*{}\r\n", arguments.len());
        for argument in arguments {
            call.push_str(&format!("${}\r\n{argument}\r\n", argument.len()));
        }
        let mut conn = self.conn.borrow_mut();
        let Some(half) = conn.as_ref() else { return false };
        let has_capacity = self.pending.borrow().len() < PENDING_MAX;
        if !has_capacity || !matches!(half.try_write(call.as_bytes()), Ok(n) if n == call.len()) {
            *conn = None;
            return false;
        }
        self.last_seq.set(self.last_seq.get() + 1);
        let pending_call = PendingCall { seq: self.last_seq.get(), name, since: Instant::now() };
        self.pending.borrow_mut().push_back(pending_call);
        true
    }

    /// Changes the address of the counter; `None` disables it.
    pub fn set_address(&self, at: Option<SocketAddr>) {
        self.address.send_if_modified(|current| std::mem::replace(current, at) != at);
    }

    /// Keeps a connection to the current address of the counter; never returns.
    pub async fn run(&self, caller: Rc<impl Caller>) {
        let mut address = self.address.subscribe();
        loop {
            let at = *address.borrow_and_update();
            tokio::select! {
                () = self.stay_connected(&caller, at) => {}
                _ = address.changed() => self.disconnect(&caller),
            }
        }
    }

    /// Reconnects whenever the connection ends. The counter closes idle connections, which is not a failure:
    /// a connection that has delivered a reply is replaced at once, any other after a backoff.
    async fn stay_connected(&self, caller: &Rc<impl Caller>, at: Option<SocketAddr>) {
        let Some(at) = at else { return std::future::pending().await };
        let mut backoff = Backoff::new(self.seed);
        loop {
            let mut served = false;
            if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await {
                let _ = stream.set_nodelay(true);
                let (reader, writer) = stream.into_split();
                *self.conn.borrow_mut() = Some(writer);
                if let Err(what) = self.read(caller, reader, &mut served).await {
                    log_throttled(&self.event_count, format_args!("counter: {what}"));
                }
                self.disconnect(caller);
            }
            if served {
                backoff.reset();
            } else {
                backoff.wait().await;
            }
        }
    }

    /// Closes the connection and times out all outstanding calls, which the counter may have executed.
    fn disconnect(&self, caller: &Rc<impl Caller>) {
        *self.conn.borrow_mut() = None;
        let pending = std::mem::take(&mut *self.pending.borrow_mut());
        for name in pending.into_iter().filter_map(|call| call.name) {
            caller.on_counter_event(Event::Counter { name, outcome: CounterOutcome::Timeout });
        }
    }

    /// Reads replies until the connection ends or fails. Sets `served` once a valid reply has arrived.
    async fn read(
        &self,
        caller: &Rc<impl Caller>,
        mut from: OwnedReadHalf,
        served: &mut bool,
    ) -> Result<(), &'static str> {
        let mut buffer = BytesMut::new();
        let mut last_read = Instant::now();
        loop {
            let read = timeout(self.stall_timeout, from.read_buf(&mut buffer)).await;
            if self.conn.borrow().is_none() {
                return Err("write failed");
            }
            match read {
                // The counter closes idle connections; a reset is treated in the same way.
                Ok(Ok(0) | Err(_)) => return Ok(()),
                Ok(Ok(_)) => last_read = Instant::now(),
                Err(_) => {}
            }
            while let Some((frame, ..)) = decode_bytes_mut(&mut buffer).map_err(|_| "malformed reply")? {
                let answered = self.pending.borrow_mut().pop_front().ok_or("reply without a call")?;
                let outcome = outcome(&frame);
                let pong = answered.name.is_none() && matches!(frame, BytesFrame::SimpleString(_));
                let valid = outcome.is_some() || pong;
                if !valid {
                    // Replies can no longer be matched to calls on this connection.
                    *self.conn.borrow_mut() = None;
                }
                if let Some(name) = answered.name {
                    let outcome = outcome.unwrap_or(CounterOutcome::Timeout);
                    caller.on_counter_event(Event::Counter { name, outcome });
                }
                if !valid {
                    return Err("reply is not a total");
                }
                *served = true;
            }
            if buffer.len() > REPLY_MAX {
                return Err("reply too long");
            }
            let oldest = self.pending.borrow().front().map(|call| call.since);
            match oldest {
                Some(since) if since.elapsed() >= self.stall_timeout => return Err("no reply in time"),
                None if last_read.elapsed() >= PING_INTERVAL => drop(self.write(&["PING"], None)),
                _ => {}
            }
        }
    }
}

/// Converts a reply to the outcome of a call; `None` if it is neither a total nor an error.
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
