//! Relative links in the README and the pages under `docs/` refer to existing files, so that on-call engineers find the code.

use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The README and all Markdown files below `docs/`.
fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md")];
    let mut folders = vec![root().join("docs")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(&folder).expect("a directory of pages") {
            let path = entry.expect("an entry").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "md") {
                pages.push(path);
            }
        }
    }
    pages
}

/// Targets of links to files of this repository, without their fragments.
fn relative_targets(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let files = targets.filter(|target| !target.contains("://") && !target.starts_with('#'));
    files.map(|target| target.split('#').next().unwrap_or(target)).collect()
}

#[test]
fn relative_links_lead_to_existing_files() {
    let mut missing = Vec::new();
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("a page");
        let folder = page.parent().expect("a page has a parent directory");
        let broken = relative_targets(&text).into_iter().filter(|target| !folder.join(target).exists());
        missing.extend(broken.map(|target| format!("{}: {target}", page.display())));
    }
    assert!(missing.is_empty(), "links without a file:\n{}", missing.join("\n"));
}

#[test]
fn links_are_recognized_with_and_without_fragments() {
    let text = "[a](docs/a.md#part), [b](https://example.org), [c](#here) and [d](../d.rs).";
    assert_eq!(relative_targets(text), ["docs/a.md", "../d.rs"]);
}
