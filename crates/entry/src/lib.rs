//! The callers' side: HTTP, keys, admission, relay.

pub mod admission;
pub mod answer;
pub mod attempt;
pub mod body;
pub mod completion;
pub mod context;
pub mod crashes;
pub mod events;
pub mod headers;
pub mod holds;
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
pub mod whole;

pub use body::EntryBody;
pub use context::{EntryContext, EntryLimits};
pub use crashes::CrashWatch;
pub use refusal::{EntryRefusal, RefusalKind};
pub use server::serve;
pub use tls::{TlsError, TlsIdentity};
