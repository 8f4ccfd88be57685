//! Resale servers on sockets: each the model of one, and what can be done to it.

use super::{listener, FleetError};
use crate::history::{History, Seen};
use crate::model::server::{ResaleServer, Spec, Taken};
use bytes::Bytes;
use granitelead_decisions::Micros;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, sleep_until, Instant};

/// So many of so many answers of a failing server are errors.
const FAILING: (u64, u64) = (4, 5);
/// A listener is closed within this.
const CLOSES: Duration = Duration::from_secs(5);
/// A key's repeats are dropped for so long.
const KEY_FOR: Micros = 4_000_000;

/// A process of a server.
struct Process {
    model: RefCell<ResaleServer>,
    waits: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    wakes: Notify,
    next: Cell<u64>,
}

impl Process {
    /// These are done.
    fn finish(&self, done: Vec<u64>) {
        for id in done {
            let wait = self.waits.borrow_mut().remove(&id);
            // Who has left meanwhile needs no word.
            let _ = wait.map(|wait| wait.send(()));
        }
    }
}

/// A server: its machine, and the process on it while there is one.
pub struct Server {
    /// Its name.
    pub uid: String,
    /// Its zone.
    pub zone: String,
    /// Where it is.
    pub at: SocketAddr,
    /// Requests that reached it.
    pub attempts: Cell<u64>,
    /// When its process started, Unix time in ms; 0 for long ago.
    pub boot_ms: Cell<u64>,
    history: Rc<History>,
    spec: Spec,
    slow: Cell<f64>,
    failing: Cell<bool>,
    since: Instant,
    process: RefCell<Option<Rc<Process>>>,
    /// Its listener and connections, which end with the process.
    tasks: RefCell<Vec<AbortHandle>>,
}

impl Server {
    /// One that runs, warm or freshly started.
    pub async fn start(
        at: SocketAddr,
        uid: String,
        zone: String,
        spec: Spec,
        warm: bool,
        history: Rc<History>,
    ) -> Result<Rc<Server>, FleetError> {
        let (listener, at) = listener("a server", at).await?;
        let it = Rc::new(Server {
            uid,
            zone,
            at,
            attempts: Cell::new(0),
            boot_ms: Cell::new(if warm { 0 } else { unix_ms() }),
            history,
            spec,
            slow: Cell::new(1.0),
            failing: Cell::new(false),
            since: Instant::now(),
            process: RefCell::default(),
            tasks: RefCell::default(),
        });
        it.begin(listener, (!warm).then_some(0));
        Ok(it)
    }

    fn now(&self) -> Micros {
        self.since.elapsed().as_micros() as Micros
    }

    /// Requests in hand, none where there is no process.
    pub fn inflight(&self) -> Option<usize> {
        self.process.borrow().as_ref().map(|process| process.model.borrow().inflight())
    }

    /// Whether it has a process.
    pub fn runs(&self) -> bool {
        self.process.borrow().is_some()
    }

    /// How many times slower it is than it should be, from now on.
    pub fn set_slow(&self, times: f64) {
        self.slow.set(times);
        let Some(process) = self.process.borrow().clone() else { return };
        let done = process.model.borrow_mut().set_slow(self.now(), times);
        process.finish(done);
        process.wakes.notify_one();
    }

    /// Whether most of its answers are errors, from now on.
    pub fn set_failing(&self, failing: bool) {
        self.failing.set(failing);
    }

    fn begin(self: &Rc<Self>, listener: TcpListener, started: Option<Micros>) {
        let model = RefCell::new(ResaleServer::new(self.spec.clone(), started, self.now()));
        model.borrow_mut().set_slow(self.now(), self.slow.get());
        let process =
            Rc::new(Process { model, waits: RefCell::default(), wakes: Notify::new(), next: Cell::new(0) });
        *self.process.borrow_mut() = Some(process.clone());
        let (it, works) = (self.clone(), process.clone());
        let work = spawn_local(async move { it.work(&works).await });
        let it = self.clone();
        let accept = spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                // Answers are a write each, which must not wait for the last one's acknowledgement.
                let _ = stream.set_nodelay(true);
                let (serves, process) = (it.clone(), process.clone());
                let task = spawn_local(async move {
                    let service = service_fn(|request| serves.clone().answer(process.clone(), request));
                    // Who leaves ends its own connection.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
                let mut tasks = it.tasks.borrow_mut();
                tasks.retain(|task| !task.is_finished());
                tasks.push(task.abort_handle());
            }
        });
        self.tasks.borrow_mut().extend([work.abort_handle(), accept.abort_handle()]);
    }

    /// Brings the model's work up to the present whenever something is due.
    async fn work(&self, process: &Process) {
        loop {
            let done = process.model.borrow_mut().step(self.now());
            process.finish(done);
            let next = process.model.borrow().next();
            let wakes = process.wakes.notified();
            match next {
                Some(at) => tokio::select! {
                    () = sleep_until(self.since + Duration::from_micros(at)) => {}
                    () = wakes => {}
                },
                None => wakes.await,
            }
        }
    }

    async fn answer(
        self: Rc<Self>,
        process: Rc<Process>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        // A body that breaks off is no request.
        let whole = body.collect().await.is_ok();
        let header =
            |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let Some(id) = header("request-id").filter(|_| whole) else {
            return Ok(plain(StatusCode::NOT_FOUND, ""));
        };
        let query = head.uri.query().unwrap_or_default();
        let number = |name: &str| -> Option<f64> {
            query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))?.parse().ok()
        };
        let (Some(work), Some(units)) = (number("work"), number("units")) else {
            return Ok(plain(StatusCode::BAD_REQUEST, "no work"));
        };
        self.attempts.set(self.attempts.get() + 1);
        let key = header("idempotency-key").map(|key| granitelead_decisions::hash(&key));
        let now = self.now();
        // Fresh ids, 16 hex digits; any other is nobody's try.
        let number = u64::from_str_radix(&id, 16).unwrap_or(0);
        let sees = |ran| self.history.sees(Seen::Reached { id: number, server: self.uid.clone(), ran });
        let repeat = key.is_some_and(|key| process.model.borrow_mut().drops_repeat(now, key, KEY_FOR));
        if !repeat {
            process.next.set(process.next.get() + 1);
            let job = process.next.get();
            let (done, wait) = oneshot::channel();
            process.waits.borrow_mut().insert(job, done);
            let taken = process.model.borrow_mut().take(now, job, work);
            sees(taken == Taken::Yes);
            if taken != Taken::Yes {
                process.waits.borrow_mut().remove(&job);
                if taken == Taken::FallsOver {
                    self.history.sees(Seen::Fell { server: self.uid.clone() });
                    self.dies();
                }
                let mut full = plain(StatusCode::SERVICE_UNAVAILABLE, "full");
                full.headers_mut().insert("not-started", hyper::header::HeaderValue::from_static("1"));
                return Ok(full);
            }
            let mut here = Here { process: &process, number: Some(job) };
            process.wakes.notify_one();
            if self.failing.get() && job % FAILING.1 < FAILING.0 {
                return Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, "error"));
            }
            // The sender goes with the process only, and this with it.
            let _ = wait.await;
            here.number = None;
        } else {
            sees(true);
        }
        let mut served = Response::new(Full::new(Bytes::from(format!("served {id}\n"))));
        if let Ok(units) = units.to_string().parse() {
            served.headers_mut().insert("x-cost-units", units);
        }
        Ok(served)
    }

    /// Its process dies: what is open is reset or closed, and nobody listens.
    pub fn dies(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        *self.process.borrow_mut() = None;
    }

    /// Another process begins at the same address, cold.
    pub async fn returns(self: &Rc<Self>) -> Result<(), FleetError> {
        if self.process.borrow().is_some() {
            return Ok(());
        }
        let bad = |error| FleetError::Socket { what: "a server that returns", error };
        let binds = || {
            let socket = tokio::net::TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            socket.bind(self.at)?;
            socket.listen(1_024)
        };
        // The old process's listener closes a moment after it has died.
        let until = Instant::now() + CLOSES;
        let listener = loop {
            match binds() {
                Ok(listener) => break listener,
                Err(error) if Instant::now() > until => return Err(bad(error)),
                Err(_) => sleep(CLOSES / 1_000).await,
            }
        };
        self.boot_ms.set(unix_ms());
        let started = Some(self.now());
        self.begin(listener, started);
        Ok(())
    }
}

/// A request in hand, whose work stops when its connection ends.
struct Here<'a> {
    process: &'a Process,
    number: Option<u64>,
}

impl Drop for Here<'_> {
    fn drop(&mut self) {
        if let Some(number) = self.number {
            self.process.waits.borrow_mut().remove(&number);
            self.process.model.borrow_mut().cancel(number);
            self.process.wakes.notify_one();
        }
    }
}

fn plain(status: StatusCode, text: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Unix time, ms.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
