//! Settings and fixed bounds of membership.

use crate::{Time, MS, SECOND};

/// Settings of membership, the same for all members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipConfig {
    /// Protocol period: one member is pinged in each.
    pub probe_period: Time,
    /// Number of members that are requested to ping a member that did not answer.
    pub indirect_probes: usize,
    /// Periods that a suspicion lasts, for each doubling of the member count.
    pub suspicion_factor: f64,
    /// Expected number of members that ping a suspect themselves when they receive the suspicion. The suspect can answer each of
    /// them, so that its refutation spreads from several members at once.
    pub suspicion_verifiers: f64,
    /// Number of times that an update is sent, for each doubling of the member count.
    pub dissemination_factor: f64,
    /// Time for which dead members are remembered, so that late updates do not revive them.
    pub dead_retention: Time,
    /// Maximum number of known members.
    pub max_members: usize,
    /// Whether hashes are compared before a whole member list is requested.
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

/// Number of periods between synchronizations of the member list with a seed or any other member, dead or not. Synchronization
/// repairs what gossip missed, and reconnects the two sides of a partition.
pub(super) const PERIODS_PER_SYNC: u64 = 10;
/// One in this number of synchronizations requests the whole list, the others compare hashes.
pub(super) const SYNCS_PER_FULL_LIST: u64 = 12;
/// Maximum number of suspects that wait to be pinged out of turn.
pub(super) const MAX_SUSPECTS_TO_VERIFY: usize = 16;
/// Maximum number of pings on behalf of others that wait for an answer.
pub(super) const MAX_RELAYED_PINGS: usize = 64;
/// Longest protocol period on a slow network.
pub(super) const MAX_PERIOD: Time = SECOND;
/// Bounds of the time to wait for an answer to a ping.
pub(super) const MIN_PROBE_TIMEOUT: Time = 20 * MS;
pub(super) const MAX_PROBE_TIMEOUT: Time = 400 * MS;
