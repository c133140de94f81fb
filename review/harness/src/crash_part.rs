//! The route of a part that crashes runners moves, or all daemons are killed, after they have learnt of it.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dotterellane_standins::site::{EngineCapacity, SeenRequest, SiteEngine};
use tokio::time::{interval, sleep};

use crate::Verdict;
use crate::client::Connection;
use crate::fleet::{Fleet, HOST_NAME, Host, KEY, MODELS, OTHER_MODELS, Runner};
use crate::record::Record;

/// Part that crashes each runner that begins an answer on it.
pub const GUILTY_PART: &str = "bad00bad";
const HOSTS: u32 = 3;
/// Runners of the small site.
const RUNNERS: usize = 9;
/// Time until a runner that crashed is back, empty, as another start.
const DOWN_SPAN: Duration = Duration::from_secs(2);
/// Interval between two sound requests: less than the site's 22.8 a second.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two requests with the guilty part while some come.
const GUILTY_INTERVAL: Duration = Duration::from_millis(500);
/// Requests with the guilty part that come at first.
const FIRST_GUILTY: u32 = 4;
/// Time for which such requests come again.
const SECOND_SPAN: Duration = Duration::from_secs(6);
/// `contact_ms`.
pub const CONTACT_SPAN: Duration = Duration::from_secs(3);
/// Delay until the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Crashes after which the rule counts.
pub const COUNTED_CRASHES: usize = 5;
/// Requests that the rule allows.
const ALLOWED: usize = 3;

/// The runners that are up, and those that crashed.
pub struct Pool {
    pub fleet: Fleet,
    up: Mutex<Vec<Runner>>,
    crashed: Mutex<Vec<Runner>>,
    started: AtomicU64,
}

impl Pool {
    /// Starts the runners of the small site, all with the model loaded, and writes the configuration.
    pub async fn start(record: Arc<Record>) -> Option<Arc<Self>> {
        let fleet = Fleet::start(record).await.ok()?;
        let (up, crashed) = (Mutex::default(), Mutex::default());
        let pool = Self { fleet, up, crashed, started: AtomicU64::new(0) };
        for _ in 0..RUNNERS {
            pool.add(MODELS, &["m1"]).await?;
        }
        pool.fleet.put_configuration(1);
        Some(Arc::new(pool))
    }

    async fn add(&self, service: &'static str, models: &[&str]) -> Option<()> {
        let name = format!("i-{}", self.started.fetch_add(1, Ordering::Relaxed));
        let runner = Runner::start(&self.fleet, &name, service, models, &["m1"]).await.ok()?;
        runner.engine.crash_on_part(GUILTY_PART);
        // Weights of 65.1 GB of which a runner holds three; 1.4 s from its own disk.
        let capacity = EngineCapacity { models: 3, adapters: 8 };
        runner.engine.set_capacity(capacity, Duration::from_millis(1_400));
        self.up.lock().expect("no panic").push(runner);
        Some(())
    }

    /// Takes the entries of crashed runners away, and starts others a while later.
    pub async fn replace_crashed(&self) {
        let mut returns = Vec::new();
        loop {
            let crashed: Vec<Runner> = self
                .up
                .lock()
                .expect("no panic")
                .extract_if(.., |runner| runner.engine.crashed_at().is_some())
                .collect();
            for runner in crashed {
                self.fleet.store.remove("servers", &runner.engine.name);
                returns.push(Instant::now() + DOWN_SPAN);
                self.crashed.lock().expect("no panic").push(runner);
            }
            let due = returns.extract_if(.., |at| *at <= Instant::now()).count();
            for _ in 0..due {
                self.add(MODELS, &[]).await;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn engines(&self) -> Vec<Arc<SiteEngine>> {
        let (up, crashed) = (self.up.lock(), self.crashed.lock());
        let (up, crashed) = (up.expect("no panic"), crashed.expect("no panic"));
        up.iter().chain(crashed.iter()).map(|runner| runner.engine.clone()).collect()
    }

    /// Returns when runners crashed, in order.
    pub fn crashes(&self) -> Vec<Instant> {
        let mut times: Vec<_> =
            self.engines().iter().filter_map(|engine| engine.crashed_at()).collect();
        times.sort();
        times
    }
}

/// Addresses of the daemons, which stay the same over a restart.
pub type Callers = Arc<Vec<std::net::SocketAddr>>;

/// What happens after the daemons have learnt which part crashes runners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// All daemons are killed at once.
    KillAll,
    /// A new version of the configuration moves the route to another service.
    RouteMoves,
}

pub async fn run(record: Arc<Record>, event: Event, trouble: bool) -> Verdict {
    let pool = Pool::start(record.clone()).await?;
    if event == Event::RouteMoves {
        for _ in 0..RUNNERS {
            pool.add(OTHER_MODELS, &["m1"]).await?;
        }
    }
    let mut hosts = pool.fleet.start_hosts(HOSTS).await?;
    let callers: Callers = Arc::new(hosts.iter().map(|host| host.callers).collect());
    let replacing = tokio::spawn({
        let pool = pool.clone();
        async move { pool.replace_crashed().await }
    });
    let sound = tokio::spawn(send_series(callers.clone(), "s", SOUND_INTERVAL, record.clone()));
    sleep(Duration::from_secs(2)).await;

    record.line("clients: requests with the guilty part begin to come");
    let mut first =
        tokio::spawn(send_series(callers.clone(), "g1-", GUILTY_INTERVAL, record.clone()));
    sleep(GUILTY_INTERVAL * FIRST_GUILTY).await;
    // They go on until the fifth crash, if the daemons let them.
    let end = Instant::now() + Duration::from_secs(5);
    while pool.crashes().len() < COUNTED_CRASHES && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
    // The daemons have a while to share what they learnt, with such requests still coming.
    sleep(CONTACT_SPAN + Duration::from_millis(500)).await;
    record.line(&format!("{} crashes so far", pool.crashes().len()));
    match event {
        Event::RouteMoves if trouble => {
            pool.fleet.put_configuration_with(1, OTHER_MODELS);
            record.line("operator: the route moves to the other service");
        }
        Event::KillAll if trouble => {
            // Such requests come again once the machines are in touch, contact_ms after their start.
            first.abort();
            hosts.iter_mut().for_each(Host::kill);
            hosts.clear();
            record.line("platform: all daemons are killed at once");
            sleep(RESTART_DELAY).await;
            for index in 1..=HOSTS {
                hosts.push(pool.fleet.start_host(index, false).ok()?);
            }
            sleep(CONTACT_SPAN + Duration::from_millis(500)).await;
            first = tokio::spawn(send_series(callers, "g2-", GUILTY_INTERVAL, record.clone()));
        }
        _ => {}
    }
    sleep(SECOND_SPAN).await;
    first.abort();
    sleep(Duration::from_millis(500)).await;
    sound.abort();
    replacing.abort();

    let crashes = pool.crashes();
    for (index, at) in crashes.iter().enumerate() {
        record.line_at(*at, &format!("crash {} of a runner", index + 1));
    }
    let counted = *crashes.get(COUNTED_CRASHES - 1)?;
    let seen: Vec<(String, SeenRequest)> = pool
        .engines()
        .iter()
        .flat_map(|engine| engine.seen().into_iter().map(|seen| (engine.name.clone(), seen)))
        .collect();
    let mut late = 0;
    for (runner, seen) in seen {
        if !seen.id.starts_with('g') {
            continue;
        }
        let counts = seen.ran && seen.at > counted + CONTACT_SPAN;
        late += usize::from(counts);
        let text = format!("runner {runner} gets {} ran={} counts={counts}", seen.id, seen.ran);
        record.line_at(seen.at, &text);
    }
    record.line(&format!(
        "{} crashes; {late} requests with the part reached runners later than contact_ms after the \
        fifth crash, {ALLOWED} are allowed",
        crashes.len()
    ));
    Some(late <= ALLOWED)
}

/// Sends stream requests to each daemon in turn. Those whose name begins with `g` have the guilty
/// part; no two are alike.
async fn send_series(callers: Callers, name: &'static str, every: Duration, record: Arc<Record>) {
    let mut ticks = interval(every);
    for number in 0_usize.. {
        ticks.tick().await;
        let host = callers[number % callers.len()];
        let record = record.clone();
        tokio::spawn(async move {
            let (id, key) = (format!("{name}{number}"), format!("Bearer {KEY}"));
            let second = if name.starts_with('g') { GUILTY_PART } else { "91bd3f06" };
            let own: u64 =
                id.bytes().fold(7, |sum, byte| sum * 131 % 0xffff_fff1 + u64::from(byte));
            let prompt = format!("5c1e07a2:210,{second}:140,{own:x}:1110");
            let headers = [
                ("Host", HOST_NAME),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "15000"),
                ("X-Model", "m1"),
                ("X-Token-Count", "1460,80"),
                ("X-Prompt-Prefix", prompt.as_str()),
                ("Authorization", key.as_str()),
            ];
            let (at, path) = (Instant::now(), format!("/draft/{id}"));
            let call = async {
                let mut connection = Connection::open(host).await?;
                connection.send("POST", &path, &headers, id.as_bytes()).await?;
                connection.reply().await
            };
            let answer = match call.await {
                Ok(reply) => format!("{} complete={}", reply.status, reply.complete),
                Err(error) => error.to_string(),
            };
            record.line_at(at, &format!("client: {id} at {host}: {answer}"));
        });
    }
}
