//! What the parties have agreed on: ownership of jobs, shares of the fleet, configuration.

mod class;
mod configuration;
mod fair_share;
mod owner_token;
mod roster;

pub use class::Class;
pub use configuration::{
    Adopted, AppendFate, Configuration, ConfigurationFold, ConfigurationRecord,
    ConfigurationVersion, FoldOutcome, InForce, Kind, Limits, ReadBack, SCHEMA_VERSION, Service,
    Team,
};
pub use fair_share::{FairShare, Flow, Rank};
pub use owner_token::{OwnerToken, OwnerTokenError};
pub use roster::roster_digest;
