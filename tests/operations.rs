//! Operators' actions on the running gatekeeper: admin commands, evacuation, upgrades and server exclusion.

mod peers;

use peers::*;
use std::io::{Read, Write};
use std::net::UdpSocket;
use std::time::{Duration, Instant};

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// Starts a gatekeeper with an admin socket whose server list holds one server, `w0`.
fn start_gatekeeper(server: &Server) -> (Gatekeeper, Discovery) {
    let discovery = Discovery::start();
    discovery.list(2, true, &[server.listed("w0", "up")]);
    (Gatekeeper::ready(&config_with_admin(discovery.addr)), discovery)
}

#[test]
fn commands_are_answered_beside_silent_connections_and_invalid_ones_rejected() {
    let server = Server::start(ok("served"));
    let (gatekeeper, _discovery) = start_gatekeeper(&server);
    let silent: Vec<_> = (0..40).map(|_| gatekeeper.connect_admin()).collect();
    for command in ["readyz", "readyz"] {
        assert!(gatekeeper.call(command).starts_with("YES"));
    }
    for bad in ["", "open sesame", "evacuate now", &"x".repeat(10_000), "\u{0}"] {
        let mut stream = gatekeeper.connect_admin();
        // The reply may come before a long line has been read.
        let _ = stream.write_all(format!("{bad}\n").as_bytes());
        let mut answer = String::new();
        match stream.read_to_string(&mut answer) {
            Ok(_) => assert!(answer.starts_with("NO"), "{bad}: {answer}"),
            Err(e) => assert!(bad.len() > 1_000, "{bad}: {e}"),
        }
    }
    drop(silent);
    assert_eq!(gatekeeper.exchange(UP).status(), 200);
}

/// A client reads late and sends more meanwhile. If the gatekeeper closed the connection too early, the TCP
/// reset would discard the part of the response that the client has not read yet.
#[test]
fn a_final_response_reaches_a_client_that_has_sent_more() {
    const SIZE: usize = 1_000_000;
    let server = Server::start(ok(&"x".repeat(SIZE)));
    let (gatekeeper, _discovery) = start_gatekeeper(&server);
    let mut client = gatekeeper.connect();
    assert!(gatekeeper.call("evacuate").starts_with("YES"));
    client.send(&pull().text());
    for _ in 0..50 {
        client.try_send("GET / HTTP/1.1\r\n");
        std::thread::sleep(Duration::from_millis(3));
    }
    let answer = client.response().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection"), answer.body.len()), (200, Some("close"), SIZE));
}

#[test]
fn evacuation_closes_client_connections_without_losing_requests_until_activated() {
    let server = Server::start(ok("served"));
    let (gatekeeper, _discovery) = start_gatekeeper(&server);
    let mut idle = gatekeeper.connect();
    assert_eq!(idle.exchange(&pull().text()).body, "served");
    let mut used = gatekeeper.connect();
    assert_eq!(used.exchange(&pull().text()).body, "served");
    assert!(gatekeeper.call("evacuate").starts_with("YES"));
    assert_eq!(gatekeeper.exchange(UP).status(), 503);
    assert!(gatekeeper.call("readyz").starts_with("YES"), "the process still accepts connections");
    let begun = Instant::now();
    for mut client in [used, gatekeeper.connect()] {
        let answer = client.exchange(&pull().text());
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.response().is_none(), "kept open");
    }
    assert!(idle.response().is_none());
    assert!(begun.elapsed() < Duration::from_secs(4), "closed after {:?}", begun.elapsed());
    assert!(gatekeeper.call("activate").starts_with("YES"));
    assert_eq!(gatekeeper.exchange(UP).status(), 200);
    let mut client = gatekeeper.connect();
    for _ in 0..2 {
        let answer = client.exchange(&pull().text());
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
}

/// Returns the value of a metric from the `telemetry` command.
fn metric(gatekeeper: &Gatekeeper, name: &str) -> u64 {
    let report = gatekeeper.call("telemetry");
    assert!(report.ends_with("\nEND\n"), "{report}");
    let value = report.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
    value.unwrap_or_else(|| panic!("no {name} in {report}")).parse().unwrap()
}

/// Waits until a metric has a value. A request is counted at about the time its client reads the response, so
/// the metric may lag behind.
fn wait_for_metric(gatekeeper: &Gatekeeper, name: &str, value: u64) {
    let until = Instant::now() + TIMEOUT;
    while metric(gatekeeper, name) != value {
        assert!(Instant::now() < until, "{name} {}", metric(gatekeeper, name));
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn metrics_match_the_requests_that_peers_saw() {
    let server = Server::start(ok("served"));
    let (gatekeeper, _discovery) = start_gatekeeper(&server);
    for name in ["success{tier=\"pull\"}", "busy{tier=\"swap\"}", "failure{tier=\"push\"}", "backend_calls"] {
        assert_eq!(metric(&gatekeeper, &format!("app_{name}")), 0);
    }
    for _ in 0..3 {
        assert_eq!(gatekeeper.exchange(&pull().text()).status(), 200);
    }
    let many = RequestSpec { tier: "small", terms: "units=20,spread=1,first=0".into(), ..swap() };
    for status in [200, 429] {
        assert_eq!(gatekeeper.exchange(&many.text()).status(), status);
    }
    server.set(Reply::Answer("500 Oops".into(), "no".into()));
    assert_eq!(gatekeeper.exchange(&push().text()).status(), 502);
    server.set(Reply::Silence);
    let mut waiting = gatekeeper.connect();
    waiting.send(&push().text());
    wait_for_metric(&gatekeeper, "app_inflight", 1);
    wait_for_metric(&gatekeeper, "app_backend_calls", 6);
    for (name, value) in [
        ("success{tier=\"pull\"}", 3),
        ("success{tier=\"push\"}", 0),
        ("success{tier=\"swap\"}", 1),
        ("busy{tier=\"swap\"}", 1),
        ("failure{tier=\"push\"}", 1),
        ("hosts_listed", 1),
    ] {
        assert_eq!(metric(&gatekeeper, &format!("app_{name}")), value, "{name}");
    }
    drop(waiting);
    wait_for_metric(&gatekeeper, "app_inflight", 0);
}

#[test]
fn an_upgrade_hands_over_quotas_and_connections_and_the_old_process_exits() {
    let server = Server::start(ok("served"));
    let (old, discovery) = start_gatekeeper(&server);
    check_takeover(old, &discovery);
}

/// Tests an upgrade from another program, such as an earlier version: `GATEKEEPER=/path/to/it cargo test
/// --test operations -- --ignored`.
#[test]
#[ignore]
fn an_upgrade_from_another_program_hands_over_too() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    discovery.list(2, true, &[server.listed("w0", "up")]);
    let before = std::process::Command::new(std::env::var("GATEKEEPER").expect("the variable GATEKEEPER"));
    let old =
        Gatekeeper::start_with_command(before, temp_dir(), &config_with_admin(discovery.addr)).until_ready();
    check_takeover(old, &discovery);
}

/// Upgrades a gatekeeper that has one server and checks what its successor takes over.
fn check_takeover(mut old: Gatekeeper, discovery: &Discovery) {
    let many = RequestSpec { tier: "small", terms: "units=20,spread=1,first=0".into(), ..swap() };
    let mut kept = old.connect();
    assert_eq!(kept.exchange(&many.text()).status(), 200);
    let new = old.upgrade(&config_with_admin(discovery.addr));
    new.wait_for_readyz();
    assert!(old.call("readyz").starts_with("NO"), "two processes report that they are ready");
    // Requests that the old process admitted count against the quota at the new one.
    assert_eq!(new.exchange(&many.text()).status(), 429);
    assert_eq!(new.exchange(&pull().text()).status(), 200);
    assert_eq!(metric(&new, "app_success{tier=\"pull\"}"), 1);
    let answer = kept.exchange(&pull().text());
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(old.exit_code(), Some(0), "the old process exits without a signal");
    assert_eq!(new.exchange(&pull().text()).status(), 200);
}

#[test]
fn connections_in_the_accept_queue_survive_an_upgrade() {
    let server = Server::start(ok("served"));
    let (old, discovery) = start_gatekeeper(&server);
    let new = old.upgrade(&config_with_admin(discovery.addr));
    let mut codes = Vec::new();
    while !new.call("readyz").starts_with("YES") {
        codes.push(new.exchange(&pull().text()).status());
    }
    old.terminate();
    codes.extend((0..50).map(|_| new.exchange(&pull().text()).status()));
    assert!(codes.iter().all(|code| *code == 200), "{codes:?}");
}

#[test]
fn the_old_process_keeps_serving_if_the_new_one_dies() {
    let server = Server::start(ok("served"));
    let (old, discovery) = start_gatekeeper(&server);
    // The new process dies before it is ready: it never receives a server list.
    let silent_discovery = Discovery::start();
    silent_discovery.enabled.store(0, std::sync::atomic::Ordering::SeqCst);
    let dead = old.upgrade(&config_with_admin(silent_discovery.addr));
    assert!(dead.call("readyz").starts_with("NO"));
    assert_eq!(old.exchange(&pull().text()).status(), 200);
    dead.kill();
    // The new process dies after it has taken over, while the old one still has a client.
    let mut kept = old.connect();
    server.set(Reply::Silence);
    kept.send(&push().text());
    server.request();
    server.request();
    let dead = old.upgrade(&config_with_admin(discovery.addr));
    dead.wait_for_readyz();
    dead.kill();
    server.set(ok("served"));
    old.wait_for_readyz();
    assert_eq!(old.exchange(&pull().text()).status(), 200);
    assert_eq!(old.exchange(UP).status(), 200);
}

#[test]
fn a_stale_or_misbehaving_handover_socket_does_not_block_start_up() {
    use std::os::unix::net::UnixListener;
    let server = Server::start(ok("served"));
    let discovery = Discovery::start();
    discovery.list(2, true, &[server.listed("w0", "up")]);
    for how in ["stale", "silent", "nonsense"] {
        let dir = temp_dir();
        let socket = dir.path("hingestage.sock");
        let peer = match how {
            "stale" => {
                std::fs::write(&socket, "what a dead process left").unwrap();
                None
            }
            _ => Some(UnixListener::bind(&socket).unwrap()),
        };
        if let ("nonsense", Some(peer)) = (how, &peer) {
            let peer = peer.try_clone().unwrap();
            std::thread::spawn(move || {
                for mut stream in peer.incoming().flatten() {
                    let _ = stream.write_all(&[0xff; 100_000]);
                }
            });
        }
        let gatekeeper = Gatekeeper::start_in(dir, &config_with_admin(discovery.addr));
        gatekeeper.wait_for_readyz();
        assert_eq!(gatekeeper.exchange(&pull().text()).status(), 200, "{how}");
    }
}

#[test]
fn an_excluded_server_gets_no_requests_until_included_even_across_an_upgrade() {
    let (w0, w1) = (Server::start(ok("w0")), Server::start(ok("w1")));
    let discovery = Discovery::start();
    let listed = [w0.listed("w0", "up"), w1.listed("w1", "up")];
    discovery.list(2, true, &listed);
    let old = Gatekeeper::ready(&config_with_admin(discovery.addr));
    let send_requests =
        |gatekeeper: &Gatekeeper| (0..20).for_each(|_| drop(gatekeeper.exchange(&pull().text())));
    send_requests(&old);
    assert!(w0.requests() > 0);
    assert!(old.call("exclude w9").starts_with("NO"), "never listed");
    assert!(old.call("include w9").starts_with("NO"), "never listed");
    for _ in 0..2 {
        assert!(old.call("exclude w0").starts_with("YES"));
    }
    assert_eq!(metric(&old, "app_hosts_down"), 1);
    discovery.list(3, true, &listed);
    send_requests(&old);
    let new = old.upgrade(&config_with_admin(discovery.addr));
    new.wait_for_readyz();
    send_requests(&new);
    assert_eq!(w0.requests(), 0);
    assert!(w1.requests() >= 40);
    assert_eq!(metric(&new, "app_hosts_down"), 1);
    assert!(new.call("include w0").starts_with("YES"));
    let until = Instant::now() + TIMEOUT;
    while w0.requests() == 0 {
        assert!(Instant::now() < until, "not used again");
        send_requests(&new);
    }
    assert_eq!(metric(&new, "app_hosts_down"), 0);
}

/// Without a Unix socket there are no upgrades; everything else works.
#[test]
fn it_starts_and_serves_without_a_unix_socket() {
    let server = Server::start(ok("served"));
    let discovery = Discovery::start();
    discovery.list(2, true, &[server.listed("w0", "up")]);
    let gatekeeper = Gatekeeper::start_in(long_temp_dir(), &config_with_admin(discovery.addr));
    gatekeeper.wait_for_readyz();
    assert_eq!(gatekeeper.exchange(UP).status(), 200);
    assert_eq!(gatekeeper.exchange(&pull().text()).body, "served");
    assert!(gatekeeper.call("evacuate").starts_with("YES"));
    assert!(gatekeeper.call("telemetry").contains("app_hosts_listed 1"));
}

/// Three gatekeepers with membership enabled, one without it, and datagrams from an unknown sender.
#[test]
fn gatekeepers_with_membership_track_which_of_them_are_alive() {
    let server = Server::start(ok("served"));
    let discovery = Discovery::start();
    discovery.list(2, true, &[server.listed("w0", "up")]);
    let sockets: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let peers: Vec<String> = sockets.iter().map(|socket| socket.local_addr().unwrap().to_string()).collect();
    drop(sockets);
    let start = |me: usize| {
        let mut config = config_with_admin(discovery.addr);
        config["peer_listen"] = peers[me].as_str().into();
        config["peers"] = peers.clone().into();
        config["membership"] = serde_json::json!({"fleet": "f"});
        config["settings"]["instances"] = 3.into();
        config["settings"]["me"] = me.into();
        Gatekeeper::ready(&config)
    };
    let counts = |gatekeeper: &Gatekeeper| {
        ["alive", "dead"].map(|state| metric(gatekeeper, &format!("app_members{{state=\"{state}\"}}")))
    };
    let until = |what: &str, holds: &dyn Fn() -> bool| {
        let until = Instant::now() + TIMEOUT;
        while !holds() {
            assert!(Instant::now() < until, "never: {what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    let (zero, one, two) = (start(0), start(1), start(2));
    until("all see all as alive", &|| [&zero, &one, &two].iter().all(|it| counts(it) == [2, 0]));
    drop(two);
    until("the failure is detected", &|| [&zero, &one].iter().all(|it| counts(it) == [1, 1]));
    let two = start(2);
    until("the restarted one is seen as alive", &|| {
        [&zero, &one, &two].iter().all(|it| counts(it) == [2, 0])
    });
    let unknown_sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    unknown_sender.send_to(b"hello", &peers[0]).unwrap();
    until("datagrams from unknown senders are counted", &|| {
        metric(&zero, "app_peer_datagrams{what=\"stranger\"}") == 1
    });
    // Without `membership` in the configuration, its metrics are absent.
    let alone = Gatekeeper::ready(&config_with_admin(discovery.addr));
    assert!(!alone.call("telemetry").contains("app_members"));
}
