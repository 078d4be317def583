//! What a worker that is warming up reserves for each forwarder that asks. The worker alone knows its budget, and hears of all
//! senders: so it divides the budget, and no sender counts the others. A reservation is of whole concurrency slots, holds for
//! [`RESERVATION_DURATION`], and is charged in full, with what its sender has in flight already, until it ends or its sender asks
//! again. While a sender waits for the answer it uses no earlier reservation.
//!
//! # The bound
//!
//! A sender holds a reservation until `RESERVATION_DURATION` after it *asked*, the worker charges it until `RESERVATION_DURATION`
//! after it *answered*, which is later. So while clocks run equally fast, and the budget does not fall, what all senders have in
//! flight is never more than the budget, however many they are, and however they are cut off from each other: none of them needs
//! to know of another.

use crate::{NodeId, Time, SECOND};
use std::collections::BTreeMap;

/// How long a reservation holds: two of the sender's messages may be lost.
pub const RESERVATION_DURATION: Time = SECOND * 3 / 2;
/// Senders that may hold a reservation; a further sender gets none.
pub const MAX_SENDERS: usize = 1024;
/// No budget counts for more concurrency slots than this.
const MAX_BUDGET: f64 = 1e6;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Reservation {
    /// Concurrency slots charged against the budget.
    charged: u32,
    ends_at: Time,
    /// The sender's share of the budget that was not reserved, as slots are whole; its next reservation counts it.
    credit: f64,
}

/// A worker's side.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStart {
    reservations: BTreeMap<NodeId, Reservation>,
}

impl SlowStart {
    /// Reserves concurrency slots for `sender`, which has `in_flight` attempts here already, and returns how many it may use.
    /// `budget` is what all senders together may have; `expected_senders` are expected, and more may come.
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

    /// Concurrency slots that are charged now.
    pub fn charged_slots(&self, now: Time) -> u64 {
        let valid = self.reservations.values().filter(|reservation| reservation.ends_at > now);
        valid.map(|reservation| u64::from(reservation.charged)).sum()
    }
}

/// A sender's side, for one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedCapacity {
    slots: u32,
    ends_at: Time,
}

impl ReservedCapacity {
    /// The sender asks the worker anew: no earlier reservation holds.
    pub fn invalidate(&mut self) {
        self.slots = 0;
    }

    /// Takes the worker's answer to what the sender asked at `asked_at`.
    pub fn accept(&mut self, asked_at: Time, slots: u32) {
        (self.slots, self.ends_at) = (slots, asked_at + RESERVATION_DURATION);
    }

    /// Concurrency slots that are reserved now.
    pub fn slots(&self, now: Time) -> u32 {
        if now < self.ends_at {
            self.slots
        } else {
            0
        }
    }
}
