//! A backend server and its agent.

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

/// A backend server of a pool, with its agent.
pub struct Member {
    /// `None` while the agent is stopped.
    pub agent: Option<Agent>,
    pub backend: Backend,
    pub data_centre: String,
    /// The instance name of the agent.
    pub name: String,
    pub plan: PoolPlan,
    pub pool: String,
    /// The relay between entries and the agent, if [`Options::relayed`] is set.
    pub relay: Option<Relay>,
}

impl Member {
    /// Starts a new agent for the backend server and adds it to the instance list.
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

    /// Drains and stops the agent; false if that failed or no agent was running.
    pub async fn stop(&mut self) -> bool {
        let Some(agent) = self.agent.take() else {
            return false;
        };
        agent.handle.drain();
        agent.handle.wait().await
    }

    /// Stops the agent at once, without draining, like a crash.
    pub async fn kill(&mut self) {
        if let Some(agent) = self.agent.take() {
            agent.handle.stop();
            agent.handle.wait().await;
        }
    }
}
