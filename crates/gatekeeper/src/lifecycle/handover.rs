//! An upgrade: the new process of this gatekeeper finds the old one by a Unix socket, is passed its listening
//! socket and what it knows, and takes its place.

use crate::clients::side::ClientSide;
use crate::driver::Driver;
use crate::list::Book;
use crate::operators::by_hand::ByHand;
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
/// Said with the descriptor; another version may say something else.
const GREETING: &[u8] = b"hingestage-handover-1\n";
/// Time for the old process to greet, and again to say what it knows.
const ANSWER: Duration = Duration::from_secs(1);
/// Time for a new process to become ready.
const BECOME_READY: Duration = Duration::from_secs(60);
/// How often the old process tells how many descriptors it holds.
const TELL: Duration = Duration::from_millis(100);
/// The longest line, bytes.
const LINE_MAX: u64 = 16 << 20;
/// The longest queue of connections that wait to be taken.
const BACKLOG: u32 = 1024;
/// Descriptors that the second process needs beside its clients and servers.
const BESIDE: usize = 16;

/// What the old process knows.
#[derive(Serialize, Deserialize)]
struct Knowledge {
    names: Vec<(String, ServerId)>,
    evacuates: bool,
    handover: Handover,
}

/// What the old process holds.
#[derive(Serialize, Deserialize)]
struct Held {
    clients: usize,
    #[serde(rename = "workers")]
    servers: usize,
}

/// Where the processes of this gatekeeper meet, in the folder that they share.
pub fn meeting_place(folder: &Path) -> PathBuf {
    folder.join(SOCKET)
}

/// The old process, as the new one sees it.
pub struct Predecessor {
    read: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

/// The clients' listening socket: from the process before, where there is one, or bound anew.
pub async fn listen(at: SocketAddr, place: Option<&Path>) -> io::Result<(TcpListener, Option<Predecessor>)> {
    let asked = async { ask(at, place.ok_or(io::ErrorKind::NotFound)?).await };
    match timeout(ANSWER, asked).await {
        Ok(Ok((listener, predecessor))) => return Ok((listener, Some(predecessor))),
        Ok(Err(e)) if e.kind() == io::ErrorKind::NotFound => {}
        Ok(Err(e)) => eprintln!("granitelead: nobody hands over: {e}"),
        Err(_) => eprintln!("granitelead: nobody hands over: no answer in time"),
    }
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // A process before that says nothing may still listen; both are then served.
    socket.set_reuseport(true)?;
    socket.bind(at)?;
    Ok((socket.listen(BACKLOG)?, None))
}

async fn ask(at: SocketAddr, place: &Path) -> io::Result<(TcpListener, Predecessor)> {
    let stream = UnixStream::connect(place).await?;
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
        return Err(io::Error::new(io::ErrorKind::AddrNotAvailable, "it listens elsewhere"));
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

/// Reads a line as JSON; none where the peer has ended.
async fn line<T: for<'a> Deserialize<'a>>(read: &mut BufReader<OwnedReadHalf>) -> io::Result<Option<T>> {
    let mut text = Vec::new();
    read.take(LINE_MAX).read_until(b'\n', &mut text).await?;
    if text.is_empty() {
        return Ok(None);
    }
    Ok(Some(serde_json::from_slice(&text)?))
}

async fn say(write: &mut OwnedWriteHalf, what: &impl Serialize) -> io::Result<()> {
    let mut text = serde_json::to_vec(what)?;
    text.push(b'\n');
    write.write_all(&text).await
}

/// One process's part in an upgrade.
pub struct Upgrade {
    driver: Rc<Driver>,
    side: Rc<ClientSide>,
    book: Rc<Book>,
    by_hand: Rc<ByHand>,
    clients_max: usize,
    servers_max: usize,
    odd: Cell<u64>,
}

impl Upgrade {
    /// The limits are those of the gatekeeper, however many processes it has.
    pub fn new(
        driver: Rc<Driver>,
        side: Rc<ClientSide>,
        book: Rc<Book>,
        by_hand: Rc<ByHand>,
        (clients_max, servers_max): (usize, usize),
    ) -> Rc<Upgrade> {
        Rc::new(Upgrade { driver, side, book, by_hand, clients_max, servers_max, odd: Cell::new(0) })
    }

    /// Takes over from the process before, as soon as requests can be served, and from then on takes
    /// connections. Where it says nothing that can be read, this process starts from nothing.
    pub async fn take_over(self: &Rc<Self>, mut from: Predecessor) {
        self.divide(&Held { clients: self.clients_max / 2, servers: self.servers_max / 2 });
        self.side.until_ready().await;
        let told = async {
            say(&mut from.write, &"ready").await?;
            line::<Knowledge>(&mut from.read).await
        };
        match timeout(ANSWER, told).await {
            Ok(Ok(Some(known))) => {
                let ids = self.book.translate(known.names);
                self.driver.take_over(known.handover, &ids);
                if known.evacuates {
                    self.side.evacuate();
                }
                eprintln!("granitelead: taken over");
            }
            Ok(Ok(None)) => eprintln!("granitelead: the process before has ended"),
            Ok(Err(e)) => eprintln!("granitelead: taken over without what was known: {e}"),
            Err(_) => eprintln!("granitelead: taken over without what was known: no answer in time"),
        }
        self.by_hand.follow();
        self.side.set_accepts(true);
        let upgrade = self.clone();
        tokio::task::spawn_local(async move {
            // Until the old process has ended, which closes the connection.
            while let Ok(Some(held)) = line::<Held>(&mut from.read).await {
                upgrade.divide(&held);
                upgrade.by_hand.follow();
            }
            upgrade.divide(&Held { clients: 0, servers: 0 });
            drop(from.write);
        });
    }

    /// Leaves to the other process what it holds.
    fn divide(&self, held: &Held) {
        let beside = if held.clients + held.servers > 0 { BESIDE / 2 } else { 0 };
        let rest = |most: usize, held: usize| most.saturating_sub(held + beside).max(1);
        self.side.set_clients_max(rest(self.clients_max, held.clients));
        self.driver.servers.set_most(rest(self.servers_max, held.servers));
    }

    /// Waits for a process to hand over to, for ever.
    pub async fn offer(self: Rc<Self>, listener: Rc<TcpListener>, place: PathBuf) {
        let meeting = match meet(&place) {
            Ok(meeting) => meeting,
            Err(e) => return eprintln!("granitelead: no upgrades: {}: {e}", place.display()),
        };
        loop {
            let handed = match meeting.accept().await {
                Ok((stream, _)) => self.hand_over(stream, &listener).await,
                Err(e) => Err(e),
            };
            if let Err(e) = handed {
                log_throttled(&self.odd, format_args!("not handed over: {e}"));
                tokio::time::sleep(TELL).await;
            }
        }
    }

    /// Hands over to one process; returns when that has ended.
    async fn hand_over(&self, stream: UnixStream, listener: &TcpListener) -> io::Result<()> {
        stream.writable().await?;
        stream.try_io(Interest::WRITABLE, || pass(&stream, listener))?;
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read);
        let said = timeout(BECOME_READY, line::<String>(&mut read)).await;
        if said.map_err(io::Error::other)??.as_deref() != Some("ready") {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the new process has ended"));
        }
        self.side.retire();
        let known = Knowledge {
            names: self.book.names(),
            evacuates: self.side.evacuates(),
            handover: self.driver.hand_over(),
        };
        eprintln!("granitelead: handed over");
        let told = self.keep_telling(&known, &mut read, &mut write).await;
        // Only its end ends this: the gatekeeper is this process again.
        self.driver.carry_on();
        self.side.set_clients_max(self.clients_max);
        self.driver.servers.set_most(self.servers_max);
        self.side.set_accepts(true);
        told
    }

    async fn keep_telling(
        &self,
        known: &Knowledge,
        read: &mut BufReader<OwnedReadHalf>,
        write: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        say(write, known).await?;
        self.side.let_leave();
        loop {
            self.by_hand.follow();
            self.side.set_clients_max(self.clients_max / 2);
            // What is out finishes; the rest is the new process's.
            self.driver.servers.set_most((self.servers_max / 4).max(1));
            let held = Held { clients: self.side.clients(), servers: self.driver.servers.open() };
            say(write, &held).await?;
            if let Ok(ended) = timeout(TELL, read.read_u8()).await {
                return ended.map(drop);
            }
        }
    }
}

/// Binds the meeting place. A file left there by a process that is no more gives way.
fn meet(place: &Path) -> io::Result<UnixListener> {
    let new = place.with_extension("new");
    match std::fs::remove_file(&new) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let meeting = UnixListener::bind(&new)?;
    std::fs::rename(&new, place)?;
    Ok(meeting)
}
