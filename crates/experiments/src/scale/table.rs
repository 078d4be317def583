//! The tables of docs/CAPACITY.md.

use super::fits::{Fit, Shape, Unfitted, Verdict};
use super::row::MeasurementKind;
use super::Report;

fn kind_name(kind: MeasurementKind) -> &'static str {
    match kind {
        MeasurementKind::Real => "real",
        MeasurementKind::Hollow => "hollow",
        MeasurementKind::Simulated => "simulated",
    }
}

/// Formats a value to three significant digits.
pub fn figure(value: f64) -> String {
    if !value.is_finite() {
        return "not within the simulation".into();
    }
    if value == 0.0 {
        return "0".into();
    }
    if value.abs() < 1e-3 {
        return format!("{value:.2e}");
    }
    let digits = (2 - value.abs().log10().floor() as i32).clamp(0, 6) as usize;
    let text = format!("{value:.digits$}");
    if digits > 0 {
        text.trim_end_matches('0').trim_end_matches('.').to_string()
    } else {
        text
    }
}

fn measured(points: &[(u64, f64)]) -> String {
    let all: Vec<String> = points.iter().map(|(size, value)| format!("{size}: {}", figure(*value))).collect();
    all.join("; ")
}

/// Formats the verdict. The factor was already rounded up to hundredths.
fn verdict(fit: &Fit) -> String {
    match (fit.fits, fit.factor) {
        (Some(true), Some(factor)) => format!("fits, {factor:.2} of it"),
        (Some(false), Some(factor)) => format!("**does not fit, {factor:.2} times**"),
        _ => "-".into(),
    }
}

fn shape(fit: &Fit) -> String {
    let residual = |part: f64| format!("{:.1}%", part * 100.0);
    match (fit.shape, fit.fit) {
        (Shape::Line, Verdict::Good) => residual(fit.worst_residual),
        (Shape::Line, Verdict::Bad) => format!("{}, **bad**", residual(fit.worst_residual)),
        (Shape::Log2, _) => {
            format!(
                "{} by log2(size); line bad, {}",
                residual(fit.worst_residual),
                residual(fit.line_residual)
            )
        }
        (Shape::Square, _) => {
            format!("{} by size²; line bad, {}", residual(fit.worst_residual), residual(fit.line_residual))
        }
    }
}

fn row(fit: &Fit) -> String {
    format!(
        "| {} | {} | {} | {} | {} | {} | {} at {} | {} | {} | {} | {:.1} |\n",
        fit.metric,
        fit.unit,
        measured(&fit.measured),
        figure(fit.slope),
        figure(fit.intercept),
        shape(fit),
        figure(fit.at_size),
        fit.size,
        fit.budget.map_or("-".into(), figure),
        verdict(fit),
        kind_name(fit.how),
        fit.beyond
    )
}

fn plain(one: &Unfitted) -> String {
    format!(
        "| {} | {} | {} | {} | {} |\n",
        one.role,
        one.metric,
        one.unit,
        measured(&one.measured),
        kind_name(one.how)
    )
}

/// A table of the fitted metrics for each role, then a table of the metrics without a fit.
pub fn table(report: &Report) -> String {
    let mut out = format!(
        "Made by `cypresscleat-experiments scale --table`, seed {}. Residual: the worst distance of the shape from what was measured, as a \
         part of it; past 25% the line is called bad and the shape that fits best is named. At the size: the shape there, lifted by \
         what the largest measured size lay over it. Beyond: the size to design for against \
         the largest measured.\n",
        report.seed
    );
    let mut roles: Vec<&str> = report.fits.iter().map(|fit| fit.role.as_str()).collect();
    roles.sort_unstable();
    roles.dedup();
    for role in roles {
        out += &format!(
            "\n### {role}\n\n\
             | metric | unit | measured, by size | slope | intercept | residual | at the size | budget | fits | how | beyond |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"
        );
        report.fits.iter().filter(|fit| fit.role == role).map(row).for_each(|row| out += &row);
    }
    if !report.unfitted.is_empty() {
        out += "\n### Measured, without a slope\n\nFewer than four sizes, a span under a factor of 30, or no end within the simulation.\n\n\
                | role | metric | unit | measured, by size | how |\n| --- | --- | --- | --- | --- |\n";
        report.unfitted.iter().map(plain).for_each(|row| out += &row);
    }
    out
}
