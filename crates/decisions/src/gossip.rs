//! What a daemon sends and reads to stay fresh and to follow the log.

use std::time::Duration;

use dotterellane_protocol::{GossipMessage, LogEntry, LogPosition, MemberId};
use dotterellane_units::{ClockInstant, HostId};

use crate::freshness::FreshnessMachine;
use crate::membership::MemberLists;
use crate::rounds::RoundPlanner;

/// Peers that a daemon carries a new entry on to.
pub const SPREAD_COUNT: usize = 3;

/// Time that peers have to hand on an entry before the table is asked.
pub const FETCH_DELAY: Duration = Duration::from_millis(200);

/// Time over which the daemons spread their reads of one entry.
pub const FETCH_SPREAD: Duration = Duration::from_millis(600);

/// What the daemon shall do.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: HostId,
        /// The message.
        message: GossipMessage,
    },
    /// Read the head of the log from the table.
    ReadTable,
    /// Follow the log up to this position from the table.
    FetchEntries(LogPosition),
    /// Follow this entry if it is the next one.
    Follow {
        /// Peer that sent it.
        from: HostId,
        /// The entry.
        entry: LogEntry,
    },
    /// Send this entry to a peer if it is kept.
    Supply {
        /// The peer.
        to: HostId,
        /// Position of the entry.
        position: LogPosition,
    },
}

/// When the entry after `followed` is asked of the table.
#[derive(Clone, Copy, Debug)]
struct FetchTime {
    followed: LogPosition,
    due: ClockInstant,
}

/// Gossip of one daemon.
#[derive(Clone, Debug)]
pub struct GossipMachine {
    /// Freshness of the daemon.
    pub freshness: FreshnessMachine,
    /// Plans the rounds.
    pub planner: RoundPlanner,
    fetch: Option<FetchTime>,
}

impl GossipMachine {
    /// Starts an incarnation that knows nothing, with random choices from `seed`.
    pub fn new(own: MemberId, seed: u64) -> Self {
        Self {
            freshness: FreshnessMachine::new(own),
            planner: RoundPlanner::new(seed),
            fetch: None,
        }
    }

    /// Does the round at `now`; one is due every [`crate::rounds::ROUND_PERIOD`].
    pub fn round(&mut self, now: ClockInstant) -> Vec<GossipAction> {
        self.freshness.step(now);
        let plan = self.planner.plan(&self.freshness, now);
        let mut actions = Vec::new();
        if let Some(to) = plan.ask {
            let call = self.planner.call_number();
            let question = self.freshness.ask(&to, call, now, plan.wants_heard);
            actions.push(GossipAction::Send { to, message: GossipMessage::Question(question) });
        }
        if plan.reads_table {
            actions.push(GossipAction::ReadTable);
        }
        actions.extend(self.fetch_missing(now));
        actions
    }

    /// Handles a message of `from`, received by `now`.
    pub fn handle(
        &mut self,
        from: &MemberId,
        message: &GossipMessage,
        now: ClockInstant,
    ) -> Vec<GossipAction> {
        let to = from.host.clone();
        let mut actions = Vec::new();
        match message {
            GossipMessage::Question(question) => {
                self.freshness.learn_heads(from, question.heads, now);
                if question.leaving {
                    self.freshness.note_leaving(from);
                }
                let message = GossipMessage::Answer(self.freshness.answer(question, now));
                actions.push(GossipAction::Send { to, message });
            }
            GossipMessage::Answer(answer) => {
                self.freshness.hear(from, answer, now);
            }
            GossipMessage::Entry(entry) => {
                self.freshness.learn_position(entry.position);
                let entry = entry.clone();
                return vec![GossipAction::Follow { from: to, entry }];
            }
            GossipMessage::EntryRequest(position) => {
                return vec![GossipAction::Supply { to, position: *position }];
            }
            GossipMessage::Confirmation(heads) => {
                self.freshness.learn_heads(from, *heads, now);
            }
        }
        actions.extend(self.want_next(&from.host));
        actions
    }

    /// Notes that `entry` is followed, after which the member lists are `lists`.
    pub fn followed(
        &mut self,
        entry: &LogEntry,
        lists: &MemberLists,
        now: ClockInstant,
    ) -> Vec<GossipAction> {
        self.freshness.follow(entry.position, lists, now);
        let peers = self.planner.spread(&self.freshness, now, SPREAD_COUNT);
        let pushed = peers.into_iter().map(|to| {
            let message = GossipMessage::Entry(entry.clone());
            GossipAction::Send { to, message }
        });
        let mut actions: Vec<GossipAction> = pushed.collect();
        if entry.author != self.freshness.own().host {
            let message = GossipMessage::Confirmation(self.freshness.heads());
            actions.push(GossipAction::Send { to: entry.author.clone(), message });
        }
        actions
    }

    /// Asks `from` for what comes before or after `entry`, which it sent; an entry that was next
    /// but could not be followed is not asked for again.
    pub fn after_entry(&self, from: &HostId, entry: &LogEntry) -> Option<GossipAction> {
        let next = self.freshness.heads().followed.next();
        if entry.position == next { None } else { self.want_next(from) }
    }

    /// Asks `peer` for the next entry if there is one that is not followed.
    pub fn want_next(&self, peer: &HostId) -> Option<GossipAction> {
        let heads = self.freshness.heads();
        let message = GossipMessage::EntryRequest(heads.followed.next());
        (heads.followed < heads.known).then(|| GossipAction::Send { to: peer.clone(), message })
    }

    fn fetch_missing(&mut self, now: ClockInstant) -> Vec<GossipAction> {
        let heads = self.freshness.heads();
        if heads.followed >= heads.known {
            self.fetch = None;
            return Vec::new();
        }
        let peer = self.planner.spread(&self.freshness, now, 1).pop();
        let mut actions: Vec<GossipAction> =
            peer.and_then(|peer| self.want_next(&peer)).into_iter().collect();
        let waits =
            self.fetch.is_some_and(|fetch| fetch.followed == heads.followed && now < fetch.due);
        if waits {
            return actions;
        }
        if self.fetch.is_some_and(|fetch| fetch.followed == heads.followed) {
            actions.push(GossipAction::FetchEntries(heads.known));
        }
        let due = now + FETCH_DELAY + FETCH_SPREAD.mul_f64(self.planner.random_share());
        self.fetch = Some(FetchTime { followed: heads.followed, due });
        actions
    }
}
