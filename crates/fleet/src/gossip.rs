//! Carries out what gossip asks for: messages, reads of the table, entries to follow.

use std::future::Future;
use std::sync::Arc;

use dotterellane_decisions::gossip::GossipAction;
use dotterellane_protocol::{GossipMessage, LogPosition, MemberId, PeerMessage};
use dotterellane_units::HostId;

use crate::PeerInbox;
use crate::control::{ControlState, FleetControl};
use crate::log_store::LogError;

impl FleetControl {
    /// Does one round.
    pub(crate) fn round(self: &Arc<Self>) {
        let actions = {
            let mut state = self.state();
            let actions = state.gossip.round(self.clock.now());
            self.publish_heads(&state);
            self.publish_members(&state);
            self.publish_evidence(&mut state);
            actions
        };
        self.carry_out(actions);
    }

    /// Shows what freshness rests on, and logs when it changes.
    fn publish_evidence(&self, state: &mut ControlState) {
        let evidence = state.gossip.freshness.evidence(self.clock.now());
        self.metrics.show_evidence(evidence);
        self.metrics.show_heads(state.gossip.freshness.heads());
        if evidence != state.evidence {
            spdlog::info!("freshness rests on {evidence:?}, before on {:?}", state.evidence);
            state.evidence = evidence;
        }
    }

    /// Handles the messages of peers until the inbox closes.
    pub(crate) async fn receive(self: Arc<Self>, mut inbox: PeerInbox) {
        while let Some(delivery) = inbox.recv().await {
            let seat = MemberId { host: delivery.from.clone(), incarnation: delivery.incarnation };
            if let PeerMessage::Gossip(message) = &delivery.message {
                self.handle(&seat, message);
            }
        }
    }

    fn handle(self: &Arc<Self>, from: &MemberId, message: &GossipMessage) {
        let actions = {
            let mut state = self.state();
            let actions = state.gossip.handle(from, message, self.clock.now());
            self.publish_heads(&state);
            actions
        };
        self.carry_out(actions);
    }

    /// Carries out what gossip asks for.
    pub(crate) fn carry_out(self: &Arc<Self>, actions: Vec<GossipAction>) {
        for action in actions {
            match action {
                GossipAction::Send { to, message } => self.send(&to, message),
                GossipAction::ReadTable => self.start_reading(),
                GossipAction::FetchEntries(position) => self.start_fetching(position),
                GossipAction::Follow { from, entry } => {
                    self.take_entry(&entry);
                    let next = self.state().gossip.request_missing(&from, &entry);
                    self.carry_out(next.into_iter().collect());
                }
                GossipAction::SendEntry { to, position } => self.supply(&to, position),
            }
        }
    }

    fn supply(&self, to: &HostId, position: LogPosition) {
        let entry = self.state().log.entry(position).cloned();
        if let Some(entry) = entry {
            self.send(to, GossipMessage::Entry(entry));
        }
    }

    fn start_reading(self: &Arc<Self>) {
        if self.reading.raise() {
            self.spawn(
                |control| async move { control.read_table().await },
                |control| control.reading.lower(),
            );
        }
    }

    fn start_fetching(self: &Arc<Self>, position: LogPosition) {
        if self.fetching.raise() {
            self.spawn(
                move |control| async move { control.catch_up(position).await },
                |control| control.fetching.lower(),
            );
        }
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
                control.metrics.platform_errors.inc();
                spdlog::debug!("{error}");
            }
            after(&control);
        });
    }
}
