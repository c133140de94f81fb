//! A host's daemon on a platform that keeps configuration, directory and leases.
//!
//! Callers' requests come in over HTTP, are admitted by route and key, charged to their team and
//! passed to an upstream that holds their model. What the platform puts on the wire is translated
//! by a [`call::WireFormat`]; nothing here knows its names.

pub mod answer;
pub mod body;
pub mod call;
pub mod crashes;
pub mod directory;
pub mod dispatch;
pub mod document;
pub mod events;
pub mod exchange;
pub mod followers;
pub mod keeper;
pub mod logging;
pub mod messages;
pub mod metrics;
pub mod notices;
pub mod peers;
pub mod places;
pub mod refusal;
pub mod relay;
pub mod run;
pub mod server;
pub mod settings;
pub mod spending;
pub mod state;

pub use run::{RunError, run};
