//! Stand-ins of the users' platform: its store, runners that register there, and links between them.

pub mod engine;
pub mod link;
pub mod mesh;
pub mod store;

pub use engine::{EngineCapacity, EngineFault, RejectedRequest, SeenRequest, SiteEngine};
pub use link::{LinkMode, SiteLink};
pub use mesh::{MeshMode, SiteMesh};
pub use store::{SiteStore, StoreFault};
