//! The counter service over RESP2.

use super::{listener, FleetError};
use crate::model::counter::{Called, CounterService};
use bytes::BytesMut;
use granitelead_decisions::Micros;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// The longest call, bytes.
const CALL_MAX: usize = 4_096;

/// The service on a socket.
pub struct Counter {
    /// Where it is.
    pub at: SocketAddr,
    /// Calls that it has answered.
    pub calls: Cell<u64>,
    model: RefCell<CounterService>,
    since: Instant,
}

impl Counter {
    /// One that does so many calls a second.
    pub async fn start(
        at: SocketAddr,
        per_s: f64,
        parts: usize,
        longest: Micros,
    ) -> Result<Rc<Counter>, FleetError> {
        let (listener, at) = listener("counter", at).await?;
        let model = RefCell::new(CounterService::new(per_s, parts, longest));
        let it = Rc::new(Counter { at, calls: Cell::new(0), model, since: Instant::now() });
        let serves = it.clone();
        spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let it = serves.clone();
                // A caller that leaves or talks nonsense ends its own connection.
                spawn_local(async move { drop(it.serve(stream).await) });
            }
        });
        Ok(it)
    }

    /// It is back, empty.
    pub fn restart(&self) {
        let now = self.since.elapsed().as_micros() as Micros;
        self.model.borrow_mut().restart(now);
    }

    /// Answers calls in their order, each when it has had its turn.
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = BytesMut::new();
        loop {
            while let Some(frame) = decode_bytes_mut(&mut buffer).map_err(std::io::Error::other)? {
                let answer = self.answer(frame.0).await;
                stream.write_all(answer.as_bytes()).await?;
            }
            if buffer.len() > CALL_MAX || stream.read_buf(&mut buffer).await? == 0 {
                return Ok(());
            }
        }
    }

    async fn answer(&self, frame: BytesFrame) -> String {
        let BytesFrame::Array(words) = frame else { return "-ERR no call\r\n".into() };
        let word = |frame: &BytesFrame| match frame {
            BytesFrame::BulkString(bytes) => String::from_utf8(bytes.to_vec()).ok(),
            _ => None,
        };
        let words: Vec<String> = words.iter().filter_map(word).collect();
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let call = match words[..] {
            ["PING"] => return "+PONG\r\n".into(),
            ["CNT.ADD", name, amount, keep] => amount
                .parse::<f64>()
                .ok()
                .zip(keep.parse::<u64>().ok())
                .map(|(amount, keep)| (name, amount, keep)),
            _ => None,
        };
        let Some((name, amount, keep)) = call else { return "-ERR no such call\r\n".into() };
        self.calls.set(self.calls.get() + 1);
        let now = self.since.elapsed().as_micros() as Micros;
        let (at, called) = self.model.borrow_mut().call(now, name, amount, keep * 1_000);
        sleep_until(self.since + Duration::from_micros(at)).await;
        match called {
            Called::Busy => "-BUSY\r\n".into(),
            Called::Total(total) => {
                let text = total.to_string();
                format!("${}\r\n{text}\r\n", text.len())
            }
        }
    }
}
