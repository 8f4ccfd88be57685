//! Lingering close: how long it waits for the client, and which input it leaves unread.

use googletest::prelude::*;
use granitelead_base::linger::Linger;
use std::future::poll_fn;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Runs a lingering close while the client runs `client`. Returns how long it took, in ms, and the number of
/// bytes left unread.
fn linger(discards: bool, client: impl AsyncFnOnce(&mut TcpStream)) -> (u128, usize) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.shutdown().await.unwrap();
        let started = Instant::now();
        let mut linger = Linger::new(discards);
        let lingering = poll_fn(|cx| linger.poll(cx, &mut stream));
        let (result, ()) = tokio::join!(lingering, client(&mut peer));
        result.unwrap();
        let elapsed_ms = started.elapsed().as_millis();
        let unread = stream.try_read(&mut [0; 64]).unwrap_or(0);
        (elapsed_ms, unread)
    })
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

#[gtest]
fn linger_ends_when_the_client_closes() {
    let closes = async |peer: &mut TcpStream| {
        sleep_ms(100).await;
        peer.shutdown().await.unwrap();
    };
    for discards in [false, true] {
        expect_that!(linger(discards, closes), eq((100, 0)));
    }
}

#[gtest]
fn the_wait_for_an_idle_client_is_bounded() {
    for discards in [false, true] {
        expect_that!(linger(discards, async |_| {}), eq((2_000, 0)));
    }
}

#[gtest]
fn a_further_request_is_left_unread_and_earlier_responses_have_time_to_arrive() {
    let sends = async |peer: &mut TcpStream| {
        sleep_ms(100).await;
        peer.write_all(b"GET /").await.unwrap();
    };
    expect_that!(linger(false, sends), eq((600, 5)));
    let sends_late = async |peer: &mut TcpStream| {
        sleep_ms(1_900).await;
        peer.write_all(b"GET /").await.unwrap();
    };
    expect_that!(linger(false, sends_late), eq((2_000, 5)));
}

#[gtest]
fn the_rest_of_a_body_is_discarded_until_the_client_closes() {
    let sends_all = async |peer: &mut TcpStream| {
        for _ in 0..10 {
            sleep_ms(30).await;
            peer.write_all(&[b'b'; 10_000]).await.unwrap();
        }
        peer.shutdown().await.unwrap();
    };
    expect_that!(linger(true, sends_all), eq((300, 0)));
}
