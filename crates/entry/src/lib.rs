//! The callers' side: HTTP, keys, admission, relay.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod body;
pub mod completion;
pub mod context;
pub mod events;
pub mod headers;
pub mod holds;
pub mod keys;
pub mod models;
pub mod refusal;
pub mod relay;
pub mod server;
pub mod whole;

pub use body::EntryBody;
pub use context::{EntryContext, EntryLimits};
pub use refusal::{EntryRefusal, RefusalKind};
pub use server::{ServeError, serve};
