//! Stand-ins for the platform of a site: its store, the runners that register there, and proxies
//! that inject network faults.

pub mod engine;
pub mod link;
pub mod mesh;
pub mod store;

pub use engine::{EngineCapacity, EngineFault, RejectedRequest, SeenRequest, SiteEngine};
pub use link::{LinkMode, SiteLink};
pub use mesh::{MeshMode, SiteMesh};
pub use store::{SiteStore, StoreCopy, StoreFault};
