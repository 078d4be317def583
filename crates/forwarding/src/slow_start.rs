//! What a cold worker reservations to each that asks. The worker alone knows its budget, and hears of all who send to it: so it divides
//! the budget, and no sender counts the others. A reservation is of whole places, holds for [`RESERVATION_DURATION`], and is charged in full, with what
//! its sender has out already, until it ends or its sender asks again. While a sender asks it uses no earlier reservation.
//!
//! # The bound
//!
//! A sender holds a reservation until `RESERVATION_DURATION` after it *asked*, the worker charges it until `RESERVATION_DURATION` after it *answered*, which is later.
//! So while clocks run equally fast, and the budget does not fall, what all senders have out is never more than the budget, however
//! many they are, and however they are cut off from each other: none of them needs to know of another.

use crate::{NodeId, Time, SECOND};
use std::collections::BTreeMap;

/// How long a reservation holds: two questions may be lost.
pub const RESERVATION_DURATION: Time = SECOND * 3 / 2;
/// Senders that may hold a reservation; one more is promised nothing.
pub const MAX_SENDERS: usize = 1024;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Reservation {
    charged: u32,
    until: Time,
    /// Its part of the budget that was not given out, as places are whole.
    owed: f64,
}

/// A worker's side.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SlowStart {
    reservations: BTreeMap<NodeId, Reservation>,
}

impl SlowStart {
    /// The places that `who` may use, which has `out` here already. `budget` is what all together may have; `senders` are expected, and
    /// more may come.
    pub fn reserve(&mut self, now: Time, who: NodeId, out: u32, budget: f64, senders: usize) -> u32 {
        self.reservations.retain(|id, reservation| *id == who || reservation.until > now);
        if self.reservations.len() >= MAX_SENDERS && !self.reservations.contains_key(&who) {
            return 0;
        }
        let before = self.reservations.get(&who).copied().unwrap_or_default();
        let others: u64 = self
            .reservations
            .iter()
            .filter(|(id, _)| **id != who)
            .map(|(_, one)| u64::from(one.charged))
            .sum();
        let many = self.reservations.len() + usize::from(!self.reservations.contains_key(&who));
        let part = budget.max(0.0) / many.max(senders).max(1) as f64;
        let owed = (before.owed + part).min(part + 1.0);
        let room = (budget.clamp(0.0, 1e6) as u64).saturating_sub(others);
        let places = (owed as u64).min(room) as u32;
        let charged = places.max(out);
        self.reservations.insert(
            who,
            Reservation { charged, until: now + RESERVATION_DURATION, owed: owed - f64::from(places) },
        );
        places
    }

    /// Places that are charged now.
    pub fn charged_places(&self, now: Time) -> u64 {
        self.reservations.values().filter(|one| one.until > now).map(|one| u64::from(one.charged)).sum()
    }
}

/// A sender's side, for one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReservedCapacity {
    places: u32,
    until: Time,
}

impl ReservedCapacity {
    /// A question goes out: nothing of before holds.
    pub fn invalidate(&mut self) {
        self.places = 0;
    }

    /// The answer to what was asked at `asked`.
    pub fn accept(&mut self, asked: Time, places: u32) {
        (self.places, self.until) = (places, asked + RESERVATION_DURATION);
    }

    pub fn places(&self, now: Time) -> u32 {
        if now < self.until {
            self.places
        } else {
            0
        }
    }
}
