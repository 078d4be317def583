//! Reservations of concurrency slots at a worker that is warming up. Only the worker knows its budget and all senders, so the worker
//! divides the budget, and no sender needs to count the others. A reservation covers whole slots and is valid for
//! [`RESERVATION_DURATION`]. The worker charges the reservation in full, and at least the sender's attempts in flight, until the
//! reservation ends or the sender requests a new one. A sender that waits for a response uses no earlier reservation.
//!
//! # The bound
//!
//! A sender uses a reservation until `RESERVATION_DURATION` after its *request*; the worker charges the reservation until
//! `RESERVATION_DURATION` after its *response*, which is later. So while clocks run equally fast and the budget does not fall, the
//! attempts of all senders in flight never exceed the budget, for any number of senders and any partition between them.

use crate::{NodeId, Time, SECOND};
use std::collections::BTreeMap;

/// Validity of a reservation: two of the sender's messages may be lost.
pub const RESERVATION_DURATION: Time = SECOND * 3 / 2;
/// Maximum number of senders with a reservation; a further sender gets no slots.
pub const MAX_SENDERS: usize = 1024;
/// Upper bound of the budget, in concurrency slots.
const MAX_BUDGET: f64 = 1e6;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Reservation {
    /// Concurrency slots charged against the budget.
    charged: u32,
    ends_at: Time,
    /// Fraction of the sender's share that was not reserved because slots are whole; it carries over to the next reservation.
    credit: f64,
}

/// The worker's side.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStart {
    reservations: BTreeMap<NodeId, Reservation>,
}

impl SlowStart {
    /// Reserves concurrency slots for `sender`, which has `in_flight` attempts at this worker, and returns their number. `budget` is
    /// the number of slots of all senders together. The budget is divided by at least `expected_senders`; more senders may follow.
    pub fn reserve(
        &mut self,
        now: Time,
        sender: NodeId,
        in_flight: u32,
        budget: f64,
        expected_senders: usize,
    ) -> u32 {
        self.reservations.retain(|id, reservation| *id == sender || reservation.ends_at > now);
        let previous = self.reservations.get(&sender).copied();
        if self.reservations.len() >= MAX_SENDERS && previous.is_none() {
            return 0;
        }
        let senders = self.reservations.len() + usize::from(previous.is_none());
        let share = budget.max(0.0) / senders.max(expected_senders).max(1) as f64;
        let credit = (previous.unwrap_or_default().credit + share).min(share + 1.0);
        let available = (budget.clamp(0.0, MAX_BUDGET) as u64).saturating_sub(self.charged_to_others(sender));
        let slots = (credit as u64).min(available) as u32;
        let reservation = Reservation {
            charged: slots.max(in_flight),
            ends_at: now + RESERVATION_DURATION,
            credit: credit - f64::from(slots),
        };
        self.reservations.insert(sender, reservation);
        slots
    }

    fn charged_to_others(&self, sender: NodeId) -> u64 {
        let others = self.reservations.iter().filter(|(id, _)| **id != sender);
        others.map(|(_, reservation)| u64::from(reservation.charged)).sum()
    }

    /// Concurrency slots that are charged at `now`.
    pub fn charged_slots(&self, now: Time) -> u64 {
        let valid = self.reservations.values().filter(|reservation| reservation.ends_at > now);
        valid.map(|reservation| u64::from(reservation.charged)).sum()
    }
}

/// The sender's side, for one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedCapacity {
    slots: u32,
    ends_at: Time,
}

impl ReservedCapacity {
    /// Drops the reservation when the sender requests a new one.
    pub fn invalidate(&mut self) {
        self.slots = 0;
    }

    /// Stores the worker's response to the request that the sender sent at `requested_at`.
    pub fn accept(&mut self, requested_at: Time, slots: u32) {
        (self.slots, self.ends_at) = (slots, requested_at + RESERVATION_DURATION);
    }

    /// Concurrency slots that are reserved at `now`.
    pub fn slots(&self, now: Time) -> u32 {
        if now < self.ends_at {
            self.slots
        } else {
            0
        }
    }
}
