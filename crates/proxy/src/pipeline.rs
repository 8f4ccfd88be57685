//! Pipelined requests: those that a client sends before the first is answered.
//!
//! The HTTP library takes requests one at a time and remains the one that frames them. This only scans the bytes as
//! they pass: as long as no request of a connection had a body, each head that is whole and has none either is one
//! whose work may start. When the library comes to it, the work is under way or done. A connection on which anything
//! else was seen is not scanned any more.

use crate::messages::ResponseBody;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response};
use std::collections::VecDeque;
use tokio::task::JoinHandle;

/// Headers that a head may have to be looked at.
const HEADERS_MAX: usize = 64;
/// Bytes of a head that is waited for.
const HEAD_MAX: usize = 16 << 10;

/// Starts the work on a pipelined request, or gives `None` where it has to wait for its turn.
pub type StartEarly = Box<dyn Fn(&Parts) -> Option<JoinHandle<Response<ResponseBody>>>>;

/// The work on a pipelined request that was started before its turn. Aborted when dropped.
pub struct EarlyWork {
    place: u64,
    parts: Parts,
    work: JoinHandle<Response<ResponseBody>>,
}

impl EarlyWork {
    /// The work on the request at this place of its connection, counted from 0.
    pub fn new(place: u64, parts: Parts, work: JoinHandle<Response<ResponseBody>>) -> EarlyWork {
        EarlyWork { place, parts, work }
    }

    /// Waits for the answer; `None` if the work failed. Dropping the future aborts the work.
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
    /// Takes in what has been read. Gives the heads that are whole, each with its place on the connection.
    pub fn feed(&mut self, bytes: &[u8]) -> Vec<(u64, Parts)> {
        self.scanner.feed(bytes)
    }

    /// How many whole heads have been read, as far as the connection is scanned.
    pub fn heads_read(&self) -> u64 {
        self.scanner.read
    }

    /// How many requests are at work before their turn.
    pub fn early_count(&self) -> usize {
        self.early.len()
    }

    /// Adds work that was started early. Places rise.
    pub fn add_early(&mut self, work: EarlyWork) {
        self.early.push_back(work);
    }

    /// The early work on the request at this place, if it is the same request.
    pub fn take(&mut self, place: u64, parts: &Parts) -> Option<EarlyWork> {
        while self.early.front().is_some_and(|early| early.place < place) {
            self.early.pop_front();
        }
        let is_its = |early: &EarlyWork| early.place == place && is_same(&early.parts, parts);
        if self.early.front().is_some_and(is_its) {
            self.early.pop_front()
        } else {
            None
        }
    }
}

/// Scans the bytes of one connection for heads of requests without a body.
#[derive(Default)]
struct HeadScanner {
    bytes: Vec<u8>,
    read: u64,
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
            match head(&self.bytes) {
                Head::Whole(size, parts) => {
                    self.bytes.drain(..size);
                    found.push((self.read, *parts));
                    self.read += 1;
                }
                Head::Part if self.bytes.len() <= HEAD_MAX => break,
                Head::Part | Head::Other => {
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
    Whole(usize, Box<Parts>),
    Part,
    Other,
}

fn head(bytes: &[u8]) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut read = httparse::Request::new(&mut headers);
    let size = match read.parse(bytes) {
        Ok(httparse::Status::Complete(size)) => size,
        Ok(httparse::Status::Partial) => return Head::Part,
        Err(_) => return Head::Other,
    };
    let framing = ["content-length", "transfer-encoding", "upgrade", "expect", "connection"];
    let plain = read.headers.iter().all(|h| !framing.iter().any(|name| h.name.eq_ignore_ascii_case(name)));
    if read.method != Some(Method::GET.as_str()) || read.version != Some(1) || !plain {
        return Head::Other;
    }
    let mut request = Request::builder().method(Method::GET).uri(read.path.unwrap_or("/"));
    for header in read.headers.iter() {
        request = request.header(header.name, header.value);
    }
    match request.body(()) {
        Ok(request) => Head::Whole(size, Box::new(request.into_parts().0)),
        Err(_) => Head::Other,
    }
}

/// Whether two heads are of the same request.
fn is_same(one: &Parts, other: &Parts) -> bool {
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
    fn requests_are_seen_however_their_bytes_are_cut() {
        let bytes = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nX: 1\r\n\r\nGET /c HTTP/1.1\r\n\r\n";
        for piece in [1, 7, 1_000] {
            let pieces: Vec<&[u8]> = bytes.chunks(piece).collect();
            let all = [(0, "/a".into()), (1, "/b".into()), (2, "/c".into())];
            expect_that!(paths(&pieces), eq(&all.to_vec()), "{piece}");
        }
    }

    #[gtest]
    fn nothing_is_seen_behind_what_may_have_a_body_or_is_no_request() {
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
