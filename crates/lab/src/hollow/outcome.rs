//! What a run has measured.

use super::size::Size;
use crate::fit::digits;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

/// What a run has measured. A figure that is not there was not measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The command, to make it anew.
    pub command: String,
    /// Its size.
    pub size: Size,
    /// Figures by name; each name ends in its unit.
    pub figures: BTreeMap<String, f64>,
}

/// Median, the one that 99 in 100 are below, and the longest, ms; nothing of nothing.
pub fn times(mut all: Vec<Duration>) -> Option<[f64; 3]> {
    all.sort();
    let last = all.len().checked_sub(1)?;
    let at = |part: f64| all[(last as f64 * part).round() as usize].as_secs_f64() * 1e3;
    Some([at(0.5), at(0.99), at(1.0)])
}

impl Outcome {
    /// The figures as a table; one that was not measured is marked by its absence.
    pub fn table(&self) -> String {
        let width = self.figures.keys().map(String::len).max().unwrap_or(0);
        let mut text = format!("{}\n", self.command);
        for (name, value) in &self.figures {
            // Writing to a text does not fail.
            let _ = writeln!(text, "  {name:width$}  {}", digits(*value));
        }
        text
    }
}
