//! What each role costs at which size, and whether the size to design for fits its budgets. Each part plays or times the real
//! deciders and gives rows; lines through them say what the size to design for would cost.

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
use row::{How, Row};
use serde::Serialize;
use std::time::{Duration, Instant};
use targets::TARGETS;

/// What is asked for: all roles, default sizes where nothing is said.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    pub role: Option<String>,
    pub sizes: Option<Vec<u64>>,
    pub seed: u64,
}

pub const ROLES: [&str; 5] = ["app-server", "forwarder", "keeper", "planner", "relay"];

#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub rows: Vec<Row>,
    pub fits: Vec<Fit>,
    #[serde(skip)]
    pub seed: u64,
    #[serde(skip)]
    pub unfitted: Vec<Unfitted>,
}

/// A part of the run: whose figures, at which sizes by default, the largest that it plays, bytes for each of the size squared and for
/// each of the size.
struct Part {
    name: &'static str,
    roles: &'static [&'static str],
    sizes: &'static [u64],
    most: u64,
    square: u64,
    each: u64,
}

const PARTS: [Part; 8] = [
    Part {
        name: "gossip",
        roles: &["app-server"],
        sizes: &[30, 100, 300, 1_000],
        most: 4_000,
        square: 250,
        each: 10_000,
    },
    Part {
        name: "events",
        roles: &["app-server"],
        sizes: &[30, 100, 300, 1_000],
        most: 2_000,
        square: 250,
        each: 10_000,
    },
    Part {
        name: "rollout",
        roles: &["app-server", "keeper"],
        sizes: &[30, 100, 300, 1_000, 3_000],
        most: 10_000,
        square: 0,
        each: 100_000,
    },
    Part {
        name: "owners",
        roles: &["app-server", "keeper"],
        sizes: &[30, 100, 300, 1_000, 3_000],
        most: 10_000,
        square: 0,
        each: 20_000,
    },
    Part {
        name: "messages",
        roles: &["forwarder", "planner"],
        sizes: &[30, 100, 300, 1_000, 2_000],
        most: 10_000,
        square: 0,
        each: 1_000,
    },
    Part {
        name: "tables",
        roles: &["forwarder", "planner"],
        sizes: &[10, 100, 1_000, 5_800],
        most: 10_000,
        square: 0,
        each: 10_000,
    },
    Part {
        name: "routes",
        roles: &["app-server"],
        sizes: &[670, 6_700, 20_000, 67_000],
        most: 670_000,
        square: 0,
        each: 1_000,
    },
    Part {
        name: "tenants",
        roles: &["app-server"],
        sizes: &[660, 6_600, 66_000, 660_000],
        most: 6_600_000,
        square: 0,
        each: 500,
    },
];

/// Microseconds of one call, the mean over a tenth of a second: processor time and what the machine's other work takes of it.
pub fn timed(mut call: impl FnMut()) -> f64 {
    let (began, mut calls, mut some) = (Instant::now(), 0u64, 1u64);
    while began.elapsed() < Duration::from_millis(100) {
        (0..some).for_each(|_| call());
        calls += some;
        // Looks at the clock seldom where a call takes little.
        some = if began.elapsed().as_nanos() as u64 / calls < 10_000 { 100 } else { 1 };
    }
    began.elapsed().as_secs_f64() * 1e6 / calls as f64
}

/// The sizes that a part plays; those past its bounds are told and left out.
fn sizes(part: &Part, asked: &Asked, limits: &Limits, tell: &mut dyn FnMut(&str)) -> Vec<u64> {
    let wanted = asked.sizes.as_deref().unwrap_or(part.sizes);
    let mut out: Vec<u64> = Vec::new();
    for &size in wanted {
        let needs = size
            .saturating_mul(part.each)
            .saturating_add(size.saturating_mul(size).saturating_mul(part.square));
        if size == 0 || size > part.most {
            tell(&format!("{}: {size} is left out, 1 to {} are played", part.name, part.most));
        } else if needs > limits.bytes() {
            let (needs, had) = (needs >> 20, limits.bytes() >> 20);
            tell(&format!(
                "{}: {size} is left out, it may take {needs} MiB of the {had} to be used",
                part.name
            ));
        } else {
            out.push(size);
        }
    }
    out
}

/// Everything that was asked for. What goes on is told as it goes.
pub fn run(asked: &Asked, tell: &mut dyn FnMut(&str)) -> Result<Report, String> {
    let limits = Limits::read();
    tell(&format!("limits: {}", limits.told()));
    tell(&format!("seed {}", asked.seed));
    let role = asked.role.as_deref();
    let mut rows = Vec::new();
    for part in PARTS.iter().filter(|part| role.is_none_or(|role| part.roles.contains(&role))) {
        let sizes = sizes(part, asked, &limits, tell);
        let own = match part.name {
            "gossip" => gossip::rows(&sizes, asked.seed, tell),
            "events" => events::rows(&sizes, asked.seed, tell),
            "rollout" => keepers::rollout(&sizes, asked.seed, tell),
            "owners" => keepers::owners(&sizes, asked.seed, tell),
            "messages" => tier::messages(&sizes, tell),
            "tables" => tier::tables(&sizes, asked.seed, tell),
            "routes" => tenants::routes(&sizes, tell),
            _ => tenants::tenants(&sizes, asked.seed, tell),
        };
        rows.extend(own.into_iter().filter(|row| role.is_none_or(|role| row.role == role)));
    }
    // Needs the built program beside this one; without it the other parts stand for themselves.
    match hollow::rows(role, asked.sizes.as_deref().unwrap_or(&[30, 100, 300, 1_000, 3_000]), tell) {
        Ok(hollow) => rows.extend(hollow),
        Err(why) => tell(&format!("hollow instances are left out: {why}")),
    }
    rows.extend(sums(&rows));
    let (fits, unfitted) = fits::fits(&rows, &TARGETS);
    Ok(Report { rows, fits, seed: asked.seed, unfitted })
}

/// All that an app server spends on control with each loss, where its parts were measured at the same size.
fn sums(rows: &[Row]) -> Vec<Row> {
    let mut out = Vec::new();
    for (_, loss) in gossip::LOSSES {
        let gossips = format!("gossip bytes in and out at rest by members, {loss}");
        let changes = format!("rollout bytes in and out, a change of 1 KiB each 7.2 s by members, {loss}");
        for row in rows.iter().filter(|row| row.metric == gossips) {
            let other = rows.iter().find(|other| other.metric == changes && other.size == row.size);
            if let Some(other) = other {
                let metric = format!("control bytes in and out, gossip and changes by members, {loss}");
                let value = row.value + other.value;
                out.push(Row::new("app-server", row.size, &metric, value, "B/s", How::Simulated));
            }
        }
    }
    out
}
