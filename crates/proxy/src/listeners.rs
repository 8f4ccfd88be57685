//! Listeners for clients and for the platform's readiness and metrics requests.

use crate::client_stream::ClientStream;
use crate::connections::{ClientConnections, ConnectionSlot};
use crate::handler::handle_request;
use crate::metrics;
use crate::shared_state::SharedState;
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

/// How long sent bytes may stay unacknowledged by a client (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_MAX: Duration = Duration::from_secs(5);
/// Smallest buffer for request heads that hyper accepts, bytes.
const HEAD_BUFFER_MIN: usize = 8_192;
/// Longest time for a connection to the readiness address.
const READINESS_CONNECTION_MAX: Duration = Duration::from_secs(30);
/// During shutdown, connections are closed once they have been idle for this long: closing earlier could cut
/// off a request that is already on the network. A newly opened connection sends its request within this
/// time.
pub const IDLE_BEFORE_CLOSE: Duration = Duration::from_secs(1);

/// Serves one client's connection until it ends.
pub async fn serve_client(shared: Rc<SharedState>, slot: ConnectionSlot, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    set_user_timeout(&stream, UNACKNOWLEDGED_MAX, &Cell::new(1));
    let connection = slot.connection.clone();
    if shared.drain().is_some() {
        connection.request_close(IDLE_BEFORE_CLOSE);
    }
    let head =
        shared.gate.borrow().configuration.as_ref().map_or(HEAD_BUFFER_MIN, |c| c.limits.max_header_bytes);
    let (service_shared, service_connection) = (shared.clone(), connection.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (shared, connection) = (service_shared.clone(), service_connection.clone());
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
                None => handle_request(&shared, &parts, Some(&mut body)).await,
            };
            connection.set_body_unread(!body.is_end_stream());
            if ongoing.is_last() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let early_shared = shared.clone();
    let start_early = Box::new(move |parts: &Parts| {
        let (shared, parts) = (early_shared.clone(), parts.clone());
        let may_start = shared.may_start_early(&parts);
        may_start.then(|| spawn_local(async move { handle_request(&shared, &parts, None).await }))
    });
    let stream = ClientStream::new(stream, connection.clone(), start_early);
    let serving = http1::Builder::new()
        .max_buf_size(head.max(HEAD_BUFFER_MIN))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    let mut is_closing = false;
    loop {
        tokio::select! {
            // Errors of the client's connection need no handling.
            _ = serving.as_mut() => return,
            () = connection.close_is_due(), if !is_closing => {
                is_closing = true;
                serving.as_mut().graceful_shutdown();
            }
        }
    }
}

/// Accepts clients until `stop` is notified and the listener's backlog has been emptied.
pub async fn accept_clients(
    shared: Rc<SharedState>,
    connections: Rc<ClientConnections>,
    listener: TcpListener,
    connections_max: usize,
    stop: Rc<Notify>,
) {
    let serve = |stream| {
        if let Some(slot) = connections.accept(connections_max) {
            spawn_local(serve_client(shared.clone(), slot, stream));
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
            // Polled only when the backlog is empty.
            () = stop.notified() => return,
        }
    }
}

/// Serves the readiness check and the metrics to the platform.
pub async fn serve_readiness(shared: Rc<SharedState>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        spawn_local(serve_readiness_connection(shared.clone(), stream));
    }
}

async fn serve_readiness_connection(shared: Rc<SharedState>, stream: TcpStream) {
    let service = service_fn(move |request: Request<Incoming>| {
        let gate = shared.gate.borrow();
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
        http1::Builder::new().max_buf_size(HEAD_BUFFER_MIN).serve_connection(TokioIo::new(stream), service);
    let _ = tokio::time::timeout(READINESS_CONNECTION_MAX, serving).await;
}
