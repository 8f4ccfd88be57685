//! The log: a ring buffer in memory that is flushed to standard error when an error is logged.
//!
//! An error is written at once, together with the lines buffered since the last flush. All other records only
//! go to the buffer, whose size is bounded, because writing costs processor time on the machines that serve
//! traffic.

use log::{Level, LevelFilter, Record};
use std::collections::VecDeque;
use std::io::Write;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Capacity of the ring buffer, lines.
const LINES_MAX: usize = 256;
/// Maximum length of a line, bytes; longer lines are truncated.
const LINE_MAX: usize = 240;

struct RingBuffer {
    started: Instant,
    lines: VecDeque<String>,
    dropped: u64,
}

static RING: Mutex<Option<RingBuffer>> = Mutex::new(None);

fn ring() -> MutexGuard<'static, Option<RingBuffer>> {
    RING.lock().unwrap_or_else(PoisonError::into_inner)
}

fn push(ring: &mut RingBuffer, record: &Record) {
    let mut line =
        format!("{:.3} {} {}", ring.started.elapsed().as_secs_f64(), record.level(), record.args());
    if line.len() > LINE_MAX {
        let end = (0..=LINE_MAX).rev().find(|at| line.is_char_boundary(*at)).unwrap_or(0);
        line.truncate(end);
    }
    if ring.lines.len() >= LINES_MAX {
        ring.lines.pop_front();
        ring.dropped += 1;
    }
    ring.lines.push_back(line);
}

/// Writes the buffered lines to standard error and empties the buffer.
pub fn flush(reason: &str) {
    let Some((lines, dropped)) =
        ring().as_mut().map(|ring| (std::mem::take(&mut ring.lines), std::mem::take(&mut ring.dropped)))
    else {
        return;
    };
    let mut text = format!("-- {reason}: {} lines, {dropped} older ones dropped\n", lines.len());
    for line in lines {
        text.push_str(&line);
        text.push('\n');
    }
    // An error here can't be reported: standard error is the last output.
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// Writes one line at once, without the buffer: for the few lines that every process is to write.
pub fn write_line(line: &str) {
    // An error here can't be reported: standard error is the last output.
    let _ = std::io::stderr().write_all(format!("{line}\n").as_bytes());
}

/// Starts the log of this process. A second call changes nothing.
pub fn start() {
    let mut guard = ring();
    if guard.is_some() {
        return;
    }
    *guard = Some(RingBuffer { started: Instant::now(), lines: VecDeque::new(), dropped: 0 });
    drop(guard);
    let sink = fern::Output::call(|record| {
        if let Some(ring) = ring().as_mut() {
            push(ring, record);
        }
        if record.level() <= Level::Error {
            flush("error");
        }
    });
    // Fails only if another logger is already installed.
    let _ = fern::Dispatch::new().level(LevelFilter::Info).chain(sink).apply();
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn the_ring_buffer_keeps_the_newest_lines_and_truncates_long_ones() {
        let mut ring = RingBuffer { started: Instant::now(), lines: VecDeque::new(), dropped: 0 };
        for n in 0..LINES_MAX + 3 {
            let long = "é".repeat(n);
            push(&mut ring, &Record::builder().args(format_args!("{n} {long}")).level(Level::Info).build());
        }
        expect_that!(ring.lines.len(), eq(LINES_MAX));
        expect_that!(ring.dropped, eq(3));
        expect_that!(ring.lines[0], contains_substring("INFO 3 "));
        expect_true!(ring.lines.iter().all(|line| line.len() <= LINE_MAX));
    }
}
