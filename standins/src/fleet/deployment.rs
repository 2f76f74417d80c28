//! A deployment of platform, entries, agents and backend servers in one process.

use super::{
    Backend,
    Member,
    Plan,
    settings, //
};
use crate::{
    balancer::Balancer,
    platform::Platform, //
};
use redwingpond::{
    base::Clock,
    duty::DutyError,
    entry::Entry,
    policy::router::Policy,
    table::{Instance, InstanceState}, //
};
use snafu::{
    ResultExt,
    Snafu, //
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

/// The reason why a fleet couldn't be started.
#[derive(Debug, Snafu)]
pub enum FleetError {
    #[snafu(display("{source}"), context(false))]
    Duty { source: DutyError },
    #[snafu(display("the entries did not connect to all servers within {seconds} s"))]
    NotReady { seconds: u64 },
    #[snafu(display("can't start a stand-in: {source}"))]
    Standin { source: std::io::Error },
}

/// The options of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The number of entries.
    pub entries: u32,
    pub policy: Policy,
    /// Whether the links to agents pass through relays that tests can silence.
    pub relayed: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 3,
            policy: Policy::Current,
            relayed: false,
        }
    }
}

/// A running fleet.
pub struct Fleet {
    pub balancer: Arc<Balancer>,
    /// The running entries with their instance names.
    pub entries: Vec<(String, Entry)>,
    /// The backend servers and their agents, over all pools.
    pub members: Vec<Member>,
    pub options: Options,
    pub platform: Platform,
    /// The number of entries started so far; numbers their names.
    entries_started: u32,
}

/// The number of weight copies that the platform serves at the same time.
const CONCURRENT_COPIES: usize = 6;

/// The duration of one copy of weights.
const COPY_TIME: Duration = Duration::from_millis(40);

/// How long the entries may take to connect to all servers.
const READY_TIMEOUT_SECONDS: u64 = 20;

impl Fleet {
    /// Starts a platform, the entries, and all pools in `plans`, and waits until each entry is
    /// connected to all servers that it uses.
    pub async fn open(plans: &[Plan], options: Options) -> Result<Self, FleetError> {
        let platform = Platform::open(settings::loopback(), CONCURRENT_COPIES, COPY_TIME)
            .await
            .context(StandinSnafu)?;
        let mut fleet = Self {
            balancer: Arc::new(Balancer::default()),
            entries: Vec::new(),
            members: Vec::new(),
            options,
            platform,
            entries_started: 0,
        };
        for plan in plans {
            fleet.add(plan).await?;
        }
        let data_centres: Vec<&String> = plans.iter().flat_map(|plan| &plan.data_centres).collect();
        for number in 0..options.entries {
            let data_centre = data_centres.get(number as usize % data_centres.len().max(1));
            fleet.start_entry(data_centre.map_or("hall", |c| c.as_str()))?;
        }
        fleet.wait_ready(plans).await?;
        Ok(fleet)
    }

    /// Starts another entry and adds it to the balancer; returns its address for callers.
    pub fn start_entry(&mut self, data_centre: &str) -> Result<SocketAddr, FleetError> {
        self.entries_started += 1;
        let name = format!("entry-{}", self.entries_started);
        let common = settings::common(&name, data_centre, self.platform.address);
        let peers = self.entries.iter().map(|(_, entry)| entry.links).collect();
        let entry = Entry::open(settings::entry(common, self.options.policy, peers))?;
        let callers = entry.callers;
        self.platform.put_instance(Instance {
            admin: entry.admin,
            data_centre: data_centre.to_owned(),
            links: entry.links,
            name: name.clone(),
            pool: None,
            state: InstanceState::Live,
        });
        self.balancer.add(callers);
        self.entries.push((name, entry));
        Ok(callers)
    }

    /// Drains and stops the oldest entry; false if that failed.
    pub async fn stop_entry(&mut self) -> bool {
        let (name, entry) = self.entries.remove(0);
        // A real balancer would see that the entry isn't ready and remove it.
        entry.handle.drain();
        self.balancer.remove(entry.callers);
        let stopped = entry.handle.wait().await;
        self.platform.remove_instance(&name);
        stopped
    }

    /// The members of a pool.
    pub fn pool<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Member> {
        self.members
            .iter()
            .filter(move |member| member.pool == pool)
    }

    /// Writes a plan's shared settings and starts its pools.
    async fn add(&mut self, plan: &Plan) -> Result<(), FleetError> {
        for (path, text) in &plan.settings {
            self.platform.apply(path, text);
        }
        for (pool, pool_plan) in &plan.pools {
            for number in 0..pool_plan.servers {
                let data_centres = &plan.data_centres;
                let backend = Backend::open(pool_plan, self.platform.address)
                    .await
                    .context(StandinSnafu)?;
                let mut member = Member {
                    agent: None,
                    backend,
                    data_centre: data_centres[number as usize % data_centres.len()].clone(),
                    name: format!("{pool}-{number}"),
                    plan: pool_plan.clone(),
                    pool: pool.clone(),
                    relay: None,
                };
                member.start(&self.platform, self.options).await?;
                self.members.push(member);
            }
        }
        Ok(())
    }

    /// Waits until every entry is linked to as many usable servers as its subsets hold.
    async fn wait_ready(&self, plans: &[Plan]) -> Result<(), FleetError> {
        let servers: u32 = plans
            .iter()
            .flat_map(|plan| plan.pools.values())
            .map(|pool| {
                pool.servers
                    .min(redwingpond::policy::subset::SUBSET_SIZE as u32)
            })
            .sum();
        let clock = Clock::open();
        let started_at = clock.now();
        let client = crate::client::Client::default();
        for (_, entry) in &self.entries {
            while usable_links(&client, entry.admin).await < servers as usize {
                if clock.now().since(started_at).0 > READY_TIMEOUT_SECONDS * 1_000 {
                    return NotReadySnafu {
                        seconds: READY_TIMEOUT_SECONDS,
                    }
                    .fail();
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

/// The number of usable servers that an entry is linked to; 0 if the entry doesn't answer.
async fn usable_links(client: &crate::client::Client, admin: SocketAddr) -> usize {
    let get = hyper::Method::GET;
    let timeout = Duration::from_secs(2);
    let Ok(answer) = client.call(get, admin, "/v1/fleet", &[], "", timeout).await else {
        return 0;
    };
    let fleet = answer.json();
    let servers = fleet["servers"].as_array().cloned().unwrap_or_default();
    let usable = servers
        .iter()
        .filter(|server| server["linked"] == true && server["report"]["usable"] == true);
    usable.count()
}
