//! Counters with a type for each kind of counted object.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::UnitError;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[derive(Deserialize, JsonSchema, Serialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the following number; the last one has none and returns itself.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                text.parse().map(Self).map_err(|_| UnitError::Malformed {
                    kind: $kind,
                    text: text.to_owned(),
                    example: "17",
                })
            }
        }
    )*};
}

counters! {
    /// Version of the configuration; grows by one with each accepted change.
    ConfigVersion = "configuration version";
    /// Fencing number of a runner's lease or of the leader lease, higher for each later holder;
    /// runners refuse orders with a lower number than they have seen.
    FenceNumber = "fencing number";
    /// Incarnation of a host; grows with each start of the host's daemon.
    HostIncarnation = "host incarnation";
    /// Number of times that the platform's store came back from an older copy.
    StoreEra = "store era";
    /// Number of a share slot or a placement slot.
    SlotNumber = "slot number";
}
