//! Sweeps: one number of a hollow fleet over several sizes, the others fixed; their results, tables and plots.

use super::outcome::Outcome;
use super::size::Size;
use crate::fit::{against, digits, line, power};
use crate::play::Failure;
use clap::ValueEnum;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Sizes of one sweep.
const SIZES_MAX: usize = 12;
/// The file of the tables.
const TABLES: &str = "TABLES.md";
/// The pixels of a plot.
const PIXELS: (u32, u32) = (900, 420);
/// What is shown of a sweep: the figure, its budget where the operators gave one, and whether it is drawn.
const SHOWN: [(&str, Option<f64>, bool); 34] = [
    ("configuration.size B", None, false),
    ("configuration.read ms", None, false),
    ("gatekeeper.real.processor cores", Some(0.021), true),
    ("gatekeeper.real.memory MB", Some(256.0), true),
    ("gatekeeper.real.descriptors open", None, false),
    ("gatekeeper.in B/s", Some(3_000.0), true),
    ("gatekeeper.out B/s", Some(3_000.0), false),
    ("hollow.processor-each cores", None, false),
    ("marker.processor.mean cores", None, true),
    ("marker.processor.most cores", Some(1.0), false),
    ("marker.memory.mean MB", None, true),
    ("marker.memory.most MB", None, false),
    ("marker.descriptors.most open", None, false),
    ("marker.files.mean B/s", None, false),
    ("marker.files.most B/s", None, false),
    ("marker.to-markers.mean B/s", None, true),
    ("marker.to-markers.most B/s", None, false),
    ("marker.to-markers.Hear.mean B/s", None, false),
    ("marker.to-markers.Alive.mean B/s", None, false),
    ("marker.to-markers.Sessions.mean B/s", None, false),
    ("marker.to-markers.Adds.mean B/s", None, false),
    ("marker.to-markers.Hold.mean B/s", None, false),
    ("marker.to-markers.Sure.mean B/s", None, false),
    ("marker.to-gatekeepers.mean B/s", None, true),
    ("marker.to-gatekeepers.Configuration.mean B/s", None, false),
    ("marker.to-gatekeepers.Totals.mean B/s", None, false),
    ("marker.to-gatekeepers.Pong.mean B/s", None, false),
    ("server.beats beats/s", None, false),
    ("join.in B", None, false),
    ("join.markers-processor ms", None, false),
    ("join.99% ms", None, false),
    ("change.in-force.median ms", None, false),
    ("change.in-force.99% ms", None, true),
    ("change.in-force.longest ms", Some(3_000.0), false),
];

/// The number that is swept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Swept {
    /// Hollow gatekeepers.
    Gatekeepers,
    /// Hollow servers.
    Servers,
    /// Tenants, all in use.
    Tenants,
    /// Routes.
    Routes,
    /// Markers.
    Markers,
}

impl Swept {
    /// Its option's name.
    pub fn name(self) -> &'static str {
        match self {
            Swept::Gatekeepers => "gatekeepers",
            Swept::Servers => "servers",
            Swept::Tenants => "tenants",
            Swept::Routes => "routes",
            Swept::Markers => "markers",
        }
    }

    /// The operators' two-year size.
    pub fn target(self) -> f64 {
        match self {
            Swept::Gatekeepers => 9_000.0,
            Swept::Servers => 110_000.0,
            Swept::Tenants => 270_000.0,
            Swept::Routes => 150_000.0,
            Swept::Markers => 36.0,
        }
    }

    fn of(self, size: &mut Size) -> &mut usize {
        match self {
            Swept::Gatekeepers => &mut size.gatekeepers,
            Swept::Servers => &mut size.servers,
            Swept::Tenants => &mut size.tenants,
            Swept::Routes => &mut size.routes,
            Swept::Markers => &mut size.markers,
        }
    }
}

/// The runs of a sweep.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sweep {
    /// What was swept.
    pub swept: Swept,
    /// A run a size, in the order of the sizes.
    pub runs: Vec<Outcome>,
}

impl Sweep {
    /// Sizes and values of a figure, of the runs that measured it.
    pub fn points(&self, figure: &str) -> Vec<(f64, f64)> {
        let point = |run: &Outcome| {
            let size = *self.swept.of(&mut run.size.clone()) as f64;
            run.figures.get(figure).map(|value| (size, *value))
        };
        self.runs.iter().filter_map(point).collect()
    }

    /// The sweep as a table in Markdown.
    pub fn table(&self) -> String {
        let (name, target) = (self.swept.name(), self.swept.target());
        let mut text = format!("## {name}\n\n");
        // Writing to a text does not fail.
        for run in &self.runs {
            let _ = writeln!(text, "    {}", run.command);
        }
        let sizes: Vec<String> =
            self.runs.iter().map(|run| self.swept.of(&mut run.size.clone()).to_string()).collect();
        let _ = writeln!(
            text,
            "\n| figure | {} | slope a unit | power | line at {target} | power at {target} | budget |",
            sizes.join(" | ")
        );
        let _ = writeln!(text, "|{}", " --- |".repeat(sizes.len() + 6));
        for (figure, budget, _) in SHOWN {
            let points = self.points(figure);
            if points.is_empty() || points.iter().all(|(_, value)| *value == 0.0) {
                continue;
            }
            let cell = |run: &Outcome| run.figures.get(figure).map_or("-".to_owned(), |value| digits(*value));
            let cells: Vec<String> = self.runs.iter().map(cell).collect();
            let (line, power) = (line(&points), power(&points));
            let give = |value: f64, error: f64| {
                // Below this it is the arithmetic's own.
                let error = if error < value.abs() * 1e-9 { 0.0 } else { error };
                format!("{} ± {}", digits(value), digits(error))
            };
            let _ = writeln!(
                text,
                "| {figure} | {} | {} | {} | {} | {} | {} |",
                cells.join(" | "),
                line.map_or("-".into(), |it| give(it.slope, it.error)),
                power.map_or("-".into(), |it| format!("{:.2} ± {:.2}", it.power, it.error)),
                line.map_or("-".into(), |it| digits(it.at(target))),
                power.map_or("-".into(), |it| digits(it.at(target))),
                budget.zip(line).map_or(String::new(), |(budget, it)| format!(
                    "{}: {}",
                    digits(budget),
                    against(it.at(target), budget)
                )),
            );
        }
        text
    }

    /// The sweep as a plot: what is drawn, in parts of its value at the first size, both axes by powers.
    ///
    /// # Errors
    ///
    /// What can't be drawn.
    pub fn plot(&self) -> Result<String, Failure> {
        let drawn: Vec<(&str, Vec<(f64, f64)>)> = SHOWN
            .iter()
            .filter(|(.., drawn)| *drawn)
            .map(|(figure, ..)| (*figure, self.points(figure)))
            .map(|(figure, points)| {
                let first = points.first().map_or(0.0, |point| point.1);
                let parts = points.into_iter().map(|(size, value)| (size, value / first));
                (figure, parts.filter(|(_, part)| part.is_finite() && *part > 0.0).collect())
            })
            .collect();
        let all = || drawn.iter().flat_map(|(_, points)| points.iter());
        let most = |of: fn(&(f64, f64)) -> f64| all().map(of).fold(f64::MIN_POSITIVE, f64::max);
        let least = |of: fn(&(f64, f64)) -> f64| all().map(of).fold(f64::MAX, f64::min);
        if all().count() == 0 {
            return Err(format!("{}: nothing to draw", self.swept.name()).into());
        }
        let mut text = String::new();
        {
            let bad = |error: &dyn std::fmt::Display| Failure::from(error.to_string());
            let area = SVGBackend::with_string(&mut text, PIXELS).into_drawing_area();
            area.fill(&WHITE).map_err(|e| bad(&e))?;
            let sizes = least(|p| p.0)..most(|p| p.0) * 1.05;
            let parts = least(|p| p.1).min(0.8)..most(|p| p.1) * 1.3;
            let mut chart = ChartBuilder::on(&area)
                .margin(8)
                .x_label_area_size(36)
                .y_label_area_size(56)
                .build_cartesian_2d(sizes.log_scale(), parts.log_scale())
                .map_err(|e| bad(&e))?;
            let mesh = &mut chart.configure_mesh();
            mesh.x_desc(self.swept.name()).y_desc("times the first size's").light_line_style(WHITE);
            mesh.draw().map_err(|e| bad(&e))?;
            for (n, (figure, points)) in
                drawn.iter().enumerate().filter(|(_, (_, points))| !points.is_empty())
            {
                let color = Palette99::pick(n).to_rgba();
                let series = LineSeries::new(points.iter().copied(), color.stroke_width(2)).point_size(3);
                let drawn = chart.draw_series(series).map_err(|e| bad(&e))?;
                let sample = move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2));
                drawn.label(*figure).legend(sample);
            }
            let labels = &mut chart.configure_series_labels();
            labels.position(SeriesLabelPosition::UpperLeft).background_style(WHITE.mix(0.8));
            labels.draw().map_err(|e| bad(&e))?;
            drop(chart);
            area.present().map_err(|e| bad(&e))?;
        }
        Ok(text)
    }
}

/// Plays a sweep, each size in a process of its own, so that none has the memory of another. Writes what was measured
/// so far after each size, so that an interrupted sweep keeps its runs.
///
/// # Errors
///
/// The first run that fails, with what it said.
pub fn sweep(
    swept: Swept,
    sizes: &[usize],
    fixed: &Size,
    programs: Option<&Path>,
    out: &Path,
) -> Result<PathBuf, Failure> {
    if !(1..=SIZES_MAX).contains(&sizes.len()) {
        return Err(format!("--sizes: {} of them: 1 to {SIZES_MAX} are played", sizes.len()).into());
    }
    std::fs::create_dir_all(out)?;
    let file = out.join(format!("{}.json", swept.name()));
    let mut done = Sweep { swept, runs: Vec::new() };
    for size in sizes {
        let mut one = fixed.clone();
        *swept.of(&mut one) = *size;
        let json = std::env::temp_dir().join(format!("granitelead-sweep-{}.json", std::process::id()));
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("hollow").args(one.words()).arg("--json").arg(&json);
        if let Some(folder) = programs {
            command.arg("--programs").arg(folder);
        }
        let status = command.status()?;
        if !status.success() {
            return Err(format!(
                "{} {size}: the run failed, see above; earlier sizes are in {}",
                swept.name(),
                file.display()
            )
            .into());
        }
        let text = std::fs::read_to_string(&json)?;
        std::fs::remove_file(&json)?;
        done.runs.push(serde_json::from_str(&text)?);
        std::fs::write(&file, serde_json::to_string_pretty(&done)? + "\n")?;
    }
    Ok(file)
}

/// Makes tables and plots anew from the results that lie in a folder. Gives the files that it wrote.
///
/// # Errors
///
/// A result that can't be read, or nothing to draw.
pub fn draw(folder: &Path) -> Result<Vec<PathBuf>, Failure> {
    let mut results: Vec<PathBuf> = std::fs::read_dir(folder)
        .map_err(|e| format!("{}: {e}", folder.display()))?
        .filter_map(|entry| Some(entry.ok()?.path()))
        .filter(|path| path.extension().is_some_and(|end| end == "json"))
        .collect();
    results.sort();
    if results.is_empty() {
        return Err(format!("{}: no results; `hollow sweep` makes some", folder.display()).into());
    }
    let mut tables =
        "# Sweeps of hollow fleets\n\nMade by `granitelead-lab hollow draw`; not to be edited.\n".to_owned();
    let mut written = Vec::new();
    for path in results {
        let bad = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
        let text = std::fs::read_to_string(&path).map_err(|e| bad(&e))?;
        let sweep: Sweep = serde_json::from_str(&text).map_err(|e| bad(&e))?;
        let plot = path.with_extension("svg");
        std::fs::write(&plot, sweep.plot()?).map_err(|e| bad(&e))?;
        let name = plot.file_name().unwrap_or_default().to_string_lossy().into_owned();
        tables += &format!("\n{}\n![{}]({name})\n", sweep.table(), sweep.swept.name());
        written.push(plot);
    }
    let file = folder.join(TABLES);
    std::fs::write(&file, tables).map_err(|e| format!("{}: {e}", file.display()))?;
    written.push(file);
    Ok(written)
}
