//! Team shares: rate and burst of a team over all hosts, without a coordinator.
//!
//! A team's rate and burst are split over [`slots::SLOT_COUNT`] share slots that members own.
//! Members pledge their slots to the team's ledger, which pools them and grants credit to entries.
//! Two statements hold at every moment and give the bound on every window:
//!
//! - A slot creates tokens in one place only: at its owner, or at the one ledger it is pledged to.
//! - All unspent tokens, wherever they lie, are at most the burst of the slots they came from.
//!
//! Hence tokens charged less tokens refunded are at most rate x window + burst.

pub mod admissions;
pub mod baselines;
pub mod bucket;
pub mod credit;
pub mod fleet_model;
pub mod ledger;
pub mod loans;
pub mod machine;
pub mod slots;
pub mod timings;
pub mod waiting;

pub use machine::{ShareAction, ShareMachine, ShareStatus};
pub use slots::SlotMap;
pub use timings::ShareTimings;
