//! State machine for the team shares of one daemon, which may be member, entry and ledger of each
//! team.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_protocol::shares::{CreditGrant, ShareContent};
use dotterellane_protocol::{MemberId, ShareMessage};
use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{ClockInstant, HostId, RequestId, TeamId, TokenCount};
use thiserror::Error;

use super::credit::EntryCredit;
use super::ledger::{LedgerCounters, TeamLedger};
use super::loans::{LedgerAddress, MemberLoan};
use super::slots::{OwnedSlots, SlotMap, SlotProgress};
use super::timings::ShareTimings;
use super::waiting::{WaitEstimate, WaitingCharge, WaitingQueue};
use crate::rendezvous::role_holder;

/// Role name with which rendezvous hashing picks the host of a team's ledger.
pub const LEDGER_ROLE: &str = "ledger";

/// What the daemon knows of the replicated log and of the slot map, which bounds what it may spend.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareStatus {
    /// Whether the daemon follows every log entry that is in force, see [`crate::freshness`].
    pub fresh: bool,
    /// Newest change of the slot map that the daemon has heard of, see [`SlotMap::change`].
    pub slots_known: u64,
    /// Newest change of the slot map that is in force.
    pub slots_in_force: u64,
}

/// An action that the caller of the state machine must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareAction {
    /// Send a message to another daemon.
    Send {
        /// Host of the daemon.
        to: HostId,
        /// Message about the share of one team.
        message: ShareMessage,
    },
    /// Admit a request whose tokens were charged.
    Admit {
        /// Request that was charged for.
        request: RequestId,
        /// Team that paid.
        team: TeamId,
        /// Tokens charged.
        tokens: TokenCount,
    },
    /// Refuse a request; nothing was charged.
    Refuse {
        /// Request that is refused.
        request: RequestId,
        /// Reason of the refusal.
        refusal: ShareRefusal,
    },
}

/// Why a charge was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum ShareRefusal {
    /// The tokens will not be available before the deadline.
    #[error("over the rate; the tokens will be available in {retry_after:?}")]
    OverRate {
        /// Earliest time from now at which the tokens will be available.
        retry_after: Duration,
    },
    /// The request needs more than the team's burst, so it can never be admitted.
    #[error("{tokens} tokens exceed the burst of {burst}")]
    OverBurst {
        /// Tokens that the request needs.
        tokens: TokenCount,
        /// Burst of the team over all hosts.
        burst: TokenCount,
    },
    /// The team is unknown, the daemon is not fresh, or the ledger did not answer in time.
    #[error("the share of the team is unavailable")]
    Unreachable,
}

/// Tokens and rate of a team that one daemon holds, for invariant checks.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareHoldings {
    /// Tokens that the daemon could spend or grant now.
    pub tokens: TokenCount,
    /// Rate at which the daemon adds tokens, in thousandths of a token per second.
    pub rate: u64,
}

#[derive(Debug)]
struct TeamState {
    /// Rate and burst; `None` once the team is no longer listed.
    rates: Option<TeamEntry>,
    /// This daemon's own slots for the team, and their loan.
    loan: MemberLoan,
    credit: EntryCredit,
    waiting: WaitingQueue,
    /// Refunds that this daemon's own slots took.
    refunded: TokenCount,
    /// When the newest report was sent, and the newest charge that it includes.
    reported: Option<(ClockInstant, u64)>,
    /// Whether the ledger should get a report without delay.
    urgent: bool,
    /// The ledger, if this daemon is or was the holder of the role.
    ledger: Option<TeamLedger>,
    /// Host that has the role of the ledger, as this daemon sees it.
    holder: Option<HostId>,
}

/// Team shares of one daemon.
#[derive(Debug)]
pub struct ShareMachine {
    me: MemberId,
    timings: ShareTimings,
    status: ShareStatus,
    slots: OwnedSlots,
    /// Hosts among which the ledgers of the teams are assigned.
    serving: Vec<HostId>,
    teams: BTreeMap<TeamId, TeamState>,
}

impl ShareMachine {
    /// Creates the state of a daemon without teams, members and slots.
    pub fn new(me: MemberId, timings: ShareTimings) -> Self {
        Self {
            slots: OwnedSlots::new(me.clone(), timings),
            me,
            timings,
            status: ShareStatus::default(),
            serving: Vec::new(),
            teams: BTreeMap::new(),
        }
    }

    /// Sets the hosts among which the ledgers of the teams are assigned.
    pub fn set_members(&mut self, serving: Vec<HostId>) {
        if serving == self.serving {
            return;
        }
        self.serving = serving;
        for (team, state) in &mut self.teams {
            state.holder = role_holder(LEDGER_ROLE, team.as_str(), &self.serving).cloned();
        }
    }

    /// Sets the rates and bursts of all teams; charges of other teams are refused.
    pub fn set_teams(&mut self, teams: &BTreeMap<TeamId, TeamEntry>, now: ClockInstant) {
        for (team, state) in &mut self.teams {
            state.rates = teams.get(team).cloned();
        }
        for (team, rates) in teams {
            if !self.teams.contains_key(team) {
                let state = self.new_team(team, rates, now);
                self.teams.insert(team.clone(), state);
            }
        }
        self.update_parts(now);
    }

    fn new_team(&self, team: &TeamId, rates: &TeamEntry, now: ClockInstant) -> TeamState {
        TeamState {
            rates: Some(rates.clone()),
            loan: MemberLoan::new(self.timings, now),
            credit: EntryCredit::new(self.timings, now),
            waiting: WaitingQueue::default(),
            refunded: TokenCount(0),
            reported: None,
            urgent: false,
            ledger: None,
            holder: role_holder(LEDGER_ROLE, team.as_str(), &self.serving).cloned(),
        }
    }

    /// Applies a newer slot map.
    pub fn set_slots(&mut self, map: &SlotMap, now: ClockInstant) {
        self.slots.follow(map);
        self.update_parts(now);
    }

    /// Sets the status; must be called with the current status before every other call.
    pub fn set_status(&mut self, status: ShareStatus, now: ClockInstant) -> Vec<ShareAction> {
        let mut actions = Vec::new();
        self.status = status;
        if !self.knows_slots() {
            self.teams.values_mut().for_each(|state| state.loan.forget(now));
        }
        if !status.fresh {
            for state in self.teams.values_mut() {
                state.refuse_if(|_| true, &ShareRefusal::Unreachable, &mut actions);
            }
        }
        match self.slots.advance(status.slots_in_force, now) {
            SlotProgress::None => {}
            SlotProgress::Some => self.update_parts(now),
            SlotProgress::First => {
                self.update_parts(now);
                self.teams.values_mut().for_each(|state| state.loan.fill());
            }
        }
        actions
    }

    /// Returns whether the daemon has applied the newest slot map, so that none of its slots can
    /// have another owner.
    fn knows_slots(&self) -> bool {
        self.status.fresh && self.status.slots_known <= self.slots.change()
    }

    fn update_parts(&mut self, now: ClockInstant) {
        for state in self.teams.values_mut() {
            let part = state.rates.as_ref().map(|rates| self.slots.part_of(rates));
            state.loan.set_part(part.unwrap_or_default(), now);
        }
    }

    /// Charges a team for a request; the actions of this or a later call admit or refuse the
    /// request.
    pub fn charge(
        &mut self,
        request: RequestId,
        team: &TeamId,
        tokens: TokenCount,
        deadline: ClockInstant,
        now: ClockInstant,
    ) -> Vec<ShareAction> {
        let mut actions = Vec::new();
        if let Err(refusal) = self.check(team, tokens) {
            return vec![ShareAction::Refuse { request, refusal }];
        }
        if let Some(state) = self.teams.get_mut(team) {
            state.credit.note_demand(tokens);
            state.waiting.push(WaitingCharge {
                request,
                tokens,
                deadline,
                confirmed: now,
                expected: None,
            });
            state.urgent = true;
        }
        self.advance(team, now, &mut actions);
        self.deliver_own(actions, now)
    }

    fn check(&self, team: &TeamId, tokens: TokenCount) -> Result<(), ShareRefusal> {
        let state = self.teams.get(team).ok_or(ShareRefusal::Unreachable)?;
        let rates = state.rates.as_ref().ok_or(ShareRefusal::Unreachable)?;
        if !self.status.fresh {
            return Err(ShareRefusal::Unreachable);
        }
        if tokens > rates.burst {
            return Err(ShareRefusal::OverBurst { tokens, burst: rates.burst });
        }
        if state.waiting.is_full() {
            let retry_after = rates.rate.time_for(state.waiting.total());
            let retry_after = retry_after.unwrap_or(self.timings.loan_term);
            return Err(ShareRefusal::OverRate { retry_after });
        }
        Ok(())
    }

    /// Withdraws a waiting charge.
    pub fn withdraw(&mut self, request: RequestId, team: &TeamId) {
        if let Some(state) = self.teams.get_mut(team) {
            state.waiting.withdraw(request);
            state.urgent = true;
        }
    }

    /// Gives back unused tokens of an admitted request.
    pub fn refund(
        &mut self,
        team: &TeamId,
        tokens: TokenCount,
        now: ClockInstant,
    ) -> Vec<ShareAction> {
        let mut actions = Vec::new();
        if let Some(state) = self.teams.get_mut(team) {
            state.loan.settle(now);
            match state.loan.refund(tokens) {
                Some(taken) => state.refunded += taken,
                None => state.credit.refund(tokens),
            }
        }
        self.advance(team, now, &mut actions);
        self.deliver_own(actions, now)
    }

    /// Handles a message of another daemon.
    pub fn deliver(
        &mut self,
        from: &MemberId,
        message: &ShareMessage,
        now: ClockInstant,
    ) -> Vec<ShareAction> {
        let mut actions = Vec::new();
        self.handle(from, message, now, &mut actions);
        self.deliver_own(actions, now)
    }

    /// Handles all that is due; must be called every few tens of milliseconds.
    pub fn tick(&mut self, now: ClockInstant) -> Vec<ShareAction> {
        let mut actions = Vec::new();
        let teams: Vec<TeamId> = self.teams.keys().cloned().collect();
        for team in &teams {
            self.advance(team, now, &mut actions);
            self.tick_ledger(team, now, &mut actions);
        }
        self.deliver_own(actions, now)
    }

    /// Returns the sums of the counters of all ledgers on this host.
    pub fn ledger_counters(&self) -> LedgerCounters {
        let ledgers = self.teams.values().filter_map(|state| state.ledger.as_ref());
        ledgers.map(TeamLedger::counters).fold(LedgerCounters::default(), LedgerCounters::plus)
    }

    /// Returns the refunded tokens of a team that this daemon has made spendable again.
    pub fn refunds_taken(&self, team: &TeamId) -> TokenCount {
        let Some(state) = self.teams.get(team) else { return TokenCount(0) };
        let pooled = state.ledger.as_ref().map_or(0, |ledger| ledger.counters().refunded);
        state.refunded + TokenCount(pooled)
    }

    /// Returns what this daemon holds of a team's share; its own slots count only if it is `fresh`.
    pub fn holdings(&self, team: &TeamId, fresh: bool, now: ClockInstant) -> ShareHoldings {
        let Some(state) = self.teams.get(team) else { return ShareHoldings::default() };
        let mut holdings = ShareHoldings { tokens: state.credit.clone().settle(now), rate: 0 };
        let mut loan = state.loan.clone();
        let spendable = loan.settle(now);
        if loan.ledger().is_none() && fresh {
            holdings.tokens += spendable;
            holdings.rate += loan.part().rate.milli_tokens();
        }
        if let Some(ledger) = &state.ledger {
            let (balance, rate) = ledger.clone().pooled(now);
            holdings.tokens += balance;
            holdings.rate += rate.milli_tokens();
        }
        holdings
    }

    /// Returns the number of this daemon's usable slots.
    pub fn usable_slots(&self) -> usize {
        self.slots.usable_count()
    }

    /// Returns the number of waiting charges of all teams.
    pub fn waiting_charges(&self) -> usize {
        self.teams.values().map(|state| state.waiting.len()).sum()
    }

    fn tick_ledger(&mut self, team: &TeamId, now: ClockInstant, actions: &mut Vec<ShareAction>) {
        let Some(state) = self.teams.get_mut(team) else { return };
        let is_holder = state.holder.as_ref() == Some(&self.me.host) && state.rates.is_some();
        if is_holder && state.ledger.is_none() {
            state.ledger = Some(TeamLedger::new(self.timings, self.me.incarnation.0, now));
        }
        if let Some(ledger) = &mut state.ledger {
            let members = is_holder.then_some(self.serving.as_slice());
            let epoch = ledger.epoch();
            for (to, content) in ledger.tick(members, now) {
                let message = ShareMessage { team: team.clone(), epoch, content };
                actions.push(ShareAction::Send { to, message });
            }
        }
    }

    fn handle(
        &mut self,
        from: &MemberId,
        message: &ShareMessage,
        now: ClockInstant,
        actions: &mut Vec<ShareAction>,
    ) {
        let team = &message.team;
        let knows_slots = self.knows_slots();
        let Some(state) = self.teams.get_mut(team) else { return };
        let address = LedgerAddress { host: from.host.clone(), epoch: message.epoch };
        let ledger = state.ledger.as_mut().filter(|ledger| ledger.epoch() == message.epoch);
        let mut answers = Vec::new();
        match &message.content {
            ShareContent::LoanRequest(request) => {
                let from_holder = state.holder.as_ref() == Some(&from.host);
                if knows_slots && from_holder && state.rates.is_some() {
                    let loan = state.loan.answer(&address, *request, now);
                    let answer = loan.map(|loan| (from.host.clone(), ShareContent::Loan(loan)));
                    answers.extend(answer);
                }
            }
            ShareContent::Loan(loan) => {
                if let Some(ledger) = ledger {
                    ledger.accept_loan(from.clone(), loan, now);
                }
            }
            ShareContent::Release(release) => state.loan.release(&address, *release, now),
            ShareContent::Report(report) => {
                if let Some(ledger) = ledger {
                    answers = ledger.apply_report(from.clone(), report, now);
                }
            }
            ShareContent::Grant(grant) => {
                let for_me = grant.entry == self.me.incarnation;
                if for_me && state.credit.accept(&address, grant, now) {
                    state.serve(team, now, actions);
                    state.refuse_late_by(grant, now, actions);
                }
            }
            ShareContent::Recall => {
                // Return all of it: the credit is too little for the next charge, or none waits.
                if state.loan.ledger() == Some(&address) {
                    state.credit.give_back(TokenCount(0), now);
                    state.urgent = true;
                }
            }
        }
        for (to, content) in answers {
            let message = ShareMessage { team: team.clone(), epoch: message.epoch, content };
            actions.push(ShareAction::Send { to, message });
        }
        self.advance(team, now, actions);
    }

    /// Admits or refuses waiting charges of one team, and reports to its ledger if a report is due.
    fn advance(&mut self, team: &TeamId, now: ClockInstant, actions: &mut Vec<ShareAction>) {
        let timings = self.timings;
        let Some(state) = self.teams.get_mut(team) else { return };
        state.loan.settle(now);
        if state.credit.follow(state.loan.ledger()) {
            state.waiting.forget_estimates();
        }
        state.credit.advance_demand(now);
        if state.loan.ledger().is_none() {
            let refund = state.credit.take_refund();
            state.refunded += state.loan.refund(refund).unwrap_or_default();
        }
        state.serve(team, now, actions);
        state.refuse_overdue(&timings, now, actions);
        state.refuse_late_locally(&timings, now, actions);
        state.report(team, now, actions);
    }

    /// Handles messages to this host directly; returns the other actions.
    fn deliver_own(&mut self, actions: Vec<ShareAction>, now: ClockInstant) -> Vec<ShareAction> {
        let (me, mut rest) = (self.me.clone(), Vec::new());
        let mut pending = std::collections::VecDeque::from(actions);
        while let Some(action) = pending.pop_front() {
            match action {
                ShareAction::Send { to, message } if to == me.host => {
                    let mut further = Vec::new();
                    self.handle(&me, &message, now, &mut further);
                    pending.extend(further);
                }
                other => rest.push(other),
            }
        }
        rest
    }
}

impl TeamState {
    /// Admits waiting charges in order of arrival while the available tokens cover them.
    fn serve(&mut self, team: &TeamId, now: ClockInstant, actions: &mut Vec<ShareAction>) {
        let local = self.loan.ledger().is_none();
        let mut left = if local { self.loan.settle(now) } else { self.credit.settle(now) };
        while let Some(charge) = self.waiting.front().copied() {
            if charge.tokens > left {
                return;
            }
            left -= charge.tokens;
            if local {
                self.loan.take(charge.tokens);
            } else {
                self.credit.spend(charge.tokens);
            }
            self.waiting.pop();
            let WaitingCharge { request, tokens, .. } = charge;
            actions.push(ShareAction::Admit { request, team: team.clone(), tokens });
        }
    }

    /// Refuses charges whose deadline has passed, and those for which no estimate has come for so
    /// long that the ledger must be unreachable.
    fn refuse_overdue(
        &mut self,
        timings: &ShareTimings,
        now: ClockInstant,
        actions: &mut Vec<ShareAction>,
    ) {
        let retry_after = timings.loan_term;
        let refusal = ShareRefusal::OverRate { retry_after };
        self.refuse_if(|charge| charge.deadline <= now, &refusal, actions);
        let timeout = timings.loan_term + timings.renewal_period * 2;
        let unconfirmed = |charge: &WaitingCharge| now.since(charge.confirmed) > timeout;
        self.refuse_if(unconfirmed, &ShareRefusal::Unreachable, actions);
    }

    fn refuse_if<F>(&mut self, refused: F, refusal: &ShareRefusal, actions: &mut Vec<ShareAction>)
    where
        F: FnMut(&WaitingCharge) -> bool,
    {
        for charge in self.waiting.remove_if(refused) {
            self.urgent = true;
            let (request, refusal) = (charge.request, refusal.clone());
            actions.push(ShareAction::Refuse { request, refusal });
        }
    }

    /// Refuses charges that are too late by the wait that a grant states.
    fn refuse_late_by(
        &mut self,
        grant: &CreditGrant,
        now: ClockInstant,
        actions: &mut Vec<ShareAction>,
    ) {
        let CreditGrant { sent, rate, burst, .. } = *grant;
        // The wait in an answer to an older report doesn't include the charges since.
        let reported = self.reported.filter(|(report, _)| *report == sent);
        if let Some((wait, (_, last))) = grant.wait.zip(reported) {
            let estimate = WaitEstimate { last, wait, rate, burst };
            self.refuse_late(&estimate, now, actions);
        }
    }

    /// Refuses charges that are too late by the rate of the member's own slots, if these have not
    /// been lent for two renewal periods.
    fn refuse_late_locally(
        &mut self,
        timings: &ShareTimings,
        now: ClockInstant,
        actions: &mut Vec<ShareAction>,
    ) {
        let since = self.loan.local_since();
        if since.is_none_or(|since| now.since(since) < timings.renewal_period * 2) {
            return;
        }
        let part = self.loan.part();
        let missing = self.waiting.total() - self.loan.settle(now);
        if let Some(wait) = part.rate.time_for(missing) {
            let (rate, burst) = (part.rate, part.burst);
            let last = self.waiting.last_number();
            self.refuse_late(&WaitEstimate { last, wait, rate, burst }, now, actions);
        }
    }

    fn refuse_late(
        &mut self,
        estimate: &WaitEstimate,
        now: ClockInstant,
        actions: &mut Vec<ShareAction>,
    ) {
        for (charge, retry_after) in self.waiting.remove_late(estimate, now) {
            self.urgent = true;
            let refusal = ShareRefusal::OverRate { retry_after };
            actions.push(ShareAction::Refuse { request: charge.request, refusal });
        }
    }

    fn report(&mut self, team: &TeamId, now: ClockInstant, actions: &mut Vec<ShareAction>) {
        let Some(ledger) = self.loan.ledger().cloned() else { return };
        let need = self.waiting.total() - self.credit.settle(now);
        if !self.credit.report_due(need, self.urgent, now) {
            return;
        }
        self.urgent = false;
        let report = self.credit.report(need, now);
        self.reported = Some((report.sent, self.waiting.last_number()));
        let content = ShareContent::Report(report);
        let message = ShareMessage { team: team.clone(), epoch: ledger.epoch, content };
        actions.push(ShareAction::Send { to: ledger.host, message });
    }
}
