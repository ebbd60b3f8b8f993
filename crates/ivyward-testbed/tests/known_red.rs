//! The script `.ci/known-red`, which checks the list of tests that are known to fail.

use std::path::{Path, PathBuf};
use std::process::Command;

const LISTED: &str =
    "a_scene: test\nmodule::tests::one: test\ntwice: test\ntwice: test\na_bench: benchmark\n";

/// A temporary file that is removed when dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let path = std::env::temp_dir().join(format!("known-red-{}-{name}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Runs the script. Returns its standard output, or its standard error if it fails.
fn check(name: &str, text: &str) -> Result<String, String> {
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../.ci/known-red");
    let (file, listed) = (
        File::new(name, text),
        File::new(&format!("{name}-listed"), LISTED),
    );
    let done = Command::new("bash")
        .args([&script, &file.0, &listed.0])
        .output()
        .unwrap();
    match done.status.success() {
        true => Ok(String::from_utf8(done.stdout).unwrap()),
        false => Err(String::from_utf8(done.stderr).unwrap()),
    }
}

#[test]
fn names_are_printed_for_a_valid_list() {
    assert_eq!(check("empty", ""), Ok(String::new()));
    assert_eq!(check("blank", "\n  \n"), Ok(String::new()));
    let two = "a_scene | the clock stops | 12\nmodule::tests::one|two writers|46";
    assert_eq!(
        check("two", two),
        Ok("a_scene\nmodule::tests::one\n".to_owned())
    );
}

#[test]
fn an_invalid_list_fails() {
    let line = "a_scene | cause | 1\n";
    let bad = [
        ("four", line.repeat(4), "more than 3 lines"),
        ("parts", "a_scene | cause".to_owned(), "line 1 is not"),
        (
            "more",
            "a_scene | cause | 1 | 2".to_owned(),
            "line 1 is not",
        ),
        ("test", " | cause | 1".to_owned(), "no test"),
        (
            "cause",
            format!("{line}a_scene | | 1"),
            "line 2 names no cause",
        ),
        ("issue", "a_scene | cause | soon".to_owned(), "no issue"),
        ("none", "a_scen | cause | 1".to_owned(), "0 tests"),
        ("bench", "a_bench | cause | 1".to_owned(), "0 tests"),
        ("twice", "twice | cause | 1".to_owned(), "2 tests"),
    ];
    for (name, text, why) in bad {
        let said = check(name, &text).expect_err(name);
        assert!(said.contains(why), "{name}: {said}");
    }
}
