//! Reads settings and other files in JSON with comments.

use std::fs;
use std::io;
use std::path::Path;

use serde::de::DeserializeOwned;

use mustardpath_core::settings;
use mustardpath_core::settings::DaemonSettings;

/// Reads and validates the settings of a daemon.
///
/// # Errors
///
/// Returns the I/O error when the file cannot be read, or an error that lists all mistakes in the
/// file, one per line.
pub fn read_settings(path: &Path) -> io::Result<DaemonSettings> {
    let text = read_text(path)?;
    settings::parse(&path.display().to_string(), &text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        io::Error::new(io::ErrorKind::InvalidData, lines.join("\n"))
    })
}

/// Reads and deserializes a file.
///
/// # Errors
///
/// Returns an error that names the file when it cannot be read or deserialized.
pub fn read<T: DeserializeOwned>(path: &Path) -> io::Result<T> {
    let text = read_text(path)?;
    parse(&text).map_err(|error| {
        let message = format!("{}: {error}", path.display());
        io::Error::new(io::ErrorKind::InvalidData, message)
    })
}

fn read_text(path: &Path) -> io::Result<String> {
    fs::read_to_string(path)
        .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", path.display())))
}

/// Deserializes a text in JSON with comments.
///
/// # Errors
///
/// Returns a message with the position of the first error.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, String> {
    jsonc_parser::parse_to_serde_value(text, &jsonc_parser::ParseOptions::default())
        .map_err(|error| error.to_string())
}
