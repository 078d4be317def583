//! Lease expiry by the clocks of the holder and of the leader.
//!
//! A holder sends a renewal at `sent_at` by its own clock; the leader receives it at `received_at` by its own, which is no earlier in real
//! time. With `m = clock_drift_margin(lease)`:
//!
//! - the holder may act while `now < sent_at + lease - m`, by its clock ([`holder_lease_end`]);
//! - the leader may grant the lease to another holder once `now > received_at + lease`, by its clock ([`has_expired_at_leader`]).
//!
//! While the leader's clock runs faster than the holder's by no more than one part in `D` = [`CLOCK_DRIFT_DIVISOR`], the leader's clock
//! advances by at most `(lease - m) * (1 + 1/D)` until the holder stops. Since times are whole numbers, the holder stops first if
//!
//! ```text
//! (lease - m) * (D + 1) <= (lease + 1) * D
//! ```
//!
//! which holds for each lease of at least one unit. Fencing tokens protect against clocks that drift further apart.

use cypresscleat_primitives::Time;

/// Two clocks drift apart by at most one part in this number.
pub const CLOCK_DRIFT_DIVISOR: Time = 40;

/// How much earlier than the leader a holder considers its lease expired.
pub fn clock_drift_margin(lease: Time) -> Time {
    (lease / CLOCK_DRIFT_DIVISOR).max(1)
}

/// First time, by the holder's clock, at which the holder may no longer act under a renewal that it sent at `sent_at`.
pub fn holder_lease_end(sent_at: Time, lease: Time) -> Time {
    sent_at + lease - clock_drift_margin(lease)
}

/// Whether the lease of a holder whose last renewal arrived at `received_at` has expired, by the leader's clock.
pub fn has_expired_at_leader(now: Time, received_at: Time, lease: Time) -> bool {
    now - received_at > lease
}
