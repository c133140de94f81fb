//! Counters and latency histograms of one daemon, served as text.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.05, 0.1, 0.3, 0.6, 1.0, 1.5, 3.0, 6.0, 12.0, 25.0];

/// Metrics of one daemon.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Final answers by status and reason.
    pub answers: IntCounterVec,
    /// Sends to upstreams by how they ended.
    pub sends: IntCounterVec,
    /// Answers that broke off, by what a new connection to their upstream met then.
    pub breaks: IntCounterVec,
    /// Answers of the keeper to requests for tokens.
    pub grants: IntCounterVec,
    /// What upstreams said of themselves in answers.
    pub notices: IntCounterVec,
    /// Orders to runners by kind, tier and outcome.
    pub orders: IntCounterVec,
    /// Calls to the platform's store by step and outcome.
    pub store_calls: IntCounterVec,
    /// Datagrams by direction.
    pub datagrams: IntCounterVec,
    /// Bytes of datagrams by direction.
    pub datagram_bytes: IntCounterVec,
    /// Time from a request's arrival to the head of its answer.
    pub first_byte: Histogram,
    /// Time that requests waited for a runner to hold their model.
    pub model_wait: Histogram,
    /// Log lines that were dropped.
    pub dropped_lines: IntGauge,
}

impl GatewayMetrics {
    /// Registers all metrics with a registry of their own.
    ///
    /// # Errors
    /// Fails if two metrics have the same name.
    pub fn register() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            prometheus::Result::Ok(histogram)
        };
        let dropped_lines =
            IntGauge::new("dotterellane_log_lines_dropped", "Log lines dropped, queue full.")?;
        registry.register(Box::new(dropped_lines.clone()))?;
        Ok(Self {
            answers: counter(
                "dotterellane_answers_total",
                "Final answers to callers.",
                &["status", "reason"],
            )?,
            sends: counter(
                "dotterellane_sends_total",
                "Requests sent to upstreams.",
                &["outcome"],
            )?,
            breaks: counter(
                "dotterellane_breaks_total",
                "Answers that broke off, by what a new connection met then.",
                &["connection"],
            )?,
            grants: counter(
                "dotterellane_grants_total",
                "Requests for tokens by what the keeper answered.",
                &["answer"],
            )?,
            notices: counter(
                "dotterellane_upstream_notices_total",
                "Upstreams that said that they leave or want a pause.",
                &["kind"],
            )?,
            orders: counter(
                "dotterellane_orders_total",
                "Orders to runners.",
                &["kind", "tier", "outcome"],
            )?,
            store_calls: counter(
                "dotterellane_store_calls_total",
                "Calls to the platform's store.",
                &["step", "outcome"],
            )?,
            datagrams: counter(
                "dotterellane_datagrams_total",
                "Datagrams between daemons.",
                &["direction"],
            )?,
            datagram_bytes: counter(
                "dotterellane_datagram_bytes_total",
                "Bytes of datagrams between daemons.",
                &["direction"],
            )?,
            first_byte: histogram(
                "dotterellane_first_byte_seconds",
                "From a request's arrival to the head of its answer.",
            )?,
            model_wait: histogram(
                "dotterellane_model_wait_seconds",
                "Time that requests waited for a runner to hold their model.",
            )?,
            dropped_lines,
            registry,
        })
    }

    /// Returns all metrics as text.
    pub fn render(&self) -> Vec<u8> {
        self.dropped_lines.set(i64::try_from(crate::logging::dropped_lines()).unwrap_or(i64::MAX));
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            text = format!("# metrics cannot be shown: {error}\n").into_bytes();
        }
        text
    }
}
