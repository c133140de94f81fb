//! Following the operators' configuration and the directory of upstreams.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use dotterellane_platform::{FeedBatch, FeedError, FeedRow, RowFeed, TableError};
use dotterellane_units::{ClockInstant, RowVersion, UpstreamId};
use tokio::time::{sleep, timeout};

use crate::keeper;
use crate::state::Host;

/// Longest time that one look at the configuration waits for a change.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(1_300);

/// Longest time that one look at the directory waits for a change.
const DIRECTORY_WAIT: Duration = Duration::from_millis(500);

/// Pause between two looks at the directory, whose rows change all the time.
const DIRECTORY_PAUSE: Duration = Duration::from_millis(1_200);

/// Pause between two looks while the keeper waits for a load to end.
const KEEPER_PAUSE: Duration = Duration::from_millis(180);

/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Follows one feed: all rows at first and after its history was lost, then changes.
struct FeedFollower {
    name: &'static str,
    feed: RowFeed,
    after: Option<RowVersion>,
    failing: bool,
}

impl FeedFollower {
    fn new(name: &'static str, feed: RowFeed) -> Self {
        Self { name, feed, after: None, failing: false }
    }

    /// Looks once; tells whether the batch holds all rows. `None` after a failure.
    async fn look(&mut self, host: &Host, wait: Duration) -> Option<(FeedBatch, bool)> {
        let whole = self.after.is_none();
        let looked = match self.after {
            None => self.feed.snapshot().await.map_err(FeedError::Table),
            Some(after) => self.feed.changes(after, wait).await,
        };
        let label = match &looked {
            Ok(_) => "ok",
            Err(FeedError::HistoryLost { .. }) => "history_lost",
            Err(FeedError::Table(TableError::Unavailable { .. })) => "unavailable",
            Err(FeedError::Table(TableError::AnswerLost { .. })) => "lost",
        };
        host.metrics.store_calls.with_label_values(&[self.name, label]).inc();
        match looked {
            Ok(batch) => {
                if std::mem::take(&mut self.failing) {
                    spdlog::info!("store answers again", kv: { step = self.name });
                }
                self.after = Some(batch.version);
                Some((batch, whole))
            }
            Err(FeedError::HistoryLost { after }) => {
                spdlog::warn!("store forgot its history", kv: { step = self.name, after = after.0 });
                self.after = None;
                None
            }
            Err(FeedError::Table(error)) => {
                if !std::mem::replace(&mut self.failing, true) {
                    let cause = error.to_string();
                    spdlog::warn!("store does not answer", kv: {
                        step = self.name,
                        cause = cause.as_str(),
                    });
                }
                host.state().store_trouble = Some(host.now());
                sleep(FAILURE_PAUSE).await;
                None
            }
        }
    }
}

/// Follows the configuration until the daemon ends.
pub async fn follow_configuration(host: Arc<Host>) {
    let mut follower = FeedFollower::new("configuration", host.platform.configuration.clone());
    loop {
        let started = host.now();
        let Some((batch, whole)) = follower.look(&host, CONFIGURATION_WAIT).await else { continue };
        let newest = batch.rows.iter().rev().find(|row| row.key == host.wire.document_key);
        match newest {
            // What is in force is not known until a version can be read.
            Some(FeedRow { version, value: Some(value), .. })
                if !adopt_document(&host, started, *version, value) =>
            {
                continue;
            }
            Some(FeedRow { value: Some(_), .. }) => {}
            Some(FeedRow { value: None, .. }) => {
                spdlog::error!("configuration was removed", kv: { version = batch.version.0 });
                continue;
            }
            None if whole && host.state().document.is_some() => continue,
            None => {}
        }
        let mut state = host.state();
        if state.document.is_some() {
            state.evidence = state.evidence.max(Some(started));
        }
    }
}

/// Takes in a version; tells whether what is known is now the newest.
fn adopt_document(
    host: &Arc<Host>,
    started: ClockInstant,
    version: RowVersion,
    value: &[u8],
) -> bool {
    if version < host.state().document_version {
        return false;
    }
    if version == host.state().document_version {
        return true;
    }
    let document = match (host.wire.document)(value) {
        Ok(document) => Arc::new(document),
        Err(error) => {
            let cause = error.to_string();
            spdlog::error!("configuration cannot be read; the last one stays", kv: {
                version = version.0,
                cause = cause.as_str(),
            });
            return false;
        }
    };
    let now = host.now();
    let mut state = host.state();
    let tolerance = host.settings.tolerance;
    let limits = document.teams.iter().map(|team| {
        let limit = if team.counts_tokens { team.limit.lent(tolerance) } else { team.limit };
        (team.name.clone(), limit)
    });
    state.levels.set_limits(now, limits);
    state.document = Some(document.clone());
    state.document_version = version;
    drop(state);
    spdlog::info!("configuration in use", kv: {
        revision = document.revision,
        version = version.0,
        hosts = document.routes.len(),
        teams = document.teams.len(),
        after_ms = now.since(started).as_millis() as u64,
    });
    keeper::on_document(host, &document);
    host.holdings_changed.notify_waiters();
    true
}

/// Follows the directory until the daemon ends.
pub async fn follow_directory(host: Arc<Host>) {
    let mut follower = FeedFollower::new("directory", host.platform.directory.clone());
    loop {
        let looked = follower.look(&host, DIRECTORY_WAIT).await;
        if let Some((batch, whole)) = looked {
            adopt_entries(&host, batch, whole);
            let pause = if keeper::is_loading(&host) { KEEPER_PAUSE } else { DIRECTORY_PAUSE };
            let _woken = timeout(pause, host.directory_wanted.notified()).await;
        }
    }
}

fn adopt_entries(host: &Arc<Host>, batch: FeedBatch, whole: bool) {
    let now = host.now();
    let mut state = host.state();
    let trouble = state.store_trouble;
    if whole {
        let listed: BTreeSet<&str> = batch.rows.iter().map(|row| row.key.as_str()).collect();
        let gone = state.directory.iter().map(|(name, _)| name.clone());
        let gone: Vec<UpstreamId> = gone.filter(|name| !listed.contains(name.as_str())).collect();
        for name in gone {
            state.directory.remove(now, &name, trouble);
        }
    }
    for row in batch.rows {
        let Ok(name) = row.key.parse::<UpstreamId>() else {
            log_entry(&row.key, "its key is not an upstream's name");
            continue;
        };
        let Some(value) = row.value else {
            state.directory.remove(now, &name, trouble);
            spdlog::info!("upstream left the directory", kv: {
                upstream = name.as_str(),
                used_on = state.directory.get(&name).is_some(),
            });
            continue;
        };
        match (host.wire.entry)(&value) {
            Ok(entry) => {
                let known = state
                    .directory
                    .get(&name)
                    .map(|known| (known.entry.report.draining, known.entry.report.born));
                let (draining, born) = (entry.report.draining, entry.report.born);
                let service = entry.service.clone();
                if state.directory.put(now, name.clone(), entry) && known != Some((draining, born))
                {
                    spdlog::info!("upstream in the directory", kv: {
                        upstream = name.as_str(),
                        service = service.as_str(),
                        draining = draining,
                        born = born,
                    });
                }
            }
            Err(error) => {
                log_entry(&row.key, &error.to_string());
                state.directory.remove(now, &name, None);
            }
        }
    }
    state.directory.sweep(now);
    drop(state);
    keeper::on_directory(host);
    host.holdings_changed.notify_waiters();
}

fn log_entry(key: &str, cause: &str) {
    spdlog::warn!("directory row names no upstream", kv: { row = key, cause = cause });
}
