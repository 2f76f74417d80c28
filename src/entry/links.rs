//! How the traffic duty keeps its links in step with the list of instances.

use super::{
    dialer,
    directory::Directory,
    server::Server,
    traffic::Traffic, //
};
use crate::{
    base::Millis,
    policy::{
        health::CircuitBreaker,
        latency::Latency,
        subset, //
    },
    table::Instance,
    wire::Report, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

impl Traffic {
    /// Applies a new list of instances: opens links to the agents of this entry's subset
    /// of each pool.
    pub(super) fn on_directory(&mut self, directory: &Directory) {
        let wanted = self.chosen_instances(&directory.instances);
        for server in self.servers.values_mut() {
            match wanted.get(server.instance.name.as_str()) {
                Some(instance) if instance.links == server.instance.links => {
                    server.instance = (*instance).clone();
                    server.listed = true;
                }
                Some(_) | None => server.listed = false,
            }
        }

        let linked: BTreeSet<(String, std::net::SocketAddr)> = self
            .servers
            .values()
            .map(|server| (server.instance.name.clone(), server.instance.links))
            .collect();
        for instance in wanted.into_values() {
            if !linked.contains(&(instance.name.clone(), instance.links)) {
                self.add_server(instance.clone());
            }
        }
        self.remove_unlisted();
    }

    /// This entry's subset of each pool, by instance name.
    fn chosen_instances<'a>(&self, instances: &'a [Instance]) -> BTreeMap<&'a str, &'a Instance> {
        let mut pools: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
        for instance in instances {
            if let Some(pool) = &instance.pool {
                pools.entry(pool).or_default().push(instance);
            }
        }
        let own_name = &self.settings.common.instance;
        let mut wanted = BTreeMap::new();
        for pool in pools.into_values() {
            let names = pool.iter().map(|instance| instance.name.as_str());
            let chosen: BTreeSet<&str> = subset::choose(own_name, names, subset::SUBSET_SIZE)
                .into_iter()
                .collect();
            let kept = pool
                .into_iter()
                .filter(|instance| chosen.contains(instance.name.as_str()));
            wanted.extend(kept.map(|instance| (instance.name.as_str(), instance)));
        }
        wanted
    }

    /// Adds a server, and starts the task that keeps its link open.
    fn add_server(&mut self, instance: Instance) {
        let (hello, inbox) = (self.hello.clone(), self.inbox.clone());
        let distance = self.settings.distance(&instance.data_centre);
        self.servers.insert_with_key(|key| Server {
            dialer: tokio::task::spawn_local(dialer::maintain_link(
                key,
                instance.links,
                hello,
                inbox,
            )),
            distance,
            health: CircuitBreaker::default(),
            in_flight: 0,
            instance,
            link: None,
            listed: true,
            latency: Latency::default(),
            report: Report::default(),
            reported_at: Millis(0),
            reported_own: 0,
        });
    }

    /// Removes the servers that are no longer listed, once no request of this entry is in
    /// flight there.
    pub(super) fn remove_unlisted(&mut self) {
        self.servers.retain(|_, server| {
            let keep = server.listed || server.in_flight > 0;
            if !keep {
                server.dialer.abort();
            }
            keep
        });
    }
}
