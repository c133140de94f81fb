//! Gossip protocol by which a daemon stays fresh and follows the replicated log, see
//! [`crate::freshness`].

use std::time::Duration;

use dotterellane_protocol::{GossipMessage, LogEntry, LogPosition, MemberId};
use dotterellane_units::{ClockInstant, HostId};

use crate::freshness::FreshnessMachine;
use crate::membership::MemberLists;
use crate::rounds::RoundPlanner;

/// Number of random peers that a daemon forwards a new entry to.
pub const FANOUT: usize = 3;

/// Least time to wait for a missing entry from peers before it is read from the table.
pub const FETCH_DELAY: Duration = Duration::from_millis(200);

/// Greatest random addition to [`FETCH_DELAY`], which spreads the daemons' reads of an entry.
pub const FETCH_JITTER: Duration = Duration::from_millis(600);

/// Action that the machine requests from its daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    /// Send a message to a peer.
    Send {
        /// Host that the message is sent to.
        to: HostId,
        /// Content of the message.
        message: GossipMessage,
    },
    /// Read the head of the log from the table.
    ReadTable,
    /// Read the entries up to this position from the table and follow them.
    FetchEntries(LogPosition),
    /// Follow an entry if it is the next one of the log.
    Follow {
        /// Host that sent the entry.
        from: HostId,
        /// Entry to follow.
        entry: LogEntry,
    },
    /// Send an entry to a peer if this daemon has stored it.
    SendEntry {
        /// Host that the entry is sent to.
        to: HostId,
        /// Position of the entry in the log.
        position: LogPosition,
    },
}

/// When the entry after `followed` is read from the table.
#[derive(Clone, Copy, Debug)]
struct FetchSchedule {
    followed: LogPosition,
    due: ClockInstant,
}

/// State machine for the gossip of one daemon.
#[derive(Clone, Debug)]
pub struct GossipMachine {
    /// Determines the daemon's freshness.
    pub freshness: FreshnessMachine,
    /// Plans the rounds: which peer to ask and when to read the table.
    pub planner: RoundPlanner,
    fetch: Option<FetchSchedule>,
}

impl GossipMachine {
    /// Returns the state of a new incarnation, which makes its random choices from `seed`.
    pub fn new(own: MemberId, seed: u64) -> Self {
        Self {
            freshness: FreshnessMachine::new(own),
            planner: RoundPlanner::new(seed),
            fetch: None,
        }
    }

    /// Runs one round at `now`; called every [`crate::rounds::ROUND_PERIOD`].
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

    /// Handles a message from `from` that was received at `now` or before.
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
                self.freshness.on_answer(from, answer, now);
            }
            GossipMessage::Entry(entry) => {
                self.freshness.learn_position(entry.position);
                let entry = entry.clone();
                return vec![GossipAction::Follow { from: to, entry }];
            }
            GossipMessage::EntryRequest(position) => {
                return vec![GossipAction::SendEntry { to, position: *position }];
            }
            GossipMessage::Confirmation(heads) => {
                self.freshness.learn_heads(from, *heads, now);
            }
        }
        actions.extend(self.request_next(&from.host));
        actions
    }

    /// Records that the daemon follows `entry`, after which the member lists are `lists`.
    ///
    /// Returns the messages that forward the entry to random peers and confirm it to its author.
    pub fn on_followed(
        &mut self,
        entry: &LogEntry,
        lists: &MemberLists,
        now: ClockInstant,
    ) -> Vec<GossipAction> {
        self.freshness.follow(entry.position, lists, now);
        let peers = self.planner.random_peers(&self.freshness, now, FANOUT);
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

    /// Requests the next missing entry from `from`, which sent `entry`.
    ///
    /// Nothing is requested if `entry` itself is the next one: it could not be followed.
    pub fn request_missing(&self, from: &HostId, entry: &LogEntry) -> Option<GossipAction> {
        let next = self.freshness.heads().followed.next();
        if entry.position == next { None } else { self.request_next(from) }
    }

    /// Requests the next entry from `peer` if an entry is known that the daemon does not follow.
    pub fn request_next(&self, peer: &HostId) -> Option<GossipAction> {
        let heads = self.freshness.heads();
        let message = GossipMessage::EntryRequest(heads.followed.next());
        (heads.followed < heads.known).then(|| GossipAction::Send { to: peer.clone(), message })
    }

    /// Requests a missing entry from a random peer, and from the table once its read is due.
    fn fetch_missing(&mut self, now: ClockInstant) -> Vec<GossipAction> {
        let heads = self.freshness.heads();
        if heads.followed >= heads.known {
            self.fetch = None;
            return Vec::new();
        }
        let peer = self.planner.random_peers(&self.freshness, now, 1).pop();
        let mut actions: Vec<GossipAction> =
            peer.and_then(|peer| self.request_next(&peer)).into_iter().collect();
        let waits =
            self.fetch.is_some_and(|fetch| fetch.followed == heads.followed && now < fetch.due);
        if waits {
            return actions;
        }
        if self.fetch.is_some_and(|fetch| fetch.followed == heads.followed) {
            actions.push(GossipAction::FetchEntries(heads.known));
        }
        let due = now + FETCH_DELAY + FETCH_JITTER.mul_f64(self.planner.random_share());
        self.fetch = Some(FetchSchedule { followed: heads.followed, due });
        actions
    }
}
