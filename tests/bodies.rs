//! End-to-end tests of request and response bodies of any length and framing.

mod peers;

use peers::*;
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

const MB: usize = 1 << 20;

/// Starts a server that calls `serve` for each request once it has read the request head.
fn server(serve: impl Fn(&mut BufReader<TcpStream>, &str) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let serve = std::sync::Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                while let Some(head) = head(&mut reader) {
                    serve(&mut reader, &head);
                }
            });
        }
    });
    addr
}

/// Reads a message head, including its first line.
fn head(from: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        (from.read_line(&mut text).ok()? > 0).then_some(())?;
    }
    Some(text)
}

/// Reads a body with the framing that its head announces; returns `None` if it is truncated.
fn body(from: &mut impl BufRead, head: &str) -> Option<Vec<u8>> {
    let head = head.to_ascii_lowercase();
    let mut all = Vec::new();
    if let Some(length) = head.lines().find_map(|line| line.strip_prefix("content-length: ")) {
        all.resize(length.parse().unwrap(), 0);
        return from.read_exact(&mut all).ok().map(|()| all);
    }
    assert!(head.contains("transfer-encoding: chunked"), "{head}");
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let length = usize::from_str_radix(line.trim().split(';').next().unwrap(), 16).unwrap();
        let mut chunk = vec![0; length + 2];
        from.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(all);
        }
        all.extend_from_slice(&chunk[..length]);
    }
}

fn start_gatekeeper(server: SocketAddr) -> (Gatekeeper, Discovery) {
    let discovery = Discovery::start();
    let listed = json!({"uid": "w0", "endpoint": server.to_string(), "az": "a", "state": "up"});
    discovery.list(2, true, &[listed]);
    let mut config = config_with_admin(discovery.addr);
    config["limits"]["memory_mb"] = 32.into();
    (Gatekeeper::ready(&config), discovery)
}

fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n * 7 + n / 251) as u8).collect()
}

fn send_request(gatekeeper: &Gatekeeper, ask: &RequestSpec) -> (String, BufReader<TcpStream>) {
    let mut client = gatekeeper.connect();
    client.send(&ask.text());
    let mut reader = BufReader::new(client.into_stream());
    (head(&mut reader).expect("a response"), reader)
}

/// Starts a server that sends a fixed response, and then closes the connection if `close` is set.
fn fixed_response_server(text: Vec<u8>, close: bool) -> SocketAddr {
    server(move |reader, _| {
        let stream = reader.get_mut();
        // Written in pieces that align with no chunk or buffer size.
        let _ = text.chunks(9_973).try_for_each(|piece| stream.write_all(piece));
        if close {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    })
}

#[test]
fn responses_of_every_framing_are_forwarded_completely() {
    let content = bytes(3 * MB);
    let mut chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in content.chunks(77_777) {
        chunked.extend(format!("{:X};name=\"value\"\r\n", chunk.len()).as_bytes());
        chunked.extend(chunk);
        chunked.extend(b"\r\n");
    }
    chunked.extend(b"0\r\nX-Sum: 1\r\n\r\n");
    let framed = |head: &str, body: &[u8]| [head.as_bytes(), body].concat();
    let length = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", content.len());
    let interim = format!("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n{length}");
    let closing = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    for (text, close) in [
        (framed(&length, &content), false),
        (framed(&interim, &content), false),
        (chunked, false),
        (framed(closing, &content), true),
        (framed("HTTP/1.0 200 OK\r\n\r\n", &content), true),
    ] {
        let name = String::from_utf8_lossy(&text[..60]).into_owned();
        let (gatekeeper, _discovery) = start_gatekeeper(fixed_response_server(text, close));
        let (head, mut rest) = send_request(&gatekeeper, &pull());
        assert!(head.starts_with("HTTP/1.1 200"), "{name}: {head}");
        assert!(body(&mut rest, &head) == Some(content.clone()), "{name}");
        let report = gatekeeper.call("telemetry");
        assert!(report.contains("app_success{tier=\"pull\"} 1\n"), "{name}: {report}");
    }
}

/// Starts a server that reports the head and body of each request on a channel.
fn recording_server() -> (SocketAddr, Receiver<(String, Vec<u8>)>) {
    let (sender, requests) = channel();
    let addr = server(move |reader, head| {
        if let Some(body) = body(reader, head) {
            let _ = sender.send((head.to_owned(), body));
            let _ = reader.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone");
        }
    });
    (addr, requests)
}

#[test]
fn pipelined_requests_of_every_framing_are_forwarded_completely() {
    let (addr, requests) = recording_server();
    let (gatekeeper, _discovery) = start_gatekeeper(addr);
    let content = bytes(2 * MB);
    let mut text = Vec::new();
    for length in [5, 70_000, 2 * MB] {
        let ask = RequestSpec { body: None, ..push() };
        let long = format!("Content-Length: {length}\r\n\r\n");
        text.extend(ask.text().replacen("\r\n\r\n", &format!("\r\n{long}"), 1).as_bytes());
        text.extend(&content[..length]);
        let chunked = "\r\nTransfer-Encoding: chunked\r\n\r\n";
        text.extend(swap_head().replacen("\r\n\r\n", chunked, 1).as_bytes());
        for chunk in content[..length].chunks(33_333) {
            text.extend(format!("{:x};a=b\r\n", chunk.len()).as_bytes());
            text.extend(chunk);
            text.extend(b"\r\n");
        }
        text.extend(b"0\r\nX-Trailer: t\r\n\r\n");
    }
    let stream = gatekeeper.connect().into_stream();
    let mut writing = stream.try_clone().unwrap();
    let writer =
        thread::spawn(move || text.chunks(7_919).for_each(|piece| writing.write_all(piece).unwrap()));
    let mut reader = BufReader::new(stream);
    for length in [5, 5, 70_000, 70_000, 2 * MB, 2 * MB] {
        let (_, seen) = requests.recv_timeout(TIMEOUT).expect("a request");
        assert!(seen == content[..length], "{length}");
        let head = head(&mut reader).unwrap();
        assert!(head.starts_with("HTTP/1.1 200"), "{length}: {head}");
        assert_eq!(body(&mut reader, &head).as_deref(), Some(&b"done"[..]));
    }
    writer.join().unwrap();
}

fn swap_head() -> String {
    RequestSpec { body: None, ..swap() }.text()
}

#[test]
fn a_client_that_expects_100_continue_gets_it() {
    let (addr, requests) = recording_server();
    let (gatekeeper, _discovery) = start_gatekeeper(addr);
    let ask = RequestSpec { body: None, ..push() }.text();
    let expects = "\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n";
    let mut client = gatekeeper.connect();
    client.send(&ask.replacen("\r\n\r\n", expects, 1));
    let mut reader = BufReader::new(client.into_stream());
    assert!(head(&mut reader).unwrap().starts_with("HTTP/1.1 100"));
    reader.get_mut().write_all(&bytes(100_000)).unwrap();
    assert!(head(&mut reader).unwrap().starts_with("HTTP/1.1 200"));
    assert!(requests.recv_timeout(TIMEOUT).unwrap().1 == bytes(100_000));
}

#[test]
fn a_truncated_response_is_truncated_at_the_client() {
    let cut = |head: &str| [head.as_bytes(), &bytes(200_000)[..]].concat();
    for text in [
        cut("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"),
        cut("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50000\r\n"),
    ] {
        let (gatekeeper, _discovery) = start_gatekeeper(fixed_response_server(text, true));
        let (head, mut rest) = send_request(&gatekeeper, &push());
        assert!(head.starts_with("HTTP/1.1 200"));
        assert_eq!(body(&mut rest, &head), None);
        assert!(gatekeeper.call("telemetry").contains("app_failure{tier=\"push\"} 1\n"));
    }
}

#[test]
fn a_response_is_streamed_as_it_is_written() {
    let (resume, resumed) = channel::<()>();
    let resumed = std::sync::Mutex::new(resumed);
    let addr = server(move |reader, _| {
        let stream = reader.get_mut();
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
        let _ = resumed.lock().unwrap().recv_timeout(TIMEOUT);
        let _ = stream.write_all(b"4\r\nlast\r\n0\r\n\r\n");
    });
    let (gatekeeper, _discovery) = start_gatekeeper(addr);
    let (head, mut rest) = send_request(&gatekeeper, &pull());
    assert!(head.contains("chunked"), "{head}");
    let mut line = String::new();
    rest.read_line(&mut line).unwrap();
    assert_eq!(line.trim(), "5");
    assert!(gatekeeper.call("telemetry").contains("app_inflight 1\n"));
    resume.send(()).unwrap();
    let mut text = String::new();
    while !text.contains("last") {
        assert!(rest.read_line(&mut text).unwrap() > 0);
    }
}

#[test]
fn bodies_larger_than_the_memory_limit_are_not_buffered() {
    let length = 32 * MB;
    let addr = server(move |reader, head| {
        let stream = reader.get_mut().try_clone().unwrap();
        if head.starts_with("POST") {
            let _ = body(reader, head);
        }
        let _ =
            (&stream).write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes());
        let part = bytes(MB);
        let _ = (0..32).try_for_each(|_| (&stream).write_all(&part));
    });
    let (gatekeeper, _discovery) = start_gatekeeper(addr);
    // Responses that no client reads yet, and a concurrent request.
    let mut waiting: Vec<_> = (0..3).map(|_| send_request(&gatekeeper, &pull())).collect();
    let sending = RequestSpec { body: Some("x".repeat(length)), ..push() };
    let (head, mut rest) = send_request(&gatekeeper, &sending);
    assert_eq!(body(&mut rest, &head).map(|body| body.len()), Some(length));
    for (head, rest) in &mut waiting {
        assert_eq!(body(rest, head).map(|body| body.len()), Some(length));
    }
    let peak = gatekeeper.peak_memory();
    assert!(peak < 24 * MB, "{peak} bytes");
}
