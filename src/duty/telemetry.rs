//! The Prometheus metrics of this process.

use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use std::sync::OnceLock;

static RECORDER: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// The metrics in the Prometheus text format. Recording begins with the first call.
pub fn render_metrics() -> String {
    let recorder = RECORDER.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
    recorder
        .as_ref()
        .map(PrometheusHandle::render)
        .unwrap_or_default()
}
