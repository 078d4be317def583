//! The replicated state of the control replicas: who owns which partition, and which policy is active. Two state machines share one
//! log; the first byte of a command tells which of them it is for.

use cypresscleat_consensus::StateMachine;
use cypresscleat_leases::state::LeaseState;
use cypresscleat_rollout::state::{PolicyState, COMMAND_TAG};

/// The leases and the policies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicatedState {
    pub leases: LeaseState,
    pub policies: PolicyState,
}

/// Magic bytes of a snapshot of both state machines. A snapshot without them is of the leases alone, as earlier versions wrote it.
const MAGIC: &[u8; 8] = b"CCLEATA2";

impl StateMachine for ReplicatedState {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        match command.first() {
            Some(&COMMAND_TAG) => self.policies.apply(index, command),
            _ => self.leases.apply(index, command),
        }
    }
    fn snapshot(&self) -> Vec<u8> {
        let leases = self.leases.snapshot();
        let length = (leases.len() as u64).to_le_bytes();
        [&MAGIC[..], &length, &leases, &self.policies.snapshot()].concat()
    }
    fn from_snapshot(bytes: &[u8]) -> Option<ReplicatedState> {
        let Some(rest) = bytes.strip_prefix(MAGIC) else {
            return Some(ReplicatedState {
                leases: LeaseState::from_snapshot(bytes)?,
                policies: PolicyState::default(),
            });
        };
        let (length, rest) = rest.split_at_checked(8)?;
        let length = u64::from_le_bytes(length.try_into().ok()?);
        let (leases, policies) = rest.split_at_checked(usize::try_from(length).ok()?)?;
        Some(ReplicatedState {
            leases: LeaseState::from_snapshot(leases)?,
            policies: PolicyState::from_snapshot(policies)?,
        })
    }
}

impl AsRef<LeaseState> for ReplicatedState {
    fn as_ref(&self) -> &LeaseState {
        &self.leases
    }
}
impl AsMut<LeaseState> for ReplicatedState {
    fn as_mut(&mut self) -> &mut LeaseState {
        &mut self.leases
    }
}
impl AsRef<PolicyState> for ReplicatedState {
    fn as_ref(&self) -> &PolicyState {
        &self.policies
    }
}
impl AsMut<PolicyState> for ReplicatedState {
    fn as_mut(&mut self) -> &mut PolicyState {
        &mut self.policies
    }
}
