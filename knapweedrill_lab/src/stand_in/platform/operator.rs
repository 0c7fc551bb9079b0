//! The operator of the platform, who writes configurations into the store.

use serde_json::json;

/// A queue of a configuration.
#[derive(Debug, Clone)]
pub struct QueuePlan {
    /// The host that requests name.
    pub host: String,
    /// What their path begins with.
    pub path_prefix: String,
    /// The service that runs the tasks.
    pub service: String,
    /// The urgency.
    pub priority: u8,
}

/// Returns a configuration as the operator writes it.
pub fn configuration_text(version: u64, queues: &[QueuePlan]) -> String {
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
