//! Metrics of the operators' side.

use dotterellane_fleet::ConfigurationFeed;
use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use crate::problem::ApiProblem;
use crate::wire::ChangeAnswer;

const CHANGES_NAME: &str = "dotterellane_admin_changes_total";
const VERSION_NAME: &str = "dotterellane_configuration_version";

/// Counters of the operators' side.
pub(crate) struct AdminMetrics {
    changes: IntCounterVec,
}

impl AdminMetrics {
    /// Registers the metrics.
    pub fn register(registry: &Registry, feed: ConfigurationFeed) -> prometheus::Result<Self> {
        let help = "Changes that operators asked this daemon for, by outcome";
        let changes = IntCounterVec::new(Opts::new(CHANGES_NAME, help), &["outcome"])?;
        registry.register(Box::new(changes.clone()))?;
        let help = "Version of the configuration that this daemon follows";
        let version = IntGauge::new(VERSION_NAME, help)?;
        registry.register(Box::new(VersionCollector { feed, version }))?;
        Ok(Self { changes })
    }

    /// Counts a change; the outcomes are few and fixed.
    pub fn count_change(&self, outcome: &Result<ChangeAnswer, ApiProblem>) {
        let outcome = match outcome {
            Ok(answer) if answer.dry_run => "tried",
            Ok(_) => "accepted",
            Err(problem) => match problem.code.as_str() {
                "raced" | "busy" => "raced",
                "faulty" => "faulty",
                "table-down" => "table-down",
                "unknown-outcome" => "unknown-outcome",
                _ => "refused",
            },
        };
        self.changes.with_label_values(&[outcome]).inc();
    }
}

/// Reads the version when the metrics are gathered.
struct VersionCollector {
    feed: ConfigurationFeed,
    version: IntGauge,
}

impl Collector for VersionCollector {
    fn desc(&self) -> Vec<&Desc> {
        self.version.desc()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let version = self.feed.current().version.0;
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.version.collect()
    }
}
