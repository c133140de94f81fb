//! Daemon settings and the configuration document that operators write.

pub mod daemon;
pub mod document;
pub mod keys;
