//! Datagrams between daemons, encoded with postcard.

use std::net::SocketAddr;
use std::time::Duration;

use dotterellane_decisions::cold_upstreams::ColdMark;
use dotterellane_decisions::evacuations::EvacuationReport;
use dotterellane_decisions::leaving_marks::LeavingMark;
use dotterellane_decisions::quarantine::{CrashReport, RememberedCrash};
use dotterellane_decisions::room_account::LoadReport;
use dotterellane_decisions::send_permits::PermitRequest;
use dotterellane_decisions::stream_versions::{
    OriginReport, StreamDigest, StreamOrigin, VersionHistory,
};
use dotterellane_decisions::team_buckets::SpendingReport;
use dotterellane_decisions::upstream_pace::PaceSample;
use dotterellane_decisions::weight_plan::{HeldModel, HostDemand};
use dotterellane_units::{
    DomainId, FenceNumber, HostId, HostIncarnation, RequestRate, RowVersion, ServiceId, StoreEra,
    StoreInstant, TeamId, TokenCount, UpstreamId,
};
use serde::{Deserialize, Serialize};

use crate::reach::ReachReport;

/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A datagram: a message and its sender.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerDatagram {
    /// Sending host.
    pub from: HostId,
    /// Incarnation of the sending daemon.
    pub incarnation: HostIncarnation,
    /// Content of the datagram.
    pub message: PeerMessage,
}

/// A message from one daemon to another.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerMessage {
    /// Sent to all peers, several times a second.
    Heartbeat(Box<Heartbeat>),
    /// Sent to the leader: the demand for models by service, and upstreams that accept no
    /// connections.
    Demand(Vec<(ServiceId, HostDemand)>, Vec<UpstreamId>),
    /// Sent by the leader, with the fencing number of its lease: the models that runners hold.
    Holdings(FenceNumber, Vec<RunnerHoldings>),
    /// Sent by the leader: changed rows of the directory that affect routing.
    DirectoryRows(Vec<DirectoryRow>),
    /// Sent to all peers: a request crashed an upstream, or a suspected one succeeded.
    Crash(CrashReport),
    /// Sent to the leader: a request for tokens of a team.
    GrantRequest(GrantRequest),
    /// Sent by the leader: the answer to the grant request with this id.
    GrantAnswer(u64, GrantAnswer),
    /// Sent to the issuer of permits: a request for one.
    PermitQuestion(PermitQuestion),
    /// Sent by the issuer of permits: the answer to the question with this id.
    PermitAnswer(u64, PermitAnswer),
    /// Sent to all peers: rate limits that hold at once.
    RateLimits(Vec<LimitReport>),
    /// Sent by the leader: which software versions serve.
    Versions(VersionsReport),
    /// Sent to some hosts: where streams began that the sender began.
    StreamOrigins(Vec<OriginReport>),
    /// Asks, with a random id, where a stream began.
    OriginQuestion(u64, StreamDigest),
    /// Where the stream of the question with this id began; `None` if the sender does not know.
    OriginAnswer(u64, Option<StreamOrigin>),
}

/// The software versions that serve, as the leader announces them.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VersionsReport {
    /// Fencing number of the leader's lease.
    pub fence: FenceNumber,
    /// Version of the history's row.
    pub row: RowVersion,
    /// When that row was the newest, by the store's clock.
    pub at: StoreInstant,
    /// Content of the row.
    pub history: VersionHistory,
}

/// What an upstream announced about its rate limit, as hosts report it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LimitReport {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start time of the upstream, in milliseconds, as its row states it.
    pub started_at: u64,
    /// The limit; `None` if it has ended.
    pub limit: Option<RequestRate>,
    /// When the request was sent whose response announced this; `None` if the reporting host does
    /// not know the store's clock.
    pub asked_at: Option<StoreInstant>,
}

/// What a host knows of the limit on requests to an upstream.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KnownLimit {
    /// What the upstream announced; `None` if it announced nothing.
    pub announced: Option<LimitReport>,
    /// That it is cold; `None` if it is not.
    pub cold: Option<ColdMark>,
}

/// A request for a permit to send.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PermitQuestion {
    /// Random id; the same when the question is sent again.
    pub id: u64,
    /// The request that needs the permit.
    pub request: PermitRequest,
    /// What the asking host knows of the upstream's limit.
    pub known: KnownLimit,
}

/// The issuer's answer to a request for a permit.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PermitAnswer {
    /// The request may be sent after this time.
    SlotIn(Duration),
    /// The request could only be sent after this time, which is too late for it.
    TooLate(Duration),
    /// The upstream's limit is another one, or has ended.
    OtherLimit(KnownLimit),
    /// The receiving host does not issue permits.
    NotIssuer,
}

/// A row of the directory as read from the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DirectoryRow {
    /// Key of the row, the name of the upstream.
    pub key: String,
    /// Version of the row in the store.
    pub version: RowVersion,
    /// Content of the row; `None` if it was removed.
    pub value: Option<Vec<u8>>,
}

/// A request to the leader for tokens of a team.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantRequest {
    /// Random id; the same when the request is sent again.
    pub id: u64,
    /// Team whose bucket is charged.
    pub team: TeamId,
    /// Number of tokens to take.
    pub tokens: TokenCount,
}

/// The leader's answer to a grant request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GrantAnswer {
    /// The tokens may be spent.
    Granted,
    /// The team has too few tokens until this time has passed.
    OverRate(Duration),
    /// The receiving host is not the leader.
    NotLeader,
}

/// Periodic message by which a host shows that it is alive and shares its state.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Heartbeat {
    /// Whether the host is shutting down.
    pub leaving: bool,
    /// Whether the store answers the host and its configuration counts as the newest.
    pub fresh: bool,
    /// Newest configuration that the host knows to have been in use.
    pub configuration: ConfigurationMark,
    /// CPU capacity of the host, in thousandths of a core.
    pub processor: u32,
    /// Failure domain of the host; `None` if it does not say.
    pub domain: Option<DomainId>,
    /// Whether the host reaches upstreams.
    pub reach: ReachReport,
    /// Number of hosts, itself included, that the host observed of late; 0 if it does not know.
    pub hosts: u32,
    /// Tokens that the host charged, by team.
    pub spending: SpendingReport,
    /// Its requests in flight, by upstream.
    pub running: LoadReport,
    /// How fast its last streams were.
    pub paces: Vec<PaceSample>,
    /// Upstreams that announced that they are leaving: recent ones, in a full heartbeat all of
    /// them.
    pub leaving_upstreams: Vec<LeavingMark>,
    /// All that the host knows of evacuations, so that no observation of the store comes without
    /// it.
    pub evacuations: Vec<EvacuationReport>,
    /// Rate limits that upstreams announced, or ended: recent ones, in a full heartbeat all that
    /// fit.
    pub rate_limits: Vec<LimitReport>,
    /// Upstreams that are cold and have a limit then.
    pub cold_upstreams: Vec<ColdMark>,
    /// Crashes for which requests are quarantined: recent ones, in a full heartbeat all that fit.
    pub crashes: Vec<RememberedCrash>,
    /// The leader lease; `None` unless the host holds it.
    pub leader: Option<LeaseMark>,
    /// What the host last saw in the store; only the leader sends it.
    pub observation: Option<StoreObservation>,
    /// Addresses of some daemons that the host hears from; empty unless the heartbeat is a full
    /// one.
    pub peers: Vec<SocketAddr>,
}

/// A configuration that was in use. The one with the higher revision is the newer one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ConfigurationMark {
    /// Revision, as the operators wrote it.
    pub revision: u64,
    /// Version of its row.
    pub version: RowVersion,
}

/// What a host saw in the store, and when by the store's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoreObservation {
    /// Era of the store, to which the times of its clock belong.
    pub era: StoreEra,
    /// Version of the newest configuration, also if the leader cannot use it.
    pub configuration: RowVersion,
    /// Time at which the configuration that the leader uses was the newest.
    pub configuration_at: StoreInstant,
    /// Digest of the directory's fields that affect routing.
    pub directory: u64,
    /// Time at which the directory had that digest.
    pub directory_at: StoreInstant,
}

/// The state of the leader lease as its holder announces it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaseMark {
    /// Fencing number of the lease.
    pub fence: FenceNumber,
    /// Version of the lease's row after the last renewal.
    pub row: RowVersion,
}

/// The models that a runner holds, as the leader knows them.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerHoldings {
    /// Name of the runner.
    pub runner: UpstreamId,
    /// Start time of the runner, in milliseconds, as its row states it.
    pub started_at: u64,
    /// Models that are ready to serve, with their adapters.
    pub held: Vec<HeldModel>,
}
