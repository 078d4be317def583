//! Versions on the disk, at members and at relays: each in a file of its own, whole or not there.

use cypresscleat_rollout::Version;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Versions kept on the disk.
pub const MAX_STORED_VERSIONS: usize = 4;

fn version_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{number:012}.json"))
}

/// The whole of a file under its name, or nothing of it, whatever happens in between.
pub fn write_file(folder: &Path, path: &Path, text: &[u8]) -> io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let new = path.with_extension("new");
    let mut file = std::fs::File::create(&new)?;
    file.write_all(text)?;
    file.sync_all()?;
    std::fs::rename(&new, path)?;
    std::fs::File::open(folder)?.sync_all()
}

/// Keeps a version on the disk, before anybody is told so. `spared` is not removed however many come after it, as all may be dropped.
pub fn store_version(folder: &Path, version: &Version, spared: Option<u64>) -> io::Result<()> {
    let text = serde_json::to_vec(version).map_err(io::Error::other)?;
    write_file(folder, &version_path(folder, version.number), &text)?;
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

/// Numbers of the versions that are kept, in their order.
pub fn stored_versions(folder: &Path) -> Vec<u64> {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let number =
        |entry: std::fs::DirEntry| entry.file_name().to_str()?.strip_suffix(".json")?.parse::<u64>().ok();
    let mut all: Vec<u64> = entries.filter_map(number).collect();
    all.sort_unstable();
    all
}

/// Versions that an earlier life kept, in their order; a file that can't be read, or is not what it was, counts as none.
pub fn load_versions(folder: &Path) -> impl Iterator<Item = Version> + '_ {
    stored_versions(folder).into_iter().filter_map(|number| {
        let bytes = std::fs::read(version_path(folder, number)).ok()?;
        let version = serde_json::from_slice::<Version>(&bytes).ok()?;
        (version.number == number).then_some(version)
    })
}
