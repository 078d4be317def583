//! A network partition separates two planners, each with a forwarder that reaches only that planner. Without control replicas both lead,
//! and each worker's slots are granted twice. With control replicas only the planner that reaches a quorum grants slots. No client loses
//! its response in either case.

use cypresscleat_demo::split::{places, Split, PLACES};
use cypresscleat_demo::tier::{send_steadily, served_value};
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

const CONFIG: &str = include_str!("../../demo/config.json");

fn start_split(has_control_replicas: bool) -> Split {
    Split::start(Path::new(env!("CARGO_BIN_EXE_cypresscleat-server")), CONFIG, has_control_replicas)
}

fn verify_all_succeed(split: &Split, name: &str) -> f64 {
    let all = send_steadily(&split.addresses(), name, 120, Duration::from_millis(20));
    let failed: Vec<_> = all.iter().filter(|got| got.how != "succeeded").collect();
    assert!(failed.is_empty(), "{failed:?}");
    served_value(&all)
}

#[test]
fn without_control_replicas_slots_are_granted_twice() {
    let split = start_split(false);
    let granted: u32 =
        split.forwarders.iter().map(|forwarder| places(&forwarder.logged("by its grants: epoch"))).sum();
    assert_eq!(granted, 2 * PLACES, "without control replicas each side grants all slots");
    verify_all_succeed(&split, "twice");
}

#[test]
fn with_control_replicas_slots_are_granted_once_and_a_handover_loses_no_response() {
    let mut split = start_split(true);
    split.planners[0].logged("leads the planners under token");
    let line = split.forwarders[0].logged("by its grants: epoch");
    assert_eq!(places(&line), PLACES);
    verify_all_succeed(&split, "once");
    // The other side has no quorum: its forwarder dispatches by itself and gets no grants.
    sleep(Duration::from_secs(2));
    assert!(!split.forwarders[1].has_logged("planners are back"));
    // On its termination notice the planner waits for its grants to end and releases the leadership.
    split.planners[0].signal("TERM");
    assert!(split.planners[0].exit().success());
    split.forwarders[0].logged("by itself: grants of epoch");
    verify_all_succeed(&split, "alone");
}
