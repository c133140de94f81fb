//! The ledger of one team: pools pledged slots and grants credit to entries.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use dotterellane_protocol::MemberId;
use dotterellane_protocol::shares::{
    CreditGrant, CreditReport, LedgerEpoch, LoanRelease, LoanRequest, ShareContent, ShareLoan,
};
use dotterellane_units::{ClockInstant, HostId, TokenCount, TokenRate};

use super::bucket::TokenLevel;
use super::slots::SharePart;
use super::timings::{ShareTimings, widened};

/// Shortest time between two recalls to one entry.
const RECALL_PERIOD: Duration = Duration::from_millis(200);

/// Yield of the pool that is worth a grant to a claim that cannot be met whole yet.
const PARTIAL_GRANT_SPAN: Duration = Duration::from_millis(100);

/// Part of the pooled burst that is always worth such a grant.
const PARTIAL_GRANT_DIVISOR: u64 = 4;

/// How long after its first pledge a ledger does not tell how long a wait will be.
const GATHERING_SPAN: Duration = Duration::from_millis(500);

/// How long a closed account is remembered, so that late reports do not open it again.
const ACCOUNT_MEMORY: Duration = Duration::from_secs(120);

/// Part of the level that one entry gets beyond what it needs.
const SPARE_DIVISOR: u64 = 4;

/// A pledge as the ledger counts it.
#[derive(Clone, Debug)]
struct CountedPledge {
    part: SharePart,
    sent: ClockInstant,
    ends: ClockInstant,
}

/// What one entry was granted in its newest session.
#[derive(Clone, Debug, Default)]
struct CreditAccount {
    session: u64,
    newest: ClockInstant,
    granted: TokenCount,
    spent: TokenCount,
    returned: TokenCount,
    refunded: TokenCount,
    expires: ClockInstant,
    extended: bool,
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
    /// Pledges counted.
    pub pledges: u64,
    /// Tokens granted.
    pub granted: u64,
    /// Recalls sent.
    pub recalls: u64,
    /// Refunded tokens that there was room for.
    pub refunded: u64,
}

impl LedgerCounters {
    /// Returns the sums of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            pledges: self.pledges + other.pledges,
            granted: self.granted + other.granted,
            recalls: self.recalls + other.recalls,
            refunded: self.refunded + other.refunded,
        }
    }
}

/// The ledger of one team.
#[derive(Clone, Debug)]
pub struct TeamLedger {
    timings: ShareTimings,
    epoch: LedgerEpoch,
    level: TokenLevel,
    updated: ClockInstant,
    pledges: BTreeMap<MemberId, CountedPledge>,
    accounts: BTreeMap<MemberId, CreditAccount>,
    claims: VecDeque<(MemberId, TokenCount)>,
    requested: Option<ClockInstant>,
    released: BTreeMap<HostId, ClockInstant>,
    releasing: bool,
    gathering_since: Option<ClockInstant>,
    counters: LedgerCounters,
}

/// A message of the ledger and the host that it goes to.
pub type LedgerMessage = (HostId, ShareContent);

impl TeamLedger {
    /// Starts without pledges.
    pub fn new(timings: ShareTimings, epoch: LedgerEpoch, now: ClockInstant) -> Self {
        Self {
            timings,
            epoch,
            level: TokenLevel::default(),
            updated: now,
            pledges: BTreeMap::new(),
            accounts: BTreeMap::new(),
            claims: VecDeque::new(),
            requested: None,
            released: BTreeMap::new(),
            releasing: false,
            gathering_since: None,
            counters: LedgerCounters::default(),
        }
    }

    /// Returns the epoch that pledges and reports must name.
    pub fn epoch(&self) -> LedgerEpoch {
        self.epoch
    }

    /// Returns the counters.
    pub fn counters(&self) -> LedgerCounters {
        self.counters
    }

    /// Returns level and rate of the pool.
    pub fn pooled(&mut self, now: ClockInstant) -> (TokenCount, TokenRate) {
        self.settle(now);
        (self.level.whole(), self.rate())
    }

    /// Counts a pledge from when its request was sent.
    pub fn count_pledge(&mut self, member: MemberId, pledge: &ShareLoan, now: ClockInstant) {
        self.settle(now);
        let ends = pledge.sent + self.timings.pledge_term;
        let released = self.released.get(&member.host);
        let stale = self.pledges.get(&member).is_some_and(|old| pledge.sent <= old.sent);
        if ends <= now || stale || released.is_some_and(|until| pledge.sent <= *until) {
            return;
        }
        self.gathering_since.get_or_insert(now);
        let part = SharePart { rate: pledge.rate, burst: pledge.burst };
        self.pledges.insert(member, CountedPledge { part, sent: pledge.sent, ends });
        self.counters.pledges += 1;
        self.add_level(pledge.balance, now);
    }

    /// Takes an entry's report; the answers go to every entry that it concerns.
    pub fn take_report(
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
        self.place_claim(&entry, report, returned);
        self.extend(&entry, now);
        let mut concerned = self.serve_claims(now);
        self.grant_spare(&entry, report.spare, now);
        concerned.insert(entry);
        let mut messages = self.grants(concerned, now);
        messages.extend(self.recalls(now));
        messages
    }

    /// Asks for pledges while this host holds the role, gives them back when it does not, and
    /// serves entries that wait.
    pub fn tick(&mut self, members: Option<&[HostId]>, now: ClockInstant) -> Vec<LedgerMessage> {
        self.settle(now);
        let Some(members) = members else {
            self.releasing = true;
            self.claims.clear();
            let mut messages = self.recalls(now);
            messages.extend(self.release_pledges());
            return messages;
        };
        self.releasing = false;
        let mut messages = self.request_pledges(members, now);
        let concerned = self.serve_claims(now);
        messages.extend(self.grants(concerned, now));
        messages.extend(self.recalls(now));
        messages
    }

    fn request_pledges(&mut self, members: &[HostId], now: ClockInstant) -> Vec<LedgerMessage> {
        let due = self.requested.is_none_or(|sent| now.since(sent) >= self.timings.renewal_period);
        if !due {
            return Vec::new();
        }
        self.requested = Some(now);
        let request = ShareContent::LoanRequest(LoanRequest { sent: now });
        members.iter().map(|member| (member.clone(), request.clone())).collect()
    }

    fn release_pledges(&mut self) -> Vec<LedgerMessage> {
        let requested = self.requested.unwrap_or_default();
        let horizon = self.updated + widened(self.timings.credit_term);
        let mut messages = Vec::new();
        for (member, pledge) in self.pledges.clone() {
            // What is left must cover all credit until that ends.
            if self.unspent() > self.burst_after(horizon) - pledge.part.burst {
                continue;
            }
            let burst = self.burst_after(self.updated);
            // Each member gets its part of what is left.
            let share = u128::from(self.level.whole().0) * u128::from(pledge.part.burst.0);
            let balance = share.checked_div(u128::from(burst.0)).unwrap_or(0);
            let balance = TokenCount(u64::try_from(balance).unwrap_or(0)).min(pledge.part.burst);
            self.level = self.level.minus(balance.into());
            self.pledges.remove(&member);
            self.released.insert(member.host.clone(), requested);
            let release = LoanRelease { sent: pledge.sent, balance };
            messages.push((member.host, ShareContent::Release(release)));
        }
        self.cap_level(self.updated);
        messages
    }

    /// Adds what the pledges yielded until now or their end, and drops what has ended.
    fn settle(&mut self, now: ClockInstant) {
        for pledge in self.pledges.values() {
            let until = now.min(pledge.ends);
            let yielded = TokenLevel::yielded(pledge.part.rate, self.updated, until);
            self.level = self.level.plus(yielded);
        }
        self.updated = self.updated.max(now);
        self.pledges.retain(|_, pledge| pledge.ends > now);
        if self.pledges.is_empty() {
            self.gathering_since = None;
        }
        self.accounts.retain(|_, account| account.expires + ACCOUNT_MEMORY > now);
        for account in self.accounts.values_mut().filter(|account| account.expires <= now) {
            // What the entry did not report in time may have been spent.
            account.spent = account.granted - account.returned;
        }
        let accounts = &self.accounts;
        self.claims
            .retain(|(entry, _)| accounts.get(entry).is_some_and(|account| account.expires > now));
        self.cap_level(now);
    }

    fn cap_level(&mut self, now: ClockInstant) {
        let room = self.burst_after(now) - self.unspent();
        self.level = self.level.min(room.into());
    }

    fn add_level(&mut self, tokens: TokenCount, now: ClockInstant) {
        self.level = self.level.plus(tokens.into());
        self.cap_level(now);
    }

    /// Returns the burst of the pledges that last beyond `moment`.
    fn burst_after(&self, moment: ClockInstant) -> TokenCount {
        let lasting = self.pledges.values().filter(|pledge| pledge.ends > moment);
        lasting.map(|pledge| pledge.part.burst).sum()
    }

    fn rate(&self) -> TokenRate {
        let rates = self.pledges.values().map(|pledge| pledge.part.rate.milli_tokens());
        TokenRate::from_milli_tokens(rates.sum())
    }

    /// Returns all credit that entries may still spend.
    fn unspent(&self) -> TokenCount {
        self.accounts.values().map(CreditAccount::unspent).sum()
    }

    fn open_session(&mut self, entry: &MemberId, report: &CreditReport, now: ClockInstant) -> bool {
        let expires = now + widened(self.timings.credit_term);
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
        // The entry has dropped what it had left of the earlier session.
        *account = opened;
        self.claims.retain(|(claimant, _)| claimant != entry);
        true
    }

    /// Takes over what the entry has counted; tells what it returned since its last report.
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
        self.add_level(returned, now);
        let before = self.level;
        self.add_level(refunded, now);
        self.counters.refunded += self.level.minus(before).whole().0;
        returned
    }

    /// Queues what the entry needs beyond what is granted and queued already.
    fn place_claim(&mut self, entry: &MemberId, report: &CreditReport, returned: TokenCount) {
        let granted = self.accounts.get(entry).map_or(TokenCount(0), |account| account.granted);
        let need = report.need - (granted - report.granted);
        let mut queued: TokenCount = self.claimed_by(entry);
        // What was granted to a claim and recalled keeps the claim's place.
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

    /// Returns the credit that `entry` may hold until its credit term from now ends.
    ///
    /// Credit must have ended before the slots that it came from are spent elsewhere: the credit
    /// that outlasts the first pledge to end is at most the burst of the pledges that last.
    fn room_for(&self, entry: &MemberId, now: ClockInstant) -> TokenCount {
        let horizon = now + widened(self.timings.credit_term);
        let ending = self.pledges.values().map(|pledge| pledge.ends).filter(|end| *end <= horizon);
        let first_end = ending.min().unwrap_or(now);
        let others = self
            .accounts
            .iter()
            .filter(|(other, account)| *other != entry && account.expires > first_end);
        let held: TokenCount = others.map(|(_, account)| account.unspent()).sum();
        self.burst_after(horizon) - held
    }

    fn extend(&mut self, entry: &MemberId, now: ClockInstant) {
        let room = self.room_for(entry, now);
        let expires = now + widened(self.timings.credit_term);
        if let Some(account) = self.accounts.get_mut(entry) {
            account.extended = account.unspent() <= room;
            if account.extended {
                account.expires = expires;
            }
        }
    }

    fn grant(&mut self, entry: &MemberId, wanted: TokenCount, now: ClockInstant) -> TokenCount {
        let room = self.room_for(entry, now);
        let level = self.level.whole();
        let Some(account) = self.accounts.get_mut(entry) else { return TokenCount(0) };
        if !account.extended || self.releasing {
            return TokenCount(0);
        }
        let tokens = wanted.min(level).min(room - account.unspent());
        account.granted += tokens;
        self.level = self.level.minus(tokens.into());
        self.counters.granted += tokens.0;
        tokens
    }

    /// Serves claims first come first served; returns the entries that got something.
    fn serve_claims(&mut self, now: ClockInstant) -> BTreeSet<MemberId> {
        let mut served = BTreeSet::new();
        let part_of_burst = TokenCount(self.burst_after(now).0 / PARTIAL_GRANT_DIVISOR);
        let yielded = self.rate().tokens_within(PARTIAL_GRANT_SPAN);
        let worthwhile = yielded.min(part_of_burst).max(TokenCount(1));
        while let Some((entry, tokens)) = self.claims.front().cloned() {
            if self.level.whole() < tokens.min(worthwhile) {
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

    fn grant_spare(&mut self, entry: &MemberId, spare: TokenCount, now: ClockInstant) {
        if self.claims.is_empty() {
            let most = TokenCount(self.level.whole().0 / SPARE_DIVISOR);
            self.grant(entry, spare.min(most), now);
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

    /// Returns when the newest claim of `entry` will be met, by the rate of the pool.
    fn wait_of(&self, entry: &MemberId) -> Option<Duration> {
        let Some(last) = self.claims.iter().rposition(|(claimant, _)| claimant == entry) else {
            return Some(Duration::ZERO);
        };
        let ahead: TokenCount = self.claims.iter().take(last + 1).map(|(_, tokens)| *tokens).sum();
        self.rate().time_for(ahead - self.level.whole())
    }

    fn recalls(&mut self, now: ClockInstant) -> Vec<LedgerMessage> {
        if self.claims.is_empty() && !self.releasing {
            return Vec::new();
        }
        let served_next = self.claims.front().map(|(entry, _)| entry.clone());
        let mut messages = Vec::new();
        for (entry, account) in &mut self.accounts {
            let lately = account.recalled.is_some_and(|sent| now.since(sent) < RECALL_PERIOD);
            if account.unspent() == TokenCount(0) || lately || served_next.as_ref() == Some(entry) {
                continue;
            }
            account.recalled = Some(now);
            self.counters.recalls += 1;
            messages.push((entry.host.clone(), ShareContent::Recall));
        }
        messages
    }
}
