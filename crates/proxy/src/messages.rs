//! Requests as servers get them, and answers as clients get them.

use crate::gate::Pass;
use crate::pool::{names, Answer, Body};
use crate::Millis;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT,
    PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body of an answer to a client.
pub type ResponseBody = UnsyncBoxBody<Bytes, hyper::Error>;

/// A body that is held as a whole.
pub fn whole(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Headers that concern one connection only.
fn is_for_one_connection(name: &HeaderName, named: &[String]) -> bool {
    const NAMES: [HeaderName; 9] = [
        CONNECTION,
        EXPECT,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        CONTENT_LENGTH,
    ];
    NAMES.contains(name)
        || ["keep-alive", "proxy-connection"].contains(&name.as_str())
        || named.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()))
}

fn named(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(|name| name.trim().to_owned()).collect()
}

/// A client's request as a server gets it.
pub fn forwarded(parts: &Parts, body: Bytes, pass: &Pass, life: &str, left: Millis) -> Request<Full<Bytes>> {
    let has_body = !body.is_empty() || parts.headers.contains_key(CONTENT_LENGTH);
    let length = body.len();
    let mut request = Request::new(Full::new(body));
    request.method_mut().clone_from(&parts.method);
    // The origin form, unchanged: path and query.
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    *request.uri_mut() = target.parse().unwrap_or_default();
    let named = named(&parts.headers);
    let headers = request.headers_mut();
    for (name, value) in &parts.headers {
        let own = [names::DEADLINE, names::EXPECTED, names::TENANT].contains(name);
        let key = *name == AUTHORIZATION && pass.configuration.requires_key;
        if !own && !key && !is_for_one_connection(name, &named) {
            headers.append(name, value.clone());
        }
    }
    headers.insert(names::DEADLINE, HeaderValue::from(left));
    if let Ok(value) = HeaderValue::from_str(life) {
        headers.insert(names::EXPECTED, value);
    }
    if let Some(value) = pass.tenant.as_ref().and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(names::TENANT, value);
    }
    if has_body {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    request
}

/// A server's answer as its client gets it.
pub fn passed_on(answer: Answer) -> Response<ResponseBody> {
    let (mut parts, ()) = answer.head.into_parts();
    let named = named(&parts.headers);
    let gone: Vec<HeaderName> =
        parts.headers.keys().filter(|name| is_for_one_connection(name, &named)).cloned().collect();
    for name in gone {
        // A length is right for a body that is passed on as it comes.
        let length = name == CONTENT_LENGTH && matches!(answer.body, Body::Rest(..));
        if !length {
            parts.headers.remove(name);
        }
    }
    parts.version = hyper::Version::HTTP_11;
    let body = match answer.body {
        Body::Whole(bytes) => whole(bytes),
        Body::Rest(begin, rest) => Remainder { begin: Some(begin), rest }.boxed_unsync(),
    };
    Response::from_parts(parts, body)
}

/// A body whose beginning has been read.
struct Remainder {
    begin: Option<Bytes>,
    rest: Incoming,
}

impl hyper::body::Body for Remainder {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.begin.take() {
            Some(begin) => Poll::Ready(Some(Ok(Frame::data(begin)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }
}
