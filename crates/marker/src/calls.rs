//! HTTP interface for servers and operators: the routes, parsing of requests into calls, and encoding of
//! replies.

use crate::state::Call;
use crate::types::Reply;
use bytes::Bytes;
use granitelead_common::configuration::BODY_MAX;
use granitelead_common::error_kinds::ErrorKind;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::{Method, Request, Response};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Maximum body of a server's call, bytes.
const SERVER_BODY_MAX: usize = 64 << 10;
/// Time limit for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// The `Retry-After` of calls that could not be answered, s.
const RETRY_AFTER_S: &str = "0.3";

/// The route of one call.
pub struct Route {
    /// The HTTP method.
    pub method: Method,
    /// The path; if it ends with a slash, an instance name follows.
    pub path: &'static str,
    /// Maximum body, bytes.
    pub body_max: usize,
    /// A description of the call.
    pub about: &'static str,
    /// Builds the call from the name and the body.
    build: fn(String, Vec<u8>) -> Call,
}

/// The routes of all calls.
pub const ROUTES: [Route; 5] = [
    Route {
        method: Method::POST,
        path: "/Instances.Heartbeat/",
        body_max: SERVER_BODY_MAX,
        about: "heartbeat of a server that is ready or draining",
        build: |id, body| Call::Heartbeat { id, body },
    },
    Route {
        method: Method::POST,
        path: "/Instances.Deregister/",
        body_max: SERVER_BODY_MAX,
        about: "deregistration of a server",
        build: |id, _| Call::Leave { id },
    },
    Route {
        method: Method::POST,
        path: "/Configuration.Replace",
        body_max: BODY_MAX,
        about: "replaces the whole configuration; the highest version wins",
        build: |_, body| Call::Replace { body },
    },
    Route {
        method: Method::GET,
        path: "/Configuration.Read",
        body_max: 0,
        about: "the newest configuration, byte for byte as it was sent",
        build: |_, _| Call::Read,
    },
    Route {
        method: Method::GET,
        path: "/System.Status",
        body_max: 0,
        about: "the state of the system as this marker sees it",
        build: |_, _| Call::Status,
    },
];

/// Finds the route of a request, and the name at the end of its path.
fn find(method: &Method, path: &str) -> Option<(&'static Route, String)> {
    // The static copy gives the returned reference a static lifetime.
    static TABLE: [Route; 5] = ROUTES;
    TABLE.iter().filter(|call| call.method == *method).find_map(|call| {
        let name = path.strip_prefix(call.path)?;
        let takes_name = call.path.ends_with('/');
        let matches = if takes_name {
            !name.is_empty() && name.len() <= 200 && !name.contains('/')
        } else {
            name.is_empty()
        };
        matches.then(|| (call, name.to_owned()))
    })
}

/// Parses a request into a call.
///
/// # Errors
///
/// The reply to send where the request is not a valid call.
pub async fn parse_request(request: Request<Incoming>) -> Result<Call, Reply> {
    let Some((call, name)) = find(request.method(), request.uri().path()) else {
        return Err(Reply::failure(ErrorKind::Unknown, "no such call"));
    };
    let body = Limited::new(request.into_body(), call.body_max).collect();
    match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Err(_) => Err(Reply::failure(ErrorKind::TooSlow, "the body did not come in time")),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(Reply::failure(ErrorKind::TooLarge, format_args!("{} bytes are allowed", call.body_max)))
        }
        Ok(Err(e)) => Err(Reply::failure(ErrorKind::Malformed, e)),
        Ok(Ok(body)) => Ok((call.build)(name, body.to_bytes().into())),
    }
}

/// Encodes a reply as an HTTP response. `path` is that of the call, `control` holds the port of the markers'
/// control API, and `last` says that the connection is to be closed.
pub fn encode_reply(reply: Reply, path: &str, control: SocketAddrV4, last: bool) -> Response<Full<Bytes>> {
    let (status, body) = match &reply {
        Reply::Json(text) => (200, Bytes::copy_from_slice(text.as_bytes())),
        Reply::Document(document) => (200, Bytes::copy_from_slice(&document.bytes)),
        Reply::Heartbeat(ip) => {
            let body = serde_json::json!({"heartbeat-address": format!("{ip}:{}", control.port())});
            (200, Bytes::from(body.to_string()))
        }
        Reply::Redirect(_) => (ErrorKind::Redirected.status(), Bytes::new()),
        Reply::Failure(kind, text) => {
            let row = kind.response();
            let body = serde_json::json!({"error": row.name, "what": text, "advice": row.advice});
            (row.status, Bytes::from(body.to_string()))
        }
    };
    let mut response = Response::builder().status(status).header(CONTENT_TYPE, "application/json");
    if let Reply::Redirect(ip) = reply {
        response = response.header(LOCATION, format!("http://{ip}:{}{path}", control.port()));
    }
    if status == 503 {
        response = response.header(RETRY_AFTER, RETRY_AFTER_S);
    }
    if last {
        response = response.header(CONNECTION, "close");
    }
    // Building can't fail: the status comes from the table, and all headers are plain text.
    response.body(Full::new(body)).unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn a_call_is_found_by_method_and_path() {
        let found = |method, path| find(&method, path).map(|(call, name)| (call.path, name));
        expect_that!(
            found(Method::POST, "/Instances.Heartbeat/i-7"),
            some(eq(&("/Instances.Heartbeat/", "i-7".into())))
        );
        expect_that!(
            found(Method::GET, "/Configuration.Read"),
            some(eq(&("/Configuration.Read", String::new())))
        );
        for (method, path) in [
            (Method::GET, "/Instances.Heartbeat/i-7"),
            (Method::POST, "/Instances.Heartbeat/"),
            (Method::POST, "/Instances.Heartbeat/a/b"),
            (Method::GET, "/Configuration.Read/x"),
            (Method::GET, "/"),
        ] {
            expect_that!(found(method, path), none(), "{path}");
        }
    }

    #[gtest]
    fn a_failure_has_a_status_and_a_retry_time_and_a_redirect_a_location() {
        let control = SocketAddrV4::new([10, 0, 0, 1].into(), 8042);
        let answer = encode_reply(Reply::failure(ErrorKind::Uncertain, "x"), "/y", control, false);
        expect_that!(answer.status().as_u16(), eq(503));
        expect_true!(answer.headers().contains_key(RETRY_AFTER));
        let answer = encode_reply(Reply::redirect([10, 0, 0, 4].into()), "/y", control, true);
        expect_that!(answer.status().as_u16(), eq(307));
        expect_that!(answer.headers()[LOCATION].to_str().unwrap(), eq("http://10.0.0.4:8042/y"));
    }
}
