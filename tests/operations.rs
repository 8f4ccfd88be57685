//! What operators do to the running program: calls at their door.

mod peers;

use peers::*;
use std::io::{Read, Write};
use std::net::UdpSocket;
use std::time::{Duration, Instant};

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// A gatekeeper with a door that knows one server, `w0`.
fn stage(server: &Server) -> (Gatekeeper, Discovery) {
    let discovery = Discovery::start();
    discovery.list(2, true, &[server.listed("w0", "up")]);
    (Gatekeeper::ready(&config_with_door(discovery.addr)), discovery)
}

#[test]
fn calls_are_answered_beside_silent_callers_and_bad_ones_get_a_no() {
    let server = Server::start(ok("served"));
    let (gatekeeper, _discovery) = stage(&server);
    let silent: Vec<_> = (0..40).map(|_| gatekeeper.knock()).collect();
    for call in ["readyz", "readyz"] {
        assert!(gatekeeper.call(call).starts_with("YES"));
    }
    for bad in ["", "open sesame", "evacuate now", &"x".repeat(10_000), "\u{0}"] {
        let mut door = gatekeeper.knock();
        // The answer may come before a long line has been read.
        let _ = door.write_all(format!("{bad}\n").as_bytes());
        let mut answer = String::new();
        match door.read_to_string(&mut answer) {
            Ok(_) => assert!(answer.starts_with("NO"), "{bad}: {answer}"),
            Err(e) => assert!(bad.len() > 1_000, "{bad}: {e}"),
        }
    }
    drop(silent);
    assert_eq!(gatekeeper.ask(UP).status(), 200);
}

/// A client that reads late and sends more meanwhile: the reset of an early close would destroy what it has not read.
#[test]
fn an_answer_that_closes_reaches_a_client_that_has_sent_more() {
    const SIZE: usize = 1_000_000;
    let server = Server::start(ok(&"x".repeat(SIZE)));
    let (gatekeeper, _discovery) = stage(&server);
    let mut client = gatekeeper.connect();
    assert!(gatekeeper.call("evacuate").starts_with("YES"));
    client.send(&pull().text());
    for _ in 0..50 {
        client.try_send("GET / HTTP/1.1\r\n");
        std::thread::sleep(Duration::from_millis(3));
    }
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection"), answer.body.len()), (200, Some("close"), SIZE));
}

#[test]
fn evacuated_clients_lose_nothing_and_leave_until_called_back() {
    let server = Server::start(ok("served"));
    let (gatekeeper, _discovery) = stage(&server);
    let mut idle = gatekeeper.connect();
    assert_eq!(idle.ask(&pull().text()).body, "served");
    let mut used = gatekeeper.connect();
    assert_eq!(used.ask(&pull().text()).body, "served");
    assert!(gatekeeper.call("evacuate").starts_with("YES"));
    assert_eq!(gatekeeper.ask(UP).status(), 503);
    assert!(gatekeeper.call("readyz").starts_with("YES"), "the process still takes whoever comes");
    let begun = Instant::now();
    for mut client in [used, gatekeeper.connect()] {
        let answer = client.ask(&pull().text());
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.answer().is_none(), "kept open");
    }
    assert!(idle.answer().is_none());
    assert!(begun.elapsed() < Duration::from_secs(4), "closed after {:?}", begun.elapsed());
    assert!(gatekeeper.call("activate").starts_with("YES"));
    assert_eq!(gatekeeper.ask(UP).status(), 200);
    let mut client = gatekeeper.connect();
    for _ in 0..2 {
        let answer = client.ask(&pull().text());
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
}

/// The value of a figure in what the door tells.
fn figure(gatekeeper: &Gatekeeper, name: &str) -> u64 {
    let told = gatekeeper.call("telemetry");
    assert!(told.ends_with("\nEND\n"), "{told}");
    let value = told.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
    value.unwrap_or_else(|| panic!("no {name} in {told}")).parse().unwrap()
}

/// Waits until a figure has come to a value: what ends is counted about when the client reads of it.
fn comes_to(gatekeeper: &Gatekeeper, name: &str, value: u64) {
    let until = Instant::now() + PATIENCE;
    while figure(gatekeeper, name) != value {
        assert!(Instant::now() < until, "{name} {}", figure(gatekeeper, name));
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn figures_tell_what_peers_saw() {
    let server = Server::start(ok("served"));
    let (gatekeeper, _discovery) = stage(&server);
    for name in ["success{tier=\"pull\"}", "busy{tier=\"swap\"}", "failure{tier=\"push\"}", "backend_calls"] {
        assert_eq!(figure(&gatekeeper, &format!("app_{name}")), 0);
    }
    for _ in 0..3 {
        assert_eq!(gatekeeper.ask(&pull().text()).status(), 200);
    }
    let many = Ask { tier: "small", terms: "units=20,spread=1,first=0".into(), ..swap() };
    for status in [200, 429] {
        assert_eq!(gatekeeper.ask(&many.text()).status(), status);
    }
    server.set(Reply::Answer("500 Oops".into(), "no".into()));
    assert_eq!(gatekeeper.ask(&push().text()).status(), 502);
    server.set(Reply::Silence);
    let mut waits = gatekeeper.connect();
    waits.send(&push().text());
    comes_to(&gatekeeper, "app_inflight", 1);
    comes_to(&gatekeeper, "app_backend_calls", 6);
    for (name, value) in [
        ("success{tier=\"pull\"}", 3),
        ("success{tier=\"push\"}", 0),
        ("success{tier=\"swap\"}", 1),
        ("busy{tier=\"swap\"}", 1),
        ("failure{tier=\"push\"}", 1),
        ("hosts_listed", 1),
    ] {
        assert_eq!(figure(&gatekeeper, &format!("app_{name}")), value, "{name}");
    }
    drop(waits);
    comes_to(&gatekeeper, "app_inflight", 0);
}

#[test]
fn an_upgrade_takes_over_quotas_and_connections_and_the_old_process_leaves() {
    let server = Server::start(ok("served"));
    let (old, discovery) = stage(&server);
    takes_over(old, &discovery);
}

/// Plays an upgrade from another program, such as an earlier version: `GATEKEEPER=/path/to/it cargo test --test
/// operations -- --ignored`.
#[test]
#[ignore]
fn an_upgrade_from_another_program_takes_over_as_well() {
    let (server, discovery) = (Server::start(ok("served")), Discovery::start());
    discovery.list(2, true, &[server.listed("w0", "up")]);
    let before = std::process::Command::new(std::env::var("GATEKEEPER").expect("the variable GATEKEEPER"));
    let old = Gatekeeper::start_by(before, folder(), &config_with_door(discovery.addr)).until_ready();
    takes_over(old, &discovery);
}

/// A gatekeeper that knows of one server gets a successor.
fn takes_over(mut old: Gatekeeper, discovery: &Discovery) {
    let many = Ask { tier: "small", terms: "units=20,spread=1,first=0".into(), ..swap() };
    let mut kept = old.connect();
    assert_eq!(kept.ask(&many.text()).status(), 200);
    let new = old.upgrade(&config_with_door(discovery.addr));
    new.wait_for_yes();
    assert!(old.call("readyz").starts_with("NO"), "two processes say that they take clients");
    // What the old one let in counts at the new one.
    assert_eq!(new.ask(&many.text()).status(), 429);
    assert_eq!(new.ask(&pull().text()).status(), 200);
    assert_eq!(figure(&new, "app_success{tier=\"pull\"}"), 1);
    let answer = kept.ask(&pull().text());
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(old.exit_code(), Some(0), "it leaves without being told to");
    assert_eq!(new.ask(&pull().text()).status(), 200);
}

#[test]
fn connections_that_wait_to_be_taken_survive_an_upgrade() {
    let server = Server::start(ok("served"));
    let (old, discovery) = stage(&server);
    let new = old.upgrade(&config_with_door(discovery.addr));
    let mut codes = Vec::new();
    while !new.call("readyz").starts_with("YES") {
        codes.push(new.ask(&pull().text()).status());
    }
    old.terminate();
    codes.extend((0..50).map(|_| new.ask(&pull().text()).status()));
    assert!(codes.iter().all(|code| *code == 200), "{codes:?}");
}

#[test]
fn the_old_process_serves_on_where_the_new_one_ends_first() {
    let server = Server::start(ok("served"));
    let (old, discovery) = stage(&server);
    // One that dies before it is ready: it never hears of a list.
    let mute = Discovery::start();
    mute.speaks.store(0, std::sync::atomic::Ordering::SeqCst);
    let dead = old.upgrade(&config_with_door(mute.addr));
    assert!(dead.call("readyz").starts_with("NO"));
    assert_eq!(old.ask(&pull().text()).status(), 200);
    dead.kill();
    // And one that dies once it has taken over, while the old one still has a client.
    let mut kept = old.connect();
    server.set(Reply::Silence);
    kept.send(&push().text());
    server.request();
    server.request();
    let dead = old.upgrade(&config_with_door(discovery.addr));
    dead.wait_for_yes();
    dead.kill();
    server.set(ok("served"));
    old.wait_for_yes();
    assert_eq!(old.ask(&pull().text()).status(), 200);
    assert_eq!(old.ask(UP).status(), 200);
}

#[test]
fn nobody_or_nonsense_at_the_meeting_place_holds_no_start_up() {
    use std::os::unix::net::UnixListener;
    let server = Server::start(ok("served"));
    let discovery = Discovery::start();
    discovery.list(2, true, &[server.listed("w0", "up")]);
    for how in ["stale", "silent", "nonsense"] {
        let folder = folder();
        let place = folder.path("hingestage.sock");
        let peer = match how {
            "stale" => {
                std::fs::write(&place, "what a dead process left").unwrap();
                None
            }
            _ => Some(UnixListener::bind(&place).unwrap()),
        };
        if let ("nonsense", Some(peer)) = (how, &peer) {
            let peer = peer.try_clone().unwrap();
            std::thread::spawn(move || {
                for mut stream in peer.incoming().flatten() {
                    let _ = stream.write_all(&[0xff; 100_000]);
                }
            });
        }
        let gatekeeper = Gatekeeper::start_in(folder, &config_with_door(discovery.addr));
        gatekeeper.wait_for_yes();
        assert_eq!(gatekeeper.ask(&pull().text()).status(), 200, "{how}");
    }
}

#[test]
fn a_server_left_out_gets_nothing_until_it_is_put_back_also_across_an_upgrade() {
    let (w0, w1) = (Server::start(ok("w0")), Server::start(ok("w1")));
    let discovery = Discovery::start();
    let listed = [w0.listed("w0", "up"), w1.listed("w1", "up")];
    discovery.list(2, true, &listed);
    let old = Gatekeeper::ready(&config_with_door(discovery.addr));
    let asked = |gatekeeper: &Gatekeeper| (0..20).for_each(|_| drop(gatekeeper.ask(&pull().text())));
    asked(&old);
    assert!(w0.requests() > 0);
    assert!(old.call("exclude w9").starts_with("NO"), "never listed");
    assert!(old.call("include w9").starts_with("NO"), "never listed");
    for _ in 0..2 {
        assert!(old.call("exclude w0").starts_with("YES"));
    }
    assert_eq!(figure(&old, "app_hosts_down"), 1);
    discovery.list(3, true, &listed);
    asked(&old);
    let new = old.upgrade(&config_with_door(discovery.addr));
    new.wait_for_yes();
    asked(&new);
    assert_eq!(w0.requests(), 0);
    assert!(w1.requests() >= 40);
    assert_eq!(figure(&new, "app_hosts_down"), 1);
    assert!(new.call("include w0").starts_with("YES"));
    let until = Instant::now() + PATIENCE;
    while w0.requests() == 0 {
        assert!(Instant::now() < until, "not used again");
        asked(&new);
    }
    assert_eq!(figure(&new, "app_hosts_down"), 0);
}

/// Where no Unix socket can be had there are no upgrades, and all else is as ever.
#[test]
fn it_starts_and_serves_where_a_unix_socket_cannot_be_had() {
    let server = Server::start(ok("served"));
    let discovery = Discovery::start();
    discovery.list(2, true, &[server.listed("w0", "up")]);
    let gatekeeper = Gatekeeper::start_in(deep_folder(), &config_with_door(discovery.addr));
    gatekeeper.wait_for_yes();
    assert_eq!(gatekeeper.ask(UP).status(), 200);
    assert_eq!(gatekeeper.ask(&pull().text()).body, "served");
    assert!(gatekeeper.call("evacuate").starts_with("YES"));
    assert!(gatekeeper.call("telemetry").contains("app_hosts_listed 1"));
}

/// Three that tell each other who lives, one without that, and datagrams that are nobody's.
#[test]
fn gatekeepers_that_are_told_to_know_who_of_them_lives() {
    let server = Server::start(ok("served"));
    let discovery = Discovery::start();
    discovery.list(2, true, &[server.listed("w0", "up")]);
    let sockets: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let peers: Vec<String> = sockets.iter().map(|socket| socket.local_addr().unwrap().to_string()).collect();
    drop(sockets);
    let start = |me: usize| {
        let mut config = config_with_door(discovery.addr);
        config["peer_listen"] = peers[me].as_str().into();
        config["peers"] = peers.clone().into();
        config["membership"] = serde_json::json!({"fleet": "f"});
        config["settings"]["instances"] = 3.into();
        config["settings"]["me"] = me.into();
        Gatekeeper::ready(&config)
    };
    let counts = |gatekeeper: &Gatekeeper| {
        ["alive", "dead"].map(|state| figure(gatekeeper, &format!("app_members{{state=\"{state}\"}}")))
    };
    let until = |what: &str, holds: &dyn Fn() -> bool| {
        let until = Instant::now() + PATIENCE;
        while !holds() {
            assert!(Instant::now() < until, "never: {what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    };
    let (zero, one, two) = (start(0), start(1), start(2));
    until("all know all", &|| [&zero, &one, &two].iter().all(|it| counts(it) == [2, 0]));
    drop(two);
    until("a death is known", &|| [&zero, &one].iter().all(|it| counts(it) == [1, 1]));
    let two = start(2);
    until("who is back is known", &|| [&zero, &one, &two].iter().all(|it| counts(it) == [2, 0]));
    let stranger = UdpSocket::bind("127.0.0.1:0").unwrap();
    stranger.send_to(b"hello", &peers[0]).unwrap();
    until("strangers are counted", &|| figure(&zero, "app_peer_datagrams{what=\"stranger\"}") == 1);
    // Without its key nothing of it is there.
    let alone = Gatekeeper::ready(&config_with_door(discovery.addr));
    assert!(!alone.call("telemetry").contains("app_members"));
}
