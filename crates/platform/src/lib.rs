//! Adapters of the platform's table service, object store and host list.
//!
//! The rest of dotterellane sees [`PlatformTable`], [`ObjectStore`] and [`HostList`]: plain structs
//! of asynchronous closures. Only [`http`] knows a wire format.

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
