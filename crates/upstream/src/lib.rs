//! HTTP/1.1 client for upstreams: calls to runners and services, and the runners' control
//! interface.

pub mod calls;
pub mod connect;
pub mod head_limit;
pub mod lingering;
pub mod orders;
pub mod pool;

pub use calls::{
    CallError, CallFault, CallLimits, CallRequest, OpenResponse, ResponseBody, send_call,
};
pub use pool::UpstreamPool;
