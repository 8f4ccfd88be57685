//! Checks that a marker that receives SIGTERM answers the requests it has already received.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

/// Time limit for the process to listen, to answer and to exit.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A marker whose core peers are all absent, so that no change can be committed.
struct LoneMarker {
    process: Child,
    control: String,
    directory: PathBuf,
}

impl LoneMarker {
    fn start() -> LoneMarker {
        let directory =
            std::env::temp_dir().join(format!("granitelead-marker-shutdown-{}", std::process::id()));
        std::fs::create_dir_all(directory.join("data")).unwrap();
        let port = |listener: &TcpListener| listener.local_addr().unwrap().port();
        let (outer, inner) =
            (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
        let (control, internal) = (format!("127.0.0.1:{}", port(&outer)), port(&inner));
        drop((outer, inner));
        let settings = format!(
            r#"node-name = "marker-1"
zone = "a"
ip-address = "127.0.0.1"
internal-port-range = [{internal}, {}]
seed-nodes = ["{control}", "127.0.0.2:{internal}", "127.0.0.3:{internal}"]
first-start = false
data-directory = "{}"
heartbeat-interval-ms = 1500
[listen-addresses]
control-plane = "{control}"
[limits]
memory-mb = 256
file-descriptors = 1024
[fault-tolerance]
machine-losses = 1
"#,
            internal.saturating_add(1),
            directory.join("data").display(),
        );
        let file = directory.join("node.toml");
        std::fs::write(&file, settings).unwrap();
        let process =
            Command::new(env!("CARGO_BIN_EXE_marker")).env("GRANITELEAD_NODE_FILE", &file).spawn().unwrap();
        LoneMarker { process, control, directory }
    }

    fn connect(&self) -> TcpStream {
        let until = Instant::now() + TIMEOUT;
        loop {
            match TcpStream::connect(&self.control) {
                Ok(stream) => return stream,
                Err(e) => assert!(Instant::now() < until, "the marker does not listen: {e}"),
            }
            std::thread::yield_now();
        }
    }
}

impl Drop for LoneMarker {
    fn drop(&mut self) {
        // It may have exited already.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

const CONFIGURATION: &str = r#"{"version":"00000001","limits":{"max-header-bytes":16384,"max-body-bytes":1048576,
"header-timeout-ms":3000,"idle-timeout-ms":15000},"listeners":[{"host-name":"h.example","rules":[{"name":"r",
"route-kind":"safe_method","target-latency-ms":500,"priority":0,"public-access":true,
"match-conditions":{"path-prefix":"/r/"},"route-action":{"service-name":"s","timeout-ms":2000,"max-attempts":1}}]}],
"upstream-clusters":[{"name":"s","health-check-path":"/health","connection-limit":100,"protocol":"h1",
"transport-security":false}]}"#;

#[test]
fn a_pending_change_is_answered_when_its_marker_shuts_down() {
    let mut marker = LoneMarker::start();
    let mut call = marker.connect();
    call.set_read_timeout(Some(TIMEOUT)).unwrap();
    let head = format!(
        "POST /Configuration.Replace HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        CONFIGURATION.len()
    );
    call.write_all(format!("{head}{CONFIGURATION}").as_bytes()).unwrap();
    // A second request that is answered at once shows that the first one has been received.
    let mut status = marker.connect();
    status.set_read_timeout(Some(TIMEOUT)).unwrap();
    status.write_all(b"GET /System.Status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    status.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    let id = rustix::process::Pid::from_child(&marker.process);
    rustix::process::kill_process(id, rustix::process::Signal::TERM).unwrap();
    let mut answer = String::new();
    call.read_to_string(&mut answer).unwrap();
    // Without a majority, it is uncertain whether the change is in force.
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer:?}");
    assert!(answer.contains("uncertain"), "{answer:?}");
    let until = Instant::now() + TIMEOUT;
    while marker.process.try_wait().unwrap().is_none() {
        assert!(Instant::now() < until, "the marker does not exit");
        std::thread::yield_now();
    }
}
