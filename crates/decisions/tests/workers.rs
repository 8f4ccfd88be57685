//! Server selection, health, concurrency limits and retries.

mod common;
use common::*;
use granitelead_decisions::*;

/// Finishes every attempt after its server's response time; `None` never finishes.
fn serve(s: &mut Harness, time: impl Fn(u64) -> Option<Micros>, outcome: impl Fn(u64) -> Outcome) {
    let (due, rest) = std::mem::take(&mut s.in_flight)
        .into_iter()
        .partition(|o: &InFlight| time(o.server).is_some_and(|t| s.now >= o.sent + t));
    s.in_flight = rest;
    for o in due {
        let outcome = outcome(o.server);
        s.finish(o, outcome);
    }
}

#[test]
fn the_in_flight_limit_shrinks_when_servers_slow_down() {
    let mut s = Harness::new(settings(), &[1, 2]);
    let mut out = Vec::new();
    for step in 0..1500u64 {
        s.submit(&format!("c{step}"), 2, 0, 1.0);
        s.advance(10 * MS);
        let slow = step > 500;
        serve(&mut s, |_| Some(if slow { 200 * MS } else { 50 * MS }), |_| Outcome::Ok);
        out.push(s.in_flight.len());
    }
    assert!(out[450..500].iter().all(|n| *n >= 4), "a fast fleet serves all of 100 a second");
    assert!(out[1400..].iter().all(|n| *n <= 3), "{:?}", &out[1400..]);
}

#[test]
fn queued_requests_are_sent_newest_first_and_old_ones_refused_early() {
    let mut s = Harness::new(settings(), &[1]);
    let ids: Vec<String> = (0..6).map(|n| s.submit(&format!("c{n}"), 2, 0, 1.0)).collect();
    let sent = |s: &Harness| ids.iter().filter(|id| s.sent(id) > 0).count();
    let first = sent(&s);
    assert!(first < 6, "the in-flight limit queues some");
    s.advance(50 * MS);
    s.finish_oldest(Outcome::Ok);
    assert_eq!(s.sent(&ids[5]), 1, "the newest has the best chance to be in time");
    s.advance(250 * MS);
    assert!(matches!(s.answer_of(&ids[first]), Some(Answer::Refused(_))));
}

#[test]
fn a_fast_failing_server_is_avoided_and_probed_rarely() {
    let mut s = Harness::new(settings(), &[1, 2, 3]);
    for step in 0..600u64 {
        if step == 300 {
            s.sends.clear();
        }
        s.submit(&format!("c{step}"), (step % 3) as usize, 0, 1.0);
        s.advance(20 * MS);
        serve(&mut s, |_| Some(20 * MS), |w| if w == 1 { Outcome::Error } else { Outcome::Ok });
    }
    let at_failing: Vec<&String> = s.sends.iter().filter(|(_, _, w)| *w == 1).map(|(_, id, _)| id).collect();
    assert!(at_failing.len() <= 6, "{} sent in 6 s", at_failing.len());
}

#[test]
fn requests_at_a_silent_server_move_to_other_servers() {
    for hedging in [true, false] {
        let mut config = settings();
        config.limits.hedging = hedging;
        let mut s = Harness::new(config, &[1, 2, 3]);
        let mut late = 0;
        for step in 0..400u64 {
            let before = s.sends.len();
            s.submit(&format!("c{step}"), 0, 0, 1.0);
            s.advance(20 * MS);
            serve(&mut s, |w| (w != 1 || step < 100).then_some(30 * MS), |_| Outcome::Ok);
            let cancelled: Vec<String> = s
                .log
                .drain(..)
                .filter_map(|a| match a {
                    Action::Cancel { request, .. } => Some(request.0),
                    _ => None,
                })
                .collect();
            let (cancelled_attempts, rest) = std::mem::take(&mut s.in_flight)
                .into_iter()
                .partition(|o: &InFlight| cancelled.contains(&o.request));
            s.in_flight = rest;
            let cancelled_attempts: Vec<InFlight> = cancelled_attempts;
            cancelled_attempts.into_iter().for_each(|o| s.finish(o, Outcome::Cancelled));
            late += if step > 200 { s.sends[before..].iter().filter(|(_, _, w)| *w == 1).count() } else { 0 };
        }
        let lost = (1..=380).filter(|n| s.answer_of(&format!("r-{n}")) != Some(Answer::Served)).count();
        assert!(lost <= 1, "{lost} of 380 not served, hedging: {hedging}");
        assert!(late <= 40, "{late} sent to the silent server");
    }
}

/// A client's last try lasts until its overall deadline, so a shorter timeout than usual reveals that the
/// target latency has passed. Nothing is concluded before the usual timeout of a try is known.
#[test]
fn a_last_try_past_its_target_latency_is_refused_at_once() {
    let mut s = Harness::new(settings(), &[1]);
    let mut sent = |client_timeout: Micros| {
        let id = s.submit_with_timeout(client_timeout, &format!("c{}", s.submitted), 0, 0, 1.0);
        let refused = matches!(s.answer_of(&id), Some(Answer::Refused(_)));
        assert_ne!(refused, s.sent(&id) == 1);
        while !s.in_flight.is_empty() {
            s.finish_oldest(Outcome::Ok);
        }
        s.advance(10 * MS);
        !refused
    };
    // Target 0.5 s, deadline 2 s: with 0.9 s left the first try was 1.1 s ago.
    assert!(sent(900 * MS), "nothing is known yet");
    for _ in 0..20 {
        assert!(sent(1_400 * MS), "a try with the usual timeout");
    }
    assert!(!sent(900 * MS), "its target latency has passed");
    assert!(sent(1_700 * MS), "its target latency has not passed");
    // A new client timeout becomes the usual one, and those tries are not rejected as late for long.
    let taken = (0..200).filter(|_| sent(900 * MS)).count();
    assert!((100..200).contains(&taken), "{taken}");
}

#[test]
fn a_cold_server_gets_more_when_warm_servers_handle_more() {
    let to_cold = |step: u64| {
        let mut s = Harness::new(settings(), &[1, 2]);
        let run = |s: &mut Harness, span: Micros, step: Micros| {
            let end = s.now + span;
            while s.now < end {
                s.submit(&format!("c{}", s.now), 0, 0, 1.0);
                s.advance(step);
                serve(s, |_| Some(50 * MS), |_| Outcome::Ok);
            }
        };
        run(&mut s, 20 * S, step);
        let info = ServerInfo { started: Some(s.now), ..server(3) };
        s.list(ListScope::Delta, vec![info]);
        s.sends.clear();
        run(&mut s, 3 * S, 10 * MS);
        s.sends.iter().filter(|(_, _, w)| *w == 3).count()
    };
    let (after_idle, after_busy) = (to_cold(500 * MS), to_cold(10 * MS));
    assert!(after_busy > after_idle + after_idle / 4, "{after_busy} after {after_idle}");
}
