//! Quantities with units: durations, sizes, shares and rates. A number without a unit is rejected.

use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A duration: a whole number and a unit, "250ms", "2s", "5m", "1h".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Duration);

/// A size in bytes: a whole number and a unit, "512B", "64KiB", "2MiB".
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

/// A share from 0 to 1, written "25%".
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Share(pub f64);

/// A rate per second, written "200/s".
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

impl Span {
    /// Creates a duration from milliseconds.
    pub const fn ms(ms: u64) -> Span {
        Span(Duration::from_millis(ms))
    }
}

impl Share {
    /// Creates a share from a percentage.
    pub fn percent(percent: f64) -> Share {
        Share(percent / 100.0)
    }
}

/// A text is not a quantity of the expected kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseQuantityError;

const SPANS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
const SIZES: [(&str, u64); 4] = [("B", 1), ("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30)];

/// Parses a whole number followed by one of the units. Returns the number times the unit's factor.
fn with_unit(text: &str, units: &[(&str, u64)]) -> Result<u64, ParseQuantityError> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let factor = units.iter().find(|(name, _)| *name == unit).ok_or(ParseQuantityError)?.1;
    let number: u64 = number.parse().map_err(|_| ParseQuantityError)?;
    // Rejects values whose sums could overflow later. A thousand years in milliseconds are below the limit.
    number.checked_mul(factor).filter(|all| *all < 1 << 45).ok_or(ParseQuantityError)
}

/// Writes a number in the largest unit that divides it.
fn write_with_unit(f: &mut fmt::Formatter<'_>, number: u64, units: &[(&str, u64)]) -> fmt::Result {
    let fits = |(_, factor): &&(&str, u64)| number >= *factor && number.is_multiple_of(*factor);
    let (unit, factor) = units.iter().rev().find(fits).unwrap_or(&units[0]);
    write!(f, "{}{unit}", number / factor)
}

/// Parses the number before the suffix `end`.
fn parse_before(text: &str, end: &str) -> Result<f64, ParseQuantityError> {
    let number = text.strip_suffix(end).ok_or(ParseQuantityError)?;
    let plain = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    number.parse().ok().filter(|n: &f64| plain && n.is_finite()).ok_or(ParseQuantityError)
}

impl FromStr for Span {
    type Err = ParseQuantityError;
    fn from_str(text: &str) -> Result<Span, ParseQuantityError> {
        with_unit(text, &SPANS).map(Span::ms)
    }
}

impl FromStr for Size {
    type Err = ParseQuantityError;
    fn from_str(text: &str) -> Result<Size, ParseQuantityError> {
        with_unit(text, &SIZES).map(Size)
    }
}

impl FromStr for Share {
    type Err = ParseQuantityError;
    fn from_str(text: &str) -> Result<Share, ParseQuantityError> {
        parse_before(text, "%")
            .ok()
            .filter(|percent| *percent <= 100.0)
            .map(Share::percent)
            .ok_or(ParseQuantityError)
    }
}

impl FromStr for Rate {
    type Err = ParseQuantityError;
    fn from_str(text: &str) -> Result<Rate, ParseQuantityError> {
        parse_before(text, "/s")
            .ok()
            .filter(|rate| (0.001..=1e6).contains(rate))
            .map(Rate)
            .ok_or(ParseQuantityError)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_with_unit(f, self.0.as_millis() as u64, &SPANS)
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_with_unit(f, self.0, &SIZES)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Rounds off the error of the division by 100.
        write!(f, "{}%", (self.0 * 1e8).round() / 1e6)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

/// Deserializes a quantity from a string; the text describes what was expected.
struct QuantityVisitor<T>(std::marker::PhantomData<T>, &'static str);

impl<T: FromStr> Visitor<'_> for QuantityVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.1)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        text.parse().map_err(|_| E::invalid_value(Unexpected::Str(text), &self))
    }
}

macro_rules! impl_quantities {
    ($($kind:ty: $expected:literal),* $(,)?) => {$(
        impl<'de> Deserialize<'de> for $kind {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
                from.deserialize_str(QuantityVisitor::<$kind>(std::marker::PhantomData, $expected))
            }
        }

        impl Serialize for $kind {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_str(self)
            }
        }
    )*};
}

impl_quantities! {
    Span: "a duration with its unit, such as \"250ms\", \"2s\", \"5m\" or \"1h\"",
    Size: "a size with its unit, such as \"512B\", \"64KiB\" or \"2MiB\"",
    Share: "a share from \"0%\" to \"100%\"",
    Rate: "a rate with its unit, such as \"200/s\"",
}
