//! Gatekeepers that do one thing wrong, to show that the judge sees it: small ones of the laboratory's own, which keep no
//! quotas and know nothing of load. No shipped program holds any of this.

use crate::oracle::Rule;
use bytes::Bytes;
use granitelead_base as base;
use granitelead_gatekeeper::config::Config;
use granitelead_list::follower::{Follower, ListStatus, RequestTiming};
use granitelead_list::messages::Target;
use granitelead_list::sources::Sources;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// What goes wrong goes wrong at one request in so many.
const ONE_IN: u64 = 20;
/// It goes wrong from then on.
const FROM: Duration = Duration::from_secs(3);
/// Waits for a server.
const PATIENCE: Duration = Duration::from_secs(1);

/// What one does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Never answers some requests.
    Silent,
    /// Answers some with words of its own.
    Forges,
    /// Sends some again after the time of their key.
    Repeats,
    /// Goes on sending to servers that are to take nothing new.
    IgnoresDrains,
    /// Sends everything to the server that started last.
    Rushes,
    /// Lets everybody past ceilings.
    NoCeilings,
    /// Ends.
    Dies,
    /// Never follows the list again once it has lost it.
    Deaf,
    /// Refuses everything.
    Sulks,
    /// Tells no other gatekeeper that it lives.
    Alone,
}

/// All, each with the rule that it breaks.
pub const ALL: [(Wrong, &str, Rule); 10] = [
    (Wrong::Silent, "silent", Rule::NoneLost),
    (Wrong::Forges, "forges", Rule::NoneLost),
    (Wrong::Repeats, "repeats", Rule::NoDuplicate),
    (Wrong::IgnoresDrains, "ignores-drains", Rule::OrderlyDrain),
    (Wrong::Rushes, "rushes", Rule::OrderlyFailBack),
    (Wrong::NoCeilings, "no-ceilings", Rule::Ceiling),
    (Wrong::Dies, "dies", Rule::NoCrash),
    (Wrong::Deaf, "deaf", Rule::ListAgrees),
    (Wrong::Sulks, "sulks", Rule::ServiceReturns),
    (Wrong::Alone, "alone", Rule::MembersAgree),
];

#[derive(Debug, Error)]
enum DoubleError {
    #[error("`{0}` is no double")]
    NoDouble(String),
    #[error(transparent)]
    Config(#[from] granitelead_gatekeeper::config::ConfigError),
    #[error("{0}")]
    System(#[from] std::io::Error),
}

struct Double {
    wrong: Wrong,
    begun: Instant,
    targets: RefCell<BTreeMap<String, Target>>,
    turn: Cell<u64>,
}

/// Is the double of that name.
pub fn run(name: &str) -> ExitCode {
    let load = || {
        let wrong = ALL.iter().find(|(_, known, _)| *known == name).map(|(wrong, ..)| *wrong);
        let wrong = wrong.ok_or_else(|| DoubleError::NoDouble(name.to_owned()))?;
        Ok::<_, DoubleError>((wrong, Config::load(|name| std::env::var(name).ok())?))
    };
    base::run("double", load, |(wrong, config)| serve(wrong, config))
}

async fn serve(wrong: Wrong, config: Config) -> Result<(), DoubleError> {
    let (begun, targets, turn) = (Instant::now(), RefCell::default(), Cell::new(0));
    let it = Rc::new(Double { wrong, begun, targets, turn });
    let hears = it.clone();
    let pace = RequestTiming::for_shared_service(1, Duration::from_secs(2), config.seed);
    let follower =
        Follower::new(Sources::new(config.discovery.clone(), &config.known), pace, ListStatus::new());
    spawn_local(async move {
        let (_moves, places) = watch::channel(config.discovery);
        let follows = follower.follow(places, |list, _| hears.hears(list.all, &list.targets));
        if wrong == Wrong::Deaf {
            // Whatever it has heard by then is all that it ever hears.
            let _ = timeout(FROM, follows).await;
        } else {
            follows.await;
        }
    });
    if wrong == Wrong::Dies {
        spawn_local(async {
            sleep(FROM).await;
            std::process::exit(3);
        });
    }
    let listener = TcpListener::bind(config.listen).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        // Answers are a write each.
        let _ = stream.set_nodelay(true);
        let it = it.clone();
        spawn_local(async move {
            let service = service_fn(|request| it.clone().answer(request));
            // Who leaves ends its own connection.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

impl Double {
    fn hears(&self, all: bool, targets: &[Target]) {
        let mut known = self.targets.borrow_mut();
        if all {
            known.clear();
        }
        for target in targets {
            if target.is_removed() && self.wrong != Wrong::IgnoresDrains {
                known.remove(&target.uid);
            } else if !target.is_removed() {
                known.insert(target.uid.clone(), target.clone());
            }
        }
    }

    fn goes_wrong(&self) -> bool {
        self.begun.elapsed() > FROM
    }

    fn chooses(&self) -> Option<Target> {
        let known = self.targets.borrow();
        let may = |target: &&Target| target.is_up() || self.wrong == Wrong::IgnoresDrains;
        let may: Vec<&Target> = known.values().filter(may).collect();
        let last = may.iter().max_by_key(|target| target.boot_ms).filter(|it| it.boot_ms > 0);
        let turn = self.turn.get() as usize % may.len().max(1);
        let any = || may.get(turn);
        let chosen = if self.wrong == Wrong::Rushes { last.or_else(any) } else { any() };
        chosen.map(|target| (*target).clone())
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let answer = |status, text: String| {
            let mut answer = Response::new(Full::new(Bytes::from(text)));
            *answer.status_mut() = status;
            Ok(answer)
        };
        let (up, none) = (self.targets.borrow().is_empty(), String::new);
        if request.uri().path() == "/up" {
            return answer(if up { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }, none());
        }
        self.turn.set(self.turn.get() + 1);
        let unlucky = self.turn.get().is_multiple_of(ONE_IN) && self.goes_wrong();
        let sulks = self.wrong == Wrong::Sulks && self.goes_wrong();
        let Some(target) = self.chooses().filter(|_| !sulks) else {
            return answer(StatusCode::SERVICE_UNAVAILABLE, none());
        };
        match self.wrong {
            Wrong::Silent if unlucky => std::future::pending().await,
            Wrong::Forges if unlucky => return answer(StatusCode::OK, "served\n".into()),
            _ => {}
        }
        let (head, _) = request.into_parts();
        if self.wrong == Wrong::Repeats && unlucky {
            let (it, head, target) = (self.clone(), head.clone(), target.clone());
            spawn_local(async move {
                sleep(Duration::from_secs(5)).await;
                drop(it.sends(&head, &target).await);
            });
        }
        match timeout(PATIENCE, self.sends(&head, &target)).await {
            Ok(Some(body)) => answer(StatusCode::OK, body),
            _ => answer(StatusCode::BAD_GATEWAY, none()),
        }
    }

    async fn sends(&self, head: &hyper::http::request::Parts, to: &Target) -> Option<String> {
        let stream = TcpStream::connect(&to.endpoint).await.ok()?;
        stream.set_nodelay(true).ok()?;
        let (mut sender, driver) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move { drop(driver.await) });
        let mut request = Request::builder().method(head.method.clone()).uri(head.uri.clone());
        for name in ["request-id", "idempotency-key"] {
            if let Some(value) = head.headers.get(name) {
                request = request.header(name, value);
            }
        }
        let request = request.header("host", "server").body(Empty::<Bytes>::new()).ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let ok = answer.status() == StatusCode::OK;
        let body = answer.into_body().collect().await.ok()?.to_bytes();
        String::from_utf8(body.to_vec()).ok().filter(|_| ok)
    }
}
