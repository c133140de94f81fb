//! Server for operators: the administration API and the web console that uses it.
//!
//! Operators read the state of the fleet and change the configuration document here. Every host
//! serves the same API; a change that one host accepts reaches all of them.

mod access;
mod certificate;
mod changes;
mod console;
mod context;
mod endpoints;
mod issue;
mod metrics;
pub mod overview;
pub mod problem;
mod server;
pub mod wire;

pub use context::{AdminOptions, AdminTls};
pub use overview::FleetOverview;
pub use server::{AdminError, AdminServer, openapi, serve};
