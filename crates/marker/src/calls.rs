//! Calls of servers and operators, each declared beside what takes it, and how they come over HTTP.

use crate::parts::Reply;
use crate::state::Call;
use bytes::Bytes;
use granitelead_common::configuration::BODY_MAX;
use granitelead_common::error_kinds::ErrorKind;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, LOCATION, RETRY_AFTER};
use hyper::{Method, Request, Response};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Largest body of a server's call, bytes.
const SERVER_BODY_MAX: usize = 64 << 10;
/// Time for a body to come.
const BODY_TIME: Duration = Duration::from_secs(10);
/// When to come back after a call that could not be answered, s.
const COME_BACK: &str = "0.3";

/// One call.
pub struct Declared {
    /// Its method.
    pub method: Method,
    /// Its path; with a slash at the end a name follows.
    pub path: &'static str,
    /// Largest body, bytes.
    pub body_max: usize,
    /// What it is for.
    pub about: &'static str,
    /// What takes it: the name and the body.
    take: fn(String, Vec<u8>) -> Call,
}

/// All calls.
pub const CALLS: [Declared; 5] = [
    Declared {
        method: Method::POST,
        path: "/Instances.Heartbeat/",
        body_max: SERVER_BODY_MAX,
        about: "a server is there, or will leave",
        take: |id, body| Call::Beat { id, body },
    },
    Declared {
        method: Method::POST,
        path: "/Instances.Deregister/",
        body_max: SERVER_BODY_MAX,
        about: "a server ends",
        take: |id, _| Call::Leave { id },
    },
    Declared {
        method: Method::POST,
        path: "/Configuration.Replace",
        body_max: BODY_MAX,
        about: "a whole configuration; the highest version holds",
        take: |_, body| Call::Replace { body },
    },
    Declared {
        method: Method::GET,
        path: "/Configuration.Read",
        body_max: 0,
        about: "the newest configuration, as it was sent",
        take: |_, _| Call::Read,
    },
    Declared {
        method: Method::GET,
        path: "/System.Status",
        body_max: 0,
        about: "how things are, as this marker sees them",
        take: |_, _| Call::Status,
    },
];

/// Which call a request is.
fn find(method: &Method, path: &str) -> Option<(&'static Declared, String)> {
    // The list's order and names are fixed, so that it lives as long as the program.
    static DECLARED: [Declared; 5] = CALLS;
    DECLARED.iter().filter(|call| call.method == *method).find_map(|call| {
        let name = path.strip_prefix(call.path)?;
        let named = call.path.ends_with('/');
        let fits = if named {
            !name.is_empty() && name.len() <= 200 && !name.contains('/')
        } else {
            name.is_empty()
        };
        fits.then(|| (call, name.to_owned()))
    })
}

/// Reads a request as a call.
///
/// # Errors
///
/// What to answer where it is none.
pub async fn read(request: Request<Incoming>) -> Result<Call, Reply> {
    let Some((call, name)) = find(request.method(), request.uri().path()) else {
        return Err(Reply::fault(ErrorKind::Unknown, "no such call"));
    };
    let body = Limited::new(request.into_body(), call.body_max).collect();
    match tokio::time::timeout(BODY_TIME, body).await {
        Err(_) => Err(Reply::fault(ErrorKind::TooSlow, "the body did not come in time")),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            Err(Reply::fault(ErrorKind::TooLarge, format_args!("{} bytes are allowed", call.body_max)))
        }
        Ok(Err(e)) => Err(Reply::fault(ErrorKind::Malformed, e)),
        Ok(Ok(body)) => Ok((call.take)(name, body.to_bytes().into())),
    }
}

/// A reply over HTTP; `path` is that of the call, `control` where markers are called.
pub fn write(reply: Reply, path: &str, control: SocketAddrV4, last: bool) -> Response<Full<Bytes>> {
    let (status, body) = match &reply {
        Reply::Json(text) => (200, Bytes::copy_from_slice(text.as_bytes())),
        Reply::Document(document) => (200, Bytes::copy_from_slice(&document.bytes)),
        Reply::Beats(ip) => {
            let body = serde_json::json!({"heartbeat-address": format!("{ip}:{}", control.port())});
            (200, Bytes::from(body.to_string()))
        }
        Reply::Elsewhere(_) => (ErrorKind::Redirected.status(), Bytes::new()),
        Reply::Fault(kind, text) => {
            let row = kind.response();
            let body = serde_json::json!({"error": row.name, "what": text, "advice": row.advice});
            (row.status, Bytes::from(body.to_string()))
        }
    };
    let mut response = Response::builder().status(status).header(CONTENT_TYPE, "application/json");
    if let Reply::Elsewhere(ip) = reply {
        response = response.header(LOCATION, format!("http://{ip}:{}{path}", control.port()));
    }
    if status == 503 {
        response = response.header(RETRY_AFTER, COME_BACK);
    }
    if last {
        response = response.header(CONNECTION, "close");
    }
    // A status of the table, and headers of plain text: always a response.
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
    fn a_fault_names_its_kind_and_what_to_do() {
        let control = SocketAddrV4::new([10, 0, 0, 1].into(), 8042);
        let answer = write(Reply::fault(ErrorKind::Uncertain, "x"), "/y", control, false);
        expect_that!(answer.status().as_u16(), eq(503));
        expect_true!(answer.headers().contains_key(RETRY_AFTER));
        let answer = write(Reply::elsewhere([10, 0, 0, 4].into()), "/y", control, true);
        expect_that!(answer.status().as_u16(), eq(307));
        expect_that!(answer.headers()[LOCATION].to_str().unwrap(), eq("http://10.0.0.4:8042/y"));
    }
}
