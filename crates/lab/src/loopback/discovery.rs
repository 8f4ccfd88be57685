//! The platform's discovery, as the gatekeepers' agent tells it: a watch gets the whole list and then each change.

use super::{listener, FleetError};
use bytes::Bytes;
use granitelead_list::forms::{HostList, Target, HOSTS};
use http_body_util::channel::Channel;
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A sign of life is due so often.
const ALIVE: Duration = Duration::from_secs(2);
/// Lines that wait for a watcher that takes none; past it the watch waits.
const LINES: usize = 16;

/// The list, and who watches it.
pub struct Discovery {
    /// Where it is.
    pub at: SocketAddr,
    targets: RefCell<BTreeMap<String, (u64, Target)>>,
    rev: watch::Sender<u64>,
}

impl Discovery {
    /// An empty list.
    pub async fn start() -> Result<Rc<Discovery>, FleetError> {
        let (listener, at) = listener("discovery").await?;
        let (rev, targets) = (watch::Sender::new(0), RefCell::default());
        let it = Rc::new(Discovery { at, targets, rev });
        let serves = it.clone();
        spawn_local(async move {
            // An accept that fails is of one caller.
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let it = serves.clone();
                spawn_local(async move {
                    let service = service_fn(move |request| answer(it.clone(), request));
                    // Who leaves ends its own watch.
                    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
            }
        });
        Ok(it)
    }

    /// Something changed at a server.
    pub fn tell(&self, target: Target) {
        let rev = *self.rev.borrow() + 1;
        self.targets.borrow_mut().insert(target.uid.clone(), (rev, target));
        self.rev.send_replace(rev);
    }

    /// What changed since that version; all that is there where it is 0.
    fn since(&self, known: u64) -> HostList {
        let all = known == 0;
        let targets = self.targets.borrow();
        let news = targets.values().filter(|(rev, target)| *rev > known && !(all && target.is_removed()));
        let targets = news.map(|(_, target)| target.clone()).collect();
        HostList { rev: *self.rev.borrow(), all, targets, ..HostList::default() }
    }
}

type Body = Channel<Bytes, Infallible>;

async fn answer(it: Rc<Discovery>, request: Request<Incoming>) -> Result<Response<Body>, Infallible> {
    let (mut lines, body) = Channel::new(LINES);
    let mut response = Response::new(body);
    if request.uri().path() != HOSTS {
        *response.status_mut() = hyper::StatusCode::NOT_FOUND;
        return Ok(response);
    }
    let query = request.uri().query().unwrap_or_default();
    let value = |name: &str| query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    let watches = value("stream") == Some("1");
    let mut known = value("index").and_then(|index| index.parse().ok()).unwrap_or(0);
    spawn_local(async move {
        let mut changes = it.rev.subscribe();
        let mut silent = false;
        loop {
            let list = it.since(known);
            let line = match silent {
                true => Bytes::from_static(b"\n"),
                // A list can always be written as JSON.
                false => serde_json::to_vec(&list)
                    .map(|line| [line, b"\n".to_vec()].concat())
                    .unwrap_or_default()
                    .into(),
            };
            known = list.rev;
            if lines.send(Frame::data(line)).await.is_err() || !watches {
                return;
            }
            silent = !matches!(timeout(ALIVE, changes.changed()).await, Ok(Ok(())));
        }
    });
    Ok(response)
}
