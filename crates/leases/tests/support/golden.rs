//! Recorded bytes, for the golden tests of leases, rollout and the server.

use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;
use std::path::Path;

/// Compares lines `name hex` with the file `tests/golden/FILE`. `RECORD_GOLDEN=1` writes the file first, which is valid only with a
/// program whose bytes are known to be those on the wire and on disk.
pub fn assert_recorded(file: &str, lines: &[(String, Vec<u8>)]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(file);
    let hex = |bytes: &[u8]| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    let found: Vec<String> = lines.iter().map(|(name, bytes)| format!("{name} {}", hex(bytes))).collect();
    if std::env::var_os("RECORD_GOLDEN").is_some() {
        std::fs::write(&path, found.join("\n") + "\n").expect("the golden file is written");
    }
    let recorded = std::fs::read_to_string(&path).expect("the golden file exists");
    for (found, recorded) in found.iter().zip(recorded.lines()) {
        assert_eq!(found, recorded, "{file}: the bytes changed");
    }
    assert_eq!(found.len(), recorded.lines().count(), "{file}: values were added or removed");
}

/// Checks that each value is encoded as recorded, and decodes to the same value.
pub fn assert_golden<T>(file: &str, values: Vec<(&str, T)>)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let mut lines = Vec::new();
    for (name, value) in values {
        let bytes = postcard::to_stdvec(&value).expect("the value is encoded");
        assert_eq!(postcard::from_bytes::<T>(&bytes).as_ref(), Ok(&value), "{name}: decoded");
        lines.push((name.to_string(), bytes));
    }
    assert_recorded(file, &lines);
}
