//! A gatekeeper on real sockets, and clients that speak HTTP to it byte by byte.

#![allow(dead_code)] // Each file of tests uses a part.

pub mod server;

use granitelead_common::settings::Bounds;
use granitelead_control_protocol::messages::{Document, Instance, InstanceState};
use granitelead_proxy::connections::ClientConnections;
use granitelead_proxy::control::{Change, Control};
use granitelead_proxy::front::Front;
use granitelead_proxy::gate::Gate;
use granitelead_proxy::listeners::accept_clients;
use granitelead_proxy::pool::ConnectionPool;
use granitelead_proxy::shutdown::{shut_down, ShutdownReport};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::timeout;

/// Time from SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_secs(6);
/// Connections that a gatekeeper takes.
const CONNECTIONS: usize = 100;

pub fn bounds() -> Bounds {
    let secs = Duration::from_secs;
    Bounds {
        drain: secs(2),
        grace: GRACE,
        apply: secs(2),
        retry_ratio: 1.0,
        retry_window: secs(10),
        retry_slack: 1e6,
        quota_window: secs(5),
        quota_overshoot: 0.1,
        quota_slack: 20.0,
    }
}

/// One service, with a route `/safe/` whose requests may run more than once and a route `/once/` whose may not.
pub fn configuration(timeout_ms: u64, attempts: u32) -> Vec<u8> {
    let rule = |path: &str, kind: &str| {
        format!(
            r#"{{"name":"{path}","route-kind":"{kind}","target-latency-ms":500,"priority":0,"public-access":true,
            "match-conditions":{{"path-prefix":"/{path}/"}},
            "route-action":{{"service-name":"s","timeout-ms":{timeout_ms},"max-attempts":{attempts}}}}}"#
        )
    };
    format!(
        r#"{{"version":"00000001","limits":{{"max-header-bytes":16384,"max-body-bytes":1000000,
        "header-timeout-ms":3000,"idle-timeout-ms":15000}},
        "listeners":[{{"host-name":"h.example","rules":[{},{}]}}],"upstream-clusters":[{{"name":"s",
        "health-check-path":"/health","connection-limit":100,"protocol":"h1","transport-security":false}}]}}"#,
        rule("safe", "safe_method"),
        rule("once", "unsafe_method")
    )
    .into_bytes()
}

/// A gatekeeper that takes clients.
pub struct Gatekeeper {
    pub front: Rc<Front>,
    pub connections: Rc<ClientConnections>,
    pub address: SocketAddr,
    stop_accepting: Rc<Notify>,
}

impl Gatekeeper {
    /// Starts one that knows this configuration and these servers.
    pub async fn start(configuration: Vec<u8>, servers: &[SocketAddr], seed: u64) -> Gatekeeper {
        let front = Gatekeeper::front(configuration, servers, seed);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (connections, stop_accepting) = (Rc::new(ClientConnections::default()), Rc::new(Notify::new()));
        let accepting = Gatekeeper::accept(&front, &connections, listener, &stop_accepting);
        spawn_local(accepting);
        Gatekeeper { front, connections, address, stop_accepting }
    }

    /// Accepts clients until it is told to stop.
    pub fn accept(
        front: &Rc<Front>,
        connections: &Rc<ClientConnections>,
        listener: TcpListener,
        stop: &Rc<Notify>,
    ) -> impl Future<Output = ()> {
        accept_clients(front.clone(), connections.clone(), listener, CONNECTIONS, stop.clone())
    }

    /// One without a listener.
    pub fn front(configuration: Vec<u8>, servers: &[SocketAddr], seed: u64) -> Rc<Front> {
        let mut gate = Gate::new(Control::new("g", "a", Vec::new(), seed), "a", &bounds(), seed);
        let marker = Ipv4Addr::LOCALHOST;
        let document = Document { version: 1, bytes: configuration };
        gate.take(0, marker, Change::Configuration(document));
        assert_eq!(gate.revision().map(|has| has.version), Some(1));
        let servers = servers.iter().enumerate().map(|(n, address)| instance(n, *address)).collect();
        gate.take(0, marker, Change::Servers(servers));
        gate.take(0, marker, Change::Whole);
        Rc::new(Front::new(gate, ConnectionPool::new(CONNECTIONS), 1 << 20))
    }

    /// What SIGTERM does, until the process would end.
    pub async fn terminate(&self) -> ShutdownReport {
        shut_down(&self.front, &self.connections, &self.stop_accepting, GRACE).await
    }
}

fn instance(n: usize, address: SocketAddr) -> Instance {
    Instance {
        id: format!("i-{n}"),
        service: "s".into(),
        address: address.to_string(),
        zone: "a".into(),
        version: String::new(),
        slots: 50,
        state: InstanceState::Ready,
        sequence: 1,
        cold_ms: 0,
    }
}

/// One answer, as a client read it.
#[derive(Clone, Debug)]
pub struct Heard {
    pub status: u16,
    /// The id that it carries.
    pub name: Option<String>,
    pub body: String,
    /// It is a server's own.
    pub sealed: bool,
    /// The connection closes behind it.
    pub closes: bool,
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
}

/// The next whole answer; `None` where the connection ended before.
pub async fn hear(stream: &mut (impl AsyncRead + Unpin), bytes: &mut Vec<u8>) -> Option<Heard> {
    let mut piece = vec![0; 16 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let size = header(&head, "content-length")?.parse::<usize>().ok()?;
            let from = end + 4;
            if bytes.len() >= from + size {
                let body = String::from_utf8_lossy(&bytes[from..from + size]).into_owned();
                bytes.drain(..from + size);
                let name = header(&head, "x-granitelead-attempt-id");
                let sealed = header(&head, "x-granitelead-server-seal").is_some();
                let closes = header(&head, "connection").is_some_and(|value| value == "close");
                return Some(Heard { status, name, body, sealed, closes });
            }
        }
        // Longer than any request may take.
        let read = timeout(Duration::from_secs(30), stream.read(&mut piece)).await;
        match read.expect("a request is neither answered nor ended") {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&piece[..n]),
        }
    }
}

/// Lets everything else run so often.
pub async fn turns(n: usize) {
    for _ in 0..n {
        yield_now().await;
    }
}
