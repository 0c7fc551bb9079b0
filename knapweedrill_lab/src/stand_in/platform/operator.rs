//! Configurations as the platform's operator writes them into the store.

use serde_json::json;

/// The settings of one queue, which a configuration lists as a route.
#[derive(Debug, Clone)]
pub struct QueueConfiguration {
    /// The value of the `Host` header that requests must have.
    pub host: String,
    /// The prefix that the path of requests must have.
    pub path_prefix: String,
    /// The service that runs the tasks.
    pub service: String,
    /// The priority, as the `Priority` of the route.
    pub priority: u8,
}

/// Returns the JSON text of a configuration with the given version and queues.
pub fn configuration_text(version: u64, queues: &[QueueConfiguration]) -> String {
    let routes: Vec<_> = queues
        .iter()
        .map(|queue| {
            json!({
                "Name": format!("queue{}", queue.path_prefix),
                "Host": queue.host,
                "PathPrefix": queue.path_prefix,
                "Kind": "non_idempotent",
                "TimeoutMs": 1500,
                "TargetLatencyMs": 60,
                "Priority": queue.priority,
                "Service": queue.service,
                "MaxAttempts": 3,
                "Stretch": 1.6,
            })
        })
        .collect();
    json!({
        "Version": version,
        "Routes": routes,
        "Services": [],
        "Limits": {"MaxBodyBytes": 65536},
    })
    .to_string()
}
