//! Log lines of a test site's processes.

use tracing_subscriber::EnvFilter;

/// Sends the log lines of all gateways and runners in this process to standard error, filtered
/// by the variable `RUST_LOG`; without it, nothing is logged. The thread id
/// of a line identifies its gateway or runner: each logs its name once at its start.
pub(super) fn open_log() {
    let Ok(filter) = EnvFilter::try_from_default_env() else {
        return;
    };
    // Only the first site of a test program opens the log.
    let _ = tracing_subscriber::fmt()
        .with_ansi(false)
        .with_env_filter(filter)
        .with_thread_ids(true)
        .with_thread_names(true)
        .with_writer(std::io::stderr)
        .try_init();
}
