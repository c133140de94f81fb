//! Stand-ins of the platform, runners and services for tests, demo and bench.

pub mod http_server;
pub mod platform_server;
pub mod runner;
pub mod weight_store;
