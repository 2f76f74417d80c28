//! The operators' configuration: routes, services, workspaces and limits.

use super::{
    Route,
    Workspaces, //
};
use crate::base::Millis;
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// A model that a service's engines serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineModel {
    pub name: String,
}

/// A service: a group of interchangeable backend servers, as the configuration describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The most connections that one of its servers accepts from all callers together; `None`
    /// if that is not known.
    pub max_connections: Option<usize>,
    /// Empty for a service without models.
    pub models: Vec<EngineModel>,
    pub name: String,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The largest request body, in bytes.
    pub max_body: usize,
    /// The largest request head, in bytes.
    pub max_head: usize,
    /// How long a request's head may take to arrive.
    pub head_timeout: Millis,
    /// How long a connection may be idle.
    pub idle_timeout: Millis,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    pub limits: Limits,
    /// Each host's routes, the longest path prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    pub services: Vec<Service>,
    pub version: u64,
    /// The workspaces with their keys; `None` if no caller needs a key.
    pub workspaces: Option<Workspaces>,
}

impl Config {
    /// A configuration without workspaces: no caller needs a key.
    pub fn new(version: u64, routes: Vec<Route>, services: Vec<Service>, limits: Limits) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = hosts.entry(route.host.clone()).or_default();
            host.push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            limits,
            routes: hosts,
            services,
            version,
            workspaces: None,
        }
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
