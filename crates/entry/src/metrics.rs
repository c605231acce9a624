//! Counters, gauges and histograms, exported in the Prometheus text format.

use prometheus::{
    Encoder as _, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder, exponential_buckets,
};

/// The upper bound of the histograms' first bucket.
const FIRST_BUCKET_SECONDS: f64 = 0.001;

/// Every metric of one instance.
pub struct Metrics {
    registry: Registry,
    /// Calls of backend servers, by pool and result.
    pub attempts: IntCounterVec,
    /// The offset of the configuration in force.
    pub bundle_offset: IntGauge,
    /// Cost by pipeline and stage, in thousandths of the unit that operators state costs in.
    pub cost: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Appends to the ledger's streams.
    pub ledger_appends: IntCounter,
    /// Reads of the ledger's streams.
    pub ledger_reads: IntCounter,
    /// Messages between instances, by kind and result.
    pub peer_messages: IntCounterVec,
    /// Placement events (records, polls and orders), by pool and event.
    pub placement: IntCounterVec,
    /// Whether this instance holds the placement lease of a pool.
    pub placement_lease: IntGaugeVec,
    /// Failed calls of the platform, by service.
    pub platform_failures: IntCounterVec,
    /// Completed requests, by pipeline, result code and outcome.
    pub requests: IntCounterVec,
    /// Time to answer, by pipeline.
    pub request_seconds: HistogramVec,
    /// Time of a stage, by pipeline and stage.
    pub stage_seconds: HistogramVec,
    /// Tokens sent to callers, by pipeline.
    pub tokens: IntCounterVec,
}

impl Metrics {
    /// Registers every metric.
    ///
    /// # Examples
    ///
    /// ```
    /// let metrics = entry::metrics::Metrics::register();
    /// metrics.in_flight.set(2);
    /// assert!(metrics.text().contains("limpetstep_in_flight 2"));
    /// ```
    pub fn register() -> Self {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let opts = Opts::new(format!("limpetstep_{name}"), help);
            let counters = IntCounterVec::new(opts, labels).expect("a valid metric");
            register_metric(&registry, &counters);
            counters
        };
        let counter = |name: &str, help: &str| {
            let counter =
                IntCounter::new(format!("limpetstep_{name}"), help).expect("a valid metric");
            register_metric(&registry, &counter);
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("limpetstep_{name}"), help).expect("a valid metric");
            register_metric(&registry, &gauge);
            gauge
        };
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            let opts = Opts::new(format!("limpetstep_{name}"), help);
            let gauges = IntGaugeVec::new(opts, labels).expect("a valid metric");
            register_metric(&registry, &gauges);
            gauges
        };
        let seconds = |name: &str, help: &str, labels: &[&str]| {
            let buckets =
                exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, 16).expect("valid buckets");
            let opts = HistogramOpts::new(format!("limpetstep_{name}"), help).buckets(buckets);
            let histograms = HistogramVec::new(opts, labels).expect("a valid metric");
            register_metric(&registry, &histograms);
            histograms
        };
        Self {
            attempts: counters(
                "attempts_total",
                "Calls of backend servers",
                &["pool", "end"],
            ),
            bundle_offset: gauge("bundle_offset", "Offset of the configuration in force"),
            cost: counters(
                "cost_milli_total",
                "Cost in thousandths",
                &["pipeline", "stage"],
            ),
            in_flight: gauge("in_flight", "Requests in flight"),
            ledger_appends: counter("ledger_appends_total", "Appends to the ledger"),
            ledger_reads: counter("ledger_reads_total", "Reads of the ledger"),
            peer_messages: counters("peer_messages_total", "Messages to peers", &["kind", "end"]),
            placement: counters("placement_total", "Events of placement", &["pool", "event"]),
            placement_lease: gauges(
                "placement_lease",
                "Whether the lease of a pool's placement is held",
                &["pool"],
            ),
            platform_failures: counters("platform_failures_total", "Failed calls", &["service"]),
            requests: counters(
                "requests_total",
                "Requests ended",
                &["pipeline", "code", "outcome"],
            ),
            request_seconds: seconds("request_seconds", "Time to answer", &["pipeline"]),
            stage_seconds: seconds("stage_seconds", "Time of a stage", &["pipeline", "stage"]),
            tokens: counters("tokens_total", "Tokens sent to callers", &["pipeline"]),
            registry,
        }
    }

    /// Returns every metric in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        let families = self.registry.gather();
        let written = TextEncoder::new().encode(&families, &mut buffer);
        written.map_or_else(
            |error| format!("# {error}\n"),
            |()| String::from_utf8_lossy(&buffer).into_owned(),
        )
    }
}

fn register_metric(
    registry: &Registry,
    metric: &(impl prometheus::core::Collector + Clone + 'static),
) {
    registry
        .register(Box::new(metric.clone()))
        .expect("metric names are unique");
}
