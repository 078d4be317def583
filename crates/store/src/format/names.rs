//! Names of the files in the store's directory.

/// Suffix of a segment's file.
pub const SEGMENT_SUFFIX: &str = ".seg";
/// Suffix of the output file of an unfinished compaction.
pub const TEMPORARY_SUFFIX: &str = ".tmp";
const HINT_SUFFIX: &str = ".hint";

/// Returns the file name of a segment.
pub fn segment_file_name(number: u64, generation: u32) -> String {
    format!("{number:016x}-{generation:08x}{SEGMENT_SUFFIX}")
}

/// Returns the file name of the hints of a segment.
pub fn hint_file_name(segment_file: &str) -> String {
    segment_file.replace(SEGMENT_SUFFIX, HINT_SUFFIX)
}

/// Returns the temporary file name under which a compaction writes a segment's file.
pub fn temporary_file_name(segment_file: &str) -> String {
    segment_file.replace(SEGMENT_SUFFIX, TEMPORARY_SUFFIX)
}

/// Parses the number and generation of a segment's file name; `None` if `file` is not such a name.
pub fn parse_segment_name(file: &str) -> Option<(u64, u32)> {
    let (number, generation) = file.strip_suffix(SEGMENT_SUFFIX)?.split_once('-')?;
    if number.len() != 16
        || generation.len() != 8
        || !is_lowercase_hex(number)
        || !is_lowercase_hex(generation)
    {
        return None;
    }
    Some((u64::from_str_radix(number, 16).ok()?, u32::from_str_radix(generation, 16).ok()?))
}

fn is_lowercase_hex(text: &str) -> bool {
    text.bytes().all(|byte| byte.is_ascii_hexdigit() && !byte.is_ascii_uppercase())
}
