//! Stand-ins, harness and history checker for the tests of knapweedrill.
//!
//! The stand-ins play the parts of the platform: its log, the minions and a faulty network. The
//! harness starts real processes on loopback addresses of their own. The checker compares what
//! was observed with what the system guarantees.

pub mod checker;
pub mod demo;
pub mod faults;
pub mod harness;
pub mod ideal;
pub mod load;
pub mod slots_demo;
pub mod soak;
pub mod stand_in;
pub mod wall_clock;
