//! Fits: a line through the measurements, by least squares of relative distances (sizes span factors of 30 to 1,000, so with absolute
//! distances only the largest size would count), and its extrapolation to the target size. Where the line fits badly, other shapes are
//! tried and named. Rounding never understates a cost.

use super::row::{Measurement, MeasurementKind};
use super::targets::Targets;
use serde::Serialize;

/// Minimum number of sizes, and minimum ratio of the largest to the smallest size.
pub const MIN_SIZES: usize = 4;
pub const MIN_SPAN: f64 = 30.0;
/// A line whose worst relative residual is past this bound fits badly.
pub const MAX_GOOD_RESIDUAL: f64 = 0.25;

/// The function of the size that the value is fitted against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
    Line,
    Log2,
    Square,
}

impl Shape {
    fn of(self, size: f64) -> f64 {
        match self {
            Shape::Line => size,
            Shape::Log2 => size.max(1.0).log2(),
            Shape::Square => size * size,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Verdict {
    Good,
    Bad,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fit {
    pub role: String,
    pub metric: String,
    /// Coefficients of `shape`: value = intercept + slope × size, log2(size) or size².
    pub slope: f64,
    pub intercept: f64,
    /// The largest distance from a measurement, relative to the measurement.
    pub worst_residual: f64,
    pub largest_measured: u64,
    /// Value at the target size: the shape's value, raised by the ratio of the largest measurement to the shape.
    pub at_size: f64,
    pub budget: Option<f64>,
    pub fits: Option<bool>,
    /// The target size.
    pub size: u64,
    /// Value at the target size divided by the budget, rounded up: a factor over 1 does not fit.
    pub factor: Option<f64>,
    /// The target size divided by the largest measured size.
    pub beyond: f64,
    /// Verdict and worst residual of the line.
    pub fit: Verdict,
    pub line_residual: f64,
    pub shape: Shape,
    pub unit: String,
    pub how: MeasurementKind,
    /// Pairs of size and value, sorted by size.
    pub measured: Vec<(u64, f64)>,
}

/// A metric with too few sizes, or sizes over too small a span.
#[derive(Clone, Debug, PartialEq)]
pub struct Unfitted {
    pub role: String,
    pub metric: String,
    pub unit: String,
    pub how: MeasurementKind,
    pub measured: Vec<(u64, f64)>,
}

/// Slope, intercept and worst residual by least squares of relative distances.
pub fn least_squares(points: &[(f64, f64)]) -> (f64, f64, f64) {
    // No distance is relative to a measured 0: the mean replaces it.
    let mean = points.iter().map(|(_, y)| y.abs()).sum::<f64>() / points.len().max(1) as f64;
    if mean == 0.0 {
        return (0.0, 0.0, 0.0);
    }
    let against = |y: f64| if y == 0.0 { mean } else { y.abs() };
    let weights: Vec<f64> = points.iter().map(|(_, y)| (mean / against(*y)).powi(2)).collect();
    let all: f64 = weights.iter().sum();
    let weighted = |of: &dyn Fn(&(f64, f64)) -> f64| {
        points.iter().zip(&weights).map(|(point, weight)| weight * of(point)).sum::<f64>() / all
    };
    let (mean_x, mean_y) = (weighted(&|point| point.0), weighted(&|point| point.1));
    let over = weighted(&|(x, y)| (x - mean_x) * (y - mean_y));
    let under = weighted(&|(x, _)| (x - mean_x) * (x - mean_x));
    let slope = if under > 0.0 { over / under } else { 0.0 };
    let intercept = mean_y - slope * mean_x;
    let residual = |(x, y): &(f64, f64)| (intercept + slope * x - y).abs() / against(*y);
    (slope, intercept, points.iter().map(residual).fold(0.0, f64::max))
}

/// Value divided by budget, rounded up to hundredths so that a cost is never understated.
pub fn factor(value: f64, budget: f64) -> f64 {
    let exact = value / budget;
    let rounded = (exact * 100.0).ceil() / 100.0;
    if rounded < exact || (value > budget && rounded <= 1.0) {
        rounded + 0.01
    } else {
        rounded
    }
}

/// Raises the extrapolated value. If the measurement at the largest size up to the target size is above the shape, the value at the
/// target size is raised by the same ratio. The result is never below that measurement, as a falling shape would extrapolate to less
/// than 0.
fn raise_to_measured(
    extrapolated: f64,
    (slope, intercept, shape): (f64, f64, Shape),
    size: u64,
    measured: &[(u64, f64)],
) -> f64 {
    let Some((last, value)) = measured.iter().rev().find(|(at, _)| *at <= size) else { return extrapolated };
    let there = intercept + slope * shape.of(*last as f64);
    let over = if there > 0.0 && *value > there { value / there } else { 1.0 };
    // A ratio that comes only from rounding raises nothing.
    let over = if over < 1.0 + 1e-9 { 1.0 } else { over };
    (extrapolated * over).max(*value)
}

/// Groups the measurements by role and metric, in order of first appearance; several values at one size become their mean.
fn group_by_metric(rows: &[Measurement]) -> Vec<Unfitted> {
    let mut out: Vec<Unfitted> = Vec::new();
    for row in rows {
        let same = |known: &&mut Unfitted| {
            known.role == row.role && known.metric == row.metric && known.how == row.how
        };
        match out.iter_mut().find(same) {
            Some(known) => known.measured.push((row.size, row.value)),
            None => out.push(Unfitted {
                role: row.role.clone(),
                metric: row.metric.clone(),
                unit: row.unit.clone(),
                how: row.how,
                measured: vec![(row.size, row.value)],
            }),
        }
    }
    for one in &mut out {
        one.measured.sort_by_key(|(size, _)| *size);
        let means = one
            .measured
            .chunk_by(|a, b| a.0 == b.0)
            .map(|same| (same[0].0, same.iter().map(|(_, value)| value).sum::<f64>() / same.len() as f64));
        one.measured = means.collect();
    }
    out
}

/// Fits each role and metric with enough sizes; the second list has the metrics that can't be fitted.
pub fn fits(rows: &[Measurement], targets: &Targets) -> (Vec<Fit>, Vec<Unfitted>) {
    let (mut fitted, mut others) = (Vec::new(), Vec::new());
    for one in group_by_metric(rows) {
        let (first, last) = match (one.measured.first(), one.measured.last()) {
            (Some(first), Some(last)) => (first.0.max(1) as f64, *last),
            _ => continue,
        };
        let finite = one.measured.iter().all(|(_, value)| value.is_finite());
        if one.measured.len() < MIN_SIZES || (last.0 as f64) < first * MIN_SPAN || !finite {
            others.push(one);
            continue;
        }
        let by = |shape: Shape| {
            let points: Vec<(f64, f64)> =
                one.measured.iter().map(|(size, value)| (shape.of(*size as f64), *value)).collect();
            (shape, least_squares(&points))
        };
        let line = by(Shape::Line);
        let line_residual = line.1 .2;
        let fit = if line_residual > MAX_GOOD_RESIDUAL { Verdict::Bad } else { Verdict::Good };
        let best = match fit {
            Verdict::Good => line,
            Verdict::Bad => [by(Shape::Log2), by(Shape::Square)].into_iter().fold(line, |best, next| {
                if next.1 .2 < best.1 .2 {
                    next
                } else {
                    best
                }
            }),
        };
        let (shape, (slope, intercept, worst_residual)) = best;
        let size = targets.size(&one.metric);
        let extrapolated = intercept + slope * shape.of(size as f64);
        let at_size = raise_to_measured(extrapolated, (slope, intercept, shape), size, &one.measured);
        let row = Measurement::new(&one.role, size, &one.metric, at_size, &one.unit, one.how);
        let budget = targets.budget(&row);
        fitted.push(Fit {
            slope,
            intercept,
            worst_residual,
            largest_measured: last.0,
            at_size,
            budget,
            fits: budget.map(|budget| at_size <= budget),
            size,
            factor: budget.map(|budget| factor(at_size, budget)),
            beyond: size as f64 / last.0.max(1) as f64,
            fit,
            line_residual,
            shape,
            role: one.role,
            metric: one.metric,
            unit: one.unit,
            how: one.how,
            measured: one.measured,
        });
    }
    (fitted, others)
}
