//! All machines lose power shortly after the first start, and the store comes back from a copy that is
//! older than the first row of the lease.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dotterellane_standins::site::{EngineCapacity, StoreFault};
use tokio::time::{sleep, sleep_until};

use crate::Verdict;
use crate::fleet::{Fleet, Host, MODELS, Runner};
use crate::record::Record;

const HOSTS: u32 = 3;
/// Time of a load from a runner's disk.
const LOAD_SPAN: Duration = Duration::from_millis(1_400);
/// Age of the copy when the store is restored, at most.
const COPY_AGE: Duration = Duration::from_secs(4);
/// Time until the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Additional time until the machine that led is back.
const LEADER_DELAY: Duration = Duration::from_secs(2);
/// Time after the restart for which orders are watched.
const WATCH_SPAN: Duration = Duration::from_secs(12);
/// `lease_ms`.
const LEASE_SPAN: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
struct Order {
    at: Instant,
    holder: String,
    fence: u64,
}

pub async fn run(record: Arc<Record>, trouble: bool) -> Verdict {
    let fleet = Fleet::start(record.clone()).await.ok()?;
    let disk = ["m1", "m2", "m3", "m4", "m5", "m6"];
    let runner = Runner::start(&fleet, "i-0", MODELS, &[], &disk).await.ok()?;
    // The runner holds three models; it gets an order each 1.4 s until it is full.
    runner.engine.set_capacity(EngineCapacity { models: 3, adapters: 8 }, LOAD_SPAN);
    fleet.put_configuration(6);
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let watching = tokio::spawn(watch(runner.engine.clone(), orders.clone(), record.clone()));
    let copy = fleet.store.copy();
    let copied = Instant::now();
    record.line("store: the copy is made");
    let mut hosts: Vec<Host> =
        (1..=HOSTS).filter_map(|index| fleet.start_host(index, true).ok()).collect();
    // All machines lose power right after an order.
    let end = copied + COPY_AGE - RESTART_DELAY;
    while Instant::now() < end && orders.lock().expect("no panic").len() < 2 {
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(200)).await;
    let leader = (1..=HOSTS).find(|index| fleet.log(*index).contains("lease taken"))?;
    hosts.iter_mut().for_each(Host::kill);
    hosts.clear();
    fleet.store.set_fault(StoreFault::Busy);
    record.line(&format!(
        "platform: all machines lose power; daemon {leader} led; the store is away"
    ));
    sleep(RESTART_DELAY).await;
    if trouble {
        fleet.store.restore(copy);
        record.line(&format!("store: back from a copy of {:?} ago", copied.elapsed()));
    }
    fleet.store.set_fault(StoreFault::None);
    for index in (1..=HOSTS).filter(|index| *index != leader) {
        hosts.push(fleet.start_host(index, false).ok()?);
    }
    let started = Instant::now();
    sleep(LEADER_DELAY).await;
    hosts.push(fleet.start_host(leader, false).ok()?);
    sleep_until((started + WATCH_SPAN).into()).await;
    watching.abort();

    let orders = orders.lock().expect("no panic").clone();
    let mut broken = false;
    for pair in orders.windows(2) {
        let (first, second) = (&pair[0], &pair[1]);
        let gap = second.at - first.at;
        let is_lower = second.fence < first.fence;
        let is_same = second.fence == first.fence && second.holder != first.holder;
        let is_turn = second.holder != first.holder && gap < LEASE_SPAN;
        if is_lower || is_same || is_turn {
            broken = true;
            record.line(&format!(
                "an order of {} (fence {}) {gap:?} after one of {} (fence {})",
                second.holder, second.fence, first.holder, first.fence
            ));
        }
    }
    let holders: std::collections::BTreeSet<&str> =
        orders.iter().map(|order| order.holder.as_str()).collect();
    record.line(&format!("{} orders of {} holders", orders.len(), holders.len()));
    Some(!broken)
}

async fn watch(
    engine: Arc<dotterellane_standins::site::SiteEngine>,
    orders: Arc<Mutex<Vec<Order>>>,
    record: Arc<Record>,
) {
    loop {
        let all = engine.orders();
        let known = orders.lock().expect("no panic").len();
        for order in &all[known..] {
            let at = Instant::now();
            record.line_at(at, &format!("runner i-0 gets the order {order}"));
            let holder = order["holder"].as_str().unwrap_or("").to_owned();
            let fence = order["fence"].as_u64().unwrap_or(0);
            orders.lock().expect("no panic").push(Order { at, holder, fence });
        }
        sleep(Duration::from_millis(2)).await;
    }
}
