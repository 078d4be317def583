//! All that the keepers agree on: who owns which duty, and which policy is in force. Two machines on one log; a command's first byte
//! says whose it is.

use cypresscleat_consensus::StateMachine;
use cypresscleat_leases::duties::Duties;
use cypresscleat_rollout::policies::{Policies, TAG};

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Agreed {
    pub duties: Duties,
    pub policies: Policies,
}

/// In front of an image of both; one without it is of duties alone, as earlier versions of this program wrote it.
const BOTH: &[u8; 8] = b"CCLEATA2";

impl StateMachine for Agreed {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        match command.first() {
            Some(&TAG) => self.policies.apply(index, command),
            _ => self.duties.apply(index, command),
        }
    }
    fn snapshot(&self) -> Vec<u8> {
        let duties = self.duties.snapshot();
        let length = (duties.len() as u64).to_le_bytes();
        [&BOTH[..], &length, &duties, &self.policies.snapshot()].concat()
    }
    fn from_snapshot(bytes: &[u8]) -> Option<Agreed> {
        let Some(rest) = bytes.strip_prefix(BOTH) else {
            return Some(Agreed { duties: Duties::from_snapshot(bytes)?, policies: Policies::default() });
        };
        let (length, rest) = rest.split_at_checked(8)?;
        let length = u64::from_le_bytes(length.try_into().ok()?);
        let (duties, policies) = rest.split_at_checked(usize::try_from(length).ok()?)?;
        Some(Agreed { duties: Duties::from_snapshot(duties)?, policies: Policies::from_snapshot(policies)? })
    }
}

impl AsRef<Duties> for Agreed {
    fn as_ref(&self) -> &Duties {
        &self.duties
    }
}
impl AsMut<Duties> for Agreed {
    fn as_mut(&mut self) -> &mut Duties {
        &mut self.duties
    }
}
impl AsRef<Policies> for Agreed {
    fn as_ref(&self) -> &Policies {
        &self.policies
    }
}
impl AsMut<Policies> for Agreed {
    fn as_mut(&mut self) -> &mut Policies {
        &mut self.policies
    }
}
