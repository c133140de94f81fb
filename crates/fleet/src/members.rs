//! Joins the member list, leaves it, and removes members that are gone.

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

/// Time between looks at whether this daemon is listed.
pub(crate) const JOIN_PERIOD: Duration = Duration::from_secs(1);

/// Time between reads of the platform's host list.
pub(crate) const TEND_PERIOD: Duration = Duration::from_secs(2);

/// Members that one entry lists at most.
const JOIN_BATCH: usize = 64;

/// How often a leaving daemon tries to have its seat removed.
const LEAVE_ATTEMPTS: usize = 10;

/// Time between those attempts.
const LEAVE_PAUSE: Duration = Duration::from_millis(500);

/// Joining members that append in one period, on average.
const JOIN_WRITERS: f64 = 4.0;

const JOINING_PREFIX: &str = "joining/";

/// Why a member change is not made now.
enum MemberRefusal {
    /// It has been made already.
    Done,
    /// Earlier changes are not in force yet.
    Unsettled,
}

impl FleetControl {
    /// Joins the member list if this daemon is not in it.
    pub(crate) fn keep_joined(self: &Arc<Self>) {
        let wanted = {
            let state = self.state();
            let machine = &state.gossip.freshness;
            let may_join = machine.lists().may_join(&self.record, machine.heads().in_force);
            !state.leaving && !machine.is_listed() && may_join
        };
        if wanted && self.joining.raise() {
            self.spawn(
                |control| async move { control.join().await },
                |control| control.joining.lower(),
            );
        }
    }

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
        // One of those that join appends for all; the share keeps their writes apart.
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
        accepted(appended.await)
    }

    /// Says that this daemon leaves, and has its seat removed from the list.
    pub(crate) async fn leave(self: &Arc<Self>) {
        {
            let mut state = self.state();
            state.leaving = true;
            state.gossip.freshness.set_leaving();
        }
        for _ in 0..LEAVE_ATTEMPTS {
            let own = BTreeSet::from([self.record.id.clone()]);
            // A seat that stays is removed once the platform's list has left the host out.
            if self.remove(&own).await.is_ok() && !self.state().gossip.freshness.is_listed() {
                return;
            }
            sleep(LEAVE_PAUSE).await;
        }
    }

    /// Removes the members that are gone, if that is this daemon's role.
    pub(crate) fn tend(self: &Arc<Self>) {
        let tends = {
            let state = self.state();
            let now = self.clock.now();
            let records = state.gossip.freshness.lists().current().records.iter();
            let alive = records.filter(|record| state.gossip.freshness.is_alive(&record.id, now));
            let hosts = alive.map(|record| &record.id.host);
            role_holder("member-list", "", hosts) == Some(&self.record.id.host)
        };
        if tends && self.tending.raise() {
            self.spawn(
                |control| async move { control.remove_gone().await },
                |control| control.tending.lower(),
            );
        }
    }

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
            let gone = state.absence.departed(&lists, asked_at, |seat| machine.heard_at(seat));
            state.gossip.freshness.set_departed(gone.clone(), self.clock.now());
            gone
        };
        if gone.is_empty() {
            return Ok(());
        }
        self.remove(&gone).await
    }

    async fn remove(self: &Arc<Self>, seats: &BTreeSet<MemberId>) -> Result<(), LogError> {
        let in_force = self.in_force();
        let appended = self.append(new_change(self), |snapshot| {
            if !snapshot.lists.may_change(in_force) {
                return Err(MemberRefusal::Unsettled);
            }
            let listed = |seat: &&MemberId| snapshot.lists.current().index_of(seat).is_some();
            let removed: Vec<MemberId> =
                seats.iter().filter(listed).take(REMOVAL_BATCH).cloned().collect();
            if removed.is_empty() {
                return Err(MemberRefusal::Done);
            }
            let writes =
                removed.iter().map(|seat| RowWrite { key: member_key(&seat.host), value: None });
            let extra = TableTransaction { conditions: Vec::new(), writes: writes.collect() };
            Ok((LogBody::Members { joined: Vec::new(), removed, in_force }, extra))
        });
        accepted(appended.await)
    }

    fn in_force(&self) -> LogPosition {
        self.state().gossip.freshness.heads().in_force
    }

    /// Publishes the members as they are seen now.
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
        self.metrics.show_members(members.len(), alive);
        self.members.send_if_modified(|known| {
            let changed = known.members != members;
            if changed {
                *known = Arc::new(MemberView { members });
            }
            changed
        });
    }
}

/// Returns the joining members that are not listed and not superseded, and may join now.
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

fn join_writes(record: &MemberRecord) -> Vec<RowWrite> {
    let host = &record.id.host;
    let listed = encode(member_key(host), record).ok();
    let announced = RowWrite { key: joining_key(host), value: None };
    listed.into_iter().chain([announced]).collect()
}

fn accepted<T>(appended: Result<T, AppendError<MemberRefusal>>) -> Result<(), LogError> {
    match appended {
        Ok(_) | Err(AppendError::Refused(MemberRefusal::Done | MemberRefusal::Unsettled)) => Ok(()),
        Err(AppendError::Down(error) | AppendError::Unknown(error)) => Err(error),
    }
}

fn new_change(control: &FleetControl) -> RequestId {
    let mut state = control.state();
    let (high, low) = (state.gossip.planner.call_number(), state.gossip.planner.call_number());
    RequestId(u128::from(high) << 64 | u128::from(low))
}

/// Returns the key of the row that describes `host`.
pub(crate) fn member_key(host: &HostId) -> String {
    format!("members/{host}")
}

fn joining_key(host: &HostId) -> String {
    format!("{JOINING_PREFIX}{host}")
}
