//! Tests of a connection whose peer doesn't read.

use googletest::prelude::*;
use granitelead_control_protocol::connection::{self, Disconnect, Sender};
use granitelead_control_protocol::messages::{Document, Message, ToGatekeeper, Update};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// More bytes are queued than the socket buffers hold. An abort ends the connection at once, also during a
/// blocked write.
#[gtest]
fn an_aborted_connection_ends_although_its_peer_does_not_read() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let _peer = listener.accept().await.unwrap();
        let sender = Sender::default();
        let bytes = vec![7; 12 << 20];
        let message = Message::ToGatekeeper(ToGatekeeper::Update(
            1,
            Update::Configuration(Document { version: 1, bytes }),
        ));
        let size = sender.send(&message);
        expect_that!(sender.unsent(), eq(size));
        let running = connection::run(stream, sender.clone(), Duration::from_secs(60), |_| {});
        let aborted = async {
            // Wait until the socket buffers of both ends are full.
            let mut left = usize::MAX;
            while sender.unsent() < left {
                left = sender.unsent();
                for _ in 0..1_000 {
                    tokio::task::yield_now().await;
                }
            }
            assert!(left > 1 << 20, "only {left} bytes are unsent: the socket buffers hold the rest");
            sender.abort();
            std::future::pending::<()>().await;
        };
        let ended = tokio::select! {
            ended = running => ended,
            () = aborted => unreachable!(),
        };
        expect_true!(matches!(ended, Disconnect::Stuck), "{ended}");
        expect_that!(sender.send(&message), eq(0));
    });
}
