//! Every response reaches the request that it belongs to, and a request that may run once is executed at most
//! once. Clients, the forwarding path and the connection pool run over real sockets against scripted servers
//! that record what arrives. Time is virtual, so waiting costs none.
//!
//! The behavior of the servers is generated exchange by exchange; the checks use only the records.

mod support;

use googletest::prelude::*;
use granitelead_common::configuration::RetrySafety;
use granitelead_proxy::pool::ConnectionPool;
use granitelead_proxy::request_state::Outcome;
use proptest::collection::vec;
use proptest::prelude::{any, prop_oneof, Just, Strategy};
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use support::{configuration, header, read_response, yield_times, ClientResponse, Gatekeeper};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// The servers' `Keep-Alive` timeout, seconds.
const KEEP_ALIVE_S: u64 = 5;
/// Size of a body that is streamed rather than buffered, bytes.
const LARGE_BODY: usize = 600 << 10;

/// Which attempt id a response carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseId {
    Own,
    None,
    /// That of the previous exchange on the connection, or an unknown one.
    Foreign,
    /// Its own and another.
    Both,
}

/// How a server rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejection {
    /// `Not-Executed`, with this status.
    Status(u16),
    /// 421 without it.
    Misdirected,
}

/// How a server behaves in one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behavior {
    /// Executes the request and sends a complete response.
    Success {
        carried_id: ResponseId,
        chunked: bool,
        large: bool,
    },
    /// The same without a `Keep-Alive` header.
    WithoutKeepAlive,
    /// Executes it and responds with 500.
    Failure,
    /// Does not execute it and says so.
    Rejects(Rejection, ResponseId),
    /// Sends a surplus response first and then the proper one, after executing the request.
    SurplusBefore(Rejection, ResponseId),
    SurplusSuccessBefore(ResponseId),
    /// Sends the surplus response after the proper one, after this many yields.
    SurplusAfter(Rejection, ResponseId, u8),
    /// Executes it and responds with this status, which clients take for "not executed", without the header.
    WithoutHeader(u16),
    /// Executes it and truncates the response in the head or the body, by a close or a reset.
    Truncates {
        head: bool,
        large: bool,
        reset: bool,
    },
    /// Executes it and truncates a body that is delimited only by the close of the connection.
    Unframed,
    /// Executes it and sends bytes that are no HTTP response.
    Garbage,
    /// Executes it and responds without a seal, or with a content encoding.
    Unsealed,
    Encoded,
    /// Resets the connection with the request unread, or read and not executed.
    ResetUnread,
    ResetRead,
    /// Executes it and closes, or sends nothing more.
    Closes,
    Silent,
    /// Responds, and then closes or resets (`true`) the connection after this many yields.
    ClosesIdle(bool, u8),
    /// Responds, closes its sending side, and executes what arrives afterwards.
    HalfCloses,
    /// Responds with `Connection: close`, and executes what arrives afterwards.
    ConnectionClose,
}

const SUCCESS: Behavior = Behavior::Success { carried_id: ResponseId::Own, chunked: false, large: false };

/// One request that has arrived at a server.
#[derive(Clone, Debug)]
struct Arrival {
    id: String,
    behavior: Behavior,
    ran: bool,
    /// Whether the server told the gatekeeper unambiguously that it did not execute the request.
    reported_not_run: bool,
    /// The body of a successful response.
    body: Option<String>,
    /// Number of earlier requests on this connection.
    earlier_requests: usize,
    /// Whether the connection may carry a request that may run once: it is new, or the last exchange was
    /// complete and it was idle no longer than promised.
    is_reusable: bool,
}

/// The script of one scenario and what the servers recorded.
#[derive(Default)]
struct Records {
    script: RefCell<VecDeque<Behavior>>,
    arrivals: RefCell<Vec<Arrival>>,
    next: Cell<u32>,
    connections: RefCell<Vec<JoinHandle<()>>>,
}

fn head(status: u16, carried_id: ResponseId, id: &str, other: &str, more: &str) -> String {
    let mut text = format!("HTTP/1.1 {status} Some\r\n{more}");
    if matches!(carried_id, ResponseId::Own | ResponseId::Both) {
        text += &format!("X-Granitelead-Attempt-Id: {id}\r\n");
    }
    if matches!(carried_id, ResponseId::Foreign | ResponseId::Both) {
        text += &format!("X-Granitelead-Attempt-Id: {other}\r\n");
    }
    text
}

fn rejection_response(how: Rejection, carried_id: ResponseId, id: &str, other: &str) -> String {
    let (status, more) = match how {
        Rejection::Status(status) => (status, "X-Granitelead-Not-Executed: 1\r\n"),
        Rejection::Misdirected => (421, "X-Granitelead-Instance-Id: i-other\r\n"),
    };
    let kept = format!("{more}Keep-Alive: timeout={KEEP_ALIVE_S}\r\n");
    head(status, carried_id, id, other, &kept) + "Content-Length: 0\r\n\r\n"
}

const SEAL: &str = "X-Granitelead-Server-Seal: s\r\n";

fn success_response(carried_id: ResponseId, id: &str, other: &str, body: &str, more: &str) -> String {
    let head = head(200, carried_id, id, other, &format!("{SEAL}{more}"));
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Parses a request whose head has arrived: its attempt id, and its size in bytes.
fn request(bytes: &[u8]) -> Option<(String, usize)> {
    let text = String::from_utf8_lossy(bytes);
    let head = text.split_once("\r\n\r\n")?.0;
    let length = header(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    Some((header(head, "x-granitelead-attempt-id").unwrap_or_default(), head.len() + 4 + length))
}

/// Closes a connection; bytes that arrive afterwards are answered with a reset.
async fn close(mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    let _ = stream.read(&mut [0]).await;
}

/// A server's side of one connection.
async fn serve_connection(records: Rc<Records>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    // A dropped socket is reset, so that no port stays in TIME_WAIT; orderly closes are explicit.
    let _ = stream.set_zero_linger();
    let mut previous_id = "unknown".to_owned();
    // When the last exchange ended, if it was complete.
    let mut ended: Option<Instant> = None;
    let mut responds = true;
    let mut bytes = vec![0; 8 << 10];
    for before in 0.. {
        let limit = Duration::from_secs(if before == 0 { 600 } else { KEEP_ALIVE_S });
        let Ok(Ok(1..)) = timeout(limit, stream.peek(&mut bytes)).await else { return };
        let behavior = if responds {
            records.script.borrow_mut().pop_front().unwrap_or(SUCCESS)
        } else {
            Behavior::Closes
        };
        // Without an id on a new connection, the surplus rejection would count as the request's own response,
        // although the request is executed.
        let behavior = match behavior {
            Behavior::SurplusBefore(how, ResponseId::None) if before == 0 => {
                Behavior::SurplusBefore(how, ResponseId::Foreign)
            }
            behavior => behavior,
        };
        let mut read = 0;
        let (id, _) = loop {
            match request(&bytes[..read]) {
                Some((id, size)) if read >= size => break (id, size),
                _ => {}
            }
            if behavior == Behavior::ResetUnread {
                let seen = stream.peek(&mut bytes).await.unwrap_or(0);
                let Some(seen) = request(&bytes[..seen]) else { return };
                break seen;
            }
            match stream.read(&mut bytes[read..]).await {
                Ok(0) | Err(_) => return,
                Ok(n) => read += n,
            }
        };
        let number = records.next.replace(records.next.get() + 1);
        let body = format!("{id} ran as {number}");
        let idle_for = ended.take().map(|at| at.elapsed());
        let is_reusable =
            before == 0 || idle_for.is_some_and(|idle_for| idle_for < Duration::from_secs(KEEP_ALIVE_S));
        let is_own_without_id = |carried_id| carried_id == ResponseId::None && before == 0;
        let (ran, reported_not_run) = match behavior {
            Behavior::Rejects(_, carried_id) => {
                (false, carried_id == ResponseId::Own || is_own_without_id(carried_id))
            }
            Behavior::ResetUnread | Behavior::ResetRead => (false, false),
            _ => (true, false),
        };
        let large = matches!(
            behavior,
            Behavior::Success { large: true, .. } | Behavior::Truncates { large: true, .. }
        );
        let body = if large { body + &"x".repeat(LARGE_BODY) } else { body };
        let is_success = matches!(
            behavior,
            Behavior::Success { carried_id: ResponseId::Own, .. }
                | Behavior::WithoutKeepAlive
                | Behavior::SurplusSuccessBefore(_)
                | Behavior::SurplusBefore(..)
                | Behavior::SurplusAfter(..)
                | Behavior::ClosesIdle(..)
                | Behavior::HalfCloses
                | Behavior::ConnectionClose
        );
        let arrival = Arrival {
            id: id.clone(),
            behavior,
            ran,
            reported_not_run,
            body: (is_success && responds).then(|| body.clone()),
            earlier_requests: before,
            is_reusable,
        };
        records.arrivals.borrow_mut().push(arrival);
        let kept = format!("Keep-Alive: timeout={KEEP_ALIVE_S}\r\n");
        let success = |more: &str| success_response(ResponseId::Own, &id, &previous_id, &body, more);
        let text = match behavior {
            Behavior::Success { carried_id, chunked: true, .. } => {
                let head = head(
                    200,
                    carried_id,
                    &id,
                    &previous_id,
                    &format!("{SEAL}{kept}Transfer-Encoding: chunked\r\n"),
                );
                format!("{head}\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
            }
            Behavior::Success { carried_id, .. } => {
                success_response(carried_id, &id, &previous_id, &body, &kept)
            }
            Behavior::WithoutKeepAlive => success(""),
            Behavior::Failure => {
                let head = head(500, ResponseId::Own, &id, &previous_id, &kept);
                format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
            }
            Behavior::Rejects(how, carried_id) => rejection_response(how, carried_id, &id, &previous_id),
            Behavior::SurplusBefore(how, carried_id) => {
                rejection_response(how, carried_id, &id, &previous_id) + &success(&kept)
            }
            Behavior::SurplusSuccessBefore(carried_id) => {
                success_response(carried_id, &id, &previous_id, "another's", &kept) + &success(&kept)
            }
            Behavior::SurplusAfter(..) | Behavior::ClosesIdle(..) | Behavior::HalfCloses => success(&kept),
            Behavior::WithoutHeader(status) => {
                head(status, ResponseId::Own, &id, &previous_id, &kept) + "Content-Length: 0\r\n\r\n"
            }
            Behavior::Truncates { head, .. } => {
                let mut text = success(&kept);
                text.truncate(if head { 40 } else { text.len() - 3 });
                text
            }
            Behavior::Unframed => head(200, ResponseId::Own, &id, &previous_id, SEAL) + "\r\n" + &body[..3],
            Behavior::Garbage => "\u{1}\u{2} no answer\r\n\r\n".to_owned(),
            Behavior::Unsealed => {
                head(200, ResponseId::Own, &id, &previous_id, "Content-Length: 1\r\n") + "\r\nx"
            }
            Behavior::Encoded => success("Content-Encoding: gzip\r\n"),
            Behavior::ConnectionClose => success("Connection: close\r\n"),
            Behavior::ResetUnread | Behavior::ResetRead | Behavior::Closes | Behavior::Silent => {
                String::new()
            }
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        match behavior {
            Behavior::SurplusAfter(how, carried_id, n) => {
                // Without yields it arrives before anything else can be sent; later the next request may be
                // in transit.
                ended = (n > 0).then(Instant::now);
                yield_times(n.into()).await;
                if stream.write_all(rejection_response(how, carried_id, &id, &id).as_bytes()).await.is_err() {
                    return;
                }
            }
            Behavior::Truncates { reset, .. } | Behavior::ClosesIdle(reset, _) => {
                if let Behavior::ClosesIdle(_, n) = behavior {
                    yield_times(n.into()).await;
                }
                if !reset {
                    close(stream).await;
                }
                return;
            }
            Behavior::ResetUnread | Behavior::ResetRead => return,
            Behavior::Unframed | Behavior::Closes => return close(stream).await,
            Behavior::HalfCloses => {
                let _ = stream.shutdown().await;
                responds = false;
            }
            Behavior::ConnectionClose | Behavior::Silent => responds = false,
            Behavior::Success { carried_id: ResponseId::Own, .. }
            | Behavior::Failure
            | Behavior::Rejects(_, ResponseId::Own) => {
                ended = Some(Instant::now());
            }
            Behavior::Rejects(_, ResponseId::None) if before == 0 => ended = Some(Instant::now()),
            _ => {}
        }
        previous_id = id;
    }
}

/// One request of a client.
#[derive(Clone, Copy, Debug)]
struct RequestSpec {
    once: bool,
    /// Bytes of its body, if it has one.
    body: Option<u16>,
}

/// What a client does after sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterSending {
    Reads,
    /// Closes its sending side and reads.
    HalfCloses,
    /// Resets the connection after this many yields.
    Resets(u8),
}

/// What a client sends at once.
#[derive(Clone, Debug)]
struct Round {
    /// Pause before sending, ms.
    pause_ms: u16,
    requests: Vec<RequestSpec>,
    after_sending: AfterSending,
}

/// What clients sent and received.
#[derive(Default)]
struct Observed {
    once: BTreeMap<String, bool>,
    responses: Vec<(String, ClientResponse)>,
    /// Requests sent behind one whose response closes the connection. By the protocol they were not read, and
    /// the client would send them again, so none of them may have been forwarded.
    after_close: Vec<String>,
    /// Bytes received while no request was waiting.
    surplus_bytes: usize,
    /// The gatekeeper is shutting down and may refuse connections.
    is_shutting_down: bool,
}

/// A client that reuses its connection while it is open.
async fn client(gatekeeper: SocketAddr, number: usize, rounds: Vec<Round>, observed: Rc<RefCell<Observed>>) {
    let mut open_connection: Option<TcpStream> = None;
    for (r, round) in rounds.into_iter().enumerate() {
        sleep(Duration::from_millis(round.pause_ms.into())).await;
        let mut stream = match open_connection.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(gatekeeper).await {
                Ok(stream) => stream,
                Err(_) if observed.borrow().is_shutting_down => return,
                Err(e) => panic!("the gatekeeper takes connections: {e}"),
            },
        };
        let _ = stream.set_zero_linger();
        let mut text = String::new();
        let mut ids = Vec::new();
        for (a, request) in round.requests.iter().enumerate() {
            let id = format!("id-{number}-{r}-{a}");
            let (method, length) = match request.body {
                Some(length) => ("POST", format!("Content-Length: {length}\r\n")),
                None => ("GET", String::new()),
            };
            let path = if request.once { "once" } else { "safe" };
            text += &format!(
                "{method} /{path}/{id} HTTP/1.1\r\nHost: h.example\r\nX-Granitelead-Attempt-Id: {id}\r\n\
                 X-Granitelead-Deadline-Milliseconds: 3000\r\n{length}\r\n{}",
                "b".repeat(request.body.unwrap_or(0).into())
            );
            observed.borrow_mut().once.insert(id.clone(), request.once);
            ids.push(id);
        }
        if stream.write_all(text.as_bytes()).await.is_err() {
            continue;
        }
        match round.after_sending {
            AfterSending::Reads => {}
            AfterSending::HalfCloses => drop(stream.shutdown().await),
            AfterSending::Resets(n) => {
                yield_times(n.into()).await;
                continue;
            }
        }
        let mut bytes = Vec::new();
        let mut is_reusable = round.after_sending == AfterSending::Reads;
        let mut ids = ids.into_iter();
        while let Some(id) = ids.next() {
            match read_response(&mut stream, &mut bytes).await {
                Some(response) => {
                    if response.closes {
                        observed.borrow_mut().after_close.extend(ids.clone());
                        is_reusable = false;
                    }
                    observed.borrow_mut().responses.push((id, response));
                }
                None => {
                    is_reusable = false;
                    break;
                }
            }
        }
        if is_reusable {
            observed.borrow_mut().surplus_bytes += bytes.len();
            open_connection = Some(stream);
        }
    }
}

/// Runs one scenario: the script of the servers, in the order in which requests arrive, and what clients
/// send. With `shut_down_at`, the gatekeeper shuts down as after SIGTERM at a time derived from this number.
fn run_scenario(
    script: Vec<Behavior>,
    rounds: Vec<Vec<Round>>,
    shut_down_at: Option<u16>,
    seed: u64,
) -> (Rc<Records>, Observed) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let records = Rc::new(Records { script: RefCell::new(script.into()), ..Records::default() });
        let mut servers = Vec::new();
        for _ in 0..3 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            servers.push(listener.local_addr().unwrap());
            let records = records.clone();
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let connection = spawn_local(serve_connection(records.clone(), stream));
                    records.connections.borrow_mut().push(connection);
                }
            });
        }
        let gatekeeper = Rc::new(Gatekeeper::start(configuration(3_000, 3), &servers, seed).await);
        let at = gatekeeper.address;
        let observed = Rc::new(RefCell::new(Observed::default()));
        let all = rounds.into_iter().enumerate();
        let tasks: Vec<_> =
            all.map(|(n, rounds)| spawn_local(client(at, n, rounds, observed.clone()))).collect();
        if let Some(after) = shut_down_at {
            yield_times(usize::from(after % 256)).await;
            sleep(Duration::from_millis(u64::from(after / 256) * 20)).await;
            observed.borrow_mut().is_shutting_down = true;
            let gatekeeper = gatekeeper.clone();
            spawn_local(async move { gatekeeper.terminate().await });
        }
        for task in tasks {
            task.await.unwrap();
        }
        while gatekeeper.shared.open_requests.get() > 0 {
            sleep(Duration::from_millis(100)).await;
        }
        let connections = records.connections.take();
        for done in connections.into_iter().filter(JoinHandle::is_finished) {
            done.await.expect("no server task panics");
        }
        (records, observed.take())
    })
}

/// Checks what clients received against the records of the servers; returns every violation.
fn violations(records: &Records, observed: &Observed) -> Vec<String> {
    let mut violations = Vec::new();
    let arrivals = records.arrivals.borrow();
    for (id, once) in observed.once.iter().filter(|(_, once)| **once) {
        let own: Vec<&Arrival> = arrivals.iter().filter(|a| a.id == *id).collect();
        for earlier in own.iter().rev().skip(1).filter(|a| a.ran || !a.reported_not_run) {
            violations.push(format!("{id} ({once}) was sent again after {earlier:?}"));
        }
        for arrival in own.iter().filter(|a| !a.is_reusable) {
            violations.push(format!("{id} was sent on a connection that may close: {arrival:?}"));
        }
    }
    for (id, response) in &observed.responses {
        let mut own = arrivals.iter().filter(|a| a.id == *id);
        if response.attempt_id.as_ref().is_some_and(|attempt_id| attempt_id != id) {
            violations.push(format!("{id} received the response of another request: {}", response.status));
        }
        match response.status {
            200..=299
                if response.attempt_id.is_some() && own.any(|a| a.body.as_ref() == Some(&response.body)) => {}
            200..=299 => {
                violations.push(format!("{id} received a success that no server sent: {}", response.body))
            }
            408 | 421 | 429 | 503 => {
                violations.extend(
                    own.filter(|a| a.ran)
                        .map(|a| format!("{id} was executed and received {}: {a:?}", response.status)),
                );
            }
            500 if response.attempt_id.is_none() || !response.body.starts_with(&format!("{id} ran")) => {
                violations.push(format!("{id} received the failure of another request: {}", response.body));
            }
            _ => {}
        }
    }
    for id in &observed.after_close {
        violations.extend(
            arrivals
                .iter()
                .filter(|a| a.id == *id)
                .map(|a| format!("{id} was forwarded although it was not answered: {a:?}")),
        );
    }
    if observed.surplus_bytes > 0 {
        violations.push(format!("{} surplus bytes after the last response", observed.surplus_bytes));
    }
    violations
}

fn any_response_id() -> impl Strategy<Value = ResponseId> {
    prop_oneof![
        Just(ResponseId::Own),
        Just(ResponseId::None),
        Just(ResponseId::Foreign),
        Just(ResponseId::Both)
    ]
}

fn any_rejection() -> impl Strategy<Value = Rejection> {
    prop_oneof![Just(Rejection::Status(503)), Just(Rejection::Status(429)), Just(Rejection::Misdirected)]
}

fn any_behavior() -> impl Strategy<Value = Behavior> {
    let foreign = || prop_oneof![Just(ResponseId::None), Just(ResponseId::Foreign)];
    prop_oneof![
        16 => (any::<bool>(), proptest::bool::weighted(0.02))
            .prop_map(|(chunked, large)| {
                Behavior::Success { carried_id: ResponseId::Own, chunked: chunked && !large, large }
            }),
        1 => any_response_id()
            .prop_map(|carried_id| Behavior::Success { carried_id, chunked: false, large: false }),
        1 => Just(Behavior::WithoutKeepAlive),
        1 => Just(Behavior::Failure),
        4 => (any_rejection(), any_response_id()).prop_map(|(how, id)| Behavior::Rejects(how, id)),
        4 => (any_rejection(), foreign()).prop_map(|(how, id)| Behavior::SurplusBefore(how, id)),
        1 => foreign().prop_map(Behavior::SurplusSuccessBefore),
        3 => (any_rejection(), any_response_id(), 0_u8..12)
            .prop_map(|(how, id, n)| Behavior::SurplusAfter(how, id, n)),
        1 => prop_oneof![Just(408), Just(429), Just(503)].prop_map(Behavior::WithoutHeader),
        2 => (any::<bool>(), proptest::bool::weighted(0.1), any::<bool>())
            .prop_map(|(head, large, reset)| Behavior::Truncates { head, large, reset }),
        1 => Just(Behavior::Unframed),
        1 => Just(Behavior::Garbage),
        1 => prop_oneof![Just(Behavior::Unsealed), Just(Behavior::Encoded)],
        2 => prop_oneof![Just(Behavior::ResetUnread), Just(Behavior::ResetRead)],
        2 => prop_oneof![Just(Behavior::Closes), Just(Behavior::Silent)],
        2 => (any::<bool>(), 0_u8..12).prop_map(|(reset, n)| Behavior::ClosesIdle(reset, n)),
        2 => prop_oneof![Just(Behavior::HalfCloses), Just(Behavior::ConnectionClose)],
    ]
}

fn any_round() -> impl Strategy<Value = Round> {
    let request = (any::<bool>(), proptest::option::weighted(0.3, 0_u16..2_000))
        .prop_map(|(once, body)| RequestSpec { once, body });
    let after_sending = prop_oneof![
        8 => Just(AfterSending::Reads),
        1 => Just(AfterSending::HalfCloses),
        1 => (0_u8..40).prop_map(AfterSending::Resets),
    ];
    let pause_ms = prop_oneof![4 => Just(0_u16), 1 => 1_u16..2_000, 1 => 2_000_u16..9_000];
    (pause_ms, vec(request, 1..4), after_sending).prop_map(|(pause_ms, requests, after_sending)| Round {
        pause_ms,
        requests,
        after_sending,
    })
}

#[gtest]
fn each_response_reaches_its_client_and_no_request_runs_twice_whatever_servers_send() {
    // A fixed seed, so the same cases each time; GRANITELEAD_CASES sets their number.
    let cases = std::env::var("GRANITELEAD_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(1_000);
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    });
    let clients = vec(vec(any_round(), 1..12), 1..3);
    // Some behaviors are repeated, so that all three servers behave the same.
    let behaviors = prop_oneof![
        14 => any_behavior().prop_map(|behavior| vec![behavior]),
        1 => any_behavior().prop_map(|behavior| vec![behavior; 3]),
        1 => any_rejection().prop_map(|how| vec![Behavior::Rejects(how, ResponseId::Own); 3]),
    ];
    let script = vec(behaviors, 0..32).prop_map(|behaviors| behaviors.concat());
    let shut_down_at = proptest::option::weighted(0.2, any::<u16>());
    let scenario = (script, clients, shut_down_at, any::<u64>());
    // Requests, responses, successes, rejections, exchanges on a used connection; and exchanges by behavior.
    let (counts, behaviors) = (RefCell::new([0_u32; 5]), RefCell::new(BTreeMap::<String, u32>::new()));
    let result = runner.run(&scenario, |(script, rounds, shut_down_at, seed)| {
        let (records, observed) = run_scenario(script, rounds, shut_down_at, seed);
        let (mut counts, mut behaviors) = (counts.borrow_mut(), behaviors.borrow_mut());
        let is_rejection = |response: &&(String, ClientResponse)| matches!(response.1.status, 429 | 503);
        let arrivals = records.arrivals.borrow();
        counts[0] += observed.once.len() as u32;
        counts[1] += observed.responses.len() as u32;
        counts[2] += observed.responses.iter().filter(|(_, response)| response.status == 200).count() as u32;
        counts[3] += observed.responses.iter().filter(is_rejection).count() as u32;
        counts[4] += arrivals.iter().filter(|a| a.earlier_requests > 0).count() as u32;
        for arrival in arrivals.iter() {
            let name = format!("{:?}", arrival.behavior);
            let name = name.split([' ', '(']).next().unwrap_or_default().to_owned();
            *behaviors
                .entry(format!("{name} {}", if arrival.earlier_requests > 0 { "used" } else { "new" }))
                .or_default() += 1;
        }
        let violations = violations(&records, &observed);
        proptest::prop_assert!(violations.is_empty(), "{violations:#?}");
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
    let [requests, responses, successes, rejections, used] = counts.into_inner();
    println!(
        "{requests} requests, {responses} responses, {successes} successes, {rejections} rejections, \
         {used} on used connections"
    );
    println!("{:?}", behaviors.borrow());
    // The scenarios must contain enough of each kind.
    expect_that!(responses * 10, ge(requests * 5));
    expect_that!(successes * 10, ge(requests * 3));
    expect_that!(rejections, ge(requests / 400));
    expect_that!(used, ge(requests / 4));
}

fn round(requests: &[RequestSpec], pause_ms: u16) -> Round {
    Round { pause_ms, requests: requests.to_vec(), after_sending: AfterSending::Reads }
}

const IDEMPOTENT: RequestSpec = RequestSpec { once: false, body: None };
const ONCE: RequestSpec = RequestSpec { once: true, body: None };

/// Sends four requests at once, so that a connection to each server has been used, and after a pause one that
/// may run once. Returns the status of that one and its arrivals.
fn on_used_connection(behavior: Behavior, pause_ms: u16) -> (Option<u16>, Vec<Arrival>) {
    let rounds = vec![round(&[IDEMPOTENT; 4], 0), round(&[ONCE], pause_ms)];
    let (records, observed) =
        run_scenario([vec![SUCCESS; 4], vec![behavior]].concat(), vec![rounds], None, 3);
    assert_eq!(violations(&records, &observed), Vec::<String>::new(), "{behavior:?}");
    let response =
        observed.responses.iter().find(|(id, _)| id == "id-0-1-0").map(|(_, response)| response.status);
    let arrivals = records.arrivals.borrow().iter().filter(|a| a.id == "id-0-1-0").cloned().collect();
    (response, arrivals)
}

/// The same for a request that is the first of all, on a new connection.
fn on_new_connection(behavior: Behavior) -> (Option<u16>, Vec<Arrival>) {
    let (records, observed) = run_scenario(vec![behavior], vec![vec![round(&[ONCE], 0)]], None, 3);
    assert_eq!(violations(&records, &observed), Vec::<String>::new(), "{behavior:?}");
    let arrivals = records.arrivals.take();
    (observed.responses.first().map(|(_, response)| response.status), arrivals)
}

#[gtest]
fn a_request_that_may_run_once_is_retried_only_after_a_response_that_is_certainly_its_own() {
    use Rejection::{Misdirected, Status};
    use ResponseId::{Both, Foreign, None, Own};
    // The server's behavior; the status and the number of arrivals, on a new connection and on a used one.
    for (behavior, new, used) in [
        (Behavior::Rejects(Status(503), Own), (200, 2), (200, 2)),
        (Behavior::Rejects(Status(429), Own), (200, 2), (200, 2)),
        (Behavior::Rejects(Misdirected, Own), (200, 2), (200, 2)),
        (Behavior::Rejects(Status(503), None), (200, 2), (502, 1)),
        (Behavior::Rejects(Misdirected, None), (200, 2), (502, 1)),
        (Behavior::Rejects(Status(503), Foreign), (502, 1), (502, 1)),
        (Behavior::Rejects(Misdirected, Foreign), (502, 1), (502, 1)),
        (Behavior::Rejects(Status(503), Both), (502, 1), (502, 1)),
        (Behavior::Rejects(Misdirected, Both), (502, 1), (502, 1)),
        (Behavior::SurplusBefore(Status(503), Foreign), (502, 1), (502, 1)),
        (Behavior::SurplusBefore(Misdirected, Foreign), (502, 1), (502, 1)),
        (Behavior::SurplusSuccessBefore(Foreign), (502, 1), (502, 1)),
        (Behavior::SurplusSuccessBefore(None), (502, 1), (502, 1)),
        (Behavior::Success { carried_id: None, chunked: false, large: false }, (502, 1), (502, 1)),
        (Behavior::WithoutHeader(503), (502, 1), (502, 1)),
        (Behavior::WithoutHeader(429), (502, 1), (502, 1)),
        (Behavior::WithoutHeader(408), (502, 1), (502, 1)),
        (Behavior::Truncates { head: true, large: false, reset: false }, (502, 1), (502, 1)),
        (Behavior::Truncates { head: false, large: false, reset: false }, (502, 1), (502, 1)),
        (Behavior::Unframed, (502, 1), (502, 1)),
        (Behavior::Garbage, (502, 1), (502, 1)),
        (Behavior::ResetUnread, (502, 1), (502, 1)),
        (Behavior::ResetRead, (502, 1), (502, 1)),
        (Behavior::Closes, (502, 1), (502, 1)),
        (Behavior::Silent, (504, 1), (504, 1)),
        (Behavior::Failure, (500, 1), (500, 1)),
        (Behavior::Success { carried_id: Own, chunked: true, large: false }, (200, 1), (200, 1)),
    ] {
        let (response, arrivals) = on_new_connection(behavior);
        expect_that!((response, arrivals.len()), eq((Some(new.0), new.1)), "{behavior:?}, new");
        let (response, arrivals) = on_used_connection(behavior, 0);
        expect_that!((response, arrivals.len()), eq((Some(used.0), used.1)), "{behavior:?}, used");
        expect_that!(arrivals[0].earlier_requests, ge(1), "{behavior:?}, used");
    }
    let before = Behavior::SurplusBefore(Status(503), None);
    expect_that!(on_used_connection(before, 0).0, some(eq(502)));
}

#[gtest]
fn a_request_that_may_run_once_reuses_only_connections_that_are_clean_and_promised_to_stay_open() {
    // The previous behavior of all servers and the client's pause in ms; whether the connection may be
    // reused.
    for (behavior, pause_ms, used) in [
        (SUCCESS, 0, true),
        (SUCCESS, 2_900, true),
        (SUCCESS, 3_100, false),
        (Behavior::Failure, 0, true),
        (Behavior::WithoutKeepAlive, 0, false),
        (Behavior::ConnectionClose, 0, false),
        (Behavior::HalfCloses, 0, false),
        (Behavior::ClosesIdle(false, 0), 0, false),
        (Behavior::ClosesIdle(true, 0), 0, false),
        (Behavior::SurplusAfter(Rejection::Status(503), ResponseId::None, 0), 0, false),
        (Behavior::SurplusAfter(Rejection::Misdirected, ResponseId::Own, 0), 0, false),
        (Behavior::SurplusAfter(Rejection::Status(503), ResponseId::None, 1), 50, false),
    ] {
        for request in [ONCE, IDEMPOTENT] {
            let rounds = vec![round(&[IDEMPOTENT; 4], 0), round(&[request], pause_ms)];
            let (records, observed) = run_scenario(vec![behavior; 4], vec![rounds], None, 3);
            expect_that!(violations(&records, &observed), is_empty(), "{behavior:?} {pause_ms}");
            let arrivals = records.arrivals.borrow();
            let on: Vec<usize> =
                arrivals.iter().filter(|a| a.id == "id-0-1-0").map(|a| a.earlier_requests).collect();
            // Without a promise it is still reused for idempotent requests.
            let used = used || (behavior == Behavior::WithoutKeepAlive && !request.once);
            expect_that!(
                on,
                elements_are![predicate(|n: &usize| (*n > 0) == used)],
                "{behavior:?} {pause_ms} {request:?}"
            );
            let response: Vec<u16> = observed.responses.iter().map(|(_, response)| response.status).collect();
            expect_that!(response.last(), some(eq(&200)), "{behavior:?} {pause_ms} {request:?}");
        }
    }
}

#[gtest]
fn bytes_or_a_close_on_an_idle_connection_are_noticed_before_it_is_reused() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    // A surplus response without an id, a close, or a reset, each just before the next request is sent, so
    // that the runtime has not polled the socket since.
    for what in ["surplus", "close", "reset"] {
        LocalSet::new().block_on(&runtime, async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let at = listener.local_addr().unwrap();
            let pool = Rc::new(ConnectionPool::new(10));
            let send = |id: &'static str| {
                let request = hyper::Request::post("/once/").header("x-granitelead-attempt-id", id);
                let request = request.body(http_body_util::Full::default()).unwrap();
                pool.send(at, request, id.as_bytes(), RetrySafety::AtMostOnce, Duration::from_secs(3))
            };
            let serve = |mut stream: TcpStream, id: &'static str| async move {
                let mut bytes = vec![0; 8 << 10];
                let read = stream.read(&mut bytes).await.unwrap();
                assert!(request(&bytes[..read]).is_some_and(|(named, _)| named == id));
                let kept = format!("Keep-Alive: timeout={KEEP_ALIVE_S}\r\n");
                stream
                    .write_all(success_response(ResponseId::Own, id, "", "x", &kept).as_bytes())
                    .await
                    .unwrap();
                stream
            };
            let taken = async { serve(listener.accept().await.unwrap().0, "one").await };
            let ((outcome, _), stream) = tokio::join!(send("one"), taken);
            assert_eq!(outcome, Outcome::Answer(200));
            yield_times(50).await;
            match what {
                "surplus" => {
                    let surplus = rejection_response(Rejection::Status(503), ResponseId::None, "", "");
                    assert_eq!(stream.try_write(surplus.as_bytes()).unwrap(), surplus.len());
                }
                "close" => drop(stream),
                _ => {
                    stream.set_zero_linger().unwrap();
                    drop(stream);
                }
            }
            let taken = async { serve(listener.accept().await.unwrap().0, "two").await };
            let sent = async {
                tokio::select! {
                    sent = send("two") => sent.0,
                    _ = async { drop(taken.await); std::future::pending::<()>().await } => unreachable!(),
                }
            };
            expect_that!(sent.await, eq(&Outcome::Answer(200)), "{what}");
            expect_that!(pool.opened.get(), eq(2), "{what}");
        });
    }
}
