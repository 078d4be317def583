//! What one hollow instance sends and hears does not grow with the number of those beside it. Messages and bytes are counted; nothing is
//! judged by time.

use cypresscleat_lab::scale::hollow::rig::{Limits, Program};
use cypresscleat_lab::scale::hollow::{keeper, tier};
use cypresscleat_lab::scale::row::{How, Row};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

const SIZES: [u64; 3] = [5, 10, 20];
/// Renewals are some eight in this time; one more or less of them, and what a letter's numbers take, stay within `MORE`.
const REST: Duration = Duration::from_secs(4);
/// From the least size to the largest, four times as many: an item a member in a letter would make far more of it.
const MORE: f64 = 1.35;

/// The program, beside this test; built where only this crate was.
fn program() -> Program {
    let own = std::env::current_exe().expect("a path");
    let folder = own.ancestors().nth(2).expect("the folder of the profile");
    let path: PathBuf = folder.join("cypresscleat-server");
    if !path.is_file() {
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "-p", "cypresscleat-server", "--bin", "cypresscleat-server"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().expect("to build").success());
    }
    Program { path }
}

fn value(rows: &[Row], role: &str, size: u64, metric: &str) -> f64 {
    let found = rows.iter().find(|row| row.role == role && row.size == size && row.metric == metric);
    found.unwrap_or_else(|| panic!("no {metric:?} of {role} at {size} in {rows:#?}")).value
}

/// Fails where the figure of one instance grows with the instances.
fn stays(rows: &[Row], role: &str, metric: &str) {
    let all = SIZES.map(|size| value(rows, role, size, metric));
    assert!(all[0] > 0.0, "{metric}: {all:?}");
    assert!(all.iter().all(|one| *one <= all[0] * MORE), "{metric} grows: {all:?} at {SIZES:?}");
}

#[test]
fn what_a_member_says_and_hears_does_not_grow_with_the_members() {
    let (program, mut rows, mut lines) = (program(), Vec::new(), Vec::new());
    let mut tell = |line: &str| lines.push(line.to_string());
    for size in SIZES {
        keeper::members(&program, size, REST, &mut rows, &mut tell).expect("figures");
        keeper::owners(&program, size, REST, &mut rows, &mut tell).expect("figures");
    }
    for (of, by) in [("rollout", "members"), ("owners", "sessions")] {
        for what in ["messages out", "payload bytes out", "messages in", "payload bytes in"] {
            stays(&rows, "app-server", &format!("{of} at rest {what} by {by}"));
        }
    }
    for change in ["change of 0.1 KiB", "change of 16 KiB"] {
        for size in SIZES {
            let missing = format!("{change}: not in force in 20 s by members");
            assert_eq!(value(&rows, "app-server", size, &missing), 0.0);
        }
        // Renewals of a longer wait are among them: a slow machine has more of them, but not by members.
        let text = if change.ends_with("16 KiB") { 16_384.0 } else { 0.0 };
        let bytes = format!("{change}: payload bytes out and in, renewals among them by members");
        for size in SIZES {
            let own = value(&rows, "app-server", size, &bytes);
            assert!(own <= text + 8_000.0, "{bytes} at {size}: {own}");
        }
    }
    assert!(rows.iter().all(|row| row.how == How::Hollow && row.value.is_finite()));
}

#[test]
fn what_a_forwarder_reports_goes_by_the_workers_and_not_by_the_forwarders() {
    let (program, mut rows) = (program(), Vec::new());
    for size in SIZES {
        tier::plans(&program, (size, 100), REST, &mut rows, &mut |_| {}).expect("figures");
    }
    for what in ["reports: payload bytes out", "grants: payload bytes in"] {
        stays(&rows, "forwarder", &format!("{what} by forwarders, 100 workers"));
    }
}

#[test]
fn sizes_past_the_limits_are_left_out() {
    let limits = Limits { descriptors: 1_000, memory: 1 << 20 };
    assert!(limits.allow(700, 1, 100));
    assert!(!limits.allow(701, 1, 100), "descriptors");
    assert!(!limits.allow(100, 1, 1 << 20), "memory");
    let own = Limits::read().expect("limits");
    assert!(own.descriptors > 0 && own.memory > 1 << 20, "{own}");
}

#[test]
fn a_program_that_is_not_there_is_named() {
    // Beside this test there is none of that name: it stands one folder up.
    let found = Program::find();
    if std::env::var_os("CYPRESSCLEAT_SERVER").is_none() {
        assert!(found.expect_err("none").contains("CYPRESSCLEAT_SERVER"));
    }
}
