//! Stand-ins for the platform, the runners and the services, used by tests, the demo and the bench.
//!
//! [`site`] has those for the program of the `platform` directory, which runs on the users'
//! platform. The other modules have those for the `dotterellane` program: [`runner`] also loads and
//! unloads models on orders, while [`faulty_runner`] and [`service`] take injected faults.

pub mod faulty_runner;
pub mod http_server;
pub mod platform_server;
pub mod raw_http;
pub mod runner;
pub mod service;
pub mod site;
pub mod weight_store;

pub use faulty_runner::{FaultyRunner, RunnerFault};
pub use service::{PlainService, ServiceFault};
