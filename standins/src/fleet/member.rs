//! One backend server and the agent beside it.

use super::{
    Backend,
    Options,
    PoolPlan,
    settings, //
};
use crate::{
    platform::Platform,
    relay::Relay, //
};
use redwingpond::{
    agent::Agent,
    duty::DutyError,
    table::{Instance, InstanceState}, //
};

/// A slot of a pool.
pub struct Member {
    pub agent: Option<Agent>,
    pub backend: Backend,
    pub data_centre: String,
    pub name: String,
    pub plan: PoolPlan,
    pub pool: String,
    /// Stands between entries and the agent when connections are to fail.
    pub relay: Option<Relay>,
}

impl Member {
    /// Starts a new agent in the slot and lists it.
    pub async fn start(&mut self, platform: &Platform, options: Options) -> Result<(), DutyError> {
        let common = settings::common(&self.name, &self.data_centre, platform.address);
        let address = self.backend.address();
        let agent = Agent::open(settings::agent(
            common,
            &self.pool,
            &self.plan,
            address,
            options.policy,
        ))?;
        let mut links = agent.links;
        self.relay = None;
        if options.relayed
            && let Ok(relay) = Relay::open(agent.links).await
        {
            links = relay.address;
            self.relay = Some(relay);
        }
        platform.put_instance(Instance {
            admin: agent.admin,
            data_centre: self.data_centre.clone(),
            links,
            name: self.name.clone(),
            pool: Some(self.pool.clone()),
            state: InstanceState::Live,
        });
        self.agent = Some(agent);
        Ok(())
    }

    /// Stops the agent gracefully; false when it failed or there was none.
    pub async fn stop(&mut self) -> bool {
        let Some(agent) = self.agent.take() else {
            return false;
        };
        agent.handle.drain();
        agent.handle.wait().await
    }

    /// Ends the agent at once, as a crash would.
    pub async fn kill(&mut self) {
        if let Some(agent) = self.agent.take() {
            agent.handle.stop();
            agent.handle.wait().await;
        }
    }
}
