//! One page of HTML that opens without a network: tables, and plots as SVG with the faults marked on the time axis.

use crate::compare::paired;
use crate::results::{Mark, Row, Run, FIGURES};
use minijinja::{context, Environment};
use plotters::prelude::*;
use std::collections::BTreeMap;
use thiserror::Error;

const PAGE: &str = include_str!("report.html");
const SIZE: (u32, u32) = (960, 300);

/// Why there is no report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// There is nothing to report on.
    #[error("no runs")]
    NoRuns,
    /// A plot that can't be drawn.
    #[error("a plot: {0}")]
    Plot(String),
    /// The page itself.
    #[error("the page: {0}")]
    Page(#[from] minijinja::Error),
}

fn plot_error(error: impl std::fmt::Display) -> ReportError {
    ReportError::Plot(error.to_string())
}

/// Runs by variant, in the order in which the variants first come.
pub fn by_variant(runs: &[Run]) -> Vec<(&str, Vec<&Run>)> {
    let mut variants: Vec<(&str, Vec<&Run>)> = Vec::new();
    for run in runs {
        match variants.iter_mut().find(|(name, _)| *name == run.variant) {
            Some((_, of)) => of.push(run),
            None => variants.push((&run.variant, vec![run])),
        }
    }
    variants
}

fn mean(runs: &[&Run], of: impl Fn(&Run) -> f64) -> f64 {
    runs.iter().map(|run| of(run)).sum::<f64>() / runs.len().max(1) as f64
}

/// The page for runs of one experiment; `mode` says how they were played.
pub fn page(runs: &[Run], mode: &str) -> Result<String, ReportError> {
    let first = runs.first().ok_or(ReportError::NoRuns)?;
    let variants = by_variant(runs);
    let table: Vec<_> = variants
        .iter()
        .map(|(name, of)| {
            let cells: Vec<String> = FIGURES.iter().map(|(_, f)| format!("{:.3}", mean(of, f))).collect();
            context! { name => *name, cells }
        })
        .collect();
    let comparisons: Vec<_> = variants
        .iter()
        .skip(1)
        .map(|(after, of)| {
            let (before, base) = &variants[0];
            let rows = paired(base, of).into_iter().map(|it| {
                let half = it.give_or_take.map_or("-".into(), |half| format!("{half:.4}"));
                let cells =
                    [format!("{:.4}", it.before), format!("{:.4}", it.after), format!("{:+.4}", it.by)];
                let [a, b, by] = cells;
                vec![it.figure.to_owned(), a, b, by, half, it.verdict().to_owned()]
            });
            context! { before => *before, after => *after, rows => rows.collect::<Vec<_>>() }
        })
        .collect();
    let broken: Vec<String> = runs
        .iter()
        .filter(|run| run.broken_in_all() > 0)
        .map(|run| {
            let rules: Vec<String> =
                run.broken.iter().map(|(rule, n)| format!("{rule:?} {n} times")).collect();
            let what =
                run.breaches.first().map_or(String::new(), |b| format!("; at {:.2} s {}", b.at_s, b.what));
            format!("Broken rules, {} with seed {}: {}{what}", run.variant, run.seed, rules.join(", "))
        })
        .collect();
    let rows: Vec<Vec<String>> =
        [&first.classes, &first.plans, &first.zones].into_iter().flatten().map(cells).collect();
    let latencies: Vec<Vec<String>> = first
        .latencies
        .iter()
        .map(|it| {
            let figures = [it.p50, it.p90, it.p99, it.p999].map(|ms| format!("{ms:.1}"));
            std::iter::once(it.name.clone()).chain(figures).collect()
        })
        .collect();
    let mut environment = Environment::new();
    environment.add_template("report.html", PAGE)?;
    Ok(environment.get_template("report.html")?.render(context! {
        experiment => first.experiment.as_str(),
        ask => first.ask.as_str(),
        runs => runs.len(),
        mode,
        broken,
        figures => FIGURES.iter().map(|(name, _)| *name).collect::<Vec<_>>(),
        variants => table,
        comparisons,
        served => served_plot(&variants, &first.marks)?,
        rows,
        latencies,
        bars => latency_plot(first)?,
        inflight => inflight_plot(first)?,
        sends => sends_plot(first)?,
        processes => processes_plot(first)?,
        undecided => runs.iter().flat_map(|run| run.undecided.clone()).take(20).collect::<Vec<_>>(),
    })?)
}

fn cells(row: &Row) -> Vec<String> {
    let counts = [row.asked, row.in_time, row.late, row.refused, row.failed].map(|n| n.to_string());
    let share = format!("{:.3}", row.share());
    std::iter::once(row.name.clone()).chain(counts).chain([share]).collect()
}

/// A drawing of that many pixels, as text.
fn drawn(
    draw: impl FnOnce(&DrawingArea<SVGBackend, plotters::coord::Shift>) -> Result<(), ReportError>,
) -> Result<String, ReportError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        draw(&area)?;
        area.present().map_err(plot_error)?;
    }
    Ok(text)
}

/// A line: its name (empty for one that the legend leaves out), its colour, its points.
type Line = (String, RGBColor, Vec<(f64, f64)>);

/// Lines over the seconds of a run, with what went wrong marked.
fn lines(what: &str, most: f64, seconds: f64, marks: &[Mark], all: &[Line]) -> Result<String, ReportError> {
    drawn(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds.max(1.0), 0.0..most)
            .map_err(plot_error)?;
        let shades = marks.iter().map(|mark| {
            Rectangle::new(
                [(mark.from, 0.0), (mark.until.min(seconds), most)],
                RGBColor(250, 224, 200).filled(),
            )
        });
        chart.draw_series(shades).map_err(plot_error)?;
        let mesh = &mut chart.configure_mesh();
        mesh.x_desc("s").y_desc(what).light_line_style(WHITE).draw().map_err(plot_error)?;
        let names = marks.iter().enumerate().map(|(n, mark)| {
            let at = (mark.from, most * (0.12 + 0.08 * (n % 4) as f64));
            Text::new(mark.what.clone(), at, ("sans-serif", 13).into_font())
        });
        chart.draw_series(names).map_err(plot_error)?;
        for (name, color, points) in all {
            let (name, color) = (name.clone(), *color);
            let line = LineSeries::new(points.iter().copied(), color.stroke_width(2));
            let drawn = chart.draw_series(line).map_err(plot_error)?;
            if !name.is_empty() {
                drawn
                    .label(name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
            }
        }
        let labels = &mut chart.configure_series_labels();
        labels
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(plot_error)
    })
}

fn color(n: usize) -> RGBColor {
    const COLORS: [RGBColor; 6] = [
        RGBColor(0, 90, 181),
        RGBColor(220, 50, 32),
        RGBColor(0, 130, 90),
        RGBColor(150, 80, 160),
        RGBColor(190, 120, 0),
        RGBColor(90, 90, 90),
    ];
    COLORS[n % COLORS.len()]
}

fn served_plot(variants: &[(&str, Vec<&Run>)], marks: &[Mark]) -> Result<String, ReportError> {
    let seconds = variants.iter().flat_map(|(_, of)| of).map(|run| run.seconds.len()).max().unwrap_or(0);
    let all: Vec<_> = variants
        .iter()
        .enumerate()
        .map(|(n, (name, of))| {
            let points = (0..seconds).filter_map(|second| {
                let rows: Vec<&Row> = of.iter().filter_map(|run| run.seconds.get(second)).collect();
                let offered: f64 = rows.iter().map(|row| row.offered).sum();
                let served: f64 = rows.iter().map(|row| row.served).sum();
                (offered > 0.0).then_some((second as f64, served / offered))
            });
            ((*name).to_owned(), color(n), points.collect())
        })
        .collect();
    lines("served share", 1.0, seconds as f64, marks, &all)
}

fn inflight_plot(run: &Run) -> Result<String, ReportError> {
    let zones: BTreeMap<&str, usize> =
        run.zones.iter().enumerate().map(|(n, row)| (row.name.as_str(), n)).collect();
    let most = run.servers.iter().flat_map(|server| &server.inflight).copied().max().unwrap_or(0);
    let mut named = std::collections::BTreeSet::new();
    let all: Vec<_> = run
        .servers
        .iter()
        .map(|server| {
            // One that came later has fewer seconds, its last is the run's.
            let late = run.servers[0].inflight.len().saturating_sub(server.inflight.len());
            let points = server.inflight.iter().enumerate();
            let points = points.map(|(n, in_hand)| ((late + n + 1) as f64, f64::from(*in_hand)));
            let name = if named.insert(&server.zone) { server.zone.clone() } else { String::new() };
            (name, color(zones.get(server.zone.as_str()).copied().unwrap_or(0)), points.collect())
        })
        .collect();
    lines("in hand", f64::from(most.max(1)), run.seconds.len() as f64, &run.marks, &all)
}

fn bars(what: &str, all: &[(String, f64, RGBColor)]) -> Result<String, ReportError> {
    let most = all.iter().map(|(_, value, _)| *value).fold(1.0, f64::max) * 1.05;
    drawn(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..all.len() as f64, 0.0..most)
            .map_err(plot_error)?;
        let name = |at: &f64| {
            let middle = (at.fract() - 0.5).abs() < 0.01 || all.len() > 12;
            all.get(*at as usize).filter(|_| middle).map_or(String::new(), |(name, ..)| name.clone())
        };
        let mesh = &mut chart.configure_mesh();
        mesh.disable_x_mesh().x_labels(2 * all.len().clamp(1, 12)).x_label_formatter(&name).y_desc(what);
        mesh.light_line_style(WHITE).draw().map_err(plot_error)?;
        let bars = all.iter().enumerate().map(|(n, (_, value, color))| {
            let n = n as f64;
            Rectangle::new([(n + 0.1, 0.0), (n + 0.9, *value)], color.filled())
        });
        chart.draw_series(bars).map_err(plot_error)?;
        Ok(())
    })
}

/// A row for each process over the seconds of a run, with what it was when it was not well; none without processes.
fn processes_plot(run: &Run) -> Result<Option<String>, ReportError> {
    let rows = &run.processes;
    if rows.is_empty() {
        return Ok(None);
    }
    let words: std::collections::BTreeSet<&str> =
        rows.iter().flat_map(|row| row.states.iter().map(|(_, _, what)| what.as_str())).collect();
    let seconds = run.seconds.len().max(1) as f64;
    let text = drawn(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(96)
            .build_cartesian_2d(0.0..seconds, 0.0..rows.len() as f64)
            .map_err(plot_error)?;
        let name = |at: &f64| {
            let middle = (at.fract() - 0.5).abs() < 0.01 || rows.len() > 12;
            rows.get(*at as usize).filter(|_| middle).map_or(String::new(), |row| row.name.clone())
        };
        let mesh = &mut chart.configure_mesh();
        mesh.x_desc("s").disable_y_mesh().y_labels(2 * rows.len().clamp(1, 12)).y_label_formatter(&name);
        mesh.light_line_style(WHITE).draw().map_err(plot_error)?;
        let bar = |n: usize, from: f64, until: f64, color: RGBColor| {
            let (from, until) = (from.clamp(0.0, seconds), until.clamp(0.0, seconds));
            Rectangle::new([(from, n as f64 + 0.2), (until, n as f64 + 0.8)], color.filled())
        };
        let alive = (0..rows.len()).map(|n| bar(n, 0.0, seconds, RGBColor(214, 232, 214)));
        chart.draw_series(alive).map_err(plot_error)?;
        for (number, word) in words.iter().enumerate() {
            let of = rows.iter().enumerate().flat_map(|(n, row)| {
                let states = row.states.iter().filter(|(_, _, what)| what == word);
                states.map(move |(from, until, _)| bar(n, *from, *until, color(number + 1)))
            });
            let drawn = chart.draw_series(of).map_err(plot_error)?;
            let color = color(number + 1);
            drawn
                .label(*word)
                .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 14, y + 4)], color.filled()));
        }
        let labels = &mut chart.configure_series_labels();
        labels.background_style(WHITE.mix(0.8)).draw().map_err(plot_error)
    })?;
    Ok(Some(text))
}

fn latency_plot(run: &Run) -> Result<String, ReportError> {
    let of = run.latencies.iter().enumerate().flat_map(|(n, it)| {
        let all = [("p50", it.p50), ("p90", it.p90), ("p99", it.p99)];
        all.map(|(q, ms)| (format!("{} {q}", it.name), ms, color(n)))
    });
    bars("ms", &of.collect::<Vec<_>>())
}

fn sends_plot(run: &Run) -> Result<String, ReportError> {
    let zones: BTreeMap<&str, usize> =
        run.zones.iter().enumerate().map(|(n, row)| (row.name.as_str(), n)).collect();
    let of = run.servers.iter().map(|server| {
        let zone = zones.get(server.zone.as_str()).copied().unwrap_or(0);
        (server.name.clone(), server.attempts as f64, color(zone))
    });
    bars("attempts", &of.collect::<Vec<_>>())
}
