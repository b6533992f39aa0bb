//! Reads files that are JSON with comments.

use std::fs;
use std::io;
use std::path::Path;

use serde::de::DeserializeOwned;

/// Reads one file.
///
/// # Errors
///
/// Returns a message with the file's name when it cannot be read or does not have the form.
pub fn read<T: DeserializeOwned>(path: &Path) -> io::Result<T> {
    let name = path.display();
    let text = fs::read_to_string(path)
        .map_err(|error| io::Error::new(error.kind(), format!("{name}: {error}")))?;
    parse(&text).map_err(|error| io::Error::other(format!("{name}: {error}")))
}

/// Parses JSON with comments.
///
/// # Errors
///
/// Returns a message with the position of the error.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
        .map_err(|error| error.to_string())
}
