//! The daemon and operator command.

fn main() {}
