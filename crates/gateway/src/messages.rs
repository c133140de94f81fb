//! Datagrams between daemons.

use std::net::SocketAddr;
use std::time::Duration;

use dotterellane_decisions::leaving_marks::LeavingMark;
use dotterellane_decisions::quarantine::{CrashReport, RememberedCrash};
use dotterellane_decisions::team_buckets::SpendingReport;
use dotterellane_decisions::weight_plan::{HeldModel, HostDemand};
use dotterellane_units::{
    FenceNumber, HostId, HostIncarnation, RowVersion, ServiceId, StoreInstant, TeamId, TokenCount,
    UpstreamId,
};
use serde::{Deserialize, Serialize};

/// Longest datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 60_000;

/// A datagram: who sent it and what it says.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerDatagram {
    /// Host that sent it.
    pub from: HostId,
    /// Incarnation of its daemon.
    pub incarnation: HostIncarnation,
    /// What it says.
    pub note: PeerNote,
}

/// What a daemon says to others.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum PeerNote {
    /// Sent to everyone, several times a second.
    Beat(HostBeat),
    /// Sent to the keeper: what is asked of models, and upstreams that accept no connections.
    Demand(Vec<(ServiceId, HostDemand)>, Vec<UpstreamId>),
    /// Sent by the keeper when what runners hold changes.
    Holdings(FenceNumber, Vec<RunnerHoldings>),
    /// Sent by the keeper: rows of the directory that changed who may get requests.
    DirectoryRows(Vec<DirectoryRow>),
    /// A request crashed an upstream.
    Crash(CrashReport),
    /// Sent to the keeper: a request needs tokens of a team.
    GrantRequest(GrantRequest),
    /// Sent by the keeper: the answer to the request for tokens with this number.
    GrantAnswer(u64, GrantAnswer),
}

/// A row of the directory as the store showed it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct DirectoryRow {
    /// Name of the upstream.
    pub key: String,
    /// Version of the row.
    pub version: RowVersion,
    /// Content; `None` if the row was removed.
    pub value: Option<Vec<u8>>,
}

/// A question to the keeper for tokens of a team.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct GrantRequest {
    /// Drawn at random; the same if the question is put again.
    pub number: u64,
    /// Team that pays.
    pub team: TeamId,
    /// Tokens that are needed.
    pub tokens: TokenCount,
}

/// What the keeper says to a request for tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum GrantAnswer {
    /// The tokens may be spent.
    Granted,
    /// The team is over its rate for this time.
    Over(Duration),
    /// The host that was asked is not the keeper.
    NotKeeper,
}

/// Signs of life and what the host spent.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct HostBeat {
    /// Whether the host leaves now.
    pub leaving: bool,
    /// Whether the store answers it and its configuration counts as the newest.
    pub fresh: bool,
    /// Processor that it has, in thousandths of a core.
    pub processor: u32,
    /// What it spent, by team.
    pub spending: SpendingReport,
    /// Requests that it runs, by upstream.
    pub running: Vec<(UpstreamId, u32)>,
    /// Upstreams that said that they leave: those of late, or all of them now and then.
    pub leaving_upstreams: Vec<LeavingMark>,
    /// Crashes from which requests are quarantined: those of late, or all of them now and then.
    pub crashes: Vec<RememberedCrash>,
    /// The keeper's lease, if it holds it.
    pub keeper: Option<KeeperMark>,
    /// What the store showed it last; only the keeper tells.
    pub sighting: Option<StoreSighting>,
    /// Other daemons that it hears; sent now and then.
    pub peers: Vec<SocketAddr>,
}

/// What one host saw at the store, and when by the store's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoreSighting {
    /// Version of the configuration.
    pub configuration: RowVersion,
    /// When it was the newest.
    pub configuration_at: StoreInstant,
    /// Digest of what the directory says of who may get requests.
    pub directory: u64,
    /// When it said so.
    pub directory_at: StoreInstant,
}

/// The lease of the keeper.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct KeeperMark {
    /// Fencing number.
    pub fence: FenceNumber,
    /// Version of the lease's row when it was last renewed.
    pub row: RowVersion,
}

/// What a runner holds, as its keeper knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RunnerHoldings {
    /// Runner.
    pub runner: UpstreamId,
    /// Start of the runner, in milliseconds.
    pub born: u64,
    /// Models that are ready.
    pub held: Vec<HeldModel>,
}
