//! The list service, its mirror and the gatekeeper on real sockets: servers that come and go, and what fails.

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

/// The time to live of servers that renew it.
const TTL: u64 = 3_000;

/// Runs the list service to its end; gives exit code and standard error.
fn run_service(args: &[&str]) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_granitelead-discovery")).args(args).output().unwrap();
    (out.status.code(), String::from_utf8(out.stderr).unwrap())
}

/// What the tests here ask of a list service.
trait Asked {
    fn figure(&self, name: &str) -> u64;
    fn list(&self) -> HostList;
    fn states(&self) -> BTreeMap<String, String>;
}

impl Asked for Service {
    fn figure(&self, name: &str) -> u64 {
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

/// One exchange on a connection of its own; none where there is no answer.
fn exchange(at: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(request.as_bytes()).ok()?;
    Message::read(&mut BufReader::new(stream))
}

fn post(at: SocketAddr, path: &str, body: &str) -> Option<Message> {
    let length = body.len();
    exchange(at, &format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}"))
}

fn refused(answer: &Message) -> (u16, String) {
    let why: ErrorResponse = serde_json::from_str(&answer.body).unwrap();
    (answer.status(), why.error)
}

/// A call to be listed, for longer than a test takes.
fn wants(uid: &str, endpoint: SocketAddr, boot_ms: u64) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "a", "boot_ms": boot_ms, "ttl_ms": 30_000})
}

fn register(at: SocketAddr, call: &Value) -> LeaseResponse {
    let answer = post(at, "/discovery/register", &call.to_string()).unwrap();
    assert_eq!(answer.status(), 200, "{}", answer.body);
    serde_json::from_str(&answer.body).unwrap()
}

fn on_lease(at: SocketAddr, what: &str, uid: &str, lease: u64) -> u16 {
    let call = LeaseRequest { uid: uid.into(), lease };
    let call = serde_json::to_string(&call).unwrap();
    post(at, &format!("/discovery/{what}"), &call).map_or(0, |answer| answer.status())
}

/// Waits until something has come about.
fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "never: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// A resale server that keeps itself registered, as a real one does.
struct Registered {
    server: Server,
    uid: &'static str,
    lease: Arc<AtomicUsize>,
    at: SocketAddr,
    lives: Arc<AtomicBool>,
}

impl Registered {
    fn start(uid: &'static str, at: SocketAddr) -> Registered {
        let server = Server::start(ok(uid));
        let (lease, lives) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(true)));
        let (mut call, number, goes_on) = (wants(uid, server.addr, 0), lease.clone(), lives.clone());
        call["ttl_ms"] = TTL.into();
        number.store(register(at, &call).lease as usize, Ordering::SeqCst);
        thread::spawn(move || {
            while goes_on.load(Ordering::SeqCst) {
                let held = number.load(Ordering::SeqCst) as u64;
                if on_lease(at, "renew", uid, held) == 404 {
                    if let Some(answer) = post(at, "/discovery/register", &call.to_string()) {
                        if let Ok(leased) = serde_json::from_str::<LeaseResponse>(&answer.body) {
                            number.store(leased.lease as usize, Ordering::SeqCst);
                        }
                    }
                }
                thread::sleep(Duration::from_millis(TTL / 5));
            }
        });
        Registered { server, uid, lease, at, lives }
    }

    fn says(&self, what: &str) {
        let lease = self.lease.load(Ordering::SeqCst) as u64;
        assert_eq!(on_lease(self.at, what, self.uid, lease), 200);
    }

    /// It is heard no more.
    fn falls_silent(&self) {
        self.lives.store(false, Ordering::SeqCst);
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.falls_silent();
    }
}

/// A gatekeeper that watches these, the first one first.
fn watching(sources: &[SocketAddr]) -> Value {
    let mut config = config_with_door(sources[0]);
    config["known"] = json!({"rev": 0, "all": true, "targets": []});
    config["discovery_more"] = sources[1..].iter().map(SocketAddr::to_string).collect();
    config
}

fn figure(gatekeeper: &Gatekeeper, name: &str) -> u64 {
    let told = gatekeeper.call("telemetry");
    let value = told.lines().find_map(|line| line.strip_prefix(&format!("app_{name} ")));
    value.unwrap_or_else(|| panic!("no {name} in {told}")).parse().unwrap()
}

/// Asks once and is served.
fn served(gatekeeper: &Gatekeeper) -> String {
    let answer = gatekeeper.ask(&pull().text());
    assert_eq!(answer.status(), 200, "{}", answer.body);
    answer.body
}

/// A watch as an unchanged gatekeeper has it.
struct Watching(BufReader<TcpStream>);

impl Watching {
    fn begin(at: SocketAddr, query: &str) -> Watching {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let request = format!("GET /discovery/hosts?stream=1&{query} HTTP/1.1\r\nHost: x\r\n\r\n");
        stream.write_all(request.as_bytes()).unwrap();
        let mut reader = BufReader::new(stream);
        let head = Message::read(&mut reader).unwrap();
        assert_eq!(head.status(), 200);
        assert_eq!(head.header("transfer-encoding"), Some("chunked"));
        Watching(reader)
    }

    /// The next line, empty ones too; none at the end.
    fn line(&mut self) -> Option<String> {
        let mut size = String::new();
        self.0.read_line(&mut size).ok()?;
        let mut chunk = vec![0; usize::from_str_radix(size.trim(), 16).ok()? + 2];
        self.0.read_exact(&mut chunk).ok()?;
        Some(String::from_utf8(chunk).unwrap().trim_end().to_owned())
    }

    /// The next list or change.
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
fn servers_come_drain_restart_and_go_under_a_gatekeeper() {
    let folder = folder();
    let list = Service::writer(&folder, &[]);
    let one = Registered::start("one", list.addr);
    let gatekeeper = Gatekeeper::ready(&watching(&[list.addr]));
    assert_eq!(served(&gatekeeper), "one");
    let two = Registered::start("two", list.addr);
    until("a new server is used", || served(&gatekeeper) == "two");
    one.says("drain");
    until("told of the drain", || figure(&gatekeeper, "list_rev") == list.figure("rev"));
    one.server.rest();
    for _ in 0..20 {
        assert_eq!(served(&gatekeeper), "two");
    }
    assert_eq!(one.server.requests(), 0);
    one.falls_silent();
    one.says("deregister");
    until("gone", || figure(&gatekeeper, "hosts_listed") == 1);
    // A single death, within its time to live.
    let three = Registered::start("three", list.addr);
    until("a third one is used", || served(&gatekeeper) == "three");
    two.falls_silent();
    until("lapsed", || list.states().len() == 1);
    assert_eq!(list.figure("lapses"), 1);
    until("told of the lapse", || figure(&gatekeeper, "hosts_listed") == 1);
    assert_eq!(served(&gatekeeper), "three");
    assert!(figure(&gatekeeper, "list_age_ms") < 60_000);
    drop(three);
}

#[test]
fn a_killed_service_goes_on_from_its_disk_and_no_request_notices() {
    let folder = folder();
    let mut list = Service::writer(&folder, &[]);
    let (one, two) = (Server::start(ok("one")), Server::start(ok("two")));
    register(list.addr, &wants("one", one.addr, 0));
    let gatekeeper = Gatekeeper::ready(&watching(&[list.addr]));
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
        let call = wants("two", two.addr, round + 1);
        assert!(register(list.addr, &call).rev > before.rev, "no version twice");
        until("the watch goes on", || figure(&gatekeeper, "list_rev") > before.rev);
    }
}

#[test]
fn a_lost_disk_empties_no_fleet_and_its_new_list_is_taken() {
    let folder = folder();
    let mut list = Service::writer(&folder, &[]);
    let servers = [Registered::start("one", list.addr), Registered::start("two", list.addr)];
    let gatekeeper = Gatekeeper::ready(&watching(&[list.addr]));
    served(&gatekeeper);
    let before = list.list();
    list.kill();
    std::fs::remove_dir_all(folder.path("list")).unwrap();
    list.restart(&["--settle-ms", "2000"]);
    // Lists are refused until all have had the time to register anew.
    let early = exchange(list.addr, "GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    assert_eq!((refused(&early), early.header("retry-after")), ((503, "settling".into()), Some("1")));
    until("the new list is taken", || {
        assert_eq!(figure(&gatekeeper, "hosts_listed"), 2, "the fleet is never emptied");
        served(&gatekeeper);
        figure(&gatekeeper, "list_epoch") != before.epoch.unwrap()
    });
    let after = list.list();
    assert!(after.rev > before.rev && after.epoch > before.epoch, "above all that was told");
    servers[0].says("drain");
    until("changes are told again", || figure(&gatekeeper, "list_rev") == list.figure("rev"));
    assert_eq!(served(&gatekeeper), "two");
}

/// What came after the copy is lost, and whoever was told it shows that: a new list begins, once servers had the time to
/// register anew. Also where the copy has come as far as the newest by then.
#[test]
fn an_older_copy_of_its_folder_is_found_out_and_its_list_replaced() {
    for changes in [0, 3] {
        let folder = folder();
        let mut list = Service::writer(&folder, &[]);
        let (one, two) = (Server::start(ok("one")), Server::start(ok("two")));
        let first = register(list.addr, &wants("one", one.addr, 0));
        list.kill();
        let (own, copy) = (folder.path("list"), folder.path("copy"));
        let copy_all = |from: &std::path::Path, to: &std::path::Path| {
            std::fs::create_dir_all(to).unwrap();
            for file in std::fs::read_dir(from).unwrap().map(|file| file.unwrap().path()) {
                std::fs::copy(&file, to.join(file.file_name().unwrap())).unwrap();
            }
        };
        copy_all(&own, &copy);
        list.restart(&[]);
        let gatekeeper = Gatekeeper::ready(&watching(&[list.addr]));
        let epoch = list.figure("epoch");
        // Two changes that the copy lacks.
        register(list.addr, &wants("two", two.addr, 0));
        assert_eq!(on_lease(list.addr, "deregister", "one", first.lease), 200);
        let told = list.figure("rev");
        until("the watch is told", || figure(&gatekeeper, "list_rev") == told);
        list.kill();
        std::fs::remove_dir_all(&own).unwrap();
        copy_all(&copy, &own);
        list.restart(&["--settle-ms", "1500"]);
        for n in 0..changes {
            register(list.addr, &wants("three", two.addr, n + 1));
        }
        until("it is found out", || list.figure("settling") == 1);
        register(list.addr, &wants("two", two.addr, 0));
        until("the new list is taken", || figure(&gatekeeper, "list_epoch") > epoch);
        assert!(list.figure("rev") > told, "no version twice");
        assert_eq!(list.list().epoch.unwrap(), list.figure("epoch"));
        until("both hold the same", || {
            figure(&gatekeeper, "list_rev") == list.figure("rev")
                && figure(&gatekeeper, "hosts_listed") == list.list().targets.len() as u64
        });
        // Once in a life: nobody can have it begin anew again and again.
        let (at, now) = (list.figure("epoch"), list.figure("rev"));
        let ask =
            format!("GET /discovery/hosts?stream=1&index={}&epoch={at} HTTP/1.1\r\nHost: x\r\n\r\n", now + 9);
        assert_eq!(refused(&exchange(list.addr, &ask).unwrap()), (409, "index_ahead".into()));
        assert_eq!((list.figure("settling"), list.figure("epoch")), (0, at));
    }
}

#[test]
fn a_damaged_log_keeps_what_came_before_and_says_so() {
    let folder = folder();
    let mut list = Service::writer(&folder, &[]);
    let at = "127.0.0.1:9".parse().unwrap();
    let revs: Vec<u64> = ["a", "b", "c"].map(|uid| register(list.addr, &wants(uid, at, 0)).rev).to_vec();
    let epoch = list.list().epoch;
    list.kill();
    let log = folder.path("list").join("log");
    let text = std::fs::read(&log).unwrap();
    std::fs::write(&log, &text[..text.len() - 7]).unwrap();
    list.restart(&["--settle-ms", "0"]);
    let after = list.list();
    assert_eq!(after.targets.iter().map(|t| t.uid.as_str()).collect::<Vec<_>>(), ["a", "b"]);
    assert!(after.epoch > epoch && after.rev > revs[2], "the lost version is not used again");
}

#[test]
fn a_gatekeeper_goes_to_the_mirror_and_back_and_takes_no_older_list() {
    let folder = folder();
    let mut list = Service::writer(&folder, &[]);
    let mut mirror = Service::mirror_of(list.addr);
    let one = Registered::start("one", list.addr);
    until("the mirror has it", || mirror.figure("listed") == 1);
    assert_eq!(mirror.list(), HostList { mirror: true, ..list.list() });
    let gatekeeper = Gatekeeper::ready(&watching(&[list.addr, mirror.addr]));
    served(&gatekeeper);
    list.kill();
    until("over to the mirror", || figure(&gatekeeper, "list_source") == 1);
    assert_eq!(served(&gatekeeper), "one");
    let write = post(mirror.addr, "/discovery/register", &wants("x", list.addr, 0).to_string()).unwrap();
    assert_eq!(refused(&write), (403, "read_only".into()));
    list.restart(&[]);
    let two = Registered::start("two", list.addr);
    until("through the mirror", || served(&gatekeeper) == "two");
    mirror.kill();
    until("back to the writer", || figure(&gatekeeper, "list_source") == 0);
    two.falls_silent();
    two.says("deregister");
    until("told by the writer", || figure(&gatekeeper, "hosts_listed") == 1);
    one.says("drain");
    until("and again", || figure(&gatekeeper, "list_rev") == list.figure("rev"));
    // All are gone: the last list serves on, without what drains.
    list.kill();
    assert_eq!(figure(&gatekeeper, "hosts_listed"), 1);
}

/// Passes connections on, until it is told to cut them all.
struct Line {
    addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Line {
    fn to(there: SocketAddr) -> Line {
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
                            // Cut, it stays open and silent, as a machine that has vanished.
                            if !is_cut.load(Ordering::SeqCst) && to.write_all(&buffer[..n]).is_err() {
                                break;
                            }
                        }
                        let _ = to.shutdown(std::net::Shutdown::Both);
                    });
                }
            }
        });
        Line { addr, cut }
    }
}

#[test]
fn a_mirror_that_is_cut_off_says_so_and_is_left() {
    let folder = folder();
    let list = Service::writer(&folder, &[]);
    let line = Line::to(list.addr);
    let mirror = Service::mirror_of(line.addr);
    let _one = Registered::start("one", list.addr);
    until("the mirror has it", || mirror.figure("listed") == 1);
    let gatekeeper = Gatekeeper::ready(&watching(&[mirror.addr, list.addr]));
    assert_eq!((served(&gatekeeper).as_str(), figure(&gatekeeper, "list_source")), ("one", 0));
    line.cut.store(true, Ordering::SeqCst);
    let _two = Registered::start("two", list.addr);
    until("over to the writer", || figure(&gatekeeper, "list_source") == 1);
    until("which has a newer list", || served(&gatekeeper) == "two");
    assert!(mirror.figure("stale_ms") >= 5_000);
    let served_on = mirror.list();
    assert_eq!(served_on.targets.len(), 1, "it serves on");
    assert!(served_on.stale_ms.is_some_and(|ms| ms >= 5_000), "and says how old that is");
}

#[test]
fn a_source_that_lives_but_has_come_to_a_stop_is_found_out() {
    let folder = folder();
    let list = Service::writer(&folder, &[]);
    let (one, two) = (Server::start(ok("one")), Server::start(ok("two")));
    register(list.addr, &wants("one", one.addr, 0));
    let stopped = Discovery::start();
    stopped.say(serde_json::to_string(&list.list()).unwrap());
    let mut config = watching(&[stopped.addr, list.addr]);
    config["discovery_compare_ms"] = 300.into();
    let gatekeeper = Gatekeeper::ready(&config);
    assert_eq!((served(&gatekeeper).as_str(), figure(&gatekeeper, "list_source")), ("one", 0));
    register(list.addr, &wants("two", two.addr, 0));
    // Another source is asked after 0.3 to 0.6 s, and this one has 5 s more to come up to it.
    until("it is found out", || figure(&gatekeeper, "list_source") == 1);
    until("the newer list", || served(&gatekeeper) == "two");
}

#[test]
fn a_list_that_is_suddenly_empty_holds_only_where_another_source_does_not_deny_it() {
    let folder = folder();
    let list = Service::writer(&folder, &[]);
    let servers = ["one", "two", "three"].map(|uid| Registered::start(uid, list.addr));
    let gatekeeper = Gatekeeper::ready(&watching(&[list.addr]));
    until("all three", || figure(&gatekeeper, "hosts_listed") == 3);
    let liar = Discovery::start();
    gatekeeper.reload(&watching(&[liar.addr, list.addr]).to_string());
    until("it watches the liar", || liar.watches.load(Ordering::SeqCst) > 0);
    let four = register(list.addr, &wants("four", servers[0].server.addr, 0));
    let rev = four.rev;
    let empty = |rev| json!({"rev": rev, "all": true, "epoch": list.list().epoch, "targets": []}).to_string();
    liar.say(empty(rev));
    until("it is left for the writer", || figure(&gatekeeper, "list_source") == 1);
    until("that has them all", || figure(&gatekeeper, "list_rev") >= rev);
    assert!(figure(&gatekeeper, "hosts_listed") >= 3);
    served(&gatekeeper);
    // The same, and true.
    let gatekeeper = Gatekeeper::ready(&watching(&[list.addr]));
    until("all three", || figure(&gatekeeper, "hosts_listed") >= 3);
    let honest = Discovery::start();
    gatekeeper.reload(&watching(&[honest.addr, list.addr]).to_string());
    until("it watches the honest one", || honest.watches.load(Ordering::SeqCst) > 0);
    for server in &servers {
        server.falls_silent();
        server.says("deregister");
    }
    assert_eq!(on_lease(list.addr, "deregister", "four", four.lease), 200);
    assert!(list.states().is_empty());
    honest.say(empty(list.list().rev));
    until("it holds", || figure(&gatekeeper, "hosts_listed") == 0);
    assert_eq!(figure(&gatekeeper, "list_source"), 0);
}

#[test]
fn an_unchanged_gatekeepers_watch_gets_list_changes_and_signs_of_life() {
    let folder = folder();
    let list = Service::writer(&folder, &[]);
    let at: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let first = register(list.addr, &wants("a", at, 0));
    let mut watch = Watching::begin(list.addr, "index=0");
    let whole = watch.list();
    assert_eq!((whole.rev, whole.all, whole.targets.len()), (first.rev, true, 1));
    assert_eq!(watch.line().unwrap(), "", "a sign of life");
    let restarted = register(list.addr, &wants("a", at, 5));
    let change = watch.list();
    assert_eq!((change.rev, change.all, change.targets.len()), (first.rev + 1, false, 1), "one change");
    assert_eq!((change.targets[0].boot_ms, change.targets[0].is_up()), (5, true));
    // The old process has no say any more, and repeats change nothing.
    for what in ["renew", "drain", "deregister"] {
        assert_eq!(on_lease(list.addr, what, "a", first.lease), 409);
    }
    assert_eq!(register(list.addr, &wants("a", at, 5)), restarted);
    assert_eq!(on_lease(list.addr, "drain", "a", restarted.lease), 200);
    assert_eq!(on_lease(list.addr, "drain", "a", restarted.lease), 200);
    assert_eq!((watch.list().rev, list.list().rev), (first.rev + 2, first.rev + 2));
    for status in [200, 200] {
        assert_eq!(on_lease(list.addr, "deregister", "a", restarted.lease), status);
    }
    let gone = watch.list();
    assert!(gone.rev == first.rev + 3 && gone.targets[0].is_removed());
    // From where it was, from nowhere, and from a list that is no more.
    let merged = Watching::begin(list.addr, &format!("index={}", first.rev)).list();
    assert_eq!((merged.rev, merged.all, merged.targets.len()), (gone.rev, false, 1));
    assert!(Watching::begin(list.addr, "index=7").list().all);
    let other = Watching::begin(list.addr, &format!("index={}&epoch=7", gone.rev)).list();
    assert!(other.all && other.rev == gone.rev);
    let mut newest = Watching::begin(list.addr, &format!("index={}", gone.rev));
    assert_eq!(newest.line().unwrap(), "");
}

#[test]
fn most_that_fall_silent_together_stay_listed_and_a_pause_ends_no_lease() {
    let folder = folder();
    let list = Service::writer(&folder, &["--guard-ms", "4000"]);
    let servers = ["a", "b", "c", "d"].map(|uid| Registered::start(uid, list.addr));
    list.signal("-STOP");
    thread::sleep(Duration::from_millis(2 * TTL));
    list.signal("-CONT");
    assert_eq!(list.states().len(), 4);
    servers[1..].iter().for_each(Registered::falls_silent);
    until("guarded", || list.figure("guarded") == 1);
    assert_eq!((list.states().len(), list.figure("lapses")), (4, 0));
    until("the guard's time is over", || list.figure("guarded") == 0);
    until("the three are off the list", || list.states().into_keys().eq(["a"]));
}

#[test]
fn bad_calls_get_a_typed_reason_and_change_nothing() {
    let folder = folder();
    let list = Service::writer(&folder, &[]);
    let at: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let rev = register(list.addr, &wants("a", at, 0)).rev;
    let with = |field: &str, value: Value| {
        let mut call = wants("b", at, 0);
        call[field] = value;
        call.to_string()
    };
    let mut without = wants("b", at, 0);
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
        assert_eq!(refused(&answer), (status, error.into()), "{body}");
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
        assert_eq!(refused(&answer), (status, error.into()), "{call}");
    }
    for raw in [
        "nonsense\r\n\r\n".to_owned(),
        "\u{16}\u{3}\u{1}\u{2}\u{0}\u{1}\r\n\r\n".to_owned(),
        format!("GET /{} HTTP/1.1\r\nHost: x\r\n\r\n", "x".repeat(40_000)),
        format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(40_000)),
    ] {
        // An error, or a close.
        assert!(exchange(list.addr, &raw).is_none_or(|answer| (400..500).contains(&answer.status())));
    }
    // Half of a call and then nothing: an error or a close, too.
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
fn a_bad_command_line_or_folder_is_one_line_and_the_end() {
    let folder = folder();
    let file = folder.path("file");
    std::fs::write(&file, "x").unwrap();
    let (file, data) = (file.to_str().unwrap(), folder.path("list"));
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
fn a_rush_for_lists_is_refused_at_once_and_keeps_no_renewal_out() {
    let folder = folder();
    let list = Service::writer(&folder, &["--connections", "24"]);
    let server = Registered::start("a", list.addr);
    let watches: Vec<_> = (0..16).map(|_| Watching::begin(list.addr, "index=0")).collect();
    let one_more = exchange(list.addr, "GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n");
    let one_more = one_more.unwrap();
    assert_eq!((refused(&one_more), one_more.header("retry-after")), ((503, "overloaded".into()), Some("1")));
    // With all places at work, whoever comes is told at once.
    let half = "POST /discovery/renew HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n";
    let mut busy = Vec::new();
    until("told that there is no room", || {
        // More each time: a newcomer may take the place of another that was not read yet.
        for _ in 0..24 {
            let mut stream = TcpStream::connect(list.addr).unwrap();
            let _ = stream.write_all(half.as_bytes());
            busy.push(stream);
        }
        let answer = exchange(list.addr, "GET /discovery/rev HTTP/1.1\r\nHost: x\r\n\r\n");
        answer.is_some_and(|answer| answer.status() == 503 && answer.header("retry-after") == Some("1"))
    });
    drop(busy);
    // All that is left is taken by silent ones, again and again.
    let silent: Vec<_> = (0..60).map(|_| TcpStream::connect(list.addr).unwrap()).collect();
    let rushes = Arc::new(AtomicBool::new(true));
    let rush: Vec<_> = (0..8)
        .map(|_| {
            let (at, goes_on) = (list.addr, rushes.clone());
            thread::spawn(move || {
                while goes_on.load(Ordering::SeqCst) {
                    // Whoever is let go for another gets no answer.
                    let _ = exchange(at, "GET /discovery/hosts HTTP/1.1\r\nHost: x\r\n\r\n");
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(2 * TTL));
    rushes.store(false, Ordering::SeqCst);
    rush.into_iter().for_each(|one| one.join().unwrap());
    drop((silent, watches));
    until("there is room again", || list.figure("watches") == 0);
    assert!(list.figure("lists_refused") > 0);
    assert_eq!((list.states().len(), list.figure("lapses"), list.figure("guarded")), (1, 0, 0));
    server.says("renew");
}

/// One for whom the service has no room to watch asks for the list now and then, and watches when there is room.
#[test]
fn whoever_finds_no_room_to_watch_is_not_left_outside() {
    let folder = folder();
    let list = Service::writer(&folder, &["--connections", "24"]);
    let (one, two) = (Registered::start("one", list.addr), Registered::start("two", list.addr));
    let watches: Vec<_> = (0..16).map(|_| Watching::begin(list.addr, "index=0")).collect();
    until("all places are taken", || list.figure("watches") == 16);
    let gatekeeper = Gatekeeper::ready(&watching(&[list.addr]));
    assert!(["one", "two"].contains(&served(&gatekeeper).as_str()));
    one.says("drain");
    until("changes are heard of", || figure(&gatekeeper, "list_rev") == list.figure("rev"));
    assert_eq!((served(&gatekeeper), list.figure("watches")), ("two".into(), 16));
    drop(watches);
    until("it watches", || list.figure("watches") == 1);
    drop(two);
}

#[test]
fn a_watcher_that_takes_nothing_is_closed() {
    let folder = folder();
    let list = Service::writer(&folder, &[]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let stuck = runtime.block_on(async {
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        let mut stream = socket.connect(list.addr).await.unwrap();
        let request = "GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n";
        tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await.unwrap();
        stream
    });
    until("it watches", || list.figure("watches") == 1);
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
                    register(at, &wants(&format!("{filler}{n}"), here, boot_ms));
                }
            })
        })
        .collect();
    until("it is closed", || list.figure("watches") == 0);
    done.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    drop(stuck);
}
