//! Drives freshness and the following of the log: rounds of questions, reads of the table.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_protocol::{GossipMessage, LogPosition, MemberSeat, PeerMessage};
use dotterellane_units::HostId;

use crate::PeerInbox;
use crate::control::FleetControl;
use crate::log_store::LogError;

/// Time that peers have to hand on an entry before the table is asked.
const FETCH_DELAY: Duration = Duration::from_millis(200);

/// Time over which the daemons spread their reads of one entry.
const FETCH_SPREAD: Duration = Duration::from_millis(600);

impl FleetControl {
    /// Does one round.
    pub(crate) fn round(self: &Arc<Self>) {
        let mut guard = self.state();
        let state = &mut *guard;
        let now = self.clock.now();
        state.machine.step(now);
        let plan = state.planner.plan(&state.machine, now);
        let call = state.planner.call_number();
        let question =
            plan.ask.map(|host| (state.machine.ask(&host, call, now, plan.wants_heard), host));
        let heads = state.machine.heads();
        let helper = state.planner.spread(&state.machine, now, 1).pop();
        self.publish_heads(state);
        self.publish_members(state);
        drop(guard);
        if let Some((question, host)) = question {
            self.send(&host, GossipMessage::Question(question));
        }
        if plan.reads_table && self.reading.raise() {
            self.spawn(
                |control| async move { control.read_table().await },
                |control| control.reading.lower(),
            );
        }
        if heads.followed < heads.known {
            self.fetch_missing(heads.followed, heads.known, helper);
        }
    }

    /// Handles the messages of peers until the inbox closes.
    pub(crate) async fn receive(self: Arc<Self>, mut inbox: PeerInbox) {
        while let Some(delivery) = inbox.recv().await {
            let from =
                MemberSeat { host: delivery.from.clone(), incarnation: delivery.incarnation };
            match &delivery.message {
                PeerMessage::Gossip(message) => self.handle(&from, message),
                PeerMessage::Shares(_) | PeerMessage::Dispatch(_) | PeerMessage::Placement(_) => {}
            }
        }
    }

    fn handle(self: &Arc<Self>, from: &MemberSeat, message: &GossipMessage) {
        match message {
            GossipMessage::Question(question) => {
                let answer = {
                    let mut state = self.state();
                    let now = self.clock.now();
                    state.machine.learn_heads(from, question.heads, now);
                    if question.leaving {
                        state.machine.note_leaving(from);
                    }
                    self.publish_heads(&state);
                    state.machine.answer(question, now)
                };
                self.send(&from.host, GossipMessage::Answer(answer));
            }
            GossipMessage::Answer(answer) => {
                let mut state = self.state();
                let now = self.clock.now();
                state.machine.hear(from, answer, now);
                self.publish_heads(&state);
            }
            GossipMessage::Entry(entry) => {
                self.take_entry(entry);
                self.learn_position(entry.position);
            }
            GossipMessage::EntryWanted(position) => {
                let entry = self.state().log.entry(*position).cloned();
                if let Some(entry) = entry {
                    self.send(&from.host, GossipMessage::Entry(entry));
                }
                return;
            }
            GossipMessage::Confirmation(heads) => {
                let mut state = self.state();
                let now = self.clock.now();
                state.machine.learn_heads(from, *heads, now);
                self.publish_heads(&state);
            }
        }
        self.want_next(&from.host);
    }

    /// Asks `peer` for the next entry if there is one that is not followed.
    fn want_next(&self, peer: &HostId) {
        let heads = self.state().machine.heads();
        if heads.followed < heads.known {
            self.send(peer, GossipMessage::EntryWanted(heads.followed.next()));
        }
    }

    fn learn_position(&self, position: LogPosition) {
        let mut state = self.state();
        state.machine.learn_position(position);
        self.publish_heads(&state);
    }

    fn fetch_missing(
        self: &Arc<Self>,
        followed: LogPosition,
        known: LogPosition,
        peer: Option<HostId>,
    ) {
        if let Some(peer) = peer {
            self.send(&peer, GossipMessage::EntryWanted(followed.next()));
        }
        if self.catching.raise() {
            self.spawn(
                move |control| async move { control.catch_up_late(followed, known).await },
                |control| control.catching.lower(),
            );
        }
    }

    /// Leaves the peers some time before the table is asked.
    async fn catch_up_late(
        self: Arc<Self>,
        followed: LogPosition,
        known: LogPosition,
    ) -> Result<(), LogError> {
        let spread = self.state().planner.random_share();
        tokio::time::sleep(FETCH_DELAY + FETCH_SPREAD.mul_f64(spread)).await;
        // With the peers' help it moves on and needs no table.
        if self.state().machine.heads().followed > followed {
            return Ok(());
        }
        self.catch_up(known).await
    }

    async fn read_table(self: Arc<Self>) -> Result<(), LogError> {
        let asked_at = self.clock.now();
        let reading = self.store.read_head(None).await?;
        self.learn_table(asked_at, reading.head);
        Ok(())
    }

    /// Runs `task`, then `after`; failures are for the next round to repeat.
    pub(crate) fn spawn<T, F, A>(self: &Arc<Self>, task: T, after: A)
    where
        T: FnOnce(Arc<Self>) -> F,
        F: Future<Output = Result<(), LogError>> + Send + 'static,
        A: FnOnce(&Self) + Send + 'static,
    {
        let control = self.clone();
        let running = task(self.clone());
        tokio::spawn(async move {
            if let Err(error) = running.await {
                control.platform_errors.inc();
                spdlog::debug!("{error}");
            }
            after(&control);
        });
    }
}
