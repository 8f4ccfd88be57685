//! HTTP pipelining: early work on requests that a client sends before the previous ones are answered.
//!
//! hyper processes requests one at a time and remains responsible for framing. This module only scans the
//! received bytes: as long as no request on the connection had a body, work may start on each complete head
//! without a body. When hyper reaches that request, the work is in progress or done. Once anything else is
//! seen on a connection, scanning stops for good.

use crate::messages::ResponseBody;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use std::collections::VecDeque;
use tokio::task::JoinHandle;

/// Most headers in a head that is scanned.
const HEADERS_MAX: usize = 64;
/// Most bytes buffered for an incomplete head.
const HEAD_MAX: usize = 16 << 10;

/// Starts work on a pipelined request; `None` if the request has to wait for its turn.
pub type StartEarly = Box<dyn Fn(&Parts) -> Option<JoinHandle<Response<ResponseBody>>>>;

/// Work on a pipelined request that was started ahead of its turn. Aborted when dropped.
pub struct EarlyWork {
    index: u64,
    parts: Parts,
    work: JoinHandle<Response<ResponseBody>>,
}

impl EarlyWork {
    /// Wraps work on the request at index `index` of its connection, counted from 0.
    pub fn new(index: u64, parts: Parts, work: JoinHandle<Response<ResponseBody>>) -> EarlyWork {
        EarlyWork { index, parts, work }
    }

    /// Waits for the response; `None` if the work failed. Dropping the future aborts the work.
    pub async fn answer(mut self) -> Option<Response<ResponseBody>> {
        (&mut self.work).await.ok()
    }
}

impl Drop for EarlyWork {
    fn drop(&mut self) {
        self.work.abort();
    }
}

/// The pipelined requests of one connection.
#[derive(Default)]
pub struct Pipeline {
    scanner: HeadScanner,
    early: VecDeque<EarlyWork>,
}

impl Pipeline {
    /// Scans received bytes. Returns the heads that are now complete, each with its index on the connection.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<(u64, Parts)> {
        self.scanner.feed(bytes)
    }

    /// Number of complete heads read so far, as far as the connection was scanned.
    pub fn heads_read(&self) -> u64 {
        self.scanner.heads_read
    }

    /// Number of requests that are being processed ahead of their turn.
    pub fn early_count(&self) -> usize {
        self.early.len()
    }

    /// Adds work that was started early, in ascending order of the index.
    pub fn add_early(&mut self, work: EarlyWork) {
        self.early.push_back(work);
    }

    /// Takes the early work on the request at this index, if the heads are the same.
    pub fn take(&mut self, index: u64, parts: &Parts) -> Option<EarlyWork> {
        while self.early.front().is_some_and(|early| early.index < index) {
            self.early.pop_front();
        }
        let is_same_request = |early: &EarlyWork| early.index == index && is_same_head(&early.parts, parts);
        if self.early.front().is_some_and(is_same_request) {
            self.early.pop_front()
        } else {
            None
        }
    }
}

/// Scans the bytes of one connection for request heads without a body.
#[derive(Default)]
struct HeadScanner {
    bytes: Vec<u8>,
    heads_read: u64,
    stopped: bool,
}

impl HeadScanner {
    fn feed(&mut self, bytes: &[u8]) -> Vec<(u64, Parts)> {
        let mut found = Vec::new();
        if self.stopped {
            return found;
        }
        self.bytes.extend_from_slice(bytes);
        loop {
            match parse_head(&self.bytes) {
                Head::Complete(size, parts) => {
                    self.bytes.drain(..size);
                    found.push((self.heads_read, *parts));
                    self.heads_read += 1;
                }
                Head::Partial if self.bytes.len() <= HEAD_MAX => break,
                Head::Partial | Head::Unsupported => {
                    (self.stopped, self.bytes) = (true, Vec::new());
                    break;
                }
            }
        }
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        }
        found
    }
}

enum Head {
    Complete(usize, Box<Parts>),
    Partial,
    Unsupported,
}

fn parse_head(bytes: &[u8]) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let size = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Head::Partial,
        Err(_) => return Head::Unsupported,
    };
    let framing = ["content-length", "transfer-encoding", "upgrade", "expect", "connection"];
    let has_plain_framing =
        parsed.headers.iter().all(|h| !framing.iter().any(|name| h.name.eq_ignore_ascii_case(name)));
    if parsed.method != Some(Method::GET.as_str()) || parsed.version != Some(1) || !has_plain_framing {
        return Head::Unsupported;
    }
    let mut request = Request::builder().method(Method::GET).uri(parsed.path.unwrap_or("/"));
    for header in parsed.headers.iter() {
        request = request.header(header.name, header.value);
    }
    match request.body(()) {
        Ok(request) => Head::Complete(size, Box::new(request.into_parts().0)),
        Err(_) => Head::Unsupported,
    }
}

/// Whether two request heads are equal.
fn is_same_head(one: &Parts, other: &Parts) -> bool {
    one.method == other.method && one.uri == other.uri && one.headers == other.headers
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    fn paths(pieces: &[&[u8]]) -> Vec<(u64, String)> {
        let mut scanner = HeadScanner::default();
        let found = pieces.iter().flat_map(|piece| scanner.feed(piece));
        found.map(|(n, parts)| (n, parts.uri.path().to_owned())).collect()
    }

    #[gtest]
    fn heads_are_found_regardless_of_how_the_bytes_are_split() {
        let bytes = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nX: 1\r\n\r\nGET /c HTTP/1.1\r\n\r\n";
        for piece in [1, 7, 1_000] {
            let pieces: Vec<&[u8]> = bytes.chunks(piece).collect();
            let all = [(0, "/a".into()), (1, "/b".into()), (2, "/c".into())];
            expect_that!(paths(&pieces), eq(&all.to_vec()), "{piece}");
        }
    }

    #[gtest]
    fn scanning_stops_at_a_request_that_may_have_a_body_or_is_malformed() {
        let inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
        for first in [
            format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n", inner.len()),
            "GET /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            "GET /a HTTP/1.1\r\ncontent-length: 0\r\n\r\n".to_owned(),
            "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n".to_owned(),
            "GET /a HTTP/1.0\r\n\r\n".to_owned(),
            "\0\r\n\r\n".to_owned(),
        ] {
            expect_that!(paths(&[first.as_bytes(), inner.as_bytes()]), is_empty(), "{first}");
        }
        expect_that!(
            paths(&["GET /".as_bytes(), "x".repeat(HEAD_MAX).as_bytes(), inner.as_bytes()]),
            is_empty()
        );
    }
}
