//! The last renewals that were sent, answered or not.

use cypresscleat_primitives::Time;
use std::collections::VecDeque;

/// Renewals that are remembered; a response to an older one is ignored.
const MAX_PENDING_RENEWALS: usize = 8;

/// When each pending renewal was sent, by its request number. A lease counts from then, not from the response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PendingRenewals {
    sent: VecDeque<(u32, Time)>,
}

impl PendingRenewals {
    /// Records that the renewal `number` is sent now.
    pub fn record(&mut self, number: u32, now: Time) {
        self.sent.push_back((number, now));
        if self.sent.len() > MAX_PENDING_RENEWALS {
            self.sent.pop_front();
        }
    }

    /// When the renewal `number` was sent; `None` where it is not remembered.
    pub fn sent_at(&self, number: u32) -> Option<Time> {
        self.sent.iter().find(|(pending, _)| *pending == number).map(|(_, at)| *at)
    }

    /// Forgets all: responses to earlier renewals no longer count.
    pub fn clear(&mut self) {
        self.sent.clear();
    }
}
