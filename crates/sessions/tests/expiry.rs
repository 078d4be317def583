//! A holder stops before the leader grants its lease to another holder.

use cypresscleat_primitives::Time;
use cypresscleat_sessions::expiry::{
    clock_drift_margin, has_expired_at_leader, holder_lease_end, CLOCK_DRIFT_DIVISOR as D,
};

fn leases() -> impl Iterator<Item = Time> {
    (1..20_000).chain((20_000..36_000_000).step_by(9_973))
}

/// The inequality in the documentation of `expiry`.
fn is_safe(lease: Time, margin: Time) -> bool {
    (lease - margin) * (D + 1) <= (lease + 1) * D
}

#[test]
fn a_holder_stops_before_the_leader_expires_its_lease_at_the_greatest_drift() {
    for lease in leases() {
        assert!(is_safe(lease, clock_drift_margin(lease)), "lease {lease}");
    }
}

#[test]
fn without_the_margin_a_holder_stops_too_late() {
    for lease in leases().filter(|lease| *lease > D) {
        assert!(!is_safe(lease, 0), "lease {lease}");
    }
}

/// Both ends as the code computes them, with clocks that show `sent_at` and `received_at` at the same moment.
#[test]
fn a_lease_has_not_expired_at_a_fast_leader_when_its_holder_stops() {
    let (sent_at, received_at) = (5_000, -70_000);
    for lease in leases() {
        let held_for = holder_lease_end(sent_at, lease) - sent_at;
        let at_leader = received_at + held_for + held_for / D;
        assert!(!has_expired_at_leader(at_leader, received_at, lease), "lease {lease}");
    }
}

#[test]
fn a_lease_expires_at_the_leader_right_after_its_length() {
    assert!(!has_expired_at_leader(120, 100, 20));
    assert!(has_expired_at_leader(121, 100, 20));
}
