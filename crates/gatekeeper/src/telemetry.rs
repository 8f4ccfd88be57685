//! The figures that operators ask for: bumped as things happen, read on demand.

use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// The way in which a request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a server's answer.
    Served,
    /// Turned away.
    Refused,
    /// Without an answer in time.
    Late,
    /// Failed otherwise.
    Failed,
    /// The client left first.
    Left,
}

/// How many requests have ended in which way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ended {
    /// With a server's answer.
    pub served: u64,
    /// Turned away.
    pub refused: u64,
    /// Without an answer in time.
    pub late: u64,
    /// Failed otherwise.
    pub failed: u64,
    /// The client left first.
    pub left: u64,
}

/// Counts since the process started.
pub struct Telemetry {
    classes: Vec<(String, Cell<Ended>)>,
    inflight: Cell<u64>,
    calls: Rc<Cell<u64>>,
}

impl Telemetry {
    /// All counts at 0, for the classes of these names.
    pub fn new(classes: &[String]) -> Telemetry {
        let classes = classes.iter().map(|name| (name.clone(), Cell::default())).collect();
        Telemetry { classes, inflight: Cell::new(0), calls: Rc::default() }
    }

    /// A request has been taken.
    pub fn taken(&self) {
        self.inflight.set(self.inflight.get() + 1);
    }

    /// A request that was taken has ended.
    pub fn ended(&self, class: usize, end: End) {
        self.inflight.set(self.inflight.get().saturating_sub(1));
        let Some((_, counts)) = self.classes.get(class) else { return };
        let mut ended = counts.get();
        *match end {
            End::Served => &mut ended.served,
            End::Refused => &mut ended.refused,
            End::Late => &mut ended.late,
            End::Failed => &mut ended.failed,
            End::Left => &mut ended.left,
        } += 1;
        counts.set(ended);
    }

    /// The count of attempts written whole, for those that see their last byte go.
    pub fn calls(&self) -> Rc<Cell<u64>> {
        self.calls.clone()
    }

    /// Requests taken but not yet ended.
    pub fn inflight(&self) -> u64 {
        self.inflight.get()
    }

    /// How the requests of all classes have ended.
    pub fn total(&self) -> Ended {
        self.classes.iter().map(|(_, counts)| counts.get()).fold(Ended::default(), |sum, n| Ended {
            served: sum.served + n.served,
            refused: sum.refused + n.refused,
            late: sum.late + n.late,
            failed: sum.failed + n.failed,
            left: sum.left + n.left,
        })
    }

    /// The figures, a line each, with those of other parts.
    pub fn report(&self, more: &[(String, u64)]) -> String {
        let mut text = String::new();
        for (name, counts) in &self.classes {
            let ended = counts.get();
            let by_class =
                [("success", ended.served), ("busy", ended.refused), ("failure", ended.late + ended.failed)];
            for (figure, count) in by_class {
                // Writing to a text cannot fail.
                let _ = writeln!(text, "app_{figure}{{tier=\"{name}\"}} {count}");
            }
        }
        let single = [("backend_calls", self.calls.get()), ("inflight", self.inflight.get())];
        let more = more.iter().map(|(figure, value)| (figure.as_str(), *value));
        for (figure, value) in single.into_iter().chain(more) {
            let _ = writeln!(text, "app_{figure} {value}");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_class_is_there_from_nothing_on() {
        let telemetry = Telemetry::new(&["a".into(), "b".into()]);
        for figure in ["success", "busy", "failure"] {
            for class in ["a", "b"] {
                let line = format!("app_{figure}{{tier=\"{class}\"}} 0\n");
                assert!(telemetry.report(&[]).contains(&line), "{line}");
            }
        }
    }

    #[test]
    fn each_end_counts_once_under_its_class() {
        let telemetry = Telemetry::new(&["a".into(), "b".into()]);
        for end in [End::Served, End::Refused, End::Late, End::Failed, End::Left] {
            telemetry.taken();
            telemetry.ended(1, end);
        }
        telemetry.taken();
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
