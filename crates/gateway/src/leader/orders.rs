//! Sends the plans' orders to runners, queries runners for reports, and broadcasts the models that
//! they hold.

use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::allowed_regions::AllowedRegions;
use dotterellane_decisions::send_permits::{PermitRequest, SendPermit};
use dotterellane_decisions::weight_plan::{OrderOutcome, PlannedOrder};
use dotterellane_units::{ClockInstant, FenceNumber, UpstreamId};
use tokio::time::{sleep, timeout};

use super::adopt_holdings;
use crate::call::{OrderIssuer, RunnerCall};
use crate::exchange::{ConnectFailure, Exchange, ExchangeError, exchange, read_whole};
use crate::messages::{PeerMessage, RunnerHoldings};
use crate::notices::{self, NoticeSource};
use crate::peers::send_to_all;
use crate::permits::{PermitOutcome, SendTarget, is_permitted, open, request_permit};
use crate::reach::SendWay;
use crate::state::Host;

/// Maximum interval between two evaluations of the plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum interval between two evaluations of the plans while a runner loads a model.
const BUSY_PLAN_INTERVAL: Duration = Duration::from_millis(60);

/// Granularity of timers, which may fire this much early.
const TIMER_GRANULARITY: Duration = Duration::from_millis(1);

/// Time within which a runner has to respond to an order or a query.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of runners in one datagram of holdings.
const RUNNERS_PER_DATAGRAM: usize = 32;

/// Minimum interval between two queries to the same runner.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of concurrent queries; a new leader has to query all runners.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// Why the leader calls a runner.
#[derive(Clone, Copy, Debug)]
enum CallPurpose {
    /// To give it an order.
    Order,
    /// To ask it for its report.
    Report,
}

impl CallPurpose {
    /// Returns the label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Order => "order",
            Self::Report => "report",
        }
    }
}

/// Evaluates the plans and sends their orders while this host is the leader.
pub async fn run_plans(host: Arc<Host>) {
    loop {
        let now = host.now();
        let mut due = Vec::new();
        let mut pause = PLAN_INTERVAL;
        {
            let mut leadership = host.leadership.lock();
            if leadership.is_leader {
                let fence = leadership.lease.may_order(now);
                for plan in leadership.plans.values_mut() {
                    if let Some(fence) = fence {
                        due.extend(plan.next_orders(now).into_iter().map(|order| (order, fence)));
                    }
                    if plan.is_loading() {
                        pause = BUSY_PLAN_INTERVAL;
                    }
                    if let Some(ready) = plan.next_ready(now) {
                        pause = pause.min(ready.since(now) + TIMER_GRANULARITY);
                    }
                }
            }
        }
        for (order, fence) in due {
            tokio::spawn(send_order(host.clone(), order, fence));
        }
        query_runners(&host, now);
        broadcast_holdings(&host, now);
        let _woken = timeout(pause, host.plan_wanted.notified()).await;
    }
}

async fn send_order(host: Arc<Host>, order: PlannedOrder, fence: FenceNumber) {
    let issuer = OrderIssuer { host: &host.settings.host, fence };
    let call = (host.wire.order_call)(&order, &issuer);
    let started = host.now();
    // The lease may have expired while the connection was established or the host was suspended.
    let may_order = {
        let host = host.clone();
        move || host.leadership.lock().lease.may_order(host.now()) == Some(fence)
    };
    let called = call_runner(&host, &order.runner, CallPurpose::Order, &call, may_order).await;
    let outcome = match called {
        Some(Ok((status, _))) => (host.wire.order_outcome)(status),
        Some(Err(ExchangeError::NotSent { .. } | ExchangeError::Withheld { .. })) => {
            OrderOutcome::Busy
        }
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
    let mut leadership = host.leadership.lock();
    for plan in leadership.plans.values_mut() {
        plan.on_outcome(now, &order, outcome);
    }
    drop(leadership);
    host.plan_wanted.notify_one();
}

/// Calls a runner, unless `is_wanted` returns `false` by the time the connection is established;
/// `None` if the runner is unknown.
async fn call_runner<W>(
    host: &Arc<Host>,
    runner: &UpstreamId,
    purpose: CallPurpose,
    call: &RunnerCall,
    is_wanted: W,
) -> Option<Result<(http::StatusCode, bytes::Bytes), ExchangeError>>
where
    W: Fn() -> bool + Clone + Send + Sync + 'static,
{
    let (peer, started_at) = {
        let state = host.state();
        let entry = &state.directory.get(runner)?.entry;
        (entry.address, entry.report.started_at)
    };
    let withheld = || {
        let state = host.state();
        let cause = if state.directory.is_evacuated(runner) {
            "its failure domain is evacuated"
        } else {
            state.directory.pause_end(host.now(), runner).map(|_| "runner asked for a pause")?
        };
        Some(ExchangeError::NotSent {
            peer,
            cause: cause.to_owned(),
            failure: ConnectFailure::Unrelated,
        })
    };
    if let Some(error) = withheld() {
        return Some(Err(error));
    }
    let permit = match call_permit(host, runner, started_at).await {
        Ok(permit) => permit,
        Err(slot) => {
            let cause = format!("rate limit of the runner, for {:?}", slot.since(host.now()));
            return Some(Err(ExchangeError::NotSent {
                peer,
                cause,
                failure: ConnectFailure::Unrelated,
            }));
        }
    };
    let regions = AllowedRegions::Any;
    let target =
        SendTarget { upstream: runner.clone(), address: peer, started_at, permit, regions };
    let sending = Exchange {
        method: &call.method,
        target: call.path,
        headers: call.headers.clone(),
        body: call.body.clone().into(),
        head_timeout: ORDER_TIMEOUT,
    };
    let answered = async {
        let check = Box::new(is_wanted.clone());
        let connection = open(host, &target, ORDER_TIMEOUT, SendWay::Direct, check).await?;
        if let Some(error) = withheld() {
            return Err(error);
        }
        if !is_wanted() || !is_permitted(host, &target) {
            let cause = "no longer wanted".to_owned();
            return Err(ExchangeError::NotSent { peer, cause, failure: ConnectFailure::Unrelated });
        }
        host.metrics.runner_calls.with_label_values(&[purpose.label()]).inc();
        let asked_at = host.now();
        let head = exchange(connection, sending).await?;
        let source = NoticeSource {
            upstream: runner,
            started_at,
            asked_at,
            ends_limit: false,
            not_run: false,
        };
        notices::record(host, source, head.status(), head.headers());
        read_whole(peer, head, ORDER_TIMEOUT, &host.response_memory).await
    };
    Some(answered.await.map(|(status, _, body)| (status, body)))
}

/// Gets the permit for a call of the leader, and waits for its slot; `None` if the runner has no
/// rate limit.
///
/// # Errors
/// Fails with the earliest slot if that is too late.
async fn call_permit(
    host: &Arc<Host>,
    runner: &UpstreamId,
    started_at: u64,
) -> Result<Option<Box<SendPermit>>, ClockInstant> {
    let limit = host.state().directory.rate_limit_of(host.now(), runner, started_at);
    let Some(limit) = limit else { return Ok(None) };
    let request = PermitRequest {
        upstream: runner.clone(),
        started_at,
        limit,
        team: None,
        longest_wait: ORDER_TIMEOUT,
    };
    match request_permit(host, request).await {
        PermitOutcome::Issued(permit) => {
            sleep(permit.slot.since(host.now())).await;
            Ok(Some(Box::new(permit)))
        }
        PermitOutcome::TooLate(slot) => Err(slot),
        PermitOutcome::LimitChanged => Err(host.now()),
    }
}

fn query_runners(host: &Arc<Host>, now: ClockInstant) {
    let mut leadership = host.leadership.lock();
    if !leadership.is_leader {
        return;
    }
    let runners: Vec<UpstreamId> =
        leadership.plans.values().flat_map(|plan| plan.runners_to_query(now)).collect();
    for runner in runners {
        if leadership.pending_queries >= MAX_CONCURRENT_QUERIES {
            break;
        }
        if leadership.next_query.get(&runner).is_none_or(|again| *again <= now) {
            leadership.pending_queries += 1;
            leadership.next_query.insert(runner.clone(), now + ORDER_TIMEOUT + MIN_QUERY_INTERVAL);
            tokio::spawn(query_runner(host.clone(), runner));
        }
    }
}

async fn query_runner(host: Arc<Host>, runner: UpstreamId) {
    fetch_report(&host, &runner).await;
    let again = host.now() + MIN_QUERY_INTERVAL;
    let mut leadership = host.leadership.lock();
    leadership.pending_queries -= 1;
    leadership.next_query.insert(runner, again);
    drop(leadership);
    host.plan_wanted.notify_one();
}

async fn fetch_report(host: &Arc<Host>, runner: &UpstreamId) {
    let call = (host.wire.report_call)(runner);
    let sent_at = host.now();
    let answered = call_runner(host, runner, CallPurpose::Report, &call, || true).await;
    let Some(answered) = answered else { return };
    let (status, body) = match answered {
        Ok(answered) => answered,
        Err(error) => {
            spdlog::info!("runner query failed", kv: {
                runner = runner.as_str(),
                cause = error.to_string().as_str(),
            });
            return;
        }
    };
    if !status.is_success() {
        return;
    }
    match (host.wire.parse_report)(&body) {
        Ok(report) => {
            let now = host.now();
            let mut leadership = host.leadership.lock();
            for plan in leadership.plans.values_mut().filter(|plan| plan.contains_runner(runner)) {
                plan.on_report(now, runner, sent_at, &report);
            }
        }
        Err(error) => spdlog::warn!("runner report cannot be parsed", kv: {
            runner = runner.as_str(),
            cause = error.to_string().as_str(),
        }),
    }
}

/// Broadcasts changes of the models that runners hold.
fn broadcast_holdings(host: &Host, now: ClockInstant) {
    let (fence, updates) = {
        let mut state = host.leadership.lock();
        let Some((fence, _)) = state.lease.held(now).filter(|_| state.is_leader) else { return };
        let all = state.plans.values().flat_map(|plan| plan.holdings(now));
        let all: Vec<_> =
            all.map(|(runner, started_at, held)| (runner, (started_at, held))).collect();
        (fence, state.updates.due_updates(now, all))
    };
    let holdings = |(runner, (started_at, held))| RunnerHoldings { runner, started_at, held };
    let updates: Vec<RunnerHoldings> = updates.into_iter().map(holdings).collect();
    for part in updates.chunks(RUNNERS_PER_DATAGRAM) {
        send_to_all(host, &PeerMessage::Holdings(fence, part.to_vec()));
    }
    if !updates.is_empty() {
        adopt_holdings(host, fence, updates);
    }
}
