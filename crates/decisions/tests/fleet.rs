//! Many gatekeepers at once: the sum of their decisions, and servers that fail partially.

mod common;
use common::*;
use granitelead_decisions::*;
use std::collections::BTreeMap;

const GATEKEEPERS: u32 = 300;

fn fleet_settings() -> Settings {
    Settings { instances: GATEKEEPERS, ..settings() }
}

/// One gatekeeper of the fleet, with its own seed and index.
fn gatekeeper(seed: u64, config: &Settings, servers: &[u64]) -> Harness {
    let mut s = Harness::new(config.clone(), &[]);
    s.gatekeeper = Gatekeeper::new(Settings { index: seed as u32, ..config.clone() }, seed, START);
    (s.timers, s.log) = (Vec::new(), Vec::new());
    s.list(ListScope::Full, servers.iter().map(|id| server(*id)).collect());
    s
}

/// Submits a request of a customer whose requests arrive at `gatekeepers` gatekeepers.
fn submit(s: &mut Harness, customer: &str, plan: usize, units: f64, gatekeepers: u32) -> String {
    s.submitted += 1;
    let id = RequestId(format!("r-{}", s.submitted));
    let customer = CustomerId(customer.into());
    let (class, plan) = (Some(ClassId(0)), Some(PlanId(plan)));
    let name = id.0.clone();
    s.event(Event::Request(Request {
        id,
        customer,
        class,
        plan,
        units,
        gatekeepers,
        time_left: 2 * S,
        body_received: true,
    }));
    name
}

fn serve_all(s: &mut Harness) {
    while !s.in_flight.is_empty() {
        s.finish_oldest(Outcome::Ok);
    }
}

/// Runs gatekeepers with two requests a second each, and a server that starts beside `warm` warm ones.
/// Returns the requests sent to it, by second since its start.
fn sends_to_a_cold_server(gatekeepers: u32, warm: u64) -> BTreeMap<u64, usize> {
    let config = Settings { instances: gatekeepers, ..settings() };
    let listed: Vec<u64> = (1..=warm).collect();
    let cold_id = warm + 1;
    let mut fleet: Vec<Harness> =
        (0..u64::from(gatekeepers)).map(|n| gatekeeper(n, &config, &listed)).collect();
    let mut by_second = BTreeMap::new();
    for step in 0..550u64 {
        for (n, s) in fleet.iter_mut().enumerate() {
            if step == 100 {
                s.list(ListScope::Delta, vec![ServerInfo { started: Some(s.now), ..server(cold_id) }]);
            }
            let before = s.sends.len();
            if (step + n as u64).is_multiple_of(25) {
                s.submit(&format!("c{n}-{step}"), 0, 0, 0.1);
            }
            s.advance(20 * MS);
            let cold = s.sends[before..].iter().filter(|(_, _, w)| *w == cold_id).count();
            if step >= 100 {
                *by_second.entry((step - 100) / 50).or_insert(0usize) += cold;
            }
            if step % 5 == 0 {
                serve_all(s);
            }
        }
    }
    by_second
}

/// Capacity of a server that serves `warm` requests a second when warm, by second since its start: a fifth at
/// the start, all of it after ten seconds.
fn capacity(warm: f64, second: u64) -> f64 {
    warm * (0.2 + 0.08 * (second as f64 + 1.0))
}

#[test]
fn three_hundred_gatekeepers_do_not_overload_a_cold_server() {
    // Warm servers get twenty requests a second. A cold one fails above twice its capacity.
    let by_second = sends_to_a_cold_server(300, 30);
    for (second, sent) in &by_second {
        let most = 2.0 * capacity(20.0, *second) + 2.0;
        assert!(*sent as f64 <= most, "second {second}: {sent} sent to the cold server");
    }
    assert!(by_second.values().sum::<usize>() > 10, "it must get some requests: {by_second:?}");
}

#[test]
fn a_hundred_gatekeepers_together_use_a_cold_servers_capacity() {
    // Warm servers get forty requests a second, of which one gatekeeper sees less than one.
    let by_second = sends_to_a_cold_server(100, 5);
    for (second, sent) in &by_second {
        let most = 2.0 * capacity(40.0, *second) + 2.0;
        assert!(*sent as f64 <= most, "second {second}: {sent} sent to the cold server");
    }
    let (got, can): (usize, f64) =
        (by_second.values().sum(), by_second.keys().map(|second| capacity(40.0, *second)).sum());
    assert!(got as f64 >= can / 2.0, "{got} sent where {can} could be served: {by_second:?}");
}

#[test]
fn three_hundred_gatekeepers_keep_a_ceiling_without_communicating() {
    let mut config = fleet_settings();
    config.counter = false;
    config.plans[1] =
        Plan { ceiling_rate: 600.0, ceiling_burst: 1200.0, ceiling_slack: 120.0, ..Plan::default() };
    let mut fleet: Vec<Harness> = (0..u64::from(GATEKEEPERS)).map(|n| gatekeeper(n, &config, &[1])).collect();
    // Idle until all buckets are full.
    fleet.iter_mut().for_each(|s| s.advance(5 * S));
    let (mut level, mut lowest) = (1200.0f64, 1200.0f64);
    for _ in 0..200 {
        level = (level + 600.0 * 0.05).min(1200.0);
        for s in fleet.iter_mut() {
            let before = s.sends.len();
            submit(s, "ada", 1, 2.0, GATEKEEPERS);
            serve_all(s);
            s.advance(50 * MS);
            level -= 2.0 * (s.sends.len() - before) as f64;
            serve_all(s);
        }
        lowest = lowest.min(level);
    }
    assert!(lowest >= -120.0, "the level fell to {lowest}");
    assert!(lowest < 100.0, "the test must press against the ceiling: {lowest}");
}

#[test]
fn a_part_below_one_request_waits_for_a_total_that_decides() {
    for (already, served) in [(0.0, true), (30.0, false)] {
        let mut s = gatekeeper(5, &fleet_settings(), &[1]);
        s.advance(2 * S);
        let id = submit(&mut s, "ada", 0, 4.0, 150);
        assert_eq!((s.sent(&id), s.calls.len()), (0, 1), "one call both adds and reads");
        let name = s.calls[0].0.clone();
        s.event(Event::Counter { name, outcome: CounterOutcome::Total(already + s.calls[0].1) });
        assert_eq!(s.sent(&id) == 1, served, "{already} of 20 used by others");
        assert_eq!(matches!(s.answer_of(&id), Some(Answer::Refused(_))), !served);
    }
}

#[test]
fn parts_below_one_request_sum_to_the_quota_without_the_counter() {
    let mut config = fleet_settings();
    config.counter = false;
    let mut fleet: Vec<Harness> = (0..100).map(|n| gatekeeper(n, &config, &[1])).collect();
    let mut later = 0.0;
    for second in 0..100u64 {
        for s in fleet.iter_mut() {
            let before = s.sends.len();
            submit(s, "ada", 0, 2.0, 100);
            serve_all(s);
            s.advance(S);
            later += if second >= 40 { 2.0 * (s.sends.len() - before) as f64 } else { 0.0 };
        }
    }
    // 200 units a second asked, 10 a second allowed: over 60 s about 600.
    assert!((300.0..=700.0).contains(&later), "{later} units admitted over 60 s");
}

#[test]
fn the_call_rate_adapts_to_the_counters_capacity_and_recovers_after_an_outage() {
    // A counter that answers 40 calls in each 100 ms and rejects the rest.
    let config = fleet_settings();
    let mut fleet: Vec<Harness> = (0..u64::from(GATEKEEPERS)).map(|n| gatekeeper(n, &config, &[1])).collect();
    let (mut asked, mut answered) = (vec![0; 30], vec![0; 30]);
    for step in 0..300u64 {
        let mut capacity_left = if (150..200).contains(&step) { 0 } else { 40 };
        for n in 0..fleet.len() {
            // The order varies, so that no gatekeeper is always rejected.
            let at = (n + 37 * step as usize) % fleet.len();
            let s = &mut fleet[at];
            submit(s, &format!("c{at}-{step}"), 0, 2.0, 150);
            for (name, amount) in std::mem::take(&mut s.calls) {
                let ok = capacity_left > 0;
                capacity_left -= i32::from(ok);
                asked[step as usize / 10] += 1;
                answered[step as usize / 10] += i32::from(ok);
                let outcome = if ok { CounterOutcome::Total(amount) } else { CounterOutcome::Refused };
                s.event(Event::Counter { name, outcome });
            }
            serve_all(s);
            s.advance(100 * MS);
        }
    }
    assert!(asked[0] <= 800, "{} calls in the first second", asked[0]);
    for second in [8, 11, 14, 26, 29] {
        assert!(answered[second] >= 200, "second {second}: {} of 400 answered", answered[second]);
        assert!(asked[second] <= 900, "second {second}: {} calls where 400 can be answered", asked[second]);
    }
    assert!(asked[19] <= asked[14], "fewer during the outage: {asked:?}");
}

#[test]
fn a_server_that_fails_one_class_is_avoided_for_that_class_only() {
    for silent in [false, true] {
        let mut s = Harness::new(settings(), &[1, 2, 3]);
        let mut at_failing = [0, 0];
        for step in 0..600u64 {
            let class = (step % 2) as usize * 2;
            let before = s.sends.len();
            s.submit(&format!("c{step}"), class, 0, 1.0);
            for (_, _, w) in &s.sends[before..] {
                at_failing[class / 2] += usize::from(*w == 1 && step >= 200);
            }
            s.advance(20 * MS);
            // At server 1, class 0 fails; odd requests are of class 2 and are served.
            let fails = |o: &InFlight| o.server == 1 && o.request.ends_with(['1', '3', '5', '7', '9']);
            for o in std::mem::take(&mut s.in_flight) {
                match (fails(&o), silent && s.answer_of(&o.request).is_none()) {
                    (true, true) => s.in_flight.push(o),
                    (true, false) => s.finish(o, if silent { Outcome::Cancelled } else { Outcome::Error }),
                    (false, _) => s.finish(o, Outcome::Ok),
                }
            }
        }
        assert!(at_failing[0] <= 20, "{} of the failing class sent there, silent: {silent}", at_failing[0]);
        assert!(at_failing[1] >= 30, "{} of the other class sent there, silent: {silent}", at_failing[1]);
    }
}

#[test]
fn lost_answers_neither_empty_the_fleet_nor_repeat_effects() {
    // Every fifth answer of all servers is lost; the deduplicated class stays in its cell and its window.
    let cell = |id: u64| ServerInfo { cell: id % 3, ..server(id) };
    let mut s = Harness::with(settings(), (1..=9).map(cell).collect());
    let mut class_of = BTreeMap::new();
    for step in 0..900u64 {
        let class = (step % 3) as usize;
        class_of.insert(s.submit(&format!("c{step}"), class, 0, 1.0), class);
        s.advance(20 * MS);
        let (due, rest) = std::mem::take(&mut s.in_flight).into_iter().partition(|o: &InFlight| {
            let n = o.request.trim_start_matches("r-").parse::<u64>().unwrap();
            !(n + o.attempt as u64).is_multiple_of(5)
        });
        s.in_flight = rest;
        let due: Vec<InFlight> = due;
        due.into_iter().for_each(|o| s.finish(o, Outcome::Ok));
    }
    let mut used: Vec<u64> = s.sends[s.sends.len() - 200..].iter().map(|(_, _, w)| *w).collect();
    used.sort_unstable();
    used.dedup();
    assert!(used.len() >= 5, "only servers {used:?} are used");
    for (id, class) in &class_of {
        let sends: Vec<&(Micros, String, u64)> = s.sends.iter().filter(|(_, other, _)| other == id).collect();
        match class {
            1 => assert!(sends.iter().all(|x| x.2 % 3 == sends[0].2 % 3 && x.0 < sends[0].0 + S)),
            2 => assert!(sends.len() <= 1, "{id} may have run and was sent again"),
            _ => {}
        }
    }
    let refused = class_of.keys().filter(|id| matches!(s.answer_of(id), Some(Answer::Refused(_)))).count();
    assert!(refused <= 20, "{refused} of 900 refused");
}

/// The servers that each gatekeeper sends to, submitting one request at a time.
fn used_by(gatekeepers: u32, servers: Vec<ServerInfo>, requests: usize) -> Vec<BTreeMap<u64, usize>> {
    let gatekeeper = |index: u32| {
        let config = Settings { instances: gatekeepers, index, counter: false, ..settings() };
        let mut s = Harness::with(config.clone(), Vec::new());
        s.gatekeeper = Gatekeeper::new(config, u64::from(index), START);
        s.list(ListScope::Full, servers.clone());
        for n in 0..requests {
            s.submit(&format!("c{n}"), 0, 0, 0.01);
            // The latency that a gatekeeper initially expects.
            s.advance(125 * MS);
            serve_all(&mut s);
        }
        let mut used = BTreeMap::new();
        s.sends.iter().for_each(|(_, _, w)| *used.entry(*w).or_insert(0) += 1);
        used
    };
    (0..gatekeepers).map(gatekeeper).collect()
}

/// Listed servers: ids carry no order, and sort keys are the same at every gatekeeper.
fn placed(ids: impl Iterator<Item = u64>) -> Vec<ServerInfo> {
    ids.map(|id| ServerInfo { sort_key: hash(&format!("s-{id}")), ..server(id) }).collect()
}

#[test]
fn many_gatekeepers_send_to_even_subsets_of_the_servers() {
    let mut at_each = BTreeMap::new();
    for used in used_by(100, placed(1..=60), 120) {
        assert!((7..=8).contains(&used.len()), "one gatekeeper sends to {}", used.len());
        used.into_keys().for_each(|w| *at_each.entry(w).or_insert(0) += 1);
    }
    assert_eq!(at_each.len(), 60, "all servers are used");
    assert!(at_each.values().all(|n| (11..=16).contains(n)), "gatekeepers at each server: {at_each:?}");
}

#[test]
fn a_list_change_replaces_few_servers_of_a_subset() {
    let before = used_by(100, placed(1..=60), 120);
    // Six of sixty replaced.
    let after = used_by(100, placed(7..=66), 120);
    let kept = |(a, b): (&BTreeMap<u64, usize>, &BTreeMap<u64, usize>)| {
        a.keys().filter(|w| b.contains_key(w)).count()
    };
    let kept: usize = before.iter().zip(&after).map(kept).sum();
    // Subsets drawn at random would have 96 in common.
    assert!(kept >= 350, "{kept} of 800 kept where 720 could be");
}

#[test]
fn few_gatekeepers_send_to_all_servers() {
    for used in used_by(4, placed(1..=20), 400) {
        assert_eq!(used.len(), 20);
    }
}

#[test]
fn cold_servers_count_by_their_warmth_in_the_concurrency_limit() {
    let out = |cold: u64| {
        let config = Settings { instances: 100, counter: false, ..settings() };
        let mut s = gatekeeper(3, &config, &[]);
        let started = |id| (id <= cold).then_some(s.now);
        let servers = (1..=60).map(|id| ServerInfo { started: started(id), ..server(id) }).collect();
        s.list(ListScope::Full, servers);
        for n in 0..20 {
            s.submit(&format!("c{n}"), 0, 0, 0.01);
        }
        s.in_flight.len()
    };
    // Four at each of sixty, over a hundred gatekeepers: 2.4 each. With forty at a fifth, 28 are left: 1.1
    // each.
    assert_eq!((out(0), out(40)), (3, 2));
}
