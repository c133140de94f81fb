//! Stand-ins of the users' platform: its store, and runners that register there.

pub mod engine;
pub mod store;

pub use engine::{EngineFault, SeenRequest, SiteEngine};
pub use store::{SiteStore, StoreFault};
