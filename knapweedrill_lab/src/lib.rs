//! Stand-ins, test harness and history checker for knapweedrill.
//!
//! The stand-ins replace the platform's log, its minions and its network, and can inject faults.
//! The harness starts real processes, each on a loopback address of its own. The checker compares
//! the recorded observations with what the system guarantees.

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
