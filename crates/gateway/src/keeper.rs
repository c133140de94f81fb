//! The keeper: the one host that gives orders to runners, by a lease in the platform's table.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dotterellane_decisions::beat_pace::BeatPace;
use dotterellane_decisions::holdings_news::HoldingsNews;
use dotterellane_decisions::keeper_candidates::{KeeperCandidate, candidate_rank, is_much_larger};
use dotterellane_decisions::keeper_lease::{KeeperLease, LeaseRow, LeaseStep};
use dotterellane_decisions::weight_plan::{
    HeldModel, HostDemand, OrderOutcome, PlannedOrder, RunnerReport, WeightPlan,
};
use dotterellane_platform::{CommitOutcome, RowCondition, RowWrite, TableRow, TableTransaction};
use dotterellane_units::{
    ClockInstant, FenceNumber, HostId, HostIncarnation, RowVersion, ServiceId, UpstreamId,
};
use tokio::time::{sleep, timeout};

use crate::call::{OrderIssuer, RunnerCall};
use crate::document::RoutingDocument;
use crate::exchange::{Exchange, ExchangeError, exchange, open, read_whole};
use crate::messages::{KeeperMark, PeerNote, RunnerHoldings};
use crate::notices;
use crate::peers::{send_beat, send_to_all};
use crate::state::{Host, HostState, KnownKeeper};

/// Key of the lease's row.
const LEASE_KEY: &str = "keeper/lease";

/// Time without a beat of the keeper after which the first candidate looks at the lease.
const KEEPER_SILENCE: Duration = Duration::from_millis(700);

/// Further silence for each candidate that comes before.
const CANDIDATE_STEP: Duration = Duration::from_millis(300);

/// Time after the start in which a host only listens for a keeper.
const START_SILENCE: Duration = Duration::from_millis(350);

/// Time for which a host that took the lease keeps it at least.
const LEAST_KEEPING: Duration = Duration::from_millis(500);

/// Pause between two looks at what to do about the lease.
const LEASE_LOOK: Duration = Duration::from_millis(100);

/// Pause after the lease could not be read.
const LEASE_RETRY: Duration = Duration::from_millis(300);

/// Longest pause between two looks at the plan.
const PLAN_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two looks at the plan while loads are under way or requests wait.
const BUSY_PLAN_PAUSE: Duration = Duration::from_millis(60);

/// Step of timers, which may fire that much early.
const TIMER_STEP: Duration = Duration::from_millis(1);

/// Time within which a runner answers an order or a question.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Runners whose holdings go into one datagram.
const RUNNERS_A_DATAGRAM: usize = 32;

/// Least time between two questions to one runner.
const QUESTION_PAUSE: Duration = Duration::from_millis(300);

/// Most runners that are asked at a time; after a takeover all of them have to be.
const QUESTIONS_AT_ONCE: usize = 64;

/// What this host knows as keeper or candidate.
#[derive(Debug)]
pub struct KeeperDesk {
    lease: KeeperLease,
    plans: BTreeMap<ServiceId, WeightPlan>,
    news: HoldingsNews<(u64, Vec<HeldModel>)>,
    /// Runners that were asked what they hold, and when they may be asked again.
    asked: BTreeMap<UpstreamId, ClockInstant>,
    /// Questions that wait for an answer.
    asking: usize,
    keeping: bool,
    /// When this host took the lease.
    taken: ClockInstant,
}

/// The desk of a host; locked only between two waits, never while the host's state is.
#[derive(Debug)]
pub struct SharedDesk(Mutex<KeeperDesk>);

impl SharedDesk {
    /// Returns the desk of a host that does not keep.
    pub fn new(own: HostId, incarnation: HostIncarnation, gap: Duration) -> Self {
        Self(Mutex::new(KeeperDesk {
            lease: KeeperLease::new(own, incarnation, gap),
            plans: BTreeMap::new(),
            news: HoldingsNews::default(),
            asked: BTreeMap::new(),
            asking: 0,
            keeping: false,
            taken: ClockInstant::default(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, KeeperDesk> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the mark that beats carry while this host holds the lease.
pub fn mark(host: &Host) -> Option<KeeperMark> {
    let (fence, row) = host.desk.lock().lease.held(host.now())?;
    Some(KeeperMark { fence, row })
}

/// Takes in the mark of another host's beat.
pub fn on_mark(host: &Host, mark: KeeperMark) {
    host.desk.lock().lease.on_mark(host.now(), mark.fence, mark.row);
}

/// Takes in that the keeper no longer claims the lease: its row has to be looked at.
pub fn on_given_up(host: &Host) {
    host.desk.lock().lease.on_doubt();
}

/// Tells whether this host holds the lease.
pub fn is_keeping(host: &Host) -> bool {
    host.desk.lock().keeping
}

/// Tells whether this host waits for a load to end.
pub fn is_loading(host: &Host) -> bool {
    let desk = host.desk.lock();
    desk.keeping && desk.plans.values().any(WeightPlan::is_loading)
}

/// Takes in what a host asks for.
pub fn on_demand(
    host: &Host,
    from: &HostId,
    demands: &[(ServiceId, HostDemand)],
    unreachable: &[UpstreamId],
) {
    let now = host.now();
    let mut desk = host.desk.lock();
    if !desk.keeping {
        return;
    }
    for plan in desk.plans.values_mut() {
        for runner in unreachable {
            plan.on_unreachable(now, runner);
        }
    }
    for (service, plan) in &mut desk.plans {
        let demand = demands.iter().find(|(of, _)| of == service);
        plan.on_demand(
            now,
            from.clone(),
            demand.map(|(_, demand)| demand.clone()).unwrap_or_default(),
        );
    }
    drop(desk);
    host.plan_wanted.notify_one();
}

/// Takes in what the keeper says that runners hold.
pub fn adopt_holdings(host: &Host, fence: FenceNumber, holdings: Vec<RunnerHoldings>) {
    let now = host.now();
    let mut state = host.state();
    if state.keeper.as_ref().is_some_and(|keeper| keeper.mark.fence > fence) {
        return;
    }
    for RunnerHoldings { runner, born, held } in holdings {
        state.directory.set_held(now, &runner, born, held);
    }
    drop(state);
    host.holdings_changed.notify_waiters();
}

/// Takes in a new configuration.
pub fn on_document(host: &Host, document: &RoutingDocument) {
    let mut desk = host.desk.lock();
    if desk.keeping {
        set_facts(&mut desk, document, host.now());
    }
}

fn set_facts(desk: &mut KeeperDesk, document: &RoutingDocument, now: ClockInstant) {
    let with_models =
        |service: &ServiceId| document.services.get(service).and_then(|entry| entry.models.clone());
    desk.plans.retain(|service, _| with_models(service).is_some());
    for service in document.services.keys() {
        let Some(facts) = with_models(service) else { continue };
        match desk.plans.get_mut(service) {
            Some(plan) => plan.set_facts(facts),
            None => {
                desk.plans.insert(service.clone(), WeightPlan::after_takeover(now, facts));
            }
        }
    }
}

/// Takes in the directory after it changed.
pub fn on_directory(host: &Host) {
    let now = host.now();
    let mut reports: BTreeMap<ServiceId, Vec<(UpstreamId, RunnerReport)>> = BTreeMap::new();
    {
        let state = host.state();
        for (name, known) in state.directory.iter() {
            let mut report = known.entry.report.clone();
            report.draining = state.directory.is_leaving(name);
            let entry = (name.clone(), report);
            reports.entry(known.entry.service.clone()).or_default().push(entry);
        }
    }
    let mut desk = host.desk.lock();
    if !desk.keeping {
        return;
    }
    for (service, plan) in &mut desk.plans {
        let reports = reports.remove(service).unwrap_or_default();
        plan.retain_runners(|runner| reports.iter().any(|(name, _)| name == runner));
        for (name, report) in reports {
            plan.on_row(now, &name, report);
        }
    }
    drop(desk);
    host.plan_wanted.notify_one();
}

/// Holds the lease or watches it, until the daemon ends.
pub async fn keep_lease(host: Arc<Host>) {
    let began = host.now();
    loop {
        if gives_way(&host) {
            give_way(&host).await;
        }
        let step = lease_step(&host, began);
        match step {
            None => sleep(LEASE_LOOK).await,
            Some(LeaseStep::Wait(span)) => sleep(span.min(LEASE_LOOK)).await,
            Some(LeaseStep::Read) => read_lease(&host).await,
            Some(LeaseStep::Write { expected, row }) => {
                write_lease(&host, expected, row).await;
            }
        }
    }
}

/// Returns what to do about the lease, `None` if this host is not the one to do anything now.
fn lease_step(host: &Host, began: ClockInstant) -> Option<LeaseStep> {
    let now = host.now();
    if host.leaving.is_cancelled() {
        return None;
    }
    let mut desk = host.desk.lock();
    let holds = desk.lease.held(now).is_some();
    if !holds && desk.keeping {
        spdlog::warn!("keeper's lease ran out", kv: { host = host.settings.host.as_str() });
        desk.keeping = false;
        desk.plans.clear();
        desk.news.clear();
    }
    if !holds {
        let state = host.state();
        let silence = match &state.keeper {
            Some(keeper) if keeper.host != host.settings.host => now.since(keeper.heard),
            _ => {
                let alone = state.keeper_left.map_or(began + START_SILENCE, |left| left.max(began));
                now.since(alone) + KEEPER_SILENCE
            }
        };
        let rank = candidate_rank(live_candidates(&state, now), own_candidate(host));
        if silence < KEEPER_SILENCE + CANDIDATE_STEP.saturating_mul(rank)
            || now.since(began) < START_SILENCE
        {
            return None;
        }
    }
    Some(desk.lease.next_step(now))
}

fn own_candidate(host: &Host) -> KeeperCandidate<'_> {
    KeeperCandidate {
        host: &host.settings.host,
        incarnation: host.incarnation,
        processor: host.settings.processor,
    }
}

/// Returns the other hosts that could keep now.
fn live_candidates(
    state: &HostState,
    now: ClockInstant,
) -> impl Iterator<Item = KeeperCandidate<'_>> {
    let silence = BeatPace::of(state.peers.len()).silence;
    let live = state
        .peers
        .iter()
        .filter(move |(_, peer)| now.since(peer.heard) < silence && !peer.leaving && peer.fresh);
    live.map(|(host, peer)| KeeperCandidate {
        host,
        incarnation: peer.incarnation,
        processor: peer.processor,
    })
}

/// Tells whether this host keeps although a much larger one could: it took the lease before it knew.
fn gives_way(host: &Host) -> bool {
    let now = host.now();
    let kept = {
        let desk = host.desk.lock();
        desk.keeping && now.since(desk.taken) > LEAST_KEEPING
    };
    let state = host.state();
    kept && is_much_larger(live_candidates(&state, now), own_candidate(host))
}

/// Gives the lease back while the daemon runs on.
async fn give_way(host: &Host) {
    spdlog::info!("keeper gives way to a larger host", kv: {
        host = host.settings.host.as_str(),
    });
    {
        let mut state = host.state();
        state.keeper = None;
        state.keeper_left = Some(host.now());
    }
    release(host).await;
    host.desk.lock().lease.on_doubt();
    send_beat(host, false);
}

async fn read_lease(host: &Host) {
    let started = host.now();
    let read = host.platform.table.read(vec![LEASE_KEY.to_owned()]).await;
    let label = if read.is_ok() { "ok" } else { "failed" };
    host.metrics.store_calls.with_label_values(&["read_lease", label]).inc();
    match read {
        Ok(rows) => {
            let row = rows.first();
            let version = row.map_or(RowVersion(0), |row| row.version);
            let content = row.map(|row| read_lease_row(host, row));
            host.desk.lock().lease.on_row(started, version, content);
        }
        Err(error) => {
            spdlog::warn!("keeper's lease cannot be read", kv: {
                cause = error.to_string().as_str(),
            });
            sleep(LEASE_RETRY).await;
        }
    }
}

/// Reads the lease's row. One that cannot be read counts as held by an unknown host, with a fencing
/// number that no holder can have reached.
fn read_lease_row(host: &Host, row: &TableRow) -> LeaseRow {
    postcard::from_bytes(&row.value).unwrap_or_else(|error| {
        spdlog::error!("row of the keeper's lease cannot be read", kv: {
            version = row.version.0,
            cause = error.to_string().as_str(),
        });
        LeaseRow {
            holder: host.settings.host.clone(),
            incarnation: HostIncarnation(0),
            fence: FenceNumber(row.version.0),
            released: false,
        }
    })
}

async fn write_lease(host: &Arc<Host>, expected: RowVersion, row: LeaseRow) {
    let started = host.now();
    match commit_lease(host, expected, &row).await {
        Ok(Some(version)) => {
            let first = {
                let mut desk = host.desk.lock();
                desk.lease.on_written(started, version, row.clone());
                let first = !std::mem::replace(&mut desk.keeping, true);
                if first {
                    desk.taken = host.now();
                }
                first
            };
            if first {
                take_over(host, &row, version);
            }
        }
        Ok(None) => host.desk.lock().lease.on_doubt(),
        Err(cause) => {
            host.desk.lock().lease.on_doubt();
            spdlog::warn!("keeper's lease cannot be written", kv: { cause = cause.as_str() });
            sleep(LEASE_LOOK).await;
        }
    }
}

/// Writes the lease's row; `None` if another version is there.
async fn commit_lease(
    host: &Host,
    expected: RowVersion,
    row: &LeaseRow,
) -> Result<Option<RowVersion>, String> {
    let value = postcard::to_stdvec(row).map_err(|error| error.to_string())?;
    let transaction = TableTransaction {
        conditions: vec![RowCondition { key: LEASE_KEY.to_owned(), version: expected }],
        writes: vec![RowWrite { key: LEASE_KEY.to_owned(), value: Some(value) }],
    };
    let committed = host.platform.table.commit(transaction).await;
    let label = if committed.is_ok() { "ok" } else { "failed" };
    host.metrics.store_calls.with_label_values(&["write_lease", label]).inc();
    match committed {
        Ok(CommitOutcome::Committed(versions)) => Ok(versions.first().copied()),
        Ok(CommitOutcome::Conflict(_)) => Ok(None),
        Err(error) => Err(error.to_string()),
    }
}

fn take_over(host: &Arc<Host>, row: &LeaseRow, version: RowVersion) {
    spdlog::info!("keeper's lease taken", kv: { fence = row.fence.0, version = version.0 });
    let now = host.now();
    let document = {
        let mut state = host.state();
        let mark = KeeperMark { fence: row.fence, row: version };
        state.keeper = Some(KnownKeeper { host: host.settings.host.clone(), mark, heard: now });
        state.document.clone()
    };
    if let Some(document) = document {
        set_facts(&mut host.desk.lock(), &document, now);
    }
    // Plans start from rows that are read from now on; those known here may be old.
    host.configuration_wanted.notify_one();
    host.directory_wanted.notify_one();
    send_beat(host, false);
    host.demand_changed.notify_one();
}

/// Gives the lease back when the daemon leaves.
pub async fn release(host: &Host) {
    let released = {
        let mut desk = host.desk.lock();
        desk.keeping = false;
        desk.plans.clear();
        desk.lease.release()
    };
    if let Some((version, row)) = released {
        match commit_lease(host, version, &row).await {
            Ok(_) => spdlog::info!("keeper's lease given back", kv: { fence = row.fence.0 }),
            Err(cause) => spdlog::warn!("keeper's lease cannot be given back", kv: {
                cause = cause.as_str(),
            }),
        }
    }
}

/// Gives the orders of the plans while this host holds the lease.
pub async fn carry_out_plans(host: Arc<Host>) {
    loop {
        let now = host.now();
        let mut due = Vec::new();
        let mut pause = PLAN_PAUSE;
        {
            let mut desk = host.desk.lock();
            if desk.keeping {
                let fence = desk.lease.may_order(now);
                for plan in desk.plans.values_mut() {
                    if let Some(fence) = fence {
                        due.extend(plan.next_orders(now).into_iter().map(|order| (order, fence)));
                    }
                    if plan.is_loading() {
                        pause = BUSY_PLAN_PAUSE;
                    }
                    if let Some(ready) = plan.next_ready(now) {
                        pause = pause.min(ready.since(now) + TIMER_STEP);
                    }
                }
            }
        }
        for (order, fence) in due {
            tokio::spawn(give_order(host.clone(), order, fence));
        }
        ask_doubtful(&host, now);
        announce(&host, now);
        let _woken = timeout(pause, host.plan_wanted.notified()).await;
    }
}

async fn give_order(host: Arc<Host>, order: PlannedOrder, fence: FenceNumber) {
    let issuer = OrderIssuer { host: &host.settings.host, fence };
    let call = (host.wire.order)(&order, &issuer);
    let started = host.now();
    let outcome = match call_runner(&host, &order.runner, &call).await {
        Some(Ok((status, _))) => (host.wire.order_outcome)(status),
        Some(Err(ExchangeError::NotSent { .. })) => OrderOutcome::Busy,
        Some(Err(ExchangeError::Broken { .. })) => OrderOutcome::Unanswered,
        None => OrderOutcome::Refused,
    };
    let now = host.now();
    let (kind, tier) = (format!("{:?}", order.kind), format!("{:?}", order.tier));
    let adapter = order.adapter.as_ref().map_or("", |adapter| adapter.as_str());
    spdlog::info!("order to runner", kv: {
        runner = order.runner.as_str(),
        kind = kind.as_str(),
        model = order.model.as_str(),
        adapter = adapter,
        tier = tier.as_str(),
        expected = order.expected_sequence,
        fence = fence.0,
        outcome = format!("{outcome:?}").as_str(),
        after_ms = now.since(started).as_millis() as u64,
    });
    let labels = [kind.as_str(), tier.as_str(), &format!("{outcome:?}")];
    host.metrics.orders.with_label_values(&labels).inc();
    let mut desk = host.desk.lock();
    for plan in desk.plans.values_mut() {
        plan.on_outcome(now, &order, outcome);
    }
    drop(desk);
    host.plan_wanted.notify_one();
}

/// Calls a runner on the fleet's own behalf; `None` if it is not known.
async fn call_runner(
    host: &Arc<Host>,
    runner: &UpstreamId,
    call: &RunnerCall,
) -> Option<Result<(http::StatusCode, bytes::Bytes), ExchangeError>> {
    let (peer, born) = {
        let state = host.state();
        let entry = &state.directory.get(runner)?.entry;
        (entry.address, entry.report.born)
    };
    let wants_pause = || host.state().directory.pause_end(host.now(), runner).is_some();
    let paused = || ExchangeError::NotSent {
        peer,
        cause: "it wants nothing for a while".to_owned(),
        refused: false,
    };
    if wants_pause() {
        return Some(Err(paused()));
    }
    let sending = Exchange {
        method: &call.method,
        target: call.path,
        headers: call.headers.clone(),
        body: call.body.clone().into(),
        head_timeout: ORDER_TIMEOUT,
    };
    let answered = async {
        let connection = open(peer, ORDER_TIMEOUT).await?;
        if wants_pause() {
            return Err(paused());
        }
        let head = exchange(connection, sending).await?;
        notices::note(host, runner, born, head.status(), head.headers());
        read_whole(peer, head, ORDER_TIMEOUT).await
    };
    Some(answered.await.map(|(status, _, body)| (status, body)))
}

fn ask_doubtful(host: &Arc<Host>, now: ClockInstant) {
    let mut desk = host.desk.lock();
    if !desk.keeping {
        return;
    }
    let doubtful: Vec<UpstreamId> =
        desk.plans.values().flat_map(|plan| plan.doubtful(now)).collect();
    for runner in doubtful {
        if desk.asking >= QUESTIONS_AT_ONCE {
            break;
        }
        if desk.asked.get(&runner).is_none_or(|again| *again <= now) {
            desk.asking += 1;
            desk.asked.insert(runner.clone(), now + ORDER_TIMEOUT + QUESTION_PAUSE);
            tokio::spawn(put_question(host.clone(), runner));
        }
    }
}

async fn put_question(host: Arc<Host>, runner: UpstreamId) {
    ask_runner(&host, &runner).await;
    let again = host.now() + QUESTION_PAUSE;
    let mut desk = host.desk.lock();
    desk.asking -= 1;
    desk.asked.insert(runner, again);
    drop(desk);
    host.plan_wanted.notify_one();
}

async fn ask_runner(host: &Arc<Host>, runner: &UpstreamId) {
    let call = (host.wire.report_call)(runner);
    let asked = host.now();
    let Some(answered) = call_runner(host, runner, &call).await else { return };
    let (status, body) = match answered {
        Ok(answered) => answered,
        Err(error) => {
            spdlog::info!("runner does not report", kv: {
                runner = runner.as_str(),
                cause = error.to_string().as_str(),
            });
            return;
        }
    };
    if !status.is_success() {
        return;
    }
    match (host.wire.report)(&body) {
        Ok(report) => {
            let now = host.now();
            let mut desk = host.desk.lock();
            for plan in desk.plans.values_mut().filter(|plan| plan.knows(runner)) {
                plan.on_report(now, runner, asked, &report);
            }
        }
        Err(error) => spdlog::warn!("report of runner cannot be read", kv: {
            runner = runner.as_str(),
            cause = error.to_string().as_str(),
        }),
    }
}

/// Tells all hosts what runners hold.
fn announce(host: &Host, now: ClockInstant) {
    let (fence, news) = {
        let mut desk = host.desk.lock();
        let Some((fence, _)) = desk.lease.held(now).filter(|_| desk.keeping) else { return };
        let all = desk.plans.values().flat_map(|plan| plan.holdings(now));
        let all: Vec<_> = all.map(|(runner, born, held)| (runner, (born, held))).collect();
        (fence, desk.news.next(now, all))
    };
    let holdings = |(runner, (born, held))| RunnerHoldings { runner, born, held };
    let news: Vec<RunnerHoldings> = news.into_iter().map(holdings).collect();
    for part in news.chunks(RUNNERS_A_DATAGRAM) {
        send_to_all(host, &PeerNote::Holdings(fence, part.to_vec()));
    }
    if !news.is_empty() {
        adopt_holdings(host, fence, news);
    }
}
