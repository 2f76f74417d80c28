//! The subcommand `redwing-standin trainer`.

use crate::{
    balancer::Balancer,
    trainer::{self, Config}, //
};
use argh::FromArgs;
use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{Arc, atomic::AtomicU64},
    time::Duration, //
};

/// A trainer that runs a number of steps and checks every sample.
#[derive(FromArgs)]
#[argh(subcommand, name = "trainer")]
pub(super) struct TrainerCommand {
    /// an entry's address for callers; may be repeated
    #[argh(option)]
    entry: Vec<SocketAddr>,

    /// groups in a step (default: 8)
    #[argh(option, default = "8")]
    groups: u32,

    /// the name of the trainer and of its model
    #[argh(option)]
    name: String,

    /// the platform to publish weights to
    #[argh(option)]
    platform: SocketAddr,

    /// samples in a group (default: 4)
    #[argh(option, default = "4")]
    samples: u32,

    /// how many weight versions a sample may be behind (default: 1)
    #[argh(option, default = "1")]
    staleness: u64,

    /// steps to run (default: 3)
    #[argh(option, default = "3")]
    steps: u64,

    /// the team
    #[argh(option)]
    team: String,

    /// the time of training on one step in milliseconds (default: 500)
    #[argh(option, default = "500")]
    train_ms: u64,
}

impl TrainerCommand {
    /// Runs the trainer and prints its report as JSON; fails if a check failed.
    pub(super) async fn run(self) -> ExitCode {
        let config = Config {
            balancer: Arc::new(Balancer::new(self.entry)),
            groups: self.groups,
            max_tokens: 160,
            model: self.name.clone(),
            name: self.name,
            platform: self.platform,
            prompts: vec!["Judge this foam core.".to_owned()],
            samples: self.samples,
            seed: 1,
            max_staleness: self.staleness,
            steps: self.steps,
            team: self.team,
            train_time: Duration::from_millis(self.train_ms),
        };
        let report = trainer::run(&config, &AtomicU64::new(0)).await;
        println!("{}", serde_json::json!(report));
        match report.passed() {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        }
    }
}
