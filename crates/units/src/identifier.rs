//! Identifiers: validated short strings with a type for each kind of object.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::UnitError;

/// Longest id, in bytes.
pub const MAX_ID_BYTES: usize = 63;

fn check_id(kind: &'static str, text: &str) -> Result<(), UnitError> {
    if text.is_empty() || text.len() > MAX_ID_BYTES {
        return Err(UnitError::IdLength { kind, length: text.len() });
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(UnitError::IdCharacter { kind, text: text.to_owned(), found }),
        None => Ok(()),
    }
}

/// Longest name that the operators of a platform can choose, in bytes.
pub const MAX_NAME_BYTES: usize = 200;

/// Accepts what a header can carry unchanged.
fn check_name(kind: &'static str, text: &str) -> Result<(), UnitError> {
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        return Err(UnitError::TextLength { kind, length: text.len(), longest: MAX_NAME_BYTES });
    }
    if text.chars().any(char::is_control) || text.trim() != text {
        return Err(UnitError::NameCharacter { kind, text: text.to_owned() });
    }
    Ok(())
}

/// Longest software version, in bytes.
pub const MAX_SOFTWARE_VERSION_BYTES: usize = 200;

fn check_software_version(kind: &'static str, text: &str) -> Result<(), UnitError> {
    if text.is_empty() || text.len() > MAX_SOFTWARE_VERSION_BYTES {
        return Err(UnitError::TextLength {
            kind,
            length: text.len(),
            longest: MAX_SOFTWARE_VERSION_BYTES,
        });
    }
    Ok(())
}

macro_rules! text_ids {
    ($check:ident, $check_name:ident: $($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(JsonSchema)]
        pub struct $name(#[schemars(with = "String")] Arc<str>);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl $name {
            /// Accepts a name that a platform, not a document of this system, gives to the object.
            ///
            /// # Errors
            /// Fails if the name cannot be used; the error tells why.
            pub fn from_name(text: &str) -> Result<Self, UnitError> {
                $check_name($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                $check($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: Serializer,
            {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: Deserializer<'de>,
            {
                // Documents are checked; daemons tell each other names of either origin.
                let is_document = deserializer.is_human_readable();
                let text = String::deserialize(deserializer)?;
                let id = if is_document { text.parse() } else { Self::from_name(&text) };
                id.map_err(serde::de::Error::custom)
            }
        }
    )*};
}

text_ids! {
    check_software_version, check_software_version:
    /// Version of an upstream's software; opaque text that is only compared as a whole.
    SoftwareVersion = "software version";
}

text_ids! {
    check_id, check_id:
    /// Identifies an adapter of a model.
    AdapterId = "adapter id";
    /// Identifies a failure domain: hosts that may fail together.
    DomainId = "failure domain id";
    /// Identifies a host, which runs one daemon.
    HostId = "host id";
    /// Identifies a caller's key; the public part of `dk_<id>_<secret>`.
    KeyId = "key id";
    /// Identifies an operator.
    OperatorId = "operator id";
    /// Identifies a region: failure domains with low network latency between them.
    RegionId = "region id";
    /// Identifies an upstream: a runner, or an instance of a service.
    UpstreamId = "upstream id";
    /// Version of the weights of a model or adapter.
    VersionLabel = "version label";
}

text_ids! {
    check_id, check_name:
    /// Identifies a model.
    ModelId = "model id";
    /// Identifies a plain service, which one or more upstreams offer.
    ServiceId = "service id";
    /// Identifies a team: callers that share one rate limit.
    TeamId = "team id";
}

/// Identifies one request within the fleet; 128 random bits, written as 32 hex digits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for RequestId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let malformed = || UnitError::Malformed {
            kind: "request id",
            text: text.to_owned(),
            example: "0123456789abcdef0123456789abcdef",
        };
        // `from_str_radix` would accept a leading sign.
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(malformed());
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| malformed())
    }
}
