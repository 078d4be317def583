//! The traffic of one simulated instance does not grow with the number of instances. Messages and bytes are counted; no check depends on
//! time.

use cypresscleat_experiments::scale::hollow::rig::{Limits, Program};
use cypresscleat_experiments::scale::hollow::{keeper, tier};
use cypresscleat_experiments::scale::row::{Measurement, MeasurementKind};
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

const SIZES: [u64; 3] = [5, 10, 20];
const REST: Duration = Duration::from_millis(1_500);
/// Renewals, and reports, of one instance in a second, by the lease time and the grant interval.
const RENEWALS: f64 = 2.0;
/// Tolerance for the edges of the measured span, and for numbers in a message that grow by a byte. The largest size is four times the
/// smallest: an item or a message for each other instance would exceed this tolerance by far.
const TOLERANCE: f64 = 1.35;
/// Instances on a busy machine retry, which adds messages in some runs; growth with the members appears in all runs.
const MAX_ATTEMPTS: usize = 3;

/// The server program in the folder of this test's profile; built if only this crate was built.
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

fn value(rows: &[Measurement], role: &str, size: u64, metric: &str) -> f64 {
    let found = rows.iter().find(|row| row.role == role && row.size == size && row.metric == metric);
    found.unwrap_or_else(|| panic!("no {metric:?} of {role} at {size} in {rows:#?}")).value
}

/// Measures all sizes in parallel.
fn at_all_sizes(
    measure: impl Fn(&Program, u64, &mut Vec<Measurement>) -> Result<(), String> + Sync,
) -> Vec<Measurement> {
    let (program, measure) = (program(), &measure);
    std::thread::scope(|scope| {
        let run = |size: u64| {
            let program = &program;
            scope.spawn(move || {
                let mut rows = Vec::new();
                measure(program, size, &mut rows).expect("figures");
                rows
            })
        };
        let all: Vec<_> = SIZES.map(run).into_iter().collect();
        all.into_iter().flat_map(|one| one.join().expect("its rows")).collect()
    })
}

/// Measures until the check passes, at most `MAX_ATTEMPTS` times; the last failure panics.
fn check_with_retries(
    measure: impl Fn() -> Vec<Measurement>,
    check: impl Fn(&[Measurement]) -> Result<(), String>,
) {
    for left in (0..MAX_ATTEMPTS).rev() {
        match check(&measure()) {
            Ok(()) => return,
            Err(what) if left == 0 => panic!("{what}"),
            Err(what) => println!("measured again: {what}"),
        }
    }
}

/// Checks that neither the message size nor the message rate of one instance grows with the number of instances.
fn check_constant(
    rows: &[Measurement],
    role: &str,
    (messages, bytes): (&str, &str),
    each: bool,
) -> Result<(), String> {
    let size_of = |size| value(rows, role, size, bytes) / value(rows, role, size, messages);
    let (least, sizes) = (size_of(SIZES[0]), SIZES.map(size_of));
    if !least.is_finite() || sizes.iter().any(|one| *one > least * TOLERANCE) {
        return Err(format!("bytes a message, {bytes}: {sizes:?} at {SIZES:?}"));
    }
    let rates = SIZES.map(|size| value(rows, role, size, messages) / if each { 1.0 } else { size as f64 });
    match rates.iter().all(|one| *one > 0.0 && *one <= RENEWALS * TOLERANCE) {
        true => Ok(()),
        false => Err(format!("{messages}, of one: {rates:?} at {SIZES:?}")),
    }
}

#[test]
fn the_traffic_of_a_member_does_not_grow_with_the_members() {
    let measure = || {
        at_all_sizes(|program, size, rows| {
            keeper::members(program, size, REST, rows, &mut |_| {})?;
            keeper::owners(program, size, REST, rows, &mut |_| {})
        })
    };
    check_with_retries(measure, |rows| {
        for (of, by) in [("rollout", "members"), ("owners", "sessions")] {
            for way in ["out", "in"] {
                let metric = |what: &str| format!("{of} at rest {what} {way} by {by}");
                let (messages, bytes) = (metric("messages"), metric("payload bytes"));
                check_constant(rows, "app-server", (&messages, &bytes), true)?;
            }
        }
        for change in ["change of 0.1 KiB", "change of 16 KiB"] {
            // The document once, and few short messages a second for the time that the change took.
            let text = if change.ends_with("16 KiB") { 16_384.0 } else { 0.0 };
            for size in SIZES {
                let own =
                    |what: &str| value(rows, "app-server", size, &format!("{change}: {what} by members"));
                assert_eq!(own("not in force in 20 s"), 0.0, "{change} at {size}");
                let messages = own("messages out and in, renewals among them");
                let bytes = own("payload bytes out and in, renewals among them");
                if messages > 60.0 || bytes > text + 100.0 * messages {
                    return Err(format!("{change} at {size}: {messages} messages, {bytes} bytes a member"));
                }
            }
        }
        assert!(rows.iter().all(|row| row.how == MeasurementKind::Hollow && row.value.is_finite()));
        Ok(())
    });
}

#[test]
fn the_reports_of_a_forwarder_do_not_grow_with_the_forwarders() {
    let measure =
        || at_all_sizes(|program, size, rows| tier::plans(program, (size, 100), REST, rows, &mut |_| {}));
    check_with_retries(measure, |rows| {
        for way in ["in", "out"] {
            let metric = |what: &str| format!("reports and grants: {what} {way} by forwarders, 100 workers");
            let (messages, bytes) = (metric("messages"), metric("payload bytes"));
            check_constant(rows, "planner", (&messages, &bytes), false)?;
        }
        Ok(())
    });
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
fn a_missing_program_is_reported() {
    // The program is not in this test's folder but one folder up.
    let found = Program::find();
    if std::env::var_os("CYPRESSCLEAT_SERVER").is_none() {
        assert!(found.expect_err("none").contains("CYPRESSCLEAT_SERVER"));
    }
}
