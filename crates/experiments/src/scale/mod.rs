//! The cost of each role by size, and whether the cost at the target size is within the budgets. Each part simulates or times the
//! real decision code and returns measurements; fitted lines extrapolate the cost to the target size.

pub mod events;
pub mod fits;
pub mod gossip;
pub mod heap;
pub mod hollow;
pub mod keepers;
pub mod limits;
pub mod row;
pub mod table;
pub mod targets;
pub mod tenants;
pub mod tier;

use fits::{Fit, Unfitted};
use limits::Limits;
use row::{Measurement, MeasurementKind};
use serde::Serialize;
use std::time::{Duration, Instant};
use targets::TARGETS;

/// Options of a run: all roles and default sizes unless they are set.
#[derive(Clone, Debug, Default)]
pub struct ScaleOptions {
    pub role: Option<String>,
    pub sizes: Option<Vec<u64>>,
    pub seed: u64,
}

pub const ROLES: [&str; 5] = ["app-server", "forwarder", "keeper", "planner", "relay"];

/// The measurements and fits of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub rows: Vec<Measurement>,
    pub fits: Vec<Fit>,
    #[serde(skip)]
    pub seed: u64,
    #[serde(skip)]
    pub unfitted: Vec<Unfitted>,
}

/// A part of the run: its roles, its default sizes, its maximum size, and the estimate of its memory: bytes for each unit of the size
/// squared, and bytes for each unit of the size.
struct Part {
    name: &'static str,
    roles: &'static [&'static str],
    sizes: &'static [u64],
    max_size: u64,
    bytes_per_size_squared: u64,
    bytes_per_size: u64,
}

const PARTS: [Part; 8] = [
    Part {
        name: "gossip",
        roles: &["app-server"],
        sizes: &[30, 100, 300, 1_000],
        max_size: 4_000,
        bytes_per_size_squared: 250,
        bytes_per_size: 10_000,
    },
    Part {
        name: "events",
        roles: &["app-server"],
        sizes: &[30, 100, 300, 1_000],
        max_size: 2_000,
        bytes_per_size_squared: 250,
        bytes_per_size: 10_000,
    },
    Part {
        name: "rollout",
        roles: &["app-server", "keeper"],
        sizes: &[30, 100, 300, 1_000, 3_000],
        max_size: 10_000,
        bytes_per_size_squared: 0,
        bytes_per_size: 100_000,
    },
    Part {
        name: "owners",
        roles: &["app-server", "keeper"],
        sizes: &[30, 100, 300, 1_000, 3_000],
        max_size: 10_000,
        bytes_per_size_squared: 0,
        bytes_per_size: 20_000,
    },
    Part {
        name: "messages",
        roles: &["forwarder", "planner"],
        sizes: &[30, 100, 300, 1_000, 2_000],
        max_size: 10_000,
        bytes_per_size_squared: 0,
        bytes_per_size: 1_000,
    },
    Part {
        name: "tables",
        roles: &["forwarder", "planner"],
        sizes: &[10, 100, 1_000, 5_800],
        max_size: 10_000,
        bytes_per_size_squared: 0,
        bytes_per_size: 10_000,
    },
    Part {
        name: "routes",
        roles: &["app-server"],
        sizes: &[670, 6_700, 20_000, 67_000],
        max_size: 670_000,
        bytes_per_size_squared: 0,
        bytes_per_size: 1_000,
    },
    Part {
        name: "tenants",
        roles: &["app-server"],
        sizes: &[660, 6_600, 66_000, 660_000],
        max_size: 6_600_000,
        bytes_per_size_squared: 0,
        bytes_per_size: 500,
    },
];

/// Mean wall time of one call in microseconds, over a tenth of a second; other work on the machine counts too.
pub fn timed(mut call: impl FnMut()) -> f64 {
    let (started_at, mut calls, mut batch) = (Instant::now(), 0u64, 1u64);
    while started_at.elapsed() < Duration::from_millis(100) {
        (0..batch).for_each(|_| call());
        calls += batch;
        // Reads the clock rarely where a call is short.
        batch = if started_at.elapsed().as_nanos() as u64 / calls < 10_000 { 100 } else { 1 };
    }
    started_at.elapsed().as_secs_f64() * 1e6 / calls as f64
}

/// The sizes that a part measures. Sizes past its bounds are reported and skipped.
fn sizes(part: &Part, options: &ScaleOptions, limits: &Limits, progress: &mut dyn FnMut(&str)) -> Vec<u64> {
    let wanted = options.sizes.as_deref().unwrap_or(part.sizes);
    let mut out: Vec<u64> = Vec::new();
    for &size in wanted {
        let needs = size
            .saturating_mul(part.bytes_per_size)
            .saturating_add(size.saturating_mul(size).saturating_mul(part.bytes_per_size_squared));
        if size == 0 || size > part.max_size {
            progress(&format!(
                "{}: {size} is skipped, sizes 1 to {} are supported",
                part.name, part.max_size
            ));
        } else if needs > limits.bytes() {
            let (needs, available) = (needs >> 20, limits.bytes() >> 20);
            progress(&format!(
                "{}: {size} is skipped, it may need {needs} MiB of the {available} MiB available",
                part.name
            ));
        } else {
            out.push(size);
        }
    }
    out
}

/// Runs all selected parts. Reports each step to `progress`.
pub fn run(options: &ScaleOptions, progress: &mut dyn FnMut(&str)) -> Result<Report, String> {
    let limits = Limits::read();
    progress(&format!("limits: {}", limits.describe()));
    progress(&format!("seed {}", options.seed));
    let role = options.role.as_deref();
    let mut rows = Vec::new();
    for part in PARTS.iter().filter(|part| role.is_none_or(|role| part.roles.contains(&role))) {
        let sizes = sizes(part, options, &limits, progress);
        let own = match part.name {
            "gossip" => gossip::rows(&sizes, options.seed, progress),
            "events" => events::rows(&sizes, options.seed, progress),
            "rollout" => keepers::rollout(&sizes, options.seed, progress),
            "owners" => keepers::owners(&sizes, options.seed, progress),
            "messages" => tier::messages(&sizes, progress),
            "tables" => tier::tables(&sizes, options.seed, progress),
            "routes" => tenants::routes(&sizes, progress),
            _ => tenants::tenants(&sizes, options.seed, progress),
        };
        rows.extend(own.into_iter().filter(|row| role.is_none_or(|role| row.role == role)));
    }
    // Simulated instances need the server program beside this one; without the program the other parts still give results.
    match hollow::rows(role, options.sizes.as_deref().unwrap_or(&[30, 100, 300, 1_000, 3_000]), progress) {
        Ok(measured) => rows.extend(measured),
        Err(error) => progress(&format!("simulated instances are skipped: {error}")),
    }
    rows.extend(sum_control_traffic(&rows));
    let (fits, unfitted) = fits::fits(&rows, &TARGETS);
    Ok(Report { rows, fits, seed: options.seed, unfitted })
}

/// Total control traffic of an app server for each loss, where gossip and changes were measured at the same size.
fn sum_control_traffic(rows: &[Measurement]) -> Vec<Measurement> {
    let mut out = Vec::new();
    for (_, loss) in gossip::LOSSES {
        let gossips = format!("gossip bytes in and out at rest by members, {loss}");
        let changes = format!("rollout bytes in and out, a change of 1 KiB each 7.2 s by members, {loss}");
        for row in rows.iter().filter(|row| row.metric == gossips) {
            let other = rows.iter().find(|other| other.metric == changes && other.size == row.size);
            if let Some(other) = other {
                let metric = format!("control bytes in and out, gossip and changes by members, {loss}");
                let value = row.value + other.value;
                out.push(Measurement::new(
                    "app-server",
                    row.size,
                    &metric,
                    value,
                    "B/s",
                    MeasurementKind::Simulated,
                ));
            }
        }
    }
    out
}
