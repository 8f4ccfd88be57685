//! Whose connections stay, and how many are opened: crowds, drips, rushes, lost descriptors.

mod peers;

use peers::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const GREEDY: [u8; 4] = [127, 0, 0, 2];

/// A configuration with a door, one server and few descriptors.
fn small(server: &Server, discovery: &Discovery) -> Value {
    discovery.list(2, true, &[server.listed("w0", "up")]);
    let mut config = config_with_door(discovery.addr);
    config["limits"]["sockets"] = 100.into();
    config
}

fn figure(gatekeeper: &Gatekeeper, name: &str) -> u64 {
    let told = gatekeeper.call("telemetry");
    let value = told.lines().find_map(|line| line.strip_prefix(&format!("app_{name} ")));
    value.unwrap_or_else(|| panic!("no {name} in {told}")).parse().unwrap()
}

fn until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "never: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// What a flooding source does with each connection that it opens.
#[derive(Clone, Copy, Debug)]
enum Flood {
    Idles,
    /// A head, a byte each 0.2 s.
    Drips,
    Garbage,
    /// Half a head, then half a close.
    HalfCloses,
    /// Half a head, then a reset.
    Resets,
    /// Half a head, each time from another address of its network.
    Roams,
}

impl Flood {
    const ALL: [Flood; 6] =
        [Flood::Idles, Flood::Drips, Flood::Garbage, Flood::HalfCloses, Flood::Resets, Flood::Roams];

    fn source(self, number: usize) -> [u8; 4] {
        match self {
            Flood::Roams => [127, 0, 9, 1 + (number % 250) as u8],
            _ => GREEDY,
        }
    }

    fn begins(self, client: &mut Client) {
        match self {
            Flood::Idles => {}
            Flood::Drips => client.try_send("G"),
            Flood::Garbage => client.try_send("\u{16}\u{3}\u{1}"),
            Flood::HalfCloses | Flood::Resets | Flood::Roams => client.try_send("GET /pu"),
        }
    }

    /// Whether the connection is kept.
    fn goes_on(self, client: Client) -> Option<Client> {
        match self {
            Flood::HalfCloses => client.half_close(),
            Flood::Resets => return client.reset(),
            _ => {}
        }
        Some(client)
    }
}

/// Another source opens connection after connection; the answers to 60 requests of a quiet source, half of
/// them on connections of their own.
fn answers_beside(flood: Flood) -> Vec<Option<u16>> {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let gatekeeper = Arc::new(Gatekeeper::ready(&small(&server, &discovery)));
    let (goes_on, opened) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicUsize::new(0)));
    let floods: Vec<_> = (0..8)
        .map(|_| {
            let (gatekeeper, goes_on, opened) = (gatekeeper.clone(), goes_on.clone(), opened.clone());
            thread::spawn(move || {
                let mut held = Vec::new();
                let mut dripped = Instant::now();
                while goes_on.load(Ordering::SeqCst) {
                    let number = opened.fetch_add(1, Ordering::SeqCst);
                    if let Some(mut client) = gatekeeper.connect_from(flood.source(number)) {
                        flood.begins(&mut client);
                        held.extend(flood.goes_on(client));
                    }
                    if held.len() > 400 {
                        held.remove(0);
                    }
                    if matches!(flood, Flood::Drips) && dripped.elapsed() > Duration::from_millis(200) {
                        held.iter_mut().for_each(|client| client.try_send("E"));
                        dripped = Instant::now();
                    }
                    thread::sleep(Duration::from_millis(1));
                }
            })
        })
        .collect();
    until("the flood is there", || opened.load(Ordering::SeqCst) > 300);
    let mut kept = gatekeeper.connect();
    let answers = (0..60).map(|n| {
        let mut own = (n % 2 == 0).then(|| gatekeeper.connect());
        let client = own.as_mut().unwrap_or(&mut kept);
        client.try_send(&pull().text());
        client.answer().map(|answer| answer.status())
    });
    let answers = answers.collect();
    goes_on.store(false, Ordering::SeqCst);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    answers
}

/// How soon is the state machine's own test, in time that is passed in: here the machine may be slow.
#[test]
fn a_quiet_source_is_served_each_time_beside_one_that_opens_thousands() {
    for flood in Flood::ALL {
        let answers = answers_beside(flood);
        assert_eq!(answers, [Some(200); 60], "beside a flood that does this: {flood:?}");
    }
}

#[test]
fn a_rush_opens_few_connections_and_those_that_come_free_serve() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let mut config = small(&server, &discovery);
    config["settings"]["instances"] = 4.into();
    config["limits"]["sockets"] = 1024.into();
    let gatekeeper = Arc::new(Gatekeeper::ready(&config));
    let clients: Vec<_> = (0..40)
        .map(|_| {
            let gatekeeper = gatekeeper.clone();
            thread::spawn(move || gatekeeper.ask(&pull().text()).status())
        })
        .collect();
    let answers: Vec<u16> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert!(answers.iter().all(|status| [200, 429].contains(status)), "{answers:?}");
    let served = answers.iter().filter(|status| **status == 200).count();
    let conns: BTreeSet<usize> = server
        .rest()
        .iter()
        .filter_map(|seen| match seen {
            Seen::Request { conn, .. } => Some(*conn),
            Seen::Closed { .. } => None,
        })
        .collect();
    println!("{served} served of 40 at once, over {} connections", conns.len());
    assert!(served >= 20 && conns.len() <= 12, "{} connections for {served}", conns.len());
    assert_eq!(figure(&gatekeeper, "handshakes_failed"), 0);
    assert!(figure(&gatekeeper, "handshakes") <= served as u64);
}

#[test]
fn a_server_that_refuses_is_not_called_again_and_again() {
    let gone = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = gone.local_addr().unwrap();
    drop(gone);
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let mut config = small(&server, &discovery);
    config["settings"]["instances"] = 300.into();
    let mut refuses = server.listed("w0", "up");
    refuses["endpoint"] = addr.to_string().into();
    discovery.list(3, true, &[refuses]);
    let gatekeeper = Gatekeeper::ready(&config);
    until("the list is known", || figure(&gatekeeper, "list_rev") == 3);
    let mut client = gatekeeper.connect();
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(2) {
        assert!([429, 502, 503].contains(&client.ask(&pull().text()).status()));
    }
    let (begun, failed) = (figure(&gatekeeper, "handshakes"), figure(&gatekeeper, "handshakes_failed"));
    assert!(begun == failed && begun <= 40, "{begun} connections begun to a server that refuses them");
}

#[test]
fn half_a_close_gets_its_answer_where_the_configuration_says_so() {
    for half_close in [true, false] {
        let (server, discovery) = (Server::start(ok("served")), Discovery::start());
        let mut config = small(&server, &discovery);
        config["connections"] = json!({"half_close": half_close});
        let gatekeeper = Gatekeeper::ready(&config);
        let mut stream = gatekeeper.connect().into_stream();
        std::io::Write::write_all(&mut stream, pull().text().as_bytes()).unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let answer = Message::read(&mut std::io::BufReader::new(stream));
        if half_close {
            assert_eq!(answer.expect("an answer").body, "served");
        }
    }
}

#[test]
fn a_source_has_its_limit_and_a_connection_its_age() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let mut config = small(&server, &discovery);
    config["connections"] = json!({"per_source": 5, "max_age_ms": 1_000});
    let gatekeeper = Gatekeeper::ready(&config);
    let many: Vec<_> = (0..12).filter_map(|_| gatekeeper.connect_from(GREEDY)).collect();
    until("they are there", || figure(&gatekeeper, "client_source_most") >= 5);
    assert_eq!(figure(&gatekeeper, "client_source_most"), 5);
    let mut old = gatekeeper.connect();
    assert_eq!(old.ask(&pull().text()).status(), 200);
    drop(many);
    assert!(old.answer().is_none(), "it ends between two requests");
    until("for its age", || figure(&gatekeeper, "clients_closed{reason=\"age\"}") > 0);
}

#[test]
fn without_descriptors_the_door_stays_open_and_service_goes_on() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let mut config = small(&server, &discovery);
    config["limits"]["sockets"] = 1024.into();
    let gatekeeper = Gatekeeper::start_with_descriptors(&config, 40).until_ready();
    let mut crowd = Vec::new();
    for _ in 0..100 {
        if let Some(mut client) = gatekeeper.connect_from(GREEDY) {
            client.try_send(&pull().text());
            crowd.push(client);
        }
    }
    for _ in 0..5 {
        assert!(gatekeeper.call("readyz").starts_with("YES"));
        thread::sleep(Duration::from_millis(100));
    }
    drop(crowd);
    until("it serves again", || {
        let mut client = gatekeeper.connect();
        client.try_send(&pull().text());
        client.answer().is_some_and(|answer| answer.status() == 200)
    });
}

#[test]
fn each_end_has_its_reason_in_the_figures() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let gatekeeper = Gatekeeper::ready(&small(&server, &discovery));
    let (_silent, mut half, mut further) = (gatekeeper.connect(), gatekeeper.connect(), gatekeeper.connect());
    half.try_send("GET /");
    assert_eq!(further.ask(&pull().text()).status(), 200);
    further.try_send("GET /");
    until("first requests are late", || figure(&gatekeeper, "clients_closed{reason=\"first\"}") == 2);
    until("so is a further head", || figure(&gatekeeper, "clients_closed{reason=\"head\"}") == 1);
    assert_eq!(figure(&gatekeeper, "server_connections"), 1);
    assert_eq!(figure(&gatekeeper, "clients{state=\"busy\"}"), 0);
}

/// Measures: `cargo test --release --test connections -- --ignored --nocapture`.
#[test]
#[ignore]
fn memory_of_an_idle_connection() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let mut config = small(&server, &discovery);
    config["limits"]["sockets"] = 4_096.into();
    let gatekeeper = Gatekeeper::ready(&config);
    let mut idle = Vec::new();
    let mut memory = Vec::new();
    for _ in 0..4 {
        for _ in 0..400 {
            let mut client = gatekeeper.connect();
            assert_eq!(client.ask(&pull().text()).status(), 200);
            idle.push(client);
        }
        memory.push(gatekeeper.most_memory());
    }
    println!("bytes for each further idle connection: {}", (memory[3] - memory[0]) / 1_200);
}
