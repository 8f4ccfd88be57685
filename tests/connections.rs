//! Connection limits and fairness: floods of connections, slow clients, request bursts and exhausted
//! descriptors.

mod peers;

use peers::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The source address of the clients that open too many connections.
const FLOODING_SOURCE: [u8; 4] = [127, 0, 0, 2];

/// A configuration with an admin socket, one server and a low socket limit.
fn low_limit_config(server: &Server, discovery: &Discovery) -> Value {
    discovery.list(2, true, &[server.listed("w0", "up")]);
    let mut config = config_with_admin(discovery.addr);
    config["limits"]["sockets"] = 100.into();
    config
}

fn metric(gatekeeper: &Gatekeeper, name: &str) -> u64 {
    let report = gatekeeper.call("telemetry");
    let value = report.lines().find_map(|line| line.strip_prefix(&format!("app_{name} ")));
    value.unwrap_or_else(|| panic!("no {name} in {report}")).parse().unwrap()
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !done() {
        assert!(Instant::now() < end, "never: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// What a flooding source does with each connection it opens.
#[derive(Clone, Copy, Debug)]
enum Flood {
    Idles,
    /// Sends a request head at one byte per 0.2 s.
    Drips,
    Garbage,
    /// Sends half a request head, then shuts down its sending side.
    HalfCloses,
    /// Sends half a request head, then resets the connection.
    Resets,
    /// Sends half a request head, each time from another address of its network.
    ChangesAddress,
}

impl Flood {
    const ALL: [Flood; 6] =
        [Flood::Idles, Flood::Drips, Flood::Garbage, Flood::HalfCloses, Flood::Resets, Flood::ChangesAddress];

    fn source(self, number: usize) -> [u8; 4] {
        match self {
            Flood::ChangesAddress => [127, 0, 9, 1 + (number % 250) as u8],
            _ => FLOODING_SOURCE,
        }
    }

    fn send_start(self, client: &mut Client) {
        match self {
            Flood::Idles => {}
            Flood::Drips => client.try_send("G"),
            Flood::Garbage => client.try_send("\u{16}\u{3}\u{1}"),
            Flood::HalfCloses | Flood::Resets | Flood::ChangesAddress => client.try_send("GET /pu"),
        }
    }

    /// Finishes opening; returns the client if its connection stays open.
    fn finish_open(self, client: Client) -> Option<Client> {
        match self {
            Flood::HalfCloses => client.half_close(),
            Flood::Resets => return client.reset(),
            _ => {}
        }
        Some(client)
    }
}

/// Floods the gatekeeper with connections from one source. Returns the status of 60 requests from another
/// source, half of them on new connections.
fn responses_during(flood: Flood) -> Vec<Option<u16>> {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let gatekeeper = Arc::new(Gatekeeper::ready(&low_limit_config(&server, &discovery)));
    let (running, opened) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicUsize::new(0)));
    let floods: Vec<_> = (0..8)
        .map(|_| {
            let (gatekeeper, running, opened) = (gatekeeper.clone(), running.clone(), opened.clone());
            thread::spawn(move || {
                let mut clients = Vec::new();
                let mut dripped = Instant::now();
                while running.load(Ordering::SeqCst) {
                    let number = opened.fetch_add(1, Ordering::SeqCst);
                    if let Some(mut client) = gatekeeper.connect_from(flood.source(number)) {
                        flood.send_start(&mut client);
                        clients.extend(flood.finish_open(client));
                    }
                    if clients.len() > 400 {
                        clients.remove(0);
                    }
                    if matches!(flood, Flood::Drips) && dripped.elapsed() > Duration::from_millis(200) {
                        clients.iter_mut().for_each(|client| client.try_send("E"));
                        dripped = Instant::now();
                    }
                    thread::sleep(Duration::from_millis(1));
                }
            })
        })
        .collect();
    wait_until("the flood has started", || opened.load(Ordering::SeqCst) > 300);
    let mut kept = gatekeeper.connect();
    let answers = (0..60).map(|n| {
        let mut own = (n % 2 == 0).then(|| gatekeeper.connect());
        let client = own.as_mut().unwrap_or(&mut kept);
        client.try_send(&pull().text());
        client.response().map(|answer| answer.status())
    });
    let answers = answers.collect();
    running.store(false, Ordering::SeqCst);
    floods.into_iter().for_each(|flood| flood.join().unwrap());
    answers
}

/// Checks no latencies, as the machine may be slow: the unit tests of the state machine do, with a simulated
/// clock.
#[test]
fn a_well_behaved_source_is_always_served_during_a_connection_flood() {
    for flood in Flood::ALL {
        let answers = responses_during(flood);
        assert_eq!(answers, [Some(200); 60], "during a flood of this kind: {flood:?}");
    }
}

#[test]
fn a_request_burst_opens_few_server_connections_and_reuses_them() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let mut config = low_limit_config(&server, &discovery);
    config["settings"]["instances"] = 4.into();
    config["limits"]["sockets"] = 1024.into();
    let gatekeeper = Arc::new(Gatekeeper::ready(&config));
    let clients: Vec<_> = (0..40)
        .map(|_| {
            let gatekeeper = gatekeeper.clone();
            thread::spawn(move || gatekeeper.exchange(&pull().text()).status())
        })
        .collect();
    let answers: Vec<u16> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    assert!(answers.iter().all(|status| [200, 429].contains(status)), "{answers:?}");
    let served = answers.iter().filter(|status| **status == 200).count();
    let conns: BTreeSet<usize> = server
        .rest()
        .iter()
        .filter_map(|seen| match seen {
            ServerEvent::Request { conn, .. } => Some(*conn),
            ServerEvent::Closed { .. } => None,
        })
        .collect();
    println!("{served} served of 40 at once, over {} connections", conns.len());
    assert!(served >= 20 && conns.len() <= 12, "{} connections for {served}", conns.len());
    assert_eq!(metric(&gatekeeper, "handshakes_failed"), 0);
    assert!(metric(&gatekeeper, "handshakes") <= served as u64);
}

#[test]
fn connection_attempts_to_a_refusing_server_back_off() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let mut config = low_limit_config(&server, &discovery);
    config["settings"]["instances"] = 300.into();
    let mut refusing = server.listed("w0", "up");
    refusing["endpoint"] = addr.to_string().into();
    discovery.list(3, true, &[refusing]);
    let gatekeeper = Gatekeeper::ready(&config);
    wait_until("the list is known", || metric(&gatekeeper, "list_rev") == 3);
    let mut client = gatekeeper.connect();
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(2) {
        assert!([429, 502, 503].contains(&client.exchange(&pull().text()).status()));
    }
    let (begun, failed) = (metric(&gatekeeper, "handshakes"), metric(&gatekeeper, "handshakes_failed"));
    assert!(begun == failed && begun <= 40, "{begun} connections started to a server that refuses them");
}

#[test]
fn a_half_closed_connection_gets_its_response_if_half_close_is_enabled() {
    for half_close in [true, false] {
        let (server, discovery) = (Server::start(ok("served")), Discovery::start());
        let mut config = low_limit_config(&server, &discovery);
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
fn connections_are_limited_by_source_and_by_age() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let mut config = low_limit_config(&server, &discovery);
    config["connections"] = json!({"per_source": 5, "max_age_ms": 1_000});
    let gatekeeper = Gatekeeper::ready(&config);
    let many: Vec<_> = (0..12).filter_map(|_| gatekeeper.connect_from(FLOODING_SOURCE)).collect();
    wait_until("the connections are counted", || metric(&gatekeeper, "client_source_most") >= 5);
    assert_eq!(metric(&gatekeeper, "client_source_most"), 5);
    let mut old = gatekeeper.connect();
    assert_eq!(old.exchange(&pull().text()).status(), 200);
    drop(many);
    assert!(old.response().is_none(), "it is closed between two requests");
    wait_until("closed because of its age", || metric(&gatekeeper, "clients_closed{reason=\"age\"}") > 0);
}

#[test]
fn the_admin_socket_works_without_free_descriptors_and_service_recovers() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let mut config = low_limit_config(&server, &discovery);
    config["limits"]["sockets"] = 1024.into();
    let gatekeeper = Gatekeeper::start_with_descriptors(&config, 40).until_ready();
    let mut clients = Vec::new();
    for _ in 0..100 {
        if let Some(mut client) = gatekeeper.connect_from(FLOODING_SOURCE) {
            client.try_send(&pull().text());
            clients.push(client);
        }
    }
    for _ in 0..5 {
        assert!(gatekeeper.call("readyz").starts_with("YES"));
        thread::sleep(Duration::from_millis(100));
    }
    drop(clients);
    wait_until("it serves again", || {
        let mut client = gatekeeper.connect();
        client.try_send(&pull().text());
        client.response().is_some_and(|answer| answer.status() == 200)
    });
}

#[test]
fn metrics_count_closed_connections_by_reason() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let gatekeeper = Gatekeeper::ready(&low_limit_config(&server, &discovery));
    let (_silent, mut half, mut further) = (gatekeeper.connect(), gatekeeper.connect(), gatekeeper.connect());
    half.try_send("GET /");
    assert_eq!(further.exchange(&pull().text()).status(), 200);
    further.try_send("GET /");
    wait_until("incomplete first requests time out", || {
        metric(&gatekeeper, "clients_closed{reason=\"first\"}") == 2
    });
    wait_until("an incomplete second head times out", || {
        metric(&gatekeeper, "clients_closed{reason=\"head\"}") == 1
    });
    assert_eq!(metric(&gatekeeper, "server_connections"), 1);
    assert_eq!(metric(&gatekeeper, "clients{state=\"busy\"}"), 0);
}

/// A measurement: `cargo test --release --test connections -- --ignored --nocapture`.
#[test]
#[ignore]
fn memory_of_an_idle_connection() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    let mut config = low_limit_config(&server, &discovery);
    config["limits"]["sockets"] = 4_096.into();
    let gatekeeper = Gatekeeper::ready(&config);
    let mut idle = Vec::new();
    let mut memory = Vec::new();
    for _ in 0..4 {
        for _ in 0..400 {
            let mut client = gatekeeper.connect();
            assert_eq!(client.exchange(&pull().text()).status(), 200);
            idle.push(client);
        }
        memory.push(gatekeeper.peak_memory());
    }
    println!("bytes per additional idle connection: {}", (memory[3] - memory[0]) / 1_200);
}
