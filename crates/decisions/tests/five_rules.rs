//! The five rules, each tested by itself and as an invariant under random events from fixed seeds.

mod common;
use common::*;
use granitelead_decisions::*;
use std::collections::BTreeMap;

#[test]
fn a_request_without_servers_is_refused_early_and_once() {
    let mut s = Harness::new(settings(), &[]);
    let id = s.submit("ada", 0, 0, 1.0);
    s.advance(400 * MS);
    assert!(matches!(s.answer_of(&id), Some(Answer::Refused(_))));
    s.advance(5 * S);
    assert_eq!(s.answers[&id].len(), 1);
}

#[test]
fn a_request_at_a_silent_server_fails_by_its_deadline() {
    let mut s = Harness::new(settings(), &[1]);
    let id = s.submit("ada", 2, 0, 1.0);
    s.advance(2 * S - MS);
    assert_eq!(s.answer_of(&id), Some(Answer::Failed));
    // A late outcome changes nothing.
    s.finish_oldest(Outcome::Timeout);
    assert_eq!((s.answers[&id].len(), s.sent(&id)), (1, 1));
}

#[test]
fn a_request_is_not_retried_after_its_client_disconnects() {
    let mut s = Harness::new(settings(), &[1, 2]);
    let id = s.submit("ada", 0, 0, 1.0);
    s.event(Event::ClientGone(RequestId(id.clone())));
    s.finish_oldest(Outcome::Error);
    s.advance(S);
    assert_eq!((s.sent(&id), s.answer_of(&id)), (1, None));
}

#[test]
fn an_at_most_once_request_is_retried_only_if_not_executed() {
    let mut s = Harness::new(settings(), &[1, 2]);
    let id = s.submit("ada", 2, 0, 1.0);
    s.finish_oldest(Outcome::Full);
    assert_eq!(s.sent(&id), 2, "rejected unread: it may be retried elsewhere");
    s.finish_oldest(Outcome::Reset);
    s.advance(S);
    assert_eq!(
        (s.sent(&id), s.answer_of(&id)),
        (2, Some(Answer::Failed)),
        "it may have been executed, so it is not refused"
    );
}

#[test]
fn a_deduplicated_request_stays_in_its_group_and_window() {
    let cell = |id, cell| ServerInfo { cell, ..server(id) };
    let mut s = Harness::with(settings(), vec![cell(1, 1), cell(2, 1), cell(3, 2)]);
    for _ in 0..40 {
        let id = s.submit("ada", 1, 0, 0.1);
        let first = s.sends.last().unwrap().2;
        s.finish_oldest(Outcome::Error);
        s.advance(300 * MS);
        let group = |w: u64| if w == 3 { 2 } else { 1 };
        for (at, request, w) in s.sends.iter().filter(|(_, request, _)| *request == id) {
            assert_eq!(group(*w), group(first), "{request} left its cell");
            assert!(*at < s.now + S);
        }
        while !s.in_flight.is_empty() {
            s.finish_oldest(Outcome::Ok);
        }
        s.advance(2 * S);
    }
}

#[test]
fn a_deduplicated_request_is_not_retried_after_its_window() {
    let mut config = settings();
    config.classes[1].key_window = 280 * MS;
    let mut s = Harness::new(config, &[1, 2, 3]);
    let id = s.submit("ada", 1, 0, 1.0);
    s.advance(400 * MS);
    s.finish_oldest(Outcome::Error);
    s.advance(S);
    assert_eq!((s.sent(&id), s.answer_of(&id)), (1, Some(Answer::Failed)));
}

#[test]
fn without_hedging_a_request_has_one_attempt_in_flight() {
    let mut config = settings();
    config.limits.hedging = false;
    let mut s = Harness::new(config, &[1, 2]);
    let id = s.submit("ada", 0, 0, 1.0);
    s.advance(S);
    assert_eq!(s.sent(&id), 1);
}

#[test]
fn draining_and_removed_servers_get_no_new_requests() {
    for availability in [Availability::Draining, Availability::Gone] {
        let mut s = Harness::new(settings(), &[1, 2]);
        s.list(ListScope::Delta, vec![ServerInfo { availability, ..server(1) }]);
        for n in 0..30 {
            s.submit(&format!("c{n}"), 0, 0, 1.0);
            while !s.in_flight.is_empty() {
                s.finish_oldest(Outcome::Ok);
            }
        }
        assert!(s.sends.len() == 30 && s.sends.iter().all(|(_, _, w)| *w == 2));
    }
    let mut s = Harness::new(settings(), &[1, 2]);
    s.list(ListScope::Full, vec![server(2)]);
    s.submit("ada", 0, 0, 1.0);
    assert_eq!(s.sends[0].2, 2, "a server absent from a full list is removed");
}

#[test]
fn a_cold_server_gets_no_more_than_its_share() {
    let mut s = Harness::new(settings(), &[1, 2, 3]);
    let mut cold = 0;
    for round in 0..200 {
        if round == 100 {
            s.list(ListScope::Delta, vec![ServerInfo { started: Some(s.now), ..server(4) }]);
        }
        for n in 0..3 {
            s.submit(&format!("c{round}-{n}"), 0, 0, 1.0);
        }
        s.advance(20 * MS);
        while !s.in_flight.is_empty() {
            cold += usize::from(s.in_flight[0].server == 4);
            s.finish_oldest(Outcome::Ok);
        }
    }
    // 150 requests a second over 3 warm servers and 100 rounds of 20 ms: an equal part would be 75. At 0.2 to
    // 0.36 of a warm server's capacity, a third of that is the most.
    assert!((1..=27).contains(&cold), "{cold} sent to the cold server");
}

#[test]
fn gatekeepers_together_stay_below_a_ceiling_across_restarts() {
    // Two gatekeepers without a counter; the second is restarted repeatedly.
    let mut config = settings();
    config.counter = false;
    config.plans[1].rate = 1000.0;
    config.plans[1].burst = 100_000.0;
    let mut steady = Harness::new(config.clone(), &[1]);
    let mut flaky = Harness::new(config.clone(), &[1]);
    let (mut level, mut lowest) = (40.0f64, 40.0f64);
    for round in 0..3000u64 {
        if round % 500 == 499 {
            flaky = Harness { now: flaky.now, ..Harness::new(config.clone(), &[]) };
            flaky.gatekeeper = Gatekeeper::new(config.clone(), round, flaky.now);
            flaky.list(ListScope::Cached, vec![server(1)]);
        }
        // Sometimes both are idle until their buckets are full again.
        let rest = if round % 600 == 599 { 3 * S } else { 0 };
        level = (level + 20.0 * (0.01 + rest as f64 / 1e6)).min(40.0);
        for s in [&mut steady, &mut flaky] {
            s.advance(rest);
            let before = s.sends.len();
            s.submit("ada", 0, 1, 4.0);
            s.advance(10 * MS);
            let mut new_requests = BTreeMap::new();
            s.sends[before..].iter().for_each(|(_, id, _)| *new_requests.entry(id.clone()).or_insert(0) += 1);
            level -= 4.0 * new_requests.len() as f64;
            while !s.in_flight.is_empty() {
                s.finish_oldest(Outcome::Ok);
            }
        }
        lowest = lowest.min(level);
    }
    assert!(lowest >= -4.0, "the level fell to {lowest}");
    assert!(lowest < 0.0, "the test must press against the ceiling: {lowest}");
}

/// Feeds random events and checks after each one that no rule is broken.
fn run_random_events(seed: u64) -> Vec<Action> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut config = settings();
    config.limits.hedging = seed.is_multiple_of(2);
    let mut s = Harness::new(config.clone(), &[1, 2, 3]);
    let mut totals = BTreeMap::new();
    let mut ready: BTreeMap<u64, bool> = (1..=5).map(|id| (id, id <= 3)).collect();
    let mut ran: BTreeMap<String, bool> = BTreeMap::new();
    let mut class_of: BTreeMap<String, usize> = BTreeMap::new();
    let outcomes = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Full,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
    ];
    for step in 0..1200 {
        let before = s.sends.len();
        match rng.u32(..12) {
            0..=3 => {
                let (class, plan) = (rng.usize(..3), rng.usize(..2));
                let units = 0.5 + 3.5 * rng.f64();
                let id = format!("r-{}", s.submitted + 1);
                class_of.insert(id, class);
                s.submit(&format!("c{}", rng.u32(..6)), class, plan, units);
            }
            4..=7 if !s.in_flight.is_empty() => {
                let o = s.in_flight.remove(rng.usize(..s.in_flight.len()));
                let outcome = outcomes[rng.usize(..outcomes.len())];
                let never = matches!(outcome, Outcome::Full | Outcome::ConnectFailed);
                *ran.entry(o.request.clone()).or_default() |= !never;
                s.finish(o, outcome);
            }
            8 => {
                let id = rng.u64(1..6);
                let availability =
                    [Availability::Ready, Availability::Draining, Availability::Gone][rng.usize(..3)];
                ready.insert(id, availability == Availability::Ready);
                let started = rng.bool().then_some(s.now);
                s.list(ListScope::Delta, vec![ServerInfo { availability, started, ..server(id) }]);
            }
            9 => s.answer_calls(
                [Counter::Answers, Counter::Silent, Counter::Refuses][rng.usize(..3)],
                &mut totals,
            ),
            10 => {
                totals.clear();
                s.event(Event::Counter {
                    name: CounterName("never asked for".into()),
                    outcome: CounterOutcome::Total(f64::NAN),
                });
                s.event(Event::ClientGone(RequestId("unknown".into())));
                s.event(Event::Timer(TimerToken(987_654)));
            }
            _ => s.advance(rng.u64(1..200) * MS),
        }
        for (at, id, w) in &s.sends[before..] {
            assert!(ready[w], "step {step}: sent to a server that is not ready");
            let earlier = s.sends.iter().filter(|(t, other, _)| other == id && t < at).count();
            if class_of[id] == 2 && earlier > 0 {
                assert!(!ran.get(id).copied().unwrap_or(false), "step {step}: {id} may have run already");
            }
            let out = s.in_flight.iter().filter(|o| o.request == *id).count();
            let most = if config.limits.hedging && class_of[id] != 2 { 4 } else { 1 };
            assert!(out <= most, "step {step}: {out} attempts of {id} out");
        }
        for (id, answers) in &s.answers {
            assert_eq!(answers.len(), 1, "step {step}: {id} has {answers:?}");
            let harmless = class_of[id] == 0 || ran.get(id) != Some(&true);
            assert!(harmless || !matches!(answers[0], Answer::Refused(_)), "step {step}: {id} refused");
        }
    }
    let asked = s.submitted;
    s.advance(3 * S);
    while !s.in_flight.is_empty() {
        s.finish_oldest(Outcome::Timeout);
    }
    assert_eq!(s.answers.len() as u64, asked, "every request has its answer");
    s.log
}

#[test]
fn random_events_break_no_rules() {
    // Refused attempts were not executed, so a refusal after nothing but those is harmless; all else is
    // checked.
    for seed in 0..16 {
        run_random_events(seed);
    }
}

#[test]
fn the_same_events_produce_the_same_actions() {
    assert_eq!(run_random_events(3), run_random_events(3));
}

/// A restart begins without state; an upgrade hands it over, so both processes share one ceiling.
#[test]
fn a_process_and_its_successor_share_one_ceiling() {
    let mut config = settings();
    (config.instances, config.counter) = (1, false);
    config.plans[1].over_quota_value = 2.0;
    // Submits `times` requests at one moment and returns how many were sent.
    let spend = |s: &mut Harness, times: usize| {
        let before = s.sends.len();
        for _ in 0..times {
            s.submit("c", 0, 1, 1.0);
            if !s.in_flight.is_empty() {
                s.finish_oldest(Outcome::Ok);
            }
        }
        s.sends.len() - before
    };
    for seen in [0, 10] {
        let mut old = Harness::new(config.clone(), &[1, 2, 3]);
        let mut alone = Harness::new(config.clone(), &[1, 2, 3]);
        for harness in [&mut old, &mut alone] {
            harness.advance(20 * S);
            assert_eq!(spend(harness, seen), seen);
        }
        let whole = spend(&mut alone, 100);
        let text = serde_json::to_string(&old.gatekeeper.hand_over(old.now)).unwrap();
        let mut new = Harness::new(config.clone(), &[1, 2, 3]);
        new.now = old.now;
        new.gatekeeper.take_over(serde_json::from_str(&text).unwrap());
        let (at_old, at_new) = (spend(&mut old, 100), spend(&mut new, 100));
        assert!(at_new > 0 && at_old + at_new <= whole, "{at_old} and {at_new}, of {whole}");
    }
}

#[test]
fn an_excluded_server_drains_and_returns_cold() {
    let mut s = Harness::new(settings(), &[1, 2]);
    let serve = |s: &mut Harness, server: u64| {
        let before = s.sends.len();
        for n in 0..200 {
            s.submit(&format!("c{}-{n}", s.now), 0, 0, 1.0);
            if !s.in_flight.is_empty() {
                s.finish_oldest(Outcome::Ok);
            }
        }
        s.sends[before..].iter().filter(|(_, _, w)| *w == server).count()
    };
    assert!(serve(&mut s, 1) > 20);
    s.event(Event::Exclusion { server: ServerId(1), excluded: true });
    s.list(ListScope::Full, vec![server(1), server(2)]);
    s.advance(S);
    assert_eq!(serve(&mut s, 1), 0);
    assert_eq!(s.gatekeeper.servers_avoided(s.now), 1);
    s.event(Event::Exclusion { server: ServerId(1), excluded: false });
    s.advance(S);
    let first = serve(&mut s, 1);
    assert!((1..=2).contains(&first), "{first} at once to a cold server");
    s.advance(20 * S);
    assert!(serve(&mut s, 1) > 20, "it is warm again");
    // If the list reported the restart meanwhile, warm-up began then.
    s.event(Event::Exclusion { server: ServerId(1), excluded: true });
    s.advance(S);
    let restarted = ServerInfo { started: Some(s.now), ..server(1) };
    s.list(ListScope::Delta, vec![restarted]);
    s.advance(20 * S);
    s.event(Event::Exclusion { server: ServerId(1), excluded: false });
    assert!(serve(&mut s, 1) > 20, "it is warm by now");
    // A start before the exclusion does not count as a restart, even if it was unknown then.
    let mut s = Harness::new(settings(), &[2]);
    s.event(Event::Exclusion { server: ServerId(1), excluded: true });
    s.list(ListScope::Delta, vec![ServerInfo { started: Some(s.now - 60 * S), ..server(1) }]);
    s.advance(S);
    s.event(Event::Exclusion { server: ServerId(1), excluded: false });
    assert!(serve(&mut s, 1) <= 2, "the server was treated as warm");
    assert_eq!(s.gatekeeper.servers_avoided(s.now), 0);
}
