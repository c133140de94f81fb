//! Calls, orders and events of runners and services.

pub mod calls;
pub mod connect;
pub mod head_limit;
pub mod lingering;
pub mod orders;
pub mod pool;

pub use calls::{AnswerBody, CallError, CallFault, CallLimits, CallRequest, OpenAnswer, send_call};
pub use pool::UpstreamPool;
