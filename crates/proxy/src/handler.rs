//! Handles one request: reads it, has it let in and forwarded, and gives its one answer.

use crate::forward::forward;
use crate::front::Front;
use crate::gate::Pass;
use crate::messages::ResponseBody;
use crate::pool::names;
use bytes::Bytes;
use granitelead_common::error_kinds::ErrorKind;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HOST};
use hyper::http::request::Parts;
use hyper::Response;
use std::cell::Cell;
use std::time::Duration;

/// Time for a body to come.
const BODY_TIME: Duration = Duration::from_secs(10);

/// How long a request waits at the most for the first configuration, and which part of its time.
const START: Duration = Duration::from_millis(700);
const START_PART: f64 = 0.3;

/// Counts something up, and down when dropped.
struct Counted<'c>(&'c Cell<usize>, usize);

impl<'c> Counted<'c> {
    fn up(cell: &'c Cell<usize>, n: usize) -> Counted<'c> {
        cell.set(cell.get() + n);
        Counted(cell, n)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

/// A request of a tenant, open until this is dropped.
struct TenantOpen<'f>(&'f Front, Option<String>);

impl<'f> TenantOpen<'f> {
    fn begin(front: &'f Front, pass: &Pass) -> TenantOpen<'f> {
        if let Some(tenant) = &pass.tenant {
            front.gate.borrow_mut().tenants.open(tenant, 1.0);
        }
        TenantOpen(front, pass.tenant.clone())
    }
}

impl Drop for TenantOpen<'_> {
    fn drop(&mut self) {
        if let Some(tenant) = &self.1 {
            self.0.gate.borrow_mut().tenants.open(tenant, -1.0);
        }
    }
}

/// Answers one request; without a body where it has none.
pub async fn answer(front: &Front, parts: &Parts, body: Option<&mut Incoming>) -> Response<ResponseBody> {
    let _open = Counted::up(&front.open, 1);
    handle(front, parts, body).await
}

async fn handle(front: &Front, parts: &Parts, body: Option<&mut Incoming>) -> Response<ResponseBody> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let Some(host) = host.or(parts.uri.host()) else { return front.refuse(ErrorKind::Malformed, None) };
    wait_for_configuration(front, &parts.headers).await;
    let admitted = front.gate.borrow_mut().admit(front.now(), host, parts.uri.path(), &parts.headers);
    let pass = match admitted {
        Ok(pass) => pass,
        Err(refusal) => return front.refuse_for(refusal, None),
    };
    let _tenant = TenantOpen::begin(front, &pass);
    let limit = usize::try_from(pass.configuration.limits.max_body_bytes).unwrap_or(usize::MAX);
    let body = match body {
        None => Bytes::new(),
        Some(body) => match collect(body, limit.min(front.held_max)).await {
            Ok(body) => body,
            Err(kind) => return front.refuse(kind, Some(&pass)),
        },
    };
    let _held = Counted::up(&front.held, body.len());
    if front.held.get() > front.held_max {
        return front.refuse(ErrorKind::Overloaded, Some(&pass));
    }
    forward(front, parts, body, &pass).await
}

/// A gatekeeper that has just started knows soon what to do with a request: better than to send it away.
async fn wait_for_configuration(front: &Front, headers: &HeaderMap) {
    let told = headers.get(names::DEADLINE).and_then(|value| value.to_str().ok()?.parse().ok());
    let wait = told.map_or(START, Duration::from_millis).mul_f64(START_PART).min(START);
    let known = async {
        while front.gate.borrow().configuration.is_none() {
            front.news.notified().await;
        }
    };
    let _ = tokio::time::timeout(wait, known).await;
}

async fn collect(body: &mut Incoming, limit: usize) -> Result<Bytes, ErrorKind> {
    match tokio::time::timeout(BODY_TIME, Limited::new(body, limit).collect()).await {
        Err(_) => Err(ErrorKind::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(ErrorKind::TooLarge),
        Ok(Err(_)) => Err(ErrorKind::Malformed),
    }
}
