//! Test support: a gatekeeper on real sockets, and a minimal HTTP client that reads raw bytes.

#![allow(dead_code)] // Each test file uses only a part of it.

pub mod server;

use granitelead_common::settings::Bounds;
use granitelead_control_protocol::messages::{Document, Instance, InstanceState};
use granitelead_proxy::connections::ClientConnections;
use granitelead_proxy::control::{Change, Control};
use granitelead_proxy::gate::Gate;
use granitelead_proxy::listeners::accept_clients;
use granitelead_proxy::pool::ConnectionPool;
use granitelead_proxy::shared_state::SharedState;
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

/// Grace period between SIGTERM and SIGKILL.
pub const GRACE: Duration = Duration::from_secs(6);
/// Most client connections of a gatekeeper, and most connections to servers.
const CONNECTIONS_MAX: usize = 100;

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

/// A configuration with one service: requests to `/safe/` are idempotent, requests to `/once/` may run at
/// most once.
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

/// A gatekeeper that accepts clients.
pub struct Gatekeeper {
    pub shared: Rc<SharedState>,
    pub connections: Rc<ClientConnections>,
    pub address: SocketAddr,
    stop_accepting: Rc<Notify>,
}

impl Gatekeeper {
    /// Starts a gatekeeper with this configuration and these servers.
    pub async fn start(configuration: Vec<u8>, servers: &[SocketAddr], seed: u64) -> Gatekeeper {
        let shared = Gatekeeper::shared_state(configuration, servers, seed);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (connections, stop_accepting) = (Rc::new(ClientConnections::default()), Rc::new(Notify::new()));
        let accepting = Gatekeeper::accept(&shared, &connections, listener, &stop_accepting);
        spawn_local(accepting);
        Gatekeeper { shared, connections, address, stop_accepting }
    }

    /// Accepts clients until `stop` is notified.
    pub fn accept(
        shared: &Rc<SharedState>,
        connections: &Rc<ClientConnections>,
        listener: TcpListener,
        stop: &Rc<Notify>,
    ) -> impl Future<Output = ()> {
        accept_clients(shared.clone(), connections.clone(), listener, CONNECTIONS_MAX, stop.clone())
    }

    /// The state of a gatekeeper without a listener.
    pub fn shared_state(configuration: Vec<u8>, servers: &[SocketAddr], seed: u64) -> Rc<SharedState> {
        let mut gate = Gate::new(Control::new("g", "a", Vec::new(), seed), "a", &bounds(), seed);
        let marker = Ipv4Addr::LOCALHOST;
        let document = Document { version: 1, bytes: configuration };
        gate.apply(0, marker, Change::Configuration(document));
        assert_eq!(gate.revision().map(|has| has.version), Some(1));
        let servers = servers.iter().enumerate().map(|(n, address)| instance(n, *address)).collect();
        gate.apply(0, marker, Change::Servers(servers));
        gate.apply(0, marker, Change::InitialSyncComplete);
        Rc::new(SharedState::new(gate, ConnectionPool::new(CONNECTIONS_MAX), 1 << 20))
    }

    /// Shuts down as after SIGTERM; returns when the process would exit.
    pub async fn terminate(&self) -> ShutdownReport {
        shut_down(&self.shared, &self.connections, &self.stop_accepting, GRACE).await
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

/// One response, as a client received it.
#[derive(Clone, Debug)]
pub struct ClientResponse {
    pub status: u16,
    /// The attempt id that it carries.
    pub attempt_id: Option<String>,
    pub body: String,
    /// Whether it carries a server's seal, that is, was not generated by the gatekeeper.
    pub sealed: bool,
    /// Whether it announces that the connection closes.
    pub closes: bool,
}

pub fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_owned())
}

/// Reads the next complete response; `None` if the connection ends before.
pub async fn read_response(
    stream: &mut (impl AsyncRead + Unpin),
    bytes: &mut Vec<u8>,
) -> Option<ClientResponse> {
    let mut piece = vec![0; 16 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let status = head.split(' ').nth(1)?.parse().ok()?;
            let size = header(&head, "content-length")?.parse::<usize>().ok()?;
            let body_start = end + 4;
            if bytes.len() >= body_start + size {
                let body = String::from_utf8_lossy(&bytes[body_start..body_start + size]).into_owned();
                bytes.drain(..body_start + size);
                let attempt_id = header(&head, "x-granitelead-attempt-id");
                let sealed = header(&head, "x-granitelead-server-seal").is_some();
                let closes = header(&head, "connection").is_some_and(|value| value == "close");
                return Some(ClientResponse { status, attempt_id, body, sealed, closes });
            }
        }
        // Longer than the timeout of any request.
        let read = timeout(Duration::from_secs(30), stream.read(&mut piece)).await;
        match read.expect("the request is neither answered nor closed") {
            Ok(0) | Err(_) => return None,
            Ok(n) => bytes.extend_from_slice(&piece[..n]),
        }
    }
}

/// Yields `n` times, so that other tasks can run.
pub async fn yield_times(n: usize) {
    for _ in 0..n {
        yield_now().await;
    }
}
