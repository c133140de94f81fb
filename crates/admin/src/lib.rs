//! The operators' side: administration API and console.

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
