//! Dispatch of one daemon alone over runners that it may wake at will.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dotterellane_decisions::rendezvous::role_order;
use dotterellane_units::{HostId, ModelId, UpstreamId};

use crate::{DispatchPermit, FleetPorts, PermitRefusal, PermitRequest};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A runner that this daemon may use.
#[derive(Clone, Debug)]
pub struct LocalRunner {
    /// Name of the runner.
    pub runner: UpstreamId,
    /// Address of its HTTP server.
    pub address: SocketAddr,
}

/// Sets permits that go to the runner that holds a model by hash order.
///
/// `wake` loads a model on a runner if it is not loaded yet and tells whether it is now.
#[must_use]
pub fn with_local_dispatch<W, WF>(
    ports: FleetPorts,
    runners: Vec<LocalRunner>,
    wake: W,
) -> FleetPorts
where
    W: Fn(UpstreamId, ModelId) -> WF + Send + Sync + 'static,
    WF: Future<Output = bool> + Send + 'static,
{
    let (runners, wake) = (Arc::new(runners), Arc::new(wake));
    let numbers = Arc::new(AtomicU64::new(1));
    ports.with_dispatch(
        move |request: PermitRequest| {
            let (runners, wake, numbers) = (runners.clone(), wake.clone(), numbers.clone());
            async move {
                for runner in order_runners(&runners, &request) {
                    let model = request.model.clone();
                    if !wake(runner.runner.clone(), model.clone()).await {
                        continue;
                    }
                    return Ok(DispatchPermit {
                        number: numbers.fetch_add(1, Ordering::Relaxed),
                        request: request.request,
                        model,
                        runner: runner.runner.clone(),
                        address: runner.address,
                        priority: 0,
                    });
                }
                Err(PermitRefusal::TooLate { model: request.model, retry_after: RETRY_AFTER })
            }
        },
        |_permit, _outcome| (),
    )
}

fn order_runners<'a>(runners: &'a [LocalRunner], request: &PermitRequest) -> Vec<&'a LocalRunner> {
    let names: Vec<HostId> =
        runners.iter().filter_map(|runner| runner.runner.as_str().parse().ok()).collect();
    role_order("runner", request.model.as_str(), &names)
        .into_iter()
        .filter_map(|name| runners.iter().find(|runner| runner.runner.as_str() == name.as_str()))
        .filter(|runner| !request.excluded.contains(&runner.runner))
        .collect()
}
