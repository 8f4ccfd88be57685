//! The sockets at which clients and the platform connect.

use crate::client_stream::ClientStream;
use crate::connections::{ClientConnections, ConnectionSlot};
use crate::front::Front;
use crate::handler::answer;
use crate::metrics;
use bytes::Bytes;
use granitelead_base::{set_user_timeout, ACCEPT_PAUSE};
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// How long a client may leave sent bytes without acknowledging them.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);
/// Least room for heads that the HTTP library takes, bytes.
const HEAD_LEAST: usize = 8_192;
/// How long the platform may hold a connection to the readiness address.
const READINESS_MAX: Duration = Duration::from_secs(30);
/// Idle connections are closed at the end of the process once they have been idle for so long: a request that is on
/// its way to a connection would else meet its close. A connection that has just come sends its request within this.
pub const CLOSE_PATIENCE: Duration = Duration::from_secs(1);

/// Serves one client's connection until it ends.
pub async fn serve_client(front: Rc<Front>, slot: ConnectionSlot, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    set_user_timeout(&stream, UNACKNOWLEDGED, &Cell::new(1));
    let connection = slot.connection.clone();
    if front.drain().is_some() {
        connection.request_close(CLOSE_PATIENCE);
    }
    let head = front.gate.borrow().configuration.as_ref().map_or(HEAD_LEAST, |c| c.limits.max_header_bytes);
    let (its_front, its_connection) = (front.clone(), connection.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (front, connection) = (its_front.clone(), its_connection.clone());
        let ongoing = connection.begin();
        let (parts, mut body) = request.into_parts();
        let early = connection.take_early(&parts);
        async move {
            let early = match early {
                Some(early) => early.answer().await,
                None => None,
            };
            let mut response = match early {
                Some(response) => response,
                None => answer(&front, &parts, Some(&mut body)).await,
            };
            connection.set_body_unread(!body.is_end_stream());
            if ongoing.is_last() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let its_front = front.clone();
    let start_early = Box::new(move |parts: &Parts| {
        let (front, parts) = (its_front.clone(), parts.clone());
        let may_start = front.may_start_early(&parts);
        may_start.then(|| spawn_local(async move { answer(&front, &parts, None).await }))
    });
    let stream = ClientStream::new(stream, connection.clone(), start_early);
    let serving = http1::Builder::new()
        .max_buf_size(head.max(HEAD_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let mut is_closing = false;
    loop {
        tokio::select! {
            // A client that breaks off is its own affair.
            _ = serving.as_mut() => return,
            () = connection.close_is_due(), if !is_closing => {
                is_closing = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Accepts clients until `stop` is notified, and then those that wait in the listener's queue.
pub async fn accept_clients(
    front: Rc<Front>,
    connections: Rc<ClientConnections>,
    listener: TcpListener,
    most: usize,
    stop: Rc<Notify>,
) {
    let serve = |stream| {
        if let Some(slot) = connections.accept(most) {
            spawn_local(serve_client(front.clone(), slot, stream));
        }
    };
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream),
                Err(e) => {
                    log::info!("accept: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            // The queue is empty.
            () = stop.notified() => return,
        }
    }
}

/// Tells the platform whether clients may come.
pub async fn tell_readiness(front: Rc<Front>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        spawn_local(answer_readiness(front.clone(), stream));
    }
}

async fn answer_readiness(front: Rc<Front>, stream: TcpStream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let gate = front.gate.borrow();
        let (status, body) = match (request.uri().path(), gate.is_ready()) {
            ("/readiness", true) => (StatusCode::OK, String::new()),
            ("/readiness", false) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
            ("/metrics", _) => (StatusCode::OK, metrics::text(&gate)),
            _ => (StatusCode::NOT_FOUND, String::new()),
        };
        let mut response = Response::new(Full::new(Bytes::from(body)));
        *response.status_mut() = status;
        async { Ok::<_, Infallible>(response) }
    });
    let serving =
        http1::Builder::new().max_buf_size(HEAD_LEAST).serve_connection(TokioIo::new(stream), service);
    let _ = tokio::time::timeout(READINESS_MAX, serving).await;
}
