//! `redwing status`, and the lookup of the entries' admin addresses.

use super::{
    OperatorError,
    operator_error::{AnswerSnafu, NoEntriesSnafu}, //
};
use crate::{
    base::Millis,
    table::{EntityTag, JsonClient, PlatformClient}, //
};
use argh::FromArgs;
use hyper::Method;
use serde_json::Value;
use snafu::{
    ResultExt,
    ensure, //
};
use std::net::SocketAddr;

/// The timeout for the answer of one entry.
const ENTRY_TIMEOUT: Millis = Millis(2_000);

/// Show the backend servers as each entry sees them.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(super) struct StatusCommand {
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

impl StatusCommand {
    pub(super) async fn run(self) -> Result<(), OperatorError> {
        for entry in entry_addresses(self.entry, self.platform).await? {
            let client = JsonClient::open(entry, ENTRY_TIMEOUT);
            let (_, body) = client.call(Method::GET, "/v1/fleet", Vec::new()).await?;
            let fleet: Value =
                serde_json::from_slice(&body).context(AnswerSnafu { address: entry })?;
            match self.json {
                true => println!("{fleet}"),
                false => print(entry, &fleet),
            }
        }
        Ok(())
    }
}

/// The admin addresses of the entries: those in `named` and those that the platform lists.
pub(super) async fn entry_addresses(
    named: Vec<SocketAddr>,
    platform: Option<SocketAddr>,
) -> Result<Vec<SocketAddr>, OperatorError> {
    let mut all = named;
    if let Some(platform) = platform {
        let listed = PlatformClient::open(platform)
            .instances(&mut EntityTag::default())
            .await?;
        // An instance without a pool is an entry; the others are agents.
        let entries = listed
            .unwrap_or_default()
            .into_iter()
            .filter(|instance| instance.pool.is_none());
        all.extend(entries.map(|instance| instance.admin));
    }
    ensure!(!all.is_empty(), NoEntriesSnafu);
    Ok(all)
}

fn print(entry: SocketAddr, fleet: &Value) {
    println!("entry {entry}: {} calls in flight", fleet["calls"]);
    println!(
        "  {:<24} {:<16} {:>7} {:>6} {:>9} {:>8}  state",
        "server", "pool", "running", "queued", "capacity", "time ms"
    );
    for server in fleet["servers"].as_array().into_iter().flatten() {
        let report = &server["report"];
        let state = match (&server["linked"], &report["draining"], &server["out"]) {
            (Value::Bool(false), _, _) => "no link",
            (_, Value::Bool(true), _) => "draining",
            (_, _, Value::Bool(true)) => "out",
            _ => "up",
        };
        println!(
            "  {:<24} {:<16} {:>7} {:>6} {:>9} {:>8}  {state}",
            server["name"].as_str().unwrap_or("?"),
            server["pool"].as_str().unwrap_or("?"),
            report["running"],
            report["queued"],
            report["capacity"],
            report["service_time"],
        );
    }
}
