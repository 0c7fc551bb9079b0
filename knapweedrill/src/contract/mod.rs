//! Agreements that all processes share: job ownership, fair shares of the fleet, configuration.

mod class;
mod configuration;
mod fair_share;
mod owner_token;
mod roster;

pub use class::Class;
pub use configuration::{
    AppendOutcome, AppendTracker, Configuration, ConfigurationFold, ConfigurationRecord,
    ConfigurationVersion, CurrentConfiguration, FoldOutcome, InForceConfiguration, Kind, Limits,
    SCHEMA_VERSION, Service, Team,
};
pub use fair_share::{FairShare, Flow, Rank};
pub use owner_token::{OwnerToken, OwnerTokenError};
pub use roster::roster_digest;
