//! The sidecar: the only process that gives orders to its minion.

mod action;
mod core;
mod delay;
mod endpoint;
mod health;
mod holds;
mod judgement;
mod life;
mod orders;
mod pace;
mod run;
mod runs;
mod settings;
mod sharers;

pub use action::{
    CallNumber, EndedRun, HoldAnswer, HoldCall, HowEnded, MinionReport, OrderAnswer, RunKey,
    SidecarAction, StartCall, StopCall,
};
pub use core::Sidecar;
pub use delay::Delay;
pub use endpoint::{Outgoing, SidecarEndpoint};
pub use health::Health;
pub use pace::Pace;
pub use settings::SidecarSettings;
