//! Load tests of one list service with 300 list clients of gatekeepers and 200 servers.

use crate::peers::list::Service;
use granitelead_list::follower::{Follower, ListStatus, RequestTiming};
use granitelead_list::messages::{HostList, LeaseResponse, RegisterRequest};
use granitelead_list::sources::Sources;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::{spawn_local, LocalSet};

const GATEKEEPERS: u32 = 300;
const SERVERS: usize = 200;
/// Time limit for every wait, longer than anything here takes on a slow machine.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A client connection to the list service.
struct Caller(BufReader<TcpStream>);

impl Caller {
    fn connect(at: SocketAddr) -> Caller {
        let stream = TcpStream::connect(at).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Caller(BufReader::new(stream))
    }

    fn call(&mut self, request: &str) -> String {
        self.0.get_mut().write_all(request.as_bytes()).unwrap();
        let mut length = 0;
        loop {
            let mut line = String::new();
            assert!(self.0.read_line(&mut line).unwrap() > 0, "the service has closed the connection");
            if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = n.trim().parse().unwrap();
            }
            if line.trim().is_empty() {
                break;
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        String::from_utf8(body).unwrap()
    }

    fn register(&mut self, uid: &str, boot_ms: u64) -> LeaseResponse {
        let call = RegisterRequest {
            uid: uid.into(),
            endpoint: "127.0.0.1:9".into(),
            az: "a".into(),
            model: "m2".into(),
            pod_group: 1,
            capacity_hint: 1.0,
            boot_ms,
            ttl_ms: 30_000,
        };
        let body = serde_json::to_string(&call).unwrap();
        let length = body.len();
        let answer = self.call(&format!(
            "POST /discovery/register HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}"
        ));
        serde_json::from_str(&answer).unwrap_or_else(|_| panic!("{answer}"))
    }

    fn metric(&mut self, name: &str) -> u64 {
        let text = self.call("GET /discovery/figures HTTP/1.1\r\nHost: x\r\n\r\n");
        let value = text.lines().find_map(|line| line.strip_prefix(&format!("discovery_{name} ")));
        value.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }
}

/// The state of the list at one gatekeeper.
#[derive(Default)]
struct FollowedList {
    rev: u64,
    list: BTreeMap<String, u64>,
}

impl FollowedList {
    fn apply(&mut self, list: &HostList) {
        assert!(list.rev > self.rev, "version {} after {}", list.rev, self.rev);
        self.rev = list.rev;
        if list.all {
            self.list.clear();
        }
        for target in &list.targets {
            if target.is_removed() {
                self.list.remove(&target.uid);
            } else {
                self.list.insert(target.uid.clone(), target.boot_ms);
            }
        }
    }
}

type Fleet = Vec<Rc<RefCell<FollowedList>>>;

/// Waits until a condition holds at all gatekeepers; returns the time that it took.
async fn wait_for_all(fleet: &Fleet, what: &str, has: impl Fn(&FollowedList) -> bool) -> Duration {
    let begun = Instant::now();
    loop {
        if fleet.iter().all(|one| has(&one.borrow())) {
            return begun.elapsed();
        }
        assert!(begun.elapsed() < TIMEOUT, "never: {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn changes_reach_all_gatekeepers_and_reconnections_are_spread_over_seconds() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let dir = crate::peers::temp_dir();
        let mut service = Service::writer(&dir, &[]);
        let mut caller = Caller::connect(service.addr);
        for n in 0..SERVERS {
            caller.register(&format!("s{n}"), 1);
        }
        let mut fleet = Fleet::new();
        let mut senders = Vec::new();
        for seed in 0..GATEKEEPERS {
            let has = Rc::new(RefCell::new(FollowedList::default()));
            let timing =
                RequestTiming::for_shared_service(GATEKEEPERS, Duration::from_secs(10), u64::from(seed));
            let sources = Sources::new(vec![service.addr], &HostList::default());
            let follower = Follower::new(sources, timing, ListStatus::new());
            let (sender, addresses) = watch::channel(vec![service.addr]);
            let one = has.clone();
            spawn_local(follower.follow(addresses, move |list, _| one.borrow_mut().apply(list)));
            senders.push(sender);
            fleet.push(has);
        }
        wait_for_all(&fleet, "the whole list", |has| has.list.len() == SERVERS).await;
        let mut spread = Vec::new();
        for boot_ms in 2..12 {
            caller.register("s0", boot_ms);
            spread.push(wait_for_all(&fleet, "a change", |has| has.list["s0"] == boot_ms).await);
        }
        println!("time from a change's response until {GATEKEEPERS} gatekeepers have it: {spread:?}");
        service.kill();
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(fleet.iter().all(|one| one.borrow().list.len() == SERVERS), "the last list is kept");
        service.restart(&[]);
        // The service itself counts the calls in each second after the restart.
        let mut caller = Caller::connect(service.addr);
        let (begun, mut counts) = (Instant::now(), vec![0]);
        while caller.metric("watches") < u64::from(GATEKEEPERS) {
            assert!(begun.elapsed() < TIMEOUT, "not all reconnect: {counts:?}");
            tokio::time::sleep(Duration::from_secs(1)).await;
            counts.push(caller.metric("list_calls"));
        }
        let calls: Vec<u64> = counts.windows(2).map(|pair| pair[1] - pair[0]).collect();
        println!("calls in each second after {GATEKEEPERS} watches broke: {calls:?}");
        assert!(calls.iter().all(|n| *n <= u64::from(GATEKEEPERS) / 2), "calls are synchronized: {calls:?}");
        assert!(calls.iter().sum::<u64>() <= 2 * u64::from(GATEKEEPERS), "{calls:?}");
        caller.register("late", 1);
        wait_for_all(&fleet, "a change after it", |has| has.list.len() == SERVERS + 1).await;
    });
}

/// A measurement, too long for the regular test run: `cargo test --release --test discovery -- --ignored
/// --nocapture`.
#[test]
#[ignore]
fn memory_stays_flat_over_100_000_changes() {
    const CHANGES: u64 = 100_000;
    const CALLERS: u64 = 32;
    let dir = crate::peers::temp_dir();
    let service = Service::writer(&dir, &[]);
    let addr = service.addr;
    let mut watchers: Vec<Caller> = (0..20).map(|_| Caller::connect(addr)).collect();
    for (n, watcher) in watchers.iter_mut().enumerate() {
        let stream = watcher.0.get_mut();
        stream.write_all(b"GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        let mut stream = stream.try_clone().unwrap();
        stream.set_read_timeout(None).unwrap();
        if n > 0 {
            thread::spawn(move || std::io::copy(&mut stream, &mut std::io::sink()));
        }
    }
    let mut memory = Vec::new();
    for part in 0..10 {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                thread::spawn(move || {
                    let mut it = Caller::connect(addr);
                    let each = CHANGES / 10 / CALLERS;
                    for n in 0..each {
                        it.register(&format!("s{}", caller * 7 + n % 7), part * each + n + 1);
                    }
                })
            })
            .collect();
        callers.into_iter().for_each(|caller| caller.join().unwrap());
        memory.push(service.memory());
    }
    println!("memory after each 10,000 changes, kB: {memory:?}");
    assert!(memory[9] <= memory[2] * 11 / 10, "{memory:?}");
}
