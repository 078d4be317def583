//! From what lies in the folder to what the store knows: which segments count, how far each is valid, what is damage and
//! what only a torn end. Reads, and repairs nothing that could still be wanted.

use crate::disk::Disk;
use crate::format::{self, Hint, RecordKind, SegmentHeader, FRAME_BYTES, HEADER_BYTES, MAX_RECORD_BYTES};
use crate::{Error, Result};

/// One segment as it was found.
#[derive(Clone, Debug)]
pub struct RecoveredSegment {
    pub name: String,
    pub from: u64,
    pub to: u64,
    pub generation: u32,
    /// Valid bytes; what is behind was never acknowledged.
    pub length: u64,
    /// Every put and removal in it, in order.
    pub hints: Vec<Hint>,
    /// The last number in it, marks included.
    pub last: u64,
    pub hinted: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Recovery {
    /// In the order of the log.
    pub segments: Vec<RecoveredSegment>,
    /// Names that stand for nothing any more.
    pub rest: Vec<String>,
    /// Bytes dropped behind the last valid record.
    pub torn: u64,
    /// With `salvage`: what could not be read.
    pub damage: Vec<Error>,
}

/// Reading goes in pieces of this size.
const PIECE: usize = 256 * 1024;

/// With `salvage` damage is told in the result and what is behind it in its segment is left out; else it is an error.
pub fn recover(disk: &mut impl Disk, salvage: bool) -> Result<Recovery> {
    let mut all = Vec::new();
    let mut out = Recovery::default();
    let mut headless: Vec<(u64, u32, String)> = Vec::new();
    for name in disk.list()? {
        if let Some((to, generation)) = format::parse_segment_name(&name, ".seg") {
            let head = disk.read(&name, 0, HEADER_BYTES)?;
            if SegmentHeader::other_version(&head) {
                return Err(Error::Version(format!("{name} has {:?}", char::from(head[7]))));
            }
            match SegmentHeader::read(&head) {
                Ok(header) if header.to == to && header.from <= to => all.push((header, generation, name)),
                _ => headless.push((to, generation, name)),
            }
        } else if name.ends_with(".tmp") {
            out.rest.push(name);
        }
    }
    let newest = all.iter().map(|(header, ..)| header.to).max();
    for (to, generation, name) in headless {
        // Created, and no record of it was acknowledged before its header was synced: nothing is lost with it. What holds
        // a record has been.
        let fresh = generation == 0 && newest.is_none_or(|newest| to > newest) && !has_record(disk, &name)?;
        if !fresh {
            let what = "its header can't be read".to_string();
            damage(&mut out, salvage, Error::Damage { file: name.clone(), offset: 0, what })?;
        }
        out.rest.push(name);
    }
    // A compacted one stands for all that it covers.
    let covers = |a: &(SegmentHeader, u32, String), b: &(SegmentHeader, u32, String)| {
        let inside = a.0.from <= b.0.from && b.0.to <= a.0.to;
        inside && (a.1 > b.1 || a.0.from < b.0.from || a.0.to > b.0.to) && a.1 > 0
    };
    let (covered, mut kept): (Vec<_>, Vec<_>) = all
        .clone()
        .into_iter()
        .partition(|one| all.iter().any(|other| other.2 != one.2 && covers(other, one)));
    out.rest.extend(covered.into_iter().map(|(.., name)| name));
    kept.sort_by_key(|(header, ..)| header.from);
    for two in kept.windows(2) {
        if two[0].0.to + 1 != two[1].0.from {
            let what = format!("the segments {} to {} are missing", two[0].0.to + 1, two[1].0.from - 1);
            damage(&mut out, salvage, Error::Damage { file: two[1].2.clone(), offset: 0, what })?;
        }
    }
    let mut last = 0;
    for (at, (header, generation, name)) in kept.iter().enumerate() {
        let stored = disk.length(name)?;
        let next = kept.get(at + 1).map(|(next, ..)| next.before);
        // Sealed: the next one says how far it was valid. Compacted: synced whole before it got its name.
        let valid = match (generation, next) {
            (0, next) => next,
            (_, _) => Some(stored),
        };
        if let Some(valid) = valid.filter(|valid| *valid > stored) {
            let what = format!("it ends here, {valid} bytes were synced");
            damage(&mut out, salvage, Error::Damage { file: name.clone(), offset: stored, what })?;
        }
        let hints_name = name.replace(".seg", ".hint");
        let hints = match valid {
            Some(valid) if valid <= stored => {
                let length = disk.length(&hints_name).unwrap_or(0);
                let bytes = disk.read(&hints_name, 0, length as usize).unwrap_or_default();
                format::read_hints(&bytes, valid)
            }
            _ => None,
        };
        let mut found = RecoveredSegment {
            name: name.clone(),
            from: header.from,
            to: header.to,
            generation: *generation,
            length: valid.unwrap_or(stored).min(stored),
            last,
            hinted: hints.is_some(),
            hints: hints.unwrap_or_default(),
        };
        if found.hinted {
            found.last = found.hints.last().map_or(last, |hint| hint.seq).max(last);
        } else {
            let (end, what) = scan(disk, &mut found, *generation == 0)?;
            let file = name.clone();
            match (what, valid) {
                (None, _) => {}
                (Some(what), Some(_)) => {
                    damage(&mut out, salvage, Error::Damage { file, offset: end, what: what.into() })?
                }
                // The last one: torn, unless a mark behind says that this had been synced.
                (Some(what), None) => match synced_past(disk, name, end, stored)? {
                    Some(synced) => {
                        let what = format!("{what}, though {synced} bytes had been synced");
                        damage(&mut out, salvage, Error::Damage { file, offset: end, what })?;
                    }
                    None => out.torn += stored - end,
                },
            }
            found.length = end;
        }
        last = last.max(found.last);
        out.segments.push(found);
    }
    Ok(out)
}

fn damage(out: &mut Recovery, salvage: bool, error: Error) -> Result<()> {
    if !salvage {
        return Err(error);
    }
    out.damage.push(error);
    Ok(())
}

fn has_record(disk: &mut impl Disk, name: &str) -> Result<bool> {
    let bytes = disk.read(name, HEADER_BYTES as u64, MAX_RECORD_BYTES)?;
    Ok(format::read_record(&bytes).is_ok())
}

/// Reads records into `found` up to its length; where they end, and why, if before it. In a segment as it was written each
/// has the number after the one before; compacted, a higher one.
fn scan(
    disk: &mut impl Disk,
    found: &mut RecoveredSegment,
    dense: bool,
) -> Result<(u64, Option<&'static str>)> {
    let mut at = HEADER_BYTES as u64;
    let (mut bytes, mut start) = (Vec::new(), at);
    let mut first = true;
    while at < found.length {
        let left = (found.length - at) as usize;
        let have = bytes.len() - (at - start) as usize;
        if have < left.min(FRAME_BYTES) {
            bytes = disk.read(&found.name, at, PIECE.min(left))?;
            start = at;
        }
        let mut here = &bytes[(at - start) as usize..];
        if let Some(frame) = here.get(..4) {
            let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize + FRAME_BYTES;
            if length > here.len() && length <= MAX_RECORD_BYTES && here.len() < left {
                bytes = disk.read(&found.name, at, length.max(PIECE).min(left))?;
                start = at;
                here = &bytes;
            }
        }
        let record = match format::read_record(here) {
            Ok(record) => record,
            Err(what) => return Ok((at, Some(what))),
        };
        let follows = if dense && !first { record.seq == found.last + 1 } else { record.seq > found.last };
        if !follows {
            return Ok((at, Some("a record that does not follow the one before")));
        }
        first = false;
        found.last = record.seq;
        if record.kind != RecordKind::Mark {
            found.hints.push(Hint {
                seq: record.seq,
                kind: record.kind,
                offset: at,
                size: record.size as u32,
                key: record.key.to_vec(),
            });
        }
        at += record.size as u64;
    }
    Ok((at, None))
}

/// Whether a whole mark behind `end` says that more than `end` was synced.
fn synced_past(disk: &mut impl Disk, name: &str, end: u64, stored: u64) -> Result<Option<u64>> {
    const MARK: usize = FRAME_BYTES + 11 + 8;
    let (mut at, mut most) = (end, None);
    while at < stored {
        let bytes = disk.read(name, at, PIECE + MARK)?;
        if bytes.len() < MARK {
            break;
        }
        for offset in 0..=(bytes.len() - MARK).min(PIECE - 1) {
            let here = &bytes[offset..offset + MARK];
            // Cheap to rule out: length, kind and empty key of a mark.
            if here[..4] == [19, 0, 0, 0] && here[16] == 3 && here[17..19] == [0, 0] {
                if let Ok(record) = format::read_record(here) {
                    let mut eight = [0; 8];
                    eight.copy_from_slice(record.value);
                    let synced = u64::from_le_bytes(eight);
                    if synced > end && synced <= at + offset as u64 {
                        most = most.max(Some(synced));
                    }
                }
            }
        }
        at += PIECE as u64;
    }
    Ok(most)
}
