//! Handles one request: admission, reading the body, forwarding, and its one response.

use crate::forward::forward;
use crate::gate::AdmittedRequest;
use crate::messages::ResponseBody;
use crate::pool::header_names;
use crate::shared_state::SharedState;
use bytes::Bytes;
use granitelead_common::error_kinds::ErrorKind;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HOST};
use hyper::http::request::Parts;
use hyper::Response;
use std::cell::Cell;
use std::time::Duration;

/// Timeout for reading a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a request waits at most for the first configuration after a start, in absolute terms and as a
/// fraction of its time.
const CONFIGURATION_WAIT_MAX: Duration = Duration::from_millis(700);
const CONFIGURATION_WAIT_FRACTION: f64 = 0.3;

/// Adds an amount to a counter, and subtracts it when dropped.
struct CounterGuard<'c>(&'c Cell<usize>, usize);

impl<'c> CounterGuard<'c> {
    fn up(counter: &'c Cell<usize>, amount: usize) -> CounterGuard<'c> {
        counter.set(counter.get() + amount);
        CounterGuard(counter, amount)
    }
}

impl Drop for CounterGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

/// Counts a request as open for its tenant until dropped.
struct OpenTenantRequest<'f>(&'f SharedState, Option<String>);

impl<'f> OpenTenantRequest<'f> {
    fn begin(shared: &'f SharedState, pass: &AdmittedRequest) -> OpenTenantRequest<'f> {
        if let Some(tenant) = &pass.tenant {
            shared.gate.borrow_mut().tenants.add_open_requests(tenant, 1.0);
        }
        OpenTenantRequest(shared, pass.tenant.clone())
    }
}

impl Drop for OpenTenantRequest<'_> {
    fn drop(&mut self) {
        if let Some(tenant) = &self.1 {
            self.0.gate.borrow_mut().tenants.add_open_requests(tenant, -1.0);
        }
    }
}

/// Handles one request and returns its response. `body` is `None` for a request without a body.
pub async fn handle_request(
    shared: &SharedState,
    parts: &Parts,
    body: Option<&mut Incoming>,
) -> Response<ResponseBody> {
    let _open_request = CounterGuard::up(&shared.open_requests, 1);
    process_request(shared, parts, body).await
}

async fn process_request(
    shared: &SharedState,
    parts: &Parts,
    body: Option<&mut Incoming>,
) -> Response<ResponseBody> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let Some(host) = host.or(parts.uri.host()) else { return shared.refuse(ErrorKind::Malformed, None) };
    wait_for_configuration(shared, &parts.headers).await;
    let admitted = shared.gate.borrow_mut().admit(shared.now(), host, parts.uri.path(), &parts.headers);
    let pass = match admitted {
        Ok(pass) => pass,
        Err(refusal) => return shared.refuse_for(refusal, None),
    };
    let _tenant = OpenTenantRequest::begin(shared, &pass);
    let limit = usize::try_from(pass.configuration.limits.max_body_bytes).unwrap_or(usize::MAX);
    let body = match body {
        None => Bytes::new(),
        Some(body) => match read_body(body, limit.min(shared.buffered_bytes_max)).await {
            Ok(body) => body,
            Err(kind) => return shared.refuse(kind, Some(&pass)),
        },
    };
    let _buffered = CounterGuard::up(&shared.buffered_bytes, body.len());
    if shared.buffered_bytes.get() > shared.buffered_bytes_max {
        return shared.refuse(ErrorKind::Overloaded, Some(&pass));
    }
    forward(shared, parts, body, &pass).await
}

/// Waits a limited time for the first configuration. It arrives soon after a start, so requests need not be
/// rejected.
async fn wait_for_configuration(shared: &SharedState, headers: &HeaderMap) {
    let time_left = headers.get(header_names::DEADLINE).and_then(|value| value.to_str().ok()?.parse().ok());
    let wait = time_left
        .map_or(CONFIGURATION_WAIT_MAX, Duration::from_millis)
        .mul_f64(CONFIGURATION_WAIT_FRACTION)
        .min(CONFIGURATION_WAIT_MAX);
    let configured = async {
        while shared.gate.borrow().configuration.is_none() {
            shared.marker_updates.notified().await;
        }
    };
    let _ = tokio::time::timeout(wait, configured).await;
}

async fn read_body(body: &mut Incoming, limit: usize) -> Result<Bytes, ErrorKind> {
    match tokio::time::timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
        Err(_) => Err(ErrorKind::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(ErrorKind::TooLarge),
        Ok(Err(_)) => Err(ErrorKind::Malformed),
    }
}
