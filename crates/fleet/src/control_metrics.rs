//! Prometheus metrics of membership, freshness and the log of changes.

use dotterellane_decisions::freshness::FreshnessEvidence;
use dotterellane_protocol::LogHeads;
use prometheus::{IntCounter, IntGauge, IntGaugeVec, Opts, Registry};

/// Metrics of one daemon's [`FleetControl`](crate::control::FleetControl).
pub(crate) struct ControlMetrics {
    pub(crate) platform_errors: IntCounter,
    fresh: IntGauge,
    members: IntGaugeVec,
    positions: IntGaugeVec,
}

impl ControlMetrics {
    /// Creates the metrics and adds them to `registry`.
    ///
    /// # Errors
    /// Fails if a metric of the same name is registered already.
    pub(crate) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = Self {
            platform_errors: IntCounter::new(
                "dotterellane_platform_errors_total",
                "Failed platform calls of membership and configuration.",
            )?,
            fresh: IntGauge::new("dotterellane_fresh", "1 while the daemon may admit requests.")?,
            members: IntGaugeVec::new(
                Opts::new(
                    "dotterellane_members",
                    "Members of the fleet as seen by this daemon, by state.",
                ),
                &["state"],
            )?,
            positions: IntGaugeVec::new(
                Opts::new("dotterellane_log_position", "Positions in the log of changes, by head."),
                &["head"],
            )?,
        };
        registry.register(Box::new(metrics.platform_errors.clone()))?;
        registry.register(Box::new(metrics.fresh.clone()))?;
        registry.register(Box::new(metrics.members.clone()))?;
        registry.register(Box::new(metrics.positions.clone()))?;
        Ok(metrics)
    }

    /// Sets whether the daemon is fresh, that is, may admit requests.
    pub(crate) fn set_fresh(&self, evidence: FreshnessEvidence) {
        self.fresh.set(i64::from(evidence.is_fresh()));
    }

    /// Sets the log positions that are applied, known to exist and in force.
    pub(crate) fn set_heads(&self, heads: LogHeads) {
        let heads =
            [("followed", heads.followed), ("known", heads.known), ("in_force", heads.in_force)];
        for (head, position) in heads {
            let position = i64::try_from(position.0).unwrap_or(i64::MAX);
            self.positions.with_label_values(&[head]).set(position);
        }
    }

    /// Sets how many members are listed, and how many of those are alive.
    pub(crate) fn set_members(&self, listed: usize, alive: usize) {
        for (state, count) in [("listed", listed), ("alive", alive)] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.members.with_label_values(&[state]).set(count);
        }
    }
}
