//! Identifiers, sizes, rates and instants that all packages of dotterellane share.

mod clock;
mod identifier;
mod instant;
mod number;
mod parse;
mod rate;
mod row_version;
mod size;

pub use clock::boot_clock;
pub use identifier::{
    AdapterId, DomainId, HostId, KeyId, ModelId, OperatorId, RegionId, RequestId, ServiceId,
    SoftwareVersion, TeamId, UpstreamId, VersionLabel,
};
pub use instant::{ClockInstant, ClockSource, StoreInstant};
pub use number::{ConfigVersion, FenceNumber, HostIncarnation, SlotNumber, StoreEra};
pub use parse::UnitError;
pub use rate::{RequestRate, TokenRate};
pub use row_version::{RowNumber, RowVersion};
pub use size::{ByteSize, TokenCount};
