//! Giving the plans' orders, asking runners, and telling all hosts what runners hold.

use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::weight_plan::{OrderOutcome, PlannedOrder};
use dotterellane_units::{ClockInstant, FenceNumber, UpstreamId};
use tokio::time::timeout;

use super::adopt_holdings;
use crate::call::{OrderIssuer, RunnerCall};
use crate::exchange::{Exchange, ExchangeError, exchange, open, read_whole};
use crate::messages::{PeerNote, RunnerHoldings};
use crate::notices;
use crate::peers::send_to_all;
use crate::state::Host;

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
    let call = (host.wire.order_call)(&order, &issuer);
    let started = host.now();
    // The connection may have taken long, and the host may have stood still meanwhile.
    let may_order = {
        let host = host.clone();
        move || host.desk.lock().lease.may_order(host.now()) == Some(fence)
    };
    let outcome = match call_runner(&host, &order.runner, &call, may_order).await {
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
    let mut desk = host.desk.lock();
    for plan in desk.plans.values_mut() {
        plan.on_outcome(now, &order, outcome);
    }
    drop(desk);
    host.plan_wanted.notify_one();
}

/// Calls a runner on the fleet's own behalf, if that is wanted still once the connection is open; `None`
/// if the runner is not known.
async fn call_runner<W>(
    host: &Arc<Host>,
    runner: &UpstreamId,
    call: &RunnerCall,
    is_wanted: W,
) -> Option<Result<(http::StatusCode, bytes::Bytes), ExchangeError>>
where
    W: Fn() -> bool + Clone + Send + Sync + 'static,
{
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
        let connection = open(peer, ORDER_TIMEOUT, Box::new(is_wanted.clone())).await?;
        if wants_pause() {
            return Err(paused());
        }
        if !is_wanted() {
            let cause = "it is no longer wanted".to_owned();
            return Err(ExchangeError::NotSent { peer, cause, refused: false });
        }
        let head = exchange(connection, sending).await?;
        notices::note(host, runner, born, head.status(), head.headers());
        read_whole(peer, head, ORDER_TIMEOUT, &host.answer_memory).await
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
    let Some(answered) = call_runner(host, runner, &call, || true).await else { return };
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
    match (host.wire.parse_report)(&body) {
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
