//! The configuration files of the demo.

/// The initial configuration, with the services, kinds and teams of both users.
pub(super) const CONFIGURATION: &str = "\
[service embossing]
ejected_max_percent = 50
[service spares]
ejected_max_percent = 50
[kind proof]
service = embossing
class = urgent
idempotent = true
deadline_ms = 30000
[kind preview]
service = embossing
class = normal
idempotent = true
deadline_ms = 30000
[kind release]
service = embossing
class = urgent
idempotent = false
deadline_ms = 30000
[kind fit-check]
service = spares
class = urgent
idempotent = true
deadline_ms = 30000
[kind quote]
service = spares
class = normal
idempotent = true
deadline_ms = 30000
[kind order]
service = spares
class = urgent
idempotent = false
deadline_ms = 30000
[team tin-a]
share_percent = 15
cap_percent = 100
[team tin-b]
share_percent = 15
cap_percent = 100
[team tin-c]
share_percent = 15
cap_percent = 100
[team tin-d]
share_percent = 15
cap_percent = 100
[team vardakoda]
share_percent = 40
cap_percent = 100
[limits]
tasks_per_job = 1000
queued_tasks = 100000
";

/// Returns the configuration with another limit of queued tasks, as an operator would change it.
pub(super) fn with_queued_tasks(count: u32) -> String {
    CONFIGURATION.replace("queued_tasks = 100000", &format!("queued_tasks = {count}"))
}
