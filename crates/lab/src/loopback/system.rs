//! The system on loopback, to try it by hand: a marker, a gatekeeper, a stand-in server behind them, one request through.

use super::process::WORD;
use super::{listener, FleetError};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rustix::process::{kill_process, Pid, Signal};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// How often the stand-in beats.
const BEAT: Duration = Duration::from_millis(1_500);
/// Time for the system to be ready, and for a process to end.
const READY: Duration = Duration::from_secs(15);
/// Time for one call.
const CALL: Duration = Duration::from_secs(2);
/// What the stand-in answers with.
const SERVED: &str = "served\n";

/// Where everything listens.
struct Ports {
    control: SocketAddr,
    front: SocketAddr,
    readiness: SocketAddr,
    server: SocketAddr,
    internal: u16,
}

fn settings(ports: &Ports, role: &str, folder: &Path, first: bool) -> String {
    format!(
        r#"node-name = "{role}-1"
zone = "a"
ip-address = "127.0.0.1"
internal-port-range = [{internal}, {last}]
seed-nodes = ["{control}"]
first-start = {first}
data-directory = "{folder}"
heartbeat-interval-ms = {beat}
[listen-addresses]
front = "{front}"
readiness = "{readiness}"
control-plane = "{control}"
[limits]
memory-mb = 256
file-descriptors = 1024
[fault-tolerance]
machine-losses = 0
"#,
        internal = ports.internal,
        last = ports.internal + 1,
        control = ports.control,
        front = ports.front,
        readiness = ports.readiness,
        folder = folder.display(),
        beat = BEAT.as_millis(),
    )
}

fn configuration(version: u32) -> String {
    serde_json::json!({
        "version": format!("{version:08x}"),
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000},
        "tenants": [{"name": "somebody", "api-keys": ["a-key"], "requests-per-s": 50, "burst-size": 50}],
        "listeners": [{"host-name": "try.example", "rules": [{"name": "try", "route-kind": "safe_method",
            "target-latency-ms": 500, "match-conditions": {"path-prefix": "/try/"},
            "route-action": {"service-name": "stand-in", "timeout-ms": 2000, "max-attempts": 2}}]}],
        "upstream-clusters": [{"name": "stand-in", "health-check-path": "/health", "connection-limit": 100}],
    })
    .to_string()
}

/// One call over HTTP; its status and body.
pub(crate) async fn call(to: SocketAddr, request: Request<Full<Bytes>>) -> io::Result<(u16, Bytes)> {
    let called = async {
        let stream = TcpStream::connect(to).await?;
        let shaken = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
        let (mut sender, connection) = shaken.map_err(io::Error::other)?;
        spawn_local(connection);
        let (head, body) = sender.send_request(request).await.map_err(io::Error::other)?.into_parts();
        let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
        Ok((head.status.as_u16(), body))
    };
    timeout(CALL, called).await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// A request with a body.
pub(crate) fn request(
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: String,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method.parse().unwrap_or_default();
    *request.uri_mut() = path.parse().unwrap_or_default();
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (name.parse::<hyper::header::HeaderName>(), value.parse()) {
            request.headers_mut().insert(name, value);
        }
    }
    request
}

/// Answers as the operators' servers do: with the id of the request and a seal.
async fn serve(listener: TcpListener) {
    let answer = |request: Request<Incoming>| async move {
        let mut response = Response::new(Full::new(Bytes::from_static(SERVED.as_bytes())));
        if let Some(id) = request.headers().get("x-granitelead-attempt-id") {
            response.headers_mut().insert("x-granitelead-attempt-id", id.clone());
        }
        response
            .headers_mut()
            .insert("x-granitelead-server-seal", hyper::header::HeaderValue::from_static("stand-in"));
        Ok::<_, Infallible>(response)
    };
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(async move {
            let served = hyper::server::conn::http1::Builder::new();
            // A caller that breaks off is its own affair.
            let _ = served.serve_connection(TokioIo::new(stream), service_fn(answer)).await;
        });
    }
}

async fn beat(control: SocketAddr, server: SocketAddr) {
    let life = format!("i-{}", std::process::id());
    for sequence in 1u64.. {
        let body = serde_json::json!({
            "address": server.to_string(),
            "information": {"service-name": "stand-in", "version": "v1", "zone": "a", "capacity-slots": 8},
            "status": {"state": "ready", "call-sequence": sequence, "cold-remaining-ms": 0},
        });
        let path = format!("/Instances.Heartbeat/{life}");
        let called = call(control, request("POST", &path, &[("host", "control")], body.to_string())).await;
        sleep(if called.is_ok() { BEAT } else { BEAT / 10 }).await;
    }
}

fn start(role: &str, file: &Path) -> Result<Child, FleetError> {
    let no_start = |why: io::Error| FleetError::NoStart { name: role.to_owned(), why: why.to_string() };
    let mut command = Command::new(std::env::current_exe().map_err(no_start)?);
    command.arg(WORD).arg(std::process::id().to_string()).arg(role);
    command.env("GRANITELEAD_NODE_FILE", file).kill_on_drop(true).spawn().map_err(no_start)
}

async fn stop(mut child: Child) {
    if let Some(pid) = child.id().and_then(|id| Pid::from_raw(id as i32)) {
        // It may have ended by itself.
        let _ = kill_process(pid, Signal::TERM);
    }
    let _ = timeout(READY, child.wait()).await;
}

/// Calls again and again until the answer is good.
async fn until_good(to: SocketAddr, make: impl Fn() -> Request<Full<Bytes>>) -> Result<Bytes, FleetError> {
    let good = async {
        loop {
            if let Ok((200, body)) = call(to, make()).await {
                return body;
            }
            sleep(Duration::from_millis(50)).await;
        }
    };
    let late =
        |_| FleetError::NoStart { name: "the system".into(), why: format!("{to} gives no good answer") };
    timeout(READY, good).await.map_err(late)
}

async fn play(port: u16, out: &Path, once: bool) -> Result<(), FleetError> {
    let at = |n: u16| SocketAddr::from(([127, 0, 0, 1], port.saturating_add(n)));
    let ports = Ports {
        control: at(0),
        front: at(3),
        readiness: at(6),
        server: at(5),
        internal: port.saturating_add(10),
    };
    let mut children = Vec::new();
    for role in ["marker", "granitelead-proxy"] {
        let folder = out.join(role);
        let first = !folder.exists();
        std::fs::create_dir_all(&folder)?;
        let folder = std::fs::canonicalize(folder)?;
        let file = out.join(format!("{role}.toml"));
        std::fs::write(&file, settings(&ports, role, &folder, first))?;
        children.push(start(role, &file)?);
    }
    let (server, _) = listener("the stand-in server", ports.server).await?;
    spawn_local(serve(server));
    spawn_local(beat(ports.control, ports.server));
    let version = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |since| since.as_secs() as u32);
    let body = configuration(version);
    let host = [("host", "control")];
    until_good(ports.control, || request("POST", "/Configuration.Replace", &host, body.clone())).await?;
    until_good(ports.readiness, || request("GET", "/readiness", &host, String::new())).await?;
    let headers = [
        ("host", "try.example"),
        ("authorization", "Bearer a-key"),
        ("x-granitelead-attempt-id", "1"),
        ("x-granitelead-deadline-milliseconds", "2000"),
    ];
    let body = until_good(ports.front, || request("GET", "/try/x", &headers, String::new())).await?;
    println!("through the gatekeeper: {}", String::from_utf8_lossy(&body).trim());
    if !once {
        println!(
            "again:  curl -H 'Host: try.example' -H 'Authorization: Bearer a-key' -H 'X-Granitelead-Attempt-Id: 2' \\\n\
             \u{20}            -H 'X-Granitelead-Deadline-Milliseconds: 2000' {}/try/x\n\
             status: curl {control}/System.Status\n\
             read:   curl {control}/Configuration.Read\n\
             settings and folders are in {}; Ctrl-C ends all",
            ports.front,
            out.display(),
            control = ports.control,
        );
        tokio::signal::ctrl_c().await?;
    }
    for child in children {
        stop(child).await;
    }
    Ok(())
}

/// Starts the system on loopback; ends with Ctrl-C, or after one request.
///
/// # Errors
///
/// What does not start, or gives no good answer in time.
pub fn system(port: u16, out: &Path, once: bool) -> Result<(), FleetError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, play(port, out, once))
}
