//! Rates of calls that upstreams name as their limits.

use std::str;
use std::time;

/// Thousandths of a call a second in one call a second.
const MILLIS_PER_CALL: u64 = 1000;

/// Digits after the decimal point that count; further ones are dropped, which lowers the rate.
const FRACTION_DIGITS: usize = 3;

/// Calls a second, exact to a thousandth.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rate {
    /// Thousandths of a call a second.
    millis: u64,
}

impl Rate {
    /// The highest rate; a higher one is taken for this one, which limits nothing.
    pub const MAX: Rate = Rate { millis: 1_000_000_000 };

    /// The lowest rate that is applied: one call in four seconds. Without any call there would be no
    /// answer that raises the limit again.
    pub const MIN: Rate = Rate { millis: MILLIS_PER_CALL / 4 };

    /// `millis` thousandths of a call a second.
    pub fn from_millis(millis: u64) -> Self {
        Self { millis: millis.min(Self::MAX.millis) }
    }

    /// Thousandths of a call a second.
    pub const fn millis(self) -> u64 {
        self.millis
    }

    /// Calls a second.
    pub fn per_second(self) -> f64 {
        self.millis as f64 / MILLIS_PER_CALL as f64
    }

    /// Calls in `span`.
    pub fn calls_in(self, span: time::Duration) -> f64 {
        self.per_second() * span.as_secs_f64()
    }

    /// Time in which `calls` may start, at [`Self::MIN`] if the rate is lower.
    pub fn time_of(self, calls: f64) -> time::Duration {
        let seconds = calls / self.max(Self::MIN).per_second();
        time::Duration::try_from_secs_f64(seconds).unwrap_or(time::Duration::MAX)
    }
}

/// The text is not a decimal number of calls a second.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a rate: a decimal number without sign or exponent expected")]
pub struct Malformed;

impl str::FromStr for Rate {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (whole, fraction) = text.split_once('.').unwrap_or((text, "0"));
        let is_number =
            |digits: &str| !digits.is_empty() && digits.bytes().all(|digit| digit.is_ascii_digit());
        if !is_number(whole) || !is_number(fraction) {
            return Err(Malformed);
        }
        // Only a number that is too large fails to parse here.
        let calls: u64 = whole.parse().unwrap_or(u64::MAX);
        let padded = fraction.bytes().chain(std::iter::repeat(b'0')).take(FRACTION_DIGITS);
        let thousandths = padded.fold(0, |sum, digit| sum * 10 + u64::from(digit - b'0'));
        Ok(Self::from_millis(calls.saturating_mul(MILLIS_PER_CALL).saturating_add(thousandths)))
    }
}
