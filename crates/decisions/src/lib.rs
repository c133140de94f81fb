//! Decision logic of the daemons as pure state machines, without I/O or an async runtime.
//!
//! Each module takes the current time and events, and returns messages and actions. The daemons and
//! the simulated scenarios in the tests run the same code.

pub mod allowed_regions;
pub mod brittle_upstreams;
pub mod cold_start;
pub mod cold_upstreams;
pub mod configuration_evidence;
pub mod dispatch;
pub mod domain_spill;
pub mod ejection;
pub mod evacuations;
pub mod fairness;
pub mod fleet_size;
pub mod freshness;
pub mod gossip;
pub mod heartbeat_pace;
pub mod holdings_updates;
pub mod keep_alive;
pub mod keeper;
pub mod leader_candidates;
pub mod leader_lease;
pub mod leases;
pub mod leaving_marks;
pub mod load_queue;
pub mod membership;
pub mod memory_account;
pub mod memory_budget;
pub mod placement;
pub mod prefix;
pub mod quarantine;
pub mod rate_limits;
pub mod rendezvous;
pub mod retries;
pub mod retry_limiter;
pub mod room_account;
pub mod rounds;
pub mod run_times;
pub mod send_pauses;
pub mod send_permits;
pub mod shares;
pub mod store_clock;
pub mod stream_versions;
pub mod team_buckets;
pub mod tunnel_places;
pub mod upstream_choice;
pub mod upstream_pace;
pub mod upstream_reach;
pub mod upstream_room;
pub mod weight_plan;
