//! Snapshots: taking them, sending them in parts, and installing them.

use super::replication::Acknowledgement;
use super::{Ready, Replica};
use crate::message::{LogPosition, Message, MessageBody, MAX_PAYLOAD_BYTES};
use crate::storage::Snapshot;
use crate::{Member, StateMachine, Time};

/// A partly received snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct IncomingSnapshot {
    position: LogPosition,
    bytes: Vec<u8>,
}

/// A part of a snapshot as it was received.
pub(super) struct SnapshotPart<'a> {
    pub(super) position: LogPosition,
    pub(super) members: &'a [Member],
    pub(super) offset: u64,
    pub(super) total_bytes: u64,
    pub(super) bytes: &'a [u8],
}

impl<M: StateMachine> Replica<M> {
    /// Replaces the applied entries by a snapshot of the state machine.
    pub(super) fn take_snapshot(&mut self, ready: &mut Ready) {
        let Some(position) = self.log.position(self.commit_index) else { return };
        let bytes = self.state_machine.snapshot();
        self.log.compact(position, bytes, &mut ready.writes);
        if let Some(leader_state) = self.leader_state_mut() {
            leader_state.followers.values_mut().for_each(|progress| progress.snapshot_offset = None);
        }
    }

    /// The part of the snapshot from `offset` on.
    pub(super) fn snapshot_part(&self, round: u64, offset: u64) -> MessageBody {
        let all = &self.log.snapshot_bytes;
        let start = (offset as usize).min(all.len());
        let end = (start + MAX_PAYLOAD_BYTES).min(all.len());
        MessageBody::InstallSnapshot {
            round,
            position: self.log.snapshot.position,
            members: self.log.snapshot.members.clone(),
            offset: start as u64,
            total_bytes: all.len() as u64,
            bytes: all[start..end].to_vec(),
        }
    }

    /// Handles a part of the leader's snapshot and responds.
    pub(super) fn handle_snapshot_part(
        &mut self,
        from: Member,
        round: u64,
        part: SnapshotPart,
        ready: &mut Ready,
    ) {
        let index = part.position.index;
        let body = match self.receive_snapshot_part(part, ready) {
            Some(received_bytes) => MessageBody::InstallSnapshotResponse { round, index, received_bytes },
            None => {
                let index = index.min(self.log.last_index());
                MessageBody::AppendEntriesResponse { round, success: true, index }
            }
        };
        self.send(from, body, ready);
    }

    /// Returns the number of received bytes; `None` once the snapshot is installed, or where it is not needed.
    fn receive_snapshot_part(&mut self, part: SnapshotPart, ready: &mut Ready) -> Option<u64> {
        if part.position.index <= self.commit_index {
            return None;
        }
        if self.incoming_snapshot.position != part.position {
            self.incoming_snapshot = IncomingSnapshot { position: part.position, bytes: Vec::new() };
        }
        if part.offset == self.incoming_snapshot.bytes.len() as u64 {
            self.incoming_snapshot.bytes.extend(part.bytes);
        }
        let received_bytes = self.incoming_snapshot.bytes.len() as u64;
        if received_bytes < part.total_bytes {
            return Some(received_bytes);
        }
        let bytes = std::mem::take(&mut self.incoming_snapshot).bytes;
        let restored = M::from_snapshot(&bytes).filter(|_| received_bytes == part.total_bytes);
        let Some(state_machine) = restored else { return Some(0) };
        let (position, members) = (part.position, part.members.to_vec());
        let snapshot = Snapshot { position, members, total_bytes: part.total_bytes };
        self.log.install(snapshot, bytes, &mut ready.writes);
        (self.state_machine, self.commit_index) = (state_machine, position.index);
        None
    }

    /// Handles a follower's response that it has received `received_bytes` of the snapshot at `index`.
    pub(super) fn handle_snapshot_response(
        &mut self,
        now: Time,
        message: &Message,
        (round, index, received_bytes): (u64, u64, u64),
        ready: &mut Ready,
    ) {
        let is_valid = self.handle_acknowledgement(now, message, round, Acknowledgement::SnapshotPart, ready);
        if !is_valid || index != self.log.snapshot_index() {
            return;
        }
        let Some(leader_state) = self.leader_state_mut() else { return };
        let Some(progress) = leader_state.followers.get_mut(&message.from.id) else { return };
        // The next part is sent after new bytes were received, not after a duplicate. Heartbeats resend lost parts.
        if progress.snapshot_offset.is_some_and(|sent| sent < received_bytes) {
            progress.snapshot_offset = Some(received_bytes);
            self.replicate_to(message.from.id, ready);
        }
    }
}
