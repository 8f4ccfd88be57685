//! End-to-end tests of the list service, its mirror and the gatekeeper: changes of servers, and failures.

mod fleet;
#[path = "../peers/mod.rs"]
mod peers;

use granitelead_list::messages::{ErrorResponse, HostList, LeaseRequest, LeaseResponse};
use peers::list::Service;
use peers::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Lease time of servers that renew it, in ms.
const TTL: u64 = 3_000;

/// Runs the list service until it exits; returns its exit code and standard error.
fn run_service(args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_granitelead-discovery")).args(args).output().unwrap();
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

/// Queries to a list service.
trait ServiceQueries {
    fn metric(&self, name: &str) -> u64;
    fn list(&self) -> HostList;
    fn states(&self) -> BTreeMap<String, String>;
}

impl ServiceQueries for Service {
    fn metric(&self, name: &str) -> u64 {
        let text = exchange(self.addr, "GET /discovery/figures HTTP/1.1\r\nHost: x\r\n\r\n").unwrap().body;
        let value = text.lines().find_map(|line| line.strip_prefix(&format!("discovery_{name} ")));
        value.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }

    fn list(&self) -> HostList {
        let answer = exchange(self.addr, "GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        assert_eq!(answer.status(), 200, "{}", answer.body);
        serde_json::from_str(&answer.body).unwrap()
    }

    fn states(&self) -> BTreeMap<String, String> {
        self.list().targets.into_iter().map(|target| (target.uid, target.state)).collect()
    }
}

/// Sends a request on a new connection; returns `None` if there is no response.
fn exchange(at: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(stream))
}

fn post(at: SocketAddr, path: &str, body: &str) -> Option<Message> {
    let length = body.len();
    exchange(at, &format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}"))
}

/// Status and error code of an error response.
fn error_of(answer: &Message) -> (u16, String) {
    let why: ErrorResponse = serde_json::from_str(&answer.body).unwrap();
    (answer.status(), why.error)
}

/// The body of a registration whose lease outlasts any test.
fn registration(uid: &str, endpoint: SocketAddr, boot_ms: u64) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "a", "boot_ms": boot_ms, "ttl_ms": 30_000})
}

fn register(at: SocketAddr, call: &Value) -> LeaseResponse {
    let answer = post(at, "/discovery/register", &call.to_string()).unwrap();
    assert_eq!(answer.status(), 200, "{}", answer.body);
    serde_json::from_str(&answer.body).unwrap()
}

/// Calls `renew`, `drain` or `deregister` for a lease; returns the status, or 0 without a response.
fn call_with_lease(at: SocketAddr, what: &str, uid: &str, lease: u64) -> u16 {
    let call = LeaseRequest { uid: uid.into(), lease };
    let call = serde_json::to_string(&call).unwrap();
    post(at, &format!("/discovery/{what}"), &call).map_or(0, |answer| answer.status())
}

/// Waits until a condition holds.
fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "never: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// A mock server that registers and keeps renewing its lease, as a real one does.
struct Registered {
    server: Server,
    uid: &'static str,
    lease: Arc<AtomicUsize>,
    at: SocketAddr,
    renewing: Arc<AtomicBool>,
}

impl Registered {
    fn start(uid: &'static str, at: SocketAddr) -> Registered {
        let server = Server::start(ok(uid));
        let (lease, renewing) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(true)));
        let (mut call, number, running) =
            (registration(uid, server.addr, 0), lease.clone(), renewing.clone());
        call["ttl_ms"] = TTL.into();
        number.store(register(at, &call).lease as usize, Ordering::SeqCst);
        thread::spawn(move || {
            while running.load(Ordering::SeqCst) {
                let current = number.load(Ordering::SeqCst) as u64;
                if call_with_lease(at, "renew", uid, current) == 404 {
                    if let Some(answer) = post(at, "/discovery/register", &call.to_string()) {
                        if let Ok(leased) = serde_json::from_str::<LeaseResponse>(&answer.body) {
                            number.store(leased.lease as usize, Ordering::SeqCst);
                        }
                    }
                }
                thread::sleep(Duration::from_millis(TTL / 5));
            }
        });
        Registered { server, uid, lease, at, renewing }
    }

    /// Calls `drain`, `deregister` or `renew` with its own lease.
    fn call(&self, what: &str) {
        let lease = self.lease.load(Ordering::SeqCst) as u64;
        assert_eq!(call_with_lease(self.at, what, self.uid, lease), 200);
    }

    /// Stops renewing the lease.
    fn stop_renewing(&self) {
        self.renewing.store(false, Ordering::SeqCst);
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.stop_renewing();
    }
}

/// The configuration of a gatekeeper with these list sources, the first one preferred.
fn config_with_sources(sources: &[SocketAddr]) -> Value {
    let mut config = config_with_admin(sources[0]);
    config["known"] = json!({"rev": 0, "all": true, "targets": []});
    config["discovery_more"] = sources[1..].iter().map(SocketAddr::to_string).collect();
    config
}

fn metric(gatekeeper: &Gatekeeper, name: &str) -> u64 {
    let report = gatekeeper.call("telemetry");
    let value = report.lines().find_map(|line| line.strip_prefix(&format!("app_{name} ")));
    value.unwrap_or_else(|| panic!("no {name} in {report}")).parse().unwrap()
}

/// Sends a request, which must succeed; returns the response body.
fn served(gatekeeper: &Gatekeeper) -> String {
    let answer = gatekeeper.exchange(&pull().text());
    assert_eq!(answer.status(), 200, "{}", answer.body);
    answer.body
}

/// A watch of the list over the plain HTTP protocol that gatekeepers use.
struct Watch(BufReader<TcpStream>);

impl Watch {
    fn start(at: SocketAddr, query: &str) -> Watch {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let request = format!("GET /discovery/hosts?stream=1&{query} HTTP/1.1\r\nHost: x\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        let mut reader = BufReader::new(stream);
        let head = Message::read(&mut reader).unwrap();
        assert_eq!(head.status(), 200);
        assert_eq!(head.header("transfer-encoding"), Some("chunked"));
        Watch(reader)
    }

    /// The next line, which may be empty; `None` at the end.
    fn line(&mut self) -> Option<String> {
        let mut size = String::new();
        self.0.read_line(&mut size).ok()?;
        let mut chunk = vec![0; usize::from_str_radix(size.trim(), 16).ok()? + 2];
        self.0.read_exact(&mut chunk).ok()?;
        Some(String::from_utf8(chunk).unwrap().trim_end().to_owned())
    }

    /// The next full list or delta.
    fn list(&mut self) -> HostList {
        loop {
            let line = self.line().expect("the watch has ended");
            if !line.is_empty() {
                return serde_json::from_str(&line).unwrap();
            }
        }
    }
}

#[test]
fn a_gatekeeper_follows_servers_that_join_drain_and_leave() {
    let dir = temp_dir();
    let list = Service::writer(&dir, &[]);
    let one = Registered::start("one", list.addr);
    let gatekeeper = Gatekeeper::ready(&config_with_sources(&[list.addr]));
    assert_eq!(served(&gatekeeper), "one");
    let two = Registered::start("two", list.addr);
    wait_until("a new server is used", || served(&gatekeeper) == "two");
    one.call("drain");
    wait_until("the gatekeeper has the drain", || metric(&gatekeeper, "list_rev") == list.metric("rev"));
    one.server.rest();
    for _ in 0..20 {
        assert_eq!(served(&gatekeeper), "two");
    }
    assert_eq!(one.server.requests(), 0);
    one.stop_renewing();
    one.call("deregister");
    wait_until("removed", || metric(&gatekeeper, "hosts_listed") == 1);
    // A single server fails and its lease expires.
    let three = Registered::start("three", list.addr);
    wait_until("a third one is used", || served(&gatekeeper) == "three");
    two.stop_renewing();
    wait_until("the lease has expired", || list.states().len() == 1);
    assert_eq!(list.metric("lapses"), 1);
    wait_until("the gatekeeper has the expiry", || metric(&gatekeeper, "hosts_listed") == 1);
    assert_eq!(served(&gatekeeper), "three");
    assert!(metric(&gatekeeper, "list_age_ms") < 60_000);
    drop(three);
}

#[test]
fn a_restarted_service_recovers_from_disk_without_failing_requests() {
    let dir = temp_dir();
    let mut list = Service::writer(&dir, &[]);
    let (one, two) = (Server::start(ok("one")), Server::start(ok("two")));
    register(list.addr, &registration("one", one.addr, 0));
    let gatekeeper = Gatekeeper::ready(&config_with_sources(&[list.addr]));
    served(&gatekeeper);
    for round in 0..3 {
        let before = list.list();
        list.kill();
        for _ in 0..10 {
            served(&gatekeeper);
        }
        list.restart(&[]);
        let after = list.list();
        assert_eq!((after.rev, after.epoch, after.targets), (before.rev, before.epoch, before.targets));
        let call = registration("two", two.addr, round + 1);
        assert!(register(list.addr, &call).rev > before.rev, "no version is reused");
        wait_until("the watch resumes", || metric(&gatekeeper, "list_rev") > before.rev);
    }
}

#[test]
fn a_list_service_that_lost_its_disk_does_not_empty_the_server_list() {
    let dir = temp_dir();
    let mut list = Service::writer(&dir, &[]);
    let servers = [Registered::start("one", list.addr), Registered::start("two", list.addr)];
    let gatekeeper = Gatekeeper::ready(&config_with_sources(&[list.addr]));
    served(&gatekeeper);
    let before = list.list();
    list.kill();
    std::fs::remove_dir_all(dir.path("list")).unwrap();
    list.restart(&["--settle-ms", "2000"]);
    // Lists are refused until all servers have had time to register again.
    let early = exchange(list.addr, "GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    assert_eq!((error_of(&early), early.header("retry-after")), ((503, "settling".into()), Some("1")));
    wait_until("the new list is accepted", || {
        assert_eq!(metric(&gatekeeper, "hosts_listed"), 2, "the server list is never emptied");
        served(&gatekeeper);
        metric(&gatekeeper, "list_epoch") != before.epoch.unwrap()
    });
    let after = list.list();
    assert!(after.rev > before.rev && after.epoch > before.epoch, "above all published versions");
    servers[0].call("drain");
    wait_until("changes are published again", || metric(&gatekeeper, "list_rev") == list.metric("rev"));
    assert_eq!(served(&gatekeeper), "two");
}

/// A data directory restored from an older copy lacks the later changes. A gatekeeper that received them
/// reveals it by a newer version, and the service starts a new list once servers have had time to register
/// again. This also holds if the restored service has reached the newest version by then.
#[test]
fn a_restored_older_data_directory_is_detected_and_its_list_replaced() {
    for changes in [0, 3] {
        let dir = temp_dir();
        let mut list = Service::writer(&dir, &[]);
        let (one, two) = (Server::start(ok("one")), Server::start(ok("two")));
        let first = register(list.addr, &registration("one", one.addr, 0));
        list.kill();
        let (own, copy) = (dir.path("list"), dir.path("copy"));
        let copy_all = |from: &std::path::Path, to: &std::path::Path| {
            std::fs::create_dir_all(to).unwrap();
            for file in std::fs::read_dir(from).unwrap().map(|file| file.unwrap().path()) {
                std::fs::copy(&file, to.join(file.file_name().unwrap())).unwrap();
            }
        };
        copy_all(&own, &copy);
        list.restart(&[]);
        let gatekeeper = Gatekeeper::ready(&config_with_sources(&[list.addr]));
        let epoch = list.metric("epoch");
        // Two changes that the copy lacks.
        register(list.addr, &registration("two", two.addr, 0));
        assert_eq!(call_with_lease(list.addr, "deregister", "one", first.lease), 200);
        let published = list.metric("rev");
        wait_until("the watch has the changes", || metric(&gatekeeper, "list_rev") == published);
        list.kill();
        std::fs::remove_dir_all(&own).unwrap();
        copy_all(&copy, &own);
        list.restart(&["--settle-ms", "1500"]);
        for n in 0..changes {
            register(list.addr, &registration("three", two.addr, n + 1));
        }
        wait_until("it is detected", || list.metric("settling") == 1);
        register(list.addr, &registration("two", two.addr, 0));
        wait_until("the new list is accepted", || metric(&gatekeeper, "list_epoch") > epoch);
        assert!(list.metric("rev") > published, "no version is reused");
        assert_eq!(list.list().epoch.unwrap(), list.metric("epoch"));
        wait_until("both have the same list", || {
            metric(&gatekeeper, "list_rev") == list.metric("rev")
                && metric(&gatekeeper, "hosts_listed") == list.list().targets.len() as u64
        });
        // At most once per process: no client can make it start a new list repeatedly.
        let (at, now) = (list.metric("epoch"), list.metric("rev"));
        let ask =
            format!("GET /discovery/hosts?stream=1&index={}&epoch={at} HTTP/1.1\r\nHost: x\r\n\r\n", now + 9);
        assert_eq!(error_of(&exchange(list.addr, &ask).unwrap()), (409, "index_ahead".into()));
        assert_eq!((list.metric("settling"), list.metric("epoch")), (0, at));
    }
}

#[test]
fn a_damaged_log_is_recovered_up_to_the_damage_under_a_new_epoch() {
    let dir = temp_dir();
    let mut list = Service::writer(&dir, &[]);
    let at = "127.0.0.1:9".parse().unwrap();
    let revs: Vec<u64> =
        ["a", "b", "c"].map(|uid| register(list.addr, &registration(uid, at, 0)).rev).to_vec();
    let epoch = list.list().epoch;
    list.kill();
    let log = dir.path("list").join("log");
    let text = std::fs::read(&log).unwrap();
    std::fs::write(&log, &text[..text.len() - 7]).unwrap();
    list.restart(&["--settle-ms", "0"]);
    let after = list.list();
    assert_eq!(after.targets.iter().map(|t| t.uid.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    assert!(after.epoch > epoch && after.rev > revs[2], "the lost version is not used again");
}

#[test]
fn a_gatekeeper_fails_over_to_the_mirror_and_back_without_older_lists() {
    let dir = temp_dir();
    let mut list = Service::writer(&dir, &[]);
    let mut mirror = Service::mirror_of(list.addr);
    let one = Registered::start("one", list.addr);
    wait_until("the mirror has it", || mirror.metric("listed") == 1);
    assert_eq!(mirror.list(), HostList { mirror: true, ..list.list() });
    let gatekeeper = Gatekeeper::ready(&config_with_sources(&[list.addr, mirror.addr]));
    served(&gatekeeper);
    list.kill();
    wait_until("switched to the mirror", || metric(&gatekeeper, "list_source") == 1);
    assert_eq!(served(&gatekeeper), "one");
    let write =
        post(mirror.addr, "/discovery/register", &registration("x", list.addr, 0).to_string()).unwrap();
    assert_eq!(error_of(&write), (403, "read_only".into()));
    list.restart(&[]);
    let two = Registered::start("two", list.addr);
    wait_until("through the mirror", || served(&gatekeeper) == "two");
    mirror.kill();
    wait_until("switched back to the writer", || metric(&gatekeeper, "list_source") == 0);
    two.stop_renewing();
    two.call("deregister");
    wait_until("removal received from the writer", || metric(&gatekeeper, "hosts_listed") == 1);
    one.call("drain");
    wait_until("drain received from the writer", || metric(&gatekeeper, "list_rev") == list.metric("rev"));
    // With all sources gone the last list stays in use, without the draining server.
    list.kill();
    assert_eq!(metric(&gatekeeper, "hosts_listed"), 1);
}

/// A TCP proxy that can simulate a network partition.
struct PartitionProxy {
    addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl PartitionProxy {
    fn start(there: SocketAddr) -> PartitionProxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (addr, cut) = (listener.local_addr().unwrap(), Arc::new(AtomicBool::new(false)));
        let is_cut = cut.clone();
        thread::spawn(move || {
            for here in listener.incoming().flatten() {
                let Ok(there) = TcpStream::connect(there) else { continue };
                for (mut from, mut to) in [
                    (here.try_clone().unwrap(), there.try_clone().unwrap()),
                    (there.try_clone().unwrap(), here.try_clone().unwrap()),
                ] {
                    let is_cut = is_cut.clone();
                    thread::spawn(move || {
                        let mut buffer = [0; 4096];
                        while let Ok(n @ 1..) = from.read(&mut buffer) {
                            // When cut, connections stay open and silent, as after a machine failure.
                            if !is_cut.load(Ordering::SeqCst) && to.write_all(&buffer[..n]).is_err() {
                                break;
                            }
                        }
                        let _ = to.shutdown(std::net::Shutdown::Both);
                    });
                }
            }
        });
        PartitionProxy { addr, cut }
    }
}

#[test]
fn a_partitioned_mirror_reports_staleness_and_gatekeepers_leave_it() {
    let dir = temp_dir();
    let list = Service::writer(&dir, &[]);
    let proxy = PartitionProxy::start(list.addr);
    let mirror = Service::mirror_of(proxy.addr);
    let _one = Registered::start("one", list.addr);
    wait_until("the mirror has it", || mirror.metric("listed") == 1);
    let gatekeeper = Gatekeeper::ready(&config_with_sources(&[mirror.addr, list.addr]));
    assert_eq!((served(&gatekeeper).as_str(), metric(&gatekeeper, "list_source")), ("one", 0));
    proxy.cut.store(true, Ordering::SeqCst);
    let _two = Registered::start("two", list.addr);
    wait_until("switched to the writer", || metric(&gatekeeper, "list_source") == 1);
    wait_until("which has a newer list", || served(&gatekeeper) == "two");
    assert!(mirror.metric("stale_ms") >= 5_000);
    let served_on = mirror.list();
    assert_eq!(served_on.targets.len(), 1, "it keeps serving its list");
    assert!(served_on.stale_ms.is_some_and(|ms| ms >= 5_000), "and reports its age");
}

#[test]
fn a_source_that_is_alive_but_stalled_is_detected() {
    let dir = temp_dir();
    let list = Service::writer(&dir, &[]);
    let (one, two) = (Server::start(ok("one")), Server::start(ok("two")));
    register(list.addr, &registration("one", one.addr, 0));
    let stopped = Discovery::start();
    stopped.push_line(serde_json::to_string(&list.list()).unwrap());
    let mut config = config_with_sources(&[stopped.addr, list.addr]);
    config["discovery_compare_ms"] = 300.into();
    let gatekeeper = Gatekeeper::ready(&config);
    assert_eq!((served(&gatekeeper).as_str(), metric(&gatekeeper, "list_source")), ("one", 0));
    register(list.addr, &registration("two", two.addr, 0));
    // Another source is queried after 0.3 to 0.6 s, and this one has 5 s more to catch up with it.
    wait_until("it is detected", || metric(&gatekeeper, "list_source") == 1);
    wait_until("the newer list", || served(&gatekeeper) == "two");
}

#[test]
fn a_suddenly_empty_list_is_accepted_only_if_no_other_source_contradicts_it() {
    let dir = temp_dir();
    let list = Service::writer(&dir, &[]);
    let servers = ["one", "two", "three"].map(|uid| Registered::start(uid, list.addr));
    let gatekeeper = Gatekeeper::ready(&config_with_sources(&[list.addr]));
    wait_until("all three", || metric(&gatekeeper, "hosts_listed") == 3);
    let faulty = Discovery::start();
    gatekeeper.reload(&config_with_sources(&[faulty.addr, list.addr]).to_string());
    wait_until("it watches the faulty source", || faulty.watches.load(Ordering::SeqCst) > 0);
    let four = register(list.addr, &registration("four", servers[0].server.addr, 0));
    let rev = four.rev;
    let empty = |rev| json!({"rev": rev, "all": true, "epoch": list.list().epoch, "targets": []}).to_string();
    faulty.push_line(empty(rev));
    wait_until("switched to the writer", || metric(&gatekeeper, "list_source") == 1);
    wait_until("which has all servers", || metric(&gatekeeper, "list_rev") >= rev);
    assert!(metric(&gatekeeper, "hosts_listed") >= 3);
    served(&gatekeeper);
    // The same with a list that really is empty.
    let gatekeeper = Gatekeeper::ready(&config_with_sources(&[list.addr]));
    wait_until("all three", || metric(&gatekeeper, "hosts_listed") >= 3);
    let correct = Discovery::start();
    gatekeeper.reload(&config_with_sources(&[correct.addr, list.addr]).to_string());
    wait_until("it watches the correct source", || correct.watches.load(Ordering::SeqCst) > 0);
    for server in &servers {
        server.stop_renewing();
        server.call("deregister");
    }
    assert_eq!(call_with_lease(list.addr, "deregister", "four", four.lease), 200);
    assert!(list.states().is_empty());
    correct.push_line(empty(list.list().rev));
    wait_until("the empty list is accepted", || metric(&gatekeeper, "hosts_listed") == 0);
    assert_eq!(metric(&gatekeeper, "list_source"), 0);
}

#[test]
fn a_watch_gets_the_full_list_deltas_and_keep_alives() {
    let dir = temp_dir();
    let list = Service::writer(&dir, &[]);
    let at: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let first = register(list.addr, &registration("a", at, 0));
    let mut watch = Watch::start(list.addr, "index=0");
    let full = watch.list();
    assert_eq!((full.rev, full.all, full.targets.len()), (first.rev, true, 1));
    assert_eq!(watch.line().unwrap(), "", "a keep-alive");
    let restarted = register(list.addr, &registration("a", at, 5));
    let change = watch.list();
    assert_eq!((change.rev, change.all, change.targets.len()), (first.rev + 1, false, 1), "one change");
    assert_eq!((change.targets[0].boot_ms, change.targets[0].is_up()), (5, true));
    // The lease of the old process is rejected, and repeated calls change nothing.
    for what in ["renew", "drain", "deregister"] {
        assert_eq!(call_with_lease(list.addr, what, "a", first.lease), 409);
    }
    assert_eq!(register(list.addr, &registration("a", at, 5)), restarted);
    assert_eq!(call_with_lease(list.addr, "drain", "a", restarted.lease), 200);
    assert_eq!(call_with_lease(list.addr, "drain", "a", restarted.lease), 200);
    assert_eq!((watch.list().rev, list.list().rev), (first.rev + 2, first.rev + 2));
    for status in [200, 200] {
        assert_eq!(call_with_lease(list.addr, "deregister", "a", restarted.lease), status);
    }
    let gone = watch.list();
    assert!(gone.rev == first.rev + 3 && gone.targets[0].is_removed());
    // Resumes from an earlier version, from an unknown one, and from a former epoch.
    let merged = Watch::start(list.addr, &format!("index={}", first.rev)).list();
    assert_eq!((merged.rev, merged.all, merged.targets.len()), (gone.rev, false, 1));
    assert!(Watch::start(list.addr, "index=7").list().all);
    let other = Watch::start(list.addr, &format!("index={}&epoch=7", gone.rev)).list();
    assert!(other.all && other.rev == gone.rev);
    let mut newest = Watch::start(list.addr, &format!("index={}", gone.rev));
    assert_eq!(newest.line().unwrap(), "");
}

#[test]
fn mass_expiry_is_held_back_and_a_paused_service_expires_no_lease() {
    let dir = temp_dir();
    let list = Service::writer(&dir, &["--guard-ms", "4000"]);
    let servers = ["a", "b", "c", "d"].map(|uid| Registered::start(uid, list.addr));
    list.signal("-STOP");
    thread::sleep(Duration::from_millis(2 * TTL));
    list.signal("-CONT");
    assert_eq!(list.states().len(), 4);
    servers[1..].iter().for_each(Registered::stop_renewing);
    wait_until("the expiry guard is active", || list.metric("guarded") == 1);
    assert_eq!((list.states().len(), list.metric("lapses")), (4, 0));
    wait_until("the expiry guard has ended", || list.metric("guarded") == 0);
    wait_until("the three are removed from the list", || list.states().into_keys().eq(["a"]));
}

#[test]
fn invalid_calls_get_an_error_code_and_change_nothing() {
    let dir = temp_dir();
    let list = Service::writer(&dir, &[]);
    let at: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let rev = register(list.addr, &registration("a", at, 0)).rev;
    let with = |field: &str, value: Value| {
        let mut call = registration("b", at, 0);
        call[field] = value;
        call.to_string()
    };
    let mut without = registration("b", at, 0);
    without.as_object_mut().unwrap().remove("ttl_ms");
    for (body, status, error) in [
        ("".into(), 400, "bad_json"),
        ("{".into(), 400, "bad_json"),
        ("[]".into(), 400, "bad_json"),
        ("\u{0}".into(), 400, "bad_json"),
        (with("sudo", true.into()), 400, "bad_json"),
        (with("state", "sleeping".into()), 400, "bad_json"),
        (without.to_string(), 400, "bad_json"),
        (with("ttl_ms", (-1).into()), 400, "bad_json"),
        (with("ttl_ms", 1e30.into()), 400, "bad_json"),
        (with("ttl_ms", 0.into()), 400, "bad_field"),
        (with("ttl_ms", u64::MAX.into()), 400, "bad_field"),
        (with("boot_ms", u64::MAX.into()), 400, "bad_field"),
        (with("endpoint", "localhost".into()), 400, "bad_field"),
        (with("uid", "x".repeat(200).into()), 400, "bad_field"),
        (with("uid", "x".repeat(20_000).into()), 413, "too_long"),
    ] {
        let answer = post(list.addr, "/discovery/register", &body).unwrap();
        assert_eq!(error_of(&answer), (status, error.into()), "{body}");
    }
    for (call, status, error) in [
        ("GET /discovery/hosts?stream=1&index=x", 400, "bad_query"),
        ("GET /discovery/hosts?stream=1&index=-1", 400, "bad_query"),
        ("GET /discovery/hosts?stream=2", 400, "bad_query"),
        ("GET /discovery/hosts?stream=1&index=9999999999999999", 409, "index_ahead"),
        ("GET /discovery/nothing", 404, "no_such_call"),
        ("GET /discovery/register", 405, "method"),
        ("DELETE /discovery/hosts", 405, "method"),
    ] {
        let answer = exchange(list.addr, &format!("{call} HTTP/1.1\r\nHost: x\r\n\r\n")).unwrap();
        assert_eq!(error_of(&answer), (status, error.into()), "{call}");
    }
    for raw in [
        "nonsense\r\n\r\n".to_owned(),
        "\u{16}\u{3}\u{1}\u{2}\u{0}\u{1}\r\n\r\n".to_owned(),
        format!("GET /{} HTTP/1.1\r\nHost: x\r\n\r\n", "x".repeat(40_000)),
        format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(40_000)),
    ] {
        // An error response or a closed connection.
        assert!(exchange(list.addr, &raw).is_none_or(|answer| (400..500).contains(&answer.status())));
    }
    // Half a request and then nothing: also an error response or a closed connection.
    let halves =
        ["", "GET /disc", "POST /discovery/register HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{"];
    thread::scope(|scope| {
        let at = list.addr;
        let asked = halves.map(|half| (half, scope.spawn(move || exchange(at, half))));
        for (half, answer) in asked {
            let answer = answer.join().unwrap();
            assert!(answer.is_none_or(|answer| answer.status() == 408), "{half}");
        }
    });
    assert_eq!((list.list().rev, list.states().len()), (rev, 1));
}

#[test]
fn an_invalid_command_line_or_data_directory_exits_with_one_line() {
    let dir = temp_dir();
    let file = dir.path("file");
    std::fs::write(&file, "x").unwrap();
    let (file, data) = (file.to_str().unwrap(), dir.path("list"));
    let data = data.to_str().unwrap();
    let here = "127.0.0.1:0";
    let _first = Service::start(&["--data", data]);
    for args in [
        &[][..],
        &["--listen", here],
        &["--data", data],
        &["--listen", "here", "--data", data],
        &["--listen", here, "--data", file],
        &["--listen", here, "--data", data],
        &["--listen", here, "--data", data, "--mirror-of", here],
        &["--listen", here, "--mirror-of", "there"],
        &["--listen", here, "--data", data, "--guard-ms", "-1"],
        &["--listen", here, "--data", data, "--guard-ms", "99999999999999999999"],
        &["--listen", here, "--data", data, "--connections", "0"],
        &["--listen", here, "--data", data, "--what"],
        &["--listen", here, "--data", data, "what"],
    ] {
        let (code, text) = run_service(args);
        assert_eq!((code, text.lines().count()), (Some(1), 1), "{args:?}: {text}");
        assert!(text.starts_with("granitelead-discovery: "), "{text}");
    }
}

#[test]
fn excess_list_requests_are_refused_and_do_not_block_renewals() {
    let dir = temp_dir();
    let list = Service::writer(&dir, &["--connections", "24"]);
    let server = Registered::start("a", list.addr);
    let watches: Vec<_> = (0..16).map(|_| Watch::start(list.addr, "index=0")).collect();
    let one_more = exchange(list.addr, "GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n");
    let one_more = one_more.unwrap();
    assert_eq!(
        (error_of(&one_more), one_more.header("retry-after")),
        ((503, "overloaded".into()), Some("1"))
    );
    // With all connection slots busy, a new connection is refused at once.
    let half = "POST /discovery/renew HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n";
    let mut busy = Vec::new();
    wait_until("refused for lack of capacity", || {
        // More each time: a new connection may evict another that was not read yet.
        for _ in 0..24 {
            let mut stream = TcpStream::connect(list.addr).unwrap();
            let _ = stream.write_all(half.as_bytes());
            busy.push(stream);
        }
        let answer = exchange(list.addr, "GET /discovery/rev HTTP/1.1\r\nHost: x\r\n\r\n");
        answer.is_some_and(|answer| answer.status() == 503 && answer.header("retry-after") == Some("1"))
    });
    drop(busy);
    // Silent connections take all remaining slots again and again.
    let silent: Vec<_> = (0..60).map(|_| TcpStream::connect(list.addr).unwrap()).collect();
    let flooding = Arc::new(AtomicBool::new(true));
    let flood: Vec<_> = (0..8)
        .map(|_| {
            let (at, running) = (list.addr, flooding.clone());
            thread::spawn(move || {
                while running.load(Ordering::SeqCst) {
                    // An evicted connection gets no response.
                    let _ = exchange(at, "GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n");
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2 * TTL));
    flooding.store(false, Ordering::SeqCst);
    flood.into_iter().for_each(|one| one.join().unwrap());
    drop((silent, watches));
    wait_until("capacity is free again", || list.metric("watches") == 0);
    assert!(list.metric("lists_refused") > 0);
    assert_eq!((list.states().len(), list.metric("lapses"), list.metric("guarded")), (1, 0, 0));
    server.call("renew");
}

/// A gatekeeper that the service has no capacity to watch polls the list, and watches once there is capacity.
#[test]
fn a_gatekeeper_without_a_watch_polls_until_capacity_is_free() {
    let dir = temp_dir();
    let list = Service::writer(&dir, &["--connections", "24"]);
    let (one, two) = (Registered::start("one", list.addr), Registered::start("two", list.addr));
    let watches: Vec<_> = (0..16).map(|_| Watch::start(list.addr, "index=0")).collect();
    wait_until("all watch slots are taken", || list.metric("watches") == 16);
    let gatekeeper = Gatekeeper::ready(&config_with_sources(&[list.addr]));
    assert!(["one", "two"].contains(&served(&gatekeeper).as_str()));
    one.call("drain");
    wait_until("changes are received", || metric(&gatekeeper, "list_rev") == list.metric("rev"));
    assert_eq!((served(&gatekeeper), list.metric("watches")), ("two".into(), 16));
    drop(watches);
    wait_until("it watches", || list.metric("watches") == 1);
    drop(two);
}

#[test]
fn a_watch_that_reads_nothing_is_closed() {
    let dir = temp_dir();
    let list = Service::writer(&dir, &[]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let stuck = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        let mut stream = socket.connect(list.addr).await.unwrap();
        let request = "GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n";
        tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await.unwrap();
        stream
    });
    wait_until("it watches", || list.metric("watches") == 1);
    let filler = "x".repeat(120);
    let (at, done) = (list.addr, Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..16)
        .map(|n| {
            let (filler, done) = (filler.clone(), done.clone());
            thread::spawn(move || {
                let here = "127.0.0.1:9".parse().unwrap();
                for boot_ms in 1.. {
                    if done.load(Ordering::SeqCst) {
                        return;
                    }
                    register(at, &registration(&format!("{filler}{n}"), here, boot_ms));
                }
            })
        })
        .collect();
    wait_until("it is closed", || list.metric("watches") == 0);
    done.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    drop(stuck);
}
