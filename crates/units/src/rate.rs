//! Rates of tokens and of requests.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};

use crate::{TokenCount, UnitError};

/// Tokens per second with a resolution of 0.001 tokens per second; written `1500/s` or `2.500/s`.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(DeserializeFromStr, JsonSchema, SerializeDisplay)]
pub struct TokenRate(#[schemars(with = "String")] u64);

impl TokenRate {
    /// Returns a rate of `tokens` tokens per second.
    pub const fn per_second(tokens: u64) -> Self {
        Self(tokens * 1_000)
    }

    /// Returns a rate of `milli_tokens` thousandths of a token per second.
    pub const fn from_milli_tokens(milli_tokens: u64) -> Self {
        Self(milli_tokens)
    }

    /// Returns the rate in thousandths of a token per second.
    pub const fn milli_tokens(self) -> u64 {
        self.0
    }

    /// Returns the number of tokens that accrue within `span`, rounded down.
    pub fn tokens_within(self, span: Duration) -> TokenCount {
        let milli_tokens = u128::from(self.0) * span.as_nanos() / 1_000_000_000;
        TokenCount(u64::try_from(milli_tokens / 1_000).unwrap_or(u64::MAX))
    }

    /// Returns the time in which `tokens` accrue, rounded up; `None` at a rate of zero.
    pub fn time_for(self, tokens: TokenCount) -> Option<Duration> {
        if self.0 == 0 {
            return None;
        }
        let nanos = (u128::from(tokens.0) * 1_000_000_000_000).div_ceil(u128::from(self.0));
        Some(Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX)))
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_thousandths(f, self.0)
    }
}

impl FromStr for TokenRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_thousandths(text, "1500/s or 2.5/s").map(Self)
    }
}

/// Requests per second with a resolution of 0.001 requests per second; written `200/s` or
/// `0.200/s`.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Returns a rate of `requests` requests per second.
    pub const fn per_second(requests: u64) -> Self {
        Self(requests * 1_000)
    }

    /// Returns a rate of `milli_requests` thousandths of a request per second.
    pub const fn from_milli_requests(milli_requests: u64) -> Self {
        Self(milli_requests)
    }

    /// Returns the time between two requests at this rate; [`Duration::MAX`] at a rate of zero.
    pub fn interval(self) -> Duration {
        match self.0 {
            0 => Duration::MAX,
            milli => Duration::from_nanos(1_000_000_000_000 / milli),
        }
    }

    /// Returns this fraction of the rate, rounded; `fraction` is between 0 and 1.
    #[must_use]
    pub fn scaled(self, fraction: f64) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
        let scaled = (self.0 as f64 * fraction.clamp(0.0, 1.0)).round();
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
        Self(scaled as u64)
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_thousandths(f, self.0)
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        parse_thousandths(text, "200/s or 0.2/s").map(Self)
    }
}

fn write_thousandths(f: &mut fmt::Formatter<'_>, thousandths: u64) -> fmt::Result {
    match (thousandths / 1_000, thousandths % 1_000) {
        (whole, 0) => write!(f, "{whole}/s"),
        (whole, milli) => write!(f, "{whole}.{milli:03}/s"),
    }
}

fn parse_thousandths(text: &str, example: &'static str) -> Result<u64, UnitError> {
    let malformed = || UnitError::Malformed { kind: "rate", text: text.to_owned(), example };
    let number = text.trim().strip_suffix("/s").ok_or_else(malformed)?;
    let (whole, fraction) = number.split_once('.').unwrap_or((number, ""));
    if fraction.len() > 3 || !fraction.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(malformed());
    }
    let whole: u64 = whole.parse().map_err(|_| malformed())?;
    let milli: u64 = format!("{fraction:0<3}").parse().map_err(|_| malformed())?;
    whole.checked_mul(1_000).and_then(|scaled| scaled.checked_add(milli)).ok_or_else(malformed)
}
