//! Request counters and the metrics report that operators read over the admin socket.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// How a request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a server's response.
    Served,
    /// Rejected.
    Refused,
    /// Its deadline passed without a response.
    DeadlineExceeded,
    /// Failed for another reason.
    Failed,
    /// The client disconnected before the response.
    ClientDisconnected,
}

/// Number of requests by how they have ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ended {
    /// With a server's response.
    pub served: u64,
    /// Rejected.
    pub refused: u64,
    /// Its deadline passed without a response.
    pub late: u64,
    /// Failed for another reason.
    pub failed: u64,
    /// The client disconnected before the response.
    pub left: u64,
}

/// Request counters since the start of the process.
pub struct Telemetry {
    classes: Vec<(String, Cell<Ended>)>,
    inflight: Cell<u64>,
    requests_written: Rc<Cell<u64>>,
}

impl Telemetry {
    /// Creates counters at 0 for classes with these names.
    pub fn new(classes: &[String]) -> Telemetry {
        let classes = classes.iter().map(|name| (name.clone(), Cell::default())).collect();
        Telemetry { classes, inflight: Cell::new(0), requests_written: Rc::default() }
    }

    /// Counts a request as in flight.
    pub fn request_started(&self) {
        self.inflight.set(self.inflight.get() + 1);
    }

    /// Counts the end of a request that was in flight.
    pub fn ended(&self, class: usize, end: End) {
        self.inflight.set(self.inflight.get().saturating_sub(1));
        let Some((_, counts)) = self.classes.get(class) else { return };
        let mut ended = counts.get();
        *match end {
            End::Served => &mut ended.served,
            End::Refused => &mut ended.refused,
            End::DeadlineExceeded => &mut ended.late,
            End::Failed => &mut ended.failed,
            End::ClientDisconnected => &mut ended.left,
        } += 1;
        counts.set(ended);
    }

    /// Returns the counter of attempts whose request was written completely, for the code that writes the
    /// last byte.
    pub fn requests_written(&self) -> Rc<Cell<u64>> {
        self.requests_written.clone()
    }

    /// Returns the number of requests in flight.
    pub fn inflight(&self) -> u64 {
        self.inflight.get()
    }

    /// Returns the counts of all classes together.
    pub fn total(&self) -> Ended {
        self.classes.iter().map(|(_, counts)| counts.get()).fold(Ended::default(), |sum, n| Ended {
            served: sum.served + n.served,
            refused: sum.refused + n.refused,
            late: sum.late + n.late,
            failed: sum.failed + n.failed,
            left: sum.left + n.left,
        })
    }

    /// Formats the metrics, one per line, together with those of other components.
    pub fn report(&self, more: &[(String, u64)]) -> String {
        let mut text = String::new();
        for (name, counts) in &self.classes {
            let ended = counts.get();
            let by_class =
                [("success", ended.served), ("busy", ended.refused), ("failure", ended.late + ended.failed)];
            for (metric, count) in by_class {
                // Writing to a String cannot fail.
                let _ = writeln!(text, "app_{metric}{{tier=\"{name}\"}} {count}");
            }
        }
        let single = [("backend_calls", self.requests_written.get()), ("inflight", self.inflight.get())];
        let more = more.iter().map(|(metric, value)| (metric.as_str(), *value));
        for (metric, value) in single.into_iter().chain(more) {
            let _ = writeln!(text, "app_{metric} {value}");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_class_is_reported_before_the_first_request() {
        let telemetry = Telemetry::new(&["a".into(), "b".into()]);
        for metric in ["success", "busy", "failure"] {
            for class in ["a", "b"] {
                let line = format!("app_{metric}{{tier=\"{class}\"}} 0\n");
                assert!(telemetry.report(&[]).contains(&line), "{line}");
            }
        }
    }

    #[test]
    fn each_ended_request_is_counted_once_under_its_class() {
        let telemetry = Telemetry::new(&["a".into(), "b".into()]);
        for end in [End::Served, End::Refused, End::DeadlineExceeded, End::Failed, End::ClientDisconnected] {
            telemetry.request_started();
            telemetry.ended(1, end);
        }
        telemetry.request_started();
        let report = telemetry.report(&[("hosts_listed".into(), 4), ("hosts_down".into(), 2)]);
        for line in [
            "app_success{tier=\"a\"} 0",
            "app_success{tier=\"b\"} 1",
            "app_busy{tier=\"b\"} 1",
            "app_failure{tier=\"b\"} 2",
            "app_inflight 1",
            "app_hosts_listed 4",
            "app_hosts_down 2",
        ] {
            assert!(report.lines().any(|l| l == line), "{line} in {report}");
        }
    }
}
