//! Stand-ins of the platform, runners and services for tests, demo and bench.

pub mod faulty_runner;
pub mod raw_http;
pub mod service;

pub use faulty_runner::{FaultyRunner, RunnerFault};
pub use service::{PlainService, ServiceFault};
