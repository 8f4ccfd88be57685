//! Quota counts, the penalty period, the cap on open requests, the customer table, and counter failures.

mod common;
use common::*;
use granitelead_decisions::*;
use std::collections::BTreeMap;

fn served(s: &mut Harness, customer: &str, n: usize, units: f64) -> usize {
    let before = s.sends.len();
    for _ in 0..n {
        s.submit(customer, 0, 0, units);
        while !s.in_flight.is_empty() {
            s.finish_oldest(Outcome::Ok);
        }
    }
    s.sends.len() - before
}

#[test]
fn a_new_customer_starts_with_its_part_of_the_burst() {
    let mut s = Harness::new(settings(), &[1]);
    // Burst 20 at two gatekeepers, no total yet: 10 units, and then the penalty.
    assert_eq!(served(&mut s, "ada", 30, 1.0), 10, "its part of the burst");
    let id = s.submit("ada", 0, 0, 1.0);
    assert!(matches!(s.answer_of(&id), Some(Answer::Refused(wait)) if wait > 0));
}

/// Requests of a soft plan over its quota may use spare capacity, but must neither take servers from
/// customers within their quota, nor use up the quota of the plan's own later requests.
#[test]
fn a_soft_plan_exceeds_its_quota_only_with_spare_capacity() {
    let mut soft = Settings { counter: false, ..settings() };
    soft.plans[0] = Plan { over_quota_value: 0.2, over_quota_cost: 0.0, ..soft.plans[0].clone() };
    let mut s = Harness::new(soft, &[1]);
    // Far over its part of the burst of 20, one at a time: there is spare capacity.
    assert_eq!(served(&mut s, "ada", 60, 1.0), 60);
    // Requests over quota took nothing from it: 0.3 s at 5 a second and more admit one within the quota,
    // however little capacity there is.
    s.advance(300 * MS);
    s.submit("bob", 0, 1, 1.0);
    s.submit("bob", 0, 1, 1.0);
    let inside = s.submit("ada", 0, 0, 1.0);
    assert_eq!(s.answer_of(&inside), None, "queued or sent, not refused");
    let over_quota: Vec<String> = (0..4).map(|_| s.submit("ada", 0, 0, 4.0)).collect();
    for id in over_quota {
        assert!(
            matches!(s.answer_of(&id), Some(Answer::Refused(wait)) if wait > 0),
            "{:?}",
            s.answer_of(&id)
        );
    }
    let other = s.submit("bob", 0, 1, 1.0);
    assert_eq!(s.answer_of(&other), None, "within its quota: queued or sent, not refused");
}

/// For a soft plan, too, a close decision is worth a counter call: it decides the request's priority.
#[test]
fn a_close_decision_of_a_soft_plan_waits_for_a_total() {
    let mut soft = settings();
    soft.plans[0] = Plan { over_quota_value: 0.2, over_quota_cost: 0.0, ..soft.plans[0].clone() };
    let mut s = Harness::new(soft, &[1]);
    s.advance(10 * MS);
    // Its part of the burst of 20 is 10; the others may have used nothing.
    let id = s.submit("ada", 0, 0, 12.0);
    assert_eq!((s.calls.len(), s.sent(&id), s.answer_of(&id)), (1, 0, None));
    s.answer_calls(Counter::Answers, &mut BTreeMap::new());
    assert_eq!(s.sent(&id), 1);
}

#[test]
fn a_total_includes_what_other_gatekeepers_admitted() {
    let mut totals = BTreeMap::new();
    let mut a = Harness::new(settings(), &[1]);
    let mut b = Harness::new(settings(), &[1]);
    let mut sum = 0;
    for _ in 0..40 {
        for s in [&mut a, &mut b] {
            let before = s.sends.len();
            s.submit("ada", 0, 0, 1.0);
            s.answer_calls(Counter::Answers, &mut totals);
            while !s.in_flight.is_empty() {
                s.finish_oldest(Outcome::Ok);
            }
            s.advance(10 * MS);
            s.answer_calls(Counter::Answers, &mut totals);
            sum += s.sends.len() - before;
        }
    }
    // 0.4 s at 10 a second on top of the burst of 20.
    assert!((18..=26).contains(&sum), "{sum} admitted by both");
}

#[test]
fn a_penalized_customer_is_admitted_again_as_its_bucket_refills() {
    let mut s = Harness::new(settings(), &[1]);
    let mut totals = BTreeMap::new();
    let mut late = 0;
    for round in 0..600 {
        let before = s.sends.len();
        s.submit("ada", 0, 0, 1.0);
        s.answer_calls(Counter::Answers, &mut totals);
        s.advance(20 * MS);
        while !s.in_flight.is_empty() {
            s.finish_oldest(Outcome::Ok);
        }
        late += if round >= 300 { s.sends.len() - before } else { 0 };
    }
    // 50 asked a second, quota 10 a second: the last 6 s hold about 60.
    assert!((50..=66).contains(&late), "{late} admitted over 6 s");
}

#[test]
fn soft_plans_are_exempt_and_open_request_caps_hold() {
    let mut config = settings();
    config.plans[0].over_quota_value = 2.0;
    let mut s = Harness::new(config.clone(), &[1, 2]);
    assert_eq!(served(&mut s, "ada", 60, 1.0), 60);
    config.plans[0] = Plan { open: 4.0, over_quota_cost: 1.0, ..Plan::default() };
    let mut s = Harness::new(config, &[1, 2, 3]);
    let ids: Vec<String> = (0..6).map(|_| s.submit("ada", 0, 0, 1.0)).collect();
    let sent = ids.iter().filter(|id| s.sent(id) == 1).count();
    assert_eq!(sent, 2, "an even part of the cap");
}

#[test]
fn refused_calls_add_nothing_and_timed_out_ones_are_not_added_twice() {
    for (behaviour, again) in [(Counter::Refuses, true), (Counter::Silent, false)] {
        let mut s = Harness::new(settings(), &[1]);
        s.submit("ada", 0, 0, 3.0);
        s.advance(20 * MS);
        assert_eq!(s.calls[0].1, 3.0);
        s.answer_calls(behaviour, &mut BTreeMap::new());
        s.advance(700 * MS);
        let added: f64 = s.calls.iter().map(|(_, amount)| amount).sum();
        assert_eq!(added, if again { 3.0 } else { 0.0 });
    }
}

#[test]
fn units_are_added_again_after_the_counter_loses_its_state() {
    let mut s = Harness::new(settings(), &[1]);
    let mut totals = BTreeMap::new();
    s.submit("ada", 0, 0, 3.0);
    s.answer_calls(Counter::Answers, &mut totals);
    totals.clear();
    s.submit("ada", 0, 0, 1.0);
    s.advance(600 * MS);
    s.answer_calls(Counter::Answers, &mut totals);
    s.advance(600 * MS);
    s.answer_calls(Counter::Answers, &mut totals);
    assert!((totals.values().sum::<f64>() - 4.0).abs() < 1e-6, "{totals:?}");
}

#[test]
fn without_the_counter_each_gatekeeper_uses_about_its_part() {
    let mut s = Harness::new(settings(), &[1]);
    let mut n = 0;
    for _ in 0..1000 {
        n += served(&mut s, "ada", 1, 1.0);
        s.answer_calls(Counter::Silent, &mut BTreeMap::new());
        s.advance(20 * MS);
    }
    // 20 s: an even part is 100 on top of the burst, the whole 200.
    assert!((80..=140).contains(&n), "{n} admitted");
}

#[test]
fn a_silent_counter_is_called_rarely() {
    let mut s = Harness::new(settings(), &[1]);
    let mut calls = 0;
    for n in 0..500 {
        s.submit(&format!("c{n}"), 0, 0, 1.0);
        calls += s.calls.len();
        s.answer_calls(Counter::Silent, &mut BTreeMap::new());
        s.advance(10 * MS);
    }
    assert!((20..=70).contains(&calls), "{calls} calls in 5 s");
}

#[test]
fn the_actual_units_of_an_answer_replace_the_estimate() {
    let mut config = settings();
    config.estimated_units = true;
    let mut s = Harness::new(config, &[1]);
    let mut totals = BTreeMap::new();
    let id = s.submit("ada", 0, 0, 1.0);
    s.answer_calls(Counter::Answers, &mut totals);
    s.event(Event::AttemptDone(AttemptDone {
        request: RequestId(id),
        attempt: 0,
        outcome: Outcome::Ok,
        latency: 10 * MS,
        closed: true,
        true_units: Some(4.0),
    }));
    s.advance(600 * MS);
    s.answer_calls(Counter::Answers, &mut totals);
    assert!((totals.values().sum::<f64>() - 4.0).abs() < 1e-6, "{totals:?}");
}

#[test]
fn units_of_requests_never_sent_are_given_back() {
    let mut s = Harness::new(settings(), &[]);
    let mut totals = BTreeMap::new();
    s.submit("ada", 0, 0, 3.0);
    for _ in 0..10 {
        s.answer_calls(Counter::Answers, &mut totals);
        s.advance(200 * MS);
    }
    assert!(totals.values().sum::<f64>().abs() < 1e-6, "{totals:?}");
}

#[test]
fn a_customer_expires_cleanly_with_nothing_left_to_push() {
    let mut s = Harness::new(settings(), &[]);
    s.submit("ada", 0, 0, 1.0);
    s.answer_calls(Counter::Refuses, &mut BTreeMap::new());
    let id = s.submit("bob", 0, 0, 1.0);
    s.calls.clear();
    s.advance(60 * S);
    assert!(matches!(s.answer_of(&id), Some(Answer::Refused(_))));
}

#[test]
fn a_scan_of_one_time_customers_does_not_evict_a_penalized_one() {
    let mut config = settings();
    config.counter = false;
    let mut s = Harness::new(config, &[1]);
    served(&mut s, "mallory", 40, 1.0);
    for n in 0..100_050 {
        s.event(Event::Request(Request {
            id: RequestId(format!("scan-{n}")),
            customer: CustomerId(format!("scan-{n}")),
            class: Some(ClassId(0)),
            plan: Some(PlanId(0)),
            units: 1.0,
            gatekeepers: 2,
            time_left: 2 * S,
            body_received: true,
        }));
        if let Some(o) = s.in_flight.pop() {
            s.finish(o, Outcome::Ok);
        }
        s.timers.clear();
        s.log.clear();
    }
    let id = s.submit("mallory", 0, 0, 4.0);
    assert!(matches!(s.answer_of(&id), Some(Answer::Refused(_))), "still under its penalty");
    let admitted = (0..200).filter(|n| served(&mut s, &format!("late-{n}"), 1, 1.0) == 1).count();
    assert!(admitted <= 20, "new customers share one strict entry: {admitted} admitted");
}

#[test]
fn unknown_plans_and_expired_requests_are_refused_and_invalid_values_are_tolerated() {
    let mut s = Harness::new(settings(), &[1]);
    let request = |id: &str, plan, class, units, time_left| {
        let (id, customer) = (RequestId(id.into()), CustomerId("ada".into()));
        Event::Request(Request {
            id,
            customer,
            class,
            plan,
            units,
            gatekeepers: 0,
            time_left,
            body_received: true,
        })
    };
    s.event(request("a", None, Some(ClassId(0)), 1.0, S));
    s.event(request("b", Some(PlanId(99)), Some(ClassId(0)), 1.0, S));
    s.event(request("c", Some(PlanId(0)), Some(ClassId(0)), 1.0, 0));
    s.event(request("d", Some(PlanId(0)), None, f64::NAN, S));
    s.event(request("e", Some(PlanId(0)), Some(ClassId(77)), -1.0, S));
    for id in ["a", "b", "c"] {
        assert_eq!(s.answer_of(id), Some(Answer::Refused(0)));
    }
    assert_eq!((s.sent("d"), s.sent("e")), (1, 1));
    // A request of an unknown class must not be executed twice.
    s.finish_oldest(Outcome::Error);
    assert_eq!((s.sent("d"), s.answer_of("d")), (1, Some(Answer::Failed)));
}
