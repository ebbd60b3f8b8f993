//! Files of flags, one flag per line, given on the command line as `@file`.

use std::ffi::OsString;
use std::io;

/// Maximum size of a file of flags, in bytes.
const MAX_FILE_SIZE: u64 = 16 << 20;

/// Why a file of flags cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FlagFileError {
    #[error("@{path}: cannot read the file: {error}")]
    Unreadable { path: String, error: io::Error },
    #[error("@{path}: the file has {size} bytes; the limit is {MAX_FILE_SIZE}")]
    TooLarge { path: String, size: u64 },
    #[error("@{path}: line {number}: {line:?} is not a flag like --name=value")]
    NotAFlag {
        path: String,
        number: usize,
        line: String,
    },
}

/// Replaces each argument `@file` by the flags in that file. Files are not nested: an `@file` inside a file is an error.
pub fn expand(args: impl IntoIterator<Item = OsString>) -> Result<Vec<OsString>, FlagFileError> {
    let mut expanded = Vec::new();
    for arg in args {
        match arg.to_str().and_then(|text| text.strip_prefix('@')) {
            Some(path) => expanded.extend(read(path)?),
            None => expanded.push(arg),
        }
    }
    Ok(expanded)
}

fn read(path: &str) -> Result<Vec<OsString>, FlagFileError> {
    let unreadable = |error| FlagFileError::Unreadable {
        path: path.into(),
        error,
    };
    let size = std::fs::metadata(path).map_err(unreadable)?.len();
    if size > MAX_FILE_SIZE {
        let path = path.into();
        return Err(FlagFileError::TooLarge { path, size });
    }
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    let mut flags = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        if !line.starts_with("--") {
            return Err(FlagFileError::NotAFlag {
                path: path.into(),
                number: index + 1,
                line: line.into(),
            });
        }
        flags.push(line.into());
    }
    Ok(flags)
}
