//! What the generator itself sustains, so that a gatekeeper's figures are not the generator's. Measures, and is not part
//! of the suite: `cargo test --release -p granitelead-lab --test generator -- --ignored --nocapture`

use granitelead_lab::experiment::{Experiment, Mode};
use granitelead_lab::loopback::clients::Clients;
use granitelead_lab::loopback::links::Network;
use granitelead_lab::results::{Gatherer, Row, Run};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

async fn answer(request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let _ = request.into_body().collect().await;
    Ok(Response::new(Full::new(Bytes::from_static(b"served\n"))))
}

/// A server that does nothing but answer, on a thread of its own.
fn plain_server() -> SocketAddr {
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            tell.send(listener.local_addr().unwrap()).unwrap();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                stream.set_nodelay(true).unwrap();
                let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer));
                spawn_local(async move { drop(served.await) });
            }
        });
    });
    told.recv().unwrap()
}

#[test]
#[ignore]
fn requests_a_second_against_a_plain_server() {
    let server = plain_server();
    let rates = [2_000.0, 5_000.0, 10_000.0, 20_000.0];
    for (rate, linked) in rates.into_iter().flat_map(|rate| [(rate, false), (rate, true)]) {
        let load = rate * 0.2968 / 72.0;
        let text = format!(
            "ask = 'x'\nseconds = 3\n[fleet]\ngatekeepers = 1\n[traffic]\nload = {load}\nheavy = [0.0, 1.0]\n"
        );
        let experiment = Experiment::parse(&text, Path::new("x"), Mode::VirtualTime).unwrap();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let run = LocalSet::new().block_on(&runtime, async {
            let network = Network::new(1, |_, _| {});
            network.join(1, server, false).unwrap();
            let at = if linked { network.address(0, 1).unwrap() } else { server };
            let run = Run { classes: vec![Row::of("check"), Row::of("transfer")], ..Run::default() };
            let clients = Clients::new(experiment, vec![at], 1, Gatherer::new(0, 3, run), Rc::default());
            clients.clone().ask(1).await;
            let took = clients.elapsed().as_secs_f64();
            let run = clients.gatherer.replace(Gatherer::new(0, 0, Run::default())).finish();
            (run, took)
        });
        let (run, took) = run;
        println!(
            "asked {rate:.0}/s, {}: answered {:.0}/s, p50 {:.2} ms, p99 {:.2} ms from when they were due",
            if linked { "through a link" } else { "no link" },
            (run.all.in_time + run.all.late) as f64 / took,
            run.latencies[0].p50,
            run.latencies[0].p99
        );
    }
}
