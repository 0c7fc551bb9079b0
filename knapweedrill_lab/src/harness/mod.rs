//! Starts real processes on loopback addresses of their own and controls them.

mod address_plan;
mod binary;
mod child_process;
mod cluster;
mod cluster_builder;
mod daemon_settings;
mod entry_api;
mod http_call;
mod job_request;
mod link_proxy;
mod log_control;
mod metrics_answer;
mod minion_node;
mod platform_site;
mod scratch_directory;
mod site_proxies;
mod wait;

pub use address_plan::{
    AddressPlan, HTTP_PORT, LINK_PORT, LOG_PORT, MINION_PORT, PROXY_PORT_OFFSET,
};
pub use binary::find_binary;
pub use child_process::ChildProcess;
pub use cluster::{Cluster, EntryNode};
pub use cluster_builder::{ClusterBuilder, DEFAULT_CONFIGURATION, MinionSpec};
pub use daemon_settings::{DaemonRole, DaemonSettings};
pub use entry_api::{EntryApi, OwnerAnswer};
pub use http_call::HttpAnswer;
pub use job_request::{JobAnswer, JobOutcome, JobRequest, JobTask};
pub use link_proxy::LinkProxy;
pub use log_control::LogNode;
pub use metrics_answer::{MetricReading, MetricsAnswer};
pub use minion_node::MinionNode;
pub use platform_site::{HOST, PlatformSite, SiteAnswer};
pub use scratch_directory::ScratchDirectory;
pub use site_proxies::{EntryProxies, SidecarProxies};
pub use wait::wait_until;
