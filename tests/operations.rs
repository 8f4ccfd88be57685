//! What operators do to the running program: calls at their door.

mod peers;

use peers::*;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// A gateway with a door that knows one worker, `w0`.
fn stage(worker: &Worker) -> (Gateway, Discovery) {
    let discovery = Discovery::start();
    discovery.list(2, true, &[worker.listed("w0", "up")]);
    (Gateway::ready(&config_with_door(discovery.addr)), discovery)
}

#[test]
fn calls_are_answered_beside_silent_callers_and_bad_ones_get_a_no() {
    let worker = Worker::start(ok("served"));
    let (gateway, _discovery) = stage(&worker);
    let silent: Vec<_> = (0..40).map(|_| gateway.knock()).collect();
    for call in ["readyz", "readyz"] {
        assert!(gateway.call(call).starts_with("YES"));
    }
    for bad in ["", "open sesame", "evacuate now", &"x".repeat(10_000), "\u{0}"] {
        let mut door = gateway.knock();
        // The answer may come before a long line has been read.
        let _ = door.write_all(format!("{bad}\n").as_bytes());
        let mut answer = String::new();
        match door.read_to_string(&mut answer) {
            Ok(_) => assert!(answer.starts_with("NO"), "{bad}: {answer}"),
            Err(e) => assert!(bad.len() > 1_000, "{bad}: {e}"),
        }
    }
    drop(silent);
    assert_eq!(gateway.ask(UP).status(), 200);
}

#[test]
fn evacuated_clients_lose_nothing_and_leave_until_called_back() {
    let worker = Worker::start(ok("served"));
    let (gateway, _discovery) = stage(&worker);
    let mut idle = gateway.connect();
    assert_eq!(idle.ask(&pull().text()).body, "served");
    let mut used = gateway.connect();
    assert_eq!(used.ask(&pull().text()).body, "served");
    assert!(gateway.call("evacuate").starts_with("YES"));
    assert_eq!(gateway.ask(UP).status(), 503);
    assert!(gateway.call("readyz").starts_with("YES"), "the process still takes whoever comes");
    let begun = Instant::now();
    for mut client in [used, gateway.connect()] {
        let answer = client.ask(&pull().text());
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.answer().is_none(), "kept open");
    }
    assert!(idle.answer().is_none());
    assert!(begun.elapsed() < Duration::from_secs(4), "closed after {:?}", begun.elapsed());
    assert!(gateway.call("activate").starts_with("YES"));
    assert_eq!(gateway.ask(UP).status(), 200);
    let mut client = gateway.connect();
    for _ in 0..2 {
        let answer = client.ask(&pull().text());
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
}

/// The value of a figure in what the door tells.
fn figure(gateway: &Gateway, name: &str) -> u64 {
    let told = gateway.call("telemetry");
    assert!(told.ends_with("\nEND\n"), "{told}");
    let value = told.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
    value.unwrap_or_else(|| panic!("no {name} in {told}")).parse().unwrap()
}

/// Waits until a figure has come to a value: what ends is counted about when the client reads of it.
fn comes_to(gateway: &Gateway, name: &str, value: u64) {
    let until = Instant::now() + PATIENCE;
    while figure(gateway, name) != value {
        assert!(Instant::now() < until, "{name} {}", figure(gateway, name));
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn figures_tell_what_peers_saw() {
    let worker = Worker::start(ok("served"));
    let (gateway, _discovery) = stage(&worker);
    for name in ["success{tier=\"pull\"}", "busy{tier=\"swap\"}", "failure{tier=\"push\"}", "backend_calls"] {
        assert_eq!(figure(&gateway, &format!("app_{name}")), 0);
    }
    for _ in 0..3 {
        assert_eq!(gateway.ask(&pull().text()).status(), 200);
    }
    let many = Ask { tier: "small", terms: "units=20,spread=1,first=0".into(), ..swap() };
    for status in [200, 429] {
        assert_eq!(gateway.ask(&many.text()).status(), status);
    }
    worker.set(Reply::Answer("500 Oops".into(), "no".into()));
    assert_eq!(gateway.ask(&push().text()).status(), 502);
    worker.set(Reply::Silence);
    let mut waits = gateway.connect();
    waits.send(&push().text());
    comes_to(&gateway, "app_inflight", 1);
    comes_to(&gateway, "app_backend_calls", 6);
    for (name, value) in [
        ("success{tier=\"pull\"}", 3),
        ("success{tier=\"push\"}", 0),
        ("success{tier=\"swap\"}", 1),
        ("busy{tier=\"swap\"}", 1),
        ("failure{tier=\"push\"}", 1),
        ("hosts_listed", 1),
    ] {
        assert_eq!(figure(&gateway, &format!("app_{name}")), value, "{name}");
    }
    drop(waits);
    comes_to(&gateway, "app_inflight", 0);
}
