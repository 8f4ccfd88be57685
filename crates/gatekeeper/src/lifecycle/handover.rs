//! Zero-downtime upgrade: the new process of this gatekeeper connects to the old one over a Unix socket,
//! receives its listening socket and its state, and replaces it.

use crate::clients::http_server::HttpServer;
use crate::driver::Driver;
use crate::list::ServerIds;
use crate::operators::exclusions::Exclusions;
use granitelead_base::log_throttled;
use granitelead_decisions::{Handover, ServerId};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, UnixListener, UnixStream};
use tokio::time::{timeout, Duration};

/// The socket's name in `$TMPDIR`.
const SOCKET: &str = "hingestage.sock";
/// Sent with the descriptor; identifies the version of the handover protocol.
const GREETING: &[u8] = b"hingestage-handover-1\n";
/// Timeout for the greeting of the old process, and again for its state.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a new process to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// How often the old process reports its connection counts.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum length of a message line, in bytes.
const LINE_MAX: u64 = 16 << 20;
/// Backlog of the listening socket.
const BACKLOG: u32 = 1024;
/// Descriptors that a second process needs in addition to its client and server connections.
const RESERVED_DESCRIPTORS: usize = 16;

/// State that the old process passes to the new one.
#[derive(Serialize, Deserialize)]
struct TransferredState {
    names: Vec<(String, ServerId)>,
    evacuates: bool,
    handover: Handover,
}

/// Connections that the old process still has open.
#[derive(Serialize, Deserialize)]
struct OpenConnections {
    clients: usize,
    #[serde(rename = "workers")]
    servers: usize,
}

/// Returns the path of the handover socket in the directory that the processes of this gatekeeper share.
pub fn handover_socket(directory: &Path) -> PathBuf {
    directory.join(SOCKET)
}

/// The new process's connection to the old one.
pub struct Predecessor {
    read: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

/// Takes the listening socket for clients over from the old process, or binds it if there is none.
pub async fn listen(
    at: SocketAddr,
    socket_path: Option<&Path>,
) -> io::Result<(TcpListener, Option<Predecessor>)> {
    let requested = async { request_listener(at, socket_path.ok_or(io::ErrorKind::NotFound)?).await };
    match timeout(REPLY_TIMEOUT, requested).await {
        Ok(Ok((listener, predecessor))) => return Ok((listener, Some(predecessor))),
        Ok(Err(e)) if e.kind() == io::ErrorKind::NotFound => {}
        Ok(Err(e)) => eprintln!("granitelead: no handover: {e}"),
        Err(_) => eprintln!("granitelead: no handover: timeout"),
    }
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // An old process that does not answer may still listen; the kernel then balances between both.
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    Ok((socket.listen(BACKLOG)?, None))
}

async fn request_listener(at: SocketAddr, socket_path: &Path) -> io::Result<(TcpListener, Predecessor)> {
    let stream = UnixStream::connect(socket_path).await?;
    let mut greeting = [0; GREETING.len()];
    let (n, passed) = loop {
        stream.readable().await?;
        match stream.try_io(Interest::READABLE, || receive(&stream, &mut greeting)) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            received => break received?,
        }
    };
    let passed = passed.filter(|_| greeting[..n] == *GREETING).ok_or(io::ErrorKind::InvalidData)?;
    let listener = std::net::TcpListener::from(passed);
    if listener.local_addr()? != at {
        return Err(io::Error::new(
            io::ErrorKind::AddrNotAvailable,
            "the old process listens on another address",
        ));
    }
    listener.set_nonblocking(true)?;
    let (read, write) = stream.into_split();
    Ok((TcpListener::from_std(listener)?, Predecessor { read: BufReader::new(read), write }))
}

fn receive(stream: &UnixStream, into: &mut [u8]) -> io::Result<(usize, Option<OwnedFd>)> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let got = recvmsg(stream.as_fd(), &mut [IoSliceMut::new(into)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let mut passed = control.drain().filter_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    Ok((got.bytes, passed.next()))
}

fn pass(stream: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let descriptors = [listener.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
        return Err(io::ErrorKind::InvalidInput.into());
    }
    sendmsg(stream.as_fd(), &[IoSlice::new(GREETING)], &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Reads a line of JSON; `None` if the peer has closed the connection.
async fn read_line<T: for<'a> Deserialize<'a>>(read: &mut BufReader<OwnedReadHalf>) -> io::Result<Option<T>> {
    let mut text = Vec::new();
    read.take(LINE_MAX).read_until(b'\n', &mut text).await?;
    if text.is_empty() {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(&text)?))
}

async fn write_line(write: &mut OwnedWriteHalf, message: &impl Serialize) -> io::Result<()> {
    let mut text = serde_json::to_vec(message)?;
    text.push(b'\n');
    write.write_all(&text).await
}

/// Both roles of a process in upgrades: successor of the old process and predecessor of the next.
pub struct Upgrade {
    driver: Rc<Driver>,
    side: Rc<HttpServer>,
    server_ids: Rc<ServerIds>,
    exclusions: Rc<Exclusions>,
    clients_max: usize,
    servers_max: usize,
    event_count: Cell<u64>,
}

impl Upgrade {
    /// Creates the upgrade state. The limits apply to the gatekeeper as a whole, however many processes it
    /// has.
    pub fn new(
        driver: Rc<Driver>,
        side: Rc<HttpServer>,
        server_ids: Rc<ServerIds>,
        exclusions: Rc<Exclusions>,
        (clients_max, servers_max): (usize, usize),
    ) -> Rc<Upgrade> {
        Rc::new(Upgrade {
            driver,
            side,
            server_ids,
            exclusions,
            clients_max,
            servers_max,
            event_count: Cell::new(0),
        })
    }

    /// Takes over from the old process once this one is ready to serve, and accepts connections from then
    /// on. If the old process sends no valid state, this one starts without it.
    pub async fn take_over(self: &Rc<Self>, mut from: Predecessor) {
        self.apply_limits(&OpenConnections { clients: self.clients_max / 2, servers: self.servers_max / 2 });
        self.side.until_ready().await;
        let received = async {
            write_line(&mut from.write, &"ready").await?;
            read_line::<TransferredState>(&mut from.read).await
        };
        match timeout(REPLY_TIMEOUT, received).await {
            Ok(Ok(Some(state))) => {
                let ids = self.server_ids.translate(state.names);
                self.driver.take_over(state.handover, &ids);
                if state.evacuates {
                    self.side.evacuate();
                }
                eprintln!("granitelead: took over from the old process");
            }
            Ok(Ok(None)) => eprintln!("granitelead: the old process has exited"),
            Ok(Err(e)) => eprintln!("granitelead: took over without state: {e}"),
            Err(_) => eprintln!("granitelead: took over without state: timeout"),
        }
        self.exclusions.reload();
        self.side.set_accepting(true);
        let upgrade = self.clone();
        tokio::task::spawn_local(async move {
            // Runs until the old process exits, which closes the connection.
            while let Ok(Some(held)) = read_line::<OpenConnections>(&mut from.read).await {
                upgrade.apply_limits(&held);
                upgrade.exclusions.reload();
            }
            upgrade.apply_limits(&OpenConnections { clients: 0, servers: 0 });
            drop(from.write);
        });
    }

    /// Limits this process to the connections that the other one does not use.
    fn apply_limits(&self, held: &OpenConnections) {
        let reserved = if held.clients + held.servers > 0 { RESERVED_DESCRIPTORS / 2 } else { 0 };
        let rest = |max: usize, held: usize| max.saturating_sub(held + reserved).max(1);
        self.side.set_clients_max(rest(self.clients_max, held.clients));
        self.driver.servers.set_max_connections(rest(self.servers_max, held.servers));
    }

    /// Accepts successor processes and hands over to them; never returns unless the socket cannot be bound.
    pub async fn serve_successors(self: Rc<Self>, listener: Rc<TcpListener>, socket_path: PathBuf) {
        let socket = match bind_socket(&socket_path) {
            Ok(socket) => socket,
            Err(e) => return eprintln!("granitelead: upgrades disabled: {}: {e}", socket_path.display()),
        };
        loop {
            let result = match socket.accept().await {
                Ok((stream, _)) => self.hand_over(stream, &listener).await,
                Err(e) => Err(e),
            };
            if let Err(e) = result {
                log_throttled(&self.event_count, format_args!("handover failed: {e}"));
                tokio::time::sleep(REPORT_INTERVAL).await;
            }
        }
    }

    /// Hands over to one process; returns when that process has exited.
    async fn hand_over(&self, stream: UnixStream, listener: &TcpListener) -> io::Result<()> {
        stream.writable().await?;
        stream.try_io(Interest::WRITABLE, || pass(&stream, listener))?;
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        let message = timeout(READY_TIMEOUT, read_line::<String>(&mut read)).await;
        if message.map_err(io::Error::other)??.as_deref() != Some("ready") {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the new process has exited"));
        }
        self.side.retire();
        let state = TransferredState {
            names: self.server_ids.names(),
            evacuates: self.side.is_evacuating(),
            handover: self.driver.hand_over(),
        };
        eprintln!("granitelead: handed over to the new process");
        let result = self.report_connections(&state, &mut read, &mut write).await;
        // Reports only stop when the new process has exited: this one serves alone again.
        self.driver.resume();
        self.side.set_clients_max(self.clients_max);
        self.driver.servers.set_max_connections(self.servers_max);
        self.side.set_accepting(true);
        result
    }

    /// Sends the state, then reports the open connections until the new process exits.
    async fn report_connections(
        &self,
        state: &TransferredState,
        read: &mut BufReader<OwnedReadHalf>,
        write: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        write_line(write, state).await?;
        self.side.allow_exit();
        loop {
            self.exclusions.reload();
            self.side.set_clients_max(self.clients_max / 2);
            // Attempts in flight may finish; the other connections belong to the new process.
            self.driver.servers.set_max_connections((self.servers_max / 4).max(1));
            let held = OpenConnections {
                clients: self.side.connection_count(),
                servers: self.driver.servers.open(),
            };
            write_line(write, &held).await?;
            if let Ok(ended) = timeout(REPORT_INTERVAL, read.read_u8()).await {
                return ended.map(drop);
            }
        }
    }
}

/// Binds the handover socket, replacing the file of a process that has exited.
fn bind_socket(path: &Path) -> io::Result<UnixListener> {
    let new = path.with_extension("new");
    match std::fs::remove_file(&new) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let socket = UnixListener::bind(&new)?;
    std::fs::rename(&new, path)?;
    Ok(socket)
}
