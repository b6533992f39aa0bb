//! Digest of message bodies, which detects truncated and mismatched ones.

use twox_hash::XxHash64;

/// Computes the digest of a body: XXH64 with seed 0.
#[must_use]
pub fn body_digest(bytes: &[u8]) -> u64 {
    XxHash64::oneshot(0, bytes)
}

/// Formats a digest as the value of a header: 16 hexadecimal digits.
#[must_use]
pub fn format_digest(digest: u64) -> String {
    format!("{digest:016x}")
}

/// Parses the value of a header. Returns `None` when it is not a hexadecimal number of 64 bits.
#[must_use]
pub fn parse_digest(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}
