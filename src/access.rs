//! Access keys of callers and operators, and confirmation prompts.

use std::env;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::IsTerminal;
use std::io::Write;
use std::path::Path;

/// Environment variable that holds the key.
pub const KEY_VARIABLE: &str = "MUSTARDPATH_KEY";

/// An access key in plain text. Its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct AccessKey(String);

impl AccessKey {
    /// Reads the key from a file, or from [`KEY_VARIABLE`] if `file` is `None`.
    ///
    /// # Errors
    ///
    /// Returns a message if the key is missing or is not valid in an HTTP header.
    pub fn read(file: Option<&Path>) -> Result<Self, String> {
        let text = match file {
            Some(path) => fs::read_to_string(path)
                .map_err(|error| format!("key file {}: {error}", path.display()))?,
            None => env::var(KEY_VARIABLE)
                .map_err(|_| format!("no key: set {KEY_VARIABLE} or pass --key-file"))?,
        };
        let key = text.trim();
        if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("the key is empty or has characters other than visible ASCII".to_owned());
        }
        Ok(Self(key.to_owned()))
    }

    /// Returns the value of the `Authorization` header.
    #[must_use]
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl std::fmt::Debug for AccessKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("AccessKey(..)")
    }
}

/// Prompts for a confirmation on the terminal and returns whether it was given.
///
/// Returns `false` without a prompt if standard input is not a terminal. Scripts confirm with an
/// option instead.
#[must_use]
pub fn confirm(prompt: &str) -> bool {
    let input = io::stdin();
    if !input.is_terminal() {
        return false;
    }
    eprint!("{prompt} [y/N] ");
    let _ = io::stderr().flush();
    let mut line = String::new();
    let is_read = input.lock().read_line(&mut line).is_ok();
    is_read && matches!(line.trim(), "y" | "Y" | "yes")
}
