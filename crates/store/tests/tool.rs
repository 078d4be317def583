//! The tool on real folders: fill and dump, damage and its exit code, a process killed at any moment.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cypresscleat-store");

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("cypresscleat-store-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    path
}

fn run(words: &[&str], path: &Path) -> (Option<i32>, String, String) {
    let ended = Command::new(PROGRAM).arg(words[0]).arg(path).args(&words[1..]).output().expect("to start");
    let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
    (ended.status.code(), text(ended.stdout), text(ended.stderr))
}

fn segment(path: &Path) -> PathBuf {
    let names = std::fs::read_dir(path).expect("a folder").flatten().map(|entry| entry.path());
    names.filter(|path| path.extension().is_some_and(|end| end == "seg")).max().expect("a segment")
}

#[test]
fn filled_keys_are_dumped_and_damage_has_its_exit_code() {
    let path = folder("fill");
    let (code, keys, _) = run(&["fill", "--writes", "300", "--seed", "7"], &path);
    assert_eq!((code, keys.lines().count()), (Some(0), 300));
    let (code, dump, _) = run(&["dump"], &path);
    let lines: Vec<&str> = dump.lines().collect();
    let dumped: BTreeSet<&str> = lines.iter().filter_map(|line| line.split('\t').next()).collect();
    assert_eq!(code, Some(0));
    assert_eq!(dumped, keys.lines().collect::<BTreeSet<&str>>());
    assert!(lines.is_sorted());
    assert_eq!(run(&["verify"], &path).0, Some(0));
    let (code, stats, _) = run(&["stats"], &path);
    assert!(code == Some(0) && stats.contains(&format!("keys {}", dumped.len())), "{stats}");
    assert_eq!(run(&["compact"], &path).0, Some(0));
    assert_eq!(run(&["dump"], &path).1, dump);
    // Damage in the middle: the error names file and offset, exit code 3; --salvage prints the readable part.
    assert_eq!(run(&["fill", "--writes", "50", "--seed", "8"], &path).0, Some(0));
    let file = segment(&path);
    let mut bytes = std::fs::read(&file).expect("its bytes");
    bytes[300] ^= 4;
    std::fs::write(&file, bytes).expect("to write");
    for word in ["dump", "verify", "stats"] {
        let (code, _, stderr) = run(&[word], &path);
        let name = file.file_name().and_then(|name| name.to_str()).expect("a name");
        assert!(code == Some(3) && stderr.contains(name) && stderr.contains("at byte "), "{word}: {stderr}");
    }
    let (code, saved, _) = run(&["dump", "--salvage"], &path);
    assert!(code == Some(3) && saved.lines().count() >= dumped.len(), "{saved}");
    assert_eq!(run(&["dump"], &folder("none")).0, Some(2));
    assert!(!folder("none").exists());
    let _ = std::fs::remove_dir_all(&path);
}

/// The tool is killed at random times, 200 times: each key that was printed as acknowledged is in the store.
#[test]
fn a_writer_killed_at_any_moment_keeps_what_it_acknowledged() {
    let path = folder("killed");
    let mut rng = Pcg64Mcg::new(99);
    let mut known: BTreeSet<String> = BTreeSet::new();
    for round in 0..200u32 {
        let group = ["1", "7"][round as usize % 2];
        let mut child = Command::new(PROGRAM)
            .arg("fill")
            .arg(&path)
            .args(["--writes", "1000000", "--seed", &round.to_string(), "--group", group])
            .stdout(Stdio::piped())
            .spawn()
            .expect("to start");
        std::thread::sleep(Duration::from_millis(rng.random_range(1..25)));
        child.kill().and_then(|()| child.wait()).expect("its end");
        let mut printed = String::new();
        let mut from = child.stdout.take().expect("its output");
        from.read_to_string(&mut printed).expect("text");
        // The last line may be incomplete; only complete lines count.
        let complete_lines = printed.rfind('\n').map_or("", |end| &printed[..end]);
        known.extend(complete_lines.lines().map(str::to_string));
        if round % 20 == 19 {
            let (code, dump, stderr) = run(&["dump"], &path);
            assert_eq!(code, Some(0), "round {round}: {stderr}");
            let dumped: BTreeSet<&str> = dump.lines().filter_map(|line| line.split('\t').next()).collect();
            let lost = known.iter().filter(|key| !dumped.contains(key.as_str())).count();
            assert_eq!(lost, 0, "round {round}");
        }
    }
    assert!(known.len() > 1000, "{}", known.len());
    assert_eq!(run(&["verify"], &path).0, Some(0));
    let _ = std::fs::remove_dir_all(&path);
}
