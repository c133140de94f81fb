//! Membership of this daemon: joins the member list, leaves it, and removes hosts that no longer
//! exist.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::membership::{MemberLists, REMOVAL_BATCH};
use dotterellane_decisions::rendezvous::role_holder;
use dotterellane_platform::{RowWrite, TableTransaction};
use dotterellane_protocol::{LogBody, LogPosition, MemberId, MemberRecord};
use dotterellane_units::{HostId, RequestId};
use tokio::time::sleep;

use crate::control::{AppendError, ControlState, FleetControl};
use crate::log_store::{LogError, bounded, decode, encode};
use crate::{MemberInfo, MemberView};

/// Time between checks whether this daemon is in the member list.
pub(crate) const JOIN_PERIOD: Duration = Duration::from_secs(1);

/// Time between checks for member hosts that the platform's host list has dropped.
pub(crate) const REMOVAL_PERIOD: Duration = Duration::from_secs(2);

/// Maximum number of members that one log entry adds.
const JOIN_BATCH: usize = 64;

/// Attempts of a leaving daemon to remove itself from the member list.
const LEAVE_ATTEMPTS: usize = 10;

/// Pause between those attempts.
const LEAVE_PAUSE: Duration = Duration::from_millis(500);

/// Number of joining daemons that append to the log in one [`JOIN_PERIOD`], on average.
const JOIN_WRITERS: f64 = 4.0;

/// Key prefix of the rows by which daemons announce that they want to join.
const JOINING_PREFIX: &str = "joining/";

/// Why no member change is appended now.
enum MemberRefusal {
    /// The list already is as wanted.
    Done,
    /// Too many earlier changes of the list are not in force yet.
    Unsettled,
}

impl FleetControl {
    /// Starts to join if this daemon is not in the member list, may join and is not leaving.
    pub(crate) fn ensure_joined(self: &Arc<Self>) {
        let wanted = {
            let state = self.state();
            let machine = &state.gossip.freshness;
            let may_join = machine.lists().may_join(&self.record, machine.heads().in_force);
            !state.leaving && !machine.is_listed() && may_join
        };
        if wanted && self.joining.try_take() {
            self.spawn(
                |control| async move { control.join().await },
                |control| control.joining.release(),
            );
        }
    }

    /// Announces this daemon in the table; a few of the announced daemons then append one entry
    /// that adds all of them.
    async fn join(self: Arc<Self>) -> Result<(), LogError> {
        let table = self.store.table();
        let rows = bounded("scan joining", table.scan(JOINING_PREFIX)).await?;
        let mut joining: Vec<MemberRecord> =
            rows.iter().map(|row| decode("scan joining", row)).collect::<Result<_, _>>()?;
        if !joining.contains(&self.record) {
            let writes = vec![encode(joining_key(&self.record.id.host), &self.record)?];
            let announcement = TableTransaction { conditions: Vec::new(), writes };
            bounded("announce member", table.commit(announcement)).await?;
            joining.push(self.record.clone());
        }
        // If each of many joining daemons appended, nearly all would lose the race for the head.
        let share = self.state().gossip.planner.random_share();
        if share > JOIN_WRITERS / f64::from(u32::try_from(joining.len()).unwrap_or(u32::MAX)) {
            return Ok(());
        }
        let in_force = self.in_force();
        let appended = self.append(new_change(&self), |snapshot| {
            let joined = joinable(&snapshot.lists, in_force, &joining);
            if joined.is_empty() {
                return Err(MemberRefusal::Done);
            }
            let writes = joined.iter().flat_map(join_writes).collect();
            let extra = TableTransaction { conditions: Vec::new(), writes };
            Ok((LogBody::Members { joined, removed: Vec::new(), in_force }, extra))
        });
        ignore_refusal(appended.await)
    }

    /// Marks this daemon as leaving and tries to remove it from the member list.
    pub(crate) async fn leave(self: &Arc<Self>) {
        {
            let mut state = self.state();
            state.leaving = true;
            state.gossip.freshness.set_leaving();
        }
        for _ in 0..LEAVE_ATTEMPTS {
            let own = BTreeSet::from([self.record.id.clone()]);
            // If all attempts fail, another daemon removes this one once the platform's host list
            // has dropped the host.
            if self.remove(&own).await.is_ok() && !self.state().gossip.freshness.is_listed() {
                return;
            }
            sleep(LEAVE_PAUSE).await;
        }
    }

    /// Starts to remove members whose host is gone, if this daemon holds the role for that.
    pub(crate) fn remove_absent(self: &Arc<Self>) {
        let holds_role = {
            let state = self.state();
            let now = self.clock.now();
            let records = state.gossip.freshness.lists().current().records.iter();
            let alive = records.filter(|record| state.gossip.freshness.is_alive(&record.id, now));
            let hosts = alive.map(|record| &record.id.host);
            role_holder("member-list", "", hosts) == Some(&self.record.id.host)
        };
        if holds_role && self.removing.try_take() {
            self.spawn(
                |control| async move { control.remove_gone().await },
                |control| control.removing.release(),
            );
        }
    }

    /// Reads the platform's host list and removes the members that count as gone by it.
    async fn remove_gone(self: Arc<Self>) -> Result<(), LogError> {
        let asked_at = self.clock.now();
        let present: BTreeSet<HostId> = bounded("list hosts", self.hosts.list())
            .await?
            .into_iter()
            .map(|listed| listed.host)
            .collect();
        let gone = {
            let mut guard = self.state();
            let state = &mut *guard;
            let lists = state.gossip.freshness.lists().clone();
            state.absence.observe(&lists, &present, asked_at);
            let machine = &state.gossip.freshness;
            let gone = state.absence.departed(&lists, asked_at, |member| machine.heard_at(member));
            state.gossip.freshness.set_departed(gone.clone(), self.clock.now());
            gone
        };
        if gone.is_empty() {
            return Ok(());
        }
        self.remove(&gone).await
    }

    /// Appends the removal of the listed ones among `leavers`, at most [`REMOVAL_BATCH`].
    async fn remove(self: &Arc<Self>, leavers: &BTreeSet<MemberId>) -> Result<(), LogError> {
        let in_force = self.in_force();
        let appended = self.append(new_change(self), |snapshot| {
            if !snapshot.lists.may_change(in_force) {
                return Err(MemberRefusal::Unsettled);
            }
            let listed = |member: &&MemberId| snapshot.lists.current().index_of(member).is_some();
            let removed: Vec<MemberId> =
                leavers.iter().filter(listed).take(REMOVAL_BATCH).cloned().collect();
            if removed.is_empty() {
                return Err(MemberRefusal::Done);
            }
            let writes = removed
                .iter()
                .map(|member| RowWrite { key: member_key(&member.host), value: None });
            let extra = TableTransaction { conditions: Vec::new(), writes: writes.collect() };
            Ok((LogBody::Members { joined: Vec::new(), removed, in_force }, extra))
        });
        ignore_refusal(appended.await)
    }

    /// Returns the newest log position known to be in force.
    fn in_force(&self) -> LogPosition {
        self.state().gossip.freshness.heads().in_force
    }

    /// Publishes the member view and its metrics as of now.
    pub(crate) fn publish_members(&self, state: &ControlState) {
        let now = self.clock.now();
        let machine = &state.gossip.freshness;
        let info = |record: &MemberRecord| MemberInfo {
            host: record.id.host.clone(),
            incarnation: record.id.incarnation,
            domain: record.domain.clone(),
            alive: machine.is_alive(&record.id, now),
            leaving: machine.is_leaving(&record.id)
                || (state.leaving && record.id == self.record.id),
        };
        let members: Vec<MemberInfo> = machine.lists().current().records.iter().map(info).collect();
        let alive = members.iter().filter(|member| member.alive).count();
        self.metrics.set_members(members.len(), alive);
        self.members.send_if_modified(|known| {
            let changed = known.members != members;
            if changed {
                *known = Arc::new(MemberView { members });
            }
            changed
        });
    }
}

/// Returns the announced daemons that may join now and are not listed in the same or a later
/// incarnation.
fn joinable(
    lists: &MemberLists,
    in_force: LogPosition,
    joining: &[MemberRecord],
) -> Vec<MemberRecord> {
    let newer = |record: &&MemberRecord| {
        let listed = lists.current().find(&record.id.host);
        listed.is_none_or(|listed| listed.id.incarnation < record.id.incarnation)
    };
    let may_join = |record: &&MemberRecord| lists.may_join(record, in_force);
    joining.iter().filter(newer).filter(may_join).take(JOIN_BATCH).cloned().collect()
}

/// Returns the writes that turn the announcement of a joining daemon into its member row.
fn join_writes(record: &MemberRecord) -> Vec<RowWrite> {
    let host = &record.id.host;
    let listed = encode(member_key(host), record).ok();
    let announced = RowWrite { key: joining_key(host), value: None };
    listed.into_iter().chain([announced]).collect()
}

/// Treats a refused change as success, since the periodic checks try again if need be.
fn ignore_refusal<T>(appended: Result<T, AppendError<MemberRefusal>>) -> Result<(), LogError> {
    match appended {
        Ok(_) | Err(AppendError::Refused(MemberRefusal::Done | MemberRefusal::Unsettled)) => Ok(()),
        Err(AppendError::Down(error) | AppendError::Unknown(error)) => Err(error),
    }
}

/// Returns a random id for a change made by this daemon itself.
fn new_change(control: &FleetControl) -> RequestId {
    let mut state = control.state();
    let (high, low) = (state.gossip.planner.call_number(), state.gossip.planner.call_number());
    RequestId(u128::from(high) << 64 | u128::from(low))
}

/// Returns the key of the row that holds the member record of `host`.
pub(crate) fn member_key(host: &HostId) -> String {
    format!("members/{host}")
}

/// Returns the key of the row by which `host` announces that it wants to join.
fn joining_key(host: &HostId) -> String {
    format!("{JOINING_PREFIX}{host}")
}
