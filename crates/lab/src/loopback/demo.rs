//! The first thing to try: a small fleet on loopback, clients, a server that dies, a zone that is cut off and comes back,
//! and a report.

use super::fleet::{play, Fleet, Setup};
use super::FleetError;
use crate::experiment::{Experiment, Mode, Positive};
use crate::report::page;
use crate::results::Row;
use std::cell::RefCell;
use std::fmt::Write;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};

/// What it plays.
const EXPERIMENT: &str = include_str!("demo.toml");

/// Plays the demo; gives where the report lies.
pub fn demo(out: &Path, seconds: Option<f64>) -> Result<PathBuf, FleetError> {
    let mut experiment = Experiment::parse(EXPERIMENT, Path::new("demo.toml"), Mode::Processes)
        .map_err(|error| FleetError::System(std::io::Error::other(error.to_string())))?;
    if let Some(seconds) = seconds.and_then(|s| Positive::try_from(s).ok()) {
        experiment.seconds = seconds;
        experiment.faults.retain(|fault| fault.get_ref().at.0 < seconds.0);
    }
    let shows = Table::default();
    let watch = |fleet: &Fleet, second| match fleet.ended() {
        Some(how) => Err(FleetError::Ended(how)),
        None => {
            shows.shows(fleet, second);
            Ok(())
        }
    };
    let played = play("demo", &experiment, experiment.seeds[0], &Setup::default(), &watch)?;
    std::fs::create_dir_all(out)?;
    let report = out.join("demo.html");
    std::fs::write(&report, page(&[played.run], "real time on loopback")?)?;
    Ok(report)
}

/// What goes over the terminal, a table each second.
#[derive(Default)]
struct Table {
    before: RefCell<Row>,
    lines: RefCell<usize>,
}

impl Table {
    fn shows(&self, fleet: &Fleet, second: u64) {
        let whole = std::io::stdout().is_terminal();
        let all = fleet.clients().gatherer.borrow_mut().run().all.clone();
        let lines = self.lines.take();
        if whole && lines > 0 {
            // Back over the table of the second before.
            print!("\x1b[{lines}A\x1b[J");
        }
        let text = table(fleet, &all, &self.before.replace(all.clone()), second, whole);
        *self.lines.borrow_mut() = text.lines().count();
        print!("{text}");
    }
}

fn table(fleet: &Fleet, all: &Row, before: &Row, second: u64, whole: bool) -> String {
    let by = |now: u64, then: u64| now - then;
    let mut text = format!(
        "{second:>3} s  answered in time {:>4}  late {:>3}  refused {:>4}  failed {:>3}  served share {:.3}\n",
        by(all.in_time, before.in_time),
        by(all.late, before.late),
        by(all.refused, before.refused),
        by(all.failed, before.failed),
        all.share()
    );
    if whole {
        for (uid, zone, attempts, inflight, cut) in fleet.servers() {
            let state = match inflight {
                None => "dead".to_owned(),
                Some(n) if cut => format!("cut off, {n} in hand"),
                Some(n) => format!("{} {n}", "#".repeat(n.min(40))),
            };
            // Writing to a text can't fail.
            let _ = writeln!(text, "       {uid:<5} {zone:<2} {attempts:>6}  {state}");
        }
    }
    text
}
