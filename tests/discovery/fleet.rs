//! A whole fleet on one list service: 300 of the gatekeeper's own clients, 200 servers.

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
/// Longer than anything here takes on the slowest machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// A connection that registers.
struct Caller(BufReader<TcpStream>);

impl Caller {
    fn to(at: SocketAddr) -> Caller {
        let stream = TcpStream::connect(at).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Caller(BufReader::new(stream))
    }

    fn call(&mut self, request: &str) -> String {
        self.0.get_mut().write_all(request.as_bytes()).unwrap();
        let mut length = 0;
        loop {
            let mut line = String::new();
            assert!(self.0.read_line(&mut line).unwrap() > 0, "the service has closed");
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

    fn figure(&mut self, name: &str) -> u64 {
        let text = self.call("GET /discovery/figures HTTP/1.1\r\nHost: x\r\n\r\n");
        let value = text.lines().find_map(|line| line.strip_prefix(&format!("discovery_{name} ")));
        value.unwrap_or_else(|| panic!("no {name} in {text}")).parse().unwrap()
    }
}

/// What one gatekeeper has of the list.
#[derive(Default)]
struct Has {
    rev: u64,
    list: BTreeMap<String, u64>,
}

impl Has {
    fn take(&mut self, list: &HostList) {
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

type Fleet = Vec<Rc<RefCell<Has>>>;

async fn all(fleet: &Fleet, what: &str, has: impl Fn(&Has) -> bool) -> Duration {
    let begun = Instant::now();
    loop {
        if fleet.iter().all(|one| has(&one.borrow())) {
            return begun.elapsed();
        }
        assert!(begun.elapsed() < PATIENCE, "never: {what}");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

#[test]
fn a_fleet_is_told_at_once_and_comes_back_spread_over_seconds() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let folder = crate::peers::folder();
        let mut service = Service::writer(&folder, &[]);
        let mut caller = Caller::to(service.addr);
        for n in 0..SERVERS {
            caller.register(&format!("s{n}"), 1);
        }
        let mut fleet = Fleet::new();
        let mut moves = Vec::new();
        for seed in 0..GATEKEEPERS {
            let has = Rc::new(RefCell::new(Has::default()));
            let pace =
                RequestTiming::for_shared_service(GATEKEEPERS, Duration::from_secs(10), u64::from(seed));
            let sources = Sources::new(vec![service.addr], &HostList::default());
            let follower = Follower::new(sources, pace, ListStatus::new());
            let (sender, places) = watch::channel(vec![service.addr]);
            let one = has.clone();
            spawn_local(follower.follow(places, move |list, _| one.borrow_mut().take(list)));
            moves.push(sender);
            fleet.push(has);
        }
        all(&fleet, "the whole list", |has| has.list.len() == SERVERS).await;
        let mut spread = Vec::new();
        for boot_ms in 2..12 {
            caller.register("s0", boot_ms);
            spread.push(all(&fleet, "a change", |has| has.list["s0"] == boot_ms).await);
        }
        println!("from the answer to a change to the last of {GATEKEEPERS} told: {spread:?}");
        service.kill();
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(fleet.iter().all(|one| one.borrow().list.len() == SERVERS), "the last list stays");
        service.restart(&[]);
        // Calls are counted by the service itself, in each second after the break.
        let mut caller = Caller::to(service.addr);
        let (begun, mut counts) = (Instant::now(), vec![0]);
        while caller.figure("watches") < u64::from(GATEKEEPERS) {
            assert!(begun.elapsed() < PATIENCE, "not all come back: {counts:?}");
            tokio::time::sleep(Duration::from_secs(1)).await;
            counts.push(caller.figure("list_calls"));
        }
        let calls: Vec<u64> = counts.windows(2).map(|pair| pair[1] - pair[0]).collect();
        println!("calls in each second after {GATEKEEPERS} watches broke: {calls:?}");
        assert!(calls.iter().all(|n| *n <= u64::from(GATEKEEPERS) / 2), "in step: {calls:?}");
        assert!(calls.iter().sum::<u64>() <= 2 * u64::from(GATEKEEPERS), "{calls:?}");
        caller.register("late", 1);
        all(&fleet, "a change after it", |has| has.list.len() == SERVERS + 1).await;
    });
}

/// Measures; too long for each run: `cargo test --release --test discovery -- --ignored --nocapture`.
#[test]
#[ignore]
fn memory_stays_flat_over_100_000_changes() {
    const CHANGES: u64 = 100_000;
    const CALLERS: u64 = 32;
    let folder = crate::peers::folder();
    let service = Service::writer(&folder, &[]);
    let addr = service.addr;
    let mut watchers: Vec<Caller> = (0..20).map(|_| Caller::to(addr)).collect();
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
                    let mut it = Caller::to(addr);
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
