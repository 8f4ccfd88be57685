//! Slopes of what was measured at several sizes, and what they come to at a size that was not.

use serde::Serialize;

/// A line through points, by least squares: `base + slope * size`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// What there is without any.
    pub base: f64,
    /// What one more costs.
    pub slope: f64,
    /// The slope's standard error; infinite with two points, which any line fits.
    pub error: f64,
}

/// A power of the size: `factor * size ^ power`; by least squares on the logarithms of both.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Power {
    /// What one costs.
    pub factor: f64,
    /// 0 is flat, 1 a line, 2 a square.
    pub power: f64,
    /// The power's standard error; infinite with two points.
    pub error: f64,
}

impl Line {
    /// What it comes to at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}

impl Power {
    /// What it comes to at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.factor * size.powf(self.power)
    }
}

/// A line through points of size and value. None for fewer than two sizes, or what is no number.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let n = points.len() as f64;
    let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
    let base = y - slope * x;
    let left: f64 = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
    let error = if n > 2.0 { (left / (n - 2.0) / spread).sqrt() } else { f64::INFINITY };
    (spread > 0.0 && slope.is_finite() && base.is_finite()).then_some(Line { base, slope, error })
}

/// A power through points of size and value. None for fewer than two sizes, or where one is not above 0.
pub fn power(points: &[(f64, f64)]) -> Option<Power> {
    if points.iter().any(|(x, y)| *x <= 0.0 || *y <= 0.0) {
        return None;
    }
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let fitted = line(&logs)?;
    Some(Power { factor: fitted.base.exp(), power: fitted.slope, error: fitted.error })
}

/// A value beside its budget, in words: `over 3.1 times`, `within, 40% used`.
pub fn against(value: f64, budget: f64) -> String {
    let part = value / budget;
    match part {
        _ if !part.is_finite() || part < 0.0 => "not known".into(),
        _ if part > 1.0 => format!("over {} times", digits(part)),
        _ => format!("within, {}% used", digits(part * 100.0)),
    }
}

/// A number as people read it: two digits that count, none lost before the point.
pub fn digits(value: f64) -> String {
    let size = value.abs();
    match size {
        _ if !value.is_finite() => "-".into(),
        _ if size >= 1e6 => format!("{:.1}M", value / 1e6),
        _ if size >= 10_000.0 => format!("{:.0}k", value / 1e3),
        _ if size >= 10.0 => format!("{value:.0}"),
        _ if size >= 1.0 => format!("{value:.1}"),
        _ if size >= 0.1 => format!("{value:.2}"),
        _ if size == 0.0 => "0".into(),
        _ if size >= 0.001 => format!("{value:.4}"),
        _ => format!("{value:.1e}"),
    }
}
