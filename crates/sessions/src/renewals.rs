//! The latest renewals that were sent, whether a response arrived or not.

use cypresscleat_primitives::Time;
use std::collections::VecDeque;

/// Maximum number of renewals that are recorded. A response to an older renewal is ignored.
const MAX_PENDING_RENEWALS: usize = 8;

/// Send time of each pending renewal, by request number. A lease counts from the send time, not from the response.
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

    /// Returns when the renewal `number` was sent; `None` if the renewal is not recorded.
    pub fn sent_at(&self, number: u32) -> Option<Time> {
        self.sent.iter().find(|(pending, _)| *pending == number).map(|(_, at)| *at)
    }

    /// Discards all records: responses to earlier renewals no longer count.
    pub fn clear(&mut self) {
        self.sent.clear();
    }
}
