//! Prometheus metrics of one daemon.

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 10] = [0.05, 0.1, 0.3, 0.6, 1.0, 1.5, 3.0, 6.0, 12.0, 25.0];

/// Metrics of one daemon.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Responses sent to callers, by status and reason.
    pub responses: IntCounterVec,
    /// Attempts to send requests to upstreams, by outcome.
    pub sends: IntCounterVec,
    /// Connections through other hosts, by role (opened or served) and outcome.
    pub tunnels: IntCounterVec,
    /// Whether this host counts as cut off from all upstreams: 1 or 0.
    pub cut_off: IntGauge,
    /// Retries, by service and by whether they were sent or refused for want of budget.
    pub retries: IntCounterVec,
    /// Number of hosts by which the fleet's budget of retries is divided.
    pub retry_hosts: IntGauge,
    /// Upstreams selected for requests, by whether they are in this host's failure domain.
    pub selections: IntCounterVec,
    /// Responses that broke off, by the result of probing their upstream with a new connection.
    pub breaks: IntCounterVec,
    /// Silences of upstreams after which another one was sought, by phase and by how they ended.
    pub silences: IntCounterVec,
    /// Requests sent to an upstream although a part of them was at crashes, by why they may run.
    pub suspected_runs: IntCounterVec,
    /// This host's requests for tokens, by the leader's answer.
    pub grants: IntCounterVec,
    /// Requests for permits to send to upstreams with a rate limit, by outcome.
    pub permits: IntCounterVec,
    /// Notices of upstreams, by kind: leaving, asking for a pause, a rate limit, or being cold.
    pub notices: IntCounterVec,
    /// Notices in upstreams' responses that the adapter does not understand, by header.
    pub unknown_notices: IntCounterVec,
    /// Calls that this host, as the leader, sent to runners, by purpose: order or report.
    pub runner_calls: IntCounterVec,
    /// Orders to runners, by kind, tier and outcome.
    pub orders: IntCounterVec,
    /// Calls to the platform's store, by step and outcome.
    pub store_calls: IntCounterVec,
    /// Datagrams between daemons, by direction or failure to send.
    pub datagrams: IntCounterVec,
    /// Bytes of sent datagrams, by whether sending succeeded.
    pub datagram_bytes: IntCounterVec,
    /// Time from the arrival of a request to the head of its response, in seconds.
    pub first_byte: Histogram,
    /// Time that requests waited for a runner to load their model, in seconds.
    pub model_wait: Histogram,
    /// Age of the configuration by which requests were admitted, in seconds, by whether their route
    /// needs a key.
    pub configuration_age: HistogramVec,
    /// Era of the store's last answer.
    pub store_era: IntGauge,
    /// Whether the newest version of the configuration cannot be used: 1 or 0.
    pub configuration_unusable: IntGauge,
    /// Number of fields of the configuration in use that cannot be read.
    pub configuration_faults: IntGauge,
    /// Unix time in seconds at which this host learned that a failure domain is evacuated, by domain.
    pub evacuated_since: IntGaugeVec,
    /// Number of this host's requests that still run in an evacuated failure domain, by domain.
    pub evacuated_running: IntGaugeVec,
    /// Delay of a periodic timer of the daemon, in seconds.
    pub timer_delay: Histogram,
    /// Callers that gave way as a part of the memory was used up, by use.
    pub memory_yielded: IntCounterVec,
    /// Memory held for callers, by use.
    pub memory_held: IntGaugeVec,
    /// Log lines dropped because the queue was full.
    pub dropped_lines: IntGauge,
}

impl GatewayMetrics {
    /// Registers all metrics in a new registry.
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
        let configuration_age = HistogramVec::new(
            HistogramOpts::new(
                "dotterellane_configuration_age_seconds",
                "Age of the configuration by which requests were admitted.",
            )
            .buckets(LATENCY_BOUNDS.to_vec()),
            &["access"],
        )?;
        registry.register(Box::new(configuration_age.clone()))?;
        let by_domain = |name: &str, help: &str| {
            let gauge = IntGaugeVec::new(Opts::new(name, help), &["domain"])?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        let dropped_lines = IntGauge::new(
            "dotterellane_log_lines_dropped",
            "Log lines dropped because the queue was full.",
        )?;
        registry.register(Box::new(dropped_lines.clone()))?;
        let memory_held = IntGaugeVec::new(
            Opts::new("dotterellane_memory_held_bytes", "Memory held for callers, by use."),
            &["use"],
        )?;
        registry.register(Box::new(memory_held.clone()))?;
        let store_era = IntGauge::new(
            "dotterellane_store_era",
            "How often the store came back from an older copy.",
        )?;
        registry.register(Box::new(store_era.clone()))?;
        let configuration_unusable = IntGauge::new(
            "dotterellane_configuration_unusable",
            "Whether the newest version of the configuration cannot be used.",
        )?;
        registry.register(Box::new(configuration_unusable.clone()))?;
        let cut_off = IntGauge::new(
            "dotterellane_cut_off",
            "Whether the host counts as cut off from all upstreams.",
        )?;
        registry.register(Box::new(cut_off.clone()))?;
        let retry_hosts = IntGauge::new(
            "dotterellane_retry_hosts",
            "Number of hosts by which the fleet's budget of retries is divided.",
        )?;
        registry.register(Box::new(retry_hosts.clone()))?;
        let configuration_faults = IntGauge::new(
            "dotterellane_configuration_faults",
            "Number of fields of the configuration in use that cannot be read.",
        )?;
        registry.register(Box::new(configuration_faults.clone()))?;
        Ok(Self {
            responses: counter(
                "dotterellane_answers_total",
                "Responses sent to callers.",
                &["status", "reason"],
            )?,
            sends: counter(
                "dotterellane_sends_total",
                "Attempts to send requests to upstreams.",
                &["outcome"],
            )?,
            retries: counter(
                "dotterellane_retries_total",
                "Retries, sent or refused for want of budget.",
                &["service", "outcome"],
            )?,
            tunnels: counter(
                "dotterellane_tunnels_total",
                "Connections to upstreams through other hosts.",
                &["role", "outcome"],
            )?,
            cut_off,
            retry_hosts,
            selections: counter(
                "dotterellane_selections_total",
                "Upstreams selected for requests, in this host's failure domain or another.",
                &["domain"],
            )?,
            breaks: counter(
                "dotterellane_breaks_total",
                "Responses that broke off, by the result of probing the upstream.",
                &["connection"],
            )?,
            silences: counter(
                "dotterellane_silences_total",
                "Silences of upstreams, before the head or in a stream, by how they ended.",
                &["phase", "end"],
            )?,
            suspected_runs: counter(
                "dotterellane_suspected_runs_total",
                "Requests sent although a part of them was at crashes of upstreams, by why.",
                &["suspicion"],
            )?,
            grants: counter(
                "dotterellane_grants_total",
                "Requests for tokens, by the leader's answer.",
                &["answer"],
            )?,
            permits: counter(
                "dotterellane_permits_total",
                "Requests for permits to send to upstreams with a rate limit, by outcome.",
                &["outcome"],
            )?,
            notices: counter(
                "dotterellane_upstream_notices_total",
                "Announcements of upstreams: leaving, a pause, a rate limit or its end, being cold.",
                &["kind"],
            )?,
            unknown_notices: counter(
                "dotterellane_unknown_notices_total",
                "Notices in upstreams' responses that the daemon does not understand.",
                &["header"],
            )?,
            runner_calls: counter(
                "dotterellane_runner_calls_total",
                "Calls that the leader sent to runners.",
                &["purpose"],
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
                "Time from the arrival of a request to the head of its response.",
            )?,
            model_wait: histogram(
                "dotterellane_model_wait_seconds",
                "Time that requests waited for a runner to load their model.",
            )?,
            configuration_age,
            store_era,
            configuration_unusable,
            configuration_faults,
            evacuated_since: by_domain(
                "dotterellane_evacuated_since_seconds",
                "Unix time at which the host learned that a failure domain is evacuated.",
            )?,
            evacuated_running: by_domain(
                "dotterellane_evacuated_running",
                "Requests of the host that still run in an evacuated failure domain.",
            )?,
            timer_delay: histogram(
                "dotterellane_timer_delay_seconds",
                "Delay of a periodic timer of the daemon.",
            )?,
            memory_yielded: counter(
                "dotterellane_memory_yielded_total",
                "Callers that gave way as a part of the memory was used up, by use.",
                &["use"],
            )?,
            memory_held,
            dropped_lines,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.dropped_lines.set(i64::try_from(crate::logging::dropped_lines()).unwrap_or(i64::MAX));
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            text = format!("# failed to encode metrics: {error}\n").into_bytes();
        }
        text
    }
}
