//! Polls the engine for its report.

use super::event::{Event, ReceivedReport};
use crate::{
    base::{Clock, Millis},
    net::{Matching, Peer},
    platform::{EngineReport, read_report, report_request},
    routing::LoadedModel, //
};
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// The wait between two polls. The engine is on the same instance, so a poll costs
/// almost nothing, and a crash should be seen before the work of a group is lost.
const REPORT_INTERVAL: Millis = Millis(200);

/// How long a report may take; an engine on the same instance answers in about 1 ms.
const REPORT_TIMEOUT: Millis = Millis(400);

/// Sends the reports of the engine at `address` to the work loop until the loop ends.
///
/// Reports carry no id, so their connections carry nothing else: a late second answer can only
/// be an earlier report.
pub(super) async fn poll_reports(address: SocketAddr, clock: Clock, events: mpsc::Sender<Event>) {
    let peer = Peer::open_as("engine-reports", Matching::Order, address, clock);
    let mut last: Option<EngineReport> = None;
    loop {
        let mut asked_at = clock.now();
        let mut report = ask_report(&peer).await;
        if let (Some(before), Some(found)) = (&last, &report)
            && seems_older(found, before)
        {
            // The first answer on a new connection is that to its request.
            peer.forget_connections();
            tracing::info!(
                ?before,
                ?found,
                "report older than the last one: asked again"
            );
            metrics::counter!("redwing_old_reports_total").increment(1);
            asked_at = clock.now();
            report = ask_report(&peer).await;
        }
        if report.is_some() {
            last.clone_from(&report);
        }
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

async fn ask_report(peer: &Peer) -> Option<EngineReport> {
    match peer.call(report_request(), REPORT_TIMEOUT).await {
        Ok(answer) => read_report(&answer),
        Err(error) => {
            tracing::debug!(%error, "no report from the engine");
            None
        }
    }
}

/// Whether `report` seems to be from before `last`. An engine that has restarted, or has loaded an
/// older version, reports such a state too.
fn seems_older(report: &EngineReport, last: &EngineReport) -> bool {
    let state = |report: &EngineReport| (report.started_at, report.accepted_orders);
    let is_older = |weights: &LoadedModel| {
        let mut now = report.weights.iter();
        now.any(|now| now.model == weights.model && now.version < weights.version)
    };
    state(report) < state(last) || last.weights.iter().any(is_older)
}
