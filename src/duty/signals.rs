//! Reacts to the signals of the operating system: stops the program on SIGTERM or SIGINT, and
//! calls a handler on SIGHUP.

use super::ProgramHandle;
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Waits until the program of `handle` has stopped; returns false if it failed.
///
/// The first SIGTERM or SIGINT begins a graceful stop, a second one forces it. SIGHUP calls
/// `on_hangup`; with the system's default action, it would end the program.
pub async fn wait_for_stop(handle: ProgramHandle, on_hangup: impl Fn()) -> bool {
    let (Ok(mut term), Ok(mut interrupt), Ok(mut hangup)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) else {
        tracing::error!("can't install signal handlers");
        return false;
    };
    let mut health = handle.health();
    let mut stopping = false;
    loop {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
            _ = hangup.recv() => {
                on_hangup();
                continue;
            }
            _ = health.wait_for(|health| health.phase == super::Phase::Stopped) => break,
        }
        if stopping {
            handle.stop();
        } else {
            tracing::info!("graceful stop begun; a second signal forces the stop");
            handle.drain();
        }
        stopping = true;
    }
    handle.wait().await
}
