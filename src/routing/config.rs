//! The operators' configuration in force.

use super::{
    Route,
    Workspaces, //
};
use crate::base::Millis;
use std::{
    collections::HashMap,
    sync::Arc, //
};

/// A model that a service's engines hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineModel {
    pub name: String,
}

/// What is known of a service beside its servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Empty for a service that holds no model.
    pub models: Vec<EngineModel>,
    pub name: String,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub body_bytes: usize,
    pub head_bytes: usize,
    pub head_timeout: Millis,
    pub idle_timeout: Millis,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct Config {
    pub limits: Limits,
    /// By host; the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    pub services: Vec<Service>,
    pub version: u64,
    /// `None` where callers need no key.
    pub workspaces: Option<Workspaces>,
}

impl Config {
    /// A configuration of these parts, for which callers need no key.
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

    /// The route of `host` with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
