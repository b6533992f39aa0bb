//! Counters and gauges for a statsd server over UDP.

use std::io;
use std::net::UdpSocket;
use std::sync::Arc;

use cadence::Counted;
use cadence::Gauged;
use cadence::MetricError;
use cadence::StatsdClient;
use cadence::UdpMetricSink;

use mustardpath_core::effect::MetricName;

/// Sends metrics to a statsd server, or discards them when none is configured.
#[derive(Clone)]
pub struct MetricSink {
    client: Option<Arc<StatsdClient>>,
}

impl MetricSink {
    /// Creates a sink. Datagrams are dropped when the send buffer of the socket is full.
    ///
    /// # Errors
    ///
    /// Returns the I/O error when the socket cannot be created or the address is invalid.
    pub fn open(address: Option<&str>) -> io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self { client: None });
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
        // Metrics are sent with each event, so logging their errors would flood the log.
        let client = StatsdClient::builder("mustardpath", sink)
            .with_error_handler(|_: MetricError| {})
            .build();
        Ok(Self {
            client: Some(Arc::new(client)),
        })
    }

    /// Adds `amount` to a counter, or sets a gauge to `amount`.
    pub fn count(&self, metric: MetricName, amount: u64) {
        let Some(client) = &self.client else {
            return;
        };
        let name = metric_name(metric);
        match metric {
            MetricName::JobsWaiting
            | MetricName::JobsPlaced
            | MetricName::RequestsOpen
            | MetricName::LogAge => client.gauge_with_tags(&name, amount).send(),
            _ => client
                .count_with_tags(&name, i64::try_from(amount).unwrap_or(i64::MAX))
                .send(),
        }
    }
}

fn metric_name(metric: MetricName) -> String {
    match serde_json::to_value(metric) {
        Ok(serde_json::Value::String(name)) => name,
        _ => String::from("unnamed"),
    }
}
