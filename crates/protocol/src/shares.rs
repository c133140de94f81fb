//! Messages that enforce the rate limits of teams across all hosts.
//!
//! The rate and burst of each team are split into share slots, which the members own. For each team
//! one host runs a ledger: members lend their slots to it for a limited time, and the ledger grants
//! credit, tokens that may be spent, to the entries that serve the team's requests.
//!
//! Counters are cumulative within one credit session, so lost, duplicated, late or reordered
//! messages do no harm. Instants are readings of the clock of the host that first sent them; the
//! other host only echoes them.

use dotterellane_units::{ClockInstant, HostIncarnation, TeamId, TokenCount, TokenRate};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Distinguishes successive ledgers on one host; equal to the host's incarnation.
pub type LedgerEpoch = u64;

/// Message about the share of one team.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareMessage {
    /// Team of the share.
    pub team: TeamId,
    /// Epoch of the ledger that sends or receives the message.
    pub epoch: LedgerEpoch,
    /// Payload.
    pub content: ShareContent,
}

/// Payload of a [`ShareMessage`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ShareContent {
    /// Ledger to member: asks for the member's slots.
    LoanRequest(LoanRequest),
    /// Member to ledger: lends the slots.
    Loan(ShareLoan),
    /// Ledger to member: ends the loan early.
    Release(LoanRelease),
    /// Entry to ledger: tokens spent and tokens needed.
    Report(CreditReport),
    /// Ledger to entry: credit that may be spent.
    Grant(CreditGrant),
    /// Ledger to entry: asks for the return of unspent credit.
    Recall,
}

/// Asks a member to lend its slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoanRequest {
    /// When the ledger sent the request; the term of the loan starts then.
    pub sent: ClockInstant,
}

/// Lends a member's slots to the ledger for one term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShareLoan {
    /// [`LoanRequest::sent`] of the request that is answered.
    pub sent: ClockInstant,
    /// Rate of the slots on loan.
    pub rate: TokenRate,
    /// Burst of the slots on loan.
    pub burst: TokenCount,
    /// Tokens that the member transfers to the ledger with the slots.
    pub balance: TokenCount,
}

/// Ends a loan before its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LoanRelease {
    /// [`ShareLoan::sent`] of the newest loan that the ledger accepted from the member.
    pub sent: ClockInstant,
    /// Tokens that the ledger transfers back with the slots.
    pub balance: TokenCount,
}

/// Tells the ledger how many tokens an entry has spent and how many it needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CreditReport {
    /// Number of the credit session; grows when the entry drops its credit and resets all counters.
    pub session: u64,
    /// When the entry sent the report; the term of the credit granted for it starts then.
    pub sent: ClockInstant,
    /// Tokens granted in this session, as far as the entry knows.
    pub granted: TokenCount,
    /// Tokens spent in this session.
    pub spent: TokenCount,
    /// Unspent tokens returned to the ledger in this session.
    pub returned: TokenCount,
    /// Tokens refunded in this session, because charges were estimated too high.
    pub refunded: TokenCount,
    /// Tokens that waiting requests need beyond the unspent credit.
    pub need: TokenCount,
    /// Tokens that the entry wants in reserve beyond that.
    pub spare: TokenCount,
}

/// Tells an entry how many tokens it may spend.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CreditGrant {
    /// Incarnation of the entry's host; no other incarnation may spend the credit.
    pub entry: HostIncarnation,
    /// Number of the credit session.
    pub session: u64,
    /// [`CreditReport::sent`] of the newest report that the ledger has received.
    pub sent: ClockInstant,
    /// Whether the credit is extended to one credit term after `sent`.
    pub extends: bool,
    /// Tokens granted in this session.
    pub granted: TokenCount,
    /// Refunds that the ledger has accepted in this session.
    pub refunded: TokenCount,
    /// Time until all tokens that the entry needs will have been granted, `None` if unknown.
    pub wait: Option<Duration>,
    /// Total rate of the slots on loan to the ledger.
    pub rate: TokenRate,
    /// Total burst of the slots on loan to the ledger; a request above it is never granted.
    pub burst: TokenCount,
}
