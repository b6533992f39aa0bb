//! The digest that tells a whole body from a truncated or foreign one.

use twox_hash::XxHash64;

/// Returns the digest of a body: XXH64 with seed 0.
#[must_use]
pub fn body_digest(bytes: &[u8]) -> u64 {
    XxHash64::oneshot(0, bytes)
}

/// Formats a digest for a header.
#[must_use]
pub fn format_digest(digest: u64) -> String {
    format!("{digest:016x}")
}

/// Parses a digest from a header.
#[must_use]
pub fn parse_digest(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
