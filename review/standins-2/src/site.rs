//! The operator's configuration of a small deployment: one service of model samplers, one of
//! others.

pub const HOST: &str = "ficu95.example";
pub const MODEL: &str = "daka510000";
pub const MODELS_SERVICE: &str = "huvo11a";
pub const CALLS_SERVICE: &str = "wuno96b";
/// The routes' prefixes: of batches, of calls, and of calls with streamed answers.
pub const BATCHES: &str = "/pule252/";
pub const CALLS: &str = "/pufi791/";
pub const STREAMS: &str = "/sila404/";

/// The configuration; items may be given up after `item_ttl_s`, and samplers of calls accept
/// `max_connections`.
pub fn config(version: u64, item_ttl_s: u32, max_connections: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-1\",\"host\":\"{HOST}\",\"pathPrefix\":\"{BATCHES}\",\
         \"routeType\":\"rollout\",\"timeoutMs\":10000,\"targetLatencyMs\":400,\"priority\":1,\
         \"service\":\"{MODELS_SERVICE}\",\"maxAttempts\":3,\"resultDeadlineMs\":7500,\
         \"itemTtlS\":{item_ttl_s}}},\
         {{\"name\":\"r-2\",\"host\":\"{HOST}\",\"pathPrefix\":\"{CALLS}\",\
         \"routeType\":\"safe\",\"timeoutMs\":2000,\"targetLatencyMs\":400,\"priority\":2,\
         \"service\":\"{CALLS_SERVICE}\",\"maxAttempts\":4}},\
         {{\"name\":\"r-3\",\"host\":\"{HOST}\",\"pathPrefix\":\"{STREAMS}\",\
         \"routeType\":\"streaming\",\"timeoutMs\":10000,\"targetLatencyMs\":400,\"priority\":2,\
         \"service\":\"{CALLS_SERVICE}\",\"maxAttempts\":1}}],\
         \"services\":[{{\"name\":\"{MODELS_SERVICE}\",\"healthCheckPath\":\"/healthz\",\
         \"maxConnections\":150,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"batchSlots\":12,\
         \"models\":[{{\"name\":\"{MODEL}\"}}]}}}},\
         {{\"name\":\"{CALLS_SERVICE}\",\"healthCheckPath\":\"/healthz\",\"maxConnections\":{max_connections},\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}
