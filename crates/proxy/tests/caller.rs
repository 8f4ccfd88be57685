//! Every answer reaches the request that it belongs to, and what may run once goes out once: the clients' side, the
//! journey and the dials over real sockets, against servers that follow a script and keep books. The clock is the
//! test's own: nothing sleeps, and silence costs no time.
//!
//! What a server puts on a connection is drawn, exchange by exchange; the judgement is by the books alone.

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
use support::{configuration, header, hear, turns, Gatekeeper, Heard};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// What a server promises of idle connections, s.
const PROMISED: u64 = 5;
/// A body that is passed on as it comes, bytes.
const LARGE: usize = 600 << 10;

/// Whose id an answer carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Name {
    Own,
    None,
    /// That of the exchange before on this connection, or of nobody.
    Other,
    /// Its own and another.
    Both,
}

/// What turns a request away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Away {
    /// `Not-Executed`, with this status.
    Status(u16),
    /// 421 without it.
    Misdirected,
}

/// What a server does in one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    /// Runs it and answers whole.
    Good {
        name: Name,
        chunked: bool,
        large: bool,
    },
    /// The same without `Keep-Alive`.
    Unkept,
    /// Runs it and answers 500.
    Fails,
    /// Does not run it and says so.
    Away(Away, Name),
    /// An answer that belongs to no request comes first, then the own one: it runs.
    Before(Away, Name),
    BeforeGood(Name),
    /// It comes behind the own one, after so many turns.
    After(Away, Name, u8),
    /// Runs it, and answers as if it had not, without saying so.
    Unsaid(u16),
    /// Runs it and breaks off, in the head or the body, by a close or a reset.
    Cut {
        head: bool,
        large: bool,
        reset: bool,
    },
    /// Runs it and breaks off a body that only its end would end.
    Unframed,
    /// Runs it and sends what is no answer.
    Garbage,
    /// Runs it and answers without a seal, or encoded.
    Unsealed,
    Encoded,
    /// Resets the connection with the request unread, or read and not run.
    ResetUnread,
    ResetRead,
    /// Runs it and closes, or says nothing more.
    Closes,
    Silent,
    /// Answers, and then closes or resets after so many turns.
    Forgets(bool, u8),
    /// Answers, closes its side, and runs what comes then.
    HalfCloses,
    /// Answers with `Connection: close`, and runs what comes then.
    Last,
}

const GOOD: Act = Act::Good { name: Name::Own, chunked: false, large: false };

/// One request that has come to a server.
#[derive(Clone, Debug)]
struct Arrival {
    id: String,
    act: Act,
    ran: bool,
    /// It has told its caller, beyond doubt, that it did not run it.
    said: bool,
    /// The body of its success.
    body: Option<String>,
    /// How many came on this connection before.
    before: usize,
    /// Whether it may carry what may run once: it is new, or the last exchange ended well and it rested no longer
    /// than promised.
    sound: bool,
}

/// What happened in one day.
#[derive(Default)]
struct Books {
    script: RefCell<VecDeque<Act>>,
    arrivals: RefCell<Vec<Arrival>>,
    next: Cell<u32>,
    conversations: RefCell<Vec<JoinHandle<()>>>,
}

fn head(status: u16, name: Name, id: &str, other: &str, more: &str) -> String {
    let mut text = format!("HTTP/1.1 {status} Some\r\n{more}");
    if matches!(name, Name::Own | Name::Both) {
        text += &format!("X-Granitelead-Attempt-Id: {id}\r\n");
    }
    if matches!(name, Name::Other | Name::Both) {
        text += &format!("X-Granitelead-Attempt-Id: {other}\r\n");
    }
    text
}

fn away(how: Away, name: Name, id: &str, other: &str) -> String {
    let (status, more) = match how {
        Away::Status(status) => (status, "X-Granitelead-Not-Executed: 1\r\n"),
        Away::Misdirected => (421, "X-Granitelead-Instance-Id: i-other\r\n"),
    };
    let kept = format!("{more}Keep-Alive: timeout={PROMISED}\r\n");
    head(status, name, id, other, &kept) + "Content-Length: 0\r\n\r\n"
}

const SEAL: &str = "X-Granitelead-Server-Seal: s\r\n";

fn good(name: Name, id: &str, other: &str, body: &str, more: &str) -> String {
    let head = head(200, name, id, other, &format!("{SEAL}{more}"));
    format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A request whose head has come: its id, and how many bytes it has.
fn request(bytes: &[u8]) -> Option<(String, usize)> {
    let text = String::from_utf8_lossy(bytes);
    let head = text.split_once("\r\n\r\n")?.0;
    let length = header(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    Some((header(head, "x-granitelead-attempt-id").unwrap_or_default(), head.len() + 4 + length))
}

/// Closes a connection; what comes after is reset.
async fn close(mut stream: TcpStream) {
    let _ = stream.shutdown().await;
    let _ = stream.read(&mut [0]).await;
}

/// A server's side of one connection.
async fn converse(books: Rc<Books>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    // What is dropped is reset, so that no port stays taken; whoever closes says so.
    let _ = stream.set_zero_linger();
    let mut last = "nobody".to_owned();
    // When the last exchange ended, if it ended well.
    let mut ended: Option<Instant> = None;
    let mut answers = true;
    let mut bytes = vec![0; 8 << 10];
    for before in 0.. {
        let limit = Duration::from_secs(if before == 0 { 600 } else { PROMISED });
        let Ok(Ok(1..)) = timeout(limit, stream.peek(&mut bytes)).await else { return };
        let act = if answers { books.script.borrow_mut().pop_front().unwrap_or(GOOD) } else { Act::Closes };
        // Unnamed, and first on its connection, it would be this request's own: that it was not run, and it runs.
        let act = match act {
            Act::Before(how, Name::None) if before == 0 => Act::Before(how, Name::Other),
            act => act,
        };
        let mut read = 0;
        let (id, _) = loop {
            match request(&bytes[..read]) {
                Some((id, size)) if read >= size => break (id, size),
                _ => {}
            }
            if act == Act::ResetUnread {
                let seen = stream.peek(&mut bytes).await.unwrap_or(0);
                let Some(seen) = request(&bytes[..seen]) else { return };
                break seen;
            }
            match stream.read(&mut bytes[read..]).await {
                Ok(0) | Err(_) => return,
                Ok(n) => read += n,
            }
        };
        let number = books.next.replace(books.next.get() + 1);
        let body = format!("{id} ran as {number}");
        let rested = ended.take().map(|at| at.elapsed());
        let sound = before == 0 || rested.is_some_and(|rested| rested < Duration::from_secs(PROMISED));
        let unnamed = |name| name == Name::None && before == 0;
        let (ran, said) = match act {
            Act::Away(_, name) => (false, name == Name::Own || unnamed(name)),
            Act::ResetUnread | Act::ResetRead => (false, false),
            _ => (true, false),
        };
        let large = matches!(act, Act::Good { large: true, .. } | Act::Cut { large: true, .. });
        let body = if large { body + &"x".repeat(LARGE) } else { body };
        let own = matches!(
            act,
            Act::Good { name: Name::Own, .. }
                | Act::Unkept
                | Act::BeforeGood(_)
                | Act::Before(..)
                | Act::After(..)
                | Act::Forgets(..)
                | Act::HalfCloses
                | Act::Last
        );
        let arrival = Arrival {
            id: id.clone(),
            act,
            ran,
            said,
            body: (own && answers).then(|| body.clone()),
            before,
            sound,
        };
        books.arrivals.borrow_mut().push(arrival);
        let kept = format!("Keep-Alive: timeout={PROMISED}\r\n");
        let whole = |more: &str| good(Name::Own, &id, &last, &body, more);
        let text = match act {
            Act::Good { name, chunked: true, .. } => {
                let head =
                    head(200, name, &id, &last, &format!("{SEAL}{kept}Transfer-Encoding: chunked\r\n"));
                format!("{head}\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len())
            }
            Act::Good { name, .. } => good(name, &id, &last, &body, &kept),
            Act::Unkept => whole(""),
            Act::Fails => {
                let head = head(500, Name::Own, &id, &last, &kept);
                format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())
            }
            Act::Away(how, name) => away(how, name, &id, &last),
            Act::Before(how, name) => away(how, name, &id, &last) + &whole(&kept),
            Act::BeforeGood(name) => good(name, &id, &last, "another's", &kept) + &whole(&kept),
            Act::After(..) | Act::Forgets(..) | Act::HalfCloses => whole(&kept),
            Act::Unsaid(status) => head(status, Name::Own, &id, &last, &kept) + "Content-Length: 0\r\n\r\n",
            Act::Cut { head, .. } => {
                let mut text = whole(&kept);
                text.truncate(if head { 40 } else { text.len() - 3 });
                text
            }
            Act::Unframed => head(200, Name::Own, &id, &last, SEAL) + "\r\n" + &body[..3],
            Act::Garbage => "\u{1}\u{2} no answer\r\n\r\n".to_owned(),
            Act::Unsealed => head(200, Name::Own, &id, &last, "Content-Length: 1\r\n") + "\r\nx",
            Act::Encoded => whole("Content-Encoding: gzip\r\n"),
            Act::Last => whole("Connection: close\r\n"),
            Act::ResetUnread | Act::ResetRead | Act::Closes | Act::Silent => String::new(),
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        match act {
            Act::After(how, name, n) => {
                // At once it is there before anything else can be sent; later the next request may be on its way.
                ended = (n > 0).then(Instant::now);
                turns(n.into()).await;
                if stream.write_all(away(how, name, &id, &id).as_bytes()).await.is_err() {
                    return;
                }
            }
            Act::Cut { reset, .. } | Act::Forgets(reset, _) => {
                if let Act::Forgets(_, n) = act {
                    turns(n.into()).await;
                }
                if !reset {
                    close(stream).await;
                }
                return;
            }
            Act::ResetUnread | Act::ResetRead => return,
            Act::Unframed | Act::Closes => return close(stream).await,
            Act::HalfCloses => {
                let _ = stream.shutdown().await;
                answers = false;
            }
            Act::Last | Act::Silent => answers = false,
            Act::Good { name: Name::Own, .. } | Act::Fails | Act::Away(_, Name::Own) => {
                ended = Some(Instant::now());
            }
            Act::Away(_, Name::None) if before == 0 => ended = Some(Instant::now()),
            _ => {}
        }
        last = id;
    }
}

/// One request of a client.
#[derive(Clone, Copy, Debug)]
struct Ask {
    once: bool,
    /// Bytes of its body, if it has one.
    body: Option<u16>,
}

/// How a client goes on after it has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Then {
    Reads,
    /// Closes its side and reads.
    HalfCloses,
    /// Resets after so many turns.
    Resets(u8),
}

/// What a client sends at once.
#[derive(Clone, Debug)]
struct Round {
    /// How long it rests before, ms.
    rest: u16,
    asks: Vec<Ask>,
    then: Then,
}

/// What clients asked, and what they heard.
#[derive(Default)]
struct Asked {
    once: BTreeMap<String, bool>,
    heard: Vec<(String, Heard)>,
    /// Sent behind an answer that closes the connection: not read, by what was agreed, and sent again. None of them may
    /// have been passed on.
    behind: Vec<String>,
    /// Bytes that came while no request waited.
    unasked: usize,
    /// The gatekeeper has been told to end, and may take no connections any more.
    told_to_end: bool,
}

/// A client that keeps its connection as long as it lasts.
async fn client(front: SocketAddr, number: usize, rounds: Vec<Round>, asked: Rc<RefCell<Asked>>) {
    let mut held: Option<TcpStream> = None;
    for (r, round) in rounds.into_iter().enumerate() {
        sleep(Duration::from_millis(round.rest.into())).await;
        let mut stream = match held.take() {
            Some(stream) => stream,
            None => match TcpStream::connect(front).await {
                Ok(stream) => stream,
                Err(_) if asked.borrow().told_to_end => return,
                Err(e) => panic!("the gatekeeper takes connections: {e}"),
            },
        };
        let _ = stream.set_zero_linger();
        let mut text = String::new();
        let mut ids = Vec::new();
        for (a, ask) in round.asks.iter().enumerate() {
            let id = format!("id-{number}-{r}-{a}");
            let (method, length) = match ask.body {
                Some(length) => ("POST", format!("Content-Length: {length}\r\n")),
                None => ("GET", String::new()),
            };
            let path = if ask.once { "once" } else { "safe" };
            text += &format!(
                "{method} /{path}/{id} HTTP/1.1\r\nHost: h.example\r\nX-Granitelead-Attempt-Id: {id}\r\n\
                 X-Granitelead-Deadline-Milliseconds: 3000\r\n{length}\r\n{}",
                "b".repeat(ask.body.unwrap_or(0).into())
            );
            asked.borrow_mut().once.insert(id.clone(), ask.once);
            ids.push(id);
        }
        if stream.write_all(text.as_bytes()).await.is_err() {
            continue;
        }
        match round.then {
            Then::Reads => {}
            Then::HalfCloses => drop(stream.shutdown().await),
            Then::Resets(n) => {
                turns(n.into()).await;
                continue;
            }
        }
        let mut bytes = Vec::new();
        let mut whole = round.then == Then::Reads;
        let mut ids = ids.into_iter();
        while let Some(id) = ids.next() {
            match hear(&mut stream, &mut bytes).await {
                Some(heard) => {
                    if heard.closes {
                        asked.borrow_mut().behind.extend(ids.clone());
                        whole = false;
                    }
                    asked.borrow_mut().heard.push((id, heard));
                }
                None => {
                    whole = false;
                    break;
                }
            }
        }
        if whole {
            asked.borrow_mut().unasked += bytes.len();
            held = Some(stream);
        }
    }
}

/// Plays one day: what servers do in the order in which requests come to them, and what clients send. At the end of
/// the round `leaves` of the first client the gatekeeper is told to end, as by SIGTERM.
fn play(script: Vec<Act>, rounds: Vec<Vec<Round>>, leaves: Option<u16>, seed: u64) -> (Rc<Books>, Asked) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async move {
        let books = Rc::new(Books { script: RefCell::new(script.into()), ..Books::default() });
        let mut servers = Vec::new();
        for _ in 0..3 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            servers.push(listener.local_addr().unwrap());
            let books = books.clone();
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let conversation = spawn_local(converse(books.clone(), stream));
                    books.conversations.borrow_mut().push(conversation);
                }
            });
        }
        let gatekeeper = Rc::new(Gatekeeper::start(configuration(3_000, 3), &servers, seed).await);
        let at = gatekeeper.address;
        let asked = Rc::new(RefCell::new(Asked::default()));
        let all = rounds.into_iter().enumerate();
        let tasks: Vec<_> =
            all.map(|(n, rounds)| spawn_local(client(at, n, rounds, asked.clone()))).collect();
        if let Some(after) = leaves {
            turns(usize::from(after % 256)).await;
            sleep(Duration::from_millis(u64::from(after / 256) * 20)).await;
            asked.borrow_mut().told_to_end = true;
            let gatekeeper = gatekeeper.clone();
            spawn_local(async move { gatekeeper.terminate().await });
        }
        for task in tasks {
            task.await.unwrap();
        }
        while gatekeeper.front.open.get() > 0 {
            sleep(Duration::from_millis(100)).await;
        }
        let conversations = books.conversations.take();
        for done in conversations.into_iter().filter(JoinHandle::is_finished) {
            done.await.expect("no server fails by itself");
        }
        (books, asked.take())
    })
}

/// What the books say against what clients heard: every broken rule.
fn faults(books: &Books, asked: &Asked) -> Vec<String> {
    let mut found = Vec::new();
    let arrivals = books.arrivals.borrow();
    for (id, once) in asked.once.iter().filter(|(_, once)| **once) {
        let own: Vec<&Arrival> = arrivals.iter().filter(|a| a.id == *id).collect();
        for earlier in own.iter().rev().skip(1).filter(|a| a.ran || !a.said) {
            found.push(format!("{id} ({once}) went out again after {earlier:?}"));
        }
        for on in own.iter().filter(|a| !a.sound) {
            found.push(format!("{id} went on a connection that may end: {on:?}"));
        }
    }
    for (id, heard) in &asked.heard {
        let mut own = arrivals.iter().filter(|a| a.id == *id);
        if heard.name.as_ref().is_some_and(|name| name != id) {
            found.push(format!("{id} heard another's answer: {}", heard.status));
        }
        match heard.status {
            200..=299 if heard.name.is_some() && own.any(|a| a.body.as_ref() == Some(&heard.body)) => {}
            200..=299 => found.push(format!("{id} heard a success that no server gave: {}", heard.body)),
            408 | 421 | 429 | 503 => {
                found.extend(own.filter(|a| a.ran).map(|a| format!("{id} heard {}: {a:?}", heard.status)));
            }
            500 if heard.name.is_none() || !heard.body.starts_with(&format!("{id} ran")) => {
                found.push(format!("{id} heard another's failure: {}", heard.body));
            }
            _ => {}
        }
    }
    for id in &asked.behind {
        found.extend(
            arrivals.iter().filter(|a| a.id == *id).map(|a| format!("{id} is sent again, after {a:?}")),
        );
    }
    if asked.unasked > 0 {
        found.push(format!("{} bytes that nobody asked for", asked.unasked));
    }
    found
}

fn any_name() -> impl Strategy<Value = Name> {
    prop_oneof![Just(Name::Own), Just(Name::None), Just(Name::Other), Just(Name::Both)]
}

fn any_away() -> impl Strategy<Value = Away> {
    prop_oneof![Just(Away::Status(503)), Just(Away::Status(429)), Just(Away::Misdirected)]
}

fn any_act() -> impl Strategy<Value = Act> {
    let foreign = || prop_oneof![Just(Name::None), Just(Name::Other)];
    prop_oneof![
        16 => (any::<bool>(), proptest::bool::weighted(0.02))
            .prop_map(|(chunked, large)| Act::Good { name: Name::Own, chunked: chunked && !large, large }),
        1 => any_name().prop_map(|name| Act::Good { name, chunked: false, large: false }),
        1 => Just(Act::Unkept),
        1 => Just(Act::Fails),
        4 => (any_away(), any_name()).prop_map(|(how, name)| Act::Away(how, name)),
        4 => (any_away(), foreign()).prop_map(|(how, name)| Act::Before(how, name)),
        1 => foreign().prop_map(Act::BeforeGood),
        3 => (any_away(), any_name(), 0_u8..12).prop_map(|(how, name, n)| Act::After(how, name, n)),
        1 => prop_oneof![Just(408), Just(429), Just(503)].prop_map(Act::Unsaid),
        2 => (any::<bool>(), proptest::bool::weighted(0.1), any::<bool>())
            .prop_map(|(head, large, reset)| Act::Cut { head, large, reset }),
        1 => Just(Act::Unframed),
        1 => Just(Act::Garbage),
        1 => prop_oneof![Just(Act::Unsealed), Just(Act::Encoded)],
        2 => prop_oneof![Just(Act::ResetUnread), Just(Act::ResetRead)],
        2 => prop_oneof![Just(Act::Closes), Just(Act::Silent)],
        2 => (any::<bool>(), 0_u8..12).prop_map(|(reset, n)| Act::Forgets(reset, n)),
        2 => prop_oneof![Just(Act::HalfCloses), Just(Act::Last)],
    ]
}

fn any_round() -> impl Strategy<Value = Round> {
    let ask = (any::<bool>(), proptest::option::weighted(0.3, 0_u16..2_000))
        .prop_map(|(once, body)| Ask { once, body });
    let then = prop_oneof![
        8 => Just(Then::Reads),
        1 => Just(Then::HalfCloses),
        1 => (0_u8..40).prop_map(Then::Resets),
    ];
    let rest = prop_oneof![4 => Just(0_u16), 1 => 1_u16..2_000, 1 => 2_000_u16..9_000];
    (rest, vec(ask, 1..4), then).prop_map(|(rest, asks, then)| Round { rest, asks, then })
}

#[gtest]
fn whatever_servers_put_on_connections_each_answer_reaches_its_caller_and_nothing_runs_twice() {
    // The same cases each time; GRANITELEAD_CASES asks for more.
    let cases = std::env::var("GRANITELEAD_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(1_000);
    let mut runner = TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    });
    let clients = vec(vec(any_round(), 1..12), 1..3);
    // Some of it is what all servers do in turn.
    let acts = prop_oneof![
        14 => any_act().prop_map(|act| vec![act]),
        1 => any_act().prop_map(|act| vec![act; 3]),
        1 => any_away().prop_map(|how| vec![Act::Away(how, Name::Own); 3]),
    ];
    let script = vec(acts, 0..32).prop_map(|acts| acts.concat());
    let leaves = proptest::option::weighted(0.2, any::<u16>());
    let day = (script, clients, leaves, any::<u64>());
    // Requests, answers, successes, promises, exchanges on a used connection; and what came behind each act.
    let (counts, acts) = (RefCell::new([0_u32; 5]), RefCell::new(BTreeMap::<String, u32>::new()));
    let ran = runner.run(&day, |(script, rounds, leaves, seed)| {
        let (books, asked) = play(script, rounds, leaves, seed);
        let (mut counts, mut acts) = (counts.borrow_mut(), acts.borrow_mut());
        let promised = |heard: &&(String, Heard)| matches!(heard.1.status, 429 | 503);
        let arrivals = books.arrivals.borrow();
        counts[0] += asked.once.len() as u32;
        counts[1] += asked.heard.len() as u32;
        counts[2] += asked.heard.iter().filter(|(_, heard)| heard.status == 200).count() as u32;
        counts[3] += asked.heard.iter().filter(promised).count() as u32;
        counts[4] += arrivals.iter().filter(|a| a.before > 0).count() as u32;
        for arrival in arrivals.iter() {
            let name = format!("{:?}", arrival.act);
            let name = name.split([' ', '(']).next().unwrap_or_default().to_owned();
            *acts
                .entry(format!("{name} {}", if arrival.before > 0 { "used" } else { "new" }))
                .or_default() += 1;
        }
        let found = faults(&books, &asked);
        proptest::prop_assert!(found.is_empty(), "{found:#?}");
        Ok(())
    });
    if let Err(fault) = ran {
        panic!("{fault}");
    }
    let [requests, answers, successes, promises, used] = counts.into_inner();
    println!(
        "{requests} requests, {answers} answers, {successes} successes, {promises} promises, {used} on used"
    );
    println!("{:?}", acts.borrow());
    // The days are no empty ones.
    expect_that!(answers * 10, ge(requests * 5));
    expect_that!(successes * 10, ge(requests * 3));
    expect_that!(promises, ge(requests / 400));
    expect_that!(used, ge(requests / 4));
}

fn reads(asks: &[Ask], rest: u16) -> Round {
    Round { rest, asks: asks.to_vec(), then: Then::Reads }
}

const SAFE: Ask = Ask { once: false, body: None };
const ONCE: Ask = Ask { once: true, body: None };

/// Four requests at once, so that a connection to each server is in use, and one more that may run once, after a
/// rest. Gives what it heard and where it came.
fn after_four(act: Act, rest: u16) -> (Option<u16>, Vec<Arrival>) {
    let rounds = vec![reads(&[SAFE; 4], 0), reads(&[ONCE], rest)];
    let (books, asked) = play([vec![GOOD; 4], vec![act]].concat(), vec![rounds], None, 3);
    assert_eq!(faults(&books, &asked), Vec::<String>::new(), "{act:?}");
    let heard = asked.heard.iter().find(|(id, _)| id == "id-0-1-0").map(|(_, heard)| heard.status);
    let arrivals = books.arrivals.borrow().iter().filter(|a| a.id == "id-0-1-0").cloned().collect();
    (heard, arrivals)
}

/// The same as the first request of all.
fn first(act: Act) -> (Option<u16>, Vec<Arrival>) {
    let (books, asked) = play(vec![act], vec![vec![reads(&[ONCE], 0)]], None, 3);
    assert_eq!(faults(&books, &asked), Vec::<String>::new(), "{act:?}");
    let arrivals = books.arrivals.take();
    (asked.heard.first().map(|(_, heard)| heard.status), arrivals)
}

#[gtest]
fn what_may_run_once_goes_on_only_where_the_answer_can_be_no_others() {
    use Away::{Misdirected, Status};
    use Name::{Both, None, Other, Own};
    // What the server does; the answer and how many servers got it, on a new connection and on a used one.
    for (act, new, used) in [
        (Act::Away(Status(503), Own), (200, 2), (200, 2)),
        (Act::Away(Status(429), Own), (200, 2), (200, 2)),
        (Act::Away(Misdirected, Own), (200, 2), (200, 2)),
        (Act::Away(Status(503), None), (200, 2), (502, 1)),
        (Act::Away(Misdirected, None), (200, 2), (502, 1)),
        (Act::Away(Status(503), Other), (502, 1), (502, 1)),
        (Act::Away(Misdirected, Other), (502, 1), (502, 1)),
        (Act::Away(Status(503), Both), (502, 1), (502, 1)),
        (Act::Away(Misdirected, Both), (502, 1), (502, 1)),
        (Act::Before(Status(503), Other), (502, 1), (502, 1)),
        (Act::Before(Misdirected, Other), (502, 1), (502, 1)),
        (Act::BeforeGood(Other), (502, 1), (502, 1)),
        (Act::BeforeGood(None), (502, 1), (502, 1)),
        (Act::Good { name: None, chunked: false, large: false }, (502, 1), (502, 1)),
        (Act::Unsaid(503), (502, 1), (502, 1)),
        (Act::Unsaid(429), (502, 1), (502, 1)),
        (Act::Unsaid(408), (502, 1), (502, 1)),
        (Act::Cut { head: true, large: false, reset: false }, (502, 1), (502, 1)),
        (Act::Cut { head: false, large: false, reset: false }, (502, 1), (502, 1)),
        (Act::Unframed, (502, 1), (502, 1)),
        (Act::Garbage, (502, 1), (502, 1)),
        (Act::ResetUnread, (502, 1), (502, 1)),
        (Act::ResetRead, (502, 1), (502, 1)),
        (Act::Closes, (502, 1), (502, 1)),
        (Act::Silent, (504, 1), (504, 1)),
        (Act::Fails, (500, 1), (500, 1)),
        (Act::Good { name: Own, chunked: true, large: false }, (200, 1), (200, 1)),
    ] {
        let (heard, arrivals) = first(act);
        expect_that!((heard, arrivals.len()), eq((Some(new.0), new.1)), "{act:?}, new");
        let (heard, arrivals) = after_four(act, 0);
        expect_that!((heard, arrivals.len()), eq((Some(used.0), used.1)), "{act:?}, used");
        expect_that!(arrivals[0].before, ge(1), "{act:?}, used");
    }
    let before = Act::Before(Status(503), None);
    expect_that!(after_four(before, 0).0, some(eq(502)));
}

#[gtest]
fn what_may_run_once_goes_only_on_connections_that_ended_well_and_are_promised_to_stand() {
    // What all servers did before, and how long the client rested, ms; whether the connection may be used again.
    for (act, rest, used) in [
        (GOOD, 0, true),
        (GOOD, 2_900, true),
        (GOOD, 3_100, false),
        (Act::Fails, 0, true),
        (Act::Unkept, 0, false),
        (Act::Last, 0, false),
        (Act::HalfCloses, 0, false),
        (Act::Forgets(false, 0), 0, false),
        (Act::Forgets(true, 0), 0, false),
        (Act::After(Away::Status(503), Name::None, 0), 0, false),
        (Act::After(Away::Misdirected, Name::Own, 0), 0, false),
        (Act::After(Away::Status(503), Name::None, 1), 50, false),
    ] {
        for ask in [ONCE, SAFE] {
            let rounds = vec![reads(&[SAFE; 4], 0), reads(&[ask], rest)];
            let (books, asked) = play(vec![act; 4], vec![rounds], None, 3);
            expect_that!(faults(&books, &asked), is_empty(), "{act:?} {rest}");
            let arrivals = books.arrivals.borrow();
            let on: Vec<usize> = arrivals.iter().filter(|a| a.id == "id-0-1-0").map(|a| a.before).collect();
            // Without a promise it is still used for what may run again.
            let used = used || (act == Act::Unkept && !ask.once);
            expect_that!(
                on,
                elements_are![predicate(|n: &usize| (*n > 0) == used)],
                "{act:?} {rest} {ask:?}"
            );
            let heard: Vec<u16> = asked.heard.iter().map(|(_, heard)| heard.status).collect();
            expect_that!(heard.last(), some(eq(&200)), "{act:?} {rest} {ask:?}");
        }
    }
}

#[gtest]
fn what_came_while_a_connection_rested_is_seen_before_it_is_used_again() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    // A surplus without an id, a close, a reset: each in the very turn in which the next request goes out, so that
    // the runtime has not looked at the socket since.
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
                let kept = format!("Keep-Alive: timeout={PROMISED}\r\n");
                stream.write_all(good(Name::Own, id, "", "x", &kept).as_bytes()).await.unwrap();
                stream
            };
            let taken = async { serve(listener.accept().await.unwrap().0, "one").await };
            let ((outcome, _), stream) = tokio::join!(send("one"), taken);
            assert_eq!(outcome, Outcome::Answer(200));
            turns(50).await;
            match what {
                "surplus" => {
                    let surplus = away(Away::Status(503), Name::None, "", "");
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
