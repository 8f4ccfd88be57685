//! Conversion of requests and responses between clients and servers.

use crate::gate::AdmittedRequest;
use crate::pool::{header_names, Body, ServerResponse};
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

/// The body of a response to a client.
pub type ResponseBody = UnsyncBoxBody<Bytes, hyper::Error>;

/// A body that consists of these bytes.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Whether a header is hop-by-hop: standard, or listed in `Connection`. `Content-Length` counts as well,
/// since it is computed again where needed.
fn is_hop_by_hop(name: &HeaderName, connection_options: &[String]) -> bool {
    const HOP_BY_HOP: [HeaderName; 9] = [
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
    HOP_BY_HOP.contains(name)
        || ["keep-alive", "proxy-connection"].contains(&name.as_str())
        || connection_options.iter().any(|other| other.eq_ignore_ascii_case(name.as_str()))
}

fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(|name| name.trim().to_owned()).collect()
}

/// Converts a client's request to the one that a server receives, with `time_left` ms until its deadline.
pub fn build_server_request(
    parts: &Parts,
    body: Bytes,
    pass: &AdmittedRequest,
    instance: &str,
    time_left: Millis,
) -> Request<Full<Bytes>> {
    let has_body = !body.is_empty() || parts.headers.contains_key(CONTENT_LENGTH);
    let length = body.len();
    let mut request = Request::new(Full::new(body));
    request.method_mut().clone_from(&parts.method);
    // The origin form of the target, unchanged: path and query.
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    *request.uri_mut() = target.parse().unwrap_or_default();
    let connection_options = connection_options(&parts.headers);
    let headers = request.headers_mut();
    for (name, value) in &parts.headers {
        let is_internal =
            [header_names::DEADLINE, header_names::EXPECTED_INSTANCE, header_names::TENANT].contains(name);
        let is_api_key = *name == AUTHORIZATION && pass.configuration.requires_key;
        if !is_internal && !is_api_key && !is_hop_by_hop(name, &connection_options) {
            headers.append(name, value.clone());
        }
    }
    headers.insert(header_names::DEADLINE, HeaderValue::from(time_left));
    if let Ok(value) = HeaderValue::from_str(instance) {
        headers.insert(header_names::EXPECTED_INSTANCE, value);
    }
    if let Some(value) = pass.tenant.as_ref().and_then(|name| HeaderValue::from_str(name).ok()) {
        headers.insert(header_names::TENANT, value);
    }
    if has_body {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    request
}

/// Converts a server's response to the one that the client receives.
pub fn build_client_response(response: ServerResponse) -> Response<ResponseBody> {
    let (mut parts, ()) = response.head.into_parts();
    let connection_options = connection_options(&parts.headers);
    let removed: Vec<HeaderName> =
        parts.headers.keys().filter(|name| is_hop_by_hop(name, &connection_options)).cloned().collect();
    for name in removed {
        // The length stays valid for a body that is streamed.
        let is_kept_length = name == CONTENT_LENGTH && matches!(response.body, Body::Partial(..));
        if !is_kept_length {
            parts.headers.remove(name);
        }
    }
    parts.version = hyper::Version::HTTP_11;
    let body = match response.body {
        Body::Complete(bytes) => full_body(bytes),
        Body::Partial(beginning, rest) => Remainder { beginning: Some(beginning), rest }.boxed_unsync(),
    };
    Response::from_parts(parts, body)
}

/// A body whose beginning has already been read.
struct Remainder {
    beginning: Option<Bytes>,
    rest: Incoming,
}

impl hyper::body::Body for Remainder {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.beginning.take() {
            Some(beginning) => Poll::Ready(Some(Ok(Frame::data(beginning)))),
            None => Pin::new(&mut self.rest).poll_frame(cx),
        }
    }
}
