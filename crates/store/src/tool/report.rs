//! Output of the commands.

use super::outcome::ToolError;
use cypresscleat_store::disk::Disk;
use cypresscleat_store::{Error, Store, StoreStats};
use std::io::{self, Write};

/// Writes all damage that was found, then a line of totals.
pub fn verification(out: &mut impl Write, damage: &[Error], stats: &StoreStats) -> io::Result<()> {
    for error in damage {
        writeln!(out, "{error}")?;
    }
    let (keys, damaged, torn) = (stats.keys, damage.len(), stats.torn_bytes);
    writeln!(out, "{keys} keys, {damaged} damaged, {torn} bytes dropped behind the end")
}

/// Writes a line for each statistic.
pub fn statistics(out: &mut impl Write, stats: &StoreStats, resident_bytes: f64) -> io::Result<()> {
    writeln!(out, "keys {}", stats.keys)?;
    writeln!(out, "segments {}", stats.segments)?;
    writeln!(out, "bytes {}", stats.segment_bytes)?;
    writeln!(out, "dead {}", stats.segment_bytes.saturating_sub(stats.live_bytes))?;
    writeln!(out, "last {}", stats.last_sequence)?;
    writeln!(out, "torn {}", stats.torn_bytes)?;
    writeln!(out, "memory {resident_bytes}")
}

/// Writes a line for each key from `from` on, up to and excluding `end`.
pub fn rows(
    out: &mut impl Write,
    store: &mut Store<impl Disk>,
    from: &[u8],
    end: Option<&[u8]>,
) -> Result<(), ToolError> {
    let snapshot = store.snapshot();
    for key in snapshot.keys(from).take_while(|key| end.is_none_or(|end| *key < end)) {
        if let Some(value) = store.get_at(&snapshot, key)? {
            writeln!(out, "{}\t{}", escape(key), escape(&value))?;
        }
    }
    Ok(())
}

/// Escapes backslashes, control characters and bytes that are not text as `\xNN`; other text is unchanged.
fn escape(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.utf8_chunks() {
        for c in chunk.valid().chars() {
            if c == '\\' || c.is_control() {
                let mut utf8 = [0; 4];
                out.extend(c.encode_utf8(&mut utf8).bytes().map(escape_byte));
            } else {
                out.push(c);
            }
        }
        out.extend(chunk.invalid().iter().copied().map(escape_byte));
    }
    out
}

fn escape_byte(byte: u8) -> String {
    format!("\\x{byte:02x}")
}
