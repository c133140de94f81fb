//! Test environment: an entry with a simulated fleet, and an HTTP client.
#![allow(dead_code, reason = "each test file uses its part")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dotterellane_entry::{EntryContext, EntryLimits, TlsIdentity, serve};
use dotterellane_fleet::{
    CallOutcome, ChargeRefusal, ConfigurationFeed, ConfigurationSnapshot, DispatchPermit,
    FleetPorts, FreshnessState, PermitRefusal,
};
use dotterellane_platform::PlatformTable;
use dotterellane_platform::memory::MemoryPlatform;
use dotterellane_settings::document::{
    AdapterEntry, CallKind, CallerScope, ConfigurationDocument, KeyEntry, ModelEntry, RunnerEntry,
    ServiceEntry, TeamEntry, UpstreamEntry, UpstreamRole,
};
use dotterellane_units::{
    ByteSize, ClockInstant, ClockSource, ConfigVersion, TokenCount, TokenRate, UpstreamId,
};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Key of team `north`.
pub const NORTH_KEY: &str = "dk_north1_secretofnorth";

/// Key of team `south`.
pub const SOUTH_KEY: &str = "dk_south1_secretofsouth";

/// Behaviour of the simulated fleet, and what the entry did to it.
#[derive(Debug)]
pub struct FleetState {
    /// Runners in order of preference.
    pub runners: Vec<(UpstreamId, SocketAddr)>,
    /// Freshness that the entry sees.
    pub freshness: FreshnessState,
    /// Refusal of every charge, `None` to accept charges.
    pub charge_refusal: Option<ChargeRefusal>,
    /// Whether requests for permits are never answered.
    pub permits_stuck: bool,
    /// Whether the daemon becomes stale when a charge is made.
    pub stale_with_charge: bool,
    /// Whether the daemon becomes stale when a permit is granted.
    pub stale_with_permit: bool,
    /// Runners and outcomes of the released permits.
    pub released: Vec<(UpstreamId, CallOutcome)>,
    /// Number of permits granted and not yet released.
    pub permits_out: i64,
    /// Tokens charged, less those refunded.
    pub tokens_used: i64,
}

/// Running entry with its simulated fleet.
pub struct EntryEnvironment {
    /// Address of the entry.
    pub address: SocketAddr,
    /// Simulated fleet.
    pub fleet: Arc<Mutex<FleetState>>,
    /// Feed of the configuration that the entry follows.
    pub feed: ConfigurationFeed,
    /// Shuts the entry down when cancelled.
    pub shutdown: CancellationToken,
    /// Task that runs the entry.
    pub server: JoinHandle<std::io::Result<()>>,
}

/// Response as a caller receives it.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body as far as it was received.
    pub body: String,
    /// Whether the body was received completely.
    pub complete: bool,
}

impl ReceivedResponse {
    /// Returns whether the response states that the request was not run.
    pub fn says_not_run(&self) -> bool {
        self.headers.contains_key("dotterellane-not-run")
    }

    /// Returns the value of a header, empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the error code of a JSON body or of the last event of a stream, empty if none.
    pub fn error_code(&self) -> String {
        let last = self.body.trim().rsplit("data: ").next().unwrap_or_default();
        let document: serde_json::Value = serde_json::from_str(last).unwrap_or_default();
        document["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the text of all chunks of a streamed chat response.
    pub fn stream_text(&self) -> String {
        let events = self.body.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
        let documents = events.filter_map(|event| serde_json::from_str(event).ok());
        documents
            .filter_map(|document: serde_json::Value| {
                document["choices"][0]["delta"]["content"].as_str().map(str::to_owned)
            })
            .collect()
    }
}

/// Returns the text that a runner generates for an output of `tokens` tokens.
pub fn expected_text(tokens: u64) -> String {
    (0..tokens).map(|number| format!("t{number} ")).collect()
}

/// Returns a clock that follows the time of tokio, paused or not.
pub fn test_clock() -> ClockSource {
    let origin = tokio::time::Instant::now();
    ClockSource::new(move || {
        ClockInstant(u64::try_from(origin.elapsed().as_nanos()).unwrap_or(u64::MAX))
    })
}

/// Returns limits with timeouts short enough for tests in real time.
pub fn test_limits() -> EntryLimits {
    EntryLimits {
        connect_timeout: Duration::from_millis(500),
        idle_timeout: Duration::from_millis(300),
        head_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        write_timeout: Duration::from_millis(300),
        shutdown_delay: Duration::from_millis(50),
        ..EntryLimits::default()
    }
}

fn id<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid id")
}

/// Returns the configuration of a model for all teams.
pub fn model_entry(deadline: Duration) -> ModelEntry {
    ModelEntry {
        version: id("v1"),
        memory: ByteSize::gibibytes(1),
        kv_reserve: ByteSize::default(),
        slots: 2,
        max_slots: 4,
        concurrency: 16,
        max_output: TokenCount(512),
        deadline_seconds: deadline,
        callers: CallerScope::AllTeams,
    }
}

/// Returns the configuration of a service.
pub fn service_entry(calls: CallKind, callers: CallerScope) -> ServiceEntry {
    ServiceEntry {
        callers,
        calls,
        cost: TokenCount(5),
        deadline_seconds: Duration::from_secs(2),
        body_bound: ByteSize(1_024),
    }
}

fn key_entry(key: &str, team: &str) -> KeyEntry {
    let digest = blake3::hash(key.as_bytes()).to_hex().to_string();
    KeyEntry { team: id(team), digest, expires_at: None, withdrawn: false }
}

/// Returns a configuration with two teams and their keys, the model `planner` with an adapter for
/// both teams and the model `rosters` for team `north` only.
pub fn test_document() -> ConfigurationDocument {
    let mut document = ConfigurationDocument::default();
    for (team, key, name) in [("north", NORTH_KEY, "north1"), ("south", SOUTH_KEY, "south1")] {
        let entry = TeamEntry { rate: TokenRate::per_second(1_000), burst: TokenCount(4_000) };
        document.teams.insert(id(team), entry);
        document.keys.insert(id(name), key_entry(key, team));
    }
    document.models.insert(id("planner"), model_entry(Duration::from_secs(3)));
    let mut private = model_entry(Duration::from_secs(3));
    private.callers = CallerScope::Teams([id("north")].into());
    document.models.insert(id("rosters"), private);
    let adapter = AdapterEntry {
        model: id("planner"),
        version: id("v1"),
        memory: ByteSize::mebibytes(50),
        callers: CallerScope::AllTeams,
    };
    document.adapters.insert(id("planner-cork"), adapter);
    document
}

/// Adds a service to the configuration, or another instance of it.
pub fn add_service(
    document: &mut ConfigurationDocument,
    name: &str,
    entry: ServiceEntry,
    address: SocketAddr,
) {
    document.services.insert(id(name), entry);
    let upstream = UpstreamEntry {
        address,
        domain: id("dub-north"),
        role: UpstreamRole::Service(id(name)),
        leaving: false,
    };
    document.upstreams.insert(id(&format!("{name}-{}", address.port())), upstream);
}

/// Returns the configuration of a runner.
pub fn runner_entry(address: SocketAddr) -> UpstreamEntry {
    let runner =
        RunnerEntry { memory: ByteSize::gibibytes(80), accelerators: 1, honours_fencing: true };
    let role = UpstreamRole::Runner(runner);
    UpstreamEntry { address, domain: id("dub-north"), role, leaving: false }
}

impl EntryEnvironment {
    /// Starts an entry with runners at `addresses`.
    pub async fn start(addresses: &[SocketAddr]) -> Self {
        Self::start_with(addresses, test_document(), test_limits()).await
    }

    /// Starts an entry with the given configuration and limits.
    pub async fn start_with(
        addresses: &[SocketAddr],
        document: ConfigurationDocument,
        limits: EntryLimits,
    ) -> Self {
        Self::start_beside(addresses, document, limits, MemoryPlatform::default()).await
    }

    /// Starts an entry on a platform that it shares with other entries.
    pub async fn start_beside(
        addresses: &[SocketAddr],
        document: ConfigurationDocument,
        limits: EntryLimits,
        platform: MemoryPlatform,
    ) -> Self {
        Self::start_on_table(addresses, document, limits, platform.table()).await
    }

    /// Starts an entry that serves TLS.
    pub async fn start_tls(
        addresses: &[SocketAddr],
        document: ConfigurationDocument,
        limits: EntryLimits,
        identity: TlsIdentity,
    ) -> Self {
        let table = MemoryPlatform::default().table();
        Self::start_context(addresses, document, table, |context| {
            context.with_limits(limits).with_tls(identity)
        })
        .await
    }

    /// Starts an entry that stores its records in the given table.
    pub async fn start_on_table(
        addresses: &[SocketAddr],
        document: ConfigurationDocument,
        limits: EntryLimits,
        table: PlatformTable,
    ) -> Self {
        Self::start_context(addresses, document, table, |context| context.with_limits(limits)).await
    }

    async fn start_context<C>(
        addresses: &[SocketAddr],
        document: ConfigurationDocument,
        table: PlatformTable,
        adapt: C,
    ) -> Self
    where
        C: FnOnce(EntryContext) -> EntryContext,
    {
        let named = addresses.iter().enumerate();
        let runners = named.map(|(place, address)| (id(&format!("runner-{place}")), *address));
        let fleet = Arc::new(Mutex::new(FleetState {
            runners: runners.collect(),
            freshness: FreshnessState::Fresh,
            charge_refusal: None,
            permits_stuck: false,
            stale_with_charge: false,
            stale_with_permit: false,
            released: Vec::new(),
            permits_out: 0,
            tokens_used: 0,
        }));
        let feed =
            ConfigurationFeed::new(ConfigurationSnapshot { version: ConfigVersion(1), document });
        let ports = build_ports(feed.clone(), &fleet);
        let context = adapt(EntryContext::new(ports, table, id("host-1")));
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let shutdown = CancellationToken::new();
        let server = tokio::spawn(serve(listener, context, shutdown.clone()));
        Self { address, fleet, feed, shutdown, server }
    }

    /// Applies a change to the configuration and increments its version.
    pub fn change<C>(&self, change: C)
    where
        C: FnOnce(&mut ConfigurationDocument),
    {
        let current = self.feed.current();
        let mut snapshot = (*current).clone();
        snapshot.version = snapshot.version.next();
        change(&mut snapshot.document);
        assert!(self.feed.publish_if_newer(snapshot));
    }

    /// Sends a request on a new connection and reads the response to its end.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> ReceivedResponse {
        send_to(self.address, request).await
    }

    /// Requests a chat completion of `tokens` tokens from the model `planner`.
    pub async fn chat(&self, streamed: bool, tokens: u64) -> ReceivedResponse {
        self.send(chat_request(streamed, tokens, "hello")).await
    }

    /// Waits until all permits are released.
    pub async fn settled(&self) {
        for _ in 0..500 {
            if self.fleet.lock().expect("fleet").permits_out == 0 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        panic!("a permit was not released within 2.5 s");
    }
}

fn build_ports(feed: ConfigurationFeed, fleet: &Arc<Mutex<FleetState>>) -> FleetPorts {
    let [fresh, charge, refund, permit, release] = std::array::from_fn(|_| fleet.clone());
    FleetPorts::new(test_clock(), feed)
        .with_freshness(move || fresh.lock().expect("fleet").freshness)
        .with_shares(
            move |request| {
                let mut fleet = charge.lock().expect("fleet");
                let refusal = fleet.charge_refusal.clone();
                let receipt = dotterellane_fleet::ChargeReceipt {
                    team: request.team,
                    tokens: request.tokens,
                };
                if fleet.stale_with_charge {
                    fleet.freshness = FreshnessState::Stale;
                }
                if refusal.is_none() {
                    fleet.tokens_used += i64::try_from(request.tokens.0).expect("few tokens");
                }
                std::future::ready(refusal.map_or(Ok(receipt), Err))
            },
            move |_, unused| {
                let unused = i64::try_from(unused.0).expect("few tokens");
                refund.lock().expect("fleet").tokens_used -= unused;
            },
        )
        .with_dispatch(
            move |request| {
                let permit = permit.clone();
                async move {
                    if permit.lock().expect("fleet").permits_stuck {
                        std::future::pending::<()>().await;
                    }
                    let mut fleet = permit.lock().expect("fleet");
                    let mut runners = fleet.runners.iter();
                    let found = runners.find(|(runner, _)| !request.excluded.contains(runner));
                    let Some((runner, address)) = found.cloned() else {
                        return Err(PermitRefusal::NoRunner { model: request.model });
                    };
                    if fleet.stale_with_permit {
                        fleet.freshness = FreshnessState::Stale;
                    }
                    fleet.permits_out += 1;
                    Ok(DispatchPermit {
                        number: 1,
                        request: request.request,
                        model: request.model,
                        runner,
                        address,
                        priority: 7,
                    })
                }
            },
            move |permit, outcome| {
                let mut fleet = release.lock().expect("fleet");
                fleet.permits_out -= 1;
                fleet.released.push((permit.runner, outcome));
            },
        )
}

/// Builds a chat request for the model `planner` with the key of team `north`.
pub fn chat_request(streamed: bool, tokens: u64, text: &str) -> Request<Full<Bytes>> {
    let body = serde_json::json!({
        "model": "planner", "stream": streamed, "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
    });
    keyed_request(Method::POST, "/v1/chat/completions", NORTH_KEY, &body.to_string())
}

/// Builds a request that is authenticated by `key`.
pub fn keyed_request(method: Method, target: &str, key: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(target)
        .header("host", "entry")
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a valid request")
}

/// Sends a request on a new connection and reads the response to its end.
pub async fn send_to(address: SocketAddr, request: Request<Full<Bytes>>) -> ReceivedResponse {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, driver) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("a handshake");
    tokio::spawn(driver);
    let response = sender.send_request(request).await.expect("a response");
    let (head, mut body) = response.into_parts();
    let mut content = Vec::new();
    let mut complete = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => content.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    let body = String::from_utf8_lossy(&content).into_owned();
    ReceivedResponse { status: head.status, headers: head.headers, body, complete }
}
