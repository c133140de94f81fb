//! Daemons charge teams through the running share machine, over an in-memory platform.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dotterellane_decisions::shares::{ShareStatus, ShareTimings, SlotMap};
use dotterellane_fleet::shares::{
    RunningShares, SLOTS_KEY, ShareParts, SlotChange, single_daemon_calls, start_shares,
};
use dotterellane_fleet::{
    ChargeReceipt, ChargeRefusal, ChargeRequest, ConfigurationFeed, ConfigurationSnapshot,
    MemberInfo, MemberView, PeerDelivery, PeerSender, TimerService,
};
use dotterellane_platform::CommitOutcome;
use dotterellane_platform::memory::{MemoryPlatform, PlatformFault};
use dotterellane_protocol::MemberId;
use dotterellane_settings::document::{ConfigurationDocument, TeamEntry};
use dotterellane_units::{
    ClockInstant, ClockSource, ConfigVersion, HostId, HostIncarnation, RequestId, TokenCount,
    TokenRate,
};
use futures::FutureExt;
use googletest::prelude::*;
use prometheus::Registry;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep};

type Mailboxes = Arc<Mutex<BTreeMap<HostId, mpsc::Sender<PeerDelivery>>>>;

/// Daemons in one process, between which no message is lost.
struct TestFleet {
    platform: MemoryPlatform,
    clock: ClockSource,
    mailboxes: Mailboxes,
    members: watch::Sender<Arc<MemberView>>,
    configuration: ConfigurationFeed,
    /// Newest slot change, known to every daemon and in force.
    known: Arc<AtomicU64>,
}

impl TestFleet {
    fn new(rate: u64, burst: u64) -> Self {
        let started = Instant::now();
        let clock =
            ClockSource::new(move || ClockInstant::from_millis(1_000_000) + started.elapsed());
        let team = TeamEntry { rate: TokenRate::per_second(rate), burst: TokenCount(burst) };
        let teams = BTreeMap::from([("red".parse().unwrap(), team)]);
        let document = ConfigurationDocument { teams, ..ConfigurationDocument::default() };
        let snapshot = ConfigurationSnapshot { version: ConfigVersion(1), document };
        Self {
            platform: MemoryPlatform::default(),
            clock,
            mailboxes: Mailboxes::default(),
            members: watch::Sender::default(),
            configuration: ConfigurationFeed::new(snapshot),
            known: Arc::default(),
        }
    }

    fn list(&self, hosts: &[&str]) {
        let member = |host: &&str| MemberInfo {
            host: host.parse().unwrap(),
            incarnation: HostIncarnation(1),
            domain: "dub-north".parse().unwrap(),
            alive: true,
            leaving: false,
        };
        self.members
            .send_replace(Arc::new(MemberView { members: hosts.iter().map(member).collect() }));
    }

    fn parts(&self, host: &str) -> ShareParts {
        let member_id = MemberId { host: host.parse().unwrap(), incarnation: HostIncarnation(1) };
        let (mailbox, inbox) = mpsc::channel(1_024);
        self.mailboxes.lock().unwrap().insert(member_id.host.clone(), mailbox);
        let (mailboxes, from) = (self.mailboxes.clone(), member_id.clone());
        let sender = PeerSender::new(move |to: &HostId, message| {
            let delivery =
                PeerDelivery { from: from.host.clone(), incarnation: from.incarnation, message };
            if let Some(mailbox) = mailboxes.lock().unwrap().get(to) {
                let _full = mailbox.try_send(delivery);
            }
        });
        let (status, append) = single_daemon_calls(self.platform.table());
        ShareParts {
            owner: member_id,
            timings: ShareTimings::default(),
            clock: self.clock.clone(),
            configuration: self.configuration.clone(),
            members: self.members.subscribe(),
            table: self.platform.table(),
            sender,
            inbox,
            timers: TimerService::default(),
            status,
            append,
            registry: Registry::new(),
        }
    }

    /// Starts the only daemon of the fleet.
    fn start_lone(&self, host: &str) -> RunningShares {
        start_shares(self.parts(host)).unwrap()
    }

    /// Starts one of several daemons; a committed slot change is known to all and in force at once.
    fn start(&self, host: &str) -> RunningShares {
        let mut parts = self.parts(host);
        let (known, table) = (self.known.clone(), self.platform.table());
        parts.append = Arc::new(move |change: SlotChange| {
            let (known, table) = (known.clone(), table.clone());
            async move {
                let outcome = table.commit(change.transaction).await.map_err(|e| e.to_string())?;
                let made = matches!(outcome, CommitOutcome::Committed(_));
                known.fetch_max(if made { change.number } else { 0 }, Ordering::SeqCst);
                Ok(made)
            }
            .boxed()
        });
        let known = self.known.clone();
        parts.status = Arc::new(move || {
            let change = known.load(Ordering::SeqCst);
            ShareStatus { fresh: true, slots_known: change, slots_in_force: change }
        });
        start_shares(parts).unwrap()
    }

    fn request(&self, tokens: u64, max_wait: Duration) -> ChargeRequest {
        ChargeRequest {
            request: RequestId(7),
            team: "red".parse().unwrap(),
            tokens: TokenCount(tokens),
            deadline: self.clock.now() + max_wait,
        }
    }
}

const MAX_WAIT: Duration = Duration::from_secs(30);

async fn charge(
    fleet: &TestFleet,
    shares: &RunningShares,
    tokens: u64,
) -> std::result::Result<ChargeReceipt, ChargeRefusal> {
    shares.charge(fleet.request(tokens, MAX_WAIT)).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn charge_lone_daemon_whole_burst() {
    let fleet = TestFleet::new(100, 1_000);
    fleet.list(&["h1"]);
    let shares = fleet.start_lone("h1");
    let receipt = charge(&fleet, &shares, 1_000).await;
    expect_that!(receipt, ok(field!(&ChargeReceipt.tokens, eq(TokenCount(1_000)))));
    let refused = shares.charge(fleet.request(500, Duration::from_secs(2))).await;
    expect_that!(refused, err(matches_pattern!(ChargeRefusal::OverRate { .. })));
    let refused = shares.charge(fleet.request(1_001, MAX_WAIT)).await;
    expect_that!(refused, err(matches_pattern!(ChargeRefusal::OverBurst { .. })));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn charge_three_daemons_one_burst() {
    let fleet = TestFleet::new(1, 900);
    fleet.list(&["h1", "h2", "h3"]);
    let daemons: Vec<RunningShares> = ["h1", "h2", "h3"].map(|host| fleet.start(host)).into();
    sleep(Duration::from_secs(10)).await;
    let request = || fleet.request(300, Duration::from_secs(20));
    let charges = daemons.iter().flat_map(|shares| [(); 3].map(|()| shares.charge(request())));
    let outcomes = futures::future::join_all(charges).await;
    let made = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    // The burst of 900 tokens allows three charges of 300 over all daemons; at 1 token/s the rate
    // adds no fourth within 20 s.
    expect_that!(made, eq(3));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn charge_dropped_withdrawn() {
    let fleet = TestFleet::new(100, 1_000);
    fleet.list(&["h1"]);
    let shares = fleet.start_lone("h1");
    let _spent = charge(&fleet, &shares, 1_000).await;
    let mut waiting = Box::pin(shares.charge(fleet.request(1_000, MAX_WAIT)));
    expect_that!((&mut waiting).now_or_never(), none());
    drop(waiting);
    let before = Instant::now();
    let receipt = charge(&fleet, &shares, 100).await;
    expect_that!(receipt, ok(anything()));
    // Queued behind the dropped charge it would have waited 11 s.
    expect_that!(before.elapsed(), lt(Duration::from_secs(2)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn charge_dropped_after_answer_refunded() {
    let fleet = TestFleet::new(1, 1_000);
    fleet.list(&["h1"]);
    let shares = fleet.start_lone("h1");
    let _first = charge(&fleet, &shares, 100).await;
    let mut pending = Box::pin(shares.charge(fleet.request(1_000, Duration::from_secs(300))));
    expect_that!((&mut pending).now_or_never(), none());
    // The charge is made after 100 s, but the future is dropped before it is polled again.
    sleep(Duration::from_secs(110)).await;
    drop(pending);
    let receipt = charge(&fleet, &shares, 1_000).await;
    expect_that!(receipt, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn refund_call_unused_tokens() {
    let fleet = TestFleet::new(1, 1_000);
    fleet.list(&["h1"]);
    let shares = fleet.start_lone("h1");
    let receipt = charge(&fleet, &shares, 1_000).await.unwrap();
    shares.refund_call()(receipt, TokenCount(900));
    let again = charge(&fleet, &shares, 900).await;
    expect_that!(again, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn slots_answer_lost_owned_once() {
    let fleet = TestFleet::new(100, 1_000);
    fleet.list(&["h1"]);
    fleet.platform.set_fault(PlatformFault::CommitAnswersLost);
    let shares = fleet.start_lone("h1");
    let receipt = charge(&fleet, &shares, 1_000).await;
    expect_that!(receipt, ok(anything()));
    let rows = fleet.platform.table().read(vec![SLOTS_KEY.to_owned()]).await.unwrap();
    let map: SlotMap = postcard::from_bytes(&rows[0].value).unwrap();
    expect_that!(map.change, eq(1));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn charge_table_down_at_start() {
    let fleet = TestFleet::new(100, 1_000);
    fleet.list(&["h1"]);
    fleet.platform.set_fault(PlatformFault::Down);
    let shares = fleet.start_lone("h1");
    let before = Instant::now();
    let refused = charge(&fleet, &shares, 10).await;
    expect_that!(refused, err(eq(&ChargeRefusal::Unreachable)));
    // Well before the deadline of 30 s.
    expect_that!(before.elapsed(), lt(Duration::from_secs(10)));
    fleet.platform.set_fault(PlatformFault::None);
    sleep(Duration::from_secs(5)).await;
    expect_that!(charge(&fleet, &shares, 10).await, ok(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn slots_members_change() {
    let fleet = TestFleet::new(1_000, 1_000);
    fleet.list(&["h1"]);
    let first = fleet.start("h1");
    expect_that!(charge(&fleet, &first, 1_000).await, ok(anything()));
    fleet.list(&["h1", "h2"]);
    let second = fleet.start("h2");
    sleep(Duration::from_secs(30)).await;
    let rows = fleet.platform.table().read(vec![SLOTS_KEY.to_owned()]).await.unwrap();
    let map: SlotMap = postcard::from_bytes(&rows[0].value).unwrap();
    expect_that!(map.owners.len(), eq(2));
    expect_that!(charge(&fleet, &second, 1_000).await, ok(anything()));
    // Without the first daemon, the second can grant the whole burst once it owns all slots.
    drop(first);
    fleet.mailboxes.lock().unwrap().remove(&"h1".parse().unwrap());
    fleet.list(&["h2"]);
    sleep(Duration::from_secs(30)).await;
    expect_that!(charge(&fleet, &second, 1_000).await, ok(anything()));
}
