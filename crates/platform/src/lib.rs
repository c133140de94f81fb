//! Clients of the platform's table service, object store and host list.
//!
//! [`PlatformTable`], [`ObjectStore`] and [`HostList`] are structs of asynchronous closures, so the
//! rest of dotterellane does not depend on a transport: [`http`] implements them over the network,
//! [`memory`] in the process. Only [`http`] knows a wire format.

pub mod call;
pub mod feed;
pub mod host_list;
pub mod http;
pub mod memory;
pub mod object_store;
pub mod table;

pub use call::{CallFailure, call_service};
pub use feed::{FeedBatch, FeedError, FeedRow, RowFeed};
pub use host_list::{HostList, ListedHost, ListedState};
pub use object_store::{ObjectError, ObjectStore};
pub use table::{
    CommitOutcome, PlatformTable, RowCondition, RowWrite, TableError, TableRow, TableTransaction,
};
