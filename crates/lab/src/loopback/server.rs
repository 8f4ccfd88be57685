//! Resale servers on sockets: each the model of one, and what can be done to it.

use super::{listener, FleetError};
use crate::model::server::{ResaleServer, Spec, Taken};
use bytes::Bytes;
use granitelead_decisions::Micros;
use granitelead_list::forms::Target;
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
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, Instant};

/// A key's repeats are dropped for so long.
const KEY_FOR: Micros = 4_000_000;

/// A process of a server.
struct Process {
    model: RefCell<ResaleServer>,
    waits: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    wakes: Notify,
    next: Cell<u64>,
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
    /// Requests that it ran, by id of the client's request.
    pub ran: RefCell<HashMap<String, u32>>,
    spec: Spec,
    since: Instant,
    process: RefCell<Option<Rc<Process>>>,
    /// Its listener and connections, which end with the process.
    tasks: RefCell<Vec<AbortHandle>>,
    /// Whether it is cut off: nothing gets through, and nobody is told.
    cut: watch::Sender<bool>,
}

impl Server {
    /// One that runs, warm.
    pub async fn start(uid: String, zone: String, spec: Spec) -> Result<Rc<Server>, FleetError> {
        let (listener, at) = listener("a server").await?;
        let it = Rc::new(Server {
            uid,
            zone,
            at,
            attempts: Cell::new(0),
            ran: RefCell::default(),
            spec,
            since: Instant::now(),
            process: RefCell::default(),
            tasks: RefCell::default(),
            cut: watch::Sender::new(false),
        });
        it.begin(listener, None);
        Ok(it)
    }

    fn now(&self) -> Micros {
        self.since.elapsed().as_micros() as Micros
    }

    /// How it is listed in that state.
    pub fn listed(&self, state: &str) -> Target {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let process = self.process.borrow();
        let cold = process.as_ref().is_some_and(|process| process.model.borrow().coldness(self.now()) < 1.0);
        Target {
            uid: self.uid.clone(),
            endpoint: self.at.to_string(),
            az: self.zone.clone(),
            model: "stand-in".into(),
            pod_group: 0,
            state: state.into(),
            capacity_hint: Some(1.0),
            boot_ms: if cold { unix.as_millis() as u64 } else { 0 },
        }
    }

    /// Requests in hand, none where there is no process.
    pub fn inflight(&self) -> Option<usize> {
        self.process.borrow().as_ref().map(|process| process.model.borrow().inflight())
    }

    /// Whether it is cut off.
    pub fn is_cut(&self) -> bool {
        *self.cut.borrow()
    }

    fn begin(self: &Rc<Self>, listener: TcpListener, started: Option<Micros>) {
        let model = RefCell::new(ResaleServer::new(self.spec.clone(), started, self.now()));
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
            for id in done {
                let wait = process.waits.borrow_mut().remove(&id);
                // Who has left meanwhile needs no word.
                let _ = wait.map(|wait| wait.send(()));
            }
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

    async fn until_reached(&self) {
        let mut cut = self.cut.subscribe();
        // The sender is this server's own.
        let _ = cut.wait_for(|cut| !cut).await;
    }

    async fn answer(
        self: Rc<Self>,
        process: Rc<Process>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let (head, body) = request.into_parts();
        // A body that breaks off is no request.
        let whole = body.collect().await.is_ok();
        self.until_reached().await;
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
        let repeat = key.is_some_and(|key| process.model.borrow_mut().drops_repeat(now, key, KEY_FOR));
        if !repeat {
            *self.ran.borrow_mut().entry(id).or_default() += 1;
            process.next.set(process.next.get() + 1);
            let number = process.next.get();
            let (done, wait) = oneshot::channel();
            process.waits.borrow_mut().insert(number, done);
            let taken = process.model.borrow_mut().take(now, number, work);
            if taken != Taken::Yes {
                process.waits.borrow_mut().remove(&number);
                let mut full = plain(StatusCode::SERVICE_UNAVAILABLE, "full");
                full.headers_mut().insert("not-started", hyper::header::HeaderValue::from_static("1"));
                return Ok(full);
            }
            let mut here = Here { process: &process, number: Some(number) };
            process.wakes.notify_one();
            // The sender goes with the process only, and this with it.
            let _ = wait.await;
            here.number = None;
        }
        self.until_reached().await;
        let mut served = plain(StatusCode::OK, "served\n");
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
        let socket = tokio::net::TcpSocket::new_v4().map_err(bad)?;
        socket.set_reuseaddr(true).map_err(bad)?;
        socket.bind(self.at).map_err(bad)?;
        let started = Some(self.now());
        self.begin(socket.listen(1_024).map_err(bad)?, started);
        Ok(())
    }

    /// Cuts it off, or ends that.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
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
