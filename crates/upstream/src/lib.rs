//! Calls, orders and events of runners and services.

pub mod orders;
