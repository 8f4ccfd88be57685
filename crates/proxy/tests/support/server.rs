//! Servers that work for a while and then answer as they are told, and keep books of what their callers did.

use super::{header, turns};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How a server ends a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// 200, with a body of so many bytes.
    Good(usize),
    /// 500.
    Failure,
    /// It was not run: 503.
    Away,
    /// The connection closes without an answer.
    Close,
    /// It is reset.
    Reset,
    /// Nothing, ever.
    Silence,
}

/// What a server does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Act {
    /// How long it works, ms.
    pub work: u64,
    pub reply: Reply,
}

pub const fn good_after(work: u64) -> Act {
    Act { work, reply: Reply::Good(20) }
}

/// How a request ended at its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The server did as it was told.
    Done(Instant),
    /// Its caller closed the connection while it was at work.
    CallerLeft(Instant),
}

/// One request that has come to a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub act: Act,
    pub begun: Instant,
    pub end: Option<End>,
}

/// What all servers do, in the order in which requests come to them, and what came.
#[derive(Default)]
pub struct Servers {
    pub script: RefCell<VecDeque<Act>>,
    /// What is done when the script is over.
    pub usual: RefCell<Option<Act>>,
    pub arrivals: RefCell<Vec<Arrival>>,
}

impl Servers {
    /// Starts so many.
    pub async fn start(self: &Rc<Self>, count: usize) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            addresses.push(listener.local_addr().unwrap());
            let servers = self.clone();
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(servers.clone().converse(stream));
                }
            });
        }
        addresses
    }

    /// The arrivals of one request.
    pub fn of(&self, id: &str) -> Vec<Arrival> {
        self.arrivals.borrow().iter().filter(|arrival| arrival.id == id).cloned().collect()
    }

    async fn converse(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // What is dropped is reset, so that no port stays taken; whoever closes says so.
        let _ = stream.set_zero_linger();
        while let Some(id) = read_request(&mut stream).await {
            let act = self.script.borrow_mut().pop_front().or(*self.usual.borrow()).unwrap_or(good_after(20));
            let place = self.arrivals.borrow().len();
            let arrival = Arrival { id: id.clone(), act, begun: Instant::now(), end: None };
            self.arrivals.borrow_mut().push(arrival);
            let end = |end| self.arrivals.borrow_mut()[place].end = Some(end);
            let work = async {
                match act.reply {
                    Reply::Silence => std::future::pending().await,
                    _ => sleep(Duration::from_millis(act.work)).await,
                }
            };
            tokio::select! {
                biased;
                () = left(&stream) => return end(End::CallerLeft(Instant::now())),
                () = work => {}
            }
            end(End::Done(Instant::now()));
            let text = match act.reply {
                Reply::Good(size) => answer(200, &id, "", &"x".repeat(size)),
                Reply::Failure => answer(500, &id, "", "failed"),
                Reply::Away => answer(503, &id, "X-Granitelead-Not-Executed: 1\r\n", ""),
                Reply::Close => {
                    let _ = stream.shutdown().await;
                    turns(20).await;
                    return;
                }
                Reply::Reset | Reply::Silence => return,
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Completes when the peer has closed or reset the connection.
async fn left(stream: &TcpStream) {
    let mut byte = [0];
    if let Ok(1..) = stream.peek(&mut byte).await {
        std::future::pending::<()>().await;
    }
}

/// The id of the next request, once it has come whole.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4 << 10];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
            if body.len() >= length {
                return header(head, "x-granitelead-attempt-id");
            }
        }
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&piece[..n]),
        }
    }
}

fn answer(status: u16, id: &str, more: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Some\r\nX-Granitelead-Attempt-Id: {id}\r\nX-Granitelead-Server-Seal: s\r\n{more}\
         Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
