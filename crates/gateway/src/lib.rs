//! The daemon of one host, for platforms whose store keeps the configuration, a directory of
//! upstreams and leases.
//!
//! It accepts requests over HTTP, admits them by route and key, charges their team, and forwards
//! them to an upstream that holds their model. One host at a time is the [`leader`]: it orders
//! runners to load and unload models, and grants teams tokens. The platform's names and formats are
//! confined to a [`call::WireFormat`].

pub mod beside;
pub mod body;
pub mod call;
pub mod caller_memory;
pub mod candidates;
pub mod configuration_row;
pub mod crashes;
pub mod directory;
pub mod dispatch;
pub mod document;
pub mod evacuations;
pub mod events;
pub mod exchange;
pub mod followers;
pub mod guards;
pub mod handler;
pub mod leader;
pub mod logging;
pub mod messages;
pub mod metrics;
pub mod notices;
pub mod outcomes;
pub mod peeked;
pub mod peers;
pub mod permit_search;
pub mod permits;
pub mod questions;
pub mod reach;
pub mod refusal;
pub mod relay;
pub mod response_memory;
pub mod resumption;
pub mod run;
pub mod selection;
pub mod server;
pub mod settings;
pub mod spending;
pub mod stalls;
pub mod state;
pub mod stream_versions;
pub mod tunnels;

pub use run::{RunError, run};
