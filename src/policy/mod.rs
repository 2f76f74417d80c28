//! Decision logic without side effects: the current time and all inputs are passed in
//! as arguments.
//!
//! Nothing here does I/O, takes a lock, starts a thread or reads a clock.

pub mod access;
pub mod adaptive_timeout;
pub mod admission;
pub mod agent_queue;
pub mod batch_age;
pub mod bitmap;
pub mod call_queue;
pub mod claim_choice;
pub mod conditions;
pub mod engine_incarnation;
pub mod explanation;
pub mod fair_queue;
pub mod fences;
pub mod freshness;
pub mod health;
pub mod key_claims;
pub mod latency;
pub mod lease;
pub mod ledger;
pub mod liveness;
pub mod load_features;
pub mod model_share;
pub mod pace;
pub mod quarantine;
pub mod relay;
pub mod retry;
pub mod retry_budget;
pub mod router;
pub mod seen_keys;
pub mod server_choice;
pub mod server_limit;
pub mod server_load;
pub mod start_order;
pub mod step;
pub mod step_mode;
pub mod step_spec;
pub mod subset;
pub mod typical;
pub mod usage;
pub mod version_plan;
pub mod wave;
