//! Clients on sockets: requests come when they are due, whether or not earlier ones were answered; a front keeps
//! connections to each gatekeeper, opens more when all are busy, and passes over those that it knows to be gone.

use crate::experiment::{Effect, Experiment};
use crate::history::{History, Seen};
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
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

/// Requests under way at most: past it one that is due counts as failed, and the generator's figures are its own.
const OPEN_MAX: usize = 20_000;
/// Customers' numbers are below this.
const CUSTOMERS: usize = 1 << 33;
/// Idle connections to one gatekeeper at most.
const IDLE_MAX: usize = 256;
/// An answer that has not come so long after its client's time never comes.
const SILENCE: Duration = Duration::from_secs(2);
/// A client that leaves waits so long.
const LEAVES: Duration = Duration::from_millis(30);
/// The front asks each gatekeeper so often whether it is up, and waits so long for the answer.
const ASKS_UP: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(1));

type Sender = SendRequest<Empty<Bytes>>;

/// All clients of a fleet.
pub struct Clients {
    experiment: Experiment,
    traffic: Traffic,
    gatekeepers: Vec<SocketAddr>,
    idle: Vec<RefCell<Vec<Sender>>>,
    /// Which of them the front sends clients to.
    admitted: Vec<Cell<bool>>,
    history: Rc<History>,
    /// Plans whose customers ask so many times as much.
    surges: RefCell<Vec<(usize, f64)>>,
    /// What customers that are seen once ask for, as a part of the usual.
    one_offs: Cell<f64>,
    /// The part of the clients that leaves before its answer is there.
    leaves: Cell<f64>,
    /// What was seen so far.
    pub gatherer: RefCell<Gatherer>,
    rng: RefCell<ChaCha8Rng>,
    begun: Cell<Instant>,
    next: Cell<u64>,
    /// Numbers of customers that are seen once, counted down.
    strangers: Cell<usize>,
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

/// A try on its way.
struct Try {
    id: u64,
    to: usize,
    what: Asked,
    of: Customer,
    /// As its cookie says.
    customer: usize,
    until: Instant,
}

impl Clients {
    /// Clients of these gatekeepers; `gatherer` counts from a start of 0, and `history` sees each try.
    pub fn new(
        experiment: Experiment,
        gatekeepers: Vec<SocketAddr>,
        seed: u64,
        gatherer: Gatherer,
        history: Rc<History>,
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
            admitted: gatekeepers.iter().map(|_| Cell::new(true)).collect(),
            history,
            surges: RefCell::default(),
            one_offs: Cell::new(0.0),
            leaves: Cell::new(0.0),
            gatekeepers,
            gatherer: RefCell::new(gatherer),
            rng: RefCell::new(stream(2)),
            begun: Cell::new(Instant::now()),
            next: Cell::new(0),
            strangers: Cell::new(CUSTOMERS),
            open: Cell::new(0),
            shed: Cell::new(0),
            experiment,
        })
    }

    /// Their time begins now.
    pub fn begin(&self) {
        self.begun.set(Instant::now());
    }

    /// When their time began.
    pub fn begun(&self) -> Instant {
        self.begun.get()
    }

    /// Whether a gatekeeper is up, asked once.
    pub async fn asks_up(&self, gatekeeper: usize) -> bool {
        timeout(ASKS_UP.1, self.is_up(gatekeeper, &mut None)).await == Ok(Some(true))
    }

    /// How long they have been asking.
    pub fn elapsed(&self) -> Duration {
        self.begun.get().elapsed()
    }

    fn now(&self) -> Micros {
        self.begun.get().elapsed().as_micros() as Micros
    }

    /// Customers of a plan ask so many times as much from now on, or no more.
    pub fn surges(&self, plan: usize, times: f64, begins: bool) {
        let mut all = self.surges.borrow_mut();
        match all.iter().position(|known| *known == (plan, times)) {
            Some(at) if !begins => drop(all.remove(at)),
            _ if begins => all.push((plan, times)),
            _ => {}
        }
    }

    /// Customers that are seen once ask for a further share of the usual, or for so much less.
    pub fn one_offs(&self, more: f64) {
        self.one_offs.set((self.one_offs.get() + more).max(0.0));
    }

    /// A share of the clients leaves before its answer is there, from now on.
    pub fn leave(&self, share: f64) {
        self.leaves.set(share);
    }

    /// Which gatekeepers the front sends clients to.
    pub fn admits(&self, gatekeeper: usize) -> bool {
        self.admitted[gatekeeper].get()
    }

    /// The front's part: asks each gatekeeper again and again whether it is up, for ever.
    pub async fn look_after(self: Rc<Self>) {
        let all = (0..self.gatekeepers.len()).map(|number| {
            let it = self.clone();
            spawn_local(async move { it.look_after_one(number).await })
        });
        // They end with the fleet.
        for task in all.collect::<Vec<_>>() {
            let _ = task.await;
        }
    }

    async fn look_after_one(&self, number: usize) {
        let notice = Duration::from_secs_f64(self.experiment.fleet.notice_s.0);
        let mut well = Instant::now();
        let mut connection = None;
        loop {
            let asked = timeout(ASKS_UP.1, self.is_up(number, &mut connection)).await;
            if asked == Ok(Some(true)) {
                well = Instant::now();
                self.admitted[number].set(true);
            } else {
                connection = None;
                if well.elapsed() >= notice {
                    self.admitted[number].set(false);
                }
            }
            sleep(ASKS_UP.0).await;
        }
    }

    async fn is_up(&self, number: usize, connection: &mut Option<Sender>) -> Option<bool> {
        let sender = match connection {
            Some(sender) => sender,
            none => none.insert(self.connects(number).await?),
        };
        let request =
            Request::builder().uri("/up").header("host", "backend.local").body(Empty::new()).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let up = answer.status() == StatusCode::OK;
        answer.into_body().collect().await.ok()?;
        sender.ready().await.ok()?;
        Some(up)
    }

    /// Asks for as long as the experiment says, each request at its time.
    pub async fn ask(self: Rc<Self>, seed: u64) {
        let mut arrivals = ChaCha8Rng::seed_from_u64(seed);
        let usual = self.traffic.rates();
        let end = self.experiment.seconds.micros();
        let mut due = 0;
        loop {
            let times = |plan: usize| -> f64 {
                self.surges.borrow().iter().filter(|(of, _)| *of == plan).map(|(_, times)| times).product()
            };
            let rates: Vec<f64> = usual.iter().enumerate().map(|(plan, rate)| rate * times(plan)).collect();
            let one_offs = usual.iter().sum::<f64>() * self.one_offs.get();
            due += Traffic::gap(rates.iter().sum::<f64>() + one_offs, &mut arrivals);
            if due >= end {
                return;
            }
            sleep_until(self.begun.get() + Duration::from_micros(due)).await;
            let what = self.traffic.next(&rates, one_offs, &mut arrivals);
            let (customer, of) = match what.customer {
                Some(customer) => (customer, self.traffic.customer(customer).clone()),
                None => {
                    self.strangers.set(self.strangers.get() - 1);
                    (self.strangers.get(), self.traffic.stranger(what.plan, &mut arrivals))
                }
            };
            if self.open.get() >= OPEN_MAX {
                self.shed.set(self.shed.get() + 1);
                self.over(due, &what, 0, End::Failed, 0.0);
                continue;
            }
            self.open.set(self.open.get() + 1);
            let it = self.clone();
            spawn_local(async move {
                it.request(due, what, customer, of).await;
                it.open.set(it.open.get() - 1);
            });
        }
    }

    /// One request, with as many tries as a client makes.
    async fn request(self: &Rc<Self>, due: Micros, what: Asked, customer: usize, of: Customer) {
        let class = &self.experiment.classes[what.class];
        let deadline = self.begun.get() + Duration::from_micros(due + class.deadline_s.micros());
        let patience = Duration::from_secs_f64(class.deadline_s.0 * self.experiment.traffic.try_share.0);
        let honours = self.rng.borrow_mut().random_bool(self.experiment.traffic.honours.0);
        let worth = class.worth.0 * what.units;
        let (mut zone, mut end) = (None, End::Failed);
        for number in 0..=self.experiment.traffic.retries {
            let last = number == self.experiment.traffic.retries;
            let until = if last { deadline } else { deadline.min(Instant::now() + patience) };
            let drawn = of.draws(&mut self.rng.borrow_mut());
            let n = self.gatekeepers.len();
            let mut row = (0..of.spread).map(|step| (of.first + (drawn + step) % of.spread) % n);
            let to = row.find(|to| self.admits(*to)).unwrap_or((of.first + drawn) % n);
            zone.get_or_insert(to % self.experiment.fleet.zones.len());
            self.gatherer.borrow_mut().run().tries += 1;
            self.next.set(self.next.get() + 1);
            let it = Try { id: self.next.get(), to, what, of: of.clone(), customer, until };
            // What comes after the client's time is still seen.
            let (tell, told) = oneshot::channel();
            let clients = self.clone();
            spawn_local(async move {
                let tried = clients.tries(&it).await;
                // A client that has left hears of nothing.
                let _ = tell.send(tried);
            });
            let tried = timeout_at(until, told).await.ok().and_then(Result::ok);
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

    fn written(&self, it: &Try, left: Duration) -> Option<Request<Empty<Bytes>>> {
        let (what, of) = (&it.what, &it.of);
        let class = &self.experiment.classes[what.class];
        let id = format!("{:016x}", it.id);
        let method = if class.effect == Effect::Idempotent { "GET" } else { "POST" };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/{}/x?work={}&units={}", class.name, what.work, what.units))
            .header("host", "backend.local")
            .header("request-id", &id)
            .header("request-class", &class.name)
            .header("x-tier", &self.experiment.plans[what.plan].name)
            .header("cookie", format!("client={:016x}", it.customer))
            .header("request-timeout", format!("{:.3}", left.as_secs_f64().max(0.001)))
            .header("x-call-terms", format!("units={},spread={},first={}", what.guess, of.spread, of.first));
        if class.effect == Effect::Deduplicated {
            request = request.header("idempotency-key", format!("{id}{id}"));
        }
        // All of its parts are proper.
        request.body(Empty::new()).ok()
    }

    /// One try to its end, however late that is.
    async fn tries(&self, it: &Try) -> Tried {
        let silent = it.until + SILENCE;
        let left = it.until.saturating_duration_since(Instant::now());
        let (mut asked, mut begun) = (false, false);
        let leaves = self.rng.borrow_mut().random_bool(self.leaves.get());
        let waits = if leaves { Instant::now() + left.min(LEAVES) } else { silent };
        let tried = timeout_at(waits, async {
            // A connection that ends as it is used again was not read from: the request goes out once more.
            for again in [true, false] {
                let Some((mut sender, fresh)) = self.connection(it.to, again).await else { break };
                let Some(request) = self.written(it, left) else { break };
                if !std::mem::replace(&mut asked, true) {
                    self.history.sees(Seen::Asked {
                        id: it.id,
                        gatekeeper: it.to,
                        customer: it.customer,
                        class: it.what.class,
                        plan: it.what.plan,
                        units: it.what.guess,
                        patience: left.as_micros() as u64,
                    });
                }
                let answer = match sender.send_request(request).await {
                    Ok(answer) => answer,
                    Err(_) if !fresh => continue,
                    Err(_) => break,
                };
                let status = answer.status();
                let advice = answer.headers().get("retry-after").and_then(|value| value.to_str().ok());
                let advice = advice.and_then(|text| text.parse::<f64>().ok());
                let Ok(body) = answer.into_body().collect().await else {
                    begun = true;
                    break;
                };
                let own = body.to_bytes() == format!("served {:016x}\n", it.id).as_bytes();
                self.history.sees(Seen::Answered { id: it.id, status: status.as_u16(), own });
                let mut idle = self.idle[it.to].borrow_mut();
                if idle.len() < IDLE_MAX {
                    idle.push(sender);
                }
                return match status {
                    StatusCode::OK => Tried::Served,
                    StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                        let wait = advice.and_then(|s| Duration::try_from_secs_f64(s).ok());
                        Tried::Refused(wait.unwrap_or_default())
                    }
                    _ => Tried::Failed,
                };
            }
            if asked {
                self.history.sees(Seen::Broke { id: it.id, begun });
            }
            Tried::Failed
        });
        match tried.await {
            Ok(tried) => tried,
            // Dropped with its request, its connection ends.
            Err(_) if leaves => Tried::Failed,
            Err(_) => {
                self.history.sees(Seen::Silence { id: it.id });
                Tried::Failed
            }
        }
    }

    /// An idle connection that still stands, or a new one, and whether it is new.
    async fn connection(&self, to: usize, idle: bool) -> Option<(Sender, bool)> {
        loop {
            let sender = if idle { self.idle[to].borrow_mut().pop() } else { None };
            match sender {
                Some(sender) if sender.is_closed() => {}
                Some(mut sender) => {
                    if sender.ready().await.is_ok() {
                        return Some((sender, false));
                    }
                }
                None => break,
            }
        }
        Some((self.connects(to).await?, true))
    }

    async fn connects(&self, to: usize) -> Option<Sender> {
        let stream = TcpStream::connect(self.gatekeepers[to]).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        // It ends with its connection.
        spawn_local(async move { drop(driver.await) });
        Some(sender)
    }
}
