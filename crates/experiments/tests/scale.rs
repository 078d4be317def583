//! Costs that grow with size: messages, bytes and entries are counted at three sizes, and each slope is compared with its recorded
//! bound; no check depends on time. Also tests the fits: recovered coefficients, bad fits, rounding of factors.

use cypresscleat_experiments::scale::fits::{
    factor, fits, least_squares, Fit, Shape, Verdict, MAX_GOOD_RESIDUAL,
};
use cypresscleat_experiments::scale::row::{Measurement, MeasurementKind};
use cypresscleat_experiments::scale::targets::{Targets, MAX_DATAGRAM_BYTES, TARGETS};
use cypresscleat_experiments::scale::{gossip, keepers, table, tier, Report};
use proptest::prelude::*;

/// Slope of the values that `measure` returns at three sizes.
fn slope(sizes: [usize; 3], measure: impl Fn(usize) -> f64) -> f64 {
    let points: Vec<(f64, f64)> = sizes.iter().map(|size| (*size as f64, measure(*size))).collect();
    least_squares(&points).0
}

fn check_slope(name: &str, slope: f64, bound: f64) {
    println!("{name}: {slope:.4} for each more");
    assert!(slope <= bound, "{name} grows by {slope:.4} with each more; the recorded bound is {bound}");
}

#[test]
fn gossip_cost_grows_no_faster_than_recorded() {
    let sizes = [10, 30, 90];
    let all = sizes.map(|many| gossip::at_rest(many, 0.01, 1).1);
    let of = |at: usize| {
        let points: Vec<(f64, f64)> =
            sizes.iter().zip(&all).map(|(size, figures)| (*size as f64, figures[at])).collect();
        least_squares(&points).0
    };
    check_slope("messages a second", of(0), 0.01);
    check_slope("bytes a second", of(1), 2.6);
    check_slope("entries", of(2), 1.000_001);
    check_slope("bytes a second after all have started", of(3), 10.0);
}

#[test]
fn the_cost_of_a_change_at_control_replicas_grows_no_faster_than_recorded() {
    let all: Vec<keepers::Change> =
        [10, 30, 90].iter().map(|many| keepers::change(*many, 0, 1024, 1)).collect();
    let of = |of: &dyn Fn(&keepers::Change) -> f64| {
        let points: Vec<(f64, f64)> = [10.0, 30.0, 90.0].into_iter().zip(all.iter().map(of)).collect();
        least_squares(&points).0
    };
    check_slope("messages a second at rest", of(&|done| done.rest[0] + done.rest[2]), 4.1);
    check_slope("bytes a second at rest", of(&|done| done.rest[1] + done.rest[3]), 88.0);
    check_slope("messages of a change's first second", of(&|done| done.first[0] + done.first[2]), 12.5);
    check_slope("bytes of a change's first second", of(&|done| done.first[1] + done.first[3]), 1_300.0);
    assert!(all.iter().all(|done| done.all), "a change was not active everywhere");
}

#[test]
fn the_cost_of_sessions_at_control_replicas_grows_no_faster_than_recorded() {
    let of = |at: usize| {
        slope([10, 30, 90], |many| {
            let all = keepers::sessions(many, 1);
            all[at] + all[at + 2]
        })
    };
    check_slope("messages a second", of(0), 4.1);
    check_slope("bytes a second", of(1), 70.0);
}

#[test]
fn encoded_reports_and_grants_grow_no_faster_than_recorded() {
    let report = slope([30, 300, 2_000], |many| tier::encoded_sizes(many as u64).0.unwrap_or(f64::INFINITY));
    let grants = slope([30, 300, 2_000], |many| tier::encoded_sizes(many as u64).1.unwrap_or(f64::INFINITY));
    check_slope("a report's bytes", report, 23.0);
    check_slope("grants' bytes", grants, 11.0);
    // The maximum sizes that fit in a datagram.
    let max_workers = tier::max_workers(|many| tier::encoded_sizes(many).0);
    assert!(tier::encoded_sizes(max_workers).0.is_some_and(|bytes| bytes <= MAX_DATAGRAM_BYTES));
    assert!(tier::encoded_sizes(max_workers + 1).0.is_none_or(|bytes| bytes > MAX_DATAGRAM_BYTES));
}

fn rows(metric: &str, points: &[(u64, f64)]) -> Vec<Measurement> {
    points
        .iter()
        .map(|(size, value)| {
            Measurement::new("app-server", *size, metric, *value, "B/s", MeasurementKind::Simulated)
        })
        .collect()
}

fn only(points: &[(u64, f64)]) -> Fit {
    let (fitted, others) = fits(&rows("gossip bytes by members", points), &TARGETS);
    assert!(others.is_empty(), "{others:?}");
    fitted.into_iter().next().expect("a fit")
}

#[test]
fn few_sizes_or_a_small_span_give_no_fit() {
    for points in [&[(30, 1.0), (300, 2.0), (1_000, 3.0)][..], &[(30, 1.0), (60, 2.0), (90, 3.0), (899, 4.0)]]
    {
        let (fitted, others) = fits(&rows("gossip bytes by members", points), &TARGETS);
        assert!(fitted.is_empty() && others.len() == 1, "{fitted:?}");
    }
}

#[test]
fn a_value_that_is_not_finite_gives_no_fit() {
    let points = [(30, 1.0), (100, 2.0), (300, 3.0), (1_000, f64::NAN)];
    assert!(fits(&rows("gossip bytes by members", &points), &TARGETS).0.is_empty());
}

#[test]
fn shapes_other_than_a_line_are_named() {
    let by = |of: fn(f64) -> f64| only(&[30, 100, 300, 1_000, 3_000].map(|size| (size, of(size as f64))));
    let (log, square, line) =
        (by(|x| 7.0 * x.log2() - 20.0), by(|x| 0.5 * x * x + 9.0), by(|x| 3.0 * x + 9.0));
    assert_eq!((log.shape, log.fit), (Shape::Log2, Verdict::Bad));
    assert_eq!((square.shape, square.fit), (Shape::Square, Verdict::Bad));
    assert_eq!((line.shape, line.fit), (Shape::Line, Verdict::Good));
    assert!((square.at_size - (0.5 * 5_854f64.powi(2) + 9.0)).abs() < 1.0, "{square:?}");
}

#[test]
fn the_target_size_depends_on_what_the_metric_counts() {
    let size = |metric: &str| TARGETS.size(metric);
    assert_eq!(size("a tenant found by its name by tenants"), 660_000);
    assert_eq!(size("bytes by routes"), 67_000);
    assert_eq!(size("gossip bytes by members, loss 1%"), 5_854);
    assert_eq!(size("table by workers"), 5_800);
    assert_eq!(Targets::between_changes(&TARGETS), 7.2);
}

#[test]
fn json_and_tables_have_the_same_results() {
    let rows =
        rows("gossip bytes by members", &[(30, 150.0), (100, 500.0), (300, 1_500.0), (1_000, 5_000.0)]);
    let (fits, unfitted) = fits(&rows, &TARGETS);
    let report = Report { rows, fits, seed: 3, unfitted };
    let json = serde_json::to_value(&report).expect("no keys but text");
    let keys = |value: &serde_json::Value| -> Vec<String> {
        value.as_object().map_or(Vec::new(), |object| object.keys().cloned().collect())
    };
    assert_eq!(keys(&json), ["fits", "rows"]);
    assert_eq!(keys(&json["rows"][0]), ["how", "metric", "role", "size", "unit", "value"]);
    for key in [
        "role",
        "metric",
        "slope",
        "intercept",
        "worst_residual",
        "largest_measured",
        "at_size",
        "budget",
        "fits",
    ] {
        assert!(json["fits"][0].get(key).is_some(), "{key}");
    }
    assert_eq!(json["fits"][0]["fits"], false);
    let text = table::table(&report);
    // 5 bytes for each of 5,854 against 3,000: 9.756..., never 9.75.
    assert!(text.contains("does not fit, 9.76 times") && text.contains("seed 3"), "{text}");
}

proptest! {
    #[test]
    fn points_on_a_line_give_its_slope_and_intercept(
        slope in 0.01f64..1e4, intercept in 0.0f64..1e4, first in 1u64..1_000, step in 2u64..6,
    ) {
        let points: Vec<(u64, f64)> =
            (0..6).map(|at| first * step.pow(at)).map(|size| (size, slope * size as f64 + intercept)).collect();
        prop_assume!(points[5].0 >= points[0].0 * 30);
        let fit = only(&points);
        prop_assert!((fit.slope - slope).abs() <= 1e-6 * slope, "{} for {slope}", fit.slope);
        prop_assert!((fit.intercept - intercept).abs() <= 1e-6 * (intercept + slope * first as f64), "{} for {intercept}", fit.intercept);
        prop_assert!(fit.worst_residual < 1e-6 && fit.fit == Verdict::Good && fit.shape == Shape::Line);
    }

    /// Constant up to a size, then at least a hundred times as much at the next size: no line fits all points.
    #[test]
    fn a_broken_line_is_called_bad(low in 1.0f64..100.0, times in 100f64..1e4, broken in 2usize..4) {
        let sizes = [30, 100, 300, 1_000, 3_000];
        let points: Vec<(u64, f64)> = sizes
            .iter()
            .enumerate()
            .map(|(at, size)| (*size, if at < broken { low } else { low * times }))
            .collect();
        let fit = only(&points);
        prop_assert!(fit.fit == Verdict::Bad && fit.line_residual > MAX_GOOD_RESIDUAL, "{fit:?}");
        prop_assert!(fit.worst_residual <= fit.line_residual);
    }

    #[test]
    fn a_factor_is_never_rounded_down(value in 1e-6f64..1e12, budget in 1e-3f64..1e9) {
        let rounded = factor(value, budget);
        prop_assert!(rounded >= value / budget && rounded <= value / budget + 0.0201 + 1e-9 * value / budget);
        prop_assert!(value <= budget || rounded > 1.0);
    }

    #[test]
    fn a_factor_just_over_the_budget_stays_over(budget in 1e-3f64..1e9) {
        prop_assert!(factor(budget * (1.0 + 1e-12), budget) > 1.0);
    }

    /// A measurement above the shape at the largest size raises the value at the target size.
    #[test]
    fn the_value_at_the_target_size_is_never_below_the_measured_one(
        values in proptest::collection::vec(0.1f64..1e6, 4..6),
    ) {
        let sizes = [30u64, 100, 300, 1_000, 3_000];
        let points: Vec<(u64, f64)> = sizes.into_iter().zip(values).collect();
        let fit = only(&points);
        prop_assert!(fit.at_size >= points[points.len() - 1].1);
        prop_assert!(fit.fits == Some(fit.at_size <= 3_000.0));
    }
}
