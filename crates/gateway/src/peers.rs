//! Sends and receives datagrams between daemons: heartbeats, demand, and messages of other modules.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_decisions::team_buckets::PEER_EXPIRY;
use dotterellane_decisions::upstream_pace::MAX_SHARED_SAMPLES;
use dotterellane_platform::{RowWrite, TableError, TableRow, TableTransaction};
use dotterellane_units::{HostId, HostIncarnation};
use rand::seq::IteratorRandom;
use tokio::time::{sleep, timeout};

use crate::crashes;
use crate::evacuations;
use crate::followers;
use crate::leader;
use crate::messages::{Heartbeat, MAX_DATAGRAM_BYTES, PeerDatagram, PeerMessage};
use crate::notices;
use crate::permits;
use crate::reach::{self, ReachReport};
use crate::spending;
use crate::state::{Host, HostState, KnownLeader, KnownPeer};
use crate::stream_versions::{history, origins};

/// One in this many heartbeats is a full one, which introduces peers to each other.
const HEARTBEATS_PER_FULL: u32 = 8;

/// Maximum number of peers listed in a full heartbeat. The selection is random, so that hosts learn
/// of all peers over time.
const MAX_LISTED_PEERS: usize = 24;

/// Minimum interval between two demand reports.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(15);

/// Interval between two demand reports while requests wait or run.
const DEMAND_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before the registration is tried again after the store failed.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Pause before listed hosts that were not heard are greeted again; doubled each time.
const FIRST_GREETING_PAUSE: Duration = Duration::from_millis(500);

/// Longest such pause, as rows of hosts that are gone for good stay listed.
const LONGEST_GREETING_PAUSE: Duration = Duration::from_secs(30);

/// Key prefix of the rows that hold the daemons' addresses for datagrams.
const HOST_ROW_PREFIX: &str = "hosts/";

/// Sends a message to every peer.
pub fn send_to_all(host: &Host, message: &PeerMessage) {
    let addresses: Vec<SocketAddr> = {
        let state = host.state();
        state.peers.values().map(|peer| peer.address).collect()
    };
    send_to(host, message, &addresses);
}

/// Sends a message to one host, if its address is known.
pub fn send_to_host(host: &Host, name: &HostId, message: &PeerMessage) {
    let address = host.state().peers.get(name).map(|peer| peer.address);
    if let Some(address) = address {
        send_to(host, message, &[address]);
    }
}

fn send_to(host: &Host, message: &PeerMessage, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
    let datagram = PeerDatagram {
        from: host.settings.host.clone(),
        incarnation: host.incarnation,
        message: message.clone(),
    };
    let bytes = match postcard::to_stdvec(&datagram) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => bytes,
        Ok(bytes) => {
            spdlog::error!("datagram is too long", kv: { bytes = bytes.len() });
            return;
        }
        Err(error) => {
            spdlog::error!("datagram cannot be encoded", kv: {
                cause = error.to_string().as_str(),
            });
            return;
        }
    };
    // Starts at a random address, so that a congested link does not always drop the same datagrams.
    let first = rand::random_range(0..addresses.len());
    let (before, after) = addresses.split_at(first);
    for address in after.iter().chain(before) {
        let label = match host.socket.try_send_to(&bytes, *address) {
            Ok(_) => "sent",
            // Datagrams may be lost anyway; the next heartbeat repeats what matters.
            Err(_) => "failed",
        };
        host.metrics.datagrams.with_label_values(&[label]).inc();
        let length = u64::try_from(bytes.len()).unwrap_or(0);
        host.metrics.datagram_bytes.with_label_values(&[label]).inc_by(length);
    }
}

/// Sends heartbeats until the daemon ends.
pub async fn send_heartbeats(host: Arc<Host>) {
    let mut count: u32 = 0;
    loop {
        let full = count.is_multiple_of(HEARTBEATS_PER_FULL);
        send_heartbeat(&host, full);
        // Not for heartbeats out of turn: others have not reported since the last one.
        host.state().room.note_told();
        host.room_changed();
        count = count.wrapping_add(1);
        let pace = own_pace(&host);
        sleep(pace.min_interval).await;
        let rest = pace.max_interval.saturating_sub(pace.min_interval);
        let _woken = timeout(rest, host.heartbeat_wanted.notified()).await;
    }
}

fn own_pace(host: &Host) -> HeartbeatPace {
    let peers = host.state().peers.len();
    if leader::is_leader(host) { HeartbeatPace::of_leader(peers) } else { HeartbeatPace::of(peers) }
}

/// Sends a heartbeat to all peers now. A full one also lists peers and the spending of all teams,
/// and goes to the seeds too.
pub fn send_heartbeat(host: &Host, full: bool) {
    let mut heartbeat = build_heartbeat(host, full);
    let mut state = host.state();
    heartbeat.paces = state.paces.take_unshared();
    let mut addresses: BTreeSet<SocketAddr> =
        state.peers.values().map(|peer| peer.address).collect();
    if full {
        addresses.extend(&state.tuning.seeds);
        addresses.remove(&host.settings.peers);
    }
    drop(state);
    let addresses: Vec<SocketAddr> = addresses.into_iter().collect();
    send_to(host, &PeerMessage::Heartbeat(Box::new(heartbeat)), &addresses);
}

fn build_heartbeat(host: &Host, full: bool) -> Heartbeat {
    let now = host.now();
    let leader = leader::lease_mark(host);
    let mut state = host.state();
    let silence = HeartbeatPace::of(state.peers.len()).silence_timeout;
    state
        .peers
        .retain(|_, peer| now.since(peer.heard) < if peer.leaving { silence } else { PEER_EXPIRY });
    state.sweep_room(now);
    state.paces.sweep(now);
    state.set_fleet_position(&host.settings.host);
    if !state.peers.is_empty() {
        let known = state.peers.len() + 1;
        state.fleet_size.note_observed(now, known);
    }
    let peers = if full {
        let addresses = state.peers.values().map(|peer| peer.address);
        addresses.sample(&mut rand::rng(), MAX_LISTED_PEERS)
    } else {
        Vec::new()
    };
    let repeat_span = (!full).then(|| HeartbeatPace::of(state.peers.len()).repeat_span());
    Heartbeat {
        leaving: host.leaving.is_cancelled(),
        fresh: state.is_fresh(now) && state.reaches_store(),
        configuration: state.newest_configuration,
        processor: host.settings.processor,
        domain: Some(host.settings.domain.clone()),
        reach: ReachReport::of(&state, now),
        hosts: u32::try_from(state.fleet_size.observed(now)).unwrap_or(0),
        spending: state.buckets.report(now, full),
        running: state.room.report(),
        paces: Vec::new(),
        leaving_upstreams: state.directory.leaving_marks(now, repeat_span),
        evacuations: state.directory.evacuations.reports(),
        rate_limits: notices::limit_reports(&state, now, repeat_span),
        cold_upstreams: notices::cold_marks(&state, now),
        crashes: crashes::limit_suspects(state.crashes.remembered(now, repeat_span)),
        leader,
        observation: leader.and_then(|_| state.observation()),
        peers,
    }
}

/// Receives datagrams until the daemon ends.
pub async fn receive(host: Arc<Host>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, source) = match host.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            // The error is about a datagram sent earlier, such as one to a closed port.
            Err(_) => {
                tokio::task::yield_now().await;
                continue;
            }
        };
        host.metrics.datagrams.with_label_values(&["received"]).inc();
        match postcard::from_bytes::<PeerDatagram>(&buffer[..length]) {
            Ok(datagram) => accept(&host, source, datagram),
            Err(error) => spdlog::warn!("datagram cannot be decoded", kv: {
                peer = source.to_string().as_str(),
                cause = error.to_string().as_str(),
            }),
        }
    }
}

fn accept(host: &Arc<Host>, source: SocketAddr, datagram: PeerDatagram) {
    let PeerDatagram { from, incarnation, message } = datagram;
    if from == host.settings.host {
        return;
    }
    let now = host.now();
    let mut state = host.state();
    let known = state.peers.get(&from);
    let is_new = known.is_none_or(|known| known.incarnation != incarnation);
    if is_new {
        let peer = KnownPeer {
            address: source,
            incarnation,
            heard: now,
            leaving: false,
            fresh: false,
            processor: 0,
            domain: None,
            reach: ReachReport::default(),
            connected_at: None,
        };
        state.peers.insert(from.clone(), peer);
        state.room.forget(&from);
    } else if let Some(peer) = state.peers.get_mut(&from) {
        peer.heard = now;
        peer.address = source;
    }
    drop(state);
    if is_new {
        host.state().fleet_size.note_heard(&from);
        spdlog::info!("peer appeared", kv: {
            peer = from.as_str(),
            address = source.to_string().as_str(),
        });
        send_to(host, &PeerMessage::Heartbeat(Box::new(build_heartbeat(host, true))), &[source]);
    }
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            accept_heartbeat(host, &from, incarnation, *heartbeat);
        }
        PeerMessage::Demand(demands, unreachable) => {
            leader::on_demand(host, &from, &demands, &unreachable);
        }
        PeerMessage::Holdings(fence, holdings) => leader::adopt_holdings(host, fence, holdings),
        PeerMessage::DirectoryRows(rows) => followers::adopt_forwarded_rows(host, rows),
        PeerMessage::Crash(report) => crashes::absorb(host, &report),
        PeerMessage::GrantRequest(request) => {
            spending::on_grant_request(host, &from, incarnation, &request);
        }
        PeerMessage::GrantAnswer(id, answer) => spending::on_grant_answer(host, id, answer),
        PeerMessage::PermitQuestion(question) => permits::on_question(host, &from, question),
        PeerMessage::PermitAnswer(id, answer) => permits::on_answer(host, id, answer),
        PeerMessage::RateLimits(reports) => notices::absorb_limits(host, &from, &reports),
        PeerMessage::Versions(report) => history::on_report(host, &report),
        PeerMessage::StreamOrigins(reports) => origins::on_reports(host, &reports),
        PeerMessage::OriginQuestion(id, stream) => origins::on_question(host, &from, id, &stream),
        PeerMessage::OriginAnswer(id, origin) => host.origin_questions.resolve(id, origin),
    }
}

fn accept_heartbeat(
    host: &Arc<Host>,
    from: &HostId,
    incarnation: HostIncarnation,
    heartbeat: Heartbeat,
) {
    let now = host.now();
    let mut state = host.state();
    state.fleet_size.note_stated(now, usize::try_from(heartbeat.hosts).unwrap_or(0));
    state.buckets.absorb(now, from, incarnation, &heartbeat.spending, heartbeat.leaving);
    if heartbeat.configuration.revision > state.newest_configuration.revision {
        state.note_revision(heartbeat.configuration);
        host.configuration_wanted.notify_one();
    }
    let resigned =
        heartbeat.leader.is_none() && state.leader.take_if(|leader| leader.host == *from).is_some();
    if resigned {
        state.leader_resigned_at = Some(now);
    }
    if let Some(mark) = heartbeat.leader {
        let newer = state.leader.as_ref().is_none_or(|known| known.mark.fence <= mark.fence);
        if newer {
            state.leader = Some(KnownLeader { host: from.clone(), mark, heard: now });
        }
    }
    if let Some(peer) = state.peers.get_mut(from) {
        peer.leaving = heartbeat.leaving;
        peer.fresh = heartbeat.fresh;
        peer.processor = heartbeat.processor;
        peer.domain = heartbeat.domain;
        peer.reach = heartbeat.reach;
        peer.connected_at = heartbeat.reach.connected_at(now);
    }
    reach::update_bypass(host, &mut state);
    state.room.absorb(now, from, heartbeat.running);
    for sample in heartbeat.paces.into_iter().take(MAX_SHARED_SAMPLES) {
        state.paces.absorb(now, sample);
    }
    // Before the observation, which confirms that nothing else is in force.
    let evacuated = evacuations::absorb(host, &mut state, from, &heartbeat.evacuations);
    if let Some(observation) = heartbeat.observation {
        followers::adopt_observation(host, &mut state, &observation);
    }
    let known: BTreeSet<SocketAddr> = state.peers.values().map(|peer| peer.address).collect();
    drop(state);
    if heartbeat.reach.cut_off {
        reach::on_cut_off_peer(host);
    }
    if evacuated {
        evacuations::on_changed(host);
    }
    notices::absorb(host, from, &heartbeat.leaving_upstreams);
    notices::absorb_limits(host, from, &heartbeat.rate_limits);
    notices::absorb_cold(host, from, &heartbeat.cold_upstreams);
    crashes::absorb_remembered(host, from, &heartbeat.crashes);
    match heartbeat.leader {
        Some(mark) => leader::on_lease_mark(host, mark),
        None if resigned => leader::on_leader_resigned(host),
        None => {}
    }
    let unknown: Vec<SocketAddr> = heartbeat
        .peers
        .into_iter()
        .filter(|address| !known.contains(address) && *address != host.settings.peers)
        .collect();
    if !unknown.is_empty() && !heartbeat.leaving {
        let greeting = build_heartbeat(host, true);
        send_to(host, &PeerMessage::Heartbeat(Box::new(greeting)), &unknown);
    }
}

/// Reports this host's demand to the leader until the daemon ends.
pub async fn send_demand(host: Arc<Host>) {
    let mut busy = false;
    loop {
        if busy {
            let _woken = timeout(DEMAND_INTERVAL, host.demand_changed.notified()).await;
        } else {
            host.demand_changed.notified().await;
        }
        let (leader, demands, down) = {
            let mut state = host.state();
            let leader = state.leader.as_ref().map(|leader| leader.host.clone());
            let is_suspect = state.reach.cut_off_at().is_some();
            let unreachable = state.directory.unreachable(host.now());
            let down = if is_suspect { Vec::new() } else { unreachable };
            (leader, state.take_demand(), down)
        };
        busy = !demands.is_empty() || !down.is_empty();
        match leader {
            Some(leader) if leader == host.settings.host => {
                leader::on_demand(&host, &leader, &demands, &down);
            }
            Some(leader) => send_to_host(&host, &leader, &PeerMessage::Demand(demands, down)),
            None => {}
        }
        sleep(MIN_DEMAND_INTERVAL).await;
    }
}

/// Registers this host's address in the platform's table, and sends a heartbeat to all hosts
/// registered there.
pub async fn register_host(host: Arc<Host>) {
    let address = host.settings.peers.to_string();
    let row = RowWrite {
        key: format!("{HOST_ROW_PREFIX}{}", host.settings.host),
        value: Some(address.clone().into_bytes()),
    };
    let mut registered = false;
    loop {
        if !registered {
            let transaction =
                TableTransaction { conditions: Vec::new(), writes: vec![row.clone()] };
            match host.platform.table.commit(transaction).await {
                Ok(_) => registered = true,
                Err(error) => log_failure("register host", &error.to_string()),
            }
        }
        match read_hosts(&host).await {
            Ok(addresses) => {
                // Complete, as an empty one reads as if this host had nothing in flight and no lease.
                let greeting = build_heartbeat(&host, true);
                send_to(&host, &PeerMessage::Heartbeat(Box::new(greeting)), &addresses);
                if registered {
                    greet_until_restored(&host, addresses).await;
                    registered = false;
                    continue;
                }
            }
            Err(error) => log_failure("read hosts", &error.to_string()),
        }
        sleep(REGISTRATION_RETRY_DELAY).await;
    }
}

/// Reads which hosts are registered; returns the addresses of the others.
async fn read_hosts(host: &Host) -> Result<Vec<SocketAddr>, TableError> {
    let rows = host.platform.table.scan(HOST_ROW_PREFIX).await?;
    let own = &host.settings.host;
    let others: BTreeMap<HostId, SocketAddr> =
        rows.iter().filter_map(read_host_row).filter(|(other, _)| other != own).collect();
    let addresses = others.values().copied().collect();
    let names = others.into_keys().collect();
    let mut state = host.state();
    let HostState { fleet_size, peers, .. } = &mut *state;
    fleet_size.note_listed(host.now(), names, |other| peers.contains_key(other));
    Ok(addresses)
}

/// Repeats greetings to those of the `listed` hosts that are still unheard, as datagrams may be
/// lost: a host that hears nobody takes the whole rate of each team for its own. Meanwhile the list
/// is read again, as more hosts may have been registered. Returns when the store comes back from an
/// older copy.
async fn greet_until_restored(host: &Arc<Host>, mut listed: Vec<SocketAddr>) {
    let mut pause = FIRST_GREETING_PAUSE;
    while timeout(pause, host.store_restored.notified()).await.is_err() {
        if !hears_all(host, &listed) {
            match read_hosts(host).await {
                Ok(addresses) => listed = addresses,
                Err(error) => log_failure("read hosts again", &error.to_string()),
            }
        }
        let unheard = unheard_of(host, &listed);
        if !unheard.is_empty() {
            send_to(host, &PeerMessage::Heartbeat(Box::new(build_heartbeat(host, true))), &unheard);
        }
        pause = (pause * 2).min(LONGEST_GREETING_PAUSE);
    }
}

/// Returns whether this host hears some other and all of the `listed` ones.
fn hears_all(host: &Host, listed: &[SocketAddr]) -> bool {
    !host.state().peers.is_empty() && unheard_of(host, listed).is_empty()
}

fn unheard_of(host: &Host, listed: &[SocketAddr]) -> Vec<SocketAddr> {
    let state = host.state();
    let heard: BTreeSet<SocketAddr> = state.peers.values().map(|peer| peer.address).collect();
    listed.iter().copied().filter(|address| !heard.contains(address)).collect()
}

/// Parses a host's row; logs a warning and returns `None` if it is invalid.
fn read_host_row(row: &TableRow) -> Option<(HostId, SocketAddr)> {
    let name = row.key.strip_prefix(HOST_ROW_PREFIX).and_then(|name| name.parse().ok());
    let address = std::str::from_utf8(&row.value).ok().and_then(|text| text.parse().ok());
    let host = name.zip(address);
    if host.is_none() {
        spdlog::warn!("host row holds no name and address", kv: { row = row.key.as_str() });
    }
    host
}

fn log_failure(step: &str, cause: &str) {
    spdlog::warn!("store call failed", kv: { step = step, cause = cause });
}
