//! Datagrams to and from the other daemons.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_decisions::heartbeat_pace::HeartbeatPace;
use dotterellane_decisions::team_buckets::PEER_EXPIRY;
use dotterellane_platform::{RowWrite, TableRow, TableTransaction};
use dotterellane_units::{HostId, HostIncarnation};
use rand::seq::IteratorRandom;
use tokio::time::{sleep, timeout};

use crate::crashes;
use crate::followers;
use crate::keeper;
use crate::messages::{HostBeat, MAX_DATAGRAM_BYTES, PeerDatagram, PeerNote};
use crate::notices;
use crate::spending;
use crate::state::{Host, KnownKeeper, KnownPeer};

/// Beats between two that introduce.
const INTRODUCTION_BEATS: u32 = 8;

/// Most peers that one introduction names; each names others, so that all are named soon.
const INTRODUCED_PEERS: usize = 24;

/// Least time between two reports of demand.
const LEAST_DEMAND_PAUSE: Duration = Duration::from_millis(15);

/// Time between two reports of demand while requests wait or run.
const DEMAND_PAUSE: Duration = Duration::from_millis(250);

/// Pause before the list of hosts is asked for again after the store did not give it.
const LISTING_PAUSE: Duration = Duration::from_secs(2);

/// Prefix of the rows that tell where daemons receive.
const HOST_ROWS: &str = "hosts/";

/// Sends a note to every peer.
pub fn send_to_all(host: &Host, note: &PeerNote) {
    let addresses: Vec<SocketAddr> = {
        let state = host.state();
        state.peers.values().map(|peer| peer.address).collect()
    };
    send_to(host, note, &addresses);
}

/// Sends a note to one host, if it is known.
pub fn send_to_host(host: &Host, name: &HostId, note: &PeerNote) {
    let address = host.state().peers.get(name).map(|peer| peer.address);
    if let Some(address) = address {
        send_to(host, note, &[address]);
    }
}

fn send_to(host: &Host, note: &PeerNote, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
    let datagram = PeerDatagram {
        from: host.settings.host.clone(),
        incarnation: host.incarnation,
        note: note.clone(),
    };
    let bytes = match postcard::to_stdvec(&datagram) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => bytes,
        Ok(bytes) => {
            spdlog::error!("datagram is too long", kv: { bytes = bytes.len() });
            return;
        }
        Err(error) => {
            spdlog::error!("datagram cannot be built", kv: { cause = error.to_string().as_str() });
            return;
        }
    };
    // Where a link takes only a part of them, the others are not always the same ones.
    let first = rand::random_range(0..addresses.len());
    let (late, early) = addresses.split_at(first);
    for address in early.iter().chain(late) {
        let label = match host.socket.try_send_to(&bytes, *address) {
            Ok(_) => "sent",
            // Datagrams may be lost anyway; the next beat makes up for it.
            Err(_) => "failed",
        };
        host.metrics.datagrams.with_label_values(&[label]).inc();
        let length = u64::try_from(bytes.len()).unwrap_or(0);
        host.metrics.datagram_bytes.with_label_values(&[label]).inc_by(length);
    }
}

/// Sends beats until the daemon ends.
pub async fn send_beats(host: Arc<Host>) {
    let mut count: u32 = 0;
    loop {
        let introducing = count.is_multiple_of(INTRODUCTION_BEATS);
        send_beat(&host, introducing);
        count = count.wrapping_add(1);
        let pace = own_pace(&host);
        sleep(pace.min_interval).await;
        let rest = pace.max_interval.saturating_sub(pace.min_interval);
        let _woken = timeout(rest, host.spending_changed.notified()).await;
    }
}

fn own_pace(host: &Host) -> HeartbeatPace {
    let peers = host.state().peers.len();
    if keeper::is_keeping(host) {
        HeartbeatPace::of_leader(peers)
    } else {
        HeartbeatPace::of(peers)
    }
}

/// Sends one beat to all peers now; one that introduces names peers and all teams, and goes to the
/// seeds too.
pub fn send_beat(host: &Host, introducing: bool) {
    let beat = next_beat(host, introducing);
    let state = host.state();
    let mut addresses: BTreeSet<SocketAddr> =
        state.peers.values().map(|peer| peer.address).collect();
    if introducing {
        addresses.extend(&state.tuning.seeds);
        addresses.remove(&host.settings.peers);
    }
    drop(state);
    let addresses: Vec<SocketAddr> = addresses.into_iter().collect();
    send_to(host, &PeerNote::Beat(beat), &addresses);
}

fn next_beat(host: &Host, introducing: bool) -> HostBeat {
    let now = host.now();
    let keeper = keeper::mark(host);
    let mut state = host.state();
    let silence = HeartbeatPace::of(state.peers.len()).silence_timeout;
    state
        .peers
        .retain(|_, peer| now.since(peer.heard) < if peer.leaving { silence } else { PEER_EXPIRY });
    let peers = if introducing {
        let addresses = state.peers.values().map(|peer| peer.address);
        addresses.sample(&mut rand::rng(), INTRODUCED_PEERS)
    } else {
        Vec::new()
    };
    let repeat_span = (!introducing).then(|| HeartbeatPace::of(state.peers.len()).repeat_span());
    HostBeat {
        leaving: host.leaving.is_cancelled(),
        fresh: state.is_fresh(now) && state.reaches_store(),
        processor: host.settings.processor,
        spending: state.levels.report(now, introducing),
        running: state.own_runs(),
        leaving_upstreams: state.directory.leaving_marks(now, repeat_span),
        crashes: crashes::within_beat(state.crashes.remembered(now, repeat_span)),
        keeper,
        sighting: keeper.and_then(|_| state.sighting()),
        peers,
    }
}

/// Receives datagrams until the daemon ends.
pub async fn receive(host: Arc<Host>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, source) = match host.socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            // It is about an earlier datagram of ours, such as a closed port.
            Err(_) => {
                tokio::task::yield_now().await;
                continue;
            }
        };
        host.metrics.datagrams.with_label_values(&["received"]).inc();
        match postcard::from_bytes::<PeerDatagram>(&buffer[..length]) {
            Ok(datagram) => accept(&host, source, datagram),
            Err(error) => spdlog::warn!("datagram cannot be read", kv: {
                peer = source.to_string().as_str(),
                cause = error.to_string().as_str(),
            }),
        }
    }
}

fn accept(host: &Arc<Host>, source: SocketAddr, datagram: PeerDatagram) {
    let PeerDatagram { from, incarnation, note } = datagram;
    if from == host.settings.host {
        return;
    }
    let now = host.now();
    let mut state = host.state();
    let known = state.peers.get(&from);
    let stranger = known.is_none_or(|known| known.incarnation != incarnation);
    if stranger {
        let running = BTreeMap::new();
        let peer = KnownPeer {
            address: source,
            incarnation,
            heard: now,
            leaving: false,
            fresh: false,
            processor: 0,
            running,
        };
        state.peers.insert(from.clone(), peer);
    } else if let Some(peer) = state.peers.get_mut(&from) {
        peer.heard = now;
        peer.address = source;
    }
    drop(state);
    if stranger {
        spdlog::info!("peer appeared", kv: {
            peer = from.as_str(),
            address = source.to_string().as_str(),
        });
        send_to(host, &PeerNote::Beat(next_beat(host, true)), &[source]);
    }
    match note {
        PeerNote::Beat(beat) => accept_beat(host, &from, incarnation, beat),
        PeerNote::Demand(demands, unreachable) => {
            keeper::on_demand(host, &from, &demands, &unreachable);
        }
        PeerNote::Holdings(fence, holdings) => keeper::adopt_holdings(host, fence, holdings),
        PeerNote::DirectoryRows(rows) => followers::adopt_passed_rows(host, rows),
        PeerNote::Crash(report) => crashes::absorb(host, &report),
        PeerNote::GrantRequest(request) => {
            spending::on_request(host, &from, incarnation, &request);
        }
        PeerNote::GrantAnswer(number, answer) => spending::on_answer(host, number, answer),
    }
}

fn accept_beat(host: &Arc<Host>, from: &HostId, incarnation: HostIncarnation, beat: HostBeat) {
    let now = host.now();
    let mut state = host.state();
    state.levels.absorb(now, from, incarnation, &beat.spending, beat.leaving);
    let gave_up =
        beat.keeper.is_none() && state.keeper.take_if(|keeper| keeper.host == *from).is_some();
    if gave_up {
        state.keeper_left = Some(now);
    }
    if let Some(mark) = beat.keeper {
        let newer = state.keeper.as_ref().is_none_or(|known| known.mark.fence <= mark.fence);
        if newer {
            state.keeper = Some(KnownKeeper { host: from.clone(), mark, heard: now });
        }
    }
    if let Some(peer) = state.peers.get_mut(from) {
        peer.leaving = beat.leaving;
        peer.fresh = beat.fresh;
        peer.processor = beat.processor;
        peer.running = beat.running.iter().cloned().collect();
    }
    if let Some(sighting) = beat.sighting {
        followers::adopt_sighting(host, &mut state, &sighting);
    }
    let known: BTreeSet<SocketAddr> = state.peers.values().map(|peer| peer.address).collect();
    drop(state);
    notices::absorb(host, from, &beat.leaving_upstreams);
    crashes::absorb_remembered(host, from, &beat.crashes);
    match beat.keeper {
        Some(mark) => keeper::on_mark(host, mark),
        None if gave_up => keeper::on_given_up(host),
        None => {}
    }
    let strangers: Vec<SocketAddr> = beat
        .peers
        .into_iter()
        .filter(|address| !known.contains(address) && *address != host.settings.peers)
        .collect();
    if !strangers.is_empty() && !beat.leaving {
        let greeting = HostBeat::default();
        send_to(host, &PeerNote::Beat(greeting), &strangers);
    }
}

/// Tells the keeper what waits and runs here, until the daemon ends.
pub async fn send_demand(host: Arc<Host>) {
    let mut busy = false;
    loop {
        if busy {
            let _woken = timeout(DEMAND_PAUSE, host.demand_changed.notified()).await;
        } else {
            host.demand_changed.notified().await;
        }
        let (keeper, demands, unreachable) = {
            let mut state = host.state();
            let keeper = state.keeper.as_ref().map(|keeper| keeper.host.clone());
            let unreachable = state.directory.unreachable(host.now());
            (keeper, state.take_demand(), unreachable)
        };
        busy = !demands.is_empty() || !unreachable.is_empty();
        match keeper {
            Some(keeper) if keeper == host.settings.host => {
                keeper::on_demand(&host, &keeper, &demands, &unreachable);
            }
            Some(keeper) => send_to_host(&host, &keeper, &PeerNote::Demand(demands, unreachable)),
            None => {}
        }
        sleep(LEAST_DEMAND_PAUSE).await;
    }
}

/// Lists this host in the fleet's table, and greets the hosts that are listed there.
pub async fn list_host(host: Arc<Host>) {
    let address = host.settings.peers.to_string();
    let row = RowWrite {
        key: format!("{HOST_ROWS}{}", host.settings.host),
        value: Some(address.clone().into_bytes()),
    };
    let mut listed = false;
    loop {
        if !listed {
            let transaction =
                TableTransaction { conditions: Vec::new(), writes: vec![row.clone()] };
            match host.platform.table.commit(transaction).await {
                Ok(_) => listed = true,
                Err(error) => log_failure("list host", &error.to_string()),
            }
        }
        match host.platform.table.scan(HOST_ROWS).await {
            Ok(rows) => {
                let addresses = rows.iter().filter_map(read_host_row);
                let addresses: Vec<SocketAddr> =
                    addresses.filter(|known| *known != host.settings.peers).collect();
                send_to(&host, &PeerNote::Beat(HostBeat::default()), &addresses);
                if listed {
                    return;
                }
            }
            Err(error) => log_failure("read hosts", &error.to_string()),
        }
        sleep(LISTING_PAUSE).await;
    }
}

/// Reads where the host of a row receives; `None`, with a line that says so, if that is no address.
fn read_host_row(row: &TableRow) -> Option<SocketAddr> {
    let address = std::str::from_utf8(&row.value).ok().and_then(|text| text.parse().ok());
    if address.is_none() {
        spdlog::warn!("row of a host names no address", kv: { row = row.key.as_str() });
    }
    address
}

fn log_failure(step: &str, cause: &str) {
    spdlog::warn!("store did not answer", kv: { step = step, cause = cause });
}
