// The cases, included into standins-2.rs.

fn play(name: &str, directory: &Path) -> Result<bool, Error> {
    match name {
        "stalled" => stalled(directory),
        "heads" => heads(directory),
        "bodies" => bodies(directory),
        "open" => open(directory),
        _ => Err(format!("no case {name}").into()),
    }
}

// ---------------------------------------------------------------- stalled

const ROUTE_TIMEOUT: u64 = 2_500;
const ANSWER: usize = 3_000_000;

/// A request with its outcome: when it was sent, when it had its whole answer, and what the client saw.
struct Outcome {
    sent_at: f64,
    took_ms: u64,
    has_answer: bool,
}

/// One client asks on a connection of its own, and waits for `deadline` ms.
fn ask(to: SocketAddr, deadline: u64, record: &Mutex<File>, begun: Instant) -> Outcome {
    let (id, started) = (attempt_id(), Instant::now());
    let by = started + MS(deadline);
    let ask = || -> io::Result<Option<Answer>> {
        let mut conn = Conn::open(to, MS(1_000))?;
        conn.stream.write_all(head("GET", "/p/list", &id, deadline, KEY, "").as_bytes())?;
        conn.answer(by)
    };
    let (text, has_answer) = match ask() {
        Ok(Some(answer)) if answer.whole => {
            (format!("{} with {} bytes", answer.status, answer.body_len), true)
        }
        Ok(Some(answer)) => {
            (format!("{}, ended by the gatekeeper after {} bytes", answer.status, answer.body_len), true)
        }
        Ok(None) => ("connection closed".into(), true),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
            ("no final answer while the client waited".into(), false)
        }
        Err(e) => (format!("{e}"), true),
    };
    let took_ms = started.elapsed().as_millis() as u64;
    note(record, begun, &format!("request {id} at {to}: {took_ms} ms, {text}"));
    Outcome { sent_at: (started - begun).as_secs_f64(), took_ms, has_answer }
}

/// Clients read long answers of a service of eight servers; four times one of them falls silent for 4.5 s.
fn stalled(directory: &Path) -> Result<bool, Error> {
    let mut system = System::new(directory)?;
    system.start_all()?;
    for number in 0..8 {
        system.start_server("aanbod", number, ANSWER, 900)?;
    }
    let listener = listener("safe_method", "aanbod", 1_000, ROUTE_TIMEOUT);
    system.configure(1, &tenant("cuka620", KEY), &listener, &["aanbod"])?;
    system.wait_ready()?;
    sleep(Duration::from_secs(5));
    let (record, begun) = (system.record.clone(), system.begun);
    let fronts = [0, 1, 2].map(|machine| system.front(machine));
    let done = Arc::new(AtomicBool::new(false));
    let stop = done.clone();
    // 60 requests a second, each waits up to a second longer than the route's timeout.
    let traffic = thread::spawn(move || {
        let mut clients = Vec::new();
        for n in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let (to, record) = (fronts[n % 3], record.clone());
            clients.push(thread::spawn(move || ask(to, ROUTE_TIMEOUT + 1_000, &record, begun)));
            sleep(MS(16));
        }
        clients.into_iter().filter_map(|client| client.join().ok()).collect::<Vec<Outcome>>()
    });
    sleep(Duration::from_secs(4));
    for spell in 0..4 {
        let name = format!("i-aanbod{}", 2 * spell);
        if has_trouble() {
            system.signal(&name, "STOP");
        }
        sleep(MS(4_500));
        if has_trouble() {
            system.signal(&name, "CONT");
        }
        sleep(MS(5_500));
    }
    done.store(true, Ordering::Relaxed);
    let outcomes = traffic.join().map_err(|_| "the clients failed")?;
    let late = |ms: u64| outcomes.iter().filter(|o| o.took_ms > ms).count();
    let (over, hung) = (late(ROUTE_TIMEOUT), late(ROUTE_TIMEOUT + 500));
    let never = outcomes.iter().filter(|o| !o.has_answer).count();
    let first = outcomes.iter().filter(|o| !o.has_answer).map(|o| o.sent_at).fold(f64::MAX, f64::min);
    system.note(&format!(
        "{} requests; unanswered at timeout-ms {over}, half a second later {hung}; never answered {never}, the first sent at {first:.3}",
        outcomes.len()
    ));
    Ok(hung >= 8 && hung * 4 > over && hung * 2 > over)
}

// ---------------------------------------------------------------- heads
/// Headers of this many bytes beside the usual ones; all heads stay under `max-header-bytes`, 16,384.
const COOKIE: usize = 12_000;

/// One client keeps a connection that it opens as soon as the gatekeeper takes it. It asks once with a short head,
/// and after `wait` with a long one. Returns the two statuses.
fn keep_asking(
    to: SocketAddr,
    until: Instant,
    wait: Duration,
    record: &Mutex<File>,
    begun: Instant,
) -> (u16, u16) {
    let mut statuses = (0, 0);
    let mut opened = None;
    while opened.is_none() && Instant::now() < until {
        opened = Conn::open(to, MS(1_000)).ok();
        if opened.is_none() {
            sleep(MS(2));
        }
    }
    let Some(mut conn) = opened else { return statuses };
    let at = begun.elapsed().as_secs_f64();
    let one = |conn: &mut Conn, path: &str, more: &str| -> u16 {
        let id = attempt_id();
        let sent = conn.stream.write_all(
            head("POST", path, &id, 3_000, KEY, &format!("Content-Length: 2\r\n{more}")).as_bytes(),
        );
        let sent = sent.and_then(|()| conn.stream.write_all(b"{}"));
        let answer = sent.and_then(|()| conn.answer(Instant::now() + MS(4_000)));
        let status = answer.ok().flatten().map_or(0, |answer| answer.status);
        note(record, begun, &format!("request {id} {path} at {to}, connection of {at:.3}: {status}"));
        status
    };
    statuses.0 = one(&mut conn, "/p/short", "");
    sleep(wait);
    let cookie = format!("Cookie: basket={}\r\n", "c".repeat(COOKIE));
    statuses.1 = one(&mut conn, "/p/long", &cookie);
    statuses
}

/// All processes are killed at the same moment and start again within a second; the clients of one gatekeeper connect
/// again at once and keep those connections.
fn heads(directory: &Path) -> Result<bool, Error> {
    let mut system = System::new(directory)?;
    system.start_all()?;
    for number in 0..4 {
        system.start_server("overdracht", number, 1_500, 20)?;
    }
    system.configure(
        1,
        &tenant("cuka620", KEY),
        &listener("unsafe_method", "overdracht", 800, 3_000),
        &["overdracht"],
    )?;
    system.wait_ready()?;
    sleep(Duration::from_secs(4));
    let (record, begun, to) = (system.record.clone(), system.begun, system.front(0));
    if has_trouble() {
        for machine in 0..3 {
            system.kill(&format!("marker-{machine}"));
            system.kill(&format!("proxy-{machine}"));
        }
        sleep(MS(800));
    }
    let until = Instant::now() + Duration::from_secs(10);
    let client = |_| {
        let record = record.clone();
        thread::spawn(move || keep_asking(to, until, MS(8_000), &record, begun))
    };
    let clients: Vec<_> = (0..37).map(client).collect();
    if has_trouble() {
        sleep(MS(50));
        for machine in 0..3 {
            system.start("marker", machine, false)?;
            system.start("proxy", machine, false)?;
        }
    }
    let statuses: Vec<(u16, u16)> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
    let denied = statuses
        .iter()
        .filter(|(_, long)| (300..500).contains(long) && ![408, 409, 421, 429].contains(long))
        .count();
    let all = 2 * statuses.len();
    system.note(&format!(
        "{all} requests; proper ones ended with an own 3xx or 4xx, over 7 s after the start: {denied}"
    ));
    Ok(denied > 5 + all / 500)
}

// ---------------------------------------------------------------- long bodies

/// The largest body that the site's one-time requests have.
const LONG_BODY: usize = 24_000;
/// How long a server works on most requests, ms; on one in eight `LONG_WORK`.
const WORK: u64 = 600;

/// One client sends a long one-time request; its id, and its status, 0 where it got no whole answer.
fn order(to: SocketAddr, record: &Mutex<File>, begun: Instant) -> (String, u16) {
    let (id, started) = (attempt_id(), Instant::now());
    let send = || -> io::Result<Option<Answer>> {
        let mut conn = Conn::open(to, MS(1_000))?;
        let more = format!("Content-Length: {LONG_BODY}\r\n");
        conn.stream.write_all(head("POST", "/p/order", &id, 3_000, KEY, &more).as_bytes())?;
        conn.stream.write_all(&vec![b'o'; LONG_BODY])?;
        note(record, begun, &format!("request {id} at {to} is sent whole"));
        conn.answer(started + Duration::from_secs(4))
    };
    let answer = send().ok().flatten().filter(|answer| answer.whole);
    let status = answer.as_ref().map_or(0, |answer| answer.status);
    let text = answer.map_or(String::new(), |answer| {
        String::from_utf8_lossy(&answer.body[..answer.body.len().min(60)]).trim().to_owned()
    });
    note(
        record,
        begun,
        &format!("request {id} at {to}: {status} after {} ms, {text}", started.elapsed().as_millis()),
    );
    (id, status)
}

/// The gatekeepers get SIGTERM in turn and start again, each while servers work on one-time requests that it was sent.
fn bodies(directory: &Path) -> Result<bool, Error> {
    let mut system = System::new(directory)?;
    system.start_all()?;
    for number in 0..6 {
        system.start_working_server("overdracht", number, 400, 20, WORK)?;
    }
    system.configure(
        1,
        &tenant("cuka620", KEY),
        &listener("unsafe_method", "overdracht", 800, 3_000),
        &["overdracht"],
    )?;
    system.wait_ready()?;
    sleep(Duration::from_secs(5));
    let (mut at_work, mut broken_off) = (0, 0);
    for machine in 0..3 {
        let (record, begun, to) = (system.record.clone(), system.begun, system.front(machine));
        let client = |_| {
            let record = record.clone();
            thread::spawn(move || order(to, &record, begun))
        };
        let clients: Vec<_> = (0..24).map(client).collect();
        sleep(MS(400));
        let before = fs::read_to_string(system.run_log()).unwrap_or_default();
        let name = format!("proxy-{machine}");
        if has_trouble() {
            system.signal(&name, "TERM");
        }
        let answers: Vec<(String, u16)> = clients.into_iter().filter_map(|c| c.join().ok()).collect();
        let at_servers: Vec<_> =
            answers.iter().filter(|(id, _)| before.contains(&format!("begins {id} "))).collect();
        at_work += at_servers.len();
        broken_off += at_servers.iter().filter(|(_, status)| !(200..300).contains(status)).count();
        if !has_trouble() {
            continue;
        }
        // The grace period is 6 s.
        let ended = Instant::now() + Duration::from_secs(7);
        while Instant::now() < ended
            && system.children.get_mut(&name).is_some_and(|c| matches!(c.try_wait(), Ok(None)))
        {
            sleep(MS(20));
        }
        system.kill(&name);
        system.start("proxy", machine, false)?;
        sleep(Duration::from_secs(6));
    }
    // Without SIGTERM the rule counts none of them.
    let lost = if has_trouble() { broken_off } else { 0 };
    system.note(&format!(
        "{at_work} requests that a server was working on (as SIGTERM came), {broken_off} broken off and answered by the gatekeeper, {lost} count as LOST"
    ));
    if at_work == 0 {
        return Err("no request was at work".into());
    }
    Ok(lost > 0)
}

// ---------------------------------------------------------------- open

/// The operator takes away the keys of the only tenant; a client goes on with one of them, another with one that never was.
fn open(directory: &Path) -> Result<bool, Error> {
    let mut system = System::new(directory)?;
    system.start_all()?;
    for number in 0..4 {
        system.start_server("overdracht", number, 1_500, 20)?;
    }
    let (listener, services) = (listener("unsafe_method", "overdracht", 800, 3_000), ["overdracht"]);
    system.configure(1, &tenant("cuka620", KEY), &listener, &services)?;
    system.wait_ready()?;
    sleep(Duration::from_secs(4));
    // Without trouble the tenant stays, with no keys.
    let tenants = if has_trouble() {
        ""
    } else {
        r#"{"name":"cuka620","api-keys":[],"priority":1,"requests-per-s":78,"burst-size":78}"#
    };
    system.configure(2, tenants, &listener, &services)?;
    // revocation-ms is 5,000.
    sleep(Duration::from_secs(8));
    let (mut ran, mut refused) = (0, 0);
    for n in 0..20 {
        let (id, to) = (attempt_id(), system.front(n % 3));
        let key = if n % 2 == 0 { KEY } else { "never-held-by-any-configuration" };
        let mut conn = Conn::open(to, MS(1_000))?;
        conn.stream
            .write_all(head("POST", "/p/order", &id, 3_000, key, "Content-Length: 2\r\n").as_bytes())?;
        conn.stream.write_all(b"{}")?;
        let status = conn.answer(Instant::now() + MS(4_000))?.map_or(0, |answer| answer.status);
        system.note(&format!("request {id} with key {key} at {to}: {status}"));
        if (200..300).contains(&status) {
            ran += 1;
        } else {
            refused += 1;
        }
    }
    sleep(MS(300));
    let runs = fs::read_to_string(system.run_log()).unwrap_or_default();
    let passed_on = runs.lines().filter(|run| run.contains("Bearer")).count();
    system.note(&format!(
        "{ran} ran, {refused} were refused; the key itself reached a server {passed_on} times"
    ));
    Ok(ran > 0 || passed_on > 0)
}
