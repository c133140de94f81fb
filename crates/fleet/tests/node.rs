//! Daemons on the loopback interface share a log of changes over an in-memory platform.

use std::future::Future;
use std::time::Duration;

use dotterellane_fleet::{
    FleetNode, FreshnessState, InboxKind, NodePlatform, NodeSettings, ProposalError,
    ProposedChange, TimerService, boot_clock, node,
};
use dotterellane_platform::memory::{MemoryPlatform, PlatformFault};
use dotterellane_platform::{RowWrite, TableTransaction};
use dotterellane_protocol::MemberRecord;
use dotterellane_settings::document::{ConfigurationDocument, TeamEntry};
use dotterellane_units::{ConfigVersion, HostIncarnation, RequestId, TokenCount};
use googletest::prelude::*;
use prometheus::Registry;

/// Time after which a condition counts as never met; far longer than any step takes.
const TIMEOUT: Duration = Duration::from_secs(60);

struct Fleet {
    platform: MemoryPlatform,
    timers: TimerService,
    nodes: Vec<FleetNode>,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        let (platform, timers) = (MemoryPlatform::default(), TimerService::default());
        let mut fleet = Self { platform, timers, nodes: Vec::new() };
        for index in 0..count {
            fleet.add(&format!("host-{index}")).await;
        }
        fleet
    }

    async fn add(&mut self, host: &str) {
        let settings = NodeSettings {
            host: host.parse().unwrap(),
            domain: "dub-north".parse().unwrap(),
            peers: "127.0.0.1:0".parse().unwrap(),
            secret: b"secret".to_vec(),
        };
        let platform = NodePlatform {
            table: self.platform.table(),
            objects: self.platform.objects(),
            hosts: self.platform.host_list(),
        };
        let registry = Registry::new();
        let started = node::start(settings, platform, boot_clock(), &self.timers, &registry);
        self.nodes.push(started.await.unwrap());
    }

    fn all<C>(&self, condition: C) -> bool
    where
        C: Fn(&FleetNode) -> bool,
    {
        self.nodes.iter().all(condition)
    }

    /// Waits until every daemon sees all of them as serving members.
    async fn wait_for_members(&self) {
        let count = self.nodes.len();
        until(|| self.all(|node| node.members.borrow().serving().count() == count)).await;
    }
}

async fn until<C>(condition: C)
where
    C: Fn() -> bool,
{
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, waiting).await.expect("the condition is met in time");
}

fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    tokio::runtime::Runtime::new().unwrap().block_on(test);
}

fn change(number: u128, expected: u64, team: &str) -> ProposedChange {
    let mut document = ConfigurationDocument::default();
    let entry = TeamEntry { rate: "100/s".parse().unwrap(), burst: TokenCount(100) };
    document.teams.insert(team.parse().unwrap(), entry);
    ProposedChange {
        change: RequestId(number),
        expected: ConfigVersion(expected),
        operator: "ana".parse().unwrap(),
        summary: format!("team {team}"),
        document,
    }
}

#[gtest]
fn propose_followed_and_in_force() {
    run(async {
        let fleet = Fleet::start(3).await;
        fleet.wait_for_members().await;
        let record = fleet.nodes[1].administration.propose(change(1, 0, "a")).await.unwrap();
        expect_that!(record.version, eq(ConfigVersion(1)));
        let follows = |node: &FleetNode| {
            node.ports.configuration.current().document == change(1, 0, "a").document
        };
        until(|| fleet.all(follows)).await;
        let in_force = |node: &FleetNode| node.administration.progress(ConfigVersion(1)).in_force;
        until(|| fleet.all(in_force)).await;
        let history = fleet.nodes[2].administration.history(5).await.unwrap();
        expect_that!(history, elements_are![eq(&record)]);
        let content = fleet.nodes[0].administration.content(ConfigVersion(1)).await.unwrap();
        expect_that!(content.unwrap().document, eq(&change(1, 0, "a").document));
    });
}

#[gtest]
fn propose_raced() {
    run(async {
        let fleet = Fleet::start(2).await;
        let ports: Vec<_> = fleet.nodes.iter().map(|node| &node.administration).collect();
        ports[0].propose(change(1, 0, "a")).await.unwrap();
        let late = ports[1].propose(change(2, 0, "b")).await;
        let Err(ProposalError::Raced { current }) = late else { panic!("accepted: {late:?}") };
        expect_that!(current.version, eq(ConfigVersion(1)));
        ports[1].propose(change(3, 1, "b")).await.unwrap();
    });
}

#[gtest]
fn propose_answer_lost() {
    run(async {
        let fleet = Fleet::start(1).await;
        let administration = &fleet.nodes[0].administration;
        fleet.platform.set_fault(PlatformFault::CommitAnswersLost);
        let record = administration.propose(change(1, 0, "a")).await.unwrap();
        let again = administration.propose(change(1, 0, "a")).await.unwrap();
        expect_that!(again, eq(&record));
        expect_that!(administration.history(5).await.unwrap(), elements_are![eq(&record)]);
    });
}

#[gtest]
fn propose_table_down() {
    run(async {
        let fleet = Fleet::start(3).await;
        fleet.wait_for_members().await;
        fleet.platform.set_fault(PlatformFault::Down);
        let refused = fleet.nodes[0].administration.propose(change(1, 0, "a")).await;
        expect_that!(refused, err(matches_pattern!(ProposalError::TableDown { .. })));
        // Longer than a read of the table counts as evidence of freshness: from here on freshness
        // comes from a quorum of members.
        tokio::time::sleep(Duration::from_secs(4)).await;
        until(|| fleet.all(|node| node.ports.freshness() == FreshnessState::Fresh)).await;
        fleet.platform.set_fault(PlatformFault::None);
        fleet.nodes[0].administration.propose(change(1, 0, "a")).await.unwrap();
    });
}

#[gtest]
fn freshness_alone_table_down() {
    run(async {
        let mut fleet = Fleet::start(3).await;
        fleet.wait_for_members().await;
        fleet.platform.set_fault(PlatformFault::Down);
        fleet.nodes.truncate(1);
        until(|| fleet.all(|node| node.ports.freshness() == FreshnessState::Stale)).await;
    });
}

#[gtest]
fn members_left_and_gone() {
    run(async {
        let mut fleet = Fleet::start(3).await;
        fleet.wait_for_members().await;
        let leaver = fleet.nodes.pop().unwrap();
        leaver.leave().await;
        leaver.shutdown();
        until(|| fleet.all(|node| node.members.borrow().members.len() == 2)).await;
        // The second daemon ends without leaving: it is removed because its host is missing in the
        // platform's host list.
        fleet.nodes.pop();
        until(|| fleet.all(|node| node.members.borrow().members.len() == 1)).await;
    });
}

#[gtest]
fn take_inbox_once() {
    run(async {
        let fleet = Fleet::start(1).await;
        let node = &fleet.nodes[0];
        for kind in [InboxKind::Shares, InboxKind::Dispatch, InboxKind::Placement] {
            expect_that!(node.take_inbox(kind).is_some(), eq(true));
            expect_that!(node.take_inbox(kind).is_some(), eq(false));
        }
    });
}

#[gtest]
fn start_late_from_snapshot() {
    run(async {
        let mut fleet = Fleet::start(1).await;
        let first = &fleet.nodes[0];
        for number in 0..200 {
            let change = change(number + 1, u64::try_from(number).unwrap(), &format!("t{number}"));
            first.administration.propose(change).await.unwrap();
        }
        let expected = first.ports.configuration.current();
        let early = first.administration.content(ConfigVersion(100)).await.unwrap().unwrap();
        expect_that!(early.document, eq(&change(100, 99, "t99").document));
        let (reads_before, _) = fleet.platform.call_counts();
        fleet.add("late").await;
        let (reads, _) = fleet.platform.call_counts();
        expect_that!(&fleet.nodes[1].ports.configuration.current(), eq(&expected));
        // The late daemon reads the head and one batch of entries after the snapshot, not all 200
        // entries; the bound leaves room for reads of the first daemon.
        expect_that!(reads - reads_before, lt(20));
    });
}

#[gtest]
fn start_again_clock_set_back() {
    run(async {
        let mut fleet = Fleet::start(1).await;
        fleet.wait_for_members().await;
        fleet.nodes.clear();
        // Incarnations come from the clock. The earlier daemon's clock was far ahead, so the new
        // daemon must take a higher incarnation than its own clock gives it.
        let table = fleet.platform.table();
        let mut rows = table.scan("members/").await.unwrap();
        let mut record: MemberRecord = postcard::from_bytes(&rows.remove(0).value).unwrap();
        record.id.incarnation = HostIncarnation(u64::MAX / 2);
        let value = Some(postcard::to_stdvec(&record).unwrap());
        let writes = vec![RowWrite { key: "members/host-0".to_owned(), value }];
        table.commit(TableTransaction { conditions: vec![], writes }).await.unwrap();
        fleet.add("host-0").await;
        expect_that!(fleet.nodes[0].member_id.incarnation, gt(record.id.incarnation));
        fleet.wait_for_members().await;
    });
}

#[gtest]
fn propose_longer_than_datagram() {
    run(async {
        let fleet = Fleet::start(3).await;
        fleet.wait_for_members().await;
        let mut long = change(1, 0, "a");
        let entry = long.document.teams.values().next().unwrap().clone();
        for number in 0..500 {
            long.document.teams.insert(format!("team-{number}").parse().unwrap(), entry.clone());
        }
        fleet.nodes[0].administration.propose(long.clone()).await.unwrap();
        let follows =
            |node: &FleetNode| node.ports.configuration.current().document == long.document;
        until(|| fleet.all(follows)).await;
    });
}

#[gtest]
fn propose_many_at_once() {
    run(async {
        let fleet = Fleet::start(3).await;
        let proposals = (0..30_u128).map(|number| {
            let node = &fleet.nodes[usize::try_from(number % 3).unwrap()];
            async move {
                loop {
                    let expected = node.ports.configuration.current().version.0;
                    let change = change(number + 1, expected, &format!("t{number}"));
                    match node.administration.propose(change).await {
                        Ok(record) => break record.version,
                        Err(ProposalError::Raced { .. }) => tokio::task::yield_now().await,
                        Err(error) => panic!("{error}"),
                    }
                }
            }
        });
        let mut versions = futures::future::join_all(proposals).await;
        versions.sort();
        let expected: Vec<ConfigVersion> = (1..=30).map(ConfigVersion).collect();
        expect_that!(versions, eq(&expected));
        let newest =
            |node: &FleetNode| node.ports.configuration.current().version == ConfigVersion(30);
        until(|| fleet.all(newest)).await;
        let history = fleet.nodes[0].administration.history(100).await.unwrap();
        expect_that!(history.len(), eq(30));
    });
}

#[gtest]
fn members_join_together() {
    run(async {
        // More daemons than member lists may be in use at a time: if each joined by an entry of its
        // own, most would have to wait.
        let fleet = Fleet::start(12).await;
        fleet.wait_for_members().await;
    });
}
