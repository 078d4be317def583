//! The net between two planners is cut, each has a forwarder that sees only it. Without keepers both lead, and each worker's places
//! go out twice; with keepers only the one that a majority hears gives out. No caller loses its answer either way.

use cypresscleat_demo::split::{places, Split, PLACES};
use cypresscleat_demo::tier::{served_value, trickle};
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

const CONFIG: &str = include_str!("../../demo/config.json");

fn split(kept: bool) -> Split {
    Split::start(Path::new(env!("CARGO_BIN_EXE_cypresscleat-server")), CONFIG, kept)
}

fn all_answered(split: &Split, name: &str) -> f64 {
    let all = trickle(&split.addresses(), name, 120, Duration::from_millis(20));
    let bad: Vec<_> = all.iter().filter(|got| got.how != "succeeded").collect();
    assert!(bad.is_empty(), "{bad:?}");
    served_value(&all)
}

#[test]
fn without_keepers_the_places_go_out_twice() {
    let split = split(false);
    let granted: u32 =
        split.forwarders.iter().map(|place| places(&place.logged("by its grants: epoch"))).sum();
    assert_eq!(granted, 2 * PLACES, "what the keepers are for: each side gives out all of it");
    all_answered(&split, "twice");
}

#[test]
fn with_keepers_they_go_out_once_and_the_next_planner_gives_out_at_once() {
    let mut split = split(true);
    split.planners[0].logged("leads the planners under token");
    let line = split.forwarders[0].logged("by its grants: epoch");
    assert_eq!(places(&line), PLACES);
    all_answered(&split, "once");
    // The other side has no quorum: it goes by itself, as ever, and is given nothing.
    sleep(Duration::from_secs(2));
    assert!(!split.forwarders[1].has_logged("planners are back"));
    // Told to leave, it waits for its grants to end and gives the lead back.
    split.planners[0].signal("TERM");
    assert!(split.planners[0].exit().success());
    split.forwarders[0].logged("by itself: grants of epoch");
    all_answered(&split, "alone");
}
