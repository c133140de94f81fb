//! The ledger of one team, which pools the slots it was lent and grants credit to entries.
//!
//! Entries report what they spent, what they return and what they need. The ledger queues what they
//! need as claims and grants credit in the order of the claims. While claims wait, it recalls
//! unspent credit from the other entries.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use dotterellane_protocol::MemberId;
use dotterellane_protocol::shares::{
    CreditGrant, CreditReport, LedgerEpoch, LoanRelease, LoanRequest, ShareContent, ShareLoan,
};
use dotterellane_units::{ClockInstant, HostId, TokenCount, TokenRate};

use super::bucket::TokenAmount;
use super::slots::SharePart;
use super::timings::{ShareTimings, drift_padded};

/// Shortest interval between two recalls to one entry.
const RECALL_PERIOD: Duration = Duration::from_millis(200);

/// A claim is granted in part once the balance has what the pool yields in this time.
const PARTIAL_GRANT_SPAN: Duration = Duration::from_millis(100);

/// Divisor of the pooled burst; a partial grant is made at the latest once the balance has this
/// part of the burst.
const PARTIAL_GRANT_DIVISOR: u64 = 4;

/// Time after its first loan in which a ledger tells entries no wait, since the pool is not
/// complete yet.
const GATHERING_SPAN: Duration = Duration::from_millis(500);

/// Time for which an expired account is kept, so that late reports don't open it again.
const ACCOUNT_RETENTION: Duration = Duration::from_secs(120);

/// Divisor of the balance; an entry is granted at most this part of it beyond what it needs.
const SPARE_DIVISOR: u64 = 4;

/// A loan as seen by the ledger.
#[derive(Clone, Debug)]
struct CountedLoan {
    part: SharePart,
    /// When the ledger sent the request that the loan answers.
    sent: ClockInstant,
    ends: ClockInstant,
}

/// Totals of one entry in its newest session.
#[derive(Clone, Debug, Default)]
struct CreditAccount {
    session: u64,
    /// When the entry sent its newest report, by the entry's clock.
    newest: ClockInstant,
    granted: TokenCount,
    spent: TokenCount,
    returned: TokenCount,
    refunded: TokenCount,
    expires: ClockInstant,
    /// Whether the newest report extended the term of the credit.
    extended: bool,
    /// When the last recall was sent.
    recalled: Option<ClockInstant>,
}

impl CreditAccount {
    fn unspent(&self) -> TokenCount {
        self.granted - self.spent - self.returned
    }
}

/// Counters of one ledger, for metrics and tests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerCounters {
    /// Loans and renewals of loans accepted.
    pub loans: u64,
    /// Tokens granted.
    pub granted: u64,
    /// Recalls sent.
    pub recalls: u64,
    /// Refunded tokens added to the balance; those beyond the pooled burst are not counted.
    pub refunded: u64,
}

impl LedgerCounters {
    /// Returns the sums of the counters of two ledgers.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            loans: self.loans + other.loans,
            granted: self.granted + other.granted,
            recalls: self.recalls + other.recalls,
            refunded: self.refunded + other.refunded,
        }
    }
}

/// State of the ledger of one team.
#[derive(Clone, Debug)]
pub struct TeamLedger {
    timings: ShareTimings,
    epoch: LedgerEpoch,
    /// Tokens of the pool that can be granted.
    balance: TokenAmount,
    /// When the yield of the loans was last added to the balance.
    updated: ClockInstant,
    loans: BTreeMap<MemberId, CountedLoan>,
    accounts: BTreeMap<MemberId, CreditAccount>,
    /// Tokens that entries need, in the order in which they are granted.
    claims: VecDeque<(MemberId, TokenCount)>,
    /// When the newest request for loans was sent.
    requested: Option<ClockInstant>,
    /// Request up to which the loans of a host are no longer accepted, since they were released.
    released: BTreeMap<HostId, ClockInstant>,
    /// Whether this host no longer has the role and gives the loans back.
    releasing: bool,
    /// When the first loan arrived; `None` without loans.
    gathering_since: Option<ClockInstant>,
    counters: LedgerCounters,
}

/// A message of the ledger, with the host to send it to.
pub type LedgerMessage = (HostId, ShareContent);

impl TeamLedger {
    /// Creates a ledger without loans.
    pub fn new(timings: ShareTimings, epoch: LedgerEpoch, now: ClockInstant) -> Self {
        Self {
            timings,
            epoch,
            balance: TokenAmount::default(),
            updated: now,
            loans: BTreeMap::new(),
            accounts: BTreeMap::new(),
            claims: VecDeque::new(),
            requested: None,
            released: BTreeMap::new(),
            releasing: false,
            gathering_since: None,
            counters: LedgerCounters::default(),
        }
    }

    /// Returns the epoch that loans and reports must name.
    pub fn epoch(&self) -> LedgerEpoch {
        self.epoch
    }

    /// Returns the counters since the ledger was created.
    pub fn counters(&self) -> LedgerCounters {
        self.counters
    }

    /// Returns the balance and the rate of the pool.
    pub fn pooled(&mut self, now: ClockInstant) -> (TokenCount, TokenRate) {
        self.settle(now);
        (self.balance.whole(), self.rate())
    }

    /// Accepts a loan or its renewal; ignores one that is expired, superseded or released.
    ///
    /// The term counts from when the ledger sent its request.
    pub fn accept_loan(&mut self, member: MemberId, loan: &ShareLoan, now: ClockInstant) {
        self.settle(now);
        let ends = loan.sent + self.timings.loan_term;
        let released = self.released.get(&member.host);
        let stale = self.loans.get(&member).is_some_and(|old| loan.sent <= old.sent);
        if ends <= now || stale || released.is_some_and(|until| loan.sent <= *until) {
            return;
        }
        self.gathering_since.get_or_insert(now);
        let part = SharePart { rate: loan.rate, burst: loan.burst };
        self.loans.insert(member, CountedLoan { part, sent: loan.sent, ends });
        self.counters.loans += 1;
        self.add_tokens(loan.balance, now);
    }

    /// Applies an entry's report; returns grants for all entries that got tokens, and recalls.
    pub fn apply_report(
        &mut self,
        entry: MemberId,
        report: &CreditReport,
        now: ClockInstant,
    ) -> Vec<LedgerMessage> {
        self.settle(now);
        if !self.open_session(&entry, report, now) {
            return Vec::new();
        }
        let returned = self.apply_counters(&entry, report, now);
        self.update_claims(&entry, report, returned);
        self.extend(&entry, now);
        let mut recipients = self.serve_claims(now);
        self.grant_spare(&entry, report.spare, now);
        recipients.insert(entry);
        let mut messages = self.grants(recipients, now);
        messages.extend(self.recalls(now));
        messages
    }

    /// Requests loans from `members` and serves the claims; must be called regularly.
    ///
    /// `members` is `None` when this host no longer has the role; then the ledger recalls credit
    /// and releases loans.
    pub fn tick(&mut self, members: Option<&[HostId]>, now: ClockInstant) -> Vec<LedgerMessage> {
        self.settle(now);
        let Some(members) = members else {
            self.releasing = true;
            self.claims.clear();
            let mut messages = self.recalls(now);
            messages.extend(self.release_loans());
            return messages;
        };
        self.releasing = false;
        let mut messages = self.request_loans(members, now);
        let recipients = self.serve_claims(now);
        messages.extend(self.grants(recipients, now));
        messages.extend(self.recalls(now));
        messages
    }

    fn request_loans(&mut self, members: &[HostId], now: ClockInstant) -> Vec<LedgerMessage> {
        let due = self.requested.is_none_or(|sent| now.since(sent) >= self.timings.renewal_period);
        if !due {
            return Vec::new();
        }
        self.requested = Some(now);
        let request = ShareContent::LoanRequest(LoanRequest { sent: now });
        members.iter().map(|member| (member.clone(), request.clone())).collect()
    }

    fn release_loans(&mut self) -> Vec<LedgerMessage> {
        let requested = self.requested.unwrap_or_default();
        let horizon = self.updated + drift_padded(self.timings.credit_term);
        let mut messages = Vec::new();
        for (member, loan) in self.loans.clone() {
            // The remaining loans must cover all unspent credit until it expires.
            if self.unspent() > self.burst_after(horizon) - loan.part.burst {
                continue;
            }
            let burst = self.burst_after(self.updated);
            // Hand back the member's part of the balance.
            let share = u128::from(self.balance.whole().0) * u128::from(loan.part.burst.0);
            let balance = share.checked_div(u128::from(burst.0)).unwrap_or(0);
            let balance = TokenCount(u64::try_from(balance).unwrap_or(0)).min(loan.part.burst);
            self.balance = self.balance.minus(balance.into());
            self.loans.remove(&member);
            self.released.insert(member.host.clone(), requested);
            let release = LoanRelease { sent: loan.sent, balance };
            messages.push((member.host, ShareContent::Release(release)));
        }
        self.cap_balance(self.updated);
        messages
    }

    /// Adds the tokens that the loans yielded until now or their end; drops ended loans and expired
    /// credit.
    fn settle(&mut self, now: ClockInstant) {
        for loan in self.loans.values() {
            let until = now.min(loan.ends);
            let yielded = TokenAmount::yielded(loan.part.rate, self.updated, until);
            self.balance = self.balance.plus(yielded);
        }
        self.updated = self.updated.max(now);
        self.loans.retain(|_, loan| loan.ends > now);
        if self.loans.is_empty() {
            self.gathering_since = None;
        }
        self.accounts.retain(|_, account| account.expires + ACCOUNT_RETENTION > now);
        for account in self.accounts.values_mut().filter(|account| account.expires <= now) {
            // The entry may have spent credit that it did not report in time.
            account.spent = account.granted - account.returned;
        }
        let accounts = &self.accounts;
        self.claims
            .retain(|(entry, _)| accounts.get(entry).is_some_and(|account| account.expires > now));
        self.cap_balance(now);
    }

    fn cap_balance(&mut self, now: ClockInstant) {
        let room = self.burst_after(now) - self.unspent();
        self.balance = self.balance.min(room.into());
    }

    fn add_tokens(&mut self, tokens: TokenCount, now: ClockInstant) {
        self.balance = self.balance.plus(tokens.into());
        self.cap_balance(now);
    }

    /// Returns the burst of the loans that last beyond `moment`.
    fn burst_after(&self, moment: ClockInstant) -> TokenCount {
        let lasting = self.loans.values().filter(|loan| loan.ends > moment);
        lasting.map(|loan| loan.part.burst).sum()
    }

    fn rate(&self) -> TokenRate {
        let rates = self.loans.values().map(|loan| loan.part.rate.milli_tokens());
        TokenRate::from_milli_tokens(rates.sum())
    }

    /// Returns the credit that all entries may still spend.
    fn unspent(&self) -> TokenCount {
        self.accounts.values().map(CreditAccount::unspent).sum()
    }

    /// Opens or resumes the session of a report; returns `false` if the report must be ignored
    /// because it is late or its session is over.
    fn open_session(&mut self, entry: &MemberId, report: &CreditReport, now: ClockInstant) -> bool {
        let expires = now + drift_padded(self.timings.credit_term);
        let opened = CreditAccount { session: report.session, expires, ..CreditAccount::default() };
        let Some(account) = self.accounts.get_mut(entry) else {
            self.accounts.insert(entry.clone(), opened);
            return true;
        };
        if report.session < account.session {
            return false;
        }
        if report.session == account.session {
            return account.expires > now && report.sent > account.newest;
        }
        // The entry dropped its unspent credit when it started the new session.
        *account = opened;
        self.claims.retain(|(claimant, _)| claimant != entry);
        true
    }

    /// Applies the totals of a report; returns the tokens returned since the last report.
    fn apply_counters(
        &mut self,
        entry: &MemberId,
        report: &CreditReport,
        now: ClockInstant,
    ) -> TokenCount {
        let Some(account) = self.accounts.get_mut(entry) else { return TokenCount(0) };
        let returned = report.returned - account.returned;
        let refunded = report.refunded - account.refunded;
        account.newest = report.sent;
        account.spent = report.spent;
        account.returned = report.returned;
        account.refunded = report.refunded;
        self.add_tokens(returned, now);
        let before = self.balance;
        self.add_tokens(refunded, now);
        self.counters.refunded += self.balance.minus(before).whole().0;
        returned
    }

    /// Queues the tokens that the entry needs beyond those granted and queued already; drops claims
    /// that it no longer needs, the newest first.
    fn update_claims(&mut self, entry: &MemberId, report: &CreditReport, returned: TokenCount) {
        let granted = self.accounts.get(entry).map_or(TokenCount(0), |account| account.granted);
        let need = report.need - (granted - report.granted);
        let mut queued: TokenCount = self.claimed_by(entry);
        // Credit that was granted to a claim and then recalled goes back to the claim's place.
        if let Some((_, tokens)) = self.claims.iter_mut().find(|(other, _)| other == entry) {
            let restored = returned.min(need - queued);
            *tokens += restored;
            queued += restored;
        }
        if need > queued {
            self.claims.push_back((entry.clone(), need - queued));
        }
        let mut surplus = queued - need;
        for (claimant, tokens) in self.claims.iter_mut().rev() {
            if claimant == entry {
                let dropped = surplus.min(*tokens);
                *tokens -= dropped;
                surplus -= dropped;
            }
        }
        self.claims.retain(|(_, tokens)| *tokens > TokenCount(0));
    }

    fn claimed_by(&self, entry: &MemberId) -> TokenCount {
        let claims = self.claims.iter().filter(|(claimant, _)| claimant == entry);
        claims.map(|(_, tokens)| *tokens).sum()
    }

    /// Returns the most credit that `entry` may hold for one credit term from now.
    ///
    /// Credit must expire before the slots that it came from are used elsewhere. Hence the credit
    /// that outlasts the first loan to end must be at most the burst of the loans that last longer.
    fn room_for(&self, entry: &MemberId, now: ClockInstant) -> TokenCount {
        let horizon = now + drift_padded(self.timings.credit_term);
        let ending = self.loans.values().map(|loan| loan.ends).filter(|end| *end <= horizon);
        let first_end = ending.min().unwrap_or(now);
        let others = self
            .accounts
            .iter()
            .filter(|(other, account)| *other != entry && account.expires > first_end);
        let held: TokenCount = others.map(|(_, account)| account.unspent()).sum();
        self.burst_after(horizon) - held
    }

    /// Extends the term of the entry's credit, unless the loans can't cover it that long.
    fn extend(&mut self, entry: &MemberId, now: ClockInstant) {
        let room = self.room_for(entry, now);
        let expires = now + drift_padded(self.timings.credit_term);
        if let Some(account) = self.accounts.get_mut(entry) {
            account.extended = account.unspent() <= room;
            if account.extended {
                account.expires = expires;
            }
        }
    }

    /// Grants as many of the `wanted` tokens as possible; returns their number.
    fn grant(&mut self, entry: &MemberId, wanted: TokenCount, now: ClockInstant) -> TokenCount {
        let room = self.room_for(entry, now);
        let available = self.balance.whole();
        let Some(account) = self.accounts.get_mut(entry) else { return TokenCount(0) };
        if !account.extended || self.releasing {
            return TokenCount(0);
        }
        let tokens = wanted.min(available).min(room - account.unspent());
        account.granted += tokens;
        self.balance = self.balance.minus(tokens.into());
        self.counters.granted += tokens.0;
        tokens
    }

    /// Grants tokens to claims in their order; returns the entries that got some.
    fn serve_claims(&mut self, now: ClockInstant) -> BTreeSet<MemberId> {
        let mut served = BTreeSet::new();
        let part_of_burst = TokenCount(self.burst_after(now).0 / PARTIAL_GRANT_DIVISOR);
        let yielded = self.rate().tokens_within(PARTIAL_GRANT_SPAN);
        let worthwhile = yielded.min(part_of_burst).max(TokenCount(1));
        while let Some((entry, tokens)) = self.claims.front().cloned() {
            if self.balance.whole() < tokens.min(worthwhile) {
                break;
            }
            let granted = self.grant(&entry, tokens, now);
            if granted > TokenCount(0) {
                served.insert(entry.clone());
            }
            if granted == tokens {
                self.claims.pop_front();
                continue;
            }
            if let Some((_, left)) = self.claims.front_mut() {
                *left -= granted;
            }
            break;
        }
        served
    }

    /// Grants the spare credit that an entry asks for, if no claim waits.
    fn grant_spare(&mut self, entry: &MemberId, spare: TokenCount, now: ClockInstant) {
        if self.claims.is_empty() {
            let limit = TokenCount(self.balance.whole().0 / SPARE_DIVISOR);
            self.grant(entry, spare.min(limit), now);
        }
    }

    fn grants(&self, entries: BTreeSet<MemberId>, now: ClockInstant) -> Vec<LedgerMessage> {
        let (rate, burst) = (self.rate(), self.burst_after(now));
        let gathered = self.gathering_since.is_some_and(|since| now.since(since) >= GATHERING_SPAN);
        let granted = |entry: MemberId| {
            let account = self.accounts.get(&entry)?;
            let grant = CreditGrant {
                entry: entry.incarnation,
                session: account.session,
                sent: account.newest,
                extends: account.extended,
                granted: account.granted,
                refunded: account.refunded,
                wait: if gathered { self.wait_of(&entry) } else { None },
                rate,
                burst,
            };
            Some((entry.host, ShareContent::Grant(grant)))
        };
        entries.into_iter().filter_map(granted).collect()
    }

    /// Returns the time until the pool has yielded the tokens of the newest claim of `entry`; zero
    /// without a claim, `None` without a rate.
    fn wait_of(&self, entry: &MemberId) -> Option<Duration> {
        let Some(last) = self.claims.iter().rposition(|(claimant, _)| claimant == entry) else {
            return Some(Duration::ZERO);
        };
        let ahead: TokenCount = self.claims.iter().take(last + 1).map(|(_, tokens)| *tokens).sum();
        self.rate().time_for(ahead - self.balance.whole())
    }

    /// Returns recalls to all entries with unspent credit, except the one that is served next.
    fn recalls(&mut self, now: ClockInstant) -> Vec<LedgerMessage> {
        if self.claims.is_empty() && !self.releasing {
            return Vec::new();
        }
        let served_next = self.claims.front().map(|(entry, _)| entry.clone());
        let mut messages = Vec::new();
        for (entry, account) in &mut self.accounts {
            let recently = account.recalled.is_some_and(|sent| now.since(sent) < RECALL_PERIOD);
            if account.unspent() == TokenCount(0) || recently || served_next.as_ref() == Some(entry)
            {
                continue;
            }
            account.recalled = Some(now);
            self.counters.recalls += 1;
            messages.push((entry.host.clone(), ShareContent::Recall));
        }
        messages
    }
}
