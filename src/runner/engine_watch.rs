//! Polls the engine for its report.

use super::event::{Event, ReceivedReport};
use crate::{
    base::{Clock, Millis},
    net::Peer,
    platform::{read_report, report_request}, //
};
use tokio::sync::mpsc;

/// The wait between two polls. The engine is on the same instance, so a poll costs
/// almost nothing, and a crash should be seen before the work of a group is lost.
const REPORT_INTERVAL: Millis = Millis(200);

/// How long a report may take; an engine on the same instance answers in about 1 ms.
const REPORT_TIMEOUT: Millis = Millis(400);

/// Sends the engine's reports to the work loop until the loop ends.
pub(super) async fn poll_reports(peer: Peer, clock: Clock, events: mpsc::Sender<Event>) {
    loop {
        let asked_at = clock.now();
        let report = match peer.call(report_request(), REPORT_TIMEOUT).await {
            Ok(answer) => read_report(&answer),
            Err(error) => {
                tracing::debug!(%error, "no report from the engine");
                None
            }
        };
        let received = report.map(|report| ReceivedReport {
            asked_at,
            received_at: clock.now(),
            report,
        });
        if events.send(Event::Report(received)).await.is_err() {
            return;
        }
        tokio::time::sleep(REPORT_INTERVAL.as_duration()).await;
    }
}
