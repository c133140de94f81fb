//! Loans, grants and recalls of team shares.
//!
//! Counters are cumulative within one credit session, so a message that is lost, doubled, late or
//! out of order changes nothing. Instants are readings of the clock of the host that put them in;
//! the other host only repeats them.

use dotterellane_units::{ClockInstant, HostIncarnation, TeamId, TokenCount, TokenRate};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Distinguishes successive ledgers of one host: its incarnation.
pub type LedgerEpoch = u64;

/// A message about the share of one team.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareMessage {
    /// Team whose share it is.
    pub team: TeamId,
    /// Ledger that the message comes from or goes to.
    pub epoch: LedgerEpoch,
    /// What is said.
    pub content: ShareContent,
}

/// What is said about the share of one team.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ShareContent {
    /// Ledger to member: pledge your slots.
    LoanRequest(LoanRequest),
    /// Member to ledger: the slots are pledged.
    Loan(ShareLoan),
    /// Ledger to member: the pledge ends now.
    Release(LoanRelease),
    /// Entry to ledger: what was spent and what is needed.
    Report(CreditReport),
    /// Ledger to entry: what may be spent.
    Grant(CreditGrant),
    /// Ledger to entry: give unspent credit back.
    Recall,
}

/// Asks a member to pledge its slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoanRequest {
    /// When the ledger sent the request; the pledge counts from then.
    pub sent: ClockInstant,
}

/// Pledges a member's slots for one pledge term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareLoan {
    /// The instant of the request that is answered.
    pub sent: ClockInstant,
    /// Rate of the pledged slots.
    pub rate: TokenRate,
    /// Burst of the pledged slots.
    pub burst: TokenCount,
    /// Tokens that the member hands over with them.
    pub balance: TokenCount,
}

/// Ends a pledge before its time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoanRelease {
    /// The instant of the newest request whose pledge the ledger counted.
    pub sent: ClockInstant,
    /// Tokens that the ledger hands back with the slots.
    pub balance: TokenCount,
}

/// Tells the ledger what an entry has spent and what it needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CreditReport {
    /// Number of the credit session; grows when an entry starts again from nothing.
    pub session: u64,
    /// When the entry sent the report; the credit that it obtains lasts from then.
    pub sent: ClockInstant,
    /// Tokens granted so far, as the entry has seen.
    pub granted: TokenCount,
    /// Tokens spent so far.
    pub spent: TokenCount,
    /// Tokens returned unspent so far.
    pub returned: TokenCount,
    /// Tokens refunded so far, of charges that turned out too high.
    pub refunded: TokenCount,
    /// Tokens that waiting requests need beyond the credit.
    pub need: TokenCount,
    /// Tokens that the entry would like to hold beyond that.
    pub spare: TokenCount,
}

/// Tells an entry what it may spend.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CreditGrant {
    /// Incarnation of the entry; another one at the same host must not spend the credit.
    pub entry: HostIncarnation,
    /// Number of the credit session.
    pub session: u64,
    /// The instant of the newest report that the ledger has seen.
    pub sent: ClockInstant,
    /// Whether the credit now lasts one credit term from that instant.
    pub extends: bool,
    /// Tokens granted so far.
    pub granted: TokenCount,
    /// Refunds taken so far.
    pub refunded: TokenCount,
    /// When all that the entry needs will have been granted, `None` if that is not known.
    pub wait: Option<Duration>,
    /// Rate of the pooled slots.
    pub rate: TokenRate,
    /// Burst of the pooled slots; no request beyond it can be granted.
    pub burst: TokenCount,
}
