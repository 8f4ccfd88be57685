//! Test servers that follow a script of replies and record what arrived and how it ended.

use super::{header, yield_times};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// How a server replies to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// 200, with a body of so many bytes.
    Success(usize),
    /// 500.
    Failure,
    /// 503 with the header that says that the request was not executed.
    NotExecuted,
    /// Closes the connection without a response.
    Close,
    /// Resets the connection.
    Reset,
    /// Never replies.
    Silence,
}

/// How a server processes one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScriptedReply {
    /// Processing time, ms.
    pub work_ms: u64,
    pub reply: Reply,
}

pub const fn success_after(work_ms: u64) -> ScriptedReply {
    ScriptedReply { work_ms, reply: Reply::Success(20) }
}

/// How a request ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The server completed it as scripted.
    Completed(Instant),
    /// The gatekeeper closed the connection while the request was being processed.
    Aborted(Instant),
}

/// One request that has arrived at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub scripted: ScriptedReply,
    pub started_at: Instant,
    pub end: Option<End>,
}

/// The script of all servers, in the order in which requests arrive, and the record of the arrivals.
#[derive(Default)]
pub struct Servers {
    pub script: RefCell<VecDeque<ScriptedReply>>,
    /// Used when the script is exhausted.
    pub default_reply: RefCell<Option<ScriptedReply>>,
    pub arrivals: RefCell<Vec<Arrival>>,
}

impl Servers {
    /// Starts `count` servers and returns their addresses.
    pub async fn start(self: &Rc<Self>, count: usize) -> Vec<SocketAddr> {
        let mut addresses = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            addresses.push(listener.local_addr().unwrap());
            let servers = self.clone();
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(servers.clone().serve_connection(stream));
                }
            });
        }
        addresses
    }

    /// The arrivals of the request with this id.
    pub fn arrivals_of(&self, id: &str) -> Vec<Arrival> {
        self.arrivals.borrow().iter().filter(|arrival| arrival.id == id).cloned().collect()
    }

    async fn serve_connection(self: Rc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // A dropped socket is reset, so that no port stays in TIME_WAIT; orderly closes are explicit.
        let _ = stream.set_zero_linger();
        while let Some(id) = read_request(&mut stream).await {
            let scripted = self
                .script
                .borrow_mut()
                .pop_front()
                .or(*self.default_reply.borrow())
                .unwrap_or(success_after(20));
            let index = self.arrivals.borrow().len();
            let arrival = Arrival { id: id.clone(), scripted, started_at: Instant::now(), end: None };
            self.arrivals.borrow_mut().push(arrival);
            let end = |end| self.arrivals.borrow_mut()[index].end = Some(end);
            let work = async {
                match scripted.reply {
                    Reply::Silence => std::future::pending().await,
                    _ => sleep(Duration::from_millis(scripted.work_ms)).await,
                }
            };
            tokio::select! {
                biased;
                () = disconnected(&stream) => return end(End::Aborted(Instant::now())),
                () = work => {}
            }
            end(End::Completed(Instant::now()));
            let text = match scripted.reply {
                Reply::Success(size) => response_text(200, &id, "", &"x".repeat(size)),
                Reply::Failure => response_text(500, &id, "", "failed"),
                Reply::NotExecuted => response_text(503, &id, "X-Granitelead-Not-Executed: 1\r\n", ""),
                Reply::Close => {
                    let _ = stream.shutdown().await;
                    yield_times(20).await;
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

/// Completes when the peer closes or resets the connection.
async fn disconnected(stream: &TcpStream) {
    let mut byte = [0];
    if let Ok(1..) = stream.peek(&mut byte).await {
        std::future::pending::<()>().await;
    }
}

/// Reads the next complete request and returns its attempt id.
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

fn response_text(status: u16, id: &str, more: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Some\r\nX-Granitelead-Attempt-Id: {id}\r\nX-Granitelead-Server-Seal: s\r\n{more}\
         Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
