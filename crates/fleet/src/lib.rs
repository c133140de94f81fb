//! The daemon's part in the fleet: gossip, roles, ledgers, keepers.
//!
//! The entry sees the fleet through [`FleetPorts`] alone.

pub mod clock;
pub mod configuration;
pub mod local;
pub mod ports;
pub mod timer;

pub use clock::boot_clock;
pub use configuration::{ConfigurationFeed, ConfigurationSnapshot};
pub use ports::{
    CallOutcome, ChargeReceipt, ChargeRefusal, ChargeRequest, DispatchPermit, FleetPorts,
    FreshnessState, PermitRefusal, PermitRequest,
};
pub use timer::{TimerService, TimerSubscription};
