//! The daemon's part in the fleet: gossip, roles, ledgers, keepers.
//!
//! The entry sees the fleet through [`FleetPorts`] alone.

pub mod administration;
pub mod configuration;
mod configuration_log;
pub mod control;
mod control_metrics;
mod dispatch;
pub mod document_edits;
mod gossip;
mod keepers;
pub mod log_state;
pub mod log_store;
mod members;
pub mod node;
pub mod peers;
pub mod placement;
pub mod ports;
pub mod share_slots;
pub mod shares;
pub mod timer;
pub mod transport;

pub use administration::{
    AdministrationPorts, ChangeProgress, ChangeRecord, ProposalError, ProposedChange,
};
pub use configuration::{ConfigurationFeed, ConfigurationSnapshot};
pub use control::AppendError;
pub use dotterellane_units::boot_clock;
pub use node::{FleetNode, NodeError, NodePlatform, NodeSettings};
pub use peers::{MemberFeed, MemberInfo, MemberView, PeerDelivery, PeerInbox, PeerSender};
pub use placement::{OrdersFactory, PlacementParts, PlacementRuntime};
pub use ports::{
    CallOutcome, ChargeReceipt, ChargeRefusal, ChargeRequest, DispatchPermit, FleetPorts,
    FreshnessState, PermitRefusal, PermitRequest,
};
pub use timer::{TimerService, TimerSubscription};
pub use transport::{InboxKind, PeerTransport};
