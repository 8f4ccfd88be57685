//! The log: a ring in memory that is written out when something goes wrong.
//!
//! Errors are written at once, with all that the ring holds since the last time. Everything else only goes to the
//! ring, whose size is bounded: writing costs processor time on the machines that carry traffic.

use log::{Level, LevelFilter, Record};
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Lines that the ring holds.
const LINES: usize = 256;
/// Bytes of one line; what is longer is cut.
const LINE_MAX: usize = 240;

struct Ring {
    begun: Instant,
    lines: VecDeque<String>,
    dropped: u64,
}

static RING: Mutex<Option<Ring>> = Mutex::new(None);

fn ring() -> MutexGuard<'static, Option<Ring>> {
    RING.lock().unwrap_or_else(PoisonError::into_inner)
}

fn keep(ring: &mut Ring, record: &Record) {
    let mut line = format!("{:.3} {} {}", ring.begun.elapsed().as_secs_f64(), record.level(), record.args());
    if line.len() > LINE_MAX {
        let end = (0..=LINE_MAX).rev().find(|at| line.is_char_boundary(*at)).unwrap_or(0);
        line.truncate(end);
    }
    if ring.lines.len() >= LINES {
        ring.lines.pop_front();
        ring.dropped += 1;
    }
    ring.lines.push_back(line);
}

/// Writes out what the ring holds and empties it.
pub fn write_out(why: &str) {
    let Some((lines, dropped)) =
        ring().as_mut().map(|ring| (std::mem::take(&mut ring.lines), std::mem::take(&mut ring.dropped)))
    else {
        return;
    };
    let mut text = format!("-- {why}: {} lines, {dropped} older ones dropped\n", lines.len());
    for line in lines {
        text.push_str(&line);
        text.push('\n');
    }
    // Nobody is left to be told that the log can't be written.
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// Writes one line at once, past the ring: for the few that are wanted from every process.
pub fn write_line(line: &str) {
    // Nobody is left to be told that the log can't be written.
    let _ = std::io::stderr().write_all(format!("{line}\n").as_bytes());
}

/// Starts the log of this process. A second call changes nothing.
pub fn start() {
    let mut held = ring();
    if held.is_some() {
        return;
    }
    *held = Some(Ring { begun: Instant::now(), lines: VecDeque::new(), dropped: 0 });
    drop(held);
    let sink = fern::Output::call(|record| {
        if let Some(ring) = ring().as_mut() {
            keep(ring, record);
        }
        if record.level() <= Level::Error {
            write_out("error");
        }
    });
    // Fails only where a log stands already.
    let _ = fern::Dispatch::new().level(LevelFilter::Info).chain(sink).apply();
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn the_ring_keeps_the_newest_lines_and_cuts_long_ones() {
        let mut ring = Ring { begun: Instant::now(), lines: VecDeque::new(), dropped: 0 };
        for n in 0..LINES + 3 {
            let long = "é".repeat(n);
            keep(&mut ring, &Record::builder().args(format_args!("{n} {long}")).level(Level::Info).build());
        }
        expect_that!(ring.lines.len(), eq(LINES));
        expect_that!(ring.dropped, eq(3));
        expect_that!(ring.lines[0], contains_substring("INFO 3 "));
        expect_true!(ring.lines.iter().all(|line| line.len() <= LINE_MAX));
    }
}
