//! Starts daemons and stand-ins as processes, each on its own loopback address, and controls them.

mod address_allocator;
mod binary;
mod child_process;
mod cluster;
mod cluster_builder;
mod daemon_settings;
mod entry_api;
mod http_call;
mod job_request;
mod link_proxy;
mod log_node;
mod metrics_response;
mod minion_node;
mod platform_site;
mod scratch_directory;
mod site_proxies;
mod wait;

pub use address_allocator::{
    AddressAllocator, HTTP_PORT, LINK_PORT, LOG_PORT, MINION_PORT, PROXY_PORT_OFFSET,
};
pub use binary::find_binary;
pub use child_process::ChildProcess;
pub use cluster::{Cluster, EntryNode};
pub use cluster_builder::{ClusterBuilder, DEFAULT_CONFIGURATION, MinionSpec};
pub use daemon_settings::{DaemonRole, DaemonSettings};
pub use entry_api::{EntryApi, OwnerResponse};
pub use http_call::HttpResponse;
pub use job_request::{JobOutcome, JobRequest, JobResponse, JobTask};
pub use link_proxy::LinkProxy;
pub use log_node::LogNode;
pub use metrics_response::{MetricValue, MetricsResponse};
pub use minion_node::MinionNode;
pub use platform_site::{HOST, PlatformSite, SiteResponse};
pub use scratch_directory::ScratchDirectory;
pub use site_proxies::{EntryProxies, SidecarProxies};
pub use wait::wait_until;
