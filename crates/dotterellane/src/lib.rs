//! Serving system for rarely used models that many teams share.

pub mod cli;
pub mod commands;
mod crash_reports;
pub mod daemon;
pub mod demo;
pub mod exit_codes;
mod files;
pub mod logging;
pub mod overview;
pub mod serve;
pub mod signals;
