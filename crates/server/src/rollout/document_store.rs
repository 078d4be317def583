//! Stores versions on the disk of members and relays, each in its own file, which is either complete or absent.

use cypresscleat_rollout::Version;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Maximum number of versions on the disk, besides a spared one.
pub const MAX_STORED_VERSIONS: usize = 4;

fn version_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:012}.json"))
}

/// Writes a file atomically: after a crash the file has its former or its new content.
pub fn write_file(folder: &Path, path: &Path, content: &[u8]) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let new = path.with_extension("new");
    let mut file = std::fs::File::create(&new)?;
    file.write_all(content)?;
    file.sync_all()?;
    std::fs::rename(&new, path)?;
    std::fs::File::open(folder)?.sync_all()
}

/// Writes a version to the disk, which has to finish before the member votes for it. The version `spared` is not removed, whatever the
/// number of later versions, as all of them may be aborted.
pub fn store_version(folder: &Path, version: &Version, spared: Option<u64>) -> io::Result<()> {
    let content = serde_json::to_vec(version).map_err(io::Error::other)?;
    write_file(folder, &version_path(folder, version.number), &content)?;
    for old in stored_versions(folder)
        .into_iter()
        .rev()
        .skip(MAX_STORED_VERSIONS)
        .filter(|old| *old != version.number && Some(*old) != spared)
    {
        let _ = std::fs::remove_file(version_path(folder, old));
    }
    Ok(())
}

/// Returns the numbers of the stored versions, in ascending order.
pub fn stored_versions(folder: &Path) -> Vec<u64> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let number =
        |entry: std::fs::DirEntry| entry.file_name().to_str()?.strip_suffix(".json")?.parse::<u64>().ok();
    let mut all: Vec<u64> = entries.filter_map(number).collect();
    all.sort_unstable();
    all
}

/// Loads the versions that an earlier process stored, in ascending order. Files that are unreadable or damaged are skipped.
pub fn load_versions(folder: &Path) -> impl Iterator<Item = Version> + '_ {
    stored_versions(folder).into_iter().filter_map(|number| {
        let bytes = std::fs::read(version_path(folder, number)).ok()?;
        let version = serde_json::from_slice::<Version>(&bytes).ok()?;
        (version.number == number).then_some(version)
    })
}
