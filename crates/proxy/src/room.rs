//! Room: how many requests a service may have under way from here, learned from how its answers stand to their aims.
//!
//! A service that is asked for more than it can do answers everything late. A gatekeeper that sees its answers come
//! near their aims sends less at a time, and refuses early what finds no room: what is served then is served in time.
//! Each learns by itself; they see the same servers. Nothing is limited until answers are slow for the first time.

use crate::Millis;
use std::collections::BTreeMap;

/// Weight of an answer in the mean of times in parts of their aims.
const LEARN: f64 = 0.1;
/// Mean above which there is less room, and below which there is more.
const SLOW: (f64, f64) = (0.62, 0.5);
/// What is left of the room after a cut, and the least time between two: answers of after the first must come.
const CUT: (f64, Millis) = (0.88, 120);
/// Room gained with each answer that used it, in requests.
const GROWTH: f64 = 0.12;
/// Least room, and room past which nothing is limited any more, requests.
const BOUNDS: (f64, f64) = (1.0, 200.0);
/// Part of the room that must be in use for an answer to tell that there is more.
const USED: f64 = 0.8;
/// What requests of a rank may have of the room; of lower ranks the last.
const RANKS: [f64; 3] = [1.3, 1.12, 1.0];

struct Service {
    limit: f64,
    under_way: u32,
    mean: f64,
    cut_at: Millis,
}

/// The room of all services.
#[derive(Default)]
pub struct Room {
    services: BTreeMap<String, Service>,
}

impl Room {
    fn service(&mut self, name: &str) -> &mut Service {
        let new = || Service { limit: BOUNDS.1, under_way: 0, mean: 0.0, cut_at: 0 };
        self.services.entry(name.to_owned()).or_insert_with(new)
    }

    /// Whether a request of this rank may go to a service now.
    pub fn has(&mut self, name: &str, rank: u32) -> bool {
        let service = self.service(name);
        let part = RANKS[(rank as usize).min(RANKS.len() - 1)];
        f64::from(service.under_way) < (service.limit * part).max(1.0)
    }

    /// One goes.
    pub fn begin(&mut self, name: &str) {
        self.service(name).under_way += 1;
    }

    /// It has ended; with a good answer after this part of its aim, if there was one.
    pub fn end(&mut self, now: Millis, name: &str, good: Option<f64>) {
        let service = self.service(name);
        let used = f64::from(service.under_way) >= USED * service.limit;
        let under_way = f64::from(service.under_way);
        service.under_way = service.under_way.saturating_sub(1);
        let Some(part) = good else { return };
        service.mean += (part.min(3.0) - service.mean) * LEARN;
        if service.mean > SLOW.0 && now >= service.cut_at + CUT.1 {
            service.limit = (service.limit.min(under_way + 1.0) * CUT.0).max(BOUNDS.0);
            service.cut_at = now;
        } else if service.mean < SLOW.1 && used {
            service.limit = (service.limit + GROWTH).min(BOUNDS.1);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    /// A service that works on eight at a time, 100 ms each, with an aim of 300 ms, is offered so many a second; gives the
    /// mean part of the aim that answers took, and how many were let in, in the last of ten seconds.
    fn offer(room: &mut Room, from: Millis, a_second: u64) -> (f64, usize) {
        let (mut free, mut ends, mut last) = (vec![from; 8], Vec::<(Millis, f64)>::new(), Vec::new());
        for now in from..from + 10_000 {
            ends.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
            while ends.last().is_some_and(|(at, _)| *at <= now) {
                let (_, part) = ends.pop().unwrap();
                room.end(now, "s", Some(part));
            }
            if (now - from) * a_second / 1_000 > (now - from).saturating_sub(1) * a_second / 1_000
                && room.has("s", 2)
            {
                room.begin("s");
                let slot = free.iter_mut().min().unwrap();
                *slot = now.max(*slot) + 100;
                ends.push((*slot, (*slot - now) as f64 / 300.0));
                if now >= from + 9_000 {
                    last.push((*slot - now) as f64 / 300.0);
                }
            }
        }
        ends.into_iter().for_each(|(at, part)| room.end(at, "s", Some(part)));
        (last.iter().sum::<f64>() / last.len() as f64, last.len())
    }

    #[gtest]
    fn too_much_is_refused_so_that_the_rest_is_in_time_and_room_comes_back() {
        let mut room = Room::default();
        let (part, served) = offer(&mut room, 0, 60);
        expect_that!(part, le(0.5));
        expect_that!(served, ge(59));
        let (part, served) = offer(&mut room, 10_000, 120);
        expect_that!(part, le(0.8));
        expect_that!(served, ge(72));
        let (_, served) = offer(&mut room, 20_000, 70);
        expect_that!(served, ge(69));
    }

    #[gtest]
    fn higher_ranks_find_room_where_others_do_not() {
        let mut room = Room::default();
        room.service("s").limit = 10.0;
        (0..10).for_each(|_| room.begin("s"));
        expect_that!([0, 1, 2, 9].map(|rank| room.has("s", rank)), eq([true, true, false, false]));
    }
}
