//! Pure decisions over time and events; no input or output, no `tokio`.
//!
//! Each module is a state machine: time and events go in, messages and actions come out. The
//! daemons and the scenarios run the same code.

pub mod fairness;
pub mod freshness;
pub mod membership;
pub mod quarantine;
pub mod rendezvous;
pub mod rounds;
pub mod shares;
