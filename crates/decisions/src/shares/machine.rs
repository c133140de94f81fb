//! All shares of one daemon: member, entry and ledger of every team.

use std::collections::BTreeMap;
use std::time::Duration;

use dotterellane_protocol::shares::{CreditGrant, ShareContent};
use dotterellane_protocol::{MemberId, ShareMessage};
use dotterellane_settings::document::TeamEntry;
use dotterellane_units::{ClockInstant, HostId, RequestId, TeamId, TokenCount};
use thiserror::Error;

use super::credit::EntryCredit;
use super::ledger::{LedgerCounters, TeamLedger};
use super::pledges::{LedgerAddress, MemberPledge};
use super::slots::{OwnedSlots, SlotMap, SlotProgress};
use super::timings::ShareTimings;
use super::waiting::{WaitEstimate, WaitingCharge, WaitingQueue};
use crate::rendezvous::role_holder;

/// Role under which a team's ledger is found.
pub const LEDGER_ROLE: &str = "ledger";

/// What the daemon knows of its own standing in the fleet.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareStanding {
    /// Whether the daemon knows all hard state that is in force.
    pub fresh: bool,
    /// Number of the newest change of the slot map that the daemon knows of.
    pub slots_known: u64,
    /// Number of the newest change of the slot map that is in force.
    pub slots_in_force: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum ShareAction {
    /// Send a message to another daemon.
    Send {
        /// Where it goes.
        to: HostId,
        /// The message.
        message: ShareMessage,
    },
    /// A charge was made.
    Admit {
        /// Request that was charged for.
        request: RequestId,
        /// Team that paid.
        team: TeamId,
        /// Tokens charged.
        tokens: TokenCount,
    },
    /// A charge was refused.
    Refuse {
        /// Request that is refused.
        request: RequestId,
        /// Why.
        refusal: ShareRefusal,
    },
}

/// Why a charge was refused.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Error)]
pub enum ShareRefusal {
    /// The tokens do not come before the deadline.
    #[error("over rate; tokens come after {retry_after:?}")]
    OverRate {
        /// When the tokens will be there at the earliest.
        retry_after: Duration,
    },
    /// The request needs more than the team's burst.
    #[error("{tokens} tokens are more than the burst of {burst}")]
    OverBurst {
        /// Tokens needed.
        tokens: TokenCount,
        /// The team's burst.
        burst: TokenCount,
    },
    /// The team is unknown, the daemon is not fresh, or no ledger answered.
    #[error("the share cannot be reached")]
    Unreachable,
}

/// What one daemon holds of a team's share.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareHoldings {
    /// Tokens that it could spend or grant.
    pub tokens: TokenCount,
    /// Rate at which it adds tokens, in thousandths of a token a second.
    pub rate: u64,
}

#[derive(Debug)]
struct TeamState {
    rates: Option<TeamEntry>,
    member: MemberPledge,
    credit: EntryCredit,
    waiting: WaitingQueue,
    /// Refunds that this daemon's own slots took.
    refunded: TokenCount,
    /// When the newest report was sent, and the newest charge that it includes.
    reported: Option<(ClockInstant, u64)>,
    urgent: bool,
    ledger: Option<TeamLedger>,
    holder: Option<HostId>,
}

/// All shares of one daemon.
#[derive(Debug)]
pub struct ShareMachine {
    me: MemberId,
    timings: ShareTimings,
    standing: ShareStanding,
    slots: OwnedSlots,
    serving: Vec<HostId>,
    teams: BTreeMap<TeamId, TeamState>,
}

impl ShareMachine {
    /// Starts without teams, members and slots.
    pub fn new(me: MemberId, timings: ShareTimings) -> Self {
        Self {
            slots: OwnedSlots::new(me.clone(), timings),
            me,
            timings,
            standing: ShareStanding::default(),
            serving: Vec::new(),
            teams: BTreeMap::new(),
        }
    }

    /// Sets the members that roles are assigned to.
    pub fn set_members(&mut self, serving: Vec<HostId>) {
        if serving == self.serving {
            return;
        }
        self.serving = serving;
        for (team, state) in &mut self.teams {
            state.holder = role_holder(LEDGER_ROLE, team.as_str(), &self.serving).cloned();
        }
    }

    /// Sets rates and bursts; a team that is not listed any more is refused.
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
            member: MemberPledge::new(self.timings, now),
            credit: EntryCredit::new(self.timings, now),
            waiting: WaitingQueue::default(),
            refunded: TokenCount(0),
            reported: None,
            urgent: false,
            ledger: None,
            holder: role_holder(LEDGER_ROLE, team.as_str(), &self.serving).cloned(),
        }
    }

    /// Follows a newer slot map.
    pub fn set_slots(&mut self, map: &SlotMap, now: ClockInstant) {
        self.slots.follow(map);
        self.update_parts(now);
    }

    /// Sets the standing; must come before any other call at a later moment.
    pub fn set_standing(&mut self, standing: ShareStanding, now: ClockInstant) -> Vec<ShareAction> {
        let mut actions = Vec::new();
        self.standing = standing;
        if !self.knows_slots() {
            self.teams.values_mut().for_each(|state| state.member.forget(now));
        }
        if !standing.fresh {
            for state in self.teams.values_mut() {
                state.refuse_if(|_| true, &ShareRefusal::Unreachable, &mut actions);
            }
        }
        match self.slots.advance(standing.slots_in_force, now) {
            SlotProgress::None => {}
            SlotProgress::Some => self.update_parts(now),
            SlotProgress::First => {
                self.update_parts(now);
                self.teams.values_mut().for_each(|state| state.member.fill());
            }
        }
        actions
    }

    /// Tells whether no slot can have moved to another owner without this daemon's knowledge.
    fn knows_slots(&self) -> bool {
        self.standing.fresh && self.standing.slots_known <= self.slots.change()
    }

    fn update_parts(&mut self, now: ClockInstant) {
        for state in self.teams.values_mut() {
            let part = state.rates.as_ref().map(|rates| self.slots.part_of(rates));
            state.member.set_part(part.unwrap_or_default(), now);
        }
    }

    /// Charges a team; the answer is an action, at once or later.
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
                judged: now,
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
        if !self.standing.fresh {
            return Err(ShareRefusal::Unreachable);
        }
        if tokens > rates.burst {
            return Err(ShareRefusal::OverBurst { tokens, burst: rates.burst });
        }
        if state.waiting.is_full() {
            let retry_after = rates.rate.time_for(state.waiting.total());
            let retry_after = retry_after.unwrap_or(self.timings.pledge_term);
            return Err(ShareRefusal::OverRate { retry_after });
        }
        Ok(())
    }

    /// Withdraws a charge that waits.
    pub fn withdraw(&mut self, request: RequestId, team: &TeamId) {
        if let Some(state) = self.teams.get_mut(team) {
            state.waiting.withdraw(request);
            state.urgent = true;
        }
    }

    /// Gives back tokens of a charge that were not used.
    pub fn refund(
        &mut self,
        team: &TeamId,
        tokens: TokenCount,
        now: ClockInstant,
    ) -> Vec<ShareAction> {
        let mut actions = Vec::new();
        if let Some(state) = self.teams.get_mut(team) {
            state.member.settle(now);
            match state.member.refund(tokens) {
                Some(taken) => state.refunded += taken,
                None => state.credit.refund(tokens),
            }
        }
        self.advance(team, now, &mut actions);
        self.deliver_own(actions, now)
    }

    /// Takes a message of another daemon.
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

    /// Does what is due; to be called every few tens of milliseconds.
    pub fn tick(&mut self, now: ClockInstant) -> Vec<ShareAction> {
        let mut actions = Vec::new();
        let teams: Vec<TeamId> = self.teams.keys().cloned().collect();
        for team in &teams {
            self.advance(team, now, &mut actions);
            self.tick_ledger(team, now, &mut actions);
        }
        self.deliver_own(actions, now)
    }

    /// Returns the counters of the ledgers on this host, summed up.
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

    /// Returns what this daemon holds of a team's share now, if it is as `fresh` as told.
    pub fn holdings(&self, team: &TeamId, fresh: bool, now: ClockInstant) -> ShareHoldings {
        let Some(state) = self.teams.get(team) else { return ShareHoldings::default() };
        let mut holdings = ShareHoldings { tokens: state.credit.clone().settle(now), rate: 0 };
        let mut member = state.member.clone();
        let spendable = member.settle(now);
        if member.ledger().is_none() && fresh {
            holdings.tokens += spendable;
            holdings.rate += member.part().rate.milli_tokens();
        }
        if let Some(ledger) = &state.ledger {
            let (level, rate) = ledger.clone().pooled(now);
            holdings.tokens += level;
            holdings.rate += rate.milli_tokens();
        }
        holdings
    }

    /// Returns the number of slots in use.
    pub fn usable_slots(&self) -> usize {
        self.slots.usable_count()
    }

    /// Returns the number of charges that wait.
    pub fn waiting_charges(&self) -> usize {
        self.teams.values().map(|state| state.waiting.len()).sum()
    }

    fn tick_ledger(&mut self, team: &TeamId, now: ClockInstant, actions: &mut Vec<ShareAction>) {
        let Some(state) = self.teams.get_mut(team) else { return };
        let held = state.holder.as_ref() == Some(&self.me.host) && state.rates.is_some();
        if held && state.ledger.is_none() {
            state.ledger = Some(TeamLedger::new(self.timings, self.me.incarnation.0, now));
        }
        if let Some(ledger) = &mut state.ledger {
            let members = held.then_some(self.serving.as_slice());
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
                let followed = state.holder.as_ref() == Some(&from.host);
                if knows_slots && followed && state.rates.is_some() {
                    let pledge = state.member.answer(&address, *request, now);
                    let answer =
                        pledge.map(|pledge| (from.host.clone(), ShareContent::Loan(pledge)));
                    answers.extend(answer);
                }
            }
            ShareContent::Loan(pledge) => {
                if let Some(ledger) = ledger {
                    ledger.count_pledge(from.clone(), pledge, now);
                }
            }
            ShareContent::Release(release) => state.member.release(&address, *release, now),
            ShareContent::Report(report) => {
                if let Some(ledger) = ledger {
                    answers = ledger.take_report(from.clone(), report, now);
                }
            }
            ShareContent::Grant(grant) => {
                let mine = grant.entry == self.me.incarnation;
                if mine && state.credit.accept(&address, grant, now) {
                    state.serve(team, now, actions);
                    state.judge_by(grant, now, actions);
                }
            }
            ShareContent::Recall => {
                // What is left is too little for the next charge, or nothing waits.
                if state.member.ledger() == Some(&address) {
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

    /// Serves what waits for one team and reports to its ledger when that is due.
    fn advance(&mut self, team: &TeamId, now: ClockInstant, actions: &mut Vec<ShareAction>) {
        let timings = self.timings;
        let Some(state) = self.teams.get_mut(team) else { return };
        state.member.settle(now);
        if state.credit.follow(state.member.ledger()) {
            state.waiting.forget_estimates();
        }
        state.credit.advance_demand(now);
        if state.member.ledger().is_none() {
            let refund = state.credit.take_refund();
            state.refunded += state.member.refund(refund).unwrap_or_default();
        }
        state.serve(team, now, actions);
        state.refuse_overdue(&timings, now, actions);
        state.judge_alone(&timings, now, actions);
        state.report(team, now, actions);
    }

    /// Hands messages to this host over without the network.
    fn deliver_own(&mut self, actions: Vec<ShareAction>, now: ClockInstant) -> Vec<ShareAction> {
        let (me, mut rest) = (self.me.clone(), Vec::new());
        let mut open = std::collections::VecDeque::from(actions);
        while let Some(action) = open.pop_front() {
            match action {
                ShareAction::Send { to, message } if to == me.host => {
                    let mut further = Vec::new();
                    self.handle(&me, &message, now, &mut further);
                    open.extend(further);
                }
                other => rest.push(other),
            }
        }
        rest
    }
}

impl TeamState {
    /// Admits waiting charges that the tokens at hand cover, first come first served.
    fn serve(&mut self, team: &TeamId, now: ClockInstant, actions: &mut Vec<ShareAction>) {
        let alone = self.member.ledger().is_none();
        let mut left = if alone { self.member.settle(now) } else { self.credit.settle(now) };
        while let Some(charge) = self.waiting.front().copied() {
            if charge.tokens > left {
                return;
            }
            left -= charge.tokens;
            if alone {
                self.member.take(charge.tokens);
            } else {
                self.credit.spend(charge.tokens);
            }
            self.waiting.pop();
            let WaitingCharge { request, tokens, .. } = charge;
            actions.push(ShareAction::Admit { request, team: team.clone(), tokens });
        }
    }

    /// Refuses charges whose deadline has come or of which no ledger tells when they are met.
    fn refuse_overdue(
        &mut self,
        timings: &ShareTimings,
        now: ClockInstant,
        actions: &mut Vec<ShareAction>,
    ) {
        let retry_after = timings.pledge_term;
        let refusal = ShareRefusal::OverRate { retry_after };
        self.refuse_if(|charge| charge.deadline <= now, &refusal, actions);
        let patience = timings.pledge_term + timings.renewal_period * 2;
        let unheard = |charge: &WaitingCharge| now.since(charge.judged) > patience;
        self.refuse_if(unheard, &ShareRefusal::Unreachable, actions);
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

    fn judge_by(&mut self, grant: &CreditGrant, now: ClockInstant, actions: &mut Vec<ShareAction>) {
        let CreditGrant { sent, rate, burst, .. } = *grant;
        // A wait that answers an older report does not tell of the charges since.
        let reported = self.reported.filter(|(report, _)| *report == sent);
        if let Some((wait, (_, last))) = grant.wait.zip(reported) {
            let estimate = WaitEstimate { last, wait, rate, burst };
            self.judge(&estimate, now, actions);
        }
    }

    /// Judges by the member's own slots when no ledger has come for two renewal periods.
    fn judge_alone(
        &mut self,
        timings: &ShareTimings,
        now: ClockInstant,
        actions: &mut Vec<ShareAction>,
    ) {
        let since = self.member.alone_since();
        if since.is_none_or(|since| now.since(since) < timings.renewal_period * 2) {
            return;
        }
        let part = self.member.part();
        let missing = self.waiting.total() - self.member.settle(now);
        if let Some(wait) = part.rate.time_for(missing) {
            let (rate, burst) = (part.rate, part.burst);
            let last = self.waiting.last_number();
            self.judge(&WaitEstimate { last, wait, rate, burst }, now, actions);
        }
    }

    fn judge(
        &mut self,
        estimate: &WaitEstimate,
        now: ClockInstant,
        actions: &mut Vec<ShareAction>,
    ) {
        for (charge, retry_after) in self.waiting.judge(estimate, now) {
            self.urgent = true;
            let refusal = ShareRefusal::OverRate { retry_after };
            actions.push(ShareAction::Refuse { request: charge.request, refusal });
        }
    }

    fn report(&mut self, team: &TeamId, now: ClockInstant, actions: &mut Vec<ShareAction>) {
        let Some(ledger) = self.member.ledger().cloned() else { return };
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
