//! Sets up the output of log lines.

use crate::settings::LogFormat;
use tracing_appender::non_blocking::{
    ErrorCounter,
    NonBlockingBuilder,
    WorkerGuard, //
};
use tracing_subscriber::EnvFilter;

/// Sends this process's log lines to standard error. Only the first call in a process has an
/// effect.
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

/// The maximum number of lines buffered for a slow reader of the log; further ones are dropped
/// and counted. A line has about 300 bytes.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Keeps the writer of the log alive. Dropping it writes the buffered lines.
pub struct LogGuard {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let dropped = self.dropped.dropped_lines();
        if dropped > 0 {
            tracing::warn!(
                dropped,
                "log lines dropped: the reader of standard output was too slow"
            );
        }
    }
}

/// Sends this process's log lines to standard output as JSON. A separate thread writes them,
/// so that a slow reader never delays a request.
pub fn open_stdout_log(level: &str) -> LogGuard {
    let filter = EnvFilter::try_new(level).unwrap_or_else(|_| EnvFilter::new("info"));
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .thread_name("log")
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    LogGuard {
        dropped,
        _writer: guard,
    }
}
