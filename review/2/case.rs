//! A server deregisters and is acknowledged; right after that all processes are killed and come back with their
//! disks. The server serves on, as it may. Does a gatekeeper in touch still send it requests later than `drain-ms`
//! after the acknowledgement?

#[path = "../standins.rs"]
#[allow(dead_code)]
mod standins;

use standins::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};

/// `drain-ms` of the settings.
const DRAIN: u64 = 2_000;
/// From when after the last start the machines count as in touch: twice `contact-ms`, the longest span of the pages.
const IN_TOUCH_AFTER: u64 = 6_000;
/// How long the server serves on after the acknowledgement.
const SERVES_ON: u64 = 14_000;

fn main() {
    run_case(|fleet, record, is_troubled| {
        let runs: Runs = Arc::default();
        fleet.start_all().map_err(|e| e.to_string())?;
        let markers = fleet.control();
        let start = |id: &str, zone: usize| Server::start(record, &runs, id, zone, ms(100)).map_err(|e| e.to_string());
        let servers = [start("i-k1", 0)?, start("i-k2", 1)?, start("i-k3", 2)?];
        if !configure(record, &markers, 7) {
            return Err("the configuration was not acknowledged".into());
        }
        servers.iter().enumerate().for_each(|(n, server)| server.keep_beating(markers.clone(), n));
        if !fleet.wait_ready(ms(15_000)) {
            return Err("the gatekeepers did not become ready".into());
        }

        // Clients: six at each gatekeeper, each request on a connection of its own.
        let (stop, sent) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(BTreeMap::new())));
        let mut clients = Vec::new();
        for (n, client) in (0..18).map(|client| (client % 3, client)) {
            let (stop, sent, record, to) = (stop.clone(), sent.clone(), record.clone(), fleet.front(n));
            clients.push(thread::spawn(move || {
                let mut k = 0;
                while !stop.load(SeqCst) {
                    k += 1;
                    let id = format!("c{client}-{k:05}");
                    let (method, path) = if k % 2 == 0 { ("GET", "/view/a") } else { ("POST", "/pay/a") };
                    let at = record.now();
                    sent.lock().unwrap().insert(id.clone(), at);
                    let head = request_head(method, path, &id, 3_000);
                    let answer = call(to, &head, if k % 2 == 0 { b"" } else { b"order" }, ms(3_000));
                    let text = answer.map_or_else(|e| format!("no answer ({e})"), |a| a.status().to_string());
                    record.add(format!("client: {method} {path} {id} sent at {at} ms to gatekeeper {n}: {text}"));
                    sleep(ms(100));
                }
            }));
        }
        sleep(ms(4_000));

        // A replacement starts first; then the old server leaves.
        let new = start("i-k4", 0)?;
        if !new.beat(&markers, 0) {
            return Err("the replacement was not acknowledged".into());
        }
        sleep(ms(100));
        let old = &servers[0];
        old.is_beating.store(false, SeqCst);
        let acknowledged = old.deregister(&markers, 0).ok_or("the deregistration was not acknowledged")?;
        let mut in_touch_from = acknowledged;
        if is_troubled {
            fleet.kill_all();
            record.add("platform: all processes are killed (SIGKILL); their disks stay".into());
            sleep(ms(700));
            fleet.first_start = false;
            fleet.start_all().map_err(|e| e.to_string())?;
            in_touch_from = record.now() + IN_TOUCH_AFTER;
        }
        new.keep_beating(markers.clone(), 0);
        let left = |until: u64| ms(until.saturating_sub(record.now()));
        sleep(left(acknowledged + SERVES_ON));
        old.end();
        sleep(ms(1_500));
        stop.store(true, SeqCst);
        clients.into_iter().for_each(|client| drop(client.join()));

        let (runs, sent) = (runs.lock().unwrap(), sent.lock().unwrap());
        let mut late = 0;
        for run in runs.iter().filter(|run| run.instance == "i-k1" && run.at > acknowledged + DRAIN) {
            if sent.get(&run.id).is_some_and(|at| *at >= in_touch_from) {
                late += 1;
                record.add(format!(
                    "DRAIN: {} {} ran at i-k1 at {} ms, {} ms after its deregistration was acknowledged",
                    run.method,
                    run.id,
                    run.at,
                    run.at - acknowledged
                ));
            }
        }
        let elsewhere = runs.iter().filter(|r| r.instance != "i-k1" && r.at >= in_touch_from).count();
        record.add(format!("acknowledged at {acknowledged} ms; in touch from {in_touch_from} ms; {late} late requests at i-k1, {elsewhere} runs elsewhere"));
        if elsewhere == 0 {
            return Err("nothing was served".into());
        }
        Ok(late == 0)
    })
}
