//! Stops asked for by the operating system.

use super::ProgramHandle;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Runs `handle` until it ends: the first SIGTERM or SIGINT begins a graceful
/// stop, a second one forces it. SIGHUP calls `reload`; without a handler of
/// its own it would end the program. False when the program failed.
pub async fn wait_for_stop(handle: ProgramHandle, reload: impl Fn()) -> bool {
    let (Ok(mut term), Ok(mut interrupt), Ok(mut hangup)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        tracing::error!("can't listen for signals");
        return false;
    };
    let mut health = handle.health();
    let mut stopping = false;
    loop {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
            _ = hangup.recv() => {
                reload();
                continue;
            }
            _ = health.wait_for(|health| health.phase == super::Phase::Stopped) => break,
        }
        if stopping {
            handle.stop();
        } else {
            tracing::info!("stopping gracefully; a second signal forces the end");
            handle.drain();
        }
        stopping = true;
    }
    handle.wait().await
}
