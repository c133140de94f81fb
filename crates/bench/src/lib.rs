//! Load, policy, slope and fault experiments.

pub mod cli;
pub mod cold_start;
pub mod load;
pub mod output;
pub mod regression;
pub mod shares;
pub mod slopes;
pub mod target;
pub mod trace;
