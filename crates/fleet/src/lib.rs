//! The daemon's part in the fleet: gossip, roles, ledgers, keepers.
//!
//! The entry sees the fleet through [`FleetPorts`] alone.

pub mod administration;
pub mod clock;
pub mod configuration;
pub mod local;
pub mod peers;
pub mod ports;
pub mod shares;
pub mod timer;

pub use administration::{
    AdministrationPorts, ChangeProgress, ChangeRecord, ProposalError, ProposedChange,
};
pub use clock::boot_clock;
pub use configuration::{ConfigurationFeed, ConfigurationSnapshot};
pub use peers::{MemberFeed, MemberInfo, MemberView, PeerDelivery, PeerInbox, PeerSender};
pub use ports::{
    CallOutcome, ChargeReceipt, ChargeRefusal, ChargeRequest, DispatchPermit, FleetPorts,
    FreshnessState, PermitRefusal, PermitRequest,
};
pub use timer::{TimerService, TimerSubscription};
