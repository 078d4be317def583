//! Names of the files in the store's directory.

/// Ending of a segment's file.
pub const SEGMENT_SUFFIX: &str = ".seg";
/// Ending of a file that a compaction has not finished.
pub const TEMPORARY_SUFFIX: &str = ".tmp";
const HINT_SUFFIX: &str = ".hint";

/// File of a segment, by number and generation.
pub fn segment_file_name(number: u64, generation: u32) -> String {
    format!("{number:016x}-{generation:08x}{SEGMENT_SUFFIX}")
}

/// File of the hints that belong to a segment's file.
pub fn hint_file_name(segment_file: &str) -> String {
    segment_file.replace(SEGMENT_SUFFIX, HINT_SUFFIX)
}

/// File under which a compaction writes what will be that segment's file.
pub fn temporary_file_name(segment_file: &str) -> String {
    segment_file.replace(SEGMENT_SUFFIX, TEMPORARY_SUFFIX)
}

/// Number and generation of a segment's file; `None` where it is not the name of one.
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
