//! Two sets of runs side by side, paired seed by seed: what differs, and whether that is more than chance.

use crate::results::{Run, FIGURES};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The part of all repetitions whose interval holds the true difference.
const CONFIDENCE: f64 = 0.95;

/// A figure in two sets of runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// What is compared.
    pub figure: &'static str,
    /// Its mean in the first set.
    pub before: f64,
    /// Its mean in the second.
    pub after: f64,
    /// The mean difference, pair by pair.
    pub by: f64,
    /// Half of the interval of confidence around it; none where there is a single pair.
    pub give_or_take: Option<f64>,
    /// Seeds that both have.
    pub pairs: usize,
}

impl Difference {
    /// Whether it is more than chance would give.
    pub fn is_real(&self) -> bool {
        self.give_or_take.is_some_and(|half| self.by.abs() > half)
    }

    /// In a word.
    pub fn verdict(&self) -> &'static str {
        match (self.give_or_take, self.is_real()) {
            (None, _) => "one pair: no verdict",
            (_, false) => "noise",
            (_, true) if self.by > 0.0 => "more",
            (_, true) => "less",
        }
    }
}

/// All figures of two sets, over the seeds that both have.
pub fn paired(before: &[&Run], after: &[&Run]) -> Vec<Difference> {
    let pairs: Vec<(&Run, &Run)> = before
        .iter()
        .filter_map(|run| Some((*run, *after.iter().find(|other| other.seed == run.seed)?)))
        .collect();
    let of = |(figure, value): &crate::results::Figure| {
        let values: Vec<(f64, f64)> = pairs.iter().map(|(a, b)| (value(a), value(b))).collect();
        let n = values.len() as f64;
        let mean = |of: &dyn Fn(&(f64, f64)) -> f64| values.iter().map(of).sum::<f64>() / n.max(1.0);
        let by = mean(&|(a, b)| b - a);
        let variance = values.iter().map(|(a, b)| (b - a - by).powi(2)).sum::<f64>() / (n - 1.0).max(1.0);
        let students = (values.len() > 1).then(|| StudentsT::new(0.0, 1.0, n - 1.0).ok()).flatten();
        let give_or_take = students.map(|t| t.inverse_cdf(0.5 + CONFIDENCE / 2.0) * (variance / n).sqrt());
        let (before, after) = (mean(&|(a, _)| *a), mean(&|(_, b)| *b));
        Difference { figure, before, after, by, give_or_take, pairs: values.len() }
    };
    FIGURES.iter().map(of).collect()
}

/// As a table of plain text.
pub fn table(differences: &[Difference]) -> String {
    let mut text =
        format!("{:<24}{:>10}{:>10}{:>11}{:>11}  verdict\n", "figure", "before", "after", "by", "+-");
    for it in differences {
        let half = it.give_or_take.map_or("-".into(), |half| format!("{half:.4}"));
        let line = format!(
            "{:<24}{:>10.4}{:>10.4}{:>+11.4}{:>11}  {}\n",
            it.figure,
            it.before,
            it.after,
            it.by,
            half,
            it.verdict()
        );
        text.push_str(&line);
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::results::Row;

    fn run(seed: u64, served: f64) -> Run {
        Run { seed, all: Row { offered: 100.0, served, ..Row::default() }, ..Run::default() }
    }

    fn share(before: &[(u64, f64)], after: &[(u64, f64)]) -> Difference {
        let runs =
            |of: &[(u64, f64)]| of.iter().map(|(seed, served)| run(*seed, *served)).collect::<Vec<_>>();
        let (before, after) = (runs(before), runs(after));
        let all = paired(&before.iter().collect::<Vec<_>>(), &after.iter().collect::<Vec<_>>());
        all.into_iter().find(|it| it.figure == "served share").unwrap()
    }

    #[test]
    fn a_small_difference_in_each_pair_is_real_and_a_large_one_in_some_is_noise() {
        let before = [(1, 50.0), (2, 80.0), (3, 65.0), (4, 90.0)];
        let real = share(&before, &[(4, 91.1), (1, 51.0), (2, 80.9), (3, 66.0)]);
        assert!((real.by - 0.01).abs() < 1e-9 && real.is_real() && real.verdict() == "more", "{real:?}");
        let noise = share(&before, &[(1, 70.0), (2, 65.0), (3, 75.0), (4, 80.0)]);
        assert!(!noise.is_real() && noise.verdict() == "noise", "{noise:?}");
        // By the tables: t of 3 degrees at 0.975 is 3.182.
        let spread =
            share(&[(1, 0.0), (2, 0.0), (3, 0.0), (4, 0.0)], &[(1, 1.0), (2, 2.0), (3, 3.0), (4, 4.0)]);
        let half = 3.182 * (5.0f64 / 3.0).sqrt() / 2.0 / 100.0;
        assert!((spread.give_or_take.unwrap() - half).abs() < 1e-5, "{spread:?}");
        let one = share(&[(1, 1.0), (2, 5.0)], &[(1, 2.0), (3, 5.0)]);
        assert_eq!((one.pairs, one.give_or_take, one.verdict()), (1, None, "one pair: no verdict"));
    }
}
