//! What a daemon does together with the other daemons of the fleet.
//!
//! - [`node`] runs gossip and membership and follows the log of changes, which carries the
//!   configuration and the member list to every daemon.
//! - [`shares`] splits each team's token bucket among the daemons.
//! - [`placement`] runs the dispatchers, which grant requests permits to use a runner, and the
//!   keepers. The keeper of a runner is the daemon that holds the runner's lease and so is the
//!   only one that orders it to load and unload models.
//!
//! The decisions themselves are made by the state machines of `dotterellane-decisions`; this crate
//! feeds them messages, table reads and clock ticks and performs the actions they return. The code
//! that serves callers uses the fleet only through [`FleetPorts`], the operators' API only through
//! [`AdministrationPorts`].

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
