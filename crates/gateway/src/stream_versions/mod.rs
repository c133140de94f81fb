//! Lets a stream go on only at the software version that began it.
//!
//! [`history`] knows which versions serve, [`origins`] who began which stream, and [`archive`] keeps
//! that in the store for the time after all hosts were killed.

pub mod archive;
pub mod history;
pub mod origins;

use std::sync::Arc;

use dotterellane_decisions::stream_versions::{StreamDigest, StreamOrigin};
use dotterellane_units::{ClockInstant, ServiceId, SoftwareVersion, StoreInstant};
use http::StatusCode;

use self::history::StoreReading;
use crate::directory::KnownUpstream;
use crate::document::CallKind;
use crate::handler::{Admission, GatewayCall};
use crate::refusal::GatewayRefusal;
use crate::state::{Host, HostState};

/// Status of a refused resumption, which did not run.
const REFUSED: StatusCode = StatusCode::SERVICE_UNAVAILABLE;

/// Which software versions may run a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AllowedVersions {
    /// All: the response is no stream that can be resumed.
    All,
    /// Those at which a stream may begin: every host knows that they serve.
    Settled,
    /// The one that began the stream; `None` is an unknown one, which equals no other.
    Begun(Option<SoftwareVersion>),
}

impl AllowedVersions {
    /// Returns whether `upstream` of `service` may run the request; `state` is that of this host.
    pub fn includes(
        &self,
        state: &HostState,
        now: ClockInstant,
        service: &ServiceId,
        upstream: &KnownUpstream,
    ) -> bool {
        let version = upstream.entry.version.as_ref();
        match self {
            Self::All => true,
            Self::Settled => state.versions.is_usable(service, version, state.store_reading(now)),
            Self::Begun(begun) => version.is_some() && version == begun.as_ref(),
        }
    }
}

/// What is known about the stream of a request before it is sent.
#[derive(Clone, Debug)]
pub struct StreamStart {
    /// Which versions may run the request.
    pub allowed: AllowedVersions,
    /// Service that the stream must go on at; `None` if the route's weights decide.
    pub service: Option<ServiceId>,
    /// Digest by which the stream is remembered; `None` if it is not.
    pub digest: Option<StreamDigest>,
}

/// Finds out which versions may run a request.
///
/// # Errors
/// Fails if the request resumes a stream and its version is not known, or serves no more.
pub async fn start_stream(
    host: &Arc<Host>,
    call: &GatewayCall,
    admission: &Admission,
) -> Result<StreamStart, GatewayRefusal> {
    if admission.route.kind != CallKind::ResumableStream {
        return Ok(StreamStart { allowed: AllowedVersions::All, service: None, digest: None });
    }
    let digest = stream_digest(call, admission);
    if call.head.last_event.is_none() {
        return Ok(StreamStart { allowed: AllowedVersions::Settled, service: None, digest });
    }
    let StreamOrigin { service, version } =
        origins::find_origin(host, call, admission, digest).await?;
    if !admission.route.leads_to(&service) {
        return Err(GatewayRefusal::fixed(REFUSED, "stream_service_not_allowed"));
    }
    if host.state().versions.is_gone(host.now(), &service, &version) {
        return Err(GatewayRefusal::fixed(REFUSED, "stream_version_gone"));
    }
    let allowed = AllowedVersions::Begun(Some(version));
    Ok(StreamStart { allowed, service: Some(service), digest })
}

/// Returns the digest of the request that began the stream: the one that the caller resumes, else
/// this one.
fn stream_digest(call: &GatewayCall, admission: &Admission) -> Option<StreamDigest> {
    let own = call.head.request_id.as_bytes();
    let first = match &call.head.resumes {
        Some(first) => first.as_bytes(),
        None if call.head.last_event.is_some() => return None,
        None => own,
    };
    let team = admission.team.as_ref().map(|(team, _)| team);
    (!first.is_empty()).then(|| StreamDigest::of(team, first))
}

impl HostState {
    /// Returns the time by the store's clock, exact or slightly too early; `None` if it is unknown.
    pub fn store_now(&self, now: ClockInstant) -> Option<StoreInstant> {
        self.store_clock.to_store(now)
    }

    /// Returns the time by the store's clock with the era to which it belongs.
    pub fn store_reading(&self, now: ClockInstant) -> StoreReading {
        StoreReading { era: self.store_era.unwrap_or_default(), time: self.store_now(now) }
    }
}

/// Returns the version of `service` that began all streams that may still be resumed, if there is
/// only one and that is certain.
pub fn sole_origin(
    state: &HostState,
    now: ClockInstant,
    service: &ServiceId,
) -> Option<StreamOrigin> {
    let version = state.versions.sole_version(now, service, state.store_reading(now))?;
    Some(StreamOrigin { service: service.clone(), version: version.clone() })
}
