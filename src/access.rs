//! Keys of callers and operators, and questions before a command.

use std::env;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::IsTerminal;
use std::io::Write;
use std::path::Path;

/// Environment variable that holds the key.
pub const KEY_VARIABLE: &str = "MUSTARDPATH_KEY";

/// A key in clear text. Its debug form does not show it.
#[derive(Clone, PartialEq, Eq)]
pub struct AccessKey(String);

impl AccessKey {
    /// Reads the key from a file, or from the environment when no file is named.
    ///
    /// # Errors
    ///
    /// Returns a message when there is no key or it cannot stand in an HTTP header.
    pub fn read(file: Option<&Path>) -> Result<Self, String> {
        let text = match file {
            Some(path) => fs::read_to_string(path)
                .map_err(|error| format!("key file {}: {error}", path.display()))?,
            None => env::var(KEY_VARIABLE)
                .map_err(|_| format!("no key: set {KEY_VARIABLE} or give --key-file"))?,
        };
        let key = text.trim();
        if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err("the key is empty or holds characters other than visible ASCII".to_owned());
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

/// Asks a question on the terminal and tells whether the answer is yes.
///
/// Without a terminal the answer is no, so a script has to give its consent by an option.
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
