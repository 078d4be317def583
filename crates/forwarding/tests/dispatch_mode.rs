//! By grants or alone: a forwarder falls back at once and returns in steps.

use cypresscleat_forwarding::dispatch_mode::{
    DispatchMode, DispatchState, RECOVERY_STEPS, RECOVERY_STEP_DURATION,
};
use cypresscleat_forwarding::grants::{GrantHeader, GrantTable, GRANT_DURATION};
use cypresscleat_forwarding::messages::Grant;
use cypresscleat_forwarding::simulation::member_id;
use cypresscleat_forwarding::{node_id, Time, MS, SECOND};

/// Header of grants of an epoch and number, which hold so long.
fn header(epoch: u64, number: u64, duration: Time) -> GrantHeader {
    GrantHeader { epoch, number, duration }
}

#[test]
fn a_forwarder_falls_back_at_once_and_returns_in_steps() {
    let (mut mode, mut held) = (DispatchMode::new(0), GrantTable::default());
    let alone = DispatchMode::local_share(12.0, 3);
    assert_eq!(mode.slots(0, &held, 9, alone), 4.0);
    let grant = [Grant { worker: 9, slots: 8 }];
    let mut seen = Vec::new();
    let mut now = 0;
    let mut lines = Vec::new();
    for step in 0..24 {
        now = step * RECOVERY_STEP_DURATION / 2;
        if step < 16 {
            let report = held.start_report(now);
            held.accept(now, header(1, step as u64 + 1, GRANT_DURATION), report, &grant).expect("taken");
        }
        lines.extend(mode.tick(now, &held));
        seen.push(mode.slots(now, &held, 9, alone));
    }
    assert!(
        seen.windows(2).all(|two| two[1] - two[0] <= 4.0 / f64::from(RECOVERY_STEPS) + 1e-9),
        "no jump up: {seen:?}"
    );
    assert_eq!(seen[12], 8.0);
    assert_eq!(mode.state(), DispatchState::Local);
    assert_eq!(mode.slots(now, &held, 9, alone), 4.0);
    assert_eq!(lines.len(), 3, "one line for each change: {lines:?}");
    assert!(lines[0].contains("planners are back: epoch 1, 8 places") && lines[2].starts_with("by itself"));
    // Between two looks too: what has ended is not used.
    let mut held = GrantTable::default();
    let report = held.start_report(0);
    held.accept(0, header(1, 1, GRANT_DURATION), report, &grant).expect("taken");
    let mut mode = DispatchMode::new(0);
    (0..6).for_each(|step| drop(mode.tick(step * RECOVERY_STEP_DURATION, &held)));
    assert_eq!(mode.slots(GRANT_DURATION, &held, 9, alone), 4.0);
    assert_eq!(member_id(1), node_id("member-1"));
    assert_eq!(MS * 1000, SECOND);
}
