//! The replicated log: the last snapshot and the entries after it. Each change appends its disk writes.

use crate::message::{Entry, EntryPayload, LogPosition};
use crate::storage::{self, Snapshot, Write};
use crate::Member;
use std::collections::VecDeque;

/// The last snapshot and the entries after it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RaftLog {
    pub(super) snapshot: Snapshot,
    pub(super) snapshot_bytes: Vec<u8>,
    entries: VecDeque<Entry>,
}

/// The members that the entry sets; `None` where the entry changes no membership.
fn membership_of(entry: &Entry) -> Option<&Vec<Member>> {
    match &entry.payload {
        EntryPayload::Membership(members) => Some(members),
        _ => None,
    }
}

impl RaftLog {
    pub(super) fn new(snapshot: Snapshot, snapshot_bytes: Vec<u8>, entries: Vec<Entry>) -> RaftLog {
        RaftLog { snapshot, snapshot_bytes, entries: entries.into() }
    }

    /// Index of the last entry that the snapshot contains.
    pub(super) fn snapshot_index(&self) -> u64 {
        self.snapshot.position.index
    }

    /// Number of entries after the snapshot.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn last_index(&self) -> u64 {
        self.snapshot_index() + self.entries.len() as u64
    }

    pub(super) fn last_position(&self) -> LogPosition {
        let term = self.entries.back().map_or(self.snapshot.position.term, |entry| entry.term);
        LogPosition { term, index: self.last_index() }
    }

    pub(super) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.snapshot_index() + 1)?;
        self.entries.get(offset as usize)
    }

    /// The position at `index`; `None` where the entry is compacted or beyond the end.
    pub(super) fn position(&self, index: u64) -> Option<LogPosition> {
        if index == self.snapshot_index() {
            return Some(self.snapshot.position);
        }
        self.entry(index).map(|entry| LogPosition { term: entry.term, index })
    }

    /// The latest members in the log, committed or not.
    pub(super) fn members(&self) -> &[Member] {
        self.entries.iter().rev().find_map(membership_of).unwrap_or(&self.snapshot.members)
    }

    /// Whether an entry after `commit_index` changes the members.
    pub(super) fn is_membership_change_pending(&self, commit_index: u64) -> bool {
        let mut uncommitted = commit_index + 1..=self.last_index();
        uncommitted.any(|index| self.entry(index).and_then(membership_of).is_some())
    }

    /// Appends an entry and returns its index.
    pub(super) fn append(&mut self, entry: Entry, writes: &mut Vec<Write>) -> u64 {
        let index = self.last_index() + 1;
        writes.push(storage::write_entry(index, &entry));
        self.entries.push_back(entry);
        index
    }

    /// Removes all entries from `index` on.
    pub(super) fn truncate_from(&mut self, index: u64, writes: &mut Vec<Write>) {
        for removed in (index..=self.last_index()).rev() {
            writes.push(storage::remove_entry(removed));
            self.entries.pop_back();
        }
    }

    /// Replaces the entries up to `position` by a snapshot taken there.
    pub(super) fn compact(&mut self, position: LogPosition, bytes: Vec<u8>, writes: &mut Vec<Write>) {
        let compacted = (position.index - self.snapshot_index()) as usize;
        let newest = self.entries.iter().take(compacted).rev().find_map(membership_of);
        let members = newest.unwrap_or(&self.snapshot.members).clone();
        let snapshot = Snapshot { position, members, total_bytes: bytes.len() as u64 };
        self.replace_snapshot(snapshot, bytes, position.index, writes);
        self.entries.drain(..compacted);
    }

    /// Installs a snapshot of the leader. Entries after it are retained where they are consistent with it.
    pub(super) fn install(&mut self, snapshot: Snapshot, bytes: Vec<u8>, writes: &mut Vec<Write>) {
        let (position, old_index) = (snapshot.position, self.snapshot_index());
        let is_consistent = self.position(position.index) == Some(position);
        if !is_consistent {
            // Entries that conflict with the snapshot were never committed; they are removed before the snapshot is written.
            writes.extend((position.index + 1..=self.last_index()).rev().map(storage::remove_entry));
        }
        let compacted_to = position.index.min(self.last_index());
        self.replace_snapshot(snapshot, bytes, compacted_to, writes);
        match is_consistent {
            true => drop(self.entries.drain(..(position.index - old_index) as usize)),
            false => self.entries.clear(),
        }
    }

    fn replace_snapshot(
        &mut self,
        snapshot: Snapshot,
        bytes: Vec<u8>,
        compacted_to: u64,
        writes: &mut Vec<Write>,
    ) {
        let old = std::mem::replace(&mut self.snapshot, snapshot);
        let compacted = old.position.index + 1..=compacted_to;
        storage::write_snapshot(writes, &self.snapshot, &bytes, &old, compacted);
        self.snapshot_bytes = bytes;
    }
}
