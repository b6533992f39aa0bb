//! Points in time, time spans and byte counts, with their text formats.

use std::ops::Add;
use std::ops::Sub;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de::Error;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;

number_type! {
    /// A point in time, in milliseconds since the Unix epoch.
    ///
    /// It is monotonic within one process: the wall-clock time at startup plus the elapsed time of
    /// a steady clock.
    ClockTime;
    /// A time span in milliseconds.
    TimeSpan;
    /// A number of bytes.
    ByteCount;
}

impl TimeSpan {
    /// Creates a span from whole seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }
}

impl ClockTime {
    /// Returns the span since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: ClockTime) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Add<TimeSpan> for ClockTime {
    type Output = ClockTime;

    fn add(self, span: TimeSpan) -> ClockTime {
        ClockTime(self.0.saturating_add(span.0))
    }
}

impl Sub<TimeSpan> for ClockTime {
    type Output = ClockTime;

    fn sub(self, span: TimeSpan) -> ClockTime {
        ClockTime(self.0.saturating_sub(span.0))
    }
}

impl Add for TimeSpan {
    type Output = TimeSpan;

    fn add(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_add(other.0))
    }
}

/// Units of [`SpanText`], longest first, in milliseconds.
const SPAN_UNITS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("min", 60_000),
    ("s", 1_000),
    ("ms", 1),
];

/// Units of [`BytesText`], largest first, in bytes.
const BYTE_UNITS: [(&str, u64); 4] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("B", 1),
];

/// Serializes a [`TimeSpan`] as text such as `"45 s"`.
#[derive(Clone, Copy, Debug)]
pub struct SpanText;

/// Serializes a [`ByteCount`] as text such as `"128 MiB"`.
#[derive(Clone, Copy, Debug)]
pub struct BytesText;

/// Serializes a number of thousandths as a decimal fraction such as `0.25`.
#[derive(Clone, Copy, Debug)]
pub struct ThousandthsNumber;

fn parse_amount(text: &str, units: &[(&str, u64)], example: &str) -> Result<u64, String> {
    let digits = text.trim_end_matches(|letter: char| letter.is_ascii_alphabetic());
    let unit = text[digits.len()..].trim();
    let names = || {
        units
            .iter()
            .map(|(name, _)| *name)
            .collect::<Vec<_>>()
            .join(", ")
    };
    let factor = units
        .iter()
        .find(|(name, _)| *name == unit)
        .map(|(_, factor)| *factor)
        .ok_or_else(|| {
            format!(
                "unit {unit:?} is not one of {}; an example is {example:?}",
                names()
            )
        })?;
    let number: u64 = digits
        .trim()
        .parse()
        .map_err(|_| format!("{text:?} is not a whole number with a unit, such as {example:?}"))?;
    number
        .checked_mul(factor)
        .ok_or_else(|| format!("{text:?} is too large"))
}

fn format_amount(amount: u64, units: &[(&str, u64)]) -> String {
    let (name, factor) = units
        .iter()
        .copied()
        .find(|(_, factor)| amount >= *factor && amount.is_multiple_of(*factor))
        .unwrap_or(units[units.len() - 1]);
    format!("{} {name}", amount / factor)
}

/// Parses a span such as `"45 s"`.
///
/// # Errors
///
/// Returns a message if the number or the unit is invalid or the span overflows.
pub fn parse_span(text: &str) -> Result<TimeSpan, String> {
    parse_amount(text, &SPAN_UNITS, "45 s").map(TimeSpan)
}

/// Formats a span in the largest unit in which it is a whole number.
#[must_use]
pub fn format_span(span: TimeSpan) -> String {
    format_amount(span.0, &SPAN_UNITS)
}

impl SerializeAs<TimeSpan> for SpanText {
    fn serialize_as<S: Serializer>(span: &TimeSpan, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_amount(span.0, &SPAN_UNITS))
    }
}

impl<'de> DeserializeAs<'de, TimeSpan> for SpanText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<TimeSpan, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_span(&text).map_err(D::Error::custom)
    }
}

impl SerializeAs<ByteCount> for BytesText {
    fn serialize_as<S: Serializer>(count: &ByteCount, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&format_amount(count.0, &BYTE_UNITS))
    }
}

impl<'de> DeserializeAs<'de, ByteCount> for BytesText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<ByteCount, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_amount(&text, &BYTE_UNITS, "128 MiB")
            .map(ByteCount)
            .map_err(D::Error::custom)
    }
}

const THOUSANDTHS: f64 = 1_000.0;

impl SerializeAs<u32> for ThousandthsNumber {
    fn serialize_as<S: Serializer>(share: &u32, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(f64::from(*share) / THOUSANDTHS)
    }
}

impl<'de> DeserializeAs<'de, u32> for ThousandthsNumber {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
        let share = (f64::deserialize(deserializer)? * THOUSANDTHS).round();
        if !(0.0..=f64::from(u32::MAX)).contains(&share) {
            return Err(D::Error::custom("not a number from 0 on, such as 0.25"));
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the range was checked"
        )]
        Ok(share as u32)
    }
}
