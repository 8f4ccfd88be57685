//! Clients on sockets: requests come when they are due, whether or not earlier ones were answered; a front keeps
//! connections to each gatekeeper and opens more when all are busy.

use crate::experiment::{Effect, Experiment};
use crate::model::traffic::{Asked, Customer, Traffic};
use crate::results::{End, Gatherer, Over};
use bytes::Bytes;
use granitelead_decisions::Micros;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

/// Requests under way at most: past it one that is due counts as failed, and the generator's figures are its own.
const OPEN_MAX: usize = 20_000;
/// Idle connections to one gatekeeper at most.
const IDLE_MAX: usize = 256;

type Sender = SendRequest<Empty<Bytes>>;

/// All clients of a fleet.
pub struct Clients {
    experiment: Experiment,
    traffic: Traffic,
    gatekeepers: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<Sender>>>,
    /// What was seen so far.
    pub gatherer: RefCell<Gatherer>,
    rng: RefCell<ChaCha8Rng>,
    begun: Instant,
    next: Cell<u64>,
    open: Cell<usize>,
    /// Requests that were due with too many under way.
    pub shed: Cell<u64>,
}

/// How a try ended.
enum Tried {
    Served,
    Refused(Duration),
    Failed,
}

impl Clients {
    /// Clients of these gatekeepers; `gatherer` counts from a start of 0.
    pub fn new(
        experiment: Experiment,
        gatekeepers: Vec<SocketAddr>,
        seed: u64,
        gatherer: Gatherer,
    ) -> Rc<Clients> {
        let stream = |number| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(number);
            rng
        };
        let traffic = Traffic::draw(&experiment, gatekeepers.len(), &mut stream(1), &mut stream(5));
        Rc::new(Clients {
            traffic,
            idle: gatekeepers.iter().map(|_| RefCell::default()).collect(),
            gatekeepers,
            gatherer: RefCell::new(gatherer),
            rng: RefCell::new(stream(2)),
            begun: Instant::now(),
            next: Cell::new(0),
            open: Cell::new(0),
            shed: Cell::new(0),
            experiment,
        })
    }

    /// How long they have been asking.
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    fn now(&self) -> Micros {
        self.begun.elapsed().as_micros() as Micros
    }

    /// Asks for as long as the experiment says, each request at its time.
    pub async fn ask(self: Rc<Self>, seed: u64) {
        let mut arrivals = ChaCha8Rng::seed_from_u64(seed);
        let rates = self.traffic.rates();
        let rate = rates.iter().sum();
        let end = self.experiment.seconds.micros();
        let mut due = 0;
        loop {
            due += Traffic::gap(rate, &mut arrivals);
            if due >= end {
                return;
            }
            sleep_until(self.begun + Duration::from_micros(due)).await;
            let what = self.traffic.next(&rates, 0.0, &mut arrivals);
            let Some(customer) = what.customer else { continue };
            if self.open.get() >= OPEN_MAX {
                self.shed.set(self.shed.get() + 1);
                self.over(due, &what, 0, End::Failed, 0.0);
                continue;
            }
            self.open.set(self.open.get() + 1);
            let it = self.clone();
            spawn_local(async move {
                it.request(due, what, customer).await;
                it.open.set(it.open.get() - 1);
            });
        }
    }

    /// One request, with as many tries as a client makes.
    async fn request(&self, due: Micros, what: Asked, customer: usize) {
        let class = &self.experiment.classes[what.class];
        let deadline = self.begun + Duration::from_micros(due + class.deadline_s.micros());
        let patience = Duration::from_secs_f64(class.deadline_s.0 * self.experiment.traffic.try_share.0);
        let of = self.traffic.customer(customer).clone();
        let honours = self.rng.borrow_mut().random_bool(self.experiment.traffic.honours.0);
        let worth = class.worth.0 * what.units;
        let (mut zone, mut end) = (None, End::Failed);
        for number in 0..=self.experiment.traffic.retries {
            let last = number == self.experiment.traffic.retries;
            let until = if last { deadline } else { deadline.min(Instant::now() + patience) };
            let step = of.draws(&mut self.rng.borrow_mut());
            let gatekeeper = (of.first + step) % self.gatekeepers.len();
            zone.get_or_insert(gatekeeper % self.experiment.fleet.zones.len());
            self.gatherer.borrow_mut().run().tries += 1;
            let tried = timeout_at(until, self.tries(gatekeeper, &what, &of, customer, until)).await;
            let wait = match tried.unwrap_or(Tried::Failed) {
                Tried::Served => {
                    let late = self.now() > due + class.aim_s.micros();
                    end = if late { End::Late } else { End::InTime };
                    break;
                }
                Tried::Refused(wait) => {
                    end = End::Refused;
                    if honours {
                        wait
                    } else {
                        Duration::ZERO
                    }
                }
                Tried::Failed => {
                    end = End::Failed;
                    let keyed =
                        class.effect == Effect::Deduplicated && self.now() < due + class.key_s.micros();
                    if !(keyed || class.effect == Effect::Idempotent) {
                        break;
                    }
                    Duration::ZERO
                }
            };
            let pause = self.experiment.traffic.backoff_s.0 * self.rng.borrow_mut().random_range(0.5..1.5);
            let pause = wait.max(Duration::from_secs_f64(pause));
            if last || Instant::now() + pause >= deadline {
                break;
            }
            sleep(pause).await;
        }
        self.over(due, &what, zone.unwrap_or(0), end, worth);
    }

    fn over(&self, due: Micros, what: &Asked, zone: usize, end: End, worth: f64) {
        let served = if end == End::InTime { worth } else { 0.0 };
        let (class, plan) = (what.class, what.plan);
        let it = Over { due, ended: self.now(), class, plan, zone, end, offered: worth, served };
        self.gatherer.borrow_mut().over(&it);
    }

    async fn tries(&self, to: usize, what: &Asked, of: &Customer, customer: usize, until: Instant) -> Tried {
        let class = &self.experiment.classes[what.class];
        self.next.set(self.next.get() + 1);
        let id = format!("{:016x}", self.next.get());
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
        let method = if class.effect == Effect::Idempotent { "GET" } else { "POST" };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/{}/x?work={}&units={}", class.name, what.work, what.units))
            .header("host", "backend.local")
            .header("request-id", &id)
            .header("request-class", &class.name)
            .header("x-tier", &self.experiment.plans[what.plan].name)
            .header("cookie", format!("client={customer:016x}"))
            .header("request-timeout", format!("{:.3}", left.max(0.001)))
            .header("x-call-terms", format!("units={},spread={},first={}", what.guess, of.spread, of.first));
        if class.effect == Effect::Deduplicated {
            request = request.header("idempotency-key", format!("{id}{id}"));
        }
        // All of its parts are proper.
        let Ok(request) = request.body(Empty::new()) else { return Tried::Failed };
        let Some(mut sender) = self.connection(to).await else { return Tried::Failed };
        let Ok(answer) = sender.send_request(request).await else { return Tried::Failed };
        let status = answer.status();
        let advice =
            answer.headers().get("retry-after").and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
        if answer.into_body().collect().await.is_err() {
            return Tried::Failed;
        }
        let mut idle = self.idle[to].borrow_mut();
        if idle.len() < IDLE_MAX {
            idle.push(sender);
        }
        match status {
            StatusCode::OK => Tried::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                let wait = advice.and_then(|s| Duration::try_from_secs_f64(s).ok());
                Tried::Refused(wait.unwrap_or_default())
            }
            _ => Tried::Failed,
        }
    }

    /// An idle connection that still stands, or a new one.
    async fn connection(&self, to: usize) -> Option<Sender> {
        loop {
            let sender = self.idle[to].borrow_mut().pop();
            match sender {
                Some(sender) if sender.is_closed() => {}
                Some(mut sender) => {
                    if sender.ready().await.is_ok() {
                        return Some(sender);
                    }
                }
                None => break,
            }
        }
        let stream = TcpStream::connect(self.gatekeepers[to]).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        // It ends with its connection.
        spawn_local(async move { drop(driver.await) });
        Some(sender)
    }
}
