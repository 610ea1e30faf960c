//! Stand-ins for all that a nodo speaks with, written from the platform's protocol page and the public specifications of
//! HTTP/1.1 and FastCGI 1.0. They know nothing of the nodo's own code, so that both must be right for them to agree.
//!
//! Each listens on loopback at a port of the system's choice, does what its script says, and keeps a record of what
//! crossed it; tests and experiments take the records for the truth. All need a local task set and one thread.
//!
//! - [`dependency`]: has slots, slows down when crowded, and can be slow, failing, refusing, hanging, down or noisy.
//! - [`disk`]: forgets what was not synced, tears, fills up and fails, and is put back to an earlier state.
//! - [`fleet`]: several nodos as one fleet, every link between them one that can be broken.
//! - [`interpreter`]: runs requests on so many cores, asks for calls, and tells in each result what it got.
//! - [`directory`]: takes reports.
//! - [`balancer`]: sends requests over FastCGI and reads the answers.
//! - [`link`]: a connection between two processes that can be cut, slowed and reset, each way.
//! - [`partial`]: a fleet in three regions with keyed work, faults of all kinds, and histories of it all.
//! - [`process`]: a program that can be killed, frozen and woken.
//! - [`resource`]: what the tasks of a fleet act on; records who acted when.
//! - [`nodo`]: several starts of the program as one nodo, with what they speak with.
//! - [`script`]: what goes wrong, and when; from a list or from a seed.
//! - [`wire`]: one connection of a balancer, byte by byte: halves of requests, closes and resets.
//! - [`truth`]: holds the answers of a nodo against the records.

pub mod balancer;
pub mod dependency;
pub mod directory;
pub mod disk;
pub mod fleet;
mod http;
pub mod interpreter;
pub mod link;
pub mod nodo;
pub mod partial;
pub mod process;
pub mod resource;
pub mod script;
pub mod truth;
pub mod wire;
