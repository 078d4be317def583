//! Settings and fixed bounds of membership.

use crate::{Time, MS, SECOND};

/// Settings of membership, the same for all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Protocol period: one member is pinged in each.
    pub probe_period: Time,
    /// Members that are asked to ping one that did not answer.
    pub indirect_probes: usize,
    /// A suspicion lasts so many periods for each doubling of the members.
    pub suspicion_factor: f64,
    /// So many of all, by chance, ping a suspect themselves once they hear of the suspicion: it can answer each of them, and its
    /// refutation then spreads from several places at once.
    pub suspicion_verifiers: f64,
    /// An update is sent so many times for each doubling of the members.
    pub dissemination_factor: f64,
    /// Dead members are remembered this long, so that late updates do not bring them back.
    pub dead_retention: Time,
    /// Members that are known at the most.
    pub max_members: usize,
    /// Whether hashes are compared before a whole member list is asked for.
    pub compare_hashes: bool,
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        MembershipConfig {
            probe_period: SECOND / 4,
            indirect_probes: 3,
            suspicion_factor: 1.1,
            suspicion_verifiers: 10.0,
            dissemination_factor: 3.0,
            dead_retention: 60 * SECOND,
            max_members: 20_000,
            compare_hashes: true,
        }
    }
}

/// Every so many periods the member list is synchronized with a seed or any other member, dead or not: what gossip missed is made
/// up for, and two sides of a partition find each other again.
pub(super) const PERIODS_PER_SYNC: u64 = 10;
/// Of so many synchronizations one asks for the whole list, the others compare hashes.
pub(super) const SYNCS_PER_FULL_LIST: u64 = 12;
/// Suspects that wait to be pinged out of turn.
pub(super) const MAX_SUSPECTS_TO_VERIFY: usize = 16;
/// Pings on behalf of others that wait for an answer.
pub(super) const MAX_RELAYED_PINGS: usize = 64;
/// Longest protocol period, where answers take long.
pub(super) const MAX_PERIOD: Time = SECOND;
/// Bounds of the time that an answer is waited for.
pub(super) const MIN_PROBE_TIMEOUT: Time = 20 * MS;
pub(super) const MAX_PROBE_TIMEOUT: Time = 400 * MS;
