//! `redwing explain`: what happened to one request, by the accounts of entries and agents.

use super::{
    OperatorError,
    fleet::entry_addresses,
    operator_error::{AnswerSnafu, UnknownRequestSnafu}, //
};
use crate::{
    base::{Account, Event, Millis, RequestId, Verdict},
    policy::explanation::{Explanation, conclude}, //
    table::JsonClient,
};
use argh::FromArgs;
use hyper::{
    Method,
    StatusCode, //
};
use snafu::{
    ResultExt,
    ensure, //
};
use std::net::SocketAddr;

/// Show what happened to one request: it ran once, it never ran, or why that
/// can't be known.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(super) struct ExplainCommand {
    /// the request id, as in the answer's header `redwing-request-id`
    #[argh(positional)]
    request: String,

    /// the admin address of an entry; can be repeated
    #[argh(option)]
    entry: Vec<SocketAddr>,

    /// print JSON
    #[argh(switch)]
    json: bool,

    /// the platform's IP address and port, to look up the entries there
    #[argh(option)]
    platform: Option<SocketAddr>,
}

/// The timeout for one entry, including the answers of its agents.
const ENTRY_TIMEOUT: Millis = Millis(2_000);

impl ExplainCommand {
    pub(super) async fn run(self) -> Result<(), OperatorError> {
        let request: RequestId = self.request.parse()?;
        let mut entry_account = None;
        let mut agent_accounts = Vec::new();
        for entry in entry_addresses(self.entry, self.platform).await? {
            if let Some(answer) = fetch_explanation(entry, request).await? {
                entry_account = entry_account.or(answer.entry);
                agent_accounts.extend(answer.agents);
            }
        }
        ensure!(
            entry_account.is_some() || !agent_accounts.is_empty(),
            UnknownRequestSnafu { id: self.request }
        );
        agent_accounts.dedup();
        let explanation = conclude(entry_account, agent_accounts);
        match self.json {
            true => println!("{}", serde_json::json!(explanation)),
            false => print(request, &explanation),
        }
        Ok(())
    }
}

/// Asks the entry for its account of `request` and those of its agents. `None` if the entry
/// knows nothing of the request or can't be reached.
async fn fetch_explanation(
    entry: SocketAddr,
    request: RequestId,
) -> Result<Option<Explanation>, OperatorError> {
    let client = JsonClient::open(entry, ENTRY_TIMEOUT);
    let path = format!("/v1/explain/{request}");
    match client.call(Method::GET, &path, Vec::new()).await {
        Ok((StatusCode::OK, body)) => serde_json::from_slice(&body)
            .context(AnswerSnafu { address: entry })
            .map(Some),
        Ok(_) => Ok(None),
        Err(error) => {
            eprintln!("warning: {error}");
            Ok(None)
        }
    }
}

fn print(request: RequestId, explanation: &Explanation) {
    let verdict = match explanation.verdict {
        Verdict::MayHaveRun => "it may have run",
        Verdict::NotRun => "it never ran",
        Verdict::Ran => "it ran",
    };
    let delivered = match explanation.delivered {
        None => "whether it was delivered is not known",
        Some(false) => "no whole answer was delivered",
        Some(true) => "the whole answer was delivered",
    };
    println!("request {request}");
    println!("  {verdict}: {}", explanation.why);
    println!("  {delivered}");
    let accounts = explanation.entry.iter().map(|account| ("entry", account));
    let accounts = accounts.chain(explanation.agents.iter().map(|account| ("agent", account)));
    for (program, account) in accounts {
        println!("{program}'s account ({}/{}):", account.team, account.class);
        print_events(account);
    }
}

fn print_events(account: &Account) {
    let Some((first, _)) = account.events.first() else {
        return;
    };
    for (at, event) in &account.events {
        println!("  +{:>6} ms  {}", at.since(*first).0, describe(event));
    }
}

fn describe(event: &Event) -> String {
    match event {
        Event::Admitted => "admitted".to_owned(),
        Event::Delivered => "whole answer handed to the caller's connection".to_owned(),
        Event::Failed { cause, verdict } => format!("failed: {} ({verdict:?})", cause.word()),
        Event::Finished => "whole answer from the backend server".to_owned(),
        Event::Queued => "queued".to_owned(),
        Event::Retried { cause, verdict } => {
            format!("tried again after: {} ({verdict:?})", cause.word())
        }
        Event::Routed { server, reason } => format!("routed to {server}: {reason}"),
        Event::Started { server } => format!("started by {server}"),
        Event::Versions { model, spans } => {
            let spans: Vec<String> = spans
                .iter()
                .map(|span| format!("{}..{} by version {}", span.from, span.to, span.version.0))
                .collect();
            format!("tokens of {model}: {}", spans.join(", "))
        }
    }
}
