//! Metrics of the administration API.

use dotterellane_fleet::ConfigurationFeed;
use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use crate::problem::ApiProblem;
use crate::wire::ChangeAnswer;

const CHANGES_NAME: &str = "dotterellane_admin_changes_total";
const VERSION_NAME: &str = "dotterellane_configuration_version";

/// Metrics that the administration API updates.
pub(crate) struct AdminMetrics {
    changes: IntCounterVec,
}

impl AdminMetrics {
    /// Registers the metrics; `feed` provides the configuration version.
    pub fn register(registry: &Registry, feed: ConfigurationFeed) -> prometheus::Result<Self> {
        let help = "Configuration changes requested by operators at this daemon, by outcome";
        let changes = IntCounterVec::new(Opts::new(CHANGES_NAME, help), &["outcome"])?;
        registry.register(Box::new(changes.clone()))?;
        let help = "Newest version of the configuration that this daemon has applied";
        let version = IntGauge::new(VERSION_NAME, help)?;
        registry.register(Box::new(VersionCollector { feed, version }))?;
        Ok(Self { changes })
    }

    /// Counts a change by its outcome. Other problem codes than those listed count as `refused`, so
    /// the label has a small, fixed set of values.
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

/// Gauge that reads the configuration version when the metrics are collected.
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
