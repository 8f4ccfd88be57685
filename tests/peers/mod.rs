//! Runs the gatekeeper as a process, with mock peers on loopback sockets: servers, discovery, counter and
//! clients.
#![allow(dead_code)]

pub mod list;

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for every wait, longer than anything here takes on a slow machine. Reaching it is a failure.
pub const TIMEOUT: Duration = Duration::from_secs(20);
pub const CLIENT: &str = "00000000b4d65521";

/// What a server does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Sends a response: status line and headers without framing, and the body.
    Answer(String, String),
    /// Sends these bytes and closes the connection.
    RawThenClose(String),
    /// Sends nothing for as long as the connection stays open.
    Silence,
}

pub fn ok(body: &str) -> Reply {
    Reply::Answer("200 OK".into(), body.into())
}

/// An HTTP message as a peer read it.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads a message; `None` if the connection ends first.
    pub fn read(from: &mut impl BufRead) -> Option<Message> {
        let mut line = || {
            let mut text = String::new();
            (from.read_line(&mut text).ok()? > 0).then(|| text.trim_end().to_owned())
        };
        let first_line = line()?;
        let mut headers = Vec::new();
        loop {
            let text = line()?;
            let Some((name, value)) = text.split_once(':') else { break };
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let mut message = Message { first_line, headers, body: String::new() };
        let length = message.header("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).unwrap();
        Some(message)
    }
}

/// An event at a mock server.
#[derive(Clone, Debug)]
pub enum ServerEvent {
    Request { conn: usize, message: Message },
    Closed { conn: usize },
}

pub struct Server {
    pub addr: SocketAddr,
    seen: Receiver<ServerEvent>,
    reply: Arc<Mutex<Reply>>,
}

impl Server {
    pub fn start(reply: Reply) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (events, seen) = channel();
        let reply = Arc::new(Mutex::new(reply));
        let shared = reply.clone();
        thread::spawn(move || {
            for (conn, stream) in listener.incoming().flatten().enumerate() {
                let (events, reply) = (events.clone(), shared.clone());
                thread::spawn(move || Server::serve(conn, stream, &events, &reply));
            }
        });
        Server { addr, seen, reply }
    }

    fn serve(conn: usize, stream: TcpStream, events: &Sender<ServerEvent>, reply: &Mutex<Reply>) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut reader) {
            let _ = events.send(ServerEvent::Request { conn, message });
            let reply = reply.lock().unwrap().clone();
            match reply {
                Reply::Answer(head, body) => {
                    let text = format!("HTTP/1.1 {head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    let _ = (&stream).write_all(text.as_bytes());
                }
                Reply::RawThenClose(text) => {
                    let _ = (&stream).write_all(text.as_bytes());
                    break;
                }
                Reply::Silence => {
                    let _ = reader.read(&mut [0]);
                    break;
                }
            }
        }
        let _ = events.send(ServerEvent::Closed { conn });
        let _ = stream.shutdown(Shutdown::Both);
    }

    pub fn set(&self, reply: Reply) {
        *self.reply.lock().unwrap() = reply;
    }

    pub fn next(&self) -> ServerEvent {
        self.seen.recv_timeout(TIMEOUT).expect("no event at the server")
    }

    /// The next request; skips closed connections.
    pub fn request(&self) -> Message {
        loop {
            if let ServerEvent::Request { message, .. } = self.next() {
                return message;
            }
        }
    }

    /// Removes and returns all pending events.
    pub fn rest(&self) -> Vec<ServerEvent> {
        self.seen.try_iter().collect()
    }

    pub fn requests(&self) -> usize {
        self.rest().iter().filter(|seen| matches!(seen, ServerEvent::Request { .. })).count()
    }

    pub fn listed(&self, uid: &str, state: &str) -> Value {
        json!({"uid": uid, "endpoint": self.addr.to_string(), "az": "a", "model": "m", "pod_group": 1,
               "state": state, "capacity_hint": 1.0, "boot_ms": 0})
    }
}

/// A mock list service: each watch gets the lines pushed since it started, and keep-alive lines.
pub struct Discovery {
    pub addr: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    pub watches: Arc<AtomicUsize>,
    /// Whether it sends anything at all: 1 or 0.
    pub enabled: Arc<AtomicUsize>,
}

impl Discovery {
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (lines, watches) = (Arc::new(Mutex::new(Vec::<String>::new())), Arc::new(AtomicUsize::new(0)));
        let enabled = Arc::new(AtomicUsize::new(1));
        let (all, count, shared) = (lines.clone(), watches.clone(), enabled.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (all, count, enabled) = (all.clone(), count.clone(), shared.clone());
                thread::spawn(move || Discovery::serve(stream, &all, &count, &enabled));
            }
        });
        Discovery { addr, lines, watches, enabled }
    }

    fn serve(stream: TcpStream, lines: &Mutex<Vec<String>>, watches: &AtomicUsize, enabled: &AtomicUsize) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if Message::read(&mut reader).is_none() {
            return;
        }
        // A watch that starts later gets the last list in full, as after a long gap.
        let mut sent = lines.lock().unwrap().len().saturating_sub(1);
        watches.fetch_add(1, Ordering::SeqCst);
        let mut head = Some("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned());
        for turn in 0u64.. {
            if enabled.load(Ordering::SeqCst) == 1 {
                let mut text = head.take().unwrap_or_default();
                let all = lines.lock().unwrap();
                for line in &all[sent..] {
                    text.push_str(&format!("{:x}\r\n{line}\n\r\n", line.len() + 1));
                }
                sent = all.len();
                if turn % 20 == 0 {
                    text.push_str("1\r\n\n\r\n");
                }
                drop(all);
                if (&stream).write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn push_line(&self, line: String) {
        self.lines.lock().unwrap().push(line);
    }

    pub fn list(&self, rev: u64, all: bool, targets: &[Value]) {
        self.push_line(json!({"rev": rev, "all": all, "targets": targets}).to_string());
    }
}

/// A mock counter service: `answer` returns the reply to a call by counter name, connection and call number;
/// `None` closes the connection.
pub struct Counter {
    pub addr: SocketAddr,
    pub calls: Receiver<(usize, String)>,
}

impl Counter {
    pub fn start(answer: impl Fn(&str, usize, usize) -> Option<String> + Send + Sync + 'static) -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (sender, calls) = channel();
        thread::spawn(move || {
            let mut number = 0;
            for (conn, stream) in listener.incoming().flatten().enumerate() {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(arguments) = Counter::read(&mut reader) {
                    let text = if arguments[0] == "PING" {
                        Some("+PONG\r\n".to_owned())
                    } else {
                        let _ = sender.send((conn, arguments[1].clone()));
                        number += 1;
                        answer(&arguments[1], conn, number - 1)
                    };
                    let Some(text) = text else { break };
                    if (&stream).write_all(text.as_bytes()).is_err() {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        Counter { addr, calls }
    }

    fn read(from: &mut impl BufRead) -> Option<Vec<String>> {
        let mut line = || {
            let mut text = String::new();
            (from.read_line(&mut text).ok()? > 0).then(|| text.trim_end().to_owned())
        };
        let arguments: usize = line()?.strip_prefix('*')?.parse().ok()?;
        (0..arguments).map(|_| line().and_then(|_| line())).collect()
    }
}

pub fn total(n: f64) -> String {
    let text = n.to_string();
    format!("${}\r\n{text}\r\n", text.len())
}

/// The configuration of [`config`] with an admin socket.
pub fn config_with_admin(discovery: SocketAddr) -> Value {
    let mut config = config(discovery, &[]);
    config["admin_addr"] = "127.0.0.1:0".into();
    config
}

/// The configuration of a single gatekeeper with three request classes and two plans.
pub fn config(discovery: SocketAddr, known: &[Value]) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"rev": 1, "all": true, "targets": known},
        "settings": {
            "instances": 1, "me": 0, "resolutionUs": 1000, "zone": "a", "registryMode": "pushed",
            "familyInfo": {"mayCount": false, "countWaitUs": 50000, "mostUnits": 6, "costAfter": true},
            "limits": {"maxAttempts": 6, "mayCancel": true, "mayDuplicate": false, "retryAfter": true,
                       "maxRetryAfterUs": 500000, "connIdleUs": 30000000, "connectTimeoutUs": 250000},
            "rules": {"coldFrom": 0.22, "coldUs": 14000000, "fallMultiple": 3.0, "tipAfterUs": 1500000},
            "services": [
                {"name": "pull", "aimUs": 600000, "giveUpUs": 1500000, "effect": "idempotent", "group": "all"},
                {"name": "push", "aimUs": 750000, "giveUpUs": 2500000, "effect": "at_most_once", "group": "all"},
                {"name": "swap", "aimUs": 750000, "giveUpUs": 2500000, "effect": "deduplicated", "group": "all",
                 "keyTtlUs": 2000000}],
            "tiersOfService": [
                {"name": "large", "rate": 1000.0, "storeSize": 1000.0, "overCost": 1.0},
                {"name": "small", "rate": 1.0, "storeSize": 20.0, "overCost": 1.0}]
        }
    })
}

/// The gatekeeper process under test, killed on drop.
pub struct Gatekeeper {
    child: Child,
    pub addr: SocketAddr,
    /// The address of the admin socket, if the configuration has one.
    pub admin_addr: Option<SocketAddr>,
    dir: Arc<TempDir>,
}

/// A temporary directory, removed on drop.
pub struct TempDir(std::path::PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Creates an empty temporary directory.
pub fn temp_dir() -> Arc<TempDir> {
    temp_dir_named("")
}

/// Creates a temporary directory whose path is too long for a Unix socket.
pub fn long_temp_dir() -> Arc<TempDir> {
    temp_dir_named(&"-deep".repeat(30))
}

fn temp_dir_named(end: &str) -> Arc<TempDir> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    let name = format!("granitelead-{}-{number}{end}", std::process::id());
    let dir = TempDir(std::env::temp_dir().join(name));
    std::fs::create_dir_all(&dir.0).unwrap();
    Arc::new(dir)
}

impl TempDir {
    pub fn path(&self, name: &str) -> std::path::PathBuf {
        self.0.join(name)
    }
}

fn spawn(config: &str, dir: &TempDir) -> Child {
    spawn_command(Command::new(env!("CARGO_BIN_EXE_granitelead")), config, dir)
}

fn spawn_command(mut command: Command, config: &str, dir: &TempDir) -> Child {
    let path = dir.0.join("config.json");
    std::fs::write(&path, config).unwrap();
    for variable in ["RELAY_NAME", "RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_ADMIN_ADDR"] {
        command.env_remove(variable);
    }
    command.env("RELAY_CONFIG", &path).env("TMPDIR", &dir.0).stderr(Stdio::piped()).spawn().unwrap()
}

/// Runs the program on an invalid configuration; returns its exit code and standard error.
pub fn run_to_end(config: &str) -> (Option<i32>, String) {
    let dir = temp_dir();
    let child = spawn(config, &dir);
    let out = child.wait_with_output().unwrap();
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

impl Gatekeeper {
    pub fn start(config: &Value) -> Gatekeeper {
        Gatekeeper::start_in(temp_dir(), config)
    }

    /// Starts a new process that takes over from this one, with its own admin socket.
    pub fn upgrade(&self, config: &Value) -> Gatekeeper {
        let mut config = config.clone();
        config["listen"] = self.addr.to_string().into();
        Gatekeeper::start_in(self.dir.clone(), &config)
    }

    /// Waits until the `readyz` command reports that the process accepts clients.
    pub fn wait_for_readyz(&self) {
        let until = Instant::now() + TIMEOUT;
        while !self.call("readyz").starts_with("YES") {
            assert!(Instant::now() < until, "never ready according to readyz");
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn kill(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn start_in(dir: Arc<TempDir>, config: &Value) -> Gatekeeper {
        let child = spawn(&config.to_string(), &dir);
        Gatekeeper::from_child(child, dir, config)
    }

    /// Starts a gatekeeper whose process may open only `descriptors` file descriptors, whatever its
    /// configuration says.
    pub fn start_with_descriptors(config: &Value, descriptors: usize) -> Gatekeeper {
        let dir = temp_dir();
        let mut command = Command::new("/bin/sh");
        let limited = format!("ulimit -n {descriptors}; exec \"$0\"");
        command.args(["-c", &limited, env!("CARGO_BIN_EXE_granitelead")]);
        Gatekeeper::start_with_command(command, dir, config)
    }

    /// Starts a gatekeeper through another command, whose last argument is the program's path.
    pub fn start_with_command(command: Command, dir: Arc<TempDir>, config: &Value) -> Gatekeeper {
        let child = spawn_command(command, &config.to_string(), &dir);
        Gatekeeper::from_child(child, dir, config)
    }

    fn from_child(mut child: Child, dir: Arc<TempDir>, config: &Value) -> Gatekeeper {
        let mut log = BufReader::new(child.stderr.take().unwrap());
        // Takes the addresses from the first log lines that end with one.
        let mut address = || -> SocketAddr {
            loop {
                let mut line = String::new();
                assert!(
                    log.read_line(&mut line).unwrap() > 0,
                    "the process exits without logging its address"
                );
                if let Ok(addr) = line.trim().rsplit(' ').next().unwrap_or_default().parse() {
                    return addr;
                }
            }
        };
        let addr = address();
        let admin_addr = config.get("admin_addr").map(|_| address());
        // The rest of the log is drained, so that the process never blocks on writing it.
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::stderr()));
        Gatekeeper { child, addr, admin_addr, dir }
    }

    /// Starts and waits until requests can be served.
    pub fn ready(config: &Value) -> Gatekeeper {
        Gatekeeper::start(config).until_ready()
    }

    pub fn until_ready(self) -> Gatekeeper {
        let gatekeeper = self;
        let until = Instant::now() + TIMEOUT;
        while gatekeeper.exchange("GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status() != 200 {
            assert!(Instant::now() < until, "never ready");
            thread::sleep(Duration::from_millis(10));
        }
        gatekeeper
    }

    /// Sends one command to the admin socket and returns the whole reply.
    pub fn call(&self, line: &str) -> String {
        let mut stream = self.connect_admin();
        stream.write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// Opens a connection to the admin socket.
    pub fn connect_admin(&self) -> TcpStream {
        let stream = TcpStream::connect(self.admin_addr.expect("an admin address")).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream
    }

    pub fn connect(&self) -> Client {
        self.try_connect().expect("the gatekeeper accepts no connection")
    }

    pub fn try_connect(&self) -> Option<Client> {
        let stream = TcpStream::connect(self.addr).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Some(Client { reader: BufReader::new(stream.try_clone().unwrap()), stream })
    }

    /// Connects from another loopback address.
    pub fn connect_from(&self, source: [u8; 4]) -> Option<Client> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let stream = runtime.block_on(async {
            let socket = tokio::net::TcpSocket::new_v4()?;
            socket.bind((source, 0).into())?;
            // With a full backlog, connecting could take minutes.
            let connected = tokio::time::timeout(TIMEOUT / 10, socket.connect(self.addr)).await;
            connected.map_err(std::io::Error::other)??.into_std()
        });
        let stream = stream.ok()?;
        stream.set_nonblocking(false).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Some(Client { reader: BufReader::new(stream.try_clone().unwrap()), stream })
    }

    /// Sends a request on a new connection and returns the response.
    pub fn exchange(&self, request: &str) -> Message {
        self.connect().exchange(request)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and triggers a reload with SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.dir.0.join("config.json"), config).unwrap();
        self.signal("-HUP");
    }

    /// The peak resident memory of the process, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    pub fn exit_code(&mut self) -> Option<i32> {
        let until = Instant::now() + TIMEOUT;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the program does not exit");
    }
}

impl Drop for Gatekeeper {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Client {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Client {
    pub fn send(&mut self, request: &str) {
        self.stream.write_all(request.as_bytes()).unwrap();
    }

    /// Sends to a peer that may have closed the connection.
    pub fn try_send(&mut self, request: &str) {
        let _ = self.stream.write_all(request.as_bytes());
    }

    /// The underlying connection, for tests that read or write it directly.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Shuts down the sending side of the connection.
    pub fn half_close(&self) {
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes the connection with a TCP reset. Always returns `None`.
    pub fn reset(self) -> Option<Client> {
        let _ = rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
        None
    }

    /// The next response, or `None` if the connection ends first.
    pub fn response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    pub fn exchange(&mut self, request: &str) -> Message {
        self.send(request);
        self.response().expect("the connection ended without a response")
    }
}

/// The parts of a client request.
pub struct RequestSpec {
    pub head: String,
    pub class: &'static str,
    pub tier: &'static str,
    pub client: String,
    pub timeout: &'static str,
    pub terms: String,
    pub key: Option<&'static str>,
    pub body: Option<String>,
}

static IDS: AtomicUsize = AtomicUsize::new(0);

pub fn pull() -> RequestSpec {
    RequestSpec {
        head: "GET /pull/v2/image?tag=1".into(),
        class: "pull",
        tier: "large",
        client: CLIENT.into(),
        timeout: "1.500",
        terms: "units=1,spread=1,first=0".into(),
        key: None,
        body: None,
    }
}

pub fn push() -> RequestSpec {
    RequestSpec {
        head: "POST /push/v2/image".into(),
        class: "push",
        timeout: "2.5",
        body: Some("layer".into()),
        ..pull()
    }
}

/// A request with an idempotency key.
pub fn swap() -> RequestSpec {
    RequestSpec {
        head: "POST /swap/v2/image".into(),
        class: "swap",
        key: Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
        ..push()
    }
}

impl RequestSpec {
    pub fn id(&self) -> String {
        format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst))
    }

    pub fn text(&self) -> String {
        let key = self.key.map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        let length =
            self.body.as_ref().map(|b| format!("Content-Length: {}\r\n", b.len())).unwrap_or_default();
        format!(
            "{} HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {}\r\nRequest-Class: {}\r\nX-Tier: {}\r\n\
             Cookie: client={}\r\nRequest-Timeout: {}\r\nX-Call-Terms: {}\r\n{key}{length}\r\n{}",
            self.head,
            self.id(),
            self.class,
            self.tier,
            self.client,
            self.timeout,
            self.terms,
            self.body.as_deref().unwrap_or_default()
        )
    }
}
