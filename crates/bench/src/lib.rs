//! Experiments: load on a running fleet, comparisons of policies and cost per added host, model,
//! runner or change.

pub mod cli;
pub mod cold_start;
pub mod load;
pub mod output;
pub mod regression;
pub mod shares;
pub mod slopes;
pub mod target;
pub mod trace;
