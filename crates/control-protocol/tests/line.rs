//! A held connection whose peer does not read.

use googletest::prelude::*;
use granitelead_control_protocol::line::{self, Ended, Sender};
use granitelead_control_protocol::words::{Document, Down, News, Word};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// More may wait than its buffers hold; it ends at once when it is given up, also amid a write that does not go on.
#[gtest]
fn a_line_whose_peer_does_not_read_ends_when_it_is_given_up() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        let _peer = listener.accept().await.unwrap();
        let sender = Sender::default();
        let bytes = vec![7; 12 << 20];
        let word = Word::Down(Down::News(1, News::Configuration(Document { version: 1, bytes })));
        let size = sender.send(&word);
        expect_that!(sender.unsent(), eq(size));
        let carried = line::carry(stream, sender.clone(), Duration::from_secs(60), |_| {});
        let given_up = async {
            // Until the buffers of both are full.
            let mut left = usize::MAX;
            while sender.unsent() < left {
                left = sender.unsent();
                for _ in 0..1_000 {
                    tokio::task::yield_now().await;
                }
            }
            assert!(left > 1 << 20, "{left} bytes are left: the buffers hold all");
            sender.give_up();
            std::future::pending::<()>().await;
        };
        let ended = tokio::select! {
            ended = carried => ended,
            () = given_up => unreachable!(),
        };
        expect_true!(matches!(ended, Ended::Stuck), "{ended}");
        expect_that!(sender.send(&word), eq(0));
    });
}
