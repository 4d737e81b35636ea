//! Decision logic of a crosslane node, without I/O.
//!
//! The inputs are events, the current time and a random seed; the outputs are answers and actions.
//! Nothing here does I/O, reads a clock or uses other randomness, so that any sequence of events can
//! be replayed.

pub mod admission;
pub mod allowance;
pub mod backlog;
pub mod ballot;
pub mod bootstrap;
pub mod builds;
pub mod calls;
pub mod choice;
pub mod claims;
pub mod connections;
pub mod control_log;
pub mod delay;
pub mod detector;
pub mod durations;
pub mod entry;
pub mod gossip;
pub mod health;
pub mod heartbeat;
pub mod identity;
mod index;
pub mod intake;
pub mod keyed;
pub mod lease;
pub mod ledger;
pub mod limits;
pub mod node;
pub mod pattern;
mod pattern_rulings;
mod patterns;
pub mod peer_speeds;
pub mod placement;
pub mod pool;
pub mod precedence;
pub mod prefiller;
pub mod program;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod reach;
pub mod reconcile;
pub mod record;
pub mod replica;
pub mod retry;
pub mod ring;
pub mod ruling;
mod rulings;
pub mod segments;
pub mod slots;
pub mod soundness;
pub mod speed;
pub mod splice;
pub mod stages;
pub mod stall;
pub mod stop;
pub mod streams;
pub mod strikes;
pub mod suspect;
pub mod suspicion;
pub mod throttle;
pub mod turnover;
pub mod usage;
pub mod wait;
