//! Team shares: enforce a team's rate and burst over all hosts without a central coordinator.
//!
//! Every team's rate and burst are divided into [`slots::SLOT_COUNT`] equal share slots. Each slot
//! is owned by a member, which is a host in the member list. For each team one member has the role
//! of the ledger. All members lend their slots to it for a limited term ([`loans`]). The ledger
//! pools these slots and grants credit to entries, which are the hosts that receive requests
//! ([`ledger`], [`credit`]). Credit is a number of tokens that an entry may spend until it expires;
//! the ledger asks for unspent credit back with a recall.
//!
//! Two invariants hold at every moment:
//!
//! - A slot creates tokens in one place only: at its owner, or at the one ledger it is lent to.
//! - All unspent tokens, wherever they are, are at most the burst of the slots they came from.
//!
//! Hence in every window the tokens charged less the tokens refunded are at most
//! rate x window + burst.

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
