//! Where log lines go.

use crate::settings::LogFormat;
use tracing_subscriber::EnvFilter;

/// Sends this process's log lines to standard error; later calls change nothing.
pub fn open_log(format: LogFormat, level: &str) {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Json => lines.json().try_init(),
        LogFormat::Text => lines.with_ansi(false).try_init(),
    };
}
