//! Asks the engine beside this runner how it is.

use super::event::Event;
use crate::{
    base::Millis,
    net::Peer,
    platform::{read_report, report_request}, //
};
use tokio::sync::mpsc;

/// How often the engine is asked: its report is free and fresh on its own
/// instance, and a crash should be seen before a group's time is lost.
const REPORT_INTERVAL: Millis = Millis(200);

/// An engine on the same instance answers in about a millisecond.
const REPORT_TIMEOUT: Millis = Millis(400);

/// Reports on the engine until the work loop ends.
pub(super) async fn poll_reports(peer: Peer, events: mpsc::Sender<Event>) {
    loop {
        let report = match peer.call(report_request(), REPORT_TIMEOUT).await {
            Ok(answer) => read_report(&answer),
            Err(error) => {
                tracing::debug!(%error, "no report from the engine");
                None
            }
        };
        if events.send(Event::Report(report)).await.is_err() {
            return;
        }
        tokio::time::sleep(REPORT_INTERVAL.as_duration()).await;
    }
}
