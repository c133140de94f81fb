//! Load, policy, slope and fault experiments.

fn main() {}
