//! Guards that count requests in the state of a host and take them out again on drop.

use std::sync::Arc;

use dotterellane_decisions::allowed_regions::AllowedRegions;
use dotterellane_decisions::run_times::RunTicket;
use dotterellane_units::{ServiceId, TokenCount, UpstreamId};

use crate::call::ModelChoice;
use crate::state::{GatewayRunKind, Host, HostState, WaitingRequest};

/// Counts a request as waiting for a model; removed on drop.
#[derive(Debug)]
pub struct WaitingGuard {
    host: Arc<Host>,
    index: usize,
    regions: AllowedRegions,
}

impl WaitingGuard {
    /// Counts the request and wakes the task that sends demand.
    pub fn new(host: &Arc<Host>, waiting: WaitingRequest) -> Self {
        let regions = waiting.regions.clone();
        let index = host.state().waiting.insert(waiting);
        host.demand_changed.notify_one();
        Self { host: host.clone(), index, regions }
    }

    /// Returns the regions in which the request may run, as it was counted.
    pub fn regions(&self) -> &AllowedRegions {
        &self.regions
    }
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.host.state().waiting.remove(self.index);
    }
}

/// Counts a request as waiting for room at an upstream; removed on drop.
#[derive(Debug)]
pub struct RoomWaiter {
    host: Arc<Host>,
}

impl RoomWaiter {
    /// Counts the request.
    pub fn new(host: &Arc<Host>) -> Self {
        host.state().room_waiters += 1;
        Self { host: host.clone() }
    }
}

impl Drop for RoomWaiter {
    fn drop(&mut self) {
        self.host.state().room_waiters -= 1;
    }
}

/// Counts a request as in flight at an upstream; removed on drop.
#[derive(Debug)]
pub struct RunningGuard {
    host: Arc<Host>,
    key: (UpstreamId, Option<ModelChoice>),
    /// Memory that the request takes there at most.
    memory: TokenCount,
    /// `None` once the run is complete.
    ticket: Option<RunTicket>,
}

impl RunningGuard {
    /// Counts the request; `state` is that of `host`.
    pub fn new(
        host: &Arc<Host>,
        state: &mut HostState,
        upstream: UpstreamId,
        choice: Option<ModelChoice>,
        kind: GatewayRunKind,
        memory: TokenCount,
    ) -> Self {
        state.room.begin(&upstream, memory);
        let key = (upstream, choice);
        *state.running.entry(key.clone()).or_default() += 1;
        let ticket = state.run_times.begin(host.now(), kind);
        Self { host: host.clone(), key, memory, ticket: Some(ticket) }
    }

    /// Removes the request as its response is complete.
    pub fn complete(mut self) {
        if let Some(ticket) = self.ticket.take() {
            self.host.state().run_times.complete(self.host.now(), ticket);
        }
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut state = self.host.state();
        state.room.end(&self.key.0, self.memory);
        if let Some(ticket) = self.ticket {
            state.run_times.abandon(ticket);
        }
        if let Some(count) = state.running.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                state.running.remove(&self.key);
            }
        }
        drop(state);
        self.host.room_changed();
    }
}

/// A retry reserved from the budget of a service; released on drop unless it was spent.
#[derive(Debug)]
pub struct RetryReservation {
    host: Arc<Host>,
    service: ServiceId,
    spent: bool,
}

impl RetryReservation {
    /// Reserves a retry for `service`; `None` if its budget is used up.
    pub fn reserve(host: &Arc<Host>, service: &ServiceId) -> Option<Self> {
        let mut state = host.state();
        let limits = host.retry_limits(&state);
        let budget = state.retries.entry(service.clone()).or_default();
        let reserved = budget.reserve(host.now(), &limits);
        if !reserved {
            host.metrics.retries.with_label_values(&[service.as_str(), "refused"]).inc();
        }
        reserved.then(|| Self { host: host.clone(), service: service.clone(), spent: false })
    }

    /// Records that the retry is sent now.
    pub fn spend(mut self) {
        self.spent = true;
        self.host.metrics.retries.with_label_values(&[self.service.as_str(), "sent"]).inc();
        let now = self.host.now();
        self.host.state().retries.entry(self.service.clone()).or_default().spend(now);
    }
}

impl Drop for RetryReservation {
    fn drop(&mut self) {
        if !self.spent {
            self.host.state().retries.entry(self.service.clone()).or_default().release();
        }
    }
}
