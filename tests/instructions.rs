//! Measures the instructions per request, from accept to response, with callgrind. Needs valgrind and is not
//! part of the regular test run:
//!
//! `cargo test --release --test instructions -- --ignored --nocapture`
//!
//! `GATEKEEPER=/path/to/another/program` measures that program against the same mock peers.

mod peers;

use peers::*;
use std::process::Command;

const SERVERS: usize = 4;
const CLIENTS: usize = 8;
/// Requests per client in a short and in a long run. The difference between the two excludes one-time work
/// such as start-up.
const REQUESTS: (usize, usize) = (50, 300);

/// Returns the instructions of one run in which each client sends `requests` requests, one after the other.
fn run(requests: usize) -> u64 {
    let (servers, discovery) = ((0..SERVERS).map(|_| Server::start(ok("served"))), Discovery::start());
    let servers: Vec<Server> = servers.collect();
    let listed: Vec<_> = servers.iter().enumerate().map(|(n, s)| s.listed(&format!("w{n}"), "up")).collect();
    discovery.list(2, true, &listed);
    let dir = temp_dir();
    let counts = dir.path("callgrind.out");
    let program = std::env::var("GATEKEEPER").unwrap_or(env!("CARGO_BIN_EXE_granitelead").into());
    let mut command = Command::new("valgrind");
    command.args(["--tool=callgrind", "--quiet", &format!("--callgrind-out-file={}", counts.display())]);
    command.arg(program);
    let mut gatekeeper =
        Gatekeeper::start_with_command(command, dir, &config(discovery.addr, &[])).until_ready();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| gatekeeper.connect()).collect();
    for _ in 0..requests {
        clients.iter_mut().for_each(|client| client.send(&pull().text()));
        for client in &mut clients {
            assert_eq!(client.response().expect("a response").status(), 200);
        }
    }
    gatekeeper.terminate();
    assert_eq!(gatekeeper.exit_code(), Some(0));
    let text = std::fs::read_to_string(counts).unwrap();
    let total = text.lines().find_map(|line| line.strip_prefix("totals: "));
    total.expect("a total").trim().parse().unwrap()
}

#[test]
#[ignore]
fn instructions_per_request() {
    for _ in 0..3 {
        let (few, many) = (run(REQUESTS.0), run(REQUESTS.1));
        let requests = (CLIENTS * (REQUESTS.1 - REQUESTS.0)) as u64;
        println!("instructions per request: {}", (many - few) / requests);
    }
}
