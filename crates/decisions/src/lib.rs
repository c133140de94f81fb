//! Pure decisions over time and events; no input or output, no `tokio`.
//!
//! Each module is a state machine: time and events go in, messages and actions come out. The
//! daemons and the scenarios run the same code.

pub mod cold_start;
pub mod dispatch;
pub mod ejection;
pub mod fairness;
pub mod freshness;
pub mod gossip;
pub mod heartbeat_pace;
pub mod holdings_updates;
pub mod keep_alive;
pub mod keeper;
pub mod keeper_candidates;
pub mod keeper_lease;
pub mod leases;
pub mod leaving_marks;
pub mod load_queue;
pub mod membership;
pub mod memory_ledger;
pub mod placement;
pub mod prefix;
pub mod quarantine;
pub mod rendezvous;
pub mod retries;
pub mod retry_limiter;
pub mod rounds;
pub mod send_pauses;
pub mod shares;
pub mod store_clock;
pub mod team_buckets;
pub mod upstream_choice;
pub mod weight_plan;
