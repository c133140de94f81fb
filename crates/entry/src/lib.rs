//! HTTP entry for callers.
//!
//! The entry authenticates callers by key, charges their team's rate limit, acquires a permit for a
//! runner and relays the response. Calls of plain services are forwarded to an instance of the
//! service.

pub mod admission;
pub mod attempt;
pub mod body;
pub mod buffered;
pub mod completion;
pub mod context;
pub mod crashes;
pub mod events;
pub mod guards;
pub mod handler;
pub mod headers;
pub mod key_watch;
pub mod keys;
pub mod models;
pub mod once_calls;
pub mod refusal;
pub mod relay;
pub mod server;
pub mod services;
pub mod stall;
pub mod streams;
pub mod tls;

pub use body::EntryBody;
pub use context::{EntryContext, EntryLimits};
pub use crashes::CrashWatch;
pub use refusal::{EntryRefusal, RefusalKind};
pub use server::serve;
pub use tls::{TlsError, TlsIdentity};
